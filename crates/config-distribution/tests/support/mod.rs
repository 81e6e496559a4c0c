//! Values and small clusters for the tests of the state machines.
#![allow(dead_code, reason = "each test file needs a part of it")]

pub mod behavior_hash;
pub mod exchange;
pub mod replication;

use std::time::Duration;

use config_distribution::control::{ControlServer, ControlSettings, PersistentState};
use config_distribution::documents::{Document, DocumentBody, DocumentKey, Interest};
use config_distribution::origin::Origin;
use config_distribution::watch::WatchRequest;
use config_distribution::{Generation, Incarnation};
use serde_json::json;

/// Returns a time or a duration in milliseconds.
pub fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

pub fn key(text: &str) -> DocumentKey {
    text.parse().expect("a key")
}

/// Returns a body that contains a number.
pub fn body(n: u64) -> Option<DocumentBody> {
    Some(json!({"n": n}).to_string().parse().expect("valid"))
}

/// Returns a document whose body contains its generation.
pub fn document(text: &str, generation: Generation) -> Document {
    Document { key: key(text), generation, body: body(generation) }
}

pub fn interest(services: &[&str], zone: &str) -> Interest {
    Interest { services: services.iter().map(|s| (*s).to_owned()).collect(), zone: zone.to_owned() }
}

/// Returns the name of a control server.
pub fn server_name(n: usize) -> String {
    format!("m{n}")
}

/// Returns the names of the first `count` control servers.
pub fn server_names(count: usize) -> Vec<String> {
    (0..count).map(server_name).collect()
}

/// Creates one of `members` control servers.
pub fn control_server(
    n: usize,
    members: usize,
    max_hosts: usize,
    state: Option<PersistentState>,
    incarnation: Incarnation,
) -> ControlServer {
    let settings = ControlSettings { name: server_name(n), members, max_hosts };
    ControlServer::new(settings, state, incarnation)
}

/// Creates a control server that starts for the first time.
pub fn new_control_server(n: usize, members: usize, max_hosts: usize) -> ControlServer {
    control_server(n, members, max_hosts, Some(PersistentState::default()), 0)
}

/// Creates an origin that leads, and its members, each of which accepts four hosts.
pub fn leading_origin(members: usize) -> (Origin, Vec<ControlServer>) {
    let mut origin = Origin::new(0, 0, server_names(members));
    let mut servers: Vec<_> = (0..members).map(|n| new_control_server(n, members, 4)).collect();
    replicate(&mut origin, &mut servers);
    (origin, servers)
}

/// Exchanges requests and responses until all members are up to date.
pub fn replicate(origin: &mut Origin, servers: &mut [ControlServer]) {
    for _ in 0..8 {
        for server in servers.iter_mut() {
            let request = server.log_request();
            origin.receive(request.clone(), Duration::ZERO).expect("a member");
            if let Some(response) = origin.respond(&request) {
                server.apply(response);
            }
        }
    }
}

/// Returns a request of a host that has applied all that it has received.
pub fn watch_request(host: &str, interest: Interest, since: Generation) -> WatchRequest {
    WatchRequest { host: host.to_owned(), interest, since, applied: since, failure: None }
}
