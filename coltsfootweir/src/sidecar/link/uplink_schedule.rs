//! Order and pace of the large transfers that leave a VM.
//!
//! The limit on the bytes on the way follows the delay that they cause: it grows while pieces are
//! acknowledged quickly and shrinks when they wait in the network, because everything else that
//! the VM sends waits behind them. The rate at which pieces are acknowledged tells how long a new
//! transfer will take.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

/// Identifies a transfer from this VM.
pub type TransferId = u64;

/// Identifies a connection to another daemon.
pub type LinkId = u64;

/// Maximum size of a piece, in bytes. It delays a liveness check by 13 ms at 10 Mbit/s.
pub const PIECE_BYTES: u64 = 16 * 1024;

/// Maximum number of bytes of one transfer that were sent and are not consumed by the receiver.
/// Covers a round trip of 60 ms at 16 Mbit/s.
pub const TRANSFER_CREDIT: u64 = 128 * 1024;

/// Limits of the bytes on the way, in bytes. The lower one keeps a link of 10 Mbit/s busy while an
/// acknowledgement waits 40 ms for its daemon to be scheduled; the upper one fills 130 Mbit/s over
/// a round trip of 60 ms.
const WINDOW_BOUNDS: (f64, f64) = (48.0 * 1024.0, 1024.0 * 1024.0);

/// Delay in the network that the bytes on the way may cause. Calls to this VM wait for it twice, when
/// they are refused and when they come back, and should be done within 100 ms.
const DELAY_TARGET: Duration = Duration::from_millis(25);

/// Bytes after which the rate is measured, several pieces: single acknowledgements arrive unevenly.
const RATE_SAMPLE: u64 = 4 * PIECE_BYTES;

/// Weight of the newest measurement in the moving average of the rate.
const RATE_WEIGHT: f64 = 0.25;

/// Time without an acknowledgement after which the bytes on a link no longer count as on the way.
/// A link that is silent for good would otherwise block the others.
const STALL_TIME: Duration = Duration::from_millis(900);

/// Time after which the shortest round trip of a link is measured anew, as routes change.
const BASE_TIME: Duration = Duration::from_secs(20);

/// Number of pieces of configurations in a row while answers wait. Configurations go first, as
/// requests are refused or misrouted without them, but must not stop answers.
const CONFIG_RUN: u32 = 3;

/// Bytes after which an answer is sent only in the time that others leave. Answers without end
/// must not take the place of those that clients can use.
const EXCESS_BYTES: u64 = 2 * 1024 * 1024;

/// Kind of a transfer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TransferClass {
    /// A configuration.
    Configuration,
    /// An answer to a client.
    Answer,
    /// The body of a call, which the receiver grants.
    Body,
}

/// A transfer to be sent.
#[derive(Clone, Copy, Debug)]
pub struct TransferSpec {
    /// Kind.
    pub class: TransferClass,
    /// Connection on which it goes.
    pub link: LinkId,
    /// Time by which it should be received, since the start of the daemon. Earlier ones go first.
    pub due: Duration,
}

#[derive(Debug)]
struct SentPiece {
    /// Number of bytes of the transfer up to the end of this piece.
    end: u64,
    at: Duration,
}

#[derive(Debug)]
struct TransferState {
    spec: TransferSpec,
    queued: u64,
    sent: u64,
    received: u64,
    consumed: u64,
    /// Bytes of a body that may be sent.
    granted: u64,
    pieces: VecDeque<SentPiece>,
}

impl TransferState {
    fn credit(&self) -> u64 {
        match self.spec.class {
            TransferClass::Body => self.granted.saturating_sub(self.sent),
            _ => TRANSFER_CREDIT.saturating_sub(self.sent - self.consumed),
        }
    }

    /// Returns the bytes that wait for this VM's link. Those of a body that are not granted wait for
    /// that of the receiver.
    fn waiting(&self) -> u64 {
        match self.spec.class {
            TransferClass::Body => self.queued.min(self.credit()),
            _ => self.queued,
        }
    }

    fn on_the_way(&self) -> u64 {
        self.sent - self.received
    }
}

#[derive(Debug, Default)]
struct LinkPace {
    /// Shortest time between sending a piece and its acknowledgement, and when it was measured.
    base: Option<(Duration, Duration)>,
    acknowledged_at: Duration,
}

/// A measurement of the rate, between two acknowledgements.
#[derive(Clone, Copy, Debug)]
struct RateSample {
    start: Duration,
    /// Bytes acknowledged since the start.
    bytes: u64,
    /// Whether bytes waited all the time. If not, the link may be faster than measured.
    is_limited: bool,
}

/// Decides which transfer sends next, and estimates how long new ones will take.
#[derive(Debug)]
pub struct UplinkSchedule {
    transfers: BTreeMap<TransferId, TransferState>,
    links: HashMap<LinkId, LinkPace>,
    next_id: TransferId,
    window: f64,
    rate: Option<f64>,
    reserved: u64,
    config_run: u32,
    /// Current measurement of the rate; `None` while nothing is on the way.
    measured: Option<RateSample>,
}

impl Default for UplinkSchedule {
    fn default() -> UplinkSchedule {
        UplinkSchedule {
            transfers: BTreeMap::new(),
            links: HashMap::new(),
            next_id: 0,
            window: WINDOW_BOUNDS.0,
            rate: None,
            reserved: 0,
            config_run: 0,
            measured: None,
        }
    }
}

impl UplinkSchedule {
    /// Adds a transfer without any bytes.
    pub fn open(&mut self, spec: TransferSpec) -> TransferId {
        let id = self.next_id;
        self.next_id += 1;
        let state = TransferState {
            spec,
            queued: 0,
            sent: 0,
            received: 0,
            consumed: 0,
            granted: 0,
            pieces: VecDeque::new(),
        };
        self.transfers.insert(id, state);
        id
    }

    /// Adds bytes to a transfer.
    pub fn queue(&mut self, id: TransferId, bytes: u64) {
        if let Some(transfer) = self.transfers.get_mut(&id) {
            transfer.queued += bytes;
        }
    }

    /// Returns the transfer that sends next and the size of the piece, at most [`PIECE_BYTES`];
    /// `None` if nothing may be sent now. The piece counts as sent.
    pub fn next(&mut self, now: Duration) -> Option<(TransferId, u64)> {
        let on_the_way = self.on_the_way(now);
        if on_the_way as f64 >= self.window {
            return None;
        }
        let id = self.choose(now)?;
        let transfer = self.transfers.get_mut(&id)?;
        let bytes = transfer.queued.min(PIECE_BYTES).min(transfer.credit());
        transfer.queued -= bytes;
        transfer.sent += bytes;
        let end = transfer.sent;
        transfer.pieces.push_back(SentPiece { end, at: now });
        self.config_run = match transfer.spec.class {
            TransferClass::Configuration => self.config_run + 1,
            TransferClass::Answer | TransferClass::Body => 0,
        };
        Some((id, bytes))
    }

    /// Records how many bytes of a transfer were received and consumed so far. Larger numbers than
    /// were sent count as all of them.
    pub fn acknowledge(&mut self, id: TransferId, received: u64, consumed: u64, now: Duration) {
        let Some(transfer) = self.transfers.get_mut(&id) else {
            return;
        };
        let received = received.min(transfer.sent).max(transfer.received);
        let bytes = received - transfer.received;
        transfer.received = received;
        transfer.consumed = consumed.min(received).max(transfer.consumed);
        let pace = self.links.entry(transfer.spec.link).or_default();
        pace.acknowledged_at = now;
        let mut delay = None;
        while let Some(piece) = transfer.pieces.pop_front_if(|piece| piece.end <= received) {
            let time = now.saturating_sub(piece.at);
            let is_shortest = pace
                .base
                .is_none_or(|(base, at)| time < base || now >= at + BASE_TIME);
            if is_shortest {
                pace.base = Some((time, now));
            }
            let base = pace.base.map_or(Duration::ZERO, |(base, _)| base);
            delay = Some(time.saturating_sub(base));
        }
        if let Some(delay) = delay {
            self.adapt_window(delay, bytes);
        }
        self.measure(bytes, now);
    }

    /// Records that the first `up_to` bytes of a body may be sent.
    pub fn grant(&mut self, id: TransferId, up_to: u64) {
        if let Some(transfer) = self.transfers.get_mut(&id) {
            transfer.granted = transfer.granted.max(up_to);
        }
    }

    /// Removes a transfer; what it had queued is not sent.
    pub fn close(&mut self, id: TransferId) {
        self.transfers.remove(&id);
    }

    /// Removes the transfers of a connection that has ended, and returns them.
    pub fn close_link(&mut self, link: LinkId) -> Vec<TransferId> {
        self.links.remove(&link);
        let ended = |transfer: &TransferState| transfer.spec.link == link;
        let mut ids = Vec::new();
        for (id, transfer) in &self.transfers {
            if ended(transfer) {
                ids.push(*id);
            }
        }
        self.transfers.retain(|_, transfer| !ended(transfer));
        ids
    }

    /// Returns whether all bytes queued so far were sent and received.
    #[must_use]
    pub fn is_through(&self, id: TransferId) -> bool {
        let transfer = self.transfers.get(&id);
        transfer.is_none_or(|transfer| transfer.queued == 0 && transfer.on_the_way() == 0)
    }

    /// Returns whether bytes of a transfer wait to be sent.
    #[must_use]
    pub fn has_queued(&self, id: TransferId) -> bool {
        let transfer = self.transfers.get(&id);
        transfer.is_some_and(|transfer| transfer.queued > 0)
    }

    /// Counts bytes of an answer that is expected but has no bytes yet.
    pub fn reserve(&mut self, bytes: u64) {
        self.reserved += bytes;
    }

    /// Undoes [`UplinkSchedule::reserve`].
    pub fn release(&mut self, bytes: u64) {
        self.reserved = self.reserved.saturating_sub(bytes);
    }

    /// Returns the number of bytes that wait, are expected or are on the way.
    #[must_use]
    pub fn backlog(&self) -> u64 {
        let transfers = self.transfers.values();
        let open: u64 = transfers
            .map(|transfer| transfer.waiting() + transfer.on_the_way())
            .sum();
        open + self.reserved
    }

    /// Returns the time until `bytes` more would be received, behind the present backlog; zero
    /// before a rate was measured.
    #[must_use]
    pub fn time_for(&self, bytes: u64) -> Duration {
        let Some(rate) = self.rate else {
            return Duration::ZERO;
        };
        Duration::from_secs_f64((self.backlog() + bytes) as f64 / rate.max(1.0))
    }

    /// Returns the measured rate in bytes a second.
    #[must_use]
    pub fn rate(&self) -> Option<f64> {
        self.rate
    }

    /// Returns the limit of the bytes on the way.
    #[must_use]
    pub fn window(&self) -> u64 {
        self.window as u64
    }

    fn choose(&self, now: Duration) -> Option<TransferId> {
        let mut best = None;
        for (id, transfer) in &self.transfers {
            let can_send = transfer.queued > 0 && transfer.credit() > 0;
            if !can_send || self.is_stalled(transfer, now) {
                continue;
            }
            let is_config = transfer.spec.class == TransferClass::Configuration;
            let class = match is_config {
                true if self.config_run < CONFIG_RUN => 0,
                true => 3,
                false if transfer.sent < EXCESS_BYTES => 1,
                false => 2,
            };
            let rank = (class, transfer.spec.due, *id);
            if best.is_none_or(|best| rank < best) {
                best = Some(rank);
            }
        }
        best.map(|(_, _, id)| id)
    }

    /// Returns the bytes on the way, without those on links that acknowledge nothing.
    fn on_the_way(&self, now: Duration) -> u64 {
        let mut bytes = 0;
        for transfer in self.transfers.values() {
            if !self.is_stalled(transfer, now) {
                bytes += transfer.on_the_way();
            }
        }
        bytes
    }

    fn is_stalled(&self, transfer: &TransferState, now: Duration) -> bool {
        let Some(oldest) = transfer.pieces.front() else {
            return false;
        };
        let pace = self.links.get(&transfer.spec.link);
        let acknowledged_at = pace.map_or(Duration::ZERO, |pace| pace.acknowledged_at);
        now >= oldest.at.max(acknowledged_at) + STALL_TIME
    }

    fn adapt_window(&mut self, delay: Duration, bytes: u64) {
        let target = DELAY_TARGET.as_secs_f64();
        let room = ((target - delay.as_secs_f64()) / target).clamp(-1.0, 1.0);
        let change = room * bytes as f64 * PIECE_BYTES as f64 / self.window;
        let (low, high) = WINDOW_BOUNDS;
        self.window = (self.window + change).clamp(low, high);
    }

    fn measure(&mut self, bytes: u64, now: Duration) {
        let has_queued = self
            .transfers
            .values()
            .any(|transfer| transfer.waiting() > 0);
        let is_flowing = has_queued || self.on_the_way(now) > 0;
        let fresh = is_flowing.then_some(RateSample {
            start: now,
            bytes: 0,
            is_limited: has_queued,
        });
        let Some(mut sample) = self.measured else {
            self.measured = fresh;
            return;
        };
        sample.bytes += bytes;
        let elapsed = now.saturating_sub(sample.start);
        if sample.bytes < RATE_SAMPLE || elapsed.is_zero() {
            sample.is_limited &= has_queued;
            self.measured = is_flowing.then_some(sample);
            return;
        }
        self.measured = fresh;
        let rate = sample.bytes as f64 / elapsed.as_secs_f64();
        self.rate = match self.rate {
            Some(mean) if sample.is_limited || rate > mean => {
                Some(mean + (rate - mean) * RATE_WEIGHT)
            }
            None if sample.is_limited => Some(rate),
            unchanged => unchanged,
        };
    }
}
