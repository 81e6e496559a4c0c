//! Attempts, retries and final answers. Every attempt passes the checks in this module: rule 2 (no duplicate effects)
//! and rule 3 (no attempts to servers that drain or are removed). A retry after an attempt that may have run also needs
//! retry budget.

use super::*;

/// Number of attempts of a request from which an attempt that never ran, such as a rejected one, is no longer retried.
/// Retries before need no retry budget. The settings may allow fewer attempts.
pub(super) const MAX_REJECTED_ATTEMPTS: usize = 4;
/// Mean Retry-After of a rejection, as a multiple of the longest latency objective. It is jittered by half, so that
/// rejected clients do not retry at the same time.
const RETRY_AFTER_OBJECTIVES: f64 = 1.0;

/// Budget of retries after failures. Only a few may accumulate, so that one bad server cannot use up the retries of a
/// minute.
#[derive(Debug)]
pub(super) struct RetryBudget {
    /// Retries available now.
    pub(super) saved: f64,
    /// Retries earned by each request.
    pub(super) per_request: f64,
    /// Upper limit of `saved`.
    pub(super) max_saved: f64,
}

impl Balancer {
    /// Selects a server and sends an attempt there. Returns whether it was sent.
    pub(super) fn start_attempt(&mut self, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let Some(request) = self.requests.remove(&id) else { return false };
        let slot = self.select_server(&request);
        if request.attempts.is_empty() {
            self.recent_keys.push_front(request.affinity_key);
            self.recent_keys.truncate(selection::MAX_RECENT_KEYS);
        }
        self.requests.insert(id, request);
        slot.is_some_and(|slot| self.send(id, slot, actions))
    }

    /// Sends an attempt if the rules allow it. This is the only place that emits [`Action::Send`].
    fn send(&mut self, id: RequestId, slot: Slot, actions: &mut Vec<Action>) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let server = &self.servers[slot];
        if server.health != Health::Ready || !self.may_attempt(request, server) {
            return false;
        }
        let timeout = request.deadline - self.now;
        self.spend_chip(slot);
        let server = &mut self.servers[slot];
        server.in_flight += 1;
        server.silent_since.get_or_insert(self.now);
        let &mut Server { id: server, zone, cell, .. } = server;
        let (sent_at, state) = (self.now, AttemptState::InFlight);
        actions.push(Action::Send { id, server, timeout });
        if let Some(request) = self.requests.get_mut(&id) {
            request.attempts.push(Attempt {
                slot,
                server,
                zone,
                cell,
                sent_at,
                state,
                is_excused: false,
                has_begun: false,
                is_paused: false,
            });
        }
        true
    }

    /// Ends a request with a rejection, or with a failure if it may have run and a retry by the client would not be
    /// safe. This is the only place that emits [`Action::Reject`] and [`Action::Fail`].
    pub(super) fn end(&mut self, id: RequestId, reason: EndReason, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id).filter(|r| !r.ended) else { return };
        actions.push(if self.is_safe_to_reject(request) {
            let advice = RETRY_AFTER_OBJECTIVES * self.longest_objective * (0.5 + self.uniform());
            let limits = &self.settings.limits;
            let max = if limits.retry_after { limits.max_retry_after } else { 0 };
            Action::Reject { id, retry_after: (advice as Micros).min(max), reason }
        } else {
            Action::Fail { id, reason }
        });
        if let Some(request) = self.requests.get_mut(&id) {
            request.ended = true;
        }
        self.finish(id, actions);
    }

    /// Cleans up after the end of a request: cancels its attempts in flight, and removes it once there are none.
    pub(super) fn finish(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        if request.in_flight() == 0 {
            self.requests.remove(&id);
        } else if !request.streaming {
            self.cancel_attempts(id, None, actions);
        }
    }

    /// Handles the first byte of a streamed response: the other attempts are cancelled.
    pub(super) fn on_first_byte(
        &mut self,
        id: RequestId,
        attempt: usize,
        actions: &mut Vec<Action>,
    ) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.streaming = true;
            self.cancel_attempts(id, Some(attempt), actions);
        }
    }

    /// Cancels the attempts in flight of a request, except one, if the settings allow cancellation.
    fn cancel_attempts(&self, id: RequestId, except: Option<usize>, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        for (attempt, a) in request.attempts.iter().enumerate() {
            let cancels = self.settings.limits.may_cancel && Some(attempt) != except;
            if cancels && a.state == AttemptState::InFlight {
                actions.push(Action::Cancel { id, attempt });
            }
        }
    }

    /// Returns whether a server may get an attempt of a request, which may be a retry or a hedge.
    pub(super) fn may_attempt(&self, request: &Request, server: &Server) -> bool {
        let class = &self.settings.classes[request.class];
        let limits = &self.settings.limits;
        if request.ended
            || request.streaming
            || self.now >= request.deadline
            || request.attempts.len() >= limits.max_attempts
            || (request.in_flight() > 0 && !limits.may_hedge)
        {
            return false;
        }
        let is_deduplicated = |a: &Attempt| {
            let in_scope = match class.dedup_scope {
                DedupScope::All => true,
                DedupScope::Zone => a.zone == server.zone,
                DedupScope::Cell => a.cell == server.cell,
            };
            in_scope && self.now - a.sent_at < class.retry_window()
        };
        let ran = |a: &&Attempt| a.state != AttemptState::NeverRan;
        match class.retry_safety {
            RetrySafety::Idempotent => true,
            RetrySafety::NonIdempotent => request.never_ran(),
            RetrySafety::IdempotencyKey => request.attempts.iter().filter(ran).all(is_deduplicated),
        }
    }

    /// Returns whether the client may be told that a retry is safe.
    fn is_safe_to_reject(&self, request: &Request) -> bool {
        let class = &self.settings.classes[request.class];
        let is_safe_to_repeat = match class.retry_safety {
            RetrySafety::Idempotent => true,
            RetrySafety::NonIdempotent => false,
            RetrySafety::IdempotencyKey => class.dedup_scope == DedupScope::All,
        };
        is_safe_to_repeat || request.never_ran()
    }

    /// Ends or retries a request after the end of an attempt, unless other attempts are still in flight.
    pub(super) fn after_attempt(&mut self, result: &AttemptEnd, actions: &mut Vec<Action>) {
        let (id, never_ran) = (result.id, result.outcome.never_ran());
        let Some(request) = self.requests.get_mut(&id) else { return };
        let state = if never_ran { AttemptState::NeverRan } else { AttemptState::MayHaveRun };
        request.attempts.get_mut(result.attempt).into_iter().for_each(|a| a.state = state);
        request.ended |= result.finished || result.outcome == Outcome::Success;
        if request.ended {
            return self.finish(id, actions);
        }
        let is_over = request.streaming || self.now >= request.deadline;
        if is_over && let Some(attempt) = request.deliverable() {
            request.streaming = true;
            return actions.push(Action::Deliver { id, attempt });
        }
        if request.has_active_attempt() || is_over && request.in_flight() > 0 {
            return;
        }
        // A request whose stream was cancelled as its first byte arrived has no deadline any more, so it must end here.
        if request.streaming {
            return self.end(id, EndReason::AttemptsFailed, actions);
        }
        if self.now >= request.deadline {
            return self.end(id, EndReason::DeadlineExceeded, actions);
        }
        let awaits_paused = request.in_flight() > 0;
        let is_free = never_ran && request.attempts.len() < MAX_REJECTED_ATTEMPTS;
        let is_sent = if is_free {
            self.start_attempt(id, actions)
        } else {
            !never_ran && self.start_budgeted_attempt(id, actions)
        };
        if !is_sent && !awaits_paused {
            self.end(id, EndReason::AttemptsFailed, actions);
        }
    }

    /// Sends an attempt that takes a retry from the budget, if there is one left. Returns whether it was sent.
    fn start_budgeted_attempt(&mut self, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let is_sent = self.retry_budget.saved >= 1.0 && self.start_attempt(id, actions);
        if is_sent {
            self.retry_budget.saved -= 1.0;
        }
        is_sent
    }

    /// Handles the progress of a response that is being received.
    pub(super) fn on_response_progress(
        &mut self,
        id: RequestId,
        attempt: usize,
        progress: ResponseProgress,
        actions: &mut Vec<Action>,
    ) {
        if progress == ResponseProgress::Begun {
            // It is the time of the response's length from now on, no sign of a queue.
            self.excuse_server(id, attempt);
        }
        let Some(state) = self.attempt_in_flight(id, attempt) else { return };
        state.has_begun |= progress == ResponseProgress::Begun;
        state.is_paused = progress == ResponseProgress::Paused;
        if progress == ResponseProgress::Paused {
            self.on_response_paused(id, actions);
        }
    }

    /// Sends another attempt beside one whose response pauses, which may be sound and is not given up.
    fn on_response_paused(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let request = self.requests.get(&id);
        if request.is_some_and(|request| request.in_flight() == 1) {
            self.start_budgeted_attempt(id, actions);
        }
    }

    /// Ends a request whose client's time is over, or has the response passed on that has begun.
    pub(super) fn on_deadline(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id).filter(|r| !r.streaming) else { return };
        let Some(attempt) = request.deliverable().filter(|_| !request.ended) else {
            return self.end(id, EndReason::DeadlineExceeded, actions);
        };
        request.streaming = true;
        actions.push(Action::Deliver { id, attempt });
        self.cancel_attempts(id, Some(attempt), actions);
    }
}
