//! A trial's file: who is there, what is asked, what goes wrong when, and what must hold. Read and checked as a
//! whole; an error names the line and the key. What comes out is a plan that follows from the file and the seed
//! alone.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use std::time::Duration;

use fakes::world::{TENANTS, ZONES};
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use toml::Spanned;

use crate::expectations::{Expectation, Measure};
use crate::links::{Laid, Part, Shape};

/// The most sidecars, servers in a data centre, seconds, faults, and requests a second in all.
pub const MOST_SIDECARS: u16 = 400;
const MOST_SERVERS: u16 = 22;
const MOST_SECONDS: f64 = 3600.0;
const MOST_FAULTS: usize = 256;
const MOST_PER_S: f64 = 20_000.0;
/// The most requests of a trial, and seconds of all its sidecars together: the account remembers the former, the
/// looks the latter (some 6 kB each).
const MOST_REQUESTS: f64 = 4e6;
const MOST_SIDECAR_SECONDS: f64 = 40_000.0;

/// A plan.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// What was drawn, was drawn from this.
    pub seed: u64,
    /// How long it is played.
    pub length: Duration,
    /// Sidecars.
    pub sidecars: u16,
    /// Log servers in each data centre.
    pub servers: u16,
    /// Requests that a server works on at once.
    pub cores: usize,
    /// How much longer all of the classes' times are.
    pub stretch: f64,
    /// What is asked.
    pub load: Load,
    /// What lies on all links from the beginning.
    pub ground: Shape,
    /// Changes to the configurations of some.
    pub configured: Vec<(BTreeSet<u16>, Value)>,
    /// What happens when, in order.
    pub acts: Vec<Act>,
    /// What must hold.
    pub expectations: Vec<Expectation>,
}

/// What is asked.
#[derive(Clone, Debug)]
pub struct Load {
    /// Requests a second, of all clients.
    pub per_s: f64,
    /// The sidecar of rank *r* gets a share as 1 / *r* to this power.
    pub uneven: f64,
    /// Tries of a client beyond the first.
    pub retries: u16,
    /// Clubs, with their shares and quotas.
    pub tenants: Vec<Tenant>,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Its share of what is asked.
    pub share: f64,
    /// Requests a second that it has paid for.
    pub quota_per_s: f64,
}

/// What happens at some time.
#[derive(Clone, Debug, Serialize)]
pub struct Act {
    /// When, in seconds after the beginning.
    pub at_s: f64,
    /// Of which fault in the file, from 0.
    pub fault: usize,
    /// What.
    pub action: Action,
}

/// Something that happens.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// A shape is laid on links.
    Lay {
        /// Senders and receivers, for the journal.
        from: Vec<String>,
        /// Receivers.
        to: Vec<String>,
        /// The same as it is laid.
        #[serde(skip)]
        laid: Box<Laid>,
    },
    /// What the fault has laid is lifted.
    Lift,
    /// Sidecars are killed.
    Kill(BTreeSet<u16>),
    /// Sidecars are told to end.
    End(BTreeSet<u16>),
    /// Sidecars are started again.
    Start {
        /// Which.
        of: BTreeSet<u16>,
        /// Whether what they had kept is gone.
        empty: bool,
    },
    /// Sidecars are stopped where they are.
    Stop(BTreeSet<u16>),
    /// And go on.
    Go(BTreeSet<u16>),
    /// Sidecars run for a share of the time.
    Starve(BTreeSet<u16>, f64),
    /// And as they can.
    Feed(BTreeSet<u16>),
    /// Log servers are in another state.
    Servers(BTreeSet<u16>, Server),
    /// Discovery is down, or up.
    Discovery(bool),
    /// A tenant, or everyone, asks so many times as much as at the beginning.
    Load(Option<usize>, f64),
    /// The configurations of some are changed, and read again.
    Configure(BTreeSet<u16>, Value),
}

/// A log server's state.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Server {
    /// As at the beginning.
    Well,
    /// It drains, and discovery says so.
    Drains,
    /// Nobody is at its address.
    Dead,
    /// Its work takes so many times as long.
    Slow(f64),
    /// This share of its answers are errors.
    Errors(f64),
    /// This share of its requests hang.
    Hangs(f64),
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    name: String,
    #[serde(default = "one")]
    seed: u64,
    seconds: Spanned<f64>,
    tier: TierFile,
    load: LoadFile,
    #[serde(default)]
    groups: BTreeMap<String, Spanned<Vec<String>>>,
    #[serde(alias = "ways")]
    links: Option<Spanned<ShapeFile>>,
    #[serde(default)]
    configure: Vec<Spanned<ConfigureFile>>,
    #[serde(default)]
    fault: Vec<Spanned<FaultFile>>,
    #[serde(default, alias = "hold")]
    expect: Vec<Spanned<ExpectFile>>,
}

fn one() -> u64 {
    1
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TierFile {
    sidecars: Spanned<u16>,
    servers: Spanned<u16>,
    cores: Option<Spanned<usize>>,
    stretch: Option<Spanned<f64>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct LoadFile {
    per_s: Spanned<f64>,
    #[serde(default)]
    uneven: f64,
    #[serde(default)]
    retries: u16,
    #[serde(default, alias = "clubs")]
    tenants: BTreeMap<String, Spanned<TenantFile>>,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
struct TenantFile {
    share: f64,
    quota_per_s: f64,
}

#[derive(Clone, Copy, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct ShapeFile {
    cut: bool,
    delay_ms: f64,
    jitter_ms: f64,
    loss: f64,
    twice: f64,
    late: f64,
    spoilt: f64,
    bytes_per_s: u64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ConfigureFile {
    of: Vec<String>,
    set: toml::Value,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum What {
    #[serde(alias = "way")]
    Link,
    Kill,
    End,
    Stop,
    Starve,
    Server,
    Discovery,
    Load,
    Configure,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FaultFile {
    what: What,
    at_s: f64,
    for_s: Option<f64>,
    #[serde(default)]
    spread_s: f64,
    #[serde(default)]
    of: Vec<String>,
    #[serde(default)]
    from: Vec<String>,
    #[serde(default)]
    to: Vec<String>,
    #[serde(default)]
    both: bool,
    #[serde(alias = "way")]
    link: Option<ShapeFile>,
    #[serde(default)]
    empty: bool,
    share: Option<f64>,
    times: Option<f64>,
    #[serde(alias = "club")]
    tenant: Option<String>,
    how: Option<How>,
    set: Option<toml::Value>,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum How {
    Drains,
    Dead,
    Slow,
    Errors,
    Hangs,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ExpectFile {
    figure: String,
    #[serde(alias = "club")]
    tenant: Option<String>,
    #[serde(default)]
    of: Vec<String>,
    from_s: Option<f64>,
    to_s: Option<f64>,
    least: Option<f64>,
    most: Option<f64>,
    near: Option<String>,
    within: Option<f64>,
}

impl Scenario {
    /// Reads and checks a file's text. `seed` stands in for the file's own.
    ///
    /// # Errors
    ///
    /// The line, the key and what was expected there.
    pub fn parse(text: &str, seed: Option<u64>) -> Result<Scenario, String> {
        let file: File = toml::from_str(text).map_err(|e| {
            let line = e.span().map_or(1, |at| line(text, &at));
            format!("line {line}: {}", e.message())
        })?;
        Checks::new(text, &file, seed.unwrap_or(file.seed))?.scenario(&file)
    }
}

/// The line that a place in the text is on, from 1.
fn line(text: &str, at: &Range<usize>) -> usize {
    1 + text.bytes().take(at.start).filter(|&b| b == b'\n').count()
}

struct Checks<'a> {
    text: &'a str,
    seconds: f64,
    sidecars: u16,
    servers: u16,
    tenants: Vec<Tenant>,
    groups: BTreeMap<String, BTreeSet<Part>>,
    seed: u64,
}

type Checked<T> = Result<T, String>;

impl<'a> Checks<'a> {
    fn new(text: &'a str, file: &File, seed: u64) -> Checked<Checks<'a>> {
        let mut checks = Checks {
            text,
            seconds: *file.seconds.as_ref(),
            sidecars: *file.tier.sidecars.as_ref(),
            servers: *file.tier.servers.as_ref(),
            tenants: Vec::new(),
            groups: BTreeMap::new(),
            seed,
        };
        checks.within(&file.seconds, "seconds", 1.0, MOST_SECONDS)?;
        let number = |n: &Spanned<u16>, key, most: u16| {
            let plain = Spanned::new(n.span(), f64::from(*n.as_ref()));
            checks.within(&plain, key, 1.0, f64::from(most))
        };
        number(&file.tier.sidecars, "tier.sidecars", MOST_SIDECARS)?;
        number(&file.tier.servers, "tier.servers", MOST_SERVERS)?;
        checks.tenants = checks.tenants(&file.load)?;
        for (name, words) in &file.groups {
            let parts = checks.parts(words.as_ref(), &words.span(), &format!("groups.{name}"))?;
            checks.groups.insert(name.clone(), parts);
        }
        Ok(checks)
    }

    fn scenario(&self, file: &File) -> Checked<Scenario> {
        let cores = file.tier.cores.as_ref().map_or(8, |c| *c.as_ref());
        let stretch = file.tier.stretch.as_ref().map_or(1.0, |s| *s.as_ref());
        let plain = |v: f64, at: Option<Range<usize>>| Spanned::new(at.unwrap_or(0..0), v);
        let at = file.tier.cores.as_ref().map(Spanned::span);
        self.within(&plain(cores as f64, at), "tier.cores", 1.0, 256.0)?;
        let at = file.tier.stretch.as_ref().map(Spanned::span);
        self.within(&plain(stretch, at), "tier.stretch", 0.1, 100.0)?;
        self.within(&file.load.per_s, "load.per_s", 0.1, MOST_PER_S)?;
        let per_s = *file.load.per_s.as_ref();
        let most = MOST_REQUESTS.min(MOST_SIDECAR_SECONDS * per_s / f64::from(self.sidecars));
        if per_s * self.seconds > most {
            let seconds = most / per_s;
            let why = format!("seconds: {seconds:.0} at most expected with so many and so much");
            return Err(self.at(&file.seconds.span(), why));
        }
        if file.fault.len() > MOST_FAULTS {
            return Err(format!("fault: {MOST_FAULTS} at most expected"));
        }
        let mut acts = Vec::new();
        for (n, fault) in file.fault.iter().enumerate() {
            let told = |why: String| self.at(&fault.span(), why);
            self.fault(n, fault.as_ref(), &fault.span(), &mut acts).map_err(told)?;
        }
        acts.sort_by(|a: &Act, b: &Act| a.at_s.total_cmp(&b.at_s).then(a.fault.cmp(&b.fault)));
        let mut configured = Vec::new();
        for c in &file.configure {
            let of = self.sidecars(&c.as_ref().of, &c.span(), "configure.of")?;
            configured.push((of, self.json(&c.as_ref().set, &c.span(), "configure.set")?));
        }
        let expectations = file.expect.iter().map(|h| self.expectation(h.as_ref(), &h.span()));
        let ground = match &file.links {
            None => Shape::default(),
            Some(links) => self
                .shape(links.as_ref())
                .map_err(|e| self.at(&links.span(), format!("links.{e}")))?,
        };
        Ok(Scenario {
            name: file.name.clone(),
            seed: self.seed,
            length: Duration::from_secs_f64(self.seconds),
            sidecars: self.sidecars,
            servers: self.servers,
            cores,
            stretch,
            load: Load {
                per_s: *file.load.per_s.as_ref(),
                uneven: file.load.uneven.clamp(0.0, 3.0),
                retries: file.load.retries.min(5),
                tenants: self.tenants.clone(),
            },
            ground,
            configured,
            acts,
            expectations: expectations.collect::<Checked<_>>()?,
        })
    }

    fn at(&self, place: &Range<usize>, what: String) -> String {
        format!("line {}: {what}", line(self.text, place))
    }

    fn within(&self, value: &Spanned<f64>, key: &str, from: f64, to: f64) -> Checked<()> {
        let told = |why| self.at(&value.span(), why);
        between(*value.as_ref(), key, from, to).map(drop).map_err(told)
    }

    fn tenants(&self, load: &LoadFile) -> Checked<Vec<Tenant>> {
        if load.tenants.is_empty() {
            let of = |(name, share): (&str, f64)| Tenant {
                name: name.to_owned(),
                share,
                quota_per_s: 1000.0 * share,
            };
            return Ok(TENANTS.into_iter().map(of).collect());
        }
        let of = |(name, tenant): (&String, &Spanned<TenantFile>)| {
            let c = tenant.as_ref();
            let told = |why| self.at(&tenant.span(), format!("load.tenants.{name}.{why}"));
            Ok(Tenant {
                name: name.clone(),
                share: between(c.share, "share", 0.0, 1e6).map_err(told)?,
                quota_per_s: between(c.quota_per_s, "quota_per_s", 0.0, 1e9).map_err(told)?,
            })
        };
        load.tenants.iter().map(of).collect()
    }

    fn tenant(&self, name: &Option<String>) -> Checked<Option<usize>> {
        let Some(name) = name else { return Ok(None) };
        let place = self.tenants.iter().position(|c| c.name == *name);
        place.map(Some).ok_or_else(|| format!("tenant: {name:?} is none of load.tenants"))
    }

    /// The parts that a word names.
    fn word(&self, word: &str) -> Option<BTreeSet<Part>> {
        let (word, share) = match word.split_once('*') {
            Some((word, share)) => (word, Some(share.parse::<f64>().ok()?)),
            None => (word, None),
        };
        let sidecars = |r: Range<u16>| r.map(Part::Sidecar).collect::<BTreeSet<_>>();
        let servers = |r: Range<u16>| r.map(Part::Server);
        let number = |text: &str| text.parse::<u16>().ok().filter(|n| *n <= self.sidecars);
        let all = ZONES.len() as u16 * self.servers;
        let parts: BTreeSet<Part> = match word {
            "sidecars" => sidecars(0..self.sidecars),
            "servers" => servers(0..all).collect(),
            "discovery" => [Part::Discovery].into(),
            _ => {
                if let Some(group) = self.groups.get(word) {
                    group.clone()
                } else if let Some((from, to)) =
                    word.strip_prefix('s').and_then(|w| w.split_once(".."))
                {
                    sidecars(number(from)?..number(to)?)
                } else if let Some(n) = word.strip_prefix('s').and_then(number) {
                    (n < self.sidecars).then(|| [Part::Sidecar(n)].into())?
                } else if let Some(zone) = ZONES.iter().position(|z| *z == word) {
                    let zone = zone as u16;
                    let homes = (0..self.sidecars).filter(|n| n % ZONES.len() as u16 == zone);
                    let own = servers(zone * self.servers..(zone + 1) * self.servers);
                    own.chain(homes.map(Part::Sidecar)).collect()
                } else {
                    let (zone, n) = word.rsplit_once('-')?;
                    let zone = ZONES.iter().position(|z| *z == zone)? as u16;
                    let n = n.parse::<u16>().ok().filter(|n| *n < self.servers)?;
                    [Part::Server(zone * self.servers + n)].into()
                }
            }
        };
        let Some(share) = share.filter(|s| (0.0..=1.0).contains(s)) else {
            return share.is_none().then_some(parts);
        };
        // Who is meant follows from the seed and the word alone.
        let mut drawn: Vec<Part> = parts.into_iter().collect();
        let count = (share * drawn.len() as f64).round().max(1.0) as usize;
        let letters = word.bytes().fold(0_u64, |n, b| n.wrapping_mul(31).wrapping_add(b.into()));
        drawn.shuffle(&mut StdRng::seed_from_u64(self.seed ^ letters));
        drawn.truncate(count);
        Some(drawn.into_iter().collect())
    }

    fn parts(&self, words: &[String], at: &Range<usize>, key: &str) -> Checked<BTreeSet<Part>> {
        let mut all = BTreeSet::new();
        for word in words {
            let parts = self.word(word).filter(|p| !p.is_empty());
            all.extend(parts.ok_or_else(|| {
                self.at(
                    at,
                    format!(
                        "{key}: {word:?} names nobody (sidecars, s3, s0..4, servers, \
                                     a zone, a server, discovery, a group, any of them *share)"
                    ),
                )
            })?);
        }
        Ok(all)
    }

    fn sidecars(&self, words: &[String], at: &Range<usize>, key: &str) -> Checked<BTreeSet<u16>> {
        let of = |part| match part {
            Part::Sidecar(n) => Some(n),
            _ => None,
        };
        let all: BTreeSet<_> = self.parts(words, at, key)?.into_iter().filter_map(of).collect();
        if all.is_empty() { Err(self.at(at, format!("{key}: sidecars expected"))) } else { Ok(all) }
    }

    fn shape(&self, s: &ShapeFile) -> Checked<Shape> {
        let share = |v, key| between(v, key, 0.0, 1.0);
        let ms = |v, key| {
            Ok::<_, String>(Duration::from_secs_f64(between(v, key, 0.0, 60_000.0)? / 1e3))
        };
        Ok(Shape {
            cut: s.cut,
            delay: ms(s.delay_ms, "delay_ms")?,
            jitter: ms(s.jitter_ms, "jitter_ms")?,
            loss: share(s.loss, "loss")?,
            twice: share(s.twice, "twice")?,
            late: share(s.late, "late")?,
            spoilt: share(s.spoilt, "spoilt")?,
            rate: s.bytes_per_s,
        })
    }

    fn json(&self, set: &toml::Value, at: &Range<usize>, key: &str) -> Checked<Value> {
        let value = serde_json::to_value(set).map_err(|e| self.at(at, format!("{key}: {e}")))?;
        if value.is_object() {
            Ok(value)
        } else {
            Err(self.at(at, format!("{key}: a table expected")))
        }
    }

    fn fault(
        &self,
        n: usize,
        f: &FaultFile,
        place: &Range<usize>,
        acts: &mut Vec<Act>,
    ) -> Checked<()> {
        between(f.at_s, "at_s", 0.0, self.seconds)?;
        between(f.spread_s, "spread_s", 0.0, self.seconds)?;
        if let Some(length) = f.for_s {
            between(length, "for_s", 0.0, MOST_SECONDS)?;
        }
        let mut act = |at_s: f64, action| {
            // What would come after the end does not come.
            if at_s <= self.seconds {
                acts.push(Act { at_s, fault: n, action });
            }
        };
        let own = |what: String| what;
        let needs = |key: &str| own(format!("{key}: expected with this kind of fault"));
        let of = || {
            let all = self
                .sidecars(&f.of, place, "of")
                .map_err(|e| e.split_once(": ").map_or(e.clone(), |(_, rest)| rest.to_owned()))?;
            Ok::<_, String>(all)
        };
        let end = f.for_s.map(|length| f.at_s + length);
        // One after the other, evenly over the spread.
        let each = |all: BTreeSet<u16>| {
            let step = f.spread_s / all.len().max(1) as f64;
            if f.spread_s == 0.0 {
                return vec![(0.0, all)];
            }
            all.into_iter().enumerate().map(|(n, s)| (step * n as f64, [s].into())).collect()
        };
        match f.what {
            What::Link => {
                let shape = f.link.as_ref().ok_or_else(|| needs("link"))?;
                let shape = self.shape(shape).map_err(|e| format!("link.{e}"))?;
                let strip = |e: String| e.split_once(": ").map_or(e.clone(), |(_, r)| r.to_owned());
                let from = self.parts(&f.from, place, "from").map_err(strip)?;
                let to = if f.to == ["others"] {
                    let all = (0..self.sidecars).map(Part::Sidecar);
                    let servers = (0..ZONES.len() as u16 * self.servers).map(Part::Server);
                    all.chain(servers).filter(|p| !from.contains(p)).collect()
                } else {
                    self.parts(&f.to, place, "to").map_err(strip)?
                };
                if from.is_empty() || to.is_empty() {
                    return Err(needs("from, to"));
                }
                let laid = Box::new(Laid { fault: n, from, to, both: f.both, shape });
                act(f.at_s, Action::Lay { from: f.from.clone(), to: f.to.clone(), laid });
                if let Some(end) = end {
                    act(end, Action::Lift);
                }
            }
            What::Kill | What::End | What::Stop | What::Starve => {
                for (later, some) in each(of()?) {
                    let back = match f.what {
                        What::Kill | What::End => {
                            Action::Start { of: some.clone(), empty: f.empty }
                        }
                        What::Stop => Action::Go(some.clone()),
                        _ => Action::Feed(some.clone()),
                    };
                    act(
                        f.at_s + later,
                        match f.what {
                            What::Kill => Action::Kill(some),
                            What::End => Action::End(some),
                            What::Stop => Action::Stop(some),
                            _ => {
                                let share = f.share.ok_or_else(|| needs("share"))?;
                                Action::Starve(some, between(share, "share", 0.05, 1.0)?)
                            }
                        },
                    );
                    if let Some(end) = end {
                        act(end + later, back);
                    }
                }
            }
            What::Server => {
                let server = |part| match part {
                    Part::Server(n) => Some(n),
                    _ => None,
                };
                let all = self.parts(&f.of, place, "of")?;
                let all: BTreeSet<u16> = all.into_iter().filter_map(server).collect();
                if all.is_empty() {
                    return Err("of: servers expected".to_owned());
                }
                let share = |key| {
                    let share = f.share.ok_or_else(|| needs("share"))?;
                    between(share, key, 0.0, 1.0)
                };
                let how = match f.how.ok_or_else(|| needs("how"))? {
                    How::Drains => Server::Drains,
                    How::Dead => Server::Dead,
                    How::Slow => Server::Slow(between(
                        f.times.ok_or_else(|| needs("times"))?,
                        "times",
                        1.0,
                        1e3,
                    )?),
                    How::Errors => Server::Errors(share("share")?),
                    How::Hangs => Server::Hangs(share("share")?),
                };
                act(f.at_s, Action::Servers(all.clone(), how));
                if let Some(end) = end {
                    act(end, Action::Servers(all, Server::Well));
                }
            }
            What::Discovery => {
                act(f.at_s, Action::Discovery(true));
                if let Some(end) = end {
                    act(end, Action::Discovery(false));
                }
            }
            What::Load => {
                let times = between(f.times.ok_or_else(|| needs("times"))?, "times", 0.0, 1e3)?;
                let tenant = self.tenant(&f.tenant)?;
                act(f.at_s, Action::Load(tenant, times));
                if let Some(end) = end {
                    act(end, Action::Load(tenant, 1.0));
                }
            }
            What::Configure => {
                let set = f.set.as_ref().ok_or_else(|| needs("set"))?;
                act(f.at_s, Action::Configure(of()?, self.json(set, place, "set")?));
            }
        }
        Ok(())
    }

    fn expectation(&self, h: &ExpectFile, place: &Range<usize>) -> Checked<Expectation> {
        let told = |why: String| self.at(place, format!("expect.{why}"));
        let from_s = between(h.from_s.unwrap_or(0.0), "from_s", 0.0, self.seconds).map_err(told)?;
        let to_s = h.to_s.unwrap_or(self.seconds);
        let to_s = between(to_s, "to_s", from_s, self.seconds).map_err(told)?;
        let tenant = self.tenant(&h.tenant).map_err(told)?;
        let measure =
            Measure::named(&h.figure, tenant).map_err(|e| told(format!("figure: {e}")))?;
        let near = match (&h.near, h.within) {
            (None, None) => None,
            (Some(name), Some(within)) => {
                let to = Measure::named(name, tenant).map_err(|e| told(format!("near: {e}")))?;
                Some((to, between(within, "within", 0.0, 10.0).map_err(told)?))
            }
            _ => return Err(told("near, within: both or neither expected".to_owned())),
        };
        if h.least.is_none() && h.most.is_none() && near.is_none() {
            return Err(told("least, most or near: one of them expected".to_owned()));
        }
        let of = match h.of.is_empty() {
            true => (0..self.sidecars).collect(),
            false => self.sidecars(&h.of, place, "expect.of")?,
        };
        Ok(Expectation {
            measure,
            of,
            from_s,
            to_s,
            least: h.least,
            most: h.most,
            near,
            line: line(self.text, place),
        })
    }
}

fn between(v: f64, key: &str, from: f64, to: f64) -> Checked<f64> {
    if (from..=to).contains(&v) {
        return Ok(v);
    }
    Err(format!("{key}: from {from} to {to} expected, not {v}"))
}

#[cfg(test)]
mod tests {
    use super::*;

    const HEAD: &str =
        "name = \"x\"\nseconds = 10\n[tier]\nsidecars = 8\nservers = 2\n[load]\nper_s = 9\n";

    fn parsed(more: &str) -> Result<Scenario, String> {
        Scenario::parse(&format!("{HEAD}{more}"), Some(7))
    }

    #[test]
    fn errors_name_line_and_key() {
        let wrong = [
            ("[groups]\nleft = [\"s0..4\", \"s8\"]", "line 9: groups.left: \"s8\" names nobody"),
            ("[[fault]]\nwhat = \"kill\"\nat_s = 11\nof = [\"s1\"]", "line 8: at_s: from 0 to 10"),
            ("[[fault]]\nwhat = \"kill\"\nat_s = 1", "line 8: of: sidecars expected"),
            (
                "[[fault]]\nwhat = \"link\"\nat_s = 1\nfrom = [\"s1\"]\nto = [\"s2\"]",
                "line 8: link: exp",
            ),
            (
                "[[fault]]\nwhat = \"link\"\nat_s = 1\nfrom = [\"s1\"]\nto = [\"s2\"]\nlink.loss = 1.5",
                "line 8: link.loss: from 0 to 1 expected, not 1.5",
            ),
            (
                "[[fault]]\nwhat = \"load\"\nat_s = 1\ntimes = 2\nclub = \"x\"",
                "line 8: tenant: \"x\"",
            ),
            ("[[expect]]\nfigure = \"served_share\"", "line 8: expect.least, most or near"),
            ("[[expect]]\nfigure = \"served\"\nleast = 1", "line 8: expect.figure"),
            ("[[expect]]\nfigure = \"broken\"\nmost = 0\nfrom_s = 20", "line 8: expect.from_s"),
            ("[[fault]]\nwhat = \"eat\"\nat_s = 1", "line 9: unknown variant"),
            ("\n[more]", "line 9: unknown field `more`"),
        ];
        for (text, why) in wrong {
            let told = parsed(text).expect_err(text);
            assert!(told.starts_with(why), "{told} instead of {why}");
        }
        let told = Scenario::parse(&HEAD.replace("= 10", "= 3600").replace("= 8", "= 300"), None);
        let told = told.expect_err("too long for so many");
        assert!(told.starts_with("line 2: seconds: 133 at most"), "{told}");
        let told = Scenario::parse(&HEAD.replace("= 8", "= 999"), None).expect_err("too many");
        assert!(told.starts_with("line 4: tier.sidecars: from 1 to 400"), "{told}");
    }

    #[test]
    fn what_happens_comes_in_order_and_the_same_from_the_same_seed() {
        let text = "[groups]\nleft = [\"s0..4\"]\n\
            [[fault]]\nwhat = \"kill\"\nat_s = 6\nfor_s = 2\nof = [\"sidecars*0.5\"]\nspread_s = 1\n\
            [[fault]]\nwhat = \"link\"\nat_s = 1\nfor_s = 3\nfrom = [\"left\"]\nto = [\"others\"]\nlink.cut = true\n\
            [[fault]]\nwhat = \"server\"\nat_s = 9\nfor_s = 5\nof = [\"utrecht-1\"]\nhow = \"dead\"\n";
        let plan =
            |seed| Scenario::parse(&format!("{HEAD}{text}"), Some(seed)).expect("sound").acts;
        let told = |acts: &[Act]| serde_json::to_string(acts).expect("JSON");
        let acts = plan(7);
        assert_eq!(told(&acts), told(&plan(7)));
        assert_ne!(told(&acts), told(&plan(8)));
        let times: Vec<f64> = acts.iter().map(|a| a.at_s).collect();
        assert_eq!(times, [1.0, 4.0, 6.0, 6.25, 6.5, 6.75, 8.0, 8.25, 8.5, 8.75, 9.0]);
        let Action::Lay { laid, .. } = &acts[0].action else { panic!("{:?}", acts[0]) };
        assert_eq!((laid.from.len(), laid.to.len()), (4, 4 + 6));
        assert!(matches!(&acts[10].action, Action::Servers(of, Server::Dead) if of == &[1].into()));
    }
}
