//! This VM's view of the adapters that each target holds.

use std::time::Duration;

use crate::clock::Timestamp;
use crate::collections::{FastMap, FastSet};
use crate::dispatch::copies::{AdapterHash, CopyHistory, HeldTime};
use crate::dispatch::directory::{HeldModel, TargetKey};
use crate::ids::{BaseModel, ModelAdapter};

/// How long an owner's announcement overrides the target's own report. Reports are delayed; owners
/// repeat announcements every second, or every three seconds with many VMs.
const ANNOUNCEMENT_LIFETIME: Duration = Duration::from_millis(6500);
/// How long a target that refused a load for want of a slot is not asked again. Requests last a
/// second or more, and a slot that opens meanwhile goes to a new request.
const FULL_MARK_LIFETIME: Duration = Duration::from_millis(180);
/// The same for a request that waits for a slot on a target with a copy of its adapter. Shorter than
/// the interval at which waiting requests choose again.
const SHORT_FULL_MARK_LIFETIME: Duration = Duration::from_millis(50);
/// The fraction of the operator's limit for which requests are sent on an older version of an adapter
/// after a newer one is set. The rest is for the time that they wait at the target.
const SEND_FRACTION: f64 = 0.64;
/// The fraction after which a request that has not begun on an older version is given up. The rest is
/// for the close of its connection.
const BEGIN_FRACTION: f64 = 0.9;

/// The models and adapters on one target.
#[derive(Debug, Default)]
struct AdapterHoldings {
    models: FastSet<BaseModel>,
    /// Adapters and their versions.
    adapters: FastMap<ModelAdapter, u64>,
    /// Adapters that the owner has ordered or will order next.
    loading: FastSet<ModelAdapter>,
    announced_at: Option<Timestamp>,
    /// When the owner last refused a load because all slots were in use.
    full_at: Option<Timestamp>,
    /// Adapters that the target held before.
    copies: CopyHistory,
}

impl AdapterHoldings {
    /// Whether the owner's announcement is recent enough to override the target's report.
    fn is_announced(&self, now: Timestamp) -> bool {
        self.announced_at
            .is_some_and(|time| now.since(time) < ANNOUNCEMENT_LIFETIME)
    }

    /// Replaces the adapters. The target may have copies of those that it no longer holds.
    fn replace_adapters(&mut self, adapters: FastMap<ModelAdapter, u64>, now: Timestamp) {
        let before = std::mem::replace(&mut self.adapters, adapters);
        for (adapter, version) in before {
            if !self.adapters.contains_key(&adapter) {
                self.record_copy(&adapter, version, now);
            }
        }
    }

    fn record_copy(&mut self, adapter: &ModelAdapter, version: u64, now: Timestamp) {
        let adapter = AdapterHash::new(adapter);
        self.copies.record(adapter, version, HeldTime::new(now));
    }
}

/// When the operator set a version of an adapter, and the limit that holds from then on.
#[derive(Debug, Clone, Copy)]
pub(crate) struct VersionStart {
    /// The earliest possible time.
    pub(crate) set_at: Timestamp,
    /// How long after that requests may begin on older versions.
    pub(crate) version_time: Duration,
}

/// A version that the operator has set, and until when the versions before it may be used.
#[derive(Debug, Clone, Copy)]
struct VersionChange {
    version: u64,
    start: VersionStart,
}

impl VersionChange {
    /// Until when requests may be sent on older versions.
    fn send_until(&self) -> Timestamp {
        self.start.set_at + self.start.version_time.mul_f64(SEND_FRACTION)
    }

    /// Until when requests that were sent on older versions may begin.
    fn begin_until(&self) -> Timestamp {
        self.start.set_at + self.start.version_time.mul_f64(BEGIN_FRACTION)
    }
}

/// The versions of an adapter that the operator has set. Each one ends the use of all older ones at
/// its own time, however many follow it.
#[derive(Debug)]
struct RequiredVersion {
    newest: u64,
    /// Versions below this one may no longer be used.
    min_usable: u64,
    /// Changes whose older versions may still be in use, in the order of their versions and times.
    recent: Vec<VersionChange>,
}

impl RequiredVersion {
    /// A version whose time is unknown, so that older ones may not be used.
    fn new(version: u64) -> Self {
        Self {
            newest: version,
            min_usable: version,
            recent: Vec::new(),
        }
    }

    /// Sets a newer version. `start` is not known if this VM has not followed the changes so far.
    fn replace(&mut self, version: u64, start: Option<VersionStart>) {
        self.newest = version;
        let Some(start) = start else {
            *self = Self::new(version);
            return;
        };
        let ended = self
            .recent
            .partition_point(|change| change.begin_until() <= start.set_at);
        if let Some(last) = self.recent.drain(..ended).next_back() {
            self.min_usable = last.version;
        }
        self.recent.push(VersionChange { version, start });
    }

    fn newer_than(&self, version: u64) -> impl Iterator<Item = &VersionChange> {
        let recent = self.recent.iter();
        recent.filter(move |change| change.version > version)
    }

    fn is_usable(&self, version: u64, now: Timestamp) -> bool {
        let mut newer = self.newer_than(version);
        version >= self.min_usable && newer.all(|change| now < change.send_until())
    }

    /// Until when a request on `version` may begin, if it is not the newest.
    fn begin_limit(&self, version: u64) -> Option<Timestamp> {
        if version < self.min_usable {
            return Some(Timestamp::default());
        }
        self.newer_than(version)
            .map(VersionChange::begin_until)
            .min()
    }
}

/// The adapters on all targets and the versions that requests require.
#[derive(Debug, Default)]
pub(crate) struct ResidencyTable {
    targets: FastMap<TargetKey, AdapterHoldings>,
    versions: FastMap<ModelAdapter, RequiredVersion>,
}

impl ResidencyTable {
    /// Applies a target's report. A recent announcement of its owner overrides the adapters in it.
    pub(crate) fn apply_report(&mut self, target: TargetKey, models: &[HeldModel], now: Timestamp) {
        let holdings = self.targets.entry(target).or_default();
        holdings.models = models.iter().map(|held| held.model.clone()).collect();
        let adapters = models.iter().flat_map(|held| &held.adapters);
        if holdings.is_announced(now) {
            for (adapter, version) in adapters {
                if !holdings.adapters.contains_key(adapter) {
                    holdings.record_copy(adapter, *version, now);
                }
            }
            return;
        }
        holdings.replace_adapters(adapters.cloned().collect(), now);
    }

    /// Applies an announcement of the target's owner.
    pub(crate) fn apply_announcement(
        &mut self,
        target: TargetKey,
        adapters: impl IntoIterator<Item = (ModelAdapter, u64)>,
        loading: FastSet<ModelAdapter>,
        now: Timestamp,
    ) {
        let holdings = self.targets.entry(target).or_default();
        holdings.loading = loading;
        holdings.replace_adapters(adapters.into_iter().collect(), now);
        holdings.announced_at = Some(now);
    }

    pub(crate) fn add_model(&mut self, target: TargetKey, model: BaseModel) {
        self.targets.entry(target).or_default().models.insert(model);
    }

    /// Handles a target's response that it does not hold the adapter.
    pub(crate) fn remove_adapter(&mut self, target: TargetKey, adapter: &ModelAdapter) {
        if let Some(holdings) = self.targets.get_mut(&target) {
            holdings.adapters.remove(adapter);
        }
    }

    /// The target's process has ended, and all that it held and its copies are lost.
    pub(crate) fn clear_holdings(&mut self, target: TargetKey) {
        if let Some(holdings) = self.targets.get_mut(&target) {
            holdings.adapters.clear();
            holdings.copies.clear();
        }
    }

    /// What the target held before, as far as is known.
    pub(crate) fn copies(&self, target: TargetKey) -> Option<&CopyHistory> {
        Some(&self.targets.get(&target)?.copies)
    }

    /// Records what the target held before this VM knew of it.
    pub(crate) fn record_copy(
        &mut self,
        target: TargetKey,
        adapter: AdapterHash,
        version: u64,
        held_at: HeldTime,
    ) {
        let holdings = self.targets.entry(target).or_default();
        holdings.copies.record(adapter, version, held_at);
    }

    /// When the target last held `version` of an adapter, of which it may have a copy.
    pub(crate) fn copy_held_at(
        &self,
        target: TargetKey,
        adapter: AdapterHash,
        version: u64,
    ) -> Option<HeldTime> {
        self.targets.get(&target)?.copies.held_at(adapter, version)
    }

    pub(crate) fn remove_target(&mut self, target: TargetKey) {
        self.targets.remove(&target);
    }

    pub(crate) fn holds_model(&self, target: TargetKey, model: &BaseModel) -> bool {
        self.targets
            .get(&target)
            .is_some_and(|holdings| holdings.models.contains(model))
    }

    /// Whether requests may still run on a version of `adapter`.
    pub(crate) fn is_usable(&self, adapter: &ModelAdapter, version: u64, now: Timestamp) -> bool {
        let required = self.versions.get(adapter);
        required.is_none_or(|required| required.is_usable(version, now))
    }

    /// Until when a request that was sent on a version of `adapter` may begin. `None` if no newer one
    /// is set.
    pub(crate) fn begin_limit(&self, adapter: &ModelAdapter, version: u64) -> Option<Timestamp> {
        self.versions.get(adapter)?.begin_limit(version)
    }

    pub(crate) fn held_version(&self, target: TargetKey, adapter: &ModelAdapter) -> Option<u64> {
        self.targets.get(&target)?.adapters.get(adapter).copied()
    }

    /// Whether the target's owner has announced that it is loading `adapter`.
    pub(crate) fn is_loading(
        &self,
        target: TargetKey,
        adapter: &ModelAdapter,
        now: Timestamp,
    ) -> bool {
        let holdings = self.targets.get(&target);
        holdings
            .filter(|holdings| holdings.is_announced(now))
            .is_some_and(|holdings| holdings.loading.contains(adapter))
    }

    /// Records that the target's owner has refused to load `adapter` for want of a slot. An earlier
    /// announcement that it is loading is outdated.
    pub(crate) fn mark_full(&mut self, target: TargetKey, adapter: &ModelAdapter, now: Timestamp) {
        let holdings = self.targets.entry(target).or_default();
        holdings.full_at = Some(now);
        holdings.loading.remove(adapter);
    }

    /// Whether the target's owner refused a load a short time ago.
    pub(crate) fn is_full(&self, target: TargetKey, now: Timestamp) -> bool {
        self.is_marked_full(target, FULL_MARK_LIFETIME, now)
    }

    /// Whether the target's owner has just refused a load, so that a request that waits for a slot
    /// on it need not ask yet.
    pub(crate) fn was_just_full(&self, target: TargetKey, now: Timestamp) -> bool {
        self.is_marked_full(target, SHORT_FULL_MARK_LIFETIME, now)
    }

    fn is_marked_full(&self, target: TargetKey, lifetime: Duration, now: Timestamp) -> bool {
        let full_at = self.targets.get(&target).and_then(|found| found.full_at);
        full_at.is_some_and(|time| now.since(time) < lifetime)
    }

    /// The version of `adapter` to load; 0 if the operator has set none.
    pub(crate) fn required_version(&self, adapter: &ModelAdapter) -> u64 {
        self.versions
            .get(adapter)
            .map_or(0, |required| required.newest)
    }

    /// Sets the required version of an adapter. `start` is when the operator set it, if known.
    pub(crate) fn set_required_version(
        &mut self,
        adapter: ModelAdapter,
        version: u64,
        start: Option<VersionStart>,
    ) {
        let required = self.versions.entry(adapter);
        let required = required.or_insert_with(|| RequiredVersion::new(0));
        if version > required.newest {
            required.replace(version, start);
        }
    }
}
