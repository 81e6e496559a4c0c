//! Starts, pauses, throttles, terminates and restarts the sidecars' processes, each by its own process id.
//!
//! They end together with the process that started them, however that one ends.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::{IpAddr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Mutex, PoisonError, mpsc};
use std::thread;
use std::time::Duration;

use fakes::faulty_calls::{self, FaultRates};
use rustix::process::{Pid, Signal, WaitId, WaitIdOptions, kill_process, waitid};

/// The period within which a throttled process runs once and is paused once.
const THROTTLE_PERIOD: Duration = Duration::from_millis(20);
/// The minimum share of the time for which a throttled process runs.
const MIN_THROTTLE_SHARE: f64 = 0.05;
/// The maximum number of retries to find a port that is free for both TCP and UDP.
const MAX_PORT_RETRIES: usize = 17;

struct SpawnRequest {
    command: Command,
    spawned: mpsc::SyncSender<io::Result<Child>>,
}

/// Spawns processes from a single thread that lives as long as this handle. The guard program ties a process to the
/// lifetime of the thread that spawned it, so that thread must not be short-lived.
pub struct ProcessSpawner {
    guard: PathBuf,
    requests: mpsc::Sender<SpawnRequest>,
}

impl ProcessSpawner {
    /// Creates a spawner that starts every program through the process guard at this path.
    pub fn new(guard: PathBuf) -> ProcessSpawner {
        let (requests, received) = mpsc::channel::<SpawnRequest>();
        thread::spawn(move || {
            for SpawnRequest { mut command, spawned } in received {
                let _ = spawned.send(command.spawn());
            }
        });
        ProcessSpawner { guard, requests }
    }

    fn spawn(
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
        let (spawned, answer) = mpsc::sync_channel(1);
        let thread_ended = || io::Error::other("the thread that spawns processes has ended");
        self.requests.send(SpawnRequest { command, spawned }).map_err(|_| thread_ended())?;
        answer.recv().map_err(|_| thread_ended())?
    }
}

/// The process of a sidecar, which may not be running. Dropping it kills the process.
pub struct Process {
    child: Option<Child>,
    throttle: Option<Throttle>,
    directory: PathBuf,
    /// The failure rates of its system calls. `None` if no faults are injected.
    system_calls: Option<FaultRates>,
}

struct Throttle {
    /// Dropping it ends the thread, which resumes the process first.
    stop: mpsc::Sender<()>,
    thread: thread::JoinHandle<()>,
}

impl Process {
    /// Creates a process that is not started yet. `directory` holds its configuration, log and state, and must not be
    /// shared with others.
    pub fn new(directory: PathBuf) -> Process {
        Process { child: None, throttle: None, directory, system_calls: None }
    }

    /// Makes its system calls fail at these rates from its next start on.
    #[must_use]
    pub fn with_system_calls(mut self, system_calls: Option<FaultRates>) -> Process {
        self.system_calls = system_calls;
        self
    }

    /// Sets its wall clock ahead by a number of seconds. Has no effect without faulty system calls.
    ///
    /// # Errors
    ///
    /// When the file with the offset cannot be written.
    pub fn step_clock(&self, seconds: i64) -> io::Result<()> {
        let new = self.directory.join("clock.new");
        std::fs::write(&new, seconds.to_string())?;
        std::fs::rename(new, self.clock_path())
    }

    fn clock_path(&self) -> PathBuf {
        self.directory.join("clock")
    }

    /// Returns the path of its log.
    pub fn log_path(&self) -> PathBuf {
        self.directory.join("log")
    }

    /// Returns the path of its configuration file.
    pub fn configuration_path(&self) -> PathBuf {
        self.directory.join("config.json")
    }

    /// Starts the process. `discard_state` deletes the state that an earlier process in its directory has stored.
    ///
    /// # Errors
    ///
    /// When it is already running, or the system cannot start it.
    pub fn start(
        &mut self,
        spawner: &ProcessSpawner,
        program: &Path,
        discard_state: bool,
    ) -> io::Result<()> {
        if self.id().is_some() {
            return Err(io::Error::other("the process is already running"));
        }
        let state = self.directory.join("tmp");
        if discard_state {
            let _ = std::fs::remove_dir_all(&state);
        }
        std::fs::create_dir_all(&state)?;
        let mut env = BTreeMap::from([("LB_CONFIG", self.configuration_path()), ("TMPDIR", state)]);
        if let Some(rates) = self.system_calls {
            let faulty = faulty_calls::environment(rates, Some(&self.clock_path()));
            env.extend(faulty.map_err(io::Error::other)?);
        }
        self.child = Some(spawner.spawn(program, &env, &self.log_path())?);
        Ok(())
    }

    /// Returns its process id, or `None` if it is not running.
    ///
    /// The system may reuse the id once the process has been waited for, so only `kill` waits for it.
    pub fn id(&self) -> Option<u32> {
        let id = self.child.as_ref()?.id();
        let pid = Pid::from_raw(id.try_into().ok()?)?;
        let options = WaitIdOptions::EXITED | WaitIdOptions::NOHANG | WaitIdOptions::NOWAIT;
        matches!(waitid(WaitId::Pid(pid), options), Ok(None)).then_some(id)
    }

    /// Sends it a signal, if it is running.
    pub fn signal(&self, signal: Signal) {
        if let Some(id) = self.id() {
            send_signal(id, signal);
        }
    }

    /// Kills it and waits for its end. Returns its exit status if it had exited before.
    pub fn kill(&mut self) -> Option<ExitStatus> {
        self.unthrottle();
        let exited = self.has_exited();
        let mut child = self.child.take()?;
        let _ = child.kill();
        child.wait().ok().filter(|_| exited)
    }

    /// Returns the number of its open descriptors, and its resident memory in KiB. `None` if it is not running.
    pub fn descriptors_and_memory(&self) -> Option<(u64, u64)> {
        let process = PathBuf::from(format!("/proc/{}", self.id()?));
        let descriptors = std::fs::read_dir(process.join("fd")).ok()?.count();
        let status = std::fs::read_to_string(process.join("status")).ok()?;
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        let memory_kib = resident.trim().trim_end_matches(" kB").parse().ok()?;
        Some((descriptors as u64, memory_kib))
    }

    /// Returns whether it was started and has exited without being killed through this handle.
    pub fn has_exited(&self) -> bool {
        self.child.is_some() && self.id().is_none()
    }

    /// Makes it run for this share of the time only, by pausing and resuming it.
    pub fn throttle(&mut self, share: f64) {
        self.unthrottle();
        let Some(id) = self.id() else { return };
        let (stop, stopped) = mpsc::channel::<()>();
        let running = THROTTLE_PERIOD.mul_f64(share.clamp(MIN_THROTTLE_SHARE, 1.0));
        let thread = thread::spawn(move || {
            let stopped_within =
                |pause| stopped.recv_timeout(pause) == Err(mpsc::RecvTimeoutError::Disconnected);
            loop {
                send_signal(id, Signal::STOP);
                let last = stopped_within(THROTTLE_PERIOD.saturating_sub(running));
                send_signal(id, Signal::CONT);
                if last || stopped_within(running) {
                    return;
                }
            }
        });
        self.throttle = Some(Throttle { stop, thread });
    }

    /// Lets it run all the time again.
    pub fn unthrottle(&mut self) {
        if let Some(Throttle { stop, thread }) = self.throttle.take() {
            drop(stop);
            let _ = thread.join();
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

fn send_signal(id: u32, signal: Signal) {
    if let Some(pid) = i32::try_from(id).ok().and_then(Pid::from_raw) {
        let _ = kill_process(pid, signal);
    }
}

/// Returns a loopback address that is unique to this process: it contains the process id, which has at most 22 bits.
pub fn unique_loopback_address() -> IpAddr {
    let [_, a, b, c] = (std::process::id() % (1 << 22)).to_be_bytes();
    IpAddr::from([127, 64 + a, b, c])
}

/// The ports that this process has reserved so far. A released port must not be reserved again, because the process
/// that it was reserved for is about to use it.
static RESERVED: Mutex<BTreeSet<SocketAddr>> = Mutex::new(BTreeSet::new());

/// A port that is bound for TCP and UDP while this handle lives, and never reserved twice.
pub struct ReservedPort {
    /// The reserved address.
    pub address: SocketAddr,
    _sockets: (TcpListener, UdpSocket),
}

impl ReservedPort {
    /// Reserves a port at this address.
    ///
    /// # Errors
    ///
    /// When no port is free.
    pub fn new(ip: IpAddr) -> io::Result<ReservedPort> {
        let mut retries = 0;
        loop {
            let tcp = TcpListener::bind((ip, 0))?;
            let address = tcp.local_addr()?;
            let mut reserved = RESERVED.lock().unwrap_or_else(PoisonError::into_inner);
            match UdpSocket::bind(address) {
                Ok(udp) if reserved.insert(address) => {
                    return Ok(ReservedPort { address, _sockets: (tcp, udp) });
                }
                Err(error) if retries >= MAX_PORT_RETRIES => return Err(error),
                Ok(_) if retries >= MAX_PORT_RETRIES => return Err(io::ErrorKind::AddrInUse.into()),
                Ok(_) | Err(_) => retries += 1,
            }
        }
    }
}
