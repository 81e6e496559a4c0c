//! What the sidecar is told at its start: `LB_CONFIG` and the other `LB_` variables. Everything is
//! checked here; an error names the key.

use std::borrow::Cow;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use gossip::TenantQuotas;
use serde::Deserialize;
use serde_json::Value;

use super::budget;
use crate::api::{Health, LoadReport, ServerEntry, ServerId};
use crate::settings::{RetrySafety, Settings};

/// The least descriptors that leave clients and servers places beside what the program itself
/// needs.
const LEAST_SOCKETS: usize = 64;
/// The least memory: the program itself takes some 6 MB, and the places at that many descriptors
/// fit into the rest.
const LEAST_MEMORY_MB: usize = 16;

/// The most that the longest body can be set to.
const MOST_BODY_MB: usize = 1 << 10;

/// Reports speak of requests, shares and milliseconds; none of these comes near this figure.
const MOST_REPORTED: f32 = 1e6;

/// The configuration, checked.
pub struct Config {
    /// The number of this configuration, where whoever writes it counts them; 0 otherwise.
    pub generation: u64,
    /// This sidecar's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// Where operators call, if they may.
    pub admin: Option<SocketAddr>,
    /// For random numbers.
    pub seed: u64,
    /// Bytes of memory that the process may use.
    pub memory: usize,
    /// Descriptors that the process may hold.
    pub sockets: usize,
    /// The longest body of a request or an answer, in bytes.
    pub longest_body: usize,
    /// Where datagrams of other sidecars arrive, if they may come.
    pub peer_listen: Option<SocketAddr>,
    /// The sidecars of the tier, by their numbers.
    pub peers: Vec<SocketAddr>,
    /// What is sent there reaches every sidecar of the tier.
    pub peers_all: Option<SocketAddr>,
    /// Between two notes to the other sidecars of the tier, where it takes part in what they know together.
    pub gossip_round_interval: Option<Duration>,
    /// The list of servers as this sidecar last had it.
    pub known: Option<List>,
    /// The module's settings.
    pub settings: Settings,
    /// The names that stand on sockets for the module's numbers.
    pub names: Rc<Names>,
    /// The part that holds from the start to the end of a process: all but what a reload takes over
    /// live. The seed is for one start, and `known` for its first moment.
    pub fixed: Value,
}

#[derive(Deserialize)]
struct File {
    #[serde(default)]
    generation: u64,
    name: Option<String>,
    listen: Option<String>,
    discovery: Option<String>,
    admin_addr: Option<String>,
    seed: String,
    limits: Limits,
    peer_listen: Option<SocketAddr>,
    #[serde(default)]
    peers: Vec<SocketAddr>,
    peers_all: Option<SocketAddr>,
    tier: Option<TierFile>,
    known: Option<List>,
    settings: Value,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TierFile {
    turn_ms: u64,
}

/// Turns that can be set, in milliseconds.
const TURNS: std::ops::RangeInclusive<u64> = 10..=60_000;

#[derive(Deserialize)]
struct Limits {
    memory_mb: usize,
    sockets: usize,
    #[serde(default = "longest_body_mb")]
    longest_body_mb: usize,
}

/// Peers have been seen to send 32 MB.
fn longest_body_mb() -> usize {
    33
}

/// Text that is part of a larger one where it can be, and a copy where it had to be unescaped.
#[derive(Clone, Debug, Deserialize)]
pub struct Part<'a>(#[serde(borrow)] Cow<'a, str>);

impl AsRef<str> for Part<'_> {
    fn as_ref(&self) -> &str {
        &self.0
    }
}

/// A list of servers, or what changed in it, as discovery writes it. Names are copies, or parts of the text that
/// the list was read from.
#[derive(Clone, Debug, Deserialize)]
pub struct List<S = String> {
    /// The version of the list.
    pub seq: u64,
    /// Whether this is all of it.
    pub whole: bool,
    /// The entries.
    pub hosts: Vec<Host<S>>,
}

impl Default for List {
    fn default() -> List {
        List { seq: 0, whole: false, hosts: Vec::new() }
    }
}

/// One server of a list.
#[derive(Clone, Debug, Deserialize)]
pub struct Host<S = String> {
    /// The name, the same at every sidecar.
    pub host: S,
    /// Where it listens for this sidecar; one that is gone need not say.
    pub dial: Option<SocketAddr>,
    site: Option<S>,
    class: Option<S>,
    #[serde(default)]
    block: u16,
    health: Listed,
    #[serde(default = "one")]
    share: f32,
    #[serde(default)]
    born_ms: u64,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Listed {
    Active,
    Leaving,
    Left,
}

fn one() -> f32 {
    1.0
}

impl<S: AsRef<str>> Host<S> {
    /// The module's name for it.
    pub fn id(&self) -> ServerId {
        ServerId(stable_hash(self.host.as_ref().as_bytes()))
    }

    /// Whether it is there at all.
    pub fn listed(&self) -> bool {
        !matches!(self.health, Listed::Left)
    }

    /// Whether it may get anything new.
    pub fn wants_work(&self) -> bool {
        matches!(self.health, Listed::Active)
    }
}

/// The same number for the same bytes in every build and at every sidecar (FNV-1a).
pub fn stable_hash(bytes: &[u8]) -> u64 {
    bytes
        .iter()
        .fold(0xcbf2_9ce4_8422_2325, |h, &b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
}

/// A class as it is met on sockets.
#[derive(Clone, Copy, Debug)]
pub struct ClassName {
    /// Its place in the settings.
    pub index: usize,
    /// It decides the method.
    pub repeat: RetrySafety,
}

/// Names that stand on sockets for numbers of the settings.
#[derive(Default)]
pub struct Names {
    /// Classes by the first part of the path.
    pub classes: HashMap<String, ClassName>,
    /// Tenants by `X-Account`.
    pub tenants: HashMap<String, usize>,
    zones: Vec<String>,
    kinds: Vec<String>,
    columns: Vec<String>,
}

impl Names {
    fn new(settings: &Settings, raw: &Value) -> Result<Names, String> {
        let strings = |key: &str, of: fn(&Value) -> &Value| -> Result<Vec<String>, String> {
            let Some(list) = raw.get(key).and_then(Value::as_array) else {
                return Ok(Vec::new());
            };
            let names: Option<_> = list.iter().map(|v| of(v).as_str().map(str::to_owned)).collect();
            names.ok_or_else(|| format!("settings.{key}: names expected"))
        };
        let mut names = Names {
            zones: settings.zones.clone(),
            kinds: strings("kinds", |v| v)?,
            columns: settings.load_reporting.columns.clone(),
            ..Names::default()
        };
        for (index, class) in settings.classes.iter().enumerate() {
            let of = ClassName { index, repeat: class.retry_safety };
            if names.classes.insert(class.name.clone(), of).is_some() {
                return Err(format!("settings.classes[{index}].name: a name of its own expected"));
            }
        }
        for (index, name) in strings("tenants", |v| &v["name"])?.into_iter().enumerate() {
            if names.tenants.insert(name, index).is_some() {
                return Err(format!("settings.tenants[{index}].name: a name of its own expected"));
            }
        }
        Ok(names)
    }

    /// The names of the tenants, in the order of the settings.
    pub fn tenant_names(&self) -> Vec<String> {
        let mut tenants: Vec<_> = self.tenants.iter().collect();
        tenants.sort_unstable_by_key(|(_, index)| **index);
        tenants.into_iter().map(|(name, _)| name.clone()).collect()
    }

    /// A server as the module takes it. A zone or kind that the settings lack is like no other.
    pub fn entry<S: AsRef<str>>(&self, host: &Host<S>) -> ServerEntry {
        let place = |names: &[String], name: &Option<S>| {
            let name = name.as_ref().map_or("", AsRef::as_ref);
            names.iter().position(|n| n == name)
        };
        ServerEntry {
            id: host.id(),
            zone: place(&self.zones, &host.site).and_then(|i| i.try_into().ok()).unwrap_or(u8::MAX),
            kind: place(&self.kinds, &host.class)
                .and_then(|i| i.try_into().ok())
                .unwrap_or(u16::MAX),
            cell: host.block,
            health: match host.health {
                Listed::Active => Health::Ready,
                Listed::Leaving => Health::Draining,
                Listed::Left => Health::Removed,
            },
            weight: host.share,
            started_at: host.born_ms.saturating_mul(1000),
        }
    }

    /// A load report (`inflight=7,queue=2,util=0.61`) in the order of the settings' columns. One
    /// that lacks a column or holds a figure that cannot be is none.
    ///
    /// Danger: servers name the fields as the protocol does or as the settings do (`rif=7,q=2`). Read
    /// by one set of names alone, every report is lost without a word, and the sidecar goes blind.
    pub fn report(&self, text: &str) -> LoadReport {
        let field = |column: &String| {
            let name = match column.as_str() {
                "rif" => "inflight",
                "q" => "queue",
                "busy" => "util",
                "lat_ms" => "latency_ms",
                "rate" => "qps",
                "fail_rate" => "eps",
                other => other,
            };
            let fields = text.split(',').filter_map(|f| f.split_once('='));
            let named = |k: &str| k == column || k == name;
            let value = fields.filter(|(k, _)| named(k.trim())).map(|(_, v)| v).next()?;
            // Danger: a figure that no server can have would spoil the averages it enters.
            value.trim().parse::<f32>().ok().filter(|v| (0.0..=MOST_REPORTED).contains(v))
        };
        let values: Option<_> = self.columns.iter().map(field).collect();
        values.map(LoadReport).unwrap_or_default()
    }
}

impl Config {
    /// The tenants' quotas as gossip shares them. Their schema stands for the names of tenants and classes, in the
    /// order of the settings.
    pub fn tenant_quotas(&self) -> TenantQuotas {
        let tenants = self.names.tenant_names();
        let classes = self.settings.classes.iter().map(|class| class.name.as_str());
        let names = tenants.iter().map(String::as_str).chain(classes);
        let names: Vec<u8> = names.flat_map(|name| name.bytes().chain([0])).collect();
        TenantQuotas {
            schema: stable_hash(&names) as u16,
            per_second: self.settings.tenants.iter().map(|tenant| tenant.quota_per_s).collect(),
        }
    }

    /// Reads the configuration that the variables name.
    pub fn from_env() -> Result<Config, String> {
        let var = |key: &str| match std::env::var(key) {
            Ok(value) if !value.is_empty() => Ok(Some(value)),
            Ok(_) | Err(std::env::VarError::NotPresent) => Ok(None),
            Err(e) => Err(format!("{key}: {e}")),
        };
        let path = var("LB_CONFIG")?.ok_or("LB_CONFIG: the path of the configuration expected")?;
        let text = std::fs::read(&path).map_err(|e| format!("LB_CONFIG: {path}: {e}"))?;
        let keys = ["LB_NAME", "LB_LISTEN", "LB_DISCOVERY", "LB_ADMIN_ADDR", "LB_TIER_TURN_MS"];
        let [name, listen, discovery, admin, tier] = keys.map(var);
        Config::from_json(&text, [name?, listen?, discovery?, admin?, tier?])
            .map_err(|e| format!("LB_CONFIG: {e}"))
    }

    /// Reads the file that `LB_CONFIG` names again, at a reload. It is checked as at the start; but
    /// the variables are as old as the process, so where they differ from the file the file holds.
    pub fn again() -> Result<Config, String> {
        let path = std::env::var("LB_CONFIG").map_err(|e| format!("LB_CONFIG: {e}"))?;
        let text = std::fs::read(&path).map_err(|e| format!("LB_CONFIG: {path}: {e}"))?;
        let given: File = serde_json::from_slice(&text).map_err(|e| format!("LB_CONFIG: {e}"))?;
        let var = |own: &Option<String>, key| match own {
            Some(_) => None,
            None => std::env::var(key).ok().filter(|v| !v.is_empty()),
        };
        let env = [
            var(&given.name, "LB_NAME"),
            var(&given.listen, "LB_LISTEN"),
            var(&given.discovery, "LB_DISCOVERY"),
            var(&given.admin_addr, "LB_ADMIN_ADDR"),
            var(&given.tier.map(|tier| tier.turn_ms.to_string()), "LB_TIER_TURN_MS"),
        ];
        Config::from_json(&text, env).map_err(|e| format!("LB_CONFIG: {e}"))
    }

    /// Reads a configuration; `env` holds the name and the addresses as the variables have them.
    fn from_json(text: &[u8], env: [Option<String>; 5]) -> Result<Config, String> {
        let file: File = serde_json::from_slice(text).map_err(|e| e.to_string())?;
        let [name, listen, discovery, admin, tier] = env;
        let name = agreed("name", file.name, "LB_NAME", name)?;
        let listen = agreed("listen", file.listen, "LB_LISTEN", listen)?;
        let discovery = agreed("discovery", file.discovery, "LB_DISCOVERY", discovery)?;
        let admin = match (&file.admin_addr, &admin) {
            (None, None) => None,
            _ => Some(agreed("admin_addr", file.admin_addr, "LB_ADMIN_ADDR", admin)?),
        };
        let address = |key: &str, text: String| {
            text.parse().map_err(|_| format!("{key}: an address and a port expected, not {text:?}"))
        };
        let seed = u64::from_str_radix(&file.seed, 16)
            .map_err(|_| format!("seed: 16 hexadecimal digits expected, not {:?}", file.seed))?;
        if file.limits.sockets < LEAST_SOCKETS {
            return Err(format!("limits.sockets: {LEAST_SOCKETS} or more expected"));
        }
        if file.limits.memory_mb < LEAST_MEMORY_MB {
            return Err(format!("limits.memory_mb: {LEAST_MEMORY_MB} or more expected"));
        }
        if !(1..=MOST_BODY_MB).contains(&file.limits.longest_body_mb) {
            return Err(format!("limits.longest_body_mb: 1 to {MOST_BODY_MB} expected"));
        }
        let settings =
            Settings::from_json(file.settings.to_string().as_bytes()).map_err(|e| e.to_string())?;
        if !file.peers.is_empty() && file.peers.len() != settings.instances as usize {
            return Err("peers: as many as settings.instances expected".into());
        }
        let names = Names::new(&settings, &file.settings)?;
        let turn = match (&file.tier, &tier) {
            (None, None) => None,
            _ => {
                let own = file.tier.map(|tier| tier.turn_ms.to_string());
                let text = agreed("tier.turn_ms", own, "LB_TIER_TURN_MS", tier)?;
                let turn = text.parse().ok().filter(|turn| TURNS.contains(turn));
                let (least, most) = (TURNS.start(), TURNS.end());
                Some(turn.ok_or_else(|| {
                    format!("tier.turn_ms: {least} to {most} expected, not {text:?}")
                })?)
            }
        };
        let megabytes = file.limits.memory_mb;
        let most = budget::max_members(megabytes << 20);
        if turn.is_some() && settings.instances as usize > most {
            return Err(format!(
                "settings.instances: {most} at most expected with tier.turn_ms and limits.memory_mb = {megabytes}"
            ));
        }
        let most = budget::max_servers(megabytes << 20);
        if file.known.as_ref().is_some_and(|known| known.hosts.len() > most) {
            return Err(format!(
                "known.hosts: {most} at most expected with limits.memory_mb = {megabytes}"
            ));
        }
        Ok(Config {
            name,
            listen: address("listen", listen)?,
            discovery: address("discovery", discovery)?,
            admin: admin.map(|text| address("admin_addr", text)).transpose()?,
            generation: file.generation,
            seed,
            memory: file.limits.memory_mb << 20,
            sockets: file.limits.sockets,
            longest_body: file.limits.longest_body_mb << 20,
            peer_listen: file.peer_listen,
            peers: file.peers,
            peers_all: file.peers_all,
            gossip_round_interval: turn.map(Duration::from_millis),
            known: file.known,
            settings,
            names: Rc::new(names),
            fixed: fixed(text)?,
        })
    }

    /// A configuration from its text, without the variables; an error names the key.
    pub fn parse(text: &[u8]) -> Result<Config, String> {
        Config::from_json(text, [const { None }; 5])
    }

    /// Checks a file as a configuration, without the variables; an error names the key.
    pub fn check(path: &str) -> Result<Config, String> {
        let text = std::fs::read(path).map_err(|e| format!("{path}: {e}"))?;
        Config::parse(&text).map_err(|e| format!("{path}: {e}"))
    }
}

/// The configuration less what can change while a process runs.
fn fixed(text: &[u8]) -> Result<Value, String> {
    let mut all: Value = serde_json::from_slice(text).map_err(|e| e.to_string())?;
    let strip = |from: &mut Value, keys: &[&str]| {
        if let Some(map) = from.as_object_mut() {
            map.retain(|key, _| !keys.contains(&key.as_str()));
        }
    };
    strip(&mut all, &["discovery", "generation", "known", "limits", "seed"]);
    let settings = &mut all["settings"];
    strip(settings, &["limits", "tenants"]);
    for class in settings["classes"].as_array_mut().into_iter().flatten() {
        strip(class, &["aim", "credit", "deadline", "lateWorth"]);
    }
    Ok(all)
}

/// A value that may stand in the file, in a variable or, the same, in both.
fn agreed(
    key: &str,
    file: Option<String>,
    var: &str,
    env: Option<String>,
) -> Result<String, String> {
    match (file, env) {
        (Some(a), Some(b)) if a != b => Err(format!("{key}: {a:?} here, but {b:?} in {var}")),
        (Some(value), _) | (None, Some(value)) => Ok(value),
        (None, None) => Err(format!("{key}: expected here or in {var}")),
    }
}
