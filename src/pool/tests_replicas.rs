//! Tests of replicas of often used adapters: in a second zone, and before their targets are full.

use super::coordinator::PoolCoordinator;
use super::event::{PoolAction, PoolEvent, ReleaseOutcome, TargetSpec};
use super::tests::{at, config, coordinator, pinned_to, request, spec};

/// A coordinator whose loads succeed at once. `loads` has the time, adapter and target of each.
struct LoadRecorder {
    coordinator: PoolCoordinator,
    loads: Vec<(u64, String, String)>,
}

impl LoadRecorder {
    fn new(targets: &[(&str, TargetSpec)], resident: &[(&str, bool, &[&str])]) -> Self {
        Self {
            coordinator: coordinator(targets, resident),
            loads: Vec::new(),
        }
    }

    /// Passes an event to the coordinator and completes the resulting loads at once.
    fn handle(&mut self, millis: u64, event: PoolEvent) -> Vec<PoolAction> {
        let actions = self.coordinator.handle(at(millis), event);
        for action in &actions {
            if let PoolAction::Load {
                target,
                generation,
                adapter,
            } = action
            {
                let load = (millis, adapter.to_string(), target.to_string());
                self.loads.push(load);
                let ended = PoolEvent::LoadEnded {
                    generation: generation.clone(),
                    loaded: true,
                };
                self.handle(millis, ended);
            }
        }
        actions
    }

    /// Sends `times` requests for an adapter and releases each at once.
    fn send_requests(&mut self, first: u64, adapter: &str, times: u64) {
        for serial in first..first + times {
            let request = request(serial, "acme", adapter, at(121_000));
            let key = request.key.clone();
            self.handle(121_000, PoolEvent::Acquire(request));
            let outcome = ReleaseOutcome::Cancelled;
            self.handle(121_000, PoolEvent::Release { key, outcome });
        }
    }

    /// Advances the time by ten seconds.
    fn idle(&mut self) {
        for step in 0..100 {
            self.handle(121_000 + step * 100, PoolEvent::Tick);
        }
    }
}

/// Guards against a zone out of service that has the only replica of an often used adapter, and
/// against replicas of seldom used adapters.
#[test]
fn an_often_used_adapter_gets_a_replica_in_a_second_zone() {
    let mut targets = [
        ("a", spec("z1", true)),
        ("b", spec("z2", true)),
        ("c", spec("z1", true)),
    ];
    targets[1].1.adapter_slots = 3;
    let resident: [(&str, bool, &[&str]); 3] = [
        ("a", false, &["x@1", "y@1"]),
        ("b", false, &["v@1"]),
        ("c", false, &["w@1"]),
    ];
    let mut recorder = LoadRecorder::new(&targets, &resident);
    recorder.send_requests(1, "x@1", 40);
    recorder.send_requests(100, "y@1", 1);
    recorder.idle();
    assert_eq!(recorder.loads.len(), 1, "{:?}", recorder.loads);
    let (_, adapter, target) = &recorder.loads[0];
    assert_eq!((adapter.as_str(), target.as_str()), ("x@1", "b"));
    targets[0].1.in_service = false;
    targets[2].1.in_service = false;
    recorder.handle(131_100, PoolEvent::Configured(config(&targets)));
    let next = request(200, "acme", "x@1", at(131_200));
    let actions = recorder.handle(131_200, PoolEvent::Acquire(next));
    assert_eq!(pinned_to(&actions, 200).as_deref(), Some("b"));
}

/// Guards against an adapter that gets no further target until its requests fill the first one and
/// wait, and against replicas in such quick succession that they delay loads that requests wait
/// for.
#[test]
fn a_crowded_adapter_gets_further_targets_one_at_a_time() {
    let targets = ["a", "b", "c"].map(|name| (name, spec("z1", true)));
    let resident: [(&str, bool, &[&str]); 3] = [
        ("a", false, &["x@1"]),
        ("b", false, &["v@1"]),
        ("c", false, &["w@1"]),
    ];
    let mut recorder = LoadRecorder::new(&targets, &resident);
    recorder.send_requests(1, "x@1", 400);
    recorder.idle();
    let times: Vec<u64> = recorder.loads.iter().map(|load| load.0).collect();
    assert_eq!(times.len(), 2, "{:?}", recorder.loads);
    assert!(times[1] - times[0] >= 4000, "{:?}", recorder.loads);
    assert!(recorder.loads.iter().all(|load| load.1 == "x@1"));
}
