//! The addresses of the simulated hosts. All are loopback addresses, one network for each kind of host.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Where a sidecar listens for clients, and a server for sidecars.
const REQUEST_PORT: u16 = 3000;
/// Where a sidecar receives gossip.
const GOSSIP_PORT: u16 = 7946;
/// Where a sidecar listens for operators.
const ADMIN_PORT: u16 = 9800;
/// Where discovery listens.
const DISCOVERY_PORT: u16 = 8500;

/// Kinds of hosts, by the third octet of their addresses.
#[derive(Clone, Copy, Debug)]
#[repr(u8)]
pub(super) enum HostKind {
    Sidecar = 1,
    Clients = 2,
    Server = 3,
    Discovery = 4,
    Operators = 5,
}

/// The address of the `index`-th host of a kind, from 0.
pub(super) fn ip(kind: HostKind, index: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 0, kind as u8, index as u8 + 1))
}

pub(super) fn server_address(index: usize) -> SocketAddr {
    SocketAddr::new(ip(HostKind::Server, index), REQUEST_PORT)
}

pub(super) fn sidecar_address(index: usize) -> SocketAddr {
    SocketAddr::new(ip(HostKind::Sidecar, index), REQUEST_PORT)
}

pub(super) fn gossip_address(index: usize) -> SocketAddr {
    SocketAddr::new(ip(HostKind::Sidecar, index), GOSSIP_PORT)
}

pub(super) fn admin_address(index: usize) -> SocketAddr {
    SocketAddr::new(ip(HostKind::Sidecar, index), ADMIN_PORT)
}

pub(super) fn discovery_address() -> SocketAddr {
    SocketAddr::new(ip(HostKind::Discovery, 0), DISCOVERY_PORT)
}
