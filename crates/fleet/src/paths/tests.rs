use super::*;
use fakes::program::Folder;

#[test]
fn legacy_path_is_used_only_if_the_current_one_is_missing() {
    let folder = Folder::new("paths");
    let (current, legacy) = (folder.path().join("current"), folder.path().join("former"));
    assert_eq!(current_or_legacy(&current, &legacy), current);
    std::fs::create_dir(&legacy).expect("a new directory");
    assert_eq!(current_or_legacy(&current, &legacy), legacy);
    std::fs::create_dir(&current).expect("a new directory");
    assert_eq!(current_or_legacy(&current, &legacy), current);
}
