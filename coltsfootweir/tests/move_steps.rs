//! Tests which steps still apply to a move whose state has changed since the decision.

mod common;

use proptest::prelude::*;

use coltsfootweir::mover::MoveStep;
use coltsfootweir::record::MovePhase;
use coltsfootweir::record::MoveRecord;
use coltsfootweir::record::TrafficShare;

use common::fixed_config;
use common::records::move_record;

fn any_phase() -> impl Strategy<Value = MovePhase> {
    prop::sample::select(vec![
        MovePhase::Waiting,
        MovePhase::Climbing,
        MovePhase::Settling,
        MovePhase::Done,
        MovePhase::TakenBack,
    ])
}

fn any_share() -> impl Strategy<Value = TrafficShare> {
    (0..3_u8, 0..3_u8).prop_map(|(checks, bookings)| TrafficShare { checks, bookings })
}

fn record(phase: MovePhase, share: TrafficShare) -> MoveRecord {
    MoveRecord {
        phase,
        share,
        ..move_record("spring", "v1", "v2")
    }
}

proptest! {
    #![proptest_config(fixed_config(0x57e9, 2000))]

    #[test]
    fn ended_move_takes_no_step_and_others_only_their_own(
        newest in (any_phase(), any_share()),
        from in (any_phase(), any_share()),
        to in (any_phase(), any_share()),
    ) {
        let newest = record(newest.0, newest.1);
        let step = MoveStep {
            move_name: newest.name.clone(),
            from_phase: from.0,
            from_share: from.1,
            phase: to.0,
            share: to.1,
            reason: "".into(),
        };
        let is_current = (newest.phase, newest.share) == from;
        let may_apply = match newest.phase {
            MovePhase::Done | MovePhase::TakenBack => false,
            _ => is_current || to.0 == MovePhase::TakenBack,
        };
        prop_assert_eq!(step.apply(&newest).is_some(), may_apply);
    }
}
