//! Tests of the datagrams that carry a status.

use instance_status::{InstanceStatus, MAX_DATAGRAM_BYTES, RequestCounts};

fn status() -> InstanceStatus {
    InstanceStatus {
        name: "a-1".into(),
        pid: 7,
        version: "1".into(),
        generation: 3,
        rejected_config: None,
        ready: true,
        draining: false,
        client_connections: 1,
        in_flight_requests: 2,
        out_of_descriptors: false,
        counts: RequestCounts { served: 1, rejected: 2, failed: 3 },
    }
}

#[test]
fn datagram_carries_the_status_and_the_fields_of_systemd() {
    let datagram = status().to_datagram();
    assert_eq!(InstanceStatus::from_datagram(datagram.as_bytes()), Some(status()));
    assert!(datagram.starts_with("MAINPID=7\nWATCHDOG=1\nREADY=1\nX_STATE="));
    assert!(datagram.len() < MAX_DATAGRAM_BYTES);
}

#[test]
fn datagrams_without_a_valid_status_are_ignored() {
    for bad in ["", "READY=1", "X_STATE=", "X_STATE={}", "X_STATE={\"pid\":-1}"] {
        assert!(InstanceStatus::from_datagram(bad.as_bytes()).is_none());
    }
    assert!(InstanceStatus::from_datagram(&[0xff; 100]).is_none());
}
