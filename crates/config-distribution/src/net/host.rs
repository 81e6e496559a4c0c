//! A host: it calls a control machine, and puts in force what it is told.

use std::net::SocketAddr;
use std::time::Duration;

use super::Clock;
use super::http::{Caller, path};
use super::place::Place;
use crate::control::{HostCall, Told};
use crate::documents::Interest;
use crate::host::{HOLD, Host, PATIENCE, Put, Step};

/// What a host is told at its start.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its name; no other host has it.
    pub name: String,
    /// What concerns it.
    pub interest: Interest,
    /// The control machines that it may call.
    pub machines: Vec<(String, SocketAddr)>,
    /// For what is drawn.
    pub seed: u64,
}

fn call_path(call: &HostCall) -> String {
    let mut pairs = vec![
        ("from", call.from.to_string()),
        ("hold_ms", HOLD.to_string()),
        ("host", call.host.clone()),
        ("zone", call.interest.zone.clone()),
        ("in_force", call.in_force.to_string()),
    ];
    pairs.extend(call.interest.services.iter().map(|s| ("service", s.clone())));
    if let Some((generation, why)) = &call.declined {
        pairs.extend([("declined", generation.to_string()), ("why", why.clone())]);
    }
    path("/config/documents", pairs)
}

/// Serves as a host; never ends.
pub async fn run(config: Config, mut place: impl Place) {
    let clock = Clock::default();
    let names: Vec<String> = config.machines.iter().map(|(name, _)| name.clone()).collect();
    let in_force = place.in_force().await;
    let mut host = Host::new(config.name, config.interest, &names, in_force, config.seed);
    let mut caller: Option<(usize, Caller)> = None;
    loop {
        let machine = match host.next(clock.now()) {
            Step::Wait(until) => {
                clock.until(until).await;
                continue;
            }
            Step::Put(generation, documents) => {
                let done = put(&mut place, generation, &documents).await;
                host.put(generation, done, clock.now());
                continue;
            }
            Step::Call(machine) => machine,
        };
        if caller.as_ref().is_none_or(|(of, _)| *of != machine) {
            caller = Some((machine, Caller::new(config.machines[machine].1)));
        }
        let Some((_, to)) = &mut caller else { continue };
        let patience = Duration::from_millis(HOLD + PATIENCE);
        let told = to.json::<Told>(&call_path(&host.call()), None, patience).await;
        match told {
            Ok(told) => {
                if let Some((generation, documents)) = host.answered(told, clock.now()) {
                    let done = put(&mut place, generation, &documents).await;
                    host.put(generation, done, clock.now());
                }
            }
            Err(why) => {
                let (name, at) = &config.machines[machine];
                tracing::info!(machine = %name, %at, %why, "goes elsewhere");
                host.failed(to.served(), clock.now());
                caller = None;
            }
        }
    }
}

async fn put(
    place: &mut impl Place,
    generation: crate::Generation,
    documents: &[crate::documents::Document],
) -> Put {
    let done = place.put(generation, documents).await;
    match &done {
        Put::Done => tracing::info!(generation, "in force"),
        Put::Declined(why) => tracing::error!(generation, %why, "declined, the old one stays"),
        Put::Later(why) => tracing::warn!(generation, %why, "not in force yet"),
    }
    done
}
