//! A host with its daemon and sidecars, and with fake servers, discovery and clients.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use fakes::account::Account;
use fakes::program::{Folder, ProgramError, built};
use fakes::world::{World, ZONES};
use fleet::control::{ClientError, Request, send_request};
use rustix::process::Signal;
use serde_json::Value;

use crate::plan::Plan;
use crate::process::signal_process;

/// The time after which a daemon that is shutting down is killed.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(10);
/// The time between two checks whether the daemon has exited.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The time between two checks whether the host is settled.
const SETTLE_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The maximum number of instances in an error.
const MAX_NAMED_INSTANCES: usize = 5;

/// An error of an operation on a host.
#[derive(Debug, thiserror::Error)]
pub enum HostError {
    /// A system call failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A program of the workspace is missing or could not be built.
    #[error(transparent)]
    Program(#[from] ProgramError),
    /// Some instances did not serve in time.
    #[error("not settled within {timeout:?}: {unsettled:?}")]
    NotSettled {
        /// The time limit.
        timeout: Duration,
        /// Some of the instances that did not serve.
        unsettled: Vec<Instance>,
    },
}

/// An instance as the daemon reports it.
#[derive(Clone, Debug)]
pub struct Instance {
    /// The name of the slot.
    pub slot: String,
    /// The state, such as `serving`.
    pub state: String,
    /// The address that the instance listens at. `None` if it has none yet.
    pub listen: Option<SocketAddr>,
    /// The process id. `None` if no process runs.
    pub pid: Option<u32>,
    /// The generation that the instance runs. `None` if no process runs.
    pub generation: Option<u64>,
    /// The number of processes: two while one replaces the other.
    pub processes: u64,
    /// The reason of a failure. `None` if there is none.
    pub why: Option<String>,
}

impl Instance {
    fn from_status(status: &Value) -> Instance {
        Instance {
            slot: status["slot"].as_str().unwrap_or_default().to_owned(),
            state: status["state"].as_str().unwrap_or_default().to_owned(),
            listen: status["listen"].as_str().and_then(|address| address.parse().ok()),
            pid: status["pid"].as_u64().and_then(|pid| pid.try_into().ok()),
            generation: status["generation"].as_u64(),
            processes: status["processes"].as_u64().unwrap_or_default(),
            why: status["why"].as_str().map(str::to_owned),
        }
    }

    fn is_serving(&self) -> bool {
        self.state == "serving" && self.processes == 1
    }
}

/// A running host. Dropping it shuts down the daemon, the sidecars and the fakes.
pub struct Host {
    folder: Folder,
    /// The fake log servers and discovery, and the account of all requests.
    pub world: World,
    plan: Plan,
    daemon: Option<Child>,
    sidecar_program: PathBuf,
    fleet_program: PathBuf,
    settings: Mutex<Value>,
    discovery: Mutex<SocketAddr>,
}

impl Host {
    /// Builds the programs if needed, and starts the fakes and the daemon.
    ///
    /// # Errors
    ///
    /// Fails if a program cannot be built or started, or a file or socket cannot be created.
    pub fn start(plan: Plan) -> Result<Host, HostError> {
        let sidecar_program = built("lb-sidecar", plan.progress)?;
        let fleet_program = built("lb-fleet", plan.progress)?;
        let world = World::start(plan.classes.clone(), plan.servers, plan.seed);
        let world = fakes::runtime().block_on(world)?;
        let settings = Mutex::new(world.settings());
        let discovery = Mutex::new(world.registry.at);
        let mut host = Host {
            folder: Folder::new("host"),
            world,
            plan,
            daemon: None,
            sidecar_program,
            fleet_program,
            settings,
            discovery,
        };
        host.write_spec()?;
        host.start_daemon()?;
        Ok(host)
    }

    /// Returns the path of `fleet.toml`.
    pub fn spec_path(&self) -> PathBuf {
        self.folder.path().join("fleet.toml")
    }

    /// Returns the state directory of the daemon.
    pub fn state_directory(&self) -> PathBuf {
        self.folder.path().join("state")
    }

    /// Returns the path of a file in the host's directory.
    pub fn file_path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    /// Returns the path of the sidecar program.
    pub fn sidecar_program(&self) -> &Path {
        &self.sidecar_program
    }

    /// Returns the account, which records the outcome of every request.
    pub fn account(&self) -> &Arc<Account> {
        &self.world.account
    }

    /// Changes the settings of all sidecars. They take effect at the next reload.
    ///
    /// # Errors
    ///
    /// Fails if the files cannot be written.
    pub fn change_settings(&self, change: impl FnOnce(&mut Value)) -> Result<(), HostError> {
        change(&mut self.settings.lock().unwrap_or_else(PoisonError::into_inner));
        self.write_spec()
    }

    /// Changes the discovery address of all sidecars. It takes effect at the next reload.
    ///
    /// # Errors
    ///
    /// Fails if the files cannot be written.
    pub fn set_discovery(&self, discovery: SocketAddr) -> Result<(), HostError> {
        *self.discovery.lock().unwrap_or_else(PoisonError::into_inner) = discovery;
        self.write_spec()
    }

    /// Writes `fleet.toml` and the settings file.
    fn write_spec(&self) -> Result<(), HostError> {
        let discovery = *self.discovery.lock().unwrap_or_else(PoisonError::into_inner);
        let settings = self.settings.lock().unwrap_or_else(PoisonError::into_inner);
        let (rollout, restarts) = (&self.plan.rollout, &self.plan.restarts);
        let mut toml = format!(
            "program = {:?}\n\n[rollout]\n{rollout}\n\n[restarts]\n{restarts}\n",
            self.sidecar_program.display().to_string()
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
        // An exclusive upper bound of the numbers of all instances.
        let count = self.plan.instances * ZONES.len();
        let settings = settings.to_string().replacen('{', &format!("{{\"instances\":{count},"), 1);
        std::fs::write(self.file_path("settings.json"), settings)?;
        std::fs::write(self.spec_path(), toml)?;
        Ok(())
    }

    /// Starts the daemon.
    ///
    /// # Errors
    ///
    /// Fails if the program cannot be started.
    pub fn start_daemon(&mut self) -> Result<(), HostError> {
        self.daemon = Some(self.daemon_command().spawn()?);
        Ok(())
    }

    /// Returns the command that starts the daemon.
    pub fn daemon_command(&self) -> Command {
        let mut command = Command::new(&self.fleet_program);
        command.arg("run").arg("--file").arg(self.spec_path());
        command.arg("--state").arg(self.state_directory());
        command.stdin(Stdio::null()).env_remove("NOTIFY_SOCKET");
        let open = |path| std::fs::File::options().create(true).append(true).open(path).ok();
        if let Some(log) = self.plan.log.as_ref().and_then(open) {
            command.stderr(log);
        }
        command
    }

    /// Returns the process of the daemon, or `None` if it was not started or was killed.
    pub fn daemon(&mut self) -> Option<&mut Child> {
        self.daemon.as_mut()
    }

    /// Kills the daemon with SIGKILL and waits until it has exited.
    pub fn kill_daemon(&mut self) {
        if let Some(mut daemon) = self.daemon.take() {
            let _ = daemon.kill();
            let _ = daemon.wait();
        }
    }

    /// Sends a signal to the daemon.
    pub fn signal_daemon(&self, signal: Signal) {
        if let Some(daemon) = &self.daemon {
            signal_process(daemon.id(), signal);
        }
    }

    /// Sends a request to the daemon.
    ///
    /// # Errors
    ///
    /// Fails if there is no daemon, or it rejects the request.
    pub fn ask(&self, request: &Request) -> Result<Value, ClientError> {
        send_request(&self.state_directory(), request)
    }

    /// Returns the status of the daemon, or null without a daemon.
    pub fn status(&self) -> Value {
        self.ask(&Request::Status).unwrap_or(Value::Null)
    }

    /// Returns all instances.
    pub fn instances(&self) -> Vec<Instance> {
        let status = self.status();
        let slots = status["slots"].as_array().into_iter().flatten();
        slots.map(Instance::from_status).collect()
    }

    /// Returns whether no rollout is in progress, and each instance is drained or serves the target generation with a
    /// single process.
    pub fn is_settled(&self) -> bool {
        let status = self.status();
        let target = status["target"].as_u64();
        let settled = |slot: &Value| {
            let instance = Instance::from_status(slot);
            instance.state == "drained" || (instance.is_serving() && instance.generation == target)
        };
        target.is_some()
            && target == status["base"].as_u64()
            && status["checking"] == false
            && status["slots"].as_array().is_some_and(|slots| slots.iter().all(settled))
    }

    /// Waits until the host is settled.
    ///
    /// # Errors
    ///
    /// Fails after `timeout`, with some of the instances that do not serve.
    pub fn wait_until_settled(&self, timeout: Duration) -> Result<(), HostError> {
        let deadline = Instant::now() + timeout;
        while !self.is_settled() {
            if Instant::now() > deadline {
                let mut unsettled = self.instances();
                unsettled.retain(|instance| !instance.is_serving());
                unsettled.truncate(MAX_NAMED_INSTANCES);
                return Err(HostError::NotSettled { timeout, unsettled });
            }
            std::thread::sleep(SETTLE_POLL_INTERVAL);
        }
        Ok(())
    }

    /// Kills the process of an instance with SIGKILL. Its open requests may be lost, which the account allows for.
    pub fn kill_instance(&self, instance: &Instance) {
        if let (Some(pid), Some(address)) = (instance.pid, instance.listen) {
            self.world.account.expect_kill(address);
            signal_process(pid, Signal::KILL);
        }
    }

    /// Returns the process ids of all instances, by name.
    pub fn pids(&self) -> BTreeMap<String, u32> {
        let instances = self.instances().into_iter();
        instances.filter_map(|instance| Some((instance.slot, instance.pid?))).collect()
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        // The second signal makes the daemon shut down immediately.
        self.signal_daemon(Signal::TERM);
        self.signal_daemon(Signal::TERM);
        if let Some(daemon) = &mut self.daemon {
            let deadline = Instant::now() + SHUTDOWN_TIMEOUT;
            while matches!(daemon.try_wait(), Ok(None)) && Instant::now() < deadline {
                std::thread::sleep(SHUTDOWN_POLL_INTERVAL);
            }
        }
        self.kill_daemon();
        // A killed daemon leaves its instances and its socket holder running.
        for (_, process) in fleet::process::find_instances(&self.state_directory()) {
            process.signal(Signal::KILL);
        }
        fleet::socket_holder::terminate(&self.state_directory().join("holder.sock"));
    }
}
