//! Faults the platform stand-in shows, and what it counts.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::millis;

/// Faults shown by the platform stand-in; the default shows none.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Whether every operation is refused.
    pub outage: bool,
    /// Wait before each operation; whole milliseconds in JSON.
    #[serde(with = "millis")]
    pub delay: Duration,
    /// Number of coming writes that take effect without an answer.
    pub lose_answers: u32,
    /// Whether every write is refused.
    pub refuse_writes: bool,
    /// Number of coming operations that neither take effect nor are answered.
    pub lose_requests: u32,
}

/// Counts of what the platform stand-in did.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlatformStats {
    /// Row reads and listings served.
    pub reads: u64,
    /// Batches taken, whether committed or in conflict.
    pub writes: u64,
    /// Object reads served.
    pub objects_read: u64,
    /// Objects stored.
    pub objects_written: u64,
    /// Listings of objects served.
    pub object_listings: u64,
    /// Deletions of objects served.
    pub objects_deleted: u64,
    /// Bytes of keys, values and objects taken.
    pub bytes_in: u64,
    /// Bytes of keys, values and objects given out.
    pub bytes_out: u64,
}

/// Whether an operation changes what the platform holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OperationKind {
    /// The operation only reads.
    Read,
    /// The operation writes.
    Write,
}

/// What happens to an operation under the faults in force.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OperationFate {
    /// It takes effect and is answered.
    Served,
    /// It takes effect and its answer is lost.
    AnswerLost,
    /// It is lost on the way: no effect, no answer.
    RequestLost,
    /// It is refused.
    Refused,
}

impl PlatformFaults {
    /// Decides the fate of the next operation, using up one lost request or answer where it applies.
    pub fn next_fate(&mut self, kind: OperationKind) -> OperationFate {
        if self.outage || (self.refuse_writes && kind == OperationKind::Write) {
            return OperationFate::Refused;
        }
        if self.lose_requests > 0 {
            self.lose_requests -= 1;
            return OperationFate::RequestLost;
        }
        if self.lose_answers > 0 && kind == OperationKind::Write {
            self.lose_answers -= 1;
            return OperationFate::AnswerLost;
        }
        OperationFate::Served
    }
}
