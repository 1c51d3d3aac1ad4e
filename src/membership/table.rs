//! What this node knows of its peers: who is live, their promises and the newest log tail.

use std::net::SocketAddr;
use std::time::Duration;

use super::wire::{Heartbeat, HeartbeatAnswer};
use crate::clock::Timestamp;
use crate::collections::FastMap;
use crate::ids::{BootId, LogOffset, NodeName};
use crate::log_service::VmEntry;

/// A log that answered no read sent within this time counts as unreachable. The last confirmed
/// tail may be 0.5 s older, which is the wait of a read, and the promises of all peers need a
/// heartbeat: with 2 s, freshness ran out before they came on a busy machine.
pub(crate) const LOG_SILENCE_LIMIT: Duration = Duration::from_millis(1500);
/// A log that answered no read sent within this time may be about to count as unreachable.
const LOG_DOUBT_LIMIT: Duration = Duration::from_secs(1);
/// How long after [`LOG_DOUBT_LIMIT`] promises are sought with more heartbeats.
const LOG_DOUBT_TIME: Duration = Duration::from_secs(3);
/// How long a promise to claim nothing binds its giver.
pub(crate) const PROMISE_TIME: Duration = Duration::from_secs(3);
/// By how much earlier the receiver of a promise counts it as expired, for clocks that run at
/// different rates.
pub(crate) const PROMISE_MARGIN: Duration = Duration::from_millis(250);
/// How long a peer that was heard counts as live.
pub(crate) const LIVE_LIMIT: Duration = Duration::from_secs(2);
/// How long a peer that is not in the VM list may still claim leases, as others see it.
pub(crate) const PEER_MEMORY: Duration = Duration::from_secs(30);
/// The age of the newest confirmed tail up to which a node accepts requests.
pub(crate) const FRESHNESS_LIMIT: Duration = Duration::from_secs(3);

/// How many tails are kept until their records are applied.
const TAILS_AHEAD: usize = 16;

/// A peer's promises as one unbroken time, on the receiver's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct PromiseChain {
    from: Timestamp,
    until: Timestamp,
    /// Whether the process was too young to claim an expired lease when the chain began.
    young: bool,
}

/// One peer.
#[derive(Debug, Clone, PartialEq, Eq)]
struct PeerEntry {
    address: Option<SocketAddr>,
    boot: BootId,
    uptime: Duration,
    leaving: bool,
    heard: Timestamp,
    applied: LogOffset,
    log_reachable: bool,
    promise: Option<PromiseChain>,
}

/// The newest offset that the configuration log is known to have reached, and when that was
/// confirmed at the latest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ConfirmedTail {
    pub(crate) offset: LogOffset,
    pub(crate) at: Timestamp,
}

/// What this node says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct OwnNode {
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
    pub(crate) own: OwnNode,
    /// The age from which a node may claim expired leases. See [`Self::may_claim_expired`].
    claim_age: Duration,
    vms: Option<Vec<VmEntry>>,
    peers: FastMap<NodeName, PeerEntry>,
    /// When each name was first listed or heard. It outlives the process of that name.
    known_since: FastMap<NodeName, Timestamp>,
    log_seen: Option<Timestamp>,
    /// Until when this node has promised to append no claim.
    promised_until: Option<Timestamp>,
    /// Until when an append of a claim may still take effect.
    claim_until: Option<Timestamp>,
    /// The newest tail up to which this node has applied the configuration.
    tail: Option<ConfirmedTail>,
    /// Newer tails that this node has not yet applied, by age.
    ahead: Vec<ConfirmedTail>,
}

impl PeerTable {
    pub(crate) fn new(own: OwnNode, claim_age: Duration) -> Self {
        Self {
            own,
            claim_age,
            vms: None,
            peers: FastMap::default(),
            known_since: FastMap::default(),
            log_seen: None,
            promised_until: None,
            claim_until: None,
            tail: None,
            ahead: Vec::new(),
        }
    }

    /// Takes in the platform's VM list.
    pub(crate) fn set_list(&mut self, vms: Vec<VmEntry>, now: Timestamp) {
        for vm in &vms {
            self.known_since.entry(vm.name.clone()).or_insert(now);
        }
        self.vms = Some(vms);
    }

    /// This node, all listed VMs and all peers seen lately; `None` before the list was read.
    pub(crate) fn claimants(&self, now: Timestamp) -> Option<Vec<NodeName>> {
        self.vms.as_ref()?;
        let own = std::iter::once(&self.own.node);
        Some(own.chain(self.others(now)).cloned().collect())
    }

    /// Notes a read of the log that was sent at `sent` and succeeded. Tells whether the log was
    /// unreachable before.
    pub(crate) fn note_log_read(&mut self, sent: Timestamp, now: Timestamp) -> bool {
        let returned = !self.log_reachable(now);
        self.log_seen = self.log_seen.max(Some(sent));
        returned
    }

    /// Whether an outage of the log may have begun just now, so that promises are urgent.
    pub(crate) fn is_log_doubtful(&self, now: Timestamp) -> bool {
        let silence = self.log_seen.map(|seen| now.since(seen));
        silence.is_some_and(|silence| {
            (LOG_DOUBT_LIMIT..LOG_DOUBT_LIMIT + LOG_DOUBT_TIME).contains(&silence)
        })
    }

    pub(crate) fn log_reachable(&self, now: Timestamp) -> bool {
        let seen = self.log_seen;
        seen.is_some_and(|seen| now.since(seen) <= LOG_SILENCE_LIMIT)
    }

    /// Notes that an append of a claim may take effect until `until`.
    pub(crate) fn note_claim(&mut self, until: Timestamp) {
        self.claim_until = Some(until);
    }

    /// Whether a claim would break a promise of this node.
    pub(crate) fn is_bound(&self, now: Timestamp) -> bool {
        self.promised_until.is_some_and(|until| now < until)
    }

    /// Notes that the log's tail was at `offset` at `at` or later.
    pub(crate) fn note_tail(&mut self, tail: ConfirmedTail) {
        if tail.offset > self.own.applied {
            if self.ahead.len() == TAILS_AHEAD {
                self.ahead.remove(0);
            }
            self.ahead.push(tail);
        } else if self.tail.is_none_or(|known| known.at < tail.at) {
            self.tail = Some(tail);
        }
    }

    /// Notes that the configuration is applied up to `offset`.
    pub(crate) fn note_applied(&mut self, offset: LogOffset) {
        if offset <= self.own.applied {
            return;
        }
        self.own.applied = offset;
        for tail in std::mem::take(&mut self.ahead) {
            self.note_tail(tail);
        }
    }

    /// The heartbeat to send now.
    pub(crate) fn heartbeat(&self, now: Timestamp) -> Heartbeat {
        let tail = self.tail;
        Heartbeat {
            node: self.own.node.to_string(),
            boot: self.own.boot.into(),
            address: self.own.address.map(|address| address.to_string()),
            uptime_ms: millis(now.since(self.own.started)),
            leaving: self.own.leaving,
            applied: self.own.applied.into(),
            log_reachable: self.log_reachable(now),
            tail: tail.map(|tail| tail.offset.into()),
            tail_age_ms: tail.map_or(0, |tail| millis(now.since(tail.at))),
        }
    }

    /// Answers a peer's heartbeat; promises to claim nothing while the log is unreachable.
    pub(crate) fn answer(&mut self, now: Timestamp, ask: &Heartbeat) -> HeartbeatAnswer {
        // The age of the tail in a message that was not asked for is unknown: it may be late.
        self.hear(now, ask);
        let claim_pending = self.claim_until.is_some_and(|until| now < until);
        let promises = !self.log_reachable(now) && !claim_pending;
        if promises {
            self.promised_until = Some(now + PROMISE_TIME);
        }
        HeartbeatAnswer {
            own: Some(self.heartbeat(now)),
            promises,
            unknown: false,
        }
    }

    /// Takes in the answer to a heartbeat that was sent at `sent`.
    pub(crate) fn accept_answer(
        &mut self,
        sent: Timestamp,
        now: Timestamp,
        answer: &HeartbeatAnswer,
    ) {
        let Some(peer) = &answer.own else { return };
        let young = self.is_young(peer, now);
        if let (Some(offset), true) = (peer.tail, sent.as_millis() >= peer.tail_age_ms) {
            let at = Timestamp::from_millis(sent.as_millis() - peer.tail_age_ms);
            let offset = LogOffset::from(offset);
            self.note_tail(ConfirmedTail { offset, at });
        }
        let Some(entry) = self.hear(now, peer) else {
            return;
        };
        // A peer that promises no more is still bound by its last promise, which gives a holder
        // the time to claim its role anew when the log returns.
        if !answer.promises {
            return;
        }
        let until = sent + (PROMISE_TIME - PROMISE_MARGIN);
        match &mut entry.promise {
            Some(chain) if now <= chain.until => chain.until = chain.until.max(until),
            _ => {
                let from = now;
                entry.promise = Some(PromiseChain { from, until, young });
            }
        }
    }

    /// Whether a process is too young to claim expired leases, and this one is older.
    fn is_young(&self, peer: &Heartbeat, now: Timestamp) -> bool {
        let uptime = millis(now.since(self.own.started));
        peer.uptime_ms < uptime && peer.uptime_ms < millis(self.claim_age)
    }

    /// Takes in what a peer says of itself.
    fn hear(&mut self, now: Timestamp, peer: &Heartbeat) -> Option<&mut PeerEntry> {
        let node: NodeName = peer.node.parse().ok()?;
        if node == self.own.node {
            return None;
        }
        let boot = BootId::from(peer.boot);
        let young = self.is_young(peer, now);
        self.known_since.entry(node.clone()).or_insert(now);
        let known = self.peers.get(&node);
        // A young process claims no expired lease, so the promise of its predecessor holds on.
        let promise = known.filter(|entry| entry.boot == boot || young);
        let promise = promise.and_then(|entry| entry.promise);
        // What an earlier process of the node applied was accepted: it counts until this node has
        // it too, although a restarted process knows less.
        let applied = LogOffset::from(peer.applied);
        let entry = PeerEntry {
            address: peer.address.as_ref().and_then(|text| text.parse().ok()),
            boot,
            uptime: Duration::from_millis(peer.uptime_ms),
            leaving: peer.leaving,
            heard: now,
            applied: known.map_or(applied, |entry| entry.applied.max(applied)),
            log_reachable: peer.log_reachable,
            promise,
        };
        self.peers.insert(node.clone(), entry);
        self.peers.get_mut(&node)
    }

    /// The VMs that could claim a lease, besides this one.
    fn others(&self, now: Timestamp) -> Vec<&NodeName> {
        let listed = self.vms.iter().flatten().map(|vm| &vm.name);
        let seen = self.peers.iter();
        let seen = seen.filter(|(_, peer)| now.since(peer.heard) <= PEER_MEMORY);
        let mut names: Vec<_> = listed.chain(seen.map(|(name, _)| name)).collect();
        names.retain(|name| **name != self.own.node);
        names.sort();
        names.dedup();
        names
    }

    /// Whether nobody else can have appended a claim since `since`: every other VM has promised
    /// so without a break, or is new and was too young to claim before its first promise.
    pub(crate) fn is_promised_since(&self, since: Timestamp, now: Timestamp) -> bool {
        let promised = |name: &NodeName| {
            let chain = self.peers.get(name).and_then(|peer| peer.promise);
            let is_new = self
                .known_since
                .get(name)
                .is_some_and(|known| *known > since);
            chain.is_some_and(|chain| {
                now < chain.until && (chain.from <= since || (chain.young && is_new))
            })
        };
        self.vms.is_some() && self.others(now).into_iter().all(promised)
    }

    /// Whether this node may claim leases that were not released but expired. A node that just
    /// started may be unknown to a holder that holds over without its promise, unless all other
    /// VMs are known to have started later.
    pub(crate) fn may_claim_expired(&self, now: Timestamp) -> bool {
        let uptime = now.since(self.own.started);
        let younger = |name: &NodeName| {
            let peer = self.peers.get(name);
            peer.is_some_and(|peer| now.since(peer.heard) <= LIVE_LIMIT && peer.uptime < uptime)
        };
        uptime >= self.claim_age
            || (self.vms.is_some() && self.others(now).into_iter().all(younger))
    }

    /// The nodes that take part in claims, in no order: this one and the peers heard lately.
    pub(crate) fn live(&self, now: Timestamp) -> Vec<NodeName> {
        let live = self.peers.iter();
        let live = live.filter(|(_, peer)| !peer.leaving && now.since(peer.heard) <= LIVE_LIMIT);
        let mut names: Vec<_> = live.map(|(name, _)| name.clone()).collect();
        if !self.own.leaving {
            names.push(self.own.node.clone());
        }
        names
    }

    /// The address of the given process of a node, if it was heard lately.
    pub(crate) fn live_address(
        &self,
        node: &NodeName,
        boot: BootId,
        now: Timestamp,
    ) -> Option<SocketAddr> {
        let peer = self.peers.get(node)?;
        let live = peer.boot == boot && now.since(peer.heard) <= LIVE_LIMIT;
        live.then_some(peer.address).flatten()
    }

    /// The last known address of a node.
    pub(crate) fn address_of(&self, node: &NodeName) -> Option<SocketAddr> {
        self.peers.get(node)?.address
    }

    /// The addresses of live peers that can read the log.
    pub(crate) fn readers(&self, now: Timestamp) -> Vec<SocketAddr> {
        let peers = self.peers.values();
        let readers =
            peers.filter(|peer| peer.log_reachable && now.since(peer.heard) <= LIVE_LIMIT);
        readers.filter_map(|peer| peer.address).collect()
    }

    /// Where to send heartbeats.
    pub(crate) fn addresses(&self, now: Timestamp) -> Vec<(NodeName, SocketAddr)> {
        let others = self.others(now).into_iter();
        let addresses = others.filter_map(|name| {
            let listed = self.vms.iter().flatten().find(|vm| vm.name == *name);
            let told = self.peers.get(name).and_then(|peer| peer.address);
            Some((name.clone(), told.or(listed.map(|vm| vm.address))?))
        });
        addresses.collect()
    }

    /// Whether the configuration that this node applied is complete up to `limit` before now.
    pub(crate) fn is_fresh(&self, now: Timestamp, limit: Duration) -> bool {
        let Some(tail) = self.tail else { return false };
        if now.since(tail.at) <= limit {
            return true;
        }
        let mut peers = self.peers.values();
        !self.log_reachable(now)
            && self.is_promised_since(tail.at + limit, now)
            && peers.all(|peer| peer.applied <= self.own.applied)
    }

    /// The state dump of this part.
    pub(crate) fn dump(&self, now: Timestamp) -> serde_json::Value {
        let peer = |(name, peer): (&NodeName, &PeerEntry)| {
            serde_json::json!({
                "node": name, "boot": peer.boot, "leaving": peer.leaving,
                "heard_ms_ago": millis(now.since(peer.heard)), "applied": peer.applied,
                "promises": peer.promise.is_some_and(|chain| now < chain.until),
            })
        };
        serde_json::json!({
            "log_reachable": self.log_reachable(now),
            "fresh": self.is_fresh(now, FRESHNESS_LIMIT),
            "bound_by_promise": self.is_bound(now),
            "peers": self.peers.iter().map(peer).collect::<Vec<_>>(),
        })
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
