//! The in-memory state of one entry VM. Tasks access it only through
//! [`super::shared::EntryShared`].

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use super::peer_contacts::PeerContacts;
use super::request::DEADLINE_GRACE;
use super::settings::EntrySettings;
use super::wire::TargetResidency;
use super::wire_log::PeerRecord;
use crate::clock::Timestamp;
use crate::collections::{FastMap, FastSet};
use crate::dispatch::account_limit::{AccountLimit, AccountLimiter, ReportScope};
use crate::dispatch::choice::{ChoiceView, TargetChoice};
use crate::dispatch::choice_request::ChoiceRequest;
use crate::dispatch::cold_start::{ColdPermits, PermitSchedule};
use crate::dispatch::config_lag::ConfigLag;
use crate::dispatch::directory::{DirectoryChange, TargetDirectory, TargetKey, TargetReport};
use crate::dispatch::fleet_demand::FleetDemand;
use crate::dispatch::load_planner::LoadPlanner;
use crate::dispatch::ownership::{PartitionCount, PartitionLease};
use crate::dispatch::peer_view::PeerView;
use crate::dispatch::prompt_suspects::SuspectTable;
use crate::dispatch::relay_backlog::RelayBacklog;
use crate::dispatch::relay_coverage::{RelayClaim, RelayCoverage};
use crate::dispatch::residency::ResidencyTable;
use crate::dispatch::retry_budget::{RetryBudget, RetryLimit};
use crate::dispatch::routing::{AccountEntry, EngineSpec, RoutingConfig, ServiceEntry};
use crate::dispatch::service_reach::ServiceReach;
use crate::dispatch::stream_origins::StreamOrigins;
use crate::dispatch::strikes::StrikeTable;
use crate::dispatch::target_entry::TargetEntry;
use crate::ids::{
    BootId, LogPosition, ModelAdapter, NodeName, ServiceName, StoreEra, TargetName, ZoneName,
};

/// The lifetime of a partition's lease, which outlasts three lost renewals.
const LEASE_LIFETIME: Duration = Duration::from_millis(2600);
/// The time that may pass between the last check of the configuration's age and the start of a
/// request on its target. It is subtracted from the configured bound.
const KEY_REVOCATION_MARGIN: Duration = Duration::from_millis(700);
/// The fraction of the minimum time between two owners' orders that a new owner waits. An owner
/// that gets a target back waits as well, so its own orders are at least the full time apart.
const TAKEOVER_FRACTION: f64 = 0.55;
/// The fraction of the stop grace period after which the process exits even with requests in
/// progress.
const STOP_FRACTION: f64 = 0.93;
/// The fraction of the stop grace period in which a stopping VM accepts any request: the load
/// balancer still sends them, and most end long before their time limit.
const EARLY_STOP_FRACTION: f64 = 0.32;
/// The fraction of a target's connections that all entry VMs together may use.
const CONNECTION_FRACTION: f64 = 0.8;

/// The largest number of VMs at which each one reads everything from the store itself. In a fleet
/// of this size, the calls cost less than the messages that would replace them.
pub(crate) const SMALL_FLEET_SIZE: usize = 12;
/// One in this many reports includes all accounts, for VMs that have just started.
const FULL_REPORT_INTERVAL: u64 = 10;

#[derive(Debug)]
pub(crate) struct EntryState {
    pub(crate) settings: EntrySettings,
    pub(crate) boot: BootId,
    pub(crate) config: Option<Rc<RoutingConfig>>,
    /// Whether a peer has a newer configuration that the store has lost.
    pub(crate) config_lag: ConfigLag,
    /// The start of the last read that confirmed the configuration as the newest.
    pub(crate) confirmed_at: Option<Timestamp>,
    /// The newest era of the store that this VM has acted on.
    pub(crate) store_era: Option<StoreEra>,
    /// The position after the last applied operator record.
    pub(crate) operator_next: Option<LogPosition>,
    pub(crate) directory: TargetDirectory,
    pub(crate) residency: ResidencyTable,
    pub(crate) peers: PeerView,
    /// Empty unless services are scaled.
    pub(crate) fleet_demand: FleetDemand,
    peer_contacts: PeerContacts,
    pub(crate) lease: PartitionLease,
    /// The load planners of the targets that this VM owns.
    pub(crate) planners: FastMap<TargetKey, LoadPlanner>,
    /// This VM's permits for cold targets.
    pub(crate) permits: ColdPermits,
    /// The permits that this VM hands out for the targets that it owns.
    pub(crate) permit_schedules: FastMap<TargetKey, PermitSchedule>,
    pub(crate) account_limiter: AccountLimiter,
    budgets: FastMap<ServiceName, RetryBudget>,
    pub(crate) strikes: StrikeTable,
    pub(crate) suspects: SuspectTable,
    /// This VM's ways to the targets of each service.
    pub(crate) reaches: FastMap<ServiceName, ServiceReach>,
    /// Which software version began the streams that callers may take up.
    pub(crate) streams: StreamOrigins,
    /// This VM's requests in flight on each target.
    pub(crate) own_loads: FastMap<TargetKey, u32>,
    /// This VM's requests in flight on each adapter of each target; counts are at least 1.
    pub(crate) own_adapter_loads: FastMap<TargetKey, FastMap<ModelAdapter, u32>>,
    /// What this VM has relayed of the targets' log, if it is a reader.
    pub(crate) relay_claim: RelayClaim,
    /// What this VM has read of the targets' log and does not claim yet, if it is a reader.
    pub(crate) relay_backlog: RelayBacklog<PeerRecord>,
    /// How far this VM knows the targets' log through relays.
    pub(crate) relay_coverage: RelayCoverage,
    /// The number of reports sent to peers in this VM's zone.
    own_zone_reports: u64,
    /// The number of reports sent to peers in other zones.
    other_zone_reports: u64,
    /// When the process received the signal to stop.
    pub(crate) stopping_since: Option<Timestamp>,
}

impl EntryState {
    pub(crate) fn new(settings: EntrySettings, boot: BootId) -> Self {
        let lifetime = LEASE_LIFETIME.max(settings.store.min_member_ttl);
        let count = PartitionCount::new(settings.store.partitions);
        let lease = PartitionLease::new(
            count,
            lifetime,
            settings
                .bounds
                .owner_handover_time
                .mul_f64(TAKEOVER_FRACTION),
        );
        let is_first_start = settings.is_first_start;
        let has_account_grants = settings.has_account_grants;
        let stream_limits = settings.stream_limits();
        Self {
            settings,
            boot,
            config: None,
            config_lag: ConfigLag::default(),
            confirmed_at: None,
            store_era: None,
            operator_next: None,
            directory: TargetDirectory::default(),
            residency: ResidencyTable::default(),
            peers: PeerView::default(),
            fleet_demand: FleetDemand::default(),
            peer_contacts: PeerContacts::default(),
            lease,
            planners: FastMap::default(),
            permits: ColdPermits::default(),
            permit_schedules: FastMap::default(),
            account_limiter: AccountLimiter::new(is_first_start).with_shares(has_account_grants),
            budgets: FastMap::default(),
            strikes: StrikeTable::default(),
            suspects: SuspectTable::default(),
            reaches: FastMap::default(),
            streams: StreamOrigins::new(stream_limits, Timestamp::default()),
            own_loads: FastMap::default(),
            own_adapter_loads: FastMap::default(),
            relay_claim: RelayClaim::default(),
            relay_backlog: RelayBacklog::default(),
            relay_coverage: RelayCoverage::default(),
            own_zone_reports: 0,
            other_zone_reports: 0,
            stopping_since: None,
        }
    }

    /// Whether the configuration was confirmed recently enough to accept API keys.
    pub(crate) fn is_config_fresh(&self, now: Timestamp) -> bool {
        let limit = self
            .settings
            .bounds
            .key_revocation_time
            .saturating_sub(KEY_REVOCATION_MARGIN);
        let is_confirmed = self.confirmed_at;
        is_confirmed.is_some_and(|time| now.since(time) < limit) && !self.is_config_behind(now)
    }

    /// Whether the configuration in force has an API key.
    pub(crate) fn accepts_key(&self, key: Option<&str>) -> bool {
        let config = self.config.as_ref().zip(key);
        config.is_some_and(|(config, key)| config.account_of_key(key).is_some())
    }

    /// How long after the signal to stop the process exits, even with requests in progress.
    pub(crate) fn exit_delay(&self) -> Duration {
        self.settings.bounds.stop_grace.mul_f64(STOP_FRACTION)
    }

    /// Whether a new request, which may take until its `time_limit`, could be cut off by the end of
    /// the process.
    pub(crate) fn is_too_late_to_start(&self, time_limit: Duration, now: Timestamp) -> bool {
        let Some(since) = self.stopping_since else {
            return false;
        };
        let elapsed = now.since(since);
        let is_early = elapsed <= self.settings.bounds.stop_grace.mul_f64(EARLY_STOP_FRACTION);
        !is_early && elapsed + time_limit + DEADLINE_GRACE > self.exit_delay()
    }

    /// Applies a configuration if its version is higher than the current one's. Returns whether it
    /// was applied.
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
        self.account_limiter
            .set_limits(config.accounts.iter().map(limit), now);
        self.streams
            .set_stream_time(config.longest_resumable_time());
        self.config = Some(Rc::new(config));
        true
    }

    /// Applies a target's record and returns what it changed.
    pub(crate) fn apply_target(
        &mut self,
        name: &TargetName,
        report: Option<TargetReport>,
        now: Timestamp,
    ) -> DirectoryChange {
        let key = TargetKey::new(name);
        let change = self.directory.apply(name, report, now);
        match change {
            DirectoryChange::Removed => self.remove_target_state(key),
            DirectoryChange::Restarted => {
                self.residency.remove_target(key);
                if let Some(planner) = self.planners.get_mut(&key) {
                    planner.reset();
                }
            }
            _ => {}
        }
        if let Some(entry) = self.directory.get(key) {
            self.residency.apply_report(key, &entry.report.models, now);
        }
        change
    }

    /// Claims nothing of what this VM has read: it is no reader, or could not read for a while.
    pub(crate) fn reset_relay(&mut self) {
        self.relay_claim.reset();
        self.relay_backlog = RelayBacklog::default();
    }

    /// Removes targets whose removal was never recorded: those missing from a complete list, and
    /// those that did not reappear after an outage of the store.
    pub(crate) fn remove_absent_targets(
        &mut self,
        listed: Option<&FastSet<TargetKey>>,
        now: Timestamp,
    ) -> Vec<TargetKey> {
        let unlisted = listed.map(|listed| self.directory.retain_listed(listed, now));
        let mut keys = unlisted.unwrap_or_default();
        keys.extend(self.directory.expire(now));
        for key in &keys {
            self.remove_target_state(*key);
        }
        keys
    }

    fn remove_target_state(&mut self, key: TargetKey) {
        self.residency.remove_target(key);
        self.planners.remove(&key);
        self.permits.remove_target(key);
        self.permit_schedules.remove(&key);
    }

    /// Records that a peer has sent a message from `address`.
    pub(crate) fn record_contact(&mut self, node: &NodeName, address: SocketAddr, now: Timestamp) {
        self.peer_contacts.record_message(node, address, now);
        self.account_limiter.record_contact(node, now);
    }

    /// Adds a VM that is registered in the store. One that this VM has not heard of counts as live
    /// for a while.
    pub(crate) fn add_registered_peer(
        &mut self,
        node: &NodeName,
        address: SocketAddr,
        zone: Option<ZoneName>,
        now: Timestamp,
    ) {
        if self.peer_contacts.add_registered(node, address, now) {
            self.peers.expect(node.clone(), address, now);
            self.account_limiter.expect_peer(node, now);
            if let Some(zone) = zone {
                self.update_peer_zone(node, zone);
            }
        }
    }

    pub(crate) fn update_peer_zone(&mut self, node: &NodeName, zone: ZoneName) {
        self.peer_contacts.set_zone(node, zone);
    }

    pub(crate) fn peer_zone(&self, node: &NodeName) -> Option<&ZoneName> {
        self.peer_contacts.zone_of(node)
    }

    /// Whether a peer is known to be in this VM's zone.
    pub(crate) fn is_in_own_zone(&self, node: &NodeName) -> bool {
        self.peer_zone(node) == Some(&self.settings.zone)
    }

    pub(crate) fn peer_addresses(&self) -> Vec<SocketAddr> {
        self.peer_contacts.addresses()
    }

    /// The addresses of the peers in this VM's zone, or of all peers not known to be in it.
    pub(crate) fn peer_addresses_in_zone(&self, in_own_zone: bool) -> Vec<SocketAddr> {
        let zone = &self.settings.zone;
        self.peer_contacts.addresses_in_zone(zone, in_own_zone)
    }

    /// Counts a report. Returns its sequence number and whether it must include all accounts.
    pub(crate) fn next_report(&mut self, scope: ReportScope) -> (u64, bool) {
        let count = match scope {
            ReportScope::OwnZone => &mut self.own_zone_reports,
            ReportScope::OtherZones => &mut self.other_zone_reports,
        };
        *count += 1;
        let full = count.is_multiple_of(FULL_REPORT_INTERVAL);
        (self.own_zone_reports + self.other_zone_reports, full)
    }

    pub(crate) fn is_small_fleet(&self) -> bool {
        self.peers.member_count() <= SMALL_FLEET_SIZE
    }

    /// This VM's position in the ordered list of all live VMs.
    pub(crate) fn rank(&self) -> usize {
        self.peers.rank_of(&self.settings.node)
    }

    /// Removes the state of peers that have sent nothing for too long. Their addresses are kept,
    /// since they may be only temporarily unreachable.
    pub(crate) fn expire_peers(&mut self, now: Timestamp) {
        self.peer_contacts.expire_shares(now);
        for peer in self.peers.expire(now) {
            tracing::info!(%peer, "peers: no message for too long, removed the peer's state");
            self.account_limiter.remove_peer(&peer);
        }
    }

    /// The address of the peer that owns a target.
    pub(crate) fn owner_address(&self, target: TargetKey) -> Option<SocketAddr> {
        let partition = self.lease.partition_count().partition_of(target);
        self.peers.owner_of(partition)
    }

    /// Applies an owner's announcement of what its target has loaded. Returns the adapters on it.
    pub(crate) fn apply_residency(
        &mut self,
        residency: TargetResidency,
        now: Timestamp,
    ) -> Vec<ModelAdapter> {
        let target = TargetKey::from(residency.target);
        if self.lease.token_for(target, now).is_some() {
            return Vec::new();
        }
        if let Some(entry) = self.directory.get_mut(target) {
            entry.apply_owner_status(residency.unavailable, now);
        }
        if residency.unavailable {
            self.residency.clear_holdings(target);
        }
        if let Ok(model) = residency.model.parse() {
            self.residency.add_model(target, model);
        }
        let decode = |text: &str| ModelAdapter::from_relative(text, &residency.model).ok();
        let items = residency.adapters.iter();
        let items = items.filter_map(|item| Some((decode(&item.adapter)?, item.version)));
        let items: Vec<(ModelAdapter, u64)> = items.collect();
        let names = items.iter().map(|(adapter, _)| adapter.clone()).collect();
        let loading = residency.loading.iter();
        let loading = loading.filter_map(|adapter| decode(adapter)).collect();
        self.residency
            .apply_announcement(target, items, loading, now);
        names
    }

    /// Records that the target reported an adapter as not loaded.
    pub(crate) fn mark_adapter_absent(&mut self, target: TargetKey, adapter: &ModelAdapter) {
        self.residency.remove_adapter(target, adapter);
        if let Some(planner) = self.planners.get_mut(&target) {
            planner.handle_missing_adapter(adapter);
        }
    }

    /// The requests in flight on a target, over all VMs.
    pub(crate) fn load(&self, target: TargetKey) -> u32 {
        self.own_load(target) + self.peers.load(target)
    }

    fn own_load(&self, target: TargetKey) -> u32 {
        self.own_loads.get(&target).copied().unwrap_or(0)
    }

    pub(crate) fn choose(&self, request: &ChoiceRequest<'_>, now: Timestamp) -> TargetChoice {
        let Some(service) = self.service(request.service) else {
            return TargetChoice::Unavailable;
        };
        let shares = self.peer_contacts.share_count() as f64;
        let max_load = f64::from(service.max_connections) * CONNECTION_FRACTION / shares;
        let own_max_load = max_load.max(1.0) as u32;
        // Targets that would be ready with a permit.
        let lacking = RefCell::new(Vec::new());
        let ready = |entry: &TargetEntry| {
            if self.own_load(entry.key) >= own_max_load || !entry.is_within_rate(now) {
                return false;
            }
            let is_permitted = !entry.is_cold(now) || self.permits.has_valid(entry.key, now);
            if !is_permitted {
                lacking.borrow_mut().push(entry.key);
            }
            is_permitted
        };
        let has_owner =
            |key| self.lease.token_for(key, now).is_some() || self.owner_address(key).is_some();
        let view = ChoiceView {
            directory: &self.directory,
            residency: &self.residency,
            own_zone: &self.settings.zone,
            keeps_copies: service.keeps_copies(),
            random_draw: rand::random(),
            now,
        };
        let choice = view.choose(request, |key| self.load(key), ready, has_owner);
        self.permits
            .revise_choice(choice, &lacking.borrow(), request.waited, now)
    }

    pub(super) fn service(&self, name: &ServiceName) -> Option<&ServiceEntry> {
        self.config.as_ref()?.services.get(name)
    }

    /// Consumes one retry of this VM's share of a service's budget, if it allows one.
    pub(crate) fn take_retry(&mut self, service: &ServiceName, now: Timestamp) -> bool {
        let members = self.peer_contacts.share_count();
        self.retry_budget(service).try_retry(members, now)
    }

    /// This VM's share of a service's retry budget.
    pub(crate) fn retry_budget(&mut self, service: &ServiceName) -> &mut RetryBudget {
        let bounds = &self.settings.bounds;
        let limit = RetryLimit {
            ratio: bounds.retry_ratio,
            window: bounds.retry_window,
            slack: bounds.retry_slack,
        };
        let budget = self.budgets.entry(service.clone());
        budget.or_insert_with(|| RetryBudget::new(limit))
    }

    /// The engine specification of a service's targets, if it is a model service.
    pub(crate) fn engine_of(&self, service: &ServiceName) -> Option<&EngineSpec> {
        self.service(service)?.engine.as_ref()
    }
}
