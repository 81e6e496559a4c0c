//! Tests of the state file, on a real file system.

use runtime::TokioRuntime;

use super::*;

fn block_on(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(test);
}

fn directory(name: &str) -> PathBuf {
    let directory = std::env::temp_dir().join(format!("record-{name}-{}", std::process::id()));
    let _ = fs::remove_dir_all(&directory);
    fs::create_dir_all(&directory).expect("a directory");
    directory
}

fn disable(name: &'static str) -> impl Fn(&mut AdminState) -> Result<(), ChangeError> {
    move |state| {
        state.disabled_servers.insert(name.to_owned());
        Ok(())
    }
}

#[test]
fn two_processes_see_the_changes_of_each_other() {
    let directory = directory("two");
    let (a, b) = (StateFile::new(&directory, "n0"), StateFile::new(&directory, "n0"));
    block_on(async {
        assert_eq!(b.read_if_changed().expect("read"), None, "the state file does not exist yet");
        a.update::<TokioRuntime>(disable("x")).await.expect("written");
        let seen = b.read_if_changed().expect("read").expect("a change");
        assert!(seen.disabled_servers.contains("x"));
        let both = b.update::<TokioRuntime>(disable("y")).await.expect("written");
        assert_eq!(both.disabled_servers.len(), 2, "the change of the other process stays");
        assert_eq!(a.read_if_changed().expect("read").expect("a change"), both);
        assert_eq!(a.read_if_changed().expect("read"), None);
        let rejected = a.update::<TokioRuntime>(|_| Err(ChangeError::TooManyDisabled)).await;
        let error = rejected.expect_err("the change is rejected");
        assert!(matches!(error, StateFileError::Rejected(ChangeError::TooManyDisabled)));
        assert_eq!(b.read_if_changed().expect("read"), Some(both));
        assert_eq!(b.read_if_changed().expect("read"), None, "a rejected change writes nothing");
    });
    let _ = fs::remove_dir_all(directory);
}

#[test]
fn unreadable_file_is_moved_aside_and_named_in_the_error() {
    let directory = directory("aside");
    let file = StateFile::new(&directory, "n0");
    fs::write(&file.path, b"{\"out\":").expect("written");
    let error = file.read_if_changed().expect_err("the content is incomplete").to_string();
    assert!(error.contains("plankvale-") && error.contains("moved aside"), "{error}");
    block_on(async {
        let updated = file.update::<TokioRuntime>(|state| {
            state.drained = true;
            Ok(())
        });
        assert!(updated.await.expect("written").drained);
    });
    assert!(file.path.with_extension("unreadable").exists());
    let _ = fs::remove_dir_all(directory);
}

#[test]
fn lock_held_by_another_process_leads_to_an_error() {
    let directory = directory("lock");
    let file = StateFile::new(&directory, "n0");
    let held = File::create(file.path.with_extension("lock")).expect("a file");
    held.lock().expect("locked");
    block_on(async { assert!(file.update::<TokioRuntime>(|_| Ok(())).await.is_err()) });
    drop(held);
    block_on(async { assert!(file.update::<TokioRuntime>(|_| Ok(())).await.is_ok()) });
    let _ = fs::remove_dir_all(directory);
}
