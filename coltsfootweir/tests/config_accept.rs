//! Acceptance with concurrent operators and a faulty store: no accepted change is lost or applied twice.

mod common;

use std::cell::Cell;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;

use error_stack::Report;
use proptest::collection::vec;
use proptest::prelude::*;

use coltsfootweir::accept::AcceptError;
use coltsfootweir::accept::MAX_SETTLE_TRIES;
use coltsfootweir::accept::accept_change;
use coltsfootweir::accept::fetch_snapshot;
use coltsfootweir::accept::find_write;
use coltsfootweir::accept::read_head;
use coltsfootweir::ids::WriteId;
use coltsfootweir::platform::PlatformStore;
use coltsfootweir::platform::RowCondition;
use coltsfootweir::platform::RowWrite;
use coltsfootweir::record::ConfigRecord;
use coltsfootweir::record::RouteRecord;
use coltsfootweir::snapshot::ConfigSnapshot;

use common::fake_store::FakeStore;
use common::fake_store::StoreFault;
use common::fake_store::first_store;
use common::fixed_config;
use common::records::first_snapshot;
use common::records::route;

/// Number of accepted writes after which the head row may no longer list a write.
const REMEMBERED_WRITES: u8 = 16;

const GUARD_KEY: &str = "move/guard";

/// Kind of change an operator makes.
#[derive(Clone, Copy, Debug, PartialEq)]
enum OpKind {
    /// A route that no other operator writes.
    Own,
    /// The route that all operators write.
    Shared,
    /// A route that no other operator writes, together with the guard row.
    Guarded,
    /// A route of a service that does not exist.
    Bad,
}

type OpResult = Result<ConfigSnapshot, Report<AcceptError>>;

/// Operations run so far, with their results.
#[derive(Default)]
struct Journal {
    results: Mutex<Vec<(OpKind, OpResult)>>,
}

fn op_route(number: usize, kind: OpKind) -> RouteRecord {
    match kind {
        OpKind::Own | OpKind::Guarded => route(&format!("own{number}"), "stalls", 500),
        OpKind::Shared => route("shared", "stalls", 1000 + number as u64),
        OpKind::Bad => route("bad", "nowhere", 500),
    }
}

/// Runs one operator's change; the fault script starts after the guard row has been read.
fn run_op(store: &FakeStore, kind: OpKind, number: usize, script: impl FnOnce()) -> OpResult {
    let mut guards = Vec::new();
    if kind == OpKind::Guarded {
        let row = store.read_row(GUARD_KEY).expect("no fault yet");
        let condition = row.map_or(RowCondition::Absent, |row| RowCondition::At(row.version));
        let value = Some(number.to_string().into());
        guards.push(RowWrite {
            key: GUARD_KEY.into(),
            condition,
            value,
        });
    }
    script();
    let attempt = Cell::new(0);
    let write_ids = || -> WriteId {
        attempt.set(attempt.get() + 1);
        format!("{number}/{}", attempt.get()).into()
    };
    let change =
        |base: &ConfigSnapshot| base.with_records([ConfigRecord::Route(op_route(number, kind))]);
    accept_change(store, &write_ids, &change, &guards)
}

impl Journal {
    fn run(&self, store: &FakeStore, kind: OpKind, script: impl FnOnce()) {
        let number = {
            let mut results = self.results.lock().unwrap();
            results.push((kind, Err(Report::new(AcceptError::Unavailable))));
            results.len() - 1
        };
        let result = run_op(store, kind, number, script);
        self.results.lock().unwrap()[number].1 = result;
    }

    /// Compares every result with the batches that took effect.
    fn check(&self, store: &FakeStore) {
        store.script_faults(&[], None);
        store.apply_late_writes();
        let results = self.results.lock().unwrap();
        let mut routes = first_snapshot().routes;
        let mut accepted: BTreeMap<usize, Vec<(WriteId, u64)>> = BTreeMap::new();
        let mut guard = None;
        for (index, (batch, generation)) in store.head_commits().into_iter().enumerate() {
            assert_eq!(generation, index as u64 + 1, "accepted once, in order");
            if index == 0 {
                continue;
            }
            let number: usize = batch.write_id.split('/').next().unwrap().parse().unwrap();
            let route = op_route(number, results[number].0);
            routes.insert(route.name.clone(), route);
            let writes = accepted.entry(number).or_default();
            writes.push((batch.write_id, generation));
            if results[number].0 == OpKind::Guarded {
                guard = Some(number.to_string());
            }
        }
        let head = read_head(store).unwrap();
        let snapshot = fetch_snapshot(store, &head).unwrap();
        assert_eq!(snapshot.routes, routes, "just the accepted changes");
        assert_eq!(head.generation, store.head_commits().len() as u64);
        let row = store.read_row(GUARD_KEY).unwrap();
        assert_eq!(row.map(|row| String::from(row.value)), guard);
        for (number, (kind, result)) in results.iter().enumerate() {
            let writes = accepted.get(&number).map_or(&[][..], Vec::as_slice);
            check_result(*kind, result, writes);
        }
    }
}

fn check_result(kind: OpKind, result: &OpResult, writes: &[(WriteId, u64)]) {
    let report = match result {
        Ok(snapshot) => {
            assert_eq!(writes.len(), 1, "an accepted change took effect once");
            assert_eq!(snapshot.generation, writes[0].1);
            return;
        }
        Err(report) => report,
    };
    match report.current_context() {
        AcceptError::InDoubt(write_id) => {
            let is_own = writes.iter().all(|(found, _)| found == write_id);
            assert!(is_own && writes.len() <= 1, "{writes:?}");
        }
        AcceptError::Refused(faults) => {
            assert_eq!(kind, OpKind::Bad);
            let named = (&*faults[0].record, &*faults[0].field);
            assert_eq!(named, ("route/bad", "service"));
            assert!(writes.is_empty());
        }
        AcceptError::Conflict(key) => {
            let known = match kind {
                OpKind::Shared => "route/shared",
                OpKind::Guarded => GUARD_KEY,
                OpKind::Own | OpKind::Bad => "head",
            };
            assert!(**key == *known || &**key == "head", "{key} for {kind:?}");
            assert!(writes.is_empty(), "a conflict that took effect");
        }
        AcceptError::Unavailable => assert!(writes.is_empty(), "nothing took effect"),
    }
}

fn is_doubtful((_, result): &(OpKind, OpResult)) -> bool {
    let Err(report) = result else { return false };
    matches!(report.current_context(), AcceptError::InDoubt(_))
}

fn any_kind() -> impl Strategy<Value = OpKind> {
    prop_oneof![
        5 => Just(OpKind::Own),
        3 => Just(OpKind::Shared),
        3 => Just(OpKind::Guarded),
        1 => Just(OpKind::Bad),
    ]
}

fn any_fault() -> impl Strategy<Value = StoreFault> {
    prop_oneof![
        8 => Just(StoreFault::None),
        1 => Just(StoreFault::Outage),
        1 => Just(StoreFault::LostBefore),
        2 => Just(StoreFault::LostAfter),
        2 => (0u8..6).prop_map(StoreFault::Late),
        2 => (1u8..4).prop_map(StoreFault::ConcurrentWriters),
        1 => (14u8..20).prop_map(StoreFault::ConcurrentWriters),
    ]
}

/// Faults of one change; often none before the commit, which is the fifth operation.
fn any_script() -> impl Strategy<Value = Vec<StoreFault>> {
    let commits = vec(any_fault(), 0..8).prop_map(|faults| {
        let mut script = vec![StoreFault::None; 4];
        script.extend(faults);
        script
    });
    prop_oneof![3 => commits, 1 => vec(any_fault(), 0..12), 1 => Just(Vec::new())]
}

proptest! {
    #![proptest_config(fixed_config(0xacce, 1500))]

    #[test]
    fn accepted_changes_are_kept_and_counted_once(
        ops in vec((any_kind(), any_script(), any_kind()), 1..8),
    ) {
        let store = first_store();
        let journal = Arc::new(Journal::default());
        for (kind, script, rival_kind) in ops {
            let rivals = Arc::clone(&journal);
            let hook = move |store: &FakeStore| rivals.run(store, rival_kind, || {});
            let hook = Arc::new(hook);
            store.script_faults(&[], None);
            journal.run(&store, kind, || store.script_faults(&script, Some(hook)));
            let results = journal.results.lock().unwrap();
            // A write in doubt may still arrive and win the race.
            if script.is_empty() && kind != OpKind::Bad && !results.iter().any(is_doubtful) {
                prop_assert!(results.last().unwrap().1.is_ok(), "{results:?}");
            }
        }
        journal.check(&store);
    }

    #[test]
    fn a_write_is_in_doubt_only_when_it_cannot_be_settled(
        lost in vec(prop_oneof![Just(StoreFault::LostBefore), Just(StoreFault::LostAfter)], 1..=MAX_SETTLE_TRIES),
        rivals in 0u8..24,
        kind in prop_oneof![Just(OpKind::Own), Just(OpKind::Guarded)],
    ) {
        let store = first_store();
        let journal = Arc::new(Journal::default());
        let mut script = vec![StoreFault::None; 4];
        script.extend(&lost);
        script.push(StoreFault::ConcurrentWriters(rivals));
        let rival = Arc::clone(&journal);
        let hook = Arc::new(move |store: &FakeStore| rival.run(store, OpKind::Own, || {}));
        journal.run(&store, kind, || store.script_faults(&script, Some(hook)));
        {
            let results = journal.results.lock().unwrap();
            let forgotten = rivals >= REMEMBERED_WRITES;
            let settled = lost.len() < MAX_SETTLE_TRIES && !forgotten;
            match &results[0].1 {
                Ok(_) => {}
                Err(report) => {
                    let AcceptError::InDoubt(id) = report.current_context() else {
                        return Err(TestCaseError::fail(format!("{report:?}")));
                    };
                    prop_assert!(!settled, "{id} could have been settled");
                    let applied = lost.iter().any(|fault| matches!(fault, StoreFault::LostAfter));
                    prop_assert!(!applied || forgotten, "{id} is named by the head row");
                    if !forgotten {
                        prop_assert_eq!(find_write(&*store, id).unwrap(), None);
                    }
                }
            }
        }
        journal.check(&store);
    }
}

#[test]
fn concurrent_operators_lose_no_change() {
    let store = first_store();
    let journal = Journal::default();
    thread::scope(|scope| {
        use OpKind::*;
        for kind in [Own, Own, Shared, Guarded, Shared] {
            let (store, journal) = (&store, &journal);
            scope.spawn(move || (0..40).for_each(|_| journal.run(store, kind, || {})));
        }
    });
    journal.check(&store);
    assert!(store.head_commits().len() > 40, "most changes are accepted");
}

#[test]
fn a_record_that_another_operator_changed_meanwhile_is_a_conflict() {
    let store = first_store();
    let journal = Arc::new(Journal::default());
    let rivals = Arc::clone(&journal);
    let hook = Arc::new(move |store: &FakeStore| rivals.run(store, OpKind::Shared, || {}));
    let mut script = vec![StoreFault::None; 4];
    script.push(StoreFault::ConcurrentWriters(1));
    journal.run(&store, OpKind::Shared, || {
        store.script_faults(&script, Some(hook))
    });
    journal.check(&store);
    let results = journal.results.lock().unwrap();
    let report = results[0].1.as_ref().unwrap_err();
    let conflict = AcceptError::Conflict("route/shared".into());
    assert_eq!(*report.current_context(), conflict);
    assert!(results[1].1.is_ok());
}

#[test]
fn damaged_snapshots_are_not_built_upon() {
    let store = first_store();
    store.damage_objects(|body| body.truncate(body.len() / 2));
    let report = run_op(&store, OpKind::Own, 0, || {}).unwrap_err();
    assert_eq!(*report.current_context(), AcceptError::Unavailable);
}

#[test]
fn a_change_of_nothing_writes_nothing() {
    let store = first_store();
    let change = |base: &ConfigSnapshot| base.with_records(base.records());
    let kept = accept_change(&*store, &|| "again".into(), &change, &[]).unwrap();
    assert_eq!(kept, first_snapshot());
    assert_eq!(store.head_commits().len(), 1);
}
