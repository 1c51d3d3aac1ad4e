//! The choice of a target for one request.
//!
//! Load patterns: few adapters take most requests and must spread over several targets, while
//! thousands of others must each stay on the target that holds them; a target that fails quickly
//! looks empty; all VMs see the same empty target at the same moment.

use crate::clock::Timestamp;
use crate::dispatch::directory::{TargetDirectory, TargetEntry, TargetKey, stable_hash};
use crate::dispatch::residency::ResidencyTable;
use crate::ids::{AdapterName, BaseModel, ServiceName, ZoneName};

/// The part of a target's places that may be taken before an adapter spreads to a further target.
const SPREAD_LOAD: f64 = 0.35;
/// The part of a target's places up to which model requests are sent. Above 1, since some of them
/// end before a new one is read in, and the engine orders the rest by urgency.
const MODEL_FULL: f64 = 1.15;
/// The same for plain services: one request waits at the target for each that runs, which costs
/// less than a message that a place is free.
const PLAIN_FULL: f64 = 2.0;
/// A further copy goes to a target with less than this part of the load of the best present one.
const COPY_LOAD_RATIO: f64 = 0.6;
/// What a failed request adds to a target's load, in its places, when the choice compares targets.
const FAILURE_PENALTY: f64 = 1.5;
/// What a target in another zone adds, in its places: bytes between zones cost, but less than
/// waiting.
const ZONE_PENALTY: f64 = 0.12;

/// What a request needs of a target.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ChoiceAsk<'a> {
    pub(crate) service: &'a ServiceName,
    /// Set for model services.
    pub(crate) model: Option<&'a BaseModel>,
    pub(crate) adapter: Option<&'a AdapterName>,
    /// Targets that have failed the request.
    pub(crate) avoid: &'a [TargetKey],
    /// Targets on which a load was asked and waited for too long.
    pub(crate) stalled: &'a [TargetKey],
}

/// What to do with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TargetChoice {
    /// Send it now; load the adapter also on the second target, if any.
    Send {
        target: TargetKey,
        copy_to: Option<TargetKey>,
    },
    /// No open target holds the adapter: load it on this one.
    Load(TargetKey),
    /// All suitable targets are full.
    Wait,
    /// No open target could run the request.
    Unavailable,
}

/// The state that a choice reads.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ChoiceView<'a> {
    pub(crate) directory: &'a TargetDirectory,
    pub(crate) residency: &'a ResidencyTable,
    pub(crate) own_zone: &'a ZoneName,
    pub(crate) now: Timestamp,
}

#[derive(Debug, Clone, Copy)]
struct Candidate<'a> {
    entry: &'a TargetEntry,
    /// Requests in flight by places.
    load: f64,
    /// The load with all penalties.
    cost: f64,
    /// The order in which an adapter's targets are tried, the same on all VMs.
    rank: u64,
}

impl ChoiceView<'_> {
    /// Chooses a target. `load` gives a target's requests in flight over all VMs, `ready` whether
    /// a cold or connection limit lets this VM send to it now, `has_owner` whether any VM can load
    /// adapters on it now.
    pub(crate) fn choose(
        &self,
        ask: &ChoiceAsk<'_>,
        load: impl Fn(TargetKey) -> u32,
        ready: impl Fn(&TargetEntry) -> bool,
        has_owner: impl Fn(TargetKey) -> bool,
    ) -> TargetChoice {
        let mut candidates = self.candidates(ask, &load);
        if candidates.is_empty() {
            return TargetChoice::Unavailable;
        }
        let ready = |candidate: &Candidate<'_>| ready(candidate.entry);
        match ask.adapter {
            Some(adapter) => {
                candidates.sort_by_key(|candidate| candidate.rank);
                self.choose_for_adapter(ask, adapter, &candidates, ready, has_owner)
            }
            None => choose_least(&candidates, self.full_load(ask), ready),
        }
    }

    fn full_load(&self, ask: &ChoiceAsk<'_>) -> f64 {
        if ask.model.is_some() {
            MODEL_FULL
        } else {
            PLAIN_FULL
        }
    }

    fn candidates(
        &self,
        ask: &ChoiceAsk<'_>,
        load: impl Fn(TargetKey) -> u32,
    ) -> Vec<Candidate<'_>> {
        let open = self.directory.of_service(ask.service).filter(|entry| {
            let holds = ask
                .model
                .is_none_or(|model| self.residency.holds_model(entry.key, model));
            self.directory.is_open(entry) && holds && !ask.avoid.contains(&entry.key)
        });
        let (sound, suspended): (Vec<_>, Vec<_>) =
            open.partition(|entry| !entry.is_suspended(self.now));
        // A guess among suspended targets beats a certain refusal.
        let chosen = if sound.is_empty() { suspended } else { sound };
        let adapter = ask.adapter.map_or("", |adapter| adapter.as_str());
        let candidate = |entry: &'_ TargetEntry| {
            let load = f64::from(load(entry.key)) / f64::from(entry.report.slots.max(1));
            let zone = if entry.report.zone == *self.own_zone {
                0.0
            } else {
                ZONE_PENALTY
            };
            let cost = load + zone + entry.failure_rate() * FAILURE_PENALTY;
            (load, cost, stable_hash(&[adapter, entry.name.as_str()]))
        };
        let entries = chosen.into_iter();
        entries
            .map(|entry| {
                let (load, cost, rank) = candidate(entry);
                Candidate {
                    entry,
                    load,
                    cost,
                    rank,
                }
            })
            .collect()
    }

    fn choose_for_adapter(
        &self,
        ask: &ChoiceAsk<'_>,
        adapter: &AdapterName,
        candidates: &[Candidate<'_>],
        ready: impl Fn(&Candidate<'_>) -> bool,
        has_owner: impl Fn(TargetKey) -> bool,
    ) -> TargetChoice {
        let newest = self.residency.newest_version(adapter);
        let version = |candidate: &Candidate<'_>| {
            self.residency
                .usable_version(candidate.entry.key, adapter, self.now)
        };
        let holders = candidates
            .iter()
            .filter(|candidate| version(candidate).is_some());
        let full = self.full_load(ask);
        let free = holders
            .clone()
            .filter(|holder| holder.load < full && ready(holder));
        // The newest version first, then the least cost.
        let best = free.min_by(|a, b| {
            let old = |holder: &Candidate<'_>| version(holder).is_some_and(|held| held < newest);
            old(a).cmp(&old(b)).then(a.cost.total_cmp(&b.cost))
        });
        let absent = candidates.iter().filter(|candidate| {
            let held = self.residency.held_version(candidate.entry.key, adapter);
            held.is_none_or(|held| held < newest) && candidate.load < full
        });
        // A target without the adapter is better than one that must replace an old version, since
        // the replacement waits for the old version's requests.
        let replaced = |candidate: &&Candidate<'_>| {
            self.residency
                .held_version(candidate.entry.key, adapter)
                .is_some()
        };
        let mut next: Vec<_> = absent
            .filter(|candidate| !ask.stalled.contains(&candidate.entry.key))
            .collect();
        next.sort_by_key(|candidate| (!has_owner(candidate.entry.key), replaced(candidate)));
        let loading = |candidate: &&&Candidate<'_>| {
            self.residency
                .is_loading(candidate.entry.key, adapter, self.now)
        };
        let Some(best) = best else {
            // A load that is under way is waited for, however long it takes: another one would
            // only slow both down.
            return match candidates
                .iter()
                .find(|c| loading(&c))
                .or(next.first().copied())
            {
                Some(next) => TargetChoice::Load(next.entry.key),
                None => TargetChoice::Wait,
            };
        };
        let outdated = version(best).is_some_and(|held| held < newest);
        let under_way = next.iter().any(|next| loading(&next));
        let copy_to = next.first().filter(|next| {
            !under_way
                && (outdated
                    || (best.load > SPREAD_LOAD && next.load < best.load * COPY_LOAD_RATIO))
        });
        let copy_to = copy_to.map(|next| next.entry.key);
        TargetChoice::Send {
            target: best.entry.key,
            copy_to,
        }
    }
}

/// The better of two random candidates, so that VMs with the same view do not all take the same.
fn choose_least(
    candidates: &[Candidate<'_>],
    full: f64,
    ready: impl Fn(&Candidate<'_>) -> bool,
) -> TargetChoice {
    let free = candidates
        .iter()
        .filter(|candidate| candidate.load < full && ready(candidate));
    let free: Vec<_> = free.collect();
    let pick = || free.get(rand::random_range(0..free.len().max(1)));
    match (pick(), pick()) {
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
