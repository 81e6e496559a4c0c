//! Processes: started, found again, observed and signalled. Each is held by a pidfd, so that a
//! process that got the same pid later is never mistaken for it.

#[cfg(test)]
mod tests;

use std::fmt;
use std::fs;
use std::io::{self, Read};
use std::net::TcpListener;
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::fs::MetadataExt;
use std::os::unix::process::{CommandExt, ExitStatusExt};
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::process::{
    Pid, PidfdFlags, PidfdGetfdFlags, Signal, pidfd_getfd, pidfd_open, pidfd_send_signal,
};
use socket2::SockRef;
use thiserror::Error;

use crate::planner::{Generation, ProgramId};

/// The descriptor of an instance's listener: the first of `LISTEN_FDS` (sd_listen_fds(3)).
const LISTENER_DESCRIPTOR: i32 = 3;
/// So much is read of what a child wrote to its error stream.
const MAX_ERROR_OUTPUT_BYTES: u64 = 4 << 10;
/// The variable that marks instances: `state directory|slot|generation|program`.
const MARK_VARIABLE: &str = "LB_FLEET";
/// The former name of [`MARK_VARIABLE`]. Instances carry both and are found by either, so that
/// daemons of either version adopt what the other one started.
const FORMER_MARK_VARIABLE: &str = "PLANKVALE_FLEET";
/// Makes the listener on standard input the first of `LISTEN_FDS`. `LISTEN_PID` has to be the
/// instance's own pid, which is known only in the child: the shell sets it and becomes the program.
const START_SCRIPT: &str = "exec 3<&0 0</dev/null; LISTEN_PID=$$ exec \"$0\"";
/// For poll(2): do not wait.
const NO_WAIT: Timespec = Timespec { tv_sec: 0, tv_nsec: 0 };

/// One process.
pub struct Process {
    /// Its pid, to tell operators. Signals are sent by the pidfd.
    pub pid: u32,
    pidfd: OwnedFd,
    /// Set if this daemon started it.
    child: Option<Child>,
}

/// Identifies an instance's process to a daemon that did not start it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceMark {
    /// Its slot.
    pub slot: String,
    /// What it was started with.
    pub generation: Generation,
    /// The copy of the program that it runs.
    pub program_id: ProgramId,
}

impl InstanceMark {
    fn encode(&self, state_directory: &Path) -> String {
        let directory = state_directory.display();
        format!("{directory}|{}|{}|{}", self.slot, self.generation, self.program_id)
    }

    /// The mark in `text`, if it is of the given state directory.
    fn decode(text: &str, state_directory: &Path) -> Option<InstanceMark> {
        let rest = text.strip_prefix(state_directory.to_str()?)?.strip_prefix('|')?;
        let mut parts = rest.rsplitn(3, '|');
        let program_id = parts.next()?.parse().ok()?;
        let generation = parts.next()?.parse().ok()?;
        Some(InstanceMark { slot: parts.next()?.to_owned(), generation, program_id })
    }
}

/// What an instance is started with.
pub struct StartOptions<'a> {
    /// The daemon's state directory.
    pub state_directory: &'a Path,
    /// Identifies it.
    pub mark: InstanceMark,
    /// The program.
    pub program: &'a Path,
    /// Its configuration file.
    pub configuration: &'a Path,
    /// The socket to which it sends its status.
    pub status_socket: &'a Path,
    /// Its listener.
    pub listener: OwnedFd,
    /// Variables that make it log like the daemon.
    pub log_environment: &'a [(&'static str, String)],
}

/// A child failed.
#[derive(Debug, Error)]
pub enum ChildError {
    /// Its outcome cannot be learned.
    #[error("{0}")]
    Wait(#[source] io::Error),
    /// It failed, and wrote why.
    #[error("{0}")]
    Reported(String),
    /// It failed without a word.
    #[error("the check {0}")]
    Status(ExitStatus),
}

/// How a process ended, as far as it is known: only a parent learns more than that it did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitReport {
    /// With this status.
    Status(i32),
    /// By this signal.
    Signal(i32),
    /// Not known.
    Unknown,
}

impl fmt::Display for ExitReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ExitReport::Status(code) => write!(f, "ended with status {code}"),
            ExitReport::Signal(signal) => write!(f, "ended by signal {signal}"),
            ExitReport::Unknown => f.write_str("ended"),
        }
    }
}

impl Process {
    /// Starts an instance. All descriptors of this daemon but the listener are closed in it.
    ///
    /// # Errors
    ///
    /// When the system cannot start a process, or there is no shell.
    pub fn start(options: StartOptions<'_>) -> io::Result<Process> {
        let mark = options.mark.encode(options.state_directory);
        let mut command = Command::new("/bin/sh");
        command
            .args(["-c", START_SCRIPT])
            .arg(options.program)
            .env_clear()
            .env("LB_CONFIG", options.configuration)
            .env("NOTIFY_SOCKET", options.status_socket)
            .env("LISTEN_FDS", "1")
            .env("LISTEN_FDNAMES", "clients")
            .envs(options.log_environment.iter().map(|(name, value)| (*name, value)))
            .env(MARK_VARIABLE, &mark)
            .env(FORMER_MARK_VARIABLE, &mark)
            .stdin(options.listener)
            .stdout(Stdio::null())
            // A terminal's signals are for the daemon alone.
            .process_group(0);
        if let Some(path) = std::env::var_os("PATH") {
            command.env("PATH", path);
        }
        Process::from_child(command.spawn()?)
    }

    /// Holds a child.
    ///
    /// # Errors
    ///
    /// When the system has no descriptor left; the child is killed.
    pub fn from_child(mut child: Child) -> io::Result<Process> {
        let pid = child.id();
        match open_pidfd(pid) {
            Ok(pidfd) => Ok(Process { pid, pidfd, child: Some(child) }),
            Err(error) => {
                let _ = child.kill();
                let _ = child.wait();
                Err(error)
            }
        }
    }

    /// A copy of an instance's listener, if the system lets one process copy another's descriptors:
    /// pidfd_getfd(2) needs the right to trace it, which many hosts deny.
    pub fn listener(&self) -> Option<TcpListener> {
        let descriptor =
            pidfd_getfd(&self.pidfd, LISTENER_DESCRIPTOR, PidfdGetfdFlags::empty()).ok()?;
        let listener = TcpListener::from(descriptor);
        SockRef::from(&listener).is_listener().ok().filter(|is_listener| *is_listener)?;
        Some(listener)
    }

    /// Whether it has ended; a zombie has.
    pub fn has_ended(&self) -> bool {
        is_readable(&self.pidfd)
    }

    /// Sends a signal. Without effect once the process has ended.
    pub fn signal(&self, signal: Signal) {
        let _ = pidfd_send_signal(&self.pidfd, signal);
    }

    /// Waits for a child, whose error stream is a pipe, to end.
    ///
    /// # Errors
    ///
    /// When its status is not 0, with what it wrote to its error stream.
    pub fn wait_for_success(&mut self) -> Result<(), ChildError> {
        let Some(mut child) = self.child.take() else { return Ok(()) };
        let status = child.wait().map_err(ChildError::Wait)?;
        if status.success() {
            return Ok(());
        }
        let mut output = String::new();
        if let Some(stream) = child.stderr.take() {
            let _ = stream.take(MAX_ERROR_OUTPUT_BYTES).read_to_string(&mut output);
        }
        match output.trim() {
            "" => Err(ChildError::Status(status)),
            message => Err(ChildError::Reported(message.to_owned())),
        }
    }

    /// Reaps a process that has ended.
    pub fn reap(&mut self) -> ExitReport {
        let child = self.child.as_mut();
        let Some(status) = child.and_then(|child| child.try_wait().ok().flatten()) else {
            return ExitReport::Unknown;
        };
        match (status.code(), status.signal()) {
            (Some(code), _) => ExitReport::Status(code),
            (None, Some(signal)) => ExitReport::Signal(signal),
            (None, None) => ExitReport::Unknown,
        }
    }
}

/// For each of these processes, in their order, whether it has ended.
pub fn poll_ended<'a>(processes: impl Iterator<Item = &'a Process>) -> Vec<bool> {
    let mut descriptors: Vec<PollFd<'_>> =
        processes.map(|process| PollFd::new(&process.pidfd, PollFlags::IN)).collect();
    let polled = poll(&mut descriptors, Some(&NO_WAIT));
    descriptors
        .iter()
        .map(|descriptor| polled.is_ok() && !descriptor.revents().is_empty())
        .collect()
}

fn open_pidfd(pid: u32) -> io::Result<OwnedFd> {
    let pid = i32::try_from(pid).ok().and_then(Pid::from_raw);
    let pid = pid.ok_or_else(|| io::Error::from(io::ErrorKind::InvalidInput))?;
    Ok(pidfd_open(pid, PidfdFlags::NONBLOCK)?)
}

/// Whether a descriptor can be read without waiting, or its other end is closed.
pub fn is_readable(descriptor: &impl AsFd) -> bool {
    let mut descriptors = [PollFd::new(descriptor, PollFlags::IN)];
    poll(&mut descriptors, Some(&NO_WAIT)).is_ok_and(|ready| ready > 0)
}

/// The running instances of a state directory, whoever started them.
pub fn find_instances(state_directory: &Path) -> Vec<(InstanceMark, Process)> {
    let Ok(entries) = fs::read_dir("/proc") else { return Vec::new() };
    let own_user = rustix::process::getuid().as_raw();
    let own = entries.flatten().filter(|entry| entry.metadata().is_ok_and(|m| m.uid() == own_user));
    own.filter_map(|entry| find_instance(&entry, state_directory)).collect()
}

/// The instance whose folder in `/proc` this is, if it is one.
///
/// A pid can be given to another process at any moment. The pidfd is opened first: if its process
/// still runs after the environment was read, the environment was that process's.
fn find_instance(entry: &fs::DirEntry, state_directory: &Path) -> Option<(InstanceMark, Process)> {
    let pid = entry.file_name().to_str()?.parse::<u32>().ok()?;
    let pidfd = open_pidfd(pid).ok()?;
    let environment = fs::read(entry.path().join("environ")).ok()?;
    if is_readable(&pidfd) {
        return None;
    }
    let mark = environment.split(|byte| *byte == 0).find_map(|variable| {
        let (name, value) = std::str::from_utf8(variable).ok()?.split_once('=')?;
        let is_mark = name == MARK_VARIABLE || name == FORMER_MARK_VARIABLE;
        if is_mark { InstanceMark::decode(value, state_directory) } else { None }
    });
    Some((mark?, Process { pid, pidfd, child: None }))
}
