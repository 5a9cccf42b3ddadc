//! Parses JSON records of every registered schema version and renders them in the newest.

use std::collections::BTreeSet;
use std::time::SystemTime;

use serde_json::Value;

use crate::record::ConfigRecord;
pub use crate::record_fault::RecordFault;
use crate::schema_v2;

/// Maximum length of a body of records, in bytes.
pub const MAX_BODY_BYTES: usize = 1 << 20;

/// A version of the schema of a record kind.
pub trait RecordSchema: Sync {
    /// Returns the value of `kind` in the records of this schema.
    fn kind(&self) -> &'static str;

    /// Returns the value of `schema` in the records of this schema.
    fn version(&self) -> u32;

    /// Parses a record. Relative times are resolved against `now`.
    ///
    /// # Errors
    /// Every fault of the record.
    fn parse(&self, value: &Value, now: SystemTime) -> Result<ConfigRecord, Vec<RecordFault>>;
}

/// Registers a schema through `inventory`.
pub struct SchemaPlugin {
    /// Registered schema.
    pub schema: &'static dyn RecordSchema,
}

inventory::collect!(SchemaPlugin);

/// Parses a JSON record or an array of records. Relative times are resolved against `now`.
///
/// # Errors
/// The faults of all records, or one fault of the body if it is too long or not JSON.
pub fn parse_records(text: &str, now: SystemTime) -> Result<Vec<ConfigRecord>, Vec<RecordFault>> {
    if text.len() > MAX_BODY_BYTES {
        let reason = format!("{} bytes; at most {MAX_BODY_BYTES} are allowed", text.len());
        return Err(vec![RecordFault::new("body", "length", reason)]);
    }
    let body: Value = match serde_json::from_str(text) {
        Ok(body) => body,
        Err(error) => return Err(vec![RecordFault::new("body", "json", error.to_string())]),
    };
    match body {
        Value::Array(values) => parse_values(&values, now),
        value => parse_values(&[value], now),
    }
}

/// Returns a record as JSON of the newest schema version.
#[must_use]
pub fn render_record(record: &ConfigRecord) -> Value {
    schema_v2::render(record)
}

fn parse_values(values: &[Value], now: SystemTime) -> Result<Vec<ConfigRecord>, Vec<RecordFault>> {
    let mut records = Vec::with_capacity(values.len());
    let mut faults = Vec::new();
    let mut labels = BTreeSet::new();
    for (index, value) in values.iter().enumerate() {
        let position = index + 1;
        match parse_value(value, now) {
            Ok(record) => {
                if !labels.insert(record.label()) {
                    let reason = format!("given twice, again at position {position}");
                    faults.push(RecordFault::new(record.label(), "name", reason));
                }
                records.push(record);
            }
            Err(found) => faults.extend(
                found
                    .into_iter()
                    .map(|fault| with_position(fault, position)),
            ),
        }
    }
    if faults.is_empty() {
        Ok(records)
    } else {
        Err(faults)
    }
}

/// Adds the position to a fault whose record label is incomplete (has a `?`).
fn with_position(fault: RecordFault, position: usize) -> RecordFault {
    if !fault.record.contains('?') {
        return fault;
    }
    let record = format!("{} at position {position}", fault.record);
    RecordFault {
        record: record.into(),
        ..fault
    }
}

fn parse_value(value: &Value, now: SystemTime) -> Result<ConfigRecord, Vec<RecordFault>> {
    find_schema(value)
        .map_err(|fault| vec![fault])?
        .parse(value, now)
}

fn find_schema(value: &Value) -> Result<&'static dyn RecordSchema, RecordFault> {
    if !value.is_object() {
        return Err(RecordFault::new("?", "record", "must be a JSON object"));
    }
    let name = value
        .get("name")
        .or_else(|| value.get("version"))
        .and_then(Value::as_str);
    let name = name.unwrap_or("?");
    let Some(kind) = value.get("kind").and_then(Value::as_str) else {
        let reason = format!("must be a string; known kinds are {}", known_kinds());
        return Err(RecordFault::new(format!("?/{name}"), "kind", reason));
    };
    let record = format!("{kind}/{name}");
    let versions = known_versions(kind);
    if versions.is_empty() {
        let reason = format!("unknown kind {kind:?}; known kinds are {}", known_kinds());
        return Err(RecordFault::new(record, "kind", reason));
    }
    let version = value.get("schema").and_then(Value::as_u64);
    for plugin in inventory::iter::<SchemaPlugin> {
        let schema = plugin.schema;
        if schema.kind() == kind && Some(u64::from(schema.version())) == version {
            return Ok(schema);
        }
    }
    let given = value.get("schema").map_or("missing".into(), |given| {
        format!("unknown schema version {given}")
    });
    let reason = format!(
        "{given}; known versions of {kind} are {}",
        versions.join(", ")
    );
    Err(RecordFault::new(record, "schema", reason))
}

fn known_kinds() -> String {
    let mut kinds = BTreeSet::new();
    for plugin in inventory::iter::<SchemaPlugin> {
        kinds.insert(plugin.schema.kind());
    }
    Vec::from_iter(kinds).join(", ")
}

fn known_versions(kind: &str) -> Vec<String> {
    let mut versions = BTreeSet::new();
    for plugin in inventory::iter::<SchemaPlugin> {
        if plugin.schema.kind() == kind {
            versions.insert(plugin.schema.version());
        }
    }
    versions.iter().map(u32::to_string).collect()
}
