//! Error-budget burn rates of each service and route.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::RouteName;
use crate::ids::ServiceName;

/// Time that one bucket of counts covers.
pub const BUCKET_LENGTH: Duration = Duration::from_secs(30);

/// Number of buckets that cover the longest window.
const BUCKETS_KEPT: usize = 720;

/// Window over which the burn rate is reported.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum SloWindow {
    /// The last five minutes.
    FiveMinutes,
    /// The last hour.
    OneHour,
    /// The last six hours.
    SixHours,
}

impl SloWindow {
    /// Every window, shortest first.
    pub const ALL: [SloWindow; 3] = [
        SloWindow::FiveMinutes,
        SloWindow::OneHour,
        SloWindow::SixHours,
    ];

    /// Returns the length of the window.
    #[must_use]
    pub fn length(self) -> Duration {
        match self {
            SloWindow::FiveMinutes => Duration::from_secs(5 * 60),
            SloWindow::OneHour => Duration::from_secs(60 * 60),
            SloWindow::SixHours => Duration::from_secs(6 * 60 * 60),
        }
    }

    fn buckets(self) -> u64 {
        self.length().as_secs() / BUCKET_LENGTH.as_secs()
    }
}

/// Calls and failures in one window.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SloCounts {
    /// Calls, both answered and failed.
    pub calls: u64,
    /// Calls that failed.
    pub failures: u64,
}

impl SloCounts {
    /// Returns the error-budget burn rate; 1.0 uses up the budget exactly.
    ///
    /// `target` is the share of calls that must succeed, such as 0.999, and must be below 1.
    #[must_use]
    pub fn burn_rate(self, target: f64) -> f64 {
        if self.calls == 0 {
            return 0.0;
        }
        self.failures as f64 / self.calls as f64 / (1.0 - target)
    }

    fn add(&mut self, other: SloCounts) {
        self.calls += other.calls;
        self.failures += other.failures;
    }
}

/// Counts of every service and route at one daemon, or merged from several daemons.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SloReport {
    /// One line for each service, route and window, in this order.
    pub lines: Vec<SloLine>,
}

/// Counts of one service, route and window.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SloLine {
    /// The service.
    pub service: ServiceName,
    /// The route.
    pub route: RouteName,
    /// The window.
    pub window: SloWindow,
    /// Counts in the window.
    pub counts: SloCounts,
}

impl SloReport {
    /// Adds the counts of another daemon's report.
    pub fn merge(&mut self, other: &SloReport) {
        for line in &other.lines {
            let key = (&line.service, &line.route, line.window);
            let position = self
                .lines
                .binary_search_by(|own| (&own.service, &own.route, own.window).cmp(&key));
            match position {
                Ok(index) => self.lines[index].counts.add(line.counts),
                Err(index) => self.lines.insert(index, line.clone()),
            }
        }
    }
}

/// Ring buffer of numbered buckets of one route; a bucket is reused for a later number.
#[derive(Clone, Debug)]
struct BucketRing {
    buckets: Vec<(u64, SloCounts)>,
}

/// Counts of the calls that a daemon received, by service and route.
#[derive(Clone, Debug, Default)]
pub struct SloRecorder {
    rings: BTreeMap<(ServiceName, RouteName), BucketRing>,
}

impl SloRecorder {
    /// Returns an empty recorder.
    #[must_use]
    pub fn new() -> SloRecorder {
        SloRecorder::default()
    }

    /// Counts a call that ended at `now`.
    pub fn on_call(
        &mut self,
        service: &ServiceName,
        route: &RouteName,
        failed: bool,
        now: Duration,
    ) {
        let ring = self.rings.entry((service.clone(), route.clone()));
        let ring = ring.or_insert_with(|| BucketRing {
            buckets: vec![(0, SloCounts::default()); BUCKETS_KEPT],
        });
        let number = bucket_number(now);
        let bucket = &mut ring.buckets[number as usize % BUCKETS_KEPT];
        if bucket.0 != number {
            *bucket = (number, SloCounts::default());
        }
        bucket.1.add(SloCounts {
            calls: 1,
            failures: u64::from(failed),
        });
    }

    /// Drops the counts of routes for which `is_known` returns `false`.
    pub fn retain(&mut self, is_known: impl Fn(&RouteName) -> bool) {
        self.rings.retain(|(_, route), _| is_known(route));
    }

    /// Returns the counts of every service, route and window up to `now`.
    #[must_use]
    pub fn report(&self, now: Duration) -> SloReport {
        let mut report = SloReport::default();
        for ((service, route), ring) in &self.rings {
            for window in SloWindow::ALL {
                report.lines.push(SloLine {
                    service: service.clone(),
                    route: route.clone(),
                    window,
                    counts: ring.sum(bucket_number(now), window.buckets()),
                });
            }
        }
        report
    }
}

impl BucketRing {
    fn sum(&self, newest: u64, buckets: u64) -> SloCounts {
        let mut total = SloCounts::default();
        for (number, counts) in &self.buckets {
            if *number > newest || *number + buckets <= newest {
                continue;
            }
            total.add(*counts);
        }
        total
    }
}

fn bucket_number(now: Duration) -> u64 {
    now.as_secs() / BUCKET_LENGTH.as_secs()
}
