//! Attribution of crashes to a version: crashes under one poison request are not its fault, but
//! crashes under a request that the old version completes are.

mod common;

use std::time::Duration;

use coltsfootweir::evidence::EvidenceRecorder;
use coltsfootweir::evidence::SURVIVED_KEPT;
use coltsfootweir::evidence_pool::EvidencePool;
use coltsfootweir::fact::CrashFact;
use coltsfootweir::ids::Fingerprint;
use coltsfootweir::poison::POISON_TIMEOUT;
use coltsfootweir::poison::PoisonTable;
use coltsfootweir::verdict::Verdict;
use coltsfootweir::verdict::evaluate_evidence;

use common::evidence::recorder;
use common::evidence::run_checks;
use common::records::move_record;

/// Fingerprint of a request that was running at a crash.
const REQUEST: Fingerprint = 7;

/// Number of endpoints of each version.
const ENDPOINTS: usize = 2;

fn recorders_with_calls(version: &str) -> Vec<EvidenceRecorder> {
    let mut recorders = Vec::new();
    for number in 0..ENDPOINTS {
        let mut recorder = recorder(&format!("{version}-{number}"), 1, version);
        run_checks(&mut recorder, "free", 100, false, Duration::from_millis(5));
        recorders.push(recorder);
    }
    recorders
}

/// Returns the verdict on a new version whose endpoints each crashed once while `REQUEST` ran.
fn verdict_after_crashes(old_survived: &[Fingerprint], old_crashes: bool) -> Verdict {
    let old_crash = old_crashes.then_some(REQUEST);
    verdict_after(old_survived, old_crash, [REQUEST; ENDPOINTS])
}

/// Returns the verdict on a new version whose endpoints each crashed once during one of these requests.
fn verdict_after(
    old_survived: &[Fingerprint],
    old_crash: Option<Fingerprint>,
    new_crashes: [Fingerprint; ENDPOINTS],
) -> Verdict {
    let (mut old, mut new) = (recorders_with_calls("v1"), recorders_with_calls("v2"));
    let mut pool = EvidencePool::new(&move_record("tried", "v1", "v2"));
    for second in 0..2 {
        for recorder in old.iter().chain(&new) {
            let mut report = recorder.report();
            if *report.version == *"v1" {
                report.survived = old_survived.to_vec();
            }
            pool.add_report(report, Duration::from_secs(second));
        }
        for (recorder, request) in new.iter_mut().zip(new_crashes) {
            recorder.on_crash(vec![request]);
        }
        if let Some(request) = old_crash {
            old[0].on_crash(vec![request]);
        }
    }
    evaluate_evidence(&mut pool, Duration::from_secs(2))
}

#[test]
fn request_survives_for_a_while_after_it_ran_to_an_end() {
    let mut table = PoisonTable::new();
    let fact = CrashFact {
        fingerprint: REQUEST,
        member: "v2-0".into(),
        incarnation: 1,
        number: 1,
    };
    table.on_crash(&fact, Duration::ZERO);
    assert!(table.survived(SURVIVED_KEPT, Duration::ZERO).is_empty());
    table.on_completed(REQUEST, Duration::ZERO);
    table.on_completed(REQUEST + 1, Duration::ZERO);
    assert_eq!(table.survived(SURVIVED_KEPT, Duration::ZERO), [REQUEST]);
    assert!(table.survived(SURVIVED_KEPT, POISON_TIMEOUT).is_empty());
}

#[test]
fn crashes_under_a_request_that_the_old_version_runs_condemn() {
    let verdict = verdict_after_crashes(&[REQUEST], false);
    assert!(matches!(verdict, Verdict::Condemn(_)), "{verdict:?}");
}

#[test]
fn crashes_under_one_request_that_nobody_ran_to_an_end_condemn_nothing() {
    let verdict = verdict_after_crashes(&[], false);
    assert!(!matches!(verdict, Verdict::Condemn(_)), "{verdict:?}");
}

#[test]
fn request_that_crashes_both_versions_condemns_nothing() {
    let verdict = verdict_after_crashes(&[REQUEST], true);
    assert!(!matches!(verdict, Verdict::Condemn(_)), "{verdict:?}");
}

#[test]
fn crashes_that_the_old_version_has_as_well_condemn_nothing() {
    let alone = verdict_after(&[], None, [REQUEST, REQUEST + 1]);
    assert!(matches!(alone, Verdict::Condemn(_)), "{alone:?}");
    let beside = verdict_after(&[], Some(REQUEST + 2), [REQUEST, REQUEST + 1]);
    assert!(!matches!(beside, Verdict::Condemn(_)), "{beside:?}");
}
