//! Load of an endpoint, as reported in the header `x-coltsfootweir-load`.

use std::fmt;

/// Numbers of requests at an endpoint.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LoadReport {
    /// Requests that run.
    pub running: u16,
    /// Requests the upstream runs at once.
    pub slots: u16,
    /// Requests that wait for a slot.
    pub waiting: u16,
}

impl LoadReport {
    /// Returns the number of requests that run or wait.
    #[must_use]
    pub fn total(self) -> u32 {
        u32::from(self.running) + u32::from(self.waiting)
    }

    /// Parses a header value; returns `None` if it is malformed.
    #[must_use]
    pub fn parse(text: &str) -> Option<LoadReport> {
        let (running, slots) = text.trim().split_once('/')?;
        let total: u16 = running.parse().ok()?;
        let slots: u16 = slots.parse().ok()?;
        Some(LoadReport {
            running: total.min(slots),
            slots,
            waiting: total.saturating_sub(slots),
        })
    }
}

/// Writes `total/slots`, where the total counts running and waiting requests. Requests wait only
/// while all slots are taken, so all three counts follow from these two numbers.
impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.total(), self.slots)
    }
}
