//! Servers that answer each request as a test's script determines, on plain threads.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

use crate::wire::{header, read_message};

/// The response to a message without a request id.
pub const NOT_FOUND: &str = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";

/// A server whose responses a script determines.
pub struct Server {
    /// The address that it listens at.
    pub at: SocketAddr,
    heads: Arc<Mutex<Vec<String>>>,
}

impl Server {
    /// Starts a server. `script` is called with the id of each request and its connection, and returns whether the
    /// connection stays open. A message without a request id is answered with 404.
    ///
    /// # Panics
    ///
    /// When no port is free.
    pub fn start(script: impl Fn(&str, &mut TcpStream) -> bool + Send + Sync + 'static) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let at = listener.local_addr().expect("an address");
        let heads = Arc::new(Mutex::new(Vec::new()));
        let received = heads.clone();
        serve(listener, move |head, socket| {
            let id = request_id(head);
            if id.is_empty() {
                return socket.write_all(NOT_FOUND.as_bytes()).is_ok();
            }
            received.lock().expect("no panic").push(head.to_owned());
            script(&id, socket)
        });
        Server { at, heads }
    }

    /// Starts a server that answers every request with its id.
    pub fn echo() -> Server {
        Server::start(|id, socket| socket.write_all(answer(id).as_bytes()).is_ok())
    }

    /// Returns the ids of the requests that have arrived, in order.
    ///
    /// # Panics
    ///
    /// When the script has panicked.
    pub fn seen(&self) -> Vec<String> {
        self.heads().iter().map(|head| request_id(head)).collect()
    }

    /// Returns the heads of the requests that have arrived, in order.
    ///
    /// # Panics
    ///
    /// When the script has panicked.
    pub fn heads(&self) -> Vec<String> {
        self.heads.lock().expect("no panic").clone()
    }
}

/// Returns the request id in a head, or an empty string if there is none.
pub fn request_id(head: &str) -> String {
    header(head, "x-correlation-id").unwrap_or_default()
}

/// Serves connections until the process ends. `script` is called with the head of each message and its connection,
/// and returns whether the connection stays open.
pub fn serve(
    listener: TcpListener,
    script: impl Fn(&str, &mut TcpStream) -> bool + Send + Sync + 'static,
) {
    let script = Arc::new(script);
    thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let script = script.clone();
            thread::spawn(move || {
                let Ok(mut writer) = socket.try_clone() else { return };
                let mut reader = BufReader::new(socket);
                while let Some((head, _)) = read_message(&mut reader) {
                    if !script(&head, &mut writer) {
                        return;
                    }
                }
            });
        }
    });
}

/// Returns a response with status 200 whose body is the request id.
pub fn answer(id: &str) -> String {
    answer_with(id, "queue=0,inflight=1")
}

/// Like [`answer`], with this load report.
pub fn answer_with(id: &str, load: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nX-Backend-Load: {load}\r\nContent-Length: {}\r\n\r\n{id}", id.len())
}
