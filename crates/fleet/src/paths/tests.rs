use super::*;
use fakes::program::Folder;

#[test]
fn former_path_is_used_only_where_the_current_one_is_missing() {
    let folder = Folder::new("paths");
    let (current, former) = (folder.path().join("current"), folder.path().join("former"));
    assert_eq!(current_or_former(&current, &former), current);
    std::fs::create_dir(&former).expect("a new directory");
    assert_eq!(current_or_former(&current, &former), former);
    std::fs::create_dir(&current).expect("a new directory");
    assert_eq!(current_or_former(&current, &former), current);
}
