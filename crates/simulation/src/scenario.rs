//! What a run is like: the world, and what goes wrong in it, when and for how long. Drawn from a seed,
//! or read from a file.

use std::path::Path;

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};

/// Faults begin no earlier, so that every run has seen the world in order.
pub const CALM_MS: u64 = 1500;
/// Faults have ended by then.
pub const FAULTS_END_MS: u64 = 13_000;
/// Clients bring nothing new from then on.
pub const LOAD_END_MS: u64 = 21_000;

/// One run.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// For everything that is drawn while it runs.
    pub seed: u64,
    /// Sidecars.
    pub sidecars: usize,
    /// Log servers in each of the three zones.
    pub servers: usize,
    /// Requests a second at each sidecar.
    pub rate: f64,
    /// Discovery is asked by the sidecars, not pushed by an agent.
    #[serde(default)]
    pub asked: bool,
    /// Sidecars remember the list of servers from before their start.
    #[serde(default)]
    pub known: bool,
    /// Descriptors of each sidecar.
    pub sockets: usize,
    /// Requests that each log server works on at once.
    #[serde(default = "four")]
    pub cores: usize,
    /// Tasks that are ready, and things that happen at one instant, come in drawn order.
    pub shuffle: bool,
    /// Timers go off late by up to so much, in microseconds.
    pub timer_lag_us: u64,
    /// Attempts may be called off.
    #[serde(default = "yes")]
    pub cancel: bool,
    /// Sidecars share what they know.
    #[serde(default)]
    pub tier: bool,
    /// How long a connection to a server may take to come up, in milliseconds.
    #[serde(default = "usual_connect")]
    pub connect_ms: u64,
    /// What goes wrong.
    #[serde(default)]
    pub faults: Vec<Fault>,
}

fn four() -> usize {
    4
}

fn usual_connect() -> u64 {
    75
}

fn yes() -> bool {
    true
}

/// Something that goes wrong.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Fault {
    /// When, in milliseconds since the start.
    pub at_ms: u64,
    /// For how long, where that has a meaning.
    pub for_ms: u64,
    /// What.
    #[serde(flatten)]
    pub kind: Kind,
}

/// What goes wrong. Servers and sidecars are numbered from 0; one that is not there is taken as its
/// number modulo how many there are.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(tag = "kind", rename_all = "kebab-case", rename_all_fields = "snake_case")]
pub enum Kind {
    /// A server takes so many times as long.
    Slow { server: usize, times: f64 },
    /// A share of a server's requests run and are never answered.
    Hang { server: usize, share: f64 },
    /// A share of a server's requests are answered 500 after they ran.
    Error { server: usize, share: f64 },
    /// A share of a server's connections are reset when a request is whole, before it runs.
    ResetBefore { server: usize, share: f64 },
    /// The same after it ran, in place of its answer.
    ResetAfter { server: usize, share: f64 },
    /// The same in the middle of its answer.
    ResetWithin { server: usize, share: f64 },
    /// A share of a server's answers are no HTTP.
    Spoilt { server: usize, share: f64 },
    /// A share of a server's answers stop half way and stay open.
    Half { server: usize, share: f64 },
    /// A share of a server's answers have another length than they say.
    WrongLength { server: usize, share: f64 },
    /// A share of a server's answers are followed by bytes that nobody asked for.
    Surplus { server: usize, share: f64 },
    /// A server closes a share of its connections right behind an answer, and does not say so.
    CloseAfter { server: usize, share: f64 },
    /// A share of a server's answers come only after so long.
    Late { server: usize, share: f64, late_ms: u64 },
    /// A server turns a share of what comes away unseen.
    TurnAway { server: usize, share: f64 },
    /// A server is killed, or vanishes, and is back at the end under the same name, cold.
    Restart { server: usize, vanish: bool },
    /// A server is killed and replaced by one of another name at its address, cold.
    Replace { server: usize },
    /// A server drains: listed as leaving, it turns away what is new; at the end it is back.
    Drain { server: usize },
    /// A server is taken off the list and goes on running; at the end it is listed again.
    Unlist { server: usize },
    /// The way to a server and back takes so much longer.
    Latency { server: usize, more_us: u64 },
    /// A share of what goes to a server and back needs a retransmission.
    Loss { server: usize, share: f64 },
    /// Reads and writes to and from a server are cut short at any byte.
    Chop { server: usize, share: f64 },
    /// Nothing passes to a server; `back`: nor from it.
    Cut { server: usize, there: bool, back: bool },
    /// A share of new connections to a server is refused.
    Refuse { server: usize, share: f64 },
    /// A share of new connections to a server never comes up.
    Ignore { server: usize, share: f64 },
    /// Resets overtake what is on its way from a server.
    Overtake { server: usize, share: f64 },
    /// Every so-many-th connection to a server is reset.
    ResetAll { server: usize, nth: usize },
    /// All connections to a server fall silent for good.
    Silence { server: usize },
    /// So few bytes fit on the way to a server before it has read them.
    Window { server: usize, bytes: usize },
    /// Discovery resets every call.
    DiscoveryDown,
    /// Discovery takes calls and says nothing.
    DiscoveryStill,
    /// Discovery's answers break off half way.
    DiscoveryHalf,
    /// Discovery begins a new life: its versions start again.
    DiscoveryJump,
    /// A share of the clients leave before their answer.
    Leave { share: f64 },
    /// A share of the clients bring their requests piece by piece.
    Trickle { share: f64 },
    /// A share of the clients use the id of a request that is open.
    ReuseId { share: f64 },
    /// A share of the clients send what is no request, or half of one.
    Garbage { share: f64 },
    /// So many times as many requests.
    Burst { times: f64 },
    /// A sidecar's descriptors run out: no more than it has now.
    Descriptors { sidecar: usize },
    /// A sidecar reads a new configuration; `sound`: it can be taken over.
    Reload { sidecar: usize, sound: bool },
    /// A sidecar is told to end, and started anew.
    Term { sidecar: usize },
    /// A sidecar is killed, and started anew.
    Kill { sidecar: usize },
    /// Notes between sidecars are lost and doubled.
    Notes { share: f64 },
    /// A share of a server's connections are reset so long after a request ran, in place of its answer.
    ResetLate { server: usize, share: f64, late_ms: u64 },
    /// A share of the requests that have a body have one that is too long to be kept.
    LongBodies { share: f64 },
    /// A share of a server's answers are too long to be kept.
    LongAnswers { server: usize, share: f64 },
    /// Operators take a server out at a sidecar, and put it back at the end.
    TakeOut { sidecar: usize, server: usize },
    /// Operators send a sidecar's clients away, and call them back at the end.
    SendAway { sidecar: usize },
    /// A sidecar's operators' listener is called by many who say nothing, half a line, or nonsense.
    BadCalls { sidecar: usize },
}

impl Kind {
    /// Whether it comes from a sidecar's operators.
    pub fn by_operators(&self) -> bool {
        matches!(self, Kind::TakeOut { .. } | Kind::SendAway { .. } | Kind::BadCalls { .. })
    }

    /// Its name, as in files.
    pub fn name(&self) -> String {
        let value = serde_json::to_value(self).unwrap_or_default();
        value["kind"].as_str().unwrap_or_default().to_owned()
    }
}

/// The number of kinds that [`draw_kind`] draws from.
pub const KINDS: usize = 47;

fn draw_kind(rng: &mut SmallRng, n: usize) -> Kind {
    let server = rng.random_range(0..9);
    let sidecar = rng.random_range(0..3);
    let share = *[0.05, 0.2, 0.5, 1.0].choose(rng).unwrap_or(&0.5);
    match n {
        0 => Kind::Slow { server, times: rng.random_range(2.0..60.0) },
        1 => Kind::Hang { server, share },
        2 => Kind::Error { server, share },
        3 => Kind::ResetBefore { server, share },
        4 => Kind::ResetAfter { server, share },
        5 => Kind::ResetWithin { server, share },
        6 => Kind::Spoilt { server, share },
        7 => Kind::Half { server, share },
        8 => Kind::WrongLength { server, share },
        9 => Kind::Surplus { server, share },
        10 => Kind::CloseAfter { server, share },
        11 => Kind::Late { server, share, late_ms: rng.random_range(50..2500) },
        12 => Kind::TurnAway { server, share },
        13 => Kind::Restart { server, vanish: rng.random() },
        14 => Kind::Replace { server },
        15 => Kind::Drain { server },
        16 => Kind::Unlist { server },
        17 => Kind::Latency { server, more_us: rng.random_range(200..200_000) },
        18 => Kind::Loss { server, share: share / 4.0 },
        19 => Kind::Chop { server, share },
        20 => {
            let there = rng.random();
            Kind::Cut { server, there, back: !there || rng.random() }
        }
        21 => Kind::Refuse { server, share },
        22 => Kind::Ignore { server, share },
        23 => Kind::Overtake { server, share },
        24 => Kind::ResetAll { server, nth: rng.random_range(1..4) },
        25 => Kind::Silence { server },
        26 => Kind::Window { server, bytes: rng.random_range(1..400) },
        27 => Kind::DiscoveryDown,
        28 => Kind::DiscoveryStill,
        29 => Kind::DiscoveryHalf,
        30 => Kind::DiscoveryJump,
        31 => Kind::Leave { share },
        32 => Kind::Trickle { share },
        33 => Kind::ReuseId { share },
        34 => Kind::Garbage { share },
        35 => Kind::Burst { times: rng.random_range(1.5..6.0) },
        36 => Kind::Descriptors { sidecar },
        37 => Kind::Reload { sidecar, sound: rng.random() },
        38 => Kind::Term { sidecar },
        39 => Kind::Kill { sidecar },
        40 => Kind::Notes { share },
        41 => Kind::ResetLate { server, share, late_ms: rng.random_range(50..1900) },
        42 => Kind::LongBodies { share },
        43 => Kind::LongAnswers { server, share },
        44 => Kind::TakeOut { sidecar, server },
        45 => Kind::SendAway { sidecar },
        _ => Kind::BadCalls { sidecar },
    }
}

impl Scenario {
    /// The scenario of a seed. Some are quiet, some have a single fault, some a storm; of all kinds
    /// of faults each seed knows only some (swarm testing: Groce et al., ISSTA 2012).
    pub fn draw(seed: u64) -> Scenario {
        let mut rng = SmallRng::seed_from_u64(seed ^ 0x5ce0_a210);
        let known: Vec<usize> = (0..KINDS).filter(|_| rng.random_bool(0.4)).collect();
        let known = if known.is_empty() { vec![0] } else { known };
        let n = match rng.random_range(0..20) {
            0 => 0,
            1..=6 => 1,
            7..=14 => rng.random_range(2..8),
            _ => rng.random_range(8..25),
        };
        let mut faults: Vec<Fault> = (0..n)
            .map(|_| {
                let n = *known.choose(&mut rng).unwrap_or(&0);
                let kind = draw_kind(&mut rng, n);
                let at_ms = rng.random_range(CALM_MS..FAULTS_END_MS - 500);
                let longest = (FAULTS_END_MS - at_ms).min(6000);
                Fault { at_ms, for_ms: rng.random_range(100..=longest), kind }
            })
            .collect();
        // What changes while discovery does not speak counts as soon as it does again.
        for n in 0..faults.len() {
            let Fault { at_ms, for_ms, ref kind } = faults[n];
            let silent = matches!(kind, Kind::DiscoveryDown | Kind::DiscoveryStill);
            if silent && for_ms > 200 && rng.random() {
                let at_ms = at_ms + rng.random_range(0..for_ms - 100);
                let for_ms = FAULTS_END_MS - at_ms;
                let kind = Kind::Drain { server: rng.random_range(0..9) };
                faults.push(Fault { at_ms, for_ms, kind });
            }
        }
        faults.sort_by_key(|f| f.at_ms);
        let sidecars = *[1, 1, 1, 2, 3].choose(&mut rng).unwrap_or(&1);
        // Small servers only where there is little load: cold ones would not bear more.
        let most = 4 - sidecars.min(3);
        Scenario {
            seed,
            sidecars,
            servers: *[1, 1, 2, 2, 3].choose(&mut rng).unwrap_or(&1),
            rate: *[15.0, 15.0, 20.0, 30.0, 90.0].choose(&mut rng).unwrap_or(&15.0),
            asked: rng.random_bool(0.3),
            known: rng.random_bool(0.5),
            sockets: *[64, 128, 256].choose(&mut rng).unwrap_or(&128),
            cores: *[4, 2, 1][..most].choose(&mut rng).unwrap_or(&4),
            shuffle: rng.random_bool(0.5),
            timer_lag_us: *[0, 200, 1000, 3000].choose(&mut rng).unwrap_or(&0),
            cancel: rng.random_bool(0.8),
            tier: rng.random_bool(0.5),
            // Other customers' connections may come up long after their request was given out.
            connect_ms: *[75, 75, 75, 400, 1500].choose(&mut rng).unwrap_or(&75),
            faults,
        }
    }

    /// Reads a scenario from a file.
    ///
    /// # Errors
    ///
    /// The place and what was expected there.
    pub fn read(path: &Path) -> Result<Scenario, String> {
        let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
        let scenario: Scenario =
            toml::from_str(&text).map_err(|e| format!("{}: {e}", path.display()))?;
        scenario.check().map_err(|e| format!("{}: {e}", path.display()))?;
        Ok(scenario)
    }

    /// Whether it can be played.
    fn check(&self) -> Result<(), String> {
        let within = |key: &str, ok: bool, what: &str| {
            if ok { Ok(()) } else { Err(format!("{key}: {what} expected")) }
        };
        within("sidecars", (1..=8).contains(&self.sidecars), "1 to 8")?;
        within("servers", (1..=20).contains(&self.servers), "1 to 20")?;
        within("rate", (0.1..=1000.0).contains(&self.rate), "0.1 to 1000")?;
        within("sockets", (64..=4096).contains(&self.sockets), "64 to 4096")?;
        within("cores", (1..=64).contains(&self.cores), "1 to 64")?;
        within("connect_ms", (1..=10_000).contains(&self.connect_ms), "1 to 10000")?;
        within("timer_lag_us", self.timer_lag_us <= 20_000, "20000 at most")?;
        for (n, fault) in self.faults.iter().enumerate() {
            let ends = fault.at_ms.saturating_add(fault.for_ms);
            within(&format!("faults[{n}]"), ends <= FAULTS_END_MS, "an end by 13000 ms")?;
        }
        Ok(())
    }

    /// The scenario as a file.
    pub fn text(&self) -> String {
        toml::to_string(self).unwrap_or_default()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_kind_is_drawn_and_what_is_drawn_can_be_written_and_read() {
        let mut names = std::collections::BTreeSet::new();
        for seed in 0..400 {
            let drawn = Scenario::draw(seed);
            drawn.check().expect("it can be played");
            assert_eq!(drawn, Scenario::draw(seed));
            let read: Scenario = toml::from_str(&drawn.text()).expect("its own text");
            assert_eq!(read.text(), drawn.text());
            names.extend(drawn.faults.iter().map(|f| f.kind.name()));
        }
        assert_eq!(names.len(), KINDS, "{names:?}");
    }

    #[test]
    fn a_file_that_cannot_be_played_is_told_with_the_key() {
        let sound = Scenario::draw(3).text();
        let bad = sound.replacen("sidecars = ", "sidecars = 9", 1);
        let path = std::env::temp_dir().join(format!("scenario-{}.toml", std::process::id()));
        std::fs::write(&path, bad).expect("written");
        let why = Scenario::read(&path).expect_err("9x sidecars");
        std::fs::write(&path, sound.replacen("rate", "rats", 1)).expect("written");
        let other = Scenario::read(&path).expect_err("an unknown key");
        let slow = sound.replacen("connect_ms = ", "connect_ms = 9999", 1);
        std::fs::write(&path, slow).expect("written");
        let slow = Scenario::read(&path).expect_err("connections that come up after hours");
        let _ = std::fs::remove_file(&path);
        assert!(why.contains("sidecars: 1 to 8") && other.contains("rats"), "{why}, {other}");
        assert!(slow.contains("connect_ms: 1 to 10000"), "{slow}");
    }
}
