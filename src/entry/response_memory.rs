//! Bounds the memory for the responses of targets, the store and other services.
//!
//! Handles many responses that are held at the same time and that a faulty sender never ends: memory
//! is reserved while a response grows, and the response fails once there is none left.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use super::client_limits::ClientLimits;
use super::limit_events::{ClientLimit, LimitEvents};
use crate::clock::Clock;

/// The bytes of each response that need no reservation: what is read at once. The number of
/// responses at a time bounds their sum.
const FREE_BYTES: usize = 16 * 1024;

/// The memory for the responses of one kind of sender.
#[derive(Debug)]
pub(crate) struct ResponseMemory {
    limit: u64,
    /// The sum of all reservations. At most `limit`.
    reserved: AtomicU64,
    clock: Clock,
    events: Arc<LimitEvents>,
}

impl ResponseMemory {
    /// Memory for tests, as that of the largest VMs.
    #[cfg(test)]
    pub(crate) fn for_tests() -> Arc<Self> {
        let limits = ClientLimits::new(None, None);
        Self::new(&limits, &Clock::manual(), &Arc::default())
    }

    pub(crate) fn new(
        limits: &ClientLimits,
        clock: &Clock,
        events: &Arc<LimitEvents>,
    ) -> Arc<Self> {
        Arc::new(Self {
            limit: limits.response_memory.into(),
            reserved: AtomicU64::new(0),
            clock: clock.clone(),
            events: Arc::clone(events),
        })
    }

    pub(crate) fn limit(&self) -> u64 {
        self.limit
    }

    /// Changes a reservation from `previous` to `wanted` bytes. Returns whether it fits.
    fn change(&self, previous: u64, wanted: u64) -> bool {
        let fits = |reserved: u64| {
            let total = reserved - previous + wanted;
            (total <= self.limit || wanted <= previous).then_some(total)
        };
        let order = Ordering::Relaxed;
        self.reserved.fetch_update(order, order, fits).is_ok()
    }
}

/// The memory of one response, released when dropped.
#[derive(Debug)]
pub(crate) struct ResponseReservation {
    memory: Arc<ResponseMemory>,
    reserved: u64,
}

impl Drop for ResponseReservation {
    fn drop(&mut self) {
        self.memory.change(self.reserved, 0);
    }
}

impl ResponseReservation {
    pub(crate) fn new(memory: &Arc<ResponseMemory>) -> Self {
        Self {
            memory: Arc::clone(memory),
            reserved: 0,
        }
    }

    /// Sets the bytes that are held. Returns `false`, and leaves the reservation as it is, if there
    /// is no memory for them.
    pub(crate) fn resize(&mut self, bytes: usize) -> bool {
        let wanted = charge_for(bytes);
        let fits = wanted == self.reserved || self.memory.change(self.reserved, wanted);
        if fits {
            self.reserved = wanted;
        } else {
            let now = self.memory.clock.now();
            self.memory.events.record(ClientLimit::ResponseMemory, now);
        }
        fits
    }
}

/// A buffer has up to twice the memory of its bytes, as it doubles when it grows.
fn charge_for(bytes: usize) -> u64 {
    match bytes > FREE_BYTES {
        true => 2 * bytes as u64,
        false => 0,
    }
}
