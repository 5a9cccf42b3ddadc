//! A generated move: calls of two versions, the verdict each second and the share that follows.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use coltsfootweir::evidence::EvidenceRecorder;
use coltsfootweir::evidence_pool::EvidencePool;
use coltsfootweir::ids::Fingerprint;
use coltsfootweir::pace::MovePace;
use coltsfootweir::pace::PaceAdvice;
use coltsfootweir::pace::PaceInput;
use coltsfootweir::pace::PaceLimits;
use coltsfootweir::pace::StepCalls;
use coltsfootweir::record::MovePhase;
use coltsfootweir::record::RouteClass;
use coltsfootweir::record::TrafficShare;
use coltsfootweir::verdict::Verdict;
use coltsfootweir::verdict::evaluate_evidence;

use crate::common::evidence::recorders;
use crate::common::evidence::run_checks;
use crate::common::records::move_record;

/// Seconds until a changed share is in force everywhere.
const CONVERGENCE: usize = 2;

/// Seconds in which both versions serve their standing shares before the move.
const LEAD_IN: u64 = 10;

/// Runs of each trial.
const RUNS: u64 = 30;

/// Share of the polls that stay without an answer.
const LOST_POLLS: f64 = 0.05;

/// One call as the generated fault sees it.
pub struct CallSite {
    pub second: u64,
    pub is_new: bool,
    pub endpoint: usize,
    pub route: usize,
    pub share: TrafficShare,
}

/// How a call ended.
pub struct CallEnd {
    pub failed: bool,
    pub latency_factor: f64,
}

pub const WELL: CallEnd = CallEnd {
    failed: false,
    latency_factor: 1.0,
};

/// A crash that happens in a second at an endpoint of one version.
pub struct PlannedCrash {
    pub second: u64,
    pub is_new: bool,
    pub endpoint: usize,
    pub running: Vec<Fingerprint>,
}

/// How calls end.
pub type CallFault = Box<dyn Fn(&CallSite, &mut ChaCha8Rng) -> CallEnd>;

/// Generated move.
pub struct MoveTrial {
    pub calls_per_second: f64,
    /// Class, weight and median latency in milliseconds of each route.
    pub routes: Vec<(RouteClass, f64, f64)>,
    pub endpoints: (usize, usize),
    pub base_failure: f64,
    pub allowed: Duration,
    pub fault: CallFault,
    pub crashes: Vec<PlannedCrash>,
    /// Whether reports of the old version arrive a second late.
    pub late_old: bool,
}

/// What a trial came to.
#[derive(Debug, Default)]
pub struct TrialResult {
    pub condemned: Option<(u64, String)>,
    pub done_at: Option<u64>,
    pub bookings: u64,
    pub harmed: u64,
}

const ROUTES: [(RouteClass, f64, f64); 3] = [
    (RouteClass::Check, 0.5, 5.0),
    (RouteClass::Check, 0.3, 12.0),
    (RouteClass::Booking, 0.2, 30.0),
];

impl Default for MoveTrial {
    fn default() -> Self {
        MoveTrial {
            calls_per_second: 60.0,
            routes: ROUTES.to_vec(),
            endpoints: (3, 3),
            base_failure: 0.005,
            allowed: Duration::from_secs(120),
            fault: Box::new(|_, _| WELL),
            crashes: Vec::new(),
            late_old: false,
        }
    }
}

impl MoveTrial {
    /// Runs the move to its end, or to twice the time allowed.
    pub fn run(&self, seed: u64) -> TrialResult {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut recorders = recorders(self.endpoints.0, self.endpoints.1);
        let record = move_record("spring", "v1", "v2");
        let mut pool = EvidencePool::new(&record);
        let pace = MovePace::new(PaceLimits::default());
        let (mut phase, mut share) = (record.phase, record.share);
        let mut recent = VecDeque::from(vec![share; CONVERGENCE]);
        let (mut since, mut mark) = (0, BTreeMap::new());
        let mut result = TrialResult::default();
        let end = LEAD_IN + 2 * self.allowed.as_secs();
        for second in 0..end {
            recent.push_back(share);
            let served = recent.pop_front().unwrap_or(share);
            let before: Vec<_> = recorders.iter().map(EvidenceRecorder::report).collect();
            self.serve(second, served, &mut recorders, &mut result, &mut rng);
            // Endpoints answer a poll at slightly different times.
            let now = Duration::from_millis(second * 1000 + 950);
            for (index, recorder) in recorders.iter().enumerate() {
                if rng.random_bool(LOST_POLLS) {
                    continue;
                }
                let is_late = self.late_old && index < self.endpoints.0;
                let report = if is_late {
                    before[index].clone()
                } else {
                    recorder.report()
                };
                pool.add_report(report, now + Duration::from_millis(10 * index as u64));
            }
            let verdict = evaluate_evidence(&mut pool, now + Duration::from_millis(900));
            if let Verdict::Condemn(finding) = &verdict {
                let text = format!("{}: {}", finding.rule, finding.summary);
                result.condemned = Some((second.saturating_sub(LEAD_IN), text));
                return result;
            }
            if second < LEAD_IN {
                continue;
            }
            let left = (LEAD_IN + self.allowed.as_secs()).saturating_sub(second);
            let input = PaceInput {
                phase,
                share,
                time_at_step: Duration::from_secs(second - since),
                time_left: Duration::from_secs(left),
                calls: StepCalls::since(pool.view(), &mark, share),
                has_endpoints: true,
                verdict: &verdict,
            };
            let PaceAdvice::Step(next_phase, next) = pace.next(&input) else {
                continue;
            };
            if next_phase == MovePhase::Done {
                result.done_at = Some(second - LEAD_IN);
                return result;
            }
            (phase, share, since) = (next_phase, next, second);
            mark = pool.view().new.route_calls();
        }
        result
    }

    fn serve(
        &self,
        second: u64,
        share: TrafficShare,
        recorders: &mut [EvidenceRecorder],
        result: &mut TrialResult,
        rng: &mut ChaCha8Rng,
    ) {
        let calls = (2.0 * self.calls_per_second * rng.random::<f64>()).round() as u64;
        for _ in 0..calls {
            let (route, class, median) = self.pick_route(rng);
            let percent = match class {
                RouteClass::Check => share.checks,
                RouteClass::Booking => share.bookings,
            };
            let is_new = rng.random_range(0..100) < percent;
            let (old, new) = self.endpoints;
            let endpoint = rng.random_range(0..if is_new { new } else { old });
            let site = CallSite {
                second,
                is_new,
                endpoint,
                route,
                share,
            };
            let end = (self.fault)(&site, rng);
            let failed = end.failed || rng.random_bool(self.base_failure);
            let spread = 0.6 + 0.8 * rng.random::<f64>();
            let latency = Duration::from_secs_f64(median * spread * end.latency_factor / 1000.0);
            let index = self.index_of(is_new, endpoint);
            recorders[index].on_call(&format!("route-{route}").into(), class, failed, latency);
            if class == RouteClass::Booking && second >= LEAD_IN {
                result.bookings += 1;
                let harmed = end.failed || end.latency_factor >= 2.0;
                result.harmed += u64::from(is_new && harmed);
            }
        }
        for crash in self.crashes.iter().filter(|crash| crash.second == second) {
            let own = &mut recorders[self.index_of(crash.is_new, crash.endpoint)];
            own.on_crash(crash.running.clone());
            // The calls that ran end as failed.
            let count = crash.running.len() as u32;
            run_checks(own, "route-0", count, true, Duration::from_millis(5));
        }
    }

    /// Recorder of an endpoint of the old or the new version.
    fn index_of(&self, is_new: bool, endpoint: usize) -> usize {
        endpoint + if is_new { self.endpoints.0 } else { 0 }
    }

    fn pick_route(&self, rng: &mut ChaCha8Rng) -> (usize, RouteClass, f64) {
        let mut rest = rng.random::<f64>();
        for (index, (class, weight, median)) in self.routes.iter().enumerate() {
            rest -= weight;
            if rest <= 0.0 {
                return (index, *class, *median);
            }
        }
        let (class, _, median) = self.routes[self.routes.len() - 1];
        (self.routes.len() - 1, class, median)
    }
}

/// Sums over the runs of a trial, each with its own seed.
#[derive(Debug, Default)]
pub struct TrialRuns {
    pub runs: u64,
    pub condemned: u64,
    pub done: u64,
    pub bookings: u64,
    pub harmed: u64,
    pub worst_harm: f64,
    pub latest: u64,
    pub first_text: String,
}

/// Repeats a trial with fixed seeds and prints what was seen; `TRIAL_RUNS` sets their number.
pub fn repeat(name: &str, vary: impl Fn(&mut MoveTrial, u64)) -> TrialRuns {
    let wanted = std::env::var("TRIAL_RUNS").ok();
    let wanted = wanted.and_then(|text| text.parse().ok());
    let mut sum = TrialRuns {
        runs: wanted.unwrap_or(RUNS),
        ..TrialRuns::default()
    };
    for seed in 0..sum.runs {
        let mut trial = MoveTrial::default();
        vary(&mut trial, seed);
        let result = trial.run(seed);
        sum.bookings += result.bookings;
        sum.harmed += result.harmed;
        sum.done += u64::from(result.done_at.is_some());
        let harm = result.harmed as f64 / result.bookings.max(1) as f64;
        sum.worst_harm = sum.worst_harm.max(harm);
        sum.latest = sum.latest.max(result.done_at.unwrap_or(0));
        if let Some((second, text)) = result.condemned {
            sum.condemned += 1;
            sum.latest = sum.latest.max(second);
            if sum.first_text.is_empty() {
                sum.first_text = format!("at {second} s, {text}");
            }
        }
    }
    println!("{name}: {sum:?}");
    sum
}
