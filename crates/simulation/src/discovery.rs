//! Discovery, pushed by an agent or asked, and what may go wrong with it. The list and its versions are
//! the stand-ins' own.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use fakes::registry::Book;
use fakes::wire::{Message, Reader};
use runtime::{Listener, Runtime, Stream, Tcp, timeout_at};
use simnet::{SimListener, SimRuntime, SimTcp};
use tokio::io::AsyncWriteExt;
use tokio::sync::Notify;

use crate::model::now;
use crate::oracle::Oracle;
use crate::server::Server;

/// How discovery is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// It answers.
    #[default]
    Up,
    /// It resets every call.
    Down,
    /// It says nothing.
    Still,
    /// It breaks off half way.
    Half,
}

/// Discovery.
pub struct Discovery {
    pub book: RefCell<Book>,
    pub mode: Cell<Mode>,
    pub changed: Notify,
    pub places: usize,
    /// How many sidecars have an agent of it on their own machine, if lists are pushed.
    pub agents: usize,
    pub oracle: Rc<RefCell<Oracle>>,
}

impl Discovery {
    /// The list has changed, or how discovery is.
    pub fn change(&self, now: Duration, change: impl FnOnce(&mut Book)) {
        change(&mut self.book.borrow_mut());
        self.changed.notify_waiters();
        self.agents_tell(now, 0..self.agents);
    }

    /// It speaks, or fails to, in another way from now on.
    pub fn turn(&self, now: Duration, mode: Mode) {
        if self.mode.replace(mode) != mode {
            self.changed.notify_waiters();
            if mode != Mode::Up {
                self.oracle.borrow_mut().agents_fall_silent(now);
            }
            self.agents_tell(now, 0..self.agents);
        }
    }

    /// What the agents of these sidecars have counts as told, whether or not they were asked; one that
    /// does not speak has nothing new.
    pub fn agents_tell(&self, now: Duration, of: std::ops::Range<usize>) {
        if self.mode.get() != Mode::Up {
            return;
        }
        let book = self.book.borrow();
        let listed = |place| {
            let mut of = book.servers().iter().filter(|e| Server::place_of(&e.host) == Some(place));
            of.next_back().is_some_and(|e| e.health == "active")
        };
        for sidecar in of.filter(|n| *n < self.agents) {
            for place in 0..self.places {
                self.oracle.borrow_mut().counts(now, sidecar, place, !listed(place));
            }
        }
    }

    /// Runs it: to be spawned on its machine.
    pub async fn run(self: Rc<Discovery>, listener: SimListener, start: std::time::Instant) {
        loop {
            if let Ok((socket, from)) = listener.accept().await {
                // The sidecars' addresses are 127.0.1.1 and on.
                let sidecar = match from.ip() {
                    std::net::IpAddr::V4(ip) => usize::from(ip.octets()[3]).wrapping_sub(1),
                    std::net::IpAddr::V6(_) => usize::MAX,
                };
                SimRuntime::spawn(self.clone().connection(Rc::new(socket), sidecar, start));
            }
        }
    }

    async fn connection(
        self: Rc<Discovery>,
        socket: Rc<SimTcp>,
        sidecar: usize,
        start: std::time::Instant,
    ) {
        let mut reader = Reader::new(Stream::new(socket.clone(), Rc::new(())));
        loop {
            let Ok(Some(message)) = reader.next().await else { return };
            let (text, told) = self.answer(&message).await;
            let text = match self.mode.get() {
                Mode::Down => {
                    socket.reset_on_close();
                    return;
                }
                Mode::Still => {
                    SimRuntime::sleep(Duration::from_secs(30)).await;
                    return;
                }
                Mode::Half => {
                    let _ = reader.get_mut().write_all(&text.as_bytes()[..text.len() / 2]).await;
                    return;
                }
                Mode::Up => text,
            };
            // What is written to a process that has ended tells its successor nothing.
            if socket.peer_closed() || reader.get_mut().write_all(text.as_bytes()).await.is_err() {
                return;
            }
            let now = now(start);
            let mut oracle = self.oracle.borrow_mut();
            for (place, barred) in told {
                oracle.told(now, sidecar, place, barred);
            }
        }
    }

    /// An answer, and what it tells of each place: whether it is to get nothing new.
    async fn answer(&self, message: &Message) -> (String, Vec<(usize, bool)>) {
        let from = message.query("from").and_then(|v| v.parse::<u64>().ok());
        let hold = message.query("hold_ms").and_then(|v| v.parse().ok()).unwrap_or(0);
        let end = SimRuntime::now() + Duration::from_millis(hold);
        if from.is_some() {
            loop {
                let changed = self.changed.notified();
                if self.mode.get() != Mode::Up || self.book.borrow().news(from).is_some() {
                    break;
                }
                if timeout_at::<SimRuntime, _>(end, changed).await.is_err() {
                    break;
                }
            }
        }
        let book = self.book.borrow();
        let news = book.news(from);
        let mut told = Vec::new();
        if news.is_some() {
            let listed = book.told(from);
            // What a whole list lacks is gone.
            let whole = news.as_ref().is_some_and(|n| n.contains(r#""whole":true"#));
            if whole {
                told.extend((0..self.places).map(|place| (place, true)));
            }
            for entry in listed {
                if let Some(place) = Server::place_of(&entry.host) {
                    told.push((place, entry.health != "active"));
                }
            }
        }
        let body = news.unwrap_or_else(|| book.nothing());
        (format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()), told)
    }
}
