//! Status reports to the supervisor of this process, where `NOTIFY_SOCKET` names a socket for them. The crate
//! `instance-status` has what a report contains.

use std::time::Duration;

use instance_status::{InstanceStatus, SupervisorSocket};
use runtime::Runtime;
use tokio::sync::Notify;

/// The time between two reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// The pause after a report that could not be sent.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Sends a report at every notification of `changed`, and at regular times; never ends.
///
/// The reports come from the event loop that serves clients, so that they stop if it hangs. A full queue drops a
/// report, and a supervisor that was kept from reading would take that for a hang: the report is soon sent again.
pub async fn run<P: Runtime>(
    supervisor: SupervisorSocket,
    status: impl Fn() -> InstanceStatus,
    changed: &Notify,
) {
    loop {
        let is_sent = supervisor.send(&status().to_datagram());
        let pause = if is_sent { REPORT_INTERVAL } else { RETRY_INTERVAL };
        tokio::select! {
            biased;
            () = changed.notified() => {}
            () = P::sleep(pause) => {}
        }
    }
}
