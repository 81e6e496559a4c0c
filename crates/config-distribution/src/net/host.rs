//! Runs a host: it watches a control server, and applies the received documents.

use super::endpoints::watch_target;
use super::http::{CallError, HttpClient};
use super::target::ConfigTarget;
use super::{Clock, NamedAddress};
use crate::documents::Interest;
use crate::host::{
    ApplyOutcome, ConfigSnapshot, Host, HostAction, RESPONSE_TIMEOUT, WATCH_HOLD, WatchFailure,
};
use crate::watch::WatchResponse;

/// Configuration of a host.
#[derive(Clone, Debug)]
pub struct Config {
    /// The host's name, unique among the hosts.
    pub name: String,
    /// The documents that the host subscribes to.
    pub interest: Interest,
    /// The control servers that the host may watch.
    pub servers: Vec<NamedAddress>,
    /// The seed of the random number generator.
    pub seed: u64,
}

/// Runs a host that applies the received documents to `target`. Never returns.
pub async fn run(config: Config, target: impl ConfigTarget) {
    HostRunner::start(config, target).await.run().await;
}

/// A host with its connection and its target.
struct HostRunner<T> {
    host: Host,
    target: T,
    servers: Vec<NamedAddress>,
    /// The index of the server that is watched, and the client for it.
    client: Option<(usize, HttpClient)>,
    clock: Clock,
}

impl<T: ConfigTarget> HostRunner<T> {
    async fn start(config: Config, mut target: T) -> HostRunner<T> {
        let names: Vec<String> = config.servers.iter().map(|s| s.name.clone()).collect();
        let clock = Clock::default();
        let applied = target.applied().await;
        let host = Host::new(config.name, config.interest, &names, applied, config.seed);
        HostRunner { host, target, servers: config.servers, client: None, clock }
    }

    async fn run(mut self) {
        loop {
            match self.host.next_action(self.clock.now()) {
                HostAction::Wait { until } => self.clock.sleep_until(until).await,
                HostAction::Apply(config) => self.apply(&config).await,
                HostAction::Watch { server } => self.watch(server).await,
            }
        }
    }

    async fn watch(&mut self, server: usize) {
        match self.fetch(server).await {
            Ok(response) => {
                let config = self.host.receive(response, self.clock.now());
                if let Some(config) = config {
                    self.apply(&config).await;
                }
            }
            Err(error) => {
                let NamedAddress { name, address } = &self.servers[server];
                tracing::info!(server = %name, %address, %error, "watch request failed, switching control server");
                let client = self.client.take();
                let had_responded = client.is_some_and(|(_, client)| client.has_responded());
                let failure = match had_responded {
                    true => WatchFailure::ConnectionLost,
                    false => WatchFailure::Unreachable,
                };
                self.host.watch_failed(failure, self.clock.now());
            }
        }
    }

    async fn fetch(&mut self, server: usize) -> Result<WatchResponse, CallError> {
        let is_connected = self.client.as_ref().is_some_and(|(connected, _)| *connected == server);
        if !is_connected {
            self.client = None;
        }
        let address = self.servers[server].address;
        let (_, client) = self.client.get_or_insert_with(|| (server, HttpClient::new(address)));
        let timeout = WATCH_HOLD + RESPONSE_TIMEOUT;
        client.fetch_json(&watch_target(&self.host.watch_request()), None, timeout).await
    }

    async fn apply(&mut self, config: &ConfigSnapshot) {
        let generation = config.generation;
        let outcome = self.target.apply(config).await;
        match &outcome {
            ApplyOutcome::Applied => tracing::info!(generation, "configuration applied"),
            ApplyOutcome::Rejected(error) => {
                tracing::error!(generation, %error, "configuration rejected, keeping the previous one");
            }
            ApplyOutcome::Retry(error) => {
                tracing::warn!(generation, %error, "failed to apply configuration, retrying");
            }
        }
        self.host.record_outcome(generation, outcome, self.clock.now());
    }
}
