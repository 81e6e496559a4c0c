//! What must outlive the daemon: the generations, the desired state, and what happened. Each file is
//! replaced as a whole, so that it is the old one or the new one at any moment.

use std::collections::{BTreeMap, BTreeSet};
use std::fs::{self, File, TryLockError};
use std::io::{self, Write};
use std::os::unix::fs::{DirBuilderExt, OpenOptionsExt, PermissionsExt};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

use crate::planner::Generation;
use crate::spec::Spec;

/// What is kept of the past.
const REMEMBERED: usize = 200;
/// A child of a daemon that was killed holds its lock until it has become another program.
const LOCK_PATIENCE: Duration = Duration::from_secs(2);

/// One generation.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Made {
    /// What is desired.
    pub spec: Spec,
    /// The number of its program.
    pub program: u64,
    /// Counts that the operators gave in place of the templates'.
    pub counts: BTreeMap<String, usize>,
}

/// Something that happened.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Happened {
    /// Unix time in seconds.
    pub at: u64,
    /// What.
    pub what: String,
}

/// What is kept.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Ledger {
    /// The last number given to a generation.
    pub last: Generation,
    /// The last number given to a program.
    pub last_program: u64,
    /// What all are to run; 0: nothing yet.
    pub target: Generation,
    /// What is known to be good.
    pub base: Generation,
    /// What the file said when it was last taken over. An upgrade may have gone beyond it.
    pub read: Option<Spec>,
    /// The generations that are needed.
    pub generations: BTreeMap<Generation, Made>,
    /// Slots that the operators took out.
    pub drained: BTreeSet<String>,
    /// What happened, the oldest first.
    pub history: Vec<Happened>,
}

impl Ledger {
    /// Notes that something happened.
    pub fn note(&mut self, what: String) {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        self.history.push(Happened { at: now.as_secs(), what });
        let surplus = self.history.len().saturating_sub(REMEMBERED);
        self.history.drain(..surplus);
    }
}

/// The folder of the state, locked for one daemon.
pub struct Store {
    folder: PathBuf,
    _lock: File,
}

impl Store {
    /// Opens the folder, makes it if need be, and locks it.
    ///
    /// # Errors
    ///
    /// When it cannot be used, or another daemon has it.
    pub fn open(folder: &Path) -> Result<Store, String> {
        let context = |e: io::Error| format!("{}: {e}", folder.display());
        let mut builder = fs::DirBuilder::new();
        builder.recursive(true).mode(0o700).create(folder).map_err(context)?;
        let folder = folder.canonicalize().map_err(context)?;
        let context = |e: io::Error| format!("{}: {e}", folder.display());
        // What lies here is the owner's only, sockets too.
        fs::set_permissions(&folder, fs::Permissions::from_mode(0o700)).map_err(context)?;
        for part in ["run", "bin"] {
            builder.create(folder.join(part)).map_err(context)?;
        }
        let mut options = File::options();
        let lock = options.create(true).truncate(false).write(true).mode(0o600);
        let lock = lock.open(folder.join("lock")).map_err(context)?;
        let end = Instant::now() + LOCK_PATIENCE;
        loop {
            match lock.try_lock() {
                Ok(()) => break,
                Err(TryLockError::WouldBlock) if Instant::now() < end => {
                    std::thread::sleep(Duration::from_millis(50));
                }
                Err(TryLockError::WouldBlock) => {
                    return Err(format!("{}: another daemon has this state", folder.display()));
                }
                Err(TryLockError::Error(e)) => return Err(context(e)),
            }
        }
        Ok(Store { folder, _lock: lock })
    }

    /// The folder.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// A file or socket in it.
    pub fn path(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }

    /// Where a slot's configuration lies.
    pub fn configuration(&self, slot: &str) -> PathBuf {
        self.folder.join("run").join(format!("{slot}.json"))
    }

    /// Where a program is kept.
    pub fn program(&self, number: u64) -> PathBuf {
        self.folder.join("bin").join(format!("program-{number}"))
    }

    /// Reads the ledger; a new one if there is none.
    ///
    /// # Errors
    ///
    /// When there is one that cannot be read: to go on without would start everything anew.
    pub fn ledger(&self) -> Result<Ledger, String> {
        let path = self.path("ledger.json");
        match fs::read(&path) {
            Ok(text) => {
                serde_json::from_slice(&text).map_err(|e| format!("{}: {e}", path.display()))
            }
            Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(Ledger::default()),
            Err(e) => Err(format!("{}: {e}", path.display())),
        }
    }

    /// Keeps the ledger.
    ///
    /// # Errors
    ///
    /// When it cannot be written; the old one is still there.
    pub fn keep(&self, ledger: &Ledger) -> io::Result<()> {
        let text = serde_json::to_vec(ledger)?;
        replace(&self.path("ledger.json"), &text)
    }

    /// Keeps a copy of a program, so that the one that runs can be started again whatever becomes
    /// of the file that it came from. The number of the same program, if there is a copy already.
    ///
    /// # Errors
    ///
    /// When it cannot be read or copied.
    pub fn adopt_program(&self, path: &Path, known: &[u64], number: u64) -> io::Result<u64> {
        let bytes = fs::read(path)?;
        for n in known {
            if fs::read(self.program(*n)).is_ok_and(|own| own == bytes) {
                return Ok(*n);
            }
        }
        let to = self.program(number);
        replace(&to, &bytes)?;
        fs::set_permissions(&to, fs::Permissions::from_mode(0o700))?;
        Ok(number)
    }

    /// Lets programs go that no generation needs.
    pub fn tidy(&self, needed: &BTreeSet<u64>) {
        let Ok(all) = fs::read_dir(self.folder.join("bin")) else { return };
        for entry in all.flatten() {
            let name = entry.file_name();
            let number = name.to_str().and_then(|n| n.strip_prefix("program-")?.parse().ok());
            if number.is_none_or(|n| !needed.contains(&n)) {
                let _ = fs::remove_file(entry.path());
            }
        }
    }
}

/// Replaces a file by one that holds `bytes`: whole, or not at all (rename(2), after fsync(2) of
/// what it is to hold).
///
/// # Errors
///
/// When the file system does not let it; the old file is still there.
pub fn replace(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let new = path.with_extension("new");
    let written = (|| {
        let mut file =
            File::options().create(true).truncate(true).write(true).mode(0o600).open(&new)?;
        file.write_all(bytes)?;
        file.sync_all()?;
        fs::rename(&new, path)?;
        path.parent().map_or(Ok(()), |folder| File::open(folder)?.sync_all())
    })();
    if written.is_err() {
        let _ = fs::remove_file(&new);
    }
    written
}

#[cfg(test)]
mod tests {
    use super::*;
    use fakes::program::Folder;

    #[test]
    fn a_second_daemon_is_kept_out_and_the_next_let_in() {
        let folder = Folder::new("state");
        let first = Store::open(folder.path()).expect("free");
        let why = Store::open(folder.path()).err().expect("taken");
        assert!(why.contains("another daemon"), "{why}");
        drop(first);
        let mode = fs::metadata(folder.path()).expect("there").permissions().mode();
        assert_eq!(mode & 0o777, 0o700);
        Store::open(folder.path()).expect("free again");
    }

    #[test]
    fn a_ledger_that_cannot_be_read_is_not_taken_for_none() {
        let folder = Folder::new("state");
        let store = Store::open(folder.path()).expect("free");
        let mut ledger = store.ledger().expect("none yet");
        for n in 0..REMEMBERED + 5 {
            ledger.note(format!("{n}"));
        }
        ledger.target = 7;
        store.keep(&ledger).expect("kept");
        let again = store.ledger().expect("there");
        assert_eq!((again.target, again.history.len()), (7, REMEMBERED));
        assert_eq!(again.history[0].what, "5");
        fs::write(store.path("ledger.json"), b"{\"last\":").expect("written");
        assert!(store.ledger().is_err());
    }

    #[test]
    fn the_same_program_is_kept_once() {
        let folder = Folder::new("state");
        let store = Store::open(folder.path()).expect("free");
        let (a, b) = (folder.path().join("a"), folder.path().join("b"));
        fs::write(&a, b"one").expect("written");
        fs::write(&b, b"two").expect("written");
        assert_eq!(store.adopt_program(&a, &[], 1).expect("kept"), 1);
        assert_eq!(store.adopt_program(&a, &[1], 2).expect("kept"), 1);
        assert_eq!(store.adopt_program(&b, &[1], 2).expect("kept"), 2);
        store.tidy(&BTreeSet::from([2]));
        assert!(!store.program(1).exists() && store.program(2).exists());
    }
}
