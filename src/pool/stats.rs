//! Statistics of a pool's coordinator for the metrics.

use std::collections::VecDeque;
use std::time::Duration;

use super::coordinator::PoolCoordinator;
use super::event::AcquireRequest;
use crate::clock::Timestamp;
use crate::collections::FastMap;
use crate::ids::{AccountName, TargetName};

/// The sliding window over which the accounts' shares are measured.
const SHARE_WINDOW: Duration = Duration::from_secs(60);
/// The granularity in which the window moves.
const SLICE_LENGTH: Duration = Duration::from_secs(5);

/// How a request was started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct StartSample {
    /// Whether its generation finished loading while the request waited.
    pub(crate) waited_for_load: bool,
    /// The number of requests on its target, including itself.
    pub(crate) in_flight: u32,
}

/// The tokens counted for one account.
#[derive(Debug, Clone, Copy, Default)]
struct ShareTokens {
    served: f64,
    /// Tokens served to any account count in equal parts for that account and those that waited at
    /// the time.
    fair_share: f64,
}

#[derive(Debug)]
struct ShareSlice {
    started_at: Timestamp,
    accounts: FastMap<AccountName, ShareTokens>,
}

/// The statistics of one pool.
#[derive(Debug, Default)]
pub(super) struct PoolStats {
    /// The requests started by the current event.
    pub(super) starts: Vec<StartSample>,
    /// Oldest first.
    slices: VecDeque<ShareSlice>,
}

impl PoolStats {
    /// Records `tokens` as served to `account` while `others` also waited.
    fn record_service(
        &mut self,
        now: Timestamp,
        account: &AccountName,
        others: &[AccountName],
        tokens: f64,
    ) {
        let is_recent = |slice: &ShareSlice| now.since(slice.started_at) < SLICE_LENGTH;
        if !self.slices.back().is_some_and(is_recent) {
            let accounts = FastMap::default();
            self.slices.push_back(ShareSlice {
                started_at: now,
                accounts,
            });
        }
        let is_old = |slice: &mut ShareSlice| now.since(slice.started_at) >= SHARE_WINDOW;
        while self.slices.pop_front_if(is_old).is_some() {}
        let Some(slice) = self.slices.back_mut() else {
            return;
        };
        let fair_share = tokens / (others.len() + 1) as f64;
        for name in others {
            slice.accounts.entry(name.clone()).or_default().fair_share += fair_share;
        }
        let own = slice.accounts.entry(account.clone()).or_default();
        own.served += tokens;
        own.fair_share += fair_share;
    }

    /// The lowest ratio of served tokens to fair share of any account in the last minute, at most
    /// 1.
    fn worst_share(&self, now: Timestamp) -> f64 {
        let mut totals: FastMap<&AccountName, ShareTokens> = FastMap::default();
        let recent = |slice: &&ShareSlice| now.since(slice.started_at) < SHARE_WINDOW;
        for (account, tokens) in self.slices.iter().filter(recent).flat_map(|s| &s.accounts) {
            let total = totals.entry(account).or_default();
            total.served += tokens.served;
            total.fair_share += tokens.fair_share;
        }
        let with_share = totals.values().filter(|tokens| tokens.fair_share > 0.0);
        with_share
            .map(|t| t.served / t.fair_share)
            .fold(1.0, f64::min)
    }
}

impl PoolCoordinator {
    /// Records the start of a request, before its pin is counted.
    pub(super) fn record_start(
        &mut self,
        request: &AcquireRequest,
        since: Timestamp,
        target: &TargetName,
        generation: &str,
    ) {
        let generation = self.residency.get(generation);
        let loaded = generation.filter(|generation| !generation.inherited);
        let target = self.targets.get(target);
        self.stats.starts.push(StartSample {
            waited_for_load: loaded.is_some_and(|generation| generation.since > since),
            in_flight: target.map_or(0, |target| target.in_flight) + 1,
        });
        let mut others = self.queue.accounts_by_service();
        others.retain(|account| *account != request.account);
        let tokens = u64::from(request.tokens) as f64;
        self.stats
            .record_service(self.now, &request.account, &others, tokens);
    }

    /// The requests started by the last event.
    pub(crate) fn starts(&self) -> &[StartSample] {
        &self.stats.starts
    }

    /// The lowest ratio of served tokens to fair share of any account in the last minute.
    pub(crate) fn worst_account_share(&self, now: Timestamp) -> f64 {
        self.stats.worst_share(now)
    }
}
