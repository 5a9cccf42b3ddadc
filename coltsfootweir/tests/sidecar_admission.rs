//! Admission by rank under load: who waits, who is refused, what is done in time.
//!
//! Each test names the pattern of load it answers. Time is simulated.

use std::collections::BTreeMap;
use std::time::Duration;

use coltsfootweir::guard::AdmitDecision;
use coltsfootweir::guard::GuardEvent;
use coltsfootweir::guard::GuardState;
use coltsfootweir::guard::RankedRequest;
use coltsfootweir::member::EndpointPhase;
use coltsfootweir::sidecar::run_times::RunTimes;

const SLOTS: u16 = 9;

const BOOKING: u8 = 1;
const LOOKUP: u8 = 2;

/// A stream of equal requests.
#[derive(Clone, Copy)]
struct LoadStream {
    rank: u8,
    every: Duration,
    run: Duration,
    patience: Duration,
}

#[derive(Debug, Default)]
struct LoadOutcome {
    asked: u32,
    done: u32,
    refused: u32,
    /// Refused after they had waited.
    expired: u32,
    longest_wait: Duration,
}

struct LoadRun {
    guard: GuardState,
    ends: BTreeMap<(Duration, u64), ()>,
    arrived: BTreeMap<u64, (u8, Duration, Duration)>,
    outcomes: BTreeMap<u8, LoadOutcome>,
}

impl LoadRun {
    fn new() -> LoadRun {
        LoadRun {
            guard: GuardState::new(SLOTS, 1_000),
            ends: BTreeMap::new(),
            arrived: BTreeMap::new(),
            outcomes: BTreeMap::new(),
        }
    }

    fn take(&mut self, events: Vec<GuardEvent>, now: Duration) {
        for event in events {
            match event {
                GuardEvent::Start(id) => self.start(id, now),
                GuardEvent::Expire(id) | GuardEvent::Refuse(id, _) => {
                    let (rank, _, _) = self.arrived[&id];
                    self.outcomes.entry(rank).or_default().expired += 1;
                }
            }
        }
    }

    fn start(&mut self, id: u64, now: Duration) {
        let (rank, at, run) = self.arrived[&id];
        let outcome = self.outcomes.entry(rank).or_default();
        outcome.longest_wait = outcome.longest_wait.max(now - at);
        self.ends.insert((now + run, id), ());
    }

    fn finish_until(&mut self, now: Duration) {
        while let Some(((at, id), ())) = self.ends.first_key_value().map(|(k, v)| (*k, *v)) {
            if at > now {
                return;
            }
            self.ends.remove(&(at, id));
            let (rank, _, _) = self.arrived[&id];
            self.outcomes.entry(rank).or_default().done += 1;
            let events = self.guard.finish(id, at);
            self.take(events, at);
        }
    }

    fn arrive(&mut self, id: u64, stream: LoadStream, now: Duration) {
        self.arrived.insert(id, (stream.rank, now, stream.run));
        let outcome = self.outcomes.entry(stream.rank).or_default();
        outcome.asked += 1;
        let request = RankedRequest {
            rank: stream.rank,
            finish_by: now + stream.patience,
            run: stream.run,
        };
        let (decision, events) = self.guard.arrive_ranked(id, request, now);
        match decision {
            AdmitDecision::Run => self.start(id, now),
            AdmitDecision::Wait => {}
            AdmitDecision::Refuse(_) => {
                self.outcomes.entry(stream.rank).or_default().refused += 1;
            }
        }
        self.take(events, now);
    }

    fn play(mut self, streams: &[LoadStream], length: Duration) -> BTreeMap<u8, LoadOutcome> {
        let mut arrivals = Vec::new();
        for (number, stream) in streams.iter().enumerate() {
            let mut at = stream.every * (number as u32 + 1) / 7;
            while at < length {
                arrivals.push((at, *stream));
                at += stream.every;
            }
        }
        arrivals.sort_by_key(|(at, _)| *at);
        for (id, (at, stream)) in arrivals.into_iter().enumerate() {
            self.finish_until(at);
            self.arrive(id as u64, stream, at);
        }
        self.finish_until(length * 2);
        self.outcomes
    }
}

fn lookups(per_second: u32) -> LoadStream {
    LoadStream {
        rank: LOOKUP,
        every: Duration::from_secs(1) / per_second,
        run: Duration::from_millis(70),
        patience: Duration::from_millis(270),
    }
}

fn bookings(per_second: u32) -> LoadStream {
    LoadStream {
        rank: BOOKING,
        every: Duration::from_secs(1) / per_second,
        run: Duration::from_millis(80),
        patience: Duration::from_millis(1_000),
    }
}

/// Steady overload: twice as much is asked as can run for ten seconds.
#[test]
fn steady_overload_is_refused_at_once_and_the_rest_is_in_time() {
    let outcomes = LoadRun::new().play(&[lookups(257)], Duration::from_secs(10));
    let lookup = &outcomes[&LOOKUP];
    // 9 slots of 70 ms run 1,285 requests in 10 s.
    assert!(lookup.done >= 1_200, "{lookup:?}");
    assert!(lookup.expired * 20 <= lookup.asked, "{lookup:?}");
    assert!(
        lookup.longest_wait <= Duration::from_millis(200),
        "{lookup:?}"
    );
}

/// Steady overload by lookups beside bookings that fit: bookings are not served less.
#[test]
fn bookings_are_served_beside_too_many_lookups() {
    let streams = [lookups(250), bookings(30)];
    let outcomes = LoadRun::new().play(&streams, Duration::from_secs(10));
    let booking = &outcomes[&BOOKING];
    assert_eq!(booking.done, booking.asked, "{outcomes:?}");
    assert!(
        booking.longest_wait <= Duration::from_millis(100),
        "{outcomes:?}"
    );
}

/// Calls of running requests beside long requests that fill the slots: a short call that a parent
/// waits for starts within a few slot times.
#[test]
fn short_calls_go_before_long_requests() {
    let long = LoadStream {
        rank: LOOKUP,
        every: Duration::from_millis(12),
        run: Duration::from_millis(150),
        patience: Duration::from_millis(540),
    };
    let call = LoadStream {
        rank: BOOKING,
        every: Duration::from_millis(15),
        run: Duration::from_millis(15),
        patience: Duration::from_millis(200),
    };
    let outcomes = LoadRun::new().play(&[long, call], Duration::from_secs(10));
    let calls = &outcomes[&BOOKING];
    assert!(calls.done * 100 >= calls.asked * 99, "{outcomes:?}");
}

/// Burst over a queue: three times the capacity for a second, little before and after.
#[test]
fn burst_is_taken_up_by_the_queue_as_far_as_it_can_be_done_in_time() {
    let mut run = LoadRun::new();
    let burst = lookups(385);
    for step in 0..385_u32 {
        let now = burst.every * step;
        run.finish_until(now);
        run.arrive(u64::from(step), burst, now);
    }
    run.finish_until(Duration::from_secs(5));
    let lookup = &run.outcomes[&LOOKUP];
    // One second of slots and a queue of 200 ms.
    assert!(lookup.done >= 128 + 20, "{lookup:?}");
    assert!(
        lookup.longest_wait <= Duration::from_millis(200),
        "{lookup:?}"
    );
}

/// Slow endpoint: runs take five times as long as they did; the estimate follows and refuses.
#[test]
fn slow_endpoint_refuses_what_it_can_no_longer_do_in_time() {
    let mut times = RunTimes::default();
    for _ in 0..50 {
        times.record(1, Duration::from_millis(70));
    }
    for _ in 0..30 {
        times.record(1, Duration::from_millis(350));
    }
    assert!(times.expected(1) > Duration::from_millis(300));
    assert_eq!(times.expected(2), Duration::ZERO);
}

/// A full queue gives a place to a more urgent request and tells the one that lost it.
#[test]
fn urgent_request_takes_the_last_place_of_a_full_queue() {
    let mut guard = GuardState::new(1, 1);
    let now = Duration::ZERO;
    let request = |rank| RankedRequest {
        rank,
        finish_by: Duration::from_secs(9),
        run: Duration::ZERO,
    };
    assert_eq!(
        guard.arrive_ranked(1, request(LOOKUP), now).0,
        AdmitDecision::Run
    );
    assert_eq!(
        guard.arrive_ranked(2, request(LOOKUP), now).0,
        AdmitDecision::Wait
    );
    let (decision, events) = guard.arrive_ranked(3, request(BOOKING), now);
    assert_eq!(decision, AdmitDecision::Wait);
    assert!(
        matches!(events.as_slice(), [GuardEvent::Refuse(2, _)]),
        "{events:?}"
    );
    let (decision, _) = guard.arrive_ranked(4, request(LOOKUP), now);
    assert!(matches!(decision, AdmitDecision::Refuse(_)), "{decision:?}");
    assert_eq!(guard.finish(1, now), [GuardEvent::Start(3)]);
}

/// Urgent requests see only the queue that is ahead of them.
#[test]
fn queue_is_told_by_rank() {
    let mut guard = GuardState::new(1, 9);
    let now = Duration::ZERO;
    for (id, rank) in [(1, LOOKUP), (2, LOOKUP), (3, BOOKING), (4, LOOKUP)] {
        let request = RankedRequest {
            rank,
            finish_by: Duration::from_secs(9),
            run: Duration::ZERO,
        };
        guard.arrive_ranked(id, request, now);
    }
    assert_eq!(guard.waiting_by_rank(), [(BOOKING, 1), (LOOKUP, 2)]);
}

#[test]
fn nothing_starts_at_an_endpoint_that_is_down() {
    let mut guard = GuardState::new(1, 4);
    let now = Duration::ZERO;
    let request = RankedRequest {
        rank: 0,
        finish_by: Duration::from_secs(1),
        run: Duration::ZERO,
    };
    guard.arrive_ranked(1, request, now);
    guard.arrive_ranked(2, request, now);
    let events = guard.set_phase(EndpointPhase::Down, now);
    assert!(
        matches!(events.as_slice(), [GuardEvent::Refuse(2, _)]),
        "{events:?}"
    );
    let (decision, _) = guard.arrive_ranked(3, request, now);
    assert!(matches!(decision, AdmitDecision::Refuse(_)), "{decision:?}");
}
