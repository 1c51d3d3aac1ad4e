//! Metrics of one policy's run.

use serde_json::{Value, json};

use crate::arrivals::{
    ACCOUNTS, Arrival, MAX_WAIT_MS, RUN_MS, RequestOutcome, SimulatedSite, StallCause, WARM_UP_MS,
    ZONE_OUTAGE_MS,
};

/// A request that starts later than this is late. The fleet bench counts a first token after the
/// same time as stalled.
const LATE_START_MS: u64 = 200;
/// The first 15 s of the zone outage of `--zone-out`.
const ZONE_OUTAGE_START_MS: std::ops::Range<u64> =
    ZONE_OUTAGE_MS.start..ZONE_OUTAGE_MS.start + 15_000;

/// Formats the metrics of a policy as one JSON line.
pub(crate) fn metrics_line(
    site: &SimulatedSite,
    seed: u64,
    policy: &str,
    arrivals: &[Arrival],
    outcomes: &[RequestOutcome],
) -> Value {
    let measured: Vec<(&Arrival, &RequestOutcome)> = arrivals
        .iter()
        .zip(outcomes)
        .filter(|(arrival, _)| arrival.is_measured())
        .collect();
    let total = measured.len() as f64;
    let fraction = |select: fn(&RequestOutcome) -> bool| {
        let selected = measured.iter().filter(|(_, outcome)| select(outcome));
        rounded(selected.count() as f64 / total)
    };
    let mut waits: Vec<u64> = measured
        .iter()
        .map(|(arrival, outcome)| match outcome.started {
            Some(started) => started - arrival.at,
            None => MAX_WAIT_MS,
        })
        .collect();
    let mut zone_waits: Vec<u64> = measured
        .iter()
        .zip(&waits)
        .filter(|((arrival, _), _)| ZONE_OUTAGE_START_MS.contains(&arrival.at))
        .map(|(_, wait)| *wait)
        .collect();
    zone_waits.sort_unstable();
    waits.sort_unstable();
    let late = waits.iter().filter(|wait| **wait > LATE_START_MS).count();
    let account_shares = account_shares(site, &measured);
    json!({
        "site": site.name,
        "load": site.load.name,
        "zone_out": site.zone_outage,
        "seed": seed,
        "policy": policy,
        "requests": measured.len(),
        "stalled_by_load": fraction(|outcome| outcome.stalled),
        "adapter_hits": fraction(|outcome| outcome.adapter_hit),
        "refused": fraction(|outcome| outcome.started.is_none()),
        "worst_account_share": account_shares.iter().copied().fold(f64::INFINITY, f64::min),
        "account_shares": account_shares,
        "waited_200ms": rounded(late as f64 / total),
        "p95_first_15s_of_zone_out_ms": zone_waits[zone_waits.len() * 95 / 100],
        "late_first_15s_of_zone_out": rounded(
            zone_waits.iter().filter(|wait| **wait > LATE_START_MS).count() as f64
                / zone_waits.len() as f64,
        ),
        "p95_queue_wait_ms": waits[waits.len() * 95 / 100],
    })
}

/// The fraction of requests that stalled by each cause, the fraction that an oracle which knows the
/// popularities cannot avoid, and the loads per second.
pub(crate) fn stall_metrics(
    arrivals: &[Arrival],
    outcomes: &[RequestOutcome],
    loads: u64,
) -> Value {
    let measured = arrivals.iter().zip(outcomes);
    let measured = measured.filter(|(arrival, _)| arrival.is_measured());
    let total = measured.clone().count() as f64;
    let fraction = |cause: StallCause| {
        let stalled = measured
            .clone()
            .filter(|(_, o)| o.stalled && o.cause == cause);
        rounded(stalled.count() as f64 / total)
    };
    let oracle_misses = measured.clone().filter(|(a, _)| !a.kept_by_oracle).count();
    let seconds = (RUN_MS - WARM_UP_MS) as f64 / 1000.0;
    json!({
        "first": fraction(StallCause::First),
        "evicted": fraction(StallCause::Evicted),
        "in_flight": fraction(StallCause::InFlight),
        "busy": fraction(StallCause::Busy),
        "zone_out": fraction(StallCause::ZoneOut),
        "oracle": rounded(oracle_misses as f64 / total),
        "loads_per_second": rounded(loads as f64 / seconds),
        "requests_per_second": rounded(total / seconds),
    })
}

fn rounded(value: f64) -> f64 {
    (value * 10_000.0).round() / 10_000.0
}

/// The tokens served to each account, as a fraction of its max-min fair share of the site's
/// capacity.
fn account_shares(site: &SimulatedSite, measured: &[(&Arrival, &RequestOutcome)]) -> Vec<f64> {
    let mut offered = [0.0; ACCOUNTS];
    let mut served = [0.0; ACCOUNTS];
    for (arrival, outcome) in measured {
        offered[arrival.account] += arrival.tokens as f64;
        if outcome.started.is_some() {
            served[arrival.account] += arrival.tokens as f64;
        }
    }
    let mut order: Vec<usize> = (0..ACCOUNTS).collect();
    order.sort_by(|a, b| f64::total_cmp(&offered[*a], &offered[*b]));
    let mut remaining = site.capacity_tokens();
    let mut account_shares = vec![0.0; ACCOUNTS];
    for (index, account) in order.iter().enumerate() {
        let fair_share = offered[*account].min(remaining / (ACCOUNTS - index) as f64);
        remaining -= fair_share;
        account_shares[*account] = rounded(served[*account] / fair_share);
    }
    account_shares
}
