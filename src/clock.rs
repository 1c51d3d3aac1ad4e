//! Monotonic timestamps, and a clock that tests can replace.

#[cfg(test)]
use std::sync::Arc;
#[cfg(test)]
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

/// Milliseconds on a node's own monotonic clock. Values of different nodes are not comparable.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    derive_more::Display,
    derive_more::From,
    derive_more::Into,
    serde::Serialize,
    serde::Deserialize,
)]
#[display("{_0} ms")]
pub struct Timestamp(u64);

impl Timestamp {
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Subtracts `duration`, saturating at the start of the clock.
    pub fn before(self, duration: Duration) -> Self {
        let millis = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(millis))
    }

    /// The time elapsed since `earlier`, or zero if `earlier` is later than this timestamp.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

/// Adds a duration, saturating at the end of the clock: durations may come from other systems.
impl std::ops::Add<Duration> for Timestamp {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        let millis = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(millis))
    }
}

/// A source of monotonic time.
#[derive(Debug, Clone)]
pub(crate) enum Clock {
    /// The time since the process started, including the time that the VM was suspended. Holds the
    /// time since boot at which the clock was created.
    System(Duration),
    /// A clock that tests set explicitly.
    #[cfg(test)]
    Manual(Arc<AtomicU64>),
}

impl Clock {
    pub(crate) fn system() -> Self {
        Self::System(time_since_boot())
    }

    #[cfg(test)]
    pub(crate) fn manual() -> Self {
        Self::Manual(Arc::default())
    }

    pub(crate) fn now(&self) -> Timestamp {
        match self {
            Self::System(start) => {
                let elapsed = time_since_boot().saturating_sub(*start);
                Timestamp(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX / 2))
            }
            #[cfg(test)]
            Self::Manual(millis) => Timestamp(millis.load(Ordering::Relaxed)),
        }
    }
}

/// The time since the system booted. Leases and the age of the API keys' configuration must count
/// the time that a VM is suspended, which `CLOCK_MONOTONIC` leaves out.
fn time_since_boot() -> Duration {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME);
    time.expect("Linux provides CLOCK_BOOTTIME since 2.6.39")
        .into()
}
