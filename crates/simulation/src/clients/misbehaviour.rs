//! Clients that send malformed requests, or requests with the id of an open one.

use std::rc::Rc;
use std::time::Duration;

use fakes::wire::Reader;
use rand::Rng;
use runtime::{Runtime, Stream, timeout_at};
use simnet::SimRuntime;
use tokio::io::AsyncWriteExt;

use super::{Clients, Connection};
use crate::model::RequestId;
use crate::oracle::status_label;

/// Bytes that are not a valid request, or only part of one.
const MALFORMED_REQUESTS: [&str; 9] = [
    "\x16\x03\x01\x02\x00\x01\x00\x01\x7c\x03\x03\r\n\r\n",
    "GET /call-lookup/1 HTTP/1.1\r\nX-Correlation-Id: a\r\n\r\n",
    "GET /nowhere HTTP/1.1\r\nX-Correlation-Id: b\r\nX-Time-Left-Ms: 500\r\n\r\n",
    "POST /qsl-order/1 HTTP/1.1\r\nContent-Length: -4\r\n\r\n",
    "POST /qsl-order/1 HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\nabc",
    "POST /qsl-order/1 HTTP/1.1\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nabcd",
    "GET /call-lookup/1 HTTP/1.1\r\nX-Correlation-Id: c\r\nX-Time-Left-Ms: soon\r\n\r\n",
    "GET /call-lookup/1 HTTP/1.1\r\nX-Corr",
    "DELETE / HTTP/1.1\r\n\r\n",
];

/// The timeout of a request with a duplicate id.
const DUPLICATE_TIMEOUT: Duration = Duration::from_millis(700);
/// The time for which a client waits for the response to a request with a duplicate id.
const DUPLICATE_RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
/// The time for which a client waits for the response to a malformed request.
const MALFORMED_RESPONSE_TIMEOUT: Duration = Duration::from_secs(4);

impl Clients {
    /// Sends a request with the id of one that is open.
    pub(super) async fn send_duplicate_id(self: Rc<Clients>) {
        let Some(id) = self.draw_open_request() else { return };
        let class = &self.classes[self.draw_class()];
        let bytes = self.request_bytes(class, id, DUPLICATE_TIMEOUT);
        let Some(mut connection) = self.new_connection_with(&bytes).await else { return };
        let end = SimRuntime::now() + DUPLICATE_RESPONSE_TIMEOUT;
        let response = timeout_at::<SimRuntime, _>(end, connection.reader.next()).await;
        if let Ok(Ok(Some(message))) = response {
            let conflict = message.status() == Some(409);
            let label = if conflict { "duplicate ids rejected" } else { "ids reused later" };
            let mut oracle = self.oracle.borrow_mut();
            oracle.count(label);
            oracle.count(status_label(message.status().unwrap_or(0)));
        }
    }

    /// Draws one of the open requests that the sidecar has received. Other requests might arrive after the duplicate.
    fn draw_open_request(&self) -> Option<RequestId> {
        let oracle = self.oracle.borrow();
        let open: Vec<RequestId> =
            self.open.borrow().iter().copied().filter(|id| oracle.is_received(*id)).collect();
        if open.is_empty() {
            return None;
        }
        Some(open[self.draw(|rng| rng.random_range(0..open.len()))])
    }

    /// Sends a malformed request.
    pub(super) async fn send_malformed_request(self: Rc<Clients>) {
        let index = self.draw(|rng| rng.random_range(0..MALFORMED_REQUESTS.len()));
        let bytes = MALFORMED_REQUESTS[index].as_bytes();
        let Some(mut connection) = self.new_connection_with(bytes).await else { return };
        let end = SimRuntime::now() + MALFORMED_RESPONSE_TIMEOUT;
        let response = timeout_at::<SimRuntime, _>(end, connection.reader.next()).await;
        let mut oracle = self.oracle.borrow_mut();
        oracle.count(match &response {
            Ok(Ok(Some(_))) => "malformed requests answered",
            Ok(_) => "malformed requests closed",
            Err(_) => "malformed requests held",
        });
        if let Ok(Ok(Some(message))) = response {
            oracle.count(status_label(message.status().unwrap_or(0)));
        }
    }

    /// Opens a connection and writes these bytes to it; `None` if that fails.
    async fn new_connection_with(&self, bytes: &[u8]) -> Option<Connection> {
        let socket = Rc::new(SimRuntime::connect(self.target).await.ok()?);
        let mut reader = Reader::new(Stream::new(socket.clone(), Rc::new(())));
        reader.get_mut().write_all(bytes).await.ok()?;
        Some(Connection { reader, socket })
    }
}
