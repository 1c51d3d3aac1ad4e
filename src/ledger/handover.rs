//! The exact state of a partition as bytes, for a handover at a graceful shutdown.

use std::collections::VecDeque;

use prost::Message;

use super::bucket::AccountBucket;
use super::history::HeadroomHistory;
use super::owner::{AccountLedger, OpenGrant, PartitionOwner};
use super::wire::{
    AccountState, AnswerState, GrantState, HeadroomState, PartitionState, ReportState,
};
use crate::clock::Timestamp;
use crate::collections::FastMap;
use crate::config::model::RateEntry;
use crate::ids::{FencingToken, TokenCount, TokenRate};

impl PartitionOwner {
    /// The state in bytes. The owner must decide nothing afterwards.
    pub fn export(&self, now: Timestamp) -> Vec<u8> {
        let answers = self.answer_order.iter().filter_map(|(at, id)| {
            let (_, answer) = self.answers.get(id)?;
            Some(AnswerState {
                boot: id.0,
                at: at.as_millis(),
                answer: Some(answer.clone()),
            })
        });
        let reports = self.reports.iter().map(|(boot, (at, answer))| ReportState {
            boot: *boot,
            answer: Some(answer.clone()),
            at: at.as_millis(),
        });
        let accounts = self.accounts.iter();
        let state = PartitionState {
            epoch: self.epoch.into(),
            fence: self.fence.into(),
            now: self.local(now).as_millis(),
            refill_from: self.refill_from.as_millis(),
            accounts: accounts
                .map(|(account, ledger)| account_state(account.as_str(), ledger))
                .collect(),
            answers: answers.collect(),
            reports: reports.collect(),
            starts_full: self.starts_full,
        };
        state.encode_to_vec()
    }

    /// The owner under `fence` that continues an exported state. Time does not pass between the
    /// export and `now`, so what would have been refilled in between is not counted.
    pub fn import(bytes: &[u8], fence: FencingToken, now: Timestamp) -> Option<Self> {
        let state = PartitionState::decode(bytes).ok()?;
        if state.fence >= u64::from(fence) {
            return None;
        }
        let mut owner = Self::after_claim(fence, now);
        owner.epoch = state.epoch.into();
        owner.offset_ms = i64::try_from(state.now).ok()? - i64::try_from(now.as_millis()).ok()?;
        owner.refill_from = Timestamp::from_millis(state.refill_from);
        owner.starts_full = state.starts_full;
        for account in state.accounts {
            let name = account.account.parse().ok()?;
            owner.accounts.insert(name, account_ledger(account));
        }
        for entry in state.answers {
            let answer = entry.answer?;
            let id = (entry.boot, answer.id);
            owner.remember(Timestamp::from_millis(entry.at), id, answer);
        }
        for entry in state.reports {
            let at = Timestamp::from_millis(entry.at);
            owner.reports.insert(entry.boot, (at, entry.answer?));
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
        catches_up_until: ledger.catches_up_until.as_millis(),
        headroom: headroom
            .map(|(since, least)| HeadroomState {
                since: since.as_millis(),
                least: *least,
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
        .map(|entry| (Timestamp::from_millis(entry.since), entry.least))
        .collect();
    let grants: FastMap<_, _> = account
        .grants
        .iter()
        .map(|grant| {
            let open = OpenGrant {
                unspent: grant.unspent,
                expires: Timestamp::from_millis(grant.expires),
            };
            ((grant.boot, grant.id), open)
        })
        .collect();
    let outstanding = grants.values().map(|grant| grant.unspent).sum();
    let updated = Timestamp::from_millis(account.updated);
    let history = HeadroomHistory { entries };
    let bucket = AccountBucket::with_state(rate, account.level, outstanding, updated, history);
    let mut ledger = AccountLedger::new(bucket);
    ledger.grants = grants;
    ledger.catches_up_until = Timestamp::from_millis(account.catches_up_until);
    ledger
}
