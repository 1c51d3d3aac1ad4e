//! What one entry VM knows of a peer's usage of an account, from its last report and its rate.
//!
//! Load pattern: a peer reports rarely, falls silent, or ends and starts again in a surge.

use std::time::Duration;

use crate::clock::Timestamp;
use crate::ids::BootId;

/// The minimum silence after which a peer is charged at its share of the limit.
pub(crate) const MIN_SILENCE: Duration = Duration::from_millis(450);
/// The same as a multiple of the peer's report interval; allows for one lost report.
pub(crate) const SILENCE_INTERVALS: f64 = 2.2;
/// How long a peer that is known by name only counts as heard. VMs that have just started have not heard of
/// each other.
pub(crate) const EXPECTED_TIME: Duration = Duration::from_millis(2500);
/// The averaging time of the VMs' usage rates: long enough for stable shares, short compared with
/// the window of the limit.
const SHARE_AVERAGING_TIME: Duration = Duration::from_secs(2);

/// One peer's usage of an account.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PeerUsage {
    /// Unknown until the peer first reports usage of the account.
    pub(crate) boot: Option<BootId>,
    /// Whether the peer is known by name only, since `last_report_at`.
    pub(crate) is_expected: bool,
    pub(crate) in_own_zone: bool,
    /// Units that the peer has admitted since its process started.
    pub(crate) reported_total: f64,
    /// Units per second, as a moving average.
    pub(crate) rate: f64,
    pub(crate) last_report_at: Timestamp,
    /// When the peer last sent any message, or became known.
    pub(crate) heard_at: Timestamp,
    /// The interval until the peer's next report.
    pub(crate) report_interval: Duration,
    /// Estimated units charged for the peer since its last report.
    pub(crate) estimated_use: f64,
    /// Units charged to the owner's bucket for the peer, since it sends nothing.
    pub(crate) silent_use: f64,
    /// Units that the peer has admitted without grants since its process started.
    pub(crate) ungranted: f64,
}

impl PeerUsage {
    /// A peer that has not reported yet.
    pub(crate) fn expected(now: Timestamp) -> Self {
        Self {
            boot: None,
            is_expected: true,
            in_own_zone: false,
            reported_total: 0.0,
            rate: 0.0,
            last_report_at: now,
            heard_at: now,
            report_interval: Duration::ZERO,
            estimated_use: 0.0,
            silent_use: 0.0,
            ungranted: 0.0,
        }
    }

    /// The estimated use in one report interval after the last report: what the peer's process may
    /// have admitted and not reported before it ended.
    pub(crate) fn unreported_use(&self, now: Timestamp) -> f64 {
        let span = now.since(self.last_report_at).as_secs_f64();
        let interval = self.report_interval.as_secs_f64();
        self.estimated_use * (interval / span.max(interval).max(f64::EPSILON))
    }

    pub(crate) fn is_silent(&self, now: Timestamp) -> bool {
        self.is_expected
            || now.since(self.last_report_at)
                > MIN_SILENCE.max(self.report_interval.mul_f64(SILENCE_INTERVALS))
    }

    /// Whether the peer has sent nothing for so long that it may be cut off and use its share.
    pub(crate) fn is_unheard(&self, now: Timestamp) -> bool {
        let limit = match self.is_expected {
            true => EXPECTED_TIME,
            false => MIN_SILENCE.max(self.report_interval.mul_f64(SILENCE_INTERVALS)),
        };
        now.since(self.heard_at) > limit
    }

    /// Takes the rate of the first usage as it is; an average would begin at zero and take two
    /// averaging times to show it.
    pub(crate) fn start_rate(&mut self, used: f64, span: Duration) {
        self.rate = used.max(0.0) / span.max(MIN_SILENCE).as_secs_f64();
    }

    /// Adds the usage since the last report to the average.
    pub(crate) fn update_rate(&mut self, used: f64, now: Timestamp) {
        let span = now.since(self.last_report_at);
        if !span.is_zero() {
            self.rate = update_average(self.rate, (used / span.as_secs_f64()).max(0.0), span);
        }
    }
}

pub(crate) fn update_average(rate: f64, recent: f64, span: Duration) -> f64 {
    let weight = (span.as_secs_f64() / SHARE_AVERAGING_TIME.as_secs_f64()).min(1.0);
    rate + (recent - rate) * weight
}
