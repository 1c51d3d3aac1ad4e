//! Zones that the operator takes out of service and back.

use super::state::EntryState;
use crate::clock::Timestamp;
use crate::collections::FastSet;
use crate::dispatch::target_entry::TargetEntry;
use crate::ids::ZoneName;

impl EntryState {
    /// Records which zones the operator has taken out of service. The targets of one that is taken back
    /// may have become cold meanwhile, and this VM may learn of that later: for the time in which it
    /// must know of any change of a target, it treats them as cold.
    pub(crate) fn set_evacuated_zones(&mut self, zones: FastSet<ZoneName>, now: Timestamp) {
        let (known, learn_time) = (
            self.directory.evacuated_zones(),
            self.settings.bounds.drain_time,
        );
        let is_returned = |zone: &ZoneName| known.contains(zone) && !zones.contains(zone);
        let can_be_cold = |entry: &&TargetEntry| {
            let service = self.service(&entry.report.service);
            service.is_some_and(|service| service.cold_per_s > 0.0)
        };
        let targets = self.directory.targets().filter(can_be_cold);
        let targets = targets.filter(|entry| is_returned(&entry.report.zone));
        let keys: Vec<_> = targets.map(|entry| entry.key).collect();
        self.directory.set_evacuated_zones(zones);
        for key in keys {
            if let Some(entry) = self.directory.get_mut(key) {
                entry.presume_cold(learn_time, now);
            }
        }
    }
}
