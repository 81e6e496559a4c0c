//! Checks that the sample fleet under `deploy/` is valid for the daemon and the sidecar.

use std::path::Path;
use std::process::Command;

use fakes::program::{Folder, built};
use fleet::spec::Spec;

#[test]
fn sample_fleet_is_valid_for_the_daemon_and_the_sidecar() {
    let sidecar = built("lb-sidecar", false).expect("built");
    let sample = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/fleet/fleet.toml");
    let text = std::fs::read_to_string(sample).expect("the sample exists");
    let folder = Folder::new("sample");
    let file = folder.path().join("fleet.toml");
    let program = sidecar.display().to_string();
    let text = text.replace("../../target/release/lb-sidecar", &program);
    std::fs::write(&file, text).expect("written");
    let spec = Spec::read(&file).expect("a valid specification");
    let slots = spec.slots(&std::collections::BTreeMap::new());
    assert_eq!(slots.len(), 8);
    for slot in slots {
        let at = spec.listen(&slot).expect("an address");
        let config = spec.configuration(&slot, 1, at, 7).expect("a configuration");
        let path = folder.path().join("config.json");
        std::fs::write(&path, config.to_string()).expect("written");
        let out = Command::new(&sidecar).arg("check").arg(&path).output().expect("lb-sidecar runs");
        assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
    }
}
