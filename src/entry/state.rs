//! What one entry VM knows and has decided. One owner, the process; no state is shared with tasks
//! but through [`super::shared::EntryShared`].

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use super::settings::EntrySettings;
use super::wire::TargetHoldings;
use crate::clock::Timestamp;
use crate::collections::{FastMap, FastSet};
use crate::dispatch::allowance::{AccountAllowances, AccountLimit, ReportScope};
use crate::dispatch::choice::{ChoiceAsk, ChoiceView, TargetChoice};
use crate::dispatch::directory::{
    DirectoryChange, TargetDirectory, TargetEntry, TargetKey, TargetReport,
};
use crate::dispatch::load_planner::LoadPlanner;
use crate::dispatch::ownership::{PartitionCount, PartitionLease};
use crate::dispatch::peer_view::PeerView;
use crate::dispatch::residency::ResidencyTable;
use crate::dispatch::retry_budget::{RetryBudget, RetryLimit};
use crate::dispatch::routing::{AccountEntry, EngineSpec, RoutingConfig, ServiceEntry};
use crate::dispatch::strikes::StrikeTable;
use crate::ids::{AdapterName, BootId, LogOffset, NodeName, ServiceName, TargetName, ZoneName};

/// The lifetime of a partition's lease: three renewals may be lost.
const LEASE_LIFETIME: Duration = Duration::from_millis(2600);
/// Time between the last check of the configuration's age and the moment at which a request runs,
/// subtracted from the users' bound.
const KEY_AGE_MARGIN: Duration = Duration::from_millis(700);
/// The part of the least time between two owners' orders that a new owner waits: an owner that
/// gets a target back waits as well, so that its own orders are the whole time apart.
const TAKEOVER_PART: f64 = 0.55;
/// The part of the stop time after which a stopping VM takes no new stream: streams last seconds.
const STREAM_STOP_PART: f64 = 0.32;
/// The same for other requests, which end within their time limit of about a second.
const PLAIN_STOP_PART: f64 = 0.75;
/// The part of a target's connections that all entry VMs use together.
const CONNECTION_USE: f64 = 0.8;

/// The number of VMs up to which each one reads everything by itself: the calls to the store then
/// cost less than the messages that would replace them.
pub(crate) const SMALL_FLEET: usize = 12;
/// Each this many reports, one names all accounts, for VMs that have just started.
const FULL_REPORTS: u64 = 10;

/// Where a peer takes messages.
#[derive(Debug)]
struct PeerContact {
    address: SocketAddr,
    /// Unknown until the peer has told it.
    zone: Option<ZoneName>,
}

/// The state of one process.
#[derive(Debug)]
pub(crate) struct EntryState {
    pub(crate) settings: EntrySettings,
    pub(crate) boot: BootId,
    pub(crate) config: Option<Rc<RoutingConfig>>,
    /// The sending time of the last read that showed the configuration to be the newest.
    pub(crate) confirmed_at: Option<Timestamp>,
    /// The offset after the last applied record of the operator.
    pub(crate) operator_next: Option<LogOffset>,
    pub(crate) directory: TargetDirectory,
    pub(crate) residency: ResidencyTable,
    pub(crate) peers: PeerView,
    peer_book: FastMap<NodeName, PeerContact>,
    pub(crate) lease: PartitionLease,
    /// The targets that this VM gives orders to.
    pub(crate) planners: FastMap<TargetKey, LoadPlanner>,
    pub(crate) allowances: AccountAllowances,
    budgets: FastMap<ServiceName, RetryBudget>,
    pub(crate) strikes: StrikeTable,
    /// Requests of this VM in flight on each target.
    pub(crate) own_loads: FastMap<TargetKey, u32>,
    /// Adapters used on targets of other owners since the last report.
    pub(crate) uses: FastMap<TargetKey, FastSet<AdapterName>>,
    /// Messages with targets' records that this VM has sent to all peers.
    pub(crate) relays_sent: u64,
    /// The same for each peer, as far as they have arrived or been made up for.
    relays_taken: FastMap<(NodeName, BootId), u64>,
    /// Reports sent to this VM's zone.
    near_reports: u64,
    /// Reports sent to the other zones.
    far_reports: u64,
    /// Set once the process has been told to stop.
    pub(crate) stopping_since: Option<Timestamp>,
}

impl EntryState {
    pub(crate) fn new(settings: EntrySettings, boot: BootId) -> Self {
        let lifetime = LEASE_LIFETIME.max(settings.store.least_lifetime);
        let count = PartitionCount::new(settings.store.partitions);
        let lease = PartitionLease::new(
            count,
            lifetime,
            settings.bounds.owner_pause.mul_f64(TAKEOVER_PART),
        );
        Self {
            settings,
            boot,
            config: None,
            confirmed_at: None,
            operator_next: None,
            directory: TargetDirectory::default(),
            residency: ResidencyTable::default(),
            peers: PeerView::default(),
            peer_book: FastMap::default(),
            lease,
            planners: FastMap::default(),
            allowances: AccountAllowances::default(),
            budgets: FastMap::default(),
            strikes: StrikeTable::default(),
            own_loads: FastMap::default(),
            uses: FastMap::default(),
            relays_sent: 0,
            relays_taken: FastMap::default(),
            near_reports: 0,
            far_reports: 0,
            stopping_since: None,
        }
    }

    /// Whether the configuration is new enough to accept keys under it.
    pub(crate) fn is_fresh(&self, now: Timestamp) -> bool {
        let limit = self.settings.bounds.key_age.saturating_sub(KEY_AGE_MARGIN);
        self.confirmed_at
            .is_some_and(|time| now.since(time) < limit)
    }

    /// Whether a new request would probably be cut when the process ends.
    pub(crate) fn stops_before_end(&self, stream: bool, now: Timestamp) -> bool {
        let stop_time = self.settings.bounds.stop_time;
        let limit = if stream {
            stop_time.mul_f64(STREAM_STOP_PART)
        } else {
            stop_time.mul_f64(PLAIN_STOP_PART)
        };
        self.stopping_since
            .is_some_and(|since| now.since(since) > limit)
    }

    /// Puts a configuration in force, unless it is older than the present one.
    pub(crate) fn set_config(&mut self, config: RoutingConfig, now: Timestamp) -> bool {
        if self
            .config
            .as_ref()
            .is_some_and(|known| known.version >= config.version)
        {
            return false;
        }
        let limit = |account: &AccountEntry| {
            let limit = AccountLimit {
                rate: account.rate,
                burst: account.burst,
            };
            (account.name.clone(), limit)
        };
        self.allowances
            .set_limits(config.accounts.iter().map(limit), now);
        self.config = Some(Rc::new(config));
        true
    }

    /// Takes in a target's record; returns what it changed.
    pub(crate) fn apply_target(
        &mut self,
        name: &TargetName,
        report: Option<TargetReport>,
        now: Timestamp,
    ) -> DirectoryChange {
        let key = TargetKey::new(name);
        let change = self.directory.apply(name, report, now);
        match change {
            DirectoryChange::Removed => self.forget_target(key),
            DirectoryChange::Restarted => {
                self.residency.forget(key);
                if let Some(planner) = self.planners.get_mut(&key) {
                    planner.reset();
                }
            }
            _ => {}
        }
        if let Some(entry) = self.directory.get(key) {
            self.residency.note_report(key, &entry.report.models, now);
        }
        change
    }

    /// Drops the targets that are gone without a record of their removal: those that a complete
    /// list lacks, and those that did not come back after an outage of the store.
    pub(crate) fn drop_absent(
        &mut self,
        listed: Option<&FastSet<TargetKey>>,
        now: Timestamp,
    ) -> Vec<TargetKey> {
        let unlisted = listed.map(|listed| self.directory.retain_listed(listed, now));
        let mut keys = unlisted.unwrap_or_default();
        keys.extend(self.directory.expire(now));
        for key in &keys {
            self.forget_target(*key);
        }
        keys
    }

    fn forget_target(&mut self, key: TargetKey) {
        self.residency.forget(key);
        self.planners.remove(&key);
    }

    pub(crate) fn learn_peer(&mut self, node: &NodeName, address: SocketAddr) {
        match self.peer_book.get_mut(node) {
            Some(contact) if contact.address == address => {}
            Some(contact) => {
                tracing::info!(peer = %node, %address, "peers: new address");
                contact.address = address;
            }
            None => {
                tracing::info!(peer = %node, %address, "peers: new");
                let zone = None;
                self.peer_book
                    .insert(node.clone(), PeerContact { address, zone });
            }
        }
    }

    pub(crate) fn learn_peer_zone(&mut self, node: &NodeName, zone: ZoneName) {
        if let Some(contact) = self.peer_book.get_mut(node) {
            contact.zone = Some(zone);
        }
    }

    pub(crate) fn peer_addresses(&self) -> Vec<SocketAddr> {
        let contacts = self.peer_book.values();
        contacts.map(|contact| contact.address).collect()
    }

    /// The addresses of the peers in this VM's zone, or of those that are not known to be there.
    pub(crate) fn peer_addresses_in_zone(&self, own_zone: bool) -> Vec<SocketAddr> {
        let own = |contact: &&PeerContact| contact.zone.as_ref() == Some(&self.settings.zone);
        let contacts = self.peer_book.values();
        let contacts = contacts.filter(|contact| own(contact) == own_zone);
        contacts.map(|contact| contact.address).collect()
    }

    /// The sequence number of the next report, and whether it names all accounts.
    pub(crate) fn next_report(&mut self, scope: ReportScope) -> (u64, bool) {
        let count = match scope {
            ReportScope::OwnZone => &mut self.near_reports,
            ReportScope::OtherZones => &mut self.far_reports,
        };
        *count += 1;
        let full = count.is_multiple_of(FULL_REPORTS);
        (self.near_reports + self.far_reports, full)
    }

    /// A peer has sent `sent` messages with targets' records, of which the last arrives now if
    /// `arrives`. Returns whether one was lost on its way here.
    pub(crate) fn is_relay_lost(
        &mut self,
        (node, boot): (&NodeName, BootId),
        sent: u64,
        arrives: bool,
    ) -> bool {
        let before = sent.saturating_sub(u64::from(arrives));
        let taken = self.relays_taken.entry((node.clone(), boot));
        let taken = taken.or_insert(before);
        let lost = *taken < before;
        *taken = sent.max(*taken);
        lost
    }

    pub(crate) fn is_small_fleet(&self) -> bool {
        self.peers.members() <= SMALL_FLEET
    }

    /// This VM's place in the order of all live VMs.
    pub(crate) fn rank(&self) -> usize {
        self.peers.rank_of(&self.settings.node)
    }

    /// Drops what peers said that were not heard for long. Their addresses stay, since they may
    /// only be cut off.
    pub(crate) fn expire_peers(&mut self, now: Timestamp) {
        for peer in self.peers.expire(now) {
            tracing::info!(%peer, "peers: gone");
            self.allowances.drop_peer(&peer);
            self.relays_taken.retain(|(node, _), _| *node != peer);
        }
    }

    /// The address of the peer that gives orders to a target.
    pub(crate) fn owner_address(&self, target: TargetKey) -> Option<SocketAddr> {
        let partition = self.lease.partition_count().partition_of(target);
        self.peers.owner_of(partition)
    }

    /// Takes in what an owner says that its target holds. Returns the adapters there.
    pub(crate) fn note_holdings(
        &mut self,
        holdings: TargetHoldings,
        now: Timestamp,
    ) -> Vec<AdapterName> {
        let target = TargetKey::from(holdings.target);
        if self.lease.token_for(target, now).is_some() {
            return Vec::new();
        }
        if let Some(entry) = self.directory.get_mut(target) {
            entry.note_owner_view(holdings.out, now);
        }
        if let Ok(model) = holdings.model.parse() {
            self.residency.add_model(target, model);
        }
        let items = holdings.adapters.into_iter();
        let items = items.filter_map(|item| Some((item.adapter.parse().ok()?, item.version)));
        let items: Vec<(AdapterName, u64)> = items.collect();
        let names = items.iter().map(|(adapter, _)| adapter.clone()).collect();
        let loading = holdings
            .loading
            .iter()
            .filter_map(|adapter| adapter.parse().ok());
        let loading = loading.collect();
        self.residency
            .note_announcement(target, items, loading, now);
        names
    }

    /// The target answered that it lacks the adapter.
    pub(crate) fn note_absent(&mut self, target: TargetKey, adapter: &AdapterName) {
        self.residency.note_absent(target, adapter);
        if let Some(planner) = self.planners.get_mut(&target) {
            planner.note_absent(adapter);
        }
    }

    /// Requests in flight on a target over all VMs.
    pub(crate) fn load(&self, target: TargetKey) -> u32 {
        self.own_load(target) + self.peers.load(target)
    }

    fn own_load(&self, target: TargetKey) -> u32 {
        self.own_loads.get(&target).copied().unwrap_or(0)
    }

    /// Chooses a target for a request.
    pub(crate) fn choose(&self, ask: &ChoiceAsk<'_>, now: Timestamp) -> TargetChoice {
        let Some(service) = self.service(ask.service) else {
            return TargetChoice::Unavailable;
        };
        let members = self.peers.members() as f64;
        let cold_rate = service.cold_per_s / members;
        let most = f64::from(service.max_connections) * CONNECTION_USE / members;
        let own_most = most.max(1.0) as u32;
        let ready = |entry: &TargetEntry| {
            let cold = entry.cold.as_ref();
            self.own_load(entry.key) < own_most
                && cold.is_none_or(|cold| cold.may_send(cold_rate, now))
        };
        let has_owner =
            |key| self.lease.token_for(key, now).is_some() || self.owner_address(key).is_some();
        let view = ChoiceView {
            directory: &self.directory,
            residency: &self.residency,
            own_zone: &self.settings.zone,
            chance: rand::random(),
            now,
        };
        view.choose(ask, |key| self.load(key), ready, has_owner)
    }

    /// Counts a request that is about to be sent. Returns the version of the adapter there.
    pub(crate) fn reserve(
        &mut self,
        target: TargetKey,
        service: &ServiceName,
        adapter: Option<&AdapterName>,
        now: Timestamp,
    ) -> Option<u64> {
        *self.own_loads.entry(target).or_default() += 1;
        let cold_rate = self.service(service).map_or(0.0, |found| found.cold_per_s);
        let members = self.peers.members() as f64;
        let entry = self.directory.get_mut(target);
        if let Some(cold) = entry.and_then(|entry| entry.cold.as_mut()) {
            cold.note_send(cold_rate / members, now);
        }
        let adapter = adapter?;
        match self.planners.get_mut(&target) {
            Some(planner) => planner.note_use(adapter, now),
            None => {
                let uses = self.uses.entry(target).or_default();
                uses.insert(adapter.clone());
            }
        }
        self.residency.held_version(target, adapter)
    }

    /// Gives back the place of a request that has ended.
    pub(crate) fn release(&mut self, target: TargetKey) {
        if let Some(count) = self.own_loads.get_mut(&target) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.own_loads.remove(&target);
            }
        }
    }

    fn service(&self, name: &ServiceName) -> Option<&ServiceEntry> {
        self.config.as_ref()?.services.get(name)
    }

    /// This VM's part of a service's retry budget.
    pub(crate) fn budget(&mut self, service: &ServiceName) -> &mut RetryBudget {
        let bounds = &self.settings.bounds;
        let limit = RetryLimit {
            ratio: bounds.retry_ratio,
            window: bounds.retry_window,
            slack: bounds.retry_slack,
        };
        let budget = self.budgets.entry(service.clone());
        budget.or_insert_with(|| RetryBudget::new(limit))
    }

    /// What the targets of a service can hold, if it is a model service.
    pub(crate) fn engine_of(&self, service: &ServiceName) -> Option<&EngineSpec> {
        self.service(service)?.engine.as_ref()
    }
}
