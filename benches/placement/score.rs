//! The measures of one policy's run.

use serde_json::{Value, json};

use crate::arrivals::{ACCOUNTS, Arrival, Outcome, Site, WAIT_LIMIT_MS};

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
    waits.sort_unstable();
    let shares = shares(site, &counted);
    json!({
        "site": site.name,
        "seed": seed,
        "policy": policy,
        "requests": counted.len(),
        "stalled_by_load": part(|outcome| outcome.stalled),
        "adapter_hits": part(|outcome| outcome.hit),
        "refused": part(|outcome| outcome.started.is_none()),
        "worst_account_share": shares.iter().copied().fold(f64::INFINITY, f64::min),
        "account_shares": shares,
        "p95_queue_wait_ms": waits[waits.len() * 95 / 100],
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
