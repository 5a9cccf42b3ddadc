//! Processor time of the decisions on a request beside few and very many teams.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use coltsfootweir::guard::AdmitDecision;
use coltsfootweir::guard::GuardEvent;
use coltsfootweir::guard::GuardState;
use coltsfootweir::guard::RankedRequest;
use coltsfootweir::sidecar::fair_queue::team_tags::MAX_TEAMS;

const SLOTS: u16 = 9;

/// Requests that wait at all times: nearly a full queue.
const WAITING: usize = 140;

const ROUNDS: usize = 20;

const ROUND_REQUESTS: u32 = 1_000;

/// A guard at which each request that ends makes room for one that arrives.
struct BusyGuard {
    guard: GuardState,
    running: VecDeque<u64>,
    waiting: usize,
}

impl BusyGuard {
    fn apply(&mut self, events: Vec<GuardEvent>) {
        for event in events {
            self.waiting -= 1;
            if let GuardEvent::Start(id) = event {
                self.running.push_back(id);
            }
        }
    }

    fn arrive(&mut self, id: u64, team: u64, now: Duration) {
        let request = RankedRequest {
            rank: 1,
            team: Some(team),
            finish_by: now + Duration::from_secs(1_000),
            run: Duration::from_millis(70 + id % 10),
            wait_factor: 1.0,
        };
        let (decision, events) = self.guard.arrive_ranked(id, request, now);
        match decision {
            AdmitDecision::Run => self.running.push_back(id),
            AdmitDecision::Wait => self.waiting += 1,
            AdmitDecision::Refuse(reason) => panic!("request {id} refused: {reason:?}"),
        }
        self.apply(events);
    }

    fn end_one(&mut self, now: Duration) {
        let ended = self.running.pop_front().expect("a running request");
        let events = self.guard.finish(ended, now);
        self.apply(events);
    }
}

/// Returns the shortest mean time of a request over some rounds, which other processes on the machine
/// disturb least, and the number of teams that are remembered.
fn request_time(teams: u64) -> (Duration, usize) {
    let mut busy = BusyGuard {
        guard: GuardState::new(SLOTS, 16 * usize::from(SLOTS)),
        running: VecDeque::new(),
        waiting: 0,
    };
    let mut best = Duration::MAX;
    let mut id = 0;
    for _ in 0..ROUNDS {
        let begun = Instant::now();
        for _ in 0..ROUND_REQUESTS {
            id += 1;
            let now = Duration::from_micros(id * 100);
            busy.arrive(id, id * 7_919 % teams, now);
            while busy.waiting > WAITING {
                busy.end_one(now);
            }
        }
        best = best.min(begun.elapsed() / ROUND_REQUESTS);
    }
    (best, busy.guard.tagged_teams())
}

/// Guards against a scan over all known teams for each request: with 100,000 teams it would take hundreds
/// of times as long.
#[test]
fn time_of_a_request_does_not_grow_with_the_number_of_teams() {
    let (few, _) = request_time(3);
    let (many, remembered) = request_time(100_000);
    println!("3 teams: {few:?}; 100,000 teams: {many:?}, {remembered} remembered");
    assert_eq!(remembered, MAX_TEAMS);
    assert!(many < few * 3, "{many:?} with many teams, {few:?} with few");
}
