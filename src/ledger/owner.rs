//! The owner's side of the ledger: the buckets of one partition under one lease.

use std::collections::VecDeque;
use std::time::Duration;

use super::bucket::{AccountBucket, MILLIS, millis_of};
use super::decision::decide;
use super::wire::{ChargeItem, GrantAnswer, GrantAsk, ReportAnswer, SettleItem, ShareReport};
use crate::clock::Timestamp;
use crate::collections::FastMap;
use crate::config::model::RateEntry;
use crate::ids::{AccountName, FencingToken};

/// How long unspent grants count as outstanding. Nodes spend a grant for 2 s; the rest covers
/// message delays and differences of clock rates.
pub(crate) const OUTSTANDING_LIMIT: Duration = Duration::from_secs(4);
/// How long a successor without the state waits before it refills: until no grant of the old
/// owner can be spent. The old owner's decisions end 0.5 s before the claim, or just before it in
/// a hold-over, and nodes spend a grant for 2 s from the sending of its ask. The other 0.2 s are
/// the margin for clocks that run up to 1% apart, which over these spans make 0.06 s.
pub(crate) const TAKEOVER_PAUSE: Duration = Duration::from_millis(2_200);
/// For how long after the pause requests may wait for the refill that an account lost by a
/// takeover. An account at 90% of its rate needs 5 s of refill at most, and 50 s to get them.
const CATCH_UP_SPAN: Duration = Duration::from_secs(60);
/// How long the answers to asks are kept for retries.
const ANSWER_SPAN: Duration = Duration::from_secs(10);
/// How long the last report of a process is remembered, so that a repeated one is noticed. Late
/// copies travel no longer than that.
const REPORT_SPAN: Duration = Duration::from_secs(600);
/// A node's time since an admission is shortened by this fraction, in case its clock runs fast.
const CLOCK_MARGIN: u64 = 16;

/// One ask: the process that sent it and its number there.
pub(crate) type AskId = (u64, u64);

/// What is unspent of a grant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct OpenGrant {
    pub(crate) unspent: i64,
    pub(crate) expires: Timestamp,
}

/// Tokens kept for a node that was told to wait, so that needs of other nodes don't overtake
/// it again and again.
#[derive(Debug, Clone, PartialEq, Eq)]
struct NeedReservation {
    boot: u64,
    tokens: i64,
    until: Timestamp,
}

/// The bucket of an account and its grants.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct AccountLedger {
    pub(crate) bucket: AccountBucket,
    pub(crate) grants: FastMap<AskId, OpenGrant>,
    /// Until when the level may be below what the account is due, because of a takeover.
    pub(crate) catches_up_until: Timestamp,
    pub(super) recalled_until: Timestamp,
    /// In the order of the first asks.
    reservations: Vec<NeedReservation>,
}

impl AccountLedger {
    pub(crate) fn new(bucket: AccountBucket) -> Self {
        Self {
            bucket,
            grants: FastMap::default(),
            catches_up_until: Timestamp::default(),
            recalled_until: Timestamp::default(),
            reservations: Vec::new(),
        }
    }

    /// The tokens that are kept for nodes that asked before the process `boot`.
    pub(super) fn reserved_before(&mut self, now: Timestamp, boot: u64) -> i64 {
        self.reservations
            .retain(|reservation| reservation.until > now);
        let ahead = self.reservations.iter();
        ahead
            .take_while(|reservation| reservation.boot != boot)
            .map(|reservation| reservation.tokens)
            .sum()
    }

    /// Keeps `tokens` for a process that was told to ask again until `until`, in its old place if
    /// it has one.
    pub(super) fn reserve(&mut self, boot: u64, tokens: i64, until: Timestamp) {
        let reservation = NeedReservation {
            boot,
            tokens,
            until,
        };
        let mut places = self.reservations.iter_mut();
        match places.find(|reservation| reservation.boot == boot) {
            Some(place) => *place = reservation,
            None => self.reservations.push(reservation),
        }
    }

    pub(super) fn end_reservation(&mut self, boot: u64) {
        self.reservations
            .retain(|reservation| reservation.boot != boot);
    }

    /// Follows time and the rate, and counts overdue grants as spent.
    fn advance(&mut self, now: Timestamp, rate: RateEntry) {
        self.bucket.refill(now, rate);
        // A full bucket holds all that the account is due, unless requests still wait since then.
        if self.bucket.level >= self.bucket.burst() && self.reservations.is_empty() {
            self.catches_up_until = Timestamp::default();
        }
        let mut overdue = 0;
        self.grants.retain(|_, grant| {
            let keep = grant.expires > now && grant.unspent > 0;
            overdue += if keep { 0 } else { grant.unspent };
            keep
        });
        if overdue > 0 {
            self.bucket.expire(now, overdue);
        }
    }

    /// Takes the admitted tokens out of the node's grants. False if this owner does not know all
    /// of them as outstanding: they were counted as spent, or belong to an owner that crashed.
    fn spend(&mut self, now: Timestamp, spent: Timestamp, boot: u64, item: &ChargeItem) -> bool {
        let mut all_known = true;
        for part in &item.parts {
            let tokens = millis_of(part.tokens);
            let grant = self.grants.get_mut(&(boot, part.grant));
            let known = grant.map_or(0, |grant| {
                let amount = tokens.min(grant.unspent);
                grant.unspent -= amount;
                amount
            });
            if known > 0 {
                self.bucket.spend(now, spent, known);
            }
            all_known &= known == tokens;
        }
        all_known
    }

    fn settle(&mut self, now: Timestamp, charged: Option<Timestamp>, refund: i64) {
        let amount = refund.saturating_mul(MILLIS);
        match charged {
            Some(charged) if amount > 0 => {
                self.bucket.refund(now, charged, amount);
            }
            _ if amount < 0 => self.bucket.debit(now, -amount),
            _ => {}
        }
    }
}

/// The accounts of one partition, as long as this node owns it.
#[derive(Debug, Clone)]
pub struct PartitionOwner {
    pub(crate) fence: FencingToken,
    /// The fencing token under which this state began. A handover keeps it, a takeover does not.
    pub(crate) epoch: FencingToken,
    /// Added to this node's clock. After a handover the state stays on its first owner's clock.
    pub(crate) offset_ms: i64,
    /// Accounts without a bucket start to refill here.
    pub(crate) refill_from: Timestamp,
    /// Whether nobody owned the partition before.
    pub(crate) starts_full: bool,
    pub(crate) accounts: FastMap<AccountName, AccountLedger>,
    pub(crate) answers: FastMap<AskId, (Timestamp, GrantAnswer)>,
    pub(crate) answer_order: VecDeque<(Timestamp, AskId)>,
    /// The answer to the last report of each process, and when it came.
    pub(crate) reports: FastMap<u64, (Timestamp, ReportAnswer)>,
}

impl PartitionOwner {
    /// The owner after a claim that was first seen at `now`.
    ///
    /// The claim at the start of the log has no predecessor. Every other claim starts at level 0,
    /// since the spending of the old owner is unknown.
    pub fn after_claim(fence: FencingToken, now: Timestamp) -> Self {
        let starts_full = fence == FencingToken::default();
        Self {
            fence,
            epoch: fence,
            offset_ms: 0,
            refill_from: if starts_full {
                now
            } else {
                now + TAKEOVER_PAUSE
            },
            starts_full,
            accounts: FastMap::default(),
            answers: FastMap::default(),
            answer_order: VecDeque::new(),
            reports: FastMap::default(),
        }
    }

    /// The owner of a partition that nobody owned before: its accounts start with their burst.
    pub(crate) fn with_full_accounts(mut self, now: Timestamp) -> Self {
        self.starts_full = true;
        self.refill_from = now;
        self
    }

    /// Decides on an ask; `None` if its sender knows a newer owner.
    pub fn grant(
        &mut self,
        now: Timestamp,
        rate: RateEntry,
        ask: &GrantAsk,
    ) -> Option<GrantAnswer> {
        if ask.fence > self.fence.into() {
            return None;
        }
        let now = self.local(now);
        let id = (ask.boot, ask.id);
        self.forget_answers(now);
        if let Some((_, answer)) = self.answers.get(&id) {
            let mut answer = answer.clone();
            answer.fence = self.fence.into();
            return Some(answer);
        }
        let fence = self.fence;
        let ledger = self.ledger(ask.account.parse().ok()?, now, rate);
        let mut answer = decide(ledger, now, ask);
        answer.fence = fence.into();
        self.remember(now, id, answer.clone());
        Some(answer)
    }

    /// Applies a report; `None` if its sender knows a newer owner or an older one.
    pub fn report(
        &mut self,
        now: Timestamp,
        rate_of: impl Fn(&AccountName) -> Option<RateEntry>,
        report: &ShareReport,
    ) -> Option<ReportAnswer> {
        if report.fence != u64::from(self.fence) {
            return None;
        }
        let now = self.local(now);
        if let Some((_, last)) = self.reports.get(&report.boot)
            && report.seq <= last.seq
        {
            let mut answer = last.clone();
            answer.fence = report.fence;
            return (report.seq == last.seq).then_some(answer);
        }
        let mut touched = Vec::new();
        let mut charged_at = Vec::with_capacity(report.charges.len());
        for item in &report.charges {
            let spent = now_less(now, item.elapsed_ms);
            let mut charged = None;
            if let Some((account, rate)) = known(&item.account, &rate_of) {
                let ledger = self.ledger(account.clone(), now, rate);
                charged = ledger.spend(now, spent, report.boot, item).then_some(spent);
                ledger.settle(now, charged, item.refund);
                touched.push(account);
            }
            charged_at.push(charged.map_or(0, Timestamp::as_millis));
        }
        for item in &report.settles {
            touched.extend(self.settle(now, &rate_of, item));
        }
        touched.extend(self.take_back(now, &rate_of, report));
        let answer = ReportAnswer {
            partition: report.partition,
            seq: report.seq,
            fence: self.fence.into(),
            epoch: self.epoch.into(),
            charged_at,
            recalled: self.recalled(now, touched),
        };
        let is_new = self
            .reports
            .insert(report.boot, (now, answer.clone()))
            .is_none();
        if is_new {
            self.reports
                .retain(|_, (time, _)| now.since(*time) <= REPORT_SPAN);
        }
        Some(answer)
    }

    fn settle(
        &mut self,
        now: Timestamp,
        rate_of: impl Fn(&AccountName) -> Option<RateEntry>,
        item: &SettleItem,
    ) -> Option<AccountName> {
        let (account, rate) = known(&item.account, rate_of)?;
        let same_epoch = item.epoch == u64::from(self.epoch);
        let charged = same_epoch.then(|| Timestamp::from_millis(item.charged_at));
        let ledger = self.ledger(account.clone(), now, rate);
        ledger.settle(now, charged, item.refund);
        Some(account)
    }

    fn take_back(
        &mut self,
        now: Timestamp,
        rate_of: impl Fn(&AccountName) -> Option<RateEntry>,
        report: &ShareReport,
    ) -> Vec<AccountName> {
        let mut touched = Vec::new();
        for item in &report.returns {
            let Some((account, rate)) = known(&item.account, &rate_of) else {
                continue;
            };
            let id = (report.boot, item.grant);
            let ledger = self.ledger(account.clone(), now, rate);
            if let Some(grant) = ledger.grants.remove(&id) {
                ledger.bucket.take_back(grant.unspent);
            }
            // An ask that arrives after its return must not be granted any more.
            let answer = GrantAnswer {
                account: item.account.clone(),
                id: item.grant,
                ..GrantAnswer::default()
            };
            self.remember(now, id, answer);
            touched.push(account);
        }
        touched
    }

    /// The accounts among `touched` whose unspent grants are needed elsewhere.
    fn recalled(&self, now: Timestamp, touched: Vec<AccountName>) -> Vec<String> {
        let is_recalled = |account: &AccountName| {
            let ledger = self.accounts.get(account);
            ledger.is_some_and(|ledger| ledger.recalled_until > now)
        };
        let mut recalled: Vec<String> = touched
            .into_iter()
            .filter(is_recalled)
            .map(String::from)
            .collect();
        recalled.sort();
        recalled.dedup();
        recalled
    }

    /// This node's time on the clock of the partition's state.
    pub(crate) fn local(&self, now: Timestamp) -> Timestamp {
        let millis = now.as_millis().saturating_add_signed(self.offset_ms);
        Timestamp::from_millis(millis)
    }

    fn ledger(
        &mut self,
        account: AccountName,
        now: Timestamp,
        rate: RateEntry,
    ) -> &mut AccountLedger {
        let (from, full) = (self.refill_from, self.starts_full);
        let ledger = self.accounts.entry(account).or_insert_with(|| {
            let burst = millis_of(rate.burst.into());
            let level = if full { burst } else { 0 };
            let mut ledger = AccountLedger::new(AccountBucket::new(rate, level, from));
            if !full {
                ledger.catches_up_until = from + CATCH_UP_SPAN;
            }
            ledger
        });
        ledger.advance(now, rate);
        ledger
    }

    pub(crate) fn remember(&mut self, now: Timestamp, id: AskId, answer: GrantAnswer) {
        if self.answers.insert(id, (now, answer)).is_none() {
            self.answer_order.push_back((now, id));
        }
    }

    fn forget_answers(&mut self, now: Timestamp) {
        while let Some((time, id)) = self.answer_order.front()
            && now.since(*time) > ANSWER_SPAN
        {
            self.answers.remove(id);
            self.answer_order.pop_front();
        }
    }
}

fn known(
    account: &str,
    rate_of: impl Fn(&AccountName) -> Option<RateEntry>,
) -> Option<(AccountName, RateEntry)> {
    let account: AccountName = account.parse().ok()?;
    let rate = rate_of(&account)?;
    Some((account, rate))
}

/// The time of an admission, not before it really was: less one millisecond for rounding and the
/// margin for a fast clock.
fn now_less(now: Timestamp, elapsed_ms: u64) -> Timestamp {
    let elapsed = elapsed_ms.saturating_sub(1);
    let elapsed = elapsed - elapsed / CLOCK_MARGIN;
    // Zero is kept for charges that are not refunded.
    Timestamp::from_millis(now.as_millis().saturating_sub(elapsed).max(1))
}
