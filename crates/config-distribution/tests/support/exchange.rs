//! Fixtures of HTTP exchanges, and scripted peers that respond from them.

use std::fs;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use fakes::until;
use fakes::wire::read_message;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use tokio::sync::oneshot;
use tokio::task::LocalSet;

fn fixture_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name)
}

/// Returns the text of a fixture.
pub fn fixture(name: &str) -> String {
    fs::read_to_string(fixture_path(name)).unwrap_or_else(|e| panic!("{name}: {e}"))
}

/// Parses JSON.
pub fn json(text: &str) -> Value {
    serde_json::from_str(text).unwrap_or_else(|e| panic!("{e}: {text:?}"))
}

/// Asserts that two texts are equal. JSON is compared as values, and other text, such as an empty line, as it is.
fn assert_same(name: &str, expected: &str, actual: &str) {
    match serde_json::from_str::<Value>(expected) {
        Ok(expected) => assert_eq!(json(actual), expected, "{name}"),
        Err(_) => assert_eq!(actual, expected, "{name}"),
    }
}

/// Asserts that a text that was sent or stored equals the fixture of this name.
pub fn assert_fixture(name: &str, actual: &str) {
    fs::write(Path::new(env!("CARGO_TARGET_TMPDIR")).join(name), actual).expect("written");
    let expected = fixture(name);
    if !name.ends_with(".http") {
        return assert_same(name, &expected, actual);
    }
    let (expected, actual): (Vec<_>, Vec<_>) =
        (expected.lines().collect(), actual.lines().collect());
    assert_eq!(expected.len(), actual.len(), "{name}");
    expected.iter().zip(actual).for_each(|(expected, actual)| assert_same(name, expected, actual));
}

/// Parses the exchange in a fixture.
pub fn exchange(name: &str) -> Exchange {
    let text = fixture(name);
    let lines: Vec<_> = text.lines().collect();
    let [request, body, status, response] = lines[..] else { panic!("{name}: four lines") };
    let status = status.parse().expect("a status");
    Exchange { request: request.into(), body: body.into(), status, response: response.into() }
}

/// Asserts that a text is parsed and serialized again without a change.
pub fn assert_round_trip<T: DeserializeOwned + Serialize>(text: &str) {
    let read: T = serde_json::from_str(text).unwrap_or_else(|e| panic!("{e}: {text}"));
    assert_eq!(serde_json::to_value(&read).expect("JSON"), json(text), "{text}");
}

/// A request with its response.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// `METHOD TARGET`.
    pub request: String,
    /// The request's body.
    pub body: String,
    pub status: u16,
    /// The response's body.
    pub response: String,
}

impl Exchange {
    /// Returns the exchange in the form of a fixture.
    pub fn text(&self) -> String {
        format!("{}\n{}\n{}\n{}\n", self.request, self.body, self.status, self.response)
    }
}

/// The status and the body of a response.
type Response = (u16, String);

/// Returns the response to a request, given its path and the number of earlier requests to the path. For `None`, the
/// request is held.
type Handler = dyn Fn(&str, usize) -> Option<Response> + Send + Sync;

/// A scripted peer of a role. It records all requests.
pub struct Peer {
    pub address: SocketAddr,
    exchanges: Arc<Mutex<Vec<Exchange>>>,
}

impl Peer {
    pub fn start(
        handler: impl Fn(&str, usize) -> Option<Response> + Send + Sync + 'static,
    ) -> Peer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let exchanges: Arc<Mutex<Vec<Exchange>>> = Arc::default();
        let (recorded, handler): (_, Arc<Handler>) = (exchanges.clone(), Arc::new(handler));
        thread::spawn(move || {
            for socket in listener.incoming().map_while(Result::ok) {
                let (recorded, handler) = (recorded.clone(), handler.clone());
                thread::spawn(move || serve(&socket, &recorded, &*handler));
            }
        });
        Peer { address, exchanges }
    }

    /// Returns all exchanges so far.
    pub fn exchanges(&self) -> Vec<Exchange> {
        self.exchanges.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Waits for the first exchange that matches.
    pub fn wait_for(&self, what: &str, matches: impl Fn(&Exchange) -> bool) -> Exchange {
        let mut found = None;
        until(what, || {
            found = self.exchanges().into_iter().find(&matches);
            found.is_some()
        });
        found.expect("found")
    }
}

/// Returns the `METHOD TARGET` of a request's head.
fn request_of(head: &str) -> String {
    let line = head.lines().next().unwrap_or_default();
    line.trim_end_matches(" HTTP/1.1").to_owned()
}

fn serve(socket: &TcpStream, recorded: &Mutex<Vec<Exchange>>, handler: &Handler) {
    let mut read = BufReader::new(socket.try_clone().expect("a handle"));
    let mut write = socket;
    while let Some((head, body)) = read_message(&mut read) {
        let request = request_of(&head);
        let mut recorded = recorded.lock().unwrap_or_else(PoisonError::into_inner);
        let before = recorded.iter().filter(|e| path_of(&e.request) == path_of(&request)).count();
        let handled = handler(path_of(&request), before);
        let (status, response) = handled.clone().unwrap_or_default();
        let body = String::from_utf8(body).expect("text");
        recorded.push(Exchange { request, body, status, response });
        drop(recorded);
        match handled {
            Some((status, text)) => {
                let length = text.len();
                let _ =
                    write!(write, "HTTP/1.1 {status} X\r\nContent-Length: {length}\r\n\r\n{text}");
            }
            None => thread::park(),
        }
    }
}

/// Returns the path of `METHOD TARGET`.
pub fn path_of(request: &str) -> &str {
    let target = request.split(' ').nth(1).unwrap_or_default();
    target.split('?').next().unwrap_or_default()
}

/// Sends a request, and returns it with its response.
pub fn send(address: SocketAddr, request: &str, body: &str) -> Exchange {
    let mut socket = TcpStream::connect(address).expect("connected");
    socket.set_read_timeout(Some(Duration::from_secs(10))).expect("a time");
    let length = body.len();
    write!(socket, "{request} HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n\r\n{body}")
        .expect("sent");
    let (head, response) = read_message(&mut BufReader::new(socket)).expect("an answer");
    let status = head.split(' ').nth(1).and_then(|s| s.parse().ok()).expect("a status");
    let response = String::from_utf8(response).expect("text");
    Exchange { request: request.to_owned(), body: body.to_owned(), status, response }
}

/// Sends the request of a fixture, and asserts that the response equals that of the fixture.
pub fn assert_exchange(address: SocketAddr, name: &str) {
    let Exchange { request, body, .. } = exchange(name);
    assert_fixture(name, &send(address, &request, &body).text());
}

/// A role that runs on its own thread. It ends when the handle is dropped.
pub struct Running {
    pub address: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Running {
    pub fn start<F: Future>(
        role: impl FnOnce(tokio::net::TcpListener) -> F + Send + 'static,
    ) -> Running {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        listener.set_nonblocking(true).expect("a flag");
        let (stop, stopped) = oneshot::channel();
        let thread = thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            LocalSet::new().block_on(&runtime.expect("a runtime"), async {
                let listener = tokio::net::TcpListener::from_std(listener).expect("a listener");
                tokio::select! {
                    _ = role(listener) => {}
                    _ = stopped => {}
                }
            });
        });
        Running { address, stop: Some(stop), thread: Some(thread) }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        drop(self.stop.take());
        let _ = self.thread.take().map(thread::JoinHandle::join);
    }
}
