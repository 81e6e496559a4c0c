//! Reports to whoever supervises this process, where `NOTIFY_SOCKET` names a socket for them.
//! Without it nothing here runs. What a report holds is told in the package `reports`.

use std::time::Duration;

use instance_status::{InstanceStatus, SupervisorSocket};
use runtime::Runtime;

/// Between two reports.
const EVERY: Duration = Duration::from_millis(500);
/// A report that could not be sent is sent again after so long.
const AGAIN: Duration = Duration::from_millis(50);

/// Reports at every change that `changed` tells of, and from time to time; never ends.
///
/// Danger: these datagrams come from the event loop that serves clients, so that one that hangs
/// falls silent. A queue that is full swallows a report, and a supervisor that was kept from
/// reading would take that for silence: it is sent again soon.
pub async fn run<P: Runtime>(
    supervisor: SupervisorSocket,
    state: impl Fn() -> InstanceStatus,
    changed: &tokio::sync::Notify,
) {
    loop {
        let sent = supervisor.send(&state().to_datagram());
        tokio::select! {
            biased;
            () = changed.notified() => {}
            () = P::sleep(if sent { EVERY } else { AGAIN }) => {}
        }
    }
}
