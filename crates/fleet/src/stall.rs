//! Whether a process that has fallen silent hangs, or is only kept from running.
//!
//! Silence alone cannot tell: on a host whose processors are all taken, a sound process may not get
//! its turn for seconds, and killing it would make things worse. The system's own figures can. A
//! process that is stopped says so; one that sleeps though its timers have run out was not woken
//! since, and would be runnable if it had been; one that burns CPU and does not come to its timers
//! goes in circles. One that is runnable and gets no CPU is starved, and is let be.
//!
//! Sources: proc(5) for `stat`; the kernel's `Documentation/scheduler/sched-stats.rst` for
//! `schedstat`. Where either cannot be read there is no evidence, and silence alone decides, later.

use std::time::Duration;

/// How a silent process hangs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stall {
    /// It was stopped by a signal.
    Stopped,
    /// It sleeps, and has not run although its timers have run out.
    Asleep,
    /// It runs all the time, and does not come to its timers.
    Spinning,
}

/// What the system tells of a process at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reading {
    /// Its state, as in the third field of `stat`.
    pub state: char,
    /// CPU time that it has had.
    pub ran: Duration,
    /// How often it was given a processor.
    pub slices: u64,
}

impl Reading {
    /// The present figures of a process; none if they cannot be had.
    ///
    /// Danger: they are those of its first thread, which is all that a sidecar has.
    pub fn of(pid: u32) -> Option<Reading> {
        let file = |name: &str| std::fs::read_to_string(format!("/proc/{pid}/{name}")).ok();
        Reading::parse(&file("stat")?, &file("schedstat")?)
    }

    fn parse(stat: &str, schedstat: &str) -> Option<Reading> {
        // The name, in brackets, may hold anything.
        let state = stat.rsplit_once(')')?.1.trim_start().chars().next()?;
        let mut fields = schedstat.split_whitespace().map(str::parse::<u64>);
        let ran = Duration::from_nanos(fields.next()?.ok()?);
        let slices = fields.nth(1)?.ok()?;
        Some(Reading { state, ran, slices })
    }
}

/// A stopped process is looked at for so long: it may be continued at once.
const STOPPED: Duration = Duration::from_millis(200);
/// A sound sidecar's timers wake it twice a second (reports, and the sweep of connections).
const ASLEEP: Duration = Duration::from_millis(600);
/// A turn of a sound event loop takes a small part of this.
const SPUN: Duration = Duration::from_millis(400);
/// A daemon that did not look for so long was itself kept from running: it begins anew.
const LONGEST_GAP: Duration = Duration::from_millis(400);

/// The readings of one silent process.
#[derive(Clone, Debug)]
pub struct Watch {
    first: (Duration, Reading),
    last: Duration,
    /// All readings so far show this state.
    same_state: bool,
}

impl Watch {
    /// Begins with one reading.
    pub fn new(now: Duration, reading: Reading) -> Watch {
        Watch { first: (now, reading), last: now, same_state: true }
    }

    /// Takes in another reading; the stall, once there is no doubt.
    pub fn look(&mut self, now: Duration, reading: Reading) -> Option<Stall> {
        if now.saturating_sub(self.last) > LONGEST_GAP {
            *self = Watch::new(now, reading);
            return None;
        }
        self.last = now;
        let (since, first) = self.first;
        self.same_state &= reading.state == first.state;
        if !self.same_state {
            *self = Watch::new(now, reading);
            return None;
        }
        let watched = now.saturating_sub(since);
        match reading.state {
            'T' if watched >= STOPPED => Some(Stall::Stopped),
            // It ran meanwhile: it is woken, and slow.
            'S' if reading.slices != first.slices => {
                *self = Watch::new(now, reading);
                None
            }
            'S' if watched >= ASLEEP => Some(Stall::Asleep),
            'R' if reading.ran.saturating_sub(first.ran) >= SPUN => Some(Stall::Spinning),
            // Danger: waiting for a disk ('D'), stopped by a debugger ('t') or runnable without a
            // processor is no fault of the process.
            _ => None,
        }
    }
}

#[cfg(test)]
mod tests {
    use std::process::{Child, Command, Stdio};

    use fakes::until;
    use rustix::process::{Pid, Signal, kill_process};

    use super::*;

    fn ms(n: u64) -> Duration {
        Duration::from_millis(n)
    }

    fn reading(state: char, ran: u64, slices: u64) -> Reading {
        Reading { state, ran: ms(ran), slices }
    }

    /// The verdict after these readings, 100 ms apart.
    fn verdict(readings: &[Reading]) -> Option<Stall> {
        let mut watch = Watch::new(ms(0), readings[0]);
        let rest = readings.iter().enumerate().skip(1);
        rest.fold(None, |stall, (n, r)| stall.or(watch.look(ms(100 * n as u64), *r)))
    }

    #[test]
    fn the_figures_are_read_whatever_the_name_holds() {
        let stat = "7 (a) S (b) R 1 7 7 0 -1";
        let read = Reading::parse(stat, "1500000 99 12\n").expect("sound");
        assert_eq!(read, Reading { state: 'R', ran: Duration::from_micros(1500), slices: 12 });
        assert!(Reading::parse("7 (a", "1 2 3").is_none() && Reading::parse(stat, "1").is_none());
    }

    #[test]
    fn a_starved_process_is_not_taken_for_a_hung_one() {
        // Runnable, and nothing of a processor; then a little, without coming through.
        assert_eq!(verdict(&[reading('R', 0, 5); 40]), None);
        let slow: Vec<_> = (0..40).map(|n| reading('R', n * 5, n)).collect();
        assert_eq!(verdict(&slow), None);
        // It sleeps between its turns.
        let slow: Vec<_> = (0..40).map(|n| reading('S', n, n / 4)).collect();
        assert_eq!(verdict(&slow), None);
        let mixed: Vec<_> = (0..40).map(|n| reading(['S', 'R'][n / 5 % 2], 0, 5)).collect();
        assert_eq!(verdict(&mixed), None);
        for state in ['D', 't', 'Z'] {
            assert_eq!(verdict(&[reading(state, 0, 5); 40]), None, "{state}");
        }
    }

    #[test]
    fn a_daemon_that_was_kept_from_looking_begins_anew() {
        let asleep = reading('S', 0, 5);
        let mut watch = Watch::new(ms(0), asleep);
        assert_eq!(watch.look(ms(3000), asleep), None);
        assert_eq!(watch.look(ms(3300), asleep), None);
        assert_eq!(watch.look(ms(3600), asleep), Some(Stall::Asleep));
    }

    fn judged(child: &Child) -> Option<Stall> {
        let began = std::time::Instant::now();
        let mut watch = Watch::new(ms(0), Reading::of(child.id())?);
        let mut stall = None;
        until("a verdict", || {
            std::thread::sleep(ms(20));
            let read = Reading::of(child.id()).expect("it is there");
            stall = watch.look(began.elapsed(), read);
            stall.is_some()
        });
        stall
    }

    #[test]
    fn real_processes_that_hang_are_told_apart() {
        let start = |program: &str, arguments: &[&str]| {
            let mut command = Command::new(program);
            command.args(arguments).stdin(Stdio::null()).spawn().expect("it starts")
        };
        let mut asleep = start("sleep", &["600"]);
        assert_eq!(judged(&asleep), Some(Stall::Asleep));
        let pid = Pid::from_child(&asleep);
        kill_process(pid, Signal::STOP).expect("a child of ours");
        assert_eq!(judged(&asleep), Some(Stall::Stopped));
        let mut spinning = start("sh", &["-c", "while :; do :; done"]);
        assert_eq!(judged(&spinning), Some(Stall::Spinning));
        for child in [&mut asleep, &mut spinning] {
            child.kill().and_then(|()| child.wait()).expect("a child of ours");
        }
    }
}
