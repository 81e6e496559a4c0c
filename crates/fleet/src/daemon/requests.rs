//! What operators ask over the control socket, and the status that they get.

use std::collections::BTreeSet;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::sync::oneshot;

use super::{Daemon, Running};
use crate::control::Request;
use crate::planner::{About, Desired, Progress, SlotState};
use crate::state::Made;

impl Daemon {
    pub(super) fn asked(
        &mut self,
        request: Request,
        reply: oneshot::Sender<Result<Value, String>>,
    ) {
        let result = match request {
            Request::Reload => return self.reload(Some(reply)),
            Request::Upgrade { program } => return self.upgrade(program, reply),
            Request::Status => Ok(self.status()),
            Request::History => Ok(json!(self.ledger.history)),
            Request::Drain { slot } => self.known(&slot).map(|()| {
                self.ledger.drained.insert(slot.clone());
                self.note(&About::Slot(slot.clone()), "taken out");
                json!({"slot": slot})
            }),
            Request::Rollback => self.roll_back(),
            Request::Restart { slot } => self.restart(slot),
            Request::Scale { name, count } => self.scale(&name, count),
        };
        let _ = reply.send(result);
    }

    pub(super) fn known(&self, slot: &str) -> Result<(), String> {
        let desired = self.desired();
        let known = desired.slots.contains(slot) || self.ledger.drained.contains(slot);
        if known { Ok(()) } else { Err(format!("{slot}: no such instance")) }
    }

    pub(super) fn restart(&mut self, slot: Option<String>) -> Result<Value, String> {
        if let Some(slot) = &slot {
            self.known(slot)?;
        }
        let concerned = |of: &str| slot.as_deref().is_none_or(|s| s == of);
        let mut again = 0;
        for r in self.procs.values_mut().filter(|r| concerned(&r.mark.slot)) {
            r.unwanted = true;
            again += 1;
        }
        self.ledger.drained.retain(|s| !concerned(s));
        for one in self.desired().slots.iter().filter(|s| concerned(s)) {
            self.planner.reset_failures(one);
        }
        self.note(&slot.map_or(About::Fleet, About::Slot), "restart asked for");
        Ok(json!({"processes": again}))
    }

    pub(super) fn scale(&mut self, name: &str, count: usize) -> Result<Value, String> {
        let (target, base) = (self.ledger.target, self.ledger.base);
        let template =
            |m: &Made| m.spec.templates.iter().find(|t| t.name == name).map(|t| t.most());
        let most = self.ledger.generations.get(&target).and_then(template);
        let most = most.ok_or_else(|| format!("{name}: no such template"))?;
        if count > most {
            return Err(format!("{name}: {most} at most, as many as it has addresses"));
        }
        for generation in [target, base] {
            if let Some(made) = self.ledger.generations.get_mut(&generation) {
                made.counts.insert(name.to_owned(), count);
            }
        }
        self.note(&About::Fleet, &format!("{name}: {count} instances"));
        Ok(json!({"name": name, "count": count}))
    }

    pub(super) fn status(&self) -> Value {
        let (now, desired) = (self.now(), self.desired());
        let mut names: BTreeSet<&String> = desired.slots.iter().chain(&desired.old).collect();
        names.extend(&self.ledger.drained);
        names.extend(self.procs.values().map(|r| &r.mark.slot));
        let slots: Vec<Value> =
            names.into_iter().map(|slot| self.status_of(slot, now, &desired)).collect();
        let rollout = self.planner.progress().map(|Progress { target, canaries, waves }| {
            json!({"target": target, "canaries": canaries, "waves": waves})
        });
        json!({
            "version": env!("CARGO_PKG_VERSION"),
            "pid": std::process::id(),
            "file": self.file,
            "target": self.ledger.target,
            "base": self.ledger.base,
            "rollout": rollout,
            "checking": self.checking,
            "stopping": self.stopping,
            "trouble": self.trouble,
            "holder": self.holder.is_some(),
            "slots": slots,
        })
    }

    pub(super) fn status_of(&self, slot: &str, now: Duration, desired: &Desired) -> Value {
        let mut of: Vec<&Running> = self.procs.values().filter(|r| r.mark.slot == slot).collect();
        let leaving = |r: &Running| r.state.as_ref().is_some_and(|s| s.draining);
        let ready = |r: &Running| r.state.as_ref().is_some_and(|s| s.ready);
        of.sort_by_key(|r| (leaving(r), !ready(r), r.started));
        let standing = of.iter().filter(|r| !leaving(r)).count();
        let (state, failures, why) = self.planner.slot(now, slot);
        let blocked = self.blocked.get(slot).map(|(why, _)| why.as_str());
        let first = of.first();
        let text = match (&state, first) {
            _ if blocked.is_some() => "blocked",
            (_, Some(r)) if standing > 1 || (ready(r) && r.unwanted) => "moving",
            (_, Some(r)) if leaving(r) => "draining",
            (_, Some(r)) if ready(r) => "serving",
            (_, Some(_)) => "starting",
            _ if self.ledger.drained.contains(slot) => "drained",
            (SlotState::Held, None) => "held",
            _ if desired.slots.contains(slot) => "waiting",
            _ => "gone",
        };
        let listener = self.listeners.values().rfind(|l| l.slot == slot);
        let report = first.and_then(|r| r.state.as_ref());
        json!({
            "slot": slot,
            "state": text,
            "listen": listener.map(|l| l.at.to_string()),
            "pid": first.map(|r| r.process.pid),
            "processes": of.len(),
            "generation": first.map(|r| report.map_or(r.mark.generation, |t| t.generation)),
            "version": report.map(|t| &t.version),
            "up_s": first.map(|r| (now.saturating_sub(r.started)).as_secs()),
            "clients": report.map(|t| t.client_connections),
            "open": report.map(|t| t.in_flight_requests),
            "counts": report.map(|t| t.counts),
            "short_of_descriptors": report.is_some_and(|t| t.out_of_descriptors),
            "failures": failures,
            "why": blocked.or(why),
        })
    }
}
