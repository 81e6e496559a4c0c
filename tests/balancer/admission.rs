//! Tests of load shedding and rejections.

use lb_sidecar::api::*;

use crate::common::*;

/// Returns the numbers of requests within and over a quota that are shed in an overload, for an over-quota weight.
fn shed_by_quota(over_quota_weight: f64) -> [u32; 2] {
    let servers: Vec<_> = (0..4).map(server).collect();
    let mut b = BalancerHarness::new(
        settings(|s| s["overShareWorth"] = over_quota_weight.into()),
        2,
        &servers,
    );
    let mut shed = [0, 0];
    for i in 0..300 {
        b.over_quota = i % 2 == 0;
        let (id, out) = b.request(2);
        match sent(&out) {
            Some(to) => {
                b.now += 20 * MS;
                b.answer_after(170 * MS, id, to, 0.0);
            }
            None => shed[usize::from(b.over_quota)] += 1,
        }
    }
    shed
}

/// Requests over a quota with a low weight are shed like the class of the lowest priority, even while servers hold
/// chips.
#[test]
fn overload_sheds_over_quota_requests_first() {
    let shed = shed_by_quota(0.1);
    assert!(shed[1] > 20 && shed[0] * 5 < shed[1], "{shed:?}");
}

/// The weight of requests over a quota comes from the settings and differs between customers: with a weight of 1 they
/// are not shed first.
#[test]
fn over_quota_shedding_follows_the_configured_weight() {
    let shed = shed_by_quota(1.0);
    assert!(shed[1] < 20 + 2 * shed[0], "{shed:?}");
}

/// Guards against load shedding because of a single late response at a sidecar with little traffic, while the fleet has
/// capacity.
#[test]
fn single_late_answer_does_not_shed_the_highest_priority_class() {
    let mut b = BalancerHarness::new(settings(|_| {}), 2, &[server(0), server(2), server(4)]);
    for _ in 0..5 {
        b.exchange(0, 0.0);
    }
    let (id, out) = b.request(0);
    let to = sent(&out).expect("sent");
    b.now += S;
    b.answer(id, 0, to, Outcome::TimedOut, 0.0);
    for _ in 0..10 {
        let (_, out) = b.request(2);
        assert!(!rejected(&out));
    }
}

/// When all servers are late, the class of the lowest priority is shed first.
#[test]
fn overload_sheds_the_lowest_priority_class_first() {
    let servers: Vec<_> = (0..4).map(server).collect();
    let mut b = BalancerHarness::new(settings(|_| {}), 2, &servers);
    let (mut low_priority, mut high_priority) = (0, 0);
    for i in 0..300 {
        let class = if i % 2 == 0 { 0 } else { 2 };
        let (id, out) = b.request(class);
        match sent(&out) {
            Some(to) => {
                let latency = 170 * MS;
                b.now += 20 * MS;
                b.answer_after(latency, id, to, 3.0);
            }
            None if class == 0 => low_priority += 1,
            None => high_priority += 1,
        }
    }
    assert!(low_priority > 50, "{low_priority} requests of low priority shed");
    assert!(high_priority * 5 < low_priority, "shed: {high_priority} high, {low_priority} low");
}

/// Servers with short queues reject some attempts even in normal operation. Guards against counting each such
/// rejection as a late response, which would shed requests while other servers have capacity.
#[test]
fn rejections_that_succeed_elsewhere_do_not_shed() {
    let servers: Vec<_> = (0..8).map(server).collect();
    let mut b = BalancerHarness::new(settings(|_| {}), 3, &servers);
    for _ in 0..200 {
        let (id, out) = b.request(0);
        let first = sent(&out).expect("not shed");
        b.now += MS;
        let out = b.answer(id, 0, first, Outcome::Rejected, 0.0);
        let second = sent(&out).expect("retried at another server");
        b.now += 20 * MS;
        b.answer(id, 1, second, Outcome::Success, 0.0);
    }
}

/// Guards against load shedding because of expensive requests whose work hints announce the long latency.
#[test]
fn announced_work_does_not_count_as_overload() {
    let servers: Vec<_> = (0..8).map(server).collect();
    let shed = |hinted: bool| {
        let mut b = BalancerHarness::new(settings(|_| {}), 4, &servers);
        let mut shed = 0;
        for i in 0..2000 {
            let (work, latency) = if i % 4 == 0 { (80 * MS, 190 * MS) } else { (10 * MS, 60 * MS) };
            let (id, out) = b.request_with(0, hinted.then_some(work));
            b.now += 50 * MS;
            let Some(to) = sent(&out) else {
                shed += 1;
                continue;
            };
            b.answer_after(latency, id, to, 1.0);
        }
        shed
    };
    let (without, with) = (shed(false), shed(true));
    assert!(without > 20 && with * 2 < without, "shed: {without} without hints, {with} with hints");
}

/// Shedding a class early only helps if another class has a higher priority. Guards against shedding half of the
/// requests of a single class while responses take three fifths of the latency objective.
#[test]
fn classes_of_equal_priority_are_not_shed_early() {
    let servers: Vec<_> = (0..8).map(server).collect();
    let shed = |class: usize| {
        let mut b = BalancerHarness::new(settings(|_| {}), 4, &servers);
        let mut shed = 0;
        for _ in 0..400 {
            let (id, out) = b.request(class);
            let latency = if class == 0 { 125 * MS } else { 190 * MS };
            b.now += 50 * MS;
            let Some(to) = sent(&out) else {
                shed += 1;
                continue;
            };
            b.answer_after(latency, id, to, 1.0);
        }
        shed
    };
    assert!(shed(0) > 100, "class 0 has an eighth of the highest priority: {} shed", shed(0));
    assert_eq!(shed(2), 0, "no class has a higher priority than class 2");
}

#[test]
fn rejection_carries_a_jittered_retry_after() {
    let with_limits = |max_retry_after: u64, is_allowed: bool| {
        settings(move |s| {
            s["limits"]["maxRetryAfter"] = max_retry_after.into();
            s["limits"]["retryAfter"] = is_allowed.into();
        })
    };
    // Without the permission to send Retry-After, its maximum has no effect.
    for (max_retry_after, is_allowed) in
        [(0, true), (10 * MS, true), (2 * S, true), (10 * MS, false), (2 * S, false)]
    {
        let max = if is_allowed { max_retry_after } else { 0 };
        let mut b = BalancerHarness::new(with_limits(max_retry_after, is_allowed), 1, &[]);
        let mut values = Vec::new();
        for _ in 0..20 {
            let (_, out) = b.request(0);
            let Some(Action::Reject { retry_after, reason, .. }) = out.last() else {
                panic!("not rejected without servers: {out:?}");
            };
            assert_eq!(*reason, EndReason::NoServer);
            values.push(*retry_after);
        }
        assert!(values.iter().all(|&t| t <= max && (t > 0) == (max > 0)), "{values:?}");
        // The values vary unless the maximum cuts them all.
        assert!(max < S || values.iter().any(|t| t != &values[0]), "{values:?}");
    }
}

#[test]
fn late_request_is_not_cancelled_without_a_final_answer() {
    let mut b = BalancerHarness::new(settings(|_| {}), 1, &[server(0), server(2)]);
    // No response arrives within its latency objective.
    let open: Vec<_> = (0..12).map(|_| b.request(0)).filter(|r| sent(&r.1).is_some()).collect();
    assert!(!open.is_empty());
    b.now += 200 * MS;
    for (id, out) in &open {
        for action in out {
            let Action::SetTimer { token, delay } = *action else { continue };
            if delay <= 200 * MS {
                let late = b.handle_event(Event::Timer { token });
                let is_cancelled = late.iter().any(|a| matches!(a, Action::Cancel { .. }));
                assert!(!is_cancelled || rejected(&late) || failed(&late), "{id:?}: {late:?}");
            }
        }
    }
}

#[test]
fn lost_answers_do_not_count_as_overload() {
    let servers: Vec<_> = (0..4).map(|n| server(2 * n)).collect();
    let mut b = BalancerHarness::new(settings(|_| {}), 1, &servers);
    let (mut timers, mut lost) = (Vec::new(), Vec::new());
    let mut shed = 0;
    for n in 0..400 {
        let (id, out) = b.request(0);
        timers.extend(out.iter().filter_map(|a| match *a {
            Action::SetTimer { delay, token } => Some((b.now + delay, token)),
            _ => None,
        }));
        match sent(&out) {
            // One of five attempts gets no response, the others get theirs after 5 ms.
            Some(to) if n % 5 > 0 => {
                b.now += 5 * MS;
                b.answer(id, 0, to, Outcome::Success, 0.0);
            }
            Some(to) => lost.push((b.now + S, id, to)),
            None => shed += 1,
        }
        timers.sort_unstable();
        while let Some(&(at, token)) = timers.first()
            && at <= b.now
        {
            timers.remove(0);
            b.handle_event(Event::Timer { token });
        }
        while let Some(&(at, id, to)) = lost.first()
            && at <= b.now
        {
            lost.remove(0);
            b.answer(id, 0, to, Outcome::Cancelled, 0.0);
        }
    }
    assert_eq!(shed, 0);
}

/// Guards against wasting attempts on requests that end at their deadline before the response, as happens when most
/// servers are being replaced.
#[test]
fn request_without_enough_time_left_is_mostly_rejected_at_once() {
    let servers: Vec<_> = (0..4).map(server).collect();
    let mut b = BalancerHarness::new(settings(|_| {}), 5, &servers);
    let mut sends_with_time_left = |time_left: Micros, n: u64| {
        let mut sends = 0;
        for id in n * 1000..n * 1000 + 200 {
            let id = RequestId(id);
            let out = b.handle_event(Event::Request(NewRequest {
                id,
                class: 0,
                tenant: 0,
                affinity_key: 0,
                time_left,
                work_hint: None,
                client_retry: false,
                over_quota: false,
            }));
            b.now += 20 * MS;
            match sent(&out) {
                Some(to) => {
                    sends += 1;
                    b.answer(id, 0, to, Outcome::Success, 0.0);
                }
                None => assert!(rejected(&out), "{out:?}"),
            }
        }
        sends
    };
    assert_eq!(sends_with_time_left(S, 1), 200, "all requests are sent if there is enough time");
    let few = sends_with_time_left(10 * MS, 4);
    assert!((2..=25).contains(&few), "{few}");
    assert_eq!(sends_with_time_left(19 * MS, 5), 200, "the response may be in time by chance");
}

/// Once the mean latency is known, a request with less time left is rejected with the reason `TooLittleTime`.
#[test]
fn request_with_too_little_time_is_rejected_for_that_reason() {
    let mut b = BalancerHarness::new(settings(|_| {}), 1, &[server(0)]);
    b.exchange_many(40);
    let mut reasons = Vec::new();
    for n in 0..40 {
        let out = b.handle_event(Event::Request(NewRequest {
            id: RequestId(1000 + n),
            class: 0,
            tenant: 0,
            affinity_key: 0,
            time_left: MS,
            work_hint: None,
            client_retry: false,
            over_quota: false,
        }));
        reasons.extend(out.iter().find_map(|action| match action {
            Action::Reject { reason, .. } => Some(*reason),
            _ => None,
        }));
    }
    assert!(reasons.len() > 30, "{reasons:?}");
    assert!(reasons.iter().all(|&reason| reason == EndReason::TooLittleTime), "{reasons:?}");
}

/// What attempts wait for while the latency objective of their requests passes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WaitsFor {
    Server,
    /// The client, which sends its body.
    Client,
    /// The server, which does not take the body that the client has sent.
    ServerOfUpload,
    /// The memory of the sidecar, as the server has begun to respond.
    Memory,
    /// The rest of a response that has begun.
    RestOfResponse,
}

impl WaitsFor {
    /// Tells the balancer what an attempt waits for from its start on.
    fn begin(self, b: &mut BalancerHarness, id: RequestId) {
        match self {
            WaitsFor::Server => {}
            WaitsFor::Client | WaitsFor::ServerOfUpload => {
                b.handle_event(Event::UploadStarted { id, attempt: 0 });
            }
            WaitsFor::Memory => {
                b.handle_event(Event::ResponseAwaitsMemory { id, attempt: 0 });
            }
            WaitsFor::RestOfResponse => {
                let progress = ResponseProgress::Begun;
                b.handle_event(Event::ResponseProgress { id, attempt: 0, progress });
            }
        }
    }

    /// Tells the balancer what it is told once the objective has passed.
    fn pass_objective(self, b: &mut BalancerHarness, id: RequestId) {
        if self == WaitsFor::ServerOfUpload {
            b.handle_event(Event::UploadOverdue { id, attempt: 0 });
        }
    }
}

/// Returns how many of 40 requests are shed beside requests whose attempts wait until their objective has passed.
fn shed_beside_attempts_that_wait(waits_for: WaitsFor) -> usize {
    let servers: Vec<_> = (0..6).map(|n| server(2 * n)).collect();
    let mut b = BalancerHarness::new(settings(|_| {}), 5, &servers);
    b.exchange_many(20);
    let mut timers = Vec::new();
    for _ in 0..60 {
        let (id, out) = b.request(1);
        if sent(&out).is_none() {
            continue;
        }
        waits_for.begin(&mut b, id);
        timers.extend(out.iter().filter_map(|action| match *action {
            Action::SetTimer { delay, token } if delay <= 300 * MS => Some((id, token)),
            _ => None,
        }));
    }
    b.now += 300 * MS;
    for (id, token) in timers {
        b.handle_event(Event::Timer { token });
        waits_for.pass_objective(&mut b, id);
    }
    (0..40).filter(|_| b.exchange(0, 1.0).is_none()).count()
}

/// Guards against load shedding because clients stall within their uploads, while the servers are idle.
#[test]
fn uploads_whose_clients_stall_do_not_count_as_overload() {
    assert_eq!(shed_beside_attempts_that_wait(WaitsFor::Client), 0);
}

/// Guards against an overload that is not noticed because the requests have long bodies.
#[test]
fn uploads_that_their_servers_delay_count_as_overload() {
    let shed = shed_beside_attempts_that_wait(WaitsFor::ServerOfUpload);
    assert!(shed > 0, "none shed");
}

/// Guards against load shedding because responses wait for memory, while the servers are idle.
#[test]
fn responses_that_wait_for_memory_do_not_count_as_overload() {
    assert_eq!(shed_beside_attempts_that_wait(WaitsFor::Memory), 0);
}

/// Guards against load shedding because sound responses take long, while the servers are idle.
#[test]
fn responses_that_have_begun_do_not_count_as_overload() {
    assert_eq!(shed_beside_attempts_that_wait(WaitsFor::RestOfResponse), 0);
}

/// The same attempts, whose servers do not respond: the load is shed.
#[test]
fn responses_that_their_servers_delay_count_as_overload() {
    let shed = shed_beside_attempts_that_wait(WaitsFor::Server);
    assert!(shed > 0, "none shed");
}

/// Returns whether any of 20 pairs of requests goes to a server with an attempt that waits until its objective has passed.
fn reaches_server_of_attempt_that_waits(waits_for: WaitsFor) -> bool {
    let mut b = BalancerHarness::new(settings(|_| {}), 6, &[server(0), server(2)]);
    b.exchange_many(20);
    let (id, out) = b.request(1);
    let waits_at = sent(&out).expect("sent");
    waits_for.begin(&mut b, id);
    b.now += S;
    waits_for.pass_objective(&mut b, id);
    b.now += 10 * MS;
    let mut reached = false;
    for _ in 0..20 {
        let pair = [b.request(0), b.request(0)];
        b.now += 20 * MS;
        for (id, out) in pair {
            let Some(to) = sent(&out) else { continue };
            reached |= to == waits_at;
            b.answer(id, 0, to, Outcome::Success, 1.0);
        }
    }
    reached
}

/// Guards against a server that counts as silent, and gets nothing more, because a client stalls within its upload.
#[test]
fn server_of_an_upload_whose_client_stalls_is_not_silent() {
    assert!(reaches_server_of_attempt_that_waits(WaitsFor::Client));
}

/// Guards against the same because a response waits for memory.
#[test]
fn server_of_a_response_that_waits_for_memory_is_not_silent() {
    assert!(reaches_server_of_attempt_that_waits(WaitsFor::Memory));
}

/// Guards against the same because a response takes long.
#[test]
fn server_of_a_response_that_has_begun_is_not_silent() {
    assert!(reaches_server_of_attempt_that_waits(WaitsFor::RestOfResponse));
}

/// The same attempt, whose server does not respond: it is silent.
#[test]
fn server_that_does_not_respond_is_silent() {
    assert!(!reaches_server_of_attempt_that_waits(WaitsFor::Server));
}

/// Guards against a server that hangs after an upload, and is chosen for longer than after another request.
#[test]
fn server_that_hangs_after_an_upload_is_silent_at_once() {
    assert!(!reaches_server_of_attempt_that_waits(WaitsFor::ServerOfUpload));
}
