//! The simulation: three nodes, the log and the targets on one clock.

use std::collections::{BTreeMap, BTreeSet};

use rand::SeedableRng;
use rand::rngs::StdRng;

use super::calls::FakeService;
use super::checks::Observed;
use super::engine::{ENGINES, FakeEngine};
use super::faults::Fault;
use super::injection::{Plan, Scope};
use super::log::FakeLog;
use super::network::{Endpoint, Envelope, LinkFault};
use super::node::SimNode;
use super::steps::{Flow, Step};
use crate::config::change::ConfigEdit;
use crate::ids::FencingToken;
use crate::pool::event::AcquireKey;

pub(super) const NODES: usize = 3;
pub(super) const TICK_MS: u64 = 25;
/// Faults are injected at the first matching step reached after this time.
pub(super) const FAULTS_FROM_MS: u64 = 6_000;
/// No new requests or configuration changes start after this time.
pub(super) const LAST_ARRIVAL_MS: u64 = 14_000;
pub(super) const END_MS: u64 = 20_000;
/// Longer than a lease, and than the period in which a claimed call may be sent.
pub(super) const FREEZE_MS: u64 = 6_000;
pub(super) const CUT_MS: u64 = 6_000;
pub(super) const OUTAGE_MS: u64 = 6_000;
pub(super) const DOWN_MS: u64 = 3_000;
pub(super) const LOADS_FAIL_MS: u64 = 4_000;
pub(super) const LATE_REPLY_MS: u64 = 2_500;
pub(super) const DUPLICATE_DELAY_MS: u64 = 1_500;
/// The delay after which a fault that a cell lists twice is injected again.
pub(super) const REPEAT_DELAY_MS: u64 = 1_000;

#[derive(Debug)]
pub(super) struct World {
    pub(super) now: u64,
    pub(super) random: StdRng,
    pub(super) log: FakeLog,
    pub(super) nodes: Vec<SimNode>,
    pub(super) service: FakeService,
    pub(super) engines: Vec<FakeEngine>,
    /// The pins granted by coordinators to open requests: engine, generation and fencing token.
    pub(super) pinned: BTreeMap<AcquireKey, (usize, String, FencingToken)>,
    pub(super) has_begun_drain: bool,
    /// Whether requests, changes and planned stops are started only by the test.
    pub(super) is_scripted: bool,
    /// The recorded lines of a session, for snapshot tests.
    pub(super) session: Option<Vec<String>>,
    /// When each zone that was taken out of service returns.
    pub(super) zone_returns: Vec<(u64, usize)>,
    /// The earliest arrival of the next part on each connection, which keeps parts in order.
    pub(super) earliest_arrivals: BTreeMap<AcquireKey, u64>,
    pub(super) observed: Observed,
    pub(super) last_id: u64,
    /// Changes by operators that the log has not accepted yet.
    pub(super) pending_changes: Vec<Vec<ConfigEdit>>,
    /// The messages in transit, by arrival time and ID.
    pub(super) messages: BTreeMap<(u64, u64), Envelope>,
    /// When the cut of each link ends, by sender and receiver.
    pub(super) cuts: BTreeMap<(Endpoint, Endpoint), u64>,
    pub(super) link_faults: Vec<(Endpoint, Endpoint, LinkFault, Fault)>,
    /// The step and flow whose messages the link faults apply to.
    pub(super) faulted_step: Option<(Step, Flow)>,
    /// Messages held back until the next message on their link, which they then follow.
    pub(super) reordered: Vec<Envelope>,
    pub(super) plan: Option<Plan>,
    pub(super) scope: Option<Scope>,
    pub(super) injected_at: Option<u64>,
    /// The faults to inject at the end of the current step.
    pub(super) deferred_plan: Option<(Plan, Scope)>,
    /// Until this time each unload order arrives at its engine a second time, later.
    pub(super) duplicate_unloads_until: u64,
    /// The sender of the message being handled, with its boot: replies go to that process only.
    pub(super) reply_recipient: Option<(Endpoint, u64)>,
    pub(super) repeats: Vec<(u64, Fault, Scope)>,
    /// The injected faults that took effect.
    pub(super) effective_faults: Vec<Fault>,
    /// The kinds of messages sent in each step and flow.
    pub(super) exchanges: BTreeSet<(Step, Flow, String)>,
}

impl World {
    pub(super) fn new(seed: u64, plan: Option<Plan>) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let nodes = (0..NODES).map(|index| SimNode::new(index, index as u64 + 1, 0, &mut random));
        let mut world = Self {
            now: 0,
            nodes: nodes.collect(),
            random,
            log: FakeLog::default(),
            service: FakeService::default(),
            engines: (0..ENGINES).map(|_| FakeEngine::default()).collect(),
            pinned: BTreeMap::new(),
            has_begun_drain: false,
            is_scripted: false,
            session: None,
            zone_returns: Vec::new(),
            earliest_arrivals: BTreeMap::new(),
            observed: Observed::default(),
            last_id: 100,
            pending_changes: Vec::new(),
            messages: BTreeMap::new(),
            cuts: BTreeMap::new(),
            link_faults: Vec::new(),
            faulted_step: None,
            reordered: Vec::new(),
            plan,
            scope: None,
            injected_at: None,
            deferred_plan: None,
            duplicate_unloads_until: 0,
            reply_recipient: None,
            repeats: Vec::new(),
            effective_faults: Vec::new(),
            exchanges: BTreeSet::new(),
        };
        world.log.publish_initial_config(&mut world.observed);
        world
    }

    /// Whether this run injects faults.
    pub(super) fn has_plan(&self) -> bool {
        self.plan.is_some()
    }

    pub(super) fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// Runs the whole scenario and checks the final state.
    pub(super) fn run(&mut self) {
        self.run_until(END_MS);
        self.check_end();
    }

    pub(super) fn run_until(&mut self, end: u64) {
        while self.now < end {
            self.now += TICK_MS;
            self.step();
        }
    }

    fn step(&mut self) {
        self.inject_repeats();
        self.deliver();
        self.step_operators();
        self.step_zones();
        self.step_service();
        self.step_engines();
        self.step_drains();
        if !self.is_scripted {
            self.start_arrivals();
        }
        for index in 0..NODES {
            if self.nodes[index].is_running(self.now) {
                self.step_node(index);
                self.check();
            }
        }
    }

    /// Appends a line to the recorded session, if any.
    pub(super) fn record_event(&mut self, text: impl FnOnce() -> String) {
        let now = self.now;
        if let Some(session) = &mut self.session {
            session.push(format!("{now} {}", text()));
        }
    }
}
