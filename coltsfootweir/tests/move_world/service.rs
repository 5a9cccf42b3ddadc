//! Simulated service with two endpoints per version and a constant rate of calls.

use std::time::Duration;

use coltsfootweir::evidence::EvidenceRecorder;
use coltsfootweir::record::RouteClass;
use coltsfootweir::record::TrafficShare;

/// Calls per second of each service.
const CALLS_PER_SECOND: u64 = 12;

/// A service with the evidence recorders of its endpoints.
pub struct Service {
    pub name: Box<str>,
    pub recorders: Vec<EvidenceRecorder>,
    pub fails: bool,
    served: u64,
}

impl Service {
    pub fn new(name: &str) -> Service {
        let mut recorders = Vec::new();
        for index in 0..4 {
            let mut recorder = EvidenceRecorder::new(format!("{name}-{index}").into(), 1);
            recorder.set_version(name.into(), if index < 2 { "v1" } else { "v2" }.into());
            recorders.push(recorder);
        }
        Service {
            name: name.into(),
            recorders,
            fails: false,
            served: 0,
        }
    }

    /// Records the calls of one second.
    pub fn serve(&mut self, share: TrafficShare) {
        for _ in 0..CALLS_PER_SECOND {
            self.served += 1;
            let (class, route, percent) = match self.served.is_multiple_of(3) {
                true => (RouteClass::Booking, "book", share.bookings),
                false => (RouteClass::Check, "check", share.checks),
            };
            // The stride 37 is coprime to 100, which distributes the calls evenly over the percents.
            let is_new = self.served * 37 % 100 < u64::from(percent);
            let index = usize::from(is_new) * 2 + (self.served / 7 % 2) as usize;
            let failed = is_new && self.fails && !self.served.is_multiple_of(10);
            let latency = Duration::from_millis(6);
            self.recorders[index].on_call(&route.into(), class, failed, latency);
        }
    }
}
