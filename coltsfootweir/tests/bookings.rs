//! State machine test of booking ledgers: no booking runs twice, with several daemons, clocks that differ
//! within the margin, faults of the claim table and removal of old claims.

mod booking_world;
mod common;

use std::time::Duration;
use std::time::SystemTime;

use proptest::prelude::*;
use proptest_state_machine::prop_state_machine;

use coltsfootweir::booking::BookingLedger;
use coltsfootweir::booking_decision::BookingDecision;
use coltsfootweir::booking_key::BookingKey;
use coltsfootweir::clock::ClockReading;
use coltsfootweir::outcome::DoubtReason;
use coltsfootweir::outcome::RefusalReason;

use booking_world::KEY_HOURS;
use booking_world::MEMBERS;
use booking_world::RunEnd;
use booking_world::Step;
use booking_world::World;
use booking_world::WriteFate;
use booking_world::member;
use common::fixed_config;
use common::step_test::StepTest;
use common::step_test::StepWorld;
use common::timed_keys::at_hour;
use common::timed_keys::timed_key;

impl StepWorld for World {
    type Step = Step;

    fn start() -> World {
        World::new()
    }

    fn steps() -> BoxedStrategy<Step> {
        let index = 0..MEMBERS;
        let pick = 0..64_usize;
        let fate = prop_oneof![
            5 => Just(WriteFate::Answered),
            1 => Just(WriteFate::Outage),
            1 => Just(WriteFate::AnswerLost),
            1 => Just(WriteFate::AppliedLate),
        ];
        let end = prop_oneof![
            3 => Just(RunEnd::Answer),
            1 => Just(RunEnd::NotRun),
            1 => Just(RunEnd::Doubt),
        ];
        prop_oneof![
            2 => index.clone().prop_map(Step::Mint),
            8 => (index.clone(), 0..9_usize, 0..2_u64)
                .prop_map(|(via, key, request)| Step::Send { via, key, request }),
            6 => (index.clone(), 0..KEY_HOURS.len(), 0..2_u64)
                .prop_map(|(via, key, request)| Step::SendTimed { via, key, request }),
            1 => index.clone().prop_map(Step::Remove),
            1 => (1..30_u64).prop_map(Step::PassHours),
            6 => (pick.clone(), fate).prop_map(|(attempt, fate)| Step::Write { attempt, fate }),
            5 => pick.clone().prop_map(|attempt| Step::HandOver { attempt }),
            1 => pick.clone().prop_map(|attempt| Step::Abandon { attempt }),
            4 => (pick.clone(), end).prop_map(|(attempt, end)| Step::End { attempt, end }),
            1 => index.clone().prop_map(Step::Crash),
            1 => index.prop_map(Step::Replace),
            1 => pick.prop_map(Step::ApplyLateWrite),
            1 => (1..20_u64).prop_map(Step::Tick),
        ]
        .boxed()
    }

    fn apply_step(&mut self, step: Step) {
        self.step(step);
    }

    fn check_step(&self) {
        self.check_bounds();
    }
}

prop_state_machine! {
    #![proptest_config(fixed_config(0x0b00, 600))]

    #[test]
    fn bookings_run_at_most_once(sequential 20..160 => StepTest<World>);
}

const CLOCK: ClockReading = ClockReading {
    now: Duration::ZERO,
    wall: SystemTime::UNIX_EPOCH,
};

/// A claim that was written although its answer was lost must not prevent the booking from running.
#[test]
fn claim_with_a_lost_answer_runs_on_repeat() {
    let mut ledger = BookingLedger::new(member(0), 1);
    let key = BookingKey::parse("order-7").unwrap();
    assert!(!ledger.has_entry(&key));
    let BookingDecision::Claim(row) = ledger.begin(&key, 1, CLOCK) else {
        panic!("no claim");
    };
    let refusal = BookingDecision::NotRun(RefusalReason::StoreUnavailable);
    assert_eq!(ledger.on_claim_unknown(&key, CLOCK.wall), refusal);
    assert!(ledger.has_entry(&key));
    let repeat = ledger.begin(&key, 1, CLOCK);
    assert!(matches!(repeat, BookingDecision::Claim(_)));
    assert_eq!(
        ledger.on_claim_taken(&key, &row, CLOCK.wall),
        BookingDecision::Run
    );
    assert!(ledger.mark_running(&key));
}

/// The claim of an expired key may have been removed, so the booking must not be reported as not run.
#[test]
fn expired_key_without_a_claim_is_in_doubt_and_one_from_the_future_was_not_run() {
    let mut ledger = BookingLedger::new(member(0), 1);
    let clock = ClockReading {
        wall: at_hour(100),
        ..CLOCK
    };
    let expired = BookingDecision::InDoubt(DoubtReason::KeyExpired);
    let early = BookingDecision::NotRun(RefusalReason::KeyFromFuture);
    for (hour, expected) in [(75, &expired), (102, &early)] {
        let key = BookingKey::parse(&timed_key(at_hour(hour), 1)).unwrap();
        assert_eq!(ledger.begin(&key, 1, clock), BookingDecision::ReadClaim);
        assert_eq!(ledger.on_claim_missing(&key, clock.wall), *expected);
    }
}

/// A claim that was delayed until an earlier claim may have been removed must not run.
#[test]
fn claim_written_after_its_key_expired_is_in_doubt() {
    let mut ledger = BookingLedger::new(member(0), 1);
    let clock = ClockReading {
        wall: at_hour(1),
        ..CLOCK
    };
    let key = BookingKey::parse(&timed_key(at_hour(0), 1)).unwrap();
    let BookingDecision::Claim(_) = ledger.begin(&key, 1, clock) else {
        panic!("no claim");
    };
    let decision = ledger.on_claimed(&key, at_hour(25));
    assert_eq!(decision, BookingDecision::InDoubt(DoubtReason::KeyExpired));
    assert!(!ledger.mark_running(&key));
}

#[test]
fn a_booking_is_handed_over_once_for_each_admission() {
    let mut ledger = BookingLedger::new("10.0.0.1:7000".into(), 1);
    let key = ledger.mint();
    assert!(!ledger.mark_running(&key), "attempt was never begun");
    assert_eq!(ledger.begin(&key, 1, CLOCK), BookingDecision::Run);
    ledger.mark_not_run(&key);
    assert!(!ledger.mark_running(&key), "attempt was abandoned");
    assert_eq!(ledger.begin(&key, 1, CLOCK), BookingDecision::Run);
    assert!(ledger.mark_running(&key));
    assert!(!ledger.mark_running(&key), "second hand-over");
    ledger.mark_in_doubt(&key, DoubtReason::Timeout);
    assert!(!ledger.mark_running(&key), "booking is in doubt");
}
