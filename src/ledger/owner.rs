//! The owner's side of the ledger: the token buckets of one partition under one lease.

use std::collections::VecDeque;
use std::time::Duration;

use super::bucket::{AccountBucket, MILLITOKENS_PER_TOKEN, millitokens};
use super::decision::decide_grant;
use super::wire::{
    ChargeItem, GrantRequest, GrantResponse, ReportResponse, SettlementItem, UsageReport,
};
use crate::clock::Timestamp;
use crate::collections::FastMap;
use crate::config::model::RateEntry;
use crate::ids::{AccountName, FencingToken};

/// How long an unspent grant counts as outstanding. Nodes spend a grant for at most 2 s; the rest
/// covers message delays and clock drift.
pub(crate) const OUTSTANDING_TIMEOUT: Duration = Duration::from_secs(4);
/// How long an owner that took over without the previous owner's state waits before it refills the
/// buckets: until no grant of the previous owner can be spent any more. The previous owner decides
/// until 0.5 s before the claim, or until just before it if it extended its lease during a log
/// outage, and nodes spend a grant for 2 s from the sending of the grant request. The other 0.2 s
/// are a margin for clocks that drift apart by up to 1%, which is 0.06 s over these periods.
pub(crate) const TAKEOVER_PAUSE: Duration = Duration::from_millis(2_200);
/// For how long after the pause requests may wait for the refill that an account lost in a
/// takeover. An account at 90% of its rate has lost at most 5 s of refill and needs 50 s to recover
/// it.
const CATCH_UP_PERIOD: Duration = Duration::from_secs(60);
/// How long responses to grant requests are kept for retries.
const RESPONSE_RETENTION: Duration = Duration::from_secs(10);
/// How long the response to a process's last report is kept, so that duplicates of the report are
/// not applied again. No duplicate is delayed for longer than this.
const REPORT_RETENTION: Duration = Duration::from_secs(600);
/// The reported time since an admission is shortened by one part in this many, because the node's
/// clock may run fast.
const CLOCK_MARGIN_DIVISOR: u64 = 16;

/// Identifies a grant and its request: the process that sent the request, and the request's id
/// there.
pub(crate) type GrantId = (u64, u64);

/// The unspent part of a grant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct OutstandingGrant {
    pub(crate) unspent: i64,
    pub(crate) expires: Timestamp,
}

/// Tokens reserved for a node that was told to wait, so that smaller needs of other nodes do not
/// starve it.
#[derive(Debug, Clone, PartialEq, Eq)]
struct TokenReservation {
    boot: u64,
    tokens: i64,
    until: Timestamp,
}

/// The bucket of an account with its outstanding grants and reservations.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct AccountLedger {
    pub(crate) bucket: AccountBucket,
    pub(crate) grants: FastMap<GrantId, OutstandingGrant>,
    /// The time until which the level may be lower than the account is entitled to, because of a
    /// takeover.
    pub(crate) catch_up_until: Timestamp,
    pub(super) recalled_until: Timestamp,
    /// In the order of the nodes' first requests.
    reservations: Vec<TokenReservation>,
}

impl AccountLedger {
    pub(crate) fn new(bucket: AccountBucket) -> Self {
        Self {
            bucket,
            grants: FastMap::default(),
            catch_up_until: Timestamp::default(),
            recalled_until: Timestamp::default(),
            reservations: Vec::new(),
        }
    }

    /// The tokens reserved for processes that come before `boot` in the order of reservations.
    pub(super) fn reserved_ahead_of(&mut self, now: Timestamp, boot: u64) -> i64 {
        self.reservations
            .retain(|reservation| reservation.until > now);
        let ahead = self.reservations.iter();
        ahead
            .take_while(|reservation| reservation.boot != boot)
            .map(|reservation| reservation.tokens)
            .sum()
    }

    /// Reserves `tokens` until `until` for a process that was told to retry. An existing
    /// reservation of the process is replaced in its place.
    pub(super) fn reserve(&mut self, boot: u64, tokens: i64, until: Timestamp) {
        let reservation = TokenReservation {
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

    pub(super) fn cancel_reservation(&mut self, boot: u64) {
        self.reservations
            .retain(|reservation| reservation.boot != boot);
    }

    /// Refills the bucket up to `now`, applies the configured rate, and counts expired grants as
    /// spent.
    fn advance(&mut self, now: Timestamp, rate: RateEntry) {
        self.bucket.refill(now, rate);
        // A full bucket holds everything the account is entitled to, unless requests from the
        // catch-up period are still waiting.
        if self.bucket.level >= self.bucket.burst() && self.reservations.is_empty() {
            self.catch_up_until = Timestamp::default();
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

    /// Subtracts the charged tokens from the node's grants. Returns false if not all of them are
    /// outstanding here: they were already counted as spent, or an owner that crashed granted them.
    fn spend(&mut self, now: Timestamp, spent: Timestamp, boot: u64, item: &ChargeItem) -> bool {
        let mut all_outstanding = true;
        for part in &item.parts {
            let tokens = millitokens(part.tokens);
            let grant = self.grants.get_mut(&(boot, part.grant));
            let outstanding = grant.map_or(0, |grant| {
                let amount = tokens.min(grant.unspent);
                grant.unspent -= amount;
                amount
            });
            if outstanding > 0 {
                self.bucket.spend(now, spent, outstanding);
            }
            all_outstanding &= outstanding == tokens;
        }
        all_outstanding
    }

    fn settle(&mut self, now: Timestamp, charged: Option<Timestamp>, refund: i64) {
        let amount = refund.saturating_mul(MILLITOKENS_PER_TOKEN);
        match charged {
            Some(charged) if amount > 0 => {
                self.bucket.refund(now, charged, amount);
            }
            _ if amount < 0 => self.bucket.debit(now, -amount),
            _ => {}
        }
    }
}

/// The accounts of one partition, at the node that owns it.
#[derive(Debug, Clone)]
pub struct PartitionOwner {
    pub(crate) fence: FencingToken,
    /// The fencing token under which this state was created. A handover keeps it, a takeover starts
    /// a new epoch.
    pub(crate) epoch: FencingToken,
    /// Added to this node's clock. After a handover the state stays on the clock of the owner that
    /// created it.
    pub(crate) clock_offset_ms: i64,
    /// The time from which new buckets are refilled.
    pub(crate) refill_from: Timestamp,
    /// Whether new buckets start full, because the partition had no owner before.
    pub(crate) starts_full: bool,
    pub(crate) accounts: FastMap<AccountName, AccountLedger>,
    pub(crate) responses: FastMap<GrantId, (Timestamp, GrantResponse)>,
    pub(crate) response_order: VecDeque<(Timestamp, GrantId)>,
    /// The response to the last report of each process, and the time of the report.
    pub(crate) reports: FastMap<u64, (Timestamp, ReportResponse)>,
}

impl PartitionOwner {
    /// The owner after a claim that was first seen at `now`.
    ///
    /// The first claim in the log has no predecessor, and its buckets start full. After any other
    /// claim they start at level 0, because the grants of the previous owner are unknown.
    pub fn after_claim(fence: FencingToken, now: Timestamp) -> Self {
        let starts_full = fence == FencingToken::default();
        Self {
            fence,
            epoch: fence,
            clock_offset_ms: 0,
            refill_from: if starts_full {
                now
            } else {
                now + TAKEOVER_PAUSE
            },
            starts_full,
            accounts: FastMap::default(),
            responses: FastMap::default(),
            response_order: VecDeque::new(),
            reports: FastMap::default(),
        }
    }

    /// Makes the buckets start full, for a partition that had no owner before.
    pub(crate) fn with_full_accounts(mut self, now: Timestamp) -> Self {
        self.starts_full = true;
        self.refill_from = now;
        self
    }

    /// Decides on a grant request. Returns `None` if its sender knows a newer owner.
    pub fn grant(
        &mut self,
        now: Timestamp,
        rate: RateEntry,
        request: &GrantRequest,
    ) -> Option<GrantResponse> {
        if request.fence > self.fence.into() {
            return None;
        }
        let now = self.state_time(now);
        let id = (request.boot, request.id);
        self.expire_responses(now);
        if let Some((_, response)) = self.responses.get(&id) {
            let mut response = response.clone();
            response.fence = self.fence.into();
            return Some(response);
        }
        let fence = self.fence;
        let ledger = self.ledger(request.account.parse().ok()?, now, rate);
        let mut response = decide_grant(ledger, now, request);
        response.fence = fence.into();
        self.cache_response(now, id, response.clone());
        Some(response)
    }

    /// Applies a report. Returns `None` if it is addressed to an older or a newer owner, or if it
    /// is older than the last one of its process.
    pub fn apply_report(
        &mut self,
        now: Timestamp,
        rate_of: impl Fn(&AccountName) -> Option<RateEntry>,
        report: &UsageReport,
    ) -> Option<ReportResponse> {
        if report.fence != u64::from(self.fence) {
            return None;
        }
        let now = self.state_time(now);
        if let Some((_, last)) = self.reports.get(&report.boot)
            && report.seq <= last.seq
        {
            let mut response = last.clone();
            response.fence = report.fence;
            return (report.seq == last.seq).then_some(response);
        }
        let mut changed = Vec::new();
        let mut charged_at = Vec::with_capacity(report.charges.len());
        for item in &report.charges {
            let spent = admission_time(now, item.elapsed_ms);
            let mut charged = None;
            if let Some((account, rate)) = account_with_rate(&item.account, &rate_of) {
                let ledger = self.ledger(account.clone(), now, rate);
                charged = ledger.spend(now, spent, report.boot, item).then_some(spent);
                ledger.settle(now, charged, item.refund);
                changed.push(account);
            }
            charged_at.push(charged.map_or(0, Timestamp::as_millis));
        }
        for item in &report.settlements {
            changed.extend(self.settle(now, &rate_of, item));
        }
        changed.extend(self.apply_returns(now, &rate_of, report));
        let response = ReportResponse {
            partition: report.partition,
            seq: report.seq,
            fence: self.fence.into(),
            epoch: self.epoch.into(),
            charged_at,
            recalled_accounts: self.recalled_accounts(now, changed),
        };
        let is_new_process = self
            .reports
            .insert(report.boot, (now, response.clone()))
            .is_none();
        if is_new_process {
            self.reports
                .retain(|_, (time, _)| now.since(*time) <= REPORT_RETENTION);
        }
        Some(response)
    }

    fn settle(
        &mut self,
        now: Timestamp,
        rate_of: impl Fn(&AccountName) -> Option<RateEntry>,
        item: &SettlementItem,
    ) -> Option<AccountName> {
        let (account, rate) = account_with_rate(&item.account, rate_of)?;
        let is_same_epoch = item.epoch == u64::from(self.epoch);
        let charged = is_same_epoch.then(|| Timestamp::from_millis(item.charged_at));
        let ledger = self.ledger(account.clone(), now, rate);
        ledger.settle(now, charged, item.refund);
        Some(account)
    }

    fn apply_returns(
        &mut self,
        now: Timestamp,
        rate_of: impl Fn(&AccountName) -> Option<RateEntry>,
        report: &UsageReport,
    ) -> Vec<AccountName> {
        let mut changed = Vec::new();
        for item in &report.returns {
            let Some((account, rate)) = account_with_rate(&item.account, &rate_of) else {
                continue;
            };
            let id = (report.boot, item.grant);
            let ledger = self.ledger(account.clone(), now, rate);
            if let Some(grant) = ledger.grants.remove(&id) {
                ledger.bucket.return_unspent(grant.unspent);
            }
            // A grant request that arrives after its return must not be granted any more.
            let response = GrantResponse {
                account: item.account.clone(),
                id: item.grant,
                ..GrantResponse::default()
            };
            self.cache_response(now, id, response);
            changed.push(account);
        }
        changed
    }

    /// The accounts among `changed` whose unspent grants are needed at other nodes.
    fn recalled_accounts(&self, now: Timestamp, changed: Vec<AccountName>) -> Vec<String> {
        let is_recalled = |account: &AccountName| {
            let ledger = self.accounts.get(account);
            ledger.is_some_and(|ledger| ledger.recalled_until > now)
        };
        let mut accounts: Vec<String> = changed
            .into_iter()
            .filter(is_recalled)
            .map(String::from)
            .collect();
        accounts.sort();
        accounts.dedup();
        accounts
    }

    /// Converts this node's time to the clock of the partition's state.
    pub(crate) fn state_time(&self, now: Timestamp) -> Timestamp {
        let millis = now.as_millis().saturating_add_signed(self.clock_offset_ms);
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
            let burst = millitokens(rate.burst.into());
            let level = if full { burst } else { 0 };
            let mut ledger = AccountLedger::new(AccountBucket::new(rate, level, from));
            if !full {
                ledger.catch_up_until = from + CATCH_UP_PERIOD;
            }
            ledger
        });
        ledger.advance(now, rate);
        ledger
    }

    pub(crate) fn cache_response(&mut self, now: Timestamp, id: GrantId, response: GrantResponse) {
        if self.responses.insert(id, (now, response)).is_none() {
            self.response_order.push_back((now, id));
        }
    }

    fn expire_responses(&mut self, now: Timestamp) {
        while let Some((time, id)) = self.response_order.front()
            && now.since(*time) > RESPONSE_RETENTION
        {
            self.responses.remove(id);
            self.response_order.pop_front();
        }
    }
}

fn account_with_rate(
    account: &str,
    rate_of: impl Fn(&AccountName) -> Option<RateEntry>,
) -> Option<(AccountName, RateEntry)> {
    let account: AccountName = account.parse().ok()?;
    let rate = rate_of(&account)?;
    Some((account, rate))
}

/// The time of an admission that a node reported `elapsed_ms` after it. The elapsed time is reduced
/// by one millisecond for rounding and by the margin for a fast clock, so that the result does not
/// precede the admission.
fn admission_time(now: Timestamp, elapsed_ms: u64) -> Timestamp {
    let elapsed = elapsed_ms.saturating_sub(1);
    let elapsed = elapsed - elapsed / CLOCK_MARGIN_DIVISOR;
    // Zero stands for a charge that can't be refunded.
    Timestamp::from_millis(now.as_millis().saturating_sub(elapsed).max(1))
}
