//! A booking runs at most once while the regions are cut from each other and from the store, again
//! and again, and its caller resends in both.

mod common;

use std::sync::RwLock;
use std::time::Duration;

use common::booking_callers::BookingCallers;
use common::booking_callers::assert_once;
use common::booking_callers::book;
use common::booking_callers::upstream_settings;
use common::call_checks::assert_at_most_once;
use common::call_checks::mint_key;
use common::caller::call_once;
use common::caller_threads::pause;
use common::local_fleet::LocalFleet;
use common::test_net::CutKind;

/// Callers that resend to any daemon of both regions, also when they were answered.
const CALLERS: BookingCallers = BookingCallers {
    count: 16,
    sends: 4,
    impatience: Duration::from_millis(500),
    repeat_percent: 100,
};

#[test]
fn bookings_run_once_while_both_regions_are_cut_and_heal() {
    let regions = ["north", "north", "south", "south"];
    let mesh = LocalFleet::start_for_calls(&regions, &upstream_settings());
    let addresses = RwLock::new(mesh.calls());
    let first = CALLERS.book_while(&addresses, || {
        let kinds = [CutKind::Everything, CutKind::Nothing, CutKind::Control];
        for kind in kinds.iter().cycle().take(9) {
            pause(Duration::from_millis(900));
            mesh.set_cut(*kind);
        }
        mesh.set_cut(CutKind::Nothing);
        pause(Duration::from_millis(900));
    });
    assert_once(&first, &mesh.runs());
}

#[test]
fn booking_run_before_the_cut_does_not_run_in_the_other_region() {
    let mesh = LocalFleet::start_for_calls(&["north", "south"], &upstream_settings());
    let calls = mesh.calls();
    for number in 0..10 {
        mesh.set_cut(CutKind::Nothing);
        mesh.wait_ready(1);
        let key = match number % 2 {
            0 => mint_key(calls[number / 2 % 2]).expect("a key"),
            _ => format!("cut-{number}"),
        };
        let answer = call_once(calls[0], &book(&key)).whole().expect("an answer");
        assert!(answer.is_good(), "{}", answer.text());
        mesh.set_cut(CutKind::Everything);
        let owner_is_north = mesh.servers[0]
            .runs()
            .iter()
            .any(|run| run.request.idempotency_key.as_deref() == Some(&*key));
        let other = if owner_is_north { calls[1] } else { calls[0] };
        let repeat = call_once(other, &book(&key)).whole().expect("an answer");
        assert!(!repeat.is_good(), "the first answer cannot be known here");
        // A claim that cannot be read is refused, and that attempt was not run.
        let outcome = (repeat.outcome(), repeat.reason());
        let allowed = [
            ("in-doubt", "owner-gone"),
            ("not-run", "store-unavailable"),
            ("not-run", "upstream-down"),
        ];
        assert!(allowed.contains(&outcome), "{outcome:?}");
    }
    assert_at_most_once(&mesh.runs());
    assert_eq!(mesh.runs().len(), 10);
}
