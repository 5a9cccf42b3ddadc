//! Numbers that only a damaged or foreign message has: they are passed over or refused, and nothing
//! overflows.

mod common;
mod support;

use std::time::Duration;
use std::time::SystemTime;

use proptest::prelude::*;

use coltsfootweir::evidence::EndpointEvidence;
use coltsfootweir::evidence::RouteCounts;
use coltsfootweir::evidence_pool::EvidencePool;
use coltsfootweir::member::MemberState;
use coltsfootweir::member::member_hash;
use coltsfootweir::record::RouteClass;
use coltsfootweir::schema::render_record;
use coltsfootweir::snapshot::ConfigSnapshot;
use coltsfootweir::snapshot::SnapshotError;
use coltsfootweir::verdict::evaluate_evidence;
use coltsfootweir::view::MemberView;

use common::fixed_config;
use common::records::first_snapshot;
use common::records::move_record;
use support::entry_of;

/// First second of the year 10000.
const END_OF_TIMES: Duration = Duration::from_secs(253_402_300_800);

fn any_number() -> impl Strategy<Value = u64> {
    prop_oneof![0..4_u64, any::<u64>(), u64::MAX - 2..=u64::MAX]
}

fn report(run: u64, calls: u64, slow: u64) -> EndpointEvidence {
    let mut counts = RouteCounts::new(RouteClass::Check);
    (counts.calls, counts.failures) = (calls, slow);
    counts.latency = [slow; 32];
    let mut evidence = EndpointEvidence::new("a".into(), run, "stalls".into(), "v2".into());
    evidence.routes.insert("shared".into(), counts);
    evidence
}

proptest! {
    #![proptest_config(fixed_config(0xb17e, 400))]

    #[test]
    fn a_member_that_is_told_dead_is_alive_by_its_own_word(
        told in proptest::collection::vec((any_number(), any_number(), any::<bool>()), 1..6),
    ) {
        let now = Duration::ZERO;
        let mut own = MemberView::new(entry_of(0, 1));
        let mut other = MemberView::new(entry_of(2, 1));
        other.merge(own.own(), now);
        for (incarnation, counter, is_row) in told {
            let mut dead = entry_of(0, incarnation);
            (dead.counter, dead.state) = (counter, MemberState::Dead);
            for view in [&mut own, &mut other] {
                if is_row {
                    view.merge_ended(member_hash(&dead.id), dead.rank(), now);
                } else {
                    view.merge(&dead, now);
                }
            }
            other.merge(own.own(), now);
            prop_assert_eq!(other.get(&dead.id), Some(own.own()));
            prop_assert_eq!(own.own().state, MemberState::Alive);
        }
    }

    #[test]
    fn counts_only_grow_whatever_is_reported(
        reports in proptest::collection::vec((0..3_u64, any_number(), any_number()), 1..12),
    ) {
        let mut pool = EvidencePool::new(&move_record("to-v2", "v1", "v2"));
        pool.add_report(report(0, 0, 0), Duration::ZERO);
        let mut calls = 0;
        for (run, new, slow) in reports {
            pool.add_report(report(run, new, slow), Duration::ZERO);
            prop_assert!(pool.view().new.calls() >= calls);
            calls = pool.view().new.calls();
            let _ = evaluate_evidence(&mut pool, Duration::ZERO);
        }
    }
}

#[test]
fn a_move_time_that_no_record_can_give_is_refused() {
    let mut snapshot = first_snapshot();
    let mut record = move_record("to-v2", "v1", "v2");
    for (done_by, is_taken) in [
        (END_OF_TIMES - Duration::from_secs(1), true),
        (END_OF_TIMES, false),
    ] {
        record.done_by = SystemTime::UNIX_EPOCH + done_by;
        snapshot.moves.insert(record.name.clone(), record.clone());
        match ConfigSnapshot::decode(&snapshot.encode(), &snapshot.mark()) {
            Ok(taken) => {
                let rendered: Vec<_> = taken.records().iter().map(render_record).collect();
                assert!(is_taken && !rendered.is_empty());
            }
            Err(error) => assert!(!is_taken && matches!(error, SnapshotError::Inconsistent(_))),
        }
    }
}
