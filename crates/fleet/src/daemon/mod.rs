//! The daemon's loop: gathers facts, asks the planner, carries out what it says.

mod adoption;
mod listeners;
mod requests;
mod rollout;

use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use instance_status::{InstanceStatus, SupervisorSocket};
use rustix::process::{Resource, Signal, getrlimit, setrlimit};
use tokio::net::UnixDatagram;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;

use crate::control::{self, Asked};
use crate::holder::Holder;
use crate::planner::{About, Action, Counts, Desired, Generation, Planner, Proc, ProcId, Rules};
use crate::process::{Mark, Process, Start};
use crate::stall::{Reading, Stall, Watch};
use crate::state::{Ledger, Made, Store};
use rollout::Candidate;

/// Between two looks when nothing happens.
const TICK: Duration = Duration::from_millis(100);
/// A listener that could not be had is asked for again after so long.
const BIND_AGAIN: Duration = Duration::from_secs(1);
/// Between two reports to the daemon's supervisor that it lives.
const ALIVE: Duration = Duration::from_secs(1);
/// A process that reports twice a second, and has not for so long, is looked at more closely.
const SILENT: Duration = Duration::from_millis(550);
/// Instances that a daemon before this one was just starting show up by then.
const LATE: [Duration; 2] = [Duration::from_millis(500), Duration::from_secs(5)];

/// What happens outside of the loop.
enum Event {
    Checked(Box<Candidate>, Result<(), String>),
}

struct Running {
    mark: Mark,
    process: Process,
    state: Option<InstanceStatus>,
    started: Duration,
    last_report: Duration,
    found: bool,
    unwanted: bool,
    /// While it is silent.
    watch: Option<Watch>,
    stall: Option<Stall>,
}

struct Listener {
    slot: String,
    requested: SocketAddr,
    at: SocketAddr,
    socket: TcpListener,
}

struct Daemon {
    clock: Instant,
    file: PathBuf,
    store: Store,
    ledger: Ledger,
    planner: Planner,
    holder: Option<Holder>,
    listeners: BTreeMap<String, Listener>,
    procs: BTreeMap<ProcId, Running>,
    next: u64,
    blocked: BTreeMap<String, (String, Duration)>,
    /// What keeps the daemon itself from its work.
    trouble: Option<String>,
    checking: bool,
    stopping: bool,
    hurry: bool,
    supervisor: Option<SupervisorSocket>,
    log: Vec<(&'static str, String)>,
    last_alive: Duration,
    events: mpsc::UnboundedSender<Event>,
}

/// Runs the daemon on the desired state in `file`, with its own state in `folder`, until it is told
/// to stop and all instances have ended. `log` is the environment that makes instances log like it.
///
/// # Errors
///
/// When it cannot begin: the reason.
pub async fn run(
    file: &Path,
    folder: &Path,
    log: Vec<(&'static str, String)>,
) -> Result<(), String> {
    let clock = Instant::now();
    raise_limit();
    let store = Store::open(folder)?;
    let mut terminate = signal(SignalKind::terminate()).map_err(|e| format!("SIGTERM: {e}"))?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(|e| format!("SIGINT: {e}"))?;
    let mut hangup = signal(SignalKind::hangup()).map_err(|e| format!("SIGHUP: {e}"))?;
    let mut child = signal(SignalKind::child()).map_err(|e| format!("SIGCHLD: {e}"))?;
    let (events, mut happened) = mpsc::unbounded_channel();
    let mut daemon = Daemon::new(clock, file, store, log, events)?;
    daemon.begin()?;
    let reports = daemon.store.path("notify.sock");
    let _ = std::fs::remove_file(&reports);
    let reports = UnixDatagram::bind(&reports)
        .map_err(|e| format!("{}: {e}", daemon.store.path("notify.sock").display()))?;
    let (asked, mut asks) = mpsc::channel::<Asked>(16);
    let control = daemon.store.path("control.sock");
    control::serve(&control, asked).map_err(|e| format!("{}: {e}", control.display()))?;
    daemon.tell_supervisor("READY=1");
    let state = daemon.store.folder().display();
    tracing::info!(file = %file.display(), %state, "reconciling");

    let mut tick = tokio::time::interval(TICK);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut report = [0; instance_status::MAX_DATAGRAM_BYTES];
    let mut late = LATE.into_iter().peekable();
    loop {
        tokio::select! {
            _ = tick.tick() => {
                daemon.alive();
                daemon.ended();
                // Danger: a daemon that was kept from running has reports unread; who sent them
                // must not look silent.
                while let Ok(n) = reports.try_recv(&mut report) {
                    daemon.reported(&report[..n]);
                }
                daemon.watch_silent();
            }
            // What was adopted is no child, so its end shows at the next tick.
            _ = child.recv() => daemon.ended(),
            Ok(n) = reports.recv(&mut report) => {
                // Reports come in crowds, and few of them change what is to be done.
                let mut news = daemon.reported(&report[..n]);
                while let Ok(n) = reports.try_recv(&mut report) {
                    news |= daemon.reported(&report[..n]);
                }
                if !news {
                    continue;
                }
            }
            Some(event) = happened.recv() => daemon.happened(event),
            Some((request, reply)) = asks.recv() => daemon.asked(request, reply),
            _ = hangup.recv() => daemon.reload(None),
            _ = terminate.recv() => daemon.stop(),
            _ = interrupt.recv() => daemon.stop(),
        }
        if late.next_if(|at| clock.elapsed() >= *at).is_some() {
            daemon.adopt();
        }
        daemon.reconcile();
        if daemon.stopping && daemon.procs.is_empty() {
            let _ = std::fs::remove_file(&control);
            let _ = std::fs::remove_file(daemon.store.path("notify.sock"));
            return Ok(());
        }
    }
}

/// Two listeners, a pidfd and its copy for each of a thousand instances are more than most hosts'
/// soft limit.
fn raise_limit() {
    let mut limit = getrlimit(Resource::Nofile);
    limit.current = limit.maximum;
    let _ = setrlimit(Resource::Nofile, limit);
}

impl Daemon {
    fn new(
        clock: Instant,
        file: &Path,
        store: Store,
        log: Vec<(&'static str, String)>,
        events: mpsc::UnboundedSender<Event>,
    ) -> Result<Daemon, String> {
        let ledger = store.ledger()?;
        Ok(Daemon {
            clock,
            file: file.to_owned(),
            store,
            ledger,
            planner: Planner::new(Rules::default(), rand::random()),
            holder: None,
            listeners: BTreeMap::new(),
            procs: BTreeMap::new(),
            next: 0,
            blocked: BTreeMap::new(),
            trouble: None,
            checking: false,
            stopping: false,
            hurry: false,
            supervisor: SupervisorSocket::from_env(),
            log,
            last_alive: Duration::ZERO,
            events,
        })
    }

    fn now(&self) -> Duration {
        self.clock.elapsed()
    }

    /// Tells the daemon's own supervisor, if it has one.
    fn tell_supervisor(&self, fields: &str) {
        if let Some(supervisor) = &self.supervisor {
            supervisor.send(fields);
        }
    }

    /// Looks more closely at those that have not reported in time.
    fn watch_silent(&mut self) {
        let now = self.now();
        for (id, r) in &mut self.procs {
            let ready = r.state.as_ref().is_some_and(|s| s.ready);
            if !ready || now.saturating_sub(r.last_report) < SILENT {
                r.watch = None;
                continue;
            }
            let Some(reading) = Reading::of(r.process.pid) else { continue };
            let watch = r.watch.get_or_insert_with(|| Watch::new(now, reading));
            let stall = watch.look(now, reading);
            if let (Some(stall), None) = (stall, r.stall) {
                let silent_ms = now.saturating_sub(r.last_report).as_millis() as u64;
                let (slot, pid) = (&r.mark.slot, r.process.pid);
                tracing::warn!(instance = %slot, pid, proc = id.0, ?stall, silent_ms, "hangs");
            }
            r.stall = stall.or(r.stall);
        }
    }

    /// Notes something that operators should find in the log and in the history.
    fn note(&mut self, about: &About, what: &str) {
        let text = match about {
            About::Fleet => {
                tracing::info!("{what}");
                what.to_owned()
            }
            About::Slot(instance) => {
                tracing::info!(%instance, "{what}");
                format!("{instance}: {what}")
            }
            About::Generation(generation) => {
                tracing::info!(generation, "{what}");
                format!("generation {generation} {what}")
            }
        };
        self.ledger.note(text);
        self.keep();
    }

    /// Tells the daemon's keeper, now and then, that the loop turns.
    fn alive(&mut self) {
        let now = self.now();
        if now.saturating_sub(self.last_alive) >= ALIVE {
            self.last_alive = now;
            self.tell_supervisor("WATCHDOG=1");
        }
    }

    /// Keeps the ledger. That it cannot be kept is shown, and tried again with the next change.
    fn keep(&mut self) -> bool {
        match self.store.keep(&self.ledger) {
            Ok(()) => self.trouble = None,
            Err(e) => {
                tracing::error!(error = %e, "the state cannot be kept");
                self.trouble = Some(format!("the state cannot be kept: {e}"));
            }
        }
        self.trouble.is_none()
    }

    /// Takes in a report; whether it tells more than that its process lives.
    fn reported(&mut self, report: &[u8]) -> bool {
        let Some(state) = InstanceStatus::from_datagram(report) else { return false };
        let now = self.now();
        // Danger: whoever can write here is the same user; a report of a process that is none of
        // ours still must not make one.
        let running = self.procs.values_mut().find(|r| r.process.pid == state.pid);
        let Some(r) = running else { return false };
        r.last_report = now;
        r.found = false;
        (r.watch, r.stall) = (None, None);
        let telling = |s: &InstanceStatus| {
            (s.ready, s.draining, s.generation, s.rejected_config.as_ref().map(|d| d.generation))
        };
        let news = r.state.as_ref().map(telling) != Some(telling(&state));
        r.state = Some(state);
        news
    }

    fn stop(&mut self) {
        if self.stopping {
            self.hurry = true;
            return;
        }
        self.stopping = true;
        self.tell_supervisor("STOPPING=1");
        self.note(&About::Fleet, "the fleet stops");
        // What comes from now on is the instances' to take, as long as they do.
        self.listeners.clear();
        if let Some(holder) = self.holder.take() {
            holder.quit();
        }
    }

    /// The desired state as the planner takes it.
    fn desired(&self) -> Desired {
        let (target, base) = (self.ledger.target, self.ledger.base);
        let made = |generation| self.ledger.generations.get(&generation);
        let slots_of = |m: &Made| {
            let mut slots = m.spec.slots(&m.counts);
            slots.retain(|s| !self.ledger.drained.contains(s));
            slots
        };
        let slots = made(target).map(slots_of).unwrap_or_default();
        let (mut new, mut old) = (BTreeSet::new(), BTreeSet::new());
        if let (true, Some(base)) = (target != base, made(base)) {
            new = slots.iter().filter(|s| !base.spec.has(s)).cloned().collect();
            old = slots_of(base).difference(&slots).cloned().collect();
        }
        Desired {
            slots,
            new,
            old,
            target,
            base,
            program: made(target).map_or(0, |m| m.program),
            base_program: made(base).map_or(0, |m| m.program),
            blocked: self.blocked.keys().cloned().collect(),
            stopping: self.stopping,
            hurry: self.hurry,
        }
    }

    fn reconcile(&mut self) {
        let now = self.now();
        self.blocked.retain(|_, (_, since)| now.saturating_sub(*since) < BIND_AGAIN);
        let desired = self.desired();
        let facts: Vec<Proc> = self.procs.iter().map(|(id, r)| fact(*id, r)).collect();
        for action in self.planner.reconcile(now, &desired, &facts) {
            self.carry_out(action);
        }
        self.close_listeners(&desired);
    }

    fn carry_out(&mut self, action: Action) {
        if let Action::Reload { proc, .. }
        | Action::HandOver { proc }
        | Action::Stop { proc }
        | Action::Kill { proc } = &action
            && let Some(r) = self.procs.get(proc)
        {
            let (instance, pid) = (&r.mark.slot, r.process.pid);
            tracing::debug!(%instance, pid, ?action, "order");
        }
        match action {
            Action::Start { slot, generation } => {
                if let Err(why) = self.start(&slot, generation) {
                    tracing::warn!(instance = %slot, generation, error = %why, "not started");
                    let now = self.now();
                    self.planner.start_failed(now, &slot, generation, &why);
                }
            }
            Action::Reload { proc, generation } => {
                let slot = self.procs.get(&proc).map(|r| r.mark.slot.clone());
                let written = slot.map(|slot| self.configure(&slot, generation));
                if let Some(Err(why)) = written {
                    tracing::warn!(generation, error = %why, "not reloaded");
                    self.trouble = Some(why);
                } else {
                    self.signal(proc, Signal::HUP);
                }
            }
            Action::HandOver { proc } => self.signal(proc, Signal::USR2),
            Action::Stop { proc } => self.signal(proc, Signal::TERM),
            Action::Kill { proc } => self.signal(proc, Signal::KILL),
            Action::Settled { generation } => {
                self.ledger.base = generation;
                self.note(&About::Generation(generation), "runs everywhere");
                self.forget();
                self.tell_supervisor("READY=1");
            }
            Action::RollBack { generation, why } => {
                self.ledger.target = self.ledger.base;
                self.set_rules();
                self.note(&About::Generation(generation), &format!("goes back: {why}"));
                self.forget();
                self.tell_supervisor("READY=1");
            }
            Action::Note { about, text } => self.note(&about, &text),
        }
    }

    fn signal(&self, proc: ProcId, signal: Signal) {
        if let Some(r) = self.procs.get(&proc) {
            r.process.signal(signal);
        }
    }

    fn start(&mut self, slot: &str, generation: Generation) -> Result<(), String> {
        let made = self.ledger.generations.get(&generation);
        let number = made.ok_or("its generation is not known")?.program;
        let configuration = self.configure(slot, generation)?;
        let listener =
            self.listeners.values().find(|l| l.slot == slot && l.requested == configuration.1);
        let listener = listener.ok_or("it has no listener")?.socket.try_clone();
        let listener = OwnedFd::from(listener.map_err(|e| e.to_string())?);
        let mark = Mark { slot: slot.to_owned(), generation, program: number };
        let process = Process::start(Start {
            folder: self.store.folder(),
            mark: mark.clone(),
            program: &self.store.program(number),
            configuration: &configuration.0,
            reports: &self.store.path("notify.sock"),
            listener,
            log: &self.log,
        });
        let process = process.map_err(|e| e.to_string())?;
        tracing::info!(instance = %slot, generation, pid = process.pid, "started");
        self.add(mark, process, false);
        Ok(())
    }
}

fn fact(id: ProcId, r: &Running) -> Proc {
    let state = r.state.as_ref();
    Proc {
        id,
        slot: r.mark.slot.clone(),
        generation: state.map_or(r.mark.generation, |s| s.generation),
        program: r.mark.program,
        started: r.started,
        last_report: r.last_report,
        ready: state.is_some_and(|s| s.ready),
        leaving: state.is_some_and(|s| s.draining),
        declined: state.and_then(|s| s.rejected_config.as_ref()).map(|d| d.generation),
        found: r.found,
        unwanted: r.unwanted,
        stall: r.stall,
        counts: state.map_or_else(Counts::default, |s| Counts {
            all: s.counts.served + s.counts.rejected + s.counts.failed,
            failed: s.counts.failed,
            refused: s.counts.rejected,
        }),
    }
}
