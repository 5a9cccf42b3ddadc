//! Who passes news and configurations on, for zones of any size.

mod member_records;

use std::time::Duration;

use coltsfootweir::sidecar::member_table::HostSize;
use coltsfootweir::sidecar::member_table::MemberRecord;
use coltsfootweir::sidecar::member_table::MemberTable;
use coltsfootweir::sidecar::zone_order::ZoneOrder;
use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::proptest;

use member_records::first_record;

/// Daemons to which one may hand a configuration: what half a second on a link of 10 Mbit/s takes.
const MOST_COPIES: usize = 4;

const SMALL: HostSize = HostSize {
    core_percent: 10,
    link_mbits: 10,
};

const LARGE: HostSize = HostSize {
    core_percent: 50,
    link_mbits: 200,
};

fn record(id: &str, zone: &str, size: HostSize) -> MemberRecord {
    MemberRecord {
        zone: zone.into(),
        size,
        ..first_record(id)
    }
}

fn table_of(records: &[MemberRecord]) -> MemberTable {
    let mut table = MemberTable::default();
    for record in records {
        table.merge(record);
    }
    table
}

fn name(number: usize) -> Box<str> {
    format!("member-{number}").into()
}

/// A whole zone in which the first daemon has a new configuration; returns how many steps it takes.
fn steps_to_all(order: &ZoneOrder) -> usize {
    let members = order.clone().members();
    let mut reached = vec![members[0].clone()];
    let mut edge = reached.clone();
    let mut steps = 0;
    while !edge.is_empty() {
        let mut next = Vec::new();
        for id in &edge {
            let children = order.children(id);
            assert!(children.len() <= MOST_COPIES);
            for child in children {
                assert_eq!(order.parent(child), Some(id));
                next.push(child.clone());
            }
        }
        reached.extend_from_slice(&next);
        steps += usize::from(!next.is_empty());
        edge = next;
    }
    reached.sort_unstable();
    let mut all = members;
    all.sort_unstable();
    assert_eq!(reached, all, "each daemon has it once");
    steps
}

#[test]
fn tree_reaches_each_daemon_of_a_zone_once() {
    for count in 1..120 {
        let records: Vec<MemberRecord> = (0..count)
            .map(|number| record(&name(number), "a", SMALL))
            .collect();
        let order = ZoneOrder::new(&table_of(&records), &"a".into(), |_| true);
        let steps = steps_to_all(&order);
        assert!(steps <= 4, "{count} daemons take {steps} steps");
    }
}

#[test]
fn daemons_on_the_largest_machines_speak_for_their_zone() {
    let mut records = Vec::new();
    for number in 0..9 {
        records.push(record(&name(number), "a", SMALL));
    }
    for number in 90..92 {
        records.push(record(&name(number), "a", LARGE));
        records.push(record(&name(number + 5), "b", LARGE));
    }
    let order = ZoneOrder::new(&table_of(&records), &"a".into(), |_| true);
    assert_eq!(order.relays(), [name(90), name(91)]);
    let order = ZoneOrder::new(&table_of(&records), &"a".into(), |record| {
        record.id != name(90)
    });
    assert_eq!(order.relays(), [name(91), name(0)]);
}

#[test]
fn daemons_that_stop_carry_nothing() {
    let mut leaving = record("leaving", "a", LARGE);
    leaving.is_leaving = true;
    let records = [leaving, record("staying", "a", SMALL)];
    let order = ZoneOrder::new(&table_of(&records), &"a".into(), |_| true);
    assert_eq!(order.relays(), [Box::from("staying")]);
    assert!(order.children(&"leaving".into()).is_empty());
}

/// Only the first head asks another zone at once, and nobody waits for ever for its parent.
#[test]
fn a_configuration_that_the_parent_does_not_bring_is_asked_for_elsewhere() {
    let records: Vec<MemberRecord> = (0..20)
        .map(|number| record(&name(number), "a", SMALL))
        .collect();
    let order = ZoneOrder::new(&table_of(&records), &"a".into(), |_| true);
    let members = order.clone().members();
    let asks_far = |id, millis| {
        order
            .fetch_scope(id, Duration::from_millis(millis))
            .other_zones
    };
    let asks_near = |id, millis| {
        order
            .fetch_scope(id, Duration::from_millis(millis))
            .any_in_zone
    };
    let at_once = members.iter().filter(|id| asks_far(id, 0));
    assert_eq!(at_once.count(), 1);
    let at_once = members.iter().filter(|id| asks_near(id, 0));
    assert_eq!(at_once.count(), 2);
    for id in &members {
        assert!(asks_near(id, 500) && asks_far(id, 1_000));
    }
    // One that its own table does not list yet asks as well.
    assert!(asks_far(&"unknown".into(), 1_000));
}

proptest! {
    /// What two daemons miss of each other's records is found by their digests, and a table of which
    /// little differs costs little.
    #[test]
    fn digests_find_what_differs(
        counters in prop::collection::vec(1_u64..4, 1..200),
        changed in any::<prop::sample::Index>(),
    ) {
        let mut records = Vec::new();
        for (number, counter) in counters.iter().enumerate() {
            let mut record = record(&name(number), "a", SMALL);
            record.counter = *counter;
            records.push(record);
        }
        let old = table_of(&records);
        assert!(old.differing(&old.digests()).is_empty());
        let index = changed.index(records.len());
        records[index].counter += 1;
        let new = table_of(&records);
        let sent = new.differing(&old.digests());
        assert!(sent.contains(&records[index]));
        assert!(sent.len() <= 1 + records.len() / 5, "{} of {}", sent.len(), records.len());
        assert_eq!(new.differing(&[]).len(), records.len());
    }
}
