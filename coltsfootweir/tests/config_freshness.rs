//! Proofs that the configuration in force is the newest one: no key is used for longer than the
//! bound after it was withdrawn, whatever is delayed, lost, frozen or restarted.

use std::time::Duration;

use coltsfootweir::ids::MemberId;
use coltsfootweir::sidecar::teams::config_freshness::ConfigFreshness;
use coltsfootweir::sidecar::teams::config_freshness::QUESTION_PAUSE;
use proptest::prelude::*;

const LIMIT: Duration = Duration::from_secs(5);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn peers(names: &[&str]) -> Vec<MemberId> {
    names.iter().map(|name| (*name).into()).collect()
}

/// Guards against a proof that a response renews by the time for which it was held up, for example by
/// a partition between question and response.
#[test]
fn delayed_response_is_dated_at_its_question() {
    let mut freshness = ConfigFreshness::default();
    let sources = peers(&["relay"]);
    let question = freshness
        .next_question(&sources, ms(1_000))
        .expect("a question");
    let answer = (7, Some(ms(800)));
    // The response arrives 8 s later; the time at which it is handled is not even an input.
    freshness.on_response(&"relay".into(), question.number, answer, 7);
    assert!(freshness.is_proven(ms(5_200), LIMIT));
    assert!(!freshness.is_proven(ms(9_000), LIMIT));
    assert_eq!(freshness.age(ms(9_000)), Some(ms(8_800)));
}

/// Guards against the use of keys of a configuration that was replaced while it was sent here.
#[test]
fn proof_of_a_newer_configuration_proves_nothing() {
    let mut freshness = ConfigFreshness::default();
    freshness.record(8, ms(1_000), 7);
    assert!(!freshness.is_proven(ms(1_000), LIMIT));
    freshness.record(0, ms(1_000), 0);
    assert!(!freshness.is_proven(ms(1_000), LIMIT));
}

/// Guards against a daemon that refuses its clients because the one it asks is gone or has no proof.
#[test]
fn unanswered_and_useless_questions_go_to_another_daemon() {
    let mut freshness = ConfigFreshness::default();
    let sources = peers(&["frozen", "restarted", "sound"]);
    let first = freshness
        .next_question(&sources, ms(0))
        .expect("a question");
    assert_eq!(*first.peer, *"frozen");
    assert_eq!(freshness.next_question(&sources, ms(100)), None);
    let now = QUESTION_PAUSE;
    let second = freshness.next_question(&sources, now).expect("a question");
    assert_eq!(*second.peer, *"restarted");
    freshness.on_response(&second.peer, second.number, (7, None), 7);
    let third = freshness.next_question(&sources, now).expect("a question");
    assert_eq!(*third.peer, *"sound");
    freshness.on_response(&third.peer, third.number, (7, Some(ms(10))), 7);
    assert!(freshness.is_proven(now, ms(10)));
    // It stays with the daemon that answered.
    let later = now + ms(1_000);
    let fourth = freshness
        .next_question(&sources, later)
        .expect("a question");
    assert_eq!(*fourth.peer, *"sound");
}

/// Guards against a late response to an earlier question that is taken for one to the latest.
#[test]
fn response_to_an_earlier_question_is_ignored() {
    let mut freshness = ConfigFreshness::default();
    let sources = peers(&["relay"]);
    let first = freshness
        .next_question(&sources, ms(0))
        .expect("a question");
    let second = freshness
        .next_question(&sources, ms(4_000))
        .expect("a question");
    assert_ne!(first.number, second.number);
    freshness.on_response(&first.peer, first.number, (7, Some(ms(0))), 7);
    assert_eq!(freshness.age(ms(4_000)), None);
}

/// Guards against questions that a daemon with a young proof of its own sends for nothing.
#[test]
fn young_proof_needs_no_question() {
    let mut freshness = ConfigFreshness::default();
    freshness.record(3, ms(1_000), 3);
    assert_eq!(freshness.next_question(&peers(&["relay"]), ms(1_500)), None);
    assert!(
        freshness
            .next_question(&peers(&["relay"]), ms(2_000))
            .is_some()
    );
}

/// One step of a fleet of a store watcher, a relay and a daemon.
#[derive(Clone, Debug)]
enum FleetStep {
    /// Time passes.
    Pass(u64),
    /// The operator changes the configuration.
    Change,
    /// The watcher begins a read of the store.
    BeginRead,
    /// The store answers the read, if one is open.
    EndRead,
    /// A daemon asks the one before it; frames that were sent later may be received earlier.
    Ask(usize),
    /// The daemon before it answers, if a question is on its way.
    Answer(usize),
    /// An answer is received, if one is on its way.
    Receive(usize),
    /// A daemon gets the configuration of the one before it.
    Adopt(usize),
    /// A daemon restarts and gets the configuration of the one before it without a proof.
    Restart(usize),
}

#[derive(Default)]
struct Daemon {
    freshness: ConfigFreshness,
    active: u64,
    question: Option<u32>,
    answer: Option<(u32, u64, Option<Duration>)>,
}

fn fleet_step() -> impl Strategy<Value = FleetStep> {
    prop_oneof![
        3 => (1..3_000_u64).prop_map(FleetStep::Pass),
        1 => Just(FleetStep::Change),
        2 => Just(FleetStep::BeginRead),
        2 => Just(FleetStep::EndRead),
        2 => (1..3_usize).prop_map(FleetStep::Ask),
        2 => (1..3_usize).prop_map(FleetStep::Answer),
        2 => (1..3_usize).prop_map(FleetStep::Receive),
        2 => (1..3_usize).prop_map(FleetStep::Adopt),
        1 => (0..3_usize).prop_map(FleetStep::Restart),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(500))]

    /// Guards against any order of events after which a daemon holds a configuration for proven
    /// although a newer one was acknowledged longer ago than the bound.
    #[test]
    fn proven_configuration_was_replaced_within_the_bound(
        steps in prop::collection::vec(fleet_step(), 1..120),
    ) {
        let mut now = ms(10_000);
        // Times at which the versions were acknowledged; the first is version 1.
        let mut changes = vec![now];
        let mut daemons: [Daemon; 3] = Default::default();
        let mut read: Option<Duration> = None;
        for step in steps {
            match step {
                FleetStep::Pass(millis) => now += ms(millis),
                FleetStep::Change => changes.push(now),
                FleetStep::BeginRead => read = Some(now),
                FleetStep::EndRead => {
                    if let Some(begun) = read.take() {
                        // The answer left the store at any time since; the worst is the beginning.
                        let newest = changes.iter().filter(|at| **at <= begun).count() as u64;
                        let watcher = &mut daemons[0];
                        watcher.active = watcher.active.max(newest);
                        watcher.freshness.record(newest, begun, watcher.active);
                    }
                }
                FleetStep::Ask(index) => {
                    let daemon = &mut daemons[index];
                    let sources = peers(&["before"]);
                    if let Some(question) = daemon.freshness.next_question(&sources, now) {
                        daemon.question = Some(question.number);
                    }
                }
                FleetStep::Answer(index) => {
                    let before = &daemons[index - 1];
                    let reply = (before.active, before.freshness.age(now));
                    let daemon = &mut daemons[index];
                    if let Some(number) = daemon.question.take() {
                        daemon.answer = Some((number, reply.0, reply.1));
                    }
                }
                FleetStep::Receive(index) => {
                    let daemon = &mut daemons[index];
                    if let Some((number, version, age)) = daemon.answer.take() {
                        let active = daemon.active;
                        let peer = "before".into();
                        daemon.freshness.on_response(&peer, number, (version, age), active);
                    }
                }
                FleetStep::Adopt(index) => {
                    let version = daemons[index - 1].active;
                    let daemon = &mut daemons[index];
                    daemon.active = daemon.active.max(version);
                }
                FleetStep::Restart(index) => {
                    let active = match index {
                        0 => 0,
                        _ => daemons[index - 1].active,
                    };
                    daemons[index] = Daemon { active, ..Daemon::default() };
                    if index == 0 {
                        read = None;
                    }
                }
            }
            for daemon in &daemons {
                if !daemon.freshness.is_proven(now, LIMIT) {
                    continue;
                }
                // The configuration after the active one, if there is one, replaced it.
                let replaced_at = changes.get(daemon.active as usize);
                let is_in_bound = replaced_at.is_none_or(|at| now <= *at + LIMIT);
                prop_assert!(is_in_bound, "version {} at {now:?}", daemon.active);
            }
        }
    }
}
