//! Records what servers and discovery report, and checks the rules `stranger` and `twice` on executions.

use std::time::Duration;

use fakes::account::Idempotency;
use fakes::body_plan::BodyPlan;

use super::Oracle;
use super::eligibility::Pair;
use super::report::Breach;
use super::rule::Rule;
use crate::model::RequestId;

impl Oracle {
    /// Records that a server has started, in slow start. `replaced` tells whether it has another name than before.
    pub fn server_started(&mut self, now: Duration, server: usize, replaced: bool) {
        self.note(now, || format!("server {server} starts"));
        if replaced {
            self.eligibility.forget_disabled_server(server);
        }
        self.slow_start.server_started(now, server);
    }

    /// Notes how a server gives the response to a request.
    pub fn response_planned(&mut self, now: Duration, id: RequestId, plan: &BodyPlan) {
        self.note(now, || format!("{id} gets {plan}"));
    }

    /// Records that a server has received a request with another body than its client has sent.
    pub fn request_changed(&mut self, now: Duration, id: RequestId) {
        let breach =
            Breach::new(Rule::Stranger, "its body is not the one that its client has sent");
        self.report_breach(now, breach, Some(id));
    }

    /// Records that a server has executed a request.
    pub fn request_executed(&mut self, now: Duration, id: RequestId, server: usize) {
        self.note(now, || format!("{id} is executed by server {server}"));
        let Some(request) = self.requests.get_mut(&id) else {
            let message = format!("{id} is executed, but no client has sent it");
            return self.violate(now, Rule::Stranger, message);
        };
        request.executed_by.push(server);
        let attempts = request.attempts.iter_mut().rev();
        if let Some(attempt) = attempts.into_iter().find(|attempt| attempt.server == server) {
            attempt.executed = true;
        }
        let executions = request.executed_by.len();
        // A retry that keeps the rules may still arrive after its server has forgotten the idempotency key, so
        // retries of keyed requests are checked when they are sent.
        let repeat = self.limits.classes[request.class].repeat;
        if repeat == Idempotency::NonIdempotent && executions > 1 {
            let breach = Breach::new(Rule::Twice, format!("executed {executions} times"));
            self.report_breach(now, breach, Some(id));
        }
    }

    /// Records that discovery has written to a sidecar whether a server is active, that is, gets new requests.
    pub fn endpoint_written(&mut self, now: Duration, sidecar: usize, server: usize, active: bool) {
        let pair = Pair { sidecar, server };
        if active {
            self.slow_start.inform(sidecar, server);
            self.eligibility.unblock(pair);
        } else {
            self.eligibility.block_by_discovery(now, pair);
        }
    }

    /// Records that a sidecar's agent knows whether a server is active.
    pub fn agent_updated(&mut self, now: Duration, sidecar: usize, server: usize, active: bool) {
        if active {
            self.endpoint_written(now, sidecar, server, true);
        } else {
            self.eligibility.block_by_agent(now, Pair { sidecar, server });
        }
    }

    /// Records that the agents are no longer available.
    pub fn agents_unavailable(&mut self, now: Duration) {
        self.eligibility.agents_unavailable(now);
    }
}
