//! Hand-over of the holder slots of daemons that have lost access to the store.

use std::time::Duration;

use coltsfootweir::sidecar::platform_adapter::StoreFault;
use coltsfootweir::sidecar::rate_limits::limit_lease::LEASE_TIME;
use coltsfootweir::sidecar::rate_limits::limit_lease::LeaseCandidate;
use coltsfootweir::sidecar::rate_limits::limit_lease::LeaseRow;
use coltsfootweir::sidecar::rate_limits::limit_lease::LeaseStep;
use coltsfootweir::sidecar::rate_limits::limit_lease::LimitLease;
use coltsfootweir::sidecar::store_era::store_version::StoreVersion;

/// Version of a store without eras.
fn version(row: u64) -> StoreVersion {
    StoreVersion::new(0, row).expect("in range")
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn row(holder: &str, run: u64) -> LeaseRow {
    LeaseRow {
        holder: holder.into(),
        run,
        count: 1,
        is_released: false,
    }
}

const HOLDER: LeaseCandidate = LeaseCandidate {
    rank: Some(0),
    has_others: true,
    is_leaving: false,
    can_hand_over: false,
    has_lost_store: false,
};

const LOST: LeaseCandidate = LeaseCandidate {
    rank: None,
    has_others: true,
    is_leaving: false,
    can_hand_over: true,
    has_lost_store: true,
};

/// Run of the daemon under test.
const RUN: u64 = 5;

/// A daemon that has held slot 0 with version 10 since the time 0.
fn holder() -> LimitLease {
    let mut lease = LimitLease::new("vm-1".into(), RUN, ms(0));
    lease.on_read(0, version(0), None, ms(0));
    lease.on_read(1, version(3), Some(row("vm-2", 1)), ms(0));
    let Some(LeaseStep::Write(0, found, own)) = lease.next_step(HOLDER, ms(0)) else {
        panic!("a free slot is taken");
    };
    assert_eq!(found, version(0));
    assert!(lease.on_written(0, own, Ok(version(10)), ms(0), ms(0)));
    lease
}

/// Steps a daemon whose calls to the store are refused; returns the first hand-over.
fn step_refused(
    lease: &mut LimitLease,
    candidate: LeaseCandidate,
    millis: std::ops::Range<u64>,
) -> Option<(u64, usize, StoreVersion)> {
    for at in millis.step_by(100) {
        match lease.next_step(candidate, ms(at)) {
            Some(LeaseStep::HandOver(slot, version)) => return Some((at, slot, version)),
            Some(LeaseStep::Write(slot, _, row)) => {
                let refused = Err(StoreFault::Refused(503));
                lease.on_written(slot, row, refused, ms(at), ms(at));
            }
            Some(LeaseStep::Read) => lease.on_read_failed(),
            None => {}
        }
    }
    None
}

/// Guards against a holder that gives up its slot while no other daemon can take it.
#[test]
fn holder_without_a_candidate_that_reaches_the_store_lends_until_its_lease_ends() {
    let mut lease = holder();
    assert_eq!(step_refused(&mut lease, LOST, 100..5_900), None);
    assert!(lease.is_cut_off(ms(5_900)));
    assert!(lease.may_lend(0, LEASE_TIME - ms(1)));
    // Reports that are old tell nothing about the candidate, nor do those of an older version.
    let mut lease = holder();
    lease.on_reported(0, RUN, version(10), ms(100));
    assert_eq!(step_refused(&mut lease, LOST, 100..3_000), None);
    lease.on_reported(0, RUN, version(9), ms(3_000));
    assert_eq!(step_refused(&mut lease, LOST, 3_000..4_000), None);
    assert!(lease.may_lend(0, ms(4_000)));
}

/// Guards against a holder that lends after it has offered its slot, and against one that hands over
/// a version other than the reported one.
#[test]
fn cut_off_holder_stops_lending_and_hands_over_the_reported_version() {
    let mut lease = holder();
    assert_eq!(step_refused(&mut lease, LOST, 100..3_000), None);
    lease.on_reported(0, RUN, version(10), ms(3_000));
    assert_eq!(
        step_refused(&mut lease, LOST, 3_000..6_000),
        Some((3_000, 0, version(10)))
    );
    assert!(!lease.may_lend(0, ms(3_000)));
    // One frame for each report.
    assert_eq!(step_refused(&mut lease, LOST, 3_100..4_000), None);
    // A renewal whose answer was lost has taken effect: the slot is handed over at that version too.
    lease.on_reported(0, RUN, version(11), ms(4_000));
    assert_eq!(
        step_refused(&mut lease, LOST, 4_000..5_000),
        Some((4_000, 0, version(11)))
    );
}

/// Guards against an earlier run that hands over the slot of a later one, which lends.
#[test]
fn slot_of_a_later_run_is_not_handed_over() {
    let mut lease = LimitLease::new("vm-1".into(), RUN, ms(0));
    lease.on_reported(0, RUN + 1, version(10), ms(1_000));
    assert_eq!(step_refused(&mut lease, LOST, 1_000..2_000), None);
    // That of an earlier one may be, but not while tokens of that run are valid.
    lease.on_reported(0, RUN - 1, version(11), ms(2_000));
    assert_eq!(
        step_refused(&mut lease, LOST, 2_000..3_000),
        Some((2_000, 0, version(11)))
    );
    let mut lease = LimitLease::new("vm-1".into(), RUN, ms(0));
    lease.on_reported(0, RUN - 1, version(11), ms(0));
    assert_eq!(
        step_refused(&mut lease, LOST, 0..2_000),
        Some((300, 0, version(11)))
    );
}

/// Guards against slots that move back and forth because a daemon takes the store for lost while its
/// renewals are slow, and because a VM was frozen.
#[test]
fn holder_with_slow_renewals_keeps_its_slot() {
    let mut lease = holder();
    let mut number = 10;
    for at in (100..20_000).step_by(100) {
        lease.on_reported(0, RUN, version(number), ms(at));
        match lease.next_step(LOST, ms(at)) {
            None => {}
            Some(LeaseStep::Write(0, _, row)) => {
                number += 1;
                lease.on_written(0, row, Ok(version(number)), ms(at), ms(at + 700));
            }
            step => panic!("{step:?} at {at}"),
        }
    }
    assert!(lease.may_lend(0, ms(20_000)));
    // The daemon was frozen for four seconds.
    lease.on_reported(0, RUN, version(number), ms(24_000));
    let step = lease.next_step(LOST, ms(24_000));
    assert!(matches!(step, Some(LeaseStep::Write(0, ..))), "{step:?}");
}

/// A daemon that may take slot 0 and has read the row of `vm-1` at version 10.
fn candidate() -> LimitLease {
    let mut lease = LimitLease::new("vm-3".into(), 1, ms(0));
    assert_eq!(lease.next_step(HOLDER, ms(0)), Some(LeaseStep::Read));
    lease.on_read(0, version(10), Some(row("vm-1", RUN)), ms(0));
    lease.on_read(1, version(3), Some(row("vm-2", 1)), ms(0));
    lease
}

/// Guards against a slot that is taken because of a frame about an earlier lease or of another daemon.
#[test]
fn candidate_takes_a_slot_only_at_the_version_that_its_holder_has_handed_over() {
    let mut lease = candidate();
    lease.on_offered(&"vm-1".into(), 0, version(9));
    lease.on_offered(&"vm-2".into(), 0, version(10));
    lease.on_offered(&"vm-1".into(), 7, version(10));
    assert_eq!(lease.next_step(HOLDER, ms(200)), None);
    let mut lease = candidate();
    lease.on_offered(&"vm-1".into(), 0, version(10));
    let step = lease.next_step(HOLDER, ms(200));
    let Some(LeaseStep::Write(0, found, own)) = step else {
        panic!("{step:?}");
    };
    assert_eq!(found, version(10));
    assert!(!lease.may_lend(0, ms(200)));
    // The old holder's write came first; its row counts as any lease.
    lease.on_written(0, own, Err(StoreFault::Condition), ms(200), ms(210));
    assert_eq!(lease.next_step(HOLDER, ms(400)), Some(LeaseStep::Read));
    lease.on_read(0, version(11), Some(row("vm-1", RUN)), ms(400));
    lease.on_offered(&"vm-1".into(), 0, version(10));
    for at in (400..6_800).step_by(200) {
        let step = lease.next_step(HOLDER, ms(at));
        assert!(
            !matches!(step, Some(LeaseStep::Write(..))),
            "{step:?} at {at}"
        );
    }
}

/// Guards against a candidate that has not read the version yet and waits for its next read.
#[test]
fn offer_of_a_version_that_was_not_read_is_followed_by_a_read() {
    let mut lease = candidate();
    lease.on_offered(&"vm-1".into(), 0, version(12));
    assert_eq!(lease.next_step(HOLDER, ms(200)), Some(LeaseStep::Read));
    lease.on_read(0, version(12), Some(row("vm-1", RUN)), ms(210));
    let step = lease.next_step(HOLDER, ms(220));
    assert!(
        matches!(step, Some(LeaseStep::Write(0, found, _)) if found == version(12)),
        "{step:?}"
    );
}

/// A daemon that has handed over slot 0 at version 10 and has read the row again, since 3.2 s.
fn former_holder() -> LimitLease {
    let mut lease = holder();
    step_refused(&mut lease, LOST, 100..3_000);
    lease.on_reported(0, RUN, version(10), ms(3_000));
    let handed_over = step_refused(&mut lease, LOST, 3_000..3_100);
    assert_eq!(handed_over, Some((3_000, 0, version(10))));
    assert_eq!(lease.next_step(HOLDER, ms(3_200)), Some(LeaseStep::Read));
    lease.on_read(0, version(10), Some(row("vm-1", RUN)), ms(3_200));
    assert_eq!(lease.next_step(HOLDER, ms(3_300)), None);
    lease
}

/// Guards against a slot that goes back to its old holder when it regains the store.
#[test]
fn old_holder_does_not_take_the_slot_back_from_a_new_holder() {
    let mut lease = former_holder();
    for (number, at) in (20..80).zip((4_300..).step_by(1_000)) {
        lease.on_read(0, version(number), Some(row("vm-3", 1)), ms(at));
        lease.on_read(1, version(number + 100), Some(row("vm-2", 1)), ms(at));
        let step = lease.next_step(HOLDER, ms(at));
        assert!(
            !matches!(step, Some(LeaseStep::Write(..))),
            "{step:?} at {at}"
        );
    }
}

/// Guards against a slot that nobody takes after its hand-over although the old holder could.
#[test]
fn old_holder_takes_a_slot_that_nobody_has_taken() {
    let mut lease = former_holder();
    let step = lease.next_step(HOLDER, ms(5_100));
    assert!(
        matches!(step, Some(LeaseStep::Write(0, found, _)) if found == version(10)),
        "{step:?}"
    );
    assert!(!lease.may_lend(0, ms(5_100)));
}

/// Guards against a region without a holder for 6.5 s after all its VMs lost power: the row names an earlier
/// run of a daemon that is no longer a candidate.
#[test]
fn restarted_daemon_hands_over_the_slot_of_its_earlier_run() {
    let restarted = LeaseCandidate {
        has_lost_store: false,
        ..LOST
    };
    let mut lease = LimitLease::new("vm-1".into(), RUN, ms(0));
    lease.on_reported(0, RUN - 1, version(10), ms(100));
    assert_eq!(lease.next_step(restarted, ms(299)), None);
    let step = lease.next_step(restarted, ms(300));
    assert_eq!(step, Some(LeaseStep::HandOver(0, version(10))));
}

/// Guards against a slot taken from a daemon that lends: after its clock was set back, others know of an
/// ended run with a higher number than that of the present one.
#[test]
fn holder_that_is_taken_for_restarted_keeps_its_slot() {
    let mut lease = holder();
    let reachable = LeaseCandidate {
        has_lost_store: false,
        ..LOST
    };
    lease.on_reported(0, RUN, version(10), ms(400));
    let step = lease.next_step(reachable, ms(400));
    assert!(!matches!(step, Some(LeaseStep::HandOver(..))), "{step:?}");
    assert!(lease.may_lend(0, ms(400)));
    // Nor does it hand over the slot of an ended run that seems to be a later one.
    let mut lease = LimitLease::new("vm-1".into(), RUN, ms(0));
    lease.on_reported(0, RUN + 1, version(10), ms(1_000));
    assert_eq!(lease.next_step(reachable, ms(1_000)), None);
}
