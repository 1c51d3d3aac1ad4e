//! The state reported by the other entry VMs: requests in flight on each target and the partitions
//! that each VM owns.

use std::net::SocketAddr;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::collections::FastMap;
use crate::dispatch::directory::{TargetKey, stable_hash};
use crate::ids::{BootId, NodeName};

/// A peer that has missed this many reports counts as absent: its load is ignored and it owns no
/// partitions. The limit allows for lost and late reports, and for a VM that gets no processor time
/// for a while.
const MAX_MISSED_REPORTS: u32 = 3;
/// The minimum silence after which a peer counts as absent.
const MIN_ABSENCE: Duration = Duration::from_millis(1500);
/// A peer that has been silent for longer cannot admit requests: it has stopped, or its
/// configuration is too old for it to serve.
pub(crate) const PEER_EXPIRY: Duration = Duration::from_secs(8);

/// How long a peer that is known by name only counts as live, long enough for the first report from
/// another zone of a large fleet.
const EXPECTED_PEER_LIFETIME: Duration = Duration::from_secs(5);

/// The last report of one peer.
#[derive(Debug)]
pub(crate) struct PeerReport {
    pub(crate) boot: BootId,
    /// The address on which the peer receives messages.
    pub(crate) address: SocketAddr,
    pub(crate) sequence: u64,
    pub(crate) loads: FastMap<TargetKey, u32>,
    pub(crate) generation: u64,
    pub(crate) partitions: Vec<u32>,
    /// The interval until the peer's next report to this VM.
    pub(crate) report_interval: Duration,
    pub(crate) received_at: Timestamp,
}

impl PeerReport {
    fn is_absent(&self, now: Timestamp) -> bool {
        now.since(self.received_at) >= MIN_ABSENCE.max(self.report_interval * MAX_MISSED_REPORTS)
    }
}

fn rank_hash(node: &NodeName) -> u64 {
    stable_hash(&[node.as_str()])
}

#[derive(Debug)]
struct PeerEntry {
    report: PeerReport,
    /// Whether the report is included in the totals.
    is_live: bool,
}

/// The reports of all peers of this VM.
///
/// The totals are updated with each report rather than on demand, since every target choice reads
/// them for all targets.
#[derive(Debug, Default)]
pub(crate) struct PeerView {
    peers: FastMap<NodeName, PeerEntry>,
    /// Requests in flight by target, summed over live peers.
    loads: FastMap<TargetKey, u32>,
    /// The live peer with the newest generation for each partition.
    owners: FastMap<u32, PartitionOwner>,
    /// The number of live peers.
    live_count: usize,
}

#[derive(Debug, Clone, Copy)]
struct PartitionOwner {
    address: SocketAddr,
    generation: u64,
}

impl PeerView {
    /// Applies a report. Returns whether it was newer than the last one.
    pub(crate) fn apply_report(&mut self, peer: NodeName, report: PeerReport) -> bool {
        let known = self.peers.get(&peer);
        let is_stale = |known: &PeerEntry| {
            known.report.boot == report.boot && known.report.sequence >= report.sequence
        };
        if known.is_some_and(is_stale) {
            return false;
        }
        let same_partitions = known.is_some_and(|known| {
            let before = &known.report;
            known.is_live
                && before.generation == report.generation
                && before.partitions == report.partitions
                && before.address == report.address
        });
        if let Some(known) = self.peers.remove(&peer) {
            self.subtract_report(&known);
        }
        for (target, load) in &report.loads {
            *self.loads.entry(*target).or_default() += load;
        }
        self.live_count += 1;
        let is_live = true;
        self.peers.insert(peer, PeerEntry { report, is_live });
        if !same_partitions {
            self.rebuild_owners();
        }
        true
    }

    /// Adds a peer that is known by name only and counts as live for a while, so that VMs that have
    /// just started agree on the ranking and the size of the fleet.
    pub(crate) fn expect(&mut self, peer: NodeName, address: SocketAddr, now: Timestamp) {
        let live_count = &mut self.live_count;
        self.peers.entry(peer).or_insert_with(|| {
            *live_count += 1;
            let report = PeerReport {
                boot: BootId::from(0),
                address,
                sequence: 0,
                loads: FastMap::default(),
                generation: 0,
                partitions: Vec::new(),
                report_interval: EXPECTED_PEER_LIFETIME / MAX_MISSED_REPORTS,
                received_at: now,
            };
            let is_live = true;
            PeerEntry { report, is_live }
        });
    }

    fn subtract_report(&mut self, entry: &PeerEntry) {
        if !entry.is_live {
            return;
        }
        self.live_count -= 1;
        for (target, load) in &entry.report.loads {
            if let Some(sum) = self.loads.get_mut(target) {
                *sum -= load;
                if *sum == 0 {
                    self.loads.remove(target);
                }
            }
        }
    }

    fn rebuild_owners(&mut self) {
        self.owners.clear();
        for entry in self.peers.values().filter(|entry| entry.is_live) {
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

    /// The number of requests that live peers have in flight on a target.
    pub(crate) fn load(&self, target: TargetKey) -> u32 {
        self.loads.get(&target).copied().unwrap_or(0)
    }

    /// The number of live peers that rank before `node`. The ranking is by name hash: all VMs agree
    /// on it, and it is independent of zones.
    pub(crate) fn rank_of(&self, node: &NodeName) -> usize {
        let own = rank_hash(node);
        let live = self.peers.iter().filter(|(_, entry)| entry.is_live);
        live.filter(|(peer, _)| rank_hash(peer) < own).count()
    }

    /// The addresses of the first `count` live peers in rank order.
    pub(crate) fn first_addresses(&self, count: usize) -> Vec<SocketAddr> {
        let live = self.peers.iter().filter(|(_, entry)| entry.is_live);
        let mut ranked: Vec<_> = live
            .map(|(peer, entry)| (rank_hash(peer), entry.report.address))
            .collect();
        ranked.sort_unstable();
        let first = ranked.into_iter().take(count);
        first.map(|(_, address)| address).collect()
    }

    /// The processes of the live peers. The boot id of a peer that has not reported yet is 0.
    pub(crate) fn live_processes(&self) -> impl Iterator<Item = (&NodeName, BootId)> {
        let live = self.peers.iter().filter(|(_, entry)| entry.is_live);
        live.map(|(node, entry)| (node, entry.report.boot))
    }

    /// The number of live VMs, including this one.
    pub(crate) fn member_count(&self) -> usize {
        self.live_count + 1
    }

    /// The address of the live peer that owns a partition, by the newest generation.
    pub(crate) fn owner_of(&self, partition: u32) -> Option<SocketAddr> {
        self.owners.get(&partition).map(|owner| owner.address)
    }

    /// Excludes absent peers from the totals. Removes peers that can no longer admit requests and
    /// returns their names.
    pub(crate) fn expire(&mut self, now: Timestamp) -> Vec<NodeName> {
        let mut peers = std::mem::take(&mut self.peers);
        let mut changed = false;
        for entry in peers.values_mut() {
            if entry.is_live && entry.report.is_absent(now) {
                self.subtract_report(entry);
                entry.is_live = false;
                changed = true;
            }
        }
        let expired = |entry: &PeerEntry| now.since(entry.report.received_at) > PEER_EXPIRY;
        let extracted = peers.extract_if(|_, entry| expired(entry));
        let names = extracted.map(|(name, _)| name).collect();
        self.peers = peers;
        if changed {
            self.rebuild_owners();
        }
        names
    }
}
