//! A platform store in memory with scripted faults.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;

use error_stack::Report;

use coltsfootweir::head_row::HEAD_KEY;
use coltsfootweir::platform::CommitOutcome;
use coltsfootweir::platform::KeyRange;
use coltsfootweir::platform::PlatformError;
use coltsfootweir::platform::PlatformResult;
use coltsfootweir::platform::PlatformStore;
use coltsfootweir::platform::RowCondition;
use coltsfootweir::platform::RowWrite;
use coltsfootweir::platform::TableRow;
use coltsfootweir::platform::WriteBatch;

/// What happens to one operation on the store.
#[derive(Clone, Copy, Debug)]
pub enum StoreFault {
    /// It works.
    None,
    /// It is refused.
    Outage,
    /// Its answer is lost and it has no effect.
    LostBefore,
    /// Its answer is lost and it has taken effect.
    LostAfter,
    /// Its answer is lost and it takes effect this many operations later.
    Late(u8),
    /// Other operators act first, this many times.
    Rivals(u8),
}

type RivalHook = Arc<dyn Fn(&FakeStore) + Send + Sync>;

#[derive(Default)]
struct StoreState {
    rows: BTreeMap<Box<str>, TableRow>,
    objects: BTreeMap<Box<str>, Vec<u8>>,
    script: VecDeque<StoreFault>,
    late: Vec<(u8, WriteBatch)>,
    log: Vec<(WriteBatch, u64)>,
    faults: usize,
    rival: Option<RivalHook>,
}

/// Platform store in memory with scripted faults; operations beyond the script work.
#[derive(Default)]
pub struct FakeStore {
    state: Mutex<StoreState>,
}

impl FakeStore {
    /// Sets the faults of the next operations and what rivals do.
    pub fn load(&self, script: &[StoreFault], rival: Option<RivalHook>) {
        let mut state = self.state.lock().unwrap();
        state.script = script.iter().copied().collect();
        state.rival = rival;
        state.faults = 0;
    }

    /// Returns the number of faults met since the last [`FakeStore::load`].
    pub fn faults(&self) -> usize {
        self.state.lock().unwrap().faults
    }

    /// Lets every late write arrive.
    pub fn flush(&self) {
        let mut state = self.state.lock().unwrap();
        for (_, batch) in std::mem::take(&mut state.late) {
            state.write(&batch);
        }
    }

    /// Returns the batches that took effect on the head, with the generation each one set.
    pub fn log(&self) -> Vec<(WriteBatch, u64)> {
        self.state.lock().unwrap().log.clone()
    }

    /// Replaces the bytes of every object.
    pub fn damage_objects(&self, damage: impl Fn(&mut Vec<u8>)) {
        self.state
            .lock()
            .unwrap()
            .objects
            .values_mut()
            .for_each(damage);
    }

    fn next_fault(&self) -> StoreFault {
        let mut state = self.state.lock().unwrap();
        state.deliver_late();
        let fault = state.script.pop_front().unwrap_or(StoreFault::None);
        if !matches!(fault, StoreFault::None) {
            state.faults += 1;
        }
        fault
    }

    fn let_rivals_act(&self, count: u8) {
        let (script, rival) = {
            let mut state = self.state.lock().unwrap();
            (std::mem::take(&mut state.script), state.rival.clone())
        };
        for _ in 0..count {
            rival.iter().for_each(|rival| rival(self));
        }
        self.state.lock().unwrap().script = script;
    }

    /// Returns whether the operation takes effect and whether its answer arrives.
    fn meet_fault(&self) -> PlatformResult<(bool, bool)> {
        match self.next_fault() {
            StoreFault::Outage => Err(Report::new(PlatformError::Unavailable)),
            StoreFault::LostBefore | StoreFault::Late(_) => Ok((false, false)),
            StoreFault::LostAfter => Ok((true, false)),
            StoreFault::None | StoreFault::Rivals(_) => Ok((true, true)),
        }
    }
}

impl StoreState {
    fn deliver_late(&mut self) {
        for (left, batch) in std::mem::take(&mut self.late) {
            match left.checked_sub(1) {
                Some(left) => self.late.push((left, batch)),
                None => drop(self.write(&batch)),
            }
        }
    }

    fn write(&mut self, batch: &WriteBatch) -> CommitOutcome {
        for write in &batch.writes {
            let held = self.rows.get(&write.key).map(|row| row.version);
            let met = match write.condition {
                RowCondition::Any => true,
                RowCondition::Absent => held.is_none(),
                RowCondition::At(version) => held == Some(version),
            };
            if !met {
                return CommitOutcome::Conflict(write.key.clone());
            }
        }
        for RowWrite { key, value, .. } in &batch.writes {
            let version = self.rows.get(key).map_or(1, |row| row.version + 1);
            let value = value.clone().expect("no test deletes rows");
            if **key == *HEAD_KEY {
                let head: serde_json::Value = serde_json::from_str(&value).unwrap();
                self.log
                    .push((batch.clone(), head["mark"]["generation"].as_u64().unwrap()));
            }
            self.rows.insert(
                key.clone(),
                TableRow {
                    key: key.clone(),
                    version,
                    value,
                },
            );
        }
        CommitOutcome::Committed
    }
}

fn answer<T>(value: T, arrives: bool) -> PlatformResult<T> {
    if arrives {
        Ok(value)
    } else {
        Err(Report::new(PlatformError::AnswerLost))
    }
}

impl PlatformStore for FakeStore {
    fn read_row(&self, key: &str) -> PlatformResult<Option<TableRow>> {
        let (_, arrives) = self.meet_fault()?;
        answer(self.state.lock().unwrap().rows.get(key).cloned(), arrives)
    }

    fn list_rows(&self, prefix: &str) -> PlatformResult<Vec<TableRow>> {
        let (_, arrives) = self.meet_fault()?;
        let state = self.state.lock().unwrap();
        let rows = state
            .rows
            .values()
            .filter(|row| row.key.starts_with(prefix));
        answer(rows.cloned().collect(), arrives)
    }

    fn list_range(&self, range: &KeyRange) -> PlatformResult<Vec<TableRow>> {
        let mut rows = self.list_rows(&range.prefix)?;
        rows.retain(|row| row.key > range.after);
        rows.truncate(range.limit);
        Ok(rows)
    }

    fn commit(&self, batch: &WriteBatch) -> PlatformResult<CommitOutcome> {
        match self.next_fault() {
            StoreFault::Outage => return Err(Report::new(PlatformError::Unavailable)),
            StoreFault::LostBefore => {}
            StoreFault::LostAfter => drop(self.state.lock().unwrap().write(batch)),
            StoreFault::Late(left) => {
                self.state.lock().unwrap().late.push((left, batch.clone()));
            }
            StoreFault::Rivals(count) => {
                self.let_rivals_act(count);
                return Ok(self.state.lock().unwrap().write(batch));
            }
            StoreFault::None => return Ok(self.state.lock().unwrap().write(batch)),
        }
        Err(Report::new(PlatformError::AnswerLost))
    }

    fn put_object(&self, name: &str, body: &[u8]) -> PlatformResult<()> {
        let (takes_effect, arrives) = self.meet_fault()?;
        if takes_effect {
            self.state
                .lock()
                .unwrap()
                .objects
                .insert(name.into(), body.to_vec());
        }
        answer((), arrives)
    }

    fn get_object(&self, name: &str) -> PlatformResult<Option<Vec<u8>>> {
        let (_, arrives) = self.meet_fault()?;
        answer(
            self.state.lock().unwrap().objects.get(name).cloned(),
            arrives,
        )
    }

    fn list_objects(&self, range: &KeyRange) -> PlatformResult<Vec<Box<str>>> {
        let (_, arrives) = self.meet_fault()?;
        let state = self.state.lock().unwrap();
        let mut names: Vec<Box<str>> = state.objects.keys().cloned().collect();
        names.retain(|name| name.starts_with(&*range.prefix) && *name > range.after);
        names.truncate(range.limit);
        answer(names, arrives)
    }

    fn delete_object(&self, name: &str) -> PlatformResult<()> {
        let (takes_effect, arrives) = self.meet_fault()?;
        if takes_effect {
            self.state.lock().unwrap().objects.remove(name);
        }
        answer((), arrives)
    }
}
