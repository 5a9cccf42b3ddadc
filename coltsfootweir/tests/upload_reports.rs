//! What receivers of large request bodies tell the daemons that send them, and what these make of it.

mod uploads;

use std::time::Duration;

use coltsfootweir::sidecar::frame::PeerFrame;
use coltsfootweir::sidecar::frame::read_frame;
use coltsfootweir::sidecar::frame::write_frame;
use coltsfootweir::sidecar::reported_loads::ReportedLoads;
use coltsfootweir::sidecar::uploads::grant_schedule::BodyId;
use coltsfootweir::sidecar::uploads::grant_schedule::BodySpec;
use coltsfootweir::sidecar::uploads::grant_schedule::GrantSchedule;
use coltsfootweir::sidecar::uploads::load_reports::LoadReports;
use coltsfootweir::sidecar::uploads::receive_load::BodyPlan;
use coltsfootweir::sidecar::uploads::receive_load::ReceiveLoad;

use uploads::receiver_world::ReceiverWorld;
use uploads::receiver_world::THIN_MBITS;
use uploads::receiver_world::THIN_RATE;
use uploads::receiver_world::ms;
use uploads::receiver_world::spec;
use uploads::receiver_world::upload_size;

/// Pause between two checks of a daemon for reports that are due.
const CHECK_MS: u64 = 150;

const SECONDS: u64 = 20;

/// Time in which the endpoint should finish an upload, and the client's time limit.
const TARGET: Duration = Duration::from_millis(1_350);
const TIME_LIMIT: Duration = Duration::from_millis(4_000);

fn load(waits: &[(u8, u32)]) -> ReceiveLoad {
    ReceiveLoad {
        rate: 1_000,
        waits: waits.to_vec(),
    }
}

fn plan(rank: u8, length: u64, left: u64) -> BodyPlan {
    BodyPlan {
        rank,
        length,
        run: ms(20),
        left: ms(left),
    }
}

/// Daemons that send uploads to seven receivers of 10 Mbit/s.
struct SenderWorld {
    receivers: Vec<(ReceiverWorld, LoadReports)>,
    senders: Vec<ReportedLoads>,
    accepted: Vec<(usize, BodyId, u64, Duration)>,
    bytes: u64,
    /// Number of offers that receivers refused.
    refused_offers: u64,
    reports: u64,
}

impl SenderWorld {
    fn run(senders: usize, per_second: u64, is_told: bool) -> SenderWorld {
        let receivers = (0..7).map(|_| (ReceiverWorld::new(THIN_MBITS), LoadReports::default()));
        let senders = (0..senders).map(|_| ReportedLoads::default());
        let mut world = SenderWorld {
            receivers: receivers.collect(),
            senders: senders.collect(),
            accepted: Vec::new(),
            bytes: 0,
            refused_offers: 0,
            reports: 0,
        };
        let mut checked = 0;
        for number in 0..per_second * SECONDS {
            let now = ms(number * 1_000 / per_second);
            for (receiver, _) in &mut world.receivers {
                receiver.step_to(now);
            }
            while is_told && ms(checked) <= now {
                world.check_reports(now);
                checked += CHECK_MS;
            }
            // Multiplying by a prime spreads the uploads over the senders.
            let sender = ((number * 2_654_435_761) >> 9) as usize % world.senders.len();
            world.upload(sender, number, now, is_told);
        }
        for (receiver, _) in &mut world.receivers {
            receiver.step_to(receiver.now + TIME_LIMIT);
        }
        world
    }

    fn check_reports(&mut self, now: Duration) {
        for (index, (receiver, reports)) in self.receivers.iter_mut().enumerate() {
            let load = receiver.schedule.load(now);
            for link in reports.take_due(&load, now) {
                let sender = &mut self.senders[link as usize];
                sender.record_receive_load(name(index), load.clone(), now);
                self.reports += 1;
            }
        }
    }

    /// Sends an upload to the receiver with the shortest wait that may accept it, after a refusal to
    /// another one, and to four at most.
    fn upload(&mut self, sender: usize, number: u64, now: Duration, is_told: bool) {
        let length = upload_size(number);
        self.bytes += length;
        let offered = BodySpec {
            give_up: now + TIME_LIMIT - ms(20),
            ..spec(1, now + TARGET, length)
        };
        let plan = plan(1, length, TARGET.as_millis() as u64);
        let mut tried = Vec::new();
        while tried.len() < 4 {
            let told = &self.senders[sender];
            let order = (0..7).map(|index| (index + number as usize) % 7);
            let usable = order.filter(|index| {
                !tried.contains(index) && told.receive_excess(&name(*index), &plan, now).is_zero()
            });
            let wait = |index: &usize| told.receive_wait(&name(*index), 1, now);
            let Some(index) = usable.min_by_key(wait) else {
                break;
            };
            tried.push(index);
            let (receiver, reports) = &mut self.receivers[index];
            let result = receiver.offer(offered);
            let load = receiver.schedule.load(now);
            if is_told && reports.on_offer(sender as u64, result.is_err(), &load, now) {
                self.senders[sender].record_receive_load(name(index), load, now);
                self.reports += 1;
            }
            match result {
                Ok(id) => {
                    self.accepted.push((index, id, length, now + TARGET));
                    return;
                }
                Err(_) => self.refused_offers += 1,
            }
        }
    }

    /// Returns the share of the offered bytes that were received in time.
    fn share_in_time(&self) -> f64 {
        let mut bytes = 0;
        for (receiver, id, length, due) in &self.accepted {
            let whole_at = self.receivers[*receiver].0.whole_at.get(id);
            if whole_at.is_some_and(|at| *at + ms(20) <= *due) {
                bytes += length;
            }
        }
        bytes as f64 / self.bytes as f64
    }
}

fn name(index: usize) -> Box<str> {
    format!("receiver-{index}").into()
}

/// Guards against each upload beyond the capacity being offered to four receivers, against links that
/// are idle because senders refuse uploads for which there is room, and against reports that fill the
/// links. A daemon may send 5 KB of control traffic a second, and a report has 40 bytes.
#[test]
fn uploads_beyond_the_capacity_are_refused_by_their_senders() {
    for senders in [5, 61] {
        let told = SenderWorld::run(senders, 219, true);
        let untold = SenderWorld::run(senders, 219, false);
        let carried = 7.0 * THIN_RATE * SECONDS as f64 / told.bytes as f64;
        let in_time = told.share_in_time();
        assert!(
            in_time > carried * 0.93,
            "{senders}: {in_time} of {carried}"
        );
        // What the senders know is older if there are more of them.
        let (few, many) = (told.refused_offers, untold.refused_offers);
        assert!(few * 5 < many * 3, "{senders}: {few}, {many}");
        let bytes = told.reports * 40 / SECONDS / 7;
        assert!(bytes < 5_000, "{senders}: {bytes}");
    }
}

/// Guards against uploads that are refused by a part of the receivers, while others have room.
#[test]
fn uploads_within_the_capacity_are_all_accepted() {
    for senders in [5, 61] {
        let told = SenderWorld::run(senders, 124, true);
        let in_time = told.share_in_time();
        assert!(in_time > 0.99, "{senders}: {in_time}");
    }
}

/// Guards against an urgent body that is refused because of those that it goes before.
#[test]
fn wait_is_that_behind_the_own_rank_and_more_urgent_ones() {
    let told = load(&[(1, 200), (3, 900)]);
    for (rank, expected) in [(0, 0), (1, 200), (2, 200), (3, 900), (255, 900)] {
        assert_eq!(told.wait(rank, ms(0)), ms(expected), "{rank}");
    }
    let mut schedule = GrantSchedule::new(THIN_MBITS);
    schedule
        .offer(spec(3, ms(5_000), 125_000), ms(0))
        .expect("room");
    schedule
        .offer(spec(1, ms(5_000), 125_000), ms(0))
        .expect("room");
    schedule
        .offer(spec(1, ms(4_000), 125_000), ms(0))
        .expect("room");
    // 125 KB take 100 ms, for which 125 ms are planned.
    assert_eq!(schedule.load(ms(0)), load(&[(1, 250), (3, 375)]));
    // Those that can only be late have what a new body leaves.
    assert_eq!(schedule.load(ms(4_950)), load(&[]));
}

/// Guards against a receiver that is left alone for good when its reports are lost, and against one that
/// counts as free although others have filled it again.
#[test]
fn told_wait_holds_for_a_while_and_expires() {
    let told = load(&[(1, 1_000)]);
    assert_eq!(told.wait(1, ms(500)), ms(1_000));
    assert_eq!(told.wait(1, ms(900)), ms(600));
    assert_eq!(told.wait(1, ms(1_500)), ms(0));
    let long = load(&[(1, 4_000)]);
    assert_eq!(long.wait(1, ms(600)), ms(4_000));
    assert_eq!(long.wait(1, ms(1_600)), ms(3_000));
}

/// Guards against refusals where the receiver would accept, and a `Retry-After` after which the body does
/// not fit.
#[test]
fn body_is_refused_only_if_the_receiver_would_refuse_it() {
    let told = load(&[(1, 1_000)]);
    // 1,000 ms of wait, 60 ms of transfer and 20 ms of run.
    assert_eq!(told.excess(&plan(1, 60_000, 1_080), ms(0)), ms(0));
    assert_eq!(told.excess(&plan(1, 60_000, 1_050), ms(0)), ms(30));
    // A receiver that expects no other body accepts any.
    assert_eq!(told.excess(&plan(0, 60_000, 70), ms(0)), ms(0));
    // One that would be late without a wait is accepted as late.
    assert_eq!(told.excess(&plan(1, 900_000, 590), ms(0)), ms(0));
    assert_eq!(told.excess(&plan(1, 900_000, 600), ms(0)), ms(1_320));
    let unknown = ReceiveLoad { rate: 0, ..told };
    assert_eq!(unknown.excess(&plan(1, 60_000, 1_000), ms(0)), ms(20));
}

/// Guards against peers that are never told, or told for good after their last upload.
#[test]
fn only_peers_that_offer_bodies_are_told_of_changes() {
    let mut reports = LoadReports::default();
    // A refusal shows that the peer knows too little.
    assert!(reports.on_offer(3, true, &load(&[(1, 99)]), ms(0)));
    assert!(!reports.on_offer(1, false, &load(&[(1, 99)]), ms(0)));
    assert!(reports.on_offer(2, false, &load(&[(1, 100)]), ms(0)));
    assert!(!reports.on_offer(2, false, &load(&[(1, 190)]), ms(10)));
    assert_eq!(reports.take_due(&load(&[(1, 190)]), ms(10)), [1]);
    // What both were told has expired, and so has the wait.
    assert!(reports.take_due(&load(&[]), ms(1_000)).is_empty());
    reports.on_offer(2, false, &load(&[]), ms(1_000));
    assert_eq!(reports.take_due(&load(&[(1, 1_000)]), ms(2_500)), [2]);
    assert!(!reports.has(1));
    assert!(reports.has(2));
    assert!(reports.take_due(&load(&[]), ms(3_000)).is_empty());
    assert!(!reports.has(2));
}

/// Guards against reports that peers of this build can't read.
#[test]
fn report_is_a_frame() {
    let mut bytes = Vec::new();
    let frame = PeerFrame::ReceiveLoad(load(&[(0, 20), (1, 1_270)]));
    write_frame(&frame, &mut bytes).expect("a frame");
    assert!(bytes.len() <= 40, "{}", bytes.len());
    assert_eq!(read_frame(&mut bytes), Ok(Some(frame)));
}
