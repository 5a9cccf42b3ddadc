//! In-memory platform store with scripted faults.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use error_stack::Report;

use coltsfootweir::accept::accept_change;
use coltsfootweir::head_row::HEAD_KEY;
use coltsfootweir::platform::CommitOutcome;
use coltsfootweir::platform::KeyRange;
use coltsfootweir::platform::PlatformError;
use coltsfootweir::platform::PlatformResult;
use coltsfootweir::platform::PlatformStore;
use coltsfootweir::platform::TableRow;
use coltsfootweir::platform::WriteBatch;
use coltsfootweir::snapshot::ConfigSnapshot;
use standins::memory_platform::MemoryPlatform;

use super::records::first_snapshot;

/// Fault of one store operation.
#[derive(Clone, Copy, Debug)]
pub enum StoreFault {
    /// The operation succeeds.
    None,
    /// The operation is refused.
    Outage,
    /// The answer is lost and the operation has no effect.
    LostBefore,
    /// The answer is lost but the operation takes effect.
    LostAfter,
    /// The answer is lost and the operation takes effect this many operations later.
    Late(u8),
    /// Other writers act first, this many times.
    ConcurrentWriters(u8),
}

type WriterHook = Arc<dyn Fn(&FakeStore) + Send + Sync>;

#[derive(Default)]
struct StoreState {
    memory: MemoryPlatform,
    script: VecDeque<StoreFault>,
    late_writes: Vec<(u8, WriteBatch)>,
    head_commits: Vec<(WriteBatch, u64)>,
    writer: Option<WriterHook>,
}

/// In-memory platform store with scripted faults. Operations after the end of the script succeed.
#[derive(Default)]
pub struct FakeStore {
    state: Mutex<StoreState>,
}

impl FakeStore {
    /// Sets the faults of the next operations and the action of concurrent writers.
    pub fn script_faults(&self, script: &[StoreFault], writer: Option<WriterHook>) {
        let mut state = self.lock();
        state.script = script.iter().copied().collect();
        state.writer = writer;
    }

    /// Applies all late writes.
    pub fn apply_late_writes(&self) {
        let mut state = self.lock();
        for (_, batch) in std::mem::take(&mut state.late_writes) {
            state.write(&batch);
        }
    }

    /// Returns the committed batches that changed the head, with the generation that each one set.
    pub fn head_commits(&self) -> Vec<(WriteBatch, u64)> {
        self.lock().head_commits.clone()
    }

    /// Changes the bytes of every object with `damage`.
    pub fn damage_objects(&self, damage: impl Fn(&mut Vec<u8>)) {
        let state = self.lock();
        let every = KeyRange {
            prefix: "".into(),
            after: "".into(),
            limit: usize::MAX,
        };
        for name in state.memory.list_objects(&every).unwrap() {
            let mut body = state.memory.get_object(&name).unwrap().unwrap();
            damage(&mut body);
            state.memory.put_object(&name, &body).unwrap();
        }
    }

    fn lock(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().unwrap()
    }

    fn next_fault(&self) -> StoreFault {
        let mut state = self.lock();
        state.apply_due_writes();
        state.script.pop_front().unwrap_or(StoreFault::None)
    }

    fn run_concurrent_writers(&self, count: u8) {
        let script = std::mem::take(&mut self.lock().script);
        let writer = self.lock().writer.clone();
        for _ in 0..count {
            writer.iter().for_each(|writer| writer(self));
        }
        self.lock().script = script;
    }

    fn operate<T>(
        &self,
        fault: StoreFault,
        operation: impl FnOnce(&mut StoreState) -> PlatformResult<T>,
    ) -> PlatformResult<T> {
        let lost = || Err(Report::new(PlatformError::AnswerLost));
        match fault {
            StoreFault::Outage => Err(Report::new(PlatformError::Unavailable)),
            StoreFault::LostBefore | StoreFault::Late(_) => lost(),
            StoreFault::LostAfter => operation(&mut self.lock()).and_then(|_| lost()),
            StoreFault::None | StoreFault::ConcurrentWriters(_) => operation(&mut self.lock()),
        }
    }
}

/// Returns a store that holds the first snapshot.
pub fn first_store() -> Arc<FakeStore> {
    let store = Arc::new(FakeStore::default());
    let first = |_: &ConfigSnapshot| Ok(first_snapshot());
    accept_change(&*store, &|| "first".into(), &first, &[]).expect("the first change is accepted");
    store
}

impl StoreState {
    fn apply_due_writes(&mut self) {
        for (left, batch) in std::mem::take(&mut self.late_writes) {
            match left.checked_sub(1) {
                Some(left) => self.late_writes.push((left, batch)),
                None => drop(self.write(&batch)),
            }
        }
    }

    fn write(&mut self, batch: &WriteBatch) -> CommitOutcome {
        let outcome = self.memory.commit(batch).expect("no fault is set");
        if outcome != CommitOutcome::Committed {
            return outcome;
        }
        for write in &batch.writes {
            if *write.key == *HEAD_KEY {
                let value = write.value.as_ref().expect("no test deletes the head");
                let head: serde_json::Value = serde_json::from_str(value).unwrap();
                let generation = head["mark"]["generation"].as_u64().unwrap();
                self.head_commits.push((batch.clone(), generation));
            }
        }
        outcome
    }
}

impl PlatformStore for FakeStore {
    fn read_row(&self, key: &str) -> PlatformResult<Option<TableRow>> {
        self.operate(self.next_fault(), |state| state.memory.read_row(key))
    }

    fn list_rows(&self, prefix: &str) -> PlatformResult<Vec<TableRow>> {
        self.operate(self.next_fault(), |state| state.memory.list_rows(prefix))
    }

    fn list_range(&self, range: &KeyRange) -> PlatformResult<Vec<TableRow>> {
        self.operate(self.next_fault(), |state| state.memory.list_range(range))
    }

    fn commit(&self, batch: &WriteBatch) -> PlatformResult<CommitOutcome> {
        let fault = self.next_fault();
        match fault {
            StoreFault::Late(left) => self.lock().late_writes.push((left, batch.clone())),
            StoreFault::ConcurrentWriters(count) => self.run_concurrent_writers(count),
            _ => {}
        }
        self.operate(fault, |state| Ok(state.write(batch)))
    }

    fn put_object(&self, name: &str, body: &[u8]) -> PlatformResult<()> {
        let fault = self.next_fault();
        self.operate(fault, |state| state.memory.put_object(name, body))
    }

    fn get_object(&self, name: &str) -> PlatformResult<Option<Vec<u8>>> {
        self.operate(self.next_fault(), |state| state.memory.get_object(name))
    }

    fn list_objects(&self, range: &KeyRange) -> PlatformResult<Vec<Box<str>>> {
        self.operate(self.next_fault(), |state| state.memory.list_objects(range))
    }

    fn delete_object(&self, name: &str) -> PlatformResult<()> {
        self.operate(self.next_fault(), |state| state.memory.delete_object(name))
    }
}
