//! A fault-injection run, read from a TOML file and checked as a whole.
//!
//! The file says which nodes there are, what load they get, which faults happen when, and what must hold. The
//! resulting plan depends on the file and the seed alone. No I/O.

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

/// A run, ready to be played.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// The seed of everything that is drawn.
    pub seed: u64,
    /// How long it takes.
    pub duration: Duration,
    /// The number of sidecars.
    pub sidecar_count: u16,
    /// The number of log servers in each zone.
    pub servers_per_zone: u16,
    /// The requests that a server processes at the same time.
    pub server_cores: usize,
    /// The factor on all latency objectives and deadlines, for slow machines.
    pub time_scale: f64,
    /// The load.
    pub load: Load,
    /// What all links do from the start.
    pub baseline: Impairment,
    /// Changes to the configurations of some sidecars from the start (RFC 7396).
    pub configuration_patches: Vec<ConfigurationPatch>,
    /// How often system calls of the sidecars fail; none: their calls are left alone.
    pub system_calls: Option<FaultRates>,
    /// Whether clients go on sending to a sidecar that was asked to shut down.
    pub clients_stay: bool,
    /// Whether a request that arrives at a server after its final answer breaks a rule. Where links hold traffic up,
    /// it may have been sent long before.
    pub judges_late_arrivals: bool,
    /// What happens when, in the order of time.
    pub events: Vec<Event>,
    /// What must hold.
    pub expectations: Vec<Expectation>,
}

/// A change to the configurations of some sidecars.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigurationPatch {
    /// The sidecars.
    pub sidecars: BTreeSet<u16>,
    /// The JSON merge patch (RFC 7396).
    pub patch: Value,
}

/// The load of all clients.
#[derive(Clone, Debug)]
pub struct Load {
    /// Requests per second, over all clients.
    pub requests_per_s: f64,
    /// The load of the sidecar of rank *r* is proportional to 1 / *r* to this power; 0 is uniform.
    pub zipf_exponent: f64,
    /// The retries of a client after its first attempt.
    pub client_retries: u16,
    /// The share of the operations whose client leaves before it is answered.
    pub leave_share: f64,
    /// The connections to each sidecar that are held open without a request.
    pub silent_connections: usize,
    /// The connections to each sidecar whose clients rest for about as long as idle ones are kept.
    pub resting_connections: usize,
    /// The tenants.
    pub tenants: Vec<Tenant>,
}

impl Load {
    /// The sum of the tenants' shares.
    pub fn total_share(&self) -> f64 {
        self.tenants.iter().map(|tenant| tenant.share).sum()
    }
}

/// A tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Its weight in the load, relative to the other tenants.
    pub share: f64,
    /// Its quota in requests per second.
    pub quota_per_s: f64,
}

/// An action at a time.
#[derive(Clone, Debug, Serialize)]
pub struct Event {
    /// The time in seconds from the start.
    pub at_s: f64,
    /// The number of the fault in the file that it belongs to, from 0.
    pub fault: usize,
    /// What is done.
    pub action: Action,
}

/// Something that is done to the nodes of a run. The stored names are those of journals.
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
    /// Ends what the event's fault has done to links.
    #[serde(rename = "lift")]
    Clear,
    /// Kills sidecars.
    Kill(BTreeSet<u16>),
    /// Asks sidecars to shut down gracefully (SIGTERM).
    #[serde(rename = "end")]
    Terminate(BTreeSet<u16>),
    /// Starts sidecars again.
    Start {
        /// Which.
        #[serde(rename = "of")]
        sidecars: BTreeSet<u16>,
        /// Whether their stored state is deleted before.
        #[serde(rename = "empty")]
        discard_state: bool,
    },
    /// Pauses sidecars (SIGSTOP).
    #[serde(rename = "stop")]
    Pause(BTreeSet<u16>),
    /// Resumes paused sidecars (SIGCONT).
    #[serde(rename = "go")]
    Resume(BTreeSet<u16>),
    /// Lets sidecars run for this share of the time only.
    #[serde(rename = "starve")]
    Throttle(BTreeSet<u16>, f64),
    /// Lets throttled sidecars run all the time.
    #[serde(rename = "feed")]
    Unthrottle(BTreeSet<u16>),
    /// Changes the state of log servers.
    #[serde(rename = "servers")]
    SetServers(BTreeSet<u16>, ServerState),
    /// Takes discovery down or brings it up.
    #[serde(rename = "discovery")]
    SetDiscovery(Availability),
    /// Has the discovery of sidecars misbehave.
    #[serde(rename = "discovery_faults")]
    SetDiscoveryFaults(BTreeSet<u16>, DiscoveryFaults),
    /// Multiplies the load of a tenant (by its number; none: of all) relative to the start.
    #[serde(rename = "load")]
    ScaleLoad(Option<usize>, f64),
    /// Patches the configurations of sidecars (RFC 7396), which read them again.
    Configure(BTreeSet<u16>, Value),
    /// Sets the wall clocks of sidecars ahead by so many seconds. It needs faulty system calls, which may have a rate
    /// of zero.
    StepClock(BTreeSet<u16>, i64),
}

/// Whether a service can be reached. Stored as whether it is down.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(into = "bool")]
pub enum Availability {
    /// It answers.
    Up,
    /// It does not.
    Down,
}

impl From<Availability> for bool {
    fn from(availability: Availability) -> bool {
        availability == Availability::Down
    }
}

/// How discovery misbehaves while it is up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct DiscoveryFaults {
    /// The connections that are open now fall silent; new ones are answered.
    pub silences_connections: bool,
    /// Nothing is answered.
    pub silent: bool,
    /// How long each answer is on its way, in milliseconds.
    pub answer_delay_ms: u64,
    /// How long after it is accepted a connection is first read, in milliseconds.
    pub first_read_delay_ms: u64,
}

/// The state of a log server.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerState {
    /// As at the start.
    #[serde(rename = "well")]
    Healthy,
    /// It drains, and discovery lists it as leaving.
    #[serde(rename = "drains")]
    Draining,
    /// Discovery does not list it any more; it goes on answering.
    Removed,
    /// Connections to it are refused.
    Dead,
    /// Its work takes this many times as long.
    Slow(f64),
    /// This share of its answers are errors.
    Errors(f64),
    /// This share of its requests get no answer.
    Hangs(f64),
    /// For this share of its requests the connection is reset, for half of them after they were executed.
    Breaks(f64),
    /// This share of its answers is no HTTP, or incomplete.
    Malformed(f64),
    /// This share of its requests is rejected in ways that prove nothing, most of them after they were executed.
    BrokenRejections(f64),
    /// This share of its answers is sent a second time, up to 0.4 s later or as the next request comes.
    SecondAnswers(f64),
}
