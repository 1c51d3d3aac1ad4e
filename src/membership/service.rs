//! Reads the VM list and exchanges heartbeats with the other entry VMs.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use prometheus_client::metrics::counter::Counter;
use tokio::sync::{Notify, watch};

use super::identities::PeerIdentities;
use super::table::{ConfirmedTail, FRESHNESS_LIMIT, OwnNode, PeerTable};
use super::wire::{
    FetchAnswer, FetchAsk, FetchedRecord, Heartbeat, HeartbeatAnswer, MembershipKind,
    MembershipMessage,
};
use crate::clock::{Clock, Timestamp};
use crate::config::service::ConfigService;
use crate::context::NodeContext;
use crate::ids::{BootId, LogOffset};
use crate::log_service::{CallHealth, LogRecord, VmListClient};
use crate::peer::PeerBody;
use crate::settings::NodeSettings;

/// The pause between two reads of the VM list. The list lags anyway, and peers are also known by
/// their heartbeats; with 8 VMs, a read each 0.5 s took 1.2 KB/s.
const LIST_INTERVAL: Duration = Duration::from_secs(1);
/// The pause between two looks whether the list was read.
const LIST_POLL: Duration = Duration::from_millis(10);
/// The pause between two heartbeats to a peer.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// The pause between two heartbeats when the log may have become unreachable.
const DOUBT_INTERVAL: Duration = Duration::from_millis(150);
/// How long one heartbeat may take.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);
/// The age of the newest confirmed tail at which running streams end. Below the 4 s in which a
/// revoked key must stop working, to leave time to act.
const STREAM_LIMIT: Duration = Duration::from_millis(3500);
/// The most records in one answer to a peer.
const FETCH_RECORDS: usize = 100;
/// How often the node looks whether running streams may go on.
const STREAM_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// A look that is older than this does not count: the process was paused or is very busy.
const STREAM_CHECK_AGE: Duration = Duration::from_millis(200);

/// Knows which entry VMs are live and how recent this node's knowledge of the log is.
#[derive(Debug)]
pub(crate) struct MembershipService {
    clock: Clock,
    list: VmListClient,
    table: Mutex<PeerTable>,
    identities: Mutex<PeerIdentities>,
    /// Asks for heartbeats at once.
    announcement: Notify,
    /// Whether the last look found that streams must end.
    streams_stale: watch::Sender<bool>,
    /// When the last look found that streams may go on, in milliseconds.
    streams_confirmed: AtomicU64,
}

impl MembershipService {
    pub(crate) fn new(settings: &NodeSettings, boot: BootId, clock: Clock) -> Self {
        let address = settings.peer_listen;
        let own = OwnNode {
            node: settings.node.clone(),
            boot,
            address: (!address.ip().is_unspecified()).then_some(address),
            started: clock.now(),
            leaving: false,
            applied: LogOffset::default(),
        };
        Self {
            clock,
            list: VmListClient::new(&settings.platform_url),
            table: Mutex::new(PeerTable::new(own, settings.claim_age)),
            identities: Mutex::default(),
            announcement: Notify::new(),
            streams_stale: watch::Sender::new(false),
            streams_confirmed: AtomicU64::new(0),
        }
    }

    /// The bytes of the VM lists read so far.
    pub(crate) fn list_bytes(&self) -> &Counter {
        self.list.received()
    }

    /// The peer table. Do not hold the guard across an await.
    pub(crate) fn table(&self) -> MutexGuard<'_, PeerTable> {
        self.table.lock().expect("no holder of the lock panics")
    }

    /// Notes a read of the log that succeeded; tells the peers at once if the log has returned.
    pub(crate) fn note_log_read(&self, sent: Timestamp) {
        if self.table().note_log_read(sent, self.clock.now()) {
            self.announcement.notify_one();
        }
    }

    /// The addresses of the other VMs, once the list was read or `limit` is over.
    pub(crate) async fn listed_addresses(&self, limit: Duration) -> Vec<SocketAddr> {
        let listed = async {
            while self.table().claimants(self.clock.now()).is_none() {
                tokio::time::sleep(LIST_POLL).await;
            }
        };
        let _ = tokio::time::timeout(limit, listed).await;
        let addresses = self.table().addresses(self.clock.now()).into_iter();
        addresses.map(|(_, address)| address).collect()
    }

    /// Tells the peers that this node is shutting down and claims nothing any more.
    pub(crate) fn leave(&self) {
        self.table().own.leaving = true;
        self.announcement.notify_one();
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.table().own.leaving
    }

    /// Whether requests under keys may be accepted.
    pub(crate) fn is_fresh(&self, config: &ConfigService) -> bool {
        self.is_confirmed(config, FRESHNESS_LIMIT)
    }

    /// Whether streams under keys may go on.
    pub(crate) fn may_stream(&self, config: &ConfigService) -> bool {
        self.is_confirmed(config, STREAM_LIMIT)
    }

    /// Returns when streams under keys must end.
    pub(crate) async fn wait_until_stale(&self, config: &ConfigService) {
        let mut stale = self.streams_stale.subscribe();
        loop {
            let _ = stale.wait_for(|stale| *stale).await;
            // The node may have become fresh after the last look.
            if !self.may_stream(config) {
                return;
            }
            tokio::time::sleep(STREAM_CHECK_INTERVAL).await;
        }
    }

    /// Whether streams under keys may go on, as the last look found if that is recent. It takes
    /// no lock, unlike [`Self::may_stream`], since it is asked for each token.
    pub(crate) fn may_go_on(&self, config: &ConfigService) -> bool {
        let confirmed = self.streams_confirmed.load(Ordering::Relaxed);
        let age = self.clock.now().since(Timestamp::from_millis(confirmed));
        (confirmed > 0 && age <= STREAM_CHECK_AGE) || self.may_stream(config)
    }

    /// Looks again and again whether streams may go on.
    async fn watch_streams(&self, config: &ConfigService) {
        loop {
            self.check_streams(config);
            tokio::time::sleep(STREAM_CHECK_INTERVAL).await;
        }
    }

    /// Looks whether streams may go on and tells those that wait.
    pub(super) fn check_streams(&self, config: &ConfigService) {
        let now = self.clock.now();
        let may_stream = self.may_stream(config);
        let confirmed = if may_stream { now.as_millis() } else { 0 };
        self.streams_confirmed.store(confirmed, Ordering::Relaxed);
        self.streams_stale
            .send_if_modified(|stale| std::mem::replace(stale, !may_stream) == may_stream);
    }

    fn is_confirmed(&self, config: &ConfigService, limit: Duration) -> bool {
        self.note_config(config);
        self.table().is_fresh(self.clock.now(), limit)
    }

    /// Takes in how far the configuration is applied and when that was last confirmed.
    fn note_config(&self, config: &ConfigService) {
        // In this order, so that the offset is not lower than the tail that was confirmed.
        let confirmed = config.confirmed_at();
        let offset = config.current().next_offset();
        let mut table = self.table();
        table.note_applied(offset);
        if let Some(at) = confirmed {
            table.note_tail(ConfirmedTail { offset, at });
        }
    }

    /// Answers a peer's message.
    pub(crate) fn handle(
        &self,
        message: MembershipMessage,
        config: &ConfigService,
    ) -> Option<MembershipMessage> {
        let kind = match message.kind? {
            MembershipKind::Heartbeat(ask) => {
                self.note_config(config);
                MembershipKind::Answer(self.answer(ask))
            }
            MembershipKind::Fetch(ask) => MembershipKind::Fetched(fetch(config, &ask)),
            MembershipKind::Answer(_) | MembershipKind::Fetched(_) => return None,
        };
        Some(MembershipMessage { kind: Some(kind) })
    }

    fn answer(&self, ask: Heartbeat) -> HeartbeatAnswer {
        let now = self.clock.now();
        let short = ask.is_short();
        let Some(ask) = self.identities().completed(ask) else {
            return HeartbeatAnswer {
                own: Some(self.table().heartbeat(now)),
                promises: false,
                unknown: true,
            };
        };
        let mut answer = self.table().answer(now, &ask);
        if short {
            answer.own = answer.own.map(Heartbeat::shortened);
        }
        answer
    }

    fn identities(&self) -> MutexGuard<'_, PeerIdentities> {
        self.identities
            .lock()
            .expect("no holder of the lock panics")
    }

    /// Follows the VM list and sends heartbeats until the future is dropped.
    pub(crate) async fn run(&self, context: &NodeContext) {
        tokio::join!(
            self.follow_list(),
            self.send_heartbeats(context),
            self.watch_streams(&context.config)
        );
    }

    async fn follow_list(&self) {
        let mut health = CallHealth::new("membership: reading the VM list");
        loop {
            let read = self.list.list().await;
            health.note(&read);
            if let Ok(vms) = read {
                self.table().set_list(vms, self.clock.now());
            }
            tokio::time::sleep(LIST_INTERVAL).await;
        }
    }

    async fn send_heartbeats(&self, context: &NodeContext) {
        loop {
            let addresses = self.table().addresses(self.clock.now());
            let beats = addresses.into_iter();
            let beats = beats.map(|(_, address)| self.send_heartbeat(context, address));
            let round = futures_util::future::join_all(beats);
            let doubtful = self.table().is_log_doubtful(self.clock.now());
            let interval = if doubtful {
                DOUBT_INTERVAL
            } else {
                HEARTBEAT_INTERVAL
            };
            let pause = tokio::time::sleep(interval);
            tokio::join!(round, async {
                tokio::select! {
                    () = pause => {}
                    () = self.announcement.notified() => {}
                }
            });
        }
    }

    async fn send_heartbeat(&self, context: &NodeContext, address: SocketAddr) {
        if self.try_heartbeat(context, address).await == Some(false) {
            self.try_heartbeat(context, address).await;
        }
    }

    /// Sends one heartbeat; `Some(false)` when the peer wants it with names.
    async fn try_heartbeat(&self, context: &NodeContext, address: SocketAddr) -> Option<bool> {
        self.note_config(&context.config);
        let sent = self.clock.now();
        let heartbeat = self.table().heartbeat(sent);
        let heartbeat = self.identities().addressed(address, heartbeat);
        let kind = Some(MembershipKind::Heartbeat(heartbeat));
        let body = PeerBody::Membership(MembershipMessage { kind });
        let answer = context.peers.call(address, body, CALL_TIMEOUT).await.ok()?;
        let PeerBody::Membership(MembershipMessage {
            kind: Some(MembershipKind::Answer(mut answer)),
        }) = answer
        else {
            return None;
        };
        let knows = {
            let mut identities = self.identities();
            answer.own = identities.completed(answer.own?);
            let knows = !answer.unknown && answer.own.is_some();
            identities.note_introduced(address, knows);
            knows
        };
        self.table().accept_answer(sent, self.clock.now(), &answer);
        let applied = LogOffset::from(answer.own.map_or(0, |own| own.applied));
        let behind = applied > context.config.current().next_offset();
        if behind && !self.table().log_reachable(self.clock.now()) {
            self.fetch_records(context, address).await;
        }
        Some(knows)
    }

    /// Fetches configuration records that this node can't read from the log.
    async fn fetch_records(&self, context: &NodeContext, address: SocketAddr) {
        let from = context.config.current().next_offset().into();
        let kind = Some(MembershipKind::Fetch(FetchAsk { from }));
        let body = PeerBody::Membership(MembershipMessage { kind });
        let answer = context.peers.call(address, body, CALL_TIMEOUT).await;
        if let Ok(PeerBody::Membership(MembershipMessage {
            kind: Some(MembershipKind::Fetched(answer)),
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

fn fetch(config: &ConfigService, ask: &FetchAsk) -> FetchAnswer {
    let records = config.recent_from(LogOffset::from(ask.from)).into_iter();
    let records = records.take(FETCH_RECORDS).map(|record| FetchedRecord {
        offset: record.offset.into(),
        at_ms: record.at_ms,
        data: record.data,
    });
    FetchAnswer {
        records: records.collect(),
    }
}
