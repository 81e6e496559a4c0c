//! The admin state on disk, in a directory that a process shares with its successor. A new version of the file is
//! written completely under a lock, then renamed into place.

use std::cell::Cell;
use std::fs::{self, File, TryLockError};
use std::io::{self, ErrorKind, Write};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::time::Duration;

use runtime::Runtime;
use thiserror::Error;

use super::state::{AdminState, ChangeError};
use crate::sidecar::config::stable_hash;

/// Prefix of the file name. It must not change, because a process and a successor of another version share the file.
const FILE_PREFIX: &str = "plankvale-";
/// Extensions of the files next to it: the lock, a new version that is being written, and an unreadable version.
const LOCK_EXTENSION: &str = "lock";
const NEW_EXTENSION: &str = "new";
const UNREADABLE_EXTENSION: &str = "unreadable";
/// Interval between two attempts to take the lock.
const LOCK_RETRY_INTERVAL: Duration = Duration::from_millis(5);
/// Maximum number of retries to take the lock.
const MAX_LOCK_RETRIES: usize = 100;
/// Maximum size of the file, in bytes. It suffices for the maximum number of disabled servers with names of 100 bytes.
const MAX_FILE_BYTES: u64 = 1 << 20;

/// Error returned when the file cannot be used, or its content was not changed.
#[derive(Debug, Error)]
pub enum StateFileError {
    /// The file, or one of those next to it, cannot be read or written.
    #[error("{path}: {source}", path = path.display())]
    Io {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The content is invalid. The file was moved aside so that the next change can be written.
    #[error("{path}: {source}; moved aside: {moved_to}", path = path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The error in the content.
        source: serde_json::Error,
        /// The new path of the file, or the error that prevented moving it.
        moved_to: String,
    },
    /// The change was rejected.
    #[error(transparent)]
    Rejected(#[from] ChangeError),
}

/// Identifies a version of the file: its inode and its modification time in seconds and nanoseconds.
type Version = (u64, i64, i64);

/// The file with the admin state of one sidecar.
pub struct StateFile {
    path: PathBuf,
    /// The version that was read last; `None` if there was no file.
    last_read: Cell<Option<Version>>,
}

impl StateFile {
    /// The state file of the sidecar called `name` in `directory`.
    pub fn new(directory: &Path, name: &str) -> StateFile {
        let file = format!("{FILE_PREFIX}{:016x}.json", stable_hash(name.as_bytes()));
        StateFile { path: directory.join(file), last_read: Cell::new(None) }
    }

    /// Reads the content if the file has changed since the last call.
    ///
    /// # Errors
    ///
    /// When the file cannot be read or its content is invalid. A file with invalid content is moved aside.
    pub fn read_if_changed(&self) -> Result<Option<AdminState>, StateFileError> {
        let version = match fs::metadata(&self.path) {
            Ok(m) => Some((m.ino(), m.mtime(), m.mtime_nsec())),
            Err(e) if e.kind() == ErrorKind::NotFound => None,
            Err(e) => return Err(self.io_error(e)),
        };
        if self.last_read.get() == version {
            return Ok(None);
        }
        let state = match version {
            None => AdminState::default(),
            Some(_) => self.read()?,
        };
        // Set only after a successful read, so that a version that could not be read is read again.
        self.last_read.set(version);
        Ok(Some(state))
    }

    fn read(&self) -> Result<AdminState, StateFileError> {
        let length = match fs::metadata(&self.path) {
            Ok(metadata) => metadata.len(),
            Err(e) if e.kind() == ErrorKind::NotFound => return Ok(AdminState::default()),
            Err(e) => return Err(self.io_error(e)),
        };
        // A file that is too long is not read. Empty content is invalid, so the file is moved aside.
        let text = match length {
            0..=MAX_FILE_BYTES => fs::read(&self.path).map_err(|e| self.io_error(e))?,
            _ => Vec::new(),
        };
        serde_json::from_slice(&text).map_err(|source| self.move_aside(source))
    }

    fn move_aside(&self, source: serde_json::Error) -> StateFileError {
        let aside = self.path.with_extension(UNREADABLE_EXTENSION);
        let moved_to = match fs::rename(&self.path, &aside) {
            Ok(()) => aside.display().to_string(),
            Err(error) => error.to_string(),
        };
        StateFileError::Unreadable { path: self.path.clone(), source, moved_to }
    }

    fn io_error(&self, source: io::Error) -> StateFileError {
        StateFileError::Io { path: self.path.clone(), source }
    }

    /// Changes the content under the lock, and returns the new content.
    ///
    /// This runs on the thread that serves clients, so it does not block while another process holds the lock. If a
    /// stopped or slow process holds it for too long, an error is returned.
    ///
    /// # Errors
    ///
    /// The error of `change`, or an error of the file. The file is unchanged then.
    pub async fn update<P: Runtime>(
        &self,
        change: impl Fn(&mut AdminState) -> Result<(), ChangeError>,
    ) -> Result<AdminState, StateFileError> {
        let lock = File::create(self.path.with_extension(LOCK_EXTENSION));
        let lock = lock.map_err(|e| self.io_error(e))?;
        // Dropping the lock file releases the lock.
        self.acquire::<P>(&lock).await?;
        let mut state = self.read()?;
        let old = state.clone();
        change(&mut state)?;
        if state != old {
            self.write(&state).map_err(|e| self.io_error(e))?;
        }
        Ok(state)
    }

    async fn acquire<P: Runtime>(&self, lock: &File) -> Result<(), StateFileError> {
        let mut retries = 0;
        loop {
            match lock.try_lock() {
                Ok(()) => return Ok(()),
                Err(TryLockError::WouldBlock) if retries < MAX_LOCK_RETRIES => {
                    retries += 1;
                    P::sleep(LOCK_RETRY_INTERVAL).await;
                }
                Err(error) => return Err(self.io_error(error.into())),
            }
        }
    }

    fn write(&self, state: &AdminState) -> io::Result<()> {
        let new = self.path.with_extension(NEW_EXTENSION);
        let text = serde_json::to_vec(state)?;
        let mut file = File::create(&new)?;
        file.write_all(&text)?;
        file.sync_all()?;
        fs::rename(&new, &self.path)?;
        // If this fails, the change is in effect and outlives the process, but may be lost in a crash of the machine.
        if let Err(error) = self.sync_directory() {
            tracing::warn!(%error, "failed to sync the directory of the admin state file");
        }
        Ok(())
    }

    fn sync_directory(&self) -> io::Result<()> {
        match self.path.parent() {
            Some(directory) => File::open(directory)?.sync_all(),
            None => Ok(()),
        }
    }
}

#[cfg(test)]
mod tests;
