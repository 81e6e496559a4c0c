//! Checks that datagrams which a sidecar of version 0.2.0 sent to its supervisor are parsed, and
//! serialized again byte for byte. The fixtures were recorded from that program and must not be changed.

use std::fs;
use std::path::Path;

use instance_status::InstanceStatus;

fn fixture(name: &str) -> Vec<u8> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name);
    fs::read(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

fn round_trip(name: &str) -> InstanceStatus {
    let recorded = fixture(name);
    let status =
        InstanceStatus::from_datagram(&recorded).unwrap_or_else(|| panic!("{name}: no status"));
    assert_eq!(status.to_datagram().as_bytes(), recorded, "{name}");
    status
}

#[test]
fn recorded_datagrams_are_read_and_written_unchanged() {
    let starting = round_trip("starting.datagram");
    assert!(!starting.ready && starting.rejected_config.is_none());
    let ready = round_trip("ready.datagram");
    assert!(ready.ready && ready.generation == 3);
    let draining = round_trip("draining.datagram");
    assert!(draining.draining);
}

#[test]
fn recorded_datagram_with_a_rejected_configuration_is_read_and_written_unchanged() {
    let status = round_trip("configuration-declined.datagram");
    let rejected = status.rejected_config.expect("a rejected configuration");
    assert_eq!(rejected.generation, 0);
    assert!(rejected.reason.starts_with("LB_CONFIG: invalid type"), "{}", rejected.reason);
}
