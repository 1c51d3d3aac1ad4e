//! Queues of requests that wait for an adapter or for capacity on a target, and their wake-ups.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;

use crate::clock::Timestamp;
use crate::collections::FastMap;
use crate::dispatch::directory::TargetKey;
use crate::dispatch::fleet_demand::ServiceShortage;
use crate::ids::{ModelAdapter, ServiceName};

/// A waiting request checks again after this time even without a notification.
const RECHECK_INTERVAL: Duration = Duration::from_millis(60);
/// The period over which the rate of completed requests is measured.
const RATE_WINDOW: Duration = Duration::from_millis(1000);

/// The order in which a service's requests are sent: by urgency, then by arrival.
type WaitOrder = (u8, u64);

#[derive(Debug)]
struct WaitEntry {
    adapter: Option<ModelAdapter>,
    /// Whether the request waits for lack of capacity, and not for a load.
    lacks_capacity: bool,
    /// The cold target for which the request last waited for a permit.
    awaited_permit: Option<TargetKey>,
    notify: Rc<Notify>,
}

#[derive(Debug, Default)]
struct ServiceQueue {
    entries: BTreeMap<WaitOrder, WaitEntry>,
    /// Requests that have completed since `window_start`.
    completed: u32,
    window_start: Timestamp,
    /// Completed requests per second in the last full window.
    rate: f64,
    /// Requests rejected for lack of capacity since the process started.
    rejected: u64,
}

/// The waiting requests of all services.
#[derive(Debug, Default)]
pub(crate) struct WaitQueue {
    queues: RefCell<FastMap<ServiceName, ServiceQueue>>,
    next_arrival: Cell<u64>,
}

/// A request's position in a queue. Dropping it removes the request from the queue.
#[derive(Debug)]
pub(crate) struct WaitTicket<'a> {
    parent: &'a WaitQueue,
    service: ServiceName,
    order: WaitOrder,
    notify: Rc<Notify>,
}

impl WaitTicket<'_> {
    /// Waits for a notification, for at most `limit`.
    pub(crate) async fn wait_for_change(&self, limit: Duration) {
        let _ = tokio::time::timeout(RECHECK_INTERVAL.min(limit), self.notify.notified()).await;
    }

    /// Records whether the request waits for lack of capacity.
    pub(crate) fn set_lacks_capacity(&self, lacks_capacity: bool) {
        let mut queues = self.parent.queues.borrow_mut();
        let queue = queues.get_mut(&self.service);
        if let Some(entry) = queue.and_then(|queue| queue.entries.get_mut(&self.order)) {
            entry.lacks_capacity = lacks_capacity;
        }
    }

    /// Records the target for which the request waits for a permit.
    pub(crate) fn set_awaited_permit(&self, target: TargetKey) {
        let mut queues = self.parent.queues.borrow_mut();
        let queue = queues.get_mut(&self.service);
        if let Some(entry) = queue.and_then(|queue| queue.entries.get_mut(&self.order)) {
            entry.awaited_permit = Some(target);
        }
    }

    /// The expected time until this request is sent, at the current completion rate. Returns `None`
    /// before the first rate is measured.
    pub(crate) fn expected_wait(&self) -> Option<Duration> {
        let queues = self.parent.queues.borrow();
        let queue = queues.get(&self.service)?;
        let ahead = queue.entries.range(..=self.order).count();
        (queue.rate > 0.0).then(|| Duration::from_secs_f64((ahead as f64 / queue.rate).min(60.0)))
    }
}

impl Drop for WaitTicket<'_> {
    fn drop(&mut self) {
        if let Some(queue) = self.parent.queues.borrow_mut().get_mut(&self.service) {
            queue.entries.remove(&self.order);
        }
    }
}

impl WaitQueue {
    pub(crate) fn enqueue(
        &self,
        service: &ServiceName,
        priority: u8,
        adapter: Option<&ModelAdapter>,
    ) -> WaitTicket<'_> {
        let arrival = self.next_arrival.get();
        self.next_arrival.set(arrival + 1);
        let (order, notify) = ((priority, arrival), Rc::new(Notify::new()));
        let entry = WaitEntry {
            adapter: adapter.cloned(),
            lacks_capacity: false,
            awaited_permit: None,
            notify: Rc::clone(&notify),
        };
        let mut queues = self.queues.borrow_mut();
        queues
            .entry(service.clone())
            .or_default()
            .entries
            .insert(order, entry);
        WaitTicket {
            parent: self,
            service: service.clone(),
            order,
            notify,
        }
    }

    /// Counts a request that was rejected for lack of capacity.
    pub(crate) fn record_rejection(&self, service: &ServiceName) {
        let mut queues = self.queues.borrow_mut();
        queues.entry(service.clone()).or_default().rejected += 1;
    }

    /// This VM's requests for a service that lack capacity.
    pub(crate) fn shortage(&self, service: &ServiceName) -> ServiceShortage {
        let queues = self.queues.borrow();
        let queue = queues.get(service);
        let waiting = queue.map_or(0, |queue| {
            let entries = queue.entries.values();
            entries.filter(|entry| entry.lacks_capacity).count()
        });
        ServiceShortage {
            service: service.clone(),
            waiting: u32::try_from(waiting).unwrap_or(u32::MAX),
            rejected: queue.map_or(0, |queue| queue.rejected),
        }
    }

    /// Wakes the requests that wait for any of these adapters.
    pub(crate) fn wake_requests_for(&self, adapters: &[ModelAdapter]) {
        if adapters.is_empty() {
            return;
        }
        let queues = self.queues.borrow();
        for entry in queues.values().flat_map(|queue| queue.entries.values()) {
            if entry
                .adapter
                .as_ref()
                .is_some_and(|adapter| adapters.contains(adapter))
            {
                entry.notify.notify_one();
            }
        }
    }

    /// Wakes all requests that wait for a target of the service.
    pub(crate) fn wake_all(&self, service: &ServiceName) {
        let queues = self.queues.borrow();
        let queue = queues.get(service);
        for entry in queue.iter().flat_map(|queue| queue.entries.values()) {
            entry.notify.notify_one();
        }
    }

    /// Wakes the requests that wait for a permit for this target.
    pub(crate) fn wake_requests_for_permit(&self, target: TargetKey) {
        let queues = self.queues.borrow();
        let entries = queues.values().flat_map(|queue| queue.entries.values());
        for entry in entries.filter(|entry| entry.awaited_permit == Some(target)) {
            entry.notify.notify_one();
        }
    }

    /// Counts a completed request of the service and wakes the first waiting one.
    pub(crate) fn record_completion(&self, service: &ServiceName, now: Timestamp) {
        let mut queues = self.queues.borrow_mut();
        let queue = queues.entry(service.clone()).or_default();
        queue.completed += 1;
        let elapsed = now.since(queue.window_start);
        if elapsed >= RATE_WINDOW {
            queue.rate = f64::from(queue.completed) / elapsed.as_secs_f64();
            queue.completed = 0;
            queue.window_start = now;
        }
        if let Some(entry) = queue.entries.values().next() {
            entry.notify.notify_one();
        }
    }
}
