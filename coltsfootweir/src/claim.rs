//! Writes the claims of callers' booking keys to the platform's table, many in one batch.

use std::iter;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use flume::Receiver;
use flume::Sender;
use log::warn;

use crate::booking_decision::ClaimRow;
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

/// Claims written in one batch.
const BATCH_LIMIT: usize = 64;

/// Time between two looks at the stop signal.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// What became of a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimOutcome {
    /// The row was written.
    Claimed,
    /// The key was claimed before, by this row.
    Taken(ClaimRow),
    /// It is not known whether the row was written.
    Unknown,
}

/// A claim to be written.
#[derive(Debug)]
pub struct ClaimRequest {
    /// Service of the booking.
    pub service: ServiceName,
    /// Key that the caller made.
    pub key: Box<str>,
    /// Row to write when there is none.
    pub row: ClaimRow,
    /// Gets the outcome.
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
        while !stop.is_set() {
            let batch = collect_batch(&requests);
            if batch.is_empty() {
                continue;
            }
            write_claims(context.platform.as_ref(), context.incarnation, batch);
        }
    }
}

/// Takes claims that are still waited for; one that was given up is not written.
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

/// Writes a batch; when a key of it was claimed before, each claim is written by itself.
fn write_claims(store: &dyn PlatformStore, incarnation: Incarnation, batch: Vec<ClaimRequest>) {
    let writes = batch.iter().map(claim_write).collect();
    match commit(store, incarnation, writes) {
        Ok(CommitOutcome::Committed) => {
            for request in batch {
                let _ = request.answer.send(ClaimOutcome::Claimed);
            }
        }
        Ok(CommitOutcome::Conflict(_)) => {
            for request in batch {
                let outcome = write_one(store, incarnation, &request);
                let _ = request.answer.send(outcome);
            }
        }
        Err(()) => {
            for request in batch {
                let _ = request.answer.send(ClaimOutcome::Unknown);
            }
        }
    }
}

fn write_one(
    store: &dyn PlatformStore,
    incarnation: Incarnation,
    request: &ClaimRequest,
) -> ClaimOutcome {
    match commit(store, incarnation, vec![claim_write(request)]) {
        Ok(CommitOutcome::Committed) => ClaimOutcome::Claimed,
        Ok(CommitOutcome::Conflict(key)) => read_claim(store, &key),
        Err(()) => ClaimOutcome::Unknown,
    }
}

fn read_claim(store: &dyn PlatformStore, key: &str) -> ClaimOutcome {
    let Ok(Some(row)) = store.read_row(key) else {
        return ClaimOutcome::Unknown;
    };
    match serde_json::from_str(&row.value) {
        Ok(row) => ClaimOutcome::Taken(row),
        Err(error) => {
            warn!(target: CALLS, "claim row {key} not understood: {error}");
            ClaimOutcome::Unknown
        }
    }
}

fn claim_write(request: &ClaimRequest) -> RowWrite {
    let value = serde_json::to_string(&request.row).unwrap_or_default();
    RowWrite {
        key: format!("claim/{}/{}", request.service, request.key).into(),
        condition: RowCondition::Absent,
        value: Some(value.into()),
    }
}

fn commit(
    store: &dyn PlatformStore,
    incarnation: Incarnation,
    writes: Vec<RowWrite>,
) -> Result<CommitOutcome, ()> {
    static COUNTER: AtomicU64 = AtomicU64::new(0);
    let count = COUNTER.fetch_add(1, Ordering::Relaxed);
    let batch = WriteBatch {
        write_id: format!("claim-{incarnation}-{count}").into(),
        writes,
    };
    store.commit(&batch).map_err(|error| {
        warn!(target: CALLS, "claims not written: {error}");
    })
}
