//! The state of the peers as this node knows it: liveness, promises and the newest log tail.

use std::net::SocketAddr;
use std::time::Duration;

use super::wire::{Heartbeat, HeartbeatAnswer};
use crate::clock::Timestamp;
use crate::collections::FastMap;
use crate::ids::{BootId, LogOffset, NodeName};
use crate::platform_client::VmEntry;

/// The log counts as unreachable when no read sent within this time has succeeded. 2 s was too
/// long: the last confirmed tail can be another 0.5 s older (the time for which a read waits for
/// records) and promises arrive only with a heartbeat, so freshness expired on a busy machine
/// before all promises had arrived.
pub(crate) const LOG_UNREACHABLE_AFTER: Duration = Duration::from_millis(1500);
/// The log is suspected to be unreachable when no read sent within this time has succeeded.
const LOG_SUSPECT_AFTER: Duration = Duration::from_secs(1);
/// How long after [`LOG_SUSPECT_AFTER`] heartbeats are sent more often, to collect promises early.
const LOG_SUSPECT_DURATION: Duration = Duration::from_secs(3);
/// How long a promise to append no claim binds the node that made it.
pub(crate) const PROMISE_DURATION: Duration = Duration::from_secs(3);
/// By how much earlier the receiver treats a promise as expired, since the clocks of two nodes can
/// run at different rates.
pub(crate) const PROMISE_CLOCK_MARGIN: Duration = Duration::from_millis(250);
/// How long a peer counts as live after its last message.
pub(crate) const PEER_LIVENESS_TIMEOUT: Duration = Duration::from_secs(2);
/// How long after its last message a peer that is not in the VM list is assumed to be able to claim
/// leases.
pub(crate) const PEER_RETENTION: Duration = Duration::from_secs(30);
/// The age of the newest confirmed tail up to which a node accepts requests.
pub(crate) const FRESHNESS_LIMIT: Duration = Duration::from_secs(3);

/// The most tails that are kept until their records are applied.
const MAX_PENDING_TAILS: usize = 16;

/// A period that a peer's promises cover without a gap, on the receiver's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct PromisePeriod {
    from: Timestamp,
    until: Timestamp,
    /// Whether the process had not run long enough to claim an expired lease when the period began.
    cannot_claim_expired: bool,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct PeerEntry {
    address: Option<SocketAddr>,
    boot: BootId,
    uptime: Duration,
    leaving: bool,
    last_heard: Timestamp,
    applied: LogOffset,
    log_reachable: bool,
    promise: Option<PromisePeriod>,
}

/// A confirmed end of the configuration log: at `confirmed_at`, the log had no record at or beyond
/// `offset`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ConfirmedTail {
    pub(crate) offset: LogOffset,
    pub(crate) confirmed_at: Timestamp,
}

/// The state of this node that it sends to its peers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct LocalNode {
    pub(crate) node: NodeName,
    pub(crate) boot: BootId,
    pub(crate) address: Option<SocketAddr>,
    pub(crate) started: Timestamp,
    pub(crate) leaving: bool,
    /// The offset of the next configuration record to apply.
    pub(crate) applied: LogOffset,
}

/// This node's view of the other entry VMs.
#[derive(Debug)]
pub(crate) struct PeerTable {
    pub(crate) local: LocalNode,
    /// The age from which a node may claim expired leases. See [`Self::may_claim_expired`].
    claim_age: Duration,
    vm_list: Option<Vec<VmEntry>>,
    peers: FastMap<NodeName, PeerEntry>,
    /// When each node name first appeared in the VM list or in a heartbeat. A restart of the node
    /// does not change it.
    known_since: FastMap<NodeName, Timestamp>,
    last_log_read: Option<Timestamp>,
    /// The time until which this node has promised to append no claim.
    promised_until: Option<Timestamp>,
    /// The time until which the append of a claim may still take effect.
    claim_pending_until: Option<Timestamp>,
    /// The newest tail up to which this node has applied the configuration.
    tail: Option<ConfirmedTail>,
    /// Newer tails whose records this node has not yet applied, oldest first.
    pending_tails: Vec<ConfirmedTail>,
}

impl PeerTable {
    pub(crate) fn new(local: LocalNode, claim_age: Duration) -> Self {
        Self {
            local,
            claim_age,
            vm_list: None,
            peers: FastMap::default(),
            known_since: FastMap::default(),
            last_log_read: None,
            promised_until: None,
            claim_pending_until: None,
            tail: None,
            pending_tails: Vec::new(),
        }
    }

    /// Replaces the VM list by the newest one from the platform.
    pub(crate) fn set_vm_list(&mut self, vms: Vec<VmEntry>, now: Timestamp) {
        for vm in &vms {
            self.known_since.entry(vm.name.clone()).or_insert(now);
        }
        self.vm_list = Some(vms);
    }

    /// The nodes that may claim leases: this node, all listed VMs and all peers heard from
    /// recently. `None` until the VM list has been read.
    pub(crate) fn possible_claimants(&self, now: Timestamp) -> Option<Vec<NodeName>> {
        self.vm_list.as_ref()?;
        let local = std::iter::once(&self.local.node);
        Some(local.chain(self.other_vms(now)).cloned().collect())
    }

    /// Records that a read of the log that was sent at `sent` succeeded. Returns whether the log
    /// was unreachable before.
    pub(crate) fn record_log_read(&mut self, sent: Timestamp, now: Timestamp) -> bool {
        let was_unreachable = !self.log_reachable(now);
        self.last_log_read = self.last_log_read.max(Some(sent));
        was_unreachable
    }

    /// Whether an outage of the log may have just begun, so that promises are needed soon.
    pub(crate) fn is_log_suspect(&self, now: Timestamp) -> bool {
        let since_last_read = self.last_log_read.map(|sent| now.since(sent));
        since_last_read.is_some_and(|elapsed| {
            (LOG_SUSPECT_AFTER..LOG_SUSPECT_AFTER + LOG_SUSPECT_DURATION).contains(&elapsed)
        })
    }

    pub(crate) fn log_reachable(&self, now: Timestamp) -> bool {
        let last_read = self.last_log_read;
        last_read.is_some_and(|sent| now.since(sent) <= LOG_UNREACHABLE_AFTER)
    }

    /// Records that the append of a claim may take effect until `until`.
    pub(crate) fn record_pending_claim(&mut self, until: Timestamp) {
        self.claim_pending_until = Some(until);
    }

    /// Whether a claim now would break a promise that this node made.
    pub(crate) fn is_bound_by_promise(&self, now: Timestamp) -> bool {
        self.promised_until.is_some_and(|until| now < until)
    }

    /// Records a confirmed tail, which counts only once its records are applied.
    pub(crate) fn record_tail(&mut self, tail: ConfirmedTail) {
        if tail.offset > self.local.applied {
            if self.pending_tails.len() == MAX_PENDING_TAILS {
                self.pending_tails.remove(0);
            }
            self.pending_tails.push(tail);
        } else if self
            .tail
            .is_none_or(|known| known.confirmed_at < tail.confirmed_at)
        {
            self.tail = Some(tail);
        }
    }

    /// Records that the configuration is applied up to `offset`.
    pub(crate) fn record_applied(&mut self, offset: LogOffset) {
        if offset <= self.local.applied {
            return;
        }
        self.local.applied = offset;
        for tail in std::mem::take(&mut self.pending_tails) {
            self.record_tail(tail);
        }
    }

    /// The heartbeat that describes this node at `now`.
    pub(crate) fn heartbeat(&self, now: Timestamp) -> Heartbeat {
        let tail = self.tail;
        Heartbeat {
            node: self.local.node.to_string(),
            boot: self.local.boot.into(),
            address: self.local.address.map(|address| address.to_string()),
            uptime_ms: millis(now.since(self.local.started)),
            leaving: self.local.leaving,
            applied: self.local.applied.into(),
            log_reachable: self.log_reachable(now),
            tail: tail.map(|tail| tail.offset.into()),
            tail_age_ms: tail.map_or(0, |tail| millis(now.since(tail.confirmed_at))),
        }
    }

    /// Answers a peer's heartbeat. The answer promises to append no claim if the log is unreachable
    /// and no claim of this node is pending.
    pub(crate) fn answer_heartbeat(
        &mut self,
        now: Timestamp,
        request: &Heartbeat,
    ) -> HeartbeatAnswer {
        // The tail in the heartbeat is not used: its age is unknown, since the message may have
        // been delayed.
        self.update_peer(now, request);
        let claim_pending = self.claim_pending_until.is_some_and(|until| now < until);
        let promises_no_claim = !self.log_reachable(now) && !claim_pending;
        if promises_no_claim {
            self.promised_until = Some(now + PROMISE_DURATION);
        }
        HeartbeatAnswer {
            sender: Some(self.heartbeat(now)),
            promises_no_claim,
            boot_unknown: false,
        }
    }

    /// Applies the answer to a heartbeat that was sent at `sent`.
    pub(crate) fn apply_answer(
        &mut self,
        sent: Timestamp,
        now: Timestamp,
        answer: &HeartbeatAnswer,
    ) {
        let Some(peer) = &answer.sender else { return };
        let cannot_claim_expired = self.cannot_claim_expired(peer, now);
        if let (Some(offset), true) = (peer.tail, sent.as_millis() >= peer.tail_age_ms) {
            let confirmed_at = Timestamp::from_millis(sent.as_millis() - peer.tail_age_ms);
            let offset = LogOffset::from(offset);
            self.record_tail(ConfirmedTail {
                offset,
                confirmed_at,
            });
        }
        let Some(entry) = self.update_peer(now, peer) else {
            return;
        };
        // A peer that makes no further promise is still bound by its last one. This gives a lease
        // holder time to claim its role again when the log becomes reachable.
        if !answer.promises_no_claim {
            return;
        }
        let until = sent + (PROMISE_DURATION - PROMISE_CLOCK_MARGIN);
        match &mut entry.promise {
            Some(period) if now <= period.until => period.until = period.until.max(until),
            _ => {
                let from = now;
                entry.promise = Some(PromisePeriod {
                    from,
                    until,
                    cannot_claim_expired,
                });
            }
        }
    }

    /// Whether a peer has not run long enough to claim expired leases and started after this node.
    fn cannot_claim_expired(&self, peer: &Heartbeat, now: Timestamp) -> bool {
        let uptime = millis(now.since(self.local.started));
        peer.uptime_ms < uptime && peer.uptime_ms < millis(self.claim_age)
    }

    /// Updates the entry of a peer from its heartbeat.
    fn update_peer(&mut self, now: Timestamp, peer: &Heartbeat) -> Option<&mut PeerEntry> {
        let node: NodeName = peer.node.parse().ok()?;
        if node == self.local.node {
            return None;
        }
        let boot = BootId::from(peer.boot);
        let cannot_claim_expired = self.cannot_claim_expired(peer, now);
        self.known_since.entry(node.clone()).or_insert(now);
        let known = self.peers.get(&node);
        // A restarted process that may not yet claim expired leases keeps the promise of its
        // predecessor.
        let promise = known.filter(|entry| entry.boot == boot || cannot_claim_expired);
        let promise = promise.and_then(|entry| entry.promise);
        // A restarted process has applied fewer records than its predecessor. The highest offset is
        // kept, because the cluster accepted those records and this node must apply them too.
        let applied = LogOffset::from(peer.applied);
        let entry = PeerEntry {
            address: peer.address.as_ref().and_then(|text| text.parse().ok()),
            boot,
            uptime: Duration::from_millis(peer.uptime_ms),
            leaving: peer.leaving,
            last_heard: now,
            applied: known.map_or(applied, |entry| entry.applied.max(applied)),
            log_reachable: peer.log_reachable,
            promise,
        };
        self.peers.insert(node.clone(), entry);
        self.peers.get_mut(&node)
    }

    /// The other VMs that may claim a lease.
    fn other_vms(&self, now: Timestamp) -> Vec<&NodeName> {
        let listed = self.vm_list.iter().flatten().map(|vm| &vm.name);
        let recent = self.peers.iter();
        let recent = recent.filter(|(_, peer)| now.since(peer.last_heard) <= PEER_RETENTION);
        let mut names: Vec<_> = listed.chain(recent.map(|(name, _)| name)).collect();
        names.retain(|name| **name != self.local.node);
        names.sort();
        names.dedup();
        names
    }

    /// Whether no other VM can have appended a claim since `since`: each has promised so without a
    /// gap, or first appeared after `since` and could not claim expired leases before its first
    /// promise.
    pub(crate) fn all_promised_since(&self, since: Timestamp, now: Timestamp) -> bool {
        let promised = |name: &NodeName| {
            let period = self.peers.get(name).and_then(|peer| peer.promise);
            let is_new = self
                .known_since
                .get(name)
                .is_some_and(|known| *known > since);
            period.is_some_and(|period| {
                now < period.until
                    && (period.from <= since || (period.cannot_claim_expired && is_new))
            })
        };
        self.vm_list.is_some() && self.other_vms(now).into_iter().all(promised)
    }

    /// Whether this node may claim leases that expired without a release. During an outage of the
    /// log, a holder keeps an expired lease while all VMs it knows promise to claim nothing. It may
    /// not know a node that has just started, so such a node waits for the claim age unless all
    /// other VMs started later.
    pub(crate) fn may_claim_expired(&self, now: Timestamp) -> bool {
        let uptime = now.since(self.local.started);
        let younger = |name: &NodeName| {
            let peer = self.peers.get(name);
            peer.is_some_and(|peer| {
                now.since(peer.last_heard) <= PEER_LIVENESS_TIMEOUT && peer.uptime < uptime
            })
        };
        uptime >= self.claim_age
            || (self.vm_list.is_some() && self.other_vms(now).into_iter().all(younger))
    }

    /// The nodes that take part in claims, in no order: this one and the live peers, without nodes
    /// that are shutting down.
    pub(crate) fn live_nodes(&self, now: Timestamp) -> Vec<NodeName> {
        let live = self.peers.iter();
        let live = live.filter(|(_, peer)| {
            !peer.leaving && now.since(peer.last_heard) <= PEER_LIVENESS_TIMEOUT
        });
        let mut names: Vec<_> = live.map(|(name, _)| name.clone()).collect();
        if !self.local.leaving {
            names.push(self.local.node.clone());
        }
        names
    }

    /// The address of a node if the process with this boot id is live.
    pub(crate) fn live_address(
        &self,
        node: &NodeName,
        boot: BootId,
        now: Timestamp,
    ) -> Option<SocketAddr> {
        let peer = self.peers.get(node)?;
        let live = peer.boot == boot && now.since(peer.last_heard) <= PEER_LIVENESS_TIMEOUT;
        live.then_some(peer.address).flatten()
    }

    /// The last known address of a node.
    pub(crate) fn address_of(&self, node: &NodeName) -> Option<SocketAddr> {
        self.peers.get(node)?.address
    }

    /// The addresses of live peers that can read the log.
    pub(crate) fn peers_with_log_access(&self, now: Timestamp) -> Vec<SocketAddr> {
        let peers = self.peers.values();
        let readers = peers.filter(|peer| {
            peer.log_reachable && now.since(peer.last_heard) <= PEER_LIVENESS_TIMEOUT
        });
        readers.filter_map(|peer| peer.address).collect()
    }

    /// The other VMs to which heartbeats go. The address from a heartbeat takes precedence over the
    /// VM list.
    pub(crate) fn peer_addresses(&self, now: Timestamp) -> Vec<(NodeName, SocketAddr)> {
        let others = self.other_vms(now).into_iter();
        let addresses = others.filter_map(|name| {
            let listed = self.vm_list.iter().flatten().find(|vm| vm.name == *name);
            let reported = self.peers.get(name).and_then(|peer| peer.address);
            Some((name.clone(), reported.or(listed.map(|vm| vm.address))?))
        });
        addresses.collect()
    }

    /// Whether the applied configuration includes every record that was appended until `limit`
    /// before `now`. Past `limit`, this also holds during an outage of the log while every other VM
    /// promises to append no claim and no peer has applied more records.
    pub(crate) fn is_fresh(&self, now: Timestamp, limit: Duration) -> bool {
        let Some(tail) = self.tail else { return false };
        if now.since(tail.confirmed_at) <= limit {
            return true;
        }
        let mut peers = self.peers.values();
        !self.log_reachable(now)
            && self.all_promised_since(tail.confirmed_at + limit, now)
            && peers.all(|peer| peer.applied <= self.local.applied)
    }

    /// The membership section of the state dump.
    pub(crate) fn dump(&self, now: Timestamp) -> serde_json::Value {
        let peer = |(name, peer): (&NodeName, &PeerEntry)| {
            serde_json::json!({
                "node": name, "boot": peer.boot, "leaving": peer.leaving,
                "heard_ms_ago": millis(now.since(peer.last_heard)), "applied": peer.applied,
                "promises": peer.promise.is_some_and(|period| now < period.until),
            })
        };
        serde_json::json!({
            "log_reachable": self.log_reachable(now),
            "fresh": self.is_fresh(now, FRESHNESS_LIMIT),
            "bound_by_promise": self.is_bound_by_promise(now),
            "peers": self.peers.iter().map(peer).collect::<Vec<_>>(),
        })
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
