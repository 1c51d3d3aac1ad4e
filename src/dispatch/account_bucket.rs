//! One VM's copy of an account's token bucket.

use std::time::Duration;

use crate::clock::Timestamp;
use crate::collections::FastMap;
use crate::dispatch::account_grants::{
    AccountGrant, GrantAsk, GrantOutlook, GrantQueue, OwnedBucket, needed_level, refill_time,
};
use crate::dispatch::account_limit::{
    AccountLimit, AccountUsage, ChargeDecision, ChargeRoute, ChargeSource, ChargeView, ReportScope,
    ReportSender,
};
use crate::dispatch::peer_usage::{PeerUsage, SILENCE_INTERVALS, update_average};
use crate::dispatch::zone_rate::{ZoneRate, excess_over_chance};
use crate::ids::NodeName;

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

/// The weight of the newest request in the moving average of request costs.
const COST_WEIGHT: f64 = 0.1;
/// What a VM that may be cut off uses by itself: its share of the level and of the rate.
#[derive(Debug, Clone, Copy)]
struct ShareBucket {
    level: f64,
    refilled_at: Timestamp,
}

#[derive(Debug)]
pub(crate) struct AccountBucket {
    pub(crate) limit: AccountLimit,
    /// At most the burst; negative when peers have used more than was estimated.
    pub(crate) level: f64,
    started_at: Timestamp,
    /// Whether `level` reflects what was used before this VM's process started, as far as its peers
    /// know. Until then it starts at zero and has this VM's use and the peers' totals subtracted, and
    /// peers do not adopt it.
    is_learned: bool,
    refilled_at: Timestamp,
    /// Units that this VM has admitted since its process started.
    own_total: f64,
    /// The part of `own_total` that the account's owner has not granted.
    ungranted: f64,
    /// The total in this VM's last two reports to its own zone, the older one first.
    own_zone_totals: [f64; 2],
    /// The same for reports to other zones.
    other_zones_totals: [f64; 2],
    /// The moving average of the cost of a request.
    mean_cost: f64,
    /// This VM's usual use in units per second.
    pub(crate) own_rate: f64,
    own_rate_measured_at: Timestamp,
    own_total_at_measurement: f64,
    peers: FastMap<NodeName, PeerUsage>,
    /// The usage of this VM's zone, whose VMs report often.
    zone_rate: ZoneRate,
    /// Set while this VM owns the account and has been asked for units.
    owned: Option<OwnedBucket>,
    pub(crate) grants: GrantQueue,
    /// Set while this VM may be cut off from the owner or from most VMs.
    share: Option<ShareBucket>,
}

impl AccountBucket {
    pub(crate) fn new(limit: AccountLimit, now: Timestamp) -> Self {
        Self {
            limit,
            level: 0.0,
            started_at: now,
            is_learned: false,
            refilled_at: now,
            own_total: 0.0,
            ungranted: 0.0,
            own_zone_totals: [0.0; 2],
            other_zones_totals: [0.0; 2],
            mean_cost: 0.0,
            own_rate: 0.0,
            own_rate_measured_at: now,
            own_total_at_measurement: 0.0,
            peers: FastMap::default(),
            zone_rate: ZoneRate::new(now),
            owned: None,
            grants: GrantQueue::default(),
            share: None,
        }
    }

    /// Fills the bucket to what all VMs together may use at the first start of the system.
    pub(crate) fn with_initial_level(mut self) -> Self {
        self.level = self.limit.burst * INITIAL_LEVEL_FRACTION;
        self
    }

    /// Adds a peer that is known by name only.
    pub(crate) fn expect_peer(&mut self, peer: &NodeName, now: Timestamp) {
        let expected = self.peers.entry(peer.clone());
        expected.or_insert_with(|| PeerUsage::expected(now));
    }

    pub(crate) fn remove_peer(&mut self, peer: &NodeName) {
        self.peers.remove(peer);
    }

    /// Records that a peer has sent any message.
    pub(crate) fn record_contact(&mut self, peer: &NodeName, now: Timestamp) {
        if let Some(known) = self.peers.get_mut(peer) {
            known.heard_at = now;
        }
    }

    /// Applies a new limit. A lower burst takes effect at once.
    pub(crate) fn set_limit(&mut self, limit: AccountLimit, now: Timestamp) {
        self.refill(now);
        self.limit = limit;
        self.level = self.level.min(limit.burst);
        if let Some(owned) = &mut self.owned {
            owned.add(0.0, limit);
        }
    }

    pub(crate) fn refill(&mut self, now: Timestamp) {
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
        let mut silent_use = 0.0;
        for peer in self.peers.values_mut() {
            let rate = if peer.is_silent(now) {
                let share = (peer.rate + base) / (used + base * members).max(1.0);
                let rate = self.limit.rate * share.min(1.0);
                if peer.is_unheard(now) {
                    peer.silent_use += elapsed * rate;
                    silent_use += elapsed * rate;
                }
                rate
            } else if peer.in_own_zone {
                peer.rate
            } else {
                peer.rate + surge
            };
            peer.estimated_use += elapsed * rate;
            self.level -= elapsed * rate;
        }
        self.level = self.level.min(self.limit.burst);
        if let Some(owned) = &mut self.owned {
            owned.add(elapsed * self.limit.rate - silent_use, self.limit);
        }
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

    /// Units that all VMs together may use beyond the level before they have learned it.
    fn unlearned_allowance(&self) -> f64 {
        match self.is_learned {
            true => 0.0,
            false => self.limit.burst * INITIAL_LEVEL_FRACTION,
        }
    }

    /// This VM's part of them.
    fn initial_allowance(&self) -> f64 {
        self.unlearned_allowance() / (self.peers.len() as f64 + 1.0)
    }

    /// This VM's part of the usage of all VMs.
    fn own_share(&self) -> f64 {
        let base = self.limit.rate * BASE_SHARE;
        let own = self.own_rate + base;
        let peers = self.peers.values().map(|peer| peer.rate + base);
        own / (own + peers.sum::<f64>())
    }

    /// Charges a request, or says why it isn't charged. `is_minority` is set if this VM hears only a
    /// minority of the VMs, which may be cut off from the rest.
    pub(crate) fn charge(
        &mut self,
        cost: f64,
        route: ChargeRoute,
        is_minority: bool,
        now: Timestamp,
    ) -> ChargeDecision {
        self.refill(now);
        self.mean_cost += (cost - self.mean_cost) * COST_WEIGHT;
        let decision = match route {
            ChargeRoute::Owner { .. } | ChargeRoute::Copy if is_minority => {
                self.charge_share(cost, now)
            }
            ChargeRoute::Owner { tenure_from } => self.charge_owned(cost, tenure_from),
            ChargeRoute::Grants => match self.grants.spend(cost, now) {
                GrantOutlook::Spent => Ok(ChargeSource::Grant),
                GrantOutlook::Rejected(wait) => Err(wait),
                GrantOutlook::Open => return ChargeDecision::AwaitGrant,
                GrantOutlook::Unresponsive => self.charge_share(cost, now),
            },
            ChargeRoute::Unresponsive => self.charge_share(cost, now),
            ChargeRoute::Copy => self.charge_copy(cost),
        };
        let source = match decision {
            Ok(source) => source,
            Err(wait) => return ChargeDecision::Rejected(wait),
        };
        if source != ChargeSource::Share {
            self.share = None;
        }
        if !source.is_granted() {
            self.ungranted += cost;
        }
        self.level -= cost;
        self.own_total += cost;
        self.zone_rate.record(cost);
        ChargeDecision::Charged(self.charge_view(source, now))
    }

    /// Charges the copy of the bucket, which estimates what the others have used since their reports.
    fn charge_copy(&self, cost: f64) -> Result<ChargeSource, Duration> {
        let left = self.level + self.initial_allowance() - self.unreported_surge();
        let needed = needed_level(cost, self.limit);
        if left <= needed {
            return Err(refill_time(needed, left, self.limit));
        }
        Ok(ChargeSource::Copy)
    }

    /// Charges this VM's share, which it may use although the others know nothing of it.
    fn charge_share(&mut self, cost: f64, now: Timestamp) -> Result<ChargeSource, Duration> {
        let own_share = self.own_share();
        let limit = AccountLimit {
            rate: self.limit.rate * own_share,
            burst: self.limit.burst * own_share,
        };
        let level = (self.level + self.unlearned_allowance()).max(0.0) * own_share;
        let share = self.share.get_or_insert(ShareBucket {
            level,
            refilled_at: now,
        });
        let refilled = now.since(share.refilled_at).as_secs_f64() * limit.rate;
        share.level = (share.level + refilled).min(limit.burst.max(share.level));
        share.refilled_at = now;
        let needed = needed_level(cost, self.limit);
        if share.level <= needed {
            return Err(refill_time(needed, share.level, limit));
        }
        share.level -= cost;
        Ok(ChargeSource::Share)
    }

    /// Starts the bucket of this tenure with what this VM knows of the account's use.
    fn own(&mut self, tenure_from: Timestamp) -> &mut OwnedBucket {
        let is_current = |owned: &OwnedBucket| owned.tenure_from == tenure_from;
        if !self.owned.as_ref().is_some_and(is_current) {
            self.owned = None;
        }
        let level = self.level + self.unlearned_allowance();
        self.owned
            .get_or_insert_with(|| OwnedBucket::new(tenure_from, level))
    }

    fn charge_owned(
        &mut self,
        cost: f64,
        tenure_from: Timestamp,
    ) -> Result<ChargeSource, Duration> {
        let limit = self.limit;
        let owned = self.own(tenure_from);
        let needed = needed_level(cost, limit);
        if owned.level <= needed {
            return Err(refill_time(needed, owned.level, limit));
        }
        owned.level -= cost;
        Ok(ChargeSource::Owner)
    }

    /// Answers a peer's ask as the account's owner.
    pub(crate) fn grant(
        &mut self,
        ask: GrantAsk,
        tenure_from: Timestamp,
        draw: f64,
        now: Timestamp,
    ) -> AccountGrant {
        self.refill(now);
        let limit = self.limit;
        self.own(tenure_from).grant(ask, limit, draw)
    }

    /// Refunds the charge of a request that no target ran.
    pub(crate) fn refund(&mut self, cost: f64, source: ChargeSource) {
        self.level = (self.level + cost).min(self.limit.burst);
        self.own_total -= cost;
        let reported = self.own_zone_totals.iter_mut();
        for reported in reported.chain(&mut self.other_zones_totals) {
            *reported = reported.min(self.own_total);
        }
        match source {
            ChargeSource::Owner => {
                if let Some(owned) = &mut self.owned {
                    owned.add(cost, self.limit);
                }
            }
            ChargeSource::Grant => self.grants.refund(cost),
            ChargeSource::Copy | ChargeSource::Share => self.ungranted -= cost,
        }
        if let (ChargeSource::Share, Some(share)) = (source, &mut self.share) {
            share.level += cost;
        }
    }

    /// This VM's usage for a report, if there was any since the report before the last one, or if
    /// `all` is set.
    pub(crate) fn usage_report(&mut self, scope: ReportScope, all: bool) -> Option<AccountUsage> {
        let reported = match scope {
            ReportScope::OwnZone => &mut self.own_zone_totals,
            ReportScope::OtherZones => &mut self.other_zones_totals,
        };
        let recent = self.own_total - reported[0];
        *reported = [reported[1], self.own_total];
        (recent != 0.0 || all).then_some(AccountUsage {
            total: self.own_total,
            ungranted: Some(self.ungranted),
            level: self.level,
            recent,
            is_level_learned: self.is_learned,
        })
    }

    /// Records that a peer has reported without mentioning the account, which it has not used.
    pub(crate) fn mark_peer_reported(&mut self, sender: &ReportSender<'_>, now: Timestamp) {
        self.refill(now);
        let unmentioned = |known: &&mut PeerUsage| known.last_report_at != now;
        if let Some(known) = self.peers.get_mut(sender.node).filter(unmentioned) {
            known.in_own_zone = sender.in_own_zone;
            known.report_interval = sender.interval;
            known.rate = update_average(known.rate, 0.0, now.since(known.last_report_at));
            (known.last_report_at, known.heard_at) = (now, now);
            known.is_expected = false;
            self.level = (self.level + known.estimated_use).min(self.limit.burst);
            known.estimated_use = 0.0;
            let silent_use = std::mem::take(&mut known.silent_use);
            if let Some(owned) = &mut self.owned {
                owned.add(silent_use, self.limit);
            }
        }
    }

    fn charge_view(&self, source: ChargeSource, now: Timestamp) -> ChargeView {
        let heard = self.peers.values().filter(|peer| !peer.is_silent(now));
        let ages = heard.map(|peer| now.since(peer.last_report_at));
        let (count, report_age) = ages.fold((0, Duration::ZERO), |(count, oldest), age| {
            (count + 1, oldest.max(age))
        });
        let owned = self.owned.as_ref();
        let owned = owned.filter(|_| source == ChargeSource::Owner);
        ChargeView {
            source: Some(source),
            level: owned.map_or(self.level, |owned| owned.level),
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
    /// Applies a peer's usage of the account.
    pub(crate) fn apply_peer_usage(
        &mut self,
        sender: &ReportSender<'_>,
        usage: AccountUsage,
        now: Timestamp,
    ) {
        self.refill(now);
        let AccountUsage { total, recent, .. } = usage;
        // A VM of an earlier version asks for no grants.
        let ungranted = usage.ungranted.unwrap_or(total);
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
        let ungranted_use = match before {
            Some(boot) if boot == sender.boot => ungranted - known.ungranted,
            Some(_) => ungranted,
            // The bucket of this VM's tenure includes what was used earlier.
            None => ungranted.min(recent),
        };
        known.ungranted = ungranted;
        let silent_use = std::mem::take(&mut known.silent_use);
        if let Some(owned) = &mut self.owned {
            owned.add(silent_use - ungranted_use, self.limit);
        }
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
        (known.last_report_at, known.heard_at) = (now, now);
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
