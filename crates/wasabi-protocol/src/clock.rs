//! Time and clocks, in milliseconds.

use std::{
    fmt,
    ops::{Add, Sub},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use rustix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};

/// A point in time or a duration, in milliseconds.
///
/// Points in time are relative to the origin of the [`Clock`] that produced them. Arithmetic
/// saturates, so that clock differences never underflow into huge durations.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// The origin of a clock, or a duration of zero.
    pub const ZERO: Self = Self(0);

    /// Creates a duration from a number of seconds.
    pub const fn from_secs(seconds: u64) -> Self {
        Self(seconds * 1_000)
    }

    /// Returns the time from `earlier` to `self`, or zero if `earlier` is later.
    pub const fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }

    /// Converts to a [`Duration`].
    pub const fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }

    /// Converts to seconds.
    pub fn seconds(self) -> f64 {
        self.0 as f64 / 1_000.0
    }
}

impl Add for Millis {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl Sub for Millis {
    type Output = Self;

    fn sub(self, earlier: Self) -> Self {
        self.since(earlier)
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}

impl From<Duration> for Millis {
    fn from(duration: Duration) -> Self {
        Self(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
    }
}

/// A monotonic clock, local to one process.
///
/// It keeps running while the host is suspended, so that leases expire during a suspension.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    /// Time since boot at the origin.
    origin: Duration,
}

impl Clock {
    /// Creates a clock whose origin is the current time.
    pub fn start() -> Self {
        Self { origin: since_boot() }
    }

    /// Returns the monotonic time since the origin.
    pub fn now(&self) -> Millis {
        since_boot().saturating_sub(self.origin).into()
    }
}

/// Returns the time since the host booted, including suspensions.
fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    // `CLOCK_BOOTTIME` is never negative.
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}

/// Returns the wall-clock time in milliseconds since the Unix epoch.
pub fn unix_now() -> Millis {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().into()
}
