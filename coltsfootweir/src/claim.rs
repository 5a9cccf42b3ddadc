//! Writes claims of callers' booking keys to the platform's table in batches.

use std::iter;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use flume::Receiver;
use flume::Sender;
use log::warn;

use crate::booking_decision::ClaimRow;
use crate::claim_row::ClaimLayout;
use crate::claim_row::ClaimRowKeys;
use crate::claim_row::ClaimValue;
use crate::context::DaemonContext;
use crate::ids::Incarnation;
use crate::ids::ServiceName;
use crate::kernel::DaemonTask;
use crate::kernel::StopSignal;
use crate::kernel::TaskPlugin;
use crate::logging::CALLS;
use crate::platform::CommitOutcome;
use crate::platform::PlatformStore;
use crate::platform::RowCondition;
use crate::platform::RowWrite;
use crate::platform::WriteBatch;
use crate::retention_tally::RetentionTally;

/// Maximum number of claim requests taken in one batch.
const BATCH_LIMIT: usize = 64;

/// Longest wait for a request before the stop signal is checked again.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Outcome of a claim request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimOutcome {
    /// The row was written.
    Claimed,
    /// The key had already been claimed by this row.
    Taken(ClaimRow),
    /// No row claims the key. Only a read has this outcome.
    Missing,
    /// The row may or may not have been written, or it could not be read.
    Unknown,
}

/// Table operation of a claim request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimOperation {
    /// Write this row if the key has none.
    Write(ClaimRow),
    /// Read the row without writing one.
    Read,
}

/// Request to write or read a claim.
#[derive(Debug)]
pub struct ClaimRequest {
    /// Service of the booking.
    pub service: ServiceName,
    /// Booking key made by the caller.
    pub key: Box<str>,
    /// Operation to perform.
    pub operation: ClaimOperation,
    /// Channel that receives the outcome.
    pub answer: Sender<ClaimOutcome>,
}

struct ClaimWriter;

inventory::submit! { TaskPlugin { task: &ClaimWriter } }

impl DaemonTask for ClaimWriter {
    fn name(&self) -> &'static str {
        "claims"
    }

    fn run(&self, context: &Arc<DaemonContext>, stop: &StopSignal) {
        let Some(requests) = context.take_claim_queue() else {
            return;
        };
        let table = ClaimTable {
            store: context.platform.as_ref(),
            incarnation: context.incarnation,
            layout: context.settings.claim_layout,
            tally: &context.retention,
        };
        while !stop.is_set() {
            let batch = collect_batch(&requests);
            if batch.is_empty() {
                continue;
            }
            table.process(batch);
        }
    }
}

/// Collects the next batch. Requests whose receiver is gone are dropped and not written.
fn collect_batch(requests: &Receiver<ClaimRequest>) -> Vec<ClaimRequest> {
    let mut batch = Vec::new();
    let Ok(first) = requests.recv_timeout(POLL_INTERVAL) else {
        return batch;
    };
    for request in iter::once(first).chain(requests.try_iter()) {
        if request.answer.is_disconnected() {
            continue;
        }
        batch.push(request);
        if batch.len() >= BATCH_LIMIT {
            break;
        }
    }
    batch
}

/// Access to the claim rows of the platform's table.
struct ClaimTable<'a> {
    store: &'a dyn PlatformStore,
    incarnation: Incarnation,
    layout: ClaimLayout,
    tally: &'a RetentionTally,
}

impl ClaimTable<'_> {
    /// Processes a batch of requests: the writes in one commit, then the reads one by one.
    fn process(&self, batch: Vec<ClaimRequest>) {
        let mut claims = Vec::new();
        let mut reads = Vec::new();
        for request in batch {
            match request.operation {
                ClaimOperation::Write(_) => claims.push(request),
                ClaimOperation::Read => reads.push(request),
            }
        }
        if !claims.is_empty() {
            self.write_claims(claims);
        }
        for request in reads {
            if request.answer.is_disconnected() {
                continue;
            }
            let _ = request
                .answer
                .send(self.read_claim(&self.row_keys(&request)));
        }
    }

    /// Writes a batch in one commit. If one of its keys had already been claimed, writes each claim in a
    /// commit of its own.
    fn write_claims(&self, batch: Vec<ClaimRequest>) {
        let writes = batch.iter().flat_map(|request| self.claim_writes(request));
        match self.commit(writes.collect()) {
            Ok(CommitOutcome::Committed) => {
                for request in batch {
                    self.report_claimed(&request);
                }
            }
            Ok(CommitOutcome::Conflict(_)) => {
                for request in batch {
                    self.write_one(&request);
                }
            }
            Err(()) => {
                for request in batch {
                    let _ = request.answer.send(ClaimOutcome::Unknown);
                }
            }
        }
    }

    fn write_one(&self, request: &ClaimRequest) {
        let outcome = match self.commit(self.claim_writes(request)) {
            Ok(CommitOutcome::Committed) => return self.report_claimed(request),
            Ok(CommitOutcome::Conflict(_)) => match self.read_claim(&self.row_keys(request)) {
                // The row was removed after the conflict.
                ClaimOutcome::Missing => ClaimOutcome::Unknown,
                outcome => outcome,
            },
            Err(()) => ClaimOutcome::Unknown,
        };
        let _ = request.answer.send(outcome);
    }

    fn report_claimed(&self, request: &ClaimRequest) {
        self.tally.add_claim(self.row_keys(request).timed.is_some());
        let _ = request.answer.send(ClaimOutcome::Claimed);
    }

    /// Reads the row that claims the key, trying each row key in turn.
    fn read_claim(&self, keys: &ClaimRowKeys) -> ClaimOutcome {
        for key in keys.iter() {
            let row = match self.store.read_row(key) {
                Ok(Some(row)) => row,
                Ok(None) => continue,
                Err(_) => return ClaimOutcome::Unknown,
            };
            let value: Result<ClaimValue, _> = serde_json::from_str(&row.value);
            return match value {
                Ok(value) => ClaimOutcome::Taken(value.row),
                Err(error) => {
                    warn!(target: CALLS, "cannot parse claim row {key}: {error}");
                    ClaimOutcome::Unknown
                }
            };
        }
        ClaimOutcome::Missing
    }

    fn row_keys(&self, request: &ClaimRequest) -> ClaimRowKeys {
        ClaimRowKeys::of(&request.service, &request.key, self.layout)
    }

    fn claim_writes(&self, request: &ClaimRequest) -> Vec<RowWrite> {
        let ClaimOperation::Write(row) = &request.operation else {
            return Vec::new();
        };
        let keys = self.row_keys(request);
        let value = ClaimValue {
            row: row.clone(),
            is_paired: keys.is_paired(),
        };
        let text = serde_json::to_string(&value).unwrap_or_default();
        let mut writes = Vec::new();
        for key in keys.iter() {
            writes.push(RowWrite {
                key: key.into(),
                condition: RowCondition::Absent,
                value: Some(text.as_str().into()),
            });
        }
        writes
    }

    fn commit(&self, writes: Vec<RowWrite>) -> Result<CommitOutcome, ()> {
        static COUNTER: AtomicU64 = AtomicU64::new(0);
        let count = COUNTER.fetch_add(1, Ordering::Relaxed);
        let batch = WriteBatch {
            write_id: format!("claim-{}-{count}", self.incarnation).into(),
            writes,
        };
        self.store.commit(&batch).map_err(|error| {
            let rows = batch.writes.len();
            warn!(target: CALLS, "commit of {rows} claim rows failed: {error}");
        })
    }
}
