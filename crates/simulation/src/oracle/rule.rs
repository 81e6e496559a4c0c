//! The rules that a run is checked against, by name.

use std::fmt;

/// A rule. Its name is printed, and is part of the documentation of the tool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Rule {
    /// A request is not served with the response of another one.
    Answer,
    /// A request that was received does not end without a response.
    Lost,
    /// An attempt without any response does not outlive the deadline passed on to its server.
    Waits,
    /// Responses come before the request's deadline.
    Late,
    /// A request that is not idempotent is not sent again once it may have been executed.
    Repeat,
    /// A request that is not idempotent is executed once at most.
    Twice,
    /// A request with an idempotency key is repeated in the same zone only.
    Group,
    /// A request with an idempotency key is repeated only while servers remember the key.
    Window,
    /// 429 and 503 mean that the request was not executed, unless it is idempotent.
    Refusal,
    /// A request that has failed is answered at once.
    Held,
    /// Nothing is sent for a request that was answered, or whose client has left.
    After,
    /// The remaining time is passed on, and never grows.
    Deadline,
    /// A server that is draining, gone or disabled gets no new requests.
    Drain,
    /// A server in slow start gets no more work than it can bear.
    Cold,
    /// A short response that does not make progress is not waited for.
    Stalled,
    /// Clients of a drained sidecar stop using the connections that they had.
    Away,
    /// Callers of the admin listener are answered or closed in time.
    Caller,
    /// Sidecars do not connect to sidecars.
    Loop,
    /// Only requests that a client has sent are sent to servers and executed.
    Stranger,
    /// A sidecar stays within its limit of descriptors.
    Sockets,
    /// Requests are served again some time after the last fault.
    Recovery,
    /// A sidecar without load holds no more tasks and sockets than at first.
    LeftOver,
    /// A sidecar that is asked to terminate does so in time.
    End,
    /// A sidecar does not end unless asked to.
    Crash,
}

impl Rule {
    /// The name as it is printed and documented.
    pub fn name(self) -> &'static str {
        match self {
            Rule::Answer => "answer",
            Rule::Lost => "lost",
            Rule::Waits => "waits",
            Rule::Late => "late",
            Rule::Repeat => "repeat",
            Rule::Twice => "twice",
            Rule::Group => "group",
            Rule::Window => "window",
            Rule::Refusal => "refusal",
            Rule::Held => "held",
            Rule::After => "after",
            Rule::Deadline => "deadline",
            Rule::Drain => "drain",
            Rule::Cold => "cold",
            Rule::Stalled => "stalled",
            Rule::Away => "away",
            Rule::Caller => "caller",
            Rule::Loop => "loop",
            Rule::Stranger => "stranger",
            Rule::Sockets => "sockets",
            Rule::Recovery => "recovery",
            Rule::LeftOver => "left over",
            Rule::End => "end",
            Rule::Crash => "crash",
        }
    }
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}
