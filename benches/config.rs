//! Memory of the configuration per adapter and time per change, at three configuration sizes.
//!
//! Run with `cargo bench --bench config`. Memory is the growth of the process's resident set. All
//! configurations stay allocated until the end, so that no size reuses freed memory of another.

use std::time::{Duration, Instant};

use bluebellmux::SyntheticConfig;

const ADAPTER_COUNTS: [usize; 3] = [35_000, 70_000, 140_000];
/// Number of single-adapter changes that are timed at each size.
const TIMED_CHANGES: usize = 2_000;

/// The resident set of this process in bytes, from `/proc/self/statm`.
fn resident_bytes() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").expect("Linux has /proc");
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    4096.0 * pages.unwrap_or(0.0)
}

fn median(mut times: Vec<Duration>) -> Duration {
    times.sort_unstable();
    times[times.len() / 2]
}

/// Returns slope and intercept of the least-squares line.
fn fit_line(points: &[(f64, f64)]) -> (f64, f64) {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
    let covariance: f64 = points
        .iter()
        .map(|(x, y)| (x - mean_x) * (y - mean_y))
        .sum();
    let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let slope = covariance / variance;
    (slope, mean_y - slope * mean_x)
}

fn main() {
    let mut retained_configs = Vec::new();
    let mut points = Vec::new();
    println!(
        "adapters | bytes/adapter | copy bytes/adapter | change median | snapshot parts, bytes"
    );
    // Warms up the allocator and the parser, so that their first use is not measured.
    retained_configs.push(SyntheticConfig::with_adapters(100));
    for size in ADAPTER_COUNTS {
        let before = resident_bytes();
        let mut config = SyntheticConfig::with_adapters(size);
        let bytes = resident_bytes() - before;
        let before = resident_bytes();
        let copy = config.clone();
        let copy_bytes = resident_bytes() - before;
        retained_configs.push(copy);
        let change_times = (0..TIMED_CHANGES).map(|index| {
            let start = Instant::now();
            config.change_adapter(index * 31 % size);
            start.elapsed()
        });
        let change_median = median(change_times.collect());
        let (snapshot_parts, snapshot_bytes) = config.snapshot_size();
        println!(
            "{size} | {:.0} | {:.0} | {change_median:?} | {snapshot_parts}, {snapshot_bytes}",
            bytes / size as f64,
            copy_bytes / size as f64
        );
        points.push((size as f64, bytes));
        retained_configs.push(config);
    }
    let (slope, intercept) = fit_line(&points);
    println!(
        "fit: {slope:.1} bytes per adapter + {:.2} MB",
        intercept / 1e6
    );
    println!(
        "at 140,000 adapters: {:.1} MB",
        (slope * 140_000.0 + intercept) / 1e6
    );
}
