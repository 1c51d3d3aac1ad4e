//! Counts and logs the moments at which a limit on untrusted clients or servers acts.

use std::sync::Mutex;
use std::time::Duration;

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

use crate::clock::Timestamp;
use crate::collections::FastMap;

/// The shortest time between two log lines for the same limit.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// A limit on untrusted clients, or on the servers that the process calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, derive_more::Display)]
pub(crate) enum ClientLimit {
    /// A body was rejected because the memory for bodies is taken.
    #[display("body_memory")]
    BodyMemory,
    /// A body gave up its memory to others because it made no progress.
    #[display("body_stalled")]
    BodyStalled,
    /// A connection was closed for a new one, or for an incomplete head.
    #[display("connections")]
    Connections,
    /// A request was rejected because too many are served.
    #[display("requests")]
    Requests,
    /// A connection was closed that had sent too much behind its request.
    #[display("read_ahead")]
    ReadAhead,
    /// A response of a target, the store or another service found no memory.
    #[display("response_memory")]
    ResponseMemory,
}

#[derive(Debug, Default)]
struct LoggedEvents {
    /// When the last line was logged.
    logged_at: Option<Timestamp>,
    /// The number of times that the limit has acted since.
    unlogged: u64,
}

#[derive(Debug, Default)]
pub(crate) struct LimitEvents {
    counters: Family<[(&'static str, String); 1], Counter>,
    logged: Mutex<FastMap<ClientLimit, LoggedEvents>>,
}

impl LimitEvents {
    pub(crate) fn new(registry: &mut Registry) -> Self {
        let events = Self::default();
        registry.register(
            "entry_client_limits",
            "Times that a limit on untrusted clients has acted, by limit",
            events.counters.clone(),
        );
        events
    }

    pub(crate) fn record(&self, limit: ClientLimit, now: Timestamp) {
        self.counters
            .get_or_create(&[("limit", limit.to_string())])
            .inc();
        let mut logged = self.logged.lock().expect("no holder of the lock panics");
        let events = logged.entry(limit).or_default();
        events.unlogged += 1;
        let is_due = |at: Timestamp| now.since(at) >= LOG_INTERVAL;
        if events.logged_at.is_none_or(is_due) {
            tracing::warn!(%limit, count = events.unlogged, "limits: a limit on clients has acted");
            *events = LoggedEvents {
                logged_at: Some(now),
                unlogged: 0,
            };
        }
    }
}
