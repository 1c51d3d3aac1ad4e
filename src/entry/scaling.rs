//! Sizes services: one VM at a time plans each service in each zone and orders the number of targets
//! from the platform's control service.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use super::http_call::HttpClient;
use super::settings::DutySettings;
use super::shared::EntryShared;
use super::state::EntryState;
use super::wire::{AdapterUseReport, LoadReport, ShortageReport};
use crate::clock::Timestamp;
use crate::collections::FastMap;
use crate::dispatch::directory::stable_hash;
use crate::dispatch::duty_lease::{DutyGrant, DutyHolder};
use crate::dispatch::fleet_demand::{AdapterDemand, DemandReport, ServiceShortage};
use crate::dispatch::routing::{RoutingConfig, ScalingSpec, ServiceEntry};
use crate::dispatch::scaling::{ScaleOrder, ScalingPlanner, ZoneView};
use crate::ids::{BootId, DutyName, FencingToken, NodeName, RequestRate, ServiceName, ZoneName};
use crate::platform::duty_calls::{DutyAnswer, decode_duty_answer, scale_request};

/// The interval between views, and the shortest one between the calls for one subject.
const PLAN_INTERVAL: Duration = Duration::from_secs(1);
/// The time limit of a call, in renewals of the lease, which lasts for three. A call is made only if
/// the lease lasts for as long, so that a call whose connection takes time to open still arrives
/// within the lease.
const CALL_TIMEOUT_RENEWALS: f64 = 1.5;
/// The delay after a call that failed or was one too many. A lost call may be executed meanwhile.
const RETRY_DELAY: Duration = Duration::from_secs(2);
/// The fraction of the service's call rate that all subjects together use. The rest is for the other
/// duties and for repeats.
const CALL_RATE_FRACTION: f64 = 0.5;
/// The age at which the list of targets is too old to order by: the store is read every 0.8 s, or its
/// readers announce what they have read as often.
const MAX_LIST_AGE: Duration = Duration::from_secs(2);

/// A service in a zone in which it runs.
type SubjectKey = (ServiceName, ZoneName);

#[derive(Debug, Clone)]
pub(super) struct ScalingMetrics {
    /// Calls by answer.
    calls: Family<[(&'static str, &'static str); 1], Counter>,
    /// The number of targets last ordered by this VM.
    desired: Family<[(&'static str, String); 2], Gauge>,
}

impl ScalingMetrics {
    pub(super) fn new(registry: &mut Registry) -> Self {
        let (calls, desired) = (Family::default(), Family::default());
        registry.register(
            "entry_scaling_calls",
            "Orders of a number of targets by the control service's answer",
            Family::clone(&calls),
        );
        registry.register(
            "entry_scaling_desired",
            "The number of targets that this VM ordered last, by service and zone",
            Family::clone(&desired),
        );
        Self { calls, desired }
    }

    fn record(&self, key: &SubjectKey, order: ScaleOrder, answer: DutyAnswer) {
        let label = match answer {
            DutyAnswer::Done => "done",
            DutyAnswer::Fenced => "fenced",
            DutyAnswer::Limited => "limited",
            DutyAnswer::Failed => "failed",
        };
        self.calls.get_or_create(&[("answer", label)]).inc();
        if answer == DutyAnswer::Done {
            let labels = [("service", key.0.to_string()), ("zone", key.1.to_string())];
            let gauge = self.desired.get_or_create(&labels);
            gauge.set(i64::from(order.desired));
        }
    }
}

/// What this VM knows of one subject.
#[derive(Debug)]
struct ScalingSubject {
    duty: DutyName,
    planner: ScalingPlanner,
    /// The count of rejections at the last view.
    rejected_before: u64,
    /// Whether a call is on its way. There is at most one, so that a newer order can't be overtaken
    /// by an older one while this VM waits for it.
    is_calling: bool,
    next_call_at: Timestamp,
    /// Which token a call may use, so that this VM calls neither with one that the service has
    /// rejected nor too soon after another VM.
    holder: DutyHolder,
}

/// A call that is due.
struct ScaleCall {
    key: SubjectKey,
    order: ScaleOrder,
    grant: DutyGrant,
    token: FencingToken,
}

impl ScalingSubject {
    fn new(key: &SubjectKey, spec: ScalingSpec, handover_time: Duration) -> Self {
        Self {
            duty: duty_name(key),
            planner: ScalingPlanner::new(spec),
            rejected_before: 0,
            is_calling: false,
            next_call_at: Timestamp::default(),
            holder: DutyHolder::new(handover_time),
        }
    }

    /// What a call now may use. The lease must outlast the call.
    fn permit(&self, state: &EntryState, now: Timestamp) -> Option<(DutyGrant, FencingToken)> {
        let grant = state.lease.duty_grant(&self.duty, now)?;
        let token = self.holder.token(Some(grant), now)?;
        (grant.time_left >= call_timeout(state)).then_some((grant, token))
    }

    fn apply_answer(&mut self, call: &ScaleCall, answer: DutyAnswer, now: Timestamp) {
        self.is_calling = false;
        match answer {
            DutyAnswer::Done => self.planner.record_accepted(call.order, now),
            DutyAnswer::Fenced => self.holder.record_fenced(call.token),
            DutyAnswer::Limited | DutyAnswer::Failed => self.next_call_at = now + RETRY_DELAY,
        }
    }
}

/// The duty of sizing a service in a zone, `scale.SERVICE.ZONE`. Names that are too long together are
/// replaced by their hash.
fn duty_name((service, zone): &SubjectKey) -> DutyName {
    let name = format!("scale.{service}.{zone}");
    name.parse().unwrap_or_else(|_| {
        let hash = stable_hash(&[service.as_str(), zone.as_str()]);
        let name = format!("scale.{hash:016x}").parse();
        name.expect("the name has 22 valid characters")
    })
}

struct ScalingTask {
    shared: Rc<EntryShared>,
    client: HttpClient,
    max_call_rate: RequestRate,
    subjects: RefCell<FastMap<SubjectKey, ScalingSubject>>,
}

fn scales_services(state: &EntryState) -> bool {
    let duties: Option<&DutySettings> = state.settings.duties.as_ref();
    duties.is_some_and(|duties| duties.scales_services)
}

/// Starts the task that sizes services, if the settings have this duty.
pub(super) fn spawn(shared: &Rc<EntryShared>) {
    let duties = shared.state.borrow().settings.duties.clone();
    let Some(duties) = duties.filter(|duties| duties.scales_services) else {
        return;
    };
    let task = ScalingTask {
        shared: Rc::clone(shared),
        client: HttpClient::new(duties.address, &shared.service_memory).with_discarded_calls(),
        max_call_rate: duties.max_call_rate,
        subjects: RefCell::default(),
    };
    tokio::task::spawn_local(run(Rc::new(task)));
}

async fn run(task: Rc<ScalingTask>) {
    loop {
        tokio::time::sleep(PLAN_INTERVAL).await;
        for call in plan_orders(&task) {
            tokio::task::spawn_local(send_order(Rc::clone(&task), call));
        }
    }
}

fn scaled_services(config: &RoutingConfig) -> impl Iterator<Item = (&ServiceEntry, ScalingSpec)> {
    let services = config.services.values();
    services.filter_map(|service| Some((service, service.scaling?)))
}

/// The zones in which a service runs, also those out of service.
fn zones_of(state: &EntryState, service: &ServiceName) -> BTreeSet<ZoneName> {
    let targets = state.directory.of_service(service);
    targets.map(|entry| entry.report.zone.clone()).collect()
}

fn call_timeout(state: &EntryState) -> Duration {
    let renewal_interval = state.lease.renewal_interval();
    renewal_interval.mul_f64(CALL_TIMEOUT_RENEWALS)
}

/// Plans all subjects whose duty this VM performs. Returns the calls that are due.
fn plan_orders(task: &ScalingTask) -> Vec<ScaleCall> {
    let mut state = task.shared.state.borrow_mut();
    let now = task.shared.clock.now();
    state.fleet_demand.expire(now);
    let state = &*state;
    let Some(config) = &state.config else {
        return Vec::new();
    };
    let mut subjects = task.subjects.borrow_mut();
    let handover_time = state.settings.bounds.owner_handover_time;
    let mut calls = Vec::new();
    for (service, spec) in scaled_services(config) {
        let zones = zones_of(state, &service.name);
        // A zone whose targets are all gone still counts.
        let seen = subjects.keys().filter(|(name, _)| *name == service.name);
        let zone_count = seen.count().max(zones.len());
        let mut views: Vec<_> = zones
            .iter()
            .map(|zone| (zone.clone(), zone_view(state, service, zone, now)))
            .collect();
        let total_demand = views.iter().map(|(_, view)| view.demand()).sum();
        for (zone, view) in &mut views {
            let key = (service.name.clone(), zone.clone());
            let rejected = state.fleet_demand.rejected(&key.0, &key.1);
            let subject = subjects.entry(key.clone());
            let subject =
                subject.or_insert_with_key(|key| ScalingSubject::new(key, spec, handover_time));
            let before = std::mem::replace(&mut subject.rejected_before, rejected);
            view.rejected = u32::try_from(rejected.saturating_sub(before)).unwrap_or(u32::MAX);
            view.total_demand = total_demand;
            view.zones = zone_count as u32;
            subject.planner.update_spec(spec);
            let Some((grant, token)) = subject.permit(state, now) else {
                continue;
            };
            let order = subject.planner.plan(view);
            let may_call = !subject.is_calling && now >= subject.next_call_at;
            if let Some(order) = order.filter(|_| may_call) {
                subject.is_calling = true;
                log_order(&key, view, order, token);
                calls.push(ScaleCall {
                    key,
                    order,
                    grant,
                    token,
                });
            }
        }
    }
    let interval = call_interval(subjects.len(), task.max_call_rate);
    for call in &calls {
        if let Some(subject) = subjects.get_mut(&call.key) {
            subject.next_call_at = now + interval;
        }
    }
    calls
}

/// The interval between the calls for one subject at which all subjects of the fleet keep to their
/// part of the service's call rate.
fn call_interval(subjects: usize, max_call_rate: RequestRate) -> Duration {
    /// Used if the service accepts next to no calls.
    const MAX_INTERVAL: Duration = Duration::from_secs(60);
    let seconds = subjects as f64 / (max_call_rate.as_f64() * CALL_RATE_FRACTION);
    let interval = Duration::try_from_secs_f64(seconds).unwrap_or(MAX_INTERVAL);
    interval.clamp(PLAN_INTERVAL, MAX_INTERVAL)
}

fn log_order(key: &SubjectKey, view: &ZoneView, order: ScaleOrder, token: FencingToken) {
    tracing::info!(
        service = %key.0, zone = %key.1, desired = order.desired, reason = %order.reason,
        listed = view.listed, in_flight = view.in_flight, waiting = view.waiting,
        rejected = view.rejected, adapters = view.adapters_in_use, total = view.total_demand,
        %token, "scaling: ordering a number of targets"
    );
}

/// The view of a service in a zone, without what concerns all zones.
fn zone_view(
    state: &EntryState,
    service: &ServiceEntry,
    zone: &ZoneName,
    now: Timestamp,
) -> ZoneView {
    let is_evacuated = state.directory.evacuated_zones().contains(zone);
    let targets = state.directory.of_service(&service.name);
    let (mut listed, mut slots, mut in_flight, mut adapter_slots) = (0, 0, 0, 0);
    for entry in targets.filter(|entry| entry.report.zone == *zone) {
        in_flight += state.load(entry.key);
        if state.directory.is_open(entry, now) {
            listed += 1;
            slots += entry.report.slots;
        }
        if let Some(engine) = &service.engine {
            let models = entry.report.models.iter().map(|held| held.model.clone());
            let models: Vec<_> = models.collect();
            adapter_slots = adapter_slots.max(engine.adapter_capacity(&models));
        }
    }
    ZoneView {
        now,
        is_current: state.relay_coverage.silence(now) < MAX_LIST_AGE,
        is_evacuated,
        listed,
        slots: f64::from(slots) / f64::from(listed.max(1)),
        adapter_slots: u32::try_from(adapter_slots).unwrap_or(u32::MAX),
        in_flight,
        waiting: state.fleet_demand.waiting(&service.name, zone),
        rejected: 0,
        adapters_in_use: state.fleet_demand.adapters_in_use(&service.name, zone),
        total_demand: 0,
        zones: 0,
        tolerated_losses: state.settings.tolerated_zone_losses,
    }
}

/// Sends an order, unless this VM has lost the duty since it was planned.
async fn send_order(task: Rc<ScalingTask>, call: ScaleCall) {
    let shared = &task.shared;
    let (holder, timeout) = {
        let state = shared.state.borrow();
        let subjects = task.subjects.borrow();
        let permit = subjects
            .get(&call.key)
            .and_then(|subject| subject.permit(&state, shared.clock.now()));
        let is_permitted = permit.is_some_and(|(_, token)| token == call.token);
        let holder = is_permitted.then(|| state.settings.node.clone());
        (holder, call_timeout(&state))
    };
    let is_sent = holder.is_some();
    let answer = match holder {
        Some(holder) => {
            let ScaleCall { key, order, .. } = &call;
            let request = scale_request(&key.0, &key.1, order.desired, &holder, call.token);
            let time_left = call.grant.time_left;
            let result = task.client.call_within(&request, time_left, timeout).await;
            let status = result.as_ref().map(|response| response.head.status);
            let answer = status.map_or(DutyAnswer::Failed, decode_duty_answer);
            shared.metrics.scaling.record(key, *order, answer);
            tracing::info!(
                service = %key.0, zone = %key.1, desired = order.desired, token = %call.token,
                ?answer, error = result.err().map(|error| error.to_string()),
                "scaling: result of an order"
            );
            answer
        }
        None => DutyAnswer::Failed,
    };
    let now = shared.clock.now();
    if let Some(subject) = task.subjects.borrow_mut().get_mut(&call.key) {
        if is_sent {
            subject.holder.record_call(call.grant, now);
        }
        subject.apply_answer(&call, answer, now);
    }
}

/// Adds this VM's demand to a report, and records it, if services are scaled.
pub(super) fn add_demand(
    shared: &EntryShared,
    state: &mut EntryState,
    report: &mut LoadReport,
    now: Timestamp,
) {
    let config = state.config.clone();
    let Some(config) = config.filter(|_| scales_services(state)) else {
        return;
    };
    let services = scaled_services(&config);
    let shortages = services.map(|(service, _)| shared.wait_queue.shortage(&service.name));
    let demand = DemandReport {
        boot: state.boot,
        zone: state.settings.zone.clone(),
        shortages: shortages.collect(),
        adapters: own_adapter_demand(state, &config, now),
        received_at: now,
    };
    report.shortages = demand
        .shortages
        .iter()
        .filter(|shortage| shortage.waiting > 0 || shortage.rejected > 0)
        .map(|shortage| ShortageReport {
            service: shortage.service.to_string(),
            waiting: shortage.waiting,
            rejected: shortage.rejected,
        })
        .collect();
    report.adapters_in_use = demand
        .adapters
        .iter()
        .map(|demand| AdapterUseReport {
            service: demand.service.to_string(),
            zone: demand.zone.to_string(),
            in_use: demand.in_use,
        })
        .collect();
    let node = state.settings.node.clone();
    state.fleet_demand.apply_report(&node, demand);
}

/// The adapters in use on the targets that this VM owns.
fn own_adapter_demand(
    state: &EntryState,
    config: &RoutingConfig,
    now: Timestamp,
) -> Vec<AdapterDemand> {
    let mut in_use: FastMap<SubjectKey, usize> = FastMap::default();
    for (key, planner) in &state.planners {
        let Some(entry) = state.directory.get(*key) else {
            continue;
        };
        let report = &entry.report;
        let service = config.services.get(&report.service);
        if service.is_some_and(|service| service.scaling.is_some()) {
            let key = (report.service.clone(), report.zone.clone());
            *in_use.entry(key).or_default() += planner.adapters_in_use(now);
        }
    }
    let demand = |((service, zone), count)| AdapterDemand {
        service,
        zone,
        in_use: u32::try_from(count).unwrap_or(u32::MAX),
    };
    in_use.into_iter().map(demand).collect()
}

/// Applies the demand in a peer's report, if services are scaled and the peer's zone is known.
pub(super) fn apply_peer_demand(
    state: &mut EntryState,
    node: &NodeName,
    boot: BootId,
    shortages: &[ShortageReport],
    adapters: &[AdapterUseReport],
    now: Timestamp,
) {
    let Some(zone) = state.peer_zone(node).cloned() else {
        return;
    };
    if !scales_services(state) {
        return;
    }
    let shortages = shortages.iter().filter_map(|shortage| {
        Some(ServiceShortage {
            service: shortage.service.parse().ok()?,
            waiting: shortage.waiting,
            rejected: shortage.rejected,
        })
    });
    let adapters = adapters.iter().filter_map(|demand| {
        Some(AdapterDemand {
            service: demand.service.parse().ok()?,
            zone: demand.zone.parse().ok()?,
            in_use: demand.in_use,
        })
    });
    let report = DemandReport {
        boot,
        zone,
        shortages: shortages.collect(),
        adapters: adapters.collect(),
        received_at: now,
    };
    state.fleet_demand.apply_report(node, report);
}
