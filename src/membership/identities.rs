//! Shortens heartbeats between processes that know each other.
//!
//! A process keeps its name and address for its life, and its random boot id stands for both. A
//! process that does not know a boot id says so and gets the names.

use std::net::SocketAddr;

use super::wire::Heartbeat;
use crate::collections::{FastMap, FastSet};

/// The boot ids and addresses that are kept; a few times the processes of the design's size.
const KNOWN_LIMIT: usize = 8192;

/// Who is behind which boot id, and who knows this process.
#[derive(Debug, Default)]
pub(super) struct PeerIdentities {
    /// Name and address of each boot id.
    known: FastMap<u64, (String, Option<String>)>,
    /// Where a process answered that knows this one.
    introduced: FastSet<SocketAddr>,
}

impl PeerIdentities {
    /// The heartbeat as it goes to `address`: with names until a process there knows them.
    pub(super) fn addressed(&self, address: SocketAddr, beat: Heartbeat) -> Heartbeat {
        match self.introduced.contains(&address) {
            true => beat.shortened(),
            false => beat,
        }
    }

    /// Notes whether the process that answered at `address` knows this one.
    pub(super) fn note_introduced(&mut self, address: SocketAddr, knows: bool) {
        if self.introduced.len() >= KNOWN_LIMIT {
            self.introduced.clear();
        }
        match knows {
            true => self.introduced.insert(address),
            false => self.introduced.remove(&address),
        };
    }

    /// The heartbeat with its names; `None` if they are neither in it nor known.
    pub(super) fn completed(&mut self, mut beat: Heartbeat) -> Option<Heartbeat> {
        if beat.is_short() {
            let (node, address) = self.known.get(&beat.boot)?.clone();
            (beat.node, beat.address) = (node, address);
            return Some(beat);
        }
        if self.known.len() >= KNOWN_LIMIT {
            self.known.clear();
        }
        let identity = (beat.node.clone(), beat.address.clone());
        self.known.insert(beat.boot, identity);
        Some(beat)
    }
}

impl Heartbeat {
    /// Without the names that the boot id stands for.
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
