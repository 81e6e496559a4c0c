//! Builds the configurations of the sidecars.

use std::net::SocketAddr;

use fakes::world::{ZONES, classes, settings};
use serde_json::{Value, json};

use crate::gossip_relay::GossipRelay;
use crate::scenario::Scenario;

/// The addresses of a sidecar's listeners.
pub(super) struct SidecarAddresses {
    /// The listener for requests.
    pub listen: SocketAddr,
    /// The admin listener.
    pub admin: SocketAddr,
    /// The socket for gossip.
    pub gossip: SocketAddr,
}

/// Returns the initial configuration of a sidecar, with the patches of the scenario.
pub(super) fn configuration(
    scenario: &Scenario,
    n: usize,
    addresses: &SidecarAddresses,
    discovery: SocketAddr,
    gossip: &GossipRelay,
) -> Value {
    let mut config = json!({
        "name": format!("s{n}"),
        "listen": addresses.listen.to_string(),
        "admin_addr": addresses.admin.to_string(),
        "peer_listen": addresses.gossip.to_string(),
        "peers": gossip.peers,
        "peers_all": gossip.broadcast,
        "discovery": discovery.to_string(),
        "seed": format!("{:016x}", scenario.seed ^ (n as u64) << 32),
        "limits": {"cores": 1.0, "memory_mb": 32, "sockets": 256},
        "settings": sidecar_settings(scenario, n),
    });
    for patch in &scenario.configuration_patches {
        if patch.sidecars.contains(&(n as u16)) {
            merge_patch(&mut config, &patch.patch);
        }
    }
    config
}

fn sidecar_settings(scenario: &Scenario, n: usize) -> Value {
    let mut settings = settings(&classes(scenario.time_scale));
    settings["me"] = n.into();
    settings["instances"] = scenario.sidecar_count.into();
    settings["zone"] = (n % ZONES.len()).into();
    settings["limits"]["mayTell"] = true.into();
    let total_share = scenario.load.total_share();
    let tenants = scenario.load.tenants.iter().map(|tenant| {
        let share = tenant.share / total_share;
        json!({"name": tenant.name, "quotaPerS": tenant.quota_per_s, "share": share})
    });
    settings["tenants"] = tenants.collect();
    settings
}

/// Applies a JSON merge patch (RFC 7396), except that null sets a key to null instead of deleting it.
pub(super) fn merge_patch(config: &mut Value, patch: &Value) {
    match (config, patch) {
        (Value::Object(config), Value::Object(patch)) => {
            for (key, value) in patch {
                merge_patch(config.entry(key).or_insert(Value::Null), value);
            }
        }
        (config, patch) => *config = patch.clone(),
    }
}
