//! Charges requests to their accounts, with units that the account's owner grants, and answers the
//! asks of other VMs.

use std::net::SocketAddr;
use std::time::Duration;

use super::gossip::new_message;
use super::shared::EntryShared;
use super::state::EntryState;
use super::wire::{GrantAnswer, GrantRequest, PeerMessage};
use crate::clock::Timestamp;
use crate::dispatch::account_grants::{
    ANSWER_TIMEOUT, ASK_INTERVAL, AccountGrant, AskNumber, GrantAsk,
};
use crate::dispatch::account_limit::{ChargeDecision, ChargeRoute, ChargeView};
use crate::ids::AccountName;

/// The longest time that a request waits for units, also while answers arrive and other requests use
/// what they grant.
const MAX_GRANT_WAIT: Duration = ANSWER_TIMEOUT.saturating_mul(2);

/// A request that waits for units of its account, as long as this value exists.
struct GrantInterest<'a> {
    shared: &'a EntryShared,
    account: &'a AccountName,
    arrival: Option<u64>,
}

impl<'a> GrantInterest<'a> {
    fn register(shared: &'a EntryShared, account: &'a AccountName, cost: f64) -> Self {
        let mut state = shared.state.borrow_mut();
        Self {
            shared,
            account,
            arrival: state.account_limiter.add_waiting(account, cost),
        }
    }
}

impl Drop for GrantInterest<'_> {
    fn drop(&mut self) {
        if let Some(arrival) = self.arrival {
            let mut state = self.shared.state.borrow_mut();
            state.account_limiter.remove_waiting(self.account, arrival);
        }
    }
}

impl EntryState {
    /// By which bucket a request of the account is charged now.
    fn charge_route(&self, account: &AccountName, now: Timestamp) -> ChargeRoute {
        if !self.settings.has_account_grants {
            return ChargeRoute::Copy;
        }
        let partition = self.lease.partition_count().partition_of_account(account);
        match self.lease.tenure_of_partition(partition, now) {
            Some(tenure) => ChargeRoute::Owner {
                tenure_from: tenure.from,
            },
            None if self.peers.owner_of(partition).is_some() => ChargeRoute::Grants,
            None => ChargeRoute::Copy,
        }
    }
}

/// Charges a request to its account. Returns how long the account must wait if it is over its rate.
pub(super) async fn charge(
    shared: &EntryShared,
    account: &AccountName,
    cost: f64,
) -> Result<ChargeView, Duration> {
    let started_at = shared.clock.now();
    let mut interest = None;
    loop {
        let now = shared.clock.now();
        let grant_received = shared.grant_received.notified();
        let decision = {
            let mut state = shared.state.borrow_mut();
            let route = match state.charge_route(account, now) {
                ChargeRoute::Grants if now.since(started_at) >= MAX_GRANT_WAIT => {
                    ChargeRoute::Unresponsive
                }
                route => route,
            };
            state.account_limiter.charge(account, cost, route, now)
        };
        match decision {
            ChargeDecision::Charged(view) => return Ok(view),
            ChargeDecision::Rejected(wait) => return Err(wait),
            ChargeDecision::AwaitGrant => {}
        }
        interest.get_or_insert_with(|| GrantInterest::register(shared, account, cost));
        ask(shared, account, now);
        let _ = tokio::time::timeout(ASK_INTERVAL, grant_received).await;
    }
}

/// Asks the account's owner for the units of the waiting requests, unless it was asked just now.
fn ask(shared: &EntryShared, account: &AccountName, now: Timestamp) {
    let mut state = shared.state.borrow_mut();
    let partition = state.lease.partition_count().partition_of_account(account);
    let Some(owner) = state.peers.owner_of(partition) else {
        return;
    };
    let number = AskNumber::from(rand::random::<u64>());
    let Some(ask) = state.account_limiter.begin_ask(account, number, now) else {
        return;
    };
    let request = GrantRequest {
        account: account.to_string(),
        number: number.into(),
        wanted: ask.wanted.ceil() as u64,
        first: ask.first.ceil() as u64,
        ahead: ask.ahead as u64,
        returned: ask.returned as u64,
    };
    let message = PeerMessage {
        grant_requests: vec![request],
        ..new_message(&state)
    };
    drop(state);
    shared.peer_socket.send(&message, owner);
}

/// Answers the asks of a peer, and applies its answers to those of this VM.
pub(super) fn handle_message(
    shared: &EntryShared,
    message: &PeerMessage,
    from: SocketAddr,
    now: Timestamp,
) {
    let answers = message.grant_requests.iter();
    let answers: Vec<_> = answers
        .filter_map(|request| answer(shared, request, now))
        .collect();
    if !answers.is_empty() {
        let reply = PeerMessage {
            grant_answers: answers,
            ..new_message(&shared.state.borrow())
        };
        shared.peer_socket.send(&reply, from);
    }
    for answer in &message.grant_answers {
        let Ok(account) = answer.account.parse::<AccountName>() else {
            continue;
        };
        let retry_after = answer.retry_ms;
        let grant = AccountGrant {
            units: answer.units as f64,
            retry_after: retry_after.map(|millis| Duration::from_millis(millis.into())),
        };
        let number = AskNumber::from(answer.number);
        let mut state = shared.state.borrow_mut();
        let limiter = &mut state.account_limiter;
        let is_new = limiter.apply_grant(&account, number, grant, now);
        drop(state);
        if is_new {
            shared.grant_received.notify_waiters();
        }
    }
}

/// Grants units of an account, if this VM owns it now.
fn answer(shared: &EntryShared, request: &GrantRequest, now: Timestamp) -> Option<GrantAnswer> {
    let account: AccountName = request.account.parse().ok()?;
    let mut state = shared.state.borrow_mut();
    if !state.settings.has_account_grants {
        return None;
    }
    let partition = state.lease.partition_count().partition_of_account(&account);
    let tenure = state.lease.tenure_of_partition(partition, now)?;
    let ask = GrantAsk {
        wanted: request.wanted as f64,
        first: request.first as f64,
        ahead: request.ahead as f64,
        returned: request.returned as f64,
    };
    let limiter = &mut state.account_limiter;
    let grant = limiter.grant(&account, ask, tenure.from, rand::random(), now)?;
    let millis = |time: Duration| u32::try_from(time.as_millis()).unwrap_or(u32::MAX);
    Some(GrantAnswer {
        account: request.account.clone(),
        number: request.number,
        units: grant.units as u64,
        retry_ms: grant.retry_after.map(millis),
    })
}
