//! What the tests of the balancer share: settings, servers, and a balancer with its actions.
#![allow(dead_code)]

use lb_sidecar::api::*;
use lb_sidecar::balancer::Balancer;
use lb_sidecar::settings::Settings;
use serde_json::{Value, json};

pub const MS: Micros = 1_000;
pub const S: Micros = 1_000_000;
pub const START: Micros = 1_000 * S;

/// Settings with an idempotent class (0), one with idempotency keys that a zone deduplicates (1) and one
/// that is neither (2).
pub fn settings_json() -> Value {
    json!({
        "classes": [
            {"name": "look", "aim": 200_000, "deadline": 1_000_000, "repeat": "idempotent",
             "dedupScope": "all", "window": 5_000_000, "credit": 1.0, "lateWorth": 0.2},
            {"name": "keep", "aim": 300_000, "deadline": 1_500_000, "repeat": "deduplicated",
             "dedupScope": "zone", "window": 700_000, "credit": 8.0, "lateWorth": 0.2},
            {"name": "order", "aim": 300_000, "deadline": 1_500_000, "repeat": "at_most_once",
             "dedupScope": "all", "window": 5_000_000, "credit": 8.0, "lateWorth": 0.2}
        ],
        "discovery": "pushed",
        "goal": {"whole": 0.6, "worstClass": 0.1, "worstTenant": 0.0, "worstWindow": 0.3},
        "instances": 3,
        "limits": {"cancel": true, "connIdle": 10_000_000, "connectTimeout": 75_000,
                   "maxAttempts": 6, "maxOpen": 1000, "mayDuplicate": true, "mayTell": false,
                   "probing": false, "retryAfter": false, "streamsPerConn": 1},
        "me": 0,
        "prices": {},
        "report": {"columns": ["q", "rif"], "how": "piggyback"},
        "rules": {"answerSlack": 8000, "cold": 20_000_000, "coldShare": 0.2, "fallMultiple": 3.0,
                  "mustAskIn": 10_000_000, "stopSendingWithin": 500_000, "tipAfter": 2_000_000},
        "tenants": [],
        "tick": 2000,
        "weightKind": "silent",
        "worthBy": "work",
        "zone": 0,
        "zones": ["a", "b"]
    })
}

pub fn settings(change: impl FnOnce(&mut Value)) -> Settings {
    let mut json = settings_json();
    change(&mut json);
    Settings::from_json(json.to_string().as_bytes()).expect("the test's settings are sound")
}

pub fn server(n: u64) -> ServerEntry {
    ServerEntry {
        id: ServerId(n),
        zone: (n % 2) as u8,
        kind: 0,
        cell: (n / 2) as u16,
        health: Health::Ready,
        weight: 1.0,
        started_at: 0,
    }
}

pub fn with_health(n: u64, health: Health) -> ServerEntry {
    ServerEntry { health, ..server(n) }
}

pub fn report(queue: f32) -> LoadReport {
    LoadReport([queue, queue].into_iter().collect())
}

/// One balancer under test.
pub struct Bench {
    pub balancer: Balancer,
    pub now: Micros,
    pub out: Vec<Action>,
    next: u64,
    key: u64,
    /// Whether requests are over their tenant's quota.
    pub over_quota: bool,
}

impl Bench {
    pub fn new(settings: Settings, seed: u64, servers: &[ServerEntry]) -> Bench {
        Bench::new_at(START, settings, seed, servers)
    }

    /// One whose clock reads `now` at the start.
    pub fn new_at(now: Micros, settings: Settings, seed: u64, servers: &[ServerEntry]) -> Bench {
        let mut bench = Bench {
            balancer: Balancer::new(settings, seed, now),
            now,
            out: Vec::new(),
            next: 0,
            key: 0,
            over_quota: false,
        };
        bench.servers(ListKind::Cached, servers);
        bench
    }

    pub fn event(&mut self, event: Event<'_>) -> Vec<Action> {
        self.balancer.handle(self.now, event, &mut self.out);
        std::mem::take(&mut self.out)
    }

    pub fn servers(&mut self, kind: ListKind, entries: &[ServerEntry]) -> Vec<Action> {
        self.event(Event::EndpointUpdate { kind, entries })
    }

    pub fn request(&mut self, class: usize) -> (RequestId, Vec<Action>) {
        self.request_with(class, None)
    }

    pub fn request_for(&mut self, key: u64) -> (RequestId, Vec<Action>) {
        self.key = key;
        let sent = self.request(0);
        self.key = 0;
        sent
    }

    pub fn request_with(&mut self, class: usize, hint: Option<Micros>) -> (RequestId, Vec<Action>) {
        self.next += 1;
        let id = RequestId(self.next);
        let out = self.event(Event::Request(NewRequest {
            id,
            class,
            tenant: 0,
            affinity_key: self.key,
            time_left: S,
            work_hint: hint,
            client_retry: false,
            over_quota: self.over_quota,
        }));
        (id, out)
    }

    pub fn answer(
        &mut self,
        id: RequestId,
        attempt: usize,
        server: ServerId,
        outcome: Outcome,
        queue: f32,
    ) -> Vec<Action> {
        self.event(Event::AttemptEnded(AttemptEnd {
            id,
            attempt,
            server,
            outcome,
            latency: 20 * MS,
            finished: outcome == Outcome::Success,
            report: report(queue),
        }))
    }

    /// Sends one request and has it answered after 20 ms; returns the selected server, if any.
    pub fn round(&mut self, class: usize, queue: f32) -> Option<ServerId> {
        let (id, out) = self.request(class);
        let to = sent(&out)?;
        self.now += 20 * MS;
        self.answer(id, 0, to, Outcome::Success, queue);
        Some(to)
    }
}

impl Bench {
    /// Has the first attempt of a request succeed, with this answer time.
    pub fn answer_after(&mut self, latency: Micros, id: RequestId, server: ServerId, queue: f32) {
        self.event(Event::AttemptEnded(AttemptEnd {
            id,
            attempt: 0,
            server,
            outcome: Outcome::Success,
            latency,
            finished: true,
            report: report(queue),
        }));
    }

    /// Sends so many requests, one after the other, each answered after 20 ms.
    pub fn rounds(&mut self, count: usize) {
        for _ in 0..count {
            self.round(0, 1.0);
        }
    }
}

/// The server of the first send among these actions.
pub fn sent(actions: &[Action]) -> Option<ServerId> {
    actions.iter().find_map(|a| match a {
        Action::Send { server, .. } => Some(*server),
        _ => None,
    })
}

pub fn rejected(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { .. }))
}

pub fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { .. }))
}
