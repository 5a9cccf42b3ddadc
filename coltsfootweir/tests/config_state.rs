//! State machine test of the active configuration: it never goes back, is never partial and is always
//! consistent.

mod common;

use std::cmp::Ordering;

use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;

use coltsfootweir::config_state::ConfigState;
use coltsfootweir::config_state::KEPT_SNAPSHOTS;
use coltsfootweir::config_state::OfferOutcome;
use coltsfootweir::record::ConfigRecord;
use coltsfootweir::record::MovePhase;
use coltsfootweir::record::RouteClass;
use coltsfootweir::record::TrafficShare;
use coltsfootweir::snapshot::ConfigSnapshot;
use coltsfootweir::snapshot::HeadMark;
use coltsfootweir::snapshot::SnapshotError;

use common::fixed_config;
use common::records::first_snapshot;
use common::records::move_record;
use common::records::route;

/// Damage to an offer in transit.
#[derive(Clone, Copy, Debug)]
enum Damage {
    None,
    /// Bytes are cut off the end.
    Truncate(usize),
    /// One bit is flipped.
    Flip(usize),
    /// The content is an inconsistent snapshot with a matching mark.
    Unclose(usize),
    /// The mark has another generation.
    Mark,
}

#[derive(Clone, Debug)]
enum Step {
    /// The platform accepts a change of this kind.
    Accept(u8),
    Offer(usize, Damage),
    OfferDelta(usize, usize, Damage),
    /// The daemon restarts without any state.
    Restart,
    /// A peer reports a generation that the address has served.
    ReportFloor(usize),
    /// All peers have answered, including one that saw the highest served generation.
    Settle,
}

/// Expected outcome of an offer.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Expected {
    Applied,
    Held,
    Older,
    Refused,
}

#[derive(Clone, Debug)]
struct Oracle {
    /// Accepted snapshots by generation.
    history: Vec<ConfigSnapshot>,
    held: usize,
    floor: usize,
    settled: bool,
    /// Highest generation served over all runs.
    served: usize,
    expected: Expected,
}

/// Returns the next accepted snapshot.
fn next_accepted(last: &ConfigSnapshot, kind: u8) -> ConfigSnapshot {
    let number = last.generation + 1;
    let current = last.active_move("stalls");
    let current = current.map(|record| record.name.clone());
    let mut versions = last.versions.values();
    let serving = versions.find(|version| version.share == TrafficShare::ALL);
    let (from, to) = match &*serving.unwrap().version {
        "v1" => ("v1", "v2"),
        _ => ("v2", "v1"),
    };
    let step = |name: &str, phase, share, reason| {
        let next = last.with_move_step(name, phase, share, reason);
        next.unwrap()
    };
    let record = match (kind, current) {
        (0, _) => ConfigRecord::Route(route("shared", "stalls", number)),
        (1, _) => ConfigRecord::Route(route(&format!("r{number}"), "stalls", 500)),
        (2, None) => ConfigRecord::Move(move_record(&format!("m{number}"), from, to)),
        (2, Some(name)) => {
            let share = TrafficShare {
                checks: (number * 7 % 101) as u8,
                bookings: 1,
            };
            return step(&name, MovePhase::Climbing, share, "");
        }
        (3, Some(name)) => {
            let phase = [MovePhase::Done, MovePhase::TakenBack][number as usize % 2];
            return step(&name, phase, TrafficShare::NONE, "over");
        }
        _ => {
            let mut next = last.clone();
            next.generation = number;
            next.routes.pop_first();
            return next;
        }
    };
    last.with_records([record]).unwrap()
}

fn unclose(snapshot: &ConfigSnapshot, way: usize) -> ConfigSnapshot {
    let mut snapshot = snapshot.clone();
    match way % 3 {
        0 => drop(snapshot.versions.pop_first()),
        1 => drop(snapshot.routes.insert("x".into(), route("x", "nowhere", 1))),
        _ => {
            for version in snapshot.versions.values_mut() {
                version.share.bookings = 49;
            }
        }
    }
    snapshot
}

/// Returns the bytes and the mark of an offer as they arrive.
fn arriving(mut bytes: Vec<u8>, mut mark: HeadMark, damage: Damage) -> (Vec<u8>, HeadMark) {
    match damage {
        Damage::Truncate(cut) => bytes.truncate(bytes.len() - 1 - cut % bytes.len()),
        Damage::Flip(bit) => {
            let index = bit / 8 % bytes.len();
            bytes[index] ^= 1 << (bit % 8);
        }
        Damage::Mark => mark.generation += 1,
        Damage::None | Damage::Unclose(_) => {}
    }
    (bytes, mark)
}

impl Oracle {
    fn offered(&self, generation: usize, damage: Damage) -> ConfigSnapshot {
        match damage {
            Damage::Unclose(way) => unclose(&self.history[generation], way),
            _ => self.history[generation].clone(),
        }
    }

    fn expect(&self, generation: usize, base: Option<usize>, damage: Damage) -> Expected {
        let marked = generation + usize::from(matches!(damage, Damage::Mark));
        let other_mark = matches!(damage, Damage::Mark)
            || matches!(damage, Damage::Unclose(_)) && generation > 0;
        let fits = base.is_none_or(|base| base == self.held);
        match marked.cmp(&self.held) {
            Ordering::Less => Expected::Older,
            Ordering::Equal if !other_mark => Expected::Held,
            Ordering::Greater if fits && matches!(damage, Damage::None) => Expected::Applied,
            _ => Expected::Refused,
        }
    }

    fn is_serving(&self) -> bool {
        self.settled && self.held >= self.floor
    }
}

fn any_damage() -> impl Strategy<Value = Damage> {
    prop_oneof![
        6 => Just(Damage::None),
        1 => any::<usize>().prop_map(Damage::Truncate),
        1 => any::<usize>().prop_map(Damage::Flip),
        1 => any::<usize>().prop_map(Damage::Unclose),
        1 => Just(Damage::Mark),
    ]
}

impl ReferenceStateMachine for Oracle {
    type State = Oracle;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Oracle> {
        let history = vec![ConfigSnapshot::default(), first_snapshot()];
        let oracle = Oracle {
            history,
            held: 0,
            floor: 0,
            settled: false,
            served: 0,
            expected: Expected::Refused,
        };
        Just(oracle).boxed()
    }

    fn transitions(state: &Oracle) -> BoxedStrategy<Step> {
        let count = state.history.len();
        let held = state.held;
        let from = prop_oneof![4 => Just(held), 1 => 0..count];
        let near = held..count.min(held + 4);
        let to = prop_oneof![4 => near.clone(), 1 => 0..count];
        prop_oneof![
            4 => (0u8..5).prop_map(Step::Accept),
            6 => (prop_oneof![near, 0..count], any_damage())
                .prop_map(|(to, damage)| Step::Offer(to, damage)),
            8 => (from, to, any_damage())
                .prop_map(|(from, to, damage)| Step::OfferDelta(from, to, damage)),
            1 => Just(Step::Restart),
            1 => (0..count).prop_map(Step::ReportFloor),
            2 => Just(Step::Settle),
        ]
        .boxed()
    }

    fn preconditions(state: &Oracle, step: &Step) -> bool {
        let count = state.history.len();
        match step {
            Step::Offer(to, _) | Step::ReportFloor(to) => *to < count,
            Step::OfferDelta(from, to, _) => *from < count && *to < count,
            Step::Accept(_) | Step::Restart | Step::Settle => true,
        }
    }

    fn apply(mut state: Oracle, step: &Step) -> Oracle {
        match *step {
            Step::Accept(kind) => {
                let next = next_accepted(state.history.last().unwrap(), kind);
                state.history.push(next);
            }
            Step::Offer(to, damage) => state.expected = state.expect(to, None, damage),
            Step::OfferDelta(from, to, damage) => {
                state.expected = state.expect(to, Some(from), damage);
            }
            Step::Restart => (state.held, state.floor, state.settled) = (0, 0, false),
            Step::ReportFloor(floor) => state.floor = state.floor.max(floor),
            Step::Settle => {
                state.floor = state.floor.max(state.served);
                state.settled = true;
            }
        }
        if let Step::Offer(to, _) | Step::OfferDelta(_, to, _) = *step
            && state.expected == Expected::Applied
        {
            state.held = to;
        }
        if state.is_serving() {
            state.served = state.served.max(state.held);
        }
        state
    }
}

struct StateTest;

fn check_outcome(oracle: &Oracle, damage: Damage, outcome: Result<OfferOutcome, SnapshotError>) {
    let found = match &outcome {
        Ok(OfferOutcome::Applied) => Expected::Applied,
        Ok(OfferOutcome::Held) => Expected::Held,
        Ok(OfferOutcome::Older) => Expected::Older,
        Err(_) => Expected::Refused,
    };
    assert_eq!(found, oracle.expected, "{damage:?} {outcome:?}");
    let Err(error) = outcome else { return };
    let named = match damage {
        Damage::Truncate(_) => matches!(error, SnapshotError::Truncated),
        // A delta of another base, or another digest for the generation in force.
        _ if matches!(error, SnapshotError::WrongBase { .. }) => true,
        _ if matches!(error, SnapshotError::WrongDigest { .. }) => true,
        Damage::Unclose(_) => matches!(error, SnapshotError::Inconsistent(_)),
        Damage::Mark => matches!(error, SnapshotError::WrongGeneration { .. }),
        Damage::Flip(_) => true,
        Damage::None => false,
    };
    assert!(named, "{damage:?} is named {error:?}");
}

impl StateMachineTest for StateTest {
    type SystemUnderTest = ConfigState;
    type Reference = Oracle;

    fn init_test(_: &Oracle) -> ConfigState {
        ConfigState::new()
    }

    fn apply(mut state: ConfigState, oracle: &Oracle, step: Step) -> ConfigState {
        match step {
            Step::Accept(_) => {}
            Step::Offer(to, damage) => {
                let snapshot = oracle.offered(to, damage);
                let (bytes, mark) = arriving(snapshot.encode(), snapshot.mark(), damage);
                check_outcome(oracle, damage, state.offer(&bytes, &mark));
            }
            Step::OfferDelta(from, to, damage) => {
                let snapshot = oracle.offered(to, damage);
                let delta = snapshot.delta_from(&oracle.history[from]);
                let (bytes, mark) = arriving(delta.encode(), delta.result, damage);
                check_outcome(oracle, damage, state.offer_delta(&bytes, &mark));
            }
            Step::Restart => state = ConfigState::new(),
            Step::ReportFloor(floor) => state.raise_floor(floor as u64),
            Step::Settle => {
                state.raise_floor(oracle.served as u64);
                state.settle_floor();
            }
        }
        state
    }

    fn check_invariants(state: &ConfigState, oracle: &Oracle) {
        let expected = &oracle.history[oracle.held];
        let snapshot = state.snapshot();
        let table = state.table();
        assert_eq!(*snapshot, *expected, "the snapshot in force is whole");
        assert_eq!(state.mark(), expected.mark());
        assert_eq!(table.generation(), expected.generation);
        assert_eq!(snapshot.validate(), Ok(()));
        for route in expected.routes.values() {
            assert_eq!(table.find(&format!("{}/x?y", route.prefix)), Some(route));
            let version = table.pick(&route.service, RouteClass::Check, |_| false, 99);
            assert!(version.is_some());
        }
        assert_eq!(state.is_serving(), oracle.is_serving());
        let is_older = oracle.held < oracle.served;
        assert!(
            !(state.is_serving() && is_older),
            "served {}",
            oracle.served
        );
        for base in oracle.history.iter().rev().take(KEPT_SNAPSHOTS) {
            let Some(delta) = state.recent_delta(base.generation) else {
                continue;
            };
            assert_eq!(base.apply_delta(&delta).as_ref(), Ok(expected));
        }
    }
}

prop_state_machine! {
    #![proptest_config(fixed_config(0xc0f, 300))]

    #[test]
    fn configuration_only_rises_whole_and_closed(sequential 1..80 => StateTest);
}
