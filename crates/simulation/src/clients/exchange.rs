//! The exchange of a request and its response by a client.

use std::rc::Rc;
use std::time::Duration;

use fakes::contents::{Direction, is_body_of};
use fakes::wire::Message;
use rand::Rng;
use runtime::{Runtime, Tcp, timeout_at};
use simnet::SimRuntime;
use tokio::io::AsyncWriteExt;

use super::{Clients, Connection, IdleConnection};
use crate::model::{CHUNK_SIZE, LONG_BODY, RequestId, now};
use crate::oracle::SentRequest;

/// The time within which the rest of a long response arrives.
const LONG_RESPONSE_TIMEOUT: Duration = Duration::from_secs(12);
/// The time after the deadline of a response at which its client gives up.
const GIVE_UP_MARGIN: Duration = Duration::from_millis(2);
/// The time, in seconds, after which a client repeats a rejected request whose response has no `Retry-After`.
const DEFAULT_RETRY_AFTER: f64 = 0.05;

/// The behaviour of a client for one request.
struct RequestPlan {
    id: RequestId,
    timeout: Duration,
    /// Whether the client leaves before its response.
    leaves: bool,
    /// Whether the client writes the request slowly.
    slow: bool,
}

/// The result of an exchange.
struct ExchangeEnd {
    /// Whether the connection can be used again.
    reusable: bool,
    /// The time after which a rejected request is repeated; `None` if it is not repeated.
    retry_after: Option<Duration>,
}

impl ExchangeEnd {
    /// Returns the result if the connection cannot be used again and the request is not repeated.
    fn closed() -> ExchangeEnd {
        ExchangeEnd { reusable: false, retry_after: None }
    }
}

impl Clients {
    /// Sends a request. If it is rejected, repeats it once or not at all.
    pub(super) async fn send_request(self: Rc<Clients>) {
        let class = self.draw_class();
        if let Some(pause) = self.send_once(class).await {
            SimRuntime::sleep(pause).await;
            self.send_once(class).await;
        }
    }

    /// Sends one request. Returns the time after which it is to be repeated; `None` if it is not repeated.
    async fn send_once(&self, class: usize) -> Option<Duration> {
        let plan = self.draw_plan(class);
        let Some(mut connection) = self.connection().await else {
            self.oracle.borrow_mut().count("connections refused");
            return None;
        };
        let bytes = self.request_bytes(&self.classes[class], plan.id, plan.timeout);
        let sent = SentRequest {
            connection: connection.socket.id(),
            id: plan.id,
            class,
            sidecar: self.sidecar,
            timeout: plan.timeout,
            length: bytes.len() as u64,
        };
        self.oracle.borrow_mut().request_started(now(self.start), &sent);
        self.open.borrow_mut().push(plan.id);
        let end = self.exchange(&mut connection, &plan, &bytes).await;
        self.open.borrow_mut().retain(|open| *open != plan.id);
        if end.reusable {
            let since = SimRuntime::now();
            self.idle.borrow_mut().push(IdleConnection { connection, since });
        }
        end.retry_after
    }

    fn draw_plan(&self, class: usize) -> RequestPlan {
        let behaviour = self.behaviour.get();
        let deadline = self.classes[class].deadline;
        self.draw(|rng| {
            let share = if rng.random_bool(0.2) { rng.random_range(0.1..1.0) } else { 1.0 };
            RequestPlan {
                id: RequestId(rng.random::<u64>() | 1),
                // Rounded down to whole milliseconds, the resolution of the header.
                timeout: Duration::from_millis(deadline.mul_f64(share).as_millis() as u64),
                leaves: rng.random::<f64>() < behaviour.leave,
                slow: rng.random::<f64>() < behaviour.slow_request,
            }
        })
    }

    async fn exchange(
        &self,
        connection: &mut Connection,
        plan: &RequestPlan,
        bytes: &[u8],
    ) -> ExchangeEnd {
        if !self.write_request(connection, plan, bytes).await {
            self.oracle.borrow_mut().connection_ended(now(self.start), plan.id);
            return ExchangeEnd::closed();
        }
        match self.read_response(connection, plan).await {
            Ok(Some(message)) => self.response_received(connection, plan.id, &message),
            Ok(None) => {
                self.oracle.borrow_mut().connection_ended(now(self.start), plan.id);
                ExchangeEnd::closed()
            }
            Err(_) if plan.leaves => {
                self.oracle.borrow_mut().client_left(now(self.start), plan.id);
                if self.draw(|rng| rng.random()) {
                    connection.socket.reset_on_close();
                }
                ExchangeEnd::closed()
            }
            Err(_) => {
                self.oracle.borrow_mut().client_timed_out(now(self.start), plan.id);
                ExchangeEnd::closed()
            }
        }
    }

    /// Writes a request, slowly if the plan says so. Returns whether all of it was written.
    async fn write_request(
        &self,
        connection: &mut Connection,
        plan: &RequestPlan,
        bytes: &[u8],
    ) -> bool {
        let piece_size = match plan.slow {
            true if bytes.len() >= LONG_BODY => CHUNK_SIZE,
            true => self.draw(|rng| rng.random_range(20..80)),
            false => bytes.len(),
        };
        for (index, piece) in bytes.chunks(piece_size).enumerate() {
            if index > 0 {
                let pause_ms = self.draw(|rng| rng.random_range(1..30));
                SimRuntime::sleep(Duration::from_millis(pause_ms)).await;
            }
            if connection.reader.get_mut().write_all(piece).await.is_err() {
                return false;
            }
        }
        true
    }

    /// Waits for the response; `None` if the connection ends without one.
    async fn read_response(
        &self,
        connection: &mut Connection,
        plan: &RequestPlan,
    ) -> Result<Option<Message>, runtime::Elapsed> {
        let max_wait = if plan.leaves {
            plan.timeout.mul_f64(self.draw(|rng| rng.random::<f64>().powi(3)))
        } else {
            let deadline = self.oracle.borrow().response_deadline(plan.id);
            let remaining = deadline.map(|at| at.saturating_sub(now(self.start)));
            remaining.unwrap_or(plan.timeout) + GIVE_UP_MARGIN
        };
        let reader = &mut connection.reader;
        let give_up = SimRuntime::now() + max_wait;
        let mut response = timeout_at::<SimRuntime, _>(give_up, reader.next()).await;
        // A response that has begun in time may end after the deadline.
        let is_served = || self.oracle.borrow().is_served_in_time(plan.id);
        if response.is_err() && !plan.leaves && reader.has_partial_message() && is_served() {
            let give_up = SimRuntime::now() + LONG_RESPONSE_TIMEOUT;
            response = timeout_at::<SimRuntime, _>(give_up, reader.next()).await;
        }
        response.map(|read| read.ok().flatten())
    }

    fn response_received(
        &self,
        connection: &Connection,
        id: RequestId,
        message: &Message,
    ) -> ExchangeEnd {
        let status = message.status().unwrap_or(0);
        // The body is the id of the request, or follows from it.
        let expected = id.to_string();
        let matches = message.body == expected.as_bytes()
            || is_body_of(Direction::Response, &expected, &message.body);
        self.oracle.borrow_mut().response_received(now(self.start), id, status, matches);
        let repeats = matches!(status, 429 | 503) && self.draw(|rng| rng.random_bool(0.5));
        let retry_after = message.header("retry-after").and_then(|v| v.parse::<f64>().ok());
        let retry_after = retry_after.filter(|seconds| (0.0..60.0).contains(seconds));
        let pause = Duration::from_secs_f64(retry_after.unwrap_or(DEFAULT_RETRY_AFTER));
        ExchangeEnd {
            reusable: message.keeps_connection() && !connection.reader.has_partial_message(),
            retry_after: repeats.then_some(pause),
        }
    }
}
