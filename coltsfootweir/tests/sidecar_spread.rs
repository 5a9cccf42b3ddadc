//! Zone order: relays, the tree that distributes configurations, and table digests.

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

/// Maximum number of daemons to which one sends a configuration: what a link of 10 Mbit/s carries
/// in half a second.
const MAX_CHILDREN: usize = 4;

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

fn member_name(number: usize) -> Box<str> {
    format!("member-{number}").into()
}

/// Returns the number of steps in which a configuration reaches the whole zone from its first
/// daemon.
fn count_steps(order: &ZoneOrder) -> usize {
    let members = order.clone().members();
    let mut reached = vec![members[0].clone()];
    let mut level = reached.clone();
    let mut steps = 0;
    while !level.is_empty() {
        let mut next = Vec::new();
        for id in &level {
            let children = order.children(id);
            assert!(children.len() <= MAX_CHILDREN);
            for child in children {
                assert_eq!(order.parent(child), Some(id));
                next.push(child.clone());
            }
        }
        reached.extend_from_slice(&next);
        steps += usize::from(!next.is_empty());
        level = next;
    }
    reached.sort_unstable();
    let mut all = members;
    all.sort_unstable();
    assert_eq!(reached, all, "each daemon must be reached exactly once");
    steps
}

#[test]
fn tree_reaches_each_daemon_of_a_zone_once() {
    for count in 1..120 {
        let records: Vec<MemberRecord> = (0..count)
            .map(|number| record(&member_name(number), "a", SMALL))
            .collect();
        let order = ZoneOrder::new(&table_of(&records), &"a".into(), |_| true);
        let steps = count_steps(&order);
        assert!(steps <= 4, "{count} daemons are reached in {steps} steps");
    }
}

#[test]
fn daemons_on_the_largest_vms_are_the_relays_of_their_zone() {
    let mut records = Vec::new();
    for number in 0..9 {
        records.push(record(&member_name(number), "a", SMALL));
    }
    for number in 90..92 {
        records.push(record(&member_name(number), "a", LARGE));
        records.push(record(&member_name(number + 5), "b", LARGE));
    }
    let order = ZoneOrder::new(&table_of(&records), &"a".into(), |_| true);
    assert_eq!(order.relays(), [member_name(90), member_name(91)]);
    let order = ZoneOrder::new(&table_of(&records), &"a".into(), |record| {
        record.id != member_name(90)
    });
    assert_eq!(order.relays(), [member_name(91), member_name(0)]);
}

#[test]
fn leaving_daemons_are_neither_relays_nor_parents() {
    let mut leaving = record("leaving", "a", LARGE);
    leaving.is_leaving = true;
    let records = [leaving, record("staying", "a", SMALL)];
    let order = ZoneOrder::new(&table_of(&records), &"a".into(), |_| true);
    assert_eq!(order.relays(), [Box::from("staying")]);
    assert!(order.children(&"leaving".into()).is_empty());
}

/// Only the first relay requests from another zone at once, and no daemon depends on its parent
/// alone.
#[test]
fn configuration_that_the_parent_does_not_send_is_requested_elsewhere() {
    let records: Vec<MemberRecord> = (0..20)
        .map(|number| record(&member_name(number), "a", SMALL))
        .collect();
    let order = ZoneOrder::new(&table_of(&records), &"a".into(), |_| true);
    let members = order.clone().members();
    let may_use_other_zones = |id, millis| {
        order
            .fetch_scope(id, Duration::from_millis(millis))
            .other_zones
    };
    let may_use_own_zone = |id, millis| {
        order
            .fetch_scope(id, Duration::from_millis(millis))
            .any_in_zone
    };
    let at_once = members.iter().filter(|id| may_use_other_zones(id, 0));
    assert_eq!(at_once.count(), 1);
    let at_once = members.iter().filter(|id| may_use_own_zone(id, 0));
    assert_eq!(at_once.count(), 2);
    for id in &members {
        assert!(may_use_own_zone(id, 500) && may_use_other_zones(id, 1_000));
    }
    // A daemon that is not in the order yet requests it as well.
    assert!(may_use_other_zones(&"unknown".into(), 1_000));
}

proptest! {
    /// Digests must find every record that differs, and few records may be sent when few differ.
    #[test]
    fn digests_find_what_differs(
        counters in prop::collection::vec(1_u64..4, 1..200),
        changed in any::<prop::sample::Index>(),
    ) {
        let mut records = Vec::new();
        for (number, counter) in counters.iter().enumerate() {
            let mut record = record(&member_name(number), "a", SMALL);
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
