//! A small deployment of fakes: log servers in three zones, discovery, and the account of requests.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use serde_json::{Value, json};

use crate::account::{Account, Class, Idempotency};
use crate::logserver::{LogServer, RecentKeys, ServerSpec};
use crate::registry::{Entry, Registry};

/// The zones.
pub const ZONES: [&str; 3] = ["utrecht", "groningen", "eindhoven"];
/// The tenants, each with its share of the load.
pub const TENANTS: [(&str, f64); 3] =
    [("zendkring-delta", 0.37), ("radioclub-oost", 0.32), ("qrp-kring-noord", 0.31)];
/// The time for which servers remember idempotency keys.
pub const DEDUPLICATION_WINDOW: Duration = Duration::from_millis(1200);
/// The time for which servers keep an idle connection open.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// The quota of a tenant with the whole load, in requests per second. Others get their share of it.
const QUOTA_PER_S: f64 = 1000.0;
/// The number of requests that a server executes at the same time.
const SERVER_CORES: usize = 8;
/// The number of requests that may queue at a server.
const SERVER_QUEUE: usize = 64;
/// The number of connections on which a server accepts requests.
const SERVER_CONNECTIONS: usize = 640;
/// The share of its full speed that a server has at start.
const SERVER_COLD_SHARE: f64 = 0.16;

/// Returns the four request classes of a log service. `time_scale` multiplies their latency objectives and deadlines,
/// for slow machines.
pub fn classes(time_scale: f64) -> Vec<Class> {
    let ms = Duration::from_millis;
    let class = |name, idempotency, share, service_ms, objective_ms, deadline_ms| Class {
        name,
        idempotency,
        share,
        service_time: ms(service_ms),
        latency_objective: ms(objective_ms).mul_f64(time_scale),
        deadline: ms(deadline_ms).mul_f64(time_scale),
    };
    vec![
        class("call-lookup", Idempotency::Idempotent, 0.40, 5, 150, 750),
        class("log-page", Idempotency::Idempotent, 0.27, 9, 250, 750),
        class("qsl-order", Idempotency::NonIdempotent, 0.17, 12, 400, 1500),
        class("log-upload", Idempotency::Keyed, 0.16, 15, 400, 2000),
    ]
}

/// A running deployment.
pub struct World {
    /// The account of all requests.
    pub account: Arc<Account>,
    /// The discovery service.
    pub registry: Registry,
    /// The log servers, each with its zone.
    pub servers: Vec<(LogServer, &'static str)>,
}

impl World {
    /// Starts a deployment with this number of log servers in each zone.
    ///
    /// # Errors
    ///
    /// When no port is free.
    pub async fn start(
        classes: Vec<Class>,
        servers_per_zone: usize,
        seed: u64,
    ) -> io::Result<World> {
        World::with_account(Arc::new(Account::new(classes)), servers_per_zone, seed).await
    }

    /// Like [`start`](Self::start), with an account that is shared with others.
    ///
    /// # Errors
    ///
    /// When no port is free.
    pub async fn with_account(
        account: Arc<Account>,
        servers_per_zone: usize,
        seed: u64,
    ) -> io::Result<World> {
        let mut servers = Vec::new();
        let mut list = Vec::new();
        for (zone_number, zone) in ZONES.into_iter().enumerate() {
            let keys = Arc::new(RecentKeys::default());
            for n in 0..servers_per_zone {
                let seed = seed ^ (zone_number as u64) << 32 ^ n as u64;
                let spec = server_spec(format!("{zone}-{n}"), keys.clone(), seed);
                let server = LogServer::start(spec, account.clone()).await?;
                let entry = Entry::new(server.at, zone);
                list.push(Entry { host: server.name().to_owned(), ..entry });
                servers.push((server, zone));
            }
        }
        Ok(World { account, registry: Registry::open(list).await?, servers })
    }

    /// Returns the settings of a sidecar of this deployment, without its number and zone.
    pub fn settings(&self) -> Value {
        settings(self.account.classes())
    }

    /// Returns the names of the tenants.
    pub fn tenants() -> Vec<String> {
        TENANTS.iter().map(|(name, _)| (*name).to_owned()).collect()
    }
}

fn server_spec(name: String, idempotency_keys: Arc<RecentKeys>, seed: u64) -> ServerSpec {
    ServerSpec {
        name,
        cores: SERVER_CORES,
        queue_capacity: SERVER_QUEUE,
        max_connections: SERVER_CONNECTIONS,
        cold_share: SERVER_COLD_SHARE,
        warm_up: Duration::ZERO,
        idempotency_keys,
        deduplication_window: DEDUPLICATION_WINDOW,
        idle_timeout: IDLE_TIMEOUT,
        seed,
    }
}

/// Returns the settings of a sidecar for requests of these classes, without its number and zone.
pub fn settings(classes: &[Class]) -> Value {
    let tenants = TENANTS.map(
        |(name, share)| json!({"name": name, "quotaPerS": QUOTA_PER_S * share, "share": share}),
    );
    json!({
        "classes": classes.iter().map(class_settings).collect::<Vec<_>>(),
        "discovery": "pushed",
        "goal": {"whole": 0.45, "worstClass": 0.1, "worstTenant": 0.1, "worstWindow": 0.35},
        "kinds": ["m"],
        "limits": {"cancel": true, "connIdle": IDLE_TIMEOUT.as_micros() as u64,
                   "connectTimeout": 500_000, "maxAttempts": 6, "maxOpen": 10_000,
                   "maxRetryAfter": 2_000_000, "mayDuplicate": true, "mayTell": false,
                   "probing": false, "retryAfter": true, "streamsPerConn": 1},
        "prices": {"crossZone": 0.06, "lateFail": 0.03, "waste": 0.04},
        "report": {"columns": ["q", "busy", "rif"], "how": "piggyback"},
        "rules": {"answerSlack": 8000, "cold": 23_000_000, "coldShare": 0.16,
                  "fallMultiple": 4.0, "mustAskIn": 10_000_000,
                  "stopSendingWithin": 500_000, "tipAfter": 3_000_000},
        "tenants": tenants,
        "tick": 2000,
        "weightKind": "silent",
        "worthBy": "work",
        "zones": ZONES,
    })
}

fn class_settings(class: &Class) -> Value {
    let (repeat, scope) = match class.idempotency {
        Idempotency::Idempotent => ("idempotent", "all"),
        Idempotency::Keyed => ("deduplicated", "zone"),
        Idempotency::NonIdempotent => ("at_most_once", "all"),
    };
    json!({"name": class.name, "aim": class.latency_objective.as_micros() as u64,
           "deadline": class.deadline.as_micros() as u64, "repeat": repeat,
           "dedupScope": scope, "window": DEDUPLICATION_WINDOW.as_micros() as u64, "credit": 1.0,
           "lateWorth": 0.2})
}
