//! Shared by the tests of the balancer: settings, endpoints, load reports, and a balancer that is driven event by
//! event with a clock that the test sets.
#![allow(dead_code)]

use lb_sidecar::api::*;
use lb_sidecar::balancer::Balancer;
use lb_sidecar::settings::Settings;
use serde_json::{Value, json};

/// One millisecond.
pub const MS: Micros = 1_000;
/// One second.
pub const S: Micros = 1_000_000;
/// The time at which a balancer under test starts, unless the test gives another.
pub const START: Micros = 1_000 * S;

/// Settings with three classes: `look` (0) is idempotent, `keep` (1) has idempotency keys that the servers of a zone
/// deduplicate, `order` (2) is neither.
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

/// The settings of [`settings_json`], changed by `change` before they are parsed.
pub fn settings(change: impl FnOnce(&mut Value)) -> Settings {
    let mut json = settings_json();
    change(&mut json);
    Settings::from_json(json.to_string().as_bytes()).expect("the test's settings are valid")
}

/// A ready endpoint with id `n`: in zone 0 if `n` is even, in zone 1 otherwise. Endpoints `2k` and `2k + 1` share a
/// cell.
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

/// The endpoint of [`server`] with this health.
pub fn with_health(n: u64, health: Health) -> ServerEntry {
    ServerEntry { health, ..server(n) }
}

/// A load report with `queue` as the value of both columns, the queue length and the requests in flight.
pub fn report(queue: f32) -> LoadReport {
    LoadReport([queue, queue].into_iter().collect())
}

/// A balancer under test, its clock, and the requests sent through it.
pub struct BalancerHarness {
    pub balancer: Balancer,
    /// The time at which the next event is handled.
    pub now: Micros,
    /// Receives the actions of an event; empty between events.
    pub out: Vec<Action>,
    /// The id of the last request.
    last_id: u64,
    /// The affinity key of new requests.
    affinity_key: u64,
    /// Whether new requests are over their tenant's quota.
    pub over_quota: bool,
}

impl BalancerHarness {
    /// A balancer that starts at [`START`] with a cached endpoint list of `servers`.
    pub fn new(settings: Settings, seed: u64, servers: &[ServerEntry]) -> BalancerHarness {
        BalancerHarness::new_at(START, settings, seed, servers)
    }

    /// The same as [`BalancerHarness::new`], with a clock that starts at `now`.
    pub fn new_at(
        now: Micros,
        settings: Settings,
        seed: u64,
        servers: &[ServerEntry],
    ) -> BalancerHarness {
        let mut harness = BalancerHarness {
            balancer: Balancer::new(settings, seed, now),
            now,
            out: Vec::new(),
            last_id: 0,
            affinity_key: 0,
            over_quota: false,
        };
        harness.update_endpoints(ListKind::Cached, servers);
        harness
    }

    /// Handles an event now and returns the actions.
    pub fn handle_event(&mut self, event: Event<'_>) -> Vec<Action> {
        self.balancer.handle(self.now, event, &mut self.out);
        std::mem::take(&mut self.out)
    }

    /// Replaces or changes the endpoint list, depending on `kind`.
    pub fn update_endpoints(&mut self, kind: ListKind, entries: &[ServerEntry]) -> Vec<Action> {
        self.handle_event(Event::EndpointUpdate { kind, entries })
    }

    /// Sends a request without a work hint.
    pub fn request(&mut self, class: usize) -> (RequestId, Vec<Action>) {
        self.request_with(class, None)
    }

    /// Sends a request of class 0 with this affinity key.
    pub fn request_for(&mut self, key: u64) -> (RequestId, Vec<Action>) {
        self.affinity_key = key;
        let sent = self.request(0);
        self.affinity_key = 0;
        sent
    }

    /// Sends a request with `hint` as the client's estimate of its work.
    pub fn request_with(&mut self, class: usize, hint: Option<Micros>) -> (RequestId, Vec<Action>) {
        self.last_id += 1;
        let id = RequestId(self.last_id);
        let out = self.handle_event(Event::Request(NewRequest {
            id,
            class,
            tenant: 0,
            affinity_key: self.affinity_key,
            time_left: S,
            work_hint: hint,
            client_retry: false,
            over_quota: self.over_quota,
        }));
        (id, out)
    }

    /// Ends an attempt now with this outcome, a latency of 20 ms and a load report of `queue`.
    pub fn answer(
        &mut self,
        id: RequestId,
        attempt: usize,
        server: ServerId,
        outcome: Outcome,
        queue: f32,
    ) -> Vec<Action> {
        self.handle_event(Event::AttemptEnded(AttemptEnd {
            id,
            attempt,
            server,
            outcome,
            latency: 20 * MS,
            finished: outcome == Outcome::Success,
            report: report(queue),
        }))
    }

    /// Sends one request and ends its first attempt with success 20 ms later. Returns the selected server, if any.
    pub fn exchange(&mut self, class: usize, queue: f32) -> Option<ServerId> {
        let (id, out) = self.request(class);
        let to = sent(&out)?;
        self.now += 20 * MS;
        self.answer(id, 0, to, Outcome::Success, queue);
        Some(to)
    }
}

impl BalancerHarness {
    /// Ends the first attempt of a request with success; its response took `latency`.
    pub fn answer_after(&mut self, latency: Micros, id: RequestId, server: ServerId, queue: f32) {
        self.handle_event(Event::AttemptEnded(AttemptEnd {
            id,
            attempt: 0,
            server,
            outcome: Outcome::Success,
            latency,
            finished: true,
            report: report(queue),
        }));
    }

    /// Sends `count` requests of class 0 one after the other, each answered after 20 ms.
    pub fn exchange_many(&mut self, count: usize) {
        for _ in 0..count {
            self.exchange(0, 1.0);
        }
    }
}

/// The server of the first [`Action::Send`] among `actions`.
pub fn sent(actions: &[Action]) -> Option<ServerId> {
    actions.iter().find_map(|a| match a {
        Action::Send { server, .. } => Some(*server),
        _ => None,
    })
}

/// Whether `actions` contain an [`Action::Reject`].
pub fn rejected(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { .. }))
}

/// Whether `actions` contain an [`Action::Fail`].
pub fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { .. }))
}
