//! Sound responses of any length and framing, written at once or piece by piece.

use std::time::Duration;

use rand::rngs::StdRng;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::body_plan::{BodyPlan, PlanLimits, Step};
use crate::contents::{Direction, body_of};

/// The limits of the responses. They are short enough for the deadlines of all classes.
const LIMITS: PlanLimits = PlanLimits {
    max_bytes: 200_000,
    max_duration: Duration::from_millis(80),
    max_pause: Duration::from_millis(40),
};

/// A response, and when its parts are written.
pub(super) struct PlannedResponse {
    /// The id of its request.
    pub(super) id: String,
    steps: Vec<Step>,
    /// Whether the response ends with its connection.
    pub(super) ends_connection: bool,
}

impl PlannedResponse {
    /// Draws a response to the request with this id. `load` is its load report.
    pub(super) fn draw(id: &str, load: &str, rng: &mut StdRng) -> PlannedResponse {
        let plan = BodyPlan::draw(&LIMITS, rng);
        let body = body_of(Direction::Response, id, plan.length);
        let head = format!("HTTP/1.1 200 OK\r\nX-Backend-Load: {load}\r\n{}\r\n", plan.header());
        PlannedResponse {
            id: id.to_owned(),
            steps: plan.steps(&head, &body),
            ends_connection: plan.ends_connection(),
        }
    }

    /// Writes the response. Returns whether all of it was written.
    pub(super) async fn write(&self, socket: &mut TcpStream) -> bool {
        for Step { pause, bytes } in &self.steps {
            tokio::time::sleep(*pause).await;
            if socket.write_all(bytes).await.is_err() {
                return false;
            }
        }
        true
    }
}
