//! The queue of waiting requests: start-time fair queueing between accounts, in tokens served.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use super::event::{AcquireKey, AcquireRequest};
use crate::clock::Timestamp;
use crate::ids::{AccountName, TokenCount};

/// How far the virtual time of an account whose requests could not start may fall behind the
/// others. This bounds the credit with which it could starve them afterwards.
const CREDIT_LIMIT_TOKENS: u64 = 20_000;

#[derive(Debug, Clone)]
pub(super) struct WaitingRequest {
    pub(super) request: AcquireRequest,
    pub(super) since: Timestamp,
}

#[derive(Debug, Default)]
struct AccountQueue {
    /// Tokens served; advanced to the queue's clock after the account was idle.
    virtual_time: u64,
    /// Loads started for the account; advanced to the load clock after it needed none.
    load_virtual_time: u64,
    waiting: VecDeque<WaitingRequest>,
}

/// The fairness state that is passed on in a handover.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct QueueState {
    accounts: BTreeMap<AccountName, u64>,
    clock: u64,
}

/// The queues of all accounts.
#[derive(Debug, Default)]
pub(super) struct FairQueue {
    accounts: BTreeMap<AccountName, AccountQueue>,
    /// The virtual time of the account that was served last.
    clock: u64,
    load_clock: u64,
}

impl FairQueue {
    pub(super) fn push(&mut self, request: AcquireRequest, now: Timestamp) {
        let clock = self.clock;
        let queue = self.accounts.entry(request.account.clone()).or_default();
        if queue.waiting.is_empty() {
            queue.virtual_time = queue.virtual_time.max(clock);
        }
        queue.waiting.push_back(WaitingRequest {
            request,
            since: now,
        });
    }

    /// The accounts with waiting requests, in ascending order of virtual time.
    pub(super) fn accounts_by_service(&self) -> Vec<AccountName> {
        let waiting = self.accounts.iter().filter(|(_, q)| !q.waiting.is_empty());
        let mut accounts: Vec<_> = waiting.map(|(name, q)| (q.virtual_time, name)).collect();
        accounts.sort();
        accounts.into_iter().map(|(_, name)| name.clone()).collect()
    }

    pub(super) fn waiting_of(
        &self,
        account: &AccountName,
    ) -> impl Iterator<Item = &WaitingRequest> {
        let queue = self.accounts.get(account);
        queue.into_iter().flat_map(|queue| queue.waiting.iter())
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &WaitingRequest> {
        self.accounts
            .values()
            .flat_map(|queue| queue.waiting.iter())
    }

    pub(super) fn len(&self) -> usize {
        self.accounts
            .values()
            .map(|queue| queue.waiting.len())
            .sum()
    }

    pub(super) fn contains(&self, key: &AcquireKey) -> bool {
        self.iter().any(|waiting| waiting.request.key == *key)
    }

    pub(super) fn remove(&mut self, key: &AcquireKey) -> Option<WaitingRequest> {
        for queue in self.accounts.values_mut() {
            let found = queue.waiting.iter().position(|w| w.request.key == *key);
            if let Some(index) = found {
                return queue.waiting.remove(index);
            }
        }
        None
    }

    /// Adds `tokens` to the service of the account.
    pub(super) fn charge(&mut self, account: &AccountName, tokens: TokenCount) {
        let queue = self.accounts.entry(account.clone()).or_default();
        queue.virtual_time = queue
            .virtual_time
            .max(self.clock.saturating_sub(CREDIT_LIMIT_TOKENS));
        self.clock = self.clock.max(queue.virtual_time);
        queue.virtual_time += u64::from(tokens);
    }

    /// Refunds tokens that were charged but not used.
    pub(super) fn refund(&mut self, account: &AccountName, tokens: TokenCount) {
        if let Some(queue) = self.accounts.get_mut(account) {
            queue.virtual_time = queue.virtual_time.saturating_sub(tokens.into());
        }
    }

    /// The virtual time by which accounts take turns at loads. All accounts have the same weight.
    pub(super) fn load_virtual_time(&self, account: &AccountName) -> u64 {
        let queue = self.accounts.get(account);
        queue
            .map_or(0, |queue| queue.load_virtual_time)
            .max(self.load_clock)
    }

    /// Counts a load started for the account.
    pub(super) fn charge_load(&mut self, account: &AccountName) {
        let virtual_time = self.load_virtual_time(account);
        let queue = self.accounts.entry(account.clone()).or_default();
        queue.load_virtual_time = virtual_time + 1;
        // The clock is the virtual time at which this load starts: an account up to one load behind
        // keeps its position, and one further behind is advanced to the clock.
        self.load_clock = self.load_clock.max(virtual_time);
    }

    /// Removes the newest request of the account with the most waiting tokens.
    pub(super) fn pop_from_largest(&mut self) -> Option<WaitingRequest> {
        let tokens = |queue: &AccountQueue| -> u64 {
            let waiting = queue.waiting.iter();
            waiting.map(|w| u64::from(w.request.tokens)).sum()
        };
        let largest = self.accounts.values_mut().max_by_key(|queue| tokens(queue));
        largest?.waiting.pop_back()
    }

    /// Removes the requests whose deadline is not after `limit`.
    pub(super) fn take_expired(&mut self, limit: Timestamp) -> Vec<WaitingRequest> {
        let mut expired = Vec::new();
        for queue in self.accounts.values_mut() {
            if queue.waiting.iter().all(|w| w.request.deadline > limit) {
                continue;
            }
            let (expired_requests, kept): (Vec<_>, Vec<_>) = std::mem::take(&mut queue.waiting)
                .into_iter()
                .partition(|w| w.request.deadline <= limit);
            queue.waiting = kept.into();
            expired.extend(expired_requests);
        }
        expired
    }

    pub(super) fn export(&self) -> QueueState {
        let accounts = self.accounts.iter();
        QueueState {
            accounts: accounts
                .map(|(name, queue)| (name.clone(), queue.virtual_time))
                .collect(),
            clock: self.clock,
        }
    }

    pub(super) fn import(&mut self, state: QueueState) {
        self.clock = state.clock;
        for (name, virtual_time) in state.accounts {
            self.accounts.entry(name).or_default().virtual_time = virtual_time;
        }
    }
}
