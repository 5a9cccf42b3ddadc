//! Load of an endpoint as the daemon beside it reports it in `x-coltsfootweir-load`.

use std::fmt;

/// Requests at an endpoint.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LoadReport {
    /// Requests the upstream runs.
    pub running: u16,
    /// Requests it can run at once.
    pub slots: u16,
    /// Requests that wait for a slot.
    pub waiting: u16,
}

impl LoadReport {
    /// Returns the requests that run or wait.
    #[must_use]
    pub fn total(self) -> u32 {
        u32::from(self.running) + u32::from(self.waiting)
    }

    /// Reads a header value; `None` when it is malformed.
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

/// Writes `running/slots`, where running includes what waits; requests wait only when all slots
/// are taken, so the two numbers tell all three counts.
impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.total(), self.slots)
    }
}
