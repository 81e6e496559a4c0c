//! The administrative state on disk, in a directory that a process shares with its successor. The file is written
//! completely, under a lock, and renamed into place.

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

/// The beginning of the file's name. It is that of earlier versions: a process and its successor of another version
/// share the file.
const FILE_PREFIX: &str = "plankvale-";
/// The extensions of the files beside it.
const LOCK_EXTENSION: &str = "lock";
const NEW_EXTENSION: &str = "new";
const UNREADABLE_EXTENSION: &str = "unreadable";
/// The time between two attempts to take the lock.
const LOCK_RETRY_INTERVAL: Duration = Duration::from_millis(5);
/// How often taking the lock is retried.
const MAX_LOCK_RETRIES: usize = 100;
/// The longest file that is read, in bytes: room for every server that can be disabled, with names of a hundred
/// bytes.
const MAX_FILE_BYTES: u64 = 1 << 20;

/// Why the file cannot be used, or its content was not changed.
#[derive(Debug, Error)]
pub enum StateFileError {
    /// The file, or one beside it, cannot be read or written.
    #[error("{path}: {source}", path = path.display())]
    Io {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The content cannot be understood. The file was moved aside, so that the next change can be written.
    #[error("{path}: {source}; put aside: {moved_to}", path = path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What is wrong with the content.
        source: serde_json::Error,
        /// Where the file is now, or why it could not be moved.
        moved_to: String,
    },
    /// The change was rejected.
    #[error(transparent)]
    Rejected(#[from] ChangeError),
}

/// Identifies one version of the file: its inode, and when it was written.
type Version = (u64, i64, i64);

/// The file with the administrative state of one sidecar.
pub struct StateFile {
    path: PathBuf,
    seen: Cell<Option<Version>>,
}

impl StateFile {
    /// The file of the sidecar with this name, in this directory.
    pub fn new(directory: &Path, name: &str) -> StateFile {
        let file = format!("{FILE_PREFIX}{:016x}.json", stable_hash(name.as_bytes()));
        StateFile { path: directory.join(file), seen: Cell::new(None) }
    }

    /// The content, if the file has changed since this was last called.
    ///
    /// # Errors
    ///
    /// Why the file cannot be read. One that cannot be understood is moved aside.
    pub fn read_if_changed(&self) -> Result<Option<AdminState>, StateFileError> {
        let version = match fs::metadata(&self.path) {
            Ok(m) => Some((m.ino(), m.mtime(), m.mtime_nsec())),
            Err(e) if e.kind() == ErrorKind::NotFound => None,
            Err(e) => return Err(self.io_error(e)),
        };
        if self.seen.get() == version {
            return Ok(None);
        }
        let state = match version {
            None => AdminState::default(),
            Some(_) => self.read()?,
        };
        // A version that could not be read is read again.
        self.seen.set(version);
        Ok(Some(state))
    }

    fn read(&self) -> Result<AdminState, StateFileError> {
        let length = match fs::metadata(&self.path) {
            Ok(metadata) => metadata.len(),
            Err(e) if e.kind() == ErrorKind::NotFound => return Ok(AdminState::default()),
            Err(e) => return Err(self.io_error(e)),
        };
        // What is too long is not read, and cannot be understood then.
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

    /// Changes the content under the lock, and returns it as it is then.
    ///
    /// This runs on the thread that serves clients, so it does not wait for another process: a lock that a stopped or
    /// slow one holds leads to an error.
    ///
    /// # Errors
    ///
    /// The error of `change`, or why the file cannot be written; the file is as it was then.
    pub async fn update<P: Runtime>(
        &self,
        change: impl Fn(&mut AdminState) -> Result<(), ChangeError>,
    ) -> Result<AdminState, StateFileError> {
        let lock = File::create(self.path.with_extension(LOCK_EXTENSION));
        let lock = lock.map_err(|e| self.io_error(e))?;
        // Dropping the file releases the lock.
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
        // The change is in force, and outlives the process. Whether it outlives the machine is not known then.
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
