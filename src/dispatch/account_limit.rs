//! Account rate limits that are enforced jointly by all entry VMs.
//!
//! Each VM keeps a copy of every account's token bucket. It charges the requests that it admits
//! itself and the usage that its peers report. Between two reports, a peer is charged at its average
//! rate; peers in other zones, which report rarely, at a higher one while this VM's own zone sees a
//! surge. A silent peer is charged at its share of the limit.
//!
//! Where the settings turn grants on, the VM that owns an account grants the others the units for their
//! requests ([`crate::dispatch::account_grants`]). The copies then decide only while there is no owner,
//! and a VM that gets no answer from it, or hears only a minority, uses its share alone.
//!
//! Load patterns: one account sends many times its rate through all VMs, also during a network
//! partition or right after a restart of all VMs; with many VMs, each sees few requests of an
//! account, in bursts, and a surge shows only in the sum over a zone.

use std::time::Duration;

use crate::clock::Timestamp;
use crate::collections::{FastMap, FastSet};
use crate::dispatch::account_bucket::AccountBucket;
use crate::dispatch::account_contacts::AccountContacts;
use crate::dispatch::account_grants::{AccountGrant, AskNumber, GrantAsk};
use crate::ids::{AccountName, BootId, NodeName};

/// The shortest wait given to a refused caller; sooner than this, no new report has arrived from
/// other VMs.
pub(crate) const MIN_WAIT: Duration = Duration::from_millis(100);
/// The longest wait given to a refused caller, in seconds.
pub(crate) const MAX_WAIT_S: f64 = 60.0;

/// The rate limit of one account.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct AccountLimit {
    /// Units per second; 0 means unlimited.
    pub(crate) rate: f64,
    pub(crate) burst: f64,
}

/// One VM's reported usage of an account.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct AccountUsage {
    /// Units that the VM has admitted since its process started.
    pub(crate) total: f64,
    /// The part of `total` that the account's owner has not granted. Unset by VMs of versions without
    /// grants.
    pub(crate) ungranted: Option<f64>,
    /// Units left in the VM's copy of the bucket.
    pub(crate) level: f64,
    /// The part of `total` that the VM's last two reports to this peer may not have included.
    pub(crate) recent: f64,
    /// Whether `level` reflects what was used before the VM's process started.
    pub(crate) is_level_learned: bool,
}

/// The VM that sent a usage report.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ReportSender<'a> {
    pub(crate) node: &'a NodeName,
    pub(crate) boot: BootId,
    /// Whether it is in this VM's availability zone.
    pub(crate) in_own_zone: bool,
    /// The interval until its next report to this VM.
    pub(crate) interval: Duration,
}

/// By which bucket a request is charged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ChargeRoute {
    /// This VM owns the account.
    Owner { tenure_from: Timestamp },
    /// Another VM owns the account.
    Grants,
    /// The owner has not answered in the time for which a request may wait.
    Unresponsive,
    /// No VM is known to own the account.
    Copy,
}

/// What a request was charged to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub(crate) enum ChargeSource {
    #[display("owner")]
    Owner,
    #[display("grant")]
    Grant,
    #[display("copy")]
    Copy,
    #[display("share")]
    Share,
}

impl ChargeSource {
    /// Whether the account's owner knows of the charge without a report.
    pub(crate) fn is_granted(self) -> bool {
        matches!(self, Self::Owner | Self::Grant)
    }
}

/// Whether a request is charged.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum ChargeDecision {
    Charged(ChargeView),
    /// The account must wait this long before the units are available.
    Rejected(Duration),
    /// The request waits for units from the owner.
    AwaitGrant,
}

/// What a VM knew when it charged a request, for the log.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(crate) struct ChargeView {
    /// Unset if the account has no limit.
    pub(crate) source: Option<ChargeSource>,
    /// Units left after the charge, in the owner's bucket or in this VM's copy.
    pub(crate) level: f64,
    /// The time since the oldest of the peers' last reports.
    pub(crate) report_age: Duration,
    /// The number of peers that have reported nothing, or not for a while.
    pub(crate) silent_peers: usize,
}

/// The peers that a report is sent to. Peers in the same zone get reports more often than others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReportScope {
    OwnZone,
    OtherZones,
}

/// The token buckets of all accounts with a limit.
#[derive(Debug, Default)]
pub(crate) struct AccountLimiter {
    /// Whether the whole system starts for the first time, so that no account has used anything.
    is_first_start: bool,
    /// Peers known by name only, which new buckets must include.
    expected_peers: FastSet<NodeName>,
    contacts: AccountContacts,
    /// Whether a VM that hears only a minority uses its share.
    has_shares: bool,
    buckets: FastMap<AccountName, AccountBucket>,
}

impl AccountLimiter {
    /// `is_first_start` says whether the whole system starts for the first time.
    pub(crate) fn new(is_first_start: bool) -> Self {
        Self {
            is_first_start,
            ..Self::default()
        }
    }

    /// Lets a VM that hears only a minority of the VMs use its share alone.
    pub(crate) fn with_shares(mut self, has_shares: bool) -> Self {
        self.has_shares = has_shares;
        self
    }

    /// Applies the limits of a new configuration. A lower burst takes effect at once.
    pub(crate) fn set_limits(
        &mut self,
        limits: impl IntoIterator<Item = (AccountName, AccountLimit)>,
        now: Timestamp,
    ) {
        let limits: FastMap<_, _> = limits.into_iter().filter(|(_, l)| l.rate > 0.0).collect();
        self.buckets
            .retain(|account, _| limits.contains_key(account));
        for (account, limit) in limits {
            let bucket = self.buckets.entry(account);
            let bucket = bucket.or_insert_with(|| {
                let mut bucket = AccountBucket::new(limit, now);
                if self.is_first_start {
                    bucket = bucket.with_initial_level();
                }
                for peer in &self.expected_peers {
                    bucket.expect_peer(peer, now);
                }
                bucket
            });
            bucket.set_limit(limit, now);
        }
    }

    /// Formats the limits in force for the log.
    pub(crate) fn limits_summary(&self) -> String {
        let limit = |(account, bucket): (&AccountName, &AccountBucket)| {
            format!("{account}={}+{}", bucket.limit.rate, bucket.limit.burst)
        };
        self.buckets.iter().map(limit).collect::<Vec<_>>().join(" ")
    }

    /// Charges a request by `route`, if its account has a limit.
    pub(crate) fn charge(
        &mut self,
        account: &AccountName,
        cost: f64,
        route: ChargeRoute,
        now: Timestamp,
    ) -> ChargeDecision {
        let is_minority = self.has_shares && self.contacts.is_minority(now);
        match self.buckets.get_mut(account) {
            Some(bucket) => bucket.charge(cost, route, is_minority, now),
            None => ChargeDecision::Charged(ChargeView::default()),
        }
    }

    /// Refunds the charge of a request that no target ran.
    pub(crate) fn refund(&mut self, account: &AccountName, cost: f64, charge: &ChargeView) {
        if let (Some(bucket), Some(source)) = (self.buckets.get_mut(account), charge.source) {
            bucket.refund(cost, source);
        }
    }

    /// Adds a request that waits for a grant. Returns its arrival number.
    pub(crate) fn add_waiting(&mut self, account: &AccountName, cost: f64) -> Option<u64> {
        let bucket = self.buckets.get_mut(account)?;
        Some(bucket.grants.add_waiting(cost))
    }

    pub(crate) fn remove_waiting(&mut self, account: &AccountName, arrival: u64) {
        if let Some(bucket) = self.buckets.get_mut(account) {
            bucket.grants.remove_waiting(arrival);
        }
    }

    /// Records an ask for the waiting requests of an account, if its owner may be asked now.
    pub(crate) fn begin_ask(
        &mut self,
        account: &AccountName,
        number: AskNumber,
        now: Timestamp,
    ) -> Option<GrantAsk> {
        let bucket = self.buckets.get_mut(account)?;
        let rate = bucket.own_rate;
        bucket.grants.begin_ask(number, rate, now)
    }

    /// Answers a peer's ask as the owner of the account since `tenure_from`.
    pub(crate) fn grant(
        &mut self,
        account: &AccountName,
        ask: GrantAsk,
        tenure_from: Timestamp,
        draw: f64,
        now: Timestamp,
    ) -> Option<AccountGrant> {
        // A minority would grant what the majority grants as well.
        if self.contacts.is_minority(now) {
            return None;
        }
        let bucket = self.buckets.get_mut(account)?;
        Some(bucket.grant(ask, tenure_from, draw, now))
    }

    /// Applies the owner's answer to an ask. Returns whether it was awaited.
    pub(crate) fn apply_grant(
        &mut self,
        account: &AccountName,
        number: AskNumber,
        grant: AccountGrant,
        now: Timestamp,
    ) -> bool {
        let bucket = self.buckets.get_mut(account);
        bucket.is_some_and(|bucket| bucket.grants.apply_answer(number, grant, now))
    }

    /// This VM's usage for a report to its peers. Unless `all` is set, only accounts used since the
    /// report before the last one are included, which allows for one lost report.
    pub(crate) fn usage_report(
        &mut self,
        scope: ReportScope,
        all: bool,
    ) -> Vec<(AccountName, AccountUsage)> {
        let buckets = self.buckets.iter_mut();
        let usages = buckets.filter_map(|(account, bucket)| {
            let usage = bucket.usage_report(scope, all)?;
            Some((account.clone(), usage))
        });
        usages.collect()
    }

    /// Records that a peer has sent any message.
    pub(crate) fn record_contact(&mut self, peer: &NodeName, now: Timestamp) {
        self.contacts.record_message(peer, now);
        for bucket in self.buckets.values_mut() {
            bucket.record_contact(peer, now);
        }
    }

    /// Records that a peer has reported. Accounts that the report did not mention have not been
    /// used by that peer.
    pub(crate) fn mark_peer_reported(&mut self, sender: &ReportSender<'_>, now: Timestamp) {
        self.expected_peers.remove(sender.node);
        self.contacts.record_report(sender, now);
        for bucket in self.buckets.values_mut() {
            bucket.mark_peer_reported(sender, now);
        }
    }

    /// Adds a peer that is known by name only. Until its first report it is charged at its share of
    /// the limit.
    pub(crate) fn expect_peer(&mut self, peer: &NodeName, now: Timestamp) {
        self.expected_peers.insert(peer.clone());
        self.contacts.expect(peer, now);
        for bucket in self.buckets.values_mut() {
            bucket.refill(now);
            bucket.expect_peer(peer, now);
        }
    }

    /// Applies a peer's usage of an account.
    pub(crate) fn apply_peer_usage(
        &mut self,
        sender: &ReportSender<'_>,
        account: &AccountName,
        usage: AccountUsage,
        now: Timestamp,
    ) {
        let Some(bucket) = self.buckets.get_mut(account) else {
            return;
        };
        bucket.apply_peer_usage(sender, usage, now);
    }

    /// Removes a peer that can no longer admit requests.
    pub(crate) fn remove_peer(&mut self, peer: &NodeName) {
        self.expected_peers.remove(peer);
        self.contacts.remove(peer);
        for bucket in self.buckets.values_mut() {
            bucket.remove_peer(peer);
        }
    }
}
