//! Where the daemon's files are unless the command line says otherwise.

use std::path::{Path, PathBuf};

const STATE: &str = "/var/lib/lb-fleet";
const FORMER_STATE: &str = "/var/lib/plankvale";
const SPECIFICATION: &str = "/etc/lb-fleet/fleet.toml";
const FORMER_SPECIFICATION: &str = "/etc/plankvale/fleet.toml";

/// The directory of the daemon's state: `/var/lib/lb-fleet`, or `/var/lib/plankvale` of earlier
/// versions where that is the only one of the two.
pub fn default_state() -> PathBuf {
    current_or_former(Path::new(STATE), Path::new(FORMER_STATE))
}

/// The specification: `/etc/lb-fleet/fleet.toml`, or `/etc/plankvale/fleet.toml` of earlier versions
/// where that is the only one of the two.
pub fn default_specification() -> PathBuf {
    current_or_former(Path::new(SPECIFICATION), Path::new(FORMER_SPECIFICATION))
}

/// The former path if it exists and the current one does not. Without this, a daemon upgraded in place
/// would begin without its listeners and revisions.
fn current_or_former(current: &Path, former: &Path) -> PathBuf {
    if !current.exists() && former.exists() { former.to_owned() } else { current.to_owned() }
}

#[cfg(test)]
mod tests;
