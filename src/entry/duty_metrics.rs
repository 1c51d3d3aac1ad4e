//! Metrics of the tasks that one VM at a time performs.

use std::sync::atomic::AtomicU64;

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

type DutyLabels = [(&'static str, String); 1];

#[derive(Debug)]
pub(crate) struct DutyMetrics {
    /// Whether this VM performs a duty.
    held: Family<DutyLabels, Gauge<u64, AtomicU64>>,
    /// Calls to the control service by duty and answer.
    calls: Family<[(&'static str, String); 2], Counter>,
    /// Usage windows by what this VM did about them.
    windows: Family<[(&'static str, &'static str); 1], Counter>,
}

impl DutyMetrics {
    pub(crate) fn new(registry: &mut Registry) -> Self {
        let (held, calls, windows) = (Family::default(), Family::default(), Family::default());
        registry.register(
            "entry_duty_held",
            "Whether this VM performs a duty",
            Family::clone(&held),
        );
        registry.register(
            "entry_duty_calls",
            "Calls to the control service by duty and answer",
            Family::clone(&calls),
        );
        registry.register(
            "entry_usage_windows",
            "Usage windows that this VM recorded, reported, repeated or missed",
            Family::clone(&windows),
        );
        Self {
            held,
            calls,
            windows,
        }
    }

    pub(crate) fn set_held(&self, duty: &str, held: bool) {
        let labels = [("duty", duty.to_owned())];
        self.held.get_or_create(&labels).set(u64::from(held));
    }

    pub(crate) fn record_call(&self, duty: &str, answer: &str) {
        let labels = [("duty", duty.to_owned()), ("answer", answer.to_owned())];
        self.calls.get_or_create(&labels).inc();
    }

    pub(crate) fn record_window(&self, result: &'static str) {
        self.windows.get_or_create(&[("result", result)]).inc();
    }
}
