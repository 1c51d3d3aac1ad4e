//! The node's side of the ledger: spends grants, keeps requests in order, reports to the owners.

use std::time::Duration;

use super::account_share::{AccountShare, ChargeWaiter, GRANT_LIMIT, OpenAsk, WaitEnd};
use super::report_queue::{PendingCharge, RETRY_DELAY, ReportQueue};
use super::wire::{GrantAnswer, GrantPart, LedgerKind, ReportAnswer, SettleItem};
use crate::clock::Timestamp;
use crate::collections::{FastMap, FastSet};
use crate::config::model::RateEntry;
use crate::ids::{AccountName, BootId, FencingToken};

/// An epoch that no owner has: its settlements are debited, but never refunded.
const NO_EPOCH: u64 = u64::MAX;

/// The result of a charge.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChargeOutcome {
    /// The request may run; its tokens are settled under this id.
    Admitted {
        charge: u64,
    },
    OverRate {
        retry_after: Duration,
    },
    OverBurst {
        burst: u64,
    },
    /// No owner could be reached in time.
    Unavailable,
}

/// A charge is decided at once or waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChargeStep {
    Done(ChargeOutcome),
    /// The outcome follows under this ticket.
    Waiting(u64),
}

/// How far the report of a charge is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReportProgress {
    Unconfirmed,
    /// Known to the owner of `epoch` since `at` on its clock.
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
    /// Set once the request has ended.
    refund: Option<i64>,
}

/// All accounts at this node.
#[derive(Debug)]
pub struct NodeShares {
    boot: u64,
    admission_limit: Duration,
    next_id: u64,
    accounts: FastMap<AccountName, AccountShare>,
    /// The accounts with grants, waiters or an open ask.
    active: FastSet<AccountName>,
    queues: FastMap<u32, ReportQueue>,
    charges: FastMap<u64, OpenCharge>,
    outcomes: Vec<(u64, ChargeOutcome)>,
    /// Whether the process is about to end, so that nothing is gathered or kept any more.
    is_stopping: bool,
}

impl NodeShares {
    /// A node's state at its start. Requests wait up to `admission_limit` for a reachable owner.
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
            is_stopping: false,
        }
    }

    /// From here on grants go back and reports are sent at once.
    pub(crate) fn stop(&mut self) {
        self.is_stopping = true;
    }

    /// Whether the owners know all charges and settlements of ended requests.
    pub(crate) fn is_reported(&self) -> bool {
        let mut charges = self.charges.values();
        let is_settled = charges.all(|open| open.refund.is_none());
        is_settled && self.queues.values().all(ReportQueue::is_idle)
    }

    /// Charges `need` tokens from cached grants, refuses, or queues the request.
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
        let share = self
            .accounts
            .entry(account.clone())
            .or_insert_with(|| AccountShare::new(partition, rate));
        share.rate = rate;
        if share.waiters.is_empty()
            && let Some(parts) = share.take(now, need)
        {
            return ChargeStep::Done(self.admit(now, account, partition, need, parts));
        }
        share.forget_old_shortage(now);
        let deadline = now + self.admission_limit;
        if let Some(retry_after) = share.refusal(now, need, deadline) {
            return ChargeStep::Done(ChargeOutcome::OverRate { retry_after });
        }
        let ticket = self.next_id;
        self.next_id += 1;
        share.waiters.push_back(ChargeWaiter {
            ticket,
            need,
            deadline,
            short_since: None,
        });
        share.start_rate_wait(now);
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

    /// Notes what an admitted request really used.
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
        self.settle_confirmed(now, charge);
    }

    /// Sends the settlement of a charge that has ended and that the owner knows.
    fn settle_confirmed(&mut self, now: Timestamp, charge: u64) {
        let Some(open) = self.charges.get(&charge) else {
            return;
        };
        if let (Some(refund), ReportProgress::Confirmed { epoch, at }) =
            (open.refund, open.progress)
        {
            let item = SettleItem {
                account: open.account.to_string(),
                epoch,
                charged_at: at,
                refund,
            };
            let queue = self.queues.entry(open.partition).or_default();
            queue.add_settle(now, item);
            self.charges.remove(&charge);
        }
    }

    /// The messages to send now. `owner_of` tells the fencing token of a partition's owner.
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
            if self.is_stopping {
                queue.hurry();
            }
            if let Some(fence) = owner_of(*partition)
                && fence >= queue.fence
                && let Some(report) = queue.due(now, *partition, self.boot, fence)
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
        let Some(share) = self.accounts.get_mut(account) else {
            return;
        };
        let partition = share.partition;
        let queue = self.queues.entry(partition).or_default();
        for grant in share.drop_grants(now, self.is_stopping) {
            queue.add_return(now, account.as_str(), grant);
        }
        if let Some(open) = share
            .ask
            .take_if(|open| now.since(open.first_sent) >= GRANT_LIMIT)
        {
            queue.add_return(now, account.as_str(), open.ask.id);
        }
        for (ticket, end) in share.end_waits(now, owner_of(partition).is_some()) {
            self.outcomes.push((ticket, end.into()));
        }
        if let Some(fence) = owner_of(partition) {
            queue.fence = queue.fence.max(fence);
            let fence = queue.fence.into();
            if let Some(open) = &mut share.ask {
                if open.ask.fence != fence || now.since(open.last_sent) >= RETRY_DELAY {
                    open.ask.fence = fence;
                    open.last_sent = now;
                    messages.push((partition, LedgerKind::Ask(open.ask.clone())));
                }
            } else if let Some(mut ask) = share.next_ask(now) {
                ask.account = account.to_string();
                ask.boot = self.boot;
                ask.id = self.next_id;
                ask.fence = fence;
                self.next_id += 1;
                messages.push((partition, LedgerKind::Ask(ask.clone())));
                share.ask = Some(OpenAsk {
                    ask,
                    first_sent: now,
                    last_sent: now,
                });
            }
        }
        if share.is_idle() {
            self.active.remove(account);
        }
    }

    /// Takes an answer of an owner.
    pub fn receive(&mut self, now: Timestamp, message: &LedgerKind) {
        match message {
            LedgerKind::Answer(answer) => self.receive_answer(now, answer),
            LedgerKind::Reported(answer) => self.receive_report(now, answer),
            LedgerKind::Ask(_) | LedgerKind::Report(_) => {}
        }
    }

    fn receive_answer(&mut self, now: Timestamp, answer: &GrantAnswer) {
        let Ok(account) = answer.account.parse::<AccountName>() else {
            return;
        };
        let Some(share) = self.accounts.get_mut(&account) else {
            return;
        };
        let queue = self.queues.entry(share.partition).or_default();
        let fence = FencingToken::from(answer.fence);
        let is_open = share
            .ask
            .as_ref()
            .is_some_and(|open| open.ask.id == answer.id);
        if fence < queue.fence || !is_open {
            return;
        }
        queue.fence = fence;
        if !share.accept(now, answer) && answer.granted > 0 {
            queue.add_return(now, account.as_str(), answer.id);
        }
        if answer.over_burst > 0 {
            let is_over = |waiter: &mut ChargeWaiter| waiter.need > answer.over_burst;
            if let Some(waiter) = share.waiters.pop_front_if(is_over) {
                let burst = answer.over_burst;
                let outcome = ChargeOutcome::OverBurst { burst };
                self.outcomes.push((waiter.ticket, outcome));
            }
        }
        self.serve_waiters(now, &account);
    }

    fn serve_waiters(&mut self, now: Timestamp, account: &AccountName) {
        while let Some(share) = self.accounts.get_mut(account) {
            let Some(waiter) = share.waiters.front() else {
                break;
            };
            let (ticket, need, partition) = (waiter.ticket, waiter.need, share.partition);
            let Some(parts) = share.take(now, need) else {
                share.start_rate_wait(now);
                break;
            };
            share.waiters.pop_front();
            let outcome = self.admit(now, account, partition, need, parts);
            self.outcomes.push((ticket, outcome));
        }
    }

    fn receive_report(&mut self, now: Timestamp, answer: &ReportAnswer) {
        let queue = self.queues.entry(answer.partition).or_default();
        let fence = FencingToken::from(answer.fence);
        if fence < queue.fence {
            return;
        }
        let Some(acknowledged) = queue.acknowledge(answer) else {
            return;
        };
        queue.fence = fence;
        for account in &answer.recalled {
            if let Ok(account) = account.parse::<AccountName>()
                && let Some(share) = self.accounts.get_mut(&account)
            {
                for grant in share.drop_grants(now, true) {
                    queue.add_return(now, account.as_str(), grant);
                    queue.hurry();
                }
            }
        }
        for account in acknowledged.raised {
            if let Ok(account) = account.parse::<AccountName>()
                && let Some(share) = self.accounts.get_mut(&account)
            {
                share.forget_refusal(now);
            }
        }
        for (charge, at) in acknowledged.charges {
            if let Some(open) = self.charges.get_mut(&charge) {
                let epoch = if at == 0 { NO_EPOCH } else { answer.epoch };
                open.progress = ReportProgress::Confirmed { epoch, at };
                self.settle_confirmed(now, charge);
            }
        }
    }

    /// The outcomes of waiting charges since the last call.
    pub fn take_outcomes(&mut self) -> Vec<(u64, ChargeOutcome)> {
        std::mem::take(&mut self.outcomes)
    }

    /// Whether time alone may bring something to do.
    pub fn is_idle(&self) -> bool {
        self.active.is_empty() && self.queues.values().all(ReportQueue::is_idle)
    }
}

impl From<WaitEnd> for ChargeOutcome {
    fn from(end: WaitEnd) -> Self {
        match end {
            WaitEnd::OverRate { retry_after } => Self::OverRate { retry_after },
            WaitEnd::Unavailable => Self::Unavailable,
        }
    }
}
