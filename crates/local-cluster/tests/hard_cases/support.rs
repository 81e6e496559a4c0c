//! What the tests share.

use std::time::Duration;

use fakes::clients::Load;
use fakes::world::{World, classes};
use fleet::control::Request;
use local_cluster::{Host, Plan, RunningLoad};

/// How long anything may take.
pub const PATIENCE: Duration = Duration::from_secs(60);

/// A small fleet with quick rollouts, and deadlines that no machine exceeds by chance.
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
pub fn started(plan: Plan) -> Host {
    let host = Host::start(plan).expect("it starts");
    host.wait_until_settled(PATIENCE).expect("all serve");
    host
}

/// A settled host with the usual plan.
pub fn host(instances: usize) -> Host {
    started(plan(instances))
}

/// Starts the usual load.
pub fn start_load(host: &Host) -> RunningLoad {
    host.start_load(&Load {
        rate: 10.0,
        slack: Duration::from_secs(20),
        tenants: World::tenants(),
        ..Load::default()
    })
}

/// No rule was broken, and no connection refused.
pub fn assert_sound(host: &Host) {
    let report = host.account().report();
    let text = format!("{:?}", report.examples);
    assert_eq!(
        (report.violations(), report.unread_connections, report.refused_connections),
        (0, 0, 0),
        "{text}"
    );
    assert!(report.served() > 0);
}

/// Whether an entry of the daemon's history has this text.
pub fn history_contains(host: &Host, what: &str) -> bool {
    host.ask(&Request::History).is_ok_and(|h| h.to_string().contains(what))
}

/// Changes a setting that only new processes can apply.
pub fn change_objective(host: &Host, whole: f64) {
    host.change_settings(|s| s["goal"]["whole"] = whole.into()).expect("written");
}
