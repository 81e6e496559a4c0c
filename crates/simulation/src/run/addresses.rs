//! The addresses of the simulated hosts. All are loopback addresses, with one subnet for each kind of host.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// The port of sidecars for clients, and of servers for sidecars.
const REQUEST_PORT: u16 = 3000;
/// The port of sidecars for gossip.
const GOSSIP_PORT: u16 = 7946;
/// The port of the admin listener of sidecars.
const ADMIN_PORT: u16 = 9800;
/// The port of discovery.
const DISCOVERY_PORT: u16 = 8500;

/// The kinds of hosts. The value is the third octet of their addresses.
#[derive(Clone, Copy, Debug)]
#[repr(u8)]
pub(super) enum HostKind {
    Sidecar = 1,
    Clients = 2,
    Server = 3,
    Discovery = 4,
    Operators = 5,
}

/// Returns the address of the host with this index, from 0, among those of its kind.
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
