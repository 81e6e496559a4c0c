//! Reloads that are rejected completely or in part, retries of failed reads, and the use of the stored endpoint list.

use serde_json::json;

use crate::net::*;
use crate::support::*;

#[test]
fn invalid_config_leaves_requests_in_progress_untouched() {
    let blocked = BlockedServer::new();
    let sidecar = Sidecar::start(discovery(&[&blocked.server]));
    let open = blocked.receives_order(&sidecar, "open");
    let mut config = sidecar.config().clone();
    config["settings"]["classes"][2]["deadline"] = 0.into();
    sidecar.replace_config(&config.to_string());
    sidecar.signal("HUP");
    let invalid_key = "classes[2].deadline";
    until("the invalid key is logged", || {
        sidecar
            .log()
            .lines()
            .any(|l| l.contains("failed to reload configuration") && l.contains(invalid_key))
    });
    blocked.release();
    assert!(first_answer(open).ends_with("\r\n\r\nopen"));
}

/// A file with renamed and reordered classes, other idempotency and other tenants needs a restart. Only its `discovery`
/// is applied, and none of its names and values.
#[test]
fn incompatible_config_changes_only_discovery() {
    let (old, new) = (Server::echo(), Server::echo());
    let sidecar = Sidecar::start(discovery(&[&old]));
    let mut config = sidecar.config().clone();
    let classes = config["settings"]["classes"].as_array_mut().expect("classes");
    classes.reverse();
    classes[0]["name"] = "quote".into();
    classes[1]["window"] = 1.into();
    config["settings"]["tenants"] = json!([{"name": "north", "share": 1.0, "quotaPerS": 1.0}]);
    config["limits"]["sockets"] = 70.into();
    let moved = discovery(&[&new]);
    config["discovery"] = json!(moved.at.to_string());
    sidecar.replace_config(&config.to_string());
    sidecar.signal("HUP");
    until("the configuration is rejected", || sidecar.log().contains("only discovery applied"));
    let mut n = 0;
    until("the new list is applied", || {
        n += 1;
        // The request names no tenant, because the old settings have none.
        let answer = sidecar.exchange(&get_request(&format!("look{n}")));
        assert!(answer.contains("200 OK"), "{answer:?}");
        !new.seen().is_empty()
    });
    assert!(sidecar.exchange(&order_request("order")).ends_with("\r\n\r\norder"));
    let quote = order_request("quote").replace("/order/", "/quote/");
    assert!(sidecar.exchange(&quote).starts_with("HTTP/1.1 404"));
}

/// The stored endpoint list is older than the list that discovery has at the next start.
#[test]
fn stored_endpoint_list_is_not_used_before_discovery_responds() {
    let (removed, listed) = (Server::echo(), Server::echo());
    let sidecar = Sidecar::start_with(discovery(&[&listed]), |config| {
        config["known"] = json!({"seq": 41, "whole": true, "hosts": [Entry::new(removed.at, "a")]});
    });
    for n in 0..20 {
        let id = format!("order{n}");
        assert!(sidecar.exchange(&order_request(&id)).ends_with(&format!("\r\n\r\n{id}")));
    }
    assert_eq!((removed.seen().len(), listed.seen().len()), (0, 20));
}

/// Reading an unreadable file is retried, because the reload is not requested again.
#[test]
fn config_that_cannot_be_read_at_the_signal_is_read_later() {
    let (old, new) = (Server::echo(), Server::echo());
    let sidecar = Sidecar::start(discovery(&[&old]));
    let moved = discovery(&[&new]);
    sidecar.remove_config();
    sidecar.signal("HUP");
    until("the failure is logged", || sidecar.log().contains("failed to reload configuration"));
    // A file that is unreadable for a moment must not be reported as rejected.
    assert_eq!(sidecar.state()["declined"], json!(null));
    sidecar.replace_config(&sidecar.config_with_discovery(&moved));
    sidecar.wait_until_reaches(&new);
}

/// After the descriptor limit was lowered, idle connections to one server must not use up the descriptors that another
/// server needs.
#[test]
fn fewer_descriptors_do_not_keep_requests_from_new_servers() {
    let (blocked, other) = (BlockedServer::new(), Server::echo());
    let registry = discovery(&[&blocked.server]);
    let sidecar = Sidecar::start_with(registry.clone(), |config| {
        config["limits"]["sockets"] = 256.into();
    });
    // Sixty connections to the first server, idle once it has answered.
    let clients: Vec<_> =
        (0..60).map(|n| blocked.receives_order(&sidecar, &format!("open-{n}"))).collect();
    blocked.release();
    clients.into_iter().for_each(|client| assert!(first_answer(client).contains("200 OK")));
    let mut config = sidecar.config().clone();
    config["limits"]["sockets"] = 64.into();
    apply_config(&sidecar, &config);
    // The new server needs connections. Those to the first server took more descriptors than the new limit leaves.
    registry.update(Entry::new(other.at, "a"));
    let mut answers = Vec::new();
    for n in 0..40 {
        let request = get_request(&format!("look-{n}")).replace("Ms: 20000", "Ms: 2000");
        answers.push(sidecar.exchange(&request).contains("200 OK"));
    }
    assert!(!other.seen().is_empty(), "the new server got no requests");
    assert!(answers.iter().all(|&served| served), "{answers:?}");
}
