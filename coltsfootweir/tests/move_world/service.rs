//! A service of the fake world: two endpoints of each version and a steady stream of calls.

use std::time::Duration;

use coltsfootweir::evidence::EvidenceRecorder;
use coltsfootweir::record::RouteClass;
use coltsfootweir::record::TrafficShare;

/// Calls a second of each service.
const CALLS: u64 = 12;

/// A service and its calls.
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

    /// Serves the calls of one second.
    pub fn serve(&mut self, share: TrafficShare) {
        for _ in 0..CALLS {
            self.served += 1;
            let (class, route, percent) = match self.served.is_multiple_of(3) {
                true => (RouteClass::Booking, "book", share.bookings),
                false => (RouteClass::Check, "check", share.checks),
            };
            // A stride coprime to 100 spreads the calls evenly over percents.
            let is_new = self.served * 37 % 100 < u64::from(percent);
            let index = usize::from(is_new) * 2 + (self.served / 7 % 2) as usize;
            let failed = is_new && self.fails && !self.served.is_multiple_of(10);
            let latency = Duration::from_millis(6);
            self.recorders[index].on_call(&route.into(), class, failed, latency);
        }
    }
}
