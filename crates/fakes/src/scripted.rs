//! Servers that do to each request exactly what a test's script says, on plain threads.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

use crate::wire::{header, message};

/// A server that does to each request what its script says.
pub struct Server {
    /// Where it listens.
    pub at: SocketAddr,
    heads: Arc<Mutex<Vec<String>>>,
}

impl Server {
    /// `script` gets the request's id and the connection, and tells whether it goes on on it.
    ///
    /// # Panics
    ///
    /// When no port is free.
    pub fn start(script: impl Fn(&str, &mut TcpStream) -> bool + Send + Sync + 'static) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let at = listener.local_addr().expect("an address");
        let heads = Arc::new(Mutex::new(Vec::new()));
        let list = heads.clone();
        serve(listener, move |head, socket| {
            list.lock().expect("no panic").push(head.to_owned());
            script(&id(head), socket)
        });
        Server { at, heads }
    }

    /// A server that answers every request with its id.
    pub fn echo() -> Server {
        Server::start(|id, socket| socket.write_all(answer(id).as_bytes()).is_ok())
    }

    /// The ids of the requests that have come, in order.
    ///
    /// # Panics
    ///
    /// When the script has.
    pub fn seen(&self) -> Vec<String> {
        self.heads().iter().map(|head| id(head)).collect()
    }

    /// The heads of the requests that have come, in order.
    ///
    /// # Panics
    ///
    /// When the script has.
    pub fn heads(&self) -> Vec<String> {
        self.heads.lock().expect("no panic").clone()
    }
}

/// The id of the request whose head this is.
pub fn id(head: &str) -> String {
    header(head, "x-correlation-id").unwrap_or_default()
}

/// Accepts on `listener` to the end of the process. `script` gets the head of each message and its connection,
/// and tells whether this goes on.
pub fn serve(
    listener: TcpListener,
    script: impl Fn(&str, &mut TcpStream) -> bool + Send + Sync + 'static,
) {
    let script = Arc::new(script);
    thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let script = script.clone();
            thread::spawn(move || {
                let Ok(mut write) = socket.try_clone() else { return };
                let mut read = BufReader::new(socket);
                while let Some((head, _)) = message(&mut read) {
                    if !script(&head, &mut write) {
                        return;
                    }
                }
            });
        }
    });
}

/// A good answer whose body is `id`.
pub fn answer(id: &str) -> String {
    answer_with(id, "queue=0,inflight=1")
}

/// The same with this load report.
pub fn answer_with(id: &str, load: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nX-Backend-Load: {load}\r\nContent-Length: {}\r\n\r\n{id}", id.len())
}
