//! The real program at the sizes that it is built for: lists of thousands of servers, tiers of thousands
//! of members, and what exceeds the limits that follow from its memory limit.

mod common;
#[path = "common/net.rs"]
mod net;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::process::Command;

use net::*;
use serde_json::Value;

/// A list of `count` servers, of which only one responds.
fn server_list(count: u16, responding: &Server) -> Vec<Entry> {
    let mut list = vec![Entry::new(responding.at, "a")];
    for n in 1..count {
        // Draining, and in zone `b`, which gets no requests while `a` has capacity.
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

/// A figure of the operators' `show-stat`.
fn admin_figure(sidecar: &Sidecar, name: &str) -> u64 {
    let mut socket = TcpStream::connect(sidecar.admin()).expect("connected");
    socket.write_all(b"show-stat\n").expect("sent");
    let mut all = String::new();
    socket.read_to_string(&mut all).expect("figures");
    let line = all.lines().find_map(|l| l.strip_prefix(&format!("sidecar.{name}=")));
    line.and_then(|v| v.parse().ok()).unwrap_or_else(|| panic!("no {name}: {all}"))
}

/// Before, it never became ready, and nothing in the log said why.
#[test]
fn list_of_4800_servers_is_accepted_and_served() {
    let server = Server::echo();
    let registry = Registry::start(server_list(4800, &server));
    let sidecar = Sidecar::start_with(registry, |config| set_memory(config, 32));
    assert!(sidecar.exchange(&look("a")).ends_with("\r\n\r\na"));
    assert_eq!(admin_figure(&sidecar, "pool_size"), 4800);
    assert_eq!(
        (admin_figure(&sidecar, "lists_too_long"), admin_figure(&sidecar, "pool_most")),
        (0, 8192)
    );
}

/// Of more servers than the memory allows the first are used; the log has size and limit, and known
/// servers are still followed: here that the responding one drains.
#[test]
fn list_beyond_the_server_limit_is_truncated_and_logged() {
    let (server, other) = (Server::echo(), Server::echo());
    let registry = Registry::start(server_list(4200, &server));
    let sidecar = Sidecar::start_with(registry.clone(), |config| set_memory(config, 16));
    assert!(sidecar.exchange(&look("a")).ends_with("\r\n\r\na"));
    assert_eq!(
        (admin_figure(&sidecar, "pool_size"), admin_figure(&sidecar, "pool_most")),
        (4096, 4096)
    );
    assert!(admin_figure(&sidecar, "lists_too_long") >= 1);
    let logged = |line: &str| {
        let line: Value = serde_json::from_str(line).unwrap_or_default();
        line["listed"] == 4200 && line["most"] == 4096 && line["passed_over"] == 104
    };
    assert!(sidecar.log().lines().any(logged), "{}", sidecar.log());
    // A server that is removed makes room for another, and known ones are still followed.
    registry.set_health("server-00001", "left");
    registry.update(Entry::new(other.at, "a"));
    sidecar.wait_until_reaches(&other);
    registry.set_health(&Entry::new(server.at, "a").host, "leaving");
    let mut n = 0;
    until("the draining server gets nothing", || {
        let before = server.seen().len();
        (0..20).for_each(|_| {
            n += 1;
            sidecar.exchange(&look(&format!("look{n}")));
        });
        server.seen().len() == before
    });
}

/// What a complete list leaves out makes room for what it adds, and servers that take requests go first.
#[test]
fn active_server_takes_the_place_of_a_removed_one_in_a_complete_list() {
    let (server, other) = (Server::echo(), Server::echo());
    let registry = Registry::start(server_list(4200, &server));
    let sidecar = Sidecar::start_with(registry.clone(), |config| set_memory(config, 16));
    let removed = Entry { health: "left", ..server_list(2, &server)[1].clone() };
    registry.update_all_in_complete_list(vec![removed, Entry::new(other.at, "a")]);
    sidecar.wait_until_reaches(&other);
    assert_eq!(admin_figure(&sidecar, "pool_size"), 4096);
}

/// Changes alone make the room, and name none of the servers that were passed over.
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

/// A list whose text is too long is not read at all: the log has its size and the limit, and operators a
/// figure. It is requested again, and a shorter one is used.
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
    until("the log says why", || sidecar.log().lines().any(logged));
    assert!(admin_figure(&sidecar, "lists_too_long") >= 1);
    assert!(
        sidecar.exchange(&look("a")).ends_with("\r\n\r\na"),
        "the known servers are still used"
    );
    let new = Server::echo();
    (1..3000).for_each(|n| registry.set_health(&format!("server-{n:05}"), "left"));
    registry.update(Entry::new(new.at, "a"));
    sidecar.wait_until_reaches(&new);
}

/// Checks a configuration with these changes as the program does; whether it is valid, and why not.
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
    assert!(!valid && why.contains("settings.instances: 4096 at most expected"), "{why}");
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
    assert!(!valid && why.contains("known.hosts: 4096 at most expected"), "{why}");
}
