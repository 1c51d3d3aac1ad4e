//! What this VM does when the platform's store has come back from a copy that is some seconds old.

use std::sync::atomic::AtomicU64;

use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use super::shared::EntryShared;
use super::state::EntryState;
use crate::clock::Timestamp;
use crate::dispatch::config_lag::ConfigView;
use crate::ids::{NodeName, StoreEra};

/// Registers the metric of the store's era.
pub(super) fn register_era(registry: &mut Registry) -> Gauge<u64, AtomicU64> {
    let era = Gauge::default();
    registry.register(
        "entry_store_era",
        "How often the store has come back from a copy",
        era.clone(),
    );
    era
}

/// Acts on the era of the store that a response or a peer has shown to the use `use_label`: if the store
/// has come back from a copy, it may lack what was acknowledged until it is written again.
pub(super) fn observe_era(
    shared: &EntryShared,
    era: StoreEra,
    use_label: &'static str,
    now: Timestamp,
) {
    shared.store.record_era(era);
    let mut state = shared.state.borrow_mut();
    let known = state.store_era;
    if !state.observe_store_era(era, now) {
        return;
    }
    shared.metrics.store_era.set(era.into());
    if let Some(known) = known {
        tracing::warn!(
            r#use = use_label, %known, %era,
            "store: the store has been restored from a copy"
        );
    }
}

/// Acts on the era that a peer has shown. A VM that has no response of the store yet ignores it: a peer
/// of an earlier version states none.
pub(super) fn observe_peer_era(shared: &EntryShared, era: StoreEra, now: Timestamp) {
    if shared.store.era().is_some() {
        observe_era(shared, era, "peers", now);
    }
}

impl EntryState {
    /// Records the era that the store has reached. Returns whether it is newer than the known one. If
    /// one was known, the targets' entries may be missing for a while, as after an outage.
    pub(crate) fn observe_store_era(&mut self, era: StoreEra, now: Timestamp) -> bool {
        let known = self.store_era;
        if known >= Some(era) {
            return false;
        }
        self.store_era = Some(era);
        if known.is_some() {
            self.directory.mark_store_recovered(now);
            self.reset_relay();
        }
        true
    }

    /// This VM's configuration and how far it has read the operator's log.
    pub(crate) fn config_view(&self) -> Option<ConfigView> {
        Some(ConfigView {
            version: self.config.as_ref()?.version,
            next: self.operator_next?,
        })
    }

    /// Compares this VM's configuration with that of a live peer.
    pub(crate) fn compare_config(&mut self, peer: &NodeName, view: ConfigView, now: Timestamp) {
        let Some(own) = self.config_view() else {
            self.config_lag.keep_early(view);
            return;
        };
        if self.config_lag.compare(own, view, now) {
            tracing::warn!(
                %peer, newer = view.version, own = own.version,
                "config: a peer has a newer configuration, which the store has lost"
            );
        }
    }

    /// Compares this VM's first configuration with those that peers stated before it was read.
    pub(crate) fn compare_early_configs(&mut self, now: Timestamp) {
        if let Some(own) = self.config_view()
            && let Some(newer) = self.config_lag.compare_early(own, now)
        {
            tracing::warn!(
                newer,
                own = own.version,
                "config: the store has lost a configuration that a peer has"
            );
        }
    }

    /// Whether the configuration is older than one that the store has lost.
    pub(crate) fn is_config_behind(&self, now: Timestamp) -> bool {
        let config = self.config.as_ref();
        config.is_some_and(|config| self.config_lag.is_behind(config.version, now))
    }
}
