//! What must outlive a process, in a folder of its own: one file, replaced as a whole.

use std::fs::{self, File, TryLockError};
use std::io;
use std::path::{Path, PathBuf};

use serde::Serialize;
use serde::de::DeserializeOwned;

/// A folder, locked for one process.
pub struct Store {
    path: PathBuf,
    _lock: File,
}

impl Store {
    /// Opens the folder, and makes it if need be.
    ///
    /// # Errors
    ///
    /// When it cannot be used, or another process has it.
    pub fn open(folder: &Path) -> Result<Store, String> {
        let context = |e: io::Error| format!("{}: {e}", folder.display());
        fs::create_dir_all(folder).map_err(context)?;
        let mut options = File::options();
        let lock = options.create(true).truncate(false).write(true).open(folder.join("lock"));
        let lock = lock.map_err(context)?;
        match lock.try_lock() {
            Ok(()) => Ok(Store { path: folder.join("state.json"), _lock: lock }),
            Err(TryLockError::WouldBlock) => {
                Err(format!("{}: another process has this state", folder.display()))
            }
            Err(TryLockError::Error(e)) => Err(context(e)),
        }
    }

    /// What was kept; none if nothing was.
    ///
    /// # Errors
    ///
    /// When there is something that cannot be read: to take it for nothing could put what is older in force.
    pub fn read<T: DeserializeOwned>(&self) -> Result<Option<T>, String> {
        let context = |e: &dyn std::fmt::Display| format!("{}: {e}", self.path.display());
        match fs::read(&self.path) {
            Ok(text) => serde_json::from_slice(&text).map(Some).map_err(|e| context(&e)),
            Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(e) => Err(context(&e)),
        }
    }

    /// Keeps something; once this returns it is on disk.
    ///
    /// # Errors
    ///
    /// When it is not; what was kept before still is.
    pub fn keep(&self, what: &impl Serialize) -> Result<(), String> {
        let context = |e: &dyn std::fmt::Display| format!("{}: {e}", self.path.display());
        let text = serde_json::to_vec(what).map_err(|e| context(&e))?;
        fleet::replace(&self.path, &text).map_err(|e| context(&e))
    }
}
