//! Tests of the real program at the largest supported sizes (endpoint lists of thousands of servers, tiers of thousands
//! of members) and beyond the limits that follow from its memory limit.

mod common;
#[path = "common/net.rs"]
mod net;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::process::Command;

use net::*;
use serde_json::Value;

/// An endpoint list of `count` servers, of which only `responding` accepts connections.
fn server_list(count: u16, responding: &Server) -> Vec<Entry> {
    let mut list = vec![Entry::new(responding.at, "a")];
    for n in 1..count {
        // The others are draining and in zone `b`, which gets no requests while zone `a` has capacity.
        let at = format!("127.77.{}.{}:9", n >> 8, n & 255).parse().expect("an address");
        list.push(Entry {
            host: format!("server-{n:05}"),
            health: "leaving",
            ..Entry::new(at, "b")
        });
    }
    list
}

fn set_memory(config: &mut Value, megabytes: u64) {
    config["limits"]["memory_mb"] = megabytes.into();
    config["admin_addr"] = "127.0.0.1:0".into();
}

/// A value from the response to the admin command `show-stat`.
fn statistic(sidecar: &Sidecar, name: &str) -> u64 {
    let mut socket = TcpStream::connect(sidecar.admin()).expect("connected");
    socket.write_all(b"show-stat\n").expect("sent");
    let mut all = String::new();
    socket.read_to_string(&mut all).expect("statistics");
    let line = all.lines().find_map(|l| l.strip_prefix(&format!("sidecar.{name}=")));
    line.and_then(|v| v.parse().ok()).unwrap_or_else(|| panic!("no {name}: {all}"))
}

/// Guards against a sidecar that never becomes ready with a list of this size and logs no reason.
#[test]
fn list_of_4800_servers_is_accepted_and_served() {
    let server = Server::echo();
    let registry = Registry::start(server_list(4800, &server));
    let sidecar = Sidecar::start_with(registry, |config| set_memory(config, 32));
    assert!(sidecar.exchange(&get_request("a")).ends_with("\r\n\r\na"));
    assert_eq!(statistic(&sidecar, "pool_size"), 4800);
    assert_eq!(
        (statistic(&sidecar, "lists_too_long"), statistic(&sidecar, "pool_most")),
        (0, 8192)
    );
}

/// Of a list with more servers than the memory limit allows, the first ones are used. The log has the size and the
/// limit. Changes of known servers are still applied: here, the responding one drains.
#[test]
fn list_beyond_the_server_limit_is_truncated_and_logged() {
    let (server, other) = (Server::echo(), Server::echo());
    let registry = Registry::start(server_list(4200, &server));
    let sidecar = Sidecar::start_with(registry.clone(), |config| set_memory(config, 16));
    assert!(sidecar.exchange(&get_request("a")).ends_with("\r\n\r\na"));
    assert_eq!((statistic(&sidecar, "pool_size"), statistic(&sidecar, "pool_most")), (4096, 4096));
    assert!(statistic(&sidecar, "lists_too_long") >= 1);
    let logged = |line: &str| {
        let line: Value = serde_json::from_str(line).unwrap_or_default();
        line["listed"] == 4200 && line["most"] == 4096 && line["passed_over"] == 104
    };
    assert!(sidecar.log().lines().any(logged), "{}", sidecar.log());
    // A removed server makes room for another, and changes of known servers are still applied.
    registry.set_health("server-00001", "left");
    registry.update(Entry::new(other.at, "a"));
    sidecar.wait_until_reaches(&other);
    registry.set_health(&Entry::new(server.at, "a").host, "leaving");
    let mut n = 0;
    until("the draining server gets no requests", || {
        let before = server.seen().len();
        (0..20).for_each(|_| {
            n += 1;
            sidecar.exchange(&get_request(&format!("look{n}")));
        });
        server.seen().len() == before
    });
}

/// Servers that a complete list removes make room for those that it adds, and servers that accept requests take
/// precedence.
#[test]
fn active_server_takes_the_place_of_a_removed_one_in_a_complete_list() {
    let (server, other) = (Server::echo(), Server::echo());
    let registry = Registry::start(server_list(4200, &server));
    let sidecar = Sidecar::start_with(registry.clone(), |config| set_memory(config, 16));
    let removed = Entry { health: "left", ..server_list(2, &server)[1].clone() };
    registry.update_all_in_complete_list(vec![removed, Entry::new(other.at, "a")]);
    sidecar.wait_until_reaches(&other);
    assert_eq!(statistic(&sidecar, "pool_size"), 4096);
}

/// List changes that remove servers make room for a server that was passed over, although they do not name it.
#[test]
fn server_passed_over_is_taken_up_once_others_are_gone() {
    let (server, passed_over) = (Server::echo(), Server::echo());
    let mut listed = server_list(4200, &server);
    listed.push(Entry::new(passed_over.at, "a"));
    let registry = Registry::start(listed);
    let sidecar = Sidecar::start_with(registry.clone(), |config| set_memory(config, 16));
    (1..200).for_each(|n| registry.set_health(&format!("server-{n:05}"), "left"));
    sidecar.wait_until_reaches(&passed_over);
}

/// A list whose text is too long is not read at all. The log has its size and the limit, and the statistics count it.
/// The list is requested again and used once it is shorter.
#[test]
fn oversized_list_text_is_reported_and_requested_again() {
    let server = Server::echo();
    let small = Registry::start(server_list(2, &server));
    let sidecar = Sidecar::start_with(small, |config| set_memory(config, 16));
    let mut long = server_list(3000, &server);
    long.iter_mut().skip(1).for_each(|e| e.class = "x".repeat(400));
    let registry = Registry::start(long);
    sidecar.replace_config(&sidecar.config_with_discovery(&registry));
    sidecar.signal("HUP");
    let logged = |line: &str| {
        let line: Value = serde_json::from_str(line).unwrap_or_default();
        line["bytes"].as_u64() > line["most_bytes"].as_u64() && line["most_servers"] == 4096
    };
    until("the log has the size and the limit", || sidecar.log().lines().any(logged));
    assert!(statistic(&sidecar, "lists_too_long") >= 1);
    assert!(
        sidecar.exchange(&get_request("a")).ends_with("\r\n\r\na"),
        "the known servers are still used"
    );
    let new = Server::echo();
    (1..3000).for_each(|n| registry.set_health(&format!("server-{n:05}"), "left"));
    registry.update(Entry::new(new.at, "a"));
    sidecar.wait_until_reaches(&new);
}

/// Runs `lb-sidecar check` on a configuration with these changes. Returns whether it is valid, and the error output.
fn check(change: impl FnOnce(&mut Value)) -> (bool, String) {
    let folder = Folder::new("check");
    let mut config = serde_json::json!({
        "name": "n0", "listen": "127.0.0.1:4000", "discovery": "127.0.0.1:4001",
        "seed": "00000000000000a7", "limits": {"memory_mb": 32, "sockets": 64},
        "settings": crate::common::settings_json(),
    });
    change(&mut config);
    let path = folder.path().join("config.json");
    std::fs::write(&path, config.to_string()).expect("written");
    let checked = Command::new(env!("CARGO_BIN_EXE_lb-sidecar")).arg("check").arg(&path).output();
    let checked = checked.expect("the program runs");
    (checked.status.success(), String::from_utf8_lossy(&checked.stderr).into_owned())
}

#[test]
fn tier_size_is_limited_by_memory() {
    let tier = |instances: u32, megabytes: u32| {
        check(|config| {
            config["limits"]["memory_mb"] = megabytes.into();
            config["settings"]["instances"] = instances.into();
            config["tier"] = serde_json::json!({"turn_ms": 1000});
        })
    };
    assert_eq!(tier(4800, 32), (true, String::new()));
    let (valid, why) = tier(4800, 16);
    assert!(!valid && why.contains("settings.instances: must be at most 4096 with"), "{why}");
}

#[test]
fn stored_list_beyond_the_limit_is_rejected_with_its_key() {
    let hosts: Vec<Entry> = server_list(4097, &Server::echo());
    let known = |megabytes: u32| {
        check(|config| {
            config["limits"]["memory_mb"] = megabytes.into();
            config["known"] = serde_json::json!({"seq": 1, "whole": true, "hosts": hosts});
        })
    };
    assert_eq!(known(32), (true, String::new()));
    let (valid, why) = known(16);
    assert!(!valid && why.contains("known.hosts: must have at most 4096 entries with"), "{why}");
}
