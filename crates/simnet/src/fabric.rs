//! What a network consists of: machines, ways between them, connections as two queues of what is under
//! way, listeners, datagrams. What happens there is `net`'s.

use std::collections::VecDeque;
use std::io::ErrorKind;
use std::net::{IpAddr, SocketAddr};
use std::ops::Range;
use std::task::Waker;
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use rustc_hash::FxHashMap;

/// The first port that connections leave from.
pub(crate) const EPHEMERAL: u16 = 32_768;

/// A machine of the world.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HostId(pub(crate) usize);

impl HostId {
    /// Its place among all machines, from 0, in the order in which they were made.
    pub fn index(self) -> usize {
        self.0
    }
}

/// One way between two machines.
#[derive(Clone, Debug)]
pub struct Link {
    /// How long a segment takes, in nanoseconds.
    pub latency: Range<u64>,
    /// What each byte adds, in nanoseconds.
    pub per_byte: u64,
    /// Bytes that may be written before the peer has read them.
    pub window: usize,
    /// The share of reads and writes that are cut short at any byte.
    pub chop: f64,
    /// The share of segments that arrive only with a retransmission.
    pub loss: f64,
    /// The share of resets that overtake what is under way.
    pub overtake: f64,
    /// Nothing passes. What was sent arrives once it passes again.
    pub cut: bool,
    /// The share of new connections that are refused though somebody listens.
    pub refuse: f64,
    /// The share of new connections that never come up.
    pub ignore: f64,
    /// The share of datagrams that are lost.
    pub datagram_loss: f64,
    /// The share of datagrams that arrive twice.
    pub datagram_twice: f64,
}

impl Default for Link {
    fn default() -> Link {
        Link {
            latency: 50_000..150_000,
            per_byte: 1,
            window: 256 << 10,
            chop: 0.0,
            loss: 0.0,
            overtake: 0.0,
            cut: false,
            refuse: 0.0,
            ignore: 0.0,
            datagram_loss: 0.0,
            datagram_twice: 0.0,
        }
    }
}

/// How a machine's processes end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Death {
    /// The process is killed: its connections are reset.
    Reset,
    /// The machine vanishes: nothing more is heard of it.
    Silent,
}

/// What went over the network.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Connections that came up.
    pub connections: u64,
    /// Connections that were refused.
    pub refused: u64,
    /// SYNs that nobody answered.
    pub ignored: u64,
    /// Resets sent.
    pub resets: u64,
    /// Bytes written.
    pub bytes: u64,
    /// Reads and writes cut short.
    pub chopped: u64,
    /// Segments that needed a retransmission.
    pub lost: u64,
    /// Resets that overtook bytes under way.
    pub overtaken: u64,
    /// Bytes that vanished on connections that fell silent.
    pub vanished: u64,
    /// Datagrams lost.
    pub datagrams_lost: u64,
}

/// Sees everything that passes on the network.
pub trait Tap {
    /// Something passed, so long after the start.
    fn see(&mut self, now: Duration, event: &TapEvent<'_>);
}

/// What passed.
#[derive(Debug)]
pub enum TapEvent<'a> {
    /// A connection is asked for.
    Connecting {
        /// Its number.
        conn: u64,
        /// Who asks.
        by: HostId,
    },
    /// A connection came up.
    Connected {
        /// Its number.
        conn: u64,
        /// Who opened it.
        from: HostId,
        /// Who accepts it.
        to: HostId,
        /// Where.
        at: SocketAddr,
    },
    /// A process took a connection out of its listener's backlog.
    Accepted {
        /// Its number.
        conn: u64,
        /// By whom.
        by: HostId,
    },
    /// A process wrote bytes.
    Sent {
        /// On which connection.
        conn: u64,
        /// By whom.
        from: HostId,
        /// To whom.
        to: HostId,
        /// What.
        bytes: &'a [u8],
    },
    /// Bytes, no more than were sent, came to the peer's process.
    Read {
        /// On which connection.
        conn: u64,
        /// By whom.
        by: HostId,
        /// What.
        bytes: &'a [u8],
    },
    /// A process ended its sending side.
    Finished {
        /// On which connection.
        conn: u64,
        /// By whom.
        by: HostId,
    },
    /// A process let go of a connection, or reset it.
    Closed {
        /// On which connection.
        conn: u64,
        /// By whom.
        by: HostId,
        /// Whether its peer is told by a reset.
        reset: bool,
    },
}

/// What happens on the network at a time.
pub(crate) enum NetEvent {
    /// A SYN arrives.
    Syn { conn: u64, attempt: u32 },
    /// The answer to a SYN arrives.
    SynAnswer { conn: u64, accepted: bool },
    /// What is on its way to a side may have arrived.
    Arrive { conn: u64, to: usize },
    /// A datagram arrives.
    Datagram { from: SocketAddr, to: SocketAddr, data: Vec<u8> },
}

pub(crate) enum Item {
    Bytes(Vec<u8>),
    Fin,
    Reset,
}

pub(crate) struct Side {
    pub(crate) host: HostId,
    pub(crate) at: SocketAddr,
    /// Somebody holds it.
    pub(crate) held: bool,
    pub(crate) finished: bool,
    pub(crate) rx: VecDeque<u8>,
    pub(crate) fin: bool,
    pub(crate) error: Option<ErrorKind>,
    /// What is on its way to this side, by when it arrives.
    pub(crate) flight: VecDeque<(u64, Item)>,
    /// What this side wrote and its peer has not read.
    pub(crate) unread: usize,
    /// When the last of what this side sent arrives.
    pub(crate) last: u64,
    pub(crate) reader: Option<Waker>,
    pub(crate) writer: Option<Waker>,
    pub(crate) reset_on_close: bool,
    /// What this side sends vanishes.
    pub(crate) silent: bool,
    /// The next look at the flight is after a cut.
    pub(crate) stalled: bool,
}

impl Side {
    pub(crate) fn new(host: HostId, at: SocketAddr) -> Side {
        Side {
            host,
            at,
            held: false,
            finished: false,
            rx: VecDeque::new(),
            fin: false,
            error: None,
            flight: VecDeque::new(),
            unread: 0,
            last: 0,
            reader: None,
            writer: None,
            reset_on_close: false,
            silent: false,
            stalled: false,
        }
    }

    pub(crate) fn wake(&mut self) {
        for waker in [self.reader.take(), self.writer.take()].into_iter().flatten() {
            waker.wake();
        }
    }
}

pub(crate) struct Conn {
    pub(crate) sides: [Side; 2],
    /// Whether the opener knows that it is up, or that it was refused.
    pub(crate) answered: Option<bool>,
    pub(crate) opener: Option<Waker>,
}

pub(crate) struct Listening {
    pub(crate) host: HostId,
    pub(crate) backlog: VecDeque<u64>,
    pub(crate) most: usize,
    pub(crate) waker: Option<Waker>,
}

pub(crate) struct Datagrams {
    pub(crate) host: HostId,
    pub(crate) queue: VecDeque<(SocketAddr, Vec<u8>)>,
    pub(crate) waker: Option<Waker>,
}

pub(crate) struct Machine {
    pub(crate) ip: IpAddr,
    pub(crate) next_port: u16,
    pub(crate) sockets: usize,
    pub(crate) limit: usize,
    pub(crate) death: Option<Death>,
    pub(crate) up: bool,
}

#[derive(Default)]
pub(crate) struct Net {
    pub(crate) hosts: Vec<Machine>,
    pub(crate) conns: FxHashMap<u64, Conn>,
    pub(crate) next_conn: u64,
    pub(crate) listening: FxHashMap<SocketAddr, Listening>,
    pub(crate) udp: FxHashMap<SocketAddr, Datagrams>,
    pub(crate) links: FxHashMap<(HostId, HostId), Link>,
    pub(crate) default: Link,
    pub(crate) stats: Stats,
}

pub(crate) fn draw(rng: &mut SmallRng, share: f64) -> bool {
    share > 0.0 && rng.random_bool(share.min(1.0))
}

impl Net {
    pub(crate) fn add_host(&mut self, ip: IpAddr) -> HostId {
        self.hosts.push(Machine {
            ip,
            next_port: EPHEMERAL,
            sockets: 0,
            limit: usize::MAX,
            death: None,
            up: true,
        });
        HostId(self.hosts.len() - 1)
    }

    pub(crate) fn set_up(&mut self, host: HostId, up: bool) {
        self.hosts[host.0].up = up;
    }

    pub(crate) fn host_of(&self, ip: IpAddr) -> Option<HostId> {
        self.hosts.iter().position(|h| h.ip == ip).map(HostId)
    }

    pub(crate) fn link(&self, from: HostId, to: HostId) -> &Link {
        self.links.get(&(from, to)).unwrap_or(&self.default)
    }

    pub(crate) fn link_mut(&mut self, from: HostId, to: HostId) -> &mut Link {
        let default = &self.default;
        self.links.entry((from, to)).or_insert_with(|| default.clone())
    }

    pub(crate) fn close_listeners(&mut self, host: HostId) {
        let gone: Vec<SocketAddr> =
            self.listening.iter().filter(|(_, l)| l.host == host).map(|(at, _)| *at).collect();
        for at in gone {
            self.listening.remove(&at);
        }
        self.udp.retain(|_, u| u.host != host);
    }

    pub(crate) fn between(&self, a: HostId, b: HostId) -> Vec<u64> {
        let is = |c: &Conn| {
            let [x, y] = &c.sides;
            (x.host, y.host) == (a, b) || (x.host, y.host) == (b, a)
        };
        let mut found: Vec<u64> =
            self.conns.iter().filter(|(_, c)| is(c)).map(|(id, _)| *id).collect();
        found.sort_unstable();
        found
    }

    pub(crate) fn silence_between(&mut self, a: HostId, b: HostId) -> usize {
        let ids = self.between(a, b);
        for id in &ids {
            if let Some(conn) = self.conns.get_mut(id) {
                for side in &mut conn.sides {
                    side.silent = true;
                    side.flight.clear();
                }
            }
        }
        ids.len()
    }
}
