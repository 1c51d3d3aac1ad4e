//! Finds out whether this VM is cut off from the targets of a service, and which peers are not.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use rand::seq::IndexedRandom;
use tokio::net::TcpStream;

use super::gossip::new_message;
use super::shared::EntryShared;
use super::state::EntryState;
use super::wire::{PeerMessage, ReachAnswer};
use crate::clock::Timestamp;
use crate::dispatch::directory::TargetKey;
use crate::dispatch::service_reach::{Probing, ServiceReach};
use crate::ids::{NodeName, ServiceName};

/// How long a request waits without any sign of its service before this VM tries new connections.
const SUSPICION_DELAY: Duration = Duration::from_millis(400);
/// The time in which a target accepts a connection. Two lost packets take longer, so that a single
/// failure means little.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// The time between two rounds of probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Targets in one round of probes.
const PROBED_TARGETS: usize = 3;
/// Peers that are asked in one round. When a service crashes, every VM asks.
const ASKED_PEERS: usize = 4;
/// A VM that was asked and has heard its targets longer ago tries to connect before the next question.
const FRESH_TIME: Duration = Duration::from_millis(500);

impl EntryState {
    pub(crate) fn reach(&mut self, service: &ServiceName) -> &mut ServiceReach {
        self.reaches.entry(service.clone()).or_default()
    }

    /// The peers that reach a service from which this VM is cut off; none if it is not.
    pub(super) fn ways_to(&self, service: &ServiceName, now: Timestamp) -> Vec<SocketAddr> {
        let Some(reach) = self.reaches.get(service) else {
            return Vec::new();
        };
        if !reach.is_failing() {
            return Vec::new();
        }
        let targets = self.directory.of_service(service);
        let open = targets.filter(|entry| self.directory.is_open(entry, now));
        reach.ways(open.count(), now)
    }

    pub(super) fn is_cut_off(&self, service: &ServiceName, now: Timestamp) -> bool {
        !self.ways_to(service, now).is_empty()
    }

    /// Whether this VM is cut off from any service whose targets take orders.
    pub(super) fn is_cut_off_from_engines(&self, now: Timestamp) -> bool {
        let services = self.reaches.keys();
        let mut engines = services.filter(|service| self.engine_of(service).is_some());
        engines.any(|service| self.is_cut_off(service, now))
    }

    /// Whether the service of a target may be out of this VM's reach, so that a failure says nothing
    /// about the target.
    pub(super) fn may_be_cut_off(&self, target: TargetKey) -> bool {
        let Some(entry) = self.directory.get(target) else {
            return false;
        };
        let service = &entry.report.service;
        let targets = self.directory.of_service(service).count();
        let reach = self.reaches.get(service);
        reach.is_some_and(|reach| reach.may_be_cut_off(targets))
    }
}

/// Records that a target of the service has accepted a connection.
pub(super) fn record_connected(shared: &EntryShared, service: &ServiceName) {
    let now = shared.clock.now();
    let mut state = shared.state.borrow_mut();
    if state.is_cut_off(service, now) {
        tracing::info!(%service, "reach: the service is in reach again");
    }
    state.reach(service).record_connected(now);
}

pub(super) fn record_answer(shared: &EntryShared, service: &ServiceName) {
    let now = shared.clock.now();
    shared.state.borrow_mut().reach(service).record_answer(now);
}

/// Records that a target has not accepted a connection, and starts to try others.
pub(super) fn record_failure(
    shared: &EntryShared,
    service: &ServiceName,
    target: TargetKey,
    tried_at: Timestamp,
) {
    let mut state = shared.state.borrow_mut();
    state.reach(service).record_failure(target, tried_at);
    drop(state);
    start_probes(shared, service);
}

/// Waits for a response, and has new connections tried if the whole service is silent meanwhile.
pub(super) async fn note_silence<T>(
    shared: &EntryShared,
    service: &ServiceName,
    response: impl Future<Output = T>,
) -> T {
    let mut response = std::pin::pin!(response);
    if let Ok(response) = tokio::time::timeout(SUSPICION_DELAY, &mut response).await {
        return response;
    }
    suspect_silence(shared, service);
    response.await
}

/// Tries new connections if nothing was heard from the service for a while.
fn suspect_silence(shared: &EntryShared, service: &ServiceName) {
    let now = shared.clock.now();
    let silence = shared.state.borrow_mut().reach(service).silence(now);
    if silence.is_none_or(|silence| silence >= SUSPICION_DELAY) {
        start_probes(shared, service);
    }
}

fn start_probes(shared: &EntryShared, service: &ServiceName) {
    let mut state = shared.state.borrow_mut();
    let reach = state.reach(service);
    if reach.probing == Probing::Idle {
        reach.probing = Probing::Wanted;
        shared.probe_wanted.notify_one();
    }
}

/// Starts the probes that requests and peers ask for.
pub(super) async fn run_reach(shared: Rc<EntryShared>) {
    loop {
        shared.probe_wanted.notified().await;
        let mut state = shared.state.borrow_mut();
        for (service, reach) in &mut state.reaches {
            if reach.probing == Probing::Wanted {
                reach.probing = Probing::Running;
                tokio::task::spawn_local(run_probes(Rc::clone(&shared), service.clone()));
            }
        }
    }
}

/// Connects to targets of a service until one accepts, and asks the peers as long as none does.
async fn run_probes(shared: Rc<EntryShared>, service: ServiceName) {
    let mut was_cut_off = false;
    while !probe_once(&shared, &service).await && may_continue(&shared, &service) {
        let ways = ask_peers(&shared, &service);
        if !was_cut_off && ways > 0 {
            was_cut_off = true;
            tracing::warn!(
                %service, ways,
                "reach: this VM is cut off from the service, requests are forwarded to peers"
            );
        }
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
    shared.state.borrow_mut().reach(&service).probing = Probing::Idle;
}

/// Whether there are targets to connect to, and requests to expect.
fn may_continue(shared: &EntryShared, service: &ServiceName) -> bool {
    let state = shared.state.borrow();
    let mut targets = state.directory.of_service(service);
    state.stopping_since.is_none() && targets.next().is_some()
}

/// Asks a few peers whether they reach the service. Returns how many are known to do so.
fn ask_peers(shared: &EntryShared, service: &ServiceName) -> usize {
    let state = shared.state.borrow();
    let message = PeerMessage {
        reach_queries: vec![service.to_string()],
        ..new_message(&state)
    };
    let peers = state.peer_addresses();
    for peer in peers.sample(&mut rand::rng(), ASKED_PEERS) {
        shared.peer_socket.send(&message, *peer);
    }
    state.ways_to(service, shared.clock.now()).len()
}

/// Tries to connect to a few targets of the service at once. Returns whether one accepts.
async fn probe_once(shared: &EntryShared, service: &ServiceName) -> bool {
    let tried_at = shared.clock.now();
    let probed: Vec<(TargetKey, SocketAddr)> = {
        let state = shared.state.borrow();
        let targets = state.directory.of_service(service);
        let open = targets.filter(|entry| state.directory.is_open(entry, tried_at));
        let open: Vec<_> = open
            .map(|entry| (entry.key, entry.report.address))
            .collect();
        let drawn = open.sample(&mut rand::rng(), PROBED_TARGETS);
        drawn.copied().collect()
    };
    let probes = probed.iter().map(|(_, address)| {
        let connecting = TcpStream::connect(*address);
        async {
            matches!(
                tokio::time::timeout(PROBE_TIMEOUT, connecting).await,
                Ok(Ok(_))
            )
        }
    });
    let accepted = join_all(probes).await;
    if accepted.contains(&true) {
        record_connected(shared, service);
        return true;
    }
    let mut state = shared.state.borrow_mut();
    for (target, _) in probed {
        state.reach(service).record_failure(target, tried_at);
    }
    false
}

/// Answers a peer's questions for the services that it can't reach, and applies its answers.
pub(super) fn handle_message(
    shared: &EntryShared,
    node: &NodeName,
    message: &PeerMessage,
    from: SocketAddr,
    now: Timestamp,
) {
    for service in &message.reach_queries {
        let Ok(service) = service.parse::<ServiceName>() else {
            continue;
        };
        let mut state = shared.state.borrow_mut();
        let is_known = state.service(&service).is_some();
        if !is_known || state.is_cut_off(&service, now) {
            continue;
        }
        let silence = state.reach(&service).silence(now);
        let answer = silence.map(|silence| ReachAnswer {
            service: service.to_string(),
            age_ms: u32::try_from(silence.as_millis()).unwrap_or(u32::MAX),
        });
        let reply = PeerMessage {
            reach_answers: answer.into_iter().collect(),
            ..new_message(&state)
        };
        drop(state);
        shared.peer_socket.send(&reply, from);
        if silence.is_none_or(|silence| silence > FRESH_TIME) {
            start_probes(shared, &service);
        }
    }
    for answer in &message.reach_answers {
        if let Ok(service) = answer.service.parse::<ServiceName>() {
            let age = Duration::from_millis(answer.age_ms.into());
            let mut state = shared.state.borrow_mut();
            let reach = state.reach(&service);
            reach.record_peer(node.clone(), from, age, now);
            drop(state);
            shared.wait_queue.wake_all(&service);
        }
    }
}
