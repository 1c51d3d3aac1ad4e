//! Load and unload orders to the targets that this VM owns, and load requests to other owners.

use std::collections::hash_map::Entry;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;

use super::gossip::{announce_target, new_message};
use super::http_call::{CallError, HttpResponse};
use super::leaving::{record_leaving, replace_adapters};
use super::order_client::OrderClient;
use super::shared::EntryShared;
use super::state::EntryState;
use super::target_rates::apply_requested_pause;
use super::wire::{AdapterReference, PeerMessage};
use crate::clock::Timestamp;
use crate::dispatch::directory::TargetKey;
use crate::dispatch::load_order::LoadAnswer;
use crate::dispatch::load_order::{LoadStep, OrderAnswer, OrderKind, PlannedOrder};
use crate::dispatch::load_planner::LoadPlanner;
use crate::dispatch::model_choice::{ModelDemand, choose_model};
use crate::dispatch::target_entry::TargetEntry;
use crate::ids::{BaseModel, FencingToken, ModelAdapter, TargetName};
use crate::platform::engine_calls::{decode_order_answer, order_request, report_request};
use crate::platform::headers::states_leaving;
use crate::platform::records::decode_holdings;

/// How often an owner without a valid lease checks for one.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// The delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Starts an order task for each target that this VM now owns, and drops the planners of all
/// others, which ends their tasks.
pub(crate) fn sync_owned_targets(shared: &Rc<EntryShared>) {
    let mut new_targets = Vec::new();
    {
        let mut state = shared.state.borrow_mut();
        let state = &mut *state;
        let count = state.lease.partition_count();
        let is_owned = |key| state.lease.holds(count.partition_of(key));
        state.planners.retain(|key, _| is_owned(*key));
        for entry in state
            .directory
            .targets()
            .filter(|entry| is_owned(entry.key))
        {
            let service = state
                .config
                .as_ref()
                .and_then(|c| c.services.get(&entry.report.service));
            let engine = service.and_then(|service| service.engine.as_ref());
            let Some(engine) = engine else {
                continue;
            };
            match state.planners.entry(entry.key) {
                Entry::Occupied(mut planner) => planner.get_mut().update_engine(engine),
                Entry::Vacant(vacant) => {
                    vacant.insert(LoadPlanner::new(engine.clone()));
                    new_targets.push((entry.key, entry.name.clone()));
                }
            }
        }
        shared
            .order_wakeups
            .borrow_mut()
            .retain(|key, _| state.planners.contains_key(key));
    }
    for (key, name) in new_targets {
        let wakeup = Rc::new(Notify::new());
        shared
            .order_wakeups
            .borrow_mut()
            .insert(key, Rc::clone(&wakeup));
        tokio::task::spawn_local(run_target_orders(Rc::clone(shared), key, name, wakeup));
    }
}

/// Requests the load of an adapter on a target from the target's owner, which may be this VM.
/// Returns whether the load was refused at once because all slots are in use; the refusal of
/// another VM arrives in a message.
pub(crate) fn request_load(
    shared: &EntryShared,
    target: TargetKey,
    adapter: &ModelAdapter,
) -> bool {
    let (version, owner) = {
        let state = shared.state.borrow();
        let version = state.residency.required_version(adapter);
        if state.planners.contains_key(&target) {
            (version, None)
        } else {
            (version, state.owner_address(target))
        }
    };
    let Some(owner) = owner else {
        let answer = handle_load_request(shared, target, adapter, version);
        let refused = answer == Some(LoadAnswer::Full);
        if refused {
            let now = shared.clock.now();
            let mut state = shared.state.borrow_mut();
            state.residency.mark_full(target, adapter, now);
        }
        return refused;
    };
    let message = {
        let reference = AdapterReference {
            target: target.into(),
            adapter: adapter.to_string(),
            version,
        };
        PeerMessage {
            load_requests: vec![reference],
            ..new_message(&shared.state.borrow())
        }
    };
    shared.peer_socket.send(&message, owner);
    false
}

/// Handles a request to load an adapter on a target that this VM owns. Returns `None` if it doesn't
/// own the target.
pub(crate) fn handle_load_request(
    shared: &EntryShared,
    target: TargetKey,
    adapter: &ModelAdapter,
    version: u64,
) -> Option<LoadAnswer> {
    let now = shared.clock.now();
    let answer = {
        let mut state = shared.state.borrow_mut();
        let is_reclaimed = state.directory.is_reclaimed(target);
        let planner = state.planners.get_mut(&target)?;
        match is_reclaimed {
            true => LoadAnswer::Full,
            false => planner.request_load(adapter, version, now),
        }
    };
    match answer {
        // The adapter is already loaded, but the requesting VM doesn't know it yet.
        LoadAnswer::Resident => announce_target(shared, target),
        LoadAnswer::Queued | LoadAnswer::Unknown => {
            if let Some(wakeup) = shared.order_wakeups.borrow().get(&target) {
                wakeup.notify_one();
            }
        }
        LoadAnswer::Full => {}
    }
    Some(answer)
}

/// Sends orders to one target as long as this VM owns it.
async fn run_target_orders(
    shared: Rc<EntryShared>,
    key: TargetKey,
    name: TargetName,
    wakeup: Rc<Notify>,
) {
    let Some(address) = shared.target_address(key) else {
        return;
    };
    let mut client = OrderClient::new(address, &shared.target_memory);
    tracing::info!(target = %name, "orders: this VM is now the target's owner");
    let mut published_revision = 0;
    loop {
        if replace_adapters(&shared, key).await {
            continue;
        }
        let now = shared.clock.now();
        let step = {
            let mut state = shared.state.borrow_mut();
            let token = state.lease.token_for(key, now);
            let entry = state.directory.get(key);
            let pause = entry.map_or(Duration::ZERO, |entry| entry.pause_left(now));
            let Some(planner) = state.planners.get_mut(&key) else {
                break;
            };
            if pause.is_zero() {
                token.map(|token| (token, planner.next_step(now)))
            } else {
                token.map(|token| (token, LoadStep::Idle(pause)))
            }
        };
        match step {
            None => {
                let _ = tokio::time::timeout(LEASE_CHECK_INTERVAL, wakeup.notified()).await;
            }
            Some((_, LoadStep::FetchReport)) => {
                fetch_report(&shared, &mut client, key, &name).await
            }
            Some((token, LoadStep::Order(order))) => {
                send_order(&shared, &mut client, key, &name, &order, token).await;
            }
            Some((_, LoadStep::Idle(max_wait))) => {
                let _ = tokio::time::timeout(max_wait, wakeup.notified()).await;
            }
        }
        publish_residency(&shared, key, &mut published_revision);
    }
    tracing::info!(target = %name, "orders: this VM is no longer the target's owner");
}

/// Updates this VM's residency table and announces the target's adapters to peers, if they changed.
fn publish_residency(shared: &EntryShared, key: TargetKey, published_revision: &mut u64) {
    let now = shared.clock.now();
    let names = {
        let mut state = shared.state.borrow_mut();
        let state = &mut *state;
        let Some(planner) = state.planners.get(&key) else {
            return;
        };
        if planner.revision() == *published_revision {
            return;
        }
        *published_revision = planner.revision();
        let resident = planner
            .resident_adapters()
            .map(|(adapter, version)| (adapter.clone(), version));
        let resident: Vec<_> = resident.collect();
        let names: Vec<_> = resident
            .iter()
            .map(|(adapter, _)| adapter.clone())
            .collect();
        let loading = planner.pending_adapters().cloned().collect();
        state
            .residency
            .apply_announcement(key, resident, loading, now);
        names
    };
    announce_target(shared, key);
    shared.wait_queue.wake_requests_for(&names);
}

/// Makes a call to a target's control interface, whose responses also state whether the target is
/// leaving.
async fn call_target(
    shared: &EntryShared,
    key: TargetKey,
    call: impl Future<Output = Result<HttpResponse, CallError>>,
) -> Result<HttpResponse, CallError> {
    let started_ms = {
        let state = shared.state.borrow();
        let entry = state.directory.get(key);
        entry.map(|entry| entry.report.started_ms)
    };
    let response = call.await?;
    if let (Some(started_ms), true) = (started_ms, states_leaving(&response.head)) {
        record_leaving(shared, key, started_ms, "order");
    }
    apply_requested_pause(shared, key, &response.head);
    Ok(response)
}

async fn fetch_report(
    shared: &EntryShared,
    client: &mut OrderClient,
    key: TargetKey,
    name: &TargetName,
) {
    let request = report_request(name);
    let result = call_target(shared, key, client.fetch_report(&request)).await;
    let report = match result {
        Ok(response) if response.head.status == 200 => decode_holdings(&response.body),
        Ok(response) => {
            tracing::info!(
                target = %name, status = response.head.status,
                "orders: fetching the target's report failed"
            );
            return tokio::time::sleep(RETRY_DELAY).await;
        }
        Err(error) => {
            tracing::info!(target = %name, %error, "orders: fetching the target's report failed");
            if error.is_connection_refused() {
                record_refused(shared, key);
            }
            return tokio::time::sleep(RETRY_DELAY).await;
        }
    };
    match report {
        Ok(report) => {
            let now = shared.clock.now();
            let mut state = shared.state.borrow_mut();
            for model in &report.models {
                state.residency.add_model(key, model.clone());
            }
            tracing::info!(
                target = %name, sequence = report.sequence, adapters = report.adapters.len(),
                pending = report.pending.len(),
                models = ModelSummary(&report.models).to_string(),
                "orders: received the target's report"
            );
            let Some(planner) = state.planners.get_mut(&key) else {
                return;
            };
            planner.apply_report(report, now);
            let (unavailable, needs_assignment) =
                (planner.is_unavailable(), planner.needs_assignment());
            if let Some(entry) = state.directory.get_mut(key) {
                entry.apply_owner_status(unavailable, now);
            }
            if needs_assignment {
                assign_model(&mut state, key, name, now);
            }
        }
        Err(error) => {
            tracing::warn!(target = %name, %error, "orders: the target's report can't be decoded");
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

/// The model that a target without one is to load.
fn model_to_load(state: &EntryState, target: TargetKey, now: Timestamp) -> Option<BaseModel> {
    let service = &state.directory.get(target)?.report.service;
    let holds = |entry: &TargetEntry, model: &BaseModel| {
        let planner = state.planners.get(&entry.key);
        let assigned = planner.and_then(LoadPlanner::assigned_model);
        state.residency.holds_model(entry.key, model) || assigned == Some(model)
    };
    let targets = state.directory.of_service(service);
    let open = targets.filter(|entry| state.directory.is_open(entry, now) && entry.key != target);
    let open: Vec<_> = open.collect();
    let engine = state.engine_of(service)?;
    let demand = engine.models.iter().map(|spec| {
        let holders = open.iter().filter(|entry| holds(entry, &spec.name));
        let holders: Vec<_> = holders.collect();
        ModelDemand {
            model: spec.name.clone(),
            holders: holders.len(),
            load: holders.iter().map(|entry| state.load(entry.key)).sum(),
        }
    });
    let is_empty = |entry: &&&TargetEntry| {
        let mut models = engine.models.iter();
        !models.any(|spec| holds(entry, &spec.name))
    };
    let empty = open.iter().filter(is_empty);
    let before = empty.filter(|entry| entry.key < target).count();
    choose_model(demand.collect(), before)
}

/// Decides which model a target that holds none is to load.
fn assign_model(state: &mut EntryState, key: TargetKey, name: &TargetName, now: Timestamp) {
    let model = model_to_load(state, key, now);
    tracing::info!(
        target = %name, model = model.as_ref().map_or("", |model| model.as_str()),
        "orders: the target holds no model of its service"
    );
    if let (Some(planner), Some(model)) = (state.planners.get_mut(&key), model) {
        planner.assign_model(model);
    }
}

/// The names of models, for logging.
#[derive(derive_more::Display)]
#[display("{}", _0.iter().map(|model| model.as_str()).collect::<Vec<_>>().join(" "))]
struct ModelSummary<'a>(&'a [BaseModel]);

/// Records that a target has refused a connection.
fn record_refused(shared: &EntryShared, key: TargetKey) {
    let service = {
        let state = shared.state.borrow();
        let entry = state.directory.get(key);
        entry.map(|entry| entry.report.service.clone())
    };
    if let Some(service) = service {
        super::reach::record_failure(shared, &service, key, shared.clock.now());
    }
    mark_unreachable(shared, key);
}

/// Marks a target as unreachable, so that requests of all VMs go to others until it reports again, unless
/// only this VM may be cut off from it.
fn mark_unreachable(shared: &EntryShared, key: TargetKey) {
    let now = shared.clock.now();
    let mut state = shared.state.borrow_mut();
    if state.may_be_cut_off(key) {
        return;
    }
    if let Some(planner) = state.planners.get_mut(&key) {
        planner.mark_unreachable();
    }
    state.residency.clear_holdings(key);
    if let Some(entry) = state.directory.get_mut(key) {
        entry.apply_owner_status(true, now);
    }
}

async fn send_order(
    shared: &EntryShared,
    client: &mut OrderClient,
    key: TargetKey,
    name: &TargetName,
    order: &PlannedOrder,
    token: FencingToken,
) {
    let (request, in_progress) = {
        let state = shared.state.borrow();
        let planner = state.planners.get(&key);
        (
            order_request(order, name, &state.settings.node, token),
            planner.is_some_and(|planner| planner.is_loading(&order.kind)),
        )
    };
    let sent_at = shared.clock.now();
    let call = client.send_order(&order.kind, in_progress, &request);
    let result = call_target(shared, key, call).await;
    let answer = match &result {
        Ok(response) => decode_order_answer(response.head.status),
        Err(CallError::TimedOut) => OrderAnswer::TimedOut,
        Err(CallError::Http(_)) => OrderAnswer::Lost,
    };
    let now = shared.clock.now();
    tracing::info!(
        target = %name, order = order.kind.label(), adapter = order.kind.adapter_name(),
        version = order.kind.version(), expected = order.expected_sequence, %token,
        in_progress, ?answer,
        "orders: result of an order"
    );
    if answer == OrderAnswer::Rejected {
        // Another VM may hold the lease now, whose orders take precedence.
        tokio::time::sleep(LEASE_CHECK_INTERVAL).await;
    }
    let mut state = shared.state.borrow_mut();
    let Some(planner) = state.planners.get_mut(&key) else {
        return;
    };
    if let (OrderKind::LoadAdapter { adapter, .. }, OrderAnswer::Done) = (&order.kind, answer)
        && let Some(kind) = planner.slots().load_kind(adapter, now)
    {
        shared.metrics.record_load(kind);
    }
    planner.apply_answer(order, answer, sent_at, now);
    if let (OrderKind::LoadModel { model }, OrderAnswer::Done) = (&order.kind, answer) {
        state.residency.add_model(key, model.clone());
    }
}
