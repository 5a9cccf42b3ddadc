//! Times by which requests should finish, which differ for those with large bodies.

use std::time::Duration;

use crate::sidecar::frame::ForwardedCall;
use crate::sidecar::link::uplink_schedule::PIECE_BYTES;

/// Returns whether a body of `length` bytes is sent in pieces.
#[must_use]
pub fn is_large(length: u64) -> bool {
    length > PIECE_BYTES
}

/// A new request, for the decision by when it should finish. Times are since the start of the daemon.
#[derive(Clone, Copy, Debug)]
pub struct NewRequest {
    /// Time by which the endpoint should finish it for the route's target time to be met.
    pub target: Duration,
    /// The client's deadline.
    pub deadline: Duration,
    /// Whether its rank takes precedence over others at the service.
    pub is_preferred: bool,
    /// Length of its body in bytes.
    pub body_length: u64,
}

impl NewRequest {
    /// Returns the time until which it may wait for a slot.
    ///
    /// A request of the least urgent rank waits only until its target time: under overload, requests
    /// that finish late would take the slots of requests that finish in time. Requests of more urgent
    /// ranks may wait until their deadline. They start first, and calls that a running request depends
    /// on are among them.
    #[must_use]
    pub fn wait_until(&self) -> Duration {
        match self.is_preferred {
            true => self.deadline,
            false => self.deadline.min(self.target),
        }
    }

    /// Returns the time by which it should finish.
    ///
    /// One with a large body should meet the target time whatever its rank. If bodies were accepted up
    /// to their deadlines, a receiver's link with more of them than it carries would deliver all of
    /// them late.
    #[must_use]
    pub fn finish_by(&self) -> Duration {
        match is_large(self.body_length) {
            true => self.deadline.min(self.target),
            false => self.wait_until(),
        }
    }
}

/// Times of a call that has arrived at the daemon beside the endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallTimes {
    /// Time by which it should finish, at most `deadline`.
    pub finish_by: Duration,
    /// The client's deadline.
    pub deadline: Duration,
    /// Whether it may still run after `finish_by`. Its body has passed a link or is on the right VM,
    /// and answers that are late are still wanted.
    pub may_be_late: bool,
}

impl CallTimes {
    /// Returns the times of a call that arrived at `arrived` and was delayed by `delay` on its way.
    #[must_use]
    pub fn new(call: &ForwardedCall, arrived: Duration, delay: Duration) -> CallTimes {
        let length = call.body.len() as u64;
        CallTimes::with_body(call, length, arrived, delay)
    }

    /// Returns the times of a call whose body, of `length` bytes, may not have been received.
    #[must_use]
    pub fn with_body(
        call: &ForwardedCall,
        length: u64,
        arrived: Duration,
        delay: Duration,
    ) -> CallTimes {
        let wait = Duration::from_millis(u64::from(call.wait_ms));
        let left = Duration::from_millis(u64::from(call.left_ms));
        let deadline = arrived + left.saturating_sub(delay);
        CallTimes {
            finish_by: deadline.min(arrived + wait.saturating_sub(delay)),
            deadline,
            may_be_late: is_large(length),
        }
    }

    /// Returns whether the call can only finish late, but may still run.
    #[must_use]
    pub fn is_late(&self, now: Duration) -> bool {
        self.may_be_late && now >= self.finish_by
    }

    /// Returns the time after which the call must not wait for anything any more.
    #[must_use]
    pub fn limit(&self, now: Duration) -> Duration {
        match self.is_late(now) {
            true => self.deadline,
            false => self.finish_by,
        }
    }
}
