//! Property tests: a version with little traffic is condemned soon after a few failed calls, also by the
//! candidates of a region that is partitioned from the other one.

mod common;

use std::time::Duration;

use proptest::prelude::*;

use coltsfootweir::evidence::EvidenceRecorder;
use coltsfootweir::evidence_alert::AlertWatch;
use coltsfootweir::evidence_pool::EvidencePool;
use coltsfootweir::poll_pace::PollInput;
use coltsfootweir::poll_pace::PollPace;
use coltsfootweir::record::RouteClass;
use coltsfootweir::verdict::Verdict;
use coltsfootweir::verdict::evaluate_evidence;

use common::fixed_config;
use common::records::move_record;

/// Failed calls of each reachable endpoint that are sufficient evidence, at a share of 1 in 20.
const SHOWN: u64 = 3;

/// Failed calls that are sufficient evidence if only one endpoint is reachable.
const SHOWN_ALONE: u64 = 6;

/// Maximum seconds from sufficient evidence to the condemnation.
const LIMIT: u64 = 12;

/// Length of a run in seconds.
const RUN: u64 = 400;

/// Endpoints of both versions in the local (near) and the remote (far) region, and one candidate of the
/// local region.
struct CutRegion {
    pool: EvidencePool,
    pace: PollPace,
    watches: Vec<AlertWatch>,
    near: Vec<EvidenceRecorder>,
    far: Vec<EvidenceRecorder>,
    is_cut: bool,
    verdict: Verdict,
}

fn recorders(region: &str, new: usize) -> Vec<EvidenceRecorder> {
    let versions = std::iter::once("v1").chain(std::iter::repeat_n("v2", new));
    let mut recorders = Vec::new();
    for (index, version) in versions.enumerate() {
        let mut recorder = EvidenceRecorder::new(format!("{region}-{index}").into(), 1);
        recorder.set_version("stalls".into(), version.into());
        recorders.push(recorder);
    }
    recorders
}

fn run_call(recorder: &mut EvidenceRecorder, failed: bool) {
    let work = Duration::from_millis(6);
    recorder.on_call(&"free".into(), RouteClass::Check, failed, work);
}

impl CutRegion {
    fn new(endpoints: usize) -> CutRegion {
        CutRegion {
            pool: EvidencePool::new(&move_record("spring", "v1", "v2")),
            pace: PollPace::new(),
            watches: vec![AlertWatch::new(); endpoints],
            near: recorders("near", endpoints),
            far: recorders("far", endpoints),
            is_cut: false,
            verdict: Verdict::Unsure,
        }
    }

    /// Runs the alert checks of the daemons and one tick of the candidate, at the end of a second.
    fn tick(&mut self, second: u64) {
        let now = Duration::from_secs(second);
        for (watch, recorder) in self.watches.iter_mut().zip(&self.near[1..]) {
            if watch.check(recorder.report(), now) {
                self.pace.alert(now);
            }
        }
        self.verdict = evaluate_evidence(&mut self.pool, now);
        let input = PollInput {
            now,
            is_holder: false,
            is_suspect: matches!(self.verdict, Verdict::Suspect(_)),
            faults: self.pool.view().new.faults(),
        };
        if !self.pace.poll(&input) {
            return;
        }
        let far = self.far.iter().filter(|_| !self.is_cut);
        for recorder in self.near.iter().chain(far) {
            self.pool.add_report(recorder.report(), now);
        }
    }

    /// Runs successful calls in both regions up to the partition at second `cut`, then calls in the local
    /// region only, where every `gap` seconds a call of the new version fails. Returns the seconds from
    /// sufficient evidence to the condemnation.
    fn run(&mut self, cut: u64, gap: u64, choices: &[usize]) -> Option<u64> {
        let endpoints = self.watches.len();
        let shown = if endpoints == 1 { SHOWN_ALONE } else { SHOWN };
        let mut failures = vec![0; endpoints];
        let mut shown_at = None;
        for second in 0..RUN {
            self.is_cut = second >= cut;
            for _ in 0..20 {
                run_call(&mut self.near[0], false);
            }
            let chosen = choices[second as usize % choices.len()] % endpoints;
            if !self.is_cut {
                run_call(&mut self.far[0], false);
                run_call(&mut self.far[1 + chosen], false);
            }
            if second % gap == 0 {
                run_call(&mut self.near[1 + chosen], self.is_cut);
                failures[chosen] += u64::from(self.is_cut);
            }
            self.tick(second);
            if shown_at.is_none() && failures.iter().all(|count| *count >= shown) {
                shown_at = Some(second);
            }
            if matches!(self.verdict, Verdict::Condemn(_)) {
                return Some(second - shown_at.unwrap_or(second));
            }
        }
        None
    }
}

proptest! {
    #![proptest_config(fixed_config(20_261_205, 96))]

    #[test]
    fn few_failed_calls_at_two_endpoints_condemn_in_bounded_time(
        cut in 1..90_u64,
        gap in 1..9_u64,
        choices in proptest::collection::vec(0..2_usize, 7..40),
    ) {
        prop_assume!(choices.contains(&0) && choices.contains(&1));
        let took = CutRegion::new(2).run(cut, gap, &choices);
        prop_assert!(took.is_some_and(|took| took <= LIMIT), "{took:?}");
    }

    #[test]
    fn few_failed_calls_at_the_only_endpoint_in_reach_condemn_in_bounded_time(
        cut in 1..90_u64,
        gap in 1..9_u64,
    ) {
        let took = CutRegion::new(1).run(cut, gap, &[0]);
        let silence = 20;
        prop_assert!(took.is_some_and(|took| took <= LIMIT + silence), "{took:?}");
    }
}

#[test]
fn one_bad_endpoint_that_falls_silent_condemns_nothing() {
    let mut region = CutRegion::new(2);
    for second in 0..120 {
        let now = Duration::from_secs(second);
        for (index, recorder) in region.near.iter_mut().enumerate() {
            let is_bad = index == 1;
            if is_bad && second >= 40 {
                continue;
            }
            (0..3).for_each(|_| run_call(recorder, is_bad));
            region.pool.add_report(recorder.report(), now);
        }
        let verdict = evaluate_evidence(&mut region.pool, now);
        assert!(!matches!(verdict, Verdict::Condemn(_)), "{verdict:?}");
    }
}
