//! A whole deployment in small: log servers of three data centres, discovery, and the account.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use serde_json::{Value, json};

use crate::account::{Account, Class, Repeat};
use crate::logserver::{Keys, LogServer, Spec};
use crate::registry::{Entry, Registry};

/// The data centres.
pub const ZONES: [&str; 3] = ["utrecht", "groningen", "eindhoven"];
/// The tenants and their shares.
pub const TENANTS: [(&str, f64); 3] =
    [("zendkring-delta", 0.37), ("radioclub-oost", 0.32), ("qrp-kring-noord", 0.31)];
/// How long servers drop repeats of a key.
pub const WINDOW: Duration = Duration::from_millis(1200);
/// How long servers keep a connection at rest.
pub const IDLE: Duration = Duration::from_secs(10);

/// The four classes of a log service. `scale` stretches their times, for slow machines.
pub fn classes(scale: f64) -> Vec<Class> {
    let class = |name, repeat, share, work: u64, aim: u64, deadline: u64| Class {
        name,
        repeat,
        share,
        work: Duration::from_millis(work),
        aim: Duration::from_millis(aim).mul_f64(scale),
        deadline: Duration::from_millis(deadline).mul_f64(scale),
    };
    vec![
        class("call-lookup", Repeat::Safe, 0.40, 5, 150, 750),
        class("log-page", Repeat::Safe, 0.27, 9, 250, 750),
        class("qsl-order", Repeat::Unsafe, 0.17, 12, 400, 1500),
        class("log-upload", Repeat::Keyed, 0.16, 15, 400, 2000),
    ]
}

/// The deployment.
pub struct World {
    /// What became of every request.
    pub account: Arc<Account>,
    /// Discovery.
    pub registry: Registry,
    /// The log servers, with their zones.
    pub servers: Vec<(LogServer, &'static str)>,
}

impl World {
    /// Starts `each` log servers in every data centre.
    ///
    /// # Errors
    ///
    /// When no port is free.
    pub async fn start(classes: Vec<Class>, each: usize, seed: u64) -> io::Result<World> {
        World::with_account(Arc::new(Account::new(classes)), each, seed).await
    }

    /// The same, with what becomes of requests told to an account that others share.
    ///
    /// # Errors
    ///
    /// When no port is free.
    pub async fn with_account(account: Arc<Account>, each: usize, seed: u64) -> io::Result<World> {
        let mut servers = Vec::new();
        let mut list = Vec::new();
        for (z, zone) in ZONES.into_iter().enumerate() {
            let keys = Arc::new(Keys::default());
            for n in 0..each {
                let spec = Spec {
                    name: format!("{zone}-{n}"),
                    cores: 8,
                    room: 64,
                    connections: 640,
                    cold_share: 0.16,
                    warm_after: Duration::ZERO,
                    keys: keys.clone(),
                    window: WINDOW,
                    idle: IDLE,
                    seed: seed ^ (z as u64) << 32 ^ n as u64,
                };
                let server = LogServer::start(spec, account.clone()).await?;
                let entry = Entry::new(server.at, zone);
                list.push(Entry { host: server.name().to_owned(), ..entry });
                servers.push((server, zone));
            }
        }
        Ok(World { account, registry: Registry::open(list).await?, servers })
    }

    /// The settings that a sidecar of this deployment gets, but for its number and zone.
    pub fn settings(&self) -> Value {
        settings(self.account.classes())
    }

    /// The names of the tenants.
    pub fn tenants() -> Vec<String> {
        TENANTS.iter().map(|(name, _)| (*name).to_owned()).collect()
    }
}

/// The settings that a sidecar gets where these classes are served, but for its number and zone.
pub fn settings(classes: &[Class]) -> Value {
    let classes = classes.iter().map(|c| {
        let (repeat, scope) = match c.repeat {
            Repeat::Safe => ("idempotent", "all"),
            Repeat::Keyed => ("deduplicated", "zone"),
            Repeat::Unsafe => ("at_most_once", "all"),
        };
        json!({"name": c.name, "aim": c.aim.as_micros() as u64,
               "deadline": c.deadline.as_micros() as u64, "repeat": repeat,
               "dedupScope": scope, "window": WINDOW.as_micros() as u64, "credit": 1.0,
               "lateWorth": 0.2})
    });
    let tenants = TENANTS
        .map(|(name, share)| json!({"name": name, "quotaPerS": 1000.0 * share, "share": share}));
    json!({
        "classes": classes.collect::<Vec<_>>(),
        "discovery": "pushed",
        "goal": {"whole": 0.45, "worstClass": 0.1, "worstTenant": 0.1, "worstWindow": 0.35},
        "kinds": ["m"],
        "limits": {"cancel": true, "connIdle": IDLE.as_micros() as u64,
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
