use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::{at, ms};
use crate::clock::Timestamp;
use crate::dispatch::directory::TargetKey;
use crate::dispatch::prompt_suspects::{PartVerdict, PromptPart, SuspectTable, VerdictReply};

fn part(id: u64) -> PromptPart {
    PromptPart::new(&format!("{id:x}"))
}

fn target(index: u64) -> TargetKey {
    TargetKey::from(index)
}

/// A table in which a part has crashed three targets, one each second from 1 s on.
fn table_with_harmful(harmful: PromptPart) -> SuspectTable {
    let mut table = SuspectTable::default();
    for index in 1..=3 {
        table.record_crash(&[harmful], target(index), at(index * 1_000));
    }
    assert!(table.is_harmful(&[harmful], at(3_000)));
    table
}

/// Guards against refusing sound requests beside a harmful one: those that share its other parts,
/// those that were in flight on its targets, and those that a crash for another cause broke.
#[test]
fn only_the_part_common_to_the_crashes_is_refused() {
    let (shared, harmful, beside) = (part(1), part(2), part(3));
    let mut table = SuspectTable::default();
    for index in 1..=3 {
        let now = at(index * 200);
        table.record_answer(&[shared], at(index * 200 - 10));
        table.record_crash(&[shared, beside], target(index), now);
        let refused = table.record_crash(&[shared, harmful], target(index), now);
        assert_eq!(refused.contains(&harmful), index == 3, "{index}");
        if index < 3 {
            table.record_answer(&[beside], now + ms(50));
        }
    }
    assert!(table.is_harmful(&[shared, harmful], at(700)));
    assert!(!table.is_harmful(&[shared, beside], at(700)));
    // A later crash under the refused part accuses no other part.
    table.record_crash(&[harmful, beside], target(4), at(800));
    assert!(!table.is_suspected(&[beside]));
}

/// Guards against parts that are refused because many targets crash at the same moment.
#[test]
fn crashes_at_the_same_moment_make_no_part_guilty() {
    let mut table = SuspectTable::default();
    for index in 0..20 {
        table.record_crash(&[part(1)], target(index), at(1_000 + index));
    }
    assert!(!table.is_harmful(&[part(1)], at(1_100)));
}

/// Guards against counting one crash for each request that it ended and for each VM that reports it.
#[test]
fn crash_of_one_target_counts_once() {
    let mut table = SuspectTable::default();
    for now in 0..20 {
        table.record_crash(&[part(1)], target(1), at(now * 40));
    }
    assert!(!table.is_harmful(&[part(1)], at(900)));
}

/// Guards against refusing a part for crashes that are far apart and have other causes.
#[test]
fn answer_clears_the_crashes_before_it() {
    let mut table = SuspectTable::default();
    for index in 1..=12 {
        table.record_crash(&[part(1)], target(index), at(index * 1_000));
        if index % 4 == 0 {
            table.record_answer(&[part(1)], at(index * 1_000 + 500));
        }
        let harmful = table.is_harmful(&[part(1)], at(index * 1_000 + 600));
        assert_eq!(harmful, index == 3, "{index}");
    }
}

/// Guards against a part that stays refused although another VM has seen an answer begin on it, and
/// against a VM that serves what all others refuse because it never saw it answered.
#[test]
fn verdict_holds_unless_another_vm_has_seen_an_answer() {
    let (harmful, now) = (part(1), at(3_000));
    let mut one = table_with_harmful(harmful);
    let verdict = one.verdicts(now).next().unwrap();
    let mut restarted = SuspectTable::default();
    let reply = restarted.apply_verdict(verdict, now);
    assert_eq!(reply, VerdictReply::Accepted { is_new: true });
    assert!(restarted.is_harmful(&[harmful], now));
    let mut other = SuspectTable::default();
    other.record_answer(&[harmful], at(2_500));
    let reply = other.apply_verdict(verdict, now);
    assert_eq!(reply, VerdictReply::Contested { age: ms(500) });
    assert!(!other.is_harmful(&[harmful], now));
    assert_eq!(one.apply_answer(harmful, ms(500), now), Some(true));
    assert!(!one.is_harmful(&[harmful], now));
}

/// Guards against VMs that keep a part refused forever by repeating each other's statements, and
/// against one that admits it while requests with it still arrive.
#[test]
fn verdict_ends_a_while_after_the_last_request() {
    let harmful = part(1);
    let mut tables = [table_with_harmful(harmful), table_with_harmful(harmful)];
    for second in 4..200 {
        let now = at(second * 1_000);
        if second <= 50 {
            assert!(tables[0].is_harmful(&[harmful], now));
        }
        for (from, to) in [(0, 1), (1, 0)] {
            let verdicts: Vec<_> = tables[from].verdicts(now).collect();
            for verdict in verdicts {
                tables[to].apply_verdict(verdict, now);
            }
        }
        let refused = tables[1].verdicts(now).next().is_some();
        assert!(refused || second > 105, "{second}");
        assert!(!refused || second < 125, "{second}");
    }
}

/// Guards against a wrong verdict that outlasts its evidence while requests keep coming, and against
/// admitting a harmful part for longer than one crash afterwards.
#[test]
fn verdict_is_tried_again_after_its_longest_time() {
    let harmful = part(1);
    let mut table = table_with_harmful(harmful);
    let admitted = (4..).find(|second| !table.is_harmful(&[harmful], at(second * 1_000)));
    let admitted = admitted.unwrap();
    assert!((600..620).contains(&admitted), "{admitted}");
    let old = PartVerdict {
        part: harmful,
        is_own: true,
        age: ms(600_000),
        idle: ms(0),
    };
    table.apply_verdict(old, at(admitted * 1_000));
    assert!(!table.is_harmful(&[harmful], at(admitted * 1_000)));
    let refused = table.record_crash(&[harmful], target(9), at(admitted * 1_000 + 100));
    assert_eq!(refused, [harmful]);
}

/// The number of VMs that repeat all refused parts, the first ones of the fleet.
const REPEATERS: usize = 3;

/// The VMs of the simulation, which lose a part of their messages.
struct SuspectFleet {
    tables: Vec<SuspectTable>,
    loss: f64,
    random: SmallRng,
}

impl SuspectFleet {
    fn crash(&mut self, vm: usize, parts: &[PromptPart], crashed: TargetKey, now: Timestamp) {
        let reported = self.tables[vm].parts_to_report(parts, now);
        self.tables[vm].record_crash(parts, crashed, now);
        for other in 0..self.tables.len() {
            if other != vm && !self.random.random_bool(self.loss) {
                self.tables[other].apply_crash(&reported, crashed, now + ms(3));
            }
        }
        self.send_verdicts(vm, now);
    }

    fn send_verdicts(&mut self, vm: usize, now: Timestamp) {
        if vm >= REPEATERS {
            self.tables[vm].drop_unconfirmed(now);
        }
        let verdicts = self.tables[vm].verdicts(now);
        let verdicts = verdicts.filter(|verdict| vm < REPEATERS || verdict.is_own);
        let verdicts: Vec<_> = verdicts.collect();
        for other in (0..self.tables.len()).filter(|other| *other != vm) {
            for verdict in &verdicts {
                if self.random.random_bool(self.loss) {
                    continue;
                }
                let reply = self.tables[other].apply_verdict(*verdict, now);
                if let VerdictReply::Contested { age } = reply {
                    self.contest(vm, verdict.part, age, now);
                }
            }
        }
    }

    fn contest(&mut self, vm: usize, part: PromptPart, age: Duration, now: Timestamp) {
        if self.tables[vm].apply_answer(part, age, now) != Some(true) {
            return;
        }
        for other in (0..self.tables.len()).filter(|other| *other != vm) {
            if !self.random.random_bool(self.loss) {
                self.tables[other].apply_answer(part, age, now);
            }
        }
    }
}

/// Guards against a harmful part that some VMs go on sending, and against refused sound requests,
/// with lost messages, restarts and crashes for other causes, in small and large fleets.
#[yare::parameterized(
    six_vms = { 6, 12, 0.05 },
    many_vms = { 80, 60, 0.1 },
    no_harmful_part = { 20, 30, 0.0 },
)]
fn fleet_refuses_the_harmful_part_and_serves_all_others(vms: usize, targets: u64, share: f64) {
    /// From the fifth crash on, in milliseconds.
    const STABILITY_WINDOW: u64 = 3_000;
    for seed in 0..40 {
        let mut fleet = SuspectFleet {
            tables: (0..vms).map(|_| SuspectTable::default()).collect(),
            loss: 0.05,
            random: SmallRng::seed_from_u64(seed),
        };
        let (mut crashes, mut late, mut sound, mut refused) = (Vec::new(), 0, 0, 0);
        let mut restarted_at = vec![0; vms];
        for tick in 0..20_000 {
            let (time, now) = (tick, at(tick + 1_000));
            let vm = fleet.random.random_range(0..vms);
            if tick % 1_000 == 0 {
                (0..vms).for_each(|vm| fleet.send_verdicts(vm, now));
            }
            if tick % 3_000 == 2_999 {
                fleet.tables[vm] = SuspectTable::default();
                restarted_at[vm] = time;
            }
            if tick % 5_000 == 4_999 {
                // A third of the targets crash at once, each with a few requests on it.
                for index in 0..targets / 3 {
                    for _ in 0..3 {
                        let vm = fleet.random.random_range(0..vms);
                        let parts = [part(fleet.random.random_range(0..3)), part(10 + index)];
                        fleet.crash(vm, &parts, target(index), now);
                    }
                }
            }
            if tick % 8 != 0 {
                continue;
            }
            let crashed = target(fleet.random.random_range(0..targets));
            let common = part(fleet.random.random_range(0..3));
            if tick > 4_000 && fleet.random.random_bool(share) {
                let parts = [common, part(666)];
                if fleet.tables[vm].is_harmful(&parts, now) {
                    continue;
                }
                let is_due = crashes
                    .get(4)
                    .is_some_and(|at| time > at + STABILITY_WINDOW);
                late += u32::from(is_due && time > restarted_at[vm] + STABILITY_WINDOW);
                crashes.push(time);
                // Sound requests wait on the same target.
                let beside = [common, part(10 + fleet.random.random_range(0..50))];
                let other = fleet.random.random_range(0..vms);
                fleet.crash(other, &beside, crashed, now);
                fleet.crash(vm, &parts, crashed, now);
            } else {
                let parts = [common, part(10 + fleet.random.random_range(0..50))];
                sound += 1;
                if fleet.tables[vm].is_harmful(&parts, now) {
                    refused += 1;
                    continue;
                }
                fleet.tables[vm].record_answer(&parts, now);
            }
        }
        assert!(
            late <= 3,
            "seed {seed}: {late} late of {} crashes",
            crashes.len()
        );
        // The users accept that five and one in 500 of all requests are turned away wrongly.
        let limit = 5 + sound / 500;
        assert!(
            refused <= limit,
            "seed {seed}: {refused} of {sound} refused"
        );
    }
}
