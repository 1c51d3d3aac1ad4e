//! Targets in need, which state in their responses how many requests they take from all VMs together.

use super::http::ResponseHead;
use super::shared::EntryShared;
use crate::dispatch::directory::TargetKey;
use crate::platform::headers::stated_rate;

/// Records the rate that a target's response states, or that it states none.
pub(super) fn record_stated_rate(shared: &EntryShared, target: TargetKey, head: &ResponseHead) {
    let rate = match stated_rate(head) {
        Ok(rate) => rate,
        Err(error) => {
            tracing::warn!(
                target = shared.target_name(target), %error,
                "targets: ignored a rate limit that can't be read"
            );
            return;
        }
    };
    let mut state = shared.state.borrow_mut();
    if let Some(entry) = state.directory.get_mut(target)
        && entry.stated_rate != rate
    {
        entry.stated_rate = rate;
        tracing::info!(
            target = %entry.name, rate = rate.map(|rate| rate.as_f64()),
            "targets: the rate of requests that a target takes has changed"
        );
    }
}
