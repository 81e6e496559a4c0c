//! The simulator's binary wire: frames of fixed-size records with one tail each, little-endian.
//!
//! Reading is total: any bytes give records or a [`WireError`], never a panic and never an
//! allocation sized by a length that was not checked against the bytes at hand.

mod error;

use std::io::{self, Read};

use smallvec::SmallVec;

use crate::api::{
    Action, AttemptEnd, Health, ListKind, LoadReport, Micros, NewRequest, Outcome, RequestId,
    ServerEntry, ServerId,
};

pub use error::{WireError, WireProblem};

const HEADER: usize = 16;
const REPLY_HEADER: usize = 8;
const EVENT: usize = 40;
const ACTION: usize = 24;
const ENTRY: usize = 24;
const REPORT_VALUES: usize = 4;
const EVERYONE: u32 = u32::MAX;

mod event {
    pub const UP: u8 = 0;
    pub const DIRECTORY_UPDATE: u8 = 1;
    pub const INGRESS: u8 = 2;
    pub const FIRST_BYTE: u8 = 3;
    pub const OUTCOME: u8 = 4;
    pub const VANISHED: u8 = 5;
    pub const RING: u8 = 6;
    pub const PROBE_DONE: u8 = 7;
    pub const NOTE_FROM: u8 = 8;
    pub const EXIT: u8 = 9;
    pub const SNAPSHOT_ROWS: u8 = 10;
    pub const ON: u8 = 11;
}

mod action {
    pub const EMIT: u8 = 0;
    pub const AT: u8 = 1;
    pub const CHECK: u8 = 2;
    pub const FAULT: u8 = 3;
    pub const DISCONNECT: u8 = 4;
    pub const CANCEL: u8 = 5;
    pub const SCHEDULE: u8 = 6;
    pub const SUBSCRIBE: u8 = 7;
    pub const DENY: u8 = 8;
    pub const SURRENDER: u8 = 9;
    pub const TELL: u8 = 10;
    pub const RESOLVE: u8 = 11;
    pub const CALL_OUT: u8 = 12;
}

const COST_HINT: u16 = 1;
const CLIENT_REPEAT: u16 = 2;

/// One record of a batch.
#[derive(Clone, Debug, PartialEq)]
pub enum Record<'a> {
    /// The records that follow are for this instance.
    SelectInstance(u16),
    /// The instance starts.
    Start {
        /// What determines its random choices.
        seed: u64,
        /// Its settings as JSON.
        settings: &'a [u8],
    },
    /// The instance is stopped.
    Stop,
    /// An endpoint list, to which updates refer by its number.
    EndpointList {
        /// The number.
        list: u32,
        /// The entries.
        entries: Vec<ServerEntry>,
    },
    /// The instance gets an endpoint list.
    EndpointUpdate {
        /// How the list applies.
        kind: ListKind,
        /// Its number.
        list: u32,
    },
    /// A client sent a request.
    Request(NewRequest),
    /// The first byte of a streamed answer came.
    FirstByte {
        /// The request.
        id: RequestId,
        /// The position of the attempt among those of the request, from 0.
        attempt: usize,
    },
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// A client disconnected.
    ClientDisconnected(RequestId),
    /// The timer with this token ran out.
    Timer(u32),
    /// A health check ended.
    HealthCheckEnded {
        /// The server that was checked.
        server: ServerId,
        /// How the check ended.
        outcome: Outcome,
        /// The time it took.
        latency: Micros,
        /// The load report that came with its answer.
        report: LoadReport,
    },
    /// A message of another instance came.
    PeerMessage {
        /// The number of that instance.
        from: u32,
        /// The bytes of the message.
        data: &'a [u8],
    },
    /// A code this build does not know; its size is known, so it is skipped.
    Unknown(u8),
}

/// A little-endian reader over bytes whose length was checked before.
struct Fields<'a>(&'a [u8]);

impl<'a> Fields<'a> {
    fn bytes<const N: usize>(&self, at: usize) -> [u8; N] {
        let mut out = [0; N];
        out.copy_from_slice(&self.0[at..at + N]);
        out
    }
    fn u8(&self, at: usize) -> u8 {
        self.0[at]
    }
    fn u16(&self, at: usize) -> u16 {
        u16::from_le_bytes(self.bytes(at))
    }
    fn u32(&self, at: usize) -> u32 {
        u32::from_le_bytes(self.bytes(at))
    }
    fn u64(&self, at: usize) -> u64 {
        u64::from_le_bytes(self.bytes(at))
    }
    fn f32(&self, at: usize) -> f32 {
        f32::from_le_bytes(self.bytes(at))
    }
    fn request(&self, at: usize) -> RequestId {
        RequestId(self.u64(at))
    }
    fn server(&self, at: usize) -> ServerId {
        let mut wide = [0; 8];
        wide[..6].copy_from_slice(&self.bytes::<6>(at));
        ServerId(u64::from_le_bytes(wide))
    }
}

/// A batch: the clock and its records. Decoding a record may still find a fault.
#[derive(Clone, Copy, Debug)]
pub struct Batch<'a> {
    /// The clock at the time of the batch.
    pub now: Micros,
    frame: &'a [u8],
    count: usize,
}

impl<'a> Batch<'a> {
    /// Reads the header; `frame` is the entire frame, its header included.
    ///
    /// # Errors
    ///
    /// The frame is cut, its length is wrong, or its records do not fit.
    pub fn new(frame: &'a [u8]) -> Result<Batch<'a>, WireError> {
        if frame.len() < HEADER {
            return Err(WireError::new(WireProblem::CutInHeader, frame.len()));
        }
        let head = Fields(frame);
        if head.u32(0) as usize != frame.len() {
            let problem = WireProblem::WrongLength { announced: head.u32(0), actual: frame.len() };
            return Err(WireError::new(problem, 0));
        }
        let count = head.u32(12) as usize;
        if count > (frame.len() - HEADER) / EVENT {
            return Err(WireError::new(WireProblem::TooManyRecords(count), 12));
        }
        Ok(Batch { now: head.u64(4), frame, count })
    }

    /// The records in their order; an error ends their use.
    pub fn records(self) -> impl Iterator<Item = Result<Record<'a>, WireError>> {
        (0..self.count).map(move |i| self.record(HEADER + i * EVENT))
    }

    /// The tail's bytes from an offset on, `len` units of `unit` bytes.
    fn tail(&self, at: usize, field: usize, unit: usize) -> Result<&'a [u8], WireError> {
        let rec = Fields(&self.frame[at..at + EVENT]);
        let tail = &self.frame[HEADER + self.count * EVENT..];
        let from = rec.u32(field) as usize;
        let len = (rec.u32(field + 4) as usize).checked_mul(unit);
        match len.and_then(|len| from.checked_add(len)) {
            Some(end) if end <= tail.len() => Ok(&tail[from..end]),
            _ => Err(WireError::new(WireProblem::OutsideTail(from), at + field)),
        }
    }

    fn record(&self, at: usize) -> Result<Record<'a>, WireError> {
        let rec = Fields(&self.frame[at..at + EVENT]);
        Ok(match rec.u8(0) {
            event::ON => Record::SelectInstance(rec.u16(1)),
            event::UP => Record::Start { seed: rec.u64(1), settings: self.tail(at, 9, 1)? },
            event::EXIT => Record::Stop,
            event::SNAPSHOT_ROWS => self.endpoint_list(at)?,
            event::DIRECTORY_UPDATE => {
                let kind = list_kind(rec.u8(5)).map_err(|p| WireError::new(p, at + 5))?;
                Record::EndpointUpdate { kind, list: rec.u32(6) }
            }
            event::INGRESS => Record::Request(request(&rec)),
            event::FIRST_BYTE => {
                Record::FirstByte { id: rec.request(1), attempt: rec.u16(9).into() }
            }
            event::OUTCOME => Record::AttemptEnded(AttemptEnd {
                id: rec.request(1),
                attempt: rec.u16(9).into(),
                server: rec.server(11),
                outcome: outcome(rec.u8(17)).map_err(|p| WireError::new(p, at + 17))?,
                latency: rec.u32(18).into(),
                finished: rec.u8(22) != 0,
                report: report(&rec, 23).map_err(|p| WireError::new(p, at + 23))?,
            }),
            event::VANISHED => Record::ClientDisconnected(rec.request(1)),
            event::RING => Record::Timer(rec.u32(1)),
            event::PROBE_DONE => Record::HealthCheckEnded {
                latency: rec.u32(1).into(),
                server: rec.server(5),
                outcome: outcome(rec.u8(11)).map_err(|p| WireError::new(p, at + 11))?,
                report: report(&rec, 12).map_err(|p| WireError::new(p, at + 12))?,
            },
            event::NOTE_FROM => {
                Record::PeerMessage { from: rec.u32(1), data: self.tail(at, 5, 1)? }
            }
            other => Record::Unknown(other),
        })
    }

    fn endpoint_list(&self, at: usize) -> Result<Record<'a>, WireError> {
        let rec = Fields(&self.frame[at..at + EVENT]);
        let rows = self.tail(at, 5, ENTRY)?;
        let entries = rows
            .chunks_exact(ENTRY)
            .map(|row| entry(&Fields(row)))
            .collect::<Result<_, _>>()
            .map_err(|problem| WireError::new(problem, at + 5))?;
        Ok(Record::EndpointList { list: rec.u32(1), entries })
    }
}

fn request(rec: &Fields<'_>) -> NewRequest {
    let flags = rec.u16(30);
    NewRequest {
        id: rec.request(1),
        tenant: rec.u32(9) as usize,
        affinity_key: rec.u64(13),
        time_left: rec.u32(21).into(),
        work_hint: (flags & COST_HINT != 0).then(|| rec.u32(25).into()),
        class: rec.u8(29).into(),
        client_retry: flags & CLIENT_REPEAT != 0,
        over_quota: false,
    }
}

fn list_kind(code: u8) -> Result<ListKind, WireProblem> {
    Ok(match code {
        0 => ListKind::Complete,
        1 => ListKind::Cached,
        2 => ListKind::Delta,
        3 => ListKind::Failed,
        other => return Err(WireProblem::UnknownListKind(other)),
    })
}

fn outcome(code: u8) -> Result<Outcome, WireProblem> {
    Ok(match code {
        1 => Outcome::Success,
        2 => Outcome::ErrorResponse,
        3 => Outcome::Rejected,
        4 => Outcome::TimedOut,
        5 => Outcome::ConnectFailed,
        6 => Outcome::ConnectionReset,
        7 => Outcome::Cancelled,
        8 => Outcome::NotSent,
        other => return Err(WireProblem::UnknownOutcome(other)),
    })
}

fn report(rec: &Fields<'_>, at: usize) -> Result<LoadReport, WireProblem> {
    let n = usize::from(rec.u8(at));
    if n > REPORT_VALUES {
        return Err(WireProblem::ReportTooLong(n));
    }
    let values: SmallVec<[f32; 4]> = (0..n).map(|i| rec.f32(at + 1 + 4 * i)).collect();
    Ok(LoadReport(values))
}

fn entry(row: &Fields<'_>) -> Result<ServerEntry, WireProblem> {
    Ok(ServerEntry {
        id: row.server(0),
        zone: row.u8(6),
        kind: row.u16(7),
        cell: row.u16(9),
        health: match row.u8(11) {
            0 => Health::Removed,
            1 => Health::Ready,
            2 => Health::Draining,
            other => return Err(WireProblem::UnknownHealth(other)),
        },
        weight: row.f32(12),
        started_at: row.u64(16),
    })
}

/// Reads one frame into `buf`. `Ok(false)` means that the input ended before a frame began.
///
/// # Errors
///
/// Reading fails, or the frame is malformed (`InvalidData`, from a [`WireError`]).
pub fn read_frame(input: &mut impl Read, buf: &mut Vec<u8>) -> io::Result<bool> {
    buf.clear();
    input.by_ref().take(4).read_to_end(buf)?;
    if buf.is_empty() {
        return Ok(false);
    }
    let Ok(len) = <[u8; 4]>::try_from(buf.as_slice()) else {
        return Err(WireError::new(WireProblem::CutInLength, buf.len()).into());
    };
    let len = u32::from_le_bytes(len) as usize;
    if len < HEADER {
        return Err(WireError::new(WireProblem::LengthBelowHeader(len), 0).into());
    }
    // Grows as bytes come in: a false length costs no memory.
    input.by_ref().take(len as u64 - 4).read_to_end(buf)?;
    if buf.len() < len {
        return Err(WireError::new(WireProblem::CutInFrame(len), buf.len()).into());
    }
    Ok(true)
}

/// Builds one reply. Records and tail grow apart and are joined by [`Reply::finish`].
#[derive(Debug, Default)]
pub struct Reply {
    records: Vec<u8>,
    tail: Vec<u8>,
    count: u32,
}

impl Reply {
    fn push(&mut self, code: u8, fields: &[u8]) {
        let start = self.records.len();
        self.records.push(code);
        self.records.extend_from_slice(fields);
        self.records.resize(start + ACTION, 0);
        self.count += 1;
    }

    fn in_tail(&mut self, bytes: &[u8]) -> [u8; 8] {
        let at = self.tail.len() as u32;
        self.tail.extend_from_slice(bytes);
        join(&at.to_le_bytes(), &(bytes.len() as u32).to_le_bytes())
    }

    /// Names the instance of the actions that follow.
    pub fn select_instance(&mut self, instance: u16) {
        self.push(action::AT, &instance.to_le_bytes());
    }

    /// The decision code has failed.
    pub fn fault(&mut self, text: &str) {
        let field = self.in_tail(text.as_bytes());
        self.push(action::FAULT, &field);
    }

    /// Appends an action of the instance named last.
    pub fn action(&mut self, a: &Action) {
        match a {
            Action::Send { id, server, timeout } => {
                let head: [u8; 14] = join(&id.0.to_le_bytes(), &server.0.to_le_bytes()[..6]);
                let rec: [u8; 18] = join(&head, &span(*timeout).to_le_bytes());
                self.push(action::CALL_OUT, &rec);
            }
            Action::Cancel { id, attempt } => {
                let n = u16::try_from(*attempt).unwrap_or(u16::MAX);
                let rec: [u8; 10] = join(&id.0.to_le_bytes(), &n.to_le_bytes());
                self.push(action::CANCEL, &rec);
            }
            Action::Reject { id, retry_after, .. } => {
                let rec: [u8; 12] = join(&id.0.to_le_bytes(), &span(*retry_after).to_le_bytes());
                self.push(action::DENY, &rec);
            }
            Action::Fail { id, .. } => self.push(action::SURRENDER, &id.0.to_le_bytes()),
            Action::SetTimer { delay, token } => {
                let rec: [u8; 8] = join(&span(*delay).to_le_bytes(), &token.to_le_bytes());
                self.push(action::SCHEDULE, &rec);
            }
            Action::HealthCheck { server } => {
                self.push(action::CHECK, &server.0.to_le_bytes()[..6])
            }
            Action::CloseIdleConnections { server } => {
                self.push(action::DISCONNECT, &server.0.to_le_bytes()[..6]);
            }
            Action::Subscribe => self.push(action::SUBSCRIBE, &[1]),
            Action::FetchEndpoints => self.push(action::RESOLVE, &[]),
            Action::SendToPeer { peer, data } => {
                let field = self.in_tail(data);
                let rec: [u8; 12] = join(&peer.to_le_bytes(), &field);
                self.push(action::TELL, &rec);
            }
            Action::Log { text } => {
                let field = self.in_tail(text.as_bytes());
                self.push(action::EMIT, &field);
            }
        }
    }

    /// Appends the whole frame to `out` and starts anew.
    pub fn finish(&mut self, out: &mut Vec<u8>) {
        let len = REPLY_HEADER + self.records.len() + self.tail.len();
        out.extend_from_slice(&(len as u32).to_le_bytes());
        out.extend_from_slice(&self.count.to_le_bytes());
        out.append(&mut self.records);
        out.append(&mut self.tail);
        self.count = 0;
    }
}

/// Every peer, as [`Action::SendToPeer`] names it.
pub const ALL_PEERS: u32 = EVERYONE;

/// A span of time as the wire holds it: what does not fit is cut.
fn span(t: Micros) -> u32 {
    u32::try_from(t).unwrap_or(u32::MAX)
}

fn join<const N: usize>(a: &[u8], b: &[u8]) -> [u8; N] {
    let mut out = [0; N];
    out[..a.len()].copy_from_slice(a);
    out[a.len()..].copy_from_slice(b);
    out
}
