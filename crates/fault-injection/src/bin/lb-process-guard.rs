//! Executes the program named by its arguments in its place, so that the program is killed when its parent ends.
//!
//! The kernel sends the signal when the parent's *thread* ends (prctl(2)), so the guard must be started from a thread
//! that lives as long as the program should.
#![forbid(unsafe_code)]

use std::os::unix::process::CommandExt;
use std::process::{Command, ExitCode};

use rustix::process::{Signal, getppid, set_parent_process_death_signal};

fn main() -> ExitCode {
    let mut words = std::env::args_os().skip(1);
    let (Some(parent), Some(program)) = (words.next(), words.next()) else {
        eprintln!("lb-process-guard: PARENT PROGRAM [ARGUMENTS] expected");
        return ExitCode::from(2);
    };
    if let Err(error) = set_parent_process_death_signal(Some(Signal::KILL)) {
        eprintln!("lb-process-guard: {error}");
        return ExitCode::from(2);
    }
    // If the parent ended before the signal was requested, no signal is sent.
    let now = getppid().map_or(0, |pid| pid.as_raw_nonzero().get());
    if parent.to_str().and_then(|pid| pid.parse().ok()) != Some(now) {
        return ExitCode::from(2);
    }
    let error = Command::new(&program).args(words).exec();
    eprintln!("lb-process-guard: {}: {error}", program.display());
    ExitCode::from(2)
}
