//! The platform's table and object store in memory.

use std::collections::BTreeMap;
use std::ops::Bound::Included;
use std::ops::Bound::Unbounded;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;

use coltsfootweir::ids::RowVersion;
use coltsfootweir::platform::CommitOutcome;
use coltsfootweir::platform::KeyRange;
use coltsfootweir::platform::PlatformError;
use coltsfootweir::platform::PlatformResult;
use coltsfootweir::platform::PlatformStore;
use coltsfootweir::platform::RowCondition;
use coltsfootweir::platform::TableRow;
use coltsfootweir::platform::WriteBatch;
use error_stack::Report;

use crate::platform_faults::OperationFate;
use crate::platform_faults::OperationKind;
use crate::platform_faults::PlatformFaults;
use crate::platform_faults::PlatformStats;

/// The platform in memory; clones share one state.
#[derive(Clone, Debug, Default)]
pub struct MemoryPlatform {
    state: Arc<Mutex<PlatformState>>,
}

#[derive(Debug, Default)]
struct PlatformState {
    rows: BTreeMap<Box<str>, StoredRow>,
    objects: BTreeMap<Box<str>, Vec<u8>>,
    /// Highest version of any deleted row, above which new rows start.
    deleted_version: RowVersion,
    faults: PlatformFaults,
    stats: PlatformStats,
}

#[derive(Debug)]
struct StoredRow {
    version: RowVersion,
    value: Box<str>,
}

impl MemoryPlatform {
    /// Makes an empty platform without faults.
    #[must_use]
    pub fn new() -> MemoryPlatform {
        MemoryPlatform::default()
    }

    /// Replaces the faults in force.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.lock().faults = faults;
    }

    /// Returns the faults in force, less what was used up.
    #[must_use]
    pub fn faults(&self) -> PlatformFaults {
        self.lock().faults
    }

    /// Returns what the platform has done since it was made.
    #[must_use]
    pub fn stats(&self) -> PlatformStats {
        self.lock().stats
    }

    fn lock(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn operate<T>(
        &self,
        kind: OperationKind,
        operation: impl FnOnce(&mut PlatformState) -> T,
    ) -> PlatformResult<T> {
        let delay = self.lock().faults.delay;
        if !delay.is_zero() {
            thread::sleep(delay);
        }
        let mut state = self.lock();
        match state.faults.next_fate(kind) {
            OperationFate::Served => Ok(operation(&mut state)),
            OperationFate::AnswerLost => {
                operation(&mut state);
                Err(Report::new(PlatformError::AnswerLost))
            }
            OperationFate::RequestLost => Err(Report::new(PlatformError::AnswerLost)),
            OperationFate::Refused => Err(Report::new(PlatformError::Unavailable)),
        }
    }
}

impl PlatformStore for MemoryPlatform {
    fn read_row(&self, key: &str) -> PlatformResult<Option<TableRow>> {
        self.operate(OperationKind::Read, |state| state.read_row(key))
    }

    fn list_rows(&self, prefix: &str) -> PlatformResult<Vec<TableRow>> {
        self.operate(OperationKind::Read, |state| state.list_rows(prefix))
    }

    fn list_range(&self, range: &KeyRange) -> PlatformResult<Vec<TableRow>> {
        self.operate(OperationKind::Read, |state| state.list_range(range))
    }

    fn commit(&self, batch: &WriteBatch) -> PlatformResult<CommitOutcome> {
        self.operate(OperationKind::Write, |state| state.commit(batch))
    }

    fn put_object(&self, name: &str, body: &[u8]) -> PlatformResult<()> {
        self.operate(OperationKind::Write, |state| state.put_object(name, body))
    }

    fn get_object(&self, name: &str) -> PlatformResult<Option<Vec<u8>>> {
        self.operate(OperationKind::Read, |state| state.get_object(name))
    }

    fn list_objects(&self, range: &KeyRange) -> PlatformResult<Vec<Box<str>>> {
        self.operate(OperationKind::Read, |state| state.list_objects(range))
    }

    fn delete_object(&self, name: &str) -> PlatformResult<()> {
        self.operate(OperationKind::Write, |state| state.delete_object(name))
    }
}

impl PlatformState {
    fn read_row(&mut self, key: &str) -> Option<TableRow> {
        self.stats.reads += 1;
        let (key, stored) = self.rows.get_key_value(key)?;
        self.stats.bytes_out += byte_count(key.len() + stored.value.len());
        Some(table_row(key, stored))
    }

    fn list_rows(&mut self, prefix: &str) -> Vec<TableRow> {
        self.stats.reads += 1;
        let mut rows = Vec::new();
        for (key, stored) in self.rows.range::<str, _>((Included(prefix), Unbounded)) {
            if !key.starts_with(prefix) {
                break;
            }
            self.stats.bytes_out += byte_count(key.len() + stored.value.len());
            rows.push(table_row(key, stored));
        }
        rows
    }

    fn list_range(&mut self, range: &KeyRange) -> Vec<TableRow> {
        self.stats.reads += 1;
        let mut rows = Vec::new();
        for key in keys_in(&self.rows, range) {
            let stored = &self.rows[key];
            self.stats.bytes_out += byte_count(key.len() + stored.value.len());
            rows.push(table_row(key, stored));
        }
        rows
    }

    fn commit(&mut self, batch: &WriteBatch) -> CommitOutcome {
        self.stats.writes += 1;
        for write in &batch.writes {
            let value_len = write.value.as_ref().map_or(0, |value| value.len());
            self.stats.bytes_in += byte_count(write.key.len() + value_len);
        }
        for write in &batch.writes {
            if !self.holds(&write.key, write.condition) {
                return CommitOutcome::Conflict(write.key.clone());
            }
        }
        for write in &batch.writes {
            self.write_row(&write.key, write.value.as_deref());
        }
        CommitOutcome::Committed
    }

    fn holds(&self, key: &str, condition: RowCondition) -> bool {
        let version = self.rows.get(key).map(|stored| stored.version);
        match condition {
            RowCondition::Any => true,
            RowCondition::Absent => version.is_none(),
            RowCondition::At(expected) => version == Some(expected),
        }
    }

    fn write_row(&mut self, key: &str, value: Option<&str>) {
        let Some(value) = value else {
            if let Some(stored) = self.rows.remove(key) {
                self.deleted_version = self.deleted_version.max(stored.version);
            }
            return;
        };
        let deleted_version = self.deleted_version;
        let stored = self.rows.entry(key.into()).or_insert_with(|| StoredRow {
            version: deleted_version,
            value: "".into(),
        });
        stored.version += 1;
        stored.value = value.into();
    }

    fn put_object(&mut self, name: &str, body: &[u8]) {
        self.stats.objects_written += 1;
        self.stats.bytes_in += byte_count(name.len() + body.len());
        self.objects.insert(name.into(), body.to_vec());
    }

    fn get_object(&mut self, name: &str) -> Option<Vec<u8>> {
        self.stats.objects_read += 1;
        let body = self.objects.get(name)?;
        self.stats.bytes_out += byte_count(body.len());
        Some(body.clone())
    }

    fn list_objects(&mut self, range: &KeyRange) -> Vec<Box<str>> {
        self.stats.object_listings += 1;
        let mut names = Vec::new();
        for name in keys_in(&self.objects, range) {
            self.stats.bytes_out += byte_count(name.len());
            names.push(name.into());
        }
        names
    }

    fn delete_object(&mut self, name: &str) {
        self.stats.objects_deleted += 1;
        self.objects.remove(name);
    }
}

/// The first keys of a range.
fn keys_in<'m, T>(map: &'m BTreeMap<Box<str>, T>, range: &KeyRange) -> Vec<&'m str> {
    let start = range.after.as_ref().max(&range.prefix);
    let mut keys = Vec::new();
    for key in map
        .range::<str, _>((Included(start), Unbounded))
        .map(|(key, _)| key)
    {
        if !key.starts_with(&*range.prefix) || keys.len() >= range.limit {
            break;
        }
        if **key != *range.after {
            keys.push(&**key);
        }
    }
    keys
}

fn table_row(key: &str, stored: &StoredRow) -> TableRow {
    TableRow {
        key: key.into(),
        version: stored.version,
        value: stored.value.clone(),
    }
}

fn byte_count(length: usize) -> u64 {
    length as u64
}
