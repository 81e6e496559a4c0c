//! The memory of request and response bodies.
//!
//! Every byte of a body is counted until the last reference to it is dropped, including the bytes that hyper keeps until
//! the peer has read them ([`BodyReservation::attach`]). The buffers of connections are not counted one by one: the
//! number of connections is limited so that they fit beside the bodies.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use runtime::Runtime;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use super::budget::resize;
use super::resource_limits::ResourceLimits;

/// The memory of all bodies together. Requests and responses have budgets of their own, so requests that wait for their
/// servers never keep a response from being read.
pub struct BodyMemory {
    /// The budget of request bodies.
    pub requests: BodyBudget,
    /// The budget of response bodies.
    pub responses: BodyBudget,
    limits: Cell<ResourceLimits>,
    servers: Cell<usize>,
}

impl BodyMemory {
    /// Creates the memory of a process with these limits that knows no servers yet.
    pub fn new(limits: ResourceLimits) -> Rc<BodyMemory> {
        let bytes = limits.body_bytes(0);
        Rc::new(BodyMemory {
            requests: BodyBudget::new(bytes.requests),
            responses: BodyBudget::new(bytes.responses),
            limits: Cell::new(limits),
            servers: Cell::new(0),
        })
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

    fn resize<P: Runtime>(&self) {
        let bytes = self.limits.get().body_bytes(self.servers.get());
        self.requests.resize::<P>(bytes.requests);
        self.responses.resize::<P>(bytes.responses);
    }
}

/// A number of bytes that bodies may take together.
///
/// The maximum that a body can need is reserved before its first byte is read, so partly read bodies never wait for
/// each other.
#[derive(Clone)]
pub struct BodyBudget {
    bytes: Arc<Semaphore>,
    size: Rc<Cell<usize>>,
}

impl BodyBudget {
    fn new(size: usize) -> BodyBudget {
        BodyBudget { bytes: Arc::new(Semaphore::new(size)), size: Rc::new(Cell::new(size)) }
    }

    fn resize<P: Runtime>(&self, size: usize) {
        let old = self.size.replace(size);
        resize::<P>(&self.bytes, old, size);
    }

    /// Reserves `bytes`, waiting until they are available.
    pub async fn reserve(&self, bytes: usize) -> BodyReservation {
        let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
        let permit = self.bytes.clone().acquire_many_owned(bytes).await;
        BodyReservation { permit: permit.ok().map(Arc::new) }
    }
}

/// The memory reserved for one body. It returns to its budget once this and all bytes attached to it are dropped.
#[derive(Clone, Default)]
pub struct BodyReservation {
    permit: Option<Arc<OwnedSemaphorePermit>>,
}

impl BodyReservation {
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
