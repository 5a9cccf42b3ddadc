//! Tests of admission by rank under load, with simulated time.

use std::collections::BTreeMap;
use std::time::Duration;

use coltsfootweir::guard::AdmitDecision;
use coltsfootweir::guard::GuardEvent;
use coltsfootweir::guard::GuardState;
use coltsfootweir::guard::RankedRequest;
use coltsfootweir::member::EndpointPhase;
use coltsfootweir::sidecar::run_times::RunTimes;
use coltsfootweir::sidecar::wait_factors::WaitFactors;

const SLOTS: u16 = 9;

const BOOKING: u8 = 1;
const LOOKUP: u8 = 2;

/// A stream of identical requests at a fixed interval.
#[derive(Clone, Copy)]
struct LoadStream {
    rank: u8,
    interval: Duration,
    run: Duration,
    time_limit: Duration,
}

#[derive(Debug, Default)]
struct LoadOutcome {
    arrivals: u32,
    done: u32,
    refused: u32,
    /// Refused after a wait.
    expired: u32,
    longest_wait: Duration,
}

struct LoadSimulation {
    guard: GuardState,
    ends: BTreeMap<(Duration, u64), ()>,
    requests: BTreeMap<u64, (u8, Duration, Duration)>,
    outcomes: BTreeMap<u8, LoadOutcome>,
    factors: WaitFactors,
    expected_waits: BTreeMap<u64, Duration>,
}

impl LoadSimulation {
    fn new() -> LoadSimulation {
        LoadSimulation {
            guard: GuardState::new(SLOTS, 1_000),
            ends: BTreeMap::new(),
            requests: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            factors: WaitFactors::default(),
            expected_waits: BTreeMap::new(),
        }
    }

    fn end_wait(&mut self, id: u64, now: Duration) {
        if let Some(expected) = self.expected_waits.remove(&id) {
            let (_, at, run) = self.requests[&id];
            self.factors.record(route_hash(run), expected, now - at);
        }
    }

    fn apply(&mut self, events: Vec<GuardEvent>, now: Duration) {
        for event in events {
            match event {
                GuardEvent::Start(id) => self.start(id, now),
                GuardEvent::Expire(id) | GuardEvent::Refuse(id, _) => {
                    self.end_wait(id, now);
                    let (rank, _, _) = self.requests[&id];
                    self.outcomes.entry(rank).or_default().expired += 1;
                }
            }
        }
    }

    fn start(&mut self, id: u64, now: Duration) {
        self.end_wait(id, now);
        let (rank, at, run) = self.requests[&id];
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
            let (rank, _, _) = self.requests[&id];
            self.outcomes.entry(rank).or_default().done += 1;
            let events = self.guard.finish(id, at);
            self.apply(events, at);
        }
    }

    fn arrive(&mut self, id: u64, stream: LoadStream, now: Duration) {
        self.requests.insert(id, (stream.rank, now, stream.run));
        let outcome = self.outcomes.entry(stream.rank).or_default();
        outcome.arrivals += 1;
        let request = RankedRequest {
            rank: stream.rank,
            team: None,
            finish_by: now + stream.time_limit,
            run: stream.run,
            wait_factor: self.factors.factor(route_hash(stream.run)),
        };
        let expected_wait = self.guard.expected_wait(&request);
        let (decision, events) = self.guard.arrive_ranked(id, request, now);
        match decision {
            AdmitDecision::Run => self.start(id, now),
            AdmitDecision::Wait => {
                self.expected_waits.insert(id, expected_wait);
            }
            AdmitDecision::Refuse(_) => {
                self.outcomes.entry(stream.rank).or_default().refused += 1;
            }
        }
        self.apply(events, now);
    }

    fn run_streams(
        mut self,
        streams: &[LoadStream],
        length: Duration,
    ) -> BTreeMap<u8, LoadOutcome> {
        let mut arrivals = Vec::new();
        for (number, stream) in streams.iter().enumerate() {
            let mut at = stream.interval * (number as u32 + 1) / 7;
            while at < length {
                arrivals.push((at, *stream));
                at += stream.interval;
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

/// Streams of different run times are different routes.
fn route_hash(run: Duration) -> u32 {
    run.as_millis() as u32
}

fn lookups(per_second: u32) -> LoadStream {
    LoadStream {
        rank: LOOKUP,
        interval: Duration::from_secs(1) / per_second,
        run: Duration::from_millis(70),
        time_limit: Duration::from_millis(270),
    }
}

fn bookings(per_second: u32) -> LoadStream {
    LoadStream {
        rank: BOOKING,
        interval: Duration::from_secs(1) / per_second,
        run: Duration::from_millis(80),
        time_limit: Duration::from_millis(1_000),
    }
}

/// Twice the capacity arrives for ten seconds. Most requests must be refused on arrival, not after a
/// wait, and the others must finish in time.
#[test]
fn steady_overload_is_refused_at_once_and_the_rest_is_in_time() {
    let outcomes = LoadSimulation::new().run_streams(&[lookups(257)], Duration::from_secs(10));
    let lookup = &outcomes[&LOOKUP];
    // 9 slots with runs of 70 ms complete 1,285 requests in 10 s.
    assert!(lookup.done >= 1_200, "{lookup:?}");
    assert!(lookup.expired * 20 <= lookup.arrivals, "{lookup:?}");
    assert!(
        lookup.longest_wait <= Duration::from_millis(200),
        "{lookup:?}"
    );
}

/// An overload of low-priority lookups must not reduce the number of bookings that are served.
#[test]
fn bookings_are_served_beside_too_many_lookups() {
    let streams = [lookups(250), bookings(30)];
    let outcomes = LoadSimulation::new().run_streams(&streams, Duration::from_secs(10));
    let booking = &outcomes[&BOOKING];
    assert_eq!(booking.done, booking.arrivals, "{outcomes:?}");
    assert!(
        booking.longest_wait <= Duration::from_millis(100),
        "{outcomes:?}"
    );
}

/// Long requests fill the slots while running requests make short calls that they wait for. The
/// calls must start soon enough to finish within their 200 ms.
#[test]
fn short_calls_go_before_long_requests() {
    let long = LoadStream {
        rank: LOOKUP,
        interval: Duration::from_millis(12),
        run: Duration::from_millis(150),
        time_limit: Duration::from_millis(540),
    };
    let call = LoadStream {
        rank: BOOKING,
        interval: Duration::from_millis(15),
        run: Duration::from_millis(15),
        time_limit: Duration::from_millis(200),
    };
    let outcomes = LoadSimulation::new().run_streams(&[long, call], Duration::from_secs(10));
    let calls = &outcomes[&BOOKING];
    assert!(calls.done * 100 >= calls.arrivals * 99, "{outcomes:?}");
}

/// Three times the capacity arrives for one second on an idle endpoint. The queue must absorb what can
/// still finish in time.
#[test]
fn burst_is_taken_up_by_the_queue_as_far_as_it_can_be_done_in_time() {
    let mut run = LoadSimulation::new();
    let burst = lookups(385);
    for step in 0..385_u32 {
        let now = burst.interval * step;
        run.finish_until(now);
        run.arrive(u64::from(step), burst, now);
    }
    run.finish_until(Duration::from_secs(5));
    let lookup = &run.outcomes[&LOOKUP];
    // The capacity of one second and of a queue of 200 ms.
    assert!(lookup.done >= 128 + 20, "{lookup:?}");
    assert!(
        lookup.longest_wait <= Duration::from_millis(200),
        "{lookup:?}"
    );
}

/// Runs become five times as long. The estimate that admission uses must follow within 30 runs.
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

/// A more urgent request takes a place in a full queue, and the request that it displaces is refused.
#[test]
fn urgent_request_takes_the_last_place_of_a_full_queue() {
    let mut guard = GuardState::new(1, 1);
    let now = Duration::ZERO;
    let request = |rank| RankedRequest {
        rank,
        team: None,
        finish_by: Duration::from_secs(9),
        run: Duration::ZERO,
        wait_factor: 1.0,
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

/// The queue length is reported by rank, so that urgent requests count only the queue ahead of them.
#[test]
fn queue_is_told_by_rank() {
    let mut guard = GuardState::new(1, 9);
    let now = Duration::ZERO;
    for (id, rank) in [(1, LOOKUP), (2, LOOKUP), (3, BOOKING), (4, LOOKUP)] {
        let request = RankedRequest {
            rank,
            team: None,
            finish_by: Duration::from_secs(9),
            run: Duration::ZERO,
            wait_factor: 1.0,
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
        team: None,
        finish_by: Duration::from_secs(1),
        run: Duration::ZERO,
        wait_factor: 1.0,
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

/// Bookings and short calls of one rank ask for more than the slots have. The calls, for which running
/// requests wait, are done in time, and bookings that can't be are refused on arrival, not after a
/// wait. `rank` tells the streams apart in the outcomes only.
#[test]
fn short_calls_go_before_bookings_of_the_same_rank() {
    let call = LoadStream {
        rank: BOOKING,
        interval: Duration::from_millis(3),
        run: Duration::from_millis(22),
        time_limit: Duration::from_millis(90),
    };
    let booking = LoadStream {
        rank: BOOKING,
        interval: Duration::from_millis(25),
        run: Duration::from_millis(120),
        time_limit: Duration::from_millis(450),
    };
    // 7.3 of 9 slots for the calls and 4.8 for the bookings.
    let mut run = LoadSimulation::new();
    let mut booked = Vec::new();
    let mut id = 0;
    for step in 0..10_000_u64 {
        let now = Duration::from_millis(step);
        run.finish_until(now);
        for stream in [call, booking] {
            if step % stream.interval.as_millis() as u64 == 0 {
                id += 1;
                let refused = run.outcomes.get(&BOOKING).map_or(0, |out| out.refused);
                run.arrive(id, stream, now);
                let is_refused = run.outcomes[&BOOKING].refused > refused;
                if stream.run == booking.run && !is_refused {
                    booked.push(id);
                }
            }
        }
    }
    run.finish_until(Duration::from_secs(20));
    let outcome = &run.outcomes[&BOOKING];
    // All calls, and the bookings for which there is room beside them, but for a tenth.
    let calls = 10_000 / 3;
    let room = 10_000 * 17 / 10 / 120;
    assert!(outcome.done * 10 >= (calls + room) * 9, "{outcome:?}");
    assert!(outcome.expired * 20 <= outcome.arrivals, "{outcome:?}");
    assert!(!booked.is_empty());
}

#[test]
fn waits_that_the_queue_does_not_show_are_learned_and_forgotten() {
    let mut factors = WaitFactors::default();
    assert_eq!(factors.factor(1), 1.0);
    for _ in 0..60 {
        factors.record(1, Duration::from_millis(40), Duration::from_millis(100));
    }
    assert!(
        (2.3..=2.5).contains(&factors.factor(1)),
        "{}",
        factors.factor(1)
    );
    assert_eq!(factors.factor(2), 1.0);
    for _ in 0..60 {
        factors.record(1, Duration::from_millis(40), Duration::from_millis(30));
    }
    assert!(factors.factor(1) < 1.1, "{}", factors.factor(1));
    for _ in 0..200 {
        factors.record(1, Duration::ZERO, Duration::from_secs(9));
    }
    assert_eq!(factors.factor(1), 4.0);
}
