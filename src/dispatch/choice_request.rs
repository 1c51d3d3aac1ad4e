//! What a request requires of a target.

use std::time::Duration;

use crate::dispatch::directory::TargetKey;
use crate::dispatch::residency::ResidencyTable;
use crate::dispatch::target_entry::TargetEntry;
use crate::ids::{BaseModel, ModelAdapter, ServiceName, SoftwareVersion};

/// What is known of a request when a target is chosen for it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ChoiceRequest<'a> {
    pub(crate) service: &'a ServiceName,
    /// Set for model services.
    pub(crate) model: Option<&'a BaseModel>,
    pub(crate) adapter: Option<&'a ModelAdapter>,
    /// Targets on which the request has already failed.
    pub(crate) excluded: &'a [TargetKey],
    /// Targets on which a requested load has taken too long.
    pub(crate) stalled: &'a [TargetKey],
    /// How long the request has waited for a target.
    pub(crate) waited: Duration,
    /// The software version that began the stream which the request continues. Versions write streams
    /// that don't fit together.
    pub(crate) software: Option<&'a SoftwareVersion>,
}

impl ChoiceRequest<'_> {
    /// Whether the request may run on a target of its service.
    pub(crate) fn allows(&self, entry: &TargetEntry, residency: &ResidencyTable) -> bool {
        let software = &entry.report.software;
        self.model
            .is_none_or(|model| residency.holds_model(entry.key, model))
            && !self.excluded.contains(&entry.key)
            && (self.software.is_none() || self.software == software.as_ref())
    }
}
