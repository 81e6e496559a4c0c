//! Validates a scenario file and builds the scenario from it.

use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

use fakes::world::TENANTS;
use toml::Spanned;

use super::error::{Problem, ScenarioError, in_range, line_number};
use super::faults::FaultEvents;
use super::file::{
    ExpectationTable, LoadTable, MAX_DURATION_S, MAX_FAULTS, MAX_REQUESTS, MAX_REQUESTS_PER_S,
    MAX_SERVERS_PER_ZONE, MAX_SIDECAR_SECONDS, MAX_SIDECARS, ScenarioFile, TenantTable,
};
use super::selectors::Nodes;
use super::values::{impairment, json_table, tenant_number};
use super::{ConfigurationPatch, Event, Load, Scenario, Tenant};
use crate::expectations::{Expectation, Metric, Reference};
use crate::links::Impairment;

const DEFAULT_SERVER_CORES: usize = 8;
const MAX_SERVER_CORES: f64 = 256.0;
const MIN_TIME_SCALE: f64 = 0.1;
const MAX_TIME_SCALE: f64 = 100.0;
const MAX_ZIPF_EXPONENT: f64 = 3.0;
const MAX_CLIENT_RETRIES: u16 = 5;
/// The quota of a default tenant with the whole load, in requests per second. Others get their share of it.
const DEFAULT_QUOTA_PER_S: f64 = 1000.0;
const MAX_TENANT_SHARE: f64 = 1e6;
const MAX_TENANT_QUOTA_PER_S: f64 = 1e9;
/// The maximum tolerance of a comparison with a reference.
const MAX_TOLERANCE: f64 = 10.0;

impl Scenario {
    /// Parses and validates the text of a scenario file. `seed` overrides the seed in the file.
    ///
    /// # Errors
    ///
    /// The first problem, with its line and key.
    pub fn parse(text: &str, seed: Option<u64>) -> Result<Scenario, ScenarioError> {
        let file: ScenarioFile = toml::from_str(text).map_err(|error| {
            let problem = Problem::Syntax(error.message().to_owned());
            problem.at(text, &error.span().unwrap_or(0..0))
        })?;
        Builder::new(text, &file, seed.unwrap_or(file.seed))?.build()
    }
}

struct Builder<'a> {
    text: &'a str,
    file: &'a ScenarioFile,
    /// The length of the run in seconds.
    run_s: f64,
    tenants: Vec<Tenant>,
    nodes: Nodes,
}

impl<'a> Builder<'a> {
    fn new(text: &'a str, file: &'a ScenarioFile, seed: u64) -> Result<Builder<'a>, ScenarioError> {
        let nodes = Nodes {
            sidecar_count: *file.nodes.sidecars.as_ref(),
            servers_per_zone: *file.nodes.servers.as_ref(),
            groups: BTreeMap::new(),
            seed,
        };
        let run_s = *file.duration_s.as_ref();
        let mut builder = Builder { text, file, run_s, tenants: Vec::new(), nodes };
        builder.check_sizes()?;
        builder.tenants = builder.tenants()?;
        for (name, words) in &file.groups {
            let nodes = builder.nodes.select(words.as_ref(), &format!("groups.{name}"));
            let nodes = nodes.map_err(|problem| problem.at(text, &words.span()))?;
            builder.nodes.groups.insert(name.clone(), nodes);
        }
        Ok(builder)
    }

    fn check_sizes(&self) -> Result<(), ScenarioError> {
        let nodes = &self.file.nodes;
        let duration = &self.file.duration_s;
        self.check(duration.span(), self.run_s, "seconds", 1.0, MAX_DURATION_S)?;
        let sidecars = f64::from(self.nodes.sidecar_count);
        let limit = f64::from(MAX_SIDECARS);
        self.check(nodes.sidecars.span(), sidecars, "tier.sidecars", 1.0, limit)?;
        let servers = f64::from(self.nodes.servers_per_zone);
        let limit = f64::from(MAX_SERVERS_PER_ZONE);
        self.check(nodes.servers.span(), servers, "tier.servers", 1.0, limit)
    }

    fn check(
        &self,
        place: Range<usize>,
        value: f64,
        key: &str,
        min: f64,
        max: f64,
    ) -> Result<(), ScenarioError> {
        let checked = in_range(value, key, min, max);
        checked.map(drop).map_err(|problem| problem.at(self.text, &place))
    }

    fn build(&self) -> Result<Scenario, ScenarioError> {
        let file = self.file;
        let server_cores = self.server_cores()?;
        let time_scale = self.time_scale()?;
        let load = self.load()?;
        if file.faults.len() > MAX_FAULTS {
            return Err(ScenarioError::TooManyFaults { limit: MAX_FAULTS });
        }
        let events = self.events()?;
        let configuration_patches = self.configuration_patches()?;
        let baseline = self.baseline()?;
        let expectations = file.expectations.iter().map(|table| {
            let expectation = self.expectation(table.as_ref(), &table.span());
            expectation.map_err(|problem| problem.at(self.text, &table.span()))
        });
        Ok(Scenario {
            name: file.name.clone(),
            seed: self.nodes.seed,
            duration: Duration::from_secs_f64(self.run_s),
            sidecar_count: self.nodes.sidecar_count,
            servers_per_zone: self.nodes.servers_per_zone,
            server_cores,
            time_scale,
            load,
            baseline,
            configuration_patches,
            system_calls: None,
            clients_send_during_shutdown: false,
            checks_late_arrivals: true,
            events,
            expectations: expectations.collect::<Result<_, _>>()?,
        })
    }

    fn server_cores(&self) -> Result<usize, ScenarioError> {
        let Some(cores) = &self.file.nodes.cores else { return Ok(DEFAULT_SERVER_CORES) };
        let value = *cores.as_ref();
        self.check(cores.span(), value as f64, "tier.cores", 1.0, MAX_SERVER_CORES)?;
        Ok(value)
    }

    fn time_scale(&self) -> Result<f64, ScenarioError> {
        let Some(scale) = &self.file.nodes.time_scale else { return Ok(1.0) };
        let value = *scale.as_ref();
        self.check(scale.span(), value, "tier.stretch", MIN_TIME_SCALE, MAX_TIME_SCALE)?;
        Ok(value)
    }

    fn load(&self) -> Result<Load, ScenarioError> {
        let load = &self.file.load;
        let requests_per_s = *load.requests_per_s.as_ref();
        let place = load.requests_per_s.span();
        self.check(place, requests_per_s, "load.per_s", 0.1, MAX_REQUESTS_PER_S)?;
        let sidecars = f64::from(self.nodes.sidecar_count);
        let max_requests = MAX_REQUESTS.min(MAX_SIDECAR_SECONDS * requests_per_s / sidecars);
        if requests_per_s * self.run_s > max_requests {
            let problem = Problem::TooLong { limit_s: max_requests / requests_per_s };
            return Err(problem.at(self.text, &self.file.duration_s.span()));
        }
        Ok(Load {
            requests_per_s,
            zipf_exponent: load.zipf_exponent.clamp(0.0, MAX_ZIPF_EXPONENT),
            client_retries: load.client_retries.min(MAX_CLIENT_RETRIES),
            leave_share: 0.0,
            silent_connections: 0,
            resting_connections: 0,
            tenants: self.tenants.clone(),
        })
    }

    fn tenants(&self) -> Result<Vec<Tenant>, ScenarioError> {
        let load: &LoadTable = &self.file.load;
        if load.tenants.is_empty() {
            return Ok(default_tenants());
        }
        let checked = |(name, table): (&String, &Spanned<TenantTable>)| {
            let tenant = tenant(name, table.as_ref());
            let table_key = format!("load.tenants.{name}");
            tenant.map_err(|problem| problem.within(table_key).at(self.text, &table.span()))
        };
        load.tenants.iter().map(checked).collect()
    }

    /// Returns the events of all faults, in the order of time.
    fn events(&self) -> Result<Vec<Event>, ScenarioError> {
        let mut events = Vec::new();
        for (number, fault) in self.file.faults.iter().enumerate() {
            let mut collected = FaultEvents {
                nodes: &self.nodes,
                tenants: &self.tenants,
                run_s: self.run_s,
                number,
                table: fault.as_ref(),
                events: &mut events,
            };
            collected.add().map_err(|problem| problem.at(self.text, &fault.span()))?;
        }
        events.sort_by(|a, b| a.at_s.total_cmp(&b.at_s).then(a.fault.cmp(&b.fault)));
        Ok(events)
    }

    fn configuration_patches(&self) -> Result<Vec<ConfigurationPatch>, ScenarioError> {
        let patches = self.file.configure.iter().map(|spanned| {
            let table = spanned.as_ref();
            let checked = || {
                let sidecars = self.nodes.select_sidecars(&table.sidecars, "configure.of")?;
                let patch = json_table(&table.patch, "configure.set")?;
                Ok(ConfigurationPatch { sidecars, patch })
            };
            checked().map_err(|problem: Problem| problem.at(self.text, &spanned.span()))
        });
        patches.collect()
    }

    fn baseline(&self) -> Result<Impairment, ScenarioError> {
        let Some(links) = &self.file.links else { return Ok(Impairment::default()) };
        let checked = impairment(links.as_ref());
        checked.map_err(|problem| problem.within("links").at(self.text, &links.span()))
    }

    fn expectation(
        &self,
        table: &ExpectationTable,
        place: &Range<usize>,
    ) -> Result<Expectation, Problem> {
        let in_table = |problem: Problem| problem.within("expect");
        let checked = self.expected_metric(table).map_err(in_table)?;
        let sidecars = if table.sidecars.is_empty() {
            (0..self.nodes.sidecar_count).collect()
        } else {
            self.nodes.select_sidecars(&table.sidecars, "expect.of")?
        };
        Ok(Expectation { sidecars, line: line_number(self.text, place), ..checked })
    }

    /// Returns an expectation without its sidecars and its line.
    fn expected_metric(&self, table: &ExpectationTable) -> Result<Expectation, Problem> {
        let from_s = in_range(table.from_s.unwrap_or(0.0), "from_s", 0.0, self.run_s)?;
        let to_s = in_range(table.to_s.unwrap_or(self.run_s), "to_s", from_s, self.run_s)?;
        let tenant = tenant_number(&self.tenants, table.tenant.as_deref())?;
        let metric = parse_metric(&table.metric, tenant, "figure")?;
        let reference = match (&table.reference, table.tolerance) {
            (None, None) => None,
            (Some(name), Some(tolerance)) => Some(Reference {
                metric: parse_metric(name, tenant, "near")?,
                tolerance: in_range(tolerance, "within", 0.0, MAX_TOLERANCE)?,
            }),
            _ => return Err(Problem::IncompleteReference),
        };
        let (min, max) = (table.min, table.max);
        if min.is_none() && max.is_none() && reference.is_none() {
            return Err(Problem::NoBound);
        }
        let sidecars = Default::default();
        Ok(Expectation { metric, sidecars, from_s, to_s, min, max, reference, line: 0 })
    }
}

fn parse_metric(name: &str, tenant: Option<usize>, key: &'static str) -> Result<Metric, Problem> {
    Metric::parse(name, tenant).map_err(|source| Problem::UnknownMetric { key, source })
}

fn default_tenants() -> Vec<Tenant> {
    let tenants = TENANTS.into_iter().map(|(name, share)| Tenant {
        name: name.to_owned(),
        share,
        quota_per_s: DEFAULT_QUOTA_PER_S * share,
    });
    tenants.collect()
}

fn tenant(name: &str, table: &TenantTable) -> Result<Tenant, Problem> {
    let quota_per_s = || in_range(table.quota_per_s, "quota_per_s", 0.0, MAX_TENANT_QUOTA_PER_S);
    Ok(Tenant {
        name: name.to_owned(),
        share: in_range(table.share, "share", 0.0, MAX_TENANT_SHARE)?,
        quota_per_s: quota_per_s()?,
    })
}
