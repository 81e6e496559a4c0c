//! Clients that rest between their requests for about the time after which a sidecar closes idle connections.

use std::rc::Rc;
use std::time::Instant;

use fakes::clients::REST_TIME;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use runtime::Runtime;
use simnet::SimRuntime;

use super::{Clients, ClientsSpec};

impl Clients {
    /// Creates a client of the same sidecar that keeps its own connection, whatever its idle time.
    pub(super) fn resting_client(&self) -> Rc<Clients> {
        let client = Clients::new(ClientsSpec {
            sidecar: self.sidecar,
            target: self.target,
            classes: self.classes.clone(),
            tenants: self.tenants.clone(),
            rate: self.rate,
            resting: 0,
            rng: self.draw(SmallRng::from_rng),
            oracle: self.oracle.clone(),
            start: self.start,
        });
        Rc::new(Clients { idle_timeout: 2 * REST_TIME.end, ..client })
    }

    /// Sends one request after the other, with rests in between, until `end`. Replaces the connection if the sidecar
    /// has closed it.
    pub(super) async fn rest_between_requests(self: Rc<Clients>, end: Instant) {
        while SimRuntime::now() < end {
            self.clone().send_request().await;
            let rest = self.draw(|rng| rng.random_range(REST_TIME));
            SimRuntime::sleep(rest).await;
        }
        self.idle.borrow_mut().clear();
    }
}
