//! Persistent state: one file in a directory of its own, which is replaced atomically.

use std::fs::{self, File, TryLockError};
use std::io;
use std::path::{Path, PathBuf};

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Name of the file that contains the state.
const STATE_FILE: &str = "state.json";
/// Name of the file that is locked while a process uses the directory.
const LOCK_FILE: &str = "lock";

/// The error of reading or writing the state.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// A file or directory cannot be accessed.
    #[error("{}: {source}", path.display())]
    Io {
        /// The path of the file or directory.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// Another process uses the directory.
    #[error("{}: in use by another process", directory.display())]
    Locked {
        /// The directory.
        directory: PathBuf,
    },
    /// The state cannot be converted from or to JSON.
    #[error("{}: {source}", path.display())]
    Json {
        /// The path of the state.
        path: PathBuf,
        /// The cause.
        source: serde_json::Error,
    },
}

/// A directory with state that is locked for this process.
pub struct StateStore {
    path: PathBuf,
    _lock: File,
}

impl StateStore {
    /// Opens and locks a directory, and creates it if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns an error if the directory cannot be accessed, or another process uses it.
    pub fn open(directory: &Path) -> Result<StateStore, StoreError> {
        let io_error = |source| StoreError::Io { path: directory.to_owned(), source };
        fs::create_dir_all(directory).map_err(io_error)?;
        let mut options = File::options();
        options.create(true).truncate(false).write(true);
        let lock = options.open(directory.join(LOCK_FILE)).map_err(io_error)?;
        match lock.try_lock() {
            Ok(()) => Ok(StateStore { path: directory.join(STATE_FILE), _lock: lock }),
            Err(TryLockError::WouldBlock) => {
                Err(StoreError::Locked { directory: directory.to_owned() })
            }
            Err(TryLockError::Error(source)) => Err(io_error(source)),
        }
    }

    /// Reads the state. Returns `None` if none has been written yet.
    ///
    /// # Errors
    ///
    /// Returns an error if there is state that cannot be read. Treating it as missing could lead to older documents
    /// being applied again.
    pub fn read<T: DeserializeOwned>(&self) -> Result<Option<T>, StoreError> {
        match fs::read(&self.path) {
            Ok(text) => serde_json::from_slice(&text).map(Some).map_err(|e| self.json_error(e)),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(error) => Err(self.io_error(error)),
        }
    }

    /// Writes the state. It is on disk once this function returns.
    ///
    /// # Errors
    ///
    /// Returns an error if the state cannot be written. The previous state is usually still on disk then, see
    /// [`fleet::write_atomically`].
    pub fn write(&self, state: &impl Serialize) -> Result<(), StoreError> {
        let text = serde_json::to_vec(state).map_err(|error| self.json_error(error))?;
        fleet::write_atomically(&self.path, &text).map_err(|error| self.io_error(error))
    }

    fn io_error(&self, source: io::Error) -> StoreError {
        StoreError::Io { path: self.path.clone(), source }
    }

    fn json_error(&self, source: serde_json::Error) -> StoreError {
        StoreError::Json { path: self.path.clone(), source }
    }
}
