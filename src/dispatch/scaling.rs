//! Decides how many targets of a service a zone needs.
//!
//! Load patterns: waves of 11 to 17 s by up to 55% around the mean; bursts of 1.4 to 2.5 times that
//! are over before an ordered target serves; a tenth to a quarter of the targets lost for seconds; a
//! zone out of service; a lightly loaded zone that is larger than its minimum. A target that is
//! removed loses its adapters.
//!
//! The number grows to the demand that recurs within a few boot times, or at once to the present
//! demand while callers wait. It shrinks stepwise, and never below what the highest demand of that
//! time needs, so that a decrease can't be the cause of the next increase.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::dispatch::routing::ScalingSpec;

/// The history that decisions are based on, in boot times. A target that is removed and ordered again
/// is missing for one boot time, so it must have been unneeded for longer. Three boot times span
/// the waves' periods.
const HISTORY_BOOT_TIMES: u32 = 3;
/// The part of a boot time for which, within the history, a demand must have lasted in total before
/// it counts as recurring. Shorter bursts are over before an ordered target serves.
const RECURRING_FRACTION: f64 = 0.5;
/// The fraction of a zone's slots that may be in use at the recurring demand. Above it, the choice of
/// targets turns to other zones, since the load differs between targets.
const MAX_ZONE_LOAD: f64 = 0.75;
/// The fraction of adapter slots that may be in use. Owners keep one slot in eight free for the next
/// load.
const MAX_ADAPTER_USE: f64 = 0.875;
/// One step down removes at most this fraction of the targets, so that the adapters of removed
/// targets are loaded elsewhere before the next step.
const MAX_STEP_DOWN: f64 = 0.125;
/// The largest fraction of lost targets that spare targets are kept for. A larger loss is that of a
/// zone, for which the other zones are sized.
const MAX_LOSS: f64 = 0.3;
/// A pause between views after which the history is discarded: this VM was suspended, or another one
/// performed the duty meanwhile.
const MAX_VIEW_PAUSE: Duration = Duration::from_secs(5);

/// What is known of a service in one zone at a moment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct ZoneView {
    pub(crate) now: Timestamp,
    /// Whether the list of targets is up to date.
    pub(crate) is_current: bool,
    /// Whether the zone is out of service by the operator's order. Its targets come back.
    pub(crate) is_evacuated: bool,
    /// Targets in service; leaving ones don't count.
    pub(crate) listed: u32,
    /// The mean number of slots of a target.
    pub(crate) slots: f64,
    /// The adapters that one target holds; 0 for plain services.
    pub(crate) adapter_slots: u32,
    /// Requests on the zone's targets, over all VMs.
    pub(crate) in_flight: u32,
    /// Requests of the zone's VMs that wait for lack of capacity.
    pub(crate) waiting: u32,
    /// Requests that the zone's VMs have rejected for lack of capacity since the last view.
    pub(crate) rejected: u32,
    /// Adapters with requests in flight, or loading, on the zone's targets.
    pub(crate) adapters_in_use: u32,
    /// The demand of all zones together, as [`Self::demand`].
    pub(crate) total_demand: u32,
    /// The zones in which the service runs, in service or not.
    pub(crate) zones: u32,
    /// The zones that may be lost while the others serve everything.
    pub(crate) tolerated_losses: u32,
}

impl ZoneView {
    /// The requests that would run if there were enough targets.
    pub(crate) fn demand(&self) -> u32 {
        self.in_flight + self.waiting + self.rejected
    }

    /// Whether requests wait at VMs or at targets, or were rejected.
    fn callers_wait(&self) -> bool {
        let slots = f64::from(self.listed) * self.slots;
        self.waiting + self.rejected > 0 || f64::from(self.in_flight) > slots
    }
}

/// Why a number of targets is ordered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub(crate) enum ScaleReason {
    #[display("callers wait")]
    CallersWait,
    #[display("recurring load")]
    RecurringLoad,
    #[display("adapters in use")]
    AdaptersInUse,
    #[display("loss of a zone")]
    ZoneLoss,
    #[display("unused capacity")]
    UnusedCapacity,
}

/// The number of targets that a zone is to have.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ScaleOrder {
    pub(crate) desired: u32,
    pub(crate) reason: ScaleReason,
}

#[derive(Debug, Clone, Copy)]
struct DemandSample {
    at: Timestamp,
    demand: u32,
    total_demand: u32,
    adapters: u32,
}

/// Sizes one service in one zone.
#[derive(Debug)]
pub(crate) struct ScalingPlanner {
    spec: ScalingSpec,
    /// The samples of the history, oldest first. They follow each other without a long pause.
    samples: VecDeque<DemandSample>,
    /// The number of targets that the platform keeps, as far as known: the last order's, or the
    /// listed number once it differs for longer than an order takes.
    settled: u32,
    /// Whether the settled number has been listed.
    is_reached: bool,
    /// Since when another number is listed.
    differs_since: Option<Timestamp>,
    /// When the last order was accepted.
    ordered_at: Option<Timestamp>,
    /// The largest fraction of the targets that was missing at a time.
    loss: f64,
}

impl ScalingPlanner {
    pub(crate) fn new(spec: ScalingSpec) -> Self {
        Self {
            spec,
            samples: VecDeque::new(),
            settled: 0,
            is_reached: false,
            differs_since: None,
            ordered_at: None,
            loss: 0.0,
        }
    }

    /// Applies the limits of a new configuration.
    pub(crate) fn update_spec(&mut self, spec: ScalingSpec) {
        self.spec = spec;
    }

    fn history(&self) -> Duration {
        self.spec.boot_time * HISTORY_BOOT_TIMES
    }

    /// Applies a view and returns the order that is due now. The same order is returned until
    /// [`Self::record_accepted`] is called, as long as it is wanted.
    pub(crate) fn plan(&mut self, view: &ZoneView) -> Option<ScaleOrder> {
        let paused = |last: &DemandSample| view.now.since(last.at) > MAX_VIEW_PAUSE;
        if self.samples.back().is_some_and(paused) {
            *self = Self::new(self.spec);
        }
        if !view.is_current || view.is_evacuated || view.listed == 0 {
            // The history must not span a time in which the demand is not known.
            self.samples.clear();
            return None;
        }
        if self.samples.is_empty() && self.settled == 0 {
            self.settled = view.listed;
        }
        self.observe_listed(view);
        self.add_sample(view);
        let needed = self.increase(view);
        if needed.is_some() {
            return needed;
        }
        self.decrease(view)
    }

    /// Records that the platform has accepted an order.
    pub(crate) fn record_accepted(&mut self, order: ScaleOrder, now: Timestamp) {
        self.settled = order.desired;
        self.is_reached = false;
        self.differs_since = None;
        self.ordered_at = Some(now);
    }

    /// Compares the listed number with the settled one. Fewer targets than settled are a loss, once
    /// the settled number has been reached; lost targets come back by themselves.
    fn observe_listed(&mut self, view: &ZoneView) {
        if view.listed == self.settled {
            self.is_reached = true;
            self.differs_since = None;
            return;
        }
        let since = *self.differs_since.get_or_insert(view.now);
        let is_loss = self.is_reached && view.listed < self.settled;
        if is_loss {
            let missing = f64::from(self.settled - view.listed) / f64::from(self.settled);
            self.loss = self.loss.max(missing).min(MAX_LOSS);
        }
        let limit = match is_loss {
            true => self.history(),
            false => self.spec.boot_time * 2,
        };
        let is_new = self.ordered_at.is_none() && view.listed > self.settled;
        if is_new || view.now.since(since) > limit {
            self.settled = view.listed;
            self.is_reached = true;
            self.differs_since = None;
        }
    }

    fn add_sample(&mut self, view: &ZoneView) {
        let history = self.history();
        let is_old = |sample: &DemandSample| view.now.since(sample.at) > history;
        while self.samples.front().is_some_and(is_old) {
            self.samples.pop_front();
        }
        self.samples.push_back(DemandSample {
            at: view.now,
            demand: view.demand(),
            total_demand: view.total_demand,
            adapters: view.adapters_in_use,
        });
    }

    /// Whether the samples span the whole history.
    fn has_full_history(&self, now: Timestamp) -> bool {
        let span = self.samples.front().map(|first| now.since(first.at));
        span.is_some_and(|span| span + MAX_VIEW_PAUSE / 2 >= self.history())
    }

    /// The highest value that the samples reached for a recurring time in total.
    fn recurring(&self, value: impl Fn(&DemandSample) -> u32) -> u32 {
        let mut values: Vec<u32> = self.samples.iter().map(value).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        let span = match (self.samples.front(), self.samples.back()) {
            (Some(first), Some(last)) => last.at.since(first.at).as_secs_f64(),
            _ => 0.0,
        };
        let interval = (span / (values.len().max(2) - 1) as f64).max(0.001);
        let lasting = self.spec.boot_time.as_secs_f64() * RECURRING_FRACTION / interval;
        values.get(lasting as usize).copied().unwrap_or(0)
    }

    fn highest(&self, value: impl Fn(&DemandSample) -> u32) -> u32 {
        self.samples.iter().map(value).max().unwrap_or(0)
    }

    /// The targets that `demand` needs, with spare ones for the targets lost at a time.
    fn targets_for(&self, demand: u32, view: &ZoneView) -> u32 {
        let usable = view.slots.max(1.0) * MAX_ZONE_LOAD;
        let needed = (f64::from(demand) / usable).ceil();
        let spare = (needed / (1.0 - self.loss)).ceil();
        // At least one target may be lost at any time.
        (spare as u32).max(needed as u32 + 1)
    }

    /// The targets that the adapters in use need.
    fn targets_for_adapters(&self, adapters: u32, view: &ZoneView) -> u32 {
        let usable = f64::from(view.adapter_slots) * MAX_ADAPTER_USE;
        match view.adapter_slots {
            0 => 0,
            _ => (f64::from(adapters) / usable).ceil() as u32,
        }
    }

    /// The targets that the demand of all zones needs in this one after the tolerated loss. Slots may
    /// all be in use then.
    fn targets_for_zone_loss(&self, total_demand: u32, view: &ZoneView) -> u32 {
        if view.tolerated_losses == 0 {
            return 0;
        }
        let left = view.zones.saturating_sub(view.tolerated_losses).max(1);
        let share = f64::from(total_demand) / f64::from(left);
        (share / view.slots.max(1.0)).ceil() as u32
    }

    /// The number of targets that the demand needs, and what determines it.
    fn required(
        &self,
        view: &ZoneView,
        statistic: impl Fn(&Self, fn(&DemandSample) -> u32) -> u32,
    ) -> (u32, ScaleReason) {
        let demand = statistic(self, |sample| sample.demand);
        let adapters = statistic(self, |sample| sample.adapters);
        let total = statistic(self, |sample| sample.total_demand);
        let causes = [
            (
                self.targets_for_zone_loss(total, view),
                ScaleReason::ZoneLoss,
            ),
            (
                self.targets_for_adapters(adapters, view),
                ScaleReason::AdaptersInUse,
            ),
            (self.targets_for(demand, view), ScaleReason::RecurringLoad),
        ];
        let highest = causes.into_iter().max_by_key(|(targets, _)| *targets);
        highest.unwrap_or((0, ScaleReason::RecurringLoad))
    }

    fn increase(&self, view: &ZoneView) -> Option<ScaleOrder> {
        let (mut desired, mut reason) =
            self.required(view, |planner, value| planner.recurring(value));
        if view.callers_wait() {
            // The present demand may be a burst, so it gets no headroom beyond one target.
            let present = (f64::from(view.demand()) / view.slots.max(1.0)).ceil() as u32 + 1;
            if present > desired {
                (desired, reason) = (present, ScaleReason::CallersWait);
            }
        }
        let desired = desired.clamp(self.spec.min, self.spec.max);
        (desired > self.settled.max(view.listed)).then_some(ScaleOrder { desired, reason })
    }

    /// The order that removes targets, if the whole history allows it. While targets are missing or
    /// an order is not carried out yet, none are removed.
    fn decrease(&self, view: &ZoneView) -> Option<ScaleOrder> {
        let is_settled = self.is_reached && view.listed == self.settled;
        let since_order = self.ordered_at.map(|time| view.now.since(time));
        let is_too_soon = since_order.is_some_and(|time| time < self.spec.boot_time);
        if !is_settled || is_too_soon || view.callers_wait() || !self.has_full_history(view.now) {
            return None;
        }
        let (needed, _) = self.required(view, |planner, value| planner.highest(value));
        let step = (f64::from(view.listed) * MAX_STEP_DOWN).max(1.0) as u32;
        let desired = needed.max(view.listed.saturating_sub(step));
        let desired = desired.clamp(self.spec.min, self.spec.max);
        let reason = ScaleReason::UnusedCapacity;
        (desired < view.listed).then_some(ScaleOrder { desired, reason })
    }
}
