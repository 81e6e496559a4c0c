//! The simulator's binary protocol, little-endian: a frame has a header, fixed-size records, and a tail for data of
//! variable length.
//!
//! Any input decodes to records or to a [`WireError`]. Decoding never panics, and never allocates by a length that
//! was not checked against the available bytes.

mod error;

use std::io::{self, Read};

use smallvec::SmallVec;

use crate::api::{
    Action, AttemptEnd, Health, ListKind, LoadReport, Micros, NewRequest, Outcome, RequestId,
    ServerEntry, ServerId,
};

pub use error::{WireError, WireProblem};

const BATCH_HEADER_BYTES: usize = 16;
const REPLY_HEADER_BYTES: usize = 8;
const EVENT_BYTES: usize = 40;
const ACTION_BYTES: usize = 24;
const LIST_ENTRY_BYTES: usize = 24;
const MAX_REPORT_VALUES: usize = 4;
const BROADCAST_PEER: u32 = u32::MAX;

/// Codes of event records, under the names that the protocol gives them.
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

/// Codes of action records, under the names that the protocol gives them.
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

/// Flag of a request: it carries a work hint.
const WORK_HINT_FLAG: u16 = 1;
/// Flag of a request: the client marked it as a retry.
const CLIENT_RETRY_FLAG: u16 = 2;

/// One record of a batch.
#[derive(Clone, Debug, PartialEq)]
pub enum Record<'a> {
    /// The following records are for this instance.
    SelectInstance(u16),
    /// The instance starts.
    Start {
        /// The seed of its random choices.
        seed: u64,
        /// Its settings as JSON.
        settings: &'a [u8],
    },
    /// The instance is stopped.
    Stop,
    /// An endpoint list. Updates refer to it by its number.
    EndpointList {
        /// The number of the list.
        list: u32,
        /// The entries.
        entries: Vec<ServerEntry>,
    },
    /// The instance gets an endpoint list.
    EndpointUpdate {
        /// How the list relates to the previous one.
        kind: ListKind,
        /// The number of the list.
        list: u32,
    },
    /// A client sent a request.
    Request(NewRequest),
    /// The first byte of a streamed response arrived.
    FirstByte {
        /// The request.
        id: RequestId,
        /// The index of the attempt among those of the request, from 0.
        attempt: usize,
    },
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// A client disconnected.
    ClientDisconnected(RequestId),
    /// The timer with this token expired.
    Timer(u32),
    /// A health check ended.
    HealthCheckEnded {
        /// The server that was checked.
        server: ServerId,
        /// How the check ended.
        outcome: Outcome,
        /// The duration of the check.
        latency: Micros,
        /// The load report in the response; empty if there was none.
        report: LoadReport,
    },
    /// A message from another instance arrived.
    PeerMessage {
        /// The instance number of the sender.
        from: u32,
        /// The bytes of the message.
        data: &'a [u8],
    },
    /// A record with an unknown code. It can be skipped, as all records have the same size.
    Unknown(u8),
}

/// Reads little-endian fields from bytes whose length was already checked.
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

/// A batch of event records. Its header is valid, but decoding a record may still fail.
#[derive(Clone, Copy, Debug)]
pub struct Batch<'a> {
    /// The time of the batch.
    pub now: Micros,
    frame: &'a [u8],
    count: usize,
}

impl<'a> Batch<'a> {
    /// Parses the header of a batch. `frame` is the entire frame, including the header.
    ///
    /// # Errors
    ///
    /// Fails if the frame is truncated, its length is wrong, or its records do not fit.
    pub fn new(frame: &'a [u8]) -> Result<Batch<'a>, WireError> {
        if frame.len() < BATCH_HEADER_BYTES {
            return Err(WireError::new(WireProblem::TruncatedHeader, frame.len()));
        }
        let head = Fields(frame);
        if head.u32(0) as usize != frame.len() {
            let problem = WireProblem::WrongLength { announced: head.u32(0), actual: frame.len() };
            return Err(WireError::new(problem, 0));
        }
        let count = head.u32(12) as usize;
        if count > (frame.len() - BATCH_HEADER_BYTES) / EVENT_BYTES {
            return Err(WireError::new(WireProblem::TooManyRecords(count), 12));
        }
        Ok(Batch { now: head.u64(4), frame, count })
    }

    /// Decodes the records in order. The caller must stop at the first error.
    pub fn records(self) -> impl Iterator<Item = Result<Record<'a>, WireError>> {
        (0..self.count).map(move |i| self.record(BATCH_HEADER_BYTES + i * EVENT_BYTES))
    }

    /// Returns the part of the tail that a record refers to. The fields at `field` are the offset, and the length in
    /// units of `unit` bytes.
    fn tail(&self, at: usize, field: usize, unit: usize) -> Result<&'a [u8], WireError> {
        let rec = Fields(&self.frame[at..at + EVENT_BYTES]);
        let tail = &self.frame[BATCH_HEADER_BYTES + self.count * EVENT_BYTES..];
        let from = rec.u32(field) as usize;
        let len = (rec.u32(field + 4) as usize).checked_mul(unit);
        match len.and_then(|len| from.checked_add(len)) {
            Some(end) if end <= tail.len() => Ok(&tail[from..end]),
            _ => Err(WireError::new(WireProblem::OutsideTail(from), at + field)),
        }
    }

    fn record(&self, at: usize) -> Result<Record<'a>, WireError> {
        let rec = Fields(&self.frame[at..at + EVENT_BYTES]);
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
        let rec = Fields(&self.frame[at..at + EVENT_BYTES]);
        let rows = self.tail(at, 5, LIST_ENTRY_BYTES)?;
        let entries = rows
            .chunks_exact(LIST_ENTRY_BYTES)
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
        work_hint: (flags & WORK_HINT_FLAG != 0).then(|| rec.u32(25).into()),
        class: rec.u8(29).into(),
        client_retry: flags & CLIENT_RETRY_FLAG != 0,
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
    if n > MAX_REPORT_VALUES {
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

/// Reads one frame into `buf`. Returns `Ok(false)` if the input ends before the start of a frame.
///
/// # Errors
///
/// Fails if reading fails, or with `InvalidData` and a [`WireError`] if the frame is malformed.
pub fn read_frame(input: &mut impl Read, buf: &mut Vec<u8>) -> io::Result<bool> {
    buf.clear();
    input.by_ref().take(4).read_to_end(buf)?;
    if buf.is_empty() {
        return Ok(false);
    }
    let Ok(len) = <[u8; 4]>::try_from(buf.as_slice()) else {
        return Err(WireError::new(WireProblem::TruncatedLength, buf.len()).into());
    };
    let len = u32::from_le_bytes(len) as usize;
    if len < BATCH_HEADER_BYTES {
        return Err(WireError::new(WireProblem::LengthBelowHeader(len), 0).into());
    }
    // The buffer grows with the received bytes, so a wrong length does not allocate memory.
    input.by_ref().take(len as u64 - 4).read_to_end(buf)?;
    if buf.len() < len {
        return Err(WireError::new(WireProblem::TruncatedFrame(len), buf.len()).into());
    }
    Ok(true)
}

/// Builds a reply. [`Reply::finish`] joins the records and the tail, which are collected separately.
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
        self.records.resize(start + ACTION_BYTES, 0);
        self.count += 1;
    }

    /// Appends bytes to the tail and returns their offset and length as record fields.
    fn push_tail(&mut self, bytes: &[u8]) -> [u8; 8] {
        let at = self.tail.len() as u32;
        self.tail.extend_from_slice(bytes);
        concat(&at.to_le_bytes(), &(bytes.len() as u32).to_le_bytes())
    }

    /// Selects the instance that the following actions are from.
    pub fn select_instance(&mut self, instance: u16) {
        self.push(action::AT, &instance.to_le_bytes());
    }

    /// Appends a fault of the selected instance: its settings are invalid, or its balancer panicked.
    pub fn fault(&mut self, text: &str) {
        let field = self.push_tail(text.as_bytes());
        self.push(action::FAULT, &field);
    }

    /// Appends an action of the selected instance.
    pub fn action(&mut self, a: &Action) {
        match a {
            Action::Send { id, server, timeout } => {
                let head: [u8; 14] = concat(&id.0.to_le_bytes(), &server.0.to_le_bytes()[..6]);
                let rec: [u8; 18] = concat(&head, &encode_duration(*timeout).to_le_bytes());
                self.push(action::CALL_OUT, &rec);
            }
            Action::Cancel { id, attempt } => {
                let n = u16::try_from(*attempt).unwrap_or(u16::MAX);
                let rec: [u8; 10] = concat(&id.0.to_le_bytes(), &n.to_le_bytes());
                self.push(action::CANCEL, &rec);
            }
            Action::Reject { id, retry_after, .. } => {
                let rec: [u8; 12] =
                    concat(&id.0.to_le_bytes(), &encode_duration(*retry_after).to_le_bytes());
                self.push(action::DENY, &rec);
            }
            // The simulator never reports the progress of a response, so none is delivered.
            Action::Deliver { .. } => {}
            Action::Fail { id, .. } => self.push(action::SURRENDER, &id.0.to_le_bytes()),
            Action::SetTimer { delay, token } => {
                let rec: [u8; 8] =
                    concat(&encode_duration(*delay).to_le_bytes(), &token.to_le_bytes());
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
                let field = self.push_tail(data);
                let rec: [u8; 12] = concat(&peer.to_le_bytes(), &field);
                self.push(action::TELL, &rec);
            }
            Action::Log { text } => {
                let field = self.push_tail(text.as_bytes());
                self.push(action::EMIT, &field);
            }
        }
    }

    /// Appends the complete frame to `out` and resets the builder.
    pub fn finish(&mut self, out: &mut Vec<u8>) {
        let len = REPLY_HEADER_BYTES + self.records.len() + self.tail.len();
        out.extend_from_slice(&(len as u32).to_le_bytes());
        out.extend_from_slice(&self.count.to_le_bytes());
        out.append(&mut self.records);
        out.append(&mut self.tail);
        self.count = 0;
    }
}

/// The peer number in [`Action::SendToPeer`] that addresses all peers.
pub const ALL_PEERS: u32 = BROADCAST_PEER;

/// Encodes a duration as 32 bits, saturating.
fn encode_duration(t: Micros) -> u32 {
    u32::try_from(t).unwrap_or(u32::MAX)
}

/// Concatenates two slices whose lengths add up to `N`.
fn concat<const N: usize>(a: &[u8], b: &[u8]) -> [u8; N] {
    let mut out = [0; N];
    out[..a.len()].copy_from_slice(a);
    out[a.len()..].copy_from_slice(b);
    out
}
