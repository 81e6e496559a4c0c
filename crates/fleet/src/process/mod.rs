//! Starts, finds, observes and signals processes. Each is referred to by a pidfd, so that another
//! process that is given the same pid later is never mistaken for it.

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
/// The most bytes read of the standard error of a failed child.
const MAX_ERROR_OUTPUT_BYTES: u64 = 4 << 10;
/// The environment variable that identifies an instance: `state directory|slot|generation|program`.
const IDENTITY_VARIABLE: &str = "LB_FLEET";
/// The name of [`IDENTITY_VARIABLE`] in earlier versions. Instances have both variables and are found by
/// either, so that daemons of either version adopt the instances that the other one started.
const LEGACY_IDENTITY_VARIABLE: &str = "PLANKVALE_FLEET";
/// Moves the listener from standard input to the first descriptor of `LISTEN_FDS`. `LISTEN_PID` must be
/// the pid of the instance, which is known only in the child: the shell sets it and then executes the
/// program in its place.
const START_SCRIPT: &str = "exec 3<&0 0</dev/null; LISTEN_PID=$$ exec \"$0\"";
/// A timeout of zero for poll(2), which then returns at once.
const NO_WAIT: Timespec = Timespec { tv_sec: 0, tv_nsec: 0 };

/// A process that is observed and signalled through a pidfd.
pub struct Process {
    /// The pid, for logs and the status. Signals are sent by the pidfd.
    pub pid: u32,
    pidfd: OwnedFd,
    /// The child, or `None` if another daemon started the process or its exit was waited for.
    child: Option<Child>,
}

/// The identity of an instance's process. It is passed in the environment, where later daemons find it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceIdentity {
    /// The slot that the process serves.
    pub slot: String,
    /// The generation that the process was started with.
    pub generation: Generation,
    /// The copy of the program that the process runs.
    pub program_id: ProgramId,
}

impl InstanceIdentity {
    fn encode(&self, state_directory: &Path) -> String {
        let directory = state_directory.display();
        format!("{directory}|{}|{}|{}", self.slot, self.generation, self.program_id)
    }

    /// Parses an identity. Returns `None` if it is malformed or belongs to another state directory.
    fn decode(text: &str, state_directory: &Path) -> Option<InstanceIdentity> {
        let rest = text.strip_prefix(state_directory.to_str()?)?.strip_prefix('|')?;
        let mut parts = rest.rsplitn(3, '|');
        let program_id = parts.next()?.parse().ok()?;
        let generation = parts.next()?.parse().ok()?;
        Some(InstanceIdentity { slot: parts.next()?.to_owned(), generation, program_id })
    }
}

/// The parameters of the start of an instance.
pub struct StartOptions<'a> {
    /// The state directory of the daemon.
    pub state_directory: &'a Path,
    /// The identity of the process.
    pub identity: InstanceIdentity,
    /// The program to execute.
    pub program: &'a Path,
    /// The configuration file of the instance.
    pub configuration: &'a Path,
    /// The socket to which the instance sends its status.
    pub status_socket: &'a Path,
    /// The listener on which the instance accepts.
    pub listener: OwnedFd,
    /// Environment variables that make the instance log like the daemon.
    pub log_environment: &'a [(&'static str, String)],
}

/// The failure of a child.
#[derive(Debug, Error)]
pub enum ChildError {
    /// Waiting for the child failed, so its exit status is not known.
    #[error("{0}")]
    Wait(#[source] io::Error),
    /// The child failed and wrote this message to its standard error.
    #[error("{0}")]
    Reported(String),
    /// The child failed and wrote no message.
    #[error("the check failed with {0}")]
    Status(ExitStatus),
}

/// The exit of a process. Only its parent gets the status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitReport {
    /// It exited with this status.
    Status(i32),
    /// It was terminated by this signal.
    Signal(i32),
    /// It ended, and its status is not known.
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
    /// Starts an instance. It inherits no descriptor of the daemon but the listener and the standard
    /// error.
    ///
    /// # Errors
    ///
    /// When the system cannot start a process, or there is no shell.
    pub fn start(options: StartOptions<'_>) -> io::Result<Process> {
        let identity = options.identity.encode(options.state_directory);
        let mut command = Command::new("/bin/sh");
        command
            .args(["-c", START_SCRIPT])
            .arg(options.program)
            .env_clear()
            .env("LB_CONFIG", options.configuration)
            .env("NOTIFY_SOCKET", options.status_socket)
            .env("LISTEN_FDS", "1")
            .env("LISTEN_FDNAMES", "clients")
            // What a process and its successor share.
            .env("TMPDIR", options.state_directory)
            .envs(options.log_environment.iter().map(|(name, value)| (*name, value)))
            .env(IDENTITY_VARIABLE, &identity)
            .env(LEGACY_IDENTITY_VARIABLE, &identity)
            .stdin(options.listener)
            .stdout(Stdio::null())
            // Signals from a terminal, such as SIGINT, reach the daemon alone.
            .process_group(0);
        if let Some(path) = std::env::var_os("PATH") {
            command.env("PATH", path);
        }
        Process::from_child(command.spawn()?)
    }

    /// Takes over a child that was just started.
    ///
    /// # Errors
    ///
    /// When no pidfd can be opened, for example for lack of descriptors. The child is killed.
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

    /// Returns a copy of the listener of an instance, or `None` if the system does not permit it:
    /// pidfd_getfd(2) requires the permission to trace the process, which many hosts deny.
    pub fn listener(&self) -> Option<TcpListener> {
        let descriptor =
            pidfd_getfd(&self.pidfd, LISTENER_DESCRIPTOR, PidfdGetfdFlags::empty()).ok()?;
        let listener = TcpListener::from(descriptor);
        SockRef::from(&listener).is_listener().ok().filter(|is_listener| *is_listener)?;
        Some(listener)
    }

    /// Whether the process has ended. A zombie counts as ended.
    pub fn has_ended(&self) -> bool {
        is_readable(&self.pidfd)
    }

    /// Sends a signal. It has no effect once the process has ended.
    pub fn signal(&self, signal: Signal) {
        let _ = pidfd_send_signal(&self.pidfd, signal);
    }

    /// Waits for a child to exit. Its standard error must be a pipe.
    ///
    /// # Errors
    ///
    /// When its exit status is not 0. The error has what the child wrote to its standard error.
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

    /// Reaps a process that has ended, and returns its exit status if it was a child.
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

/// Returns for each process, in the same order, whether it has ended.
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

/// Whether a read from a descriptor would not block: there is data, or the other end is closed.
pub fn is_readable(descriptor: &impl AsFd) -> bool {
    let mut descriptors = [PollFd::new(descriptor, PollFlags::IN)];
    poll(&mut descriptors, Some(&NO_WAIT)).is_ok_and(|ready| ready > 0)
}

/// Finds the running instances of a state directory, whichever daemon started them.
pub fn find_instances(state_directory: &Path) -> Vec<(InstanceIdentity, Process)> {
    let Ok(entries) = fs::read_dir("/proc") else { return Vec::new() };
    let own_user = rustix::process::getuid().as_raw();
    let own = entries.flatten().filter(|entry| entry.metadata().is_ok_and(|m| m.uid() == own_user));
    own.filter_map(|entry| find_instance(&entry, state_directory)).collect()
}

/// Returns the instance that a directory in `/proc` belongs to, or `None` if it is not an instance.
///
/// A pid can be reused at any moment. The pidfd is therefore opened first: if its process still runs
/// after the environment was read, the environment belongs to that process.
fn find_instance(
    entry: &fs::DirEntry,
    state_directory: &Path,
) -> Option<(InstanceIdentity, Process)> {
    let pid = entry.file_name().to_str()?.parse::<u32>().ok()?;
    let pidfd = open_pidfd(pid).ok()?;
    let environment = fs::read(entry.path().join("environ")).ok()?;
    if is_readable(&pidfd) {
        return None;
    }
    let identity = environment.split(|byte| *byte == 0).find_map(|variable| {
        let (name, value) = std::str::from_utf8(variable).ok()?.split_once('=')?;
        let is_identity = name == IDENTITY_VARIABLE || name == LEGACY_IDENTITY_VARIABLE;
        if is_identity { InstanceIdentity::decode(value, state_directory) } else { None }
    });
    Some((identity?, Process { pid, pidfd, child: None }))
}
