//! A semaphore whose number of permits changes while permits are in use.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;

use runtime::Runtime;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// A surplus is withdrawn in this many steps. It may become smaller during each of them, which ends with the permits that it
/// was begun for.
const WITHDRAWAL_STEPS: usize = 16;
/// The maximum number of permits withdrawn at a time.
const MAX_WITHDRAWAL: usize = 64 << 10;

/// Is told of shortages of permits, and may add some.
#[derive(Default)]
pub struct ShortageHook {
    handler: RefCell<Option<Box<dyn Fn()>>>,
}

impl ShortageHook {
    /// Sets the function that is called when permits are asked for that are not available.
    pub fn set(&self, handler: impl Fn() + 'static) {
        *self.handler.borrow_mut() = Some(Box::new(handler));
    }

    fn call(&self) {
        if let Some(handler) = &*self.handler.borrow() {
            handler();
        }
    }
}

/// A semaphore whose number of permits changes while permits are in use. Clones share the permits.
///
/// If it shrinks below the number in use, permits are withdrawn as they are returned, after those who already wait.
#[derive(Clone)]
pub struct AdjustableSemaphore {
    permits: Arc<Semaphore>,
    state: Rc<State>,
}

struct State {
    /// The number of permits that there are to be.
    size: Cell<usize>,
    /// The number of permits beyond that, which are in use and not withdrawn yet.
    surplus: Cell<usize>,
    /// Whether a task withdraws the surplus.
    is_withdrawing: Cell<bool>,
    shortage: Rc<ShortageHook>,
}

impl AdjustableSemaphore {
    /// Creates a semaphore with `size` permits, which tells `shortage` when permits are asked for that are not available.
    pub fn new(size: usize, shortage: Rc<ShortageHook>) -> AdjustableSemaphore {
        let state = State {
            size: Cell::new(size),
            surplus: Cell::new(0),
            is_withdrawing: Cell::new(false),
            shortage,
        };
        AdjustableSemaphore { permits: Arc::new(Semaphore::new(size)), state: Rc::new(state) }
    }

    /// Returns the number of permits that there are to be.
    pub fn size(&self) -> usize {
        self.state.size.get()
    }

    /// Returns the number of permits in use. Those that someone holds who waits for more of them are in use.
    pub fn in_use(&self) -> usize {
        let existing = self.size() + self.state.surplus.get();
        existing.saturating_sub(self.permits.available_permits())
    }

    /// Returns whether more permits are in use than there are to be.
    pub fn has_surplus(&self) -> bool {
        self.state.surplus.get() > 0
    }

    /// Takes permits if they are available at once, or after the hook was told of the shortage.
    pub fn try_acquire(&self, permits: u32) -> Option<OwnedSemaphorePermit> {
        let acquire = || self.permits.clone().try_acquire_many_owned(permits).ok();
        acquire().or_else(|| {
            self.state.shortage.call();
            acquire()
        })
    }

    /// Takes permits, waiting until they are available. Never fails, as the semaphore is never closed.
    pub async fn acquire(&self, permits: u32) -> Option<OwnedSemaphorePermit> {
        self.permits.clone().acquire_many_owned(permits).await.ok()
    }

    /// Changes the number of permits.
    pub fn resize<P: Runtime>(&self, size: usize) {
        let State { surplus, is_withdrawing, .. } = &*self.state;
        let old = self.state.size.replace(size);
        let added = size.saturating_sub(old);
        let kept = surplus.get().min(added);
        surplus.set(surplus.get() - kept + old.saturating_sub(size));
        self.permits.add_permits(added - kept);
        surplus.set(surplus.get() - self.permits.forget_permits(surplus.get()));
        if surplus.get() > 0 && !is_withdrawing.replace(true) {
            P::spawn(self.clone().withdraw_surplus());
        }
    }

    /// Withdraws permits as they are returned, until there is no surplus.
    async fn withdraw_surplus(self) {
        let State { surplus, is_withdrawing, .. } = &*self.state;
        while surplus.get() > 0 {
            let step = surplus.get().div_ceil(WITHDRAWAL_STEPS).min(MAX_WITHDRAWAL);
            let Some(mut returned) = self.acquire(u32::try_from(step).unwrap_or(u32::MAX)).await
            else {
                break;
            };
            // The surplus may have become smaller during the wait.
            let withdrawn = surplus.get().min(step);
            if let Some(permits) = returned.split(withdrawn) {
                permits.forget();
                surplus.set(surplus.get() - withdrawn);
            }
        }
        is_withdrawing.set(false);
    }
}
