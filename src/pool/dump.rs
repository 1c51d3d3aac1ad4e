//! The pool's section of the operator dump.

use std::collections::BTreeMap;

use serde::Serialize;
use serde_json::{Value, json};

use super::coordinator::PoolCoordinator;
use super::residency::{Generation, GenerationState};
use super::target::TargetState;
use crate::ids::{AccountName, TargetName};

#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
enum GenerationStatus {
    Planned,
    Loading,
    Ready,
    Draining,
}

impl From<GenerationState> for GenerationStatus {
    fn from(state: GenerationState) -> Self {
        match state {
            GenerationState::Planned => Self::Planned,
            GenerationState::Loading => Self::Loading,
            GenerationState::Ready => Self::Ready,
            GenerationState::Draining { .. } => Self::Draining,
        }
    }
}

impl PoolCoordinator {
    /// The state for the operator dump. It contains account names, but no requests or prompts.
    pub(super) fn dump(&self) -> Value {
        let mut waiting: BTreeMap<&AccountName, usize> = BTreeMap::new();
        for entry in self.queue.iter() {
            *waiting.entry(&entry.request.account).or_default() += 1;
        }
        let targets = self.targets.iter();
        let targets: BTreeMap<&TargetName, Value> = targets
            .map(|(name, target)| (name, self.dump_target(name, target)))
            .collect();
        json!({
            "fence": self.fence,
            "waiting": waiting,
            "pinned": self.pinned(),
            "loads_in_flight": self.residency.loads_in_flight(),
            "mean_hold_ms": self.mean_hold_time().as_millis(),
            "targets": targets,
        })
    }

    fn dump_target(&self, name: &TargetName, target: &TargetState) -> Value {
        let generation = |(name, generation): (_, &Generation)| {
            let status = GenerationStatus::from(generation.state);
            (name, json!({"state": status, "pins": generation.pins}))
        };
        let generations: BTreeMap<&String, Value> =
            self.residency.of_target(name).map(generation).collect();
        json!({
            "zone": target.spec.zone,
            "in_service": target.spec.in_service,
            "open": target.accepts_work(),
            "cold": target.is_cold(),
            "suspended": target.suspended,
            "in_flight": target.in_flight,
            "limit": target.limit(),
            "generations": generations,
        })
    }
}
