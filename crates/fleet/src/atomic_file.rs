//! Files that are replaced as a whole.

use std::fs::{self, File};
use std::io::{self, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;

/// Replaces a file by one that holds `bytes`: the new file is written beside the old one, synced and
/// renamed over it (rename(2)), and the directory is synced (fsync(2)). Only its owner may read it.
///
/// # Errors
///
/// When the file system fails. Usually the old file is still there. If it was the directory that
/// could not be synced, the new file is in place, and the old one may be back after a crash of the
/// machine: the caller cannot rely on either, and has to write again.
pub fn write_atomically(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let temporary = path.with_extension("new");
    let written = write_and_rename(&temporary, path, bytes);
    if written.is_err() {
        let _ = fs::remove_file(&temporary);
    }
    written
}

fn write_and_rename(temporary: &Path, path: &Path, bytes: &[u8]) -> io::Result<()> {
    let mut options = File::options();
    options.create(true).truncate(true).write(true).mode(0o600);
    let mut file = options.open(temporary)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    fs::rename(temporary, path)?;
    match path.parent() {
        Some(directory) => File::open(directory)?.sync_all(),
        None => Ok(()),
    }
}
