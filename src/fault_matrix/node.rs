//! A simulated node: its clock and processes, its leases and membership, and its configuration.

use std::collections::BTreeMap;
use std::sync::OnceLock;
use std::time::Duration;

use rand::RngExt;
use rand::rngs::StdRng;

use super::calls::FakeCall;
use super::completions::OpenCompletions;
use super::log::Record;
use super::network::{Endpoint, Message};
use super::owners::{OwnedPool, PlannedStop};
use super::steps::{Flow, Step};
use super::world::{FAULTS_FROM_MS, LAST_ARRIVAL_MS, NODES, TICK_MS, World};
use crate::claims::index::ClaimIndex;
use crate::claims::writer::{PendingEntry, WriteBacklog};
use crate::clock::Timestamp;
use crate::config::change::{ConfigChange, ConfigEdit};
use crate::config::follower::{ConfigFollower, ConfigRecord};
use crate::config::model::SectionName;
use crate::config::snapshot::{build_part, part_count};
use crate::config::state::ConfigState;
use crate::ids::{BootId, FencingToken, LogOffset, NodeName};
use crate::lease::state::LeaseState;
use crate::lease::table::LeaseParty;
use crate::lease::{RoleName, RoleOrigin};
use crate::ledger::{NodeLimiter, PartitionOwner};
use crate::membership::PeerTable;
use crate::membership::table::{ConfirmedTail, FRESHNESS_LIMIT, LocalNode};
use crate::platform_client::{VmEntry, VmState};

/// The uptime from which a node may claim expired leases.
const CLAIM_AGE: Duration = Duration::from_secs(30);
/// How long a request waits for its charge.
const ADMISSION_LIMIT: Duration = Duration::from_secs(5);
/// The uptime of the first processes at the start of a run.
pub(super) const INITIAL_UPTIME_MS: u64 = 60_000;
const HEARTBEAT_INTERVAL_MS: u64 = 500;
const READ_INTERVAL_MS: u64 = 100;
/// How long a zone stays out of service.
const ZONE_OUT_MS: u64 = 6_000;
const RENEWAL_INTERVAL_MS: u64 = 1_000;
const SNAPSHOT_INTERVAL_MS: u64 = 3_000;
const PUBLISH_INTERVAL_MS: u64 = 1_900;

#[derive(Debug)]
pub(super) struct SimNode {
    pub(super) boot: u64,
    /// The node's clock: its value at simulated time 0, and its rate in thousandths.
    clock: (u64, u64),
    /// When the process starts; before that, the node is down.
    pub(super) up_from: u64,
    pub(super) frozen_until: u64,
    pub(super) leases: LeaseState,
    pub(super) peers: PeerTable,
    pub(super) config: ConfigState,
    pub(super) follower: ConfigFollower,
    pub(super) claims: ClaimIndex,
    pub(super) backlog: WriteBacklog,
    /// The append of claims in flight: its ID, its entries and the time it was sent.
    pub(super) writing: Option<(u64, Vec<PendingEntry>, u64)>,
    pub(super) calls: Vec<FakeCall>,
    pub(super) completions: OpenCompletions,
    pub(super) limiter: NodeLimiter,
    /// The ledger partition's state, if this process has owned the partition.
    pub(super) partition: Option<PartitionOwner>,
    pub(super) pool: Option<OwnedPool>,
    /// The pool state received in a handover and not yet imported.
    pub(super) pool_handover: Option<Vec<u8>>,
    pub(super) stop: Option<PlannedStop>,
    next_heartbeat: u64,
    next_read: u64,
    next_renewal: u64,
    next_snapshot: u64,
}

pub(super) fn roles() -> &'static [RoleName; 3] {
    static ROLES: OnceLock<[RoleName; 3]> = OnceLock::new();
    ROLES.get_or_init(|| {
        let base = "base".parse().expect("a valid name");
        [
            RoleName::Ledger(0),
            RoleName::Pool(base),
            RoleName::ConfigSnapshot,
        ]
    })
}

pub(super) fn node_name(index: usize) -> NodeName {
    format!("entry-{index}").parse().expect("a valid name")
}

pub(super) fn node_index(name: &NodeName) -> usize {
    let names = (0..NODES).map(node_name);
    names
        .into_iter()
        .position(|own| own == *name)
        .expect("a node of the world")
}

fn vm(index: usize) -> VmEntry {
    VmEntry {
        name: node_name(index),
        address: ([127, 0, 0, 1], index as u16 + 1).into(),
        zone: "zone-0".parse().expect("a valid name"),
        state: VmState::Live,
    }
}

impl SimNode {
    pub(super) fn new(index: usize, boot: u64, up_from: u64, random: &mut StdRng) -> Self {
        let clock = (
            random.random_range(100_000..150_000),
            random.random_range(990..=1010),
        );
        let party = LeaseParty {
            node: node_name(index),
            boot: BootId::from(boot),
        };
        // The initial processes are past every restriction on newly started processes.
        let age = if up_from == 0 { INITIAL_UPTIME_MS } else { 0 };
        let started = Timestamp::from_millis(clock.0 + up_from * clock.1 / 1000 - age);
        let local_node = LocalNode {
            node: party.node.clone(),
            boot: party.boot,
            address: Some(vm(index).address),
            started,
            leaving: false,
            applied: LogOffset::default(),
        };
        let mut peers = PeerTable::new(local_node, CLAIM_AGE);
        peers.set_vm_list((0..NODES).map(vm).collect(), started);
        Self {
            boot,
            clock,
            up_from,
            frozen_until: 0,
            leases: LeaseState::new(party),
            peers,
            config: ConfigState::new(),
            follower: ConfigFollower::default(),
            claims: ClaimIndex::default(),
            backlog: WriteBacklog::default(),
            writing: None,
            calls: Vec::new(),
            completions: OpenCompletions::default(),
            limiter: NodeLimiter::new(BootId::from(boot), ADMISSION_LIMIT),
            partition: None,
            pool: None,
            pool_handover: None,
            stop: None,
            next_heartbeat: 0,
            next_read: 0,
            next_renewal: 0,
            next_snapshot: FAULTS_FROM_MS,
        }
    }

    pub(super) fn local_time(&self, now: u64) -> Timestamp {
        Timestamp::from_millis(self.clock.0 + now * self.clock.1 / 1000)
    }

    /// Whether the process is up and not paused.
    pub(super) fn is_running(&self, now: u64) -> bool {
        self.up_from <= now && self.frozen_until <= now
    }

    pub(super) fn is_fresh(&self, now: u64) -> bool {
        self.peers.is_fresh(self.local_time(now), FRESHNESS_LIMIT)
    }

    /// The fencing token of a role, if the node holds a valid lease for it.
    pub(super) fn fence(&self, role: &RoleName, now: u64) -> Option<FencingToken> {
        self.leases
            .fence_if_held(role, self.local_time(now), &self.peers)
    }
}

impl World {
    /// Advances a running node by one tick.
    pub(super) fn step_node(&mut self, index: usize) {
        let now = self.now;
        if self.nodes[index].next_read <= now {
            self.nodes[index].next_read = now + READ_INTERVAL_MS;
            self.read_log(index);
        }
        if self.nodes[index].next_heartbeat <= now {
            self.nodes[index].next_heartbeat = now + HEARTBEAT_INTERVAL_MS;
            let local = self.nodes[index].local_time(now);
            let heartbeat = self.nodes[index].peers.heartbeat(local);
            for to in (0..NODES).filter(|to| *to != index) {
                let message = Message::Heartbeat(heartbeat.clone(), local);
                self.post(Endpoint::Node(index), Endpoint::Node(to), message);
            }
        }
        let boot = self.nodes[index].boot;
        let stages = [
            Self::step_leases,
            Self::step_pool,
            Self::step_snapshot,
            Self::step_calls,
            Self::step_completions,
        ];
        for stage in stages {
            // A fault during one stage may end or pause the process; then the rest is skipped.
            if self.nodes[index].boot == boot && self.nodes[index].is_running(now) {
                stage(self, index);
            }
        }
    }

    fn step_leases(&mut self, index: usize) {
        let (now, renewal_nonce, claim_nonce) = (self.now, self.next_id(), self.next_id());
        let node = &mut self.nodes[index];
        let local = node.local_time(now);
        let renewal = (node.next_renewal <= now).then(|| {
            node.next_renewal = now + RENEWAL_INTERVAL_MS;
            node.leases.renewal_record(renewal_nonce, local)
        });
        let claim = node
            .leases
            .claim_record(claim_nonce, local, roles(), &mut node.peers);
        for record in [renewal.flatten(), claim].into_iter().flatten() {
            if self.begin_step(Step::Lease, Flow::Control, index, Some(Endpoint::Log)) {
                self.append(index, Record::Lease(record));
                self.end_step();
            }
        }
    }

    pub(super) fn read_leases(&mut self, index: usize, next: usize, at_ms: u64) {
        let now = self.now;
        let node = &mut self.nodes[index];
        let from = usize::try_from(u64::from(node.leases.next_offset())).unwrap_or(0);
        let records = self.log.leases.iter().enumerate().take(next).skip(from);
        let records: Vec<_> = records
            .map(|(offset, record)| (offset, record.clone()))
            .collect();
        for (offset, (stored_at_ms, record)) in records {
            let leases = &mut self.nodes[index].leases;
            let offset = LogOffset::from(offset as u64);
            let Some(applied) = leases.apply(offset, stored_at_ms, &record) else {
                continue;
            };
            let origins = applied.acquired.iter().filter_map(|acquired| {
                let origin = leases.origin(&applied, acquired)?;
                Some((acquired.role.clone(), acquired.fence, origin))
            });
            for (role, fence, origin) in origins.collect::<Vec<_>>() {
                self.record_event(|| {
                    let origin = origin_name(&origin);
                    format!("{} owns {role} under {fence}: {origin}", node_name(index))
                });
                self.import_role(index, &role, fence, origin);
            }
            self.nodes[index].leases.update_held_leases(&applied);
        }
        let node = &mut self.nodes[index];
        node.leases.record_tail_read(at_ms, node.local_time(now));
    }

    pub(super) fn read_config(&mut self, index: usize, next: usize, sent: u64) {
        let now = self.now;
        let node = &mut self.nodes[index];
        let first = LogOffset::from(self.log.config_first as u64);
        node.follower.begin_page(&node.config, first);
        let from = usize::try_from(u64::from(node.follower.position(&node.config))).unwrap_or(0);
        let mut verdicts = BTreeMap::new();
        for record in self.log.config.iter().take(next).skip(from) {
            if let Some(outcome) = node.follower.apply_record(&mut node.config, record) {
                let accepted = outcome.result.is_ok();
                verdicts.entry(outcome.nonce).or_insert(accepted);
            }
        }
        let tail = LogOffset::from(next as u64);
        node.follower.end_page(&mut node.config, (first, tail));
        node.peers.record_applied(node.config.next_offset());
        let sent_at = node.local_time(sent);
        node.peers.record_tail(ConfirmedTail {
            offset: tail,
            confirmed_at: sent_at,
        });
        node.peers.record_log_read(sent_at, node.local_time(now));
        let config = &self.nodes[index].config;
        self.observed
            .check_applied_config(now, index, config, &verdicts);
        let next = self.nodes[index].config.next_offset();
        for (nonce, accepted) in verdicts {
            let verdict = if accepted { "accepts" } else { "rejects" };
            self.record_event(|| {
                format!(
                    "{} {verdict} change {nonce}, is at {next}",
                    node_name(index)
                )
            });
        }
    }

    fn step_snapshot(&mut self, index: usize) {
        let now = self.now;
        let node = &self.nodes[index];
        let is_holder = node.fence(&RoleName::ConfigSnapshot, now).is_some();
        if node.next_snapshot > now || !is_holder || self.is_scripted {
            return;
        }
        self.nodes[index].next_snapshot = now + SNAPSHOT_INTERVAL_MS;
        self.publish_snapshot(index);
    }

    pub(super) fn publish_snapshot(&mut self, index: usize) {
        if !self.begin_step(Step::Snapshot, Flow::Control, index, Some(Endpoint::Log)) {
            return;
        }
        let nonce = self.next_id().to_string();
        let config = &self.nodes[index].config;
        let parts = (0..part_count(config)).map(|part| build_part(config, &nonce, part));
        for part in parts.collect::<Vec<_>>() {
            self.append(index, Record::Config(ConfigRecord::Snapshot(part)));
        }
        self.end_step();
    }

    /// Publishes a rate change every `PUBLISH_INTERVAL_MS`, at each node in turn.
    pub(super) fn start_publishes(&mut self) {
        if self.now < FAULTS_FROM_MS || self.now > LAST_ARRIVAL_MS {
            return;
        }
        let passed = self.now - FAULTS_FROM_MS;
        if passed % PUBLISH_INTERVAL_MS < TICK_MS {
            let round = passed / PUBLISH_INTERVAL_MS;
            let index = round as usize % NODES;
            if self.nodes[index].is_running(self.now)
                && self.begin_step(Step::Publish, Flow::Control, index, Some(Endpoint::Log))
            {
                self.publish(index, vec![rate_edit(500 + round)]);
                self.end_step();
            }
        }
    }

    /// Publishes edits based on the node's own revisions.
    pub(super) fn publish(&mut self, index: usize, edits: Vec<ConfigEdit>) {
        let nonce = self.next_id().to_string();
        let base = self.nodes[index].config.revisions().clone();
        let change = ConfigChange { nonce, base, edits };
        self.append(index, Record::Config(ConfigRecord::Change(change)));
    }

    /// Revokes the key of account `acme`.
    pub(super) fn revoke_key(&mut self) {
        let edit = ConfigEdit::Delete {
            section: SectionName::Keys,
            name: "acme-key".to_owned(),
        };
        self.apply_operator_change(vec![edit]);
    }

    /// Stores a change made outside the three nodes, once the log accepts appends.
    pub(super) fn apply_operator_change(&mut self, edits: Vec<ConfigEdit>) {
        self.pending_changes.push(edits);
        self.step_operators();
    }

    pub(super) fn step_operators(&mut self) {
        if self.log.down_until > self.now {
            return;
        }
        for edits in std::mem::take(&mut self.pending_changes) {
            let nonce = self.next_id().to_string();
            let base = self.observed.revisions();
            let change = ConfigChange { nonce, base, edits };
            let record = Record::Config(ConfigRecord::Change(change));
            self.log.store(self.now, record, &mut self.observed);
        }
    }

    /// Takes a zone out of service and schedules its return.
    pub(super) fn take_zone_out(&mut self, engine: usize) {
        self.apply_operator_change(vec![zone_edit(engine, false)]);
        self.zone_returns.push((self.now + ZONE_OUT_MS, engine));
    }

    pub(super) fn step_zones(&mut self) {
        let now = self.now;
        let due = self.zone_returns.extract_if(.., |(at, _)| *at <= now);
        for (_, engine) in due.collect::<Vec<_>>() {
            self.apply_operator_change(vec![zone_edit(engine, true)]);
        }
    }

    /// Changes the same entry at every running node, each change based on the node's revisions.
    pub(super) fn race_operators(&mut self) {
        for index in (0..NODES)
            .filter(|index| self.nodes[*index].is_running(self.now))
            .collect::<Vec<_>>()
        {
            self.publish(index, vec![rate_edit(700 + index as u64)]);
        }
    }
}

fn origin_name(origin: &RoleOrigin) -> &'static str {
    match origin {
        RoleOrigin::New => "new",
        RoleOrigin::Lost => "lost",
        RoleOrigin::HandedOver(_) => "handed over",
        RoleOrigin::Kept => "kept",
    }
}

fn zone_edit(engine: usize, in_service: bool) -> ConfigEdit {
    ConfigEdit::Put {
        section: SectionName::Zones,
        name: format!("zone-{engine}"),
        value: serde_json::json!({"in_service": in_service}),
    }
}

fn rate_edit(rate: u64) -> ConfigEdit {
    let value = serde_json::json!({"tokens_per_second": rate, "burst": 3000});
    ConfigEdit::Put {
        section: SectionName::Rates,
        name: "blue".to_owned(),
        value,
    }
}
