//! Decides which body may send how many bytes to this VM.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use crate::sidecar::link::uplink_schedule::PIECE_BYTES;
use crate::sidecar::uploads::receive_load::ReceiveLoad;

/// Identifies a body that is offered to this daemon.
pub type BodyId = u64;

/// Time in which the bytes that are granted and not received pass the link of the VM. Everything else
/// sent to the VM waits behind them, and the response to a ping has 600 ms.
const GRANT_TIME: Duration = Duration::from_millis(50);

/// Limits of the bytes that are granted and not received. The lower one is two pieces, so that a new
/// one is on its way while the last one arrives; the upper one, used if the link is not known, fills
/// 130 Mbit/s over a round trip of 60 ms.
const GRANT_BOUNDS: (u64, u64) = (2 * PIECE_BYTES, 1024 * 1024);

/// Time without received bytes after which the grants of a body no longer count as on the way. Covers
/// a round trip between regions and the scheduling pauses of a daemon with a tenth of a core; a
/// sender that is gone would otherwise hold up the others until its call's time limit.
const UNUSED_TIME: Duration = Duration::from_millis(400);

/// Factor on the time that the bodies before a new one should take, as a fraction. The estimate is off
/// by up to a quarter, as small frames share the link.
pub(super) const RATE_MARGIN: (u32, u32) = (5, 4);

/// Bytes after which the rate is measured, several pieces: single ones arrive unevenly.
const RATE_SAMPLE: u64 = 4 * PIECE_BYTES;

/// Weight of the newest measurement in the moving average of the rate.
const RATE_WEIGHT: f64 = 0.25;

/// Bytes a second of one megabit a second.
const MEGABIT: f64 = 125_000.0;

/// A body that is offered.
#[derive(Clone, Copy, Debug)]
pub struct BodySpec {
    /// Priority rank of the request; 0 is the highest.
    pub rank: u8,
    /// Time by which the request should finish, since the start of the daemon. After it, the body has
    /// the time that others leave.
    pub due: Duration,
    /// Time after which no bytes are granted.
    pub give_up: Duration,
    /// Expected run time of the request, which follows the transfer.
    pub run: Duration,
    /// Length in bytes.
    pub length: u64,
}

/// Effect of a received piece.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PieceEffect {
    /// More bytes are missing.
    Partial,
    /// The body is complete.
    Whole,
    /// The piece is of a body that is not known, or was not granted.
    Stray,
}

/// Order in which bodies are granted.
type GrantOrder = (u8, Duration, BodyId);

#[derive(Debug)]
struct BodyState {
    spec: BodySpec,
    granted: u64,
    received: u64,
    /// Time of the last received piece, or of the grant after which nothing was received.
    moved_at: Duration,
}

impl BodyState {
    fn missing(&self) -> u64 {
        self.spec.length - self.received
    }

    fn on_the_way(&self) -> u64 {
        self.granted - self.received
    }

    fn is_unused(&self, now: Duration) -> bool {
        self.on_the_way() > 0 && now >= self.moved_at + UNUSED_TIME
    }

    /// Returns whether bytes of the body are expected: its call may still end before the client gives up.
    fn is_expected(&self, now: Duration) -> bool {
        now < self.spec.give_up && !self.is_unused(now)
    }

    /// Returns the size of the next piece to grant; 0 if all is granted.
    fn next_bytes(&self) -> u64 {
        (self.spec.length - self.granted).min(PIECE_BYTES)
    }
}

#[derive(Clone, Copy, Debug)]
struct RateSample {
    start: Duration,
    bytes: u64,
}

/// Order of the bodies that are sent to this VM, and the bound of the bytes on the way.
#[derive(Debug)]
pub struct GrantSchedule {
    bodies: BTreeMap<GrantOrder, BodyState>,
    orders: HashMap<BodyId, GrantOrder>,
    next_id: BodyId,
    limit: u64,
    stated_rate: Option<f64>,
    measured_rate: Option<f64>,
    /// Current measurement of the rate; `None` while no body waits for a grant.
    sample: Option<RateSample>,
}

impl GrantSchedule {
    /// Creates a schedule for a VM with a link of `link_mbits`; 0 if that is not known.
    #[must_use]
    pub fn new(link_mbits: u32) -> GrantSchedule {
        let stated_rate = (link_mbits > 0).then(|| f64::from(link_mbits) * MEGABIT);
        let (low, high) = GRANT_BOUNDS;
        let limit = stated_rate.map_or(high, |rate| {
            ((rate * GRANT_TIME.as_secs_f64()) as u64).clamp(low, high)
        });
        GrantSchedule {
            bodies: BTreeMap::new(),
            orders: HashMap::new(),
            next_id: 0,
            limit,
            stated_rate,
            measured_rate: None,
            sample: None,
        }
    }

    /// Adds a body.
    ///
    /// # Errors
    /// The time after which it would fit, if it can't be received and run in time, or others of its
    /// rank then can't. One that would be late on a link of its own has the time that the others leave,
    /// and is refused if it would not be received before it is given up. If no other body is expected it
    /// is taken anyway: without bodies, a wrong measurement of the rate would never be corrected.
    pub fn offer(&mut self, spec: BodySpec, now: Duration) -> Result<BodyId, Duration> {
        let excess = match self.expected(now) {
            0 => Duration::ZERO,
            expected if self.is_hopeless(&spec, spec.length, now) => {
                let received = now + self.time_for(expected + spec.length);
                received.saturating_sub(spec.give_up)
            }
            _ => self.excess(&spec, now),
        };
        if !excess.is_zero() {
            return Err(excess);
        }
        let id = self.next_id;
        self.next_id += 1;
        let order = (spec.rank, spec.due, id);
        let state = BodyState {
            spec,
            granted: 0,
            received: 0,
            moved_at: now,
        };
        self.bodies.insert(order, state);
        self.orders.insert(id, order);
        Ok(id)
    }

    /// Grants one more piece and returns its body; `None` if nothing may be granted now.
    pub fn next(&mut self, now: Duration) -> Option<BodyId> {
        let room = self.limit.saturating_sub(self.on_the_way(now));
        // Late bodies have only the time that the others leave.
        let order = self
            .first(|body| self.is_live(body, now))
            .or_else(|| self.first(|body| body.is_expected(now)))?;
        let body = self.bodies.get_mut(&order)?;
        let bytes = body.next_bytes();
        // Smaller grants would make many small pieces, and others must not take the room for it.
        if bytes > room {
            return None;
        }
        if body.on_the_way() == 0 {
            body.moved_at = now;
        }
        body.granted += bytes;
        Some(order.2)
    }

    fn first(&self, fits: impl Fn(&BodyState) -> bool) -> Option<GrantOrder> {
        let mut bodies = self.bodies.iter();
        let first = bodies.find(|(_, body)| body.next_bytes() > 0 && fits(body));
        first.map(|(order, _)| *order)
    }

    /// Records that the next `bytes` of a body were received.
    pub fn receive(&mut self, id: BodyId, bytes: u64, now: Duration) -> PieceEffect {
        let order = self.orders.get(&id);
        let Some(body) = order.and_then(|order| self.bodies.get_mut(order)) else {
            return PieceEffect::Stray;
        };
        if bytes > body.on_the_way() {
            return PieceEffect::Stray;
        }
        body.received += bytes;
        body.moved_at = now;
        let effect = match body.missing() {
            0 => PieceEffect::Whole,
            _ => PieceEffect::Partial,
        };
        self.measure(bytes, now);
        effect
    }

    /// Returns the number of bytes of a body that may have been sent; 0 if it is not known.
    #[must_use]
    pub fn granted(&self, id: BodyId) -> u64 {
        let order = self.orders.get(&id);
        let body = order.and_then(|order| self.bodies.get(order));
        body.map_or(0, |body| body.granted)
    }

    /// Removes a body that is complete, cancelled or late, or whose link has ended.
    pub fn remove(&mut self, id: BodyId) {
        if let Some(order) = self.orders.remove(&id) {
            self.bodies.remove(&order);
        }
    }

    /// Returns the bytes that are granted and expected.
    #[must_use]
    pub fn on_the_way(&self, now: Duration) -> u64 {
        let live = self.bodies.values().filter(|body| !body.is_unused(now));
        live.map(BodyState::on_the_way).sum()
    }

    /// Returns the bytes that wait for a grant.
    #[must_use]
    pub fn waiting(&self, now: Duration) -> u64 {
        let all = self.bodies.values();
        let expected = all.filter(|body| body.is_expected(now));
        expected.map(|body| body.spec.length - body.granted).sum()
    }

    /// Returns the bytes that are expected, in time or not.
    #[must_use]
    pub fn expected(&self, now: Duration) -> u64 {
        let all = self.bodies.values();
        let expected = all.filter(|body| body.is_expected(now));
        expected.map(BodyState::missing).sum()
    }

    /// Returns the bytes that are expected in time, granted or not.
    #[must_use]
    pub fn backlog(&self, now: Duration) -> u64 {
        let all = self.bodies.values();
        let live = all.filter(|body| self.is_live(body, now));
        live.map(BodyState::missing).sum()
    }

    /// Returns the time that the expected bytes take; zero if the rate is not known.
    #[must_use]
    pub fn backlog_time(&self, now: Duration) -> Duration {
        self.time_for(self.backlog(now))
    }

    /// Returns how long the bodies that may be in time take, by rank.
    #[must_use]
    pub fn load(&self, now: Duration) -> ReceiveLoad {
        let mut load = ReceiveLoad::default();
        let (margin, whole) = RATE_MARGIN;
        if let Some(rate) = self.rate() {
            let planned = rate * f64::from(whole) / f64::from(margin);
            load.rate = (planned / 1_000.0).max(1.0) as u32;
        }
        let mut bytes = 0;
        for ((rank, ..), body) in &self.bodies {
            if !self.is_live(body, now) {
                continue;
            }
            bytes += body.missing();
            let time = self.time_for(bytes).as_millis();
            let wait_ms = u32::try_from(time).unwrap_or(u32::MAX);
            match load.waits.last_mut() {
                Some((last, wait)) if last == rank => *wait = wait_ms,
                _ => load.waits.push((*rank, wait_ms)),
            }
        }
        load
    }

    /// Returns the limit of the bytes that are granted and not received.
    #[must_use]
    pub fn limit(&self) -> u64 {
        self.limit
    }

    /// Returns whether no body is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.bodies.is_empty()
    }

    /// Returns whether a body may still be in time.
    fn is_live(&self, body: &BodyState, now: Duration) -> bool {
        body.is_expected(now) && !self.is_hopeless(&body.spec, body.missing(), now)
    }

    /// Returns whether a body of which `missing` bytes are not received would be late if it had the link
    /// alone, and if that carried as much more than estimated as the estimate may be off. In the order
    /// of due times it would otherwise go before all those that can be in time, and make them late too.
    fn is_hopeless(&self, spec: &BodySpec, missing: u64, now: Duration) -> bool {
        let (margin, whole) = RATE_MARGIN;
        let least_time = self.link_time(missing) * whole / margin;
        now + least_time + spec.run >= spec.due
    }

    /// Returns by how much `new`, or one of its rank behind it, would be late.
    fn excess(&self, new: &BodySpec, now: Duration) -> Duration {
        let place = (new.rank, new.due, self.next_id);
        let mut ahead = 0;
        for (_, body) in self.bodies.range(..place) {
            if self.is_live(body, now) {
                ahead += body.missing();
            }
        }
        let late = |bytes: u64, spec: &BodySpec| {
            (now + self.time_for(bytes) + spec.run).saturating_sub(spec.due)
        };
        let mut excess = late(ahead + new.length, new);
        for (order, body) in self.bodies.range(place..) {
            if order.0 != new.rank {
                break;
            }
            if !self.is_live(body, now) {
                continue;
            }
            ahead += body.missing();
            // One that is late without the new body is no reason to refuse that.
            if late(ahead, &body.spec).is_zero() {
                excess = excess.max(late(ahead + new.length, &body.spec));
            }
        }
        excess
    }

    /// Returns the time to plan for `bytes`.
    fn time_for(&self, bytes: u64) -> Duration {
        self.link_time(bytes) * RATE_MARGIN.0 / RATE_MARGIN.1
    }

    /// Returns the time that the link takes for `bytes`; zero if the rate is not known.
    fn link_time(&self, bytes: u64) -> Duration {
        self.rate().map_or(Duration::ZERO, |rate| {
            Duration::from_secs_f64(bytes as f64 / rate.max(1.0))
        })
    }

    /// Returns the rate of the link in bytes a second, if it is known.
    fn rate(&self) -> Option<f64> {
        match (self.stated_rate, self.measured_rate) {
            (Some(stated), Some(measured)) => Some(stated.min(measured)),
            (stated, measured) => stated.or(measured),
        }
    }

    /// Measures the rate while bodies wait for grants; otherwise senders may be the slower ones.
    fn measure(&mut self, bytes: u64, now: Duration) {
        if self.waiting(now) == 0 {
            self.sample = None;
            return;
        }
        let fresh = RateSample {
            start: now,
            bytes: 0,
        };
        let Some(mut sample) = self.sample else {
            self.sample = Some(fresh);
            return;
        };
        sample.bytes += bytes;
        let elapsed = now.saturating_sub(sample.start);
        if sample.bytes < RATE_SAMPLE || elapsed.is_zero() {
            self.sample = Some(sample);
            return;
        }
        self.sample = Some(fresh);
        let rate = sample.bytes as f64 / elapsed.as_secs_f64();
        let mean = self.measured_rate.unwrap_or(rate);
        self.measured_rate = Some(mean + (rate - mean) * RATE_WEIGHT);
    }
}
