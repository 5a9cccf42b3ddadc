//! Order and pace of large transfers over a link of limited bandwidth, by load pattern. The link is
//! simulated: a queue in front of a fixed rate, and a fixed delay each way.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use coltsfootweir::sidecar::link::uplink_schedule::LinkId;
use coltsfootweir::sidecar::link::uplink_schedule::PIECE_BYTES;
use coltsfootweir::sidecar::link::uplink_schedule::TRANSFER_CREDIT;
use coltsfootweir::sidecar::link::uplink_schedule::TransferClass;
use coltsfootweir::sidecar::link::uplink_schedule::TransferId;
use coltsfootweir::sidecar::link::uplink_schedule::TransferSpec;
use coltsfootweir::sidecar::link::uplink_schedule::UplinkSchedule;

/// Time limit for the response to a ping between daemons: a sixth of it is what a ping may wait
/// behind large transfers.
const PING_LIMIT: Duration = Duration::from_millis(600);

/// A thin link in bytes a second: 16 Mbit/s.
const THIN_LINK: f64 = 2_000_000.0;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn answer(link: LinkId, due: Duration) -> TransferSpec {
    TransferSpec {
        class: TransferClass::Answer,
        link,
        due,
    }
}

fn config(link: LinkId) -> TransferSpec {
    TransferSpec {
        class: TransferClass::Configuration,
        link,
        due: Duration::ZERO,
    }
}

/// A simulated VM with one network connection.
struct LinkWorld {
    schedule: UplinkSchedule,
    now: Duration,
    rate: f64,
    delay: Duration,
    /// Pieces in the network, with the time at which each is acknowledged.
    network: VecDeque<(Duration, TransferId, u64)>,
    /// Time at which the link has sent everything handed to it.
    free_at: Duration,
    received: HashMap<TransferId, u64>,
    /// Transfers whose receiver does not consume what it gets.
    unread: Vec<TransferId>,
    /// Links that deliver nothing.
    silent: Vec<LinkId>,
    links: HashMap<TransferId, LinkId>,
    /// Time at which all bytes of a transfer were received.
    through_at: BTreeMap<TransferId, Duration>,
    sizes: HashMap<TransferId, u64>,
    /// Longest time that a small frame would have waited in front of the link.
    longest_wait: Duration,
    order: Vec<TransferId>,
}

impl LinkWorld {
    fn new(rate: f64, delay: Duration) -> LinkWorld {
        LinkWorld {
            schedule: UplinkSchedule::default(),
            now: Duration::ZERO,
            rate,
            delay,
            network: VecDeque::new(),
            free_at: Duration::ZERO,
            received: HashMap::new(),
            unread: Vec::new(),
            silent: Vec::new(),
            links: HashMap::new(),
            through_at: BTreeMap::new(),
            sizes: HashMap::new(),
            longest_wait: Duration::ZERO,
            order: Vec::new(),
        }
    }

    fn open(&mut self, spec: TransferSpec, bytes: u64) -> TransferId {
        let id = self.schedule.open(spec);
        self.schedule.queue(id, bytes);
        self.sizes.insert(id, bytes);
        self.links.insert(id, spec.link);
        id
    }

    /// Moves time forward by a millisecond.
    fn step(&mut self) {
        self.now += ms(1);
        while let Some((at, id, bytes)) = self.network.front().copied() {
            if at > self.now {
                break;
            }
            self.network.pop_front();
            let received = self.received.entry(id).or_default();
            *received += bytes;
            let received = *received;
            let consumed = match self.unread.contains(&id) {
                true => 0,
                false => received,
            };
            self.schedule.acknowledge(id, received, consumed, self.now);
            if self.sizes.get(&id) == Some(&received) {
                self.through_at.insert(id, self.now);
            }
        }
        while let Some((id, bytes)) = self.schedule.next(self.now) {
            assert!(bytes > 0 && bytes <= PIECE_BYTES);
            self.order.push(id);
            if self.silent.contains(&self.links[&id]) {
                continue;
            }
            let start = self.free_at.max(self.now);
            self.free_at = start + Duration::from_secs_f64(bytes as f64 / self.rate);
            let acknowledged = self.free_at + self.delay * 2;
            self.network.push_back((acknowledged, id, bytes));
        }
        let wait = self.free_at.saturating_sub(self.now);
        self.longest_wait = self.longest_wait.max(wait);
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }
}

#[test]
fn one_large_answer_lets_small_frames_pass_soon() {
    let mut world = LinkWorld::new(THIN_LINK, ms(1));
    let id = world.open(answer(1, ms(10_000)), 4_000_000);
    world.run(ms(3_000));
    assert!(
        world.longest_wait < PING_LIMIT / 6,
        "{:?}",
        world.longest_wait
    );
    // The link is not left idle for that.
    let through = world.through_at[&id];
    assert!(through < ms(2_000) * 11 / 10, "{through:?}");
}

#[test]
fn far_receiver_leaves_the_link_busy() {
    let mut world = LinkWorld::new(THIN_LINK, ms(30));
    for link in 1..=2 {
        world.open(answer(link, ms(10_000)), 2_000_000);
    }
    world.run(ms(4_000));
    let last = world.through_at.values().max().expect("an end");
    assert!(world.through_at.len() == 2 && *last < ms(2_600), "{last:?}");
    assert!(
        world.longest_wait < PING_LIMIT / 6,
        "{:?}",
        world.longest_wait
    );
}

#[test]
fn many_large_answers_end_one_after_the_other_in_order_of_their_due_times() {
    let mut world = LinkWorld::new(THIN_LINK, ms(1));
    let mut ids = Vec::new();
    for number in 0..10 {
        // Due every 50 ms, opened in another order.
        let due = ms(50 * (1 + number * 7 % 10));
        ids.push((due, world.open(answer(number, due), 90_000)));
    }
    world.run(ms(600));
    for (due, id) in ids {
        let through = world.through_at[&id];
        // A piece of another answer that is on its way already may come between.
        assert!(through <= due + ms(30), "due {due:?}, through {through:?}");
    }
}

/// New answers are let in by what waits before them, so late ones go first and none is lost.
#[test]
fn answer_that_is_late_goes_before_those_that_come_after_it() {
    let mut world = LinkWorld::new(THIN_LINK, ms(1));
    let late = world.open(answer(1, ms(20)), 400_000);
    world.run(ms(30));
    for number in 0..20 {
        let due = world.now + ms(450);
        world.open(answer(number, due), 90_000);
        world.run(ms(20));
    }
    let through = world.through_at.get(&late);
    assert!(through.is_some_and(|at| *at < ms(260)), "{through:?}");
}

#[test]
fn rate_and_times_are_learned_under_load() {
    for rate in [THIN_LINK / 1.6, THIN_LINK, THIN_LINK * 6.0] {
        let mut world = LinkWorld::new(rate, ms(1));
        assert_eq!(world.schedule.time_for(90_000), Duration::ZERO);
        for link in 0..30 {
            world.open(answer(link, ms(10_000)), 90_000);
        }
        world.run(ms(200));
        let learned = world.schedule.rate().expect("a rate");
        assert!(
            (rate * 0.8..rate * 1.25).contains(&learned),
            "{learned} of {rate}"
        );
        let expected = world.now + world.schedule.time_for(0);
        world.run(ms(3_000));
        let last = world.through_at.values().max().copied().expect("an end");
        let error = last.abs_diff(expected);
        assert!(error < expected / 4, "{last:?} instead of {expected:?}");
    }
}

#[test]
fn low_rate_is_corrected_without_a_backlog() {
    let mut world = LinkWorld::new(THIN_LINK / 20.0, ms(1));
    world.open(answer(1, ms(10_000)), 200_000);
    world.run(ms(2_500));
    let low = world.schedule.rate().expect("a rate");
    world.rate = THIN_LINK;
    for number in 0..20 {
        world.open(answer(1, ms(10_000)), 90_000 + number);
        world.run(ms(100));
    }
    let learned = world.schedule.rate().expect("a rate");
    assert!(
        low < THIN_LINK / 10.0 && learned > THIN_LINK * 0.6,
        "{low}, {learned}"
    );
}

#[test]
fn receiver_that_does_not_read_stops_only_its_own_answer() {
    let mut world = LinkWorld::new(THIN_LINK, ms(1));
    let unread = world.open(answer(1, ms(100)), 1_000_000);
    world.unread.push(unread);
    let read = world.open(answer(1, ms(200)), 500_000);
    world.run(ms(1_000));
    assert!(world.through_at.contains_key(&read));
    assert_eq!(world.received[&unread], TRANSFER_CREDIT);
}

#[test]
fn silent_link_stops_only_its_own_answers() {
    let mut world = LinkWorld::new(THIN_LINK, ms(1));
    world.silent.push(1);
    world.open(answer(1, ms(100)), 1_000_000);
    let other = world.open(answer(2, ms(200)), 500_000);
    world.run(ms(2_500));
    let through = world.through_at.get(&other);
    assert!(through.is_some_and(|at| *at < ms(1_500)), "{through:?}");
    let closed = world.schedule.close_link(1);
    assert_eq!(closed.len(), 1);
    assert_eq!(world.schedule.backlog(), 0);
}

#[test]
fn configurations_go_first_and_answers_go_on() {
    let mut world = LinkWorld::new(THIN_LINK, ms(1));
    let running = world.open(answer(1, ms(300)), 400_000);
    world.run(ms(20));
    let start = world.now;
    let config = world.open(config(2), 300_000);
    world.order.clear();
    world.run(ms(2_000));
    // Three of four pieces are those of the configuration, behind those that are on their way.
    let taken = world.through_at[&config] - start;
    assert!(taken < ms(150) * 4 / 3 + PING_LIMIT / 12, "{taken:?}");
    let pieces = world.order.iter().take(16);
    let of_answer = pieces.filter(|id| **id == running).count();
    assert!((3..=6).contains(&of_answer), "{of_answer}");
    assert!(world.through_at.contains_key(&running));
}

#[test]
fn answer_without_end_leaves_the_link_to_others() {
    let mut world = LinkWorld::new(THIN_LINK, ms(1));
    let endless = world.open(answer(1, ms(100_000)), 100_000_000);
    world.run(ms(2_000));
    let start = world.now;
    let other = world.open(answer(2, start + ms(90_000)), 90_000);
    world.run(ms(500));
    let taken = world.through_at[&other] - start;
    assert!(taken < ms(150), "{taken:?}");
    assert!(world.received[&endless] > 2_000_000);
}

#[test]
fn reserved_and_cancelled_bytes_count_as_long_as_they_are_expected() {
    let mut world = LinkWorld::new(THIN_LINK, ms(1));
    world.open(answer(1, ms(10_000)), 600_000);
    world.run(ms(200));
    let before = world.schedule.time_for(0);
    world.schedule.reserve(200_000);
    let reserved = world.schedule.time_for(0);
    assert!(reserved > before + ms(60), "{before:?}, {reserved:?}");
    world.schedule.release(200_000);
    assert_eq!(world.schedule.time_for(0), before);
    world.schedule.close(0);
    assert_eq!(world.schedule.backlog(), 0);
}

#[test]
fn acknowledgements_beyond_what_was_sent_count_as_all_of_it() {
    let mut schedule = UplinkSchedule::default();
    let id = schedule.open(answer(1, ms(100)));
    schedule.queue(id, 50_000);
    let (sent, bytes) = schedule.next(ms(1)).expect("a piece");
    assert_eq!((sent, bytes), (id, PIECE_BYTES));
    schedule.acknowledge(id, u64::MAX, u64::MAX, ms(2));
    assert_eq!(schedule.backlog(), 50_000 - PIECE_BYTES);
    schedule.acknowledge(99, 5, 5, ms(3));
    assert!(schedule.next(ms(3)).is_some());
}
