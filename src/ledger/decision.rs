//! The owner's decision on one ask.

use std::time::Duration;

use super::bucket::{MILLIS, millis_of};
use super::owner::{AccountLedger, OUTSTANDING_LIMIT, OpenGrant};
use super::wire::{GrantAnswer, GrantAsk};
use crate::clock::Timestamp;

/// How long the owner asks for grants back after a need that only they can cover.
const RECALL_SPAN: Duration = Duration::from_millis(250);
/// When a node asks again for a need that recalled grants can cover.
const RECALL_WAIT: Duration = Duration::from_millis(50);
/// The longest wait for which tokens are reserved: no node waits longer.
const RESERVATION_WAIT: Duration = Duration::from_millis(250);
/// How much later than told the node may ask again before its reservation ends.
const RESERVATION_GRACE: Duration = Duration::from_millis(100);

/// Grants the needs that the level allows, in order, and of the wish what leaves the bucket over
/// half full, so that a prefetch never starves another node.
pub(super) fn decide(ledger: &mut AccountLedger, now: Timestamp, ask: &GrantAsk) -> GrantAnswer {
    let reserved = ledger.reserved_before(now, ask.boot);
    let is_recalled = ledger.recalled_until > now;
    let bucket = &mut ledger.bucket;
    let available = bucket.level - reserved;
    let mut answer = GrantAnswer {
        account: ask.account.clone(),
        id: ask.id,
        ..GrantAnswer::default()
    };
    let mut covered = 0;
    for need in &ask.needs {
        let next = covered + millis_of(*need);
        if next > available {
            answer.short_of = *need;
            break;
        }
        covered = next;
    }
    if answer.short_of == 0 && !is_recalled {
        let spare = (available - covered - bucket.burst() / 2).max(0);
        covered += millis_of(ask.wish).min(spare / MILLIS * MILLIS);
    }
    if covered > 0 {
        bucket.grant(covered);
        let grant = OpenGrant {
            unspent: covered,
            expires: now + OUTSTANDING_LIMIT,
        };
        ledger.grants.insert((ask.boot, ask.id), grant);
        answer.granted = u64::try_from(covered / MILLIS).unwrap_or(0);
    }
    if answer.short_of == 0 {
        ledger.end_reservation(ask.boot);
        return answer;
    }
    describe_shortage(ledger, now, reserved, &mut answer);
    let wait = Duration::from_millis(answer.wait_ms);
    // While an account catches up, nodes wait longer and keep their order.
    let limit = RESERVATION_WAIT.max(ledger.catches_up_until.since(now));
    if answer.over_burst == 0 && wait <= limit {
        let tokens = millis_of(answer.short_of);
        if covered > 0 {
            // It got its turn; nodes with one request each must not wait for its whole queue.
            ledger.end_reservation(ask.boot);
        }
        ledger.reserve(ask.boot, tokens, now + wait + RESERVATION_GRACE);
    } else {
        ledger.end_reservation(ask.boot);
    }
    answer
}

fn describe_shortage(
    ledger: &mut AccountLedger,
    now: Timestamp,
    reserved: i64,
    answer: &mut GrantAnswer,
) {
    let bucket = &ledger.bucket;
    let need = millis_of(answer.short_of);
    if need > bucket.burst() {
        answer.over_burst = bucket.rate.burst.into();
        return;
    }
    let pause = bucket.updated.since(now);
    let is_reachable = need <= bucket.burst() - bucket.outstanding;
    let need = need + reserved;
    let refill = bucket.time_for(need - bucket.level);
    // Without the grants that are out elsewhere the level may never reach the need.
    let with_returns = bucket.time_for(need - bucket.level - bucket.outstanding);
    let with_returns = with_returns.max(RECALL_WAIT);
    // A wait that the node can afford is told as it is: an early ask would only be one more.
    let is_short = is_reachable && refill <= RESERVATION_WAIT;
    let wait = if is_short || (is_reachable && refill <= with_returns) {
        refill
    } else {
        with_returns
    };
    if bucket.outstanding > 0 && !is_short {
        ledger.recalled_until = now + RECALL_SPAN;
    }
    let spare = (bucket.level + bucket.outstanding - need).max(0) / MILLIS;
    answer.returnable = u64::try_from(spare).unwrap_or(0);
    answer.pause_ms = u64::try_from(pause.as_millis()).unwrap_or(u64::MAX);
    let catch_up = ledger.catches_up_until.since(now).as_millis();
    answer.catch_up_ms = u64::try_from(catch_up).unwrap_or(u64::MAX);
    answer.wait_ms = u64::try_from((pause + wait).as_millis()).unwrap_or(u64::MAX);
}
