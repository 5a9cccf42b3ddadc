//! Checks that the records of a snapshot are consistent.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::ids::MoveName;
use crate::ids::ServiceName;
use crate::record::MoveRecord;
use crate::record::RouteRecord;
use crate::record::TrafficShare;
use crate::record::version_key;
use crate::record_fault::RecordFault;
use crate::record_fields::is_rfc3339_time;
use crate::snapshot::ConfigSnapshot;

/// Required sum of the shares of a service's versions, in percent.
const TOTAL_PERCENT: u16 = 100;

impl ConfigSnapshot {
    /// Checks that the records are consistent:
    ///
    /// - Every record is stored under its own name, and every reference resolves.
    /// - No two routes have the same prefix.
    /// - The two versions of a move differ.
    /// - The shares of each service total 100 percent for checks and for bookings.
    /// - No service has two moves that have not ended, and the old version of such a move has all of
    ///   the standing traffic.
    /// - Percentages and times are within the range that the schemas accept.
    ///
    /// # Errors
    /// Every fault found.
    pub fn validate(&self) -> Result<(), Vec<RecordFault>> {
        let mut faults = Vec::new();
        self.check_keys(&mut faults);
        self.check_routes(&mut faults);
        self.check_shares(&mut faults);
        self.check_moves(&mut faults);
        if faults.is_empty() {
            Ok(())
        } else {
            Err(faults)
        }
    }

    fn check_keys(&self, faults: &mut Vec<RecordFault>) {
        let routes = self
            .routes
            .iter()
            .map(|(key, route)| (key, route.name.clone(), route.label()));
        let versions = self
            .versions
            .iter()
            .map(|(key, version)| (key, version.key(), version.label()));
        let moves = self
            .moves
            .iter()
            .map(|(key, record)| (key, record.name.clone(), record.label()));
        for (key, name, label) in routes.chain(versions).chain(moves) {
            if *key != name {
                faults.push(RecordFault::new(
                    label,
                    "name",
                    format!("stored under the key {key:?}"),
                ));
            }
        }
    }

    fn check_routes(&self, faults: &mut Vec<RecordFault>) {
        let versions = self.versions.values();
        let services: BTreeSet<&ServiceName> = versions.map(|version| &version.service).collect();
        let mut prefixes: BTreeMap<&str, &RouteRecord> = BTreeMap::new();
        for route in self.routes.values() {
            if !services.contains(&route.service) {
                let reason = format!("service {:?} has no upstream version", route.service);
                faults.push(RecordFault::new(route.label(), "service", reason));
            }
            if route.retry_percent > 100 {
                faults.push(RecordFault::new(
                    route.label(),
                    "retry_percent",
                    format!("{} is over 100", route.retry_percent),
                ));
            }
            if let Some(other) = prefixes.insert(route.trimmed_prefix(), route) {
                let reason = format!("{:?} is also the prefix of {}", route.prefix, other.label());
                faults.push(RecordFault::new(route.label(), "prefix", reason));
            }
        }
    }

    fn check_shares(&self, faults: &mut Vec<RecordFault>) {
        let mut totals: BTreeMap<&ServiceName, (u16, u16)> = BTreeMap::new();
        for version in self.versions.values() {
            let total = totals.entry(&version.service).or_default();
            total.0 = total.0.saturating_add(version.share.checks.into());
            total.1 = total.1.saturating_add(version.share.bookings.into());
        }
        for (service, (checks, bookings)) in totals {
            for (class, total) in [("checks", checks), ("bookings", bookings)] {
                if total == TOTAL_PERCENT {
                    continue;
                }
                let reason =
                    format!("versions of service {service:?} total {total} percent, not 100");
                faults.push(RecordFault::new(
                    format!("upstream-version/{service}"),
                    format!("shares.{class}"),
                    reason,
                ));
            }
        }
    }

    fn check_moves(&self, faults: &mut Vec<RecordFault>) {
        let mut active: BTreeMap<&ServiceName, &MoveName> = BTreeMap::new();
        for record in self.moves.values() {
            self.check_move_versions(record, faults);
            if record.share.checks > 100 || record.share.bookings > 100 {
                faults.push(RecordFault::new(
                    record.label(),
                    "share",
                    format!(
                        "checks {} or bookings {} is over 100",
                        record.share.checks, record.share.bookings
                    ),
                ));
            }
            if !is_rfc3339_time(record.done_by) {
                let reason = "outside the years 1970 to 9999";
                faults.push(RecordFault::new(record.label(), "done_by", reason));
            }
            if record.phase.is_ended() {
                continue;
            }
            if let Some(other) = active.insert(&record.service, &record.name) {
                let reason = format!("service {:?} is already moved by {other:?}", record.service);
                faults.push(RecordFault::new(record.label(), "service", reason));
            }
            self.check_move_start(record, faults);
        }
    }

    fn check_move_versions(&self, record: &MoveRecord, faults: &mut Vec<RecordFault>) {
        if record.from == record.to {
            faults.push(RecordFault::new(
                record.label(),
                "to",
                "is the same version as from",
            ));
        }
        for (field, version) in [("from", &record.from), ("to", &record.to)] {
            if self
                .versions
                .contains_key(&version_key(&record.service, version))
            {
                continue;
            }
            let reason = format!("service {:?} has no version {version:?}", record.service);
            faults.push(RecordFault::new(record.label(), field, reason));
        }
    }

    /// Checks that the old version has all of the standing traffic, because a move splits the whole
    /// traffic of its service between its two versions.
    fn check_move_start(&self, record: &MoveRecord, faults: &mut Vec<RecordFault>) {
        let Some(from) = self
            .versions
            .get(&version_key(&record.service, &record.from))
        else {
            return;
        };
        if from.share != TrafficShare::ALL {
            let reason = format!(
                "version {:?} has standing shares of {} and {} percent; a move needs 100 and 100",
                record.from, from.share.checks, from.share.bookings
            );
            faults.push(RecordFault::new(record.label(), "from", reason));
        }
    }
}
