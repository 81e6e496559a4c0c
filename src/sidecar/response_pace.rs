//! Decides whether a response that has begun may go on, from what its server has given so far.
//!
//! A response that has begun may take longer than its client said that it would wait, as long as its server is still giving
//! it and it can be expected to end. What is expected follows from the length that the response announces, the number of
//! bytes that have come, and their pace. Nothing here reads a clock or a socket.

use std::cell::RefCell;
use std::time::{Duration, Instant};

use super::body::{MAX_BODY_GAP, STREAM_WINDOW_BYTES, client_transfer_time};
use super::framing::BodyEnd;

/// The longest pause of a response that has begun, before its client's time is over.
const MAX_PAUSE_IN_TIME: Duration = Duration::from_secs(1);
/// The longest pause of a late response of which more has come than is buffered.
const MAX_LATE_PAUSE: Duration = Duration::from_secs(1);
/// The longest pause of a shorter one.
const MAX_LATE_PAUSE_OF_SHORT: Duration = Duration::from_millis(250);
/// A response that has paused and gone on may pause for this many times as long again.
const LONGER_PAUSE_FACTOR: u32 = 2;

/// The longest time for which a late response may go on at its pace, in addition to the time allowed for its length. One
/// that announces no length may go on for this time at most.
const MAX_LATE_TIME: Duration = Duration::from_secs(10);

/// A response that announces no length begins with a burst if so much more came in this time at its beginning than at its
/// later pace that the excess would have taken longer than [`MAX_BURST_TIME`].
const BURST_PERIOD: Duration = Duration::from_millis(100);
/// After a hold-up or a lost packet, bytes come at once that were given steadily.
const MAX_BURST_TIME: Duration = Duration::from_millis(200);
/// Fewer bytes are no burst.
const MIN_BURST_BYTES: u64 = STREAM_WINDOW_BYTES as u64;
/// The number of samples from which on the pace is judged.
const MIN_SAMPLES: usize = 10;
/// The maximum number of samples of a response. When there are more, every second one is dropped.
const MAX_SAMPLES: usize = 64;
/// The interval of the samples of a response that has just begun.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// The reason for which a response is not waited for any longer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unfinished {
    /// Its server has stopped.
    Stopped,
    /// At its pace, the announced length would take too long.
    TooSlow,
    /// It announces no length, and nothing says that it will end.
    NoEnd,
}

/// The number of bytes of a body that had come at a time.
#[derive(Clone, Copy, Debug)]
struct Sample {
    time: Instant,
    received: u64,
}

/// What has come of a response.
#[derive(Debug)]
struct Record {
    /// The time at which the head, or the latest byte of the body, came.
    active_at: Instant,
    received: u64,
    longest_pause: Duration,
    /// In the order of time; the first one belongs to the first bytes of the body.
    samples: Vec<Sample>,
    sample_interval: Duration,
}

/// The progress of a response that is being received.
#[derive(Debug)]
pub struct ResponsePace {
    body_end: BodyEnd,
    record: RefCell<Record>,
}

impl ResponsePace {
    /// Creates the progress of a response whose head came at `now` and says that the body ends there.
    pub fn new(body_end: BodyEnd, now: Instant) -> ResponsePace {
        let record = Record {
            active_at: now,
            received: 0,
            longest_pause: Duration::ZERO,
            samples: Vec::new(),
            sample_interval: SAMPLE_INTERVAL,
        };
        ResponsePace { body_end, record: RefCell::new(record) }
    }

    /// Records that `bytes` of the body came at `now`.
    pub fn record(&self, now: Instant, bytes: usize) {
        self.record.borrow_mut().add(now, bytes);
    }

    /// Returns the number of bytes of the body that have come.
    pub fn received(&self) -> u64 {
        self.record.borrow().received
    }

    /// Returns the announced length of the body, or the number of bytes that have come if there is none.
    pub fn min_length(&self) -> u64 {
        match self.body_end {
            BodyEnd::Length(length) => length,
            BodyEnd::TransferEncoding | BodyEnd::Connection => self.received(),
        }
    }

    /// Returns where the body ends according to its head.
    pub fn body_end(&self) -> BodyEnd {
        self.body_end
    }

    /// Returns how long nothing has come at `now`.
    pub fn pause(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.record.borrow().active_at)
    }

    /// Judges at the end of its client's time whether a response is still being given.
    ///
    /// # Errors
    ///
    /// Returns why it is not waited for.
    pub fn check_at_deadline(&self, now: Instant) -> Result<(), Unfinished> {
        let allowed = MAX_PAUSE_IN_TIME.max(self.record.borrow().repeated_pause());
        if self.pause(now) > allowed { Err(Unfinished::Stopped) } else { Ok(()) }
    }

    /// Judges whether a response that has been late since `late_since` may go on.
    ///
    /// # Errors
    ///
    /// Returns why it is not waited for any longer.
    pub fn check_late(&self, now: Instant, late_since: Instant) -> Result<(), Unfinished> {
        let record = self.record.borrow();
        if self.body_end == BodyEnd::Length(record.received) {
            // All of it has come, and its end is being checked.
            return Ok(());
        }
        if self.pause(now) > record.allowed_late_pause() {
            return Err(Unfinished::Stopped);
        }
        let BodyEnd::Length(announced) = self.body_end else {
            let has_time = now < late_since + MAX_LATE_TIME;
            let may_end = has_time && !record.trickles_after_burst();
            return if may_end { Ok(()) } else { Err(Unfinished::NoEnd) };
        };
        let missing = announced.saturating_sub(record.received);
        let allowed = MAX_LATE_TIME + client_transfer_time(missing);
        let fits = record.time_for(missing).is_none_or(|time| time <= allowed);
        if fits { Ok(()) } else { Err(Unfinished::TooSlow) }
    }
}

impl Record {
    fn add(&mut self, now: Instant, bytes: usize) {
        self.longest_pause = self.longest_pause.max(now.saturating_duration_since(self.active_at));
        self.active_at = now;
        self.received += bytes as u64;
        let sample = Sample { time: now, received: self.received };
        match self.samples.last_mut() {
            Some(last) if now < last.time + self.sample_interval && last.received > 0 => {
                last.received = self.received;
            }
            _ => self.samples.push(sample),
        }
        if self.samples.len() > MAX_SAMPLES {
            self.thin_out();
        }
    }

    /// Drops every second sample. The bytes of a dropped sample count for the one before it.
    fn thin_out(&mut self) {
        let received: Vec<_> = self.samples.iter().map(|sample| sample.received).collect();
        let mut index = 0;
        self.samples.retain_mut(|sample| {
            let kept = index % 2 == 0;
            sample.received = received.get(index + 1).copied().unwrap_or(sample.received);
            index += 1;
            kept
        });
        self.sample_interval *= 2;
    }

    /// Returns how long a response may pause that has paused before.
    fn repeated_pause(&self) -> Duration {
        (self.longest_pause * LONGER_PAUSE_FACTOR).min(MAX_BODY_GAP)
    }

    fn allowed_late_pause(&self) -> Duration {
        let is_short = self.received < STREAM_WINDOW_BYTES as u64;
        let allowed = if is_short { MAX_LATE_PAUSE_OF_SHORT } else { MAX_LATE_PAUSE };
        allowed.max(self.repeated_pause())
    }

    /// Returns the number of bytes of the body that had come by `time`, which is not before the first ones.
    fn received_by(&self, time: Instant) -> u64 {
        let count = self.samples.partition_point(|sample| sample.time <= time);
        self.samples[count - 1].received
    }

    /// Returns the first and the last sample, or `None` if there are too few to judge the pace.
    fn span(&self) -> Option<(Sample, Sample)> {
        let is_enough = self.samples.len() >= MIN_SAMPLES;
        self.samples.first().copied().zip(self.samples.last().copied()).filter(|_| is_enough)
    }

    /// Returns whether the body began with a burst, and comes at a much lower pace since.
    fn trickles_after_burst(&self) -> bool {
        let Some((first, last)) = self.span() else { return false };
        let period = BURST_PERIOD.max(self.sample_interval);
        let burst = self.received_by(first.time + period - self.sample_interval);
        let later = (last.received - first.received) as f64;
        let pace = later / (last.time - first.time).as_secs_f64();
        let excess = burst as f64 - pace * period.as_secs_f64();
        burst >= MIN_BURST_BYTES && excess > pace * MAX_BURST_TIME.as_secs_f64()
    }

    /// Returns how long `bytes` take at the pace of the last third of the time, or `None` if that is not known.
    fn time_for(&self, bytes: u64) -> Option<Duration> {
        let (first, last) = self.span()?;
        let third = (last.time - first.time) / 3;
        let in_last = last.received - self.received_by(last.time - third);
        let seconds = third.as_secs_f64() * bytes as f64 / in_last.max(1) as f64;
        Some(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
    }
}

#[cfg(test)]
mod tests;
