//! Member records for tests.

use coltsfootweir::sidecar::member_table::HostSize;
use coltsfootweir::sidecar::member_table::MemberRecord;
use coltsfootweir::sidecar::member_table::StoreReach;

/// Returns the first record of a daemon in zone `a` that has not tried to reach the store yet.
pub fn first_record(id: &str) -> MemberRecord {
    MemberRecord {
        id: id.into(),
        incarnation: 1,
        counter: 1,
        address: "10.0.0.1:80".parse().expect("valid address"),
        region: "north".into(),
        zone: "a".into(),
        size: HostSize::default(),
        is_leaving: false,
        store: StoreReach::Unknown,
        endpoint: None,
        rollout_statuses: Vec::new(),
        crashes: Vec::new(),
    }
}
