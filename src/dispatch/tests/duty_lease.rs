use rand::{RngExt, SeedableRng};

use super::{at, ms};
use crate::dispatch::duty_lease::{DutyGrant, DutyHolder};
use crate::dispatch::ownership::{
    GroupGeneration, GroupMembership, PartitionCount, PartitionLease,
};
use crate::ids::{DutyName, FencingToken, StoreEra};

const LEASE_MS: u64 = 3_000;

fn grant(acquired: u64, current: u64) -> Option<DutyGrant> {
    Some(DutyGrant {
        acquired: acquired.into(),
        current: current.into(),
        time_left: ms(1_000),
    })
}

/// Guards against calls with a token that the service has rejected, and against a holder that can
/// never call again after a rejection although its generation has risen.
#[test]
fn rejected_token_is_not_used_again() {
    let mut holder = DutyHolder::new(ms(LEASE_MS));
    assert_eq!(holder.token(grant(4, 6), at(0)), Some(4.into()));
    holder.record_fenced(5.into());
    assert_eq!(holder.token(grant(4, 5), at(10)), None);
    assert_eq!(holder.token(grant(4, 6), at(10)), Some(6.into()));
    assert_eq!(holder.token(grant(9, 9), at(5_000)), Some(9.into()));
}

/// Guards against the order A, B, A within the lease time when the duty moves twice in a second.
#[test]
fn duty_that_comes_back_rests_after_the_last_call() {
    let mut holder = DutyHolder::new(ms(LEASE_MS));
    holder.record_call(grant(4, 4).unwrap(), at(100));
    assert_eq!(holder.token(grant(4, 5), at(200)), Some(4.into()));
    assert_eq!(holder.token(grant(6, 6), at(2_500)), None);
    assert_eq!(holder.token(grant(6, 6), at(3_100)), Some(6.into()));
    assert_eq!(holder.token(None, at(4_000)), None);
}

/// A VM of the replay. Its calls arrive at the service a little after they were sent.
struct ReplayVm {
    lease: PartitionLease,
    holder: DutyHolder,
    next_renewal: u64,
    /// Neither renews nor calls until then.
    suspended_until: u64,
    /// Can't renew until then.
    cut_until: u64,
}

impl ReplayVm {
    fn new(next_renewal: u64) -> Self {
        let count = PartitionCount::new(1);
        Self {
            lease: PartitionLease::new(count, ms(2_600), ms(1_650)),
            holder: DutyHolder::new(ms(LEASE_MS)),
            next_renewal,
            suspended_until: 0,
            cut_until: 0,
        }
    }
}

/// The calls that arrived at the service: time, VM and token.
#[derive(Default)]
struct ReplayService {
    calls: Vec<(u64, usize, FencingToken)>,
}

impl ReplayService {
    /// Checks the rules that hold without fencing by the service, which includes those with it.
    fn check(&self, seed: u64) {
        for pair in self.calls.windows(2) {
            let [(_, first, low), (time, second, high)] = [pair[0], pair[1]];
            assert!(low <= high, "seed {seed}: lower token at {time} ms");
            assert!(
                first == second || low < high,
                "seed {seed}: two VMs with one token at {time} ms"
            );
        }
        let mut changes = self.calls.windows(2).filter(|pair| pair[0].1 != pair[1].1);
        let mut left: [Option<u64>; 3] = [None; 3];
        for pair in &mut changes {
            left[pair[0].1] = Some(pair[0].0);
            if let Some(time) = left[pair[1].1] {
                let gap = pair[1].0 - time;
                assert!(gap >= LEASE_MS, "seed {seed}: A, B, A within {gap} ms");
            }
        }
    }
}

/// Guards against calls of two VMs at once, lower tokens after higher ones, a token of two VMs, and
/// the order A, B, A within the lease time, while partitions move at any moment, VMs are suspended
/// between their check and their next renewal, cut off from the store, and calls are rejected.
#[yare::parameterized(first = {1}, second = {2}, third = {3}, fourth = {4})]
fn replayed_moves_and_suspensions_keep_the_order(seed: u64) {
    const STEP_MS: u64 = 20;
    let duty: DutyName = "usage_report".parse().unwrap();
    let mut random = rand::rngs::SmallRng::seed_from_u64(seed);
    let mut total_calls = 0;
    for _ in 0..150 {
        let mut vms = [0, 150, 300].map(ReplayVm::new);
        let (mut holder, mut generation) = (0, 1);
        let mut service = ReplayService::default();
        for now in (0..30_000).step_by(STEP_MS as usize) {
            if random.random_bool(0.006) {
                holder = random.random_range(0..vms.len());
                generation += 1;
            }
            for (index, vm) in vms.iter_mut().enumerate() {
                if random.random_bool(0.001) {
                    vm.suspended_until = now + random.random_range(0..6_000);
                }
                if random.random_bool(0.001) {
                    vm.cut_until = now + random.random_range(0..6_000);
                }
                if now < vm.suspended_until {
                    continue;
                }
                if now >= vm.next_renewal && now >= vm.cut_until {
                    vm.next_renewal = now + 500;
                    let partitions = if holder == index { vec![0] } else { Vec::new() };
                    let sent_at = now.saturating_sub(random.random_range(0..200));
                    let membership = GroupMembership {
                        generation: GroupGeneration::new(StoreEra::default(), generation),
                        partitions,
                    };
                    vm.lease.renew(membership, at(sent_at), at(now));
                }
                let grant = vm.lease.duty_grant(&duty, at(now));
                let token = vm.holder.token(grant, at(now));
                if let (Some(grant), Some(token)) = (grant, token) {
                    service.calls.push((now, index, token));
                    vm.holder.record_call(grant, at(now));
                    if random.random_bool(0.01) {
                        vm.holder.record_fenced(token);
                    }
                }
            }
        }
        service.check(seed);
        total_calls += service.calls.len();
    }
    assert!(total_calls > 10_000, "only {total_calls} calls");
}
