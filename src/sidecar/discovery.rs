//! The list of servers: asked for, watched, and passed on to a listener. Only whole answers count.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use platform::{Platform, Stream, Task, Tcp, timeout, timeout_at};
use tokio::sync::{Notify, mpsc, watch};

use super::config::List;
use crate::api::ListKind;
use crate::settings::Discovery as How;

/// The longest answer: some two thousand servers.
const LONGEST: usize = 512 << 10;
/// How long a connection to discovery may take to come up.
const CONNECT: Duration = Duration::from_millis(500);
/// Between two pieces of an answer.
const GAP: Duration = Duration::from_millis(700);
/// From an answer's head to its end.
const LONGEST_TIME: Duration = Duration::from_secs(3);
/// Between calls that fail where lists are pushed: the agent is near, and free.
const AGAIN: Duration = Duration::from_millis(100);

/// What the module asks of discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// Changes from now on.
    Watch,
    /// The whole list, once.
    Fetch,
}

/// Who is told what discovery says.
pub trait Listener {
    /// A list, or changes of one.
    fn list(&self, kind: ListKind, list: &List);
    /// A call failed, or the subscription broke.
    fn failed(&self);
}

/// The side of discovery that talks to it.
pub struct Discovery<P: Platform> {
    /// Where it is; a reload can move it.
    address: watch::Receiver<SocketAddr>,
    how: How,
    connection: Option<Connection<P>>,
    /// The version of the list at hand.
    version: u64,
    tried: Rc<Notify>,
}

impl<P: Platform> Discovery<P> {
    /// `version` is that of the list remembered; `tried` is told of every call that ends.
    pub fn new(
        address: watch::Receiver<SocketAddr>,
        how: How,
        version: u64,
        tried: Rc<Notify>,
    ) -> Discovery<P> {
        Discovery { address, how, connection: None, version, tried }
    }

    /// Keeps the listener's list as new as it can be.
    pub async fn run(mut self, listener: impl Listener, calls: mpsc::UnboundedReceiver<Call>) {
        match self.how {
            How::Pushed => self.pushed(listener, calls).await,
            How::Asked => self.asked(listener, calls).await,
        }
    }

    /// Danger: what the agent has counts as told, so a watch is always out. A short hold costs
    /// nothing here, and tells soon when the agent has fallen silent.
    async fn pushed(&mut self, listener: impl Listener, mut calls: mpsc::UnboundedReceiver<Call>) {
        let hold = Duration::from_millis(500);
        let mut whole = true;
        let mut moved = self.address.clone();
        loop {
            tokio::select! {
                biased;
                // Danger: versions are each discovery's own, so a new one is asked for the whole
                // list, at once: what it has to tell counts as told.
                true = changed(&mut moved) => {
                    (whole, self.version) = (true, 0);
                    self.hang_up();
                    continue;
                }
                list = self.call((!whole).then_some(hold), GAP) => match list {
                    Some(list) => {
                        whole = !self.tell(&listener, &list);
                        if list.hosts.is_empty() {
                            // An agent that does not hold calls is not asked without a pause.
                            P::sleep(AGAIN / 5).await;
                        }
                    }
                    // Danger: an agent that was started anew may count its versions anew, up to one
                    // that stood for another list. What was missed is asked for whole: it is free here.
                    None => {
                        whole = true;
                        P::sleep(AGAIN).await;
                    }
                },
                call = calls.recv() => {
                    whole |= call == Some(Call::Fetch);
                    self.hang_up();
                }
            }
            self.tried.notify_one();
        }
    }

    /// Here calls load discovery; the module decides when there is to be one.
    async fn asked(&mut self, listener: impl Listener, mut calls: mpsc::UnboundedReceiver<Call>) {
        let hold = Duration::from_secs(4);
        let patience = Duration::from_millis(1500);
        let mut watching = None;
        let mut moved = self.address.clone();
        loop {
            let call = match watching {
                None => tokio::select! {
                    biased;
                    true = changed(&mut moved) => self.moved(),
                    call = calls.recv() => call,
                },
                Some(hold) => tokio::select! {
                    biased;
                    true = changed(&mut moved) => self.moved(),
                    list = self.call(Some(hold), patience) => {
                        let told = list.is_some_and(|list| self.tell(&listener, &list));
                        watching = told.then_some(Duration::from_secs(4));
                        if !told {
                            listener.failed();
                        }
                        self.tried.notify_one();
                        continue;
                    }
                    call = calls.recv() => call,
                },
            };
            self.hang_up();
            match call {
                // The first call is answered at once, with what was missed.
                Some(Call::Watch) => watching = Some(Duration::ZERO),
                Some(Call::Fetch) => {
                    let list = self.call(None, 2 * patience).await;
                    if !list.is_some_and(|list| self.tell(&listener, &list)) {
                        listener.failed();
                    }
                    watching = watching.map(|_| hold);
                    self.tried.notify_one();
                }
                None => return,
            }
        }
    }

    /// Passes a list on; false if it does not go with the one at hand.
    fn tell(&mut self, listener: &impl Listener, list: &List) -> bool {
        if !list.whole && list.seq < self.version {
            return false;
        }
        self.version = list.seq;
        listener.list(if list.whole { ListKind::Whole } else { ListKind::Changes }, list);
        true
    }

    /// After a move: what is to be called. The version at hand is that of the old one.
    fn moved(&mut self) -> Option<Call> {
        self.version = 0;
        Some(Call::Fetch)
    }

    fn hang_up(&mut self) {
        if let Some((_, task)) = self.connection.take() {
            task.abort();
        }
    }

    /// One call: for the whole list, or a watch that may wait for `hold`. None unless the answer
    /// came whole and can be understood; then the next call has a new connection.
    async fn call(&mut self, hold: Option<Duration>, patience: Duration) -> Option<List> {
        let address = *self.address.borrow();
        let path = match hold {
            None => "/registry/instances".to_owned(),
            Some(hold) => {
                format!("/registry/instances?from={}&hold_ms={}", self.version, hold.as_millis())
            }
        };
        let first = hold.unwrap_or_default() + patience;
        let connection = self.connection.take();
        let mut connection = match connection.filter(|(sender, _)| !sender.is_closed()) {
            Some(connection) => Hanging::<P>(Some(connection)),
            None => Hanging(Some(connect::<P>(address).await?)),
        };
        let sender = &mut connection.0.as_mut()?.0;
        let answer = timeout::<P, _>(first, async {
            sender.ready().await.ok()?;
            let request =
                Request::get(path).header(HOST, address.to_string()).body(Empty::new()).ok()?;
            sender.send_request(request).await.ok()
        });
        let answer = answer.await.ok()??;
        if answer.status() != StatusCode::OK {
            return None;
        }
        let mut body = Limited::new(answer.into_body(), LONGEST);
        let mut text = Vec::new();
        // Danger: an answer may stop in the middle and stay open, or trickle for ever. While it
        // moves it is read on, but not for longer than a sound one can take.
        let end = P::now() + LONGEST_TIME;
        while let Some(frame) = {
            let gap = P::now() + GAP.max(patience);
            timeout_at::<P, _>(gap.min(end), body.frame()).await.ok()?
        } {
            if let Ok(data) = frame.ok()?.into_data() {
                text.extend_from_slice(&data);
            }
        }
        let list = serde_json::from_slice(&text).ok()?;
        self.connection = connection.0.take();
        Some(list)
    }
}

/// Waits until the address is another one; false, at once and for good, if none can come any more.
async fn changed(address: &mut watch::Receiver<SocketAddr>) -> bool {
    address.changed().await.is_ok()
}

type Connection<P> = (SendRequest<Empty<Bytes>>, <P as Platform>::Task);

/// A connection that is closed when a call is dropped on the way.
struct Hanging<P: Platform>(Option<Connection<P>>);

impl<P: Platform> Drop for Hanging<P> {
    fn drop(&mut self) {
        if let Some((_, task)) = self.0.take() {
            task.abort();
        }
    }
}

async fn connect<P: Platform>(address: SocketAddr) -> Option<Connection<P>> {
    let socket = timeout::<P, _>(CONNECT, P::connect(address)).await.ok()?.ok()?;
    socket.set_nodelay().ok()?;
    let io = TokioIo::new(Stream::new(Rc::new(socket), Rc::new(())));
    let (sender, driving) = http1::handshake(io).await.ok()?;
    let task = P::spawn(async move {
        let _ = driving.await;
    });
    Some((sender, task))
}
