//! Tests of the limit on requests to a cold endpoint, without a network.

use std::collections::VecDeque;
use std::time::Duration;

use coltsfootweir::guard::AdmitDecision;
use coltsfootweir::guard::GuardEvent;
use coltsfootweir::guard::GuardState;
use coltsfootweir::guard::RankedRequest;
use coltsfootweir::sidecar::settings::WarmupBounds;
use coltsfootweir::sidecar::warmup::warmup_pacer::WarmupPacer;
use coltsfootweir::sidecar::warmup::warmup_pacer::WarmupTerms;

const BOUNDS: WarmupBounds = WarmupBounds {
    overage: 1.5,
    slack: 8.0,
};

const PER_S: f64 = 14.0;

/// Most requests in one second: the rate, the overage and the slack.
const MOST_IN_SECOND: usize = 29;

const SECOND: Duration = Duration::from_secs(1);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn pacer() -> WarmupPacer {
    let mut pacer = WarmupPacer::default();
    pacer.set_terms(WarmupTerms::new(PER_S, BOUNDS), Duration::ZERO);
    pacer
}

fn warm_pacer() -> WarmupPacer {
    let mut pacer = pacer();
    pacer.on_announcement(Duration::ZERO, ms(1));
    pacer.on_announcement(Duration::ZERO, ms(2));
    assert!(!pacer.is_cold(ms(3)));
    pacer
}

/// Guards against an endpoint that is taken for warm because of an announcement from before an outage.
#[test]
fn endpoint_is_cold_until_two_announcements_after_an_outage() {
    let mut pacer = warm_pacer();
    assert!(pacer.has_token(ms(3)));
    pacer.assume_cold(ms(10));
    pacer.on_announcement(Duration::ZERO, ms(20));
    assert!(pacer.is_cold(ms(30)));
    pacer.on_announcement(Duration::ZERO, ms(40));
    assert!(!pacer.is_cold(ms(50)));
}

/// Guards against a cold time that is cut short, or that goes on after the endpoint says it is warm.
#[test]
fn cold_time_follows_the_announcements() {
    let mut pacer = warm_pacer();
    pacer.on_announcement(SECOND * 3, SECOND);
    assert!(pacer.is_cold(ms(3_999)));
    assert!(!pacer.is_cold(ms(4_000)));
    pacer.on_announcement(Duration::ZERO, SECOND * 2);
    assert!(!pacer.is_cold(SECOND * 2));
    // The first announcement after an outage may lengthen the cold time, never shorten it.
    pacer.on_announcement(SECOND * 3, SECOND * 5);
    pacer.assume_cold(SECOND * 6);
    pacer.on_announcement(ms(1), SECOND * 6);
    pacer.on_announcement(Duration::ZERO, SECOND * 7);
    assert!(!pacer.is_cold(SECOND * 7));
}

/// Guards against services or deployments without the limit that are slowed down.
#[test]
fn nothing_is_limited_without_a_rate_or_bounds() {
    assert_eq!(WarmupTerms::new(0.0, BOUNDS), None);
    assert_eq!(WarmupTerms::new(f64::NAN.max(0.0), BOUNDS), None);
    assert_eq!(WarmupTerms::new(PER_S, WarmupBounds::default()), None);
    let pacer = WarmupPacer::default();
    assert!(pacer.has_token(Duration::ZERO));
    assert_eq!(pacer.token_wait(1_000, Duration::ZERO), Duration::ZERO);
}

/// Floods a guard for some seconds and returns the times of the starts. The endpoint turns cold and
/// warm several times.
fn flood(slots: u16, run: Duration, seconds: u64) -> Vec<Duration> {
    let mut guard = GuardState::new(slots, usize::from(slots) * 16);
    let mut running: VecDeque<(Duration, u64)> = VecDeque::new();
    let mut starts = Vec::new();
    guard.change_pacer(|kept| *kept = pacer(), Duration::ZERO);
    let mut id = 0;
    for step in 0..seconds * 200 {
        let now = ms(step * 5);
        let mut events = guard.poll(now);
        while running.front().is_some_and(|(end, _)| *end <= now) {
            let (_, ended) = running.pop_front().expect("a run");
            events.extend(guard.finish(ended, now));
        }
        for _ in 0..3 {
            id += 1;
            let request = RankedRequest {
                rank: (id % 3) as u8,
                team: None,
                finish_by: now + ms(100 + id * 7 % 2_000),
                run,
                wait_factor: 1.0,
            };
            let (decision, more) = guard.arrive_ranked(id, request, now);
            events.extend(more);
            if decision == AdmitDecision::Run {
                events.push(GuardEvent::Start(id));
            }
        }
        if step % 500 == 250 {
            events.extend(guard.change_pacer(|pacer| pacer.assume_cold(now), now));
        }
        for event in events {
            if let GuardEvent::Start(id) = event {
                starts.push(now);
                running.push_back((now + run, id));
            }
        }
    }
    starts
}

/// Guards against more requests in any second than a cold endpoint tolerates, also from the queue, and
/// against a limit that leaves the endpoint idle.
#[test]
fn flood_stays_under_the_bound_and_near_the_rate() {
    for (slots, run) in [(2, ms(60)), (8, ms(200)), (64, ms(5))] {
        let starts = flood(slots, run, 10);
        for (index, start) in starts.iter().enumerate() {
            let in_second = starts[index..].iter();
            let count = in_second.take_while(|at| **at < *start + SECOND).count();
            assert!(count <= MOST_IN_SECOND, "{count} from {start:?}");
        }
        assert!(starts.len() >= 130, "{} of {slots} slots", starts.len());
    }
}

/// Guards against a request that waits in vain for a token until its deadline.
#[test]
fn request_without_a_token_in_time_is_refused_at_once() {
    let mut guard = GuardState::new(8, 100);
    guard.change_pacer(|kept| *kept = pacer(), Duration::ZERO);
    let request = |finish_by| RankedRequest {
        rank: 0,
        team: None,
        finish_by,
        run: ms(10),
        wait_factor: 1.0,
    };
    let (decision, _) = guard.arrive_ranked(1, request(ms(60)), Duration::ZERO);
    assert!(matches!(decision, AdmitDecision::Refuse(_)), "{decision:?}");
    let wait = guard.token_wait(0, None, Duration::MAX, Duration::ZERO);
    assert!(wait > ms(70) && wait < ms(73), "{wait:?}");
    let (decision, _) = guard.arrive_ranked(2, request(ms(200)), Duration::ZERO);
    assert_eq!(decision, AdmitDecision::Wait);
    let pause = guard.pace_pause(Duration::ZERO).expect("a pause");
    assert_eq!(pause, wait);
    assert_eq!(guard.poll(pause + ms(1)), [GuardEvent::Start(2)]);
}
