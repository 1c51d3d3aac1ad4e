//! The adapters in the slots of one target, and which of them are in use.
//!
//! Load pattern: at the worst load all slots are in use for seconds at a time, and an adapter just
//! loaded must not be unloaded before the requests that wait for it have arrived.

use std::time::Duration;

use crate::clock::Timestamp;
use crate::collections::{FastMap, FastSet};
use crate::dispatch::adapter_usage::{AdapterUsage, USAGE_REFRESH_INTERVAL};
use crate::dispatch::load_time::{CopyEvidence, LoadKind, LoadProgress, LoadTime};
use crate::ids::{ModelAdapter, NodeName};

/// An adapter used more recently counts as in use: the count of a request just sent may still be on
/// its way to the owner.
const MIN_IDLE_TIME: Duration = Duration::from_millis(20);
/// The same for an adapter just loaded: the VMs that wait for it must learn of it before they can
/// send their requests.
const FIRST_USE_GRACE: Duration = Duration::from_millis(150);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AdapterState {
    /// Ordered but not yet complete.
    Loading(LoadProgress),
    Resident,
    /// The target waits for the adapter's requests to end and then unloads it.
    Unloading {
        since: Timestamp,
    },
}

#[derive(Debug)]
struct HeldAdapter {
    version: u64,
    state: AdapterState,
    last_use: Timestamp,
    /// Before this time the adapter counts as in use.
    kept_until: Timestamp,
}

impl HeldAdapter {
    fn new(version: u64, state: AdapterState, now: Timestamp) -> Self {
        Self {
            version,
            state,
            last_use: now,
            kept_until: now,
        }
    }

    fn is_loading(&self) -> bool {
        matches!(self.state, AdapterState::Loading(_))
    }
}

/// The slots of one target.
#[derive(Debug)]
pub(crate) struct AdapterSlots {
    /// The number of adapters that fit beside the target's models.
    capacity: usize,
    adapters: FastMap<ModelAdapter, HeldAdapter>,
    /// Adapters that this VM has had loaded since the target's process started.
    loaded_before: FastSet<ModelAdapter>,
    /// Whether the target keeps copies of adapters that it held, also of those that it held before
    /// this VM owned it.
    keeps_copies: bool,
    load_time: LoadTime,
    usage: AdapterUsage,
    /// Until then some VMs' counts of requests in flight are missing, and adapters that the target
    /// held before this VM owned it count as in use.
    usage_complete_at: Option<Timestamp>,
}

impl AdapterSlots {
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            adapters: FastMap::default(),
            loaded_before: FastSet::default(),
            keeps_copies: false,
            load_time: LoadTime::default(),
            usage: AdapterUsage::default(),
            usage_complete_at: None,
        }
    }

    pub(crate) fn capacity(&self) -> usize {
        self.capacity
    }

    pub(crate) fn set_capacity(&mut self, capacity: usize, keeps_copies: bool) {
        self.capacity = capacity;
        self.keeps_copies = keeps_copies;
    }

    /// The slots that hold an adapter, in whatever state.
    pub(crate) fn occupied(&self) -> usize {
        self.adapters.len()
    }

    pub(crate) fn holds(&self, adapter: &ModelAdapter) -> bool {
        self.adapters.contains_key(adapter)
    }

    pub(crate) fn state(&self, adapter: &ModelAdapter) -> Option<AdapterState> {
        self.adapters.get(adapter).map(|held| held.state)
    }

    /// Adapters that are ready to serve, with their versions.
    pub(crate) fn resident(&self) -> impl Iterator<Item = (&ModelAdapter, u64)> {
        let adapters = self.adapters.iter();
        let resident = adapters.filter(|(_, held)| held.state == AdapterState::Resident);
        resident.map(|(adapter, held)| (adapter, held.version))
    }

    pub(crate) fn loading(&self) -> impl Iterator<Item = &ModelAdapter> {
        let loading = self.adapters.iter().filter(|(_, held)| held.is_loading());
        loading.map(|(adapter, _)| adapter)
    }

    /// Resident adapters without requests in flight, with the time of their last use.
    pub(crate) fn idle(&self, now: Timestamp) -> impl Iterator<Item = (&ModelAdapter, Timestamp)> {
        let adapters = self.adapters.iter();
        let idle = adapters.filter(move |(adapter, held)| self.is_held_idle(adapter, held, now));
        idle.map(|(adapter, held)| (adapter, held.last_use))
    }

    /// The number of adapters that are loading or have known requests in flight.
    pub(crate) fn in_use(&self, now: Timestamp) -> usize {
        let adapters = self.adapters.iter();
        let in_use = adapters
            .filter(|(adapter, held)| held.is_loading() || self.usage.in_flight(adapter, now) > 0);
        in_use.count()
    }

    /// Resident adapters that are in use, or were within `time`.
    pub(crate) fn recently_used(&self, time: Duration, now: Timestamp) -> Vec<ModelAdapter> {
        let adapters = self.adapters.iter();
        let used = adapters.filter(|(adapter, held)| {
            let is_recent = now.since(held.last_use) <= time;
            held.state == AdapterState::Resident
                && (is_recent || self.usage.in_flight(adapter, now) > 0)
        });
        used.map(|(adapter, _)| adapter.clone()).collect()
    }

    /// Whether an adapter is resident and no VM has a request in flight on it.
    pub(crate) fn is_idle(&self, adapter: &ModelAdapter, now: Timestamp) -> bool {
        let held = self.adapters.get(adapter);
        held.is_some_and(|held| self.is_held_idle(adapter, held, now))
    }

    fn is_held_idle(&self, adapter: &ModelAdapter, held: &HeldAdapter, now: Timestamp) -> bool {
        let counts_missing = self
            .usage_complete_at
            .is_some_and(|until| now < until && !self.loaded_before.contains(adapter));
        held.state == AdapterState::Resident
            && !counts_missing
            && held.kept_until <= now
            && self.usage.in_flight(adapter, now) == 0
    }

    /// Keeps an adapter for a request that waits for it, if `version` or a newer one is held.
    /// Returns the adapter's state.
    pub(crate) fn keep(
        &mut self,
        adapter: &ModelAdapter,
        version: u64,
        now: Timestamp,
    ) -> Option<AdapterState> {
        let held = self.adapters.get_mut(adapter)?;
        if held.version < version {
            return None;
        }
        held.last_use = now;
        held.kept_until = held.kept_until.max(now + FIRST_USE_GRACE);
        Some(held.state)
    }

    /// Records how many requests `node` has in flight on `adapter`.
    pub(crate) fn record_use(
        &mut self,
        node: &NodeName,
        adapter: &ModelAdapter,
        in_flight: u32,
        now: Timestamp,
    ) {
        self.usage.record(node, adapter, in_flight, now);
        if let Some(held) = self.adapters.get_mut(adapter) {
            held.last_use = held.last_use.max(now);
            held.kept_until = held.kept_until.max(now + MIN_IDLE_TIME);
        }
    }

    /// A load whose check is due, and its version.
    pub(crate) fn due_check(&self, now: Timestamp) -> Option<(&ModelAdapter, u64)> {
        let mut adapters = self.adapters.iter();
        let due = adapters.find(
            |(_, held)| matches!(held.state, AdapterState::Loading(load) if load.is_due(now)),
        );
        due.map(|(adapter, held)| (adapter, held.version))
    }

    /// The time until the next check of a load, if any is in progress.
    pub(crate) fn time_to_check(&self, now: Timestamp) -> Option<Duration> {
        let checks = self.adapters.values().filter_map(|held| match held.state {
            AdapterState::Loading(load) => Some(load.time_to_check(now)),
            AdapterState::Resident | AdapterState::Unloading { .. } => None,
        });
        checks.min()
    }

    /// When the target was last known to wait for the requests of an adapter that it is to unload.
    pub(crate) fn unloading_since(&self) -> Option<Timestamp> {
        let since = self.adapters.values().filter_map(|held| match held.state {
            AdapterState::Unloading { since } => Some(since),
            _ => None,
        });
        since.max()
    }

    /// The kind of a load in progress that is found complete now.
    pub(crate) fn load_kind(&self, adapter: &ModelAdapter, now: Timestamp) -> Option<LoadKind> {
        match self.state(adapter)? {
            AdapterState::Loading(load) => Some(load.kind(now)),
            _ => None,
        }
    }

    pub(crate) fn is_loading(&self, adapter: &ModelAdapter, version: u64) -> bool {
        let held = self.adapters.get(adapter);
        held.is_some_and(|held| held.version == version && held.is_loading())
    }

    /// Records an accepted load, or one that is found to be still in progress. Returns whether it
    /// has taken too long.
    pub(crate) fn mark_loading(
        &mut self,
        adapter: &ModelAdapter,
        version: u64,
        now: Timestamp,
    ) -> bool {
        if let Some(held) = self.adapters.get_mut(adapter)
            && let AdapterState::Loading(load) = &mut held.state
        {
            self.load_time.record_pending(load, now);
            return load.is_overdue(now);
        }
        let load = self.load_time.start_load(self.evidence(adapter), now);
        let state = AdapterState::Loading(load);
        let held = HeldAdapter::new(version, state, now);
        self.adapters.insert(adapter.clone(), held);
        false
    }

    /// Handles a check of a pending load that the target has not answered. Returns whether the load
    /// has taken too long.
    pub(crate) fn postpone_check(&mut self, adapter: &ModelAdapter, now: Timestamp) -> bool {
        let held = self.adapters.get_mut(adapter);
        let Some(AdapterState::Loading(load)) = held.map(|held| &mut held.state) else {
            return false;
        };
        load.postpone(now);
        load.is_overdue(now)
    }

    fn evidence(&self, adapter: &ModelAdapter) -> CopyEvidence {
        match (self.keeps_copies, self.loaded_before.contains(adapter)) {
            (true, true) => CopyEvidence::Expected,
            (true, false) => CopyEvidence::Possible,
            (false, true) => CopyEvidence::Unstated,
            (false, false) => CopyEvidence::Absent,
        }
    }

    pub(crate) fn mark_resident(&mut self, adapter: &ModelAdapter, version: u64, now: Timestamp) {
        let resident = HeldAdapter::new(version, AdapterState::Resident, now);
        let held = self.adapters.entry(adapter.clone()).or_insert(resident);
        if let AdapterState::Loading(load) = &held.state {
            self.load_time.record_complete(load, now);
        }
        held.state = AdapterState::Resident;
        held.version = held.version.max(version);
        held.last_use = now;
        held.kept_until = now + FIRST_USE_GRACE;
        self.loaded_before.insert(adapter.clone());
    }

    pub(crate) fn mark_unloading(&mut self, adapter: &ModelAdapter, now: Timestamp) {
        if let Some(held) = self.adapters.get_mut(adapter) {
            held.state = AdapterState::Unloading { since: now };
        }
    }

    pub(crate) fn remove(&mut self, adapter: &ModelAdapter) {
        self.adapters.remove(adapter);
    }

    /// Applies what the target reports that it holds and loads.
    pub(crate) fn apply_report(
        &mut self,
        resident: Vec<(ModelAdapter, u64)>,
        pending: Vec<ModelAdapter>,
        now: Timestamp,
    ) {
        self.usage_complete_at
            .get_or_insert(now + USAGE_REFRESH_INTERVAL + MIN_IDLE_TIME);
        let mut before = std::mem::take(&mut self.adapters);
        for (adapter, version) in resident {
            // A new owner does not know when an adapter was last used, and treats it as in use.
            let mut held = HeldAdapter::new(version, AdapterState::Resident, now);
            if let Some(known) = before.remove(&adapter) {
                held.last_use = known.last_use;
                held.kept_until = known.kept_until;
                if let AdapterState::Unloading { .. } = known.state {
                    held.state = AdapterState::Unloading { since: now };
                }
            }
            self.adapters.insert(adapter, held);
        }
        for adapter in pending {
            let version = before.get(&adapter).map_or(0, |held| held.version);
            let state = AdapterState::Loading(LoadProgress::reported(now));
            let held = HeldAdapter::new(version, state, now);
            self.adapters.entry(adapter).or_insert(held);
        }
    }

    /// Discards what is known of the target's previous process or previous owner.
    pub(crate) fn reset(&mut self) {
        self.usage.clear();
        self.loaded_before.clear();
    }

    /// The target's process has ended, and all that it held is lost.
    pub(crate) fn clear(&mut self) {
        self.adapters.clear();
        self.reset();
    }
}
