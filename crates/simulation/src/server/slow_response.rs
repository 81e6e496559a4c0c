//! Sound responses of every length and framing that a server gives piece by piece: at once, steadily, or with a pause.

use std::time::Duration;

use fakes::body_plan::{BodyPlan, PlanLimits, Step};
use fakes::contents::{Direction, body_of};
use fakes::wire::Reader;
use rand::rngs::SmallRng;
use runtime::{Runtime, Stream};
use simnet::{SimRuntime, SimTcp};
use tokio::io::AsyncWriteExt;

/// The limits of the responses. A sidecar may take a longer pause of a late response for its end.
const LIMITS: PlanLimits = PlanLimits {
    max_bytes: 128_000,
    max_duration: Duration::from_millis(2_000),
    max_pause: Duration::from_millis(700),
};

/// The state of a connection behind a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AfterResponse {
    /// The server waits for the next request.
    Open,
    /// The response ends with the connection, or the connection has failed.
    Close,
}

/// A response, and when its parts are written.
pub(super) struct SlowResponse {
    /// How its body is given.
    pub(super) plan: BodyPlan,
    steps: Vec<Step>,
    after: AfterResponse,
}

impl SlowResponse {
    /// Draws a response to the request with this id. `load` is its load report.
    pub(super) fn draw(id: &str, load: &str, rng: &mut SmallRng) -> SlowResponse {
        let plan = BodyPlan::draw(&LIMITS, rng);
        let body = body_of(Direction::Response, id, plan.length);
        let head = format!("HTTP/1.1 200 OK\r\nX-Backend-Load: {load}\r\n{}\r\n", plan.header());
        let after = if plan.ends_connection() { AfterResponse::Close } else { AfterResponse::Open };
        SlowResponse { plan, steps: plan.steps(&head, &body), after }
    }

    /// Writes the response.
    pub(super) async fn write(&self, reader: &mut Reader<Stream<SimTcp, ()>>) -> AfterResponse {
        for Step { pause, bytes } in &self.steps {
            SimRuntime::sleep(*pause).await;
            if reader.get_mut().write_all(bytes).await.is_err() {
                return AfterResponse::Close;
            }
        }
        self.after
    }
}
