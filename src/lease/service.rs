//! Follows the lease stream, renews and claims leases, and looks up the owners of roles.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, Weak};
use std::time::Duration;

use super::role::{LEDGER_PARTITIONS, RoleName, RoleOwner, RoleState};
use super::state::LeaseState;
use super::table::{LEASE_TTL, LeaseParty, LeaseRecord, LeaseTable};
use super::wire::{LeaseKind, LeaseMessage, OwnersRequest};
use crate::clock::Clock;
use crate::context::NodeContext;
use crate::ids::{BootId, FencingToken, LogOffset};
use crate::membership::MembershipService;
use crate::peer::PeerBody;
use crate::platform_client::{CallHealth, LogClient, LogRecord, PlatformError, StreamPage};
use crate::settings::NodeSettings;

/// The log stream of lease records.
const LEASE_STREAM: &str = "leases";
/// How long one read of the stream waits for new records. It is short because a claim needs a
/// recent read of the tail.
const READ_WAIT: Duration = Duration::from_millis(500);
/// The maximum number of records in one read.
const READ_RECORDS: usize = 1000;
/// The pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
const RENEW_INTERVAL: Duration = Duration::from_secs(1);
/// The interval between checks for roles to claim.
const CLAIM_INTERVAL: Duration = Duration::from_millis(50);
/// The number of renewals between two snapshots of the table.
const RENEWALS_PER_SNAPSHOT: u32 = 60;
/// How often a node that can't read the log asks a peer for the owners.
const OWNERS_INTERVAL: Duration = Duration::from_millis(500);
/// The timeout of one call for the owners.
const OWNERS_TIMEOUT: Duration = Duration::from_millis(300);
/// The interval at which [`LeaseService::wait_for_owner`] looks up the owner.
const OWNER_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Manages this node's leases and looks up the owners of roles.
#[derive(Debug)]
pub(crate) struct LeaseService {
    pub(super) clock: Clock,
    pub(super) log: LogClient,
    pub(super) membership: Arc<MembershipService>,
    /// Lock order: this lock is taken before the membership table's.
    state: Mutex<LeaseState>,
    /// Exports and imports the state of roles.
    role_state: OnceLock<Weak<dyn RoleState>>,
    /// Set after the handover at shutdown.
    stopped: AtomicBool,
}

impl LeaseService {
    pub(crate) fn new(
        settings: &NodeSettings,
        boot: BootId,
        clock: Clock,
        log: LogClient,
        membership: Arc<MembershipService>,
    ) -> Self {
        let node = settings.node.clone();
        Self {
            clock,
            log,
            membership,
            state: Mutex::new(LeaseState::new(LeaseParty { node, boot })),
            role_state: OnceLock::new(),
            stopped: AtomicBool::new(false),
        }
    }

    /// Sets the receiver of the calls that export and import the state of roles.
    pub(crate) fn set_role_state(&self, role_state: Weak<dyn RoleState>) {
        let _ = self.role_state.set(role_state);
    }

    pub(super) fn role_state(&self) -> Option<Arc<dyn RoleState>> {
        self.role_state.get()?.upgrade()
    }

    pub(super) fn state(&self) -> MutexGuard<'_, LeaseState> {
        self.state.lock().expect("no holder of the lock panics")
    }

    /// The owner of `role`, as far as this node knows.
    pub(crate) fn owner(&self, role: &RoleName) -> RoleOwner {
        let now = self.clock.now();
        let state = self.state();
        state.owner(role, now, &self.membership.table())
    }

    /// The fencing token of `role`, if this node may decide for it now. Owners call this before
    /// each decision, since a process that was paused doesn't notice that its lease ended.
    pub(crate) fn fence_if_held(&self, role: &RoleName) -> Option<FencingToken> {
        let now = self.clock.now();
        let state = self.state();
        state.fence_if_held(role, now, &self.membership.table())
    }

    /// The owner of `role`. Waits up to `limit` while the role has none.
    pub(crate) async fn wait_for_owner(&self, role: &RoleName, limit: Duration) -> RoleOwner {
        let deadline = tokio::time::Instant::now() + limit;
        loop {
            let owner = self.owner(role);
            if owner != RoleOwner::Nobody || tokio::time::Instant::now() >= deadline {
                return owner;
            }
            tokio::time::sleep(OWNER_POLL_INTERVAL).await;
        }
    }

    /// The roles that must have an owner now.
    pub(crate) fn required_roles(context: &NodeContext) -> Vec<RoleName> {
        let partitions = (0..LEDGER_PARTITIONS).map(RoleName::Ledger);
        let config = context.config.current();
        let pools = config.base_models.keys().cloned().map(RoleName::Pool);
        let roles = partitions.chain(pools);
        roles.chain([RoleName::ConfigSnapshot]).collect()
    }

    /// Follows the stream, renews and claims leases, and asks peers for the owners during a log
    /// outage, until the future is dropped.
    pub(crate) async fn run(&self, context: &NodeContext) {
        tokio::join!(
            self.follow_stream(),
            self.run_renewals(),
            self.run_claims(context),
            self.fetch_reported_owners(context)
        );
    }

    /// Fetches the owners from a peer while this node can't read the log.
    async fn fetch_reported_owners(&self, context: &NodeContext) {
        loop {
            tokio::time::sleep(OWNERS_INTERVAL).await;
            let now = self.clock.now();
            let peer = {
                let peers = self.membership.table();
                let is_unreachable = !peers.log_reachable(now);
                is_unreachable
                    .then(|| peers.peers_with_log_access(now).first().copied())
                    .flatten()
            };
            let Some(address) = peer else { continue };
            let kind = Some(LeaseKind::OwnersRequest(OwnersRequest {}));
            let body = PeerBody::Lease(LeaseMessage { kind });
            let reply = context.peers.call(address, body, OWNERS_TIMEOUT).await;
            if let Ok(PeerBody::Lease(LeaseMessage {
                kind: Some(LeaseKind::OwnersReply(reply)),
            })) = reply
            {
                self.state().set_reported_owners(reply.leases);
            }
        }
    }

    async fn follow_stream(&self) {
        let mut health = CallHealth::new("lease: reading the log");
        loop {
            let read = self.read_and_apply().await;
            health.record(&read);
            if read.is_err() {
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }

    /// Reads and applies one page of the stream.
    async fn read_and_apply(&self) -> Result<(), PlatformError> {
        let from = self.state().next_offset();
        let page = self.read(from).await?;
        if page.first > from {
            return self.rebuild_table(page).await;
        }
        for record in &page.records {
            self.apply(record);
        }
        let mut state = self.state();
        if state.next_offset() >= page.next {
            state.record_tail_read(page.at_ms, self.clock.now());
        }
        Ok(())
    }

    async fn read(&self, from: LogOffset) -> Result<StreamPage, PlatformError> {
        let sent = self.clock.now();
        let page = self.log.read(LEASE_STREAM, from, READ_RECORDS, READ_WAIT);
        let page = page.await?;
        self.membership.record_log_read(sent);
        Ok(page)
    }

    /// Rebuilds the table when records that it needs have expired. It starts from a snapshot, or
    /// empty after a whole TTL without any record, because no lease can then be valid.
    async fn rebuild_table(&self, mut page: StreamPage) -> Result<(), PlatformError> {
        tracing::info!(
            "lease: records before offset {} have expired, looking for a snapshot",
            page.first
        );
        let mut idle_since_ms = page.at_ms;
        loop {
            for record in &page.records {
                let snapshot = parse_record(record)
                    .and_then(|parsed| LeaseTable::from_snapshot(&parsed.action));
                // The records from the snapshot's offset on must still be in the log.
                if let Some(table) = snapshot.filter(|table| table.next_offset() >= page.first) {
                    self.state().replace_table(table);
                    return Ok(());
                }
                idle_since_ms = idle_since_ms.max(record.at_ms);
            }
            let from = page
                .records
                .last()
                .map_or(page.next, |last| last.offset.next());
            let idle_ms = u128::from(page.at_ms.saturating_sub(idle_since_ms));
            if from >= page.next && idle_ms > LEASE_TTL.as_millis() {
                self.state()
                    .replace_table(LeaseTable::starting_at(page.next));
                return Ok(());
            }
            page = self.read(from).await?;
        }
    }

    pub(super) fn apply(&self, record: &LogRecord) {
        let Some(parsed) = parse_record(record) else {
            return self.state().skip(record.offset);
        };
        let mut state = self.state();
        let Some(applied) = state.apply(record.offset, record.at_ms, &parsed) else {
            return;
        };
        let origins = applied.acquired.iter().filter_map(|acquired| {
            let origin = state.origin(&applied, acquired)?;
            Some((acquired, origin))
        });
        let origins: Vec<_> = origins.collect();
        drop(state);
        // The import may call this service for owners, so no lock is held here.
        let role_state = self.role_state();
        for (acquired, origin) in origins {
            tracing::info!(
                "lease: acquired role {} with fencing token {}",
                acquired.role,
                acquired.fence
            );
            if let Some(role_state) = &role_state {
                role_state.import_role(&acquired.role, acquired.fence, origin);
            }
        }
        self.state().update_held_leases(&applied);
    }

    pub(super) async fn append(&self, record: &LeaseRecord) -> Result<(), PlatformError> {
        let data = serde_json::to_string(record).expect("a record has only string keys");
        self.log.append(LEASE_STREAM, &data).await.map(|_| ())
    }

    /// Stops the renewals, so that leases that could not be released expire.
    pub(super) fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }

    async fn run_renewals(&self) {
        let mut ticks = tokio::time::interval(RENEW_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut renewals = 0;
        let mut health = CallHealth::new("lease: renewing the leases");
        loop {
            ticks.tick().await;
            if self.stopped.load(Ordering::Relaxed) {
                continue;
            }
            let record = self
                .state()
                .renewal_record(rand::random(), self.clock.now());
            let Some(record) = record else { continue };
            self.append_renewal(&record, &mut health).await;
            renewals += 1;
            // Only the owner of `config/snapshot` appends snapshots of the table.
            if renewals % RENEWALS_PER_SNAPSHOT == 0
                && self.fence_if_held(&RoleName::ConfigSnapshot).is_some()
            {
                let record = self.state().snapshot_record(rand::random());
                self.append_renewal(&record, &mut health).await;
            }
        }
    }

    /// Appends, but waits for the reply no longer than until the next renewal is due. The effect
    /// of the record is read from the stream.
    async fn append_renewal(&self, record: &LeaseRecord, health: &mut CallHealth) {
        let appended = tokio::time::timeout(RENEW_INTERVAL, self.append(record)).await;
        if let Ok(appended) = appended {
            health.record(&appended);
        }
    }

    async fn run_claims(&self, context: &NodeContext) {
        let mut ticks = tokio::time::interval(CLAIM_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let roles = Self::required_roles(context);
            let record = {
                let now = self.clock.now();
                let mut state = self.state();
                state.claim_record(rand::random(), now, &roles, &mut self.membership.table())
            };
            let Some(record) = record else { continue };
            if let Err(error) = self.append(&record).await {
                tracing::warn!("lease: could not append a claim to the log: {error}");
            }
        }
    }

    /// This service's part of the state dump.
    pub(crate) fn dump(&self) -> serde_json::Value {
        let now = self.clock.now();
        let state = self.state();
        let held = state.held(now, &self.membership.table());
        serde_json::json!({"next_offset": state.next_offset(), "held": held})
    }
}

fn parse_record(record: &LogRecord) -> Option<LeaseRecord> {
    match serde_json::from_str(&record.data) {
        Ok(parsed) => Some(parsed),
        Err(error) => {
            tracing::warn!(
                "lease: skipping malformed record at offset {}: {error}",
                record.offset
            );
            None
        }
    }
}
