use std::time::Duration;

use crate::entry::admission::Refusal;

/// Guards against 503, which guarantees that the request has not run, when one target may have run
/// it without a complete response and no other target is free.
#[test]
fn refusal_after_a_run_does_not_claim_that_none_happened() {
    let refusal = Refusal::unavailable("no place", Duration::from_millis(250));
    assert_eq!(refusal.after_runs(0), refusal);
    let after = refusal.after_runs(1);
    assert_eq!((after.status, after.retry_after), (502, None));
}
