//! The scenario of a fault-injection run, parsed from a TOML file and validated.
//!
//! The file defines the nodes, their load, the faults with their times, and the expectations. The resulting plan
//! depends only on the file and the seed. This module does no I/O.

use std::collections::BTreeSet;
use std::time::Duration;

use fakes::faulty_calls::FaultRates;
use serde::Serialize;
use serde_json::Value;

use crate::expectations::Expectation;
use crate::links::{ActiveFault, Impairment};

pub use error::{Problem, ScenarioError};
pub use file::MAX_SIDECARS;

mod build;
mod error;
mod faults;
mod file;
mod selectors;
#[cfg(test)]
mod tests;
mod values;

/// A validated scenario.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The name of the scenario.
    pub name: String,
    /// The seed of all random choices.
    pub seed: u64,
    /// The length of the run.
    pub duration: Duration,
    /// The number of sidecars.
    pub sidecar_count: u16,
    /// The number of log servers in each zone.
    pub servers_per_zone: u16,
    /// The number of requests that a server executes at the same time.
    pub server_cores: usize,
    /// The factor on all latency objectives and deadlines, for slow machines.
    pub time_scale: f64,
    /// The load.
    pub load: Load,
    /// The impairment of all links from the start.
    pub baseline: Impairment,
    /// Changes to the configurations of some sidecars from the start (RFC 7396).
    pub configuration_patches: Vec<ConfigurationPatch>,
    /// The failure rates of the sidecars' system calls. `None` if no faults are injected.
    pub system_calls: Option<FaultRates>,
    /// Whether clients go on sending to a sidecar that was asked to shut down.
    pub clients_send_during_shutdown: bool,
    /// Whether a request that arrives at a server after its final response is a violation. On links that hold traffic
    /// back, it may have been sent long before.
    pub checks_late_arrivals: bool,
    /// The events in the order of time.
    pub events: Vec<Event>,
    /// The conditions that must hold.
    pub expectations: Vec<Expectation>,
}

impl Scenario {
    /// Returns whether connections break by faults of the run itself: of links, or of system calls that read.
    pub fn breaks_connections(&self) -> bool {
        let breaks_links = |event: &Event| matches!(event.action, Action::Inject { .. });
        let breaks_reads = self.system_calls.is_some_and(|rates| rates.broken > 0);
        breaks_reads || self.events.iter().any(breaks_links)
    }
}

/// A change to the configurations of some sidecars.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigurationPatch {
    /// The numbers of the sidecars.
    pub sidecars: BTreeSet<u16>,
    /// The JSON merge patch (RFC 7396).
    pub patch: Value,
}

/// The load of all clients.
#[derive(Clone, Debug)]
pub struct Load {
    /// Requests per second, over all clients.
    pub requests_per_s: f64,
    /// The exponent of Zipf's law: the load of the sidecar of rank *r* is proportional to 1 / *r* to this power. 0 is
    /// uniform.
    pub zipf_exponent: f64,
    /// The number of retries of a client after its first attempt.
    pub client_retries: u16,
    /// The share of the operations whose client may give up before its deadline.
    pub leave_share: f64,
    /// The number of connections to each sidecar that are held open without a request.
    pub silent_connections: usize,
    /// The number of connections to each sidecar whose clients pause between requests for about the idle timeout.
    pub resting_connections: usize,
    /// The tenants.
    pub tenants: Vec<Tenant>,
}

impl Load {
    /// Returns the sum of the tenants' shares.
    pub fn total_share(&self) -> f64 {
        self.tenants.iter().map(|tenant| tenant.share).sum()
    }
}

/// A tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// The name of the tenant.
    pub name: String,
    /// The tenant's weight in the load, relative to the other tenants.
    pub share: f64,
    /// The tenant's quota in requests per second.
    pub quota_per_s: f64,
}

/// A planned action.
#[derive(Clone, Debug, Serialize)]
pub struct Event {
    /// The time in seconds from the start.
    pub at_s: f64,
    /// The number of the fault in the file that the event belongs to, from 0.
    pub fault: usize,
    /// The action.
    pub action: Action,
}

/// An action on the nodes of a run. The serialized names are part of the journal format.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Impairs links.
    #[serde(rename = "lay")]
    Inject {
        /// The senders, as the file names them.
        from: Vec<String>,
        /// The receivers, as the file names them.
        to: Vec<String>,
        /// The fault itself.
        #[serde(skip)]
        fault: Box<ActiveFault>,
    },
    /// Removes the impairments of the event's fault.
    #[serde(rename = "lift")]
    Clear,
    /// Kills sidecars.
    Kill(BTreeSet<u16>),
    /// Asks sidecars to shut down gracefully (SIGTERM).
    #[serde(rename = "end")]
    Terminate(BTreeSet<u16>),
    /// Starts sidecars again.
    Start {
        /// The numbers of the sidecars.
        #[serde(rename = "of")]
        sidecars: BTreeSet<u16>,
        /// Whether their stored state is deleted first.
        #[serde(rename = "empty")]
        discard_state: bool,
    },
    /// Pauses sidecars (SIGSTOP).
    #[serde(rename = "stop")]
    Pause(BTreeSet<u16>),
    /// Resumes paused sidecars (SIGCONT).
    #[serde(rename = "go")]
    Resume(BTreeSet<u16>),
    /// Makes sidecars run for this share of the time only.
    #[serde(rename = "starve")]
    Throttle(BTreeSet<u16>, f64),
    /// Stops throttling sidecars.
    #[serde(rename = "feed")]
    Unthrottle(BTreeSet<u16>),
    /// Changes the state of log servers.
    #[serde(rename = "servers")]
    SetServers(BTreeSet<u16>, ServerState),
    /// Starts or ends an outage of discovery.
    #[serde(rename = "discovery")]
    SetDiscovery(Availability),
    /// Sets the faults of the sidecars' discovery.
    #[serde(rename = "discovery_faults")]
    SetDiscoveryFaults(BTreeSet<u16>, DiscoveryFaults),
    /// Sets the factor on the load of a tenant, given by index, relative to the start. `None` means all tenants.
    #[serde(rename = "load")]
    ScaleLoad(Option<usize>, f64),
    /// Patches the configurations of sidecars (RFC 7396) and makes them reload.
    Configure(BTreeSet<u16>, Value),
    /// Sets the wall clocks of sidecars ahead by a number of seconds. This requires faulty system calls, whose rates
    /// may be zero.
    StepClock(BTreeSet<u16>, i64),
}

/// Whether a service is available. Serialized as a boolean that is true if the service is down.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(into = "bool")]
pub enum Availability {
    /// The service answers.
    Up,
    /// The service does not answer.
    Down,
}

impl From<Availability> for bool {
    fn from(availability: Availability) -> bool {
        availability == Availability::Down
    }
}

/// The faults of discovery other than an outage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct DiscoveryFaults {
    /// The connections that are open now are not answered any more. New ones are answered.
    pub silences_connections: bool,
    /// No request is answered.
    pub silent: bool,
    /// The delay of each answer, in milliseconds.
    pub answer_delay_ms: u64,
    /// The time from accepting a connection to its first read, in milliseconds.
    pub first_read_delay_ms: u64,
}

/// The state of a log server.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerState {
    /// The server has no fault.
    #[serde(rename = "well")]
    Healthy,
    /// The server drains, and discovery lists it as leaving.
    #[serde(rename = "drains")]
    Draining,
    /// Discovery does not list the server any more, but it still answers.
    Removed,
    /// Connections to the server are refused.
    Dead,
    /// Service times are multiplied by this factor.
    Slow(f64),
    /// This share of the responses are errors.
    Errors(f64),
    /// This share of the requests get no response.
    Hangs(f64),
    /// For this share of the requests the connection is reset, for half of them after the request was executed.
    Breaks(f64),
    /// This share of the responses are not HTTP, or incomplete.
    Malformed(f64),
    /// This share of the requests get a malformed rejection, which does not prove that they were not executed; most
    /// of them were.
    BrokenRejections(f64),
    /// This share of the responses are sent a second time, up to 0.4 s later or when the next request arrives.
    SecondAnswers(f64),
    /// This share of the responses are sound, with drawn bodies: of any length and framing, at once or piece by piece.
    DrawnBodies(f64),
}
