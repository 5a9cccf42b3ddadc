//! Grants of large request bodies over a receiver's link of limited bandwidth, by load pattern.

mod uploads;

use std::time::Duration;

use coltsfootweir::sidecar::client_limits::byte_account::ByteAccount;
use coltsfootweir::sidecar::link::uplink_schedule::PIECE_BYTES;
use coltsfootweir::sidecar::link::uplink_schedule::TransferClass;
use coltsfootweir::sidecar::link::uplink_schedule::TransferSpec;
use coltsfootweir::sidecar::link::uplink_schedule::UplinkSchedule;
use coltsfootweir::sidecar::uploads::body_memory::BodyMemory;
use coltsfootweir::sidecar::uploads::grant_schedule::BodySpec;
use coltsfootweir::sidecar::uploads::grant_schedule::GrantSchedule;
use coltsfootweir::sidecar::uploads::grant_schedule::PieceEffect;

use uploads::receiver_world::ReceiverWorld;
use uploads::receiver_world::THIN_MBITS;
use uploads::receiver_world::THIN_RATE;
use uploads::receiver_world::grant_all;
use uploads::receiver_world::ms;
use uploads::receiver_world::spec;
use uploads::receiver_world::upload_size;

/// Time limit for the response to a ping between daemons: a sixth of it is what a ping may wait
/// behind bodies.
const PING_LIMIT: Duration = Duration::from_millis(600);

/// Counts accepted bodies that were not received by their due time.
fn late_count(world: &ReceiverWorld) -> usize {
    let on_time = |id: &u64| {
        world
            .whole_at
            .get(id)
            .is_some_and(|at| *at <= world.due[id])
    };
    world.due.keys().filter(|id| !on_time(id)).count()
}

/// Guards against pings that starve, and bodies that arrive in part only, where seven receivers of
/// 10 Mbit/s share bursts of 114 uploads a second. Each of them sees the same load.
#[test]
fn burst_of_uploads_over_thin_links_leaves_room_for_pings() {
    for receiver in 0..7_u64 {
        let mut world = ReceiverWorld::new(THIN_MBITS);
        let mut refused = 0;
        let mut offered = 0;
        // Pairs at once: the balancers of several daemons choose alike.
        for number in 0..160_u64 {
            world.step_to(ms(number / 2 * 122));
            let size = upload_size(number + receiver);
            offered += 1;
            let due = world.now + ms(900);
            if world.offer(spec(1, due, size)).is_err() {
                refused += 1;
            }
        }
        world.step_to(world.now + ms(1_000));
        assert_eq!(late_count(&world), 0, "receiver {receiver}");
        assert!(refused * 10 <= offered, "{refused} of {offered}");
        let queue = world.longest_queue;
        assert!(queue <= PING_LIMIT / 6, "{queue:?}");
    }
}

/// Guards against a link that carries bodies in part, none of which runs, when twice as many are sent
/// as it carries.
#[test]
fn overload_is_refused_at_once_and_the_rest_is_in_time() {
    let mut world = ReceiverWorld::new(THIN_MBITS);
    let mut waits = Vec::new();
    for number in 0..400_u64 {
        world.step_to(ms(number * 24));
        let due = world.now + ms(500);
        if let Err(wait) = world.offer(spec(1, due, 60_000)) {
            waits.push(wait);
        }
    }
    let used = world.received as f64 / (THIN_RATE * world.now.as_secs_f64());
    world.step_to(world.now + ms(600));
    assert_eq!(late_count(&world), 0);
    assert!(used > 0.85, "{used}");
    // A slot for one body comes free every 48 ms, so the time is short, and true.
    assert!(
        waits.iter().all(|wait| *wait < ms(200)),
        "{:?}",
        waits.iter().max()
    );
}

/// Guards against a body of seconds that holds up those of milliseconds.
#[test]
fn long_body_beside_many_short_ones_goes_in_their_gaps() {
    let mut world = ReceiverWorld::new(THIN_MBITS);
    let long = world.offer(spec(1, ms(8_000), 4_000_000)).expect("room");
    for number in 0..60_u64 {
        world.step_to(ms(number * 50));
        let due = world.now + ms(250);
        world.offer(spec(1, due, 30_000)).expect("room");
    }
    world.step_to(ms(8_000));
    assert_eq!(late_count(&world), 0);
    assert!(world.whole_at[&long] > ms(4_000));
}

/// Guards against bodies of urgent calls that wait for others, which running requests depend on.
#[test]
fn more_urgent_rank_is_granted_first() {
    let mut schedule = GrantSchedule::new(THIN_MBITS);
    let late = schedule.offer(spec(2, ms(300), 100_000), ms(0));
    let urgent = schedule.offer(spec(0, ms(900), 100_000), ms(0));
    let granted = grant_all(&mut schedule, ms(0));
    assert!(granted.contains_key(&urgent.expect("room")));
    assert!(!granted.contains_key(&late.expect("room")));
}

/// Guards against senders that vanish, or do not use their grants, and block the others for good.
#[test]
fn grants_that_are_not_used_do_not_block_the_others() {
    let mut world = ReceiverWorld::new(THIN_MBITS);
    for _ in 0..4 {
        let id = world.offer(spec(1, ms(5_000), 60_000)).expect("room");
        world.vanished.push(id);
    }
    world.step_to(ms(10));
    let id = world.offer(spec(1, ms(6_000), 300_000)).expect("room");
    world.step_to(ms(3_000));
    assert!(world.whole_at.contains_key(&id));
    assert!(world.longest_queue <= PING_LIMIT / 6);
}

/// Guards against grants that are not freed when a call is cancelled or its link ends.
#[test]
fn cancelled_body_frees_its_grants() {
    let mut schedule = GrantSchedule::new(THIN_MBITS);
    let first = schedule.offer(spec(1, ms(900), 200_000), ms(0));
    let second = schedule.offer(spec(1, ms(901), 200_000), ms(0));
    let (first, second) = (first.expect("room"), second.expect("room"));
    assert!(!grant_all(&mut schedule, ms(0)).contains_key(&second));
    schedule.remove(first);
    assert_eq!(schedule.receive(first, 1, ms(1)), PieceEffect::Stray);
    assert!(grant_all(&mut schedule, ms(1)).contains_key(&second));
    schedule.remove(second);
    assert!(schedule.is_empty());
    assert_eq!(schedule.on_the_way(ms(1)), 0);
}

/// Guards against a link that is spent on requests that nobody waits for.
#[test]
fn nothing_is_granted_after_the_time_limit() {
    let mut schedule = GrantSchedule::new(THIN_MBITS);
    let offered = BodySpec {
        give_up: ms(200),
        ..spec(1, ms(100), 500_000)
    };
    let late = schedule.offer(offered, ms(0)).expect("room");
    let other = schedule.offer(spec(1, ms(3_000), 20_000), ms(100));
    // Late bodies have the time that others leave.
    let granted = grant_all(&mut schedule, ms(100));
    assert_eq!(granted[&other.expect("room")], 20_000);
    assert!(granted[&late] > 0);
    let before = schedule.granted(late);
    schedule.receive(late, before, ms(199));
    assert!(grant_all(&mut schedule, ms(200)).is_empty());
}

/// Guards against uploads that are late, each as the one before it could no longer be in time but went
/// first.
#[test]
fn body_that_can_only_be_late_goes_after_those_in_time() {
    let mut schedule = GrantSchedule::new(THIN_MBITS);
    let offered = BodySpec {
        give_up: ms(4_000),
        ..spec(1, ms(900), 400_000)
    };
    let late = schedule.offer(offered, ms(0)).expect("room");
    grant_all(&mut schedule, ms(0));
    schedule.receive(late, 3 * PIECE_BYTES, ms(700));
    // The 351 KB that are missing take 281 ms.
    let other = schedule.offer(spec(1, ms(1_200), 40_000), ms(700));
    let other = other.expect("room");
    let granted = grant_all(&mut schedule, ms(700));
    assert_eq!(granted[&other], 40_000);
    schedule.receive(other, 40_000, ms(730));
    assert_eq!(schedule.next(ms(730)), Some(late));
}

/// Guards against bodies that are too long for the target time and are never received, and against such
/// ones that are accepted without the time for them.
#[test]
fn body_too_long_for_the_target_time_is_received_behind_others() {
    let mut schedule = GrantSchedule::new(THIN_MBITS);
    let first = schedule.offer(spec(1, ms(900), 100_000), ms(0));
    let first = first.expect("room");
    let long = BodySpec {
        give_up: ms(4_000),
        ..spec(0, ms(900), 2_000_000)
    };
    let too_long = BodySpec {
        give_up: ms(2_000),
        ..long
    };
    // 2.1 MB take 1.68 s, for which 2.1 s are planned.
    assert_eq!(schedule.offer(too_long, ms(0)), Err(ms(100)));
    let long = schedule.offer(long, ms(0)).expect("room");
    let granted = grant_all(&mut schedule, ms(0));
    assert!(!granted.contains_key(&long));
    schedule.receive(first, granted[&first], ms(40));
    assert_eq!(grant_all(&mut schedule, ms(40))[&first], 100_000);
    schedule.receive(first, 100_000 - granted[&first], ms(80));
    schedule.remove(first);
    assert_eq!(schedule.next(ms(80)), Some(long));
}

/// Guards against memory that a peer fills without being granted it.
#[test]
fn bytes_beyond_the_grant_are_stray() {
    let mut schedule = GrantSchedule::new(THIN_MBITS);
    let id = schedule.offer(spec(1, ms(900), 500_000), ms(0));
    let id = id.expect("room");
    grant_all(&mut schedule, ms(0));
    let granted = schedule.granted(id);
    assert_eq!(schedule.receive(id, granted + 1, ms(1)), PieceEffect::Stray);
    assert_eq!(schedule.receive(id, granted, ms(1)), PieceEffect::Partial);
}

/// Guards against bounds that leave a thin link idle or fill a broad one with seconds of bodies.
#[test]
fn bound_follows_the_link() {
    for (mbits, bytes) in [
        (1, 32_768),
        (10, 62_500),
        (1_000, 1_048_576),
        (0, 1_048_576),
    ] {
        assert_eq!(GrantSchedule::new(mbits).limit(), bytes, "{mbits} Mbit/s");
    }
}

/// Guards against bodies from other daemons that together with those of clients outgrow the memory, and
/// against a body inside the limits that is refused on an idle VM.
#[test]
fn bodies_share_the_account_and_one_of_the_largest_size_fits() {
    let account = ByteAccount::new(80_000_000);
    let memory: &dyn BodyMemory = &account;
    let large = memory.reserve(67_108_864);
    assert!(large.is_some());
    assert!(memory.reserve(10_000_000).is_none());
    drop(large);
    let of_client = account.reserve(60_000_000).expect("room");
    assert!(memory.reserve(10_000_001).is_none());
    assert!(memory.reserve(10_000_000).is_some());
    drop(of_client);
    assert_eq!(account.held(), 0);
}

/// Guards against bodies that are sent ahead of their grants, or count as a backlog of the sender's link
/// while they wait for that of the receiver, which would refuse answers.
#[test]
fn sender_sends_what_is_granted_and_counts_nothing_else() {
    let mut schedule = UplinkSchedule::default();
    let body = schedule.open(TransferSpec {
        class: TransferClass::Body,
        link: 1,
        due: ms(500),
    });
    schedule.queue(body, 300_000);
    assert_eq!(schedule.next(ms(0)), None);
    assert_eq!(schedule.backlog(), 0);
    schedule.grant(body, 20_000);
    assert_eq!(schedule.next(ms(0)), Some((body, PIECE_BYTES)));
    assert_eq!(schedule.next(ms(0)), Some((body, 20_000 - PIECE_BYTES)));
    assert_eq!(schedule.next(ms(0)), None);
    assert_eq!(schedule.backlog(), 20_000);
    // A grant that came late does not take one back.
    schedule.grant(body, 10_000);
    schedule.acknowledge(body, 20_000, 20_000, ms(5));
    assert_eq!(schedule.backlog(), 0);
    assert!(schedule.has_queued(body));
    assert!(!schedule.is_through(body));
}
