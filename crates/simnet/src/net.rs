//! What happens on the network, and the sockets that tasks have of it.

use std::collections::VecDeque;
use std::future::poll_fn;
use std::io::{self, ErrorKind, IoSlice};
use std::net::SocketAddr;
use std::task::{Context, Poll};

use rand::Rng;
use runtime::{Listener, Tcp, Udp};
use tokio::io::ReadBuf;

use crate::fabric::{
    Conn, Datagrams, Death, EPHEMERAL, HostId, Item, Listening, NetEvent, Side, TapEvent, draw,
};
use crate::state::{Event, Inner, State, current, try_current};

/// What was lost, or met a cut, is sent again after so long.
const RETRANSMIT: u64 = 200_000_000;
/// A SYN that nobody answered is sent again after so long, then after twice that.
const SYN_AGAIN: u64 = 1_000_000_000;
/// Datagrams that may wait to be read.
const DATAGRAMS: usize = 64;

impl State {
    fn latency(&mut self, from: HostId, to: HostId, bytes: usize) -> u64 {
        let link = self.net.link(from, to);
        let (range, loss) = (link.latency.clone(), link.loss);
        let mut takes = link.per_byte * bytes as u64;
        takes += if range.is_empty() { range.start } else { self.rng.random_range(range) };
        if draw(&mut self.rng, loss) {
            self.net.stats.lost += 1;
            takes += RETRANSMIT;
        }
        takes
    }

    /// Sends something from a side of a connection to the other.
    fn send(&mut self, id: u64, from: usize, item: Item) {
        let Some(conn) = self.net.conns.get(&id) else { return };
        let (here, there) = (conn.sides[from].host, conn.sides[1 - from].host);
        let bytes = match &item {
            Item::Bytes(bytes) => bytes.len(),
            _ => 0,
        };
        let takes = self.latency(here, there, bytes);
        let overtakes = matches!(item, Item::Reset) && {
            let share = self.net.link(here, there).overtake;
            draw(&mut self.rng, share)
        };
        let now = self.now;
        let Some(conn) = self.net.conns.get_mut(&id) else { return };
        if conn.sides[from].silent {
            self.net.stats.vanished += bytes as u64;
            return;
        }
        if overtakes && !conn.sides[1 - from].flight.is_empty() {
            conn.sides[1 - from].flight.clear();
            conn.sides[from].last = 0;
            self.net.stats.overtaken += 1;
        }
        let arrives = (now + takes).max(conn.sides[from].last);
        conn.sides[from].last = arrives;
        conn.sides[1 - from].flight.push_back((arrives, item));
        self.schedule(arrives, Event::Net(NetEvent::Arrive { conn: id, to: 1 - from }));
    }

    /// Notes in the trace that something happened.
    fn mark(&mut self, kind: u8, of: u64) {
        let now = self.now;
        self.trace.add(now, kind, of, &[]);
    }

    /// Forgets a connection of which nothing can come any more.
    fn forget(&mut self, id: u64) {
        let over = |c: &Conn| c.sides.iter().all(|s| !s.held && s.flight.is_empty());
        if self.net.conns.get(&id).is_some_and(over) {
            self.net.conns.remove(&id);
        }
    }

    fn arrive(&mut self, id: u64, to: usize) {
        let now = self.now;
        let Some(conn) = self.net.conns.get_mut(&id) else { return };
        let (from_host, to_host) = (conn.sides[1 - to].host, conn.sides[to].host);
        conn.sides[to].stalled = false;
        if self.net.link(from_host, to_host).cut {
            let Some(conn) = self.net.conns.get_mut(&id) else { return };
            if !conn.sides[to].stalled {
                conn.sides[to].stalled = true;
                let at = now + RETRANSMIT;
                self.schedule(at, Event::Net(NetEvent::Arrive { conn: id, to }));
            }
            return;
        }
        let up = self.net.hosts[to_host.0].up;
        loop {
            let Some(conn) = self.net.conns.get_mut(&id) else { return };
            let side = &mut conn.sides[to];
            if side.flight.front().is_none_or(|(at, _)| *at > now) {
                break;
            }
            let Some((_, item)) = side.flight.pop_front() else { break };
            let (kind, bytes): (u8, &[u8]) = match &item {
                Item::Bytes(bytes) => (1, bytes),
                Item::Fin => (2, &[]),
                Item::Reset => (3, &[]),
            };
            self.trace.add(now, kind, id << 1 | to as u64, bytes);
            match item {
                _ if !up => {}
                Item::Bytes(_) if !side.held => {
                    // Nobody is there to read it. What answers is the machine.
                    if !side.silent && side.error.is_none() {
                        side.error = Some(ErrorKind::ConnectionReset);
                        self.net.stats.resets += 1;
                        self.send(id, to, Item::Reset);
                    }
                }
                Item::Bytes(bytes) => {
                    side.rx.extend(bytes);
                    if let Some(reader) = side.reader.take() {
                        reader.wake();
                    }
                }
                Item::Fin => {
                    side.fin = true;
                    if let Some(reader) = side.reader.take() {
                        reader.wake();
                    }
                }
                Item::Reset => {
                    side.error = Some(ErrorKind::ConnectionReset);
                    side.wake();
                }
            }
        }
        self.forget(id);
    }
}

/// Something happens on the network.
pub(crate) fn happen(inner: &Inner, event: NetEvent) {
    match event {
        NetEvent::Arrive { conn, to } => inner.state.borrow_mut().arrive(conn, to),
        NetEvent::Syn { conn, attempt } => syn(inner, conn, attempt),
        NetEvent::SynAnswer { conn, accepted } => {
            let mut state = inner.state.borrow_mut();
            state.mark(4, conn << 1 | u64::from(accepted));
            let Some(c) = state.net.conns.get_mut(&conn) else { return };
            c.answered = Some(accepted);
            if let Some(opener) = c.opener.take() {
                opener.wake();
            }
        }
        NetEvent::Datagram { from, to, data } => {
            let mut state = inner.state.borrow_mut();
            state.mark(5, data.len() as u64);
            if let Some(socket) = state.net.udp.get_mut(&to)
                && socket.queue.len() < DATAGRAMS
            {
                socket.queue.push_back((from, data));
                if let Some(waker) = socket.waker.take() {
                    waker.wake();
                }
            }
        }
    }
}

fn syn(inner: &Inner, id: u64, attempt: u32) {
    let mut state = inner.state.borrow_mut();
    let state = &mut *state;
    let Some(conn) = state.net.conns.get(&id) else { return };
    let (from, to, at) = (conn.sides[0].host, conn.sides[1].host, conn.sides[1].at);
    let link = state.net.link(from, to);
    let (cut, ignore, refuse) = (link.cut, link.ignore, link.refuse);
    let ignored = attempt == 0 && draw(&mut state.rng, ignore);
    if ignored || cut || !state.net.hosts[to.0].up {
        state.net.stats.ignored += 1;
        let (again, at) = (attempt + 1, state.now + (SYN_AGAIN << attempt.min(5)));
        // One that is to be ignored stays so: whatever swallowed it goes on.
        if !ignored {
            state.schedule(at, Event::Net(NetEvent::Syn { conn: id, attempt: again }));
        }
        return;
    }
    let refused = draw(&mut state.rng, refuse);
    let listening = state.net.listening.get_mut(&at).filter(|_| !refused);
    let accepted = match listening {
        Some(l) if l.backlog.len() >= l.most => {
            let (again, at) = (attempt + 1, state.now + (SYN_AGAIN << attempt.min(5)));
            state.schedule(at, Event::Net(NetEvent::Syn { conn: id, attempt: again }));
            return;
        }
        Some(l) => {
            l.backlog.push_back(id);
            if let Some(waker) = l.waker.take() {
                waker.wake();
            }
            state.net.stats.connections += 1;
            true
        }
        None => {
            state.net.stats.refused += 1;
            false
        }
    };
    if accepted && let Some(conn) = state.net.conns.get_mut(&id) {
        // In the backlog the machine holds it.
        conn.sides[1].held = true;
    }
    let takes = state.latency(to, from, 0);
    let at = state.now + takes;
    state.schedule(at, Event::Net(NetEvent::SynAnswer { conn: id, accepted }));
}

/// Resets connections between two machines, at both ends.
pub(crate) fn reset_between(inner: &Inner, a: HostId, b: HostId, nth: usize) -> usize {
    let mut state = inner.state.borrow_mut();
    let state = &mut *state;
    let ids = state.net.between(a, b);
    let mut reset = 0;
    for id in ids.iter().step_by(nth.max(1)) {
        if let Some(conn) = state.net.conns.get_mut(id) {
            for side in &mut conn.sides {
                side.error.get_or_insert(ErrorKind::ConnectionReset);
                side.flight.clear();
                side.wake();
            }
            state.net.stats.resets += 1;
            state.mark(6, *id);
            reset += 1;
        }
        state.forget(*id);
    }
    reset
}

fn too_many() -> io::Error {
    io::Error::other("too many open files")
}

/// Opens a connection from the machine whose task runs.
pub(crate) async fn connect(to: SocketAddr) -> io::Result<SimTcp> {
    let (id, by) = {
        let inner = current();
        let mut state = inner.state.borrow_mut();
        let state = &mut *state;
        let from = state.host;
        let Some(target) = state.net.host_of(to.ip()) else {
            return Err(ErrorKind::HostUnreachable.into());
        };
        let machine = &mut state.net.hosts[from.0];
        if machine.sockets >= machine.limit {
            return Err(too_many());
        }
        machine.sockets += 1;
        let port = machine.next_port;
        machine.next_port = port.checked_add(1).unwrap_or(EPHEMERAL);
        let local = SocketAddr::new(machine.ip, port);
        state.net.next_conn += 1;
        let id = state.net.next_conn;
        let mut sides = [Side::new(from, local), Side::new(target, to)];
        sides[0].held = true;
        state.net.conns.insert(id, Conn { sides, answered: None, opener: None });
        let takes = state.latency(from, target, 0);
        let at = state.now + takes;
        state.schedule(at, Event::Net(NetEvent::Syn { conn: id, attempt: 0 }));
        (id, from)
    };
    current().show(&TapEvent::Connecting { conn: id, by });
    // From here on dropping it closes it, also half way.
    let socket = SimTcp { conn: id, side: 0 };
    let accepted = poll_fn(|cx| {
        let inner = current();
        let mut state = inner.state.borrow_mut();
        let Some(conn) = state.net.conns.get_mut(&id) else { return Poll::Ready(false) };
        match conn.answered {
            Some(accepted) => Poll::Ready(accepted),
            None => {
                conn.opener = Some(cx.waker().clone());
                Poll::Pending
            }
        }
    })
    .await;
    if !accepted {
        return Err(ErrorKind::ConnectionRefused.into());
    }
    let inner = current();
    let hosts = {
        let state = inner.state.borrow();
        state.net.conns.get(&id).map(|c| (c.sides[0].host, c.sides[1].host))
    };
    if let Some((from, to_host)) = hosts {
        inner.show(&TapEvent::Connected { conn: id, from, to: to_host, at: to });
    }
    Ok(socket)
}

/// One end of a connection.
#[derive(Debug)]
pub struct SimTcp {
    conn: u64,
    side: usize,
}

impl SimTcp {
    /// The connection's number, the same at both ends.
    pub fn number(&self) -> u64 {
        self.conn
    }

    fn with<T>(&self, act: impl FnOnce(&mut State, &mut Conn) -> T) -> Option<T> {
        let inner = current();
        let mut state = inner.state.borrow_mut();
        // Taken out for the while, so that both can be changed.
        let mut conn = state.net.conns.remove(&self.conn)?;
        let value = act(&mut state, &mut conn);
        state.net.conns.insert(self.conn, conn);
        Some(value)
    }

    fn chop(state: &mut State, share: f64, n: usize) -> usize {
        if n > 1 && draw(&mut state.rng, share) {
            state.net.stats.chopped += 1;
            return state.rng.random_range(1..n);
        }
        n
    }

    fn write(&self, bytes: &[u8]) -> io::Result<usize> {
        let inner = current();
        let (n, from, to) = {
            let written = self.with(|state, conn| {
                let (here, there) = (conn.sides[self.side].host, conn.sides[1 - self.side].host);
                let side = &mut conn.sides[self.side];
                if let Some(kind) = side.error {
                    return Err(io::Error::from(kind));
                }
                if side.finished {
                    return Err(ErrorKind::BrokenPipe.into());
                }
                let link = state.net.link(here, there);
                let (window, chop) = (link.window, link.chop);
                let n = bytes.len().min(window.saturating_sub(side.unread));
                if n == 0 && !bytes.is_empty() {
                    return Err(ErrorKind::WouldBlock.into());
                }
                let n = SimTcp::chop(state, chop, n);
                side.unread += n;
                state.net.stats.bytes += n as u64;
                Ok((n, here, there))
            });
            written.unwrap_or_else(|| Err(ErrorKind::ConnectionReset.into()))?
        };
        if n > 0 {
            inner.state.borrow_mut().send(self.conn, self.side, Item::Bytes(bytes[..n].to_vec()));
            inner.show(&TapEvent::Sent { conn: self.conn, from, to, bytes: &bytes[..n] });
        }
        Ok(n)
    }
}

impl Tcp for SimTcp {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let ready = self.with(|_, conn| {
            let side = &mut conn.sides[self.side];
            if !side.rx.is_empty() || side.fin || side.error.is_some() {
                return true;
            }
            side.reader = Some(cx.waker().clone());
            false
        });
        if ready.unwrap_or(true) { Poll::Ready(Ok(())) } else { Poll::Pending }
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let ready = self.with(|state, conn| {
            let (here, there) = (conn.sides[self.side].host, conn.sides[1 - self.side].host);
            let window = state.net.link(here, there).window;
            let side = &mut conn.sides[self.side];
            if side.unread < window || side.error.is_some() || side.finished {
                return true;
            }
            side.writer = Some(cx.waker().clone());
            false
        });
        if ready.unwrap_or(true) { Poll::Ready(Ok(())) } else { Poll::Pending }
    }

    fn try_read_buf(&self, buf: &mut ReadBuf<'_>) -> io::Result<usize> {
        let before = buf.filled().len();
        let read = self.with(|state, conn| {
            let (here, there) = (conn.sides[self.side].host, conn.sides[1 - self.side].host);
            let chop = state.net.link(there, here).chop;
            let side = &mut conn.sides[self.side];
            if side.rx.is_empty() {
                return match (side.error, side.fin) {
                    (Some(kind), _) => Err(kind.into()),
                    (None, true) => Ok(0),
                    (None, false) => Err(io::Error::from(ErrorKind::WouldBlock)),
                };
            }
            let n = SimTcp::chop(state, chop, side.rx.len().min(buf.remaining()));
            let (first, second) = side.rx.as_slices();
            let of_first = n.min(first.len());
            buf.put_slice(&first[..of_first]);
            buf.put_slice(&second[..n - of_first]);
            side.rx.drain(..n);
            let peer = &mut conn.sides[1 - self.side];
            peer.unread = peer.unread.saturating_sub(n);
            if let Some(writer) = peer.writer.take() {
                writer.wake();
            }
            Ok(n)
        });
        let n = read.unwrap_or_else(|| Err(ErrorKind::ConnectionReset.into()))?;
        if n > 0 {
            let inner = current();
            let by = inner.state.borrow().host;
            inner.show(&TapEvent::Read { conn: self.conn, by, bytes: &buf.filled()[before..] });
        }
        Ok(n)
    }

    fn try_write(&self, buf: &[u8]) -> io::Result<usize> {
        self.write(buf)
    }

    fn try_write_vectored(&self, bufs: &[IoSlice<'_>]) -> io::Result<usize> {
        let whole: Vec<u8> = bufs.iter().flat_map(|b| b.iter().copied()).collect();
        self.write(&whole)
    }

    fn set_nodelay(&self) -> io::Result<()> {
        Ok(())
    }

    fn finish_writing(&self) {
        let first = self.with(|_, conn| {
            let side = &mut conn.sides[self.side];
            let first = !side.finished && side.error.is_none();
            side.finished = true;
            first.then_some(side.host)
        });
        if let Some(Some(by)) = first {
            let inner = current();
            inner.state.borrow_mut().send(self.conn, self.side, Item::Fin);
            inner.show(&TapEvent::Finished { conn: self.conn, by });
        }
    }

    fn reset_on_close(&self) {
        self.with(|_, conn| conn.sides[self.side].reset_on_close = true);
    }

    fn at_rest(&self) -> bool {
        let rests = self.with(|_, conn| {
            let side = &conn.sides[self.side];
            side.rx.is_empty() && !side.fin && side.error.is_none()
        });
        rests.unwrap_or(false)
    }

    fn ended(&self) -> bool {
        let ended = self.with(|_, conn| {
            let side = &conn.sides[self.side];
            side.fin || side.error.is_some()
        });
        ended.unwrap_or(true)
    }
}

impl Drop for SimTcp {
    fn drop(&mut self) {
        let Some(inner) = try_current() else { return };
        let told = {
            let mut state = inner.state.borrow_mut();
            let state = &mut *state;
            let Some(conn) = state.net.conns.get_mut(&self.conn) else { return };
            let side = &mut conn.sides[self.side];
            side.held = false;
            let host = side.host;
            let machine = &mut state.net.hosts[host.0];
            machine.sockets = machine.sockets.saturating_sub(1);
            let unread = !side.rx.is_empty() || side.reset_on_close;
            side.rx.clear();
            let item = match machine.death {
                Some(Death::Silent) => {
                    side.silent = true;
                    None
                }
                _ if side.error.is_some() => None,
                Some(Death::Reset) => Some(Item::Reset),
                None if unread => Some(Item::Reset),
                None if !side.finished => Some(Item::Fin),
                None => None,
            };
            let reset = matches!(item, Some(Item::Reset));
            if reset {
                side.error = Some(ErrorKind::ConnectionReset);
                state.net.stats.resets += 1;
            }
            side.finished = true;
            if let Some(item) = item {
                state.send(self.conn, self.side, item);
            }
            state.forget(self.conn);
            (host, reset)
        };
        inner.show(&TapEvent::Closed { conn: self.conn, by: told.0, reset: told.1 });
    }
}

/// Where connections come in.
#[derive(Debug)]
pub struct SimListener {
    at: SocketAddr,
}

impl SimListener {
    /// Listens on the machine whose task runs. `backlog` connections may wait.
    ///
    /// # Errors
    ///
    /// When somebody listens there.
    pub fn bind(at: SocketAddr, backlog: usize) -> io::Result<SimListener> {
        let inner = current();
        let mut state = inner.state.borrow_mut();
        let host = state.host;
        if state.net.listening.contains_key(&at) {
            return Err(ErrorKind::AddrInUse.into());
        }
        let listening = Listening { host, backlog: VecDeque::new(), most: backlog, waker: None };
        state.net.listening.insert(at, listening);
        state.net.hosts[host.0].sockets += 1;
        Ok(SimListener { at })
    }
}

impl Listener for SimListener {
    type Tcp = SimTcp;

    async fn accept(&self) -> io::Result<(SimTcp, SocketAddr)> {
        poll_fn(|cx| {
            let inner = current();
            let mut borrowed = inner.state.borrow_mut();
            let state = &mut *borrowed;
            let Some(listening) = state.net.listening.get_mut(&self.at) else {
                return Poll::Ready(Err(ErrorKind::NotConnected.into()));
            };
            if listening.backlog.is_empty() {
                listening.waker = Some(cx.waker().clone());
                return Poll::Pending;
            }
            let machine = &mut state.net.hosts[listening.host.0];
            if machine.sockets >= machine.limit {
                return Poll::Ready(Err(too_many()));
            }
            let Some(id) = listening.backlog.pop_front() else { return Poll::Pending };
            machine.sockets += 1;
            let (from, by) = (state.net.conns.get(&id).map(|c| c.sides[0].at), listening.host);
            let socket = SimTcp { conn: id, side: 1 };
            drop(borrowed);
            inner.show(&TapEvent::Accepted { conn: id, by });
            match from {
                Some(from) => Poll::Ready(Ok((socket, from))),
                None => Poll::Ready(Err(ErrorKind::ConnectionAborted.into())),
            }
        })
        .await
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        Ok(self.at)
    }
}

impl Drop for SimListener {
    fn drop(&mut self) {
        let Some(inner) = try_current() else { return };
        let waiting = {
            let mut state = inner.state.borrow_mut();
            let Some(listening) = state.net.listening.remove(&self.at) else { return };
            let machine = &mut state.net.hosts[listening.host.0];
            machine.sockets = machine.sockets.saturating_sub(1) + listening.backlog.len();
            listening.backlog
        };
        // What nobody accepted is reset.
        for conn in waiting {
            let socket = SimTcp { conn, side: 1 };
            socket.reset_on_close();
        }
    }
}

/// Where datagrams come in.
#[derive(Debug)]
pub struct SimUdp {
    at: SocketAddr,
}

impl SimUdp {
    /// Opens one on the machine whose task runs.
    ///
    /// # Errors
    ///
    /// When somebody has that address.
    pub fn bind(at: SocketAddr) -> io::Result<SimUdp> {
        let inner = current();
        let mut state = inner.state.borrow_mut();
        let host = state.host;
        if state.net.udp.contains_key(&at) {
            return Err(ErrorKind::AddrInUse.into());
        }
        state.net.udp.insert(at, Datagrams { host, queue: VecDeque::new(), waker: None });
        state.net.hosts[host.0].sockets += 1;
        Ok(SimUdp { at })
    }
}

impl Udp for SimUdp {
    async fn recv_from(&self, buf: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        poll_fn(|cx| {
            let inner = current();
            let mut state = inner.state.borrow_mut();
            let Some(socket) = state.net.udp.get_mut(&self.at) else {
                return Poll::Ready(Err(ErrorKind::NotConnected.into()));
            };
            match socket.queue.pop_front() {
                Some((from, data)) => {
                    let n = data.len().min(buf.len());
                    buf[..n].copy_from_slice(&data[..n]);
                    Poll::Ready(Ok((n, from)))
                }
                None => {
                    socket.waker = Some(cx.waker().clone());
                    Poll::Pending
                }
            }
        })
        .await
    }

    fn try_send_to(&self, data: &[u8], to: SocketAddr) -> io::Result<usize> {
        let inner = current();
        let mut state = inner.state.borrow_mut();
        let state = &mut *state;
        let from = state.net.udp.get(&self.at).map(|s| s.host);
        let (Some(from), Some(target)) = (from, state.net.host_of(to.ip())) else {
            return Ok(data.len());
        };
        let link = state.net.link(from, target);
        let (loss, twice, cut) = (link.datagram_loss, link.datagram_twice, link.cut);
        if cut || draw(&mut state.rng, loss) {
            state.net.stats.datagrams_lost += 1;
            return Ok(data.len());
        }
        for _ in 0..1 + usize::from(draw(&mut state.rng, twice)) {
            let takes = state.latency(from, target, data.len());
            let event = NetEvent::Datagram { from: self.at, to, data: data.to_vec() };
            let at = state.now + takes;
            state.schedule(at, Event::Net(event));
        }
        Ok(data.len())
    }
}

impl Drop for SimUdp {
    fn drop(&mut self) {
        let Some(inner) = try_current() else { return };
        let mut state = inner.state.borrow_mut();
        if let Some(socket) = state.net.udp.remove(&self.at) {
            let machine = &mut state.net.hosts[socket.host.0];
            machine.sockets = machine.sockets.saturating_sub(1);
        }
    }
}
