//! The requests that the VMs can't serve for lack of capacity, and the adapters in use on targets, as
//! the peers report them.
//!
//! Load pattern: all VMs of a zone queue and reject at the same moment, while each of them sees only
//! its own callers; a VM that dies leaves no demand behind.

use std::time::Duration;

use crate::clock::Timestamp;
use crate::collections::FastMap;
use crate::ids::{BootId, NodeName, ServiceName, ZoneName};

/// How long a peer's report is valid: VMs of other zones report every one to two seconds in a large
/// fleet, and one report may be lost.
const REPORT_LIFETIME: Duration = Duration::from_millis(3500);

/// One VM's requests for a service that lack capacity.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ServiceShortage {
    pub(crate) service: ServiceName,
    pub(crate) waiting: u32,
    /// Rejections since the VM's process started.
    pub(crate) rejected: u64,
}

/// The adapters in use on the targets that one VM owns.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct AdapterDemand {
    pub(crate) service: ServiceName,
    pub(crate) zone: ZoneName,
    pub(crate) in_use: u32,
}

/// One VM's report.
#[derive(Debug, Clone)]
pub(crate) struct DemandReport {
    pub(crate) boot: BootId,
    /// The VM's own zone.
    pub(crate) zone: ZoneName,
    pub(crate) shortages: Vec<ServiceShortage>,
    pub(crate) adapters: Vec<AdapterDemand>,
    pub(crate) received_at: Timestamp,
}

impl DemandReport {
    fn rejected(&self, service: &ServiceName) -> u64 {
        let mut shortages = self.shortages.iter();
        let found = shortages.find(|shortage| shortage.service == *service);
        found.map_or(0, |shortage| shortage.rejected)
    }
}

/// The last report of each VM, including this one.
#[derive(Debug, Default)]
pub(crate) struct FleetDemand {
    reports: FastMap<NodeName, DemandReport>,
    /// Rejections by the zone of the VM, since this process started.
    rejected: FastMap<(ServiceName, ZoneName), u64>,
}

impl FleetDemand {
    pub(crate) fn apply_report(&mut self, node: &NodeName, report: DemandReport) {
        let known = self.reports.get(node);
        for shortage in &report.shortages {
            // Rejections before the first report, or of an earlier process, are in the past.
            let before = match known.filter(|known| known.boot == report.boot) {
                Some(known) => known.rejected(&shortage.service),
                None => shortage.rejected,
            };
            let key = (shortage.service.clone(), report.zone.clone());
            *self.rejected.entry(key).or_default() += shortage.rejected.saturating_sub(before);
        }
        self.reports.insert(node.clone(), report);
    }

    /// Removes the reports of VMs that have been silent for too long.
    pub(crate) fn expire(&mut self, now: Timestamp) {
        self.reports
            .retain(|_, report| now.since(report.received_at) < REPORT_LIFETIME);
    }

    /// The requests that wait for lack of capacity at the VMs of a zone.
    pub(crate) fn waiting(&self, service: &ServiceName, zone: &ZoneName) -> u32 {
        let reports = self.reports.values().filter(|report| report.zone == *zone);
        let shortages = reports.flat_map(|report| &report.shortages);
        let shortages = shortages.filter(|shortage| shortage.service == *service);
        shortages.map(|shortage| shortage.waiting).sum()
    }

    /// The requests that the VMs of a zone have rejected for lack of capacity. Only the difference
    /// between two calls has a meaning.
    pub(crate) fn rejected(&self, service: &ServiceName, zone: &ZoneName) -> u64 {
        let key = (service.clone(), zone.clone());
        self.rejected.get(&key).copied().unwrap_or(0)
    }

    /// The adapters in use on a service's targets in a zone.
    pub(crate) fn adapters_in_use(&self, service: &ServiceName, zone: &ZoneName) -> u32 {
        let demands = self.reports.values().flat_map(|report| &report.adapters);
        let demands = demands.filter(|demand| demand.service == *service && demand.zone == *zone);
        demands.map(|demand| demand.in_use).sum()
    }
}
