//! Runs many instances of the balancer for the simulator. Reads batches of events from standard input and writes one
//! reply to each to standard output. The instances share no state.
#![forbid(unsafe_code)]

use std::cell::RefCell;
use std::io::{self, BufReader, Write};
use std::panic::{self, AssertUnwindSafe};
use std::process::ExitCode;

use lb_sidecar::api::{Action, Event, ListKind, Micros, ServerEntry};
use lb_sidecar::balancer::Balancer;
use lb_sidecar::settings::{Settings, SettingsError};
use lb_sidecar::wire::{self, Batch, Record, Reply, WireError, WireProblem};
use thiserror::Error;

/// Maximum number of endpoint lists that the simulator can define.
const MAX_LISTS: usize = 16;
/// Size of the buffer for standard input, in bytes.
const INPUT_BUFFER_BYTES: usize = 1 << 16;

thread_local! {
    /// The message of the last panic, stored by the panic hook.
    static PANIC_MESSAGE: RefCell<String> = const { RefCell::new(String::new()) };
}

/// The failure of an instance.
#[derive(Debug, Error)]
enum InstanceError {
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error("balancer panicked: {0}")]
    Panic(String),
}

/// An error that ends the process.
#[derive(Debug, Error)]
enum BatchError {
    #[error(transparent)]
    Malformed(#[from] WireError),
    #[error("{error}")]
    Instance { instance: u16, error: InstanceError },
}

/// The actions of one instance in a batch.
struct PendingActions {
    instance: u16,
    actions: Vec<Action>,
}

/// The index of an instance's entry in `Host::pending`, valid for one batch.
#[derive(Clone, Copy, Default)]
struct PendingIndex {
    batch: u64,
    index: usize,
}

/// The instances, and the defined endpoint lists.
#[derive(Default)]
struct Host {
    instances: Vec<Option<Box<Balancer>>>,
    lists: [Option<Vec<ServerEntry>>; MAX_LISTS],
    /// Unknown record codes that were already logged.
    skipped_codes: Vec<u8>,
    /// Actions of the current batch: one entry per instance, in the order in which they were first selected.
    pending: Vec<PendingActions>,
    pending_index: Vec<PendingIndex>,
    /// The number of the current batch.
    batch: u64,
    /// Empty vectors for reuse.
    spare: Vec<Vec<Action>>,
}

impl Host {
    /// Returns the index in `pending` of an instance, and adds the entry if needed.
    fn select(&mut self, instance: u16) -> usize {
        let i = usize::from(instance);
        if self.pending_index.len() <= i {
            self.pending_index.resize(i + 1, PendingIndex::default());
            self.instances.resize_with(i + 1, || None);
        }
        if self.pending_index[i].batch != self.batch {
            self.pending_index[i] = PendingIndex { batch: self.batch, index: self.pending.len() };
            let actions = self.spare.pop().unwrap_or_default();
            self.pending.push(PendingActions { instance, actions });
        }
        self.pending_index[i].index
    }

    /// Handles one batch and appends its actions to the reply.
    fn handle_batch(&mut self, frame: &[u8], reply: &mut Reply) -> Result<(), BatchError> {
        self.batch += 1;
        let batch = Batch::new(frame)?;
        let mut selected = None;
        for record in batch.records() {
            match record? {
                Record::SelectInstance(instance) => selected = Some(self.select(instance)),
                Record::EndpointList { list, entries } => self.define_list(list, entries)?,
                Record::Unknown(code) => self.skip(code),
                record => {
                    let selected =
                        selected.ok_or_else(|| WireError::new(WireProblem::NoInstance, 0))?;
                    self.handle_record(batch.now, selected, record)?;
                }
            }
        }
        for PendingActions { instance, mut actions } in self.pending.drain(..) {
            if !actions.is_empty() {
                reply.select_instance(instance);
                actions.iter().for_each(|action| reply.action(action));
                actions.clear();
            }
            self.spare.push(actions);
        }
        Ok(())
    }

    fn define_list(&mut self, list: u32, entries: Vec<ServerEntry>) -> Result<(), WireError> {
        let too_large = || WireError::new(WireProblem::ListNumberTooLarge(list), 0);
        *self.lists.get_mut(list as usize).ok_or_else(too_large)? = Some(entries);
        Ok(())
    }

    /// Logs an unknown record code the first time.
    fn skip(&mut self, code: u8) {
        if !self.skipped_codes.contains(&code) {
            self.skipped_codes.push(code);
            eprintln!("lb-simulator-adapter: skipping records with unknown code {code}");
        }
    }

    /// Handles a record for the instance at an index of `pending`.
    fn handle_record(
        &mut self,
        now: Micros,
        selected: usize,
        record: Record<'_>,
    ) -> Result<(), BatchError> {
        let PendingActions { instance, actions } = &mut self.pending[selected];
        let instance = *instance;
        let balancer = &mut self.instances[usize::from(instance)];
        let failed = |error| BatchError::Instance { instance, error };
        match record {
            Record::Start { seed, settings } => {
                actions.clear();
                *balancer = Some(Box::new(start(settings, seed, now).map_err(failed)?));
                return Ok(());
            }
            Record::Stop => {
                // The actions of a stopped instance are discarded.
                actions.clear();
                *balancer = None;
                return Ok(());
            }
            _ => {}
        }
        let Some(event) = event(record, &self.lists)? else { return Ok(()) };
        // Events for an instance that is not running are ignored.
        let Some(balancer) = balancer else { return Ok(()) };
        catch_panic(|| balancer.handle(now, event, actions)).map_err(failed)
    }
}

fn start(settings: &[u8], seed: u64, now: Micros) -> Result<Balancer, InstanceError> {
    let settings = Settings::from_json(settings)?;
    catch_panic(|| Balancer::new(settings, seed, now))
}

/// Returns the event of a record; `None` if the host handles the record itself.
fn event<'a>(
    record: Record<'a>,
    lists: &'a [Option<Vec<ServerEntry>>; MAX_LISTS],
) -> Result<Option<Event<'a>>, WireError> {
    Ok(Some(match record {
        Record::EndpointUpdate { kind: ListKind::Failed, .. } => {
            Event::EndpointUpdate { kind: ListKind::Failed, entries: &[] }
        }
        Record::EndpointUpdate { kind, list } => {
            let entries = lists.get(list as usize).and_then(Option::as_ref);
            let undefined = || WireError::new(WireProblem::UndefinedList(list), 0);
            Event::EndpointUpdate { kind, entries: entries.ok_or_else(undefined)? }
        }
        Record::Request(request) => Event::Request(request),
        Record::FirstByte { id, attempt } => Event::FirstByte { id, attempt },
        Record::AttemptEnded(attempt) => Event::AttemptEnded(attempt),
        Record::ClientDisconnected(id) => Event::ClientDisconnected { id },
        Record::Timer(token) => Event::Timer { token },
        Record::HealthCheckEnded { server, outcome, latency, report } => {
            Event::HealthCheckEnded { server, outcome, latency, report }
        }
        Record::PeerMessage { from, data } => Event::PeerMessage { from, data },
        Record::SelectInstance(_)
        | Record::Start { .. }
        | Record::Stop
        | Record::EndpointList { .. }
        | Record::Unknown(_) => return Ok(None),
    }))
}

/// Calls the balancer and converts a panic to an error with its message.
fn catch_panic<T>(run: impl FnOnce() -> T) -> Result<T, InstanceError> {
    panic::catch_unwind(AssertUnwindSafe(run))
        .map_err(|_| InstanceError::Panic(PANIC_MESSAGE.with(RefCell::take)))
}

fn main() -> ExitCode {
    panic::set_hook(Box::new(|info| {
        PANIC_MESSAGE.with(|message| *message.borrow_mut() = info.to_string());
    }));
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("lb-simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Replies to batches until the input ends, or until an instance fails. The last reply then reports its fault.
fn run() -> io::Result<()> {
    let mut input = BufReader::with_capacity(INPUT_BUFFER_BYTES, io::stdin().lock());
    let mut output = io::stdout().lock();
    let mut host = Host::default();
    let mut reply = Reply::default();
    let (mut frame, mut bytes) = (Vec::new(), Vec::new());
    while wire::read_frame(&mut input, &mut frame)? {
        let failure = match host.handle_batch(&frame, &mut reply) {
            Ok(()) => None,
            Err(BatchError::Malformed(error)) => return Err(error.into()),
            Err(BatchError::Instance { instance, error }) => {
                reply = Reply::default();
                reply.select_instance(instance);
                reply.fault(&error.to_string());
                Some(error)
            }
        };
        bytes.clear();
        reply.finish(&mut bytes);
        output.write_all(&bytes)?;
        output.flush()?;
        if let Some(error) = failure {
            return Err(io::Error::other(error));
        }
    }
    Ok(())
}
