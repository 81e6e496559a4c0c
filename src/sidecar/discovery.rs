//! The list of servers: asked for, watched, and passed on to a listener. Only whole answers count, and none that is
//! longer than the memory allows.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::body::Body;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use runtime::{Elapsed, Runtime, Stream, TaskHandle, Tcp, timeout, timeout_at};
use tokio::sync::{Notify, mpsc, watch};

use super::budget::max_list_bytes;
use super::config::{List, Part};
use crate::api::ListKind;
use crate::settings::Discovery as How;

/// Between calls for lists that were too long where they are pushed.
const SHORTER: Duration = Duration::from_secs(1);
/// Between two lines of the log that tell of lists which are too long.
const TOLD_AGAIN: Duration = Duration::from_secs(10);
/// How long a connection to discovery may take to come up.
const CONNECT: Duration = Duration::from_millis(500);
/// Between two pieces of an answer.
const GAP: Duration = Duration::from_millis(700);
/// From an answer's head to its end.
const LONGEST_TIME: Duration = Duration::from_secs(3);
/// Between calls that fail where lists are pushed: the agent is near, and free.
const AGAIN: Duration = Duration::from_millis(100);
/// How long discovery may hold a call where it is asked, and how long it may then, or at once, take to
/// answer. What a silent watch missed counts as told 6 s after it fell silent: time is left then to open another,
/// and, if this fails, for the module's first wait and a third.
const HOLD: Duration = Duration::from_millis(2000);
const PATIENCE: Duration = Duration::from_millis(1500);

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
    fn list(&self, kind: ListKind, list: &List<Part<'_>>);
    /// How many servers it can take in.
    fn most_servers(&self) -> usize;
    /// A list is longer than that; it counts as a failed call.
    fn too_long(&self);
    /// A call failed, or the subscription broke.
    fn failed(&self);
}

/// How a call ended that brought no list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Miss {
    /// Refused, reset, or answered with what cannot be used.
    Broken,
    /// Nothing came, or no more.
    Silent,
    /// So many bytes at the least, where fewer may come.
    TooLong(u64),
}

/// What came of a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Told {
    /// It was passed on.
    News,
    /// It was passed on, and has no servers.
    Nothing,
    /// It does not go with the one at hand.
    Stale,
}

/// How long discovery is waited for where it is an agent on this machine, which answers at once.
#[derive(Clone, Copy, Debug)]
struct Near {
    /// A watch is answered after that.
    hold: Duration,
    /// A call that takes so much longer gets another one beside it.
    beside: Duration,
}

impl Near {
    /// Danger: what an agent has counts as told from the moment in which it speaks again, or in which it
    /// answers others, whatever became of our call. All that passes until one is answered has to fit
    /// into the time within which sends must cease. Harmful where that time is some milliseconds: then
    /// the agent is called that often.
    fn within(grace: Duration) -> Near {
        let least = Duration::from_millis(20);
        Near {
            hold: (grace / 2).clamp(least, Duration::from_millis(500)),
            beside: (grace / 4).clamp(least, GAP),
        }
    }
}

/// The side of discovery that talks to it.
pub struct Discovery<P: Runtime> {
    /// Where it is; a reload can move it.
    address: watch::Receiver<SocketAddr>,
    how: How,
    near: Near,
    connection: Option<Connection<P>>,
    /// The version of the list at hand.
    version: u64,
    tried: Rc<Notify>,
    /// When the log last told that a list is too long.
    told: Option<Instant>,
}

/// A call on its way: the list's text, and the connection for the next call.
type Calling<P> = Pin<Box<dyn Future<Output = Result<(Vec<u8>, Connection<P>), Miss>>>>;

impl<P: Runtime> Discovery<P> {
    /// `grace` is how long a server may get requests that is known to want none, `version` that of the
    /// list remembered; `tried` is told of every call that ends.
    pub fn new(
        address: watch::Receiver<SocketAddr>,
        how: How,
        grace: Duration,
        version: u64,
        tried: Rc<Notify>,
    ) -> Discovery<P> {
        let near = Near::within(grace);
        Discovery { address, how, near, connection: None, version, tried, told: None }
    }

    /// Keeps the listener's list as new as it can be.
    pub async fn run(mut self, listener: impl Listener, calls: mpsc::UnboundedReceiver<Call>) {
        match self.how {
            How::Pushed => self.pushed(listener, calls).await,
            How::Asked => self.asked(listener, calls).await,
        }
    }

    /// Danger: what the agent has counts as told, so a watch is always out. A short hold costs
    /// nothing here, and tells soon when the agent has fallen silent. An agent that is silent may never
    /// answer what it was asked meanwhile, so it is asked anew; one that is slow is let finish beside.
    async fn pushed(&mut self, listener: impl Listener, mut calls: mpsc::UnboundedReceiver<Call>) {
        let Near { hold, beside } = self.near;
        let mut whole = true;
        let mut moved = self.address.clone();
        let mut slow: Option<Calling<P>> = None;
        loop {
            let held = (!whole).then_some(hold);
            let most = listener.most_servers();
            let mut call = self.call(held, GAP, most);
            let late = P::now() + held.unwrap_or_default() + beside;
            let answer = tokio::select! {
                biased;
                // Danger: versions are each discovery's own, so a new one is asked for the whole
                // list, at once: what it has to tell counts as told.
                true = changed(&mut moved) => {
                    (whole, self.version, slow) = (true, 0, None);
                    continue;
                }
                answer = call.as_mut() => answer,
                answer = wait(&mut slow) => {
                    slow = None;
                    answer
                }
                call = calls.recv() => {
                    whole |= call == Some(Call::Fetch);
                    continue;
                }
                () = P::sleep_until(late) => {
                    whole = true;
                    slow = slow.or(Some(call));
                    continue;
                }
            };
            let told = answer.and_then(|(text, connection)| {
                self.tell(&listener, &text).map(|told| (told, connection))
            });
            match told {
                Ok((told, connection)) => {
                    (self.connection, slow) = (Some(connection), None);
                    whole = told == Told::Stale;
                    if told == Told::Nothing {
                        // An agent that does not hold calls is not asked without a pause.
                        P::sleep(AGAIN / 5).await;
                    }
                }
                Err(Miss::TooLong(bytes)) => {
                    self.too_long(&listener, bytes, most);
                    (whole, slow) = (true, None);
                    P::sleep(SHORTER).await;
                }
                // Danger: an agent that was started anew may count its versions anew, up to one
                // that stood for another list. What was missed is asked for whole: it is free here.
                // And where descriptors have run out, the older call may hold the one that the newer needs.
                Err(Miss::Broken) => {
                    (whole, slow) = (true, None);
                    P::sleep(AGAIN.min(beside)).await;
                }
                Err(Miss::Silent) => whole = true,
            }
            self.tried.notify_one();
        }
    }

    /// Here calls load discovery; the module decides when there is to be one.
    ///
    /// Danger: a watch that has fallen silent is found out late in the time within which what it missed
    /// has to be known, so it is opened anew at once, once; the silence of one moment shows to each
    /// sidecar at another. What breaks, breaks for all at once: there the module has them wait in turn.
    async fn asked(&mut self, listener: impl Listener, mut calls: mpsc::UnboundedReceiver<Call>) {
        let mut moved = self.address.clone();
        // Whether there is to be a call, of the whole list, and then of what comes from then on.
        let (mut asking, mut whole, mut watching) = (false, false, false);
        let (mut hold, mut anew) = (Duration::ZERO, false);
        loop {
            let most = listener.most_servers();
            let call = async {
                match asking {
                    true => self.call((!whole).then_some(hold), PATIENCE, most).await,
                    false => std::future::pending().await,
                }
            };
            let answer = tokio::select! {
                biased;
                // What is at hand is of another discovery, and so is its version.
                true = changed(&mut moved) => {
                    (asking, whole, anew) = (true, true, false);
                    (self.version, self.connection) = (0, None);
                    continue;
                }
                call = calls.recv() => {
                    match call {
                        // The first call is answered at once, with what was missed.
                        Some(Call::Watch) => (watching, hold) = (true, Duration::ZERO),
                        Some(Call::Fetch) => whole = true,
                        None => return,
                    }
                    (asking, anew) = (true, false);
                    continue;
                }
                answer = call => answer,
            };
            let told = answer.and_then(|(text, connection)| {
                let told = self.tell(&listener, &text)?;
                self.connection = Some(connection);
                Ok(told)
            });
            let told = match told {
                Ok(told) => told != Told::Stale,
                Err(Miss::Silent) if !anew => {
                    (hold, anew) = (Duration::ZERO, true);
                    continue;
                }
                Err(Miss::TooLong(bytes)) => {
                    self.too_long(&listener, bytes, most);
                    false
                }
                Err(Miss::Broken | Miss::Silent) => false,
            };
            anew = false;
            if told {
                (asking, whole, hold) = (watching, false, HOLD);
            } else {
                // The module says when to call again.
                (asking, watching) = (false, false);
                listener.failed();
            }
            self.tried.notify_one();
        }
    }

    /// Passes a list on, if it goes with the one at hand.
    ///
    /// Danger: a list is large where there are many servers. Its names stay where they are in its text, so that
    /// it is held once while it is read, and its text goes with this call.
    fn tell(&mut self, listener: &impl Listener, text: &[u8]) -> Result<Told, Miss> {
        let list: List<Part<'_>> = serde_json::from_slice(text).map_err(|_| Miss::Broken)?;
        if !list.whole && list.seq < self.version {
            return Ok(Told::Stale);
        }
        self.version = list.seq;
        listener.list(if list.whole { ListKind::Whole } else { ListKind::Changes }, &list);
        Ok(if list.hosts.is_empty() { Told::Nothing } else { Told::News })
    }

    /// Danger: a sidecar that takes in more than its memory allows is killed, and one that says nothing of what it
    /// passes over is never ready for no reason that anybody can see.
    fn too_long(&mut self, listener: &impl Listener, bytes: u64, most_servers: usize) {
        listener.too_long();
        if self.told.is_none_or(|told| P::elapsed_since(told) >= TOLD_AGAIN) {
            self.told = Some(P::now());
            let most_bytes = max_list_bytes(most_servers);
            tracing::error!(
                bytes,
                most_bytes,
                most_servers,
                "the list of servers is longer than limits.memory_mb allows and not taken in"
            );
        }
    }

    /// A call: for the whole list, or a watch that may wait for `hold`. It brings a list unless the answer
    /// does not come whole or cannot be understood; then the next call has a new connection.
    fn call(&mut self, hold: Option<Duration>, patience: Duration, most: usize) -> Calling<P> {
        let address = *self.address.borrow();
        let path = match hold {
            None => "/registry/instances".to_owned(),
            Some(hold) => {
                format!("/registry/instances?from={}&hold_ms={}", self.version, hold.as_millis())
            }
        };
        let first = hold.unwrap_or_default() + patience;
        let connection = self.connection.take().filter(|c| !c.sender.is_closed());
        Box::pin(async move {
            let mut connection = match connection {
                Some(connection) => connection,
                None => connect::<P>(address).await?,
            };
            let sender = &mut connection.sender;
            let answer = timeout::<P, _>(first, async {
                sender.ready().await.ok()?;
                let request =
                    Request::get(path).header(HOST, address.to_string()).body(Empty::new()).ok()?;
                sender.send_request(request).await.ok()
            });
            let answer = answer.await.map_err(|Elapsed| Miss::Silent)?.ok_or(Miss::Broken)?;
            if answer.status() != StatusCode::OK {
                return Err(Miss::Broken);
            }
            let longest = max_list_bytes(most);
            let mut body = answer.into_body();
            // Where the length is told, that much is taken at once, and never more than may come.
            let told = body.size_hint().exact();
            if let Some(bytes) = told.filter(|bytes| *bytes > longest as u64) {
                return Err(Miss::TooLong(bytes));
            }
            let mut text = Vec::with_capacity(told.unwrap_or(0) as usize);
            // Danger: an answer may stop in the middle and stay open, or trickle for ever. While it
            // moves it is read on, but not for longer than a sound one can take.
            let end = P::now() + LONGEST_TIME;
            while let Some(frame) = {
                let gap = P::now() + GAP.max(patience);
                let frame = timeout_at::<P, _>(gap.min(end), body.frame()).await;
                frame.map_err(|Elapsed| Miss::Silent)?
            } {
                if let Ok(data) = frame.map_err(|_| Miss::Broken)?.into_data() {
                    if text.len() + data.len() > longest {
                        return Err(Miss::TooLong((text.len() + data.len()) as u64));
                    }
                    text.extend_from_slice(&data);
                }
            }
            Ok((text, connection))
        })
    }
}

/// What a call comes to, where there is one.
async fn wait<P: Runtime>(call: &mut Option<Calling<P>>) -> Result<(Vec<u8>, Connection<P>), Miss> {
    match call {
        Some(call) => call.await,
        None => std::future::pending().await,
    }
}

/// Waits until the address is another one; false, at once and for good, if none can come any more.
async fn changed(address: &mut watch::Receiver<SocketAddr>) -> bool {
    address.changed().await.is_ok()
}

/// A connection to discovery. Dropping it closes it.
struct Connection<P: Runtime> {
    sender: SendRequest<Empty<Bytes>>,
    task: P::TaskHandle,
}

impl<P: Runtime> Drop for Connection<P> {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn connect<P: Runtime>(address: SocketAddr) -> Result<Connection<P>, Miss> {
    let socket = timeout::<P, _>(CONNECT, P::connect(address)).await;
    let socket = socket.map_err(|Elapsed| Miss::Silent)?.map_err(|_| Miss::Broken)?;
    socket.set_nodelay().map_err(|_| Miss::Broken)?;
    let io = TokioIo::new(Stream::new(Rc::new(socket), Rc::new(())));
    let (sender, driving) = http1::handshake(io).await.map_err(|_| Miss::Broken)?;
    let task = P::spawn(async move {
        let _ = driving.await;
    });
    Ok(Connection { sender, task })
}
