//! Serialization of a partition's exact state, for a handover at a graceful shutdown.

use std::collections::VecDeque;

use prost::Message;

use super::bucket::AccountBucket;
use super::history::HeadroomHistory;
use super::owner::{AccountLedger, OutstandingGrant, PartitionOwner};
use super::wire::{
    AccountState, GrantState, HeadroomState, PartitionState, ReportState, ResponseState,
};
use crate::clock::Timestamp;
use crate::collections::FastMap;
use crate::config::model::RateEntry;
use crate::ids::{FencingToken, TokenCount, TokenRate};

impl PartitionOwner {
    /// Serializes the state. The owner must not handle any message afterwards.
    pub fn export(&self, now: Timestamp) -> Vec<u8> {
        let responses = self.response_order.iter().filter_map(|(at, id)| {
            let (_, response) = self.responses.get(id)?;
            Some(ResponseState {
                boot: id.0,
                at: at.as_millis(),
                response: Some(response.clone()),
            })
        });
        let reports = self
            .reports
            .iter()
            .map(|(boot, (at, response))| ReportState {
                boot: *boot,
                response: Some(response.clone()),
                at: at.as_millis(),
            });
        let accounts = self.accounts.iter();
        let state = PartitionState {
            epoch: self.epoch.into(),
            fence: self.fence.into(),
            now: self.state_time(now).as_millis(),
            refill_from: self.refill_from.as_millis(),
            accounts: accounts
                .map(|(account, ledger)| account_state(account.as_str(), ledger))
                .collect(),
            responses: responses.collect(),
            reports: reports.collect(),
            starts_full: self.starts_full,
        };
        state.encode_to_vec()
    }

    /// Restores an exported state under the fencing token `fence`. Returns `None` if the bytes are
    /// malformed or the state was exported under the same or a newer token. The state's clock
    /// continues at the time of the export, so that the time in between adds no refill.
    pub fn import(bytes: &[u8], fence: FencingToken, now: Timestamp) -> Option<Self> {
        let state = PartitionState::decode(bytes).ok()?;
        if state.fence >= u64::from(fence) {
            return None;
        }
        let mut owner = Self::after_claim(fence, now);
        owner.epoch = state.epoch.into();
        owner.clock_offset_ms =
            i64::try_from(state.now).ok()? - i64::try_from(now.as_millis()).ok()?;
        owner.refill_from = Timestamp::from_millis(state.refill_from);
        owner.starts_full = state.starts_full;
        for account in state.accounts {
            let name = account.account.parse().ok()?;
            owner.accounts.insert(name, account_ledger(account));
        }
        for entry in state.responses {
            let response = entry.response?;
            let id = (entry.boot, response.id);
            owner.cache_response(Timestamp::from_millis(entry.at), id, response);
        }
        for entry in state.reports {
            let at = Timestamp::from_millis(entry.at);
            owner.reports.insert(entry.boot, (at, entry.response?));
        }
        Some(owner)
    }
}

fn account_state(account: &str, ledger: &AccountLedger) -> AccountState {
    let bucket = &ledger.bucket;
    let headroom = bucket.headroom.entries.iter();
    let grants = ledger.grants.iter();
    AccountState {
        account: account.to_owned(),
        rate: bucket.rate.tokens_per_second.into(),
        burst: bucket.rate.burst.into(),
        level: bucket.level,
        updated: bucket.updated.as_millis(),
        catch_up_until: ledger.catch_up_until.as_millis(),
        headroom: headroom
            .map(|(since, minimum)| HeadroomState {
                since: since.as_millis(),
                minimum: *minimum,
            })
            .collect(),
        grants: grants
            .map(|(id, grant)| GrantState {
                boot: id.0,
                id: id.1,
                unspent: grant.unspent,
                expires: grant.expires.as_millis(),
            })
            .collect(),
    }
}

fn account_ledger(account: AccountState) -> AccountLedger {
    let rate = RateEntry {
        tokens_per_second: TokenRate::per_second(account.rate),
        burst: TokenCount::new(account.burst),
    };
    let entries: VecDeque<_> = account
        .headroom
        .iter()
        .map(|entry| (Timestamp::from_millis(entry.since), entry.minimum))
        .collect();
    let grants: FastMap<_, _> = account
        .grants
        .iter()
        .map(|grant| {
            let outstanding_grant = OutstandingGrant {
                unspent: grant.unspent,
                expires: Timestamp::from_millis(grant.expires),
            };
            ((grant.boot, grant.id), outstanding_grant)
        })
        .collect();
    let outstanding = grants.values().map(|grant| grant.unspent).sum();
    let updated = Timestamp::from_millis(account.updated);
    let history = HeadroomHistory { entries };
    let bucket = AccountBucket::with_state(rate, account.level, outstanding, updated, history);
    let mut ledger = AccountLedger::new(bucket);
    ledger.grants = grants;
    ledger.catch_up_until = Timestamp::from_millis(account.catch_up_until);
    ledger
}
