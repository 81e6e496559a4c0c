//! `fleet.toml`: the desired state of a fleet. Read and checked as a whole; an error names the line
//! and the key. What it says is turned into one configuration an instance.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use toml::Spanned;

use crate::planner::Rules;

/// The most instances of one host.
const MOST: usize = 2000;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    program: Spanned<PathBuf>,
    #[serde(default, alias = "rolling")]
    rollout: Rollout,
    #[serde(default)]
    restarts: Restarts,
    #[serde(default)]
    instances: Vec<Spanned<Template>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Rollout {
    share: Spanned<f64>,
    canaries: Spanned<usize>,
    watch_s: Spanned<f64>,
    margin: Spanned<f64>,
    refusal_margin: Spanned<f64>,
    least_requests: u64,
    ready_within_s: Spanned<f64>,
    reload_within_s: Spanned<f64>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Restarts {
    first_pause_s: Spanned<f64>,
    longest_pause_s: Spanned<f64>,
    hold_after: u32,
    stable_after_s: Spanned<f64>,
    silent_after_s: Spanned<f64>,
    hung_after_s: Spanned<f64>,
    at_once: Spanned<usize>,
}

fn plain<T>(value: T) -> Spanned<T> {
    Spanned::new(0..0, value)
}

impl Default for Rollout {
    fn default() -> Rollout {
        let r = Rules::default();
        Rollout {
            share: plain(r.share),
            canaries: plain(r.canaries),
            watch_s: plain(r.watch.as_secs_f64()),
            margin: plain(r.margin),
            refusal_margin: plain(r.refusal_margin),
            least_requests: r.least_requests,
            ready_within_s: plain(r.ready_within.as_secs_f64()),
            reload_within_s: plain(r.reload_within.as_secs_f64()),
        }
    }
}

impl Default for Restarts {
    fn default() -> Restarts {
        let r = Rules::default();
        Restarts {
            first_pause_s: plain(r.first_pause.as_secs_f64()),
            longest_pause_s: plain(r.longest_pause.as_secs_f64()),
            hold_after: r.hold_after,
            stable_after_s: plain(r.stable_after.as_secs_f64()),
            silent_after_s: plain(r.silent_after.as_secs_f64()),
            hung_after_s: plain(r.hung_after.as_secs_f64()),
            at_once: plain(r.starting_at_once),
        }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Template {
    name: Spanned<String>,
    count: Spanned<usize>,
    listen: Spanned<Listen>,
    discovery: SocketAddr,
    zone: Option<Spanned<String>>,
    #[serde(default)]
    first: u32,
    limits: Spanned<Limits>,
    settings: Spanned<Settings>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Listen {
    One(String),
    Many(Vec<String>),
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Limits {
    memory_mb: u64,
    sockets: u64,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Settings {
    File(PathBuf),
    Here(toml::Table),
}

/// The desired state, checked and with nothing left to read: it means the same however the files that
/// it came from change later.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct Spec {
    /// The program of the instances.
    pub program: PathBuf,
    /// Its templates.
    pub templates: Vec<Resolved>,
    rules: Rules,
}

/// One template.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct Resolved {
    /// The first part of its instances' names.
    pub name: String,
    /// How many.
    pub count: usize,
    /// Where they listen, in order; a port of 0 is the system's choice for each.
    pub listen: Vec<SocketAddr>,
    discovery: SocketAddr,
    first: u32,
    memory_mb: u64,
    sockets: u64,
    settings: Value,
}

impl Resolved {
    /// How many instances there are addresses for.
    pub fn most(&self) -> usize {
        if self.any_port() { MOST } else { self.listen.len() }
    }

    fn any_port(&self) -> bool {
        self.listen.iter().any(|at| at.port() == 0)
    }
}

impl Spec {
    /// How the fleet is run.
    pub fn rules(&self) -> Rules {
        Rules { drain_within: self.drain_within(), ..self.rules.clone() }
    }

    /// The longest deadline of all classes, and what the platform grants beyond it.
    fn drain_within(&self) -> Duration {
        let classes = |t: &Resolved| t.settings["classes"].as_array().cloned().unwrap_or_default();
        let deadlines = self.templates.iter().flat_map(classes);
        let longest = deadlines.filter_map(|c| c["deadline"].as_u64()).max().unwrap_or(3_000_000);
        Duration::from_micros(longest) + Duration::from_millis(1500)
    }

    /// The names of all slots; `counts` stands in for the templates' own.
    pub fn slots(&self, counts: &BTreeMap<String, usize>) -> BTreeSet<String> {
        let of = |t: &Resolved| {
            let count = counts.get(&t.name).copied().unwrap_or(t.count).min(t.most());
            let name = t.name.clone();
            (0..count).map(move |n| format!("{name}-{n}"))
        };
        self.templates.iter().flat_map(of).collect()
    }

    /// A slot's template and its number there.
    fn template(&self, slot: &str) -> Option<(&Resolved, usize)> {
        let (name, n) = slot.rsplit_once('-')?;
        let n = n.parse().ok()?;
        let template = self.templates.iter().find(|t| t.name == name)?;
        (n < template.most()).then_some((template, n))
    }

    /// Whether this can configure a slot.
    pub fn has(&self, slot: &str) -> bool {
        self.template(slot).is_some()
    }

    /// Where a slot listens, if this can configure it.
    pub fn listen(&self, slot: &str) -> Option<SocketAddr> {
        let (template, n) = self.template(slot)?;
        if template.any_port() {
            return template.listen.first().copied();
        }
        template.listen.get(n).copied()
    }

    /// The configuration of a slot that listens at `at`.
    pub fn configuration(
        &self,
        slot: &str,
        generation: u64,
        at: SocketAddr,
        seed: u64,
    ) -> Option<Value> {
        let (template, n) = self.template(slot)?;
        let mut settings = template.settings.clone();
        settings["me"] = json!(u64::from(template.first) + n as u64);
        Some(json!({
            "name": slot,
            "generation": generation,
            "listen": at.to_string(),
            "discovery": template.discovery.to_string(),
            "seed": format!("{seed:016x}"),
            "limits": {"cores": 1.0, "memory_mb": template.memory_mb, "sockets": template.sockets},
            "settings": settings,
        }))
    }

    /// Reads and checks the file at `path`. Paths in it are taken from its folder.
    ///
    /// # Errors
    ///
    /// The place and what was expected there.
    pub fn read(path: &Path) -> Result<Spec, String> {
        let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
        let folder = path.parent().unwrap_or(Path::new("."));
        Spec::parse(&text, folder).map_err(|e| format!("{}: {e}", path.display()))
    }

    fn parse(text: &str, folder: &Path) -> Result<Spec, String> {
        let file: File = toml::from_str(text).map_err(|e| {
            let line = e.span().map_or(1, |at| line(text, &at));
            format!("line {line}: {}", e.message())
        })?;
        let checks = Checks { text, folder };
        let program = folder.join(file.program.as_ref());
        let program = program
            .canonicalize()
            .ok()
            .filter(|p| p.is_file())
            .ok_or_else(|| checks.at(&file.program.span(), "program", "a program expected"))?;
        let rules = checks.rules(&file.rollout, &file.restarts)?;
        let mut names = BTreeSet::new();
        let mut addresses = BTreeSet::new();
        let mut templates = Vec::new();
        for template in &file.instances {
            let t = template.as_ref();
            let resolved = checks.template(t)?;
            if !names.insert(resolved.name.clone()) {
                return Err(checks.at(&t.name.span(), "name", "a name of its own expected"));
            }
            let fixed = resolved.listen.iter().filter(|at| at.port() != 0);
            if let Some(twice) = fixed.copied().find(|at| !addresses.insert(*at)) {
                let what = format!("{twice} is another instance's");
                return Err(checks.at(&t.listen.span(), "listen", &what));
            }
            templates.push(resolved);
        }
        let all: usize = templates.iter().map(|t| t.count).sum();
        if all > MOST {
            return Err(format!("instances: {MOST} at most expected, not {all}"));
        }
        Ok(Spec { program, templates, rules })
    }
}

struct Checks<'a> {
    text: &'a str,
    folder: &'a Path,
}

impl Checks<'_> {
    fn at(&self, place: &Range<usize>, key: &str, what: &str) -> String {
        format!("line {}: {key}: {what}", line(self.text, place))
    }

    fn rules(&self, rollout: &Rollout, restarts: &Restarts) -> Result<Rules, String> {
        let between = |value: &Spanned<f64>, key: &str, from: f64, to: f64| {
            let v = *value.as_ref();
            if (from..=to).contains(&v) {
                return Ok(v);
            }
            Err(self.at(&value.span(), key, &format!("from {from} to {to} expected, not {v}")))
        };
        let number = |value: &Spanned<usize>, key: &str| {
            let v = *value.as_ref();
            if (1..=MOST).contains(&v) {
                return Ok(v);
            }
            Err(self.at(&value.span(), key, &format!("from 1 to {MOST} expected, not {v}")))
        };
        let seconds = |value: &Spanned<f64>, key: &str, from: f64, to: f64| {
            between(value, key, from, to).map(Duration::from_secs_f64)
        };
        Ok(Rules {
            share: between(&rollout.share, "rollout.share", 0.001, 1.0)?,
            canaries: number(&rollout.canaries, "rollout.canaries")?,
            watch: seconds(&rollout.watch_s, "rollout.watch_s", 0.0, 3600.0)?,
            margin: between(&rollout.margin, "rollout.margin", 0.0, 1.0)?,
            refusal_margin: between(&rollout.refusal_margin, "rollout.refusal_margin", 0.0, 1.0)?,
            least_requests: rollout.least_requests,
            ready_within: seconds(&rollout.ready_within_s, "rollout.ready_within_s", 0.5, 600.0)?,
            reload_within: seconds(
                &rollout.reload_within_s,
                "rollout.reload_within_s",
                0.5,
                600.0,
            )?,
            first_pause: seconds(&restarts.first_pause_s, "restarts.first_pause_s", 0.01, 600.0)?,
            longest_pause: seconds(
                &restarts.longest_pause_s,
                "restarts.longest_pause_s",
                0.1,
                3600.0,
            )?,
            hold_after: restarts.hold_after.max(1),
            stable_after: seconds(
                &restarts.stable_after_s,
                "restarts.stable_after_s",
                0.1,
                3600.0,
            )?,
            silent_after: seconds(&restarts.silent_after_s, "restarts.silent_after_s", 2.0, 600.0)?,
            hung_after: seconds(&restarts.hung_after_s, "restarts.hung_after_s", 0.6, 600.0)?,
            starting_at_once: number(&restarts.at_once, "restarts.at_once")?,
            ..Rules::default()
        })
    }

    fn template(&self, t: &Template) -> Result<Resolved, String> {
        let name = t.name.as_ref();
        let sound = |c: char| c.is_ascii_alphanumeric() || "._-".contains(c);
        if name.is_empty() || name.len() > 64 || !name.chars().all(sound) {
            let what = "up to 64 letters, digits, dots, dashes expected";
            return Err(self.at(&t.name.span(), "name", what));
        }
        let mut listen = Vec::new();
        let texts = match t.listen.as_ref() {
            Listen::One(text) => std::slice::from_ref(text),
            Listen::Many(texts) => texts,
        };
        for text in texts {
            let found = addresses(text).ok_or_else(|| {
                let what = format!("an address and ports as in 127.0.0.1:4000-4049, not {text:?}");
                self.at(&t.listen.span(), "listen", &what)
            })?;
            listen.extend(found);
        }
        let count = *t.count.as_ref();
        let enough = listen.iter().any(|at| at.port() == 0) || count <= listen.len();
        if !enough || count > MOST {
            let what =
                format!("{} at most expected, as many as listen has", listen.len().min(MOST));
            return Err(self.at(&t.count.span(), "count", &what));
        }
        let settings = match t.settings.as_ref() {
            Settings::Here(table) => serde_json::to_value(table).map_err(|e| e.to_string()),
            Settings::File(path) => {
                let path = self.folder.join(path);
                let text = std::fs::read(&path).map_err(|e| format!("{}: {e}", path.display()));
                text.and_then(|text| {
                    serde_json::from_slice(&text).map_err(|e| format!("{}: {e}", path.display()))
                })
            }
        };
        let wrong = |what: &str| self.at(&t.settings.span(), "settings", what);
        let mut settings: Value = settings.map_err(|e| wrong(&e))?;
        if !settings.is_object() {
            return Err(wrong("an object expected"));
        }
        if let Some(zone) = &t.zone {
            let zones = settings["zones"].as_array().cloned().unwrap_or_default();
            let at = zones.iter().position(|z| z.as_str() == Some(zone.as_ref()));
            let at =
                at.ok_or_else(|| self.at(&zone.span(), "zone", "one of settings.zones expected"))?;
            settings["zone"] = json!(at);
        }
        if settings.get("instances").is_none() {
            settings["instances"] = json!(t.first as usize + count.max(1));
        }
        let limits = t.limits.as_ref();
        Ok(Resolved {
            name: name.clone(),
            count,
            listen,
            discovery: t.discovery,
            first: t.first,
            memory_mb: limits.memory_mb,
            sockets: limits.sockets,
            settings,
        })
    }
}

/// The line on which a place of a text lies, from 1.
fn line(text: &str, place: &Range<usize>) -> usize {
    text.as_bytes().iter().take(place.start).filter(|b| **b == b'\n').count() + 1
}

/// `127.0.0.1:4000` or `127.0.0.1:4000-4049`.
fn addresses(text: &str) -> Option<Vec<SocketAddr>> {
    let (from, last) = match text.rsplit_once('-') {
        Some((from, last)) => (from, Some(last.parse::<u16>().ok()?)),
        None => (text, None),
    };
    let first: SocketAddr = from.parse().ok()?;
    let last = last.unwrap_or(first.port());
    if last < first.port() || (first.port() == 0 && last != 0) {
        return None;
    }
    Some((first.port()..=last).map(|port| SocketAddr::new(first.ip(), port)).collect())
}

#[cfg(test)]
mod tests {
    use super::*;

    const SOUND: &str = r#"
program = "/bin/sh"

[rolling]
share = 0.2

[[instances]]
name = "club"
count = 3
listen = ["127.0.0.1:4000-4001", "127.0.0.2:4000"]
discovery = "127.0.0.1:8500"
zone = "b"
first = 5
limits = { memory_mb = 32, sockets = 128 }

[instances.settings]
zones = ["a", "b"]
classes = [{ name = "x", deadline = 2_000_000 }]
"#;

    fn parsed(text: &str) -> Result<Spec, String> {
        Spec::parse(text, Path::new("/"))
    }

    #[test]
    fn a_sound_file_becomes_one_configuration_an_instance() {
        let spec = parsed(SOUND).expect("sound");
        let slots: Vec<_> = spec.slots(&BTreeMap::new()).into_iter().collect();
        assert_eq!(slots, ["club-0", "club-1", "club-2"]);
        let at = spec.listen("club-2").expect("an address");
        assert_eq!(at.to_string(), "127.0.0.2:4000");
        let config = spec.configuration("club-2", 9, at, 0xab).expect("its template is there");
        assert_eq!(config["settings"]["me"], 7);
        assert_eq!(config["settings"]["zone"], 1);
        assert_eq!(config["settings"]["instances"], 8);
        assert_eq!((&config["generation"], &config["limits"]["sockets"]), (&json!(9), &json!(128)));
        assert_eq!(config["seed"], "00000000000000ab");
        assert_eq!(spec.rules().drain_within, Duration::from_millis(3500));
        assert!(!spec.has("club-3") && !spec.has("other-0") && !spec.has("club"));
        let fewer = BTreeMap::from([("club".to_owned(), 1)]);
        assert_eq!(spec.slots(&fewer).len(), 1);
        let again: Spec =
            serde_json::from_str(&serde_json::to_string(&spec).expect("JSON")).expect("the same");
        assert_eq!(again, spec);
    }

    #[test]
    fn what_is_wrong_is_named_with_line_and_key() {
        for (from, to, wanted) in [
            ("share = 0.2", "share = 2.0", "line 5: rollout.share"),
            ("share = 0.2", "shore = 0.2", "line 5: unknown field `shore`"),
            ("count = 3", "count = 4", "line 9: count"),
            ("count = 3", "count = \"3\"", "line 9: invalid type"),
            ("4000-4001", "4001-4000", "line 10: listen"),
            ("127.0.0.2:4000", "127.0.0.1:4001", "line 10: listen: 127.0.0.1:4001"),
            ("zone = \"b\"", "zone = \"c\"", "line 12: zone"),
            ("name = \"club\"", "name = \"a/b\"", "line 8: name"),
            ("\"/bin/sh\"", "\"/bin/none\"", "line 2: program"),
            ("[instances.settings]", "settings = \"none.json\"\n[rest]", "line 16: unknown field"),
        ] {
            assert!(SOUND.contains(from));
            let why = parsed(&SOUND.replace(from, to)).expect_err(to);
            assert!(why.contains(wanted) || why.starts_with("line "), "{why}");
            assert!(why.contains(wanted.split(": ").last().expect("text")), "{to}: {why}");
        }
        let twice = format!("{SOUND}\n{}", SOUND.split_once("[[").map_or("", |p| p.1));
        assert!(parsed(&twice.replace("\n[instances]]", "\n[[instances]]")).is_err());
    }
}
