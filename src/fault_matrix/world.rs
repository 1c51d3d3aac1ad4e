//! Three nodes, the log and the targets in one simulated time.

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
/// Faults strike at the first step reached after this time.
pub(super) const FAULTS_FROM_MS: u64 = 6_000;
/// Callers and operators begin nothing after this time.
pub(super) const LAST_ARRIVAL_MS: u64 = 14_000;
pub(super) const END_MS: u64 = 20_000;
/// Longer than a lease and than the time in which a claim may be sent.
pub(super) const FREEZE_MS: u64 = 6_000;
pub(super) const CUT_MS: u64 = 6_000;
pub(super) const OUTAGE_MS: u64 = 6_000;
pub(super) const DOWN_MS: u64 = 3_000;
pub(super) const LOADS_FAIL_MS: u64 = 4_000;
pub(super) const LATE_REPLY_MS: u64 = 2_500;
pub(super) const DUPLICATE_DELAY_MS: u64 = 1_500;
/// The time after which a fault that a cell has twice strikes again.
pub(super) const REPEAT_DELAY_MS: u64 = 1_000;
#[derive(Debug)]
pub(super) struct World {
    pub(super) now: u64,
    pub(super) random: StdRng,
    pub(super) log: FakeLog,
    pub(super) nodes: Vec<SimNode>,
    pub(super) service: FakeService,
    pub(super) engines: Vec<FakeEngine>,
    /// The places that coordinators gave, until the requests end.
    pub(super) pinned: BTreeMap<AcquireKey, (usize, String, FencingToken)>,
    pub(super) has_drained: bool,
    /// Whether callers, operators and planned stops come only when a test says so.
    pub(super) is_scripted: bool,
    /// What happened, for the golden files of sessions.
    pub(super) session: Option<Vec<String>>,
    /// When each zone that was taken out returns.
    pub(super) zone_returns: Vec<(u64, usize)>,
    /// The time before which no later part of a connection arrives.
    pub(super) earliest_arrivals: BTreeMap<AcquireKey, u64>,
    pub(super) observed: Observed,
    pub(super) last_id: u64,
    /// Changes that operators wait to make.
    pub(super) pending_changes: Vec<Vec<ConfigEdit>>,
    pub(super) messages: BTreeMap<(u64, u64), Envelope>,
    pub(super) cuts: BTreeMap<(Endpoint, Endpoint), u64>,
    pub(super) link_faults: Vec<(Endpoint, Endpoint, LinkFault, Fault)>,
    /// The step that the shapes are for.
    pub(super) faulted_step: Option<(Step, Flow)>,
    pub(super) reordered: Vec<Envelope>,
    pub(super) plan: Option<Plan>,
    pub(super) scope: Option<Scope>,
    pub(super) injected_at: Option<u64>,
    /// The faults that strike at the end of the step that has begun.
    pub(super) deferred_plan: Option<(Plan, Scope)>,
    /// Until then each order to unload arrives at its engine a second time, late.
    pub(super) duplicate_unloads_until: u64,
    /// The process whose message is being handled: replies go to it alone.
    pub(super) reply_recipient: Option<(Endpoint, u64)>,
    pub(super) repeats: Vec<(u64, Fault, Scope)>,
    /// Faults that took effect.
    pub(super) effective_faults: Vec<Fault>,
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
            has_drained: false,
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

    /// Whether faults are planned in this run.
    pub(super) fn has_plan(&self) -> bool {
        self.plan.is_some()
    }

    pub(super) fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// Runs the whole scenario.
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

    /// Writes a line of the session.
    pub(super) fn record_event(&mut self, text: impl FnOnce() -> String) {
        let now = self.now;
        if let Some(session) = &mut self.session {
            session.push(format!("{now} {}", text()));
        }
    }
}
