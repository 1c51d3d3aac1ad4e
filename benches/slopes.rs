//! Memory, time and message size of each role at several state sizes, with a least-squares line
//! through the memory and time figures.
//!
//! Run with `cargo bench --bench slopes`.

use bluebellmux::role_cost::{
    RoleCost, claims_cost, lease_cost, ledger_cost, membership_cost, pool_cost,
};
use serde_json::json;

/// A role and the state sizes at which it is measured.
struct RoleProbe {
    name: &'static str,
    /// What `sizes` counts.
    entry: &'static str,
    /// The timed operation.
    operation: &'static str,
    sizes: [usize; 4],
    measure: fn(usize) -> RoleCost,
}

const PROBES: [RoleProbe; 5] = [
    RoleProbe {
        name: "lease",
        entry: "lease",
        operation: "apply a renewal",
        sizes: [20, 200, 1000, 2000],
        measure: lease_cost,
    },
    RoleProbe {
        name: "membership",
        entry: "peer",
        operation: "answer a heartbeat",
        sizes: [8, 200, 1000, 2000],
        measure: membership_cost,
    },
    RoleProbe {
        name: "ledger",
        entry: "account",
        operation: "grant",
        sizes: [100, 1000, 5000, 10_000],
        measure: ledger_cost,
    },
    RoleProbe {
        name: "claims",
        entry: "claim",
        operation: "apply a claim",
        sizes: [10_000, 50_000, 100_000, 200_000],
        measure: claims_cost,
    },
    RoleProbe {
        name: "pool",
        entry: "target",
        operation: "acquire and release",
        sizes: [6, 12, 50, 200],
        measure: pool_cost,
    },
];

/// The resident memory of this process in bytes.
fn resident_bytes() -> f64 {
    const PAGE_BYTES: f64 = 4096.0;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0.0) * PAGE_BYTES
}

/// Returns slope and intercept of the least-squares line through `points`, and its largest error
/// as a fraction of the largest value.
fn fit_line(points: &[(f64, f64)]) -> (f64, f64, f64) {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
    let squared_deviations = points.iter().map(|point| (point.0 - mean_x).powi(2));
    let slope = points
        .iter()
        .map(|point| (point.0 - mean_x) * (point.1 - mean_y));
    let slope = slope.sum::<f64>() / squared_deviations.sum::<f64>();
    let intercept = mean_y - slope * mean_x;
    let errors = points
        .iter()
        .map(|point| (point.1 - intercept - slope * point.0).abs());
    let largest_value = points
        .iter()
        .map(|point| point.1.abs())
        .fold(1e-9, f64::max);
    (slope, intercept, errors.fold(0.0, f64::max) / largest_value)
}

fn main() {
    for probe in PROBES {
        let mut memory = Vec::new();
        let mut times = Vec::new();
        let mut message_bytes = 0;
        for size in probe.sizes {
            let before = resident_bytes();
            // A small state grows the resident memory by too few pages to measure, so several
            // copies are allocated.
            let copies = (20_000 / size).clamp(1, 50);
            let costs: Vec<RoleCost> = (0..copies).map(|_| (probe.measure)(size)).collect();
            let bytes_per_copy = (resident_bytes() - before).max(0.0) / copies as f64;
            let nanos = costs
                .iter()
                .map(|cost| cost.nanos_per_operation)
                .fold(f64::MAX, f64::min);
            message_bytes = costs[0].message_bytes;
            memory.push((size as f64, bytes_per_copy));
            // Freed memory would be reused by the next size and hide its growth.
            std::mem::forget(costs);
            times.push((size as f64, nanos));
        }
        let (memory_slope, _, memory_error) = fit_line(&memory);
        let (time_slope, time_intercept, time_error) = fit_line(&times);
        println!(
            "{}",
            json!({
                "role": probe.name, "entry": probe.entry, "operation": probe.operation,
                "bytes_per_entry": memory_slope, "memory_error": memory_error, "memory": memory,
                "nanos_start": time_intercept, "nanos_per_entry": time_slope,
                "time_error": time_error, "nanos": times, "message_bytes": message_bytes,
            })
        );
    }
}
