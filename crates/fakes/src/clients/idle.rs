//! Clients whose connections are idle for most of the time: silent ones, and ones that pause between requests.

use std::net::SocketAddr;
use std::ops::Range;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::sleep;

use super::{Client, IdleConnection, Load};
use crate::wire::Reader;

/// The longest time for which a silent connection is held open.
const SILENT_TIME: Duration = Duration::from_millis(1500);
/// The time between the end of a silent connection and the next one.
const SILENT_PAUSE: Duration = Duration::from_millis(50);
/// The range of the pause of a resting client between requests: a sidecar closes idle connections after 2.5 s, and the
/// next request should arrive around that time.
pub const REST_TIME: Range<Duration> = Duration::from_millis(2400)..Duration::from_millis(2510);
/// The probability that a resting client opens a connection and pauses before its first request.
const REST_BEFORE_FIRST_PROBABILITY: f64 = 0.3;

/// Opens one connection after another without sending anything. Never returns.
pub(super) async fn hold_silent_connections(target: SocketAddr, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    loop {
        if let Ok(socket) = TcpStream::connect(target).await {
            let held = sleep(SILENT_TIME.mul_f64(rng.random()));
            tokio::select! {
                () = held => {}
                // The sidecar has closed it.
                _ = socket.readable() => {}
            }
        }
        sleep(SILENT_PAUSE).await;
    }
}

impl Client {
    /// Sends one request after another on a connection of its own, with pauses in between, until `stop` is true. A
    /// connection that is found closed is replaced.
    pub(super) async fn rest_between_requests(
        self: Arc<Client>,
        seed: u64,
        mut stop: watch::Receiver<bool>,
    ) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let load = Load { idle_timeout: 2 * REST_TIME.end, ..self.load.clone() };
        let (target, account) = (self.target, self.account.clone());
        let client = Arc::new(Client { target, account, load, idle_connections: Mutex::default() });
        loop {
            if rng.random_bool(REST_BEFORE_FIRST_PROBABILITY) {
                client.connect_ahead().await;
            } else {
                let class = client.draw_class(&mut rng);
                let tenant = client.load.draw_tenant(&mut rng);
                client.clone().run_operation(class, tenant, rng.random(), None).await;
            }
            let rest = rng.random_range(REST_TIME);
            tokio::select! {
                biased;
                _ = stop.wait_for(|stopped| *stopped) => return,
                () = sleep(rest) => {}
            }
        }
    }

    /// Opens a connection for the next request, unless an idle one exists.
    async fn connect_ahead(&self) {
        if !self.idle().is_empty() {
            return;
        }
        if let Ok(socket) = TcpStream::connect(self.target).await {
            let _ = socket.set_nodelay(true);
            let connection = IdleConnection { reader: Reader::new(socket), since: Instant::now() };
            self.idle().push(connection);
        }
    }
}
