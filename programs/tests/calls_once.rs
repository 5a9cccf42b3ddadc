//! A booking runs at most once, whatever its caller resends through other daemons, while daemons
//! die or freeze, answers are lost and the store fails. The upstreams' logs of runs are the oracle.

mod common;

use std::sync::RwLock;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use standins::relay::RelayMode;
use standins::relay::TcpRelay;

use common::PATIENCE;
use common::booking_callers::BookingCallers;
use common::booking_callers::assert_once;
use common::booking_callers::book;
use common::booking_callers::upstream_settings;
use common::call_checks::assert_at_most_once;
use common::call_checks::mint_key;
use common::call_checks::run_counts;
use common::caller::CallEnd;
use common::caller::CallSpec;
use common::caller::KeptCaller;
use common::caller::WholeAnswer;
use common::caller::call_once;
use common::caller_threads::pause;
use common::caller_threads::run_callers;
use common::process_fleet::ProcessFleet;
use common::wait_for;

/// Callers that resend to any daemon, a third of the time also when they were answered.
const CALLERS: BookingCallers = BookingCallers {
    count: 24,
    sends: 5,
    impatience: Duration::from_millis(400),
    repeat_percent: 33,
};

/// Longest time a refusal may take on a busy machine when its deadline is 100 ms.
const MAX_REFUSAL_TIME: Duration = Duration::from_millis(1500);

/// Books through the whole fleet while `fail` breaks parts of it, then holds the logs to the rule.
fn prove_once(fleet: &mut ProcessFleet, mut fail: impl FnMut(&mut ProcessFleet, usize)) {
    let addresses = RwLock::new(fleet.calls());
    let first = CALLERS.book_while(&addresses, || {
        for round in 0..8 {
            pause(Duration::from_millis(400));
            fail(fleet, round);
            *addresses.write().expect("addresses") = fleet.calls();
        }
        pause(Duration::from_millis(400));
    });
    assert_once(&first, &fleet.runs());
}

#[test]
fn bookings_run_once_while_daemons_die_at_random() {
    let mut fleet = ProcessFleet::start_logged(4, &upstream_settings());
    let mut rng = ChaCha8Rng::seed_from_u64(41);
    prove_once(&mut fleet, |fleet, _| {
        fleet.restart_joined(rng.random_range(0..4));
    });
}

#[test]
fn minted_key_of_a_daemon_that_died_is_in_doubt_and_runs_no_more() {
    let mut fleet = ProcessFleet::start_logged(2, &upstream_settings());
    let mut keys = Vec::new();
    for number in 0..10 {
        let calls = fleet.daemons[number % 2].calls;
        let key = mint_key(calls).expect("a key");
        let answer = call_once(calls, &book(&key)).whole().expect("an answer");
        assert!(answer.is_good(), "{}", answer.text());
        keys.push(key);
    }
    (0..2).for_each(|index| fleet.restart_joined(index));
    fleet.wait_ready(1);
    for number in 0..40 {
        // Counts of the new keys pass those of the old ones.
        mint_key(fleet.daemons[number % 2].calls).expect("a key");
    }
    for (number, key) in keys.iter().enumerate() {
        let calls = fleet.daemons[number % 2].calls;
        let answer = call_once(calls, &book(key)).whole().expect("an answer");
        assert_eq!(
            (answer.outcome(), answer.reason()),
            ("in-doubt", "owner-gone")
        );
    }
    assert_at_most_once(&fleet.runs());
    assert_eq!(fleet.runs().len(), 10);
}

#[test]
fn bookings_run_once_while_daemons_freeze_and_resume_late() {
    let mut fleet = ProcessFleet::start_logged(4, &upstream_settings());
    let mut rng = ChaCha8Rng::seed_from_u64(42);
    let mut frozen = Vec::new();
    prove_once(&mut fleet, |fleet, round| {
        if round % 2 == 0 {
            for _ in 0..2 {
                let index = rng.random_range(0..4);
                fleet.daemons[index].process.signal("STOP");
                frozen.push(index);
            }
            return;
        }
        // Longer than a caller waits and than its deadline.
        pause(Duration::from_millis(2200));
        for index in frozen.drain(..) {
            fleet.daemons[index].process.signal("CONT");
        }
    });
}

#[test]
fn bookings_run_once_while_claims_lose_their_answers() {
    let mut fleet = ProcessFleet::start_logged(3, &upstream_settings());
    prove_once(&mut fleet, |fleet, round| {
        let faults = match round % 4 {
            0 => r#"{"lose_answers": 8}"#,
            1 => r#"{"outage": true}"#,
            2 => r#"{"delay": 300, "lose_answers": 4, "lose_requests": 4}"#,
            _ => "{}",
        };
        fleet.set_faults(faults);
    });
}

#[test]
fn claim_whose_answer_was_lost_is_settled_by_a_resend_through_another_daemon() {
    let fleet = ProcessFleet::start_logged(3, &upstream_settings());
    for number in 0..12_usize {
        let key = format!("lost-claim-{number}");
        fleet.set_faults(r#"{"lose_answers": 1}"#);
        let mut answers = Vec::new();
        wait_for("booking is done", PATIENCE, || {
            let daemon = &fleet.daemons[(number + answers.len()) % 3];
            answers.push(
                call_once(daemon.calls, &book(&key))
                    .whole()
                    .expect("an answer"),
            );
            answers.last().is_some_and(WholeAnswer::is_good)
        });
    }
    assert_at_most_once(&fleet.runs());
    assert_eq!(fleet.runs().len(), 12);
}

#[test]
fn minted_keys_go_on_and_callers_keys_are_refused_truly_while_the_store_is_down() {
    let fleet = ProcessFleet::start_logged(3, &upstream_settings());
    fleet.set_faults(r#"{"outage": true}"#);
    for number in 0..30 {
        let key = mint_key(fleet.daemons[number % 3].calls).expect("a key");
        let other = fleet.daemons[(number + 1) % 3].calls;
        let answer = call_once(other, &book(&key)).whole().expect("an answer");
        assert!(answer.is_good(), "{}", answer.text());
        let own = format!("own-{number}");
        let refused = call_once(other, &book(&own)).whole().expect("an answer");
        assert_eq!(
            (refused.outcome(), refused.reason()),
            ("not-run", "store-unavailable")
        );
    }
    let ran = run_counts(&fleet.runs());
    assert_eq!(ran.len(), 30);
    assert!(
        ran.keys().all(|key| !key.starts_with("own-")),
        "a refused booking ran"
    );
    fleet.set_faults("{}");
    for number in 0..30 {
        let key = format!("own-{number}");
        wait_for("refused booking is done", PATIENCE, || {
            let answer = call_once(fleet.daemons[number % 3].calls, &book(&key)).whole();
            answer.expect("an answer").is_good()
        });
    }
    assert_at_most_once(&fleet.runs());
    assert_eq!(fleet.runs().len(), 60);
}

#[test]
fn booking_whose_answer_was_lost_gets_the_first_answer_through_another_daemon() {
    let fleet = ProcessFleet::start_logged(3, &upstream_settings());
    let relay = TcpRelay::start(fleet.daemons[0].calls).expect("relay starts");
    for number in 0..20_usize {
        let key = match number % 2 {
            0 => mint_key(fleet.daemons[number % 3].calls).expect("a key"),
            _ => format!("own-{number}"),
        };
        relay.set_mode(RelayMode::HalfAnswer(number * 10));
        let end = call_once(relay.address(), &book(&key));
        assert!(matches!(end, CallEnd::Cut | CallEnd::Closed), "{end:?}");
        let mut first = None;
        for daemon in [1, 2, 1] {
            let mut answer = None;
            // The first attempt may still run while its answer is cut.
            wait_for("first answer", PATIENCE, || {
                answer = call_once(fleet.daemons[daemon].calls, &book(&key)).whole();
                answer.as_ref().is_some_and(WholeAnswer::is_good)
            });
            let body = answer.expect("an answer").body;
            assert_eq!(*first.get_or_insert_with(|| body.clone()), body);
        }
    }
    assert_at_most_once(&fleet.runs());
    assert_eq!(fleet.runs().len(), 20);
}

#[test]
fn claims_that_wait_for_a_slow_store_do_not_hold_up_other_calls() {
    let fleet = ProcessFleet::start_logged(1, &upstream_settings());
    fleet.set_faults(r#"{"delay": 2500}"#);
    let calls = fleet.daemons[0].calls;
    let longest = run_callers(160, |caller| {
        let mut sender = KeptCaller::new(calls);
        let mut longest = Duration::ZERO;
        for number in 0..10 {
            let spec = book(&format!("slow-{caller}-{number}"));
            let spec = spec.with("x-coltsfootweir-deadline-ms", 100);
            let start = Instant::now();
            let answer = sender.call(&spec).whole().expect("an answer");
            longest = longest.max(start.elapsed());
            assert_eq!(answer.outcome(), "not-run", "{}", answer.text());
        }
        longest
    });
    let longest = longest.into_iter().max().unwrap_or_default();
    assert!(longest < MAX_REFUSAL_TIME, "a refusal took {longest:?}");
    let answer = call_once(calls, &CallSpec::get("/stalls/free")).whole();
    assert!(answer.expect("an answer").is_good());
    let ran = run_counts(&fleet.runs());
    assert!(ran.is_empty(), "refused bookings ran: {ran:?}");
}
