//! Hosts many instances of the decision module for the simulator: batches on standard input, one
//! reply each on standard output. Instances share nothing but this process.
#![forbid(unsafe_code)]

use std::cell::RefCell;
use std::io::{self, BufReader, Write};
use std::panic::{self, AssertUnwindSafe};
use std::process::ExitCode;

use lb_sidecar::api::{Action, Event, ListKind, ServerEntry};
use lb_sidecar::balancer::Balancer;
use lb_sidecar::settings::Settings;
use lb_sidecar::wire::{self, Batch, Record, Reply, WireError};

const LISTS: usize = 16;

thread_local! {
    static PANIC: RefCell<String> = const { RefCell::new(String::new()) };
}

#[derive(Default)]
struct Host {
    instances: Vec<Option<Box<Balancer>>>,
    lists: [Option<Vec<ServerEntry>>; LISTS],
    skipped: Vec<u8>,
    /// This batch's actions, an entry for each instance in the order of their first events.
    pending: Vec<(u16, Vec<Action>)>,
    /// Where an instance's entry in `pending` is, and of which batch.
    place: Vec<(u64, usize)>,
    batch: u64,
    spare: Vec<Vec<Action>>,
}

/// What ends the run: a frame that cannot be read, or decisions that failed.
enum Stop {
    Wire(WireError),
    Fault { instance: u16, text: String },
}

impl From<WireError> for Stop {
    fn from(e: WireError) -> Stop {
        Stop::Wire(e)
    }
}

impl Host {
    fn turn(&mut self, instance: u16) -> usize {
        let i = usize::from(instance);
        if self.place.len() <= i {
            self.place.resize(i + 1, (0, 0));
            self.instances.resize_with(i + 1, || None);
        }
        if self.place[i].0 != self.batch {
            self.place[i] = (self.batch, self.pending.len());
            let list = self.spare.pop().unwrap_or_default();
            self.pending.push((instance, list));
        }
        self.place[i].1
    }

    fn batch(&mut self, frame: &[u8], reply: &mut Reply) -> Result<(), Stop> {
        self.batch += 1;
        let batch = Batch::new(frame)?;
        let mut current = None;
        for record in batch.records() {
            let event = match record? {
                Record::On(instance) => {
                    current = Some((instance, self.turn(instance)));
                    continue;
                }
                Record::Rows { list, entries } => {
                    let slot = self.lists.get_mut(list as usize).ok_or_else(|| WireError {
                        what: format!("list number {list} is past 15"),
                        at: 0,
                    })?;
                    *slot = Some(entries);
                    continue;
                }
                Record::Unknown(code) => {
                    if !self.skipped.contains(&code) {
                        self.skipped.push(code);
                        eprintln!("lb-simulator-adapter: skipping records of unknown code {code}");
                    }
                    continue;
                }
                other => other,
            };
            let Some((instance, place)) = current else {
                return Err(Stop::Wire(WireError {
                    what: "an event before any instance is named".into(),
                    at: 0,
                }));
            };
            self.event(batch.now, instance, place, event)?;
        }
        for (instance, mut actions) in self.pending.drain(..) {
            if !actions.is_empty() {
                reply.at(instance);
                actions.iter().for_each(|a| reply.action(a));
                actions.clear();
            }
            self.spare.push(actions);
        }
        Ok(())
    }

    fn event(
        &mut self,
        now: u64,
        instance: u16,
        place: usize,
        record: Record<'_>,
    ) -> Result<(), Stop> {
        let slot = &mut self.instances[usize::from(instance)];
        let out = &mut self.pending[place].1;
        let fault = |text| Stop::Fault { instance, text };
        let event = match record {
            Record::Up { seed, info } => {
                let settings = Settings::from_json(info).map_err(|e| fault(e.to_string()))?;
                out.clear();
                let made = guarded(|| Balancer::new(settings, seed, now)).map_err(fault)?;
                *slot = Some(Box::new(made));
                return Ok(());
            }
            Record::Exit => {
                // What a killed instance still wanted dies with it.
                out.clear();
                *slot = None;
                return Ok(());
            }
            Record::Directory { kind, list } => {
                let entries: &[ServerEntry] = if kind == ListKind::Failed {
                    &[]
                } else {
                    let known = self.lists.get(list as usize).and_then(Option::as_ref);
                    known.ok_or_else(|| WireError {
                        what: format!("list number {list} was never defined"),
                        at: 0,
                    })?
                };
                Event::EndpointUpdate { kind, entries }
            }
            Record::Ingress(request) => Event::Request(request),
            Record::FirstByte { id, attempt } => Event::FirstByte { id, attempt },
            Record::AttemptEnded(result) => Event::AttemptEnded(result),
            Record::Vanished(id) => Event::ClientDisconnected { id },
            Record::Ring(token) => Event::Timer { token },
            Record::Probed { server, outcome, latency, report } => {
                Event::HealthCheckEnded { server, outcome, latency, report }
            }
            Record::Note { from, data } => Event::PeerMessage { from, data },
            Record::On(_) | Record::Rows { .. } | Record::Unknown(_) => return Ok(()),
        };
        // Events for an instance that is not up have nobody to read them.
        match slot {
            Some(balancer) => guarded(|| balancer.handle(now, event, out)).map_err(fault),
            None => Ok(()),
        }
    }
}

/// Runs the decisions; a panic inside them comes back as its text.
fn guarded<T>(f: impl FnOnce() -> T) -> Result<T, String> {
    panic::catch_unwind(AssertUnwindSafe(f)).map_err(|_| {
        let text = PANIC.with(|p| p.take());
        format!("panic in the decisions: {text}")
    })
}

fn main() -> ExitCode {
    panic::set_hook(Box::new(|info| {
        PANIC.with(|p| *p.borrow_mut() = info.to_string());
    }));
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("lb-simulator-adapter: {e}");
            ExitCode::from(1)
        }
    }
}

fn run() -> io::Result<()> {
    let mut input = BufReader::with_capacity(1 << 16, io::stdin().lock());
    let mut output = io::stdout().lock();
    let mut host = Host::default();
    let mut reply = Reply::default();
    let (mut frame, mut bytes) = (Vec::new(), Vec::new());
    while wire::read_frame(&mut input, &mut frame)? {
        let stop = match host.batch(&frame, &mut reply) {
            Ok(()) => None,
            Err(Stop::Wire(e)) => return Err(io::Error::new(io::ErrorKind::InvalidData, e)),
            Err(Stop::Fault { instance, text }) => {
                reply = Reply::default();
                reply.at(instance);
                reply.fault(&text);
                Some(text)
            }
        };
        bytes.clear();
        reply.finish(&mut bytes);
        output.write_all(&bytes)?;
        output.flush()?;
        if let Some(text) = stop {
            return Err(io::Error::other(text));
        }
    }
    Ok(())
}
