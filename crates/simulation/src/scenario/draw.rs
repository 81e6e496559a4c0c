//! Draws scenarios from a seed.

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use super::{FAULTS_BEGIN_MS, FAULTS_END_MS, Fault, FaultKind, Scenario};

/// The number of kinds of faults that are drawn.
pub const FAULT_KINDS: usize = 47;

/// Separates the random numbers for the scenario from those for its run.
const SEED_MASK: u64 = 0x5ce0_a210;
/// The probability that the scenario of a seed may have a kind of fault.
const KIND_PROBABILITY: f64 = 0.4;
/// The longest duration of a fault, in milliseconds.
const LONGEST_FAULT_MS: u64 = 6000;
/// The shortest duration of a fault, in milliseconds.
const SHORTEST_FAULT_MS: u64 = 100;
/// The shortest time between the begin of a fault and the end of all faults, in milliseconds.
const LAST_BEGIN_MARGIN_MS: u64 = 500;
/// The indices of servers that faults are drawn for.
const SERVER_INDICES: std::ops::Range<usize> = 0..9;
/// The indices of sidecars that faults are drawn for.
const SIDECAR_INDICES: std::ops::Range<usize> = 0..3;

impl Scenario {
    /// Draws the scenario of a seed. Some have no faults, some have one, some have many. Each seed has only a subset
    /// of the kinds of faults (swarm testing: Groce et al., ISSTA 2012).
    pub fn draw(seed: u64) -> Scenario {
        let mut rng = SmallRng::seed_from_u64(seed ^ SEED_MASK);
        let faults = draw_faults(&mut rng);
        let sidecars = *[1, 1, 1, 2, 3].choose(&mut rng).unwrap_or(&1);
        // Servers have a low concurrency only under little load: in slow start they could not handle more.
        let concurrencies = 4 - sidecars.min(3);
        Scenario {
            seed,
            sidecars,
            servers_per_zone: *[1, 1, 2, 2, 3].choose(&mut rng).unwrap_or(&1),
            rate: *[15.0, 15.0, 20.0, 30.0, 90.0].choose(&mut rng).unwrap_or(&15.0),
            discovery_polled: rng.random_bool(0.3),
            endpoints_cached: rng.random_bool(0.5),
            sockets: *[64, 128, 256].choose(&mut rng).unwrap_or(&128),
            server_concurrency: *[4, 2, 1][..concurrencies].choose(&mut rng).unwrap_or(&4),
            shuffle: rng.random_bool(0.5),
            timer_lag_us: *[0, 200, 1000, 3000].choose(&mut rng).unwrap_or(&0),
            cancellation: rng.random_bool(0.8),
            gossip: rng.random_bool(0.5),
            // With longer timeouts, as some deployments have, a connection may be established long after its server was
            // selected for the request.
            connect_timeout_ms: *[75, 75, 75, 400, 1500].choose(&mut rng).unwrap_or(&75),
            resting_clients: 0,
            faults,
        }
    }
}

fn draw_faults(rng: &mut SmallRng) -> Vec<Fault> {
    let enabled_kinds: Vec<usize> =
        (0..FAULT_KINDS).filter(|_| rng.random_bool(KIND_PROBABILITY)).collect();
    let enabled_kinds = if enabled_kinds.is_empty() { vec![0] } else { enabled_kinds };
    let count = match rng.random_range(0..20) {
        0 => 0,
        1..=6 => 1,
        7..=14 => rng.random_range(2..8),
        _ => rng.random_range(8..25),
    };
    let mut faults: Vec<Fault> = (0..count).map(|_| draw_fault(rng, &enabled_kinds)).collect();
    add_drains_during_discovery_outages(rng, &mut faults);
    faults.sort_by_key(|fault| fault.at_ms);
    faults
}

fn draw_fault(rng: &mut SmallRng, enabled_kinds: &[usize]) -> Fault {
    let number = *enabled_kinds.choose(rng).unwrap_or(&0);
    let kind = draw_kind(rng, number);
    let at_ms = rng.random_range(FAULTS_BEGIN_MS..FAULTS_END_MS - LAST_BEGIN_MARGIN_MS);
    let longest = (FAULTS_END_MS - at_ms).min(LONGEST_FAULT_MS);
    Fault { at_ms, for_ms: rng.random_range(SHORTEST_FAULT_MS..=longest), kind }
}

/// Adds drains of servers while discovery does not answer. They take effect when it answers again.
fn add_drains_during_discovery_outages(rng: &mut SmallRng, faults: &mut Vec<Fault>) {
    for index in 0..faults.len() {
        let Fault { at_ms, for_ms, ref kind } = faults[index];
        let outage = matches!(kind, FaultKind::DiscoveryDown | FaultKind::DiscoverySilent);
        if outage && for_ms > 2 * SHORTEST_FAULT_MS && rng.random() {
            let at_ms = at_ms + rng.random_range(0..for_ms - SHORTEST_FAULT_MS);
            let for_ms = FAULTS_END_MS - at_ms;
            let kind = FaultKind::DrainServer { server: rng.random_range(SERVER_INDICES) };
            faults.push(Fault { at_ms, for_ms, kind });
        }
    }
}

/// Draws the parameters of the kind of fault with this number. The numbers and the order of the draws must not change:
/// they determine the scenario of a seed.
fn draw_kind(rng: &mut SmallRng, number: usize) -> FaultKind {
    let server = rng.random_range(SERVER_INDICES);
    let sidecar = rng.random_range(SIDECAR_INDICES);
    let share = *[0.05, 0.2, 0.5, 1.0].choose(rng).unwrap_or(&0.5);
    match number {
        0..=12 | 41 | 43 => draw_server_kind(rng, number, server, share),
        13..=16 => draw_lifecycle_kind(rng, number, server),
        17..=26 => draw_network_kind(rng, number, server, share),
        27 => FaultKind::DiscoveryDown,
        28 => FaultKind::DiscoverySilent,
        29 => FaultKind::DiscoveryTruncated,
        30 => FaultKind::DiscoveryRestart,
        31 => FaultKind::ClientsLeave { share },
        32 => FaultKind::SlowRequests { share },
        33 => FaultKind::DuplicateIds { share },
        34 => FaultKind::MalformedRequests { share },
        35 => FaultKind::LoadBurst { factor: rng.random_range(1.5..6.0) },
        36 => FaultKind::DescriptorsExhausted { sidecar },
        37 => FaultKind::ReloadConfiguration { sidecar, valid: rng.random() },
        38 => FaultKind::TerminateSidecar { sidecar },
        39 => FaultKind::KillSidecar { sidecar },
        40 => FaultKind::GossipLoss { share },
        42 => FaultKind::LongRequests { share },
        44 => FaultKind::DisableServer { sidecar, server },
        45 => FaultKind::DrainClients { sidecar },
        _ => FaultKind::MalformedAdminCalls { sidecar },
    }
}

/// Draws a fault in the responses of a server.
fn draw_server_kind(rng: &mut SmallRng, number: usize, server: usize, share: f64) -> FaultKind {
    match number {
        0 => FaultKind::SlowServer { server, factor: rng.random_range(2.0..60.0) },
        1 => FaultKind::Hang { server, share },
        2 => FaultKind::ServerError { server, share },
        3 => FaultKind::ResetBeforeExecution { server, share },
        4 => FaultKind::ResetAfterExecution { server, share },
        5 => FaultKind::ResetWithinResponse { server, share },
        6 => FaultKind::MalformedResponse { server, share },
        7 => FaultKind::TruncatedResponse { server, share },
        8 => FaultKind::WrongContentLength { server, share },
        9 => FaultKind::SurplusBytes { server, share },
        10 => FaultKind::CloseAfterResponse { server, share },
        11 => {
            let delay_ms = rng.random_range(50..2500);
            FaultKind::DelayedResponse { server, share, delay_ms }
        }
        12 => FaultKind::RejectUnprocessed { server, share },
        41 => {
            let delay_ms = rng.random_range(50..1900);
            FaultKind::DelayedReset { server, share, delay_ms }
        }
        _ => FaultKind::LongResponses { server, share },
    }
}

/// Draws a fault in the lifecycle of a server.
fn draw_lifecycle_kind(rng: &mut SmallRng, number: usize, server: usize) -> FaultKind {
    match number {
        13 => FaultKind::RestartServer { server, vanish: rng.random() },
        14 => FaultKind::ReplaceServer { server },
        15 => FaultKind::DrainServer { server },
        _ => FaultKind::UnlistServer { server },
    }
}

/// Draws a fault of the network between the sidecars and a server.
fn draw_network_kind(rng: &mut SmallRng, number: usize, server: usize, share: f64) -> FaultKind {
    match number {
        17 => FaultKind::AddedLatency { server, added_us: rng.random_range(200..200_000) },
        18 => FaultKind::SegmentLoss { server, share: share / 4.0 },
        19 => FaultKind::PartialIo { server, share },
        20 => {
            let to_server: bool = rng.random();
            let from_server = !to_server || rng.random();
            FaultKind::Partition { server, to_server, from_server }
        }
        21 => FaultKind::RefuseConnections { server, share },
        22 => FaultKind::DropSyns { server, share },
        23 => FaultKind::ResetOvertakes { server, share },
        24 => FaultKind::ResetConnections { server, nth: rng.random_range(1..4) },
        25 => FaultKind::BlackholeConnections { server },
        _ => FaultKind::SmallWindow { server, bytes: rng.random_range(1..400) },
    }
}
