//! What the other entry VMs report: requests in flight on each target, and the partitions that
//! they act for.

use std::net::SocketAddr;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::collections::{FastMap, FastSet};
use crate::dispatch::directory::TargetKey;
use crate::ids::{BootId, NodeName};

/// A peer that was not heard for longer counts no load and owns nothing.
const ABSENT_AFTER: Duration = Duration::from_millis(1500);
/// A peer that was not heard for longer can admit nothing: it is gone, or has had no fresh
/// configuration for longer than it may serve.
pub(crate) const GONE_AFTER: Duration = Duration::from_secs(8);

/// One peer's last report.
#[derive(Debug)]
pub(crate) struct PeerReport {
    pub(crate) boot: BootId,
    /// Where the peer takes messages.
    pub(crate) address: SocketAddr,
    pub(crate) sequence: u64,
    pub(crate) loads: FastMap<TargetKey, u32>,
    pub(crate) generation: u64,
    pub(crate) partitions: Vec<u32>,
    pub(crate) heard_at: Timestamp,
}

/// All peers of this VM.
#[derive(Debug, Default)]
pub(crate) struct PeerView {
    peers: FastMap<NodeName, PeerReport>,
}

impl PeerView {
    /// Takes in a report. Returns whether it is newer than the last one.
    pub(crate) fn note(&mut self, peer: NodeName, report: PeerReport) -> bool {
        let overtaken =
            |known: &PeerReport| known.boot == report.boot && known.sequence >= report.sequence;
        if self.peers.get(&peer).is_some_and(overtaken) {
            return false;
        }
        self.peers.insert(peer, report);
        true
    }

    /// Requests that live peers have in flight on a target.
    pub(crate) fn load(&self, target: TargetKey, now: Timestamp) -> u32 {
        let live = self.live(now);
        live.map(|(_, peer)| peer.loads.get(&target).copied().unwrap_or(0))
            .sum()
    }

    pub(crate) fn live(&self, now: Timestamp) -> impl Iterator<Item = (&NodeName, &PeerReport)> {
        let heard = move |peer: &PeerReport| now.since(peer.heard_at) < ABSENT_AFTER;
        self.peers.iter().filter(move |(_, peer)| heard(peer))
    }

    /// The number of VMs, this one included.
    pub(crate) fn members(&self, now: Timestamp) -> usize {
        self.live(now).count() + 1
    }

    /// The peer that acts for a partition: the one with the newest generation.
    pub(crate) fn owner_of(&self, partition: u32, now: Timestamp) -> Option<&PeerReport> {
        let owners = self.live(now).map(|(_, peer)| peer);
        let owners = owners.filter(|peer| peer.partitions.contains(&partition));
        owners.max_by_key(|peer| peer.generation)
    }

    /// The partitions that live peers act for.
    pub(crate) fn owned_partitions(&self, now: Timestamp) -> FastSet<u32> {
        let partitions = self.live(now).flat_map(|(_, peer)| &peer.partitions);
        partitions.copied().collect()
    }

    /// Removes peers that can no longer admit requests, and returns their names.
    pub(crate) fn expire(&mut self, now: Timestamp) -> Vec<NodeName> {
        let gone = |peer: &PeerReport| now.since(peer.heard_at) > GONE_AFTER;
        let names: Vec<_> = self
            .peers
            .iter()
            .filter(|(_, peer)| gone(peer))
            .map(|(name, _)| name.clone())
            .collect();
        for name in &names {
            self.peers.remove(name);
        }
        names
    }
}
