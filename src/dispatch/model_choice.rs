//! Chooses the base model that a target without one is to load.
//!
//! Load pattern: a few models get most requests and are on many targets, others are on one each. A
//! target that restarts empty may have been the only one with its model, and several targets may be
//! empty at the same time, each with an owner of its own.

use crate::ids::BaseModel;

/// How much a model of a service is used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ModelDemand {
    pub(crate) model: BaseModel,
    /// The open targets that hold the model or are to load it.
    pub(crate) holders: usize,
    /// The requests in flight on these targets.
    pub(crate) load: u32,
}

/// Chooses a model that no target holds, or else the one whose targets are the busiest. `before` is
/// the number of empty targets that choose earlier: owners with the same view of the targets choose
/// different models of those that are missing.
pub(crate) fn choose_model(demand: Vec<ModelDemand>, before: usize) -> Option<BaseModel> {
    let missing = demand.iter().filter(|demand| demand.holders == 0);
    if let Some(missing) = missing.clone().nth(before) {
        return Some(missing.model.clone());
    }
    let load_per_holder = |demand: &ModelDemand| f64::from(demand.load) / demand.holders as f64;
    let held = demand.iter().rev().filter(|demand| demand.holders > 0);
    let busiest = held.max_by(|a, b| load_per_holder(a).total_cmp(&load_per_holder(b)));
    // Without any holder, the first model is the one that the service's operator lists first.
    let chosen = busiest.or(demand.first());
    chosen.map(|demand| demand.model.clone())
}
