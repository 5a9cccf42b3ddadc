//! Records that tests accept.

use std::time::SystemTime;

use coltsfootweir::accept::accept_change;
use coltsfootweir::ids::Generation;
use coltsfootweir::platform::PlatformStore;
use coltsfootweir::schema::parse_records;
use coltsfootweir::snapshot::ConfigSnapshot;

/// Accepts records without handing them to a daemon; returns the generation.
pub fn accept_unoffered(store: &dyn PlatformStore, text: &str) -> Generation {
    let records = parse_records(text, SystemTime::now()).expect("records are well formed");
    let change = |base: &ConfigSnapshot| base.with_records(records.iter().cloned());
    let accepted = accept_change(store, &|| "unoffered".into(), &change, &[]);
    accepted.expect("records are accepted").generation
}

/// A version of a service with its standing share of the traffic.
pub fn version_text(service: &str, version: &str, share: u8) -> String {
    format!(
        r#"{{"kind": "upstream-version", "schema": 1, "service": "{service}",
            "version": "{version}", "share": {share}}}"#
    )
}

/// A route of checks.
pub fn route_text(name: &str, service: &str, prefix: &str, timeout_ms: u64) -> String {
    format!(
        r#"{{"kind": "route", "schema": 1, "name": "{name}", "service": "{service}",
            "prefix": "{prefix}", "class": "check", "timeout_ms": {timeout_ms}}}"#
    )
}

/// A move from v1 to v2.
pub fn move_text(name: &str, service: &str, seconds: u64) -> String {
    format!(
        r#"{{"kind": "move", "schema": 2, "name": "{name}", "service": "{service}",
            "from": "v1", "to": "v2", "done_in_seconds": {seconds}}}"#
    )
}

/// Several records.
pub fn list_text(records: &[String]) -> String {
    format!("[{}]", records.join(","))
}

/// Records of one route and its only version.
pub fn one_route(name: &str) -> String {
    let route = route_text(name, name, &format!("/{name}"), 2000);
    list_text(&[version_text(name, "v1", 100), route])
}

/// Records of a service whose first version has all the traffic and its second none.
pub fn two_versions(service: &str) -> String {
    let versions = [("v1", 100), ("v2", 0)];
    list_text(&versions.map(|(version, share)| version_text(service, version, share)))
}
