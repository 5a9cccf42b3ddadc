//! Requests for a newer configuration: who is asked, and who after that when no response comes.

use std::collections::HashSet;
use std::time::Duration;

use coltsfootweir::sidecar::spread::config_fetch::ConfigFetch;
use coltsfootweir::sidecar::spread::config_fetch::ConfigSource;
use coltsfootweir::sidecar::spread::config_fetch::FetchRequest;
use coltsfootweir::sidecar::spread::config_fetch::SourceDistance;
use coltsfootweir::sidecar::zone_order::FetchScope;
use proptest::prelude::prop;
use proptest::proptest;

/// Interval at which a daemon checks whether a request is due, in milliseconds.
const CHECK_MS: u64 = 150;

/// Time in which a daemon that responds has to be asked, in milliseconds. The others of the 2.5 s in
/// which a change is to be in force are left for the notice and the transfer.
const ASKED_WITHIN_MS: u64 = 1_600;

fn source(id: &str, version: u64, distance: SourceDistance) -> ConfigSource {
    ConfigSource {
        id: id.into(),
        version,
        distance,
    }
}

fn any_source(_overdue: Duration) -> FetchScope {
    FetchScope {
        any_in_zone: true,
        other_zones: true,
    }
}

/// As in a zone: others of it after 400 ms, other zones after 800 ms.
fn widening_scope(overdue: Duration) -> FetchScope {
    FetchScope {
        any_in_zone: overdue >= Duration::from_millis(400),
        other_zones: overdue >= Duration::from_millis(800),
    }
}

/// Asks until a time; returns each request with its time in milliseconds.
fn requests(
    fetch: &mut ConfigFetch,
    sources: &[ConfigSource],
    until_ms: u64,
) -> Vec<(u64, FetchRequest)> {
    let mut made = Vec::new();
    for ms in (0..until_ms).step_by(CHECK_MS as usize) {
        let now = Duration::from_millis(ms);
        let request = fetch.next_request(1, sources, widening_scope, now);
        made.extend(request.map(|request| (ms, request)));
    }
    made
}

/// Guards against a daemon that asks a frozen one for a configuration again and again.
#[test]
fn daemon_that_does_not_respond_is_passed_over() {
    let sources = [
        source("parent", 5, SourceDistance::Parent),
        source("neighbour", 5, SourceDistance::SameZone),
    ];
    let made = requests(&mut ConfigFetch::default(), &sources, ASKED_WITHIN_MS);
    let peers: Vec<&str> = made.iter().map(|(_, request)| &*request.peer).collect();
    assert_eq!(peers[..2], ["parent", "neighbour"]);
    assert!(made[0].0 == 0 && made[1].0 < 1_000, "{made:?}");
}

#[test]
fn one_request_is_sent_until_the_response_is_overdue() {
    let sources = [
        source("parent", 5, SourceDistance::Parent),
        source("neighbour", 5, SourceDistance::SameZone),
        source("far", 5, SourceDistance::OtherZone),
    ];
    let mut fetch = ConfigFetch::default();
    let made = requests(&mut fetch, &sources, 600);
    assert_eq!(made.len(), 1, "{made:?}");
    // A newer one is requested at once.
    let newer = [source("parent", 6, SourceDistance::Parent)];
    let request = fetch.next_request(1, &newer, any_source, Duration::from_millis(600));
    assert_eq!(request.map(|request| request.version), Some(6));
}

#[test]
fn response_in_many_pieces_is_waited_for() {
    let sources = [
        source("parent", 5, SourceDistance::Parent),
        source("neighbour", 5, SourceDistance::SameZone),
    ];
    let mut fetch = ConfigFetch::default();
    for ms in (0..6_000).step_by(CHECK_MS as usize) {
        let now = Duration::from_millis(ms);
        let request = fetch.next_request(1, &sources, any_source, now);
        assert_eq!(request.is_some(), ms == 0, "at {ms} ms");
        fetch.on_piece(now);
    }
}

#[test]
fn daemons_that_did_not_respond_are_asked_again_when_no_other_is_left() {
    let sources = [source("parent", 5, SourceDistance::Parent)];
    let made = requests(&mut ConfigFetch::default(), &sources, 3_000);
    assert_eq!(made.len(), 4, "{made:?}");
}

#[test]
fn time_overdue_counts_from_the_first_notice_and_ends_with_the_update() {
    let sources = [source("far", 5, SourceDistance::OtherZone)];
    let mut fetch = ConfigFetch::default();
    let made = requests(&mut fetch, &sources, 1_000);
    assert_eq!(made.len(), 1);
    assert_eq!(made[0].1.overdue, Duration::from_millis(900));
    let late = Duration::from_secs(5);
    assert_eq!(fetch.next_request(5, &[], any_source, late), None);
    let newer = [source("far", 7, SourceDistance::OtherZone)];
    assert_eq!(fetch.next_request(5, &newer, widening_scope, late), None);
}

proptest! {
    /// Whichever daemons are frozen, one that responds is asked in time. Those with the configuration are
    /// the parent, one other daemon of the zone and several of other zones.
    #[test]
    fn some_daemon_that_responds_is_asked_in_time(
        is_frozen in prop::collection::vec(prop::bool::ANY, 2),
        others in 1_usize..5,
    ) {
        let mut sources = vec![
            source("parent", 5, SourceDistance::Parent),
            source("neighbour", 5, SourceDistance::SameZone),
        ];
        for number in 0..others {
            sources.push(source(&format!("far-{number}"), 5, SourceDistance::OtherZone));
        }
        let mut frozen = HashSet::new();
        for (source, is_frozen) in sources.iter().zip(is_frozen) {
            if is_frozen {
                frozen.insert(source.id.clone());
            }
        }
        let made = requests(&mut ConfigFetch::default(), &sources, ASKED_WITHIN_MS);
        assert!(
            made.iter().any(|(_, request)| !frozen.contains(&request.peer)),
            "{made:?}"
        );
    }
}
