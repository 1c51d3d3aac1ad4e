//! The measures of one policy's run.

use serde_json::{Value, json};

use crate::arrivals::{
    ACCOUNTS, Arrival, Outcome, RUN_MS, Site, StallCause, WAIT_LIMIT_MS, WARM_UP_MS, ZONE_OUT_MS,
};

/// The fleet bench counts a first token after this time as stalled.
const LATE_MS: u64 = 200;
/// The part of the run right after `--zone-out` takes its zone out.
const ZONE_OUT_WINDOW_MS: std::ops::Range<u64> = ZONE_OUT_MS.start..ZONE_OUT_MS.start + 15_000;

/// One JSON line with the measures of a policy.
pub(crate) fn line(
    site: &Site,
    seed: u64,
    policy: &str,
    arrivals: &[Arrival],
    outcomes: &[Outcome],
) -> Value {
    let counted: Vec<(&Arrival, &Outcome)> = arrivals
        .iter()
        .zip(outcomes)
        .filter(|(arrival, _)| arrival.counts())
        .collect();
    let total = counted.len() as f64;
    let part = |select: fn(&Outcome) -> bool| {
        let selected = counted.iter().filter(|(_, outcome)| select(outcome));
        rounded(selected.count() as f64 / total)
    };
    let mut waits: Vec<u64> = counted
        .iter()
        .map(|(arrival, outcome)| match outcome.started {
            Some(started) => started - arrival.at,
            None => WAIT_LIMIT_MS,
        })
        .collect();
    let mut zone_waits: Vec<u64> = counted
        .iter()
        .zip(&waits)
        .filter(|((arrival, _), _)| ZONE_OUT_WINDOW_MS.contains(&arrival.at))
        .map(|(_, wait)| *wait)
        .collect();
    zone_waits.sort_unstable();
    waits.sort_unstable();
    let late = waits.iter().filter(|wait| **wait > LATE_MS).count();
    let shares = shares(site, &counted);
    json!({
        "site": site.name,
        "load": site.load.name,
        "zone_out": site.zone_out,
        "seed": seed,
        "policy": policy,
        "requests": counted.len(),
        "stalled_by_load": part(|outcome| outcome.stalled),
        "adapter_hits": part(|outcome| outcome.hit),
        "refused": part(|outcome| outcome.started.is_none()),
        "worst_account_share": shares.iter().copied().fold(f64::INFINITY, f64::min),
        "account_shares": shares,
        "waited_200ms": rounded(late as f64 / total),
        "p95_first_15s_of_zone_out_ms": zone_waits[zone_waits.len() * 95 / 100],
        "late_first_15s_of_zone_out": rounded(
            zone_waits.iter().filter(|wait| **wait > LATE_MS).count() as f64
                / zone_waits.len() as f64,
        ),
        "p95_queue_wait_ms": waits[waits.len() * 95 / 100],
    })
}

/// Why requests stalled, as parts of all requests; the least possible part for a choice that knows
/// the popularities, and the loads per second that were used.
pub(crate) fn causes(arrivals: &[Arrival], outcomes: &[Outcome], loads: u64) -> Value {
    let counted = arrivals.iter().zip(outcomes);
    let counted = counted.filter(|(arrival, _)| arrival.counts());
    let total = counted.clone().count() as f64;
    let part = |cause: StallCause| {
        let caused = counted
            .clone()
            .filter(|(_, o)| o.stalled && o.cause == cause);
        rounded(caused.count() as f64 / total)
    };
    let unkept = counted.clone().filter(|(a, _)| !a.kept_by_oracle).count();
    let seconds = (RUN_MS - WARM_UP_MS) as f64 / 1000.0;
    json!({
        "first": part(StallCause::First),
        "evicted": part(StallCause::Evicted),
        "in_flight": part(StallCause::InFlight),
        "busy": part(StallCause::Busy),
        "zone_out": part(StallCause::ZoneOut),
        "oracle": rounded(unkept as f64 / total),
        "loads_per_second": rounded(loads as f64 / seconds),
        "requests_per_second": rounded(total / seconds),
    })
}

fn rounded(value: f64) -> f64 {
    (value * 10_000.0).round() / 10_000.0
}

/// What each account was served, as a part of its max-min fair share of the site's capacity.
fn shares(site: &Site, counted: &[(&Arrival, &Outcome)]) -> Vec<f64> {
    let mut offered = [0.0; ACCOUNTS];
    let mut served = [0.0; ACCOUNTS];
    for (arrival, outcome) in counted {
        offered[arrival.account] += arrival.tokens as f64;
        if outcome.started.is_some() {
            served[arrival.account] += arrival.tokens as f64;
        }
    }
    let mut order: Vec<usize> = (0..ACCOUNTS).collect();
    order.sort_by(|a, b| f64::total_cmp(&offered[*a], &offered[*b]));
    let mut left = site.capacity_tokens();
    let mut shares = vec![0.0; ACCOUNTS];
    for (index, account) in order.iter().enumerate() {
        let fair = offered[*account].min(left / (ACCOUNTS - index) as f64);
        left -= fair;
        shares[*account] = rounded(served[*account] / fair);
    }
    shares
}
