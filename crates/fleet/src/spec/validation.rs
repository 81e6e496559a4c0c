//! Validates the values in `fleet.toml` and builds the desired state from them.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde_json::{Value, json};
use toml::Spanned;

use super::error::{InvalidSpec, KeyProblem};
use super::file::{RestartsSection, RolloutSection, SettingsSource, SpecFile, TemplateSection};
use super::{MAX_INSTANCES, Spec, Template};
use crate::planner::FleetPolicy;

/// The length limit of the name of a template, in bytes.
const MAX_NAME_LENGTH: usize = 64;

/// Parses and validates the text of a specification. Paths in it are relative to `folder`.
pub(super) fn validate(text: &str, folder: &Path) -> Result<Spec, InvalidSpec> {
    let file: SpecFile = toml::from_str(text).map_err(|error| InvalidSpec::Syntax {
        line: error.span().map_or(1, |span| line_of(text, &span)),
        message: error.message().to_owned(),
    })?;
    Validator { text, folder }.spec(&file)
}

struct Validator<'a> {
    text: &'a str,
    folder: &'a Path,
}

impl Validator<'_> {
    fn error<T>(&self, value: &Spanned<T>, key: &'static str, problem: KeyProblem) -> InvalidSpec {
        InvalidSpec::Key { line: line_of(self.text, &value.span()), key, problem }
    }

    fn spec(&self, file: &SpecFile) -> Result<Spec, InvalidSpec> {
        let program = self.program(&file.program)?;
        let policy = self.policy(&file.rollout, &file.restarts)?;
        let templates = self.templates(&file.instances)?;
        let count: usize = templates.iter().map(|template| template.count).sum();
        if count > MAX_INSTANCES {
            return Err(InvalidSpec::TooManyInstances { count });
        }
        Ok(Spec { program, templates, policy })
    }

    fn program(&self, program: &Spanned<PathBuf>) -> Result<PathBuf, InvalidSpec> {
        let path = self.folder.join(program.as_ref()).canonicalize().ok();
        path.filter(|path| path.is_file())
            .ok_or_else(|| self.error(program, "program", KeyProblem::NoProgram))
    }

    fn in_range(
        &self,
        value: &Spanned<f64>,
        key: &'static str,
        range: Range<f64>,
    ) -> Result<f64, InvalidSpec> {
        let (min, max, found) = (range.start, range.end, *value.as_ref());
        if (min..=max).contains(&found) {
            return Ok(found);
        }
        Err(self.error(value, key, KeyProblem::OutOfRange { min, max, found }))
    }

    fn seconds(
        &self,
        value: &Spanned<f64>,
        key: &'static str,
        range: Range<f64>,
    ) -> Result<Duration, InvalidSpec> {
        self.in_range(value, key, range).map(Duration::from_secs_f64)
    }

    fn count(&self, value: &Spanned<usize>, key: &'static str) -> Result<usize, InvalidSpec> {
        let found = *value.as_ref();
        if (1..=MAX_INSTANCES).contains(&found) {
            return Ok(found);
        }
        Err(self.error(value, key, KeyProblem::CountOutOfRange { found }))
    }

    fn policy(
        &self,
        rollout: &RolloutSection,
        restarts: &RestartsSection,
    ) -> Result<FleetPolicy, InvalidSpec> {
        let r = rollout;
        let mut policy = FleetPolicy {
            max_updating_share: self.in_range(&r.share, "rollout.share", 0.001..1.0)?,
            canary_count: self.count(&r.canaries, "rollout.canaries")?,
            canary_period: self.seconds(&r.watch_s, "rollout.watch_s", 0.0..3600.0)?,
            failure_margin: self.in_range(&r.margin, "rollout.margin", 0.0..1.0)?,
            rejection_margin: self.in_range(
                &r.refusal_margin,
                "rollout.refusal_margin",
                0.0..1.0,
            )?,
            min_requests: r.least_requests,
            ready_timeout: self.seconds(&r.ready_within_s, "rollout.ready_within_s", 0.5..600.0)?,
            reload_timeout: self.seconds(
                &r.reload_within_s,
                "rollout.reload_within_s",
                0.5..600.0,
            )?,
            ..FleetPolicy::default()
        };
        self.apply_restarts(restarts, &mut policy)?;
        Ok(policy)
    }

    fn apply_restarts(
        &self,
        restarts: &RestartsSection,
        policy: &mut FleetPolicy,
    ) -> Result<(), InvalidSpec> {
        let r = restarts;
        policy.initial_backoff =
            self.seconds(&r.first_pause_s, "restarts.first_pause_s", 0.01..600.0)?;
        policy.max_backoff =
            self.seconds(&r.longest_pause_s, "restarts.longest_pause_s", 0.1..3600.0)?;
        policy.crash_loop_threshold = r.hold_after.max(1);
        policy.stable_after =
            self.seconds(&r.stable_after_s, "restarts.stable_after_s", 0.1..3600.0)?;
        policy.silence_timeout =
            self.seconds(&r.silent_after_s, "restarts.silent_after_s", 2.0..600.0)?;
        policy.stall_timeout =
            self.seconds(&r.hung_after_s, "restarts.hung_after_s", 0.6..600.0)?;
        policy.max_concurrent_starts = self.count(&r.at_once, "restarts.at_once")?;
        Ok(())
    }

    fn templates(
        &self,
        sections: &[Spanned<TemplateSection>],
    ) -> Result<Vec<Template>, InvalidSpec> {
        let mut names = BTreeSet::new();
        let mut addresses = BTreeSet::new();
        let mut templates = Vec::new();
        for section in sections {
            let section = section.as_ref();
            let template = self.template(section)?;
            if !names.insert(template.name.clone()) {
                return Err(self.error(&section.name, "name", KeyProblem::DuplicateName));
            }
            let fixed = template.listen.iter().filter(|address| address.port() != 0);
            for &address in fixed {
                if !addresses.insert(address) {
                    let problem = KeyProblem::DuplicateAddress { address };
                    return Err(self.error(&section.listen, "listen", problem));
                }
            }
            templates.push(template);
        }
        Ok(templates)
    }

    fn template(&self, section: &TemplateSection) -> Result<Template, InvalidSpec> {
        let name = self.name(&section.name)?;
        let listen = self.listen(section)?;
        let count = self.template_count(section, &listen)?;
        let settings = self.settings(section, count)?;
        let limits = section.limits.as_ref();
        Ok(Template {
            name,
            count,
            listen,
            discovery: section.discovery,
            first_number: section.first,
            memory_mb: limits.memory_mb,
            sockets: limits.sockets,
            settings,
        })
    }

    fn name(&self, name: &Spanned<String>) -> Result<String, InvalidSpec> {
        let text = name.as_ref();
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || "._-".contains(c);
        let fits = (1..=MAX_NAME_LENGTH).contains(&text.len());
        if fits && text.chars().all(is_allowed) {
            return Ok(text.clone());
        }
        Err(self.error(name, "name", KeyProblem::InvalidName))
    }

    fn listen(&self, section: &TemplateSection) -> Result<Vec<SocketAddr>, InvalidSpec> {
        let mut addresses = Vec::new();
        for text in section.listen.as_ref().ranges() {
            let range = parse_addresses(text).ok_or_else(|| {
                let problem = KeyProblem::InvalidAddress { text: text.clone() };
                self.error(&section.listen, "listen", problem)
            })?;
            addresses.extend(range);
        }
        Ok(addresses)
    }

    fn template_count(
        &self,
        section: &TemplateSection,
        listen: &[SocketAddr],
    ) -> Result<usize, InvalidSpec> {
        let count = *section.count.as_ref();
        let has_ephemeral_port = listen.iter().any(|address| address.port() == 0);
        if count <= MAX_INSTANCES && (has_ephemeral_port || count <= listen.len()) {
            return Ok(count);
        }
        let problem = KeyProblem::MoreThanAddresses { max: listen.len().min(MAX_INSTANCES) };
        Err(self.error(&section.count, "count", problem))
    }

    /// Returns the settings of a template, with its zone and the number of instances filled in.
    fn settings(&self, section: &TemplateSection, count: usize) -> Result<Value, InvalidSpec> {
        let error = |problem| self.error(&section.settings, "settings", problem);
        let mut settings = self.read_settings(section.settings.as_ref()).map_err(error)?;
        if !settings.is_object() {
            return Err(error(KeyProblem::SettingsNotAnObject));
        }
        if let Some(zone) = &section.zone {
            let zones = settings["zones"].as_array().cloned().unwrap_or_default();
            let position = zones.iter().position(|name| name.as_str() == Some(zone.as_ref()));
            let position =
                position.ok_or_else(|| self.error(zone, "zone", KeyProblem::UnknownZone))?;
            settings["zone"] = json!(position);
        }
        if settings.get("instances").is_none() {
            settings["instances"] = json!(section.first as usize + count.max(1));
        }
        Ok(settings)
    }

    fn read_settings(&self, source: &SettingsSource) -> Result<Value, KeyProblem> {
        let path = match source {
            SettingsSource::Inline(table) => {
                return serde_json::to_value(table).map_err(KeyProblem::ConvertSettings);
            }
            SettingsSource::File(path) => self.folder.join(path),
        };
        match std::fs::read(&path) {
            Ok(text) => serde_json::from_slice(&text)
                .map_err(|source| KeyProblem::ParseSettings { path, source }),
            Err(source) => Err(KeyProblem::ReadSettings { path, source }),
        }
    }
}

/// Returns the line of the start of a range of a text, counted from 1.
fn line_of(text: &str, range: &Range<usize>) -> usize {
    text.as_bytes().iter().take(range.start).filter(|byte| **byte == b'\n').count() + 1
}

/// Parses an address with a port or a range of ports, such as `127.0.0.1:4000-4049`. Returns `None` if
/// the text is malformed.
fn parse_addresses(text: &str) -> Option<Vec<SocketAddr>> {
    let (first, last_port) = match text.rsplit_once('-') {
        Some((first, last)) => (first, Some(last.parse::<u16>().ok()?)),
        None => (text, None),
    };
    let first: SocketAddr = first.parse().ok()?;
    let last_port = last_port.unwrap_or(first.port());
    if last_port < first.port() || (first.port() == 0 && last_port != 0) {
        return None;
    }
    let ports = first.port()..=last_port;
    Some(ports.map(|port| SocketAddr::new(first.ip(), port)).collect())
}
