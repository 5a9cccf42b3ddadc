//! A booking runs at most once, whatever its caller resends through other daemons, while daemons
//! die or freeze, answers are lost and the store fails. The upstreams' logs of runs are the oracle.

mod common;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::RwLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use standins::relay::RelayMode;
use standins::relay::TcpRelay;
use standins::upstream_settings::UpstreamSettings;

use common::PATIENCE;
use common::caller::CallEnd;
use common::caller::CallSpec;
use common::caller::KeptCaller;
use common::caller::WholeAnswer;
use common::caller::call_once;
use common::fleet::StopOnDrop;
use common::fleet::TestFleet;
use common::fleet::assert_at_most_once;
use common::fleet::mint_key;
use common::fleet::pause;
use common::fleet::run_callers;
use common::fleet::run_counts;
use common::wait_for;

const CALLERS: usize = 24;

/// Times a caller sends each booking at most.
const SENDS: usize = 5;

/// Longest wait of a caller for one answer before it sends again.
const IMPATIENCE: Duration = Duration::from_millis(400);

/// Longest time a refusal may take on a busy machine when its deadline is 100 ms.
const MAX_REFUSAL_TIME: Duration = Duration::from_millis(1500);

fn upstream_settings() -> UpstreamSettings {
    let mut settings = UpstreamSettings::new("stalls", "v1");
    settings.work = Duration::from_millis(20);
    settings.work_jitter_percent = 100;
    settings
}

fn book(key: &str) -> CallSpec {
    CallSpec::post("/bookings/stall", "stall 4").with("idempotency-key", key)
}

/// Answers by key: the body of the first good one.
type FirstAnswers = Mutex<HashMap<String, Vec<u8>>>;

/// Fails the test when a good answer is not the first one to its key.
fn check_first(first: &FirstAnswers, key: &str, answer: &WholeAnswer) {
    let mut first = first.lock().expect("answers");
    let kept = first
        .entry(key.into())
        .or_insert_with(|| answer.body.clone());
    assert_eq!(*kept, answer.body, "{key}: a repeat got a different answer");
}

struct CallerView<'a> {
    addresses: &'a RwLock<Vec<SocketAddr>>,
    stop: &'a AtomicBool,
    first: &'a FirstAnswers,
}

fn book_until_stopped(caller: usize, view: &CallerView<'_>) {
    let mut rng = ChaCha8Rng::seed_from_u64(caller as u64);
    let mut pick = || {
        let addresses = view.addresses.read().expect("addresses");
        let index = rng.random_range(0..addresses.len());
        (addresses[index], rng.random_range(0..3) == 0)
    };
    for number in 0.. {
        if view.stop.load(Ordering::Relaxed) {
            return;
        }
        let minted = if number % 2 == 0 {
            mint_key(pick().0)
        } else {
            None
        };
        let key = minted.unwrap_or_else(|| format!("own-{caller}-{number}"));
        for _ in 0..SENDS {
            let (address, repeats_answered) = pick();
            let mut sender = KeptCaller::new(address);
            sender.timeout = IMPATIENCE;
            let Some(answer) = sender.call(&book(&key)).whole() else {
                continue;
            };
            if answer.is_good() {
                check_first(view.first, &key, &answer);
                if !repeats_answered {
                    break;
                }
            }
        }
    }
}

/// Books through the whole fleet while `fail` breaks parts of it, then holds the logs to the rule.
fn prove_once(fleet: &mut TestFleet, mut fail: impl FnMut(&mut TestFleet, usize)) {
    let addresses = RwLock::new(fleet.calls());
    let stop = AtomicBool::new(false);
    let first = FirstAnswers::default();
    let view = CallerView {
        addresses: &addresses,
        stop: &stop,
        first: &first,
    };
    std::thread::scope(|scope| {
        let stopper = StopOnDrop(&stop);
        let view = &view;
        for caller in 0..CALLERS {
            scope.spawn(move || book_until_stopped(caller, view));
        }
        for round in 0..8 {
            pause(Duration::from_millis(400));
            fail(fleet, round);
            *addresses.write().expect("addresses") = fleet.calls();
        }
        pause(Duration::from_millis(400));
        drop(stopper);
    });
    let runs = fleet.runs();
    assert_at_most_once(&runs);
    let good = first.into_inner().expect("answers");
    let counts = run_counts(&runs);
    for key in good.keys() {
        assert!(counts.contains_key(key), "{key} was answered and never ran");
    }
    assert!(good.len() > 50, "only {} bookings done", good.len());
}

#[test]
fn bookings_run_once_while_daemons_die_at_random() {
    let mut fleet = TestFleet::start_logged(4, &upstream_settings());
    let mut rng = ChaCha8Rng::seed_from_u64(41);
    prove_once(&mut fleet, |fleet, _| {
        fleet.restart_daemon(rng.random_range(0..4));
    });
}

#[test]
fn minted_key_of_a_daemon_that_died_is_in_doubt_and_runs_no_more() {
    let mut fleet = TestFleet::start_logged(2, &upstream_settings());
    let mut keys = Vec::new();
    for number in 0..10 {
        let calls = fleet.daemons[number % 2].calls;
        let key = mint_key(calls).expect("a key");
        let answer = call_once(calls, &book(&key)).whole().expect("an answer");
        assert!(answer.is_good(), "{}", answer.text());
        keys.push(key);
    }
    (0..2).for_each(|index| fleet.restart_daemon(index));
    fleet.wait_ready();
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
    let mut fleet = TestFleet::start_logged(4, &upstream_settings());
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
    let mut fleet = TestFleet::start_logged(3, &upstream_settings());
    prove_once(&mut fleet, |fleet, round| {
        let faults = match round % 4 {
            0 => r#"{"lose_answers": 8}"#,
            1 => r#"{"outage": true}"#,
            2 => r#"{"delay": 300, "lose_answers": 4, "lose_requests": 4}"#,
            _ => "{}",
        };
        fleet.set_platform_faults(faults);
    });
}

#[test]
fn claim_whose_answer_was_lost_is_settled_by_a_resend_through_another_daemon() {
    let fleet = TestFleet::start_logged(3, &upstream_settings());
    for number in 0..12_usize {
        let key = format!("lost-claim-{number}");
        fleet.set_platform_faults(r#"{"lose_answers": 1}"#);
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
    let fleet = TestFleet::start_logged(3, &upstream_settings());
    fleet.set_platform_faults(r#"{"outage": true}"#);
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
    fleet.set_platform_faults("{}");
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
    let fleet = TestFleet::start_logged(3, &upstream_settings());
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
    let fleet = TestFleet::start_logged(1, &upstream_settings());
    fleet.set_platform_faults(r#"{"delay": 2500}"#);
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
