//! How long the bodies on their way to a VM take, as other daemons are told.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::sidecar::uploads::grant_schedule::RATE_MARGIN;

/// Longest time for which a reported wait counts as unchanged: bodies that are offered meanwhile take
/// the place of those that were received. Four times the pause between two checks for new reports.
const HOLD_TIME: Duration = Duration::from_millis(600);

/// Part of a reported wait for which it counts as unchanged, as a divisor. A VM whose reports are lost
/// is then offered bodies again before it is idle.
const HOLD_DIVISOR: u32 = 2;

/// Least difference between the wait at a VM and what a peer was told from which on the peer is told
/// again: several bodies of the mean size over a link of 10 Mbit/s.
const REPORT_STEP: Duration = Duration::from_millis(100);

/// Part of the wait that the difference must exceed as well, as a divisor. With it, a full VM sends
/// about one report a second to each peer.
const STEP_DIVISOR: u32 = 4;

/// Times that the bodies on their way to a VM are planned to take.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ReceiveLoad {
    /// Bytes planned to be received in a millisecond; 0 if that is not known.
    pub rate: u32,
    /// Ranks, the most urgent first, and the times in milliseconds that the bodies of that rank and of
    /// all more urgent ones take.
    pub waits: Vec<(u8, u32)>,
}

/// A large body that is to be sent to a VM.
#[derive(Clone, Copy, Debug)]
pub struct BodyPlan {
    /// Priority rank of the request.
    pub rank: u8,
    /// Length in bytes.
    pub length: u64,
    /// Expected run time of the request, which follows the transfer.
    pub run: Duration,
    /// Time left until the request should finish.
    pub left: Duration,
}

impl ReceiveLoad {
    /// Returns the wait of a new body behind those of its rank and of more urgent ones, as told `age` ago.
    #[must_use]
    pub fn wait(&self, rank: u8, age: Duration) -> Duration {
        let ahead = self.waits.iter().rev().find(|(other, _)| *other <= rank);
        let told = ahead.map_or(0, |(_, wait_ms)| *wait_ms);
        let told = Duration::from_millis(u64::from(told));
        let hold = HOLD_TIME.min(told / HOLD_DIVISOR);
        told.saturating_sub(age.saturating_sub(hold))
    }

    /// Returns by how much a body would be late at a VM that told this `age` ago; zero if the VM may
    /// accept it. It accepts any if it expects no other one, and those that would be late on a link of
    /// their own.
    #[must_use]
    pub fn excess(&self, plan: &BodyPlan, age: Duration) -> Duration {
        let wait = self.wait(plan.rank, age);
        let transfer = match self.rate {
            0 => Duration::ZERO,
            rate => Duration::from_millis(plan.length / u64::from(rate)),
        };
        let (margin, whole) = RATE_MARGIN;
        let least_time = transfer * whole * whole / (margin * margin);
        if wait.is_zero() || least_time + plan.run >= plan.left {
            return Duration::ZERO;
        }
        (wait + transfer + plan.run).saturating_sub(plan.left)
    }

    /// Returns whether a peer that was told `told`, `age` ago, has to be told this.
    #[must_use]
    pub fn differs(&self, told: &ReceiveLoad, age: Duration) -> bool {
        let ranks = self.waits.iter().chain(&told.waits);
        ranks.map(|(rank, _)| *rank).any(|rank| {
            let wait = self.wait(rank, Duration::ZERO);
            let step = REPORT_STEP.max(wait / STEP_DIVISOR);
            wait.abs_diff(told.wait(rank, age)) >= step
        })
    }
}
