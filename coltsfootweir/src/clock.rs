//! Time at its border: the daemon reads it here, decisions are given it.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Source of time.
pub trait DaemonClock: Send + Sync {
    /// Time since the clock was made; never goes back.
    fn now(&self) -> Duration;

    /// Time of day.
    fn wall(&self) -> SystemTime;

    /// Time since the boot of the VM. Unlike [`DaemonClock::now`] it includes the time for which the
    /// VM was suspended.
    fn boot(&self) -> Duration {
        self.now()
    }
}

/// Both times of a clock at one moment.
#[derive(Clone, Copy, Debug)]
pub struct ClockReading {
    /// Time since the clock was made.
    pub now: Duration,
    /// Time of day.
    pub wall: SystemTime,
}

/// The operating system's clock.
#[derive(Debug)]
pub struct SystemClock {
    start: Instant,
}

impl SystemClock {
    /// Makes a clock that counts from now.
    #[must_use]
    pub fn new() -> Self {
        SystemClock {
            start: Instant::now(),
        }
    }
}

impl Default for SystemClock {
    fn default() -> Self {
        SystemClock::new()
    }
}

impl DaemonClock for SystemClock {
    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }

    fn boot(&self) -> Duration {
        let time = clock_gettime(ClockId::Boottime);
        Duration::try_from(time).unwrap_or_default()
    }
}
