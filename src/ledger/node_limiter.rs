//! The node's side of the ledger: spends grants, queues requests in order of arrival, and reports
//! charges to the owners.

use std::time::Duration;

use super::account_limiter::{
    AccountLimiter, ChargeWaiter, GRANT_LIFETIME, InFlightRequest, WaitFailure,
};
use super::report_queue::{PendingCharge, RETRY_DELAY, ReportQueue};
use super::wire::{GrantPart, GrantResponse, LedgerKind, ReportResponse, SettlementItem};
use crate::clock::Timestamp;
use crate::collections::{FastMap, FastSet};
use crate::config::model::RateEntry;
use crate::ids::{AccountName, BootId, FencingToken};

/// An epoch that no owner has. The owner debits settlements of this epoch, but refunds nothing.
const UNKNOWN_EPOCH: u64 = u64::MAX;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChargeOutcome {
    /// The request may run. Its actual use is settled under this id.
    Admitted {
        charge: u64,
    },
    OverRate {
        retry_after: Duration,
    },
    OverBurst {
        burst: u64,
    },
    /// The admission timeout passed without a decision by an owner.
    Unavailable,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChargeStep {
    Done(ChargeOutcome),
    /// The request is queued. [`NodeLimiter::take_outcomes`] returns its outcome with this ticket.
    Waiting(u64),
}

/// Whether the owner has confirmed the charge.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReportProgress {
    Unconfirmed,
    /// The owner of `epoch` counts the charge at `at` on its clock.
    Confirmed {
        epoch: u64,
        at: u64,
    },
}

#[derive(Debug, Clone)]
struct OpenCharge {
    account: AccountName,
    partition: u32,
    charged: u64,
    progress: ReportProgress,
    /// Charged minus used tokens, set when the request has ended.
    refund: Option<i64>,
}

/// The rate limits of all accounts at this node, without I/O.
#[derive(Debug)]
pub struct NodeLimiter {
    boot: u64,
    admission_limit: Duration,
    next_id: u64,
    accounts: FastMap<AccountName, AccountLimiter>,
    /// The accounts with grants, waiters or a grant request in flight.
    active: FastSet<AccountName>,
    queues: FastMap<u32, ReportQueue>,
    charges: FastMap<u64, OpenCharge>,
    outcomes: Vec<(u64, ChargeOutcome)>,
    /// Set at a planned shutdown: grants are no longer cached and reports are no longer batched.
    is_shutting_down: bool,
}

impl NodeLimiter {
    /// The state at the start of the process `boot`. Requests wait up to `admission_limit` for a
    /// reachable owner.
    pub fn new(boot: BootId, admission_limit: Duration) -> Self {
        Self {
            boot: boot.into(),
            admission_limit,
            next_id: 1,
            accounts: FastMap::default(),
            active: FastSet::default(),
            queues: FastMap::default(),
            charges: FastMap::default(),
            outcomes: Vec::new(),
            is_shutting_down: false,
        }
    }

    /// Makes the node return all grants and send reports immediately from now on.
    pub(crate) fn start_shutdown(&mut self) {
        self.is_shutting_down = true;
    }

    /// Whether all charges, and all settlements of ended requests, are confirmed by the owners.
    pub(crate) fn all_reported(&self) -> bool {
        let mut charges = self.charges.values();
        let is_settled = charges.all(|open| open.refund.is_none());
        is_settled && self.queues.values().all(ReportQueue::is_idle)
    }

    /// Charges `need` tokens to the cached grants, or refuses or queues the request.
    pub fn charge(
        &mut self,
        now: Timestamp,
        account: &AccountName,
        partition: u32,
        rate: RateEntry,
        need: u64,
    ) -> ChargeStep {
        let burst = rate.burst.into();
        if need > burst {
            return ChargeStep::Done(ChargeOutcome::OverBurst { burst });
        }
        let limiter = self
            .accounts
            .entry(account.clone())
            .or_insert_with(|| AccountLimiter::new(partition, rate));
        limiter.rate = rate;
        if limiter.waiters.is_empty()
            && let Some(parts) = limiter.spend(now, need)
        {
            return ChargeStep::Done(self.admit(now, account, partition, need, parts));
        }
        limiter.clear_expired_shortage(now);
        let deadline = now + self.admission_limit;
        if let Some(retry_after) = limiter.cached_refusal(now, need, deadline) {
            return ChargeStep::Done(ChargeOutcome::OverRate { retry_after });
        }
        let ticket = self.next_id;
        self.next_id += 1;
        limiter.waiters.push_back(ChargeWaiter {
            ticket,
            need,
            deadline,
            short_since: None,
        });
        limiter.start_rate_wait(now);
        self.active.insert(account.clone());
        ChargeStep::Waiting(ticket)
    }

    fn admit(
        &mut self,
        now: Timestamp,
        account: &AccountName,
        partition: u32,
        charged: u64,
        parts: Vec<GrantPart>,
    ) -> ChargeOutcome {
        let charge = self.next_id;
        self.next_id += 1;
        let open = OpenCharge {
            account: account.clone(),
            partition,
            charged,
            progress: ReportProgress::Unconfirmed,
            refund: None,
        };
        self.charges.insert(charge, open);
        let pending = PendingCharge {
            id: charge,
            at: now,
            account: account.to_string(),
            parts,
            refund: 0,
        };
        let queue = self.queues.entry(partition).or_default();
        queue.add_charge(now, pending);
        ChargeOutcome::Admitted { charge }
    }

    /// Settles the charge of an ended request, which used `used` tokens.
    pub fn settle(&mut self, now: Timestamp, charge: u64, used: u64) {
        let Some(open) = self.charges.get_mut(&charge) else {
            return;
        };
        let signed = |tokens: u64| i64::try_from(tokens).unwrap_or(i64::MAX);
        let refund = signed(open.charged) - signed(used);
        let queue = self.queues.entry(open.partition).or_default();
        if refund == 0 || queue.settle_pending(charge, refund) {
            self.charges.remove(&charge);
            return;
        }
        open.refund = Some(refund);
        self.queue_settlement(now, charge);
    }

    /// Queues the settlement of a charge if its request has ended and the owner has confirmed it.
    fn queue_settlement(&mut self, now: Timestamp, charge: u64) {
        let Some(open) = self.charges.get(&charge) else {
            return;
        };
        if let (Some(refund), ReportProgress::Confirmed { epoch, at }) =
            (open.refund, open.progress)
        {
            let item = SettlementItem {
                account: open.account.to_string(),
                epoch,
                charged_at: at,
                refund,
            };
            let queue = self.queues.entry(open.partition).or_default();
            queue.add_settlement(now, item);
            self.charges.remove(&charge);
        }
    }

    /// The messages to send now, with their partitions. `owner_of` returns the fencing token of a
    /// partition's current owner.
    pub fn poll(
        &mut self,
        now: Timestamp,
        owner_of: impl Fn(u32) -> Option<FencingToken>,
    ) -> Vec<(u32, LedgerKind)> {
        let mut messages = Vec::new();
        let active: Vec<AccountName> = self.active.iter().cloned().collect();
        for account in active {
            self.poll_account(now, &account, &owner_of, &mut messages);
        }
        for (partition, queue) in &mut self.queues {
            if self.is_shutting_down {
                queue.mark_urgent();
            }
            if let Some(fence) = owner_of(*partition)
                && fence >= queue.fence
                && let Some(report) = queue.next_report(now, *partition, self.boot, fence)
            {
                queue.fence = fence;
                messages.push((*partition, LedgerKind::Report(report)));
            }
        }
        messages
    }

    fn poll_account(
        &mut self,
        now: Timestamp,
        account: &AccountName,
        owner_of: impl Fn(u32) -> Option<FencingToken>,
        messages: &mut Vec<(u32, LedgerKind)>,
    ) {
        let Some(limiter) = self.accounts.get_mut(account) else {
            return;
        };
        let partition = limiter.partition;
        let queue = self.queues.entry(partition).or_default();
        for grant in limiter.remove_grants(now, self.is_shutting_down) {
            queue.add_return(now, account.as_str(), grant);
        }
        if let Some(in_flight) = limiter
            .in_flight
            .take_if(|in_flight| now.since(in_flight.first_sent) >= GRANT_LIFETIME)
        {
            queue.add_return(now, account.as_str(), in_flight.request.id);
        }
        for (ticket, failure) in limiter.fail_waiters(now, owner_of(partition).is_some()) {
            self.outcomes.push((ticket, failure.into()));
        }
        if let Some(fence) = owner_of(partition) {
            queue.fence = queue.fence.max(fence);
            let fence = queue.fence.into();
            if let Some(in_flight) = &mut limiter.in_flight {
                if in_flight.request.fence != fence || now.since(in_flight.last_sent) >= RETRY_DELAY
                {
                    in_flight.request.fence = fence;
                    in_flight.last_sent = now;
                    messages.push((
                        partition,
                        LedgerKind::GrantRequest(in_flight.request.clone()),
                    ));
                }
            } else if let Some(mut request) = limiter.next_request(now) {
                request.account = account.to_string();
                request.boot = self.boot;
                request.id = self.next_id;
                request.fence = fence;
                self.next_id += 1;
                messages.push((partition, LedgerKind::GrantRequest(request.clone())));
                limiter.in_flight = Some(InFlightRequest {
                    request,
                    first_sent: now,
                    last_sent: now,
                });
            }
        }
        if limiter.is_idle() {
            self.active.remove(account);
        }
    }

    /// Applies a response of an owner.
    pub fn receive(&mut self, now: Timestamp, message: &LedgerKind) {
        match message {
            LedgerKind::GrantResponse(response) => self.receive_grant_response(now, response),
            LedgerKind::ReportResponse(response) => self.receive_report_response(now, response),
            LedgerKind::GrantRequest(_) | LedgerKind::Report(_) => {}
        }
    }

    fn receive_grant_response(&mut self, now: Timestamp, response: &GrantResponse) {
        let Ok(account) = response.account.parse::<AccountName>() else {
            return;
        };
        let Some(limiter) = self.accounts.get_mut(&account) else {
            return;
        };
        let queue = self.queues.entry(limiter.partition).or_default();
        let fence = FencingToken::from(response.fence);
        let is_expected = limiter
            .in_flight
            .as_ref()
            .is_some_and(|in_flight| in_flight.request.id == response.id);
        if fence < queue.fence || !is_expected {
            return;
        }
        queue.fence = fence;
        if !limiter.apply_response(now, response) && response.granted > 0 {
            queue.add_return(now, account.as_str(), response.id);
        }
        if response.exceeded_burst > 0 {
            let is_over = |waiter: &mut ChargeWaiter| waiter.need > response.exceeded_burst;
            if let Some(waiter) = limiter.waiters.pop_front_if(is_over) {
                let burst = response.exceeded_burst;
                let outcome = ChargeOutcome::OverBurst { burst };
                self.outcomes.push((waiter.ticket, outcome));
            }
        }
        self.serve_waiters(now, &account);
    }

    fn serve_waiters(&mut self, now: Timestamp, account: &AccountName) {
        while let Some(limiter) = self.accounts.get_mut(account) {
            let Some(waiter) = limiter.waiters.front() else {
                break;
            };
            let (ticket, need, partition) = (waiter.ticket, waiter.need, limiter.partition);
            let Some(parts) = limiter.spend(now, need) else {
                limiter.start_rate_wait(now);
                break;
            };
            limiter.waiters.pop_front();
            let outcome = self.admit(now, account, partition, need, parts);
            self.outcomes.push((ticket, outcome));
        }
    }

    fn receive_report_response(&mut self, now: Timestamp, response: &ReportResponse) {
        let queue = self.queues.entry(response.partition).or_default();
        let fence = FencingToken::from(response.fence);
        if fence < queue.fence {
            return;
        }
        let Some(acknowledged) = queue.acknowledge(response) else {
            return;
        };
        queue.fence = fence;
        for account in &response.recalled_accounts {
            if let Ok(account) = account.parse::<AccountName>()
                && let Some(limiter) = self.accounts.get_mut(&account)
            {
                for grant in limiter.remove_grants(now, true) {
                    queue.add_return(now, account.as_str(), grant);
                    queue.mark_urgent();
                }
            }
        }
        for account in acknowledged.credited {
            if let Ok(account) = account.parse::<AccountName>()
                && let Some(limiter) = self.accounts.get_mut(&account)
            {
                limiter.expire_cached_refusal(now);
            }
        }
        for (charge, at) in acknowledged.charges {
            if let Some(open) = self.charges.get_mut(&charge) {
                let epoch = if at == 0 {
                    UNKNOWN_EPOCH
                } else {
                    response.epoch
                };
                open.progress = ReportProgress::Confirmed { epoch, at };
                self.queue_settlement(now, charge);
            }
        }
    }

    /// The outcomes of queued charges since the last call, by ticket.
    pub fn take_outcomes(&mut self) -> Vec<(u64, ChargeOutcome)> {
        std::mem::take(&mut self.outcomes)
    }

    /// Whether nothing is pending, so that [`Self::poll`] need not be called until the next charge
    /// or settlement.
    pub fn is_idle(&self) -> bool {
        self.active.is_empty() && self.queues.values().all(ReportQueue::is_idle)
    }
}

impl From<WaitFailure> for ChargeOutcome {
    fn from(failure: WaitFailure) -> Self {
        match failure {
            WaitFailure::OverRate { retry_after } => Self::OverRate { retry_after },
            WaitFailure::Unavailable => Self::Unavailable,
        }
    }
}
