//! The standing orders on disk, in a folder that a process shares with its successor. A file is
//! written whole under a lock and renamed into place.

use std::cell::Cell;
use std::fs::{self, File, TryLockError};
use std::io::{self, ErrorKind, Write};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::time::Duration;

use runtime::Runtime;

use super::orders::Orders;
use crate::sidecar::config::stable_hash;

/// Between two tries for the lock, and how many there are.
const AGAIN: Duration = Duration::from_millis(5);
const TRIES: usize = 100;
/// The longest file: all the orders there can be, with names of a hundred bytes.
const LONGEST: u64 = 1 << 20;

/// What the names of these files begin with: kept from earlier versions, so that a process finds the
/// orders that its predecessor of either version left.
const FILE_PREFIX: &str = "plankvale-";

/// Which file it is: its number, and when it was written.
type Stamp = (u64, i64, i64);

/// The file of one sidecar's orders.
pub struct Record {
    path: PathBuf,
    seen: Cell<Option<Stamp>>,
}

impl Record {
    /// The record of the sidecar of this name, in this folder.
    pub fn new(folder: &Path, name: &str) -> Record {
        let file = format!("{FILE_PREFIX}{:016x}.json", stable_hash(name.as_bytes()));
        Record { path: folder.join(file), seen: Cell::new(None) }
    }

    /// What stands there, if it has changed since this was last asked.
    ///
    /// # Errors
    ///
    /// Why it cannot be read. A file that cannot be understood is put aside, so that the next order
    /// finds room.
    pub fn news(&self) -> Result<Option<Orders>, String> {
        let at = |e: io::Error| format!("{}: {e}", self.path.display());
        let stamp = match fs::metadata(&self.path) {
            Ok(m) => Some((m.ino(), m.mtime(), m.mtime_nsec())),
            Err(e) if e.kind() == ErrorKind::NotFound => None,
            Err(e) => return Err(at(e)),
        };
        if self.seen.replace(stamp) == stamp {
            return Ok(None);
        }
        match stamp {
            None => Ok(Some(Orders::default())),
            Some(_) => self.read().map(Some),
        }
    }

    fn read(&self) -> Result<Orders, String> {
        let at = |e: &dyn std::fmt::Display| format!("{}: {e}", self.path.display());
        let length = match fs::metadata(&self.path) {
            Ok(m) => m.len(),
            Err(e) if e.kind() == ErrorKind::NotFound => return Ok(Orders::default()),
            Err(e) => return Err(at(&e)),
        };
        let text = match length {
            0..=LONGEST => fs::read(&self.path).map_err(|e| at(&e))?,
            _ => Vec::new(),
        };
        serde_json::from_slice(&text).map_err(|e| {
            let aside = self.path.with_extension("unreadable");
            let moved = fs::rename(&self.path, &aside).map(|()| aside.display().to_string());
            at(&format!("{e}; put aside: {}", moved.unwrap_or_else(|e| e.to_string())))
        })
    }

    /// Changes what stands there; what stands there then is returned.
    ///
    /// Danger: this runs on the thread that serves clients. Nothing here waits for the other process:
    /// a lock that it keeps, stopped or slow, ends in an error.
    ///
    /// # Errors
    ///
    /// What `change` says, or why it cannot be written; then the old file stands.
    pub async fn change<P: Runtime>(
        &self,
        change: impl Fn(&mut Orders) -> Result<(), String>,
    ) -> Result<Orders, String> {
        let at = |e: io::Error| format!("{}: {e}", self.path.display());
        let lock = File::create(self.path.with_extension("lock")).map_err(at)?;
        let mut tries = 0;
        loop {
            match lock.try_lock() {
                Ok(()) => break,
                Err(TryLockError::WouldBlock) if tries < TRIES => {
                    tries += 1;
                    P::sleep(AGAIN).await;
                }
                Err(e) => return Err(at(e.into())),
            }
        }
        // The lock ends with its file.
        let mut orders = self.read()?;
        let old = orders.clone();
        change(&mut orders)?;
        if orders != old {
            let new = self.path.with_extension("new");
            let text = serde_json::to_vec(&orders).map_err(|e| at(e.into()))?;
            File::create(&new)
                .and_then(|mut file| file.write_all(&text).and_then(|()| file.sync_all()))
                .and_then(|()| fs::rename(&new, &self.path))
                .map_err(at)?;
        }
        Ok(orders)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use runtime::TokioRuntime;

    fn on(test: impl Future<Output = ()>) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        runtime.expect("a runtime").block_on(test);
    }

    fn folder(name: &str) -> PathBuf {
        let folder = std::env::temp_dir().join(format!("record-{name}-{}", std::process::id()));
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).expect("a folder");
        folder
    }

    #[test]
    fn two_processes_see_each_others_orders() {
        let folder = folder("two");
        let (a, b) = (Record::new(&folder, "n0"), Record::new(&folder, "n0"));
        on(async {
            assert_eq!(b.news(), Ok(None), "nothing stands there yet");
            let out = |name: &'static str| {
                move |o: &mut Orders| {
                    o.out.insert(name.to_owned());
                    Ok(())
                }
            };
            a.change::<TokioRuntime>(out("x")).await.expect("written");
            let seen = b.news().expect("read").expect("news");
            assert!(seen.out.contains("x"));
            let both = b.change::<TokioRuntime>(out("y")).await.expect("written");
            assert_eq!(both.out.len(), 2, "the other's order stays");
            assert_eq!(a.news().expect("read").expect("news"), both);
            assert_eq!(a.news(), Ok(None));
            let refused = a.change::<TokioRuntime>(|_| Err("no".into())).await;
            assert_eq!(refused, Err("no".into()));
            assert_eq!(b.news().expect("read"), Some(both));
            assert_eq!(b.news(), Ok(None), "a refused order writes nothing");
        });
        let _ = fs::remove_dir_all(folder);
    }

    #[test]
    fn a_file_that_cannot_be_understood_is_put_aside_and_named() {
        let folder = folder("aside");
        let record = Record::new(&folder, "n0");
        fs::write(&record.path, b"{\"out\":").expect("written");
        let why = record.news().expect_err("not understood");
        assert!(why.contains("plankvale-") && why.contains("put aside"), "{why}");
        on(async {
            let orders = record.change::<TokioRuntime>(|o| {
                o.drained = true;
                Ok(())
            });
            assert!(orders.await.expect("written").drained);
        });
        assert!(record.path.with_extension("unreadable").exists());
        let _ = fs::remove_dir_all(folder);
    }

    #[test]
    fn a_lock_that_another_keeps_ends_in_an_error() {
        let folder = folder("lock");
        let record = Record::new(&folder, "n0");
        let kept = File::create(record.path.with_extension("lock")).expect("a file");
        kept.lock().expect("locked");
        on(async { assert!(record.change::<TokioRuntime>(|_| Ok(())).await.is_err()) });
        drop(kept);
        on(async { assert!(record.change::<TokioRuntime>(|_| Ok(())).await.is_ok()) });
        let _ = fs::remove_dir_all(folder);
    }
}
