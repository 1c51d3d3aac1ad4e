//! Simulates the lease logic of several nodes under faults. Each node has its own clock.

use std::collections::BTreeMap;
use std::time::Duration;

use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::role::RoleName;
use super::state::LeaseState;
use super::table::{LeaseParty, LeaseRecord};
use crate::clock::Timestamp;
use crate::ids::{BootId, FencingToken, LogOffset};
use crate::membership::PeerTable;
use crate::membership::table::LocalNode;
use crate::membership::wire::{Heartbeat, HeartbeatAnswer};
use crate::platform_client::{VmEntry, VmState};

pub(super) const NODES: usize = 4;
pub(super) const ROLES: [RoleName; 3] = [
    RoleName::Ledger(0),
    RoleName::Ledger(1),
    RoleName::ConfigSnapshot,
];
const STEP_MS: u64 = 25;
const CLAIM_AGE: Duration = Duration::from_secs(30);
/// The log's time when a simulation starts.
const LOG_START_MS: u64 = 1_000_000;

/// One fault, or a wait between two. Times are in milliseconds.
#[derive(Debug, Clone)]
pub(super) enum Fault {
    Wait {
        time: u64,
    },
    Pause {
        node: usize,
        time: u64,
    },
    Crash {
        node: usize,
        time: u64,
    },
    /// The node can't reach the log.
    CutLog {
        node: usize,
        time: u64,
    },
    /// No node can reach the log.
    LogDown {
        time: u64,
    },
    /// The log stores appends after a random delay of up to `delay`.
    SlowLog {
        delay: u64,
        time: u64,
    },
    /// Heartbeats and answers from one node to another are lost.
    CutPeers {
        from: usize,
        to: usize,
        time: u64,
    },
    LeaveAndRestart {
        node: usize,
    },
}

pub(super) fn fault_sequences() -> impl Strategy<Value = Vec<Fault>> {
    let node = 0..NODES;
    let fault =
        prop_oneof![
            (0..4000u64).prop_map(|time| Fault::Wait { time }),
            (node.clone(), 100..9000u64).prop_map(|(node, time)| Fault::Pause { node, time }),
            (node.clone(), 100..9000u64).prop_map(|(node, time)| Fault::Crash { node, time }),
            (node.clone(), 100..15_000u64).prop_map(|(node, time)| Fault::CutLog { node, time }),
            (1000..20_000u64).prop_map(|time| Fault::LogDown { time }),
            (100..6000u64, 100..9000u64).prop_map(|(delay, time)| Fault::SlowLog { delay, time }),
            (node.clone(), node.clone(), 100..9000u64)
                .prop_map(|(from, to, time)| Fault::CutPeers { from, to, time }),
            node.prop_map(|node| Fault::LeaveAndRestart { node }),
        ];
    proptest::collection::vec((fault, 0..3000u64), 1..25).prop_map(|pairs| {
        let waits = pairs.into_iter();
        waits
            .flat_map(|(fault, time)| [fault, Fault::Wait { time }])
            .collect()
    })
}

pub(super) struct SimulatedNode {
    boot: u64,
    leases: LeaseState,
    peers: PeerTable,
    /// The node's clock: its value at simulated time 0, and its rate in thousandths.
    clock: (u64, u64),
    paused_until: u64,
    crashed_until: u64,
    pub(super) log_cut_until: u64,
    next_renewal: u64,
    next_heartbeat: u64,
    next_read: u64,
}

enum Message {
    Append(LeaseRecord),
    /// The receiver, the log's time of the read, the number of records in the log, and when the
    /// read was sent.
    Page(usize, u64, usize, u64),
    /// The sender, the receiver, and when the heartbeat was sent.
    Heartbeat(usize, usize, Timestamp, Heartbeat),
    /// The receiver, and when the answered heartbeat was sent.
    Answer(usize, Timestamp, HeartbeatAnswer),
}

pub(super) struct LeaseSimulation {
    pub(super) now: u64,
    random: StdRng,
    pub(super) log: Vec<(u64, LeaseRecord)>,
    pub(super) log_down_until: u64,
    /// The maximum delay of appends, and until when it applies.
    slow_log: (u64, u64),
    /// Until when messages from the first to the second node are lost.
    cut_links: BTreeMap<(usize, usize), u64>,
    pub(super) nodes: Vec<SimulatedNode>,
    /// Messages by arrival time and sequence number, each with the boot of the receiving process.
    /// The boot is 0 for messages to the log.
    messages: BTreeMap<(u64, u64), (u64, Message)>,
    /// The last number that was used for a message, a nonce or a boot id.
    sequence: u64,
    /// The highest fencing token seen of each role.
    newest_fences: BTreeMap<String, FencingToken>,
}

fn node_name(node: usize) -> String {
    format!("entry-{node}")
}

impl SimulatedNode {
    fn new(index: usize, boot: u64, clock: (u64, u64), started: Timestamp) -> Self {
        let node: crate::ids::NodeName = node_name(index).parse().unwrap();
        let boot_id = BootId::from(boot);
        let local = LocalNode {
            node: node.clone(),
            boot: boot_id,
            address: None,
            started,
            leaving: false,
            applied: LogOffset::default(),
        };
        let mut peers = PeerTable::new(local, CLAIM_AGE);
        peers.set_vm_list((0..NODES).map(vm).collect(), started);
        let party = LeaseParty {
            node,
            boot: boot_id,
        };
        Self {
            boot,
            leases: LeaseState::new(party),
            peers,
            clock,
            paused_until: 0,
            crashed_until: 0,
            log_cut_until: 0,
            next_renewal: 0,
            next_heartbeat: 0,
            next_read: 0,
        }
    }

    fn local_time(&self, now: u64) -> Timestamp {
        Timestamp::from_millis(self.clock.0 + now * self.clock.1 / 1000)
    }
}

fn vm(index: usize) -> VmEntry {
    VmEntry {
        name: node_name(index).parse().unwrap(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "a".parse().unwrap(),
        state: VmState::Live,
    }
}

impl LeaseSimulation {
    pub(super) fn new(seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let mut nodes = Vec::new();
        for index in 0..NODES {
            let clock = (
                random.random_range(40_000..90_000),
                random.random_range(990..=1010),
            );
            let boot = index as u64 + 1;
            nodes.push(SimulatedNode::new(index, boot, clock, Timestamp::default()));
        }
        Self {
            now: 0,
            random,
            log: Vec::new(),
            log_down_until: 0,
            slow_log: (0, 0),
            cut_links: BTreeMap::new(),
            nodes,
            messages: BTreeMap::new(),
            sequence: 100,
            newest_fences: BTreeMap::new(),
        }
    }

    fn send(&mut self, delay: u64, boot: u64, message: Message) {
        self.sequence += 1;
        let key = (self.now + delay, self.sequence);
        self.messages.insert(key, (boot, message));
    }

    pub(super) fn inject(&mut self, fault: &Fault) {
        let now = self.now;
        match *fault {
            Fault::Wait { time } => self.run(time),
            Fault::Pause { node, time } => self.nodes[node].paused_until = now + time,
            Fault::Crash { node, time } => self.restart(node, now + time),
            Fault::CutLog { node, time } => self.nodes[node].log_cut_until = now + time,
            Fault::LogDown { time } => self.log_down_until = now + time,
            Fault::SlowLog { delay, time } => self.slow_log = (delay, now + time),
            Fault::CutPeers { from, to, time } => {
                self.cut_links.insert((from, to), now + time);
            }
            Fault::LeaveAndRestart { node } => {
                if self.nodes[node].paused_until <= now && self.nodes[node].crashed_until <= now {
                    self.leave_gracefully(node);
                    self.restart(node, now + 500);
                }
            }
        }
    }

    /// Replaces a node with a new process that starts at `start`.
    pub(super) fn restart(&mut self, index: usize, start: u64) {
        self.sequence += 1;
        let clock = (self.random.random_range(1..50_000), 1000);
        let started = Timestamp::from_millis(clock.0 + start);
        let mut node = SimulatedNode::new(index, self.sequence, clock, started);
        node.crashed_until = start;
        self.nodes[index] = node;
    }

    fn leave_gracefully(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        node.peers.local.leaving = true;
        let names = node
            .leases
            .relinquish_all()
            .into_iter()
            .map(|(role, _)| role);
        self.sequence += 1;
        let record = node.leases.release(self.sequence, names.collect(), None);
        self.append(index, record);
    }

    fn append(&mut self, index: usize, record: LeaseRecord) {
        let delay_limit = if self.slow_log.1 > self.now {
            self.slow_log.0
        } else {
            40
        };
        let delay = self.random.random_range(1..=delay_limit);
        if self.nodes[index].log_cut_until <= self.now {
            self.send(delay, 0, Message::Append(record));
        }
    }

    pub(super) fn run(&mut self, time: u64) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP_MS;
            self.deliver();
            for index in 0..NODES {
                let node = &self.nodes[index];
                if node.crashed_until <= self.now && node.paused_until <= self.now {
                    self.step_node(index);
                }
            }
            self.check();
        }
    }

    fn deliver(&mut self) {
        let later = self.messages.split_off(&(self.now + 1, 0));
        let arrived = std::mem::replace(&mut self.messages, later);
        for (boot, message) in arrived.into_values() {
            let index = match &message {
                Message::Append(record) => {
                    if self.log_down_until <= self.now {
                        self.log.push((LOG_START_MS + self.now, record.clone()));
                    }
                    continue;
                }
                Message::Page(to, ..) | Message::Heartbeat(_, to, ..) | Message::Answer(to, ..) => {
                    *to
                }
            };
            let node = &self.nodes[index];
            if node.boot != boot || node.crashed_until > self.now {
                continue;
            }
            if node.paused_until > self.now {
                let delay = node.paused_until - self.now;
                self.send(delay, boot, message);
                continue;
            }
            self.receive(message);
        }
    }

    fn receive(&mut self, message: Message) {
        match message {
            Message::Append(_) => {}
            Message::Page(index, at_ms, count, sent) => {
                let node = &mut self.nodes[index];
                let now = node.local_time(self.now);
                let from = usize::try_from(u64::from(node.leases.next_offset())).unwrap();
                for (offset, (at_ms, record)) in self.log.iter().enumerate().take(count).skip(from)
                {
                    let offset = LogOffset::from(offset as u64);
                    if let Some(applied) = node.leases.apply(offset, *at_ms, record) {
                        node.leases.update_held_leases(&applied);
                    }
                }
                node.peers.record_log_read(node.local_time(sent), now);
                node.leases.record_tail_read(at_ms, now);
                node.next_read = self.now.max(sent + 100);
            }
            Message::Heartbeat(from, to, sent, heartbeat) => {
                let now = self.nodes[to].local_time(self.now);
                let answer = self.nodes[to].peers.answer_heartbeat(now, &heartbeat);
                self.send_to_peer(to, from, heartbeat.boot, |_, to| {
                    Message::Answer(to, sent, answer)
                });
            }
            Message::Answer(to, sent, answer) => {
                let now = self.nodes[to].local_time(self.now);
                self.nodes[to].peers.apply_answer(sent, now, &answer);
            }
        }
    }

    fn send_to_peer(
        &mut self,
        from: usize,
        to: usize,
        boot: u64,
        message: impl FnOnce(usize, usize) -> Message,
    ) {
        let cut = self
            .cut_links
            .get(&(from, to))
            .is_some_and(|until| *until > self.now);
        let delay = self.random.random_range(1..=120);
        if !cut {
            self.send(delay, boot, message(from, to));
        }
    }

    /// Runs one step of a node: reads the log, sends heartbeats, renews and claims as due.
    fn step_node(&mut self, index: usize) {
        let (sim_now, log_down) = (self.now, self.log_down_until > self.now);
        let node = &mut self.nodes[index];
        let now = node.local_time(sim_now);
        if node.next_read <= sim_now {
            node.next_read = sim_now + 600;
            if !log_down && node.log_cut_until <= sim_now {
                let (boot, count) = (node.boot, self.log.len());
                let delay = self.random.random_range(1..=60);
                let page = Message::Page(index, LOG_START_MS + sim_now, count, sim_now);
                self.send(delay, boot, page);
            }
        }
        let node = &mut self.nodes[index];
        if node.next_heartbeat <= sim_now {
            node.next_heartbeat = sim_now + 500;
            let heartbeat = node.peers.heartbeat(now);
            for to in (0..NODES).filter(|to| *to != index) {
                let (boot, heartbeat) = (self.nodes[to].boot, heartbeat.clone());
                self.send_to_peer(index, to, boot, |from, to| {
                    Message::Heartbeat(from, to, now, heartbeat)
                });
            }
        }
        let node = &mut self.nodes[index];
        self.sequence += 2;
        let renewal = (node.next_renewal <= sim_now).then(|| {
            node.next_renewal = sim_now + 1000;
            node.leases.renewal_record(self.sequence - 1, now)
        });
        let claim = node
            .leases
            .claim_record(self.sequence, now, &ROLES, &mut node.peers);
        for record in [renewal.flatten(), claim].into_iter().flatten() {
            self.append(index, record);
        }
    }

    pub(super) fn holders(&self, role: &RoleName) -> Vec<(usize, FencingToken)> {
        let nodes = self.nodes.iter().enumerate();
        let running = nodes.filter(|(_, node)| node.crashed_until <= self.now);
        let fences = running.filter_map(|(index, node)| {
            let now = node.local_time(self.now);
            Some((index, node.leases.fence_if_held(role, now, &node.peers)?))
        });
        fences.collect()
    }

    fn check(&mut self) {
        for role in &ROLES {
            let holders = self.holders(role);
            assert!(holders.len() <= 1, "{role} at {}: {holders:?}", self.now);
            for (_, fence) in holders {
                let newest = self.newest_fences.entry(role.to_string()).or_default();
                assert!(
                    *newest <= fence,
                    "{role} at {}: {fence} after {newest}",
                    self.now
                );
                *newest = fence;
            }
        }
    }
}
