//! Time of one verdict by number of endpoints, with ten minutes of evidence on five routes.
//!
//! Prints the times: `cargo test --release -p coltsfootweir --test verdict_cost -- --ignored --nocapture`.

mod common;

use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use coltsfootweir::evidence_pool::EvidencePool;
use coltsfootweir::record::RouteClass;
use coltsfootweir::verdict::evaluate_evidence;

use common::evidence::recorders;
use common::records::move_record;

/// Number of routes of the service.
const ROUTES: usize = 5;

/// Length of the evidence in seconds.
const SECONDS: u64 = 600;

/// Calls of each endpoint per second.
const CALLS: usize = 12;

/// Number of timed verdicts.
const VERDICTS: u32 = 20;

/// Which endpoints fail.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum FaultKind {
    Nothing,
    OneEndpoint,
}

/// Returns a pool of the last ten minutes of two versions with this many endpoints each.
fn fill(endpoints: usize, kind: FaultKind) -> EvidencePool {
    let mut rng = ChaCha8Rng::seed_from_u64(4);
    let mut recorders = recorders(endpoints, endpoints);
    let mut pool = EvidencePool::new(&move_record("spring", "v1", "v2"));
    for second in 0..SECONDS {
        for (index, recorder) in recorders.iter_mut().enumerate() {
            for _ in 0..CALLS {
                let route = rng.random_range(0..ROUTES);
                let is_bad = kind == FaultKind::OneEndpoint && index == endpoints;
                let failed = rng.random_bool(if is_bad { 0.6 } else { 0.005 });
                let latency = Duration::from_micros(rng.random_range(2_000..20_000));
                let name = format!("route-{route}").into();
                recorder.on_call(&name, RouteClass::Check, failed, latency);
            }
            pool.add_report(
                recorder.report(),
                Duration::from_millis(second * 1000 + 900),
            );
        }
    }
    pool
}

#[test]
#[ignore = "prints figures"]
fn cost_of_a_judgement() {
    for endpoints in [1, 2, 4, 8, 16, 40, 80] {
        for kind in [FaultKind::Nothing, FaultKind::OneEndpoint] {
            let mut pool = fill(endpoints, kind);
            let now = Duration::from_secs(SECONDS + 1);
            let start = Instant::now();
            for _ in 0..VERDICTS {
                std::hint::black_box(evaluate_evidence(&mut pool, now));
            }
            let each = start.elapsed() / VERDICTS;
            println!("{endpoints}+{endpoints} endpoints, {kind:?}: {each:?} per verdict");
        }
    }
}
