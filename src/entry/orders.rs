//! Orders to the targets that this VM owns, and wishes of adapters to the owners of others.

use std::collections::hash_map::Entry;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;

use super::gossip::{announce, blank_message};
use super::http_call::{CallError, HttpCaller};
use super::shared::EntryShared;
use super::wire::{AdapterNote, PeerMessage};
use crate::dispatch::directory::TargetKey;
use crate::dispatch::load_order::{LoadStep, OrderAnswer, OrderKind, PlannedOrder};
use crate::dispatch::load_planner::LoadPlanner;
use crate::ids::{AdapterName, FencingToken, TargetName};
use crate::platform::engine_calls::{order_answer, order_ask, report_ask};
use crate::platform::records::decode_holdings;

/// The time limit of an order, which a target answers within some milliseconds: the target's report
/// is newer than the order after this time. An order without an answer may still be carried out.
const ORDER_TIMEOUT: Duration = Duration::from_millis(150);
/// How often an owner without a valid lease looks again.
const LEASE_PAUSE: Duration = Duration::from_millis(200);
/// The pause after a call that failed.
const FAILURE_PAUSE: Duration = Duration::from_millis(150);

/// Starts a task for each target whose partition this VM holds.
pub(crate) fn sync_owned(shared: &Rc<EntryShared>) {
    let mut started = Vec::new();
    {
        let mut state = shared.state.borrow_mut();
        let state = &mut *state;
        let count = state.lease.partition_count();
        let held = |key| state.lease.holds(count.partition_of(key));
        state.planners.retain(|key, _| held(*key));
        for entry in state.directory.targets().filter(|entry| held(entry.key)) {
            let service = state
                .config
                .as_ref()
                .and_then(|c| c.services.get(&entry.report.service));
            let engine = service.and_then(|service| service.engine.as_ref());
            // The first model is the service's base model; adapters name it.
            let Some((engine, model)) = engine.and_then(|e| Some((e, e.models.first()?))) else {
                continue;
            };
            if let Entry::Vacant(vacant) = state.planners.entry(entry.key) {
                let places = engine.adapter_places(model);
                vacant.insert(LoadPlanner::new(model.name.clone(), places));
                started.push((entry.key, entry.name.clone()));
            }
        }
        shared
            .order_wakes
            .borrow_mut()
            .retain(|key, _| state.planners.contains_key(key));
    }
    for (key, name) in started {
        let wake = Rc::new(Notify::new());
        shared
            .order_wakes
            .borrow_mut()
            .insert(key, Rc::clone(&wake));
        tokio::task::spawn_local(run_owner(Rc::clone(shared), key, name, wake));
    }
}

/// Asks a target's owner to load an adapter there.
pub(crate) fn ask_load(shared: &EntryShared, target: TargetKey, adapter: &AdapterName) {
    let (version, owner) = {
        let state = shared.state.borrow();
        let version = state.residency.newest_version(adapter);
        if state.planners.contains_key(&target) {
            (version, None)
        } else {
            (version, state.owner_address(target))
        }
    };
    let Some(owner) = owner else {
        take_wish(shared, target, adapter, version);
        return;
    };
    let message = {
        let note = AdapterNote {
            target: target.into(),
            adapter: adapter.to_string(),
            version,
        };
        PeerMessage {
            asks: vec![note],
            ..blank_message(&shared.state.borrow())
        }
    };
    shared.peers.send(&message, owner);
}

/// A request waits for an adapter on a target of this VM.
pub(crate) fn take_wish(
    shared: &EntryShared,
    target: TargetKey,
    adapter: &AdapterName,
    version: u64,
) {
    let now = shared.clock.now();
    let present = {
        let mut state = shared.state.borrow_mut();
        let Some(planner) = state.planners.get_mut(&target) else {
            return;
        };
        planner.wish(adapter, version, now)
    };
    if present {
        // The VM that asked does not know yet.
        announce(shared, target);
        return;
    }
    if let Some(wake) = shared.order_wakes.borrow().get(&target) {
        wake.notify_one();
    }
}

/// Gives orders to one target for as long as this VM owns it.
async fn run_owner(shared: Rc<EntryShared>, key: TargetKey, name: TargetName, wake: Rc<Notify>) {
    let Some(address) = shared.target_address(key) else {
        return;
    };
    let caller = HttpCaller::new(address);
    tracing::info!(target = %name, "orders: this VM owns the target");
    let mut told_revision = 0;
    loop {
        let now = shared.clock.now();
        let step = {
            let mut state = shared.state.borrow_mut();
            let token = state.lease.token_for(key, now);
            let Some(planner) = state.planners.get_mut(&key) else {
                break;
            };
            token.map(|token| (token, planner.next_step(now)))
        };
        match step {
            None => tokio::time::sleep(LEASE_PAUSE).await,
            Some((_, LoadStep::Report)) => take_report(&shared, &caller, key, &name).await,
            Some((token, LoadStep::Order(order))) => {
                give_order(&shared, &caller, key, &name, &order, token).await;
            }
            Some((_, LoadStep::Idle(pause))) => {
                let _ = tokio::time::timeout(pause, wake.notified()).await;
            }
        }
        publish(&shared, key, &mut told_revision);
    }
    tracing::info!(target = %name, "orders: this VM no longer owns the target");
}

/// Tells this VM and its peers what the target holds, if that has changed.
fn publish(shared: &EntryShared, key: TargetKey, told_revision: &mut u64) {
    let now = shared.clock.now();
    let names = {
        let mut state = shared.state.borrow_mut();
        let state = &mut *state;
        let Some(planner) = state.planners.get(&key) else {
            return;
        };
        if planner.revision() == *told_revision {
            return;
        }
        *told_revision = planner.revision();
        let resident = planner
            .resident()
            .map(|(adapter, version)| (adapter.clone(), version));
        let resident: Vec<_> = resident.collect();
        let names: Vec<_> = resident
            .iter()
            .map(|(adapter, _)| adapter.clone())
            .collect();
        let loading = planner.expected().cloned().collect();
        state
            .residency
            .note_announcement(key, resident, loading, now);
        names
    };
    announce(shared, key);
    shared.waiting.wake_adapters(&names);
}

async fn take_report(shared: &EntryShared, caller: &HttpCaller, key: TargetKey, name: &TargetName) {
    let model = match shared.state.borrow().planners.get(&key) {
        Some(planner) => planner.model().clone(),
        None => return,
    };
    let called = caller.call(&report_ask(name), ORDER_TIMEOUT).await;
    let report = match called {
        Ok(reply) if reply.head.status == 200 => decode_holdings(&reply.body, &model),
        Ok(reply) => {
            tracing::info!(target = %name, status = reply.head.status, "orders: no report");
            return tokio::time::sleep(FAILURE_PAUSE).await;
        }
        Err(error) => {
            tracing::info!(target = %name, %error, "orders: no report");
            if error.is_refused() {
                note_unreachable(shared, key);
            }
            return tokio::time::sleep(FAILURE_PAUSE).await;
        }
    };
    match report {
        Ok(report) => {
            let now = shared.clock.now();
            let mut state = shared.state.borrow_mut();
            if report.has_model {
                state.residency.add_model(key, model);
            }
            tracing::info!(
                target = %name, sequence = report.sequence, adapters = report.adapters.len(),
                pending = report.pending.len(), has_model = report.has_model, "orders: report"
            );
            if let Some(entry) = state.directory.get_mut(key) {
                entry.note_owner_view(!report.has_model, now);
            }
            if let Some(planner) = state.planners.get_mut(&key) {
                planner.note_report(report, now);
            }
        }
        Err(error) => {
            tracing::warn!(target = %name, %error, "orders: the report can't be read");
            tokio::time::sleep(FAILURE_PAUSE).await;
        }
    }
}

/// Requests go to other targets until this one is back.
fn note_unreachable(shared: &EntryShared, key: TargetKey) {
    let now = shared.clock.now();
    let mut state = shared.state.borrow_mut();
    if let Some(planner) = state.planners.get_mut(&key) {
        planner.note_unreachable();
    }
    if let Some(entry) = state.directory.get_mut(key) {
        entry.note_owner_view(true, now);
    }
}

async fn give_order(
    shared: &EntryShared,
    caller: &HttpCaller,
    key: TargetKey,
    name: &TargetName,
    order: &PlannedOrder,
    token: FencingToken,
) {
    let holder = shared.state.borrow().settings.node.clone();
    let sent_at = shared.clock.now();
    let called = caller
        .call(&order_ask(order, name, &holder, token), ORDER_TIMEOUT)
        .await;
    let answer = match &called {
        Ok(reply) => order_answer(reply.head.status),
        Err(CallError::TimedOut) => OrderAnswer::TimedOut,
        Err(CallError::Http(_)) => OrderAnswer::Lost,
    };
    let now = shared.clock.now();
    tracing::info!(target = %name, kind = ?order.kind, expected = order.expected, %token, ?answer, "orders: order");
    if answer == OrderAnswer::Rejected {
        // The lease may have passed to another VM; its orders go first.
        tokio::time::sleep(LEASE_PAUSE).await;
    }
    let mut state = shared.state.borrow_mut();
    let Some(planner) = state.planners.get_mut(&key) else {
        return;
    };
    planner.note_answer(order, answer, sent_at, now);
    if let (OrderKind::LoadModel, OrderAnswer::Done) = (&order.kind, answer) {
        let model = order.model.clone();
        state.residency.add_model(key, model);
    }
}
