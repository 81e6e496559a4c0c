//! The ids of requests that the processes of one sidecar take, in files that they share.
//!
//! While a process is replaced, its successor accepts clients on the same listener, and a client that has left one of the
//! two may come again at the other. So each process appends the id of a request that must not run twice to a file before
//! the request is sent, and then reads what other processes have appended. Of two processes that take the same id, at least
//! one finds the id of the other, and rejects the request.
//!
//! There is a file for each period of time. An id counts as taken during its period and the next one.

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::fs::{self, File, OpenOptions};
use std::hash::{BuildHasher, RandomState};
use std::io::{self, ErrorKind, Write};
use std::os::unix::fs::{FileExt, OpenOptionsExt};
use std::path::{Path, PathBuf};
use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

use crate::sidecar::config::stable_hash;

/// Prefix of the file names.
const FILE_PREFIX: &str = "lb-request-ids";
/// Length of a period.
const PERIOD: Duration = Duration::from_secs(30);
/// Maximum length of a file in bytes. It has room for 500 requests a second.
const MAX_FILE_BYTES: u64 = 512 << 10;
/// Permissions of the files: for the user of the sidecar alone.
const FILE_MODE: u32 = 0o600;
/// Number of bytes that are read at once.
const READ_BYTES: usize = 4096;
/// Number of hexadecimal digits of each of the two numbers of a record.
const NUMBER_DIGITS: usize = 16;

/// A record of a file: a process has taken an id.
///
/// In the file it stands between two line feeds, so that it can be read behind one of which only a part was written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Record {
    /// The hash of the id.
    id: u64,
    /// The process that has taken it.
    process: u64,
}

impl Record {
    fn encode(self) -> String {
        format!("\n{:016x}{:016x}\n", self.id, self.process)
    }

    fn decode(line: &[u8]) -> Option<Record> {
        let text = std::str::from_utf8(line).ok().filter(|text| text.len() == 2 * NUMBER_DIGITS)?;
        let number = |digits: &str| u64::from_str_radix(digits, 16).ok();
        let (id, process) = text.split_at_checked(NUMBER_DIGITS)?;
        Some(Record { id: number(id)?, process: number(process)? })
    }
}

/// The file of one period.
struct PeriodFile {
    period: u64,
    file: File,
    /// Number of bytes that were read.
    read: u64,
    /// The hashes of the ids that other processes have taken.
    taken: HashSet<u64>,
}

impl PeriodFile {
    fn open(path: &Path, period: u64) -> io::Result<PeriodFile> {
        let mut options = OpenOptions::new();
        let file = options.read(true).append(true).create(true).mode(FILE_MODE).open(path)?;
        Ok(PeriodFile { period, file, read: 0, taken: HashSet::new() })
    }

    fn is_full(&self) -> bool {
        self.read >= MAX_FILE_BYTES
    }

    /// Appends a record in one write, so that records of other processes do not come between its bytes.
    fn append(&mut self, record: Record) -> io::Result<()> {
        if self.is_full() {
            return Err(ErrorKind::FileTooLarge.into());
        }
        let text = record.encode();
        match self.file.write(text.as_bytes())? {
            written if written == text.len() => Ok(()),
            _ => Err(ErrorKind::WriteZero.into()),
        }
    }

    /// Reads the records that were appended since the last call.
    fn read_new(&mut self, own_process: u64) -> io::Result<()> {
        let mut buffer = [0; READ_BYTES];
        while !self.is_full() {
            let length = match self.file.read_at(&mut buffer, self.read) {
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                length => length?,
            };
            let bytes = &buffer[..length];
            let Some(last_end) = bytes.iter().rposition(|&byte| byte == b'\n') else {
                let is_no_record = length == READ_BYTES;
                if !is_no_record {
                    return Ok(());
                }
                self.read += length as u64;
                continue;
            };
            let records = bytes[..last_end].split(|&byte| byte == b'\n').filter_map(Record::decode);
            let others = records.filter(|record| record.process != own_process);
            self.taken.extend(others.map(|record| record.id));
            self.read += last_end as u64 + 1;
        }
        Ok(())
    }
}

/// The files with the ids of requests that the processes of one sidecar have taken.
pub struct SharedRequestIdLog {
    directory: PathBuf,
    /// Prefix of the names of the files, which the number of the period follows.
    prefix: String,
    /// A random number that identifies this process.
    process: u64,
    /// The files of the last period and the present one, as far as they are open.
    files: RefCell<Vec<PeriodFile>>,
    /// The period in which a failure was last logged.
    failure_logged_in: Cell<Option<u64>>,
    /// A clock that all processes share, and that nobody steps.
    clock: fn() -> Duration,
}

impl SharedRequestIdLog {
    /// Creates the log of the sidecar called `name` in `directory`, which its other processes share.
    pub fn new(directory: &Path, name: &str) -> SharedRequestIdLog {
        SharedRequestIdLog::with_clock(directory, name, monotonic_time)
    }

    fn with_clock(directory: &Path, name: &str, clock: fn() -> Duration) -> SharedRequestIdLog {
        SharedRequestIdLog {
            directory: directory.to_owned(),
            prefix: format!("{FILE_PREFIX}-{:016x}-", stable_hash(name.as_bytes())),
            process: RandomState::new().hash_one(std::process::id()),
            files: RefCell::default(),
            failure_logged_in: Cell::new(None),
            clock,
        }
    }

    /// Takes an id. Returns `false` if another process has taken it, and `true` also if that cannot be determined: a
    /// failing file must not keep out all requests.
    pub fn claim(&self, id: &str) -> bool {
        match self.try_claim(stable_hash(id.as_bytes())) {
            Ok(is_free) => is_free,
            Err(error) => {
                self.log_failure(&error);
                true
            }
        }
    }

    fn try_claim(&self, id: u64) -> io::Result<bool> {
        loop {
            let period = self.period();
            self.open(period)?;
            let mut files = self.files.borrow_mut();
            let record = Record { id, process: self.process };
            let current = files.iter_mut().find(|file| file.period == period);
            let appended = current.map_or(Ok(()), |current| current.append(record));
            for file in files.iter_mut() {
                file.read_new(self.process)?;
            }
            if files.iter().any(|file| file.taken.contains(&id)) {
                return Ok(false);
            }
            appended?;
            // A process that has taken the id in a new period may have read this file before the record was appended.
            if self.period() == period {
                return Ok(true);
            }
        }
    }

    fn period(&self) -> u64 {
        (self.clock)().as_secs() / PERIOD.as_secs()
    }

    /// Opens the files of `period` and the one before, unless they are open, and removes older ones.
    fn open(&self, period: u64) -> io::Result<()> {
        let mut files = self.files.borrow_mut();
        if files.iter().any(|file| file.period == period) {
            return Ok(());
        }
        let is_recent = |file_period: u64| file_period + 1 >= period && file_period <= period + 1;
        files.retain(|file| is_recent(file.period));
        self.remove_files_unless(is_recent)?;
        for period in [period.saturating_sub(1), period] {
            if files.iter().all(|file| file.period != period) {
                files.push(PeriodFile::open(&self.path(period), period)?);
            }
        }
        Ok(())
    }

    fn remove_files_unless(&self, is_recent: impl Fn(u64) -> bool) -> io::Result<()> {
        for entry in fs::read_dir(&self.directory)? {
            let entry = entry?;
            let name = entry.file_name();
            let period = name.to_str().and_then(|name| name.strip_prefix(&self.prefix));
            let period = period.and_then(|period| period.parse().ok());
            if period.is_some_and(|period| !is_recent(period)) {
                // Another process may have removed it.
                let _ = fs::remove_file(entry.path());
            }
        }
        Ok(())
    }

    fn path(&self, period: u64) -> PathBuf {
        self.directory.join(format!("{}{period}", self.prefix))
    }

    /// Logs a failure, once in each period.
    fn log_failure(&self, error: &io::Error) {
        let period = self.period();
        if self.failure_logged_in.replace(Some(period)) != Some(period) {
            let directory = self.directory.display();
            tracing::warn!(%directory, %error, "failed to share request ids with other processes");
        }
    }
}

/// Returns the time since the machine started.
fn monotonic_time() -> Duration {
    let time = clock_gettime(ClockId::Monotonic);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec.unsigned_abs() as u32)
}

#[cfg(test)]
mod tests;
