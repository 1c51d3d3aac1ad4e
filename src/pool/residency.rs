//! The generations on each target, the pins, and the request rates of adapters.

use std::collections::BTreeMap;
use std::time::Duration;

use super::event::AcquireKey;
use crate::clock::Timestamp;
use crate::collections::FastMap;
use crate::ids::{AccountName, AdapterVersion, TargetName, TokenCount};

/// The lifecycle of a generation. Generation names are never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum GenerationState {
    /// Waits until its adapter slot is free and the weight store's rate limit allows the load.
    Planned,
    Loading,
    Ready,
    /// Gets no new pins and is unloaded once it has none.
    Draining {
        unload_sent: bool,
    },
}

/// One load of an adapter on one target.
#[derive(Debug, Clone)]
pub(super) struct Generation {
    pub(super) target: TargetName,
    /// `None` if an inherited generation matches no configured version.
    pub(super) adapter: Option<AdapterVersion>,
    pub(super) state: GenerationState,
    /// Determines the order of planned loads.
    pub(super) sequence: u64,
    pub(super) pins: u32,
    pub(super) since: Timestamp,
    /// Whether an earlier coordinator loaded it, so that it may have unknown pins.
    pub(super) inherited: bool,
}

/// All generations, by the name under which their target has loaded them.
#[derive(Debug, Default)]
pub(super) struct ResidencyTable {
    generations: BTreeMap<String, Generation>,
    by_adapter: FastMap<AdapterVersion, Vec<String>>,
}

impl ResidencyTable {
    pub(super) fn insert(&mut self, name: String, generation: Generation) {
        if let Some(adapter) = &generation.adapter {
            let names = self.by_adapter.entry(adapter.clone()).or_default();
            names.push(name.clone());
        }
        self.generations.insert(name, generation);
    }

    pub(super) fn remove(&mut self, name: &str) {
        let removed = self.generations.remove(name);
        let Some(adapter) = removed.and_then(|generation| generation.adapter) else {
            return;
        };
        if let Some(names) = self.by_adapter.get_mut(&adapter) {
            names.retain(|other| other != name);
            if names.is_empty() {
                self.by_adapter.remove(&adapter);
            }
        }
    }

    pub(super) fn get(&self, name: &str) -> Option<&Generation> {
        self.generations.get(name)
    }

    pub(super) fn get_mut(&mut self, name: &str) -> Option<&mut Generation> {
        self.generations.get_mut(name)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&String, &Generation)> {
        self.generations.iter()
    }

    pub(super) fn of_adapter(
        &self,
        adapter: &AdapterVersion,
    ) -> impl Iterator<Item = (&String, &Generation)> {
        let names = self.by_adapter.get(adapter);
        names
            .into_iter()
            .flatten()
            .filter_map(|name| self.generations.get_key_value(name))
    }

    pub(super) fn of_target(
        &self,
        target: &TargetName,
    ) -> impl Iterator<Item = (&String, &Generation)> {
        self.generations
            .iter()
            .filter(move |(_, generation)| generation.target == *target)
    }

    /// Loads in flight, including planned ones whose adapter slot is still being freed.
    pub(super) fn loads_in_flight(&self) -> usize {
        let loading = |generation: &&Generation| generation.is_load_pending();
        self.generations.values().filter(loading).count()
    }
}

impl Generation {
    pub(super) fn is_load_pending(&self) -> bool {
        matches!(
            self.state,
            GenerationState::Planned | GenerationState::Loading
        )
    }
}

/// A request's reservation of a slot on a target.
#[derive(Debug, Clone)]
pub(super) struct Pin {
    pub(super) id: u64,
    pub(super) target: TargetName,
    pub(super) generation: String,
    pub(super) account: AccountName,
    pub(super) tokens: TokenCount,
    pub(super) suspect: bool,
    /// Whether the target has sent the first token.
    pub(super) streaming: bool,
    pub(super) since: Timestamp,
    /// The request has ended by then, even if its node has not released the pin.
    pub(super) hard_deadline: Timestamp,
}

pub(super) type PinTable = BTreeMap<AcquireKey, Pin>;

/// The half-life of an adapter's request count. Popularity shifts within minutes, so the last half
/// minute predicts the next requests best.
const USE_HALF_LIFE: Duration = Duration::from_secs(30);
/// Adapters whose decayed request count is below this are no longer tracked.
const MIN_TRACKED_USE: f64 = 0.01;

/// Exponentially decayed request counts of adapters.
#[derive(Debug, Default)]
pub(super) struct UsageTable {
    uses: FastMap<AdapterVersion, (f64, Timestamp)>,
}

impl UsageTable {
    pub(super) fn record(&mut self, adapter: &AdapterVersion, now: Timestamp) {
        let value = self.decayed_count(adapter, now) + 1.0;
        self.uses.insert(adapter.clone(), (value, now));
    }

    /// The decayed request count, which is high for frequent and for recent use.
    pub(super) fn decayed_count(&self, adapter: &AdapterVersion, now: Timestamp) -> f64 {
        let Some((value, at)) = self.uses.get(adapter) else {
            return 0.0;
        };
        let halvings = now.since(*at).as_secs_f64() / USE_HALF_LIFE.as_secs_f64();
        value * (-halvings).exp2()
    }

    pub(super) fn remove_unused(&mut self, now: Timestamp) {
        let unused: Vec<AdapterVersion> = self
            .uses
            .keys()
            .filter(|adapter| self.decayed_count(adapter, now) < MIN_TRACKED_USE)
            .cloned()
            .collect();
        for adapter in unused {
            self.uses.remove(&adapter);
        }
    }

    /// The requests per second, estimated from the decayed count.
    pub(super) fn rate(&self, adapter: &AdapterVersion, now: Timestamp) -> f64 {
        let span = USE_HALF_LIFE.as_secs_f64() / std::f64::consts::LN_2;
        self.decayed_count(adapter, now) / span
    }

    /// The decayed request count of all adapters together.
    pub(super) fn total(&self, now: Timestamp) -> f64 {
        self.uses.keys().map(|a| self.decayed_count(a, now)).sum()
    }

    /// The adapters with a decayed count of at least `min_count`, most used first.
    pub(super) fn most_used(&self, min_count: f64, now: Timestamp) -> Vec<AdapterVersion> {
        let uses = self.uses.keys().map(|a| (self.decayed_count(a, now), a));
        let mut most_used: Vec<_> = uses.filter(|(value, _)| *value >= min_count).collect();
        most_used.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(b.1)));
        most_used.into_iter().map(|(_, a)| a.clone()).collect()
    }
}
