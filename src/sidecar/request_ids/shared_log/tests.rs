use std::sync::atomic::{AtomicU64, Ordering};

use fakes::program::Folder;

use super::*;

/// Creates the logs of two processes of a sidecar, which share `folder` and a clock.
fn two_processes(folder: &Folder, clock: fn() -> Duration) -> [SharedRequestIdLog; 2] {
    std::array::from_fn(|_| SharedRequestIdLog::with_clock(folder.path(), "n0", clock))
}

fn file_names(folder: &Folder) -> Vec<PathBuf> {
    let entries = fs::read_dir(folder.path()).expect("a folder");
    entries.map(|entry| entry.expect("an entry").path()).collect()
}

#[test]
fn id_is_taken_for_other_processes_and_other_sidecars_take_it_too() {
    let folder = Folder::new("request-ids");
    let [first, second] = two_processes(&folder, monotonic_time);
    assert!(first.claim("a"));
    // A process knows itself which ids it has taken.
    assert!(first.claim("a"));
    assert!(!second.claim("a"));
    assert!(second.claim("b"));
    assert!(!first.claim("b"));
    let successor = SharedRequestIdLog::new(folder.path(), "n0");
    assert!(!successor.claim("a") && !successor.claim("b") && successor.claim("c"));
    let other_sidecar = SharedRequestIdLog::new(folder.path(), "n1");
    assert!(other_sidecar.claim("a"));
}

#[test]
fn id_stays_taken_for_a_period_and_files_do_not_add_up() {
    static SECONDS: AtomicU64 = AtomicU64::new(1000);
    let folder = Folder::new("request-ids");
    let clock = || Duration::from_secs(SECONDS.load(Ordering::Relaxed));
    let [first, second] = two_processes(&folder, clock);
    assert!(first.claim("a"));
    SECONDS.fetch_add(PERIOD.as_secs(), Ordering::Relaxed);
    assert!(!second.claim("a"), "one period later");
    for n in 0..5 {
        SECONDS.fetch_add(PERIOD.as_secs(), Ordering::Relaxed);
        assert!(first.claim(&format!("first{n}")) && second.claim(&format!("second{n}")));
        assert!(file_names(&folder).len() <= 2, "{:?}", file_names(&folder));
    }
    assert!(second.claim("a"), "long after");
}

#[test]
fn record_of_which_only_a_part_was_written_hides_no_other() {
    let folder = Folder::new("request-ids");
    let [first, second] = two_processes(&folder, monotonic_time);
    assert!(first.claim("a"));
    for name in file_names(&folder) {
        let mut file = OpenOptions::new().append(true).open(name).expect("a file");
        file.write_all(b"\n00112233").expect("written");
    }
    assert!(first.claim("b"));
    assert!(!second.claim("a") && !second.claim("b") && second.claim("c"));
}

#[test]
fn arbitrary_and_overlong_files_are_read_up_to_their_limit() {
    let folder = Folder::new("request-ids");
    let [first, second] = two_processes(&folder, monotonic_time);
    assert!(first.claim("a"));
    let noise = [vec![b'x'; 3 * READ_BYTES], b"\n\xff\xfe\n".to_vec()].concat();
    for name in file_names(&folder) {
        let mut file = OpenOptions::new().append(true).open(name).expect("a file");
        file.write_all(&noise).expect("written");
    }
    assert!(first.claim("b"));
    assert!(!second.claim("a") && !second.claim("b"));
    for name in file_names(&folder) {
        let file = OpenOptions::new().append(true).open(name).expect("a file");
        file.set_len(2 * MAX_FILE_BYTES).expect("longer");
    }
    // Nothing more fits, so ids are taken without their being shared.
    assert!(first.claim("c") && first.claim("c2") && second.claim("c"));
    assert!(!second.claim("a"));
}

#[test]
fn folder_that_cannot_be_used_keeps_out_no_request() {
    let folder = Folder::new("request-ids");
    let log = SharedRequestIdLog::new(&folder.path().join("missing"), "n0");
    assert!(log.claim("a") && log.claim("b"));
}
