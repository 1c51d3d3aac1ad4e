//! Requests that wait for an adapter or for a place, and who is woken by what.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;

use crate::clock::Timestamp;
use crate::collections::FastMap;
use crate::ids::{AdapterName, ServiceName};

/// A waiting request looks again after this time even if nothing woke it.
const LOOK_PAUSE: Duration = Duration::from_millis(60);
/// The span over which the rate of ended requests is measured.
const RATE_SPAN: Duration = Duration::from_millis(1000);

/// The order in which requests of a service get places: urgency, then arrival.
type WaitOrder = (u8, u64);

#[derive(Debug)]
struct WaitEntry {
    adapter: Option<AdapterName>,
    notify: Rc<Notify>,
}

#[derive(Debug, Default)]
struct ServiceQueue {
    entries: BTreeMap<WaitOrder, WaitEntry>,
    /// Requests that ended since `counted_from`.
    ended: u32,
    counted_from: Timestamp,
    /// Ended requests per second in the last whole span.
    rate: f64,
}

/// All waiting requests.
#[derive(Debug, Default)]
pub(crate) struct WaitingRoom {
    queues: RefCell<FastMap<ServiceName, ServiceQueue>>,
    next_arrival: Cell<u64>,
}

/// One waiting request. It leaves the queue when it is dropped.
#[derive(Debug)]
pub(crate) struct WaitTicket<'a> {
    room: &'a WaitingRoom,
    service: ServiceName,
    order: WaitOrder,
    notify: Rc<Notify>,
}

impl WaitTicket<'_> {
    /// Waits until something that the request waits for may have changed.
    pub(crate) async fn changed(&self, most: Duration) {
        let _ = tokio::time::timeout(LOOK_PAUSE.min(most), self.notify.notified()).await;
    }

    /// The time until the requests ahead have got places, at the present rate.
    pub(crate) fn expected_wait(&self) -> Option<Duration> {
        let queues = self.room.queues.borrow();
        let queue = queues.get(&self.service)?;
        let ahead = queue.entries.range(..=self.order).count();
        // Without a rate nothing is known yet.
        (queue.rate > 0.0).then(|| Duration::from_secs_f64((ahead as f64 / queue.rate).min(60.0)))
    }
}

impl Drop for WaitTicket<'_> {
    fn drop(&mut self) {
        if let Some(queue) = self.room.queues.borrow_mut().get_mut(&self.service) {
            queue.entries.remove(&self.order);
        }
    }
}

impl WaitingRoom {
    pub(crate) fn enter(
        &self,
        service: &ServiceName,
        priority: u8,
        adapter: Option<&AdapterName>,
    ) -> WaitTicket<'_> {
        let arrival = self.next_arrival.get();
        self.next_arrival.set(arrival + 1);
        let (order, notify) = ((priority, arrival), Rc::new(Notify::new()));
        let entry = WaitEntry {
            adapter: adapter.cloned(),
            notify: Rc::clone(&notify),
        };
        let mut queues = self.queues.borrow_mut();
        queues
            .entry(service.clone())
            .or_default()
            .entries
            .insert(order, entry);
        WaitTicket {
            room: self,
            service: service.clone(),
            order,
            notify,
        }
    }

    /// Adapters may have become ready.
    pub(crate) fn wake_adapters(&self, adapters: &[AdapterName]) {
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

    /// A request of the service ended and left a place.
    pub(crate) fn note_ended(&self, service: &ServiceName, now: Timestamp) {
        let mut queues = self.queues.borrow_mut();
        let queue = queues.entry(service.clone()).or_default();
        queue.ended += 1;
        let span = now.since(queue.counted_from);
        if span >= RATE_SPAN {
            queue.rate = f64::from(queue.ended) / span.as_secs_f64();
            queue.ended = 0;
            queue.counted_from = now;
        }
        if let Some(entry) = queue.entries.values().next() {
            entry.notify.notify_one();
        }
    }
}
