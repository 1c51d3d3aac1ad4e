//! The invariants that the simulation checks on each action of the coordinator.

use std::time::Duration;

use super::event::{AcquireKey, PoolAction, PoolAnswer, TargetReport};
use super::tests_sim::{LOADS_IN_FLIGHT, LOADS_PER_SECOND, PoolSimulation};
use crate::ids::TargetName;

impl PoolSimulation {
    pub(super) fn record_probe(&mut self, target: &TargetName, report: Option<&TargetReport>) {
        let target = self.targets.get_mut(target).unwrap();
        let Some(report) = report else { return };
        if report.asked_at > target.asked_at {
            target.asked_at = report.asked_at;
            target.known_cold = report.cold;
        }
    }

    pub(super) fn check_action(&mut self, action: &PoolAction) {
        match action {
            PoolAction::Answer { key, answer } => {
                self.unanswered.remove(key);
                if let PoolAnswer::Pinned {
                    pin,
                    target,
                    generation,
                    ..
                } = answer
                {
                    self.check_pin(key, *pin, target, generation);
                }
            }
            PoolAction::Load {
                generation,
                adapter,
                ..
            } => {
                let before = self
                    .generation_adapters
                    .insert(generation.clone(), adapter.clone());
                assert_eq!(before, None, "generation {generation} was used twice");
                self.open_loads.insert(generation.clone());
                assert!(
                    self.open_loads.len() <= LOADS_IN_FLIGHT as usize,
                    "too many loads are in flight: {:?}",
                    self.open_loads
                );
                self.load_times.push(self.now);
                let recent = self.load_times.iter();
                let second = Duration::from_secs(1);
                let recent = recent.filter(|at| self.now.since(**at) < second).count();
                assert!(
                    recent <= LOADS_PER_SECOND as usize + 1,
                    "{recent} loads started within a second"
                );
            }
            _ => {}
        }
    }

    pub(super) fn check_pin(
        &mut self,
        key: &AcquireKey,
        pin: u64,
        target: &TargetName,
        generation: &str,
    ) {
        let node = self
            .nodes
            .iter()
            .find(|node| node.name == key.node)
            .unwrap();
        let request = &node.requests[key];
        let adapter = self.generation_adapters[generation].clone();
        let expected_adapter = &request.request.adapter;
        assert_eq!(
            adapter, *expected_adapter,
            "{key:?} was pinned to {generation}"
        );
        if request.done {
            return;
        }
        let placement = (target.clone(), generation.to_owned(), self.fence);
        let was_pinned = self.pinned.insert(key.clone(), placement).is_some();
        // A repeated acquire gets the same pin, even if the target has gone out of service since.
        // The simulation may have removed its own record of the pin when another node crashed.
        let placement = (target.clone(), generation.to_owned());
        if let Some(granted) = self
            .granted_placements
            .insert((self.fence, pin), placement.clone())
        {
            assert_eq!(granted, placement, "pin {pin} moved");
            return;
        }
        assert!(!was_pinned, "{key:?} got a second pin while it held one");
        assert!(
            self.config.targets[target].in_service,
            "{key:?} was pinned to {target} out of service"
        );
        if self.targets[target].known_cold {
            let here = |placement: &&(TargetName, String, u64)| {
                placement.0 == *target && placement.2 == self.fence
            };
            let here = self.pinned.values().filter(here).count();
            assert!(
                here <= 1,
                "{here} requests are pinned to {target}, which is cold"
            );
        }
    }

    pub(super) fn check_answers(&mut self) {
        if self.takeover_at.is_some() {
            return;
        }
        for (key, deadline) in &self.unanswered {
            assert!(self.now <= *deadline, "{key:?} got no answer in time");
        }
    }
}
