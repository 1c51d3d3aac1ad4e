//! Reads the VM list and exchanges heartbeats with the other entry VMs.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use prometheus_client::metrics::counter::Counter;
use tokio::sync::{Notify, watch};

use super::identities::PeerIdentities;
use super::table::{ConfirmedTail, FRESHNESS_LIMIT, LocalNode, PeerTable};
use super::wire::{
    FetchAnswer, FetchRequest, FetchedRecord, Heartbeat, HeartbeatAnswer, MembershipKind,
    MembershipMessage,
};
use crate::clock::{Clock, Timestamp};
use crate::config::service::ConfigService;
use crate::context::NodeContext;
use crate::ids::{BootId, LogOffset};
use crate::peer::PeerBody;
use crate::platform_client::{CallHealth, LogRecord, VmListClient};
use crate::settings::NodeSettings;

/// The pause between two reads of the VM list. More frequent reads gain little, since the list lags
/// and heartbeats also announce peers; with 8 VMs, a read every 0.5 s took 1.2 KB/s.
const VM_LIST_INTERVAL: Duration = Duration::from_secs(1);
/// The pause between two checks whether the VM list has been read.
const VM_LIST_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The pause between two heartbeats to a peer.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// The pause between two heartbeats to a peer while the log may have become unreachable.
const SUSPECT_LOG_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(150);
/// The timeout of one call to a peer.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);
/// The age of the newest confirmed tail at which running streams end. A revoked key must stop
/// working within 4 s, and the difference leaves time to end the streams.
const STREAM_FRESHNESS_LIMIT: Duration = Duration::from_millis(3500);
/// The most records in one answer to a fetch request.
const MAX_FETCH_RECORDS: usize = 100;
/// The pause between two checks whether running streams may continue.
const STREAM_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The age up to which the result of a check is used. An older one means that the process was
/// paused or is overloaded.
const MAX_STREAM_CHECK_AGE: Duration = Duration::from_millis(200);

/// Tracks which entry VMs are live and whether this node's configuration is up to date.
#[derive(Debug)]
pub(crate) struct MembershipService {
    clock: Clock,
    vm_list: VmListClient,
    table: Mutex<PeerTable>,
    identities: Mutex<PeerIdentities>,
    /// Wakes the heartbeat task before its interval has passed.
    heartbeat_trigger: Notify,
    /// Whether the last check found that streams must end.
    streams_stale: watch::Sender<bool>,
    /// When the last check found that streams may continue; 0 if it found that they must end.
    streams_allowed_at_ms: AtomicU64,
}

impl MembershipService {
    pub(crate) fn new(
        settings: &NodeSettings,
        boot: BootId,
        clock: Clock,
        vm_list: VmListClient,
    ) -> Self {
        let address = settings.peer_listen;
        let local = LocalNode {
            node: settings.node.clone(),
            boot,
            address: (!address.ip().is_unspecified()).then_some(address),
            started: clock.now(),
            leaving: false,
            applied: LogOffset::default(),
        };
        Self {
            clock,
            vm_list,
            table: Mutex::new(PeerTable::new(local, settings.claim_age)),
            identities: Mutex::default(),
            heartbeat_trigger: Notify::new(),
            streams_stale: watch::Sender::new(false),
            streams_allowed_at_ms: AtomicU64::new(0),
        }
    }

    /// Counts the bytes of the VM lists read so far.
    pub(crate) fn vm_list_bytes(&self) -> &Counter {
        self.vm_list.received_bytes()
    }

    /// Locks the peer table. The guard must not be held across an await.
    pub(crate) fn table(&self) -> MutexGuard<'_, PeerTable> {
        self.table.lock().expect("no holder of the lock panics")
    }

    /// Records that a read of the log that was sent at `sent` succeeded. Sends heartbeats at once
    /// if the log was unreachable before.
    pub(crate) fn record_log_read(&self, sent: Timestamp) {
        if self.table().record_log_read(sent, self.clock.now()) {
            self.heartbeat_trigger.notify_one();
        }
    }

    /// Waits for the first read of the VM list, at most for `limit`, and returns the addresses of
    /// the other VMs.
    pub(crate) async fn wait_for_peer_addresses(&self, limit: Duration) -> Vec<SocketAddr> {
        let listed = async {
            while self.table().possible_claimants(self.clock.now()).is_none() {
                tokio::time::sleep(VM_LIST_POLL_INTERVAL).await;
            }
        };
        let _ = tokio::time::timeout(limit, listed).await;
        let addresses = self.table().peer_addresses(self.clock.now()).into_iter();
        addresses.map(|(_, address)| address).collect()
    }

    /// Announces to the peers that this node is shutting down and claims no further leases.
    pub(crate) fn announce_shutdown(&self) {
        self.table().local.leaving = true;
        self.heartbeat_trigger.notify_one();
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.table().local.leaving
    }

    /// Whether the configuration is recent enough to accept requests with an API key.
    pub(crate) fn is_fresh(&self, config: &ConfigService) -> bool {
        self.is_confirmed(config, FRESHNESS_LIMIT)
    }

    /// Whether the configuration is recent enough to continue streams of requests with an API key.
    pub(crate) fn may_stream(&self, config: &ConfigService) -> bool {
        self.is_confirmed(config, STREAM_FRESHNESS_LIMIT)
    }

    /// Waits until streams of requests with an API key must end.
    pub(crate) async fn wait_until_stale(&self, config: &ConfigService) {
        let mut stale = self.streams_stale.subscribe();
        loop {
            let _ = stale.wait_for(|stale| *stale).await;
            // The node may have become fresh after the last check.
            if !self.may_stream(config) {
                return;
            }
            tokio::time::sleep(STREAM_CHECK_INTERVAL).await;
        }
    }

    /// Whether streams of requests with an API key may continue. This runs for each token, so it
    /// takes no lock and uses the last check, and calls [`Self::may_stream`] only if that check is
    /// too old or found that streams must end.
    pub(crate) fn may_continue_stream(&self, config: &ConfigService) -> bool {
        let allowed_at_ms = self.streams_allowed_at_ms.load(Ordering::Relaxed);
        let age = self
            .clock
            .now()
            .since(Timestamp::from_millis(allowed_at_ms));
        (allowed_at_ms > 0 && age <= MAX_STREAM_CHECK_AGE) || self.may_stream(config)
    }

    async fn check_streams_periodically(&self, config: &ConfigService) {
        loop {
            self.check_streams(config);
            tokio::time::sleep(STREAM_CHECK_INTERVAL).await;
        }
    }

    /// Checks whether streams may continue and wakes the tasks that wait for their end.
    pub(super) fn check_streams(&self, config: &ConfigService) {
        let now = self.clock.now();
        let may_stream = self.may_stream(config);
        let allowed_at_ms = if may_stream { now.as_millis() } else { 0 };
        self.streams_allowed_at_ms
            .store(allowed_at_ms, Ordering::Relaxed);
        self.streams_stale
            .send_if_modified(|stale| std::mem::replace(stale, !may_stream) == may_stream);
    }

    fn is_confirmed(&self, config: &ConfigService, limit: Duration) -> bool {
        self.update_from_config(config);
        self.table().is_fresh(self.clock.now(), limit)
    }

    /// Updates the applied offset and the confirmed tail from the configuration service.
    fn update_from_config(&self, config: &ConfigService) {
        // The time is read before the offset, so that the offset is not below the confirmed tail.
        let confirmed_at = config.confirmed_at();
        let offset = config.current().next_offset();
        let mut table = self.table();
        table.record_applied(offset);
        if let Some(confirmed_at) = confirmed_at {
            table.record_tail(ConfirmedTail {
                offset,
                confirmed_at,
            });
        }
    }

    /// Answers a request of a peer.
    pub(crate) fn handle(
        &self,
        message: MembershipMessage,
        config: &ConfigService,
    ) -> Option<MembershipMessage> {
        let kind = match message.kind? {
            MembershipKind::Heartbeat(request) => {
                self.update_from_config(config);
                MembershipKind::Answer(self.answer(request))
            }
            MembershipKind::Fetch(request) => {
                MembershipKind::Records(recent_records(config, &request))
            }
            MembershipKind::Answer(_) | MembershipKind::Records(_) => return None,
        };
        Some(MembershipMessage { kind: Some(kind) })
    }

    fn answer(&self, request: Heartbeat) -> HeartbeatAnswer {
        let now = self.clock.now();
        let short = request.is_short();
        let Some(request) = self.identities().expand(request) else {
            return HeartbeatAnswer {
                sender: Some(self.table().heartbeat(now)),
                promises_no_claim: false,
                boot_unknown: true,
            };
        };
        let mut answer = self.table().answer_heartbeat(now, &request);
        if short {
            answer.sender = answer.sender.map(Heartbeat::shortened);
        }
        answer
    }

    fn identities(&self) -> MutexGuard<'_, PeerIdentities> {
        self.identities
            .lock()
            .expect("no holder of the lock panics")
    }

    /// Polls the VM list, sends heartbeats and checks streams until the future is dropped.
    pub(crate) async fn run(&self, context: &NodeContext) {
        tokio::join!(
            self.poll_vm_list(),
            self.send_heartbeats(context),
            self.check_streams_periodically(&context.config)
        );
    }

    async fn poll_vm_list(&self) {
        let mut health = CallHealth::new("membership: reading the VM list");
        loop {
            let read = self.vm_list.list().await;
            health.record(&read);
            if let Ok(vms) = read {
                self.table().set_vm_list(vms, self.clock.now());
            }
            tokio::time::sleep(VM_LIST_INTERVAL).await;
        }
    }

    async fn send_heartbeats(&self, context: &NodeContext) {
        loop {
            let addresses = self.table().peer_addresses(self.clock.now());
            let heartbeats = addresses.into_iter();
            let heartbeats = heartbeats.map(|(_, address)| self.send_heartbeat(context, address));
            let round = futures_util::future::join_all(heartbeats);
            let log_suspect = self.table().is_log_suspect(self.clock.now());
            let interval = if log_suspect {
                SUSPECT_LOG_HEARTBEAT_INTERVAL
            } else {
                HEARTBEAT_INTERVAL
            };
            let pause = tokio::time::sleep(interval);
            tokio::join!(round, async {
                tokio::select! {
                    () = pause => {}
                    () = self.heartbeat_trigger.notified() => {}
                }
            });
        }
    }

    async fn send_heartbeat(&self, context: &NodeContext, address: SocketAddr) {
        if self.try_heartbeat(context, address).await == Some(false) {
            self.try_heartbeat(context, address).await;
        }
    }

    /// Sends one heartbeat. Returns whether the peer knows the boot id of this process, or `None`
    /// without a usable answer.
    async fn try_heartbeat(&self, context: &NodeContext, address: SocketAddr) -> Option<bool> {
        self.update_from_config(&context.config);
        let sent = self.clock.now();
        let heartbeat = self.table().heartbeat(sent);
        let heartbeat = self.identities().heartbeat_for(address, heartbeat);
        let kind = Some(MembershipKind::Heartbeat(heartbeat));
        let body = PeerBody::Membership(MembershipMessage { kind });
        let answer = context.peers.call(address, body, CALL_TIMEOUT).await.ok()?;
        let PeerBody::Membership(MembershipMessage {
            kind: Some(MembershipKind::Answer(mut answer)),
        }) = answer
        else {
            return None;
        };
        let recognized = {
            let mut identities = self.identities();
            answer.sender = identities.expand(answer.sender?);
            let recognized = !answer.boot_unknown && answer.sender.is_some();
            identities.set_recognized(address, recognized);
            recognized
        };
        self.table().apply_answer(sent, self.clock.now(), &answer);
        let applied = LogOffset::from(answer.sender.map_or(0, |sender| sender.applied));
        let behind = applied > context.config.current().next_offset();
        if behind && !self.table().log_reachable(self.clock.now()) {
            self.fetch_records(context, address).await;
        }
        Some(recognized)
    }

    /// Fetches the configuration records that this node lacks from a peer, while it cannot read the
    /// log.
    async fn fetch_records(&self, context: &NodeContext, address: SocketAddr) {
        let from = context.config.current().next_offset().into();
        let kind = Some(MembershipKind::Fetch(FetchRequest { from }));
        let body = PeerBody::Membership(MembershipMessage { kind });
        let answer = context.peers.call(address, body, CALL_TIMEOUT).await;
        if let Ok(PeerBody::Membership(MembershipMessage {
            kind: Some(MembershipKind::Records(answer)),
        })) = answer
        {
            let records = answer.records.into_iter().map(|record| LogRecord {
                offset: LogOffset::from(record.offset),
                at_ms: record.at_ms,
                data: record.data,
            });
            context.config.apply_relayed(&records.collect::<Vec<_>>());
        }
    }
}

fn recent_records(config: &ConfigService, request: &FetchRequest) -> FetchAnswer {
    let records = config
        .recent_records_from(LogOffset::from(request.from))
        .into_iter();
    let records = records.take(MAX_FETCH_RECORDS).map(|record| FetchedRecord {
        offset: record.offset.into(),
        at_ms: record.at_ms,
        data: record.data,
    });
    FetchAnswer {
        records: records.collect(),
    }
}
