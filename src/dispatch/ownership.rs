//! Decides which VM owns a target, which means that it alone may send orders to it: the VM to which
//! the store's consumer group assigns the target's partition.
//!
//! Load pattern: the store may move partitions at any moment and without a request, also while
//! their holder is cut off, frozen or restarts. A holder acts for less time after a renewal than
//! the next one waits, so that never two of them act. The store may also come back from a copy, with a
//! lower generation that is given out again to others.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::dispatch::directory::{TargetKey, stable_hash};
use crate::dispatch::duty_lease::DutyGrant;
use crate::ids::{AccountName, DutyName, FencingToken, StoreEra};

/// Subtracted from the lease time to allow for clock drift and for the latency of an order.
const LEASE_MARGIN: Duration = Duration::from_millis(400);
/// The fraction of a new holder's wait for which the previous holder may act after its last
/// renewal. The rest is for an order on its way.
const VALID_FRACTION: f64 = 0.9;
/// Renewals while a lease is valid; one of them may be lost.
const RENEWALS_PER_LEASE: u32 = 3;

/// The number of partitions that targets are distributed over.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub(crate) struct PartitionCount(u32);

impl PartitionCount {
    pub(crate) fn new(count: u32) -> Self {
        Self(count.max(1))
    }

    pub(crate) fn partition_of(self, target: TargetKey) -> u32 {
        self.partition_of_hash(target.into())
    }

    /// The partition whose holder performs a duty.
    pub(crate) fn partition_of_duty(self, duty: &DutyName) -> u32 {
        self.partition_of_hash(stable_hash(&["duty", duty.as_str()]))
    }

    /// The partition whose holder owns an account.
    pub(crate) fn partition_of_account(self, account: &AccountName) -> u32 {
        self.partition_of_hash(stable_hash(&["account", account.as_str()]))
    }

    fn partition_of_hash(self, hash: u64) -> u32 {
        u32::try_from(hash % u64::from(self.0)).unwrap_or(0)
    }
}

/// A generation of the group's assignments. The numbers rise with each change within an era, and may be
/// lower in the next one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, derive_more::Display)]
#[display("{era}:{number}")]
pub(crate) struct GroupGeneration {
    pub(crate) era: StoreEra,
    pub(crate) number: u64,
}

impl GroupGeneration {
    /// The bits of a token that hold the number. With the era before them, tokens of later eras are
    /// higher, and stay exact where JSON numbers are read as floating-point numbers.
    const NUMBER_BITS: u32 = 32;

    pub(crate) fn new(era: StoreEra, number: u64) -> Self {
        Self { era, number }
    }

    /// The number of changes since an earlier generation, unless the store was restored in between.
    fn changes_since(self, earlier: Self) -> Option<u64> {
        let is_same_era = self.era == earlier.era;
        let changes = self.number.checked_sub(earlier.number);
        changes.filter(|_| is_same_era)
    }

    /// The token for what is done under this generation, which rises with it.
    pub(crate) fn token(self) -> FencingToken {
        let number = self.number.min((1 << Self::NUMBER_BITS) - 1);
        FencingToken::from(u64::from(self.era) << Self::NUMBER_BITS | number)
    }
}

/// The store's response to a join.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct GroupMembership {
    pub(crate) generation: GroupGeneration,
    pub(crate) partitions: Vec<u32>,
}

/// The partitions that a VM was entitled to act for at a generation. While the store's generation
/// is the same, no partition has moved since, and the VM is still entitled after a restart.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct EntitlementRecord {
    pub(crate) generation: GroupGeneration,
    pub(crate) partitions: Vec<u32>,
}

/// An assigned partition.
#[derive(Debug, Clone, Copy)]
struct PartitionTenure {
    /// The time from which this VM may act for the partition.
    from: Timestamp,
    /// The generation in which this VM was first told that it has the partition.
    generation: GroupGeneration,
}

/// The time in which this VM owns a target, as far as it is known.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TenureSpan {
    pub(crate) from: Timestamp,
    /// The end unless the lease is renewed.
    pub(crate) until: Timestamp,
}

/// The partitions assigned to this VM.
#[derive(Debug)]
pub(crate) struct PartitionLease {
    count: PartitionCount,
    lifetime: Duration,
    /// How long a new holder waits before it acts, so that the previous holder's last order is at
    /// least that old.
    takeover_delay: Duration,
    generation: GroupGeneration,
    valid_until: Option<Timestamp>,
    /// When this VM learned of the generation.
    generation_since: Timestamp,
    held: BTreeMap<u32, PartitionTenure>,
    /// The last entitlement that was recorded in the store.
    recorded: Option<EntitlementRecord>,
    /// What this VM's previous process recorded; only the first renewal uses it.
    inherited: Option<EntitlementRecord>,
}

impl PartitionLease {
    pub(crate) fn new(count: PartitionCount, lifetime: Duration, takeover_delay: Duration) -> Self {
        Self {
            count,
            lifetime,
            takeover_delay,
            generation: GroupGeneration::default(),
            valid_until: None,
            generation_since: Timestamp::default(),
            held: BTreeMap::new(),
            recorded: None,
            inherited: None,
        }
    }

    /// Sets what this VM's previous process recorded.
    pub(crate) fn inherit(&mut self, record: EntitlementRecord) {
        self.inherited = Some(record);
    }

    /// The entitlement to record, if it has changed. While partitions move, nothing is recorded:
    /// the record would soon be void.
    pub(crate) fn unrecorded_entitlement(&self, now: Timestamp) -> Option<EntitlementRecord> {
        let record = EntitlementRecord {
            generation: self.generation,
            partitions: self.active_partitions(now),
        };
        let is_settled = now.since(self.generation_since) > self.takeover_delay;
        let is_new = self.recorded.as_ref() != Some(&record);
        (is_settled && is_new && !record.partitions.is_empty()).then_some(record)
    }

    pub(crate) fn mark_recorded(&mut self, record: EntitlementRecord) {
        self.recorded = Some(record);
    }

    pub(crate) fn generation(&self) -> GroupGeneration {
        self.generation
    }

    pub(crate) fn lifetime(&self) -> Duration {
        self.lifetime
    }

    /// How long this VM may act after it sent a renewal that succeeded.
    fn validity(&self) -> Duration {
        let before_takeover = self.takeover_delay.mul_f64(VALID_FRACTION);
        let before_expiry = self.lifetime.saturating_sub(LEASE_MARGIN);
        before_takeover.min(before_expiry)
    }

    pub(crate) fn renewal_interval(&self) -> Duration {
        self.validity() / RENEWALS_PER_LEASE
    }

    /// Renews the lease with the response to a join that was sent at `sent_at`.
    pub(crate) fn renew(
        &mut self,
        membership: GroupMembership,
        sent_at: Timestamp,
        now: Timestamp,
    ) {
        // Each change increments the generation. After none or one, a partition that is still held
        // cannot have been away and come back. After more, it may have been; but while this VM was
        // entitled to act, no other can have waited long enough to act in between.
        // After a restore, nothing is known of what happened in between.
        let changes = membership.generation.changes_since(self.generation);
        let is_same_era = membership.generation.era == self.generation.era;
        let is_valid = self.is_valid(now);
        let was_held = |tenure: &PartitionTenure| {
            let is_active = is_same_era && tenure.from <= now;
            changes == Some(0) || (is_valid && (changes == Some(1) || is_active))
        };
        let before = std::mem::take(&mut self.held);
        let inherited = self.inherited.take();
        let inherited = inherited.filter(|record| record.generation == membership.generation);
        let is_inherited = |partition: u32| {
            let mut records = inherited.iter();
            records.any(|record| record.partitions.contains(&partition))
        };
        if changes != Some(0) {
            self.generation_since = now;
        }
        self.generation = membership.generation;
        // The store starts the lease when the join arrives, which is no earlier than when it was
        // sent.
        self.valid_until = Some(sent_at + self.validity());
        for partition in membership.partitions {
            let tenure = before.get(&partition).copied().filter(was_held);
            let tenure = tenure.unwrap_or_else(|| PartitionTenure {
                from: match is_inherited(partition) {
                    true => now,
                    false => now + self.takeover_delay,
                },
                generation: membership.generation,
            });
            self.held.insert(partition, tenure);
        }
    }

    /// Gives up all partitions at a planned shutdown.
    pub(crate) fn release(&mut self) {
        self.held.clear();
        self.valid_until = None;
    }

    fn is_valid(&self, now: Timestamp) -> bool {
        self.valid_until.is_some_and(|until| now < until)
    }

    /// Whether a partition is assigned to this VM. It may not yet be allowed to act for it.
    pub(crate) fn holds(&self, partition: u32) -> bool {
        self.held.contains_key(&partition)
    }

    /// The fencing token for orders to `target`, if this VM may send them now.
    pub(crate) fn token_for(&self, target: TargetKey, now: Timestamp) -> Option<FencingToken> {
        self.token_for_partition(self.count.partition_of(target), now)
    }

    /// The time in which this VM owns `target`, if it does now.
    pub(crate) fn tenure_of(&self, target: TargetKey, now: Timestamp) -> Option<TenureSpan> {
        self.tenure_of_partition(self.count.partition_of(target), now)
    }

    /// The time in which this VM owns a partition, if it does now.
    pub(crate) fn tenure_of_partition(&self, partition: u32, now: Timestamp) -> Option<TenureSpan> {
        self.token_for_partition(partition, now)?;
        Some(TenureSpan {
            from: self.held.get(&partition)?.from,
            until: self.valid_until?,
        })
    }

    /// What a duty's calls may use now, if this VM performs the duty.
    pub(crate) fn duty_grant(&self, duty: &DutyName, now: Timestamp) -> Option<DutyGrant> {
        let partition = self.count.partition_of_duty(duty);
        let current = self.token_for_partition(partition, now)?;
        Some(DutyGrant {
            acquired: self.held.get(&partition)?.generation.token(),
            current,
            time_left: self.valid_until?.since(now),
        })
    }

    fn token_for_partition(&self, partition: u32, now: Timestamp) -> Option<FencingToken> {
        let tenure = self.held.get(&partition)?;
        (self.is_valid(now) && tenure.from <= now).then(|| self.generation.token())
    }

    /// The partitions that this VM may act for now.
    pub(crate) fn active_partitions(&self, now: Timestamp) -> Vec<u32> {
        let valid = self.is_valid(now);
        let active = self
            .held
            .iter()
            .filter(|(_, tenure)| valid && tenure.from <= now);
        active.map(|(partition, _)| *partition).collect()
    }

    pub(crate) fn partition_count(&self) -> PartitionCount {
        self.count
    }
}
