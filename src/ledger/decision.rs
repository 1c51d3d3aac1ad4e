//! The owner's decision on one grant request.

use std::time::Duration;

use super::bucket::{MILLITOKENS_PER_TOKEN, millitokens};
use super::owner::{AccountLedger, OUTSTANDING_TIMEOUT, OutstandingGrant};
use super::wire::{GrantRequest, GrantResponse};
use crate::clock::Timestamp;

/// How long the owner recalls outstanding grants after a need that only their return can cover.
const RECALL_DURATION: Duration = Duration::from_millis(250);
/// The shortest delay before a node retries for a need that recalled grants can cover.
const RECALL_RETRY_DELAY: Duration = Duration::from_millis(50);
/// The longest wait for which tokens are reserved. Nodes do not let requests wait longer for the
/// rate.
const MAX_RESERVATION_WAIT: Duration = Duration::from_millis(250);
/// How long a reservation outlasts the wait that the node was given.
const RESERVATION_GRACE: Duration = Duration::from_millis(100);

/// Grants the needs that the level allows, in order, and the part of the prefetch that leaves the
/// bucket at least half full, so that a prefetch does not starve other nodes.
pub(super) fn decide_grant(
    ledger: &mut AccountLedger,
    now: Timestamp,
    request: &GrantRequest,
) -> GrantResponse {
    let reserved = ledger.reserved_ahead_of(now, request.boot);
    let is_recalled = ledger.recalled_until > now;
    let bucket = &mut ledger.bucket;
    let available = bucket.level - reserved;
    let mut response = GrantResponse {
        account: request.account.clone(),
        id: request.id,
        ..GrantResponse::default()
    };
    let mut covered = 0;
    for need in &request.needs {
        let next = covered + millitokens(*need);
        if next > available {
            response.short_of = *need;
            break;
        }
        covered = next;
    }
    if response.short_of == 0 && !is_recalled {
        let spare = (available - covered - bucket.burst() / 2).max(0);
        covered += millitokens(request.prefetch)
            .min(spare / MILLITOKENS_PER_TOKEN * MILLITOKENS_PER_TOKEN);
    }
    if covered > 0 {
        bucket.grant(covered);
        let grant = OutstandingGrant {
            unspent: covered,
            expires: now + OUTSTANDING_TIMEOUT,
        };
        ledger.grants.insert((request.boot, request.id), grant);
        response.granted = u64::try_from(covered / MILLITOKENS_PER_TOKEN).unwrap_or(0);
    }
    if response.short_of == 0 {
        ledger.cancel_reservation(request.boot);
        return response;
    }
    fill_shortage(ledger, now, reserved, &mut response);
    let wait = Duration::from_millis(response.wait_ms);
    // While an account catches up after a takeover, requests wait longer. Their reservations last
    // as long, so that the nodes keep their order.
    let limit = MAX_RESERVATION_WAIT.max(ledger.catch_up_until.since(now));
    if response.exceeded_burst == 0 && wait <= limit {
        let tokens = millitokens(response.short_of);
        if covered > 0 {
            // The node received tokens, so its new reservation comes after those of the others: a
            // node with a single request must not wait for the whole queue of this one.
            ledger.cancel_reservation(request.boot);
        }
        ledger.reserve(request.boot, tokens, now + wait + RESERVATION_GRACE);
    } else {
        ledger.cancel_reservation(request.boot);
    }
    response
}

/// Sets the fields of the response that describe the first need that was not granted, and recalls
/// outstanding grants unless the refill covers it soon.
fn fill_shortage(
    ledger: &mut AccountLedger,
    now: Timestamp,
    reserved: i64,
    response: &mut GrantResponse,
) {
    let bucket = &ledger.bucket;
    let need = millitokens(response.short_of);
    if need > bucket.burst() {
        response.exceeded_burst = bucket.rate.burst.into();
        return;
    }
    let pause = bucket.updated.since(now);
    let refill_suffices = need <= bucket.burst() - bucket.outstanding;
    let need = need + reserved;
    let refill = bucket.refill_time(need - bucket.level);
    // The level may reach the need only if other nodes return their grants.
    let refill_with_returns = bucket.refill_time(need - bucket.level - bucket.outstanding);
    let refill_with_returns = refill_with_returns.max(RECALL_RETRY_DELAY);
    // If requests can wait for the refill, the node gets the full wait: an earlier retry would only
    // add a message.
    let is_short_wait = refill_suffices && refill <= MAX_RESERVATION_WAIT;
    let wait = if is_short_wait || (refill_suffices && refill <= refill_with_returns) {
        refill
    } else {
        refill_with_returns
    };
    if bucket.outstanding > 0 && !is_short_wait {
        ledger.recalled_until = now + RECALL_DURATION;
    }
    let spare = (bucket.level + bucket.outstanding - need).max(0) / MILLITOKENS_PER_TOKEN;
    response.returnable = u64::try_from(spare).unwrap_or(0);
    response.takeover_pause_ms = u64::try_from(pause.as_millis()).unwrap_or(u64::MAX);
    let catch_up = ledger.catch_up_until.since(now).as_millis();
    response.catch_up_ms = u64::try_from(catch_up).unwrap_or(u64::MAX);
    response.wait_ms = u64::try_from((pause + wait).as_millis()).unwrap_or(u64::MAX);
}
