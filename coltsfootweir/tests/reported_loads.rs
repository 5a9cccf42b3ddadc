//! What a daemon knows of endpoints by their reports: which are asked again after a refusal, and when a
//! link that was full is expected to be free.

use std::time::Duration;

use coltsfootweir::sidecar::reported_loads::ReportedLoads;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Overload of an endpoint that is asked by many daemons: one refusal says little about the time some
/// runs later.
#[test]
fn endpoint_that_refused_is_asked_again_soon() {
    let mut loads = ReportedLoads::default();
    assert_eq!(loads.refused_for("m", 1, ms(5)), Duration::ZERO);
    for (wait, expected) in [(0, 10), (30, 30), (5_000, 60)] {
        loads.record_refusal("m".into(), 1, ms(wait), ms(100));
        assert_eq!(loads.refused_for("m", 1, ms(100)), ms(expected));
        assert_eq!(
            loads.refused_for("m", 1, ms(100 + expected)),
            Duration::ZERO
        );
    }
    // Other routes and endpoints have other queues.
    assert_eq!(loads.refused_for("m", 2, ms(100)), Duration::ZERO);
    assert_eq!(loads.refused_for("n", 1, ms(100)), Duration::ZERO);
}

/// Both regions are full: each further request must not cost a round trip to the other one.
#[test]
fn region_that_refused_is_left_alone_for_several_round_trips() {
    let mut loads = ReportedLoads::default();
    loads.record_region_refusal("south".into(), 1, ms(1_000));
    assert!(loads.refused_for("south", 1, ms(1_000)) >= ms(60) * 3);
    assert_eq!(loads.refused_for("south", 2, ms(1_000)), Duration::ZERO);
    assert_eq!(loads.refused_for("south", 1, ms(1_500)), Duration::ZERO);
}

#[test]
fn refusals_that_are_over_are_forgotten() {
    let mut loads = ReportedLoads::default();
    for number in 0..100_000_u64 {
        let now = ms(number);
        loads.record_refusal(format!("m-{number}").into(), 1, ms(10), now);
        assert!(loads.refused_for(&format!("m-{number}"), 1, now) > Duration::ZERO);
    }
    assert!(loads.refusal_count() <= 1_024, "{}", loads.refusal_count());
}

#[test]
fn reported_backlog_of_a_link_becomes_less_with_time() {
    let mut loads = ReportedLoads::default();
    loads.record_uplink("m".into(), ms(400), ms(1_000));
    assert_eq!(loads.uplink_wait(&"m".into(), ms(1_100)), ms(300));
    assert_eq!(loads.uplink_wait(&"m".into(), ms(1_500)), Duration::ZERO);
    loads.record_uplink("m".into(), Duration::ZERO, ms(1_100));
    assert_eq!(loads.uplink_wait(&"m".into(), ms(1_100)), Duration::ZERO);
}
