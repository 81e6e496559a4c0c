//! Tests of stall detection with constructed samples and with real processes.

use std::process::{Child, Command, Stdio};
use std::time::Duration;

use fakes::until;
use rustix::process::{Pid, Signal, kill_process};

use super::{SchedulerSample, Stall, StallDetector};

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn sample(state: char, cpu_ms: u64, timeslices: u64) -> SchedulerSample {
    SchedulerSample { state, cpu_time: ms(cpu_ms), timeslices }
}

/// Returns the stall detected from these samples, taken 100 ms apart.
fn detect_in_samples(samples: &[SchedulerSample]) -> Option<Stall> {
    let mut detector = StallDetector::new(ms(0), samples[0]);
    let rest = samples.iter().enumerate().skip(1);
    rest.fold(None, |stall, (n, r)| stall.or(detector.observe(ms(100 * n as u64), *r)))
}

#[test]
fn sample_is_parsed_with_any_process_name() {
    let stat = "7 (a) S (b) R 1 7 7 0 -1";
    let read = SchedulerSample::parse(stat, "1500000 99 12\n").expect("a valid sample");
    assert_eq!(
        read,
        SchedulerSample { state: 'R', cpu_time: Duration::from_micros(1500), timeslices: 12 }
    );
    assert!(
        SchedulerSample::parse("7 (a", "1 2 3").is_none()
            && SchedulerSample::parse(stat, "1").is_none()
    );
}

#[test]
fn starved_process_is_not_reported_as_stalled() {
    // Runnable without any CPU time; then with a little, too little for a turn of the event loop.
    assert_eq!(detect_in_samples(&[sample('R', 0, 5); 40]), None);
    let slow: Vec<_> = (0..40).map(|n| sample('R', n * 5, n)).collect();
    assert_eq!(detect_in_samples(&slow), None);
    // Sleeping between turns of the event loop.
    let slow: Vec<_> = (0..40).map(|n| sample('S', n, n / 4)).collect();
    assert_eq!(detect_in_samples(&slow), None);
    let mixed: Vec<_> = (0..40).map(|n| sample(['S', 'R'][n / 5 % 2], 0, 5)).collect();
    assert_eq!(detect_in_samples(&mixed), None);
    for state in ['D', 't', 'Z'] {
        assert_eq!(detect_in_samples(&[sample(state, 0, 5); 40]), None, "{state}");
    }
}

#[test]
fn detection_starts_over_after_a_gap_between_samples() {
    let asleep = sample('S', 0, 5);
    let mut detector = StallDetector::new(ms(0), asleep);
    assert_eq!(detector.observe(ms(3000), asleep), None);
    assert_eq!(detector.observe(ms(3300), asleep), None);
    assert_eq!(detector.observe(ms(3600), asleep), Some(Stall::Asleep));
}

fn detect(child: &Child) -> Option<Stall> {
    let began = std::time::Instant::now();
    let mut detector = StallDetector::new(ms(0), SchedulerSample::read(child.id())?);
    let mut stall = None;
    until("a stall is detected", || {
        std::thread::sleep(ms(20));
        let read = SchedulerSample::read(child.id()).expect("the process exists");
        stall = detector.observe(began.elapsed(), read);
        stall.is_some()
    });
    stall
}

#[test]
fn kinds_of_stalls_of_real_processes_are_distinguished() {
    let start = |program: &str, arguments: &[&str]| {
        let mut command = Command::new(program);
        command.args(arguments).stdin(Stdio::null()).spawn().expect("the process starts")
    };
    let mut asleep = start("sleep", &["600"]);
    assert_eq!(detect(&asleep), Some(Stall::Asleep));
    let pid = Pid::from_child(&asleep);
    kill_process(pid, Signal::STOP).expect("a child of ours");
    assert_eq!(detect(&asleep), Some(Stall::Stopped));
    let mut spinning = start("sh", &["-c", "while :; do :; done"]);
    assert_eq!(detect(&spinning), Some(Stall::Spinning));
    for child in [&mut asleep, &mut spinning] {
        child.kill().and_then(|()| child.wait()).expect("a child of ours");
    }
}
