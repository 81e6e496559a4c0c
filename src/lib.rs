//! lb-sidecar: a client-side load balancer that every client process runs as its own sidecar.
//!
//! The decisions are made by [`balancer::Balancer`], a sans-I/O state machine that takes events and returns actions.
#![forbid(unsafe_code)]

pub mod api;
pub mod balancer;
pub mod settings;
pub mod sidecar;
pub mod wire;
