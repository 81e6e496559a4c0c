//! The rules that a run is checked against, by name.

use std::fmt;

/// A rule. Its name is printed, and is part of the documentation of the tool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Rule {
    /// A request is not served with the response of another one.
    Answer,
    /// The connection of a request that was received does not end without a response.
    Lost,
    /// An attempt without any response does not outlive the deadline passed on to its server.
    Waits,
    /// A request is answered by its deadline.
    Late,
    /// A request that is not idempotent is not sent again once it may have been executed.
    Repeat,
    /// A request that is not idempotent is executed at most once.
    Twice,
    /// A request with an idempotency key is retried only in the zone of its first attempt.
    Group,
    /// A request with an idempotency key is retried only while servers remember the key.
    Window,
    /// 429 and 503 mean that the request was not executed, unless it is idempotent.
    Refusal,
    /// A request that has failed is answered without delay.
    Held,
    /// Nothing is sent to servers for a request that was answered or whose client has left.
    After,
    /// The remaining time is passed on to servers, and never exceeds what is left of the client's timeout.
    Deadline,
    /// A server that is draining, gone or disabled gets no new requests.
    Drain,
    /// A server in slow start gets no more work than its capacity allows.
    Cold,
    /// A short response that makes no progress is given up.
    Stalled,
    /// Clients of a drained sidecar stop using the connections from before the drain.
    Away,
    /// Callers of the admin listener are answered, or their connections closed, in time.
    Caller,
    /// Sidecars do not connect to sidecars.
    Loop,
    /// Only requests that a client has sent are sent to servers and executed.
    Stranger,
    /// A sidecar stays within its limit of descriptors.
    Sockets,
    /// Some time after the last fault, requests are served again.
    Recovery,
    /// A sidecar without load holds no more tasks and sockets than before the load.
    LeftOver,
    /// A sidecar that is asked to terminate does so in time.
    End,
    /// A sidecar does not end unless asked to.
    Crash,
}

impl Rule {
    /// Returns the name that is printed and documented.
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
