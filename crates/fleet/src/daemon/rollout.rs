//! New generations: read, checked by the very program that is to run, begun, ended.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use rustix::process::Signal;
use serde_json::{Value, json};
use tokio::sync::oneshot;

use super::{Daemon, Event};
use crate::planner::{About, Action};
use crate::process::Process;
use crate::spec::Spec;
use crate::state::{Made, Store};

/// A program may take so long to check a configuration.
const CHECK: Duration = Duration::from_secs(10);

/// A generation that is being checked.
pub(super) struct Candidate {
    spec: Spec,
    program: u64,
    /// It is what the file says.
    from_file: bool,
    reply: Option<oneshot::Sender<Result<Value, String>>>,
}

impl Daemon {
    /// Tells the supervisor that a reload begins; the monotonic time has to come with it.
    fn tell_reloading(&self) {
        let now = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
        let us = now.tv_sec * 1_000_000 + now.tv_nsec / 1000;
        self.tell_supervisor(&format!("RELOADING=1\nMONOTONIC_USEC={us}"));
    }

    pub(super) fn reload(&mut self, reply: Option<oneshot::Sender<Result<Value, String>>>) {
        let result = self.may_change().and_then(|()| {
            let spec = Spec::read(&self.file)?;
            let now = self.ledger.generations.get(&self.ledger.target);
            let same = now.filter(|m| m.spec.program == spec.program).map(|m| m.program);
            let program = match same {
                Some(program) => program,
                None => self.import_program(&spec.program)?,
            };
            Ok((spec, program))
        });
        self.check_and_roll_out(result, true, reply);
    }

    pub(super) fn upgrade(
        &mut self,
        program: Option<PathBuf>,
        reply: oneshot::Sender<Result<Value, String>>,
    ) {
        let result = self.may_change().and_then(|()| {
            let now = self.ledger.generations.get(&self.ledger.target);
            let mut spec = now.ok_or("nothing runs yet")?.spec.clone();
            if let Some(program) = program {
                spec.program = program;
            }
            let program = self.import_program(&spec.program)?;
            Ok((spec, program))
        });
        self.check_and_roll_out(result, false, Some(reply));
    }

    pub(super) fn may_change(&self) -> Result<(), String> {
        if self.stopping {
            return Err("the fleet stops".to_owned());
        }
        if self.checking {
            return Err("another change is being checked".to_owned());
        }
        if self.ledger.target != self.ledger.base {
            return Err(format!("a rollout to generation {} runs", self.ledger.target));
        }
        Ok(())
    }

    pub(super) fn import_program(&mut self, path: &Path) -> Result<u64, String> {
        let known: Vec<u64> = self.ledger.generations.values().map(|m| m.program).collect();
        self.ledger.last_program += 1;
        let number = self.ledger.last_program;
        let result = self.store.adopt_program(path, &known, number);
        result.map_err(|e| format!("{}: {e}", path.display()))
    }

    /// Lets the program itself check what it would get, beside the loop.
    pub(super) fn check_and_roll_out(
        &mut self,
        result: Result<(Spec, u64), String>,
        from_file: bool,
        reply: Option<oneshot::Sender<Result<Value, String>>>,
    ) {
        self.tell_reloading();
        let (spec, program) = match result {
            Ok(result) => result,
            Err(why) => return self.answer(reply, Err(why)),
        };
        let now = self.ledger.generations.get(&self.ledger.target);
        if now.is_some_and(|m| m.spec == spec && m.program == program && m.counts.is_empty()) {
            self.tell_supervisor("READY=1");
            let generation = self.ledger.target;
            let same = json!({"generation": generation, "changed": false});
            return self.answer(reply, Ok(same));
        }
        self.checking = true;
        let path = self.store.program(program);
        let files = prepare_check(&self.store, &spec);
        let candidate = Box::new(Candidate { spec, program, from_file, reply });
        let events = self.events.clone();
        tokio::task::spawn_local(async move {
            let checked = tokio::task::spawn_blocking(move || run_check(files?, &path)).await;
            let checked = checked.unwrap_or_else(|e| Err(e.to_string()));
            let _ = events.send(Event::Checked(candidate, checked));
        });
    }

    pub(super) fn answer(
        &mut self,
        reply: Option<oneshot::Sender<Result<Value, String>>>,
        result: Result<Value, String>,
    ) {
        if let Err(why) = &result {
            self.note(&About::Fleet, &format!("refused: {why}"));
            self.tell_supervisor("READY=1");
        }
        if let Some(reply) = reply {
            let _ = reply.send(result);
        }
    }

    pub(super) fn happened(&mut self, event: Event) {
        match event {
            Event::Checked(candidate, checked) => {
                self.checking = false;
                let Candidate { spec, program, from_file, reply } = *candidate;
                let result = checked.and_then(|()| self.begin_rollout(spec, program, from_file));
                self.answer(reply, result);
            }
        }
    }

    pub(super) fn begin_rollout(
        &mut self,
        spec: Spec,
        program: u64,
        from_file: bool,
    ) -> Result<Value, String> {
        self.ledger.last += 1;
        let (generation, before) = (self.ledger.last, self.ledger.target);
        let read = from_file.then(|| spec.clone()).or(self.ledger.read.clone());
        let read = std::mem::replace(&mut self.ledger.read, read);
        let made = Made { spec, program, counts: BTreeMap::new() };
        self.ledger.generations.insert(generation, made);
        self.ledger.target = generation;
        if !self.keep() {
            // Danger: a rollout that a daemon after this one would not know of.
            self.ledger.target = before;
            self.ledger.read = read;
            self.ledger.generations.remove(&generation);
            return Err(self.trouble.clone().unwrap_or_default());
        }
        self.set_rules();
        self.note(&About::Generation(generation), &format!("is to follow {before}"));
        Ok(json!({"generation": generation, "changed": true}))
    }

    /// The operators changed their mind half way.
    pub(super) fn roll_back(&mut self) -> Result<Value, String> {
        let (target, base) = (self.ledger.target, self.ledger.base);
        if target == base {
            return Err("no rollout runs".to_owned());
        }
        self.carry_out(Action::RollBack { generation: target, why: "as was asked".to_owned() });
        Ok(json!({"generation": base}))
    }

    /// Lets go what no generation needs that is desired.
    pub(super) fn forget(&mut self) {
        let (target, base) = (self.ledger.target, self.ledger.base);
        self.ledger.generations.retain(|g, _| *g == target || *g == base);
        self.keep();
        let needed = self.ledger.generations.values().map(|m| m.program).collect();
        self.store.tidy(&needed);
    }

    pub(super) fn set_rules(&mut self) {
        if let Some(made) = self.ledger.generations.get(&self.ledger.target) {
            self.planner.set_rules(made.spec.rules());
        }
    }
}

/// One configuration of each template, in a file of its own.
fn prepare_check(store: &Store, spec: &Spec) -> Result<Vec<PathBuf>, String> {
    let mut files = Vec::new();
    for template in spec.templates.iter().filter(|t| t.count > 0) {
        let slot = format!("{}-{}", template.name, template.count - 1);
        let at = spec.listen(&slot).ok_or_else(|| format!("{slot}: no address"))?;
        let config = spec.configuration(&slot, 0, at, 0);
        let text = config.ok_or_else(|| format!("{slot}: no configuration"))?.to_string();
        let path = store.path(&format!("check-{}.json", template.name));
        crate::state::replace(&path, text.as_bytes())
            .map_err(|e| format!("{}: {e}", path.display()))?;
        files.push(path);
    }
    Ok(files)
}

/// Lets `program` check each file.
fn run_check(files: Vec<PathBuf>, program: &Path) -> Result<(), String> {
    let checked = files.iter().try_for_each(|file| {
        let mut command = Command::new(program);
        command.arg("check").arg(file).env_clear();
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        let child = command.spawn().map_err(|e| format!("the program does not start: {e}"))?;
        let mut process = Process::of_child(child).map_err(|e| e.to_string())?;
        let end = Instant::now() + CHECK;
        while !process.ended() {
            if Instant::now() > end {
                process.signal(Signal::KILL);
                return Err("the program did not check its configuration in time".to_owned());
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        process.checked()
    });
    for file in files {
        let _ = std::fs::remove_file(file);
    }
    checked
}

pub(super) fn check(store: &Store, spec: &Spec, program: &Path) -> Result<(), String> {
    run_check(prepare_check(store, spec)?, program)
}
