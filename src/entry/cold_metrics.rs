//! Counters of requests to cold targets.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

use crate::ids::ServiceName;

#[derive(Debug)]
pub(super) struct ColdMetrics {
    /// Attempts on targets that were known to be cold, by service.
    sends: Family<[(&'static str, String); 1], Counter>,
}

impl ColdMetrics {
    pub(super) fn new(registry: &mut Registry) -> Self {
        let sends = Family::<[(&'static str, String); 1], Counter>::default();
        registry.register(
            "entry_cold_sends",
            "Attempts on targets that were known to be cold",
            sends.clone(),
        );
        Self { sends }
    }

    /// Counts an attempt on a target that was known to be cold.
    pub(super) fn record_send(&self, service: &ServiceName) {
        let labels = [("service", service.to_string())];
        self.sends.get_or_create(&labels).inc();
    }
}
