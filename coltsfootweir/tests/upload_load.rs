//! Uploads that are more than the links of their receivers carry by the route's target time.

mod uploads;

use std::time::Duration;

use coltsfootweir::sidecar::uploads::grant_schedule::BodyId;
use coltsfootweir::sidecar::uploads::grant_schedule::BodySpec;
use coltsfootweir::sidecar::uploads::upload_times::CallTimes;
use coltsfootweir::sidecar::uploads::upload_times::NewRequest;

use uploads::receiver_world::ReceiverWorld;
use uploads::receiver_world::THIN_MBITS;
use uploads::receiver_world::THIN_RATE;
use uploads::receiver_world::ms;
use uploads::receiver_world::spec;
use uploads::receiver_world::upload_size;

/// Uploads that are offered to receivers of [`THIN_RATE`] and when each was received.
struct UploadLoad {
    worlds: Vec<ReceiverWorld>,
    bytes: u64,
    /// Receiver, body, length, target time and deadline of each accepted upload.
    accepted: Vec<(usize, BodyId, u64, Duration, Duration)>,
}

/// Target time and time limit of uploads, and the number of them a second that is 1.5 times what seven
/// receivers carry.
const TARGET: Duration = Duration::from_millis(1_500);
const TIME_LIMIT: Duration = Duration::from_millis(4_000);
const UPLOADS_A_SECOND: u64 = 219;
const SECONDS: u64 = 20;

impl UploadLoad {
    /// Offers uploads to seven receivers, first to one at random, and to up to three others after a
    /// refusal.
    fn run(per_second: u64, rate_of: impl Fn(u64) -> f64) -> UploadLoad {
        let worlds = (0..7).map(|_| ReceiverWorld::new(THIN_MBITS));
        let mut load = UploadLoad {
            worlds: worlds.collect(),
            bytes: 0,
            accepted: Vec::new(),
        };
        for number in 0..per_second * SECONDS {
            let now = ms(number * 1_000 / per_second);
            load.step_to(now, &rate_of);
            let length = upload_size(number);
            load.bytes += length;
            let request = NewRequest {
                target: now + TARGET.mul_f64(0.9),
                deadline: now + TIME_LIMIT,
                is_preferred: true,
                body_length: length,
            };
            let offered = BodySpec {
                give_up: request.deadline - ms(20),
                ..spec(1, request.finish_by(), length)
            };
            // Multiplying by a prime spreads the first receivers evenly.
            let first = ((number * 2_654_435_761) >> 7) as usize;
            for attempt in 0..4 {
                let receiver = (first + attempt) % load.worlds.len();
                if let Ok(id) = load.worlds[receiver].offer(offered) {
                    let upload = (receiver, id, length, now + TARGET, now + TIME_LIMIT);
                    load.accepted.push(upload);
                    break;
                }
            }
        }
        for second in SECONDS..=SECONDS + TIME_LIMIT.as_secs() {
            load.step_to(ms(second * 1_000), &rate_of);
        }
        load
    }

    fn step_to(&mut self, now: Duration, rate_of: impl Fn(u64) -> f64) {
        for world in &mut self.worlds {
            world.rate = rate_of(now.as_secs());
            world.step_to(now);
        }
    }

    /// Returns the share of the offered bytes that were received by a time of each upload.
    fn share_by(&self, time: impl Fn(Duration, Duration) -> Duration) -> f64 {
        let mut bytes = 0;
        for (receiver, id, length, target, deadline) in &self.accepted {
            let whole_at = self.worlds[*receiver].whole_at.get(id);
            if whole_at.is_some_and(|at| *at + ms(20) <= time(*target, *deadline)) {
                bytes += length;
            }
        }
        bytes as f64 / self.bytes as f64
    }

    fn accepted_share(&self) -> f64 {
        let bytes: u64 = self.accepted.iter().map(|upload| upload.2).sum();
        bytes as f64 / self.bytes as f64
    }
}

/// Guards against links that deliver all uploads late, because they accept more of them than they carry
/// by the target time: uploads of a rank that takes precedence counted as in time until their deadlines.
#[test]
fn uploads_beyond_the_capacity_leave_the_others_in_time() {
    let load = UploadLoad::run(UPLOADS_A_SECOND, |_| THIN_RATE);
    let carried = 7.0 * THIN_RATE * 20.0 / load.bytes as f64;
    assert!((0.6..0.72).contains(&carried), "{carried}");
    let in_time = load.share_by(|target, _| target);
    assert!(in_time > carried * 0.93, "{in_time} of {carried}");
    // What is accepted is delivered.
    let delivered = load.share_by(|_, deadline| deadline);
    assert!(delivered > load.accepted_share() - 1e-9, "{delivered}");
}

/// Guards against uploads that are all late as those before them are, once links carry less than when
/// the uploads were accepted: 0.4 of their rate for two seconds in five.
#[test]
fn uploads_that_become_late_do_not_delay_those_that_can_be_in_time() {
    let rate_of = |second: u64| match second % 5 {
        3 | 4 => THIN_RATE * 0.4,
        _ => THIN_RATE,
    };
    let load = UploadLoad::run(UPLOADS_A_SECOND, rate_of);
    let carried = 7.0 * THIN_RATE * 20.0 * 0.76 / load.bytes as f64;
    let in_time = load.share_by(|target, _| target);
    assert!(in_time > carried * 0.9, "{in_time} of {carried}");
}

/// Guards against accepted uploads that are dropped when they are late, although the links have time
/// for them later.
#[test]
fn uploads_that_become_late_are_delivered_when_others_leave_time() {
    let rate_of = |second: u64| match second % 5 {
        4 => THIN_RATE * 0.1,
        _ => THIN_RATE,
    };
    let load = UploadLoad::run(UPLOADS_A_SECOND / 3, rate_of);
    let in_time = load.share_by(|target, _| target);
    let delivered = load.share_by(|_, deadline| deadline);
    let accepted = load.accepted_share();
    assert!(in_time < accepted, "none is late");
    assert!(delivered > accepted * 0.99, "{delivered} of {accepted}");
}

/// Guards against small requests of a rank that takes precedence that no longer wait until their deadline,
/// and against uploads that count as in time until then.
#[test]
fn only_large_bodies_must_meet_the_target_time_in_every_rank() {
    let request = |is_preferred, body_length| NewRequest {
        target: ms(1_350),
        deadline: ms(4_000),
        is_preferred,
        body_length,
    };
    for (is_preferred, length, expected) in [
        (true, 16_384, 4_000),
        (true, 16_385, 1_350),
        (false, 16_384, 1_350),
        (false, 16_385, 1_350),
    ] {
        let finish_by = request(is_preferred, length).finish_by();
        assert_eq!(finish_by, ms(expected), "{is_preferred} {length}");
    }
    let short = NewRequest {
        deadline: ms(900),
        ..request(true, 60_000)
    };
    assert_eq!(short.finish_by(), ms(900));
}

/// Guards against uploads that are given up at their target time, and small requests that are not.
#[test]
fn only_large_bodies_may_be_late() {
    let times = |may_be_late| CallTimes {
        finish_by: ms(1_350),
        deadline: ms(4_000),
        may_be_late,
    };
    assert_eq!(times(true).limit(ms(1_349)), ms(1_350));
    assert_eq!(times(true).limit(ms(1_350)), ms(4_000));
    assert_eq!(times(false).limit(ms(1_350)), ms(1_350));
}
