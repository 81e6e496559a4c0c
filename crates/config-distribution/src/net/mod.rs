//! Sockets, files and processes of the roles. Nothing is decided here.

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

/// A monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Default for Clock {
    fn default() -> Clock {
        Clock(Instant::now())
    }
}

impl Clock {
    /// The time since the clock was made.
    pub fn now(&self) -> Duration {
        self.0.elapsed()
    }

    /// Waits until that time.
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

/// A text that is no name with an address.
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
