//! Status reports to the supervisor of this process, sent to the socket named by `NOTIFY_SOCKET`. The crate
//! `instance-status` defines their content.

use std::time::Duration;

use instance_status::{InstanceStatus, SupervisorSocket};
use runtime::Runtime;
use tokio::sync::Notify;

/// Interval between two reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Delay after a report that could not be sent.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Sends a report at every notification of `changed`, and at regular intervals; never returns.
///
/// Reports are sent from the event loop that serves clients, so that they stop if it hangs. A report is lost if the
/// queue of the socket is full. A supervisor that was prevented from reading would take that for a hang, so the report
/// is sent again soon.
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
