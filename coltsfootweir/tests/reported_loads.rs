//! What a daemon knows of endpoints by their reports: which are asked again after a refusal, and when a
//! link that was full is expected to be free.

use std::time::Duration;

use coltsfootweir::sidecar::call_attempts::refusal_tally::RefusalTally;
use coltsfootweir::sidecar::fair_queue::team_hash;
use coltsfootweir::sidecar::frame::NotRunCause;
use coltsfootweir::sidecar::refusal_memory::RefusalScope;
use coltsfootweir::sidecar::reported_loads::ReportedLoads;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Requests of a route with a short body.
fn route(route_hash: u32) -> RefusalScope {
    body(route_hash, 0)
}

fn body(route_hash: u32, body_length: u64) -> RefusalScope {
    RefusalScope {
        route_hash,
        team_hash: None,
        body_length,
    }
}

/// Requests of a team.
fn of_team(route_hash: u32, team: &str) -> RefusalScope {
    RefusalScope {
        team_hash: Some(team_hash(team)),
        ..route(route_hash)
    }
}

/// Overload of an endpoint that is asked by many daemons: one refusal says little about the time some
/// runs later.
#[test]
fn endpoint_that_refused_is_asked_again_soon() {
    let mut loads = ReportedLoads::default();
    assert_eq!(loads.refused_for("m", route(1), ms(5)), Duration::ZERO);
    for (wait, expected) in [(0, 10), (30, 30), (5_000, 60)] {
        loads.record_refusal("m", route(1), ms(wait), ms(100));
        assert_eq!(loads.refused_for("m", route(1), ms(100)), ms(expected));
        assert_eq!(
            loads.refused_for("m", route(1), ms(100 + expected)),
            Duration::ZERO
        );
    }
    // Other routes and endpoints have other queues.
    assert_eq!(loads.refused_for("m", route(2), ms(100)), Duration::ZERO);
    assert_eq!(loads.refused_for("n", route(1), ms(100)), Duration::ZERO);
}

/// Both regions are full: each further request must not cost a round trip to the other one.
#[test]
fn region_that_refused_is_left_alone_for_several_round_trips() {
    let mut loads = ReportedLoads::default();
    loads.record_region_refusal("south", route(1), ms(1_000));
    assert!(loads.refused_for("south", route(1), ms(1_000)) >= ms(60) * 3);
    assert_eq!(
        loads.refused_for("south", route(2), ms(1_000)),
        Duration::ZERO
    );
    assert_eq!(
        loads.refused_for("south", route(1), ms(1_500)),
        Duration::ZERO
    );
}

#[test]
fn refusals_that_are_over_are_forgotten() {
    let mut loads = ReportedLoads::default();
    for number in 0..100_000_u64 {
        let now = ms(number);
        loads.record_refusal(&format!("m-{number}"), route(1), ms(10), now);
        assert!(loads.refused_for(&format!("m-{number}"), route(1), now) > Duration::ZERO);
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

/// Each further request to a VM with a full link would wait behind the answers on that link for its
/// refusal.
#[test]
fn full_link_is_not_asked_again_for_the_stated_time() {
    let mut loads = ReportedLoads::default();
    for (wait, expected) in [(0, 10), (300, 300), (500, 500)] {
        loads.record_link_refusal("m", route(1), ms(wait), ms(1_000));
        assert_eq!(loads.refused_for("m", route(1), ms(1_000)), ms(expected));
        let last = ms(1_000 + expected - 1);
        assert_eq!(loads.refused_for("m", route(1), last), ms(1));
        let end = ms(1_000 + expected);
        assert_eq!(loads.refused_for("m", route(1), end), Duration::ZERO);
    }
}

/// A client that retries after the time for which an endpoint is not asked, instead of the time after
/// which its answer fits on the link, is refused again.
#[test]
fn long_wait_for_a_link_is_stated_in_full_and_remembered_for_half_a_second() {
    let mut loads = ReportedLoads::default();
    loads.record_link_refusal("m", route(1), ms(2_000), ms(1_000));
    assert_eq!(loads.refused_for("m", route(1), ms(1_000)), ms(2_000));
    assert_eq!(loads.refused_for("m", route(1), ms(1_499)), ms(1_501));
    assert_eq!(loads.refused_for("m", route(1), ms(1_500)), Duration::ZERO);
}

/// A full queue is remembered for a much shorter time than a full link. The one refusal must not
/// replace the other.
#[test]
fn full_queue_does_not_shorten_the_memory_of_a_full_link() {
    let mut loads = ReportedLoads::default();
    loads.record_link_refusal("m", route(1), ms(400), ms(1_000));
    loads.record_refusal("m", route(1), ms(20), ms(1_010));
    assert_eq!(loads.refused_for("m", route(1), ms(1_100)), ms(300));
    // The cause is stated to operators: more slots don't help if the link is full.
    assert!(loads.is_link_full(&"m".into(), route(1), ms(1_100)));
    assert!(!loads.is_link_full(&"m".into(), route(1), ms(1_400)));
    loads.record_refusal("n", route(1), ms(20), ms(1_010));
    assert!(!loads.is_link_full(&"n".into(), route(1), ms(1_011)));
}

/// One very long upload that no link can take in time would otherwise keep all requests of its route
/// from the endpoint for half a second.
#[test]
fn refused_body_keeps_only_longer_bodies_away() {
    let mut loads = ReportedLoads::default();
    loads.record_link_refusal("m", body(1, 1_000_000), ms(400), ms(1_000));
    let refused_for =
        |loads: &ReportedLoads, length| loads.refused_for("m", body(1, length), ms(1_100));
    assert_eq!(refused_for(&loads, 0), Duration::ZERO);
    assert_eq!(refused_for(&loads, 999_999), Duration::ZERO);
    assert_eq!(refused_for(&loads, 1_000_000), ms(300));
    assert_eq!(refused_for(&loads, 2_000_000), ms(300));
    // A shorter body that is refused as well covers more requests, a longer one not fewer.
    loads.record_link_refusal("m", body(1, 50_000), ms(300), ms(1_000));
    loads.record_link_refusal("m", body(1, 3_000_000), ms(500), ms(1_000));
    assert_eq!(refused_for(&loads, 50_000), ms(200));
    assert_eq!(refused_for(&loads, 49_999), Duration::ZERO);
    // Bodies that are not sent in pieces are refused because of the answer, whatever their length.
    loads.record_link_refusal("n", body(1, 9_000), ms(300), ms(1_000));
    assert_eq!(loads.refused_for("n", route(1), ms(1_100)), ms(200));
}

/// Four VMs with full links were asked one after the other, each for 80 ms, before a request was
/// refused.
#[test]
fn two_refusals_because_of_full_links_are_final() {
    let mut refusals = RefusalTally::default();
    refusals.record(NotRunCause::LinkFull, ms(400));
    assert!(refusals.may_ask_more(1));
    refusals.record(NotRunCause::LinkFull, ms(300));
    assert!(!refusals.may_ask_more(2));
    // Both endpoints may take the retry, so it may come when the first of them has room.
    assert_eq!(refusals.retry_after(ms(400)), ms(300));
    for causes in [
        [NotRunCause::LinkFull, NotRunCause::Overloaded],
        [NotRunCause::Overloaded, NotRunCause::LinkFull],
    ] {
        let mut refusals = RefusalTally::default();
        for cause in causes {
            refusals.record(cause, ms(100));
        }
        assert!(!refusals.may_ask_more(2), "{causes:?}");
    }
}

/// Endpoints that stop refuse at once and say nothing about links: a request must still find the
/// others during a restart of several daemons.
#[test]
fn refusals_for_other_causes_allow_four_attempts() {
    for cause in [NotRunCause::Overloaded, NotRunCause::Closed] {
        let mut refusals = RefusalTally::default();
        for tried in 1..4 {
            refusals.record(cause, ms(30));
            assert!(refusals.may_ask_more(tried), "{cause:?}, {tried} tried");
        }
        refusals.record(cause, ms(30));
        assert!(!refusals.may_ask_more(4), "{cause:?}");
        assert_eq!(refusals.retry_after(ms(20)), ms(20));
    }
    let mut refusals = RefusalTally::default();
    refusals.record(NotRunCause::Closed, ms(0));
    refusals.record(NotRunCause::LinkFull, ms(100));
    assert!(refusals.may_ask_more(2));
}

/// A flood of one team is refused at a guard. Requests of the others must not be refused at the ingress
/// because of that.
#[test]
fn refusals_of_one_team_do_not_count_for_others() {
    let mut loads = ReportedLoads::default();
    let flood = of_team(1, "flood");
    loads.record_refusal("m", flood, ms(30), ms(1_000));
    loads.record_link_refusal("n", flood, ms(300), ms(1_000));
    loads.record_region_refusal("south", flood, ms(1_000));
    for place in ["m", "n", "south"] {
        assert!(loads.refused_for(place, flood, ms(1_001)) > Duration::ZERO);
        for other in [of_team(1, "small"), route(1), of_team(2, "flood")] {
            let wait = loads.refused_for(place, other, ms(1_001));
            assert_eq!(wait, Duration::ZERO, "{place}, {other:?}");
        }
    }
    // Requests without a team are remembered for the route.
    loads.record_refusal("o", route(1), ms(30), ms(1_000));
    assert_eq!(loads.refused_for("o", route(1), ms(1_000)), ms(30));
    assert_eq!(loads.refused_for("o", flood, ms(1_000)), Duration::ZERO);
}

/// Refusals of many teams that are all in force at once must not take more and more memory, and the
/// latest must not be the one that is removed.
#[test]
fn memory_of_refusals_of_many_teams_is_bounded() {
    let mut loads = ReportedLoads::default();
    for number in 0..5_000 {
        let team = of_team(1, &format!("team-{number}"));
        loads.record_link_refusal("m", team, ms(500), ms(1_000));
        assert_eq!(loads.refused_for("m", team, ms(1_000)), ms(500));
        assert!(loads.refusal_count() <= 1_024, "{}", loads.refusal_count());
    }
}
