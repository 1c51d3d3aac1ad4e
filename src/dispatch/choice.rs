//! The choice of a target for one request.
//!
//! Load patterns: few adapters take most requests and must spread over several targets, while
//! thousands of others must each stay on the target that holds them, however busy it is with other
//! adapters; a target that fails quickly looks empty; all VMs see the same empty target at the same
//! moment; most of an adapter's requests come from other zones than the one that holds it.

use crate::clock::Timestamp;
use crate::dispatch::directory::{TargetDirectory, TargetEntry, TargetKey, stable_hash};
use crate::dispatch::residency::ResidencyTable;
use crate::ids::{AdapterName, BaseModel, ServiceName, ZoneName};

/// The part of a target's places that may be taken before an adapter spreads to a further target.
/// From there on the chance of a copy grows with each request up to 1 at a full target, so that
/// adapters spread by their own demand and not by that of their neighbors.
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
const ZONE_PENALTY: f64 = 0.3;
/// The chance that a request which crosses zones brings a copy of its adapter to this VM's zone: at
/// the users' prices a load from the store costs as much as five to thirty streams between zones,
/// and it takes a place from another adapter.
const ZONE_COPY_CHANCE: f64 = 1.0 / 30.0;
/// Below this part of its places, a target in this VM's zone is taken before those of other zones.
const HOME_LOAD: f64 = 0.75;

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
    /// A random number from 0 to 1, drawn for each choice.
    pub(crate) chance: f64,
    pub(crate) now: Timestamp,
}

#[derive(Debug, Clone, Copy)]
struct Candidate<'a> {
    entry: &'a TargetEntry,
    /// Requests in flight by places.
    load: f64,
    /// The load with all penalties.
    cost: f64,
}

/// A candidate, and what it holds of the adapter that a request names.
#[derive(Debug, Clone, Copy)]
struct AdapterCandidate<'a> {
    target: Candidate<'a>,
    /// The order in which an adapter's targets are tried.
    rank: u64,
    /// The version there, if any.
    held: Option<u64>,
    /// Whether requests may still run on that version.
    usable: bool,
    lacks_newest: bool,
}

impl AdapterCandidate<'_> {
    fn key(&self) -> TargetKey {
        self.target.entry.key
    }
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
        let candidates = self.candidates(ask, &load);
        if candidates.is_empty() {
            return TargetChoice::Unavailable;
        }
        let ready = |candidate: &Candidate<'_>| ready(candidate.entry);
        match ask.adapter {
            Some(adapter) => {
                let holders = self.holders(adapter, candidates);
                self.choose_for_adapter(ask, adapter, &holders, ready, has_owner)
            }
            None => self.choose_least(ask, &candidates, ready),
        }
    }

    fn full_load(&self, ask: &ChoiceAsk<'_>) -> f64 {
        if ask.model.is_some() {
            MODEL_FULL
        } else {
            PLAIN_FULL
        }
    }

    fn candidates<'b>(
        &'b self,
        ask: &ChoiceAsk<'_>,
        load: impl Fn(TargetKey) -> u32,
    ) -> Vec<Candidate<'b>> {
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
        let candidate = |entry: &'b TargetEntry| {
            let load = f64::from(load(entry.key)) / f64::from(entry.report.slots.max(1));
            let zone = if self.is_home(entry) {
                0.0
            } else {
                ZONE_PENALTY
            };
            let cost = load + zone + entry.failure_rate() * FAILURE_PENALTY;
            Candidate { entry, load, cost }
        };
        chosen.into_iter().map(candidate).collect()
    }

    /// What the candidates hold of an adapter, in the order in which its targets are tried: the
    /// same on all VMs.
    fn holders<'a>(
        &self,
        adapter: &AdapterName,
        candidates: Vec<Candidate<'a>>,
    ) -> Vec<AdapterCandidate<'a>> {
        let adapter_hash = stable_hash(&[adapter.as_str()]);
        let newest = self.residency.newest_version(adapter);
        let holder = |candidate: Candidate<'a>| {
            let key = candidate.entry.key;
            let held = self.residency.held_version(key, adapter);
            let usable = held.is_some_and(|held| self.residency.is_usable(adapter, held, self.now));
            AdapterCandidate {
                target: candidate,
                rank: key.rank_for(adapter_hash),
                lacks_newest: held.is_none_or(|held| held < newest),
                held,
                usable,
            }
        };
        let mut holders: Vec<_> = candidates.into_iter().map(holder).collect();
        holders.sort_unstable_by_key(|holder| holder.rank);
        holders
    }

    fn choose_for_adapter(
        &self,
        ask: &ChoiceAsk<'_>,
        adapter: &AdapterName,
        candidates: &[AdapterCandidate<'_>],
        ready: impl Fn(&Candidate<'_>) -> bool,
        has_owner: impl Fn(TargetKey) -> bool,
    ) -> TargetChoice {
        let full = self.full_load(ask);
        let free = candidates
            .iter()
            .filter(|holder| holder.usable && holder.target.load < full && ready(&holder.target));
        // The newest version first, then the least cost.
        let best = free.min_by(|a, b| {
            let order = a.lacks_newest.cmp(&b.lacks_newest);
            order.then(a.target.cost.total_cmp(&b.target.cost))
        });
        let absent = candidates.iter().filter(|candidate| {
            candidate.lacks_newest
                && candidate.target.load < full
                && !ask.stalled.contains(&candidate.key())
        });
        // A target without the adapter is better than one that must replace an old version, since
        // the replacement waits for the old version's requests.
        let preference = |candidate: &&AdapterCandidate<'_>| {
            (!has_owner(candidate.key()), candidate.held.is_some())
        };
        let loading = |candidate: &&AdapterCandidate<'_>| {
            self.residency
                .is_loading(candidate.key(), adapter, self.now)
        };
        let Some(best) = best else {
            // A load that is under way is waited for, however long it takes: another one would
            // only slow both down.
            let under_way = candidates.iter().find(loading);
            return match under_way.or_else(|| absent.min_by_key(preference)) {
                Some(next) => TargetChoice::Load(next.key()),
                None => TargetChoice::Wait,
            };
        };
        let copy_to = absent
            .clone()
            .min_by_key(|candidate| {
                let abroad = !self.is_home(candidate.target.entry);
                (preference(candidate), abroad)
            })
            .filter(|copy| self.chance < self.copy_chance(best, copy))
            .filter(|_| !absent.clone().any(|candidate| loading(&candidate)));
        TargetChoice::Send {
            target: best.key(),
            copy_to: copy_to.map(AdapterCandidate::key),
        }
    }

    /// The chance with which a request that is sent to `best` brings its adapter to `copy` as well.
    fn copy_chance(&self, best: &AdapterCandidate<'_>, copy: &AdapterCandidate<'_>) -> f64 {
        let (best, target, outdated) = (&best.target, &copy.target, best.lacks_newest);
        if outdated {
            return 1.0;
        }
        let crosses = !self.is_home(best.entry) && self.is_home(target.entry);
        let nearer = if crosses && target.load < HOME_LOAD {
            ZONE_COPY_CHANCE
        } else {
            0.0
        };
        if target.load >= best.load * COPY_LOAD_RATIO {
            return nearer;
        }
        nearer.max((best.load - SPREAD_LOAD) / (1.0 - SPREAD_LOAD))
    }

    fn is_home(&self, entry: &TargetEntry) -> bool {
        entry.report.zone == *self.own_zone
    }

    /// The better of two random candidates, so that VMs with the same view do not all take the
    /// same; of plain services one in this VM's zone, while it has room.
    fn choose_least(
        &self,
        ask: &ChoiceAsk<'_>,
        candidates: &[Candidate<'_>],
        ready: impl Fn(&Candidate<'_>) -> bool,
    ) -> TargetChoice {
        let full = self.full_load(ask);
        let free = candidates
            .iter()
            .filter(|candidate| candidate.load < full && ready(candidate));
        let mut free: Vec<_> = free.collect();
        let home = |candidate: &&Candidate<'_>| {
            self.is_home(candidate.entry) && candidate.load < HOME_LOAD
        };
        if ask.model.is_none() && free.iter().any(home) {
            free.retain(home);
        }
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
}
