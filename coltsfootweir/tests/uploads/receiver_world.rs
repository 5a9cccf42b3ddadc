//! A receiving VM whose link is simulated: a queue in front of a fixed rate, and a fixed delay each way.

// Each test program uses a part of it.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use coltsfootweir::sidecar::uploads::grant_schedule::BodyId;
use coltsfootweir::sidecar::uploads::grant_schedule::BodySpec;
use coltsfootweir::sidecar::uploads::grant_schedule::GrantSchedule;
use coltsfootweir::sidecar::uploads::grant_schedule::PieceEffect;

/// Link of the receivers, in Mbit/s and in bytes a second.
pub const THIN_MBITS: u32 = 10;
pub const THIN_RATE: f64 = 1_250_000.0;

pub fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

pub fn spec(rank: u8, due: Duration, length: u64) -> BodySpec {
    BodySpec {
        rank,
        due,
        give_up: due,
        run: ms(20),
        length,
    }
}

/// Grants all that is possible now.
pub fn grant_all(schedule: &mut GrantSchedule, now: Duration) -> BTreeMap<BodyId, u64> {
    let mut granted = BTreeMap::new();
    while let Some(id) = schedule.next(now) {
        granted.insert(id, schedule.granted(id));
    }
    granted
}

/// A receiving VM whose senders use each grant at once, unless they have vanished.
pub struct ReceiverWorld {
    pub schedule: GrantSchedule,
    pub now: Duration,
    pub rate: f64,
    pub delay: Duration,
    /// Pieces on the way and the time at which each has been received.
    pub network: VecDeque<(Duration, BodyId, u64)>,
    pub free_at: Duration,
    pub sent: BTreeMap<BodyId, u64>,
    pub vanished: Vec<BodyId>,
    pub due: BTreeMap<BodyId, Duration>,
    pub whole_at: BTreeMap<BodyId, Duration>,
    /// Longest time that a piece, and so a ping behind it, has waited for the link.
    pub longest_queue: Duration,
    pub received: u64,
}

impl ReceiverWorld {
    pub fn new(link_mbits: u32) -> ReceiverWorld {
        ReceiverWorld {
            schedule: GrantSchedule::new(link_mbits),
            now: Duration::ZERO,
            rate: THIN_RATE,
            delay: ms(1),
            network: VecDeque::new(),
            free_at: Duration::ZERO,
            sent: BTreeMap::new(),
            vanished: Vec::new(),
            due: BTreeMap::new(),
            whole_at: BTreeMap::new(),
            longest_queue: Duration::ZERO,
            received: 0,
        }
    }

    pub fn offer(&mut self, spec: BodySpec) -> Result<BodyId, Duration> {
        let id = self.schedule.offer(spec, self.now)?;
        self.due.insert(id, spec.due);
        Ok(id)
    }

    pub fn step_to(&mut self, until: Duration) {
        while self.now < until {
            self.now += ms(1);
            self.deliver();
            for (id, up_to) in grant_all(&mut self.schedule, self.now) {
                if !self.vanished.contains(&id) {
                    self.send(id, up_to);
                }
            }
        }
    }

    pub fn send(&mut self, id: BodyId, up_to: u64) {
        let sent = self.sent.entry(id).or_default();
        let bytes = up_to - *sent;
        *sent = up_to;
        // The grant takes the delay to the sender, and the piece takes it back.
        let start = self.free_at.max(self.now + self.delay * 2);
        self.free_at = start + Duration::from_secs_f64(bytes as f64 / self.rate);
        let queue = self.free_at.saturating_sub(self.now + self.delay * 2);
        self.longest_queue = self.longest_queue.max(queue);
        self.network.push_back((self.free_at, id, bytes));
    }

    pub fn deliver(&mut self) {
        let now = self.now;
        while let Some((_, id, bytes)) = self.network.pop_front_if(|(at, _, _)| *at <= now) {
            self.received += bytes;
            if self.schedule.receive(id, bytes, now) == PieceEffect::Whole {
                self.schedule.remove(id);
                self.whole_at.insert(id, now);
            }
        }
    }
}

/// Sizes from 20 to 360 KB, 60 KB in the mean.
pub fn upload_size(number: u64) -> u64 {
    match number % 20 {
        0 => 360_000,
        odd if odd % 2 == 1 => 40_000,
        _ => 45_000 + number % 7 * 1_000,
    }
}
