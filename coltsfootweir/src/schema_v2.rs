//! Version 2 of the record schemas, the newest version.

use std::time::SystemTime;

use serde_json::Value;
use serde_json::json;

use crate::record::ConfigRecord;
use crate::record::MOVE_KIND;
use crate::record::ROUTE_KIND;
use crate::record::TrafficShare;
use crate::record::VERSION_KIND;
use crate::record::VersionRecord;
use crate::record_fault::RecordFault;
use crate::record_fields::FieldReader;
use crate::record_fields::MAX_DONE_IN_SECONDS;
use crate::schema::RecordSchema;
use crate::schema::SchemaPlugin;
use crate::schema_v1::NAME_FIELDS;
use crate::schema_v1::VERSION_NAME_FIELDS;
use crate::schema_v1::read_move;
use crate::schema_v1::read_route;

/// Value of `schema` in records of this version.
const SCHEMA_VERSION: u32 = 2;

struct RouteSchema2;
struct VersionSchema2;
struct MoveSchema2;

inventory::submit! { SchemaPlugin { schema: &RouteSchema2 } }
inventory::submit! { SchemaPlugin { schema: &VersionSchema2 } }
inventory::submit! { SchemaPlugin { schema: &MoveSchema2 } }

impl RecordSchema for RouteSchema2 {
    fn kind(&self) -> &'static str {
        ROUTE_KIND
    }

    fn version(&self) -> u32 {
        SCHEMA_VERSION
    }

    fn parse(&self, value: &Value, _now: SystemTime) -> Result<ConfigRecord, Vec<RecordFault>> {
        let mut fields = FieldReader::open(ROUTE_KIND, &NAME_FIELDS, value)?;
        let mut route = read_route(&mut fields);
        if let Some(percent) = fields.optional_percent("retry_percent") {
            route.retry_percent = percent;
        }
        fields.finish(ConfigRecord::Route(route))
    }
}

impl RecordSchema for VersionSchema2 {
    fn kind(&self) -> &'static str {
        VERSION_KIND
    }

    fn version(&self) -> u32 {
        SCHEMA_VERSION
    }

    fn parse(&self, value: &Value, _now: SystemTime) -> Result<ConfigRecord, Vec<RecordFault>> {
        let mut fields = FieldReader::open(VERSION_KIND, &VERSION_NAME_FIELDS, value)?;
        let service = fields.name("service");
        let version = fields.name("version");
        let share = fields.nested("shares", read_share);
        fields.finish(ConfigRecord::Version(VersionRecord {
            service,
            version,
            share,
        }))
    }
}

impl RecordSchema for MoveSchema2 {
    fn kind(&self) -> &'static str {
        MOVE_KIND
    }

    fn version(&self) -> u32 {
        SCHEMA_VERSION
    }

    fn parse(&self, value: &Value, now: SystemTime) -> Result<ConfigRecord, Vec<RecordFault>> {
        let mut fields = FieldReader::open(MOVE_KIND, &NAME_FIELDS, value)?;
        let done_by = read_done_by(&mut fields, now);
        let record = read_move(&mut fields, done_by);
        fields.finish(ConfigRecord::Move(record))
    }
}

/// Renders a record as JSON of this schema version.
pub(crate) fn render(record: &ConfigRecord) -> Value {
    match record {
        ConfigRecord::Route(route) => json!({
            "kind": ROUTE_KIND,
            "schema": SCHEMA_VERSION,
            "name": route.name,
            "service": route.service,
            "prefix": route.prefix,
            "class": route.class,
            "timeout_ms": u64::try_from(route.timeout.as_millis()).unwrap_or(u64::MAX),
            "retry_percent": route.retry_percent,
        }),
        ConfigRecord::Version(version) => json!({
            "kind": VERSION_KIND,
            "schema": SCHEMA_VERSION,
            "service": version.service,
            "version": version.version,
            "shares": {"checks": version.share.checks, "bookings": version.share.bookings},
        }),
        ConfigRecord::Move(record) => json!({
            "kind": MOVE_KIND,
            "schema": SCHEMA_VERSION,
            "name": record.name,
            "service": record.service,
            "from": record.from,
            "to": record.to,
            "done_by": humantime::format_rfc3339(record.done_by).to_string(),
        }),
    }
}

fn read_share(fields: &mut FieldReader<'_>) -> TrafficShare {
    TrafficShare {
        checks: fields.percent("checks"),
        bookings: fields.percent("bookings"),
    }
}

/// Reads the end time of a move from `done_by` or, relative to `now`, from `done_in_seconds`.
fn read_done_by(fields: &mut FieldReader<'_>, now: SystemTime) -> SystemTime {
    if !fields.has("done_in_seconds") {
        let done_by = fields.time("done_by");
        fields.mark_known("done_in_seconds");
        return done_by;
    }
    if fields.has("done_by") {
        fields.add_fault("done_by", "given together with done_in_seconds");
        fields.mark_known("done_by");
    }
    now + fields.seconds("done_in_seconds", MAX_DONE_IN_SECONDS)
}
