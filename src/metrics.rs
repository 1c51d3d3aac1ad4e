//! The process's metrics in the OpenMetrics text format.

use std::fmt::Write;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use crate::pool::stats::StartSample;

const METRIC_PREFIX: &str = "bluebellmux";
/// Time to first token in seconds. The bound of 0.55 s is the service-level objective.
const FIRST_TOKEN_BUCKETS_S: [f64; 9] = [0.05, 0.1, 0.2, 0.3, 0.4, 0.55, 1.0, 2.0, 5.0];
/// Requests in an engine's batch.
const BATCH_BUCKETS_REQUESTS: [f64; 6] = [1.0, 2.0, 4.0, 8.0, 16.0, 32.0];

type RefusalLabels = [(&'static str, String); 2];

/// The service-level metrics and the resource use of the process. Components update these and
/// register their own metrics with [`Self::register`]. Counters are lock-free atomics.
#[derive(Debug)]
pub(crate) struct NodeMetrics {
    registry: Mutex<Registry>,
    /// Requests that waited for their adapter to be loaded, in the pools that this node
    /// coordinates.
    load_stalls: Counter,
    /// Requests on the chosen target including the new one, in the pools that this node
    /// coordinates.
    batch_requests: Histogram,
    /// The smallest fraction of its fair share that any account was served in the last minute.
    pub(crate) worst_account_share: Gauge<f64, AtomicU64>,
    /// Completion requests that were refused although they were within their account's rate.
    pub(crate) wrongful_refusals: Counter,
    /// Requests that were not run, by code and by whether a zone was out of service.
    refusals: Family<RefusalLabels, Counter>,
    /// Seconds from the acquisition of a slot on the target to the first token, while a zone is out
    /// of service.
    pub(crate) zone_change_first_token: Histogram,
    /// Bytes to and from peers, and bodies to and from the platform.
    pub(crate) control_bytes: Gauge,
    /// Resident set size of the process in bytes.
    pub(crate) control_memory: Gauge,
    /// Offset of the next configuration record to apply.
    pub(crate) config_next_offset: Gauge,
    /// Entries of the configuration in all sections.
    pub(crate) config_entries: Gauge,
}

impl NodeMetrics {
    pub(crate) fn new() -> Self {
        let metrics = Self {
            registry: Mutex::new(Registry::with_prefix(METRIC_PREFIX)),
            load_stalls: Counter::default(),
            batch_requests: Histogram::new(BATCH_BUCKETS_REQUESTS),
            worst_account_share: Gauge::default(),
            wrongful_refusals: Counter::default(),
            refusals: Family::default(),
            zone_change_first_token: Histogram::new(FIRST_TOKEN_BUCKETS_S),
            control_bytes: Gauge::default(),
            control_memory: Gauge::default(),
            config_next_offset: Gauge::default(),
            config_entries: Gauge::default(),
        };
        metrics.register_service_metrics();
        metrics.register_resource_metrics();
        metrics
    }

    /// Registers the metrics of a component.
    pub(crate) fn register(&self, add: impl FnOnce(&mut Registry)) {
        add(&mut self.registry.lock().expect("no holder of the lock panics"));
    }

    fn register_service_metrics(&self) {
        self.register(|registry| {
            registry.register(
                "load_stalls",
                "Requests whose place waited for the load of their adapter, counted by the coordinator",
                self.load_stalls.clone(),
            );
            registry.register(
                "batch_requests",
                "Requests on the chosen target with the new one, counted by the coordinator",
                self.batch_requests.clone(),
            );
            registry.register(
                "worst_account_share",
                "Tokens served to the worst account in the last minute by its fair share, at most 1",
                self.worst_account_share.clone(),
            );
            registry.register(
                "wrongful_refusals",
                "Completions refused for want of service, not for their account's rate or a fault of theirs",
                self.wrongful_refusals.clone(),
            );
            registry.register(
                "refusals",
                "Requests that were not run, by error code and by whether a zone is out of service",
                self.refusals.clone(),
            );
            registry.register(
                "zone_change_first_token_seconds",
                "Time to first token while a zone is out of service",
                self.zone_change_first_token.clone(),
            );
        });
    }

    fn register_resource_metrics(&self) {
        self.register(|registry| {
            registry.register(
                "control_bytes",
                "Bytes to and from peers, and bodies to and from the platform",
                self.control_bytes.clone(),
            );
            registry.register(
                "control_memory_bytes",
                "Resident set of the process",
                self.control_memory.clone(),
            );
            registry.register(
                "config_next_offset",
                "Offset of the next configuration record",
                self.config_next_offset.clone(),
            );
            registry.register(
                "config_entries",
                "Entries of the configuration in all sections",
                self.config_entries.clone(),
            );
        });
    }

    /// Counts a request that was refused without being run.
    pub(crate) fn count_refusal(&self, code: &str, zone_out: bool) {
        let labels = [
            ("code", code.to_owned()),
            ("zone_out", zone_out.to_string()),
        ];
        self.refusals.get_or_create(&labels).inc();
    }

    /// Counts requests that were pinned to a target.
    pub(crate) fn count_starts(&self, starts: &[StartSample]) {
        for start in starts {
            self.load_stalls.inc_by(u64::from(start.waited_for_load));
            self.batch_requests.observe(f64::from(start.in_flight));
        }
    }

    /// Encodes all metrics in the OpenMetrics text format.
    pub(crate) fn encode(&self) -> String {
        let mut text = String::new();
        let registry = self.registry.lock().expect("no holder of the lock panics");
        if prometheus_client::encoding::text::encode(&mut text, &registry).is_err() {
            let _ = write!(text, "# EOF");
        }
        text
    }
}

/// The resident set size of this process in bytes, or 0 if it cannot be read.
pub(crate) fn resident_bytes() -> i64 {
    /// The page size of the x86-64 and default arm64 kernels.
    const PAGE_BYTES: i64 = 4096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}
