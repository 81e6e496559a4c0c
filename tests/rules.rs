//! Property test of rules 1 to 3: random event sequences against a checker that is independent of the balancer's
//! implementation and keeps its own record of requests, attempts and the endpoint list.
//!
//! Rule 1: each request gets one final answer in time. Rule 2: no duplicate effects. Rule 3: no attempts to servers
//! that drain or are removed.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::*;
use lb_sidecar::api::*;
use lb_sidecar::balancer::Balancer;
use proptest::prelude::*;

/// Time after its deadline within which a request may get its final answer.
const DEADLINE_SLACK: Micros = 8 * MS;
const SERVER_COUNT: u64 = 6;
/// The retry safety of a request class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ClassKind {
    Idempotent,
    WithIdempotencyKey,
    NotIdempotent,
}

/// The classes, in the order of the settings.
const CLASSES: [ClassKind; 3] =
    [ClassKind::Idempotent, ClassKind::WithIdempotencyKey, ClassKind::NotIdempotent];
/// Time for which servers recognize duplicates of requests with an idempotency key.
const IDEMPOTENCY_WINDOW: Micros = 700 * MS;

/// One step of a sequence.
#[derive(Clone, Debug)]
enum Step {
    /// A request arrives.
    Request { class: usize, time_left: Micros },
    /// One of the attempts in flight ends.
    AttemptEnds { attempt: usize, outcome: u8, queue: f32 },
    /// Time passes.
    Wait(Micros),
    /// Discovery reports a change of one server.
    HealthChange { server: u64, health: u8, restart: bool },
    /// Discovery reports the complete list.
    CompleteList { mask: u8 },
    /// A client disconnects.
    ClientGone { request: usize },
    /// A call to discovery fails.
    DiscoveryFails,
}

/// An attempt sent by the balancer.
#[derive(Debug)]
struct Attempt {
    server: ServerId,
    zone: u8,
    sent_at: Micros,
    in_flight: bool,
    never_ran: bool,
    deadline: Micros,
}

/// A request and its history.
#[derive(Debug)]
struct RequestRecord {
    class: usize,
    deadline: Micros,
    final_answers: usize,
    client_gone: bool,
    attempts: Vec<Attempt>,
}

impl RequestRecord {
    fn is_open(&self) -> bool {
        self.final_answers == 0 && !self.client_gone
    }
}

/// Drives a balancer and checks each of its actions.
struct Checker {
    balancer: Balancer,
    now: Micros,
    requests: BTreeMap<RequestId, RequestRecord>,
    timers: BTreeSet<(Micros, u32)>,
    ready_servers: BTreeSet<ServerId>,
    may_hedge: bool,
    max_attempts: usize,
}

impl Checker {
    fn handle_event(&mut self, event: Event<'_>) {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in actions {
            self.check(action);
        }
    }

    fn request_mut(&mut self, id: RequestId) -> &mut RequestRecord {
        self.requests.get_mut(&id).expect("a known request")
    }

    fn check(&mut self, action: Action) {
        match action {
            Action::Send { id, server, timeout } => self.check_attempt(id, server, timeout),
            Action::Reject { id, .. } => {
                let request = self.request_mut(id);
                let is_safe = CLASSES[request.class] == ClassKind::Idempotent
                    || request.attempts.iter().all(|attempt| attempt.never_ran);
                assert!(is_safe, "rule 2: rejected a request that may have run");
                request.final_answers += 1;
            }
            Action::Fail { id, .. } => self.request_mut(id).final_answers += 1,
            Action::Cancel { id, attempt } => {
                assert!(
                    attempt < self.requests[&id].attempts.len(),
                    "cancelled an attempt that was never sent"
                );
            }
            Action::SetTimer { delay, token } => {
                self.timers.insert((self.now + delay.max(1), token));
            }
            _ => {}
        }
    }

    fn check_attempt(&mut self, id: RequestId, server: ServerId, timeout: Micros) {
        assert!(
            self.ready_servers.contains(&server),
            "rule 3: sent to {server:?}, which is not ready"
        );
        let zone = (server.0 % 2) as u8;
        let now = self.now;
        let (may_hedge, max_attempts) = (self.may_hedge, self.max_attempts);
        let request = self.request_mut(id);
        assert!(request.is_open(), "rule 1: sent after the final answer");
        assert!(request.attempts.len() < max_attempts);
        if !may_hedge {
            assert!(
                request.attempts.iter().all(|sent| !sent.in_flight),
                "two attempts in flight without permission to hedge"
            );
        }
        match CLASSES[request.class] {
            ClassKind::NotIdempotent => {
                assert!(
                    request.attempts.iter().all(|sent| sent.never_ran),
                    "rule 2: retried an attempt that may have run"
                );
            }
            ClassKind::WithIdempotencyKey => {
                for sent in request.attempts.iter().filter(|sent| !sent.never_ran) {
                    assert_eq!(sent.zone, zone, "rule 2: retried in another zone");
                    assert!(
                        now - sent.sent_at <= IDEMPOTENCY_WINDOW,
                        "rule 2: retried after the window"
                    );
                }
            }
            ClassKind::Idempotent => {}
        }
        let time_left = request.deadline - now;
        let effective_timeout = if timeout == 0 { time_left } else { timeout.min(time_left) };
        request.attempts.push(Attempt {
            server,
            zone,
            sent_at: now,
            in_flight: true,
            never_ran: false,
            deadline: now + effective_timeout,
        });
    }

    fn end_attempt(&mut self, id: RequestId, index: usize, outcome: Outcome, queue: f32) {
        let now = self.now;
        let request = self.request_mut(id);
        let attempt = &mut request.attempts[index];
        attempt.in_flight = false;
        attempt.never_ran = outcome.never_ran();
        let (server, latency) = (attempt.server, now - attempt.sent_at);
        if outcome == Outcome::Success && request.is_open() {
            request.final_answers = 1;
        }
        let finished = !request.is_open();
        self.handle_event(Event::AttemptEnded(AttemptEnd {
            id,
            attempt: index,
            server,
            outcome,
            latency,
            finished,
            report: report(queue),
        }));
    }

    /// Returns the attempts in flight with their request and index.
    fn attempts_in_flight(&self) -> impl Iterator<Item = (RequestId, usize, &Attempt)> {
        self.requests.iter().flat_map(|(&id, request)| {
            let in_flight =
                request.attempts.iter().enumerate().filter(|(_, attempt)| attempt.in_flight);
            in_flight.map(move |(index, attempt)| (id, index, attempt))
        })
    }

    /// Advances the clock. Attempts time out and timers expire when they are due.
    fn advance(&mut self, to: Micros) {
        loop {
            let timer = self.timers.first().map(|&(at, _)| at);
            let timeout =
                self.attempts_in_flight().map(|(id, index, sent)| (sent.deadline, id, index)).min();
            let next = timer.into_iter().chain(timeout.map(|(at, ..)| at)).min();
            match next {
                Some(at) if at <= to => {
                    self.now = self.now.max(at);
                    match timeout {
                        Some((deadline, id, index)) if deadline == at => {
                            self.end_attempt(id, index, Outcome::TimedOut, 0.0);
                        }
                        _ => {
                            let (_, token) = self.timers.pop_first().expect("a timer is due");
                            self.handle_event(Event::Timer { token });
                        }
                    }
                }
                _ => break,
            }
            self.check_final_answers();
        }
        self.now = to;
        self.check_final_answers();
    }

    /// Checks that each request has at most one final answer, and has it in time.
    fn check_final_answers(&self) {
        for (id, request) in &self.requests {
            assert!(request.final_answers <= 1, "rule 1: {id:?} has two final answers");
            let late = self.now > request.deadline + DEADLINE_SLACK;
            let ended = request.final_answers == 1 || request.client_gone;
            assert!(!late || ended, "rule 1: {id:?} has no final answer in time");
        }
    }

    fn apply(&mut self, number: u64, step: &Step) {
        match *step {
            Step::Request { class, time_left } => self.submit(number, class, time_left),
            Step::AttemptEnds { attempt, outcome, queue } => {
                self.end_any_attempt(attempt, outcome, queue);
            }
            Step::Wait(duration) => self.advance(self.now + duration),
            Step::HealthChange { server, health, restart } => {
                self.change_health(server, health, restart);
            }
            Step::CompleteList { mask } => {
                let entries: Vec<_> =
                    (0..SERVER_COUNT).filter(|n| mask & (1 << n) != 0).map(server).collect();
                self.ready_servers = entries.iter().map(|entry| entry.id).collect();
                self.handle_event(Event::EndpointUpdate {
                    kind: ListKind::Complete,
                    entries: &entries,
                });
            }
            Step::ClientGone { request } => {
                let mut open = self.requests.iter().filter(|(_, request)| request.is_open());
                if let Some(id) = open.nth(request).map(|(&id, _)| id) {
                    self.request_mut(id).client_gone = true;
                    self.handle_event(Event::ClientDisconnected { id });
                }
            }
            Step::DiscoveryFails => {
                self.handle_event(Event::EndpointUpdate { kind: ListKind::Failed, entries: &[] });
            }
        }
    }

    fn submit(&mut self, number: u64, class: usize, time_left: Micros) {
        let id = RequestId(number);
        let request = RequestRecord {
            class,
            deadline: self.now + time_left,
            final_answers: 0,
            client_gone: false,
            attempts: Vec::new(),
        };
        self.requests.insert(id, request);
        self.handle_event(Event::Request(NewRequest {
            id,
            class,
            tenant: 0,
            affinity_key: number % 5,
            time_left,
            work_hint: None,
            client_retry: number.is_multiple_of(3),
            over_quota: number.is_multiple_of(5),
        }));
    }

    fn end_any_attempt(&mut self, attempt: usize, outcome: u8, queue: f32) {
        let in_flight: Vec<_> =
            self.attempts_in_flight().map(|(id, index, _)| (id, index)).collect();
        if in_flight.is_empty() {
            return;
        }
        let (id, index) = in_flight[attempt % in_flight.len()];
        let outcome = [
            Outcome::Success,
            Outcome::ErrorResponse,
            Outcome::Rejected,
            Outcome::ConnectFailed,
            Outcome::ConnectionReset,
            Outcome::NotSent,
        ][usize::from(outcome) % 6];
        self.end_attempt(id, index, outcome, queue);
    }

    fn change_health(&mut self, server: u64, health: u8, restart: bool) {
        let health = [Health::Ready, Health::Draining, Health::Removed][usize::from(health)];
        let mut entry = with_health(server, health);
        if restart {
            entry.started_at = self.now;
        }
        match health {
            Health::Ready => self.ready_servers.insert(entry.id),
            _ => self.ready_servers.remove(&entry.id),
        };
        self.handle_event(Event::EndpointUpdate { kind: ListKind::Delta, entries: &[entry] });
    }
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        5 => (0..3usize, 0..1500u64).prop_map(|(class, ms)| Step::Request { class, time_left: ms * MS }),
        8 => (0..8usize, 0..12u8, prop_oneof![0f32..40.0, Just(f32::NAN), Just(-1.0)]).prop_map(
            |(attempt, outcome, queue)| Step::AttemptEnds {
                attempt,
                outcome: outcome.saturating_sub(6),
                queue,
            }
        ),
        4 => (1..300u64).prop_map(|ms| Step::Wait(ms * MS)),
        1 => (0..SERVER_COUNT, 0..3u8, any::<bool>())
            .prop_map(|(server, health, restart)| Step::HealthChange { server, health, restart }),
        1 => any::<u8>().prop_map(|mask| Step::CompleteList { mask }),
        1 => (0..4usize).prop_map(|request| Step::ClientGone { request }),
        1 => Just(Step::DiscoveryFails),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn rules_hold_for_any_event_sequence(
        steps in prop::collection::vec(step(), 1..250),
        seed in any::<u64>(),
        polled in any::<bool>(),
        may_hedge in any::<bool>(),
        max_attempts in 1..6usize,
    ) {
        let settings = settings(|s| {
            s["discovery"] = if polled { "on_request" } else { "pushed" }.into();
            s["limits"]["mayDuplicate"] = may_hedge.into();
            s["limits"]["maxAttempts"] = max_attempts.into();
        });
        let mut checker = Checker {
            balancer: Balancer::new(settings, seed, START),
            now: START,
            requests: BTreeMap::new(),
            timers: BTreeSet::new(),
            ready_servers: BTreeSet::new(),
            may_hedge,
            max_attempts,
        };
        checker.apply(0, &Step::CompleteList { mask: 0b11_1111 });
        for (index, step) in steps.iter().enumerate() {
            checker.apply(index as u64 + 1, step);
        }
        checker.advance(checker.now + 4 * S);
        for (id, request) in &checker.requests {
            prop_assert!(request.final_answers == 1 || request.client_gone, "rule 1: {:?} has no final answer", id);
        }
    }
}
