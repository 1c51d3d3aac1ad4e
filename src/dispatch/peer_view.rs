//! What the other entry VMs report: requests in flight on each target, and the partitions that
//! they act for.

use std::net::SocketAddr;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::collections::FastMap;
use crate::dispatch::directory::{TargetKey, stable_hash};
use crate::ids::{BootId, NodeName};

/// A peer that was not heard for longer than this many of its reports counts no load and owns
/// nothing: reports are lost and late, and a VM without processor time sends none for a while.
const MISSED_REPORTS: u32 = 3;
/// The least time after which a peer counts as absent.
const ABSENT_LEAST: Duration = Duration::from_millis(1500);
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
    /// The pause until the peer's next report to this VM.
    pub(crate) pause: Duration,
    pub(crate) heard_at: Timestamp,
}

impl PeerReport {
    fn is_absent(&self, now: Timestamp) -> bool {
        now.since(self.heard_at) >= ABSENT_LEAST.max(self.pause * MISSED_REPORTS)
    }
}

fn rank_hash(node: &NodeName) -> u64 {
    stable_hash(&[node.as_str()])
}

#[derive(Debug)]
struct PeerEntry {
    report: PeerReport,
    /// Whether the report is part of the sums over all peers.
    counted: bool,
}

/// All peers of this VM.
///
/// The sums are kept up to date with each report, since each choice of a target reads them for all
/// targets.
#[derive(Debug, Default)]
pub(crate) struct PeerView {
    peers: FastMap<NodeName, PeerEntry>,
    /// Requests in flight by target, over the counted peers.
    loads: FastMap<TargetKey, u32>,
    /// The counted peer that acts for each partition, by the newest generation.
    owners: FastMap<u32, PartitionOwner>,
    /// Counted peers.
    live: usize,
}

#[derive(Debug, Clone, Copy)]
struct PartitionOwner {
    address: SocketAddr,
    generation: u64,
}

impl PeerView {
    /// Takes in a report. Returns whether it is newer than the last one.
    pub(crate) fn note(&mut self, peer: NodeName, report: PeerReport) -> bool {
        let known = self.peers.get(&peer);
        let overtaken = |known: &PeerEntry| {
            known.report.boot == report.boot && known.report.sequence >= report.sequence
        };
        if known.is_some_and(overtaken) {
            return false;
        }
        let same_partitions = known.is_some_and(|known| {
            let before = &known.report;
            known.counted
                && before.generation == report.generation
                && before.partitions == report.partitions
                && before.address == report.address
        });
        if let Some(known) = self.peers.remove(&peer) {
            self.uncount(&known);
        }
        for (target, load) in &report.loads {
            *self.loads.entry(*target).or_default() += load;
        }
        self.live += 1;
        let counted = true;
        self.peers.insert(peer, PeerEntry { report, counted });
        if !same_partitions {
            self.find_owners();
        }
        true
    }

    fn uncount(&mut self, entry: &PeerEntry) {
        if !entry.counted {
            return;
        }
        self.live -= 1;
        for (target, load) in &entry.report.loads {
            if let Some(sum) = self.loads.get_mut(target) {
                *sum -= load;
                if *sum == 0 {
                    self.loads.remove(target);
                }
            }
        }
    }

    fn find_owners(&mut self) {
        self.owners.clear();
        for entry in self.peers.values().filter(|entry| entry.counted) {
            let report = &entry.report;
            let owner = PartitionOwner {
                address: report.address,
                generation: report.generation,
            };
            for partition in &report.partitions {
                let known = self.owners.entry(*partition).or_insert(owner);
                if owner.generation > known.generation {
                    *known = owner;
                }
            }
        }
    }

    /// Requests that live peers have in flight on a target.
    pub(crate) fn load(&self, target: TargetKey) -> u32 {
        self.loads.get(&target).copied().unwrap_or(0)
    }

    /// How many live peers come before `node` in an order that is the same on all VMs and has
    /// nothing to do with zones.
    pub(crate) fn rank_of(&self, node: &NodeName) -> usize {
        let own = rank_hash(node);
        let live = self.peers.iter().filter(|(_, entry)| entry.counted);
        live.filter(|(peer, _)| rank_hash(peer) < own).count()
    }

    /// The addresses of the first `count` live peers in that order.
    pub(crate) fn first_addresses(&self, count: usize) -> Vec<SocketAddr> {
        let live = self.peers.iter().filter(|(_, entry)| entry.counted);
        let mut ranked: Vec<_> = live
            .map(|(peer, entry)| (rank_hash(peer), entry.report.address))
            .collect();
        ranked.sort_unstable();
        let first = ranked.into_iter().take(count);
        first.map(|(_, address)| address).collect()
    }

    /// The number of VMs, this one included.
    pub(crate) fn members(&self) -> usize {
        self.live + 1
    }

    /// The address of the peer that acts for a partition: the one with the newest generation.
    pub(crate) fn owner_of(&self, partition: u32) -> Option<SocketAddr> {
        self.owners.get(&partition).map(|owner| owner.address)
    }

    /// Stops counting peers that were not heard lately. Removes those that can no longer admit
    /// requests, and returns their names.
    pub(crate) fn expire(&mut self, now: Timestamp) -> Vec<NodeName> {
        let mut peers = std::mem::take(&mut self.peers);
        let mut changed = false;
        for entry in peers.values_mut() {
            if entry.counted && entry.report.is_absent(now) {
                self.uncount(entry);
                entry.counted = false;
                changed = true;
            }
        }
        let gone = |entry: &PeerEntry| now.since(entry.report.heard_at) > GONE_AFTER;
        let extracted = peers.extract_if(|_, entry| gone(entry));
        let names = extracted.map(|(name, _)| name).collect();
        self.peers = peers;
        if changed {
            self.find_owners();
        }
        names
    }
}
