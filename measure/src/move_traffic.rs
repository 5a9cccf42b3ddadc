//! Traffic during a move: through the daemons, and by fixed timed steps straight to upstreams.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::Method;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use standins::upstream_stats::UpstreamAnswer;

use crate::load::CallResult;
use crate::load::PlannedCall;
use crate::version_fault::CRASH_TEXT;
use crate::version_fault::CrashKind;

/// Group of checks through the daemons.
pub const CHECKS: usize = 0;

/// Group of bookings through the daemons.
pub const BOOKINGS: usize = 1;

/// Group of checks by fixed steps.
pub const STEP_CHECKS: usize = 2;

/// Group of bookings by fixed steps.
pub const STEP_BOOKINGS: usize = 3;

/// Percent of the calls that are bookings.
const BOOKING_PERCENT: u32 = 20;

/// Percent of the calls that go to the route of feed.
const FEED_PERCENT: u32 = 15;

/// Shares of the new version in the fixed steps, percent; each lasts equally long.
const FIXED_STEPS: [u32; 7] = [1, 5, 10, 25, 50, 75, 100];

/// Calls of which one crashes upstreams with that fault.
const CRASH_EVERY: u64 = 100;

/// Latency above which an answer harms its caller.
const SLOW_LIMIT: Duration = Duration::from_millis(150);

/// Makes the calls of one move.
pub struct TrafficPlan {
    /// Service that moves.
    pub service: &'static str,
    /// Addresses of the daemons' call ports.
    pub daemons: Vec<SocketAddr>,
    /// Upstreams of the old version outside the fleet.
    pub step_old: Vec<SocketAddr>,
    /// Upstreams of the new version outside the fleet.
    pub step_new: Vec<SocketAddr>,
    /// Time over which the fixed steps climb.
    pub done_in: Duration,
    /// Which requests crash upstreams.
    pub crash: CrashKind,
    /// Source of the choices.
    pub random: ChaCha8Rng,
}

impl TrafficPlan {
    /// The call with this number, `elapsed` after the start of the move.
    pub fn next_call(&mut self, number: u64, elapsed: Duration) -> PlannedCall {
        let is_step = number % 2 == 1;
        let kind = self.random.random_range(0..100);
        let is_booking = kind < BOOKING_PERCENT;
        let service = self.service;
        let crashes = (number / 2).is_multiple_of(CRASH_EVERY) && !is_booking;
        let mut path = if is_booking {
            format!("/{service}/bookings")
        } else if kind < BOOKING_PERCENT + FEED_PERCENT {
            format!("/{service}/feed")
        } else {
            format!("/{service}/free")
        };
        match self.crash {
            CrashKind::BothVersions if crashes => path = format!("/{service}/free/{CRASH_TEXT}"),
            CrashKind::NewVersion if crashes => {
                path = format!("/{service}/free/{CRASH_TEXT}-{number}");
            }
            _ => {}
        }
        let (group, address) = match (is_step, is_booking) {
            (false, false) => (CHECKS, self.daemon(number)),
            (false, true) => (BOOKINGS, self.daemon(number)),
            (true, false) => (STEP_CHECKS, self.step_address(elapsed)),
            (true, true) => (STEP_BOOKINGS, self.step_address(elapsed)),
        };
        let mut headers = Vec::new();
        if is_booking {
            let key: u64 = self.random.random();
            headers.push(("idempotency-key", format!("key-{key:016x}").into()));
        }
        PlannedCall {
            address,
            method: if is_booking {
                Method::POST
            } else {
                Method::GET
            },
            path: path.into(),
            headers,
            group,
        }
    }

    fn daemon(&self, number: u64) -> SocketAddr {
        self.daemons[(number / 2) as usize % self.daemons.len()]
    }

    fn step_address(&mut self, elapsed: Duration) -> SocketAddr {
        let part = elapsed.as_secs_f64() / self.done_in.as_secs_f64();
        let step = (part * FIXED_STEPS.len() as f64) as usize;
        let share = FIXED_STEPS[step.min(FIXED_STEPS.len() - 1)];
        let list = if self.random.random_range(0..100) < share {
            &self.step_new
        } else {
            &self.step_old
        };
        list[self.random.random_range(0..list.len())]
    }
}

/// Harm done by one way of moving.
#[derive(Clone, Debug, Default, Serialize)]
pub struct MoveHarm {
    /// Bookings sent.
    pub bookings: u64,
    /// Bookings that failed, were in doubt, refused, unanswered or slow.
    pub bookings_harmed: u64,
    /// Those of them that were refused and told as not run.
    pub bookings_refused: u64,
    /// Checks sent.
    pub checks: u64,
    /// Checks harmed likewise.
    pub checks_harmed: u64,
    /// Bookings that the new version answered.
    pub new_bookings: u64,
    /// Seconds from the start of the move to the first harmed call that was neither answered by the
    /// old version nor told as not run.
    pub first_fault: Option<f64>,
    /// Seconds from that call to the last answer of the new version.
    pub exposure: Option<f64>,
}

impl MoveHarm {
    /// Counts harm in the results of two groups; `versions` are the old and the new one.
    #[must_use]
    pub fn of(
        results: &[CallResult],
        checks: usize,
        bookings: usize,
        versions: [&str; 2],
    ) -> MoveHarm {
        let mut harm = MoveHarm::default();
        let mut first: Option<f64> = None;
        let mut last_new = 0.0_f64;
        for result in results {
            if result.group != checks && result.group != bookings {
                continue;
            }
            let is_booking = result.group == bookings;
            let is_harmed = result.status != Some(200) || result.latency > SLOW_LIMIT;
            let answer = serde_json::from_slice::<UpstreamAnswer>(&result.body).ok();
            let is_of = |version: &str| {
                let answer = answer.as_ref();
                answer.is_some_and(|answer| *answer.version == *version)
            };
            let is_new = is_of(versions[1]);
            let sent = result.sent.as_secs_f64();
            harm.bookings += u64::from(is_booking);
            harm.checks += u64::from(!is_booking);
            harm.bookings_harmed += u64::from(is_booking && is_harmed);
            let is_refused = &*result.outcome == "not-run";
            harm.bookings_refused += u64::from(is_booking && is_refused);
            harm.checks_harmed += u64::from(!is_booking && is_harmed);
            harm.new_bookings += u64::from(is_booking && is_new);
            if is_harmed && !is_refused && !is_of(versions[0]) {
                first = Some(first.map_or(sent, |first| first.min(sent)));
            }
            if is_new {
                last_new = last_new.max(sent);
            }
        }
        harm.first_fault = first;
        harm.exposure = first.map(|first| (last_new - first).max(0.0));
        harm
    }
}
