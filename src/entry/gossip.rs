//! Messages between entry VMs, sent as self-contained UDP datagrams that may be lost.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use prometheus_client::metrics::counter::Counter;
use prost::Message;
use tokio::net::UdpSocket;

use super::load_report::{apply_report, build_load_report};
use super::shared::EntryShared;
use super::state::{EntryState, SMALL_FLEET_SIZE};
use super::usage::repeat_adapter_loads;
use super::wire::{AdapterReference, LoadedAdapter, PeerMessage, StrikeCount, TargetResidency};
use super::wire_log::ConfigFreshness;
use crate::clock::Timestamp;
use crate::collections::{FastMap, FastSet};
use crate::dispatch::account_limit::ReportScope;
use crate::dispatch::adapter_usage::USAGE_REFRESH_INTERVAL;
use crate::dispatch::directory::TargetKey;
use crate::dispatch::load_order::LoadAnswer;
use crate::ids::{ModelAdapter, NodeName};

/// The shortest interval between reports. Limits over all VMs may be exceeded by what is admitted
/// within this time.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// The approximate upper limit of reports per second to all peers in this VM's zone. With many
/// peers, the interval between reports grows to stay below it.
const OWN_ZONE_DATAGRAMS_PER_S: usize = 100;
/// The same limit for peers in other zones, lower because traffic between zones is expensive.
const OTHER_ZONES_DATAGRAMS_PER_S: usize = 50;
/// The largest datagram, below the usual MTU of 1500 bytes.
const MAX_DATAGRAM_BYTES: usize = 1400;
/// The largest factor by which owners lengthen the announcement interval in a large fleet.
const MAX_ANNOUNCE_SCALE: u32 = 3;
/// How long a VM that requested a load receives announcements about the target at once. It repeats
/// the load request while a request waits.
const REQUESTER_LIFETIME: Duration = Duration::from_secs(2);
/// How often owners repeat announcements, to make up for lost datagrams.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(1000);

/// An empty message with this VM's name and boot id.
pub(crate) fn new_message(state: &EntryState) -> PeerMessage {
    PeerMessage {
        node: state.settings.node.to_string(),
        boot: state.boot.into(),
        ..PeerMessage::default()
    }
}

/// The base model and adapters of a target that this VM owns, as announced to peers.
pub(crate) fn target_residency(state: &EntryState, target: TargetKey) -> Option<TargetResidency> {
    // A new owner has nothing to announce before the target's first report.
    let planner = state.planners.get(&target);
    let planner = planner.filter(|planner| planner.is_informed())?;
    let model = planner.available_models().first();
    let model = model.map_or(String::new(), ToString::to_string);
    let item = |(adapter, version): (&ModelAdapter, u64)| LoadedAdapter {
        adapter: adapter.relative_to(&model).to_owned(),
        version,
    };
    let adapters = planner.resident_adapters().map(item).collect();
    let loading = planner
        .pending_adapters()
        .map(|adapter| adapter.relative_to(&model).to_owned())
        .collect();
    Some(TargetResidency {
        target: target.into(),
        adapters,
        loading,
        unavailable: planner.is_unavailable(),
        model,
    })
}

#[derive(Debug)]
pub(crate) struct PeerSocket {
    socket: UdpSocket,
    sent_bytes: Counter,
}

impl PeerSocket {
    /// Binds the socket. The bytes that it sends are added to `sent_bytes`.
    pub(crate) async fn bind(address: SocketAddr, sent_bytes: Counter) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(address).await?;
        Ok(Self { socket, sent_bytes })
    }

    pub(crate) fn send(&self, message: &PeerMessage, to: SocketAddr) {
        self.send_each(message, [to]);
    }

    fn send_each(&self, message: &PeerMessage, addresses: impl IntoIterator<Item = SocketAddr>) {
        let bytes = message.encode_to_vec();
        for to in addresses {
            // A full send buffer drops the datagram, as a congested network does. Reports are
            // repeated.
            match self.socket.try_send_to(&bytes, to) {
                Ok(sent) => {
                    self.sent_bytes.inc_by(sent as u64);
                }
                Err(error) => tracing::debug!(%to, %error, "peers: sending a datagram failed"),
            }
        }
    }
}

pub(crate) fn broadcast(shared: &EntryShared, message: &PeerMessage) {
    let addresses = shared.state.borrow().peer_addresses();
    shared.peer_socket.send_each(message, addresses);
}

/// Which peers receive announcements about owned targets at once, and which changed targets are
/// still to be announced to all peers.
#[derive(Debug, Default)]
pub(crate) struct AnnouncementTracker {
    /// The VMs that recently requested a load on a target.
    requesters: FastMap<TargetKey, FastMap<SocketAddr, Timestamp>>,
    /// Targets that have changed since the last announcement to all VMs.
    changed: FastSet<TargetKey>,
}

impl AnnouncementTracker {
    fn add_requester(&mut self, target: TargetKey, requester: SocketAddr, now: Timestamp) {
        self.requesters
            .entry(target)
            .or_default()
            .insert(requester, now);
    }

    /// The VMs that recently requested a load on the target.
    fn requesters(&mut self, target: TargetKey, now: Timestamp) -> Vec<SocketAddr> {
        let Some(requesters) = self.requesters.get_mut(&target) else {
            return Vec::new();
        };
        requesters.retain(|_, requested_at| now.since(*requested_at) < REQUESTER_LIFETIME);
        requesters.keys().copied().collect()
    }
}

/// Announces the adapters of a target that this VM owns: to all peers in a small fleet, otherwise
/// only to those that recently requested a load on it.
pub(crate) fn announce_target(shared: &EntryShared, target: TargetKey) {
    let now = shared.clock.now();
    let Some(message) = residency_message(shared, target) else {
        return;
    };
    let mut addresses = shared.state.borrow().peer_addresses();
    if addresses.len() > SMALL_FLEET_SIZE {
        let mut tracker = shared.announcements.borrow_mut();
        tracker.changed.insert(target);
        addresses = tracker.requesters(target, now);
    }
    shared.peer_socket.send_each(&message, addresses);
}

fn broadcast_residency(shared: &EntryShared, target: TargetKey) {
    if let Some(message) = residency_message(shared, target) {
        broadcast(shared, &message);
    }
}

fn residency_message(shared: &EntryShared, target: TargetKey) -> Option<PeerMessage> {
    let state = shared.state.borrow();
    let residency = vec![target_residency(&state, target)?];
    Some(PeerMessage {
        residency,
        ..new_message(&state)
    })
}

/// Sends periodic reports and announcements to all peers.
pub(crate) async fn run_reports(shared: Rc<EntryShared>) {
    let mut other_zones_at = Timestamp::default();
    let mut announced_at = Timestamp::default();
    let mut changes_announced_at = Timestamp::default();
    let mut usage_sent_at = Timestamp::default();
    loop {
        let (own_zone_peers, other_zone_peers) = {
            let state = shared.state.borrow();
            let addresses = |own_zone| state.peer_addresses_in_zone(own_zone);
            (addresses(true), addresses(false))
        };
        let interval = report_interval(own_zone_peers.len(), OWN_ZONE_DATAGRAMS_PER_S);
        let other_zones_interval =
            report_interval(other_zone_peers.len(), OTHER_ZONES_DATAGRAMS_PER_S).max(interval);
        tokio::time::sleep(interval).await;
        let now = shared.clock.now();
        shared.state.borrow_mut().expire_peers(now);
        report_to(
            &shared,
            &own_zone_peers,
            ReportScope::OwnZone,
            interval,
            now,
        );
        if now.since(other_zones_at) + interval / 2 >= other_zones_interval {
            other_zones_at = now;
            report_to(
                &shared,
                &other_zone_peers,
                ReportScope::OtherZones,
                other_zones_interval,
                now,
            );
        }
        if now.since(usage_sent_at) >= USAGE_REFRESH_INTERVAL {
            usage_sent_at = now;
            repeat_adapter_loads(&shared);
        }
        if now.since(changes_announced_at) >= ANNOUNCE_INTERVAL {
            changes_announced_at = now;
            let changed = std::mem::take(&mut shared.announcements.borrow_mut().changed);
            for target in changed {
                broadcast_residency(&shared, target);
            }
        }
        let scale =
            u32::try_from((own_zone_peers.len() + other_zone_peers.len()) / SMALL_FLEET_SIZE)
                .unwrap_or(0)
                .clamp(1, MAX_ANNOUNCE_SCALE);
        if now.since(announced_at) >= ANNOUNCE_INTERVAL * scale {
            announced_at = now;
            let targets: Vec<_> = shared.state.borrow().planners.keys().copied().collect();
            for target in targets {
                broadcast_residency(&shared, target);
            }
        }
    }
}

fn report_interval(peers: usize, datagrams_per_s: usize) -> Duration {
    MIN_REPORT_INTERVAL.max(Duration::from_secs_f64(
        peers as f64 / datagrams_per_s as f64,
    ))
}

fn report_to(
    shared: &EntryShared,
    addresses: &[SocketAddr],
    scope: ReportScope,
    interval: Duration,
    now: Timestamp,
) {
    let message = {
        let mut state = shared.state.borrow_mut();
        let mut report = build_load_report(&mut state, scope, interval, now);
        super::scaling::add_demand(shared, &mut state, &mut report, now);
        let report = Some(report);
        let strikes = state.strikes.recent_changes(now);
        let strikes = strikes.map(|(fingerprint, count)| StrikeCount { fingerprint, count });
        let strikes = strikes.collect();
        PeerMessage {
            report,
            strikes,
            ..new_message(&state)
        }
    };
    shared
        .peer_socket
        .send_each(&message, addresses.iter().copied());
}

/// Receives and handles the messages of peers.
pub(crate) async fn run_receiver(shared: Rc<EntryShared>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES * 8];
    loop {
        let (count, from) = match shared.peer_socket.socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                tracing::warn!(%error, "peers: receiving a datagram failed");
                tokio::time::sleep(MIN_REPORT_INTERVAL).await;
                continue;
            }
        };
        match PeerMessage::decode(&buffer[..count]) {
            Ok(message) => handle_message(&shared, message, from),
            Err(error) => tracing::warn!(%from, %error, "peers: decoding a datagram failed"),
        }
    }
}

fn handle_message(shared: &Rc<EntryShared>, mut message: PeerMessage, from: SocketAddr) {
    let now = shared.clock.now();
    let Ok(node) = message.node.parse::<NodeName>() else {
        tracing::warn!(%from, "peers: dropped a message with an invalid sender name");
        return;
    };
    let Some(changed_adapters) = apply_message(shared, &node, &mut message, from, now) else {
        return;
    };
    shared.wait_queue.wake_requests_for(&changed_adapters);
    super::leaving::apply_peer_statements(shared, &node, &message.leaving, now);
    super::target_rates::apply_peer_limits(shared, &node, &message.limits, now);
    super::cold_permits::handle_message(shared, &message, from, now);
    super::account_grants::handle_message(shared, &message, from, now);
    super::reach::handle_message(shared, &node, &message, from, now);
    super::suspects::apply_message(shared, &message, from);
    super::copies::handle_message(shared, &message, from, now);
    super::usage_counts::apply_message(shared, &node, &message, from, now);
    if let Some(relay) = message.relay {
        super::targets::handle_relay(shared, &node, relay, message.records);
    }
    if let Some(query) = message.freshness_query {
        send_freshness(shared, query, from, now);
    }
    if let Some(freshness) = message.freshness {
        super::follow::handle_freshness(shared, &node, freshness, now);
    }
    handle_load_requests(shared, message.load_requests, from, now);
}

/// Applies the parts of a message that only change this VM's state. Returns the adapters whose
/// waiting requests must choose again, because the adapter is loaded or its load was refused, or
/// `None` if this VM sent the message itself.
fn apply_message(
    shared: &EntryShared,
    node: &NodeName,
    message: &mut PeerMessage,
    from: SocketAddr,
    now: Timestamp,
) -> Option<Vec<ModelAdapter>> {
    let mut state = shared.state.borrow_mut();
    if *node == state.settings.node {
        return None;
    }
    state.record_contact(node, from, now);
    if let Some(report) = message.report.take() {
        let wall_ms = report.wall_ms;
        apply_report(&mut state, node, message.boot.into(), report, from, now);
        super::usage_counts::apply_wall_clock(shared, node, wall_ms, now);
    }
    super::cold_reports::apply_statements(&mut state, node, &message.cold_targets, now);
    for strike in &message.strikes {
        state
            .strikes
            .merge_peer_count(strike.fingerprint, strike.count, now);
    }
    let mut changed_adapters = Vec::new();
    for residency in message.residency.drain(..) {
        changed_adapters.extend(state.apply_residency(residency, now));
    }
    for load in &message.adapter_loads {
        if let Ok(adapter) = load.adapter.parse() {
            state.record_adapter_load(node, load.target.into(), &adapter, load.in_flight, now);
        }
    }
    for refusal in &message.load_refusals {
        if let Ok(adapter) = refusal.adapter.parse() {
            let target = refusal.target.into();
            state.residency.mark_full(target, &adapter, now);
            changed_adapters.push(adapter);
        }
    }
    Some(changed_adapters)
}

/// Queues the loads that a peer has requested, and refuses those that no slot is open for.
fn handle_load_requests(
    shared: &EntryShared,
    load_requests: Vec<AdapterReference>,
    from: SocketAddr,
    now: Timestamp,
) {
    for load in load_requests {
        let target = load.target.into();
        let mut tracker = shared.announcements.borrow_mut();
        tracker.add_requester(target, from, now);
        drop(tracker);
        let Ok(adapter) = load.adapter.parse() else {
            continue;
        };
        let answer = super::orders::handle_load_request(shared, target, &adapter, load.version);
        if answer == Some(LoadAnswer::Full) {
            let empty = new_message(&shared.state.borrow());
            let refusal = PeerMessage {
                load_refusals: vec![load],
                ..empty
            };
            shared.peer_socket.send(&refusal, from);
        }
    }
}

/// Replies with how recent this VM's view of the operator's records is.
fn send_freshness(shared: &EntryShared, query: u64, to: SocketAddr, now: Timestamp) {
    let message = {
        let state = shared.state.borrow();
        let (Some(next), Some(confirmed_at)) = (state.operator_next, state.confirmed_at) else {
            return;
        };
        let age_ms = now.since(confirmed_at).as_millis() as u64;
        let freshness = Some(ConfigFreshness {
            query,
            next_offset: next.offset.into(),
            age_ms,
            first_offset: next.offset.into(),
            records: Vec::new(),
            era: next.era.into(),
            version: state.config.as_ref().map(|config| config.version),
        });
        PeerMessage {
            freshness,
            ..new_message(&state)
        }
    };
    shared.peer_socket.send(&message, to);
}
