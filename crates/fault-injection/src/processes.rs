//! The sidecars' processes: started, stopped for a while, starved, ended and started again, each by its own id.
//! They end with the process that has started them, whatever becomes of that.

use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use rustix::process::{Pid, Signal, WaitId, WaitIdOptions, kill_process, waitid};

/// How long a starved process runs and rests, together.
const TURN: Duration = Duration::from_millis(20);

/// Starts processes, all from one thread that lives as long as its handle: what they end with is that thread.
pub struct Starter {
    guard: PathBuf,
    jobs: mpsc::Sender<(Command, mpsc::SyncSender<io::Result<Child>>)>,
}

impl Starter {
    /// `guard` is the program `lb-process-guard`.
    pub fn new(guard: PathBuf) -> Starter {
        let (jobs, coming) = mpsc::channel::<(Command, mpsc::SyncSender<io::Result<Child>>)>();
        thread::spawn(move || {
            for (mut command, done) in coming {
                let _ = done.send(command.spawn());
            }
        });
        Starter { guard, jobs }
    }

    fn start(
        &self,
        program: &Path,
        env: &BTreeMap<&str, PathBuf>,
        log: &Path,
    ) -> io::Result<Child> {
        let log = std::fs::File::options().create(true).append(true).open(log)?;
        let mut command = Command::new(&self.guard);
        command.arg(std::process::id().to_string()).arg(program);
        command.envs(env).env_remove("NOTIFY_SOCKET").env_remove("LB_LISTEN").env_remove("LB_NAME");
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        let (done, started) = mpsc::sync_channel(1);
        let gone = || io::Error::other("the thread that starts processes is gone");
        self.jobs.send((command, done)).map_err(|_| gone())?;
        started.recv().map_err(|_| gone())?
    }
}

/// A sidecar's process, while there is one.
pub struct Process {
    child: Option<Child>,
    starving: Option<Starving>,
    /// The folder of its own.
    folder: PathBuf,
}

struct Starving {
    /// Dropped: it is let go on.
    _end: mpsc::Sender<()>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Process {
    /// One that is not started; `folder` is its own.
    pub fn new(folder: PathBuf) -> Process {
        Process { child: None, starving: None, folder }
    }

    /// Where its configuration lies.
    pub fn configuration(&self) -> PathBuf {
        self.folder.join("config.json")
    }

    /// Starts it. With `empty`, what an earlier one of its name has kept is gone.
    ///
    /// # Errors
    ///
    /// What the system has refused, or that it runs.
    pub fn start(&mut self, starter: &Starter, program: &Path, empty: bool) -> io::Result<()> {
        if self.id().is_some() {
            return Err(io::Error::other("it runs"));
        }
        let kept = self.folder.join("tmp");
        if empty {
            let _ = std::fs::remove_dir_all(&kept);
        }
        std::fs::create_dir_all(&kept)?;
        let env = BTreeMap::from([("LB_CONFIG", self.configuration()), ("TMPDIR", kept)]);
        self.child = Some(starter.start(program, &env, &self.folder.join("log"))?);
        Ok(())
    }

    /// Its id, while it runs.
    ///
    /// Danger: an id belongs to somebody else once its process was waited for. That is done in `kill` alone.
    pub fn id(&self) -> Option<u32> {
        let id = self.child.as_ref()?.id();
        let pid = Pid::from_raw(id.try_into().ok()?)?;
        let how = WaitIdOptions::EXITED | WaitIdOptions::NOHANG | WaitIdOptions::NOWAIT;
        matches!(waitid(WaitId::Pid(pid), how), Ok(None)).then_some(id)
    }

    /// Sends it a signal, if it runs.
    pub fn signal(&self, signal: Signal) {
        if let Some(id) = self.id() {
            send(id, signal);
        }
    }

    /// Ends it at once.
    pub fn kill(&mut self) {
        self.feed();
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether it was started, not killed, and has ended all the same.
    pub fn has_ended(&self) -> bool {
        self.child.is_some() && self.id().is_none()
    }

    /// From now on it runs for this share of the time.
    pub fn starve(&mut self, share: f64) {
        self.feed();
        let Some(id) = self.id() else { return };
        let (end, ended) = mpsc::channel::<()>();
        let runs = TURN.mul_f64(share.clamp(0.05, 1.0));
        let thread = thread::spawn(move || {
            let over =
                |pause| ended.recv_timeout(pause) == Err(mpsc::RecvTimeoutError::Disconnected);
            loop {
                send(id, Signal::STOP);
                let last = over(TURN.saturating_sub(runs));
                send(id, Signal::CONT);
                if last || over(runs) {
                    return;
                }
            }
        });
        self.starving = Some(Starving { _end: end, thread: Some(thread) });
    }

    /// It runs as it can again.
    pub fn feed(&mut self) {
        if let Some(Starving { _end, thread }) = self.starving.take() {
            drop(_end);
            let _ = thread.map(thread::JoinHandle::join);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

fn send(id: u32, signal: Signal) {
    if let Some(pid) = i32::try_from(id).ok().and_then(Pid::from_raw) {
        let _ = kill_process(pid, signal);
    }
}

/// A loopback address that no other process's trials use: process ids have 22 bits at the most.
pub fn own_address() -> IpAddr {
    let [_, a, b, c] = (std::process::id() % (1 << 22)).to_be_bytes();
    IpAddr::from([127, 64 + a, b, c])
}

/// A port that listens and takes datagrams, free until a process takes it.
pub struct Reserved {
    /// Where.
    pub at: SocketAddr,
    _sockets: (TcpListener, UdpSocket),
}

impl Reserved {
    /// One at this address.
    ///
    /// # Errors
    ///
    /// When none is free.
    pub fn new(ip: IpAddr) -> io::Result<Reserved> {
        let mut tries = 0;
        loop {
            let tcp = TcpListener::bind((ip, 0))?;
            let at = tcp.local_addr()?;
            match UdpSocket::bind(at) {
                Ok(udp) => return Ok(Reserved { at, _sockets: (tcp, udp) }),
                Err(error) if tries > 16 => return Err(error),
                Err(_) => tries += 1,
            }
        }
    }
}
