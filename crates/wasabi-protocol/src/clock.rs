//! Time in milliseconds.

use std::{
    fmt,
    ops::{Add, Sub},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use rustix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};

/// A point in time or a span, in milliseconds.
///
/// Points are counted from the origin of the [`Clock`] that produced them. Arithmetic saturates,
/// so that a clock difference never turns into a huge span.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// The origin of a clock, or an empty span.
    pub const ZERO: Self = Self(0);

    /// Returns the span for a whole number of seconds.
    pub const fn from_secs(seconds: u64) -> Self {
        Self(seconds * 1_000)
    }

    /// Returns the span from `earlier` to `self`, or zero when `earlier` is later.
    pub const fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }

    /// Returns the span as a [`Duration`].
    pub const fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }

    /// Returns the span in seconds.
    pub fn seconds(self) -> f64 {
        self.0 as f64 / 1_000.0
    }
}

impl Add for Millis {
    type Output = Self;

    fn add(self, span: Self) -> Self {
        Self(self.0.saturating_add(span.0))
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

/// A monotonic clock of one process.
///
/// It goes on while the host is suspended, so that a process that wakes finds its leases ended.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    /// Time from the start of the host to the origin.
    origin: Duration,
}

impl Clock {
    /// Returns a clock whose origin is now.
    pub fn start() -> Self {
        Self { origin: since_boot() }
    }

    /// Returns the monotonic time since the origin.
    pub fn now(&self) -> Millis {
        since_boot().saturating_sub(self.origin).into()
    }
}

/// Returns the time since the host started, suspensions included.
fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    // Neither part is negative on this clock.
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}

/// Returns the wall-clock time in milliseconds since the Unix epoch.
pub fn unix_now() -> Millis {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().into()
}
