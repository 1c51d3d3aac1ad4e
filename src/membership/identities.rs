//! Leaves node names and addresses out of heartbeats between processes that know each other.
//!
//! The name and address of a process never change, so its random boot id identifies both. A process
//! that receives an unknown boot id reports this, and the sender repeats the heartbeat in full.

use std::net::SocketAddr;

use super::wire::Heartbeat;
use crate::collections::{FastMap, FastSet};

/// The most boot ids and addresses that are kept, several times the number of processes that the
/// system is designed for.
const MAX_IDENTITIES: usize = 8192;

/// The identities of peer processes by boot id, and the peers that know this process.
#[derive(Debug, Default)]
pub(super) struct PeerIdentities {
    /// Node name and address by boot id.
    identities: FastMap<u64, (String, Option<String>)>,
    /// The addresses at which a process answered that knows the boot id of this one.
    recognized_at: FastSet<SocketAddr>,
}

impl PeerIdentities {
    /// Returns the heartbeat to send to `address`: in full until the process there knows this one.
    pub(super) fn heartbeat_for(&self, address: SocketAddr, heartbeat: Heartbeat) -> Heartbeat {
        match self.recognized_at.contains(&address) {
            true => heartbeat.shortened(),
            false => heartbeat,
        }
    }

    /// Records whether the process that answered at `address` knows this one.
    pub(super) fn set_recognized(&mut self, address: SocketAddr, recognized: bool) {
        if self.recognized_at.len() >= MAX_IDENTITIES {
            self.recognized_at.clear();
        }
        match recognized {
            true => self.recognized_at.insert(address),
            false => self.recognized_at.remove(&address),
        };
    }

    /// Adds the name and address to a short heartbeat and remembers those of a full one. Returns
    /// `None` for a short heartbeat with an unknown boot id.
    pub(super) fn expand(&mut self, mut heartbeat: Heartbeat) -> Option<Heartbeat> {
        if heartbeat.is_short() {
            let (node, address) = self.identities.get(&heartbeat.boot)?.clone();
            (heartbeat.node, heartbeat.address) = (node, address);
            return Some(heartbeat);
        }
        if self.identities.len() >= MAX_IDENTITIES {
            self.identities.clear();
        }
        let identity = (heartbeat.node.clone(), heartbeat.address.clone());
        self.identities.insert(heartbeat.boot, identity);
        Some(heartbeat)
    }
}

impl Heartbeat {
    /// Removes the name and address, which the boot id identifies.
    pub(crate) fn shortened(self) -> Self {
        Self {
            node: String::new(),
            address: None,
            ..self
        }
    }

    pub(crate) fn is_short(&self) -> bool {
        self.node.is_empty()
    }
}
