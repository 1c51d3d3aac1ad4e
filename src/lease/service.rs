//! Follows the lease stream, renews and claims leases, and answers who owns a role.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, Weak};
use std::time::Duration;

use super::role::{LEDGER_PARTITIONS, RoleName, RoleOwner, RoleState};
use super::state::LeaseState;
use super::table::{LEASE_TTL, LeaseParty, LeaseRecord, LeaseTable};
use super::wire::{LeaseKind, LeaseMessage, OwnersAsk};
use crate::clock::Clock;
use crate::context::NodeContext;
use crate::ids::{BootId, FencingToken, LogOffset};
use crate::log_service::{CallHealth, LogClient, LogRecord, PlatformError, StreamPage};
use crate::membership::MembershipService;
use crate::peer::PeerBody;
use crate::settings::NodeSettings;

/// The log stream of lease records.
const LEASE_STREAM: &str = "leases";
/// How long one read of the stream waits for new records. Short enough that a read's tail is
/// recent when a claim is sent.
const READ_WAIT: Duration = Duration::from_millis(500);
/// The most records in one read.
const READ_RECORDS: usize = 1000;
/// The pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// The pause between two renewals.
const RENEW_INTERVAL: Duration = Duration::from_secs(1);
/// How often a node looks for leases to claim.
const CLAIM_INTERVAL: Duration = Duration::from_millis(50);
/// The renewals between two snapshots of the table.
const SNAPSHOT_RENEWALS: u32 = 60;
/// How often a node without the log asks a peer for the owners.
const OWNERS_INTERVAL: Duration = Duration::from_millis(500);
/// How long such a call may take.
const OWNERS_TIMEOUT: Duration = Duration::from_millis(300);
/// How often a waiting request looks for an owner.
const OWNER_POLL: Duration = Duration::from_millis(20);

/// This node's leases and its view of the owners.
#[derive(Debug)]
pub(crate) struct LeaseService {
    pub(super) clock: Clock,
    pub(super) log: LogClient,
    pub(super) membership: Arc<MembershipService>,
    /// Locked before the table of the membership.
    state: Mutex<LeaseState>,
    hook: OnceLock<Weak<dyn RoleState>>,
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
            hook: OnceLock::new(),
            stopped: AtomicBool::new(false),
        }
    }

    /// Sets what exports and imports the state of roles.
    pub(crate) fn set_hook(&self, hook: Weak<dyn RoleState>) {
        let _ = self.hook.set(hook);
    }

    pub(super) fn hook(&self) -> Option<Arc<dyn RoleState>> {
        self.hook.get()?.upgrade()
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

    /// The fencing token of `role`, if this node may decide for it at this moment. Owners call
    /// this before each decision, since a paused process doesn't notice that its lease ended.
    pub(crate) fn fence_if_held(&self, role: &RoleName) -> Option<FencingToken> {
        let now = self.clock.now();
        let state = self.state();
        state.fence(role, now, &self.membership.table())
    }

    /// The owner of `role`, waiting up to `limit` while nobody owns it.
    pub(crate) async fn wait_for_owner(&self, role: &RoleName, limit: Duration) -> RoleOwner {
        let deadline = tokio::time::Instant::now() + limit;
        loop {
            let owner = self.owner(role);
            if owner != RoleOwner::Nobody || tokio::time::Instant::now() >= deadline {
                return owner;
            }
            tokio::time::sleep(OWNER_POLL).await;
        }
    }

    /// The roles that must have an owner now.
    pub(crate) fn roles(context: &NodeContext) -> Vec<RoleName> {
        let partitions = (0..LEDGER_PARTITIONS).map(RoleName::Ledger);
        let config = context.config.current();
        let pools = config.base_models.keys().cloned().map(RoleName::Pool);
        let roles = partitions.chain(pools);
        roles.chain([RoleName::ConfigSnapshot]).collect()
    }

    /// Follows the stream, renews and claims until the future is dropped.
    pub(crate) async fn run(&self, context: &NodeContext) {
        tokio::join!(
            self.follow(),
            self.renew(),
            self.claim(context),
            self.ask_for_owners(context)
        );
    }

    /// Learns the owners from a peer while this node can't read the log itself.
    async fn ask_for_owners(&self, context: &NodeContext) {
        loop {
            tokio::time::sleep(OWNERS_INTERVAL).await;
            let now = self.clock.now();
            let reader = {
                let peers = self.membership.table();
                let cut_off = !peers.log_reachable(now);
                cut_off
                    .then(|| peers.readers(now).first().copied())
                    .flatten()
            };
            let Some(address) = reader else { continue };
            let kind = Some(LeaseKind::Owners(OwnersAsk {}));
            let body = PeerBody::Lease(LeaseMessage { kind });
            let answer = context.peers.call(address, body, OWNERS_TIMEOUT).await;
            if let Ok(PeerBody::Lease(LeaseMessage {
                kind: Some(LeaseKind::Owned(answer)),
            })) = answer
            {
                self.state().note_told(answer.leases);
            }
        }
    }

    async fn follow(&self) {
        let mut health = CallHealth::new("lease: reading the log");
        loop {
            let read = self.read_once().await;
            health.note(&read);
            if read.is_err() {
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }

    /// Reads and applies one page.
    async fn read_once(&self) -> Result<(), PlatformError> {
        let from = self.state().next_offset();
        let page = self.read(from).await?;
        if page.first > from {
            return self.recover(page).await;
        }
        for record in &page.records {
            self.apply(record);
        }
        let mut state = self.state();
        if state.next_offset() >= page.next {
            state.note_tail(page.at_ms, self.clock.now());
        }
        Ok(())
    }

    async fn read(&self, from: LogOffset) -> Result<StreamPage, PlatformError> {
        let sent = self.clock.now();
        let page = self.log.read(LEASE_STREAM, from, READ_RECORDS, READ_WAIT);
        let page = page.await?;
        self.membership.note_log_read(sent);
        Ok(page)
    }

    /// Finds a start for the table when the log has dropped records that it needs: a snapshot,
    /// or a time of a whole TTL without any record, after which no lease can be valid.
    async fn recover(&self, mut page: StreamPage) -> Result<(), PlatformError> {
        tracing::info!(
            "lease: records before {} are gone, looking for a snapshot",
            page.first
        );
        let mut quiet_since_ms = page.at_ms;
        loop {
            for record in &page.records {
                let snapshot =
                    parse(record).and_then(|parsed| LeaseTable::from_snapshot(&parsed.action));
                if let Some(table) = snapshot.filter(|table| table.next_offset() >= page.first) {
                    self.state().start_from(table);
                    return Ok(());
                }
                quiet_since_ms = quiet_since_ms.max(record.at_ms);
            }
            let from = page
                .records
                .last()
                .map_or(page.next, |last| last.offset.next());
            let quiet_ms = u128::from(page.at_ms.saturating_sub(quiet_since_ms));
            if from >= page.next && quiet_ms > LEASE_TTL.as_millis() {
                self.state().start_from(LeaseTable::starting_at(page.next));
                return Ok(());
            }
            page = self.read(from).await?;
        }
    }

    pub(super) fn apply(&self, record: &LogRecord) {
        let Some(parsed) = parse(record) else {
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
        // The hook may ask this service for owners, so no lock is held here.
        let hook = self.hook();
        for (acquired, origin) in origins {
            tracing::info!(
                "lease: acquired {} with token {}",
                acquired.role,
                acquired.fence
            );
            if let Some(hook) = &hook {
                hook.import_role(&acquired.role, acquired.fence, origin);
            }
        }
        self.state().accept(&applied);
    }

    pub(super) async fn append(&self, record: &LeaseRecord) -> Result<(), PlatformError> {
        let data = serde_json::to_string(record).expect("a record has only string keys");
        self.log.append(LEASE_STREAM, &data).await.map(|_| ())
    }

    /// Ends the renewals, so that leases that could not be released expire.
    pub(super) fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }

    async fn renew(&self) {
        let mut ticks = tokio::time::interval(RENEW_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut renewals = 0;
        let mut health = CallHealth::new("lease: renewing the leases");
        loop {
            ticks.tick().await;
            if self.stopped.load(Ordering::Relaxed) {
                continue;
            }
            let record = self.state().renewal(rand::random(), self.clock.now());
            let Some(record) = record else { continue };
            self.append_renewal(&record, &mut health).await;
            renewals += 1;
            if renewals % SNAPSHOT_RENEWALS == 0
                && self.fence_if_held(&RoleName::ConfigSnapshot).is_some()
            {
                let record = self.state().snapshot(rand::random());
                self.append_renewal(&record, &mut health).await;
            }
        }
    }

    /// Appends without waiting for a slow reply longer than until the next renewal: the effect
    /// is read from the stream.
    async fn append_renewal(&self, record: &LeaseRecord, health: &mut CallHealth) {
        let appended = tokio::time::timeout(RENEW_INTERVAL, self.append(record)).await;
        if let Ok(appended) = appended {
            health.note(&appended);
        }
    }

    async fn claim(&self, context: &NodeContext) {
        let mut ticks = tokio::time::interval(CLAIM_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let roles = Self::roles(context);
            let record = {
                let now = self.clock.now();
                let mut state = self.state();
                state.claim(rand::random(), now, &roles, &mut self.membership.table())
            };
            let Some(record) = record else { continue };
            if let Err(error) = self.append(&record).await {
                tracing::warn!("lease: a claim failed: {error}");
            }
        }
    }

    /// The state dump of this part.
    pub(crate) fn dump(&self) -> serde_json::Value {
        let now = self.clock.now();
        let state = self.state();
        let held = state.held(now, &self.membership.table());
        serde_json::json!({"next_offset": state.next_offset(), "held": held})
    }
}

fn parse(record: &LogRecord) -> Option<LeaseRecord> {
    match serde_json::from_str(&record.data) {
        Ok(parsed) => Some(parsed),
        Err(error) => {
            tracing::warn!("lease: record {} is malformed: {error}", record.offset);
            None
        }
    }
}
