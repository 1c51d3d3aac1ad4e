//! Request-response calls between entry VMs over TCP.

pub(crate) mod traffic;
pub(crate) mod transport;
pub(crate) mod wire;

pub(crate) use traffic::PeerTraffic;
pub(crate) use transport::{PeerClient, PeerServer};
pub(crate) use wire::{PeerBody, PeerFrame};
