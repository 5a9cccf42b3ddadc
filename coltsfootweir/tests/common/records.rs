//! Sample records shared by the tests.

use std::time::Duration;
use std::time::SystemTime;

use coltsfootweir::record::ConfigRecord;
use coltsfootweir::record::MovePhase;
use coltsfootweir::record::MoveRecord;
use coltsfootweir::record::RouteClass;
use coltsfootweir::record::RouteRecord;
use coltsfootweir::record::TrafficShare;
use coltsfootweir::record::VersionRecord;
use coltsfootweir::snapshot::ConfigSnapshot;

pub fn route(name: &str, service: &str, millis: u64) -> RouteRecord {
    RouteRecord {
        name: name.into(),
        service: service.into(),
        prefix: format!("/{name}").into(),
        class: RouteClass::Check,
        timeout: Duration::from_millis(millis),
        retry_percent: 10,
    }
}

pub fn version(name: &str, checks: u8, bookings: u8) -> VersionRecord {
    let share = TrafficShare { checks, bookings };
    VersionRecord {
        service: "stalls".into(),
        version: name.into(),
        share,
    }
}

pub fn move_record(name: &str, from: &str, to: &str) -> MoveRecord {
    MoveRecord {
        name: name.into(),
        service: "stalls".into(),
        from: from.into(),
        to: to.into(),
        done_by: SystemTime::UNIX_EPOCH + Duration::from_secs(2_000_000_000),
        phase: MovePhase::Waiting,
        share: TrafficShare::NONE,
        reason: "".into(),
    }
}

/// Returns generation 1 with one route and two versions of the service `stalls`, of which `v1` has
/// all of the traffic.
pub fn first_snapshot() -> ConfigSnapshot {
    let records = [
        ConfigRecord::Version(version("v1", 100, 100)),
        ConfigRecord::Version(version("v2", 0, 0)),
        ConfigRecord::Route(route("shared", "stalls", 500)),
    ];
    ConfigSnapshot::default()
        .with_records(records)
        .expect("the first snapshot is consistent")
}
