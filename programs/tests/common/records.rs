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

/// Records of one route and its only version.
pub fn one_route(name: &str) -> String {
    format!(
        r#"[{{"kind": "upstream-version", "schema": 1, "service": "{name}", "version": "v1", "share": 100}},
            {{"kind": "route", "schema": 1, "name": "{name}", "service": "{name}",
              "prefix": "/{name}", "class": "check", "timeout_ms": 2000}}]"#
    )
}
