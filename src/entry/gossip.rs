//! Messages between entry VMs: datagrams that may be lost, each complete in itself.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use prost::Message;
use tokio::net::UdpSocket;

use super::shared::EntryShared;
use super::state::{EntryState, SMALL_FLEET};
use super::wire::{
    AccountTotal, AdapterItem, AdapterNote, ConfirmNote, LoadReport, PeerMessage, StrikeNote,
    TargetHoldings, TargetLoad,
};
use crate::clock::Timestamp;
use crate::collections::{FastMap, FastSet};
use crate::dispatch::allowance::{AccountUse, ReportScope};
use crate::dispatch::directory::TargetKey;
use crate::dispatch::peer_view::PeerReport;
use crate::ids::{AdapterName, BootId, NodeName};

/// The least pause between reports. Limits over all VMs are exact to what is admitted in this time.
const REPORT_PAUSE: Duration = Duration::from_millis(100);
/// Reports to the peers in this VM's zone are as rare as it takes to send at most about this many
/// datagrams a second.
const NEAR_REPORTS_PER_S: usize = 100;
/// The same for the peers in other zones: bytes between zones are dear.
const FAR_REPORTS_PER_S: usize = 50;
/// The largest datagram, below the usual MTU.
const DATAGRAM_LIMIT: usize = 1400;
/// With many VMs, owners repeat their announcements this much more rarely, at most.
const ANNOUNCE_SCALE: u32 = 3;
/// A VM that asked for a load is told of the target's changes for this long; it repeats its ask
/// while a request waits.
const ASKER_LIFETIME: Duration = Duration::from_secs(2);
/// Owners repeat what their targets hold after this time, for datagrams that were lost.
const ANNOUNCE_PAUSE: Duration = Duration::from_millis(1000);

/// A message without content from this VM.
pub(crate) fn blank_message(state: &EntryState) -> PeerMessage {
    PeerMessage {
        node: state.settings.node.to_string(),
        boot: state.boot.into(),
        ..PeerMessage::default()
    }
}

fn load_report(
    state: &mut EntryState,
    scope: ReportScope,
    pause: Duration,
    now: Timestamp,
) -> LoadReport {
    let (sequence, full) = state.next_report(scope);
    let loads = state.own_loads.iter().filter(|(_, count)| **count > 0);
    // Peers that don't know the zone yet count as being in another one.
    let zone = full || scope == ReportScope::OtherZones;
    let zone = zone.then(|| state.settings.zone.to_string());
    let accounts = state.allowances.report_uses(scope, full).into_iter();
    LoadReport {
        sequence,
        generation: state.lease.generation(),
        partitions: state.lease.active(now),
        loads: loads
            .map(|(target, count)| TargetLoad {
                target: (*target).into(),
                in_flight: *count,
            })
            .collect(),
        accounts: accounts
            .map(|(account, own)| AccountTotal {
                account: account.to_string(),
                units: own.total as u64,
                level: own.level as i64,
            })
            .collect(),
        zone,
        pause_ms: pause.as_millis() as u32,
        relays: state.relays_sent,
    }
}

/// What a target of this VM holds, for its peers.
pub(crate) fn holdings_of(state: &EntryState, target: TargetKey) -> Option<TargetHoldings> {
    let planner = state.planners.get(&target)?;
    let item = |(adapter, version): (&AdapterName, u64)| AdapterItem {
        adapter: adapter.to_string(),
        version,
    };
    let adapters = planner.resident().map(item).collect();
    let loading = planner.expected().map(ToString::to_string).collect();
    Some(TargetHoldings {
        target: target.into(),
        adapters,
        loading,
        out: planner.is_out(),
        model: planner
            .held_model()
            .map_or(String::new(), ToString::to_string),
    })
}

/// The socket for messages between entry VMs.
#[derive(Debug)]
pub(crate) struct PeerSocket {
    socket: UdpSocket,
}

impl PeerSocket {
    pub(crate) async fn bind(address: SocketAddr) -> std::io::Result<Self> {
        Ok(Self {
            socket: UdpSocket::bind(address).await?,
        })
    }

    pub(crate) fn send(&self, message: &PeerMessage, to: SocketAddr) {
        self.send_each(message, [to]);
    }

    fn send_each(&self, message: &PeerMessage, addresses: impl IntoIterator<Item = SocketAddr>) {
        let bytes = message.encode_to_vec();
        for to in addresses {
            // A full send buffer loses the datagram like a full link does; reports are repeated.
            if let Err(error) = self.socket.try_send_to(&bytes, to) {
                tracing::debug!(%to, %error, "peers: a datagram was not sent");
            }
        }
    }
}

/// Sends a message to all known peers.
pub(crate) fn send_to_all(shared: &EntryShared, message: &PeerMessage) {
    let addresses = shared.state.borrow().peer_addresses();
    shared.peers.send_each(message, addresses);
}

/// Who is told at once what targets of this VM hold, and which targets the others hear of later.
#[derive(Debug, Default)]
pub(crate) struct AnnouncementBook {
    /// The VMs that lately asked for a load on a target.
    askers: FastMap<TargetKey, FastMap<SocketAddr, Timestamp>>,
    /// Targets that have changed since all VMs were told.
    changed: FastSet<TargetKey>,
}

impl AnnouncementBook {
    fn note_asker(&mut self, target: TargetKey, asker: SocketAddr, now: Timestamp) {
        self.askers.entry(target).or_default().insert(asker, now);
    }

    /// The VMs that wait for a target's loads.
    fn askers(&mut self, target: TargetKey, now: Timestamp) -> Vec<SocketAddr> {
        let Some(askers) = self.askers.get_mut(&target) else {
            return Vec::new();
        };
        askers.retain(|_, asked_at| now.since(*asked_at) < ASKER_LIFETIME);
        askers.keys().copied().collect()
    }
}

/// Tells peers what a target of this VM holds: all of a few, of many those that wait for it.
pub(crate) fn announce(shared: &EntryShared, target: TargetKey) {
    let now = shared.clock.now();
    let Some(message) = holdings_message(shared, target) else {
        return;
    };
    let mut addresses = shared.state.borrow().peer_addresses();
    if addresses.len() > SMALL_FLEET {
        let mut book = shared.announcements.borrow_mut();
        book.changed.insert(target);
        addresses = book.askers(target, now);
    }
    shared.peers.send_each(&message, addresses);
}

/// Tells all peers what a target of this VM holds.
fn announce_to_all(shared: &EntryShared, target: TargetKey) {
    if let Some(message) = holdings_message(shared, target) {
        send_to_all(shared, &message);
    }
}

fn holdings_message(shared: &EntryShared, target: TargetKey) -> Option<PeerMessage> {
    let state = shared.state.borrow();
    let holdings = vec![holdings_of(&state, target)?];
    Some(PeerMessage {
        holdings,
        ..blank_message(&state)
    })
}

/// Reports to all peers from time to time.
pub(crate) async fn run_reports(shared: Rc<EntryShared>) {
    let mut far_at = Timestamp::default();
    let mut announced_at = Timestamp::default();
    let mut changes_at = Timestamp::default();
    loop {
        let (near, far) = {
            let state = shared.state.borrow();
            let addresses = |own_zone| state.peer_addresses_in_zone(own_zone);
            (addresses(true), addresses(false))
        };
        let pause = report_pause(near.len(), NEAR_REPORTS_PER_S);
        let far_pause = report_pause(far.len(), FAR_REPORTS_PER_S).max(pause);
        tokio::time::sleep(pause).await;
        let now = shared.clock.now();
        shared.state.borrow_mut().expire_peers(now);
        report_to(&shared, &near, ReportScope::OwnZone, pause, now);
        if now.since(far_at) + pause / 2 >= far_pause {
            far_at = now;
            report_to(&shared, &far, ReportScope::OtherZones, far_pause, now);
        }
        send_uses(&shared);
        if now.since(changes_at) >= ANNOUNCE_PAUSE {
            changes_at = now;
            let changed = std::mem::take(&mut shared.announcements.borrow_mut().changed);
            for target in changed {
                announce_to_all(&shared, target);
            }
        }
        let scale = u32::try_from((near.len() + far.len()) / SMALL_FLEET)
            .unwrap_or(0)
            .clamp(1, ANNOUNCE_SCALE);
        if now.since(announced_at) >= ANNOUNCE_PAUSE * scale {
            announced_at = now;
            let targets: Vec<_> = shared.state.borrow().planners.keys().copied().collect();
            for target in targets {
                announce_to_all(&shared, target);
            }
        }
    }
}

fn report_pause(peers: usize, datagrams_per_s: usize) -> Duration {
    REPORT_PAUSE.max(Duration::from_secs_f64(
        peers as f64 / datagrams_per_s as f64,
    ))
}

fn report_to(
    shared: &EntryShared,
    addresses: &[SocketAddr],
    scope: ReportScope,
    pause: Duration,
    now: Timestamp,
) {
    let message = {
        let mut state = shared.state.borrow_mut();
        let report = Some(load_report(&mut state, scope, pause, now));
        let strikes = state.strikes.recent(now);
        let strikes = strikes.map(|(fingerprint, count)| StrikeNote { fingerprint, count });
        let strikes = strikes.collect();
        PeerMessage {
            report,
            strikes,
            ..blank_message(&state)
        }
    };
    shared.peers.send_each(&message, addresses.iter().copied());
}

/// Tells the owners which adapters requests have used.
fn send_uses(shared: &EntryShared) {
    let uses = std::mem::take(&mut shared.state.borrow_mut().uses);
    for (target, adapters) in uses {
        let (owner, mut message) = {
            let state = shared.state.borrow();
            (state.owner_address(target), blank_message(&state))
        };
        let Some(owner) = owner else {
            continue;
        };
        let note = |adapter: AdapterName| AdapterNote {
            target: target.into(),
            adapter: adapter.to_string(),
            version: 0,
        };
        message.uses = adapters.into_iter().map(note).collect();
        shared.peers.send(&message, owner);
    }
}

/// Takes in the messages of peers.
pub(crate) async fn run_receiver(shared: Rc<EntryShared>) {
    let mut buffer = vec![0; DATAGRAM_LIMIT * 8];
    loop {
        let (count, from) = match shared.peers.socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                tracing::warn!(%error, "peers: receiving a datagram failed");
                tokio::time::sleep(REPORT_PAUSE).await;
                continue;
            }
        };
        match PeerMessage::decode(&buffer[..count]) {
            Ok(message) => take_message(&shared, message, from),
            Err(error) => tracing::warn!(%from, %error, "peers: a datagram can't be read"),
        }
    }
}

fn take_message(shared: &Rc<EntryShared>, message: PeerMessage, from: SocketAddr) {
    let now = shared.clock.now();
    let Ok(node) = message.node.parse::<NodeName>() else {
        tracing::warn!(%from, "peers: a message without a readable name");
        return;
    };
    let mut wake = Vec::new();
    {
        let mut state = shared.state.borrow_mut();
        if node == state.settings.node {
            return;
        }
        state.learn_peer(&node, from);
        let peer = (&node, message.boot.into());
        let reported = message.report.as_ref().map(|report| (report.relays, false));
        let arrived = (message.relay > 0).then_some((message.relay, true));
        if let Some((sent, arrives)) = arrived.or(reported)
            && state.is_relay_lost(peer, sent, arrives)
        {
            tracing::info!(peer = %node, "peers: a message with targets' records was lost");
            shared.relay_lost.notify_one();
        }
        if let Some(report) = message.report {
            note_report(&mut state, &node, message.boot.into(), report, from, now);
        }
        for strike in message.strikes {
            state.strikes.merge(strike.fingerprint, strike.count, now);
        }
        for holdings in message.holdings {
            wake.extend(state.note_holdings(holdings, now));
        }
        for note in message.uses {
            if let Ok(adapter) = note.adapter.parse()
                && let Some(planner) = state.planners.get_mut(&note.target.into())
            {
                planner.note_use(&adapter, now);
            }
        }
    }
    shared.waiting.wake_adapters(&wake);
    if !message.records.is_empty() {
        super::follow::take_relayed(shared, message.records);
    }
    if let Some(ask) = message.confirm_ask {
        answer_confirm(shared, ask, from, now);
    }
    if let Some(note) = message.confirm {
        super::follow::take_confirm(shared, note, now);
    }
    for ask in message.asks {
        let mut book = shared.announcements.borrow_mut();
        book.note_asker(ask.target.into(), from, now);
        drop(book);
        if let Ok(adapter) = ask.adapter.parse() {
            super::orders::take_wish(shared, ask.target.into(), &adapter, ask.version);
        }
    }
}

/// Tells a peer how new this VM's view of the operator's records is.
fn answer_confirm(shared: &EntryShared, ask: u64, to: SocketAddr, now: Timestamp) {
    let message = {
        let state = shared.state.borrow();
        let (Some(next), Some(confirmed_at)) = (state.operator_next, state.confirmed_at) else {
            return;
        };
        let age_ms = now.since(confirmed_at).as_millis() as u64;
        let confirm = Some(ConfirmNote {
            ask,
            next: next.into(),
            age_ms,
            from: next.into(),
            records: Vec::new(),
        });
        PeerMessage {
            confirm,
            ..blank_message(&state)
        }
    };
    shared.peers.send(&message, to);
}

fn note_report(
    state: &mut EntryState,
    node: &NodeName,
    boot: BootId,
    report: LoadReport,
    from: SocketAddr,
    now: Timestamp,
) {
    let loads = report
        .loads
        .iter()
        .map(|load| (load.target.into(), load.in_flight));
    let pause = Duration::from_millis(report.pause_ms.into());
    let peer = PeerReport {
        boot,
        pause,
        address: from,
        sequence: report.sequence,
        loads: loads.collect(),
        generation: report.generation,
        partitions: report.partitions,
        heard_at: now,
    };
    if !state.peers.note(node.clone(), peer) {
        return;
    }
    if let Some(zone) = report.zone.and_then(|zone| zone.parse().ok()) {
        state.learn_peer_zone(node, zone);
    }
    for total in report.accounts {
        if let Ok(account) = total.account.parse() {
            let (total, level) = (total.units as f64, total.level as f64);
            let used = AccountUse { total, level };
            state
                .allowances
                .note_peer((node, boot), &account, used, pause, now);
        }
    }
    state.allowances.note_peer_alive(node, now);
}
