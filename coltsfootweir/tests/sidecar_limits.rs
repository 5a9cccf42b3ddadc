//! Limits on the requests of a team: buckets, leases of holder slots, tokens at an ingress, and the
//! sum over all daemons whatever is delayed, lost, frozen or restarted.

mod limits;

use std::time::Duration;

use coltsfootweir::ids::MemberId;
use coltsfootweir::sidecar::frame::TokenGrant;
use coltsfootweir::sidecar::platform_adapter::StoreFault;
use coltsfootweir::sidecar::rate_limits::limit_bucket::LimitBuckets;
use coltsfootweir::sidecar::rate_limits::limit_bucket::SlotLimit;
use coltsfootweir::sidecar::rate_limits::limit_bucket::lent_limit;
use coltsfootweir::sidecar::rate_limits::limit_lease::LEASE_TIME;
use coltsfootweir::sidecar::rate_limits::limit_lease::LeaseCandidate;
use coltsfootweir::sidecar::rate_limits::limit_lease::LeaseRow;
use coltsfootweir::sidecar::rate_limits::limit_lease::LeaseStep;
use coltsfootweir::sidecar::rate_limits::limit_lease::LimitLease;
use coltsfootweir::sidecar::rate_limits::limit_order::FORMER_TIME;
use coltsfootweir::sidecar::rate_limits::limit_order::LimitOrder;
use coltsfootweir::sidecar::rate_limits::limit_share::LimitShare;
use coltsfootweir::sidecar::rate_limits::limit_share::ShareOutcome;
use coltsfootweir::sidecar::rate_limits::limit_share::TOKEN_VALIDITY;
use coltsfootweir::sidecar::settings::QuotaBounds;
use coltsfootweir::sidecar::store_era::store_version::StoreVersion;
use proptest::prelude::*;

use crate::limits::limit_world::LimitWorld;
use crate::limits::world_event::WorldEvent;

/// Version of a store without eras.
fn version(row: u64) -> StoreVersion {
    StoreVersion::new(0, row).expect("in range")
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Guards against a slot that starts with a full bucket after each change of its holder.
#[test]
fn bucket_of_a_new_holder_is_empty() {
    let mut buckets = LimitBuckets::new(ms(10_000));
    let limit = SlotLimit::new(40.0, 400.0, 1);
    let (granted, next) = buckets.take(&"ash".into(), limit, 50, ms(10_000));
    assert_eq!((granted, next), (0, ms(50)));
    let (granted, _) = buckets.take(&"ash".into(), limit, 50, ms(11_000));
    assert_eq!(granted, 20);
}

proptest! {
    /// Guards against lent tokens whose sum in a window exceeds what the deployment allows, whatever its
    /// window, overage and slack, and against a part of that which is not lent without need.
    #[test]
    fn lent_limit_uses_the_allowance_and_stays_below_it(
        rate in 0.5..2_000.0_f64,
        burst in 0.0..2_000.0_f64,
        window_ms in 1_000..20_000_u64,
        overage in 0.0..0.5_f64,
        slack in 0.0..100.0_f64,
    ) {
        let quota = QuotaBounds { window: ms(window_ms), overage, slack };
        let (lent_rate, lent_burst) = lent_limit(rate, burst, quota);
        let window = quota.window.as_secs_f64();
        let sum = lent_rate * (window + TOKEN_VALIDITY.as_secs_f64()) + lent_burst;
        let allowed = (rate * window + burst) * (1.0 + overage) + slack;
        prop_assert!(sum <= allowed + 1e-6, "{sum} of {allowed}");
        prop_assert!(sum >= allowed - slack - 1e-6, "{sum} of {allowed}");
    }
}

/// Guards against tokens that expire unused at daemons to which a team seldom sends: of a limit that all
/// of them want, they would take the larger part.
#[test]
fn daemon_with_few_requests_asks_for_what_it_needs() {
    let mut share = LimitShare::new(&"a".into());
    let order = ["h".into()];
    for step in 0..2 {
        let now = ms(1_000 + step * 40);
        share.count_request(&"ash".into(), now);
    }
    let outcome = share.take(&"ash".into(), [false; 2], ms(1_040));
    let ShareOutcome::Ask(slot) = outcome else {
        panic!("{outcome:?}");
    };
    let question = share
        .next_question(slot, &order, ms(1_040))
        .expect("a question");
    assert_eq!(question.demands[0].wanted, 1);
}

/// Guards against a lowered limit that goes on lending what was saved under the higher one, and a
/// raised one that counts for the time before.
#[test]
fn changed_limit_takes_effect_at_once() {
    let mut buckets = LimitBuckets::new(ms(0));
    let high = SlotLimit::new(200.0, 200.0, 1);
    let low = SlotLimit::new(20.0, 20.0, 1);
    assert_eq!(buckets.take(&"ash".into(), high, 1, ms(5_000)).0, 1);
    assert_eq!(buckets.take(&"ash".into(), low, 500, ms(5_000)).0, 10);
    // A second at the low rate, although the high one is in force when it is asked for.
    assert_eq!(buckets.take(&"ash".into(), high, 500, ms(6_000)).0, 10);
}

/// Guards against a team whose limit is too low for a slot to ever hold a whole token.
#[test]
fn small_team_gets_its_tokens() {
    let mut buckets = LimitBuckets::new(ms(0));
    let limit = SlotLimit::new(2.0, 1.0, 2);
    assert_eq!(
        buckets.take(&"ash".into(), limit, 1, ms(1_000)),
        (0, ms(1_000))
    );
    assert_eq!(buckets.take(&"ash".into(), limit, 1, ms(2_000)).0, 1);
}

fn lease_row(holder: &str, run: u64) -> LeaseRow {
    LeaseRow {
        holder: holder.into(),
        run,
        count: 1,
        is_released: false,
    }
}

const FIRST: LeaseCandidate = LeaseCandidate {
    rank: Some(0),
    has_others: true,
    is_leaving: false,
    can_hand_over: false,
    has_lost_store: false,
};

/// Guards against a slot taken from a holder that still relies on its lease.
#[test]
fn slot_of_another_daemon_is_taken_only_after_its_lease() {
    let mut lease = LimitLease::new("vm-1".into(), 5, ms(0));
    assert_eq!(lease.next_step(FIRST, ms(0)), Some(LeaseStep::Read));
    lease.on_read(0, version(7), Some(lease_row("vm-2", 9)), ms(100));
    lease.on_read(1, version(8), Some(lease_row("vm-3", 9)), ms(100));
    for at in (100..6_600).step_by(200) {
        let step = lease.next_step(FIRST, ms(at));
        assert!(
            !matches!(step, Some(LeaseStep::Write(..))),
            "{step:?} at {at}"
        );
    }
    let step = lease.next_step(FIRST, ms(6_600));
    let Some(LeaseStep::Write(0, found, row)) = step else {
        panic!("{step:?}");
    };
    assert_eq!(found, version(7));
    assert!(!lease.may_lend(0, ms(6_600)));
    assert!(lease.on_written(0, row, Ok(version(9)), ms(6_600), ms(7_200)));
    assert!(lease.may_lend(0, ms(6_600) + LEASE_TIME - ms(1)));
    // The lease counts from the start of the write, not from its answer.
    assert!(!lease.may_lend(0, ms(6_600) + LEASE_TIME));
}

/// Guards against a holder that lends on the strength of a write whose result it does not know.
#[test]
fn write_without_an_answer_gives_no_lease() {
    let mut lease = LimitLease::new("vm-1".into(), 5, ms(0));
    lease.on_read(0, version(0), None, ms(0));
    lease.on_read(1, version(3), Some(lease_row("vm-2", 1)), ms(0));
    let Some(LeaseStep::Write(0, found, row)) = lease.next_step(FIRST, ms(0)) else {
        panic!("a free slot is taken");
    };
    assert_eq!(found, version(0));
    assert!(!lease.on_written(0, row.clone(), Err(StoreFault::NoAnswer), ms(0), ms(700)));
    assert!(!lease.may_lend(0, ms(700)));
    assert_eq!(lease.next_step(FIRST, ms(700)), Some(LeaseStep::Read));
    // The write has taken effect after all: the row shows it, and a renewal makes it certain.
    lease.on_read(0, version(4), Some(row), ms(800));
    assert!(!lease.may_lend(0, ms(800)));
    let step = lease.next_step(FIRST, ms(1_000));
    assert!(
        matches!(step, Some(LeaseStep::Write(0, found, _)) if found == version(4)),
        "{step:?}"
    );
}

/// Guards against a daemon that calls a store without a pause while it refuses writes.
#[test]
fn refused_write_is_repeated_after_a_pause() {
    let mut lease = LimitLease::new("vm-1".into(), 5, ms(0));
    lease.on_read(0, version(0), None, ms(0));
    lease.on_read(1, version(3), Some(lease_row("vm-2", 1)), ms(0));
    let mut writes = 0;
    for at in 0..3_000 {
        if let Some(LeaseStep::Write(slot, _, row)) = lease.next_step(FIRST, ms(at)) {
            writes += 1;
            lease.on_written(slot, row, Err(StoreFault::Refused(503)), ms(at), ms(at));
        }
    }
    assert_eq!(writes, 3);
}

/// Guards against a holder that lends after it has asked the store to free its slot, and a daemon
/// that waits for the slot of its own earlier run.
#[test]
fn leaving_holder_stops_lending_and_a_restarted_one_goes_on_soon() {
    let mut lease = LimitLease::new("vm-1".into(), 5, ms(0));
    lease.on_read(0, version(7), Some(lease_row("vm-1", 4)), ms(0));
    lease.on_read(1, version(3), Some(lease_row("vm-2", 1)), ms(0));
    assert_eq!(lease.next_step(FIRST, ms(0)), Some(LeaseStep::Read));
    let Some(LeaseStep::Write(0, found, row)) = lease.next_step(FIRST, ms(300)) else {
        panic!("the slot of the earlier run is taken");
    };
    assert_eq!(found, version(7));
    assert!(lease.on_written(0, row, Ok(version(8)), ms(300), ms(310)));
    let leaving = LeaseCandidate {
        is_leaving: true,
        ..FIRST
    };
    let Some(LeaseStep::Write(0, found, row)) = lease.next_step(leaving, ms(400)) else {
        panic!("the slot is released");
    };
    assert_eq!(found, version(8));
    assert!(row.is_released);
    assert!(!lease.may_lend(0, ms(400)));
}

fn grant(granted: u32, next_ms: u32) -> Vec<TokenGrant> {
    vec![TokenGrant {
        team: "ash".into(),
        granted,
        valid_ms: 300,
        next_ms,
    }]
}

/// Guards against tokens whose validity a slow network extends.
#[test]
fn tokens_expire_counted_from_the_question() {
    let mut share = LimitShare::new(&"vm-1".into());
    let order = ["vm-2".into(), "vm-3".into()];
    let ShareOutcome::Ask(slot) = share.take(&"ash".into(), [false; 2], ms(1_000)) else {
        panic!("no token yet");
    };
    let question = share.next_question(slot, &order, ms(1_000)).expect("one");
    let teams = share.on_granted(&question.peer, question.number, &grant(2, 0), ms(1_050));
    assert_eq!(teams, Some(vec!["ash".into()]));
    assert!(share.take_held(&"ash".into(), ms(1_299)));
    assert!(!share.take_held(&"ash".into(), ms(1_300)));
}

/// Guards against a flood that costs a question for each of its requests.
#[test]
fn flood_at_an_empty_limit_asks_nobody() {
    let mut share = LimitShare::new(&"vm-1".into());
    let order = ["vm-2".into(), "vm-3".into()];
    let mut questions = 0;
    for at in 0..1_000 {
        let outcome = share.take(&"ash".into(), [false; 2], ms(at));
        for slot in 0..2 {
            if let Some(question) = share.next_question(slot, &order, ms(at)) {
                questions += 1;
                let refusal = grant(0, 2_000);
                share.on_granted(&question.peer, question.number, &refusal, ms(at));
            }
        }
        if at > 50 {
            assert!(matches!(outcome, ShareOutcome::Exceeded(_)), "{outcome:?}");
        }
    }
    assert_eq!(questions, 2);
}

/// Guards against requests that wait for a holder that is gone, and a search that starts anew for
/// each request.
#[test]
fn holder_is_found_along_the_order_and_remembered() {
    let mut share = LimitShare::new(&"vm-1".into());
    let order = ["vm-2".into(), "vm-3".into(), "vm-4".into()];
    let ShareOutcome::Ask(slot) = share.take(&"ash".into(), [false; 2], ms(0)) else {
        panic!("no token yet");
    };
    let mut asked = Vec::new();
    for _ in 0..3 {
        let question = share
            .next_question(slot, &order, ms(1))
            .expect("a question");
        asked.push(question.peer.clone());
        let is_holder = asked.len() == 3;
        let grants = if is_holder { grant(1, 0) } else { Vec::new() };
        share.on_granted(&question.peer, question.number, &grants, ms(1));
    }
    asked.sort();
    assert_eq!(asked, order);
    assert!(share.take_held(&"ash".into(), ms(2)));
    assert!(
        matches!(share.take(&"ash".into(), [false; 2], ms(100)), ShareOutcome::Ask(of) if of == slot)
    );
    let known = share
        .next_question(slot, &order, ms(100))
        .expect("a question");
    assert_eq!(Some(&known.peer), share.holder(slot));
    // No answer: the request goes to the other slot, and later ones do not wait for this one.
    share.next_question(slot, &order, ms(160));
    let next = share.take(&"ash".into(), [false; 2], ms(170));
    assert_eq!(next, ShareOutcome::Ask(1 - slot));
}

/// Asks a slot until the search pauses; nobody answers as the holder. Returns who was asked.
fn search(share: &mut LimitShare, order: &[MemberId], now: Duration) -> (usize, Vec<MemberId>) {
    let outcome = share.take(&"ash".into(), [false; 2], now);
    let ShareOutcome::Ask(slot) = outcome else {
        panic!("{outcome:?}");
    };
    let mut asked = Vec::new();
    while let Some(question) = share.next_question(slot, order, now) {
        asked.push(question.peer.clone());
        share.on_granted(&question.peer, question.number, &[], now);
    }
    (slot, asked)
}

/// Guards against a region whose holders may lend and are not asked, because they have lost the store
/// and are no longer candidates.
#[test]
fn holder_that_is_no_longer_a_candidate_is_asked_first() {
    let mut share = LimitShare::new(&"vm-1".into());
    let order = ["vm-2".into(), "vm-3".into()];
    let ShareOutcome::Ask(slot) = share.take(&"ash".into(), [false; 2], ms(0)) else {
        panic!("no token yet");
    };
    let question = share.next_question(slot, &order, ms(0)).expect("one");
    let holder = question.peer.clone();
    share.on_granted(&holder, question.number, &grant(1, 0), ms(0));
    assert!(share.take_held(&"ash".into(), ms(1)));
    let later = ["vm-4".into(), "vm-5".into()];
    let (_, asked) = search(&mut share, &later, ms(6_000));
    assert_eq!(asked.first(), Some(&holder));
    assert_eq!(asked.len(), 3);
    // The log of refused requests names it.
    assert_eq!(share.holder(slot), Some(&holder));
    // Another daemon may have the slot by now.
    let (_, asked) = search(&mut share, &later, FORMER_TIME);
    assert!(!asked.contains(&holder), "{asked:?}");
}

/// Guards against a search that pauses before it has reached the holder, and one that asks a daemon
/// twice.
#[test]
fn search_asks_each_daemon_once_before_a_pause() {
    let mut share = LimitShare::new(&"vm-1".into());
    let order: Vec<MemberId> = (2..10).map(|of| format!("vm-{of}").into()).collect();
    let (slot, mut asked) = search(&mut share, &order, ms(0));
    assert_eq!(asked[0], order[slot]);
    asked.sort();
    assert_eq!(asked, order);
    let other = share.take(&"ash".into(), [false; 2], ms(1));
    assert_eq!(other, ShareOutcome::Ask(1 - slot));
    // After the pause all are asked again.
    let (_, asked) = search(&mut share, &order, ms(400));
    assert_eq!(asked.len(), order.len());
}

/// Guards against a holder that is asked no more when it drops out of the order, and one that is asked
/// when another daemon may have its slot.
#[test]
fn former_candidates_are_asked_after_the_present_ones() {
    let mut order = LimitOrder::default();
    let ids = |names: &[&str]| -> Vec<MemberId> { names.iter().map(|id| (*id).into()).collect() };
    let first = ids(&["vm-1", "vm-2", "vm-3"]);
    assert_eq!(order.update(first.clone(), ms(1_000)), first);
    let all = order.update(ids(&["vm-3", "vm-4"]), ms(2_000));
    assert_eq!(all, ids(&["vm-3", "vm-4", "vm-1", "vm-2"]));
    let all = order.update(ids(&["vm-4"]), ms(999) + FORMER_TIME);
    assert_eq!(all, ids(&["vm-4", "vm-3", "vm-1", "vm-2"]));
    let all = order.update(ids(&["vm-4"]), ms(1_000) + FORMER_TIME);
    assert_eq!(all, ids(&["vm-4", "vm-3"]));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(96))]

    /// Guards against two daemons that lend the same part of a limit, a bucket that is filled twice,
    /// and tokens that outlive their validity.
    #[test]
    fn no_window_exceeds_the_bound(
        seed in any::<u64>(),
        burst in prop_oneof![Just(4.0), Just(40.0)],
        events in proptest::collection::vec(limits::world_event::world_event(), 0..24),
    ) {
        let mut world = LimitWorld::new(seed, burst);
        world.has_duplicates = true;
        world.run(&events);
        prop_assert!(world.excess() <= 0.0, "{} too many", world.excess());
        prop_assert!(world.most_lenders <= 1, "{} holders of a slot", world.most_lenders);
    }
}

/// Guards against a model in which nothing is lent, which would keep any bound.
#[test]
fn undisturbed_daemons_run_what_the_limit_allows() {
    let mut world = LimitWorld::new(1, 40.0);
    world.run(&[WorldEvent::Calm]);
    assert!(world.excess() <= 0.0);
    let share = world.share_used();
    assert!(share > 0.9, "{share} of the rate");
    let mut world = LimitWorld::new(1, 4.0);
    world.run(&[WorldEvent::Calm]);
    let share = world.share_used();
    assert!(
        share > 0.5,
        "{share} of the rate with a bucket of two tokens"
    );
    println!("{share} of the rate with a bucket of two tokens");
}

/// Losses of the store of all holders, for up to 20 s each.
fn losses() -> impl Strategy<Value = Vec<WorldEvent>> {
    let loss = (1..2_000_u64, any::<bool>());
    let event = loss.prop_map(|(ticks, lands)| WorldEvent::CutHolders(ticks, lands));
    proptest::collection::vec(event, 1..8)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(96))]

    /// Guards against a region that is without a holder while one of its daemons has the store, and
    /// against tokens that an old and a new holder lend together.
    #[test]
    fn region_has_a_holder_while_a_daemon_has_the_store(
        seed in any::<u64>(),
        events in losses(),
    ) {
        let mut world = LimitWorld::new(seed, 40.0);
        world.is_network_sound = true;
        world.run(&events);
        prop_assert!(world.excess() <= 0.0, "{} too many", world.excess());
        prop_assert!(world.most_lenders <= 1, "{} holders of a slot", world.most_lenders);
        let longest = world.longest_without_holder();
        prop_assert!(longest <= 1_000, "{longest} ms without a holder");
    }
}

/// Guards against a hand-over that never happens in the model, and one that takes slots from a holder
/// whose renewals succeed or gives them back when the store returns.
#[test]
fn slots_move_once_when_their_holders_lose_the_store() {
    let mut world = LimitWorld::new(3, 40.0);
    world.is_network_sound = true;
    world.run(&[WorldEvent::Calm, WorldEvent::DoubtStore(0, 1_500)]);
    assert_eq!((world.handed_over, world.taken), (0, 2));
    let mut world = LimitWorld::new(3, 40.0);
    world.is_network_sound = true;
    world.run(&[WorldEvent::CutStore(0, 1_500)]);
    assert!(world.handed_over > 0);
    assert_eq!(world.taken, 3);
}
