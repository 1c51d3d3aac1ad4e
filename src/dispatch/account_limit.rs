//! Account rate limits that are enforced jointly by all entry VMs, without a remote call on the
//! request path.
//!
//! Each VM keeps a copy of every account's token bucket. It charges the requests that it admits
//! itself and the usage that its peers report. Between two reports, a peer is charged at its
//! average rate; peers in other zones, which report rarely, at a higher one while this VM's own zone
//! sees a surge. A silent peer is charged at its share of the limit, so that VMs which cannot reach
//! each other stay within the limit together.
//!
//! Load patterns: one account sends many times its rate through all VMs, also during a network
//! partition or right after a restart of all VMs; with many VMs, each sees few requests of an
//! account, in bursts, and a surge shows only in the sum over a zone.

use std::time::Duration;

use crate::clock::Timestamp;
use crate::collections::{FastMap, FastSet};
use crate::dispatch::peer_usage::{PeerUsage, SILENCE_INTERVALS, update_average};
use crate::dispatch::zone_rate::{ZoneRate, excess_over_chance};
use crate::ids::{AccountName, BootId, NodeName};

/// The minimum time between refills of a bucket, because each refill sums over all peers.
const MIN_REFILL_INTERVAL: Duration = Duration::from_millis(10);
/// The interval at which this VM measures its own usage rate.
const OWN_RATE_INTERVAL: Duration = Duration::from_millis(225);
/// The fraction of the rate that is added to each VM's usage when shares are computed, so that an
/// idle VM also has a share.
const BASE_SHARE: f64 = 0.04;

/// The fraction of the burst that the VMs together may use before they have learned the level. It
/// lets a VM that has just started admit its first requests.
const INITIAL_LEVEL_FRACTION: f64 = 0.25;
/// The shortest time after which a bucket counts as learned although no peer has reported a learned
/// level, as after a restart of all VMs.
const MIN_LEARNING_TIME: Duration = Duration::from_secs(2);

/// The fraction of a request's cost that must be available. It is below 1 because small requests
/// keep the bucket low, and large ones would never find their full cost.
const MIN_COVERED_FRACTION: f64 = 0.3;
/// The weight of the newest request in the moving average of request costs.
const COST_WEIGHT: f64 = 0.1;
/// The fraction of the burst that suffices for any request, however large.
const SUFFICIENT_BURST_FRACTION: f64 = 0.5;

/// The shortest wait given to a refused caller; sooner than this, no new report has arrived from
/// other VMs.
const MIN_WAIT: Duration = Duration::from_millis(100);
/// The longest wait given to a refused caller, in seconds.
const MAX_WAIT_S: f64 = 60.0;

/// The rate limit of one account.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct AccountLimit {
    /// Units per second; 0 means unlimited.
    pub(crate) rate: f64,
    pub(crate) burst: f64,
}

/// One VM's reported usage of an account.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct AccountUsage {
    /// Units that the VM has admitted since its process started.
    pub(crate) total: f64,
    /// Units left in the VM's copy of the bucket.
    pub(crate) level: f64,
    /// The part of `total` that the VM's last two reports to this peer may not have included.
    pub(crate) recent: f64,
    /// Whether `level` reflects what was used before the VM's process started.
    pub(crate) is_level_learned: bool,
}

/// The VM that sent a usage report.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ReportSender<'a> {
    pub(crate) node: &'a NodeName,
    pub(crate) boot: BootId,
    /// Whether it is in this VM's availability zone.
    pub(crate) in_own_zone: bool,
    /// The interval until its next report to this VM.
    pub(crate) interval: Duration,
}

/// What a VM knew when it charged a request, for the log.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(crate) struct ChargeView {
    /// Units left in this VM's copy of the bucket, after the charge.
    pub(crate) level: f64,
    /// The time since the oldest of the peers' last reports.
    pub(crate) report_age: Duration,
    /// The number of peers that have reported nothing, or not for a while.
    pub(crate) silent_peers: usize,
}

/// The peers that a report is sent to. Peers in the same zone get reports more often than others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReportScope {
    OwnZone,
    OtherZones,
}

#[derive(Debug)]
struct AccountBucket {
    limit: AccountLimit,
    /// At most the burst; negative when peers have used more than was estimated.
    level: f64,
    started_at: Timestamp,
    /// Whether `level` reflects what was used before this VM's process started, as far as its peers
    /// know. Until then it starts at zero and has this VM's use and the peers' totals subtracted, and
    /// peers do not adopt it.
    is_learned: bool,
    refilled_at: Timestamp,
    /// Units that this VM has admitted since its process started.
    own_total: f64,
    /// The total in this VM's last two reports to its own zone, the older one first.
    own_zone_totals: [f64; 2],
    /// The same for reports to other zones.
    other_zones_totals: [f64; 2],
    /// The moving average of the cost of a request.
    mean_cost: f64,
    own_rate: f64,
    own_rate_measured_at: Timestamp,
    own_total_at_measurement: f64,
    peers: FastMap<NodeName, PeerUsage>,
    /// The usage of this VM's zone, whose VMs report often.
    zone_rate: ZoneRate,
}

impl AccountBucket {
    fn new(limit: AccountLimit, now: Timestamp) -> Self {
        Self {
            limit,
            level: 0.0,
            started_at: now,
            is_learned: false,
            refilled_at: now,
            own_total: 0.0,
            own_zone_totals: [0.0; 2],
            other_zones_totals: [0.0; 2],
            mean_cost: 0.0,
            own_rate: 0.0,
            own_rate_measured_at: now,
            own_total_at_measurement: 0.0,
            peers: FastMap::default(),
            zone_rate: ZoneRate::new(now),
        }
    }

    fn refill(&mut self, now: Timestamp) {
        let elapsed = now.since(self.refilled_at);
        if elapsed < MIN_REFILL_INTERVAL {
            return;
        }
        self.is_learned |= now.since(self.started_at) >= self.learning_time();
        let elapsed = elapsed.as_secs_f64();
        self.refilled_at = now;
        self.level += elapsed * self.limit.rate;
        let members = self.peers.len() as f64 + 1.0;
        let used: f64 = self.own_rate + self.peers.values().map(|peer| peer.rate).sum::<f64>();
        let base = self.limit.rate * BASE_SHARE;
        let surge = self.surge_per_vm();
        for peer in self.peers.values_mut() {
            let rate = if peer.is_silent(now) {
                let share = (peer.rate + base) / (used + base * members).max(1.0);
                self.limit.rate * share.min(1.0)
            } else if peer.in_own_zone {
                peer.rate
            } else {
                peer.rate + surge
            };
            peer.estimated_use += elapsed * rate;
            self.level -= elapsed * rate;
        }
        self.level = self.level.min(self.limit.burst);
        let others = self.peers.values().filter(|peer| !peer.in_own_zone);
        let report_interval = others.map(|peer| peer.report_interval).max();
        self.zone_rate
            .update(report_interval.unwrap_or_default(), now);
        let span = now.since(self.own_rate_measured_at);
        if span >= OWN_RATE_INTERVAL {
            let recent = (self.own_total - self.own_total_at_measurement) / span.as_secs_f64();
            self.own_rate = update_average(self.own_rate, recent, span);
            self.own_rate_measured_at = now;
            self.own_total_at_measurement = self.own_total;
        }
    }
}

impl AccountBucket {
    /// How long this VM waits for a learned level: long enough for two reports of each peer.
    fn learning_time(&self) -> Duration {
        let intervals = self.peers.values().map(|peer| peer.report_interval);
        let interval = intervals.max().unwrap_or_default();
        MIN_LEARNING_TIME.max(interval.mul_f64(SILENCE_INTERVALS))
    }

    /// Units that this VM may use beyond the level before it has learned it: its part of a fraction
    /// of the burst.
    fn initial_allowance(&self) -> f64 {
        if self.is_learned {
            return 0.0;
        }
        let members = self.peers.len() as f64 + 1.0;
        self.limit.burst * INITIAL_LEVEL_FRACTION / members
    }

    fn charge_view(&self, now: Timestamp) -> ChargeView {
        let heard = self.peers.values().filter(|peer| !peer.is_silent(now));
        let ages = heard.map(|peer| now.since(peer.last_report_at));
        let (count, report_age) = ages.fold((0, Duration::ZERO), |(count, oldest), age| {
            (count + 1, oldest.max(age))
        });
        ChargeView {
            level: self.level,
            report_age,
            silent_peers: self.peers.len() - count,
        }
    }

    /// Units per second that each VM in other zones probably admits beyond its reported rate, because
    /// this VM's zone sees a surge.
    fn surge_per_vm(&self) -> f64 {
        let others = self.peers.values().filter(|peer| !peer.in_own_zone);
        let (count, rate) = others.fold((0, 0.0), |(count, rate), peer| {
            (count + 1, rate + peer.rate)
        });
        if count == 0 {
            return 0.0;
        }
        let zone_vms = (self.peers.len() - count + 1) as f64;
        let reported = rate / count as f64 * zone_vms;
        self.zone_rate.surge(self.mean_cost, reported) / zone_vms
    }

    /// Units that the peers may have admitted beyond their average rates, assuming that all of them
    /// see the same surge as this VM has seen since its last reports.
    fn unreported_surge(&self) -> f64 {
        let unreported = (self.own_total - self.own_zone_totals[0]).max(0.0);
        let cost = self.mean_cost.max(1.0);
        let requests = unreported / cost;
        excess_over_chance(requests, 0.0, requests) * cost * self.peers.len() as f64
    }
}

impl AccountBucket {
    fn apply_peer_usage(&mut self, sender: &ReportSender<'_>, usage: AccountUsage, now: Timestamp) {
        let AccountUsage { total, recent, .. } = usage;
        let known = self.peers.entry(sender.node.clone());
        let known = known.or_insert_with(|| PeerUsage::expected(now));
        let was_expected = std::mem::take(&mut known.is_expected);
        let unreported = known.unreported_use(now);
        known.in_own_zone = sender.in_own_zone;
        known.report_interval = sender.interval;
        let before = known.boot.replace(sender.boot);
        let used = match before {
            Some(boot) if boot == sender.boot => total - known.reported_total,
            // The process before it ended without reporting its last usage.
            Some(_) => total + unreported,
            // Its earlier usage is reflected in the level that this VM has adopted or adopts now.
            None if was_expected && usage.is_level_learned => 0.0,
            // It started while no VM knew the level, so that only its total shows its usage.
            None if was_expected => total,
            // Its earlier reports did not mention the account, which it had not used for a while.
            None => recent,
        };
        if was_expected && usage.is_level_learned {
            known.start_rate(recent, sender.interval * 2);
        } else if was_expected {
            known.start_rate(used, now.since(known.last_report_at));
        } else {
            known.update_rate(used, now);
        }
        self.level = (self.level + known.estimated_use - used).min(self.limit.burst);
        known.estimated_use = 0.0;
        known.reported_total = total;
        known.last_report_at = now;
        if sender.in_own_zone {
            self.zone_rate.record(used.max(0.0));
        }
        if !usage.is_level_learned {
            return;
        }
        if !self.is_learned {
            // The peer has not heard of this VM's newest usage.
            let unreported = self.own_total - self.own_zone_totals[0];
            self.level = (usage.level - unreported.max(0.0)).min(self.limit.burst);
            self.is_learned = true;
        } else if was_expected {
            self.level = self.level.min(usage.level);
        }
    }
}

/// The token buckets of all accounts with a limit.
#[derive(Debug, Default)]
pub(crate) struct AccountLimiter {
    /// Whether the whole system starts for the first time, so that no account has used anything.
    is_first_start: bool,
    /// Peers known by name only, which new buckets must include.
    expected_peers: FastSet<NodeName>,
    buckets: FastMap<AccountName, AccountBucket>,
}

impl AccountLimiter {
    /// `is_first_start` says whether the whole system starts for the first time.
    pub(crate) fn new(is_first_start: bool) -> Self {
        Self {
            is_first_start,
            ..Self::default()
        }
    }

    /// Applies the limits of a new configuration. A lower burst takes effect at once.
    pub(crate) fn set_limits(
        &mut self,
        limits: impl IntoIterator<Item = (AccountName, AccountLimit)>,
        now: Timestamp,
    ) {
        let limits: FastMap<_, _> = limits.into_iter().filter(|(_, l)| l.rate > 0.0).collect();
        self.buckets
            .retain(|account, _| limits.contains_key(account));
        for (account, limit) in limits {
            let bucket = self.buckets.entry(account);
            let bucket = bucket.or_insert_with(|| {
                let mut bucket = AccountBucket::new(limit, now);
                if self.is_first_start {
                    bucket.level = limit.burst * INITIAL_LEVEL_FRACTION;
                }
                let expected = self.expected_peers.iter();
                let expected = expected.map(|peer| (peer.clone(), PeerUsage::expected(now)));
                bucket.peers.extend(expected);
                bucket
            });
            bucket.refill(now);
            bucket.limit = limit;
            bucket.level = bucket.level.min(limit.burst);
        }
    }

    /// Formats the limits in force for the log.
    pub(crate) fn limits_summary(&self) -> String {
        let limit = |(account, bucket): (&AccountName, &AccountBucket)| {
            format!("{account}={}+{}", bucket.limit.rate, bucket.limit.burst)
        };
        self.buckets.iter().map(limit).collect::<Vec<_>>().join(" ")
    }

    /// Charges a request, or returns how long the account must wait before `cost` units are
    /// available.
    pub(crate) fn charge(
        &mut self,
        account: &AccountName,
        cost: f64,
        now: Timestamp,
    ) -> Result<ChargeView, Duration> {
        let Some(bucket) = self.buckets.get_mut(account) else {
            return Ok(ChargeView::default());
        };
        bucket.refill(now);
        bucket.mean_cost += (cost - bucket.mean_cost) * COST_WEIGHT;
        let left = bucket.level + bucket.initial_allowance() - bucket.unreported_surge();
        // A request may overdraw the bucket; the deficit delays the requests after it.
        let needed =
            (cost * MIN_COVERED_FRACTION).min(bucket.limit.burst * SUFFICIENT_BURST_FRACTION);
        if left <= needed {
            let wait =
                Duration::from_secs_f64(((needed - left) / bucket.limit.rate).min(MAX_WAIT_S));
            return Err(wait.max(MIN_WAIT));
        }
        bucket.level -= cost;
        bucket.own_total += cost;
        bucket.zone_rate.record(cost);
        Ok(bucket.charge_view(now))
    }

    /// Refunds the charge of a request that no target ran.
    pub(crate) fn refund(&mut self, account: &AccountName, cost: f64) {
        if let Some(bucket) = self.buckets.get_mut(account) {
            bucket.level = (bucket.level + cost).min(bucket.limit.burst);
            bucket.own_total -= cost;
            let reported = bucket.own_zone_totals.iter_mut();
            for reported in reported.chain(&mut bucket.other_zones_totals) {
                *reported = reported.min(bucket.own_total);
            }
        }
    }

    /// This VM's usage for a report to its peers. Unless `all` is set, only accounts used since the
    /// report before the last one are included, which allows for one lost report.
    pub(crate) fn usage_report(
        &mut self,
        scope: ReportScope,
        all: bool,
    ) -> Vec<(AccountName, AccountUsage)> {
        let mut usages = Vec::new();
        for (account, bucket) in &mut self.buckets {
            let reported = match scope {
                ReportScope::OwnZone => &mut bucket.own_zone_totals,
                ReportScope::OtherZones => &mut bucket.other_zones_totals,
            };
            let recent = bucket.own_total - reported[0];
            *reported = [reported[1], bucket.own_total];
            if recent != 0.0 || all {
                let usage = AccountUsage {
                    total: bucket.own_total,
                    level: bucket.level,
                    recent,
                    is_level_learned: bucket.is_learned,
                };
                usages.push((account.clone(), usage));
            }
        }
        usages
    }

    /// Records that a peer has reported. Accounts that the report did not mention have not been
    /// used by that peer.
    pub(crate) fn mark_peer_reported(&mut self, sender: &ReportSender<'_>, now: Timestamp) {
        self.expected_peers.remove(sender.node);
        for bucket in self.buckets.values_mut() {
            bucket.refill(now);
            let unmentioned = |known: &&mut PeerUsage| known.last_report_at != now;
            if let Some(known) = bucket.peers.get_mut(sender.node).filter(unmentioned) {
                known.in_own_zone = sender.in_own_zone;
                known.report_interval = sender.interval;
                known.rate = update_average(known.rate, 0.0, now.since(known.last_report_at));
                known.last_report_at = now;
                known.is_expected = false;
                bucket.level = (bucket.level + known.estimated_use).min(bucket.limit.burst);
                known.estimated_use = 0.0;
            }
        }
    }

    /// Adds a peer that is known by name only. Until its first report it is charged at its share of
    /// the limit.
    pub(crate) fn expect_peer(&mut self, peer: &NodeName, now: Timestamp) {
        self.expected_peers.insert(peer.clone());
        for bucket in self.buckets.values_mut() {
            bucket.refill(now);
            let expected = bucket.peers.entry(peer.clone());
            expected.or_insert_with(|| PeerUsage::expected(now));
        }
    }

    /// Applies a peer's usage of an account.
    pub(crate) fn apply_peer_usage(
        &mut self,
        sender: &ReportSender<'_>,
        account: &AccountName,
        usage: AccountUsage,
        now: Timestamp,
    ) {
        let Some(bucket) = self.buckets.get_mut(account) else {
            return;
        };
        bucket.refill(now);
        bucket.apply_peer_usage(sender, usage, now);
    }

    /// Removes a peer that can no longer admit requests.
    pub(crate) fn remove_peer(&mut self, peer: &NodeName) {
        self.expected_peers.remove(peer);
        for bucket in self.buckets.values_mut() {
            bucket.peers.remove(peer);
        }
    }
}
