//! Counters of requests to cold targets.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

use crate::dispatch::cold_start::PermitGrant;
use crate::ids::ServiceName;

#[derive(Debug)]
pub(super) struct ColdMetrics {
    /// Reservations of targets that were known to be cold, by service.
    sends: Family<[(&'static str, String); 1], Counter>,
    /// Permits that other VMs or this one wanted for targets that this VM owns, by answer.
    permits: Family<[(&'static str, &'static str); 1], Counter>,
}

impl ColdMetrics {
    pub(super) fn new(registry: &mut Registry) -> Self {
        let (sends, permits) = (Family::default(), Family::default());
        registry.register(
            "entry_cold_sends",
            "Reservations of targets that were known to be cold; not all of them are sent",
            sends.clone(),
        );
        registry.register(
            "entry_cold_permits",
            "Permits for cold targets that this VM owns, by answer",
            permits.clone(),
        );
        Self { sends, permits }
    }

    /// Counts a reservation of a target that was known to be cold. The request is not sent if the permit
    /// ends first.
    pub(super) fn record_send(&self, service: &ServiceName) {
        let labels = [("service", service.to_string())];
        self.sends.get_or_create(&labels).inc();
    }

    /// Counts the permits of an answer to a request for `wanted` permits.
    pub(super) fn record_grant(&self, grant: &PermitGrant, wanted: u32) {
        let granted = grant.delays.len() as u64;
        let refused = u64::from(wanted).saturating_sub(granted);
        for (answer, count) in [("granted", granted), ("refused", refused)] {
            self.permits
                .get_or_create(&[("answer", answer)])
                .inc_by(count);
        }
    }
}
