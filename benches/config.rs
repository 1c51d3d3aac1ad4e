//! Memory and time per adapter of the configuration, over three sizes.
//!
//! Run with `cargo bench --bench config`. Memory is the growth of the process's resident set.
//! Every state is kept until the end, so that no size reuses the memory of another.

use std::time::{Duration, Instant};

use bluebellmux::ConfigProbe;

const SIZES: [usize; 3] = [35_000, 70_000, 140_000];
/// Changes of one adapter each that are timed at each size.
const CHANGES: usize = 2_000;

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

/// Slope and intercept of the least-squares line.
fn fit(points: &[(f64, f64)]) -> (f64, f64) {
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
    let mut kept = Vec::new();
    let mut points = Vec::new();
    println!(
        "adapters | bytes/adapter | copy bytes/adapter | change median | snapshot parts, bytes"
    );
    // The first use of the allocator and of the parser is not counted.
    kept.push(ConfigProbe::with_adapters(100));
    for size in SIZES {
        let before = resident_bytes();
        let mut probe = ConfigProbe::with_adapters(size);
        let bytes = resident_bytes() - before;
        let before = resident_bytes();
        let copy = probe.clone();
        let copied = resident_bytes() - before;
        kept.push(copy);
        let changes = (0..CHANGES).map(|index| {
            let start = Instant::now();
            probe.change_adapter(index * 31 % size);
            start.elapsed()
        });
        let change = median(changes.collect());
        let (parts, written) = probe.snapshot_size();
        println!(
            "{size} | {:.0} | {:.0} | {change:?} | {parts}, {written}",
            bytes / size as f64,
            copied / size as f64
        );
        points.push((size as f64, bytes));
        kept.push(probe);
    }
    let (slope, intercept) = fit(&points);
    println!(
        "fit: {slope:.1} bytes per adapter + {:.2} MB",
        intercept / 1e6
    );
    println!(
        "at 140,000 adapters: {:.1} MB",
        (slope * 140_000.0 + intercept) / 1e6
    );
}
