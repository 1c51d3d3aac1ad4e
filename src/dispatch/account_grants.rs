//! Grants of an account's units. One VM at a time, the owner of the account, keeps its bucket and
//! grants the others the units for the requests that have arrived at them.
//!
//! Load pattern: an account sends many times its rate through all VMs at once, or all of its requests
//! through one VM, or has a rate of a few requests a second that many VMs share. Copies of a bucket
//! that learn of each other's use from periodic reports fail in all three cases.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::dispatch::account_limit::{AccountLimit, MAX_WAIT_S, MIN_WAIT};

/// The fraction of a request's cost that must be available. It is below 1 because small requests
/// keep the bucket low, and large ones would never find their full cost.
const MIN_COVERED_FRACTION: f64 = 0.3;
/// The fraction of the burst that suffices for any request, however large.
const SUFFICIENT_BURST_FRACTION: f64 = 0.5;

/// How long granted units may be used, counted from the request for them. Units that are granted in
/// one window can be used this much later, in the next one.
const GRANT_LIFETIME: Duration = Duration::from_millis(500);
/// The time for whose usual use a VM asks in advance.
const AHEAD_TIME: Duration = Duration::from_millis(250);
/// The fraction of the burst that units in advance leave for requests that have arrived at other VMs.
const AHEAD_RESERVE_FRACTION: f64 = 0.5;
/// The time after which an unanswered ask is repeated, since datagrams may be lost.
pub(crate) const ASK_INTERVAL: Duration = Duration::from_millis(40);
/// The time without an answer after which the owner counts as unresponsive. A request waits no longer.
pub(crate) const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);
/// How long an unresponsive owner is not asked.
const UNRESPONSIVE_TIME: Duration = Duration::from_millis(500);
/// The longest time for which a rejected VM doesn't ask again, so that it notices a new owner or limit.
const MAX_REJECTED_TIME: Duration = Duration::from_secs(1);
/// The asks whose late answers still count.
const MAX_PENDING_ASKS: usize = 4;

/// The level that admits a request of this cost. The request may overdraw the bucket; the deficit
/// delays the requests after it.
pub(crate) fn needed_level(cost: f64, limit: AccountLimit) -> f64 {
    (cost * MIN_COVERED_FRACTION).min(limit.burst * SUFFICIENT_BURST_FRACTION)
}

/// The time until `level` has risen to `needed`.
pub(crate) fn refill_time(needed: f64, level: f64, limit: AccountLimit) -> Duration {
    let seconds = ((needed - level) / limit.rate).clamp(0.0, MAX_WAIT_S);
    Duration::from_secs_f64(seconds).max(MIN_WAIT)
}

/// Identifies an ask, so that a repeated or late answer to another one is ignored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::From, derive_more::Into)]
pub(crate) struct AskNumber(u64);

/// A VM's request to the owner for units of an account.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct GrantAsk {
    /// The sum of the costs of the waiting requests.
    pub(crate) wanted: f64,
    /// The cost of the first of them.
    pub(crate) first: f64,
    /// Units for requests that are expected soon.
    pub(crate) ahead: f64,
    /// Units of earlier grants that were not used in time.
    pub(crate) returned: f64,
}

/// The owner's answer to a [`GrantAsk`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct AccountGrant {
    pub(crate) units: f64,
    /// Set if `units` is less than what the waiting requests cost: when to ask again.
    pub(crate) retry_after: Option<Duration>,
}

/// An account's bucket on the VM that owns the account.
#[derive(Debug)]
pub(crate) struct OwnedBucket {
    /// The start of the tenure that the other fields belong to.
    pub(crate) tenure_from: Timestamp,
    /// At most the burst; negative after an overdraft.
    pub(crate) level: f64,
    /// Asks that were rejected, less those granted since.
    backlog: f64,
}

impl OwnedBucket {
    pub(crate) fn new(tenure_from: Timestamp, level: f64) -> Self {
        Self {
            tenure_from,
            level,
            backlog: 0.0,
        }
    }

    /// Adds units, which may be negative.
    pub(crate) fn add(&mut self, units: f64, limit: AccountLimit) {
        self.level = (self.level + units).min(limit.burst);
    }

    /// Answers an ask. `draw` is a random number from 0 to 1, which spreads the next asks of the VMs.
    pub(crate) fn grant(&mut self, ask: GrantAsk, limit: AccountLimit, draw: f64) -> AccountGrant {
        self.add(ask.returned, limit);
        let needed = needed_level(ask.first, limit);
        if ask.wanted > 0.0 && self.level <= needed {
            self.backlog += 1.0;
            return AccountGrant {
                units: 0.0,
                retry_after: Some(self.retry_delay(ask.first, limit, draw)),
            };
        }
        let units = ask.wanted.min(self.level.max(ask.first));
        self.level -= units;
        self.backlog = (self.backlog - 1.0).max(0.0);
        if units < ask.wanted {
            return AccountGrant {
                units,
                retry_after: Some(self.retry_delay(ask.first, limit, draw)),
            };
        }
        let spare = self.level - limit.burst * AHEAD_RESERVE_FRACTION;
        let ahead = ask.ahead.min(spare).max(0.0);
        self.level -= ahead;
        AccountGrant {
            units: units + ahead,
            retry_after: None,
        }
    }

    /// When a VM should ask again: once the level suffices and the VMs that were rejected before it
    /// have had their turn.
    fn retry_delay(&self, cost: f64, limit: AccountLimit, draw: f64) -> Duration {
        let needed = needed_level(cost, limit) + self.backlog * cost;
        let delay = refill_time(needed, self.level, limit);
        delay.mul_f64(0.75 + draw / 2.0)
    }
}

/// Units that may be used until their grant ends.
#[derive(Debug, Clone, Copy)]
struct HeldUnits {
    units: f64,
    until: Timestamp,
}

/// An ask that has not been answered.
#[derive(Debug, Clone, Copy)]
struct PendingAsk {
    number: AskNumber,
    wanted: f64,
    asked_at: Timestamp,
}

/// Whether a request may use granted units.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum GrantOutlook {
    /// The units were granted and are used now.
    Spent,
    /// The owner has rejected the account for this long.
    Rejected(Duration),
    /// The owner may be asked, or has been asked.
    Open,
    /// The owner does not answer.
    Unresponsive,
}

/// This VM's units of one account, and its requests that wait for more.
#[derive(Debug, Default)]
pub(crate) struct GrantQueue {
    held: Vec<HeldUnits>,
    /// Units that were not used in time, for the next ask.
    returned: f64,
    /// The latest asks; there are few, since older ones are dropped.
    asks: Vec<PendingAsk>,
    /// When the owner was first asked since its last answer.
    silent_since: Option<Timestamp>,
    unresponsive_until: Timestamp,
    /// Until when the owner is not asked again.
    rejected_until: Timestamp,
    /// When a caller should come back, by the owner's last rejection.
    retry_at: Timestamp,
    /// The costs of the waiting requests, in the order of their arrival.
    waiting: BTreeMap<u64, f64>,
    next_arrival: u64,
}

impl GrantQueue {
    /// Uses granted units for a request, or says whether it may wait for them.
    pub(crate) fn spend(&mut self, cost: f64, now: Timestamp) -> GrantOutlook {
        self.expire(now);
        let held: f64 = self.held.iter().map(|held| held.units).sum();
        if held >= cost {
            let mut left = cost;
            for held in &mut self.held {
                let used = held.units.min(left);
                held.units -= used;
                left -= used;
            }
            self.held.retain(|held| held.units > 0.0);
            return GrantOutlook::Spent;
        }
        if now < self.unresponsive_until {
            return GrantOutlook::Unresponsive;
        }
        if now < self.rejected_until {
            return GrantOutlook::Rejected(self.retry_at.since(now).max(MIN_WAIT));
        }
        if let Some(since) = self.silent_since
            && now.since(since) >= ANSWER_TIMEOUT
        {
            self.silent_since = None;
            self.unresponsive_until = now + UNRESPONSIVE_TIME;
            return GrantOutlook::Unresponsive;
        }
        GrantOutlook::Open
    }

    fn expire(&mut self, now: Timestamp) {
        let returned = &mut self.returned;
        self.held.retain(|held| {
            let is_valid = now < held.until;
            if !is_valid {
                *returned += held.units;
            }
            is_valid
        });
    }

    /// Adds units that were charged for a request that did not run.
    pub(crate) fn refund(&mut self, units: f64) {
        self.returned += units;
    }

    /// Adds a waiting request. Returns its arrival number, by which it is removed.
    pub(crate) fn add_waiting(&mut self, cost: f64) -> u64 {
        self.next_arrival += 1;
        self.waiting.insert(self.next_arrival, cost);
        self.next_arrival
    }

    pub(crate) fn remove_waiting(&mut self, arrival: u64) {
        self.waiting.remove(&arrival);
    }

    /// Records an ask for what the waiting requests lack and for the near future, if the owner may be
    /// asked now. `rate` is this VM's usual use in units per second.
    pub(crate) fn begin_ask(
        &mut self,
        number: AskNumber,
        rate: f64,
        now: Timestamp,
    ) -> Option<GrantAsk> {
        self.expire(now);
        let held: f64 = self.held.iter().map(|held| held.units).sum();
        let wanted = self.waiting.values().sum::<f64>() - held;
        let first = *self.waiting.values().next()?;
        let last_ask = self.asks.last();
        let is_too_early = last_ask.is_some_and(|ask| now.since(ask.asked_at) < ASK_INTERVAL);
        if wanted <= 0.0 || is_too_early || now < self.rejected_until {
            return None;
        }
        self.silent_since.get_or_insert(now);
        if self.asks.len() == MAX_PENDING_ASKS {
            self.asks.remove(0);
        }
        self.asks.push(PendingAsk {
            number,
            wanted,
            asked_at: now,
        });
        Some(GrantAsk {
            wanted,
            first: first.min(wanted),
            ahead: rate * AHEAD_TIME.as_secs_f64(),
            returned: std::mem::take(&mut self.returned),
        })
    }

    /// Applies the owner's answer. Returns false if the ask is unknown or was answered before.
    pub(crate) fn apply_answer(
        &mut self,
        number: AskNumber,
        grant: AccountGrant,
        now: Timestamp,
    ) -> bool {
        let Some(index) = self.asks.iter().position(|ask| ask.number == number) else {
            return false;
        };
        let ask = self.asks.remove(index);
        // Older asks were lost, or their answers were; the waiting requests are asked for again.
        self.asks.drain(..index);
        self.silent_since = None;
        self.unresponsive_until = now;
        if grant.units > 0.0 {
            self.held.push(HeldUnits {
                units: grant.units,
                until: ask.asked_at + GRANT_LIFETIME,
            });
        }
        if let Some(retry_after) = grant.retry_after.filter(|_| grant.units < ask.wanted) {
            self.rejected_until = now + retry_after.min(MAX_REJECTED_TIME);
            self.retry_at = now + retry_after;
        }
        true
    }
}
