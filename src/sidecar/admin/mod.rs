//! Operation by hand: a listener for operators, one line in and one answer out on each connection,
//! and the orders that stand until they are called back.

pub mod command;
pub mod orders;
pub mod record;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;

use runtime::{Listener, Runtime, TaskHandle, Tcp, lingering_close, timeout};

use self::command::{Answer, Command, Figures, LONGEST};
use self::orders::Orders;
use self::record::Record;
use super::config::stable_hash;
use super::driver::{Driver, EndpointCounts};
use super::ingress::Ingress;
use super::live::LiveConfig;
use super::status::Status;
use crate::api::ServerId;

/// Connections of operators at once; the oldest makes room. They come out of the descriptors that
/// `budget` keeps for the program itself.
const MOST: usize = 8;
/// How long a caller may take to bring its line, and then to take the answer.
const PATIENCE: Duration = Duration::from_secs(2);
/// How long a caller's connection is read on once it is answered, and how far.
const LINGER: Duration = Duration::from_millis(200);
const LINGER_BYTES: usize = 4096;
/// Between two looks whether another process has written orders.
const LOOK: Duration = Duration::from_millis(100);
/// A pause before accepting again after a failure.
const AGAIN: Duration = Duration::from_millis(50);

/// What carries out the operators' orders.
pub struct Admin<P: Runtime> {
    driver: Rc<Driver<P>>,
    ingress: Rc<Ingress<P>>,
    live: Rc<LiveConfig>,
    status: Rc<Status>,
    /// Where orders are kept; without it they end with the process.
    record: Option<Record>,
    orders: RefCell<Orders>,
    /// Tells this process from all others that write the same record.
    mark: u64,
    /// Connections of operators, in the order in which they came.
    calls: RefCell<BTreeMap<u64, P::TaskHandle>>,
    next: Cell<u64>,
}

impl<P: Runtime> Admin<P> {
    /// One that has carried out what stands in the record.
    pub fn new(
        driver: Rc<Driver<P>>,
        ingress: Rc<Ingress<P>>,
        live: Rc<LiveConfig>,
        status: Rc<Status>,
        record: Option<Record>,
    ) -> Rc<Admin<P>> {
        let admin = Rc::new(Admin {
            driver,
            ingress,
            live,
            status,
            record,
            orders: RefCell::default(),
            // Process numbers may be the same where each process has a name space of its own; two
            // processes of one sidecar do not start at the same nanosecond.
            mark: P::unix_time().as_nanos() as u64,
            calls: RefCell::default(),
            next: Cell::new(0),
        });
        admin.look();
        admin
    }

    /// Takes over what another process has written since the last look.
    fn look(&self) {
        match self.record.as_ref().map(Record::news) {
            Some(Ok(Some(orders))) => self.take_over(orders),
            Some(Err(error)) => tracing::error!(%error, "the record of orders cannot be used"),
            None | Some(Ok(None)) => {}
        }
    }

    fn take_over(&self, orders: Orders) {
        if *self.orders.borrow() != orders {
            tracing::info!(out = ?orders.out, drained = orders.drained, "orders in force");
            self.driver.set_drained_by_operator(orders.out.iter().map(|name| id(name)));
            self.ingress.set_drained(orders.drained);
            *self.orders.borrow_mut() = orders;
        }
    }

    /// Looks for orders that another process has written; never ends.
    pub async fn watch(self: Rc<Admin<P>>) {
        loop {
            P::sleep(LOOK).await;
            self.look();
        }
    }

    /// Notes that this process serves from now on, so that its predecessor leaves its clients to it.
    pub async fn serves(&self) {
        let mark = self.mark;
        let noted = self.change(|orders| {
            orders.serving = Some(mark);
            Ok(())
        });
        if let Err(error) = noted.await {
            tracing::error!(%error, "a predecessor will not know that this process serves");
        }
    }

    /// Whether another process serves now.
    pub fn is_succeeded(&self) -> bool {
        self.look();
        self.orders.borrow().serving.is_some_and(|mark| mark != self.mark)
    }

    async fn change(
        &self,
        change: impl Fn(&mut Orders) -> Result<(), String>,
    ) -> Result<(), String> {
        let orders = match &self.record {
            Some(record) => record.change::<P>(change).await?,
            None => {
                let mut orders = self.orders.borrow().clone();
                change(&mut orders)?;
                orders
            }
        };
        self.take_over(orders);
        Ok(())
    }

    /// Answers operators; never ends.
    pub async fn listen(self: Rc<Admin<P>>, listener: P::Listener) {
        if let Ok(address) = listener.local_addr() {
            tracing::info!(%address, "operators may call");
        }
        loop {
            let socket = match listener.accept().await {
                Ok((socket, _)) => socket,
                Err(error) => {
                    tracing::warn!(%error, "accepting an operator failed");
                    P::sleep(AGAIN).await;
                    continue;
                }
            };
            // Danger: callers that connect and say nothing must not keep others out.
            if self.calls.borrow().len() >= MOST
                && let Some((_, oldest)) = self.calls.borrow_mut().pop_first()
            {
                oldest.abort();
            }
            let n = self.next.get();
            self.next.set(n + 1);
            let admin = self.clone();
            let task = P::spawn(async move {
                admin.serve(&socket).await;
                admin.calls.borrow_mut().remove(&n);
            });
            self.calls.borrow_mut().insert(n, task);
        }
    }

    async fn serve(&self, socket: &P::Tcp) {
        let line = timeout::<P, _>(PATIENCE, read_line::<P>(socket)).await;
        let answer = match line {
            Ok(Ok(line)) => match Command::parse(&line) {
                Ok(call) => self.answer(&call).await,
                Err(why) => Answer::Error(why),
            },
            Ok(Err(why)) => Answer::Error(why.into()),
            Err(_) => Answer::Error("a whole line expected".into()),
        };
        let text = answer.to_string();
        let _ = timeout::<P, _>(PATIENCE, write::<P>(socket, text.as_bytes())).await;
        lingering_close::<P>(socket, LINGER, LINGER_BYTES).await;
    }

    async fn answer(&self, call: &Command) -> Answer {
        match call {
            Command::Ready if self.ingress.is_ready() => Answer::Done,
            Command::Ready if self.ingress.drained_for().is_some() => {
                Answer::Error("drained".into())
            }
            Command::Ready => Answer::Error("no server is known yet".into()),
            Command::ShowStat => Answer::Stat(self.figures().into()),
            Command::ShowTier => match self.driver.gossip() {
                Some(tier) => Answer::Tier(tier.members()),
                None => Answer::Error("no part in the tier".into()),
            },
            _ => {
                let listed = |name: &str| self.driver.is_listed(id(name));
                match self.change(|orders| orders.apply(call, listed)).await {
                    Ok(()) => {
                        tracing::info!(?call, "ordered");
                        Answer::Done
                    }
                    Err(why) => Answer::Error(why),
                }
            }
        }
    }

    fn figures(&self) -> Figures {
        let names = self.live.names();
        let mut classes: Vec<_> = names.classes.iter().collect();
        classes.sort_unstable_by_key(|(_, class)| class.index);
        let counts = |(name, class): (&String, &super::config::ClassName)| {
            (name.clone(), self.status.counts_of(class.index))
        };
        let EndpointCounts { listed, ejected } = self.driver.endpoint_counts();
        Figures {
            classes: classes.into_iter().map(counts).collect(),
            tries: self.status.attempts(),
            active: self.driver.open_requests(),
            listed,
            ejected,
            most_servers: self.live.max_servers(),
            lists_too_long: self.status.lists_too_long(),
            reloads: self.status.reloads(),
            tier: self.driver.gossip().map(|tier| {
                let mut clubs: Vec<_> = names.tenants.iter().collect();
                clubs.sort_unstable_by_key(|(_, place)| **place);
                (tier.view(), clubs.into_iter().map(|(name, _)| name.clone()).collect())
            }),
        }
    }
}

fn id(name: &str) -> ServerId {
    ServerId(stable_hash(name.as_bytes()))
}

/// Reads up to the end of the first line; what comes behind it does not count.
async fn read_line<P: Runtime>(socket: &P::Tcp) -> Result<String, &'static str> {
    let mut line = Vec::new();
    let mut buf = [0; LONGEST];
    loop {
        match socket.try_read(&mut buf) {
            // Danger: half a call is none. "disable-server s-1" may have been meant for s-12.
            Ok(0) => return Err("the line did not end"),
            Ok(n) => {
                line.extend_from_slice(&buf[..n]);
                if let Some(end) = line.iter().position(|&b| b == b'\n') {
                    line.truncate(end);
                    return String::from_utf8(line).map_err(|_| "text expected");
                }
                if line.len() > LONGEST {
                    return Err("the line is too long");
                }
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => {
                if std::future::poll_fn(|cx| socket.poll_read_ready(cx)).await.is_err() {
                    return Err("the connection broke");
                }
            }
            Err(_) => return Err("the connection broke"),
        }
    }
}

async fn write<P: Runtime>(socket: &P::Tcp, mut text: &[u8]) {
    while !text.is_empty() {
        match socket.try_write(text) {
            Ok(n) => text = &text[n..],
            Err(e) if e.kind() == ErrorKind::WouldBlock => {
                if std::future::poll_fn(|cx| socket.poll_write_ready(cx)).await.is_err() {
                    return;
                }
            }
            Err(_) => return,
        }
    }
}
