//! The real program at the sizes that it is to have: lists of thousands of servers, tiers of thousands of members,
//! and what lies beyond the bounds that follow from its memory limit.

mod common;
#[path = "common/net.rs"]
mod net;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::process::Command;

use net::*;
use serde_json::Value;

/// So many servers that are never asked, and one that answers.
fn many(count: u16, answers: &Server) -> Vec<Entry> {
    let mut list = vec![Entry::new(answers.at, "a")];
    for n in 1..count {
        // Addresses of another machine's loopback: of zone `b`, where nobody goes while `a` has room.
        let at = format!("127.77.{}.{}:9", n >> 8, n & 255).parse().expect("an address");
        list.push(Entry {
            host: format!("server-{n:05}"),
            health: "leaving",
            ..Entry::new(at, "b")
        });
    }
    list
}

fn memory(config: &mut Value, megabytes: u64) {
    config["limits"]["memory_mb"] = megabytes.into();
    config["admin_addr"] = "127.0.0.1:0".into();
}

/// A figure that operators are told.
fn figure(sidecar: &Sidecar, name: &str) -> u64 {
    let mut socket = TcpStream::connect(sidecar.admin()).expect("connected");
    socket.write_all(b"show-stat\n").expect("sent");
    let mut all = String::new();
    socket.read_to_string(&mut all).expect("figures");
    let line = all.lines().find_map(|l| l.strip_prefix(&format!("sidecar.{name}=")));
    line.and_then(|v| v.parse().ok()).unwrap_or_else(|| panic!("no {name}: {all}"))
}

/// Played before: never ready, and nothing in the log said why.
#[test]
fn with_a_list_of_4800_servers_it_is_ready_and_serves() {
    let server = Server::echo();
    let registry = Registry::start(many(4800, &server));
    let sidecar = Sidecar::start_with(registry, |config| memory(config, 32));
    assert!(sidecar.exchange(&look("a")).ends_with("\r\n\r\na"));
    assert_eq!(figure(&sidecar, "pool_size"), 4800);
    assert_eq!((figure(&sidecar, "lists_too_long"), figure(&sidecar, "pool_most")), (0, 8192));
}

/// Of more servers than the memory allows those are taken that come first; the log has size and bound, and what is
/// known goes on being kept: here that the one which answers drains.
#[test]
fn of_a_list_beyond_the_bound_as_much_is_taken_as_there_is_room_for() {
    let (server, other) = (Server::echo(), Server::echo());
    let registry = Registry::start(many(4200, &server));
    let sidecar = Sidecar::start_with(registry.clone(), |config| memory(config, 16));
    assert!(sidecar.exchange(&look("a")).ends_with("\r\n\r\na"));
    assert_eq!((figure(&sidecar, "pool_size"), figure(&sidecar, "pool_most")), (4096, 4096));
    assert!(figure(&sidecar, "lists_too_long") >= 1);
    let told = |line: &str| {
        let told: Value = serde_json::from_str(line).unwrap_or_default();
        told["listed"] == 4200 && told["most"] == 4096 && told["passed_over"] == 104
    };
    assert!(sidecar.log().lines().any(told), "{}", sidecar.log());
    // A known one makes room for another, and one that was known is still followed.
    registry.mark("server-00001", "left");
    registry.list(Entry::new(other.at, "a"));
    sidecar.comes_to(&other);
    registry.mark(&Entry::new(server.at, "a").host, "leaving");
    let mut n = 0;
    until("the one that drains gets nothing", || {
        let before = server.seen().len();
        (0..20).for_each(|_| {
            n += 1;
            sidecar.exchange(&look(&format!("look{n}")));
        });
        server.seen().len() == before
    });
}

/// A list whose text is too long is not read at all: the log has its size and the bound, and operators a figure. It
/// is asked for again, and a shorter one is taken.
#[test]
fn a_list_whose_text_is_too_long_is_told_of_and_asked_for_again() {
    let server = Server::echo();
    let small = Registry::start(many(2, &server));
    let sidecar = Sidecar::start_with(small, |config| memory(config, 16));
    let mut long = many(3000, &server);
    long.iter_mut().skip(1).for_each(|e| e.class = "x".repeat(400));
    let registry = Registry::start(long);
    sidecar.replace(&sidecar.config_with(&registry));
    sidecar.signal("HUP");
    let told = |line: &str| {
        let told: Value = serde_json::from_str(line).unwrap_or_default();
        told["bytes"].as_u64() > told["most_bytes"].as_u64() && told["most_servers"] == 4096
    };
    until("the log tells why", || sidecar.log().lines().any(told));
    assert!(figure(&sidecar, "lists_too_long") >= 1);
    assert!(sidecar.exchange(&look("a")).ends_with("\r\n\r\na"), "what is known is used on");
    let new = Server::echo();
    (1..3000).for_each(|n| registry.mark(&format!("server-{n:05}"), "left"));
    registry.list(Entry::new(new.at, "a"));
    sidecar.comes_to(&new);
}

/// Checks a configuration with these changes as the program does.
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
fn a_tier_may_have_as_many_members_as_the_memory_allows() {
    let tier = |instances: u32, megabytes: u32| {
        check(|config| {
            config["limits"]["memory_mb"] = megabytes.into();
            config["settings"]["instances"] = instances.into();
            config["tier"] = serde_json::json!({"turn_ms": 1000});
        })
    };
    assert_eq!(tier(4800, 32), (true, String::new()));
    let (sound, why) = tier(4800, 16);
    assert!(!sound && why.contains("settings.instances: 4096 at most expected"), "{why}");
}

#[test]
fn a_remembered_list_beyond_the_bound_is_refused_with_its_key() {
    let hosts: Vec<Entry> = many(4097, &Server::echo());
    let known = |megabytes: u32| {
        check(|config| {
            config["limits"]["memory_mb"] = megabytes.into();
            config["known"] = serde_json::json!({"seq": 1, "whole": true, "hosts": hosts});
        })
    };
    assert_eq!(known(32), (true, String::new()));
    let (sound, why) = known(16);
    assert!(!sound && why.contains("known.hosts: 4096 at most expected"), "{why}");
}
