//! A whole host on loopback sockets: the daemon and its sidecars are the real programs, the log
//! servers of three data centres, discovery and the clients are stand-ins, and the account tells
//! what became of every request. For tests, the demonstration and measurements.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use fakes::account::{Account, Class};
use fakes::clients::{Load, drive};
use fakes::program::{Folder, built};
use fakes::world::{World, ZONES};
use fleet::control::{Request, ask};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// What a host is like.
pub struct Plan {
    /// Instances in all; they are shared out over the data centres.
    pub instances: usize,
    /// Log servers in each data centre.
    pub servers: usize,
    /// The classes.
    pub classes: Vec<Class>,
    /// Lines of `fleet.toml` under `[rollout]`.
    pub rollout: String,
    /// Lines of `fleet.toml` under `[restarts]`.
    pub restarts: String,
    /// For what is drawn.
    pub seed: u64,
    /// The programs' logs go here; none: to the error stream of this process.
    pub log: Option<PathBuf>,
    /// Whether to say what is built, and how far.
    pub progress: bool,
}

impl Default for Plan {
    fn default() -> Plan {
        Plan {
            instances: 6,
            servers: 2,
            classes: fakes::world::classes(1.0),
            rollout: "watch_s = 2.0\nshare = 0.2".to_owned(),
            restarts: String::new(),
            seed: 1,
            log: None,
            progress: false,
        }
    }
}

/// One instance as the daemon tells of it.
#[derive(Clone, Debug)]
pub struct Instance {
    /// Its name.
    pub slot: String,
    /// How it is.
    pub state: String,
    /// Where it listens.
    pub listen: Option<SocketAddr>,
    /// Its process.
    pub pid: Option<u32>,
    /// What it runs.
    pub generation: Option<u64>,
    /// Processes of it.
    pub processes: u64,
    /// What is wrong with it.
    pub why: Option<String>,
}

/// A host with its surroundings. All of it ends with the handle.
pub struct Host {
    folder: Folder,
    /// The surroundings.
    pub world: World,
    plan: Plan,
    daemon: Option<Child>,
    sidecar: PathBuf,
    fleet: PathBuf,
    settings: Mutex<Value>,
    discovery: Mutex<SocketAddr>,
}

/// Clients at work.
pub struct Driving {
    stop: watch::Sender<bool>,
    clients: Vec<JoinHandle<()>>,
}

impl Driving {
    /// Lets what is open come to its end.
    pub fn stop(self) {
        self.stop.send_replace(true);
        fakes::runtime().block_on(async {
            for client in self.clients {
                let _ = client.await;
            }
        });
    }
}

/// Clock ticks a second, as Linux tells them to programs on every machine that it runs on (proc(5)).
const TICKS: f64 = 100.0;

fn text(error: impl std::fmt::Display) -> String {
    error.to_string()
}

impl Host {
    /// Builds what is missing, and starts everything.
    ///
    /// # Errors
    ///
    /// The first thing that could not be done.
    pub fn start(plan: Plan) -> Result<Host, String> {
        let sidecar = built("lb-sidecar", plan.progress).map_err(|e| e.to_string())?;
        let fleet = built("lb-fleet", plan.progress).map_err(|e| e.to_string())?;
        let world = World::start(plan.classes.clone(), plan.servers, plan.seed);
        let world = fakes::runtime().block_on(world).map_err(text)?;
        let settings = Mutex::new(world.settings());
        let folder = Folder::new("host");
        let discovery = Mutex::new(world.registry.at);
        let mut host =
            Host { folder, world, plan, daemon: None, sidecar, fleet, settings, discovery };
        host.write()?;
        host.start_daemon()?;
        Ok(host)
    }

    /// The file of the desired state.
    pub fn file(&self) -> PathBuf {
        self.folder.path().join("fleet.toml")
    }

    /// The folder of the daemon's state.
    pub fn state(&self) -> PathBuf {
        self.folder.path().join("state")
    }

    /// A file of this host's.
    pub fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    /// The sidecar's program.
    pub fn sidecar(&self) -> &Path {
        &self.sidecar
    }

    /// What became of every request.
    pub fn account(&self) -> &Arc<Account> {
        &self.world.account
    }

    /// Changes the settings, and writes the desired state anew. It is not in force before a reload.
    ///
    /// # Errors
    ///
    /// When it cannot be written.
    pub fn change(&self, change: impl FnOnce(&mut Value)) -> Result<(), String> {
        change(&mut self.settings.lock().unwrap_or_else(PoisonError::into_inner));
        self.write()
    }

    /// Points all instances at another discovery. It is not in force before a reload.
    ///
    /// # Errors
    ///
    /// When it cannot be written.
    pub fn move_discovery(&self, to: SocketAddr) -> Result<(), String> {
        *self.discovery.lock().unwrap_or_else(PoisonError::into_inner) = to;
        self.write()
    }

    fn write(&self) -> Result<(), String> {
        let discovery = *self.discovery.lock().unwrap_or_else(PoisonError::into_inner);
        let settings = self.settings.lock().unwrap_or_else(PoisonError::into_inner);
        let (rollout, restarts) = (&self.plan.rollout, &self.plan.restarts);
        let mut toml = format!(
            "program = {:?}\n\n[rollout]\n{rollout}\n\n[restarts]\n{restarts}\n",
            self.sidecar.display().to_string()
        );
        for (n, zone) in ZONES.into_iter().enumerate() {
            let count = (self.plan.instances + ZONES.len() - 1 - n) / ZONES.len();
            let first = n * self.plan.instances;
            let _ = write!(
                toml,
                "\n[[instances]]\nname = \"{zone}\"\ncount = {count}\nlisten = \"127.0.0.1:0\"\n\
                 discovery = \"{discovery}\"\nzone = \"{zone}\"\nfirst = {first}\n\
                 limits = {{ memory_mb = 32, sockets = 256 }}\nsettings = \"settings.json\"\n"
            );
        }
        // Every instance has a number below this one.
        let all = self.plan.instances * ZONES.len();
        let settings = settings.to_string().replacen('{', &format!("{{\"instances\":{all},"), 1);
        std::fs::write(self.path("settings.json"), settings).map_err(text)?;
        std::fs::write(self.file(), toml).map_err(text)
    }

    /// Starts the daemon.
    ///
    /// # Errors
    ///
    /// When the program cannot be run.
    pub fn start_daemon(&mut self) -> Result<(), String> {
        let mut command = self.daemon_command();
        self.daemon = Some(command.spawn().map_err(text)?);
        Ok(())
    }

    /// The command that starts the daemon.
    pub fn daemon_command(&self) -> Command {
        let mut command = Command::new(&self.fleet);
        command.arg("run").arg("--file").arg(self.file()).arg("--state").arg(self.state());
        command.stdin(Stdio::null()).env_remove("NOTIFY_SOCKET");
        let log =
            self.plan.log.as_ref().and_then(|path| {
                std::fs::File::options().create(true).append(true).open(path).ok()
            });
        if let Some(log) = log {
            command.stderr(log);
        }
        command
    }

    /// The daemon's process.
    pub fn daemon(&mut self) -> Option<&mut Child> {
        self.daemon.as_mut()
    }

    /// Kills the daemon with SIGKILL.
    pub fn kill_daemon(&mut self) {
        if let Some(mut daemon) = self.daemon.take() {
            let _ = daemon.kill();
            let _ = daemon.wait();
        }
    }

    /// Sends the daemon a signal.
    pub fn signal_daemon(&self, signal: Signal) {
        if let Some(daemon) = &self.daemon {
            signal_process(daemon.id(), signal);
        }
    }

    /// Asks the daemon.
    ///
    /// # Errors
    ///
    /// What it refuses, or that there is none.
    pub fn ask(&self, request: &Request) -> Result<Value, String> {
        ask(&self.state(), request).map_err(text)
    }

    /// How everything is; null while the daemon is not there.
    pub fn status(&self) -> Value {
        self.ask(&Request::Status).unwrap_or(Value::Null)
    }

    /// All instances.
    pub fn instances(&self) -> Vec<Instance> {
        let status = self.status();
        let slots = status["slots"].as_array().cloned().unwrap_or_default();
        let of = |slot: &Value| Instance {
            slot: slot["slot"].as_str().unwrap_or_default().to_owned(),
            state: slot["state"].as_str().unwrap_or_default().to_owned(),
            listen: slot["listen"].as_str().and_then(|at| at.parse().ok()),
            pid: slot["pid"].as_u64().and_then(|pid| pid.try_into().ok()),
            generation: slot["generation"].as_u64(),
            processes: slot["processes"].as_u64().unwrap_or_default(),
            why: slot["why"].as_str().map(str::to_owned),
        };
        slots.iter().map(of).collect()
    }

    /// Whether all desired instances serve, one process each, on the target, and no rollout runs.
    pub fn settled(&self) -> bool {
        let status = self.status();
        let target = status["target"].as_u64();
        target.is_some()
            && target == status["base"].as_u64()
            && status["checking"] == false
            && status["slots"].as_array().is_some_and(|slots| {
                slots.iter().all(|s| {
                    s["state"] == "drained"
                        || (s["state"] == "serving"
                            && s["processes"] == 1
                            && s["generation"].as_u64() == target)
                })
            })
    }

    /// Waits until all is settled.
    ///
    /// # Errors
    ///
    /// When it takes longer than `patience`: what is missing.
    pub fn wait(&self, patience: Duration) -> Result<(), String> {
        let end = Instant::now() + patience;
        while !self.settled() {
            if Instant::now() > end {
                let off = |i: &Instance| i.state != "serving" || i.processes != 1;
                let mut off: Vec<_> = self.instances().into_iter().filter(off).collect();
                off.truncate(5);
                return Err(format!("not settled within {patience:?}: {off:?}"));
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }

    /// Drives load at every instance that listens.
    pub fn drive(&self, load: &Load) -> Driving {
        let (stop, stopped) = watch::channel(false);
        let mut clients = Vec::new();
        for (n, at) in self.instances().iter().filter_map(|i| i.listen).enumerate() {
            let load = Load { seed: load.seed ^ (n as u64) << 40, ..load.clone() };
            let client = drive(at, self.world.account.clone(), load, stopped.clone());
            clients.push(fakes::runtime().spawn(client));
        }
        Driving { stop, clients }
    }

    /// Kills an instance's process with SIGKILL; what it holds may be lost.
    pub fn kill(&self, instance: &Instance) {
        if let (Some(pid), Some(at)) = (instance.pid, instance.listen) {
            self.world.account.expect_kill(at);
            signal_process(pid, Signal::KILL);
        }
    }

    /// Resident memory, in KiB, and CPU time used, in seconds, of a process.
    pub fn costs(pid: u32) -> Option<(u64, f64)> {
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let resident = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
        let resident = resident.trim().trim_end_matches(" kB").trim().parse().ok()?;
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        let ticks = |n: usize| fields.get(n)?.parse::<f64>().ok();
        Some((resident, (ticks(11)? + ticks(12)?) / TICKS))
    }

    /// The processes of all instances, by slot.
    pub fn pids(&self) -> BTreeMap<String, u32> {
        self.instances().into_iter().filter_map(|i| Some((i.slot, i.pid?))).collect()
    }
}

/// Sends a process of this host's a signal.
pub fn signal_process(pid: u32, signal: Signal) {
    if let Some(pid) = i32::try_from(pid).ok().and_then(Pid::from_raw) {
        let _ = kill_process(pid, signal);
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.signal_daemon(Signal::TERM);
        self.signal_daemon(Signal::TERM);
        if let Some(daemon) = &mut self.daemon {
            let end = Instant::now() + Duration::from_secs(10);
            while matches!(daemon.try_wait(), Ok(None)) && Instant::now() < end {
                std::thread::sleep(Duration::from_millis(20));
            }
        }
        self.kill_daemon();
        // What a daemon that was killed has left.
        for (_, process) in fleet::process::find_instances(&self.state()) {
            process.signal(Signal::KILL);
        }
        fleet::socket_holder::terminate(&self.state().join("holder.sock"));
    }
}
