//! One move of one service to one version, under traffic.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use coltsfootweir::accept::fetch_snapshot;
use coltsfootweir::accept::read_head;
use coltsfootweir::http_platform::HttpPlatform;
use coltsfootweir::record::MovePhase;
use coltsfootweir::record::MoveRecord;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use standins::upstream_faults::UpstreamFaults;

use crate::deployment::DeploymentPreset;
use crate::experiment::RunSettings;
use crate::failure::MeasureResult;
use crate::fleet::TestFleet;
use crate::load::LoadSource;
use crate::move_failure::FailureKind;
use crate::move_failure::FailureTimes;
use crate::move_failure::MoveFailure;
use crate::move_traffic::BOOKINGS;
use crate::move_traffic::CHECKS;
use crate::move_traffic::MoveHarm;
use crate::move_traffic::STEP_BOOKINGS;
use crate::move_traffic::STEP_CHECKS;
use crate::move_traffic::TrafficPlan;
use crate::sample::FleetSample;
use crate::sample::FleetUse;
use crate::upstreams::UpstreamGroup;
use crate::upstreams::UpstreamPlan;
use crate::version_fault::VersionCase;

/// Endpoints of the new version, fewer than those of the old one so that load shows.
const NEW_ENDPOINTS: usize = 2;

/// Endpoints of each version outside the fleet, for the fixed steps.
const STEP_ENDPOINTS: usize = 2;

/// Calls a second through the daemons, and as many by fixed steps.
const CALL_RATE: f64 = 80.0;

/// Work of an upstream for one call.
const CALL_WORK: Duration = Duration::from_millis(20);

/// Length of one stretch of traffic, between two looks at the move.
const STRETCH: Duration = Duration::from_secs(1);

/// Time after the time asked for in which the end is still waited for.
const OVERTIME: Duration = Duration::from_secs(30);

/// Longest time until the fleet has settled.
const SETTLE_LIMIT: Duration = Duration::from_secs(60);

/// Time a platform operation may take.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);

/// Old and new version.
const VERSIONS: [&str; 2] = ["v1", "v2"];

/// Name of the move.
const MOVE_NAME: &str = "tried";

/// What one move came to.
#[derive(Clone, Debug, Serialize)]
pub struct CaseResult {
    /// Name of the case.
    pub case: &'static str,
    /// Seed of its choices.
    pub seed: u64,
    /// Whether the version is good.
    pub is_good: bool,
    /// Last phase seen.
    pub phase: MovePhase,
    /// Whether the move ended as it should: done in time, or taken back.
    pub is_right: bool,
    /// Seconds from the acceptance of the move to its end.
    pub ended: Option<f64>,
    /// Reason that the move's record gives.
    pub reason: Box<str>,
    /// When the failure held.
    pub failure: FailureTimes,
    /// Harm through the daemons.
    pub harm: MoveHarm,
    /// Harm by fixed timed steps without evidence.
    pub step_harm: MoveHarm,
    /// What the fleet used during the move.
    pub used: FleetUse,
}

/// Runs one case.
///
/// # Errors
/// [`MeasureError`](crate::failure::MeasureError).
pub fn run_case(
    case: VersionCase,
    deployment: DeploymentPreset,
    settings: &RunSettings,
    seed: u64,
) -> MeasureResult<CaseResult> {
    let service = deployment.services()[0];
    let count = service.endpoints + NEW_ENDPOINTS;
    let fleet = match settings.failure {
        Some(FailureKind::RegionCut) => TestFleet::start_cuttable(count, deployment.places())?,
        _ => TestFleet::start(count, deployment.places())?,
    };
    let generation = fleet.apply(&make_records(service.name))?;
    let prefix = format!("/{}/feed", service.name);
    let plan = |daemon: Option<SocketAddr>, is_new: bool, seed: u64| UpstreamPlan {
        daemon,
        service: service.name.into(),
        version: VERSIONS[usize::from(is_new)].into(),
        work: CALL_WORK,
        connection_limit: deployment.connection_limit(),
        seed,
        faults: version_faults(case, is_new, &prefix),
        flags: Vec::new(),
    };
    let mut plans = Vec::new();
    for (number, daemon) in fleet.daemons.iter().enumerate() {
        let is_new = number >= service.endpoints;
        plans.push(plan(Some(daemon.control()), is_new, seed + number as u64));
    }
    let upstreams = UpstreamGroup::start(plans)?;
    let step_plans = (0..2 * STEP_ENDPOINTS).map(|number| {
        let is_new = number >= STEP_ENDPOINTS;
        plan(None, is_new, seed + number as u64)
    });
    let step_upstreams = UpstreamGroup::start(step_plans)?;
    fleet.wait_settled(generation, count, SETTLE_LIMIT)?;
    upstreams.reset_faults()?;
    step_upstreams.reset_faults()?;
    let mut failure = MoveFailure::new(settings.failure);
    let store = HttpPlatform::new(fleet.platform_address(), PLATFORM_TIMEOUT);
    let mut traffic = TrafficPlan {
        service: service.name,
        daemons: failure.callable(&fleet),
        step_old: step_upstreams.addresses(VERSIONS[0]),
        step_new: step_upstreams.addresses(VERSIONS[1]),
        done_in: settings.done_in,
        crash: case.crash,
        random: ChaCha8Rng::seed_from_u64(seed),
    };
    let before = FleetSample::take(&fleet)?;
    fleet.apply(&make_move(service.name, settings.done_in))?;
    let start = Instant::now();
    let load = LoadSource::new()?;
    let mut results = Vec::new();
    let mut ended = None;
    let mut last = None;
    let mut calls = 0;
    // The fixed steps go on to their end, whatever became of the move.
    while start.elapsed() < limit(settings, ended) {
        traffic.daemons = failure.callable(&fleet);
        traffic.step_old = step_upstreams.addresses(VERSIONS[0]);
        traffic.step_new = step_upstreams.addresses(VERSIONS[1]);
        let offset = start.elapsed();
        let stretch = load.run_open(2.0 * CALL_RATE, STRETCH, seed + calls, |_| {
            calls += 1;
            traffic.next_call(calls, start.elapsed())
        });
        for mut result in stretch {
            result.sent += offset;
            results.push(result);
        }
        last = read_move(&store).or(last);
        failure.advance(&fleet, &store, last.as_ref(), start.elapsed())?;
        if last.as_ref().is_some_and(|record| record.phase.is_ended()) {
            ended.get_or_insert(start.elapsed());
        }
    }
    failure.end(&fleet, start.elapsed())?;
    let used = FleetSample::take(&fleet)?.since(&before);
    let phase = last
        .as_ref()
        .map_or(MovePhase::Waiting, |record| record.phase);
    let is_in_time = ended.is_some_and(|ended| ended <= settings.done_in + STRETCH);
    Ok(CaseResult {
        case: case.name,
        seed,
        failure: failure.times(),
        is_good: case.is_good,
        phase,
        is_right: match case.is_good {
            true => phase == MovePhase::Done && is_in_time,
            false => phase == MovePhase::TakenBack,
        },
        ended: ended.map(|ended| ended.as_secs_f64()),
        reason: last.map_or_else(|| "".into(), |record| record.reason),
        harm: MoveHarm::of(&results, CHECKS, BOOKINGS, VERSIONS),
        step_harm: MoveHarm::of(&results, STEP_CHECKS, STEP_BOOKINGS, VERSIONS),
        used,
    })
}

/// How long the traffic lasts.
fn limit(settings: &RunSettings, ended: Option<Duration>) -> Duration {
    match ended {
        Some(_) => settings.done_in,
        None => settings.done_in + OVERTIME,
    }
}

fn version_faults(case: VersionCase, is_new: bool, prefix: &str) -> UpstreamFaults {
    if is_new {
        case.new_faults(prefix)
    } else {
        case.old_faults()
    }
}

fn make_records(service: &str) -> String {
    format!(
        r#"[{{"kind": "upstream-version", "schema": 1, "service": "{service}", "version": "v1",
        "share": 100}},
        {{"kind": "upstream-version", "schema": 1, "service": "{service}", "version": "v2",
        "share": 0}},
        {{"kind": "route", "schema": 1, "name": "checks", "service": "{service}",
        "prefix": "/{service}", "class": "check", "timeout_ms": 2000}},
        {{"kind": "route", "schema": 1, "name": "feed", "service": "{service}",
        "prefix": "/{service}/feed", "class": "check", "timeout_ms": 2000}},
        {{"kind": "route", "schema": 1, "name": "bookings", "service": "{service}",
        "prefix": "/{service}/bookings", "class": "booking", "timeout_ms": 2000}}]"#
    )
}

fn make_move(service: &str, done_in: Duration) -> String {
    format!(
        r#"[{{"kind": "move", "schema": 2, "name": "{MOVE_NAME}", "service": "{service}",
        "from": "v1", "to": "v2", "done_in_seconds": {}}}]"#,
        done_in.as_secs()
    )
}

fn read_move(store: &HttpPlatform) -> Option<MoveRecord> {
    let mark = read_head(store).ok()?;
    let snapshot = fetch_snapshot(store, &mark).ok()?;
    snapshot.moves.get(MOVE_NAME).cloned()
}
