//! Servers, configuration changes and hold-ups shared by the lifecycle tests.

use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, mpsc};
use std::thread;
use std::time::Duration;

use serde_json::Value;

use crate::net::*;

/// A server that responds only once the test releases it.
pub struct BlockedServer {
    pub server: Server,
    /// The ids of the requests that it has received.
    pub received: mpsc::Receiver<String>,
    released: Arc<AtomicBool>,
}

impl BlockedServer {
    /// Starts a server that responds with the id of the request.
    pub fn new() -> BlockedServer {
        BlockedServer::with(answer)
    }

    /// Starts a server that responds with the result of `response` for the id of the request.
    pub fn with(response: impl Fn(&str) -> String + Send + Sync + 'static) -> BlockedServer {
        let (sender, received) = mpsc::channel();
        let (sender, released) = (Mutex::new(sender), Arc::new(AtomicBool::new(false)));
        let is_released = released.clone();
        let server = Server::start(move |id, socket| {
            let _ = sender.lock().expect("no panic").send(id.to_owned());
            until("the test releases the server", || is_released.load(Ordering::Relaxed));
            socket.write_all(response(id).as_bytes()).is_ok()
        });
        BlockedServer { server, received, released }
    }

    /// Waits until the server has received a request, and returns its id.
    pub fn next_request(&self) -> String {
        self.received.recv_timeout(PATIENCE).expect("a request is sent")
    }

    /// Sends an order with this id through the sidecar, waits until the server has received it, and returns its client.
    pub fn receives_order(&self, sidecar: &Sidecar, id: &str) -> TcpStream {
        let mut client = sidecar.connect();
        client.write_all(order_request(id).as_bytes()).expect("sent");
        assert_eq!(self.next_request(), id);
        client
    }

    /// Lets the server respond from now on.
    pub fn release(&self) {
        self.released.store(true, Ordering::Relaxed);
    }
}

/// Starts a listener that hands each connection to `script` on a thread of its own. Returns a server that discovery can
/// list.
pub fn start_raw(script: impl Fn(TcpStream) + Send + Sync + 'static) -> Entry {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let at = listener.local_addr().expect("an address");
    let script = Arc::new(script);
    thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let script = script.clone();
            thread::spawn(move || script(socket));
        }
    });
    Entry::new(at, "a")
}

/// Requests a graceful shutdown and waits until it has begun.
pub fn begin_shutdown(sidecar: &Sidecar) {
    sidecar.signal("TERM");
    until("the sidecar drains", || sidecar.state()["draining"] == true);
}

/// Sets a class's latency objective and deadline, in milliseconds.
pub fn set_times(config: &mut Value, class: usize, objective: u64, deadline: u64) {
    config["settings"]["classes"][class]["aim"] = (objective * 1000).into();
    config["settings"]["classes"][class]["deadline"] = (deadline * 1000).into();
}

/// Reloads a configuration and waits until it is applied.
pub fn apply_config(sidecar: &Sidecar, config: &Value) {
    let applied = || sidecar.log().matches("configuration applied").count();
    let before = applied();
    sidecar.replace_config(&config.to_string());
    sidecar.signal("HUP");
    until("the configuration is applied", || applied() > before);
}

/// Duration of a hold-up in tests, a little less than the longest one that the process has to tolerate.
pub const HOLD_UP: Duration = Duration::from_millis(110);

/// Holds a sidecar up with SIGSTOP until it is dropped.
pub struct HoldUp<'a>(&'a Sidecar);

impl HoldUp<'_> {
    /// Stops the sidecar.
    pub fn begin(sidecar: &Sidecar) -> HoldUp<'_> {
        sidecar.signal("STOP");
        HoldUp(sidecar)
    }
}

impl Drop for HoldUp<'_> {
    fn drop(&mut self) {
        self.0.signal("CONT");
    }
}
