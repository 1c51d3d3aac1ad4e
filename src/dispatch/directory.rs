//! The directory of targets: their addresses and state, and which of them may get new requests.

use std::net::SocketAddr;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::collections::{FastMap, FastSet};
use crate::dispatch::target_entry::{ColdStatement, TargetEntry};
use crate::ids::{BaseModel, ModelAdapter, ServiceName, SoftwareVersion, TargetName, ZoneName};

/// After a store outage, the time that the platform gives an entry that expired meanwhile to
/// register again.
const REREGISTRATION_GRACE: Duration = Duration::from_secs(2);
/// How long after a removal a report from before it may still arrive: a read of the store takes
/// less than two seconds. A target that was removed by mistake reports every second and is added
/// again after this time.
const LATE_REPORT_WINDOW: Duration = Duration::from_secs(3);
/// How long a removed target's last report is kept, to recognize copies of it that arrive late, also in
/// a store that comes back from a copy.
const REMOVED_RETENTION: Duration = Duration::from_secs(60);
/// How long it is remembered that a target's process is leaving, counted from its last sign of life.
/// Such a process serves for seconds, and its records may arrive late.
const LEAVING_RETENTION: Duration = Duration::from_secs(600);

/// A target's name hashed to a number, the same on every VM.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    derive_more::Display,
    derive_more::From,
    derive_more::Into,
)]
#[display("{_0:016x}")]
pub(crate) struct TargetKey(u64);

impl TargetKey {
    pub(crate) fn new(name: &TargetName) -> Self {
        Self(stable_hash(&[name.as_str()]))
    }

    /// The target's rank among the targets that are tried for an adapter: the same on all VMs, and
    /// different for each adapter.
    pub(crate) fn rank_for(self, adapter_hash: u64) -> u64 {
        mix_bits(self.0 ^ adapter_hash)
    }
}

/// A hash that is the same in every process, unlike those of the standard maps.
pub(crate) fn stable_hash(parts: &[&str]) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    let mut hash = OFFSET;
    for part in parts {
        for byte in part.bytes().chain([0xff]) {
            hash = (hash ^ u64::from(byte)).wrapping_mul(PRIME);
        }
    }
    // FNV changes few bits between texts that differ only in their last bytes, so the result is
    // mixed.
    mix_bits(hash)
}

fn mix_bits(mut hash: u64) -> u64 {
    for multiplier in [0xbf58_476d_1ce4_e5b9, 0x94d0_49bb_1331_11eb] {
        hash = (hash ^ (hash >> 30)).wrapping_mul(multiplier);
    }
    hash ^ (hash >> 31)
}

/// A base model on a target and the adapters loaded beside it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct HeldModel {
    pub(crate) model: BaseModel,
    pub(crate) adapters: Vec<(ModelAdapter, u64)>,
}

/// A target's report of its own state.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct TargetReport {
    pub(crate) service: ServiceName,
    pub(crate) address: SocketAddr,
    pub(crate) zone: ZoneName,
    /// The version of the target's software, if it states one.
    pub(crate) software: Option<SoftwareVersion>,
    /// The number of requests that the target can run at the same time.
    pub(crate) slots: u32,
    /// Whether the target is about to stop and must get no new requests.
    pub(crate) leaving: bool,
    /// Set if the target is reclaimed at short notice: the time after which it is gone, whatever it
    /// runs.
    pub(crate) departs_in: Option<Duration>,
    /// How much longer the target is cold; zero if it is warm.
    pub(crate) cold_remaining: Duration,
    /// The number of the report; starts again when the target restarts.
    pub(crate) sequence: u64,
    /// The start of the target's process, as Unix time in milliseconds.
    pub(crate) started_ms: u64,
    pub(crate) models: Vec<HeldModel>,
}

/// The effect of a record on the directory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum DirectoryChange {
    None,
    Added,
    /// The same target with a new process, which holds nothing of what was loaded before.
    Restarted,
    Leaving,
    Removed,
    /// The target is removed later, unless it registers again until then.
    RemovalDeferred,
    /// A target that was warm has become cold, or stays cold for clearly longer than known.
    Cold,
    Updated,
}

impl DirectoryChange {
    /// Whether other VMs must be notified before they read the record themselves: requests to the
    /// target may fail or overload it, or it offers new capacity.
    pub(crate) fn is_urgent(self) -> bool {
        matches!(
            self,
            Self::Added
                | Self::Restarted
                | Self::Leaving
                | Self::Removed
                | Self::RemovalDeferred
                | Self::Cold
        )
    }
}

/// What has become of a removal that was deferred.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum DeferredRemoval {
    Pending,
    Done,
    /// The target has registered again.
    Cancelled,
}

/// The last report of a removed target that this VM has read. Most VMs read reports rarely, and
/// learn of a removal before they read reports that precede it.
#[derive(Debug)]
struct RemovedTarget {
    started_ms: u64,
    sequence: u64,
    removed_at: Timestamp,
}

impl RemovedTarget {
    /// Whether a report precedes the removal or may precede it.
    fn may_supersede(&self, report: &TargetReport, now: Timestamp) -> bool {
        let may_be_late = now.since(self.removed_at) < LATE_REPORT_WINDOW;
        report.started_ms < self.started_ms
            || (report.started_ms == self.started_ms
                && (may_be_late || report.sequence <= self.sequence))
    }
}

/// The process of a target that is leaving. A process that leaves never becomes ready again.
#[derive(Debug, Clone, Copy)]
struct LeavingProcess {
    started_ms: u64,
    stated_at: Timestamp,
}

/// All targets of all services.
#[derive(Debug, Default)]
pub(crate) struct TargetDirectory {
    targets: FastMap<TargetKey, TargetEntry>,
    by_service: FastMap<ServiceName, Vec<TargetKey>>,
    evacuated_zones: FastSet<ZoneName>,
    removed: FastMap<TargetKey, RemovedTarget>,
    /// The newest process of each target that is known to be leaving, by a record or by its own
    /// responses. Outlasts the target's entry, which an outdated record may add again.
    leaving: FastMap<TargetKey, LeavingProcess>,
    /// When the store became reachable again after its last outage.
    store_recovered_at: Option<Timestamp>,
}

impl TargetDirectory {
    /// Applies the newest record of a target; `None` means that the entry was removed.
    pub(crate) fn apply(
        &mut self,
        name: &TargetName,
        report: Option<TargetReport>,
        now: Timestamp,
    ) -> DirectoryChange {
        let key = TargetKey::new(name);
        match report {
            Some(report) => {
                let (started_ms, leaving) = (report.started_ms, report.leaving);
                let change = self.apply_report(key, name, report, now);
                if leaving {
                    self.record_leaving(key, started_ms, now);
                } else {
                    self.close_leaving(key);
                }
                change
            }
            None => self.apply_removal(key, now),
        }
    }

    fn apply_report(
        &mut self,
        key: TargetKey,
        name: &TargetName,
        report: TargetReport,
        now: Timestamp,
    ) -> DirectoryChange {
        let Some(entry) = self.targets.get_mut(&key) else {
            let removed = self.removed.get(&key);
            if removed.is_some_and(|last| last.may_supersede(&report, now)) {
                return DirectoryChange::None;
            }
            let is_known = removed.is_some();
            let service = report.service.clone();
            self.by_service.entry(service).or_default().push(key);
            let entry = TargetEntry::new(name.clone(), report, now);
            // Other VMs may not know yet that the earlier process is gone.
            let entry = if is_known {
                entry.with_recent_load(now)
            } else {
                entry
            };
            self.targets.insert(key, entry);
            return DirectoryChange::Added;
        };
        let known = &entry.report;
        let same_process = report.started_ms == known.started_ms;
        // Reports of an earlier process and reports out of order are ignored.
        if report.started_ms < known.started_ms
            || (same_process && report.sequence < known.sequence)
        {
            return DirectoryChange::None;
        }
        let was_leaving = known.leaving;
        if same_process && was_leaving && !report.leaving {
            return DirectoryChange::None;
        }
        if known.service != report.service {
            let old = known.service.clone();
            if let Some(keys) = self.by_service.get_mut(&old) {
                keys.retain(|other| *other != key);
            }
            self.by_service
                .entry(report.service.clone())
                .or_default()
                .push(key);
        }
        if !same_process {
            *entry = entry.restarted(report, now);
            return DirectoryChange::Restarted;
        }
        let becomes_cold = entry.apply_cold(ColdStatement::of_report(&report), now);
        entry.removal_due_at = None;
        entry.report = report;
        let is_reclaimed = entry.update_departure(now);
        if is_reclaimed || (entry.report.leaving && !was_leaving) {
            DirectoryChange::Leaving
        } else if becomes_cold {
            DirectoryChange::Cold
        } else {
            DirectoryChange::Updated
        }
    }

    /// Records that a target's process is leaving. Returns whether this VM would have sent it
    /// further requests.
    pub(crate) fn record_leaving(
        &mut self,
        key: TargetKey,
        started_ms: u64,
        now: Timestamp,
    ) -> bool {
        let process = LeavingProcess {
            started_ms,
            stated_at: now,
        };
        let known = self.leaving.entry(key).or_insert(process);
        if known.started_ms <= started_ms {
            *known = process;
        }
        self.close_leaving(key)
    }

    /// Closes the entry of a target if its process is known to be leaving. Returns whether it was
    /// open.
    fn close_leaving(&mut self, key: TargetKey) -> bool {
        let (Some(process), Some(entry)) = (self.leaving.get(&key), self.targets.get_mut(&key))
        else {
            return false;
        };
        let is_leaving = entry.report.started_ms <= process.started_ms;
        is_leaving && !std::mem::replace(&mut entry.is_leaving, true) && !entry.report.leaving
    }

    fn apply_removal(&mut self, key: TargetKey, now: Timestamp) -> DirectoryChange {
        let Some(entry) = self.targets.get_mut(&key) else {
            return DirectoryChange::None;
        };
        let recovered_at = self.store_recovered_at;
        if let Some(until) = recovered_at
            .map(|time| time + REREGISTRATION_GRACE)
            .filter(|until| now < *until)
        {
            entry.removal_due_at = Some(until);
            return DirectoryChange::RemovalDeferred;
        }
        self.remove(key, now);
        DirectoryChange::Removed
    }

    fn remove(&mut self, key: TargetKey, now: Timestamp) {
        let Some(entry) = self.targets.remove(&key) else {
            return;
        };
        if let Some(keys) = self.by_service.get_mut(&entry.report.service) {
            keys.retain(|other| *other != key);
        }
        let last = RemovedTarget {
            started_ms: entry.report.started_ms,
            sequence: entry.report.sequence,
            removed_at: now,
        };
        self.removed.insert(key, last);
    }

    /// Removes targets whose entries expired during a store outage and were not registered again.
    /// Returns their keys.
    pub(crate) fn expire(&mut self, now: Timestamp) -> Vec<TargetKey> {
        let is_due = |entry: &&TargetEntry| entry.removal_due_at.is_some_and(|until| until <= now);
        let keys: Vec<_> = self
            .targets
            .values()
            .filter(is_due)
            .map(|entry| entry.key)
            .collect();
        for key in &keys {
            self.remove(*key, now);
        }
        self.removed
            .retain(|_, last| now.since(last.removed_at) < REMOVED_RETENTION);
        self.leaving
            .retain(|_, process| now.since(process.stated_at) < LEAVING_RETENTION);
        keys
    }

    /// Records that the store is reachable again after an outage.
    pub(crate) fn mark_store_recovered(&mut self, now: Timestamp) {
        self.store_recovered_at = Some(now);
    }

    /// Takes a report in the list of a restored store for outdated if this VM knows that its process was
    /// removed: the store may lack the removal, and most VMs have not read the last report before it.
    /// Later reports add the target again.
    pub(crate) fn outdate_restored(&mut self, name: &TargetName, report: &TargetReport) {
        if let Some(last) = self.removed.get_mut(&TargetKey::new(name))
            && last.started_ms == report.started_ms
        {
            last.sequence = last.sequence.max(report.sequence);
        }
    }

    /// Applies a removal to all targets that a complete list lacks. Returns those that were removed
    /// at once.
    pub(crate) fn retain_listed(
        &mut self,
        listed: &FastSet<TargetKey>,
        now: Timestamp,
    ) -> Vec<TargetKey> {
        let absent = |key: &&TargetKey| !listed.contains(key);
        let mut keys: Vec<_> = self.targets.keys().filter(absent).copied().collect();
        keys.retain(|key| self.apply_removal(*key, now) == DirectoryChange::Removed);
        keys
    }

    pub(crate) fn set_evacuated_zones(&mut self, zones: FastSet<ZoneName>) {
        self.evacuated_zones = zones;
    }

    pub(crate) fn evacuated_zones(&self) -> &FastSet<ZoneName> {
        &self.evacuated_zones
    }

    pub(crate) fn get(&self, key: TargetKey) -> Option<&TargetEntry> {
        self.targets.get(&key)
    }

    /// Whether a target is reclaimed at short notice.
    pub(crate) fn is_reclaimed(&self, key: TargetKey) -> bool {
        let entry = self.targets.get(&key);
        entry.is_some_and(|entry| entry.departs_at().is_some())
    }

    pub(crate) fn get_mut(&mut self, key: TargetKey) -> Option<&mut TargetEntry> {
        self.targets.get_mut(&key)
    }

    /// All targets, including those that get no new requests.
    pub(crate) fn targets(&self) -> impl Iterator<Item = &TargetEntry> {
        self.targets.values()
    }

    pub(crate) fn of_service(&self, service: &ServiceName) -> impl Iterator<Item = &TargetEntry> {
        let keys = self.by_service.get(service).into_iter().flatten();
        keys.filter_map(|key| self.targets.get(key))
    }

    /// The state of a removal that was deferred before.
    pub(crate) fn deferred_removal(&self, key: TargetKey) -> DeferredRemoval {
        match self.targets.get(&key) {
            None => DeferredRemoval::Done,
            Some(entry) if entry.removal_due_at.is_some() => DeferredRemoval::Pending,
            Some(_) => DeferredRemoval::Cancelled,
        }
    }

    /// Whether a target may get new requests: it is not leaving, its removal is not due and its zone
    /// is in service.
    pub(crate) fn is_open(&self, entry: &TargetEntry, now: Timestamp) -> bool {
        let is_removed = entry.removal_due_at.is_some_and(|until| until <= now);
        !entry.is_leaving && !is_removed && !self.evacuated_zones.contains(&entry.report.zone)
    }
}
