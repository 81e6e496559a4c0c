//! The file in which Linux reports the memory of the process.

use std::cell::RefCell;
use std::fs::File;
use std::io::{self, ErrorKind};
use std::os::unix::fs::FileExt;

/// The file.
const PATH: &str = "/proc/self/statm";
/// The position of the number of resident pages in it.
const RESIDENT_FIELD: usize = 1;
/// The position of the number of resident pages of files.
const FILE_FIELD: usize = 2;
/// The file pages of a program with optimizations, in bytes. A program without them has several times as many, for which
/// its memory limit is not meant.
const OPTIMIZED_PROGRAM_BYTES: usize = 4800 << 10;
/// The maximum length of the file in bytes: seven numbers of up to 20 digits.
const MAX_BYTES: usize = 7 * 21;

/// Reads `/proc/self/statm`. The file stays open, so that it can still be read when no descriptor is left.
pub(crate) struct Statm {
    file: RefCell<Option<File>>,
    page_bytes: usize,
}

impl Statm {
    pub(crate) fn new() -> Statm {
        Statm { file: RefCell::new(File::open(PATH).ok()), page_bytes: rustix::param::page_size() }
    }

    /// Returns the resident memory of the process in bytes.
    pub(crate) fn resident_bytes(&self) -> io::Result<usize> {
        let mut file = self.file.borrow_mut();
        let opened = match file.take() {
            Some(opened) => opened,
            None => File::open(PATH)?,
        };
        let mut buffer = [0; MAX_BYTES];
        // The file is opened again after a failure.
        let length = read_at_start(&opened, &mut buffer)?;
        *file = Some(opened);
        let text = std::str::from_utf8(&buffer[..length]).unwrap_or_default();
        let field = |position| {
            let pages: Option<usize> = parse_field(text, position);
            let bytes = pages.map(|pages| pages.saturating_mul(self.page_bytes));
            bytes.ok_or_else(|| io::Error::from(ErrorKind::InvalidData))
        };
        let resident = field(RESIDENT_FIELD)?;
        if cfg!(debug_assertions) {
            let anonymous = resident.saturating_sub(field(FILE_FIELD)?);
            return Ok(anonymous + OPTIMIZED_PROGRAM_BYTES);
        }
        Ok(resident)
    }
}

fn read_at_start(file: &File, buffer: &mut [u8]) -> io::Result<usize> {
    loop {
        match file.read_at(buffer, 0) {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            read => return read,
        }
    }
}

fn parse_field(text: &str, position: usize) -> Option<usize> {
    text.split_ascii_whitespace().nth(position)?.parse().ok()
}
