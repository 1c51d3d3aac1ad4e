//! Request and response calls between entry VMs over TCP.

pub(crate) mod transport;
pub(crate) mod wire;

pub(crate) use transport::{PeerClient, PeerServer};
pub(crate) use wire::{PeerBody, PeerFrame};
