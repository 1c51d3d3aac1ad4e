//! Reads callers' bodies within the process's budget.

use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::io::AsyncRead;
use tokio::sync::Notify;

use super::admission::Refusal;
use super::body_budget::{BodyBudget, BodyGrant, BodyId, SMALL_BODY_BYTES};
use super::client_limits::ClientLimits;
use super::http::{BodyDecoder, BodyFraming, HttpError, ReadBuffer};
use super::limit_events::{ClientLimit, LimitEvents};
use crate::clock::Clock;

/// How long a body may be held back before it is rejected.
const MAX_WAIT: Duration = Duration::from_secs(5);
/// How often a body that is held back looks for others that make no progress.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// The `Retry-After` of a body that is rejected for lack of memory.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The budget of callers' bodies, and a notification of its changes.
#[derive(Debug)]
pub(crate) struct BodyMemory {
    budget: Mutex<BodyBudget>,
    /// Notified when memory may have become free, and when bodies must give it up.
    changed: Notify,
}

impl BodyMemory {
    pub(crate) fn new(limits: &ClientLimits) -> Self {
        Self {
            budget: Mutex::new(BodyBudget::new(limits)),
            changed: Notify::new(),
        }
    }

    fn lock_budget(&self) -> MutexGuard<'_, BodyBudget> {
        self.budget.lock().expect("no holder of the lock panics")
    }
}

/// Why a body was not read.
#[derive(Debug, derive_more::From)]
pub(crate) enum BodyError {
    Http(HttpError),
    Refused(Refusal),
}

/// The memory of one body, released when dropped.
#[derive(Debug)]
pub(crate) struct BodyReservation<'a> {
    memory: &'a BodyMemory,
    clock: &'a Clock,
    events: &'a LimitEvents,
    id: BodyId,
}

impl Drop for BodyReservation<'_> {
    fn drop(&mut self) {
        if self.memory.lock_budget().close(self.id) {
            self.memory.changed.notify_waiters();
        }
    }
}

impl<'a> BodyReservation<'a> {
    pub(crate) fn new(memory: &'a BodyMemory, clock: &'a Clock, events: &'a LimitEvents) -> Self {
        let id = memory.lock_budget().open(clock.now());
        Self {
            memory,
            clock,
            events,
            id,
        }
    }

    /// Waits until the body may have `bytes` in total.
    pub(crate) async fn acquire(&self, bytes: usize) -> Result<(), BodyError> {
        let started_at = self.clock.now();
        let mut grant = self
            .memory
            .lock_budget()
            .request(self.id, bytes, started_at);
        while grant == BodyGrant::Waiting {
            let changed = self.memory.changed.notified();
            let now = self.clock.now();
            let evicted = {
                let mut budget = self.memory.lock_budget();
                if budget.retry(self.id, now) {
                    return Ok(());
                }
                if budget.is_evicted(self.id) || now.since(started_at) >= MAX_WAIT {
                    grant = BodyGrant::Rejected;
                }
                budget.evict_stalled(now)
            };
            if evicted {
                self.memory.changed.notify_waiters();
            }
            if grant == BodyGrant::Waiting {
                let _ = tokio::time::timeout(CHECK_INTERVAL, changed).await;
            }
        }
        if grant == BodyGrant::Granted {
            return Ok(());
        }
        self.events
            .record(ClientLimit::BodyMemory, self.clock.now());
        let reason = "no memory for the body is free";
        Err(Refusal::unavailable(reason, RETRY_AFTER).into())
    }

    /// Waits until the body must give up its memory.
    async fn evicted(&self) {
        loop {
            let changed = self.memory.changed.notified();
            if self.memory.lock_budget().is_evicted(self.id) {
                return;
            }
            changed.await;
        }
    }

    /// Reads a body of at most `limit` bytes, of which `acquired` are reserved. Asks for more memory
    /// as a body without a stated length grows.
    pub(crate) async fn read(
        &self,
        reader: &mut (impl AsyncRead + Unpin),
        buffer: &mut ReadBuffer,
        framing: BodyFraming,
        mut acquired: usize,
        limit: usize,
    ) -> Result<Bytes, BodyError> {
        let mut decoder = BodyDecoder::new(framing);
        let mut body = BytesMut::with_capacity(acquired);
        loop {
            // The framing of chunks needs no memory, so this may ask for a little too much.
            let needed = body.len() + buffer.len();
            if !matches!(framing, BodyFraming::Length(_)) && needed > acquired {
                acquired = (2 * acquired).max(needed);
                self.acquire(acquired).await?;
                body.reserve(acquired - body.len());
            }
            decoder.decode(buffer, &mut body)?;
            if body.len() > limit {
                return Err(HttpError::TooLarge.into());
            }
            if decoder.is_done() {
                self.memory.lock_budget().complete(self.id);
                return Ok(body.freeze());
            }
            let now = self.clock.now();
            self.memory
                .lock_budget()
                .record_read(self.id, body.len(), now);
            tokio::select! {
                biased;
                read = buffer.fill(reader) => if read.map_err(HttpError::from)? == 0 {
                    decoder.finish()?;
                },
                () = self.evicted() => {
                    self.events.record(ClientLimit::BodyStalled, self.clock.now());
                    return Err(Refusal::new(408, "the body makes no progress").into());
                }
            }
        }
    }
}

/// The bytes to reserve before a body is read, or an error if its stated length is over the limit.
pub(crate) fn first_reservation(framing: BodyFraming, limit: usize) -> Result<usize, HttpError> {
    match framing {
        BodyFraming::Length(length) => match usize::try_from(length) {
            Ok(length) if length <= limit => Ok(length),
            _ => Err(HttpError::TooLarge),
        },
        BodyFraming::Chunked | BodyFraming::UntilClose => Ok(SMALL_BODY_BYTES.min(limit)),
    }
}
