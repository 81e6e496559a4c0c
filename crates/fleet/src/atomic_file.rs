//! Atomic replacement of files.

use std::fs::{self, File};
use std::io::{self, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;

/// Replaces the content of a file by `bytes`. A new file is written beside the old one, synced and
/// renamed over it (rename(2)), and the directory is synced (fsync(2)). Only the owner may read the file.
///
/// # Errors
///
/// When an operation on the file system fails. The old file usually remains. If only the directory could
/// not be synced, the new file is in place, but a crash of the machine may bring the old one back: the
/// caller cannot rely on either and has to write again.
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
