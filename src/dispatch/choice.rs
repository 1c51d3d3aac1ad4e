//! Chooses a target for a request.
//!
//! Load patterns: a few adapters get most requests and must spread over several targets, while
//! thousands of others must each stay on the target that holds them, however busy it is with other
//! adapters; at the worst load, all slots of the target that an adapter's hash selects are in use,
//! while other targets have idle ones; a target that fails quickly looks idle; all VMs see the same
//! idle target at the same moment; most requests for an adapter arrive in other zones than the one
//! that holds it; an adapter that was unloaded is needed again while the target that held it has a
//! copy, and that target's slots are all in use for a moment.

use std::cmp::Reverse;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::dispatch::choice_request::ChoiceRequest;
use crate::dispatch::copies::{AdapterHash, HeldTime};
use crate::dispatch::directory::{TargetDirectory, TargetKey, stable_hash};
use crate::dispatch::residency::ResidencyTable;
use crate::dispatch::target_entry::TargetEntry;
use crate::ids::{ModelAdapter, ZoneName};

/// The load, as a fraction of a target's slots, above which an adapter may be copied to a further
/// target. The probability of a copy grows with the load up to 1 at a full target, so that adapters
/// spread by their own demand and not by that of other adapters on the target.
const MIN_COPY_LOAD: f64 = 0.35;
/// The load up to which a target gets model requests, as a fraction of its slots. It is above 1
/// since some requests end before a new one is read, and the engine orders the rest by priority.
const MAX_MODEL_TARGET_LOAD: f64 = 1.15;
/// The same for plain services, which have no model: one request waits at the target for each that
/// runs, which costs less than a notification that a slot is free.
const MAX_PLAIN_TARGET_LOAD: f64 = 2.0;
/// An adapter is copied only to a target whose load is below this fraction of the load of the best
/// target that holds it.
const COPY_LOAD_RATIO: f64 = 0.6;
/// The cost of a failure rate of 1, in the unit of load, which is a fraction of a target's slots.
const FAILURE_PENALTY: f64 = 1.5;
/// The cost of a target in another zone, in the unit of load. Traffic between zones is billed, but
/// waiting costs more.
const ZONE_PENALTY: f64 = 0.3;
/// The probability that a request which crosses zones triggers a copy of its adapter in this VM's
/// zone. At the prices in the service requirements, a load from the weight store costs as much as
/// five to thirty cross-zone streams, and it takes a slot from another adapter.
const ZONE_COPY_PROBABILITY: f64 = 1.0 / 30.0;
/// Targets in this VM's zone with a load below this are preferred to targets in other zones.
const MAX_OWN_ZONE_LOAD: f64 = 0.75;
/// How long a request waits for a slot on a target with a copy of its adapter before the adapter is
/// loaded elsewhere. It is about half of the time that a copy saves, so that a wait in vain leaves
/// the request within its latency target.
const MAX_COPY_WAIT: Duration = Duration::from_millis(110);

/// What to do with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TargetChoice {
    /// Send it now, and load the adapter also on `copy_to`, if set.
    Send {
        target: TargetKey,
        copy_to: Option<TargetKey>,
    },
    /// No open target holds the adapter: load it on this target.
    Load(TargetKey),
    /// All suitable targets are full.
    Wait,
    /// A target with a copy of the adapter is full, and a slot on it is worth a short wait.
    WaitForCopy,
    /// This target is cold, and a permit for it may be expected soon.
    WaitForPermit(TargetKey),
    /// All suitable targets want no requests from this VM for at least this long.
    Paused(Duration),
    /// No open target can serve the request.
    Unavailable,
}

impl TargetChoice {
    /// Whether the request waits for lack of capacity, and not for a load.
    pub(crate) fn lacks_capacity(self) -> bool {
        matches!(self, Self::Wait | Self::WaitForPermit(_) | Self::Paused(_))
    }

    /// Whether the request waits for less time than the queue takes to drain.
    pub(crate) fn is_short_wait(self) -> bool {
        matches!(self, Self::WaitForCopy | Self::WaitForPermit(_))
    }
}

/// The state that a choice is based on.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ChoiceView<'a> {
    pub(crate) directory: &'a TargetDirectory,
    pub(crate) residency: &'a ResidencyTable,
    pub(crate) own_zone: &'a ZoneName,
    /// Whether the service's targets keep copies of adapters that they held.
    pub(crate) keeps_copies: bool,
    /// A random number from 0 to 1, drawn for each choice.
    pub(crate) random_draw: f64,
    pub(crate) now: Timestamp,
}

#[derive(Debug, Clone, Copy)]
struct Candidate<'a> {
    entry: &'a TargetEntry,
    /// Requests in flight as a fraction of the target's slots.
    load: f64,
    /// The load plus all penalties.
    cost: f64,
}

/// A candidate and its state with respect to the requested adapter.
#[derive(Debug, Clone, Copy)]
struct AdapterCandidate<'a> {
    target: Candidate<'a>,
    /// The position in the order in which targets are tried for the adapter.
    rank: u64,
    /// The version of the adapter that the target holds.
    held: Option<u64>,
    /// Whether requests may still run on that version.
    usable: bool,
    lacks_required_version: bool,
}

/// The adapter that a request needs, in the version that is to be loaded.
#[derive(Debug, Clone, Copy)]
struct WantedAdapter<'a> {
    adapter: &'a ModelAdapter,
    hash: AdapterHash,
    version: u64,
}

/// The order of targets for a load, the lowest first. Candidates that are equal keep their order by
/// rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct LoadPreference {
    lacks_owner: bool,
    /// A rate-limited target can't use another adapter.
    is_limited: bool,
    /// A target without the adapter is better than one that holds an old version, since the
    /// replacement must wait for the requests on the old version.
    holds_old_version: bool,
    /// When the target last held the adapter. A copy is the likelier the more recent this is.
    copy: Reverse<Option<HeldTime>>,
}

impl LoadPreference {
    fn is_suitable(&self) -> bool {
        !self.lacks_owner && !self.is_limited && !self.holds_old_version
    }
}

impl AdapterCandidate<'_> {
    fn key(&self) -> TargetKey {
        self.target.entry.key
    }
}

impl ChoiceView<'_> {
    /// Chooses a target. `load` returns a target's requests in flight over all VMs, `ready` whether
    /// the limits on cold targets, rates and connections let this VM send to it now, and `has_owner`
    /// whether some VM can load adapters on it now.
    pub(crate) fn choose(
        &self,
        request: &ChoiceRequest<'_>,
        load: impl Fn(TargetKey) -> u32,
        ready: impl Fn(&TargetEntry) -> bool,
        has_owner: impl Fn(TargetKey) -> bool,
    ) -> TargetChoice {
        let candidates = self.candidates(request, &load);
        if candidates.is_empty() {
            let open = self.open_targets(request);
            return match open.map(|entry| entry.pause_left(self.now)).min() {
                Some(pause) => TargetChoice::Paused(pause),
                None => TargetChoice::Unavailable,
            };
        }
        let ready = |candidate: &Candidate<'_>| ready(candidate.entry);
        match request.adapter {
            Some(adapter) => {
                let adapter_candidates = self.adapter_candidates(adapter, candidates);
                self.choose_for_adapter(request, adapter, &adapter_candidates, ready, has_owner)
            }
            None => self.choose_least_loaded(request, &candidates, ready),
        }
    }

    fn load_limit(&self, request: &ChoiceRequest<'_>) -> f64 {
        if request.model.is_some() {
            MAX_MODEL_TARGET_LOAD
        } else {
            MAX_PLAIN_TARGET_LOAD
        }
    }

    /// The targets in service that hold the request's model and on which it has not failed.
    fn open_targets<'b>(
        &'b self,
        request: &ChoiceRequest<'b>,
    ) -> impl Iterator<Item = &'b TargetEntry> {
        self.directory
            .of_service(request.service)
            .filter(move |entry| {
                self.directory.is_open(entry, self.now) && request.allows(entry, self.residency)
            })
    }

    fn candidates<'b>(
        &'b self,
        request: &ChoiceRequest<'b>,
        load: impl Fn(TargetKey) -> u32,
    ) -> Vec<Candidate<'b>> {
        let open = self.open_targets(request);
        let open = open.filter(|entry| entry.pause_left(self.now).is_zero());
        let (healthy, suspended): (Vec<_>, Vec<_>) =
            open.partition(|entry| !entry.is_suspended(self.now));
        // If all targets are suspended, trying one of them is better than refusing the request.
        let chosen = if healthy.is_empty() {
            suspended
        } else {
            healthy
        };
        let candidate = |entry: &'b TargetEntry| {
            let load = f64::from(load(entry.key)) / f64::from(entry.report.slots.max(1));
            let zone = if self.is_in_own_zone(entry) {
                0.0
            } else {
                ZONE_PENALTY
            };
            let cost = load + zone + entry.failure_rate() * FAILURE_PENALTY;
            Candidate { entry, load, cost }
        };
        chosen.into_iter().map(candidate).collect()
    }

    /// The candidates' state with respect to an adapter, in the order in which they are tried,
    /// which is the same on all VMs.
    fn adapter_candidates<'a>(
        &self,
        adapter: &ModelAdapter,
        candidates: Vec<Candidate<'a>>,
    ) -> Vec<AdapterCandidate<'a>> {
        let adapter_hash = stable_hash(&[adapter.adapter()]);
        let required_version = self.residency.required_version(adapter);
        let adapter_candidate = |candidate: Candidate<'a>| {
            let key = candidate.entry.key;
            let held = self.residency.held_version(key, adapter);
            let usable = held.is_some_and(|held| self.residency.is_usable(adapter, held, self.now));
            AdapterCandidate {
                target: candidate,
                rank: key.rank_for(adapter_hash),
                lacks_required_version: held.is_none_or(|held| held < required_version),
                held,
                usable,
            }
        };
        let mut adapter_candidates: Vec<_> =
            candidates.into_iter().map(adapter_candidate).collect();
        adapter_candidates.sort_unstable_by_key(|candidate| candidate.rank);
        adapter_candidates
    }

    fn choose_for_adapter(
        &self,
        request: &ChoiceRequest<'_>,
        adapter: &ModelAdapter,
        candidates: &[AdapterCandidate<'_>],
        ready: impl Fn(&Candidate<'_>) -> bool,
        has_owner: impl Fn(TargetKey) -> bool,
    ) -> TargetChoice {
        let limit = self.load_limit(request);
        let free = candidates
            .iter()
            .filter(|holder| holder.usable && holder.target.load < limit && ready(&holder.target));
        // Prefer the required version, then the lowest cost.
        let best = free.min_by(|a, b| {
            let order = a.lacks_required_version.cmp(&b.lacks_required_version);
            order.then(a.target.cost.total_cmp(&b.target.cost))
        });
        let wanted = WantedAdapter {
            adapter,
            hash: AdapterHash::new(adapter),
            version: self.residency.required_version(adapter),
        };
        match best {
            Some(best) => TargetChoice::Send {
                target: best.key(),
                copy_to: self.choose_copy(request, wanted, best, candidates, has_owner),
            },
            None => self.choose_load(request, wanted, candidates, has_owner),
        }
    }

    /// Chooses where to load an adapter that no target can serve now.
    fn choose_load(
        &self,
        request: &ChoiceRequest<'_>,
        wanted: WantedAdapter<'_>,
        candidates: &[AdapterCandidate<'_>],
        has_owner: impl Fn(TargetKey) -> bool,
    ) -> TargetChoice {
        // Wait for a load in progress, however long it takes: a second load would only slow down
        // both.
        let in_progress = |candidate: &&AdapterCandidate<'_>| self.is_loading(candidate, wanted);
        if let Some(next) = candidates.iter().find(in_progress) {
            return TargetChoice::Load(next.key());
        }
        let may_wait = request.waited < MAX_COPY_WAIT;
        let has_copy = |candidate: &AdapterCandidate<'_>| self.copy_of(candidate, wanted).is_some();
        let lacking = candidates.iter().filter(|candidate| {
            candidate.lacks_required_version && !request.stalled.contains(&candidate.key())
        });
        let limit = self.load_limit(request);
        let open = lacking.clone().filter(|candidate| {
            let is_full = if may_wait && has_copy(candidate) {
                self.residency.was_just_full(candidate.key(), self.now)
            } else {
                self.residency.is_full(candidate.key(), self.now)
            };
            candidate.target.load < limit && !is_full
        });
        let preference =
            |candidate: &&AdapterCandidate<'_>| self.load_preference(candidate, wanted, &has_owner);
        let next = open.min_by_key(preference);
        if may_wait && !next.is_some_and(has_copy) {
            let mut full_copies = lacking.filter(|candidate| has_copy(candidate));
            if full_copies.any(|candidate| preference(&candidate).is_suitable()) {
                return TargetChoice::WaitForCopy;
            }
        }
        match next {
            Some(next) => TargetChoice::Load(next.key()),
            None => TargetChoice::Wait,
        }
    }

    /// Chooses a target for a further copy of an adapter, if this request, which is sent to `best`,
    /// triggers one.
    fn choose_copy(
        &self,
        request: &ChoiceRequest<'_>,
        wanted: WantedAdapter<'_>,
        best: &AdapterCandidate<'_>,
        candidates: &[AdapterCandidate<'_>],
        has_owner: impl Fn(TargetKey) -> bool,
    ) -> Option<TargetKey> {
        if self.random_draw >= self.max_copy_probability(best) {
            return None;
        }
        let limit = self.load_limit(request);
        let absent = candidates.iter().filter(|candidate| {
            candidate.lacks_required_version
                && candidate.target.load < limit
                && !self.residency.is_full(candidate.key(), self.now)
                && !request.stalled.contains(&candidate.key())
        });
        if absent
            .clone()
            .any(|candidate| self.is_loading(candidate, wanted))
        {
            return None;
        }
        let in_own_zone =
            |candidate: &&AdapterCandidate<'_>| self.is_in_own_zone(candidate.target.entry);
        let preference = |candidate: &&AdapterCandidate<'_>| {
            let load = self.load_preference(candidate, wanted, &has_owner);
            (load, !in_own_zone(candidate))
        };
        let first = absent.clone().min_by_key(preference);
        // A target with a copy in another zone must not keep the adapter out of this zone.
        let in_zone = absent.filter(in_own_zone).min_by_key(preference);
        let in_zone =
            in_zone.filter(|candidate| self.keeps_copies && preference(candidate).0.is_suitable());
        let mut targets = first.into_iter().chain(in_zone);
        let triggered = targets.find(|copy| self.random_draw < self.copy_probability(best, copy));
        triggered.map(AdapterCandidate::key)
    }

    fn is_loading(&self, candidate: &AdapterCandidate<'_>, wanted: WantedAdapter<'_>) -> bool {
        let (residency, now) = (self.residency, self.now);
        residency.is_loading(candidate.key(), wanted.adapter, now)
    }

    /// When the candidate last held the wanted version, if it may have a copy.
    fn copy_of(
        &self,
        candidate: &AdapterCandidate<'_>,
        wanted: WantedAdapter<'_>,
    ) -> Option<HeldTime> {
        if !self.keeps_copies {
            return None;
        }
        let residency = self.residency;
        residency.copy_held_at(candidate.key(), wanted.hash, wanted.version)
    }

    fn load_preference(
        &self,
        candidate: &AdapterCandidate<'_>,
        wanted: WantedAdapter<'_>,
        has_owner: impl Fn(TargetKey) -> bool,
    ) -> LoadPreference {
        LoadPreference {
            lacks_owner: !has_owner(candidate.key()),
            is_limited: candidate.target.entry.rate_limiter().is_some(),
            holds_old_version: candidate.held.is_some(),
            copy: Reverse(self.copy_of(candidate, wanted)),
        }
    }

    /// The upper limit of [`Self::copy_probability`] over all targets of a copy.
    fn max_copy_probability(&self, best: &AdapterCandidate<'_>) -> f64 {
        if best.lacks_required_version {
            return 1.0;
        }
        let zone_probability = if self.is_in_own_zone(best.target.entry) {
            0.0
        } else {
            ZONE_COPY_PROBABILITY
        };
        zone_probability.max((best.target.load - MIN_COPY_LOAD) / (1.0 - MIN_COPY_LOAD))
    }

    /// The probability that a request sent to `best` also triggers a load of its adapter on `copy`.
    fn copy_probability(&self, best: &AdapterCandidate<'_>, copy: &AdapterCandidate<'_>) -> f64 {
        let (best, target, outdated) = (&best.target, &copy.target, best.lacks_required_version);
        if outdated {
            return 1.0;
        }
        let crosses_zones = !self.is_in_own_zone(best.entry) && self.is_in_own_zone(target.entry);
        let zone_probability = if crosses_zones && target.load < MAX_OWN_ZONE_LOAD {
            ZONE_COPY_PROBABILITY
        } else {
            0.0
        };
        if target.load >= best.load * COPY_LOAD_RATIO {
            return zone_probability;
        }
        zone_probability.max((best.load - MIN_COPY_LOAD) / (1.0 - MIN_COPY_LOAD))
    }

    fn is_in_own_zone(&self, entry: &TargetEntry) -> bool {
        entry.report.zone == *self.own_zone
    }

    /// Returns the cheaper of two random candidates, so that VMs with the same view do not all
    /// choose the same target. Requests to plain services stay in this VM's zone while a target
    /// there has capacity.
    fn choose_least_loaded(
        &self,
        request: &ChoiceRequest<'_>,
        candidates: &[Candidate<'_>],
        ready: impl Fn(&Candidate<'_>) -> bool,
    ) -> TargetChoice {
        let limit = self.load_limit(request);
        let free = candidates
            .iter()
            .filter(|candidate| candidate.load < limit && ready(candidate));
        let mut free: Vec<_> = free.collect();
        let in_own_zone = |candidate: &&Candidate<'_>| {
            self.is_in_own_zone(candidate.entry) && candidate.load < MAX_OWN_ZONE_LOAD
        };
        if request.model.is_none() && free.iter().any(in_own_zone) {
            free.retain(in_own_zone);
        }
        let (first, second) = two_picks(self.random_draw, free.len());
        match (free.get(first), free.get(second)) {
            (Some(a), Some(b)) => {
                let best = if a.cost <= b.cost { a } else { b };
                TargetChoice::Send {
                    target: best.entry.key,
                    copy_to: None,
                }
            }
            _ => TargetChoice::Wait,
        }
    }
}

/// Two independent indexes below `count`, from one random number from 0 to 1.
fn two_picks(draw: f64, count: usize) -> (usize, usize) {
    let scaled = draw * count as f64;
    let second = scaled.fract() * count as f64;
    (scaled as usize, second as usize)
}
