//! Load balancing over endpoints: nearest first, spill-over, cap on ejections, no starvation.

mod common;

use std::time::Duration;

use proptest::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use coltsfootweir::balance::Candidate;
use coltsfootweir::balance::EndpointChooser;
use coltsfootweir::endpoint_state::CallEnd;
use coltsfootweir::endpoint_state::EJECT_TIMEOUT;
use coltsfootweir::endpoint_state::MAX_FAILURES;
use coltsfootweir::endpoint_state::SLOW_START;
use coltsfootweir::ids::MemberId;
use coltsfootweir::load_report::LoadReport;

use common::fixed_config;

const SLOTS: u16 = 9;

/// Endpoints of a service with the zone and region of each.
struct Service {
    ids: Vec<MemberId>,
    places: Vec<(Box<str>, Box<str>)>,
}

impl Service {
    fn new(places: &[(&str, &str)]) -> Service {
        let ids = (0..places.len()).map(|index| format!("10.0.0.{index}:7000").into());
        let places = places
            .iter()
            .map(|(zone, region)| ((*zone).into(), (*region).into()));
        Service {
            ids: ids.collect(),
            places: places.collect(),
        }
    }

    fn candidates(&self) -> Vec<Candidate<'_>> {
        let pairs = self.ids.iter().zip(&self.places);
        let candidates = pairs.map(|(id, (zone, region))| Candidate {
            id,
            zone,
            region,
            slots: SLOTS,
            reachable: true,
            run_time_ratio: 1.0,
            is_late: false,
        });
        candidates.collect()
    }
}

fn chooser(seed: u64) -> EndpointChooser {
    EndpointChooser::new("z1".into(), "r1".into(), seed)
}

fn full() -> LoadReport {
    LoadReport {
        running: SLOTS,
        slots: SLOTS,
        waiting: 0,
    }
}

proptest! {
    #![proptest_config(fixed_config(0xba1, 300))]

    #[test]
    fn ejection_is_capped_and_some_endpoint_is_chosen(
        count in 1..9_usize,
        steps in proptest::collection::vec((0..9_usize, 0..4_u8, 0..3000_u64), 1..120),
        lost in 0..9_usize,
    ) {
        let service = Service::new(&vec![("z1", "r1"); count]);
        let mut chooser = chooser(1);
        let mut now = Duration::ZERO;
        for (pick, end, ms) in steps {
            now += Duration::from_millis(ms);
            let mut candidates = service.candidates();
            if let Some(candidate) = candidates.get_mut(lost) {
                candidate.reachable = false;
            }
            let ends = [CallEnd::Success, CallEnd::Failure, CallEnd::ConnectError, CallEnd::Neutral];
            let id = &service.ids[pick % count];
            chooser.on_start(id, now);
            chooser.on_end(id, ends[usize::from(end)], now);
            let ejected = chooser.ejected(&candidates, now);
            prop_assert!(ejected.len() <= count / 3);
            let exclude = [service.ids[0].clone()];
            let chosen = chooser.choose(&candidates, &exclude, now);
            let is_possible = (1..count).any(|index| index != lost);
            prop_assert_eq!(chosen.is_some(), is_possible);
            prop_assert!(chosen.is_none_or(|index| index != 0 && index != lost));
            // An ejected endpoint is chosen only if there is no other.
            let others = (1..count).filter(|index| *index != lost && !ejected.contains(index));
            prop_assert!(others.count() == 0 || !ejected.contains(&chosen.unwrap()));
        }
    }
}

#[test]
fn calls_stay_near_and_spill_when_the_near_ones_are_full() {
    let places = [
        ("z1", "r1"),
        ("z1", "r1"),
        ("z2", "r1"),
        ("z3", "r2"),
        ("z4", "r2"),
    ];
    let service = Service::new(&places);
    let candidates = service.candidates();
    let mut chooser = chooser(2);
    let now = Duration::from_secs(1);
    let tiers = [vec![0, 1], vec![2], vec![3, 4], vec![0, 1, 2]];
    for tier in tiers {
        for _ in 0..100 {
            let index = chooser.choose(&candidates, &[], now).unwrap();
            assert!(tier.contains(&index), "endpoint {index} is not in {tier:?}");
        }
        for index in tier {
            chooser.on_answer(&service.ids[index], full(), now);
        }
    }
}

/// Starts calls that stay open, so that the load accumulates; returns the calls per endpoint.
fn spread_calls(calls: usize, seed: u64) -> Vec<usize> {
    let service = Service::new(&[("z1", "r1"); 10]);
    let mut candidates = service.candidates();
    for candidate in &mut candidates {
        candidate.slots = 1000;
    }
    let mut chooser = chooser(seed);
    let mut counts = vec![0; 10];
    for _ in 0..calls {
        let index = chooser.choose(&candidates, &[], Duration::ZERO).unwrap();
        chooser.on_start(&service.ids[index], Duration::ZERO);
        counts[index] += 1;
    }
    counts
}

#[test]
fn two_choices_spread_load_better_than_one() {
    let two = spread_calls(300, 3);
    let mut one = vec![0; 10];
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    for _ in 0..300 {
        one[rng.random_range(0..10)] += 1;
    }
    println!("two choices {two:?}, one choice {one:?}");
    assert!(two.iter().max().unwrap() + 3 <= *one.iter().max().unwrap());
    assert!(
        *two.iter().min().unwrap() >= 25,
        "an endpoint got too few calls: {two:?}"
    );
}

#[test]
fn endpoint_newly_seen_grows_to_its_share() {
    let service = Service::new(&[("z1", "r1"); 4]);
    let candidates = service.candidates();
    let mut chooser = chooser(4);
    chooser.choose(&candidates[..3], &[], Duration::ZERO);
    let mut share = |now: Duration| {
        let mut calls = 0;
        let mut open: Vec<usize> = Vec::new();
        for _ in 0..2000 {
            let index = chooser.choose(&candidates, &[], now).unwrap();
            chooser.on_start(&service.ids[index], now);
            calls += usize::from(index == 3);
            open.push(index);
            if open.len() > 8 {
                chooser.on_end(&service.ids[open.remove(0)], CallEnd::Success, now);
            }
        }
        for index in open {
            chooser.on_end(&service.ids[index], CallEnd::Success, now);
        }
        calls
    };
    let start = Duration::from_secs(1);
    let cold = share(start);
    let warm = share(start + SLOW_START);
    println!("calls of 2000 at the start {cold}, after the slow start {warm}");
    assert!((20..200).contains(&cold) && warm > 400);
}

#[test]
fn failing_endpoint_is_left_and_comes_back() {
    let service = Service::new(&[("z1", "r1"), ("z2", "r1")]);
    let candidates = service.candidates();
    let mut chooser = chooser(5);
    let now = Duration::from_secs(1);
    let mut failures = 0;
    for _ in 0..200 {
        let index = chooser.choose(&candidates, &[], now).unwrap();
        chooser.on_start(&service.ids[index], now);
        let end = [CallEnd::Failure, CallEnd::Success][index];
        chooser.on_end(&service.ids[index], end, now);
        failures += u32::from(index == 0);
    }
    assert!(
        failures <= MAX_FAILURES,
        "{failures} calls sent to a failing endpoint"
    );
    let later = now + EJECT_TIMEOUT;
    assert_eq!(chooser.choose(&candidates, &[], later), Some(0));
}

fn count_choices(candidates: &[Candidate<'_>], loads: &[u16]) -> Vec<u32> {
    let mut chooser = chooser(7);
    let now = Duration::from_secs(1);
    for (candidate, load) in candidates.iter().zip(loads) {
        chooser.on_start(candidate.id, now);
        chooser.on_end(candidate.id, CallEnd::Neutral, now);
        let report = LoadReport {
            running: *load,
            slots: SLOTS,
            waiting: 0,
        };
        chooser.on_answer(candidate.id, report, now);
    }
    let mut counts = vec![0; candidates.len()];
    for _ in 0..1_000 {
        let index = chooser.choose(candidates, &[], now).expect("an endpoint");
        counts[index] += 1;
    }
    counts
}

/// If all endpoints are idle, the fast ones get the requests.
#[test]
fn faster_endpoints_of_mixed_speeds_are_preferred() {
    let service = Service::new(&[("z1", "r1"); 3]);
    let mut candidates = service.candidates();
    candidates[2].run_time_ratio = 2.2;
    let counts = count_choices(&candidates, &[0, 0, 0]);
    assert!(counts[2] < 50, "{counts:?}");
}

/// Under load, a slow endpoint gets requests before the fast ones are full.
#[test]
fn a_slow_endpoint_takes_requests_when_the_fast_ones_are_nearly_full() {
    let service = Service::new(&[("z1", "r1"); 3]);
    let mut candidates = service.candidates();
    candidates[2].run_time_ratio = 2.0;
    let nearly_full = SLOTS - 1;
    let counts = count_choices(&candidates, &[nearly_full, nearly_full, 0]);
    assert!(counts[2] > 500, "{counts:?}");
}

/// Endpoints of another zone that finish in time are preferred to endpoints of the same zone that
/// would be late.
#[test]
fn endpoints_that_would_be_late_come_after_all_that_are_done_in_time() {
    let service = Service::new(&[("z1", "r1"), ("z1", "r1"), ("z2", "r1")]);
    let mut candidates = service.candidates();
    candidates[0].is_late = true;
    candidates[1].is_late = true;
    let counts = count_choices(&candidates, &[0, 0, 3]);
    assert_eq!(counts, [0, 0, 1_000]);
    // If all would be late, one of them is still chosen.
    candidates[2].is_late = true;
    let counts = count_choices(&candidates, &[0, 0, 3]);
    assert_eq!(counts.iter().sum::<u32>(), 1_000);
}
