//! The state directory of the daemon. It holds the stored state, the copies of the program, the
//! configurations of the instances and the sockets, and is locked by one daemon at a time.

use std::collections::BTreeSet;
use std::fs::{self, DirBuilder, File, TryLockError};
use std::io;
use std::os::unix::fs::{DirBuilderExt, PermissionsExt};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use thiserror::Error;

use crate::atomic_file::write_atomically;
use crate::planner::ProgramId;
use crate::state::PersistentState;

/// The time for which a held lock is retried. A child that a killed daemon was just starting inherits
/// the lock and holds it until it has executed its program.
const LOCK_TIMEOUT: Duration = Duration::from_secs(2);
const LOCK_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// The mode of directories and programs, which only their owner can access.
const OWNER_ONLY: u32 = 0o700;
const STATE_FILE: &str = "ledger.json";
const CONFIGURATIONS: &str = "run";
const PROGRAMS: &str = "bin";
const PROGRAM_PREFIX: &str = "program-";

/// An error of the state directory.
#[derive(Debug, Error)]
pub enum StateError {
    /// A file or directory cannot be read, written or created.
    #[error("{}: {source}", path.display())]
    Io {
        /// The file or directory.
        path: PathBuf,
        /// The I/O error.
        source: io::Error,
    },
    /// Another daemon has locked the directory.
    #[error("{}: another daemon uses this state directory", path.display())]
    Locked {
        /// The directory.
        path: PathBuf,
    },
    /// The stored state cannot be parsed. The daemon does not continue without it, as it would start
    /// all instances anew.
    #[error("{}: {source}", path.display())]
    Corrupt {
        /// The file.
        path: PathBuf,
        /// The parse error.
        source: serde_json::Error,
    },
}

impl StateError {
    fn io(path: &Path) -> impl Fn(io::Error) -> StateError + use<'_> {
        |source| StateError::Io { path: path.to_owned(), source }
    }
}

/// A state directory that this daemon has locked.
pub struct StateDirectory {
    path: PathBuf,
    _lock: File,
}

impl StateDirectory {
    /// Opens and locks a directory. It is created if it does not exist.
    ///
    /// # Errors
    ///
    /// When the directory cannot be created or accessed, or another daemon has locked it.
    pub fn open(path: &Path) -> Result<StateDirectory, StateError> {
        let mut builder = DirBuilder::new();
        builder.recursive(true).mode(OWNER_ONLY);
        builder.create(path).map_err(StateError::io(path))?;
        let path = path.canonicalize().map_err(StateError::io(path))?;
        // The mode of the directory is the only protection of the sockets in it.
        fs::set_permissions(&path, fs::Permissions::from_mode(OWNER_ONLY))
            .map_err(StateError::io(&path))?;
        for part in [CONFIGURATIONS, PROGRAMS] {
            builder.create(path.join(part)).map_err(StateError::io(&path))?;
        }
        let lock = lock(&path)?;
        Ok(StateDirectory { path, _lock: lock })
    }

    /// Returns the canonical path of the directory.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Returns the path of a file or socket in the directory.
    pub fn file(&self, name: &str) -> PathBuf {
        self.path.join(name)
    }

    /// Returns the path of the configuration file of a slot.
    pub fn configuration(&self, slot: &str) -> PathBuf {
        self.path.join(CONFIGURATIONS).join(format!("{slot}.json"))
    }

    /// Returns the path of the copy of a program.
    pub fn program(&self, id: ProgramId) -> PathBuf {
        self.path.join(PROGRAMS).join(format!("{PROGRAM_PREFIX}{id}"))
    }

    /// Reads the stored state. Returns an empty state if none is stored.
    ///
    /// # Errors
    ///
    /// When the stored state cannot be read or parsed.
    pub fn load(&self) -> Result<PersistentState, StateError> {
        let path = self.file(STATE_FILE);
        match fs::read(&path) {
            Ok(text) => serde_json::from_slice(&text)
                .map_err(|source| StateError::Corrupt { path: path.clone(), source }),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(PersistentState::default()),
            Err(error) => Err(StateError::io(&path)(error)),
        }
    }

    /// Stores the state.
    ///
    /// # Errors
    ///
    /// When it cannot be written. The previous state usually remains stored, see [`write_atomically`].
    pub fn store(&self, state: &PersistentState) -> io::Result<()> {
        let text = serde_json::to_vec(state)?;
        write_atomically(&self.file(STATE_FILE), &text)
    }

    /// Copies a program into the directory, so that it can be started again even if the original file
    /// is changed or removed. Returns the number of the copy: `new_id`, or the number of one of the
    /// `known` copies if that has the same content.
    ///
    /// # Errors
    ///
    /// When the program cannot be read or copied.
    pub fn import_program(
        &self,
        path: &Path,
        known: &[ProgramId],
        new_id: ProgramId,
    ) -> io::Result<ProgramId> {
        let bytes = fs::read(path)?;
        for id in known {
            if fs::read(self.program(*id)).is_ok_and(|copy| copy == bytes) {
                return Ok(*id);
            }
        }
        let copy = self.program(new_id);
        write_atomically(&copy, &bytes)?;
        fs::set_permissions(&copy, fs::Permissions::from_mode(OWNER_ONLY))?;
        Ok(new_id)
    }

    /// Removes all copies of programs except those in `needed`.
    pub fn remove_unused_programs(&self, needed: &BTreeSet<ProgramId>) {
        let Ok(entries) = fs::read_dir(self.path.join(PROGRAMS)) else { return };
        for entry in entries.flatten() {
            let name = entry.file_name();
            let id = name.to_str().and_then(|name| name.strip_prefix(PROGRAM_PREFIX)?.parse().ok());
            if id.is_none_or(|id| !needed.contains(&id)) {
                let _ = fs::remove_file(entry.path());
            }
        }
    }
}

/// Locks a directory. The lock is released when the returned file is closed.
fn lock(directory: &Path) -> Result<File, StateError> {
    use std::os::unix::fs::OpenOptionsExt;

    let mut options = File::options();
    options.create(true).truncate(false).write(true).mode(0o600);
    let file = options.open(directory.join("lock")).map_err(StateError::io(directory))?;
    let deadline = Instant::now() + LOCK_TIMEOUT;
    loop {
        match file.try_lock() {
            Ok(()) => return Ok(file),
            Err(TryLockError::WouldBlock) if Instant::now() < deadline => {
                std::thread::sleep(LOCK_RETRY_INTERVAL);
            }
            Err(TryLockError::WouldBlock) => {
                return Err(StateError::Locked { path: directory.to_owned() });
            }
            Err(TryLockError::Error(error)) => return Err(StateError::io(directory)(error)),
        }
    }
}
