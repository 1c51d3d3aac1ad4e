//! The time of day as the fleet's clocks show it together.
//!
//! Load pattern: the wall clocks of VMs differ by seconds, and single ones jump. The monotonic clock
//! of a VM does neither, so each VM keeps the offset from its monotonic clock to the median of all
//! wall clocks that it knows of.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::collections::FastMap;
use crate::ids::NodeName;

/// Samples kept of each clock. A sample that arrives late shows too low an offset, so the highest
/// of them counts.
const SAMPLES_PER_CLOCK: usize = 3;
/// A clock without a sample for this long is ignored. Peers report at least every 4 s in a fleet of
/// 300 VMs.
const SAMPLE_LIFETIME: Duration = Duration::from_secs(10);
/// How long after the start of the process the median is used: by then most peers have reported.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Milliseconds since 1970.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    derive_more::Display,
    derive_more::FromStr,
    derive_more::From,
    derive_more::Into,
)]
#[display("{_0} ms")]
pub(crate) struct WallTime(u64);

impl WallTime {
    pub(crate) fn before(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(duration.as_millis() as u64))
    }
}

impl std::ops::Add<Duration> for WallTime {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(duration.as_millis() as u64))
    }
}

/// The last samples of one wall clock.
#[derive(Debug, Default)]
struct ClockSamples {
    /// Milliseconds from the monotonic clock of this VM to the wall clock.
    offsets: VecDeque<i64>,
    sampled_at: Timestamp,
}

/// The offsets of the fleet's wall clocks.
#[derive(Debug)]
pub(crate) struct FleetClock {
    own: NodeName,
    started_at: Timestamp,
    /// By VM, including this one.
    clocks: FastMap<NodeName, ClockSamples>,
    /// The median of the offsets at the last refresh.
    offset: i64,
}

impl FleetClock {
    pub(crate) fn new(own: NodeName, wall: WallTime, now: Timestamp) -> Self {
        let mut clock = Self {
            own,
            started_at: now,
            clocks: FastMap::default(),
            offset: 0,
        };
        clock.refresh(wall, now);
        clock
    }

    /// Records the wall clock of a peer, as stated in a message that has just arrived.
    pub(crate) fn record(&mut self, node: &NodeName, wall: WallTime, now: Timestamp) {
        if !self.clocks.contains_key(node) {
            self.clocks.insert(node.clone(), ClockSamples::default());
        }
        if let Some(clock) = self.clocks.get_mut(node) {
            let offset = signed(wall.0).saturating_sub(signed(now.as_millis()));
            clock.offsets.push_back(offset);
            if clock.offsets.len() > SAMPLES_PER_CLOCK {
                clock.offsets.pop_front();
            }
            clock.sampled_at = now;
        }
    }

    /// Records this VM's own wall clock and computes the median anew.
    pub(crate) fn refresh(&mut self, own_wall: WallTime, now: Timestamp) {
        let own = self.own.clone();
        self.record(&own, own_wall, now);
        self.clocks
            .retain(|_, clock| now.since(clock.sampled_at) <= SAMPLE_LIFETIME);
        let highest = |clock: &ClockSamples| clock.offsets.iter().max().copied();
        let mut offsets: Vec<_> = self.clocks.values().filter_map(highest).collect();
        offsets.sort_unstable();
        let middle = offsets.len() / 2;
        let (Some(upper), Some(lower)) = (
            offsets.get(middle),
            offsets.get((offsets.len().max(1) - 1) / 2),
        ) else {
            return;
        };
        self.offset = lower + (upper - lower) / 2;
    }

    /// Whether enough peers can have reported for the median to be relied on.
    pub(crate) fn is_settled(&self, now: Timestamp) -> bool {
        now.since(self.started_at) >= SETTLE_TIME
    }

    pub(crate) fn started_at(&self) -> Timestamp {
        self.started_at
    }

    /// The time of day at a moment of this VM's monotonic clock.
    pub(crate) fn wall_time(&self, at: Timestamp) -> WallTime {
        let wall = signed(at.as_millis()).saturating_add(self.offset);
        WallTime(u64::try_from(wall).unwrap_or(0))
    }
}

fn signed(millis: u64) -> i64 {
    i64::try_from(millis).unwrap_or(i64::MAX)
}
