//! The memory of requests and responses.
//!
//! Every byte of a body is counted until the last reference to it is dropped, including the bytes that hyper keeps until
//! the peer has read them ([`MemoryReservation::attach`]). The buffers of connections are not counted one by one: the
//! number of connections is limited so that they fit beside the bodies, with heads of usual length. What a long head
//! takes in addition is counted until the connections that have carried it are closed ([`HeadMemory`]).

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use runtime::Runtime;
use tokio::sync::OwnedSemaphorePermit;

use super::adjustable_semaphore::{AdjustableSemaphore, ShortageHook};
use super::resource_limits::{MessageLimits, ResourceLimits};

/// The maximum size of a short message in bytes.
const SHORT_MESSAGE_BYTES: usize = 8 << 10;
/// Short messages have the memory of a budget, divided by this, to themselves.
const SHORT_MESSAGES_DIVISOR: usize = 16;

/// The memory of all messages together. Requests and responses have budgets of their own, so requests that wait for their
/// servers never keep a response from being read.
pub struct MessageMemory {
    /// The budget of requests.
    pub requests: MemoryBudget,
    /// The budget of responses.
    pub responses: MemoryBudget,
    head_allowance: Cell<usize>,
    limits: Cell<ResourceLimits>,
    servers: Cell<usize>,
    /// The sizes of the budgets by what memory is left; `None` if that is not measured.
    allowance: Cell<Option<MessageAllowance>>,
}

/// The number of bytes that messages may take.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MessageAllowance {
    /// The bytes of all requests together.
    pub requests: usize,
    /// The bytes of all responses together.
    pub responses: usize,
}

impl MessageMemory {
    /// Creates the memory of a process with these limits that knows no servers yet. `shortage` is told when memory is asked
    /// for that is not available.
    pub fn new(limits: ResourceLimits, shortage: &Rc<ShortageHook>) -> Rc<MessageMemory> {
        let bytes = limits.message_limits(0);
        Rc::new(MessageMemory {
            requests: MemoryBudget::new(bytes.requests, shortage),
            responses: MemoryBudget::new(bytes.responses, shortage),
            head_allowance: Cell::new(bytes.head_allowance),
            limits: Cell::new(limits),
            servers: Cell::new(0),
            allowance: Cell::new(None),
        })
    }

    /// Returns how much messages may take where nothing else takes more than is planned for it.
    pub fn planned(&self) -> MessageAllowance {
        self.limits.get().message_limits(self.servers.get()).into()
    }

    /// Returns the limits in force.
    pub fn limits(&self) -> ResourceLimits {
        self.limits.get()
    }

    /// Returns the number of servers for which memory is left.
    pub fn servers(&self) -> usize {
        self.servers.get()
    }

    /// Sets how much messages may take. Bytes in use stay counted; surplus ones are withdrawn as they are returned.
    pub fn set_allowance<P: Runtime>(&self, allowance: MessageAllowance) {
        self.allowance.set(Some(allowance));
        self.resize::<P>();
    }

    /// Applies new limits. Bytes in use stay counted; surplus ones are withdrawn as they are returned.
    pub fn set_limits<P: Runtime>(&self, limits: ResourceLimits) {
        self.limits.set(limits);
        self.resize::<P>();
    }

    /// Leaves memory for this number of servers.
    pub fn set_servers<P: Runtime>(&self, servers: usize) {
        self.servers.set(servers);
        self.resize::<P>();
    }

    /// Returns the part of a head of `head_bytes` that has to be reserved: what its connections have no memory for.
    pub fn excess_of_head(&self, head_bytes: usize) -> usize {
        head_bytes.saturating_sub(self.head_allowance.get())
    }

    fn resize<P: Runtime>(&self) {
        let bytes = self.limits.get().message_limits(self.servers.get());
        self.head_allowance.set(bytes.head_allowance);
        let allowance = self.allowance.get().unwrap_or(bytes.into());
        self.requests.resize::<P>(allowance.requests);
        self.responses.resize::<P>(allowance.responses);
    }
}

impl From<MessageLimits> for MessageAllowance {
    fn from(limits: MessageLimits) -> MessageAllowance {
        MessageAllowance { requests: limits.requests, responses: limits.responses }
    }
}

/// The memory that is reserved for a message, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MessageSize {
    /// The memory of its head that exceeds what its connections have.
    pub head_excess: usize,
    /// The memory of its body.
    pub body: usize,
}

impl MessageSize {
    /// Returns the number of bytes in total.
    pub fn total(self) -> usize {
        self.head_excess + self.body
    }

    /// Returns whether nothing has to be reserved.
    pub fn is_empty(self) -> bool {
        self.total() == 0
    }

    fn permits(self) -> u32 {
        u32::try_from(self.total()).unwrap_or(u32::MAX)
    }
}

/// The memory reserved for a message.
#[derive(Default)]
pub struct MessageReservation {
    /// The memory of the head that exceeds what its connections have.
    pub head: MemoryReservation,
    /// The memory of the body.
    pub body: MemoryReservation,
}

impl MessageReservation {
    /// Divides the permit for a message of this size between its head and its body.
    fn new(permit: Option<OwnedSemaphorePermit>, size: MessageSize) -> MessageReservation {
        let mut permit = permit;
        let head = permit.as_mut().and_then(|permit| permit.split(size.head_excess));
        MessageReservation {
            head: MemoryReservation::new(head),
            body: MemoryReservation::new(permit),
        }
    }
}

/// A number of bytes that messages may take together.
///
/// The maximum that a message can need is reserved before the first byte of its body is read, so partly read bodies
/// never wait for each other. A part of the bytes is for short messages alone, which would otherwise wait behind long ones
/// for as long as the peers of these take to read them.
#[derive(Clone)]
pub struct MemoryBudget {
    any: AdjustableSemaphore,
    short: AdjustableSemaphore,
}

impl MemoryBudget {
    fn new(size: usize, shortage: &Rc<ShortageHook>) -> MemoryBudget {
        let short = size / SHORT_MESSAGES_DIVISOR;
        MemoryBudget {
            any: AdjustableSemaphore::new(size - short, shortage.clone()),
            short: AdjustableSemaphore::new(short, shortage.clone()),
        }
    }

    /// Returns the number of bytes that are reserved.
    pub fn in_use(&self) -> usize {
        self.any.in_use() + self.short.in_use()
    }

    fn resize<P: Runtime>(&self, size: usize) {
        let short = size / SHORT_MESSAGES_DIVISOR;
        self.any.resize::<P>(size - short);
        self.short.resize::<P>(short);
    }

    /// Reserves memory of this size if it is available at once.
    pub fn try_reserve(&self, size: MessageSize) -> Option<MessageReservation> {
        if size.is_empty() {
            return Some(MessageReservation::default());
        }
        let permits = size.permits();
        let short = || self.short_part(size).and_then(|short| short.try_acquire(permits));
        let permit = self.any.try_acquire(permits).or_else(short);
        permit.map(|permit| MessageReservation::new(Some(permit), size))
    }

    /// Reserves memory of this size, waiting until it is available.
    pub async fn reserve(&self, size: MessageSize) -> MessageReservation {
        if let Some(reservation) = self.try_reserve(size) {
            return reservation;
        }
        let part = self.short_part(size).unwrap_or(&self.any);
        MessageReservation::new(part.acquire(size.permits()).await, size)
    }

    /// Returns the part for short messages if a message of this size may use it.
    fn short_part(&self, size: MessageSize) -> Option<&AdjustableSemaphore> {
        let fits = size.total() <= self.short.size().min(SHORT_MESSAGE_BYTES);
        fits.then_some(&self.short)
    }
}

/// The memory reserved for a head or a body. It returns to its budget once all clones of this, and all bytes attached to
/// it, are dropped.
#[derive(Clone, Default)]
pub struct MemoryReservation {
    permit: Option<Arc<OwnedSemaphorePermit>>,
}

impl MemoryReservation {
    fn new(permit: Option<OwnedSemaphorePermit>) -> MemoryReservation {
        let permit = permit.filter(|permit| permit.num_permits() > 0);
        MemoryReservation { permit: permit.map(Arc::new) }
    }

    /// Returns `data` as bytes that keep the memory reserved until their last clone is dropped.
    pub fn attach(&self, data: impl AsRef<[u8]> + Send + 'static) -> Bytes {
        if data.as_ref().is_empty() {
            return Bytes::new();
        }
        Bytes::from_owner(CountedBytes { data, _permit: self.permit.clone() })
    }
}

/// Bytes that keep their memory reserved.
struct CountedBytes<T> {
    data: T,
    _permit: Option<Arc<OwnedSemaphorePermit>>,
}

impl<T: AsRef<[u8]>> AsRef<[u8]> for CountedBytes<T> {
    fn as_ref(&self) -> &[u8] {
        self.data.as_ref()
    }
}

/// The memory of the heads that a connection has carried. hyper keeps their buffers until the connection is closed, so a
/// connection is not used again after a long head.
#[derive(Default)]
pub struct HeadMemory {
    longest: Cell<usize>,
    reservations: RefCell<Vec<MemoryReservation>>,
}

impl HeadMemory {
    /// Records a head that takes `head_bytes`.
    pub fn record(&self, head_bytes: usize) {
        self.longest.set(self.longest.get().max(head_bytes));
    }

    /// Keeps the memory of a long head reserved until the connection is closed.
    pub fn keep(&self, reservation: MemoryReservation) {
        if reservation.permit.is_some() {
            self.reservations.borrow_mut().push(reservation);
        }
    }

    /// Returns whether the connection has carried a head that takes more than connections have for it.
    pub fn has_carried_long(&self, memory: &MessageMemory) -> bool {
        memory.excess_of_head(self.longest.get()) > 0
    }
}
