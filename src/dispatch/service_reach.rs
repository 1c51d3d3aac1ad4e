//! Whether this VM can open connections to the targets of a service, and which peers can.
//!
//! Load pattern: a VM loses its links to all targets while callers, the store and the other VMs still
//! reach it; open connections hang, are reset, or live on while new ones are refused. Next to that, a
//! sound target falls silent for a second, and a service crashes for all VMs. A VM tells these apart by
//! new connections to several targets, and by what its peers state of the same service.

use std::net::SocketAddr;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::collections::{FastMap, FastSet};
use crate::dispatch::directory::TargetKey;
use crate::ids::NodeName;

/// The targets that must have failed to accept a connection, one after the other, before a service
/// with as many counts as out of reach.
const FAILED_TARGETS: usize = 3;
/// The failed targets from which on a failure says nothing about the target itself.
const SUSPICIOUS_TARGETS: usize = 2;
/// How long a peer's statement is used. VMs that can't reach a service ask each 0.25 s.
const STATEMENT_LIFETIME: Duration = Duration::from_millis(1000);

/// How a peer last reached the service.
#[derive(Debug, Clone, Copy)]
struct PeerReach {
    address: SocketAddr,
    reached_at: Timestamp,
    stated_at: Timestamp,
}

/// Whether a task tries to connect to targets of the service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) enum Probing {
    #[default]
    Idle,
    Wanted,
    Running,
}

/// What this VM knows of its way to the targets of one service.
#[derive(Debug, Default)]
pub(crate) struct ServiceReach {
    /// When a target last accepted a connection of this VM or answered a request.
    heard_at: Option<Timestamp>,
    /// Targets that accepted no connection since the last one that did.
    failed: FastSet<TargetKey>,
    /// The first of these failures.
    failing_since: Timestamp,
    peers: FastMap<NodeName, PeerReach>,
    pub(crate) probing: Probing,
}

impl ServiceReach {
    /// A target has accepted a new connection.
    pub(crate) fn record_connected(&mut self, now: Timestamp) {
        self.heard_at = Some(now);
        self.failed.clear();
        self.peers.clear();
    }

    /// A target has answered a request. The connection may be older than a cut.
    pub(crate) fn record_answer(&mut self, now: Timestamp) {
        self.heard_at = Some(now);
    }

    /// A target has not accepted a connection that was tried from `tried_at` on.
    pub(crate) fn record_failure(&mut self, target: TargetKey, tried_at: Timestamp) {
        if self.failed.is_empty() {
            self.failing_since = tried_at;
        }
        self.failed.insert(target);
    }

    /// Whether a target has failed to accept a connection since the last one that did.
    pub(crate) fn is_failing(&self) -> bool {
        !self.failed.is_empty()
    }

    /// Whether so many targets have that the cause may be this VM's links. `targets` is the number of the
    /// service's targets.
    pub(crate) fn may_be_cut_off(&self, targets: usize) -> bool {
        self.failed.len() >= SUSPICIOUS_TARGETS.min(targets.max(1))
    }

    /// The time since this VM last heard a target of the service.
    pub(crate) fn silence(&self, now: Timestamp) -> Option<Duration> {
        self.heard_at.map(|heard_at| now.since(heard_at))
    }

    /// Applies a peer's statement that it heard a target of the service `age` ago.
    pub(crate) fn record_peer(
        &mut self,
        peer: NodeName,
        address: SocketAddr,
        age: Duration,
        now: Timestamp,
    ) {
        let reach = PeerReach {
            address,
            reached_at: now.before(age),
            stated_at: now,
        };
        self.peers.insert(peer, reach);
    }

    /// The peers that have reached the service since this VM can't. `targets` is the number of the
    /// service's targets.
    pub(crate) fn ways(&self, targets: usize, now: Timestamp) -> Vec<SocketAddr> {
        if self.failed.len() < FAILED_TARGETS.min(targets.max(1)) {
            return Vec::new();
        }
        let is_way = |reach: &&PeerReach| {
            reach.reached_at > self.failing_since && now.since(reach.stated_at) < STATEMENT_LIFETIME
        };
        let ways = self.peers.values().filter(is_way);
        ways.map(|reach| reach.address).collect()
    }
}
