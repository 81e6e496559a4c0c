//! Processes: started, found again, watched and signalled. Each is held by a pidfd, so that a pid
//! that another process has by now is never mistaken for it.

use std::fs;
use std::io::{self, Read};
use std::net::TcpListener;
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::fs::MetadataExt;
use std::os::unix::process::{CommandExt, ExitStatusExt};
use std::path::Path;
use std::process::{Child, Command, Stdio};

use rustix::event::{PollFd, PollFlags, poll};
use rustix::process::{
    Pid, PidfdFlags, PidfdGetfdFlags, Signal, pidfd_getfd, pidfd_open, pidfd_send_signal,
};
use socket2::SockRef;

/// The descriptor by which instances know their listener: the first of `LISTEN_FDS`.
const LISTENER: i32 = 3;
/// What is read of a child's last words.
const LONGEST_WORD: u64 = 4 << 10;
/// What instances carry in their environment: `state folder|slot|generation|program`.
const MARK: &str = "LB_FLEET";
/// The former name of [`MARK`]. Instances carry both, and are found by either, so that daemons of
/// either version adopt what the other one started.
const FORMER_MARK: &str = "PLANKVALE_FLEET";

/// One process.
pub struct Process {
    /// Its pid; not to be signalled by.
    pub pid: u32,
    pidfd: OwnedFd,
    /// Only if it is a child of this daemon.
    child: Option<Child>,
}

/// Who an instance is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Mark {
    /// Its slot.
    pub slot: String,
    /// What it was started with.
    pub generation: u64,
    /// The number of its program.
    pub program: u64,
}

impl Mark {
    fn text(&self, folder: &Path) -> String {
        format!("{}|{}|{}|{}", folder.display(), self.slot, self.generation, self.program)
    }

    fn of(text: &str, folder: &Path) -> Option<Mark> {
        let rest = text.strip_prefix(folder.to_str()?)?.strip_prefix('|')?;
        let mut parts = rest.rsplitn(3, '|');
        let program = parts.next()?.parse().ok()?;
        let generation = parts.next()?.parse().ok()?;
        Some(Mark { slot: parts.next()?.to_owned(), generation, program })
    }
}

/// What a process is started with.
pub struct Start<'a> {
    /// The folder of the daemon's state.
    pub folder: &'a Path,
    /// Who it is.
    pub mark: Mark,
    /// The program.
    pub program: &'a Path,
    /// The file of its configuration.
    pub configuration: &'a Path,
    /// Where its reports go.
    pub reports: &'a Path,
    /// Its listener.
    pub listener: OwnedFd,
    /// What makes it log like the daemon.
    pub log: &'a [(&'static str, String)],
}

impl Process {
    /// Starts an instance.
    ///
    /// It gets the listener as descriptor 3 and is told so by `LISTEN_FDS`. `LISTEN_PID` has to be
    /// its own pid, which is known only once it is there, so a shell sets it and then becomes the
    /// program; the pid stays. Everything else that this daemon holds is closed on exec.
    ///
    /// # Errors
    ///
    /// When the system has no room for a process, or there is no shell.
    pub fn start(start: Start<'_>) -> io::Result<Process> {
        let mut command = Command::new("/bin/sh");
        command
            .args(["-c", "exec 3<&0 0</dev/null; LISTEN_PID=$$ exec \"$0\""])
            .arg(start.program)
            .env_clear()
            .env("LB_CONFIG", start.configuration)
            .env("NOTIFY_SOCKET", start.reports)
            .env("LISTEN_FDS", "1")
            .env("LISTEN_FDNAMES", "clients")
            .envs(start.log.iter().map(|(name, value)| (*name, value)))
            .env(MARK, start.mark.text(start.folder))
            .env(FORMER_MARK, start.mark.text(start.folder))
            .stdin(start.listener)
            .stdout(Stdio::null())
            // A terminal's signals are for the daemon alone.
            .process_group(0);
        if let Some(path) = std::env::var_os("PATH") {
            command.env("PATH", path);
        }
        Process::of_child(command.spawn()?)
    }

    /// Holds a child.
    ///
    /// # Errors
    ///
    /// When the system has no descriptor left; the child is killed.
    pub fn of_child(mut child: Child) -> io::Result<Process> {
        let pid = child.id();
        match open(pid) {
            Ok(pidfd) => Ok(Process { pid, pidfd, child: Some(child) }),
            Err(e) => {
                let _ = child.kill();
                let _ = child.wait();
                Err(e)
            }
        }
    }

    /// A copy of its listener, if the system lets one process take another's descriptors
    /// (pidfd_getfd(2) asks for the right to trace it, which many hosts deny).
    pub fn listener(&self) -> Option<TcpListener> {
        let fd = pidfd_getfd(&self.pidfd, LISTENER, PidfdGetfdFlags::empty()).ok()?;
        let listener = TcpListener::from(fd);
        SockRef::from(&listener).is_listener().ok().filter(|is| *is)?;
        Some(listener)
    }

    /// Whether it has ended, a zombie included.
    pub fn ended(&self) -> bool {
        readable(&self.pidfd)
    }

    /// Sends a signal; to one that has ended it is none.
    pub fn signal(&self, signal: Signal) {
        let _ = pidfd_send_signal(&self.pidfd, signal);
    }

    /// The outcome of a child that has ended: an error with what it wrote to its error stream,
    /// unless its status is 0.
    ///
    /// # Errors
    ///
    /// What it said, or how it ended.
    pub fn checked(&mut self) -> Result<(), String> {
        let Some(mut child) = self.child.take() else { return Ok(()) };
        let status = child.wait().map_err(|e| e.to_string())?;
        if status.success() {
            return Ok(());
        }
        let mut said = String::new();
        if let Some(from) = child.stderr.take() {
            let _ = from.take(LONGEST_WORD).read_to_string(&mut said);
        }
        let said = said.trim();
        Err(if said.is_empty() { format!("the check {status}") } else { said.to_owned() })
    }

    /// Reaps it, and tells how it ended, as far as that is known.
    pub fn reap(&mut self) -> String {
        let status = self.child.as_mut().and_then(|c| c.try_wait().ok().flatten());
        match status {
            None => "ended".to_owned(),
            Some(s) => match (s.code(), s.signal()) {
                (Some(code), _) => format!("ended with status {code}"),
                (None, Some(signal)) => format!("ended by signal {signal}"),
                (None, None) => "ended".to_owned(),
            },
        }
    }
}

/// Which of these processes have ended, in their order.
pub fn ended<'a>(processes: impl Iterator<Item = &'a Process>) -> Vec<bool> {
    let mut fds: Vec<PollFd<'_>> =
        processes.map(|p| PollFd::new(&p.pidfd, PollFlags::IN)).collect();
    let now = rustix::event::Timespec { tv_sec: 0, tv_nsec: 0 };
    let polled = poll(&mut fds, Some(&now));
    fds.iter().map(|fd| polled.is_ok() && !fd.revents().is_empty()).collect()
}

fn open(pid: u32) -> io::Result<OwnedFd> {
    let pid = i32::try_from(pid).ok().and_then(Pid::from_raw);
    let pid = pid.ok_or_else(|| io::Error::from(io::ErrorKind::InvalidInput))?;
    Ok(pidfd_open(pid, PidfdFlags::NONBLOCK)?)
}

/// Whether there is something to be read, or an end.
pub fn readable(fd: &impl AsFd) -> bool {
    let now = rustix::event::Timespec { tv_sec: 0, tv_nsec: 0 };
    let mut fds = [PollFd::new(fd, PollFlags::IN)];
    poll(&mut fds, Some(&now)).is_ok_and(|n| n > 0)
}

/// The instances that run on behalf of the state in `folder`, whoever started them.
///
/// Danger: a pid can change hands at any moment. The pidfd is opened first; if its process still
/// runs after the environment was read, the environment was that process's.
pub fn find(folder: &Path) -> Vec<(Mark, Process)> {
    let Ok(all) = fs::read_dir("/proc") else { return Vec::new() };
    let own = rustix::process::getuid().as_raw();
    let mut found = Vec::new();
    for entry in all.flatten() {
        let pid = entry.file_name().to_str().and_then(|n| n.parse::<u32>().ok());
        let Some(pid) = pid else { continue };
        if !entry.metadata().is_ok_and(|m| m.uid() == own) {
            continue;
        }
        let Ok(pidfd) = open(pid) else { continue };
        let Ok(environment) = fs::read(entry.path().join("environ")) else { continue };
        if readable(&pidfd) {
            continue;
        }
        let mark = environment.split(|b| *b == 0).find_map(|pair| {
            let (name, value) = std::str::from_utf8(pair).ok()?.split_once('=')?;
            let ours = name == MARK || name == FORMER_MARK;
            ours.then(|| Mark::of(value, folder)).flatten()
        });
        if let Some(mark) = mark {
            found.push((mark, Process { pid, pidfd, child: None }));
        }
    }
    found
}

#[cfg(test)]
mod tests {
    use super::*;
    use fakes::program::Folder;
    use fakes::until;

    fn sleeper(folder: &Path, variable: &str, mark: &Mark) -> Child {
        let mut command = Command::new("sleep");
        command.arg("600").env(variable, mark.text(folder));
        command.spawn().expect("it starts")
    }

    #[test]
    fn instance_started_by_an_earlier_daemon_is_found_by_its_former_mark() {
        let folder = Folder::new("find-former");
        let mark = Mark { slot: "a-1".into(), generation: 1, program: 1 };
        let mut child = sleeper(folder.path(), FORMER_MARK, &mark);
        until("it is found", || find(folder.path()).len() == 1);
        assert_eq!(find(folder.path())[0].0, mark);
        child.kill().expect("a child of ours");
        child.wait().expect("a child of ours");
    }

    #[test]
    fn an_instance_is_found_by_its_mark_and_a_dead_one_is_not() {
        let (folder, other) = (Folder::new("find"), Folder::new("find"));
        let mark = Mark { slot: "a|b-1".into(), generation: 3, program: 2 };
        let mut child = sleeper(folder.path(), MARK, &mark);
        until("it is found", || find(folder.path()).len() == 1);
        assert!(find(other.path()).is_empty());
        let (found, process) = find(folder.path()).remove(0);
        assert_eq!((&found, process.pid), (&mark, child.id()));
        process.signal(Signal::KILL);
        until("its end shows", || process.ended());
        // Nobody has reaped it: a zombie has ended.
        assert!(find(folder.path()).is_empty());
        child.wait().expect("a child of ours");
    }

    #[test]
    fn how_a_child_ended_is_told() {
        let child = Command::new("sh").args(["-c", "exit 7"]).spawn().expect("it starts");
        let mut process = Process::of_child(child).expect("held");
        until("it ends", || process.ended());
        assert_eq!(process.reap(), "ended with status 7");
    }
}
