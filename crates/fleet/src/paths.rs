//! The default paths of the daemon's files.

use std::path::{Path, PathBuf};

const STATE: &str = "/var/lib/lb-fleet";
const LEGACY_STATE: &str = "/var/lib/plankvale";
const SPECIFICATION: &str = "/etc/lb-fleet/fleet.toml";
const LEGACY_SPECIFICATION: &str = "/etc/plankvale/fleet.toml";

/// Returns the default state directory: `/var/lib/lb-fleet`, or `/var/lib/plankvale` of earlier versions
/// if only that exists.
pub fn default_state() -> PathBuf {
    current_or_legacy(Path::new(STATE), Path::new(LEGACY_STATE))
}

/// Returns the default path of the specification: `/etc/lb-fleet/fleet.toml`, or
/// `/etc/plankvale/fleet.toml` of earlier versions if only that exists.
pub fn default_specification() -> PathBuf {
    current_or_legacy(Path::new(SPECIFICATION), Path::new(LEGACY_SPECIFICATION))
}

/// Returns the legacy path if it exists and the current one does not. Without this, a daemon that is
/// upgraded in place would start without its listeners and revisions.
fn current_or_legacy(current: &Path, legacy: &Path) -> PathBuf {
    if !current.exists() && legacy.exists() { legacy.to_owned() } else { current.to_owned() }
}

#[cfg(test)]
mod tests;
