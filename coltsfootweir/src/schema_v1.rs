//! Version 1 of the record schemas.

use std::time::SystemTime;

use serde_json::Value;

use crate::deadline::MAX_TIMEOUT;
use crate::record::ConfigRecord;
use crate::record::MOVE_KIND;
use crate::record::MovePhase;
use crate::record::MoveRecord;
use crate::record::ROUTE_KIND;
use crate::record::RouteClass;
use crate::record::RouteRecord;
use crate::record::TrafficShare;
use crate::record::VERSION_KIND;
use crate::record::VersionRecord;
use crate::record_fault::RecordFault;
use crate::record_fields::FieldReader;
use crate::schema::RecordSchema;
use crate::schema::SchemaPlugin;

/// Default `retry_percent` of a check route, in percent of its calls.
pub const DEFAULT_RETRY_PERCENT: u8 = 10;

/// Fields that identify a route or a move.
pub(crate) const NAME_FIELDS: [&str; 1] = ["name"];

/// Fields that identify an upstream version.
pub(crate) const VERSION_NAME_FIELDS: [&str; 2] = ["service", "version"];

struct RouteSchema1;
struct VersionSchema1;
struct MoveSchema1;

inventory::submit! { SchemaPlugin { schema: &RouteSchema1 } }
inventory::submit! { SchemaPlugin { schema: &VersionSchema1 } }
inventory::submit! { SchemaPlugin { schema: &MoveSchema1 } }

impl RecordSchema for RouteSchema1 {
    fn kind(&self) -> &'static str {
        ROUTE_KIND
    }

    fn version(&self) -> u32 {
        1
    }

    fn parse(&self, value: &Value, _now: SystemTime) -> Result<ConfigRecord, Vec<RecordFault>> {
        let mut fields = FieldReader::open(ROUTE_KIND, &NAME_FIELDS, value)?;
        let route = read_route(&mut fields);
        fields.finish(ConfigRecord::Route(route))
    }
}

impl RecordSchema for VersionSchema1 {
    fn kind(&self) -> &'static str {
        VERSION_KIND
    }

    fn version(&self) -> u32 {
        1
    }

    fn parse(&self, value: &Value, _now: SystemTime) -> Result<ConfigRecord, Vec<RecordFault>> {
        let mut fields = FieldReader::open(VERSION_KIND, &VERSION_NAME_FIELDS, value)?;
        let service = fields.name("service");
        let version = fields.name("version");
        let percent = fields.percent("share");
        let share = TrafficShare {
            checks: percent,
            bookings: percent,
        };
        fields.finish(ConfigRecord::Version(VersionRecord {
            service,
            version,
            share,
        }))
    }
}

impl RecordSchema for MoveSchema1 {
    fn kind(&self) -> &'static str {
        MOVE_KIND
    }

    fn version(&self) -> u32 {
        1
    }

    fn parse(&self, value: &Value, _now: SystemTime) -> Result<ConfigRecord, Vec<RecordFault>> {
        let mut fields = FieldReader::open(MOVE_KIND, &NAME_FIELDS, value)?;
        let done_by = fields.time("done_by");
        let record = read_move(&mut fields, done_by);
        fields.finish(ConfigRecord::Move(record))
    }
}

/// Reads the route fields that versions 1 and 2 of the schema share.
pub(crate) fn read_route(fields: &mut FieldReader<'_>) -> RouteRecord {
    let class = fields.class("class");
    RouteRecord {
        name: fields.name("name"),
        service: fields.name("service"),
        prefix: fields.prefix("prefix"),
        class,
        timeout: fields.milliseconds("timeout_ms", MAX_TIMEOUT),
        retry_percent: default_retry_percent(class),
    }
}

/// Reads the move fields that versions 1 and 2 of the schema share.
pub(crate) fn read_move(fields: &mut FieldReader<'_>, done_by: SystemTime) -> MoveRecord {
    MoveRecord {
        name: fields.name("name"),
        service: fields.name("service"),
        from: fields.name("from"),
        to: fields.name("to"),
        done_by,
        phase: MovePhase::Waiting,
        share: TrafficShare::NONE,
        reason: "".into(),
    }
}

fn default_retry_percent(class: RouteClass) -> u8 {
    match class {
        RouteClass::Check => DEFAULT_RETRY_PERCENT,
        RouteClass::Booking => 0,
    }
}
