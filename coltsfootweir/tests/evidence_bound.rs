//! Memory bound of the evidence that a candidate keeps during long moves with changing endpoints.

mod common;

use std::time::Duration;

use coltsfootweir::evidence::EvidenceRecorder;
use coltsfootweir::evidence_pool::EvidencePool;
use coltsfootweir::record::RouteClass;

use common::records::move_record;

/// Seconds in an hour.
const HOUR: u64 = 3600;

/// Number of routes of the service.
const ROUTES: u64 = 5;

/// Memory limit in bytes for the evidence of 8 endpoints on 5 routes after an hour.
const HOUR_BYTES: usize = 2_100_000;

/// Memory limit in bytes for the evidence of endpoints that report only within one second each.
const CHURN_BYTES: usize = 1_000_000;

fn recorder(member: u64, incarnation: u64) -> EvidenceRecorder {
    let name = format!("10.1.0.{member}:7000").into();
    let mut recorder = EvidenceRecorder::new(name, incarnation);
    let version = if member.is_multiple_of(2) { "v1" } else { "v2" };
    recorder.set_version("stalls".into(), version.into());
    recorder
}

fn serve(recorder: &mut EvidenceRecorder) {
    for route in 0..ROUTES {
        let name = format!("route-{route}").into();
        recorder.on_call(&name, RouteClass::Check, false, Duration::from_millis(8));
    }
}

#[test]
fn an_hour_of_eight_endpoints_fits() {
    let mut pool = EvidencePool::new(&move_record("spring", "v1", "v2"));
    let mut recorders: Vec<_> = (0..8).map(|member| recorder(member, 1)).collect();
    for second in 0..HOUR {
        for (member, current) in recorders.iter_mut().enumerate() {
            // Each daemon is replaced at its address every ten minutes and crashes once a minute.
            if second % 600 == 75 * member as u64 {
                *current = recorder(member as u64, second + 2);
            }
            if second % 60 == 7 * member as u64 {
                current.on_crash((0..9).collect());
            }
            serve(current);
            pool.add_report(current.report(), Duration::from_secs(second));
        }
    }
    let bytes = pool.stored_bytes();
    println!("8 endpoints, {ROUTES} routes, one hour: {bytes} bytes");
    assert!(bytes <= HOUR_BYTES, "{bytes} bytes");
}

#[test]
fn endpoints_that_come_and_go_do_not_pile_up() {
    let mut pool = EvidencePool::new(&move_record("spring", "v1", "v2"));
    for second in 0..2 * HOUR {
        let mut own = recorder(second, 1);
        let now = Duration::from_secs(second);
        pool.add_report(own.report(), now);
        serve(&mut own);
        pool.add_report(own.report(), now);
    }
    let bytes = pool.stored_bytes();
    println!("an endpoint a second, two hours: {bytes} bytes");
    assert!(bytes <= CHURN_BYTES, "{bytes} bytes");
    assert!(pool.view().member_count <= 300, "member indices are reused");
}

#[test]
fn an_endpoint_that_comes_back_is_not_counted_again() {
    let mut pool = EvidencePool::new(&move_record("spring", "v1", "v2"));
    let mut first = recorder(1, 1);
    for _ in 0..100 {
        serve(&mut first);
    }
    pool.add_report(first.report(), Duration::ZERO);
    for member in 2..400 {
        pool.add_report(recorder(member, 1).report(), Duration::from_secs(member));
    }
    pool.add_report(first.report(), Duration::from_secs(500));
    assert_eq!(pool.view().new.calls(), 0);
    serve(&mut first);
    pool.add_report(first.report(), Duration::from_secs(501));
    assert_eq!(pool.view().new.calls(), ROUTES);
}
