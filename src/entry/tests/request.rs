use std::time::Duration;

use crate::entry::admission::Refusal;

/// Guards against 503, which promises that the request has not run, after a target has lost the
/// answer of a repeatable request and no other one is free.
#[test]
fn refusal_after_a_run_does_not_promise_that_there_was_none() {
    let refusal = Refusal::with_retry("no place", Duration::from_millis(250));
    assert_eq!(refusal.after_runs(0), refusal);
    let after = refusal.after_runs(1);
    assert_eq!((after.status, after.retry_after), (502, None));
}
