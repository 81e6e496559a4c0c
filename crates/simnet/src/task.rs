//! Tasks and their wakers.

use std::future::Future;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::Wake;

use crate::host::HostId;

/// Identifies a task of a world. Serves as the handle of the task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId(pub(crate) u64);

pub(crate) type BoxedFuture = Pin<Box<dyn Future<Output = ()>>>;

/// Woken tasks, in the order of their wake-ups. The mutex is needed because wakers must be `Send`, although these never
/// leave their thread.
pub(crate) type WokenTasks = Arc<Mutex<Vec<TaskId>>>;

/// A task that has not completed.
pub(crate) struct Task {
    pub(crate) host: HostId,
    /// `None` while the task is polled.
    pub(crate) future: Option<BoxedFuture>,
    pub(crate) waker: Arc<TaskWaker>,
    pub(crate) aborted: bool,
}

/// The waker of a task.
pub(crate) struct TaskWaker {
    pub(crate) task: TaskId,
    /// Whether the task is already queued to be polled.
    pub(crate) queued: AtomicBool,
    pub(crate) woken: WokenTasks,
}

impl Wake for TaskWaker {
    fn wake(self: Arc<Self>) {
        self.wake_by_ref();
    }

    fn wake_by_ref(self: &Arc<Self>) {
        if !self.queued.swap(true, Ordering::Relaxed) {
            self.woken.lock().unwrap_or_else(PoisonError::into_inner).push(self.task);
        }
    }
}
