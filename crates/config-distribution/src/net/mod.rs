//! I/O of the roles: sockets, files and processes. All decisions are made outside this module.

pub mod control;
pub mod endpoints;
pub mod host;
pub mod http;
pub mod operator_api;
pub mod origin;
pub mod store;
pub mod target;

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::{Duration, Instant};

use crate::documents::is_valid_name;

/// A monotonic clock that starts when it is created.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Default for Clock {
    fn default() -> Clock {
        Clock(Instant::now())
    }
}

impl Clock {
    /// Returns the time since the clock was created.
    pub fn now(&self) -> Duration {
        self.0.elapsed()
    }

    /// Waits until the clock reaches `time`.
    pub async fn sleep_until(&self, time: Duration) {
        tokio::time::sleep_until((self.0 + time).into()).await;
    }
}

/// A control server's name and address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NamedAddress {
    /// The name.
    pub name: String,
    /// The address.
    pub address: SocketAddr,
}

/// The error for a text that is not a name with an address.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("NAME=ADDRESS:PORT expected, not {text:?}")]
pub struct InvalidNamedAddress {
    /// The text.
    pub text: String,
}

impl FromStr for NamedAddress {
    type Err = InvalidNamedAddress;

    /// Parses `NAME=ADDRESS:PORT`.
    fn from_str(text: &str) -> Result<NamedAddress, InvalidNamedAddress> {
        let invalid = || InvalidNamedAddress { text: text.to_owned() };
        let (name, address) = text.split_once('=').ok_or_else(invalid)?;
        let address = address.parse().map_err(|_| invalid())?;
        if !is_valid_name(name) {
            return Err(invalid());
        }
        Ok(NamedAddress { name: name.to_owned(), address })
    }
}

impl From<(String, SocketAddr)> for NamedAddress {
    fn from((name, address): (String, SocketAddr)) -> NamedAddress {
        NamedAddress { name, address }
    }
}
