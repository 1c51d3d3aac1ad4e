//! Tells the owners of targets which adapters this VM's requests use.

use std::net::SocketAddr;

use super::gossip::new_message;
use super::shared::EntryShared;
use super::wire::{AdapterLoad, PeerMessage};
use crate::collections::FastMap;
use crate::dispatch::directory::TargetKey;
use crate::ids::ModelAdapter;

/// Counts of requests in flight in one datagram; each takes about 40 bytes.
const MAX_LOADS_PER_DATAGRAM: usize = 28;

/// Tells the owner of a target how many requests this VM has in flight on one of its adapters.
pub(crate) fn send_adapter_load(shared: &EntryShared, target: TargetKey, adapter: &ModelAdapter) {
    let mut state = shared.state.borrow_mut();
    let in_flight = state.own_adapter_load(target, adapter);
    if state.planners.contains_key(&target) {
        let (node, now) = (state.settings.node.clone(), shared.clock.now());
        state.record_adapter_load(&node, target, adapter, in_flight, now);
        return;
    }
    let Some(owner) = state.owner_address(target) else {
        return;
    };
    let load = AdapterLoad {
        target: target.into(),
        adapter: adapter.to_string(),
        in_flight,
    };
    let message = PeerMessage {
        adapter_loads: vec![load],
        ..new_message(&state)
    };
    drop(state);
    shared.peer_socket.send(&message, owner);
}

/// Repeats this VM's counts of requests in flight to the owners of the targets, to make up for lost
/// messages and changes of owner.
pub(crate) fn repeat_adapter_loads(shared: &EntryShared) {
    let mut by_owner: FastMap<SocketAddr, Vec<AdapterLoad>> = FastMap::default();
    let empty = {
        let mut state = shared.state.borrow_mut();
        let state = &mut *state;
        let now = shared.clock.now();
        for (target, loads) in &state.own_adapter_loads {
            for (adapter, in_flight) in loads {
                if let Some(planner) = state.planners.get_mut(target) {
                    planner.record_use(&state.settings.node, adapter, *in_flight, now);
                } else if let Some(owner) = state.owner_address(*target) {
                    by_owner.entry(owner).or_default().push(AdapterLoad {
                        target: (*target).into(),
                        adapter: adapter.to_string(),
                        in_flight: *in_flight,
                    });
                }
            }
        }
        new_message(state)
    };
    for (owner, loads) in by_owner {
        for loads in loads.chunks(MAX_LOADS_PER_DATAGRAM) {
            let message = PeerMessage {
                adapter_loads: loads.to_vec(),
                ..empty.clone()
            };
            shared.peer_socket.send(&message, owner);
        }
    }
}
