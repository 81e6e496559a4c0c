//! Helpers of the tests.

use std::time::Duration;

use fakes::clients::Load;
use fakes::world::{World, classes};
use fleet::control::Request;
use local_cluster::{Host, Plan, RunningLoad};

/// The time limit of each condition that a test waits for.
pub const TIMEOUT: Duration = Duration::from_secs(60);

/// Returns the plan of a small fleet with quick rollouts. Deadlines are long, so that no request times out on a slow
/// machine.
pub fn plan(instances: usize) -> Plan {
    Plan {
        instances,
        classes: classes(15.0),
        rollout: "watch_s = 0.5\nleast_requests = 0\nshare = 0.4\nready_within_s = 30.0".to_owned(),
        restarts: "silent_after_s = 30.0\nfirst_pause_s = 0.05".to_owned(),
        ..Plan::default()
    }
}

/// Starts a host, and waits until it is settled.
pub fn start_host_with(plan: Plan) -> Host {
    let host = Host::start(plan).expect("the host starts");
    host.wait_until_settled(TIMEOUT).expect("all instances serve");
    host
}

/// Starts a host with the default [`plan`], and waits until it is settled.
pub fn start_host(instances: usize) -> Host {
    start_host_with(plan(instances))
}

/// Starts load on all instances, 10 requests per second each.
pub fn start_load(host: &Host) -> RunningLoad {
    host.start_load(&Load {
        rate: 10.0,
        slack: Duration::from_secs(20),
        tenants: World::tenants(),
        ..Load::default()
    })
}

/// Asserts that requests were served, no rule was violated, and no connection was refused or left unread.
pub fn assert_no_violations(host: &Host) {
    let report = host.account().report();
    let text = format!("{:?}", report.examples);
    assert_eq!(
        (report.violations(), report.unread_connections, report.refused_connections),
        (0, 0, 0),
        "{text}"
    );
    assert!(report.served() > 0);
}

/// Returns whether the history of the daemon contains this text.
pub fn history_contains(host: &Host, text: &str) -> bool {
    host.ask(&Request::History).is_ok_and(|h| h.to_string().contains(text))
}

/// Changes a setting that only new processes can apply.
pub fn change_goal(host: &Host, whole: f64) {
    host.change_settings(|s| s["goal"]["whole"] = whole.into()).expect("written");
}
