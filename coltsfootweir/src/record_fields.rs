//! Reads the fields of a JSON record and collects every fault.

use std::time::Duration;
use std::time::SystemTime;

use serde_json::Map;
use serde_json::Value;

use crate::record::RouteClass;
use crate::record_fault::RecordFault;

/// Maximum length of the name of a record, service or version, in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// Maximum length of a path prefix, in bytes.
pub const MAX_PREFIX_BYTES: usize = 1024;

/// Maximum of `done_in_seconds` in a move, in seconds (366 days).
pub const MAX_DONE_IN_SECONDS: u64 = 366 * 24 * 3600;

/// Length of the offset at the end of an RFC 3339 time, such as `+02:00`, in bytes.
const OFFSET_BYTES: usize = 6;

/// Unix time of the start of the year 10000, which RFC 3339 cannot represent, in seconds.
const RFC3339_END_SECONDS: u64 = 253_402_300_800;

/// Fields that every record has.
const COMMON_FIELDS: [&str; 2] = ["kind", "schema"];

/// Reads the fields of a JSON object.
///
/// An invalid field is read as an empty or minimum value, and [`FieldReader::finish`] returns its
/// fault.
pub struct FieldReader<'a> {
    record: Box<str>,
    path: Box<str>,
    object: &'a Map<String, Value>,
    known: Vec<&'static str>,
    faults: Vec<RecordFault>,
}

impl<'a> FieldReader<'a> {
    /// Creates a reader for a record.
    ///
    /// The label of the record in faults is its kind followed by the values of `name_fields`, with
    /// `?` for a name that is missing or not a string.
    ///
    /// # Errors
    /// A fault when the value is not a JSON object.
    pub fn open(
        kind: &str,
        name_fields: &[&str],
        value: &'a Value,
    ) -> Result<FieldReader<'a>, Vec<RecordFault>> {
        let mut record = String::from(kind);
        for field in name_fields {
            let name = value.get(field).and_then(Value::as_str).unwrap_or("?");
            record.push('/');
            record.extend(name.chars().take(MAX_NAME_BYTES));
        }
        let Some(object) = value.as_object() else {
            return Err(vec![RecordFault::new(
                record,
                "record",
                "must be a JSON object",
            )]);
        };
        let reader = FieldReader {
            record: record.into(),
            path: "".into(),
            object,
            known: COMMON_FIELDS.to_vec(),
            faults: Vec::new(),
        };
        Ok(reader)
    }

    /// Reads a name, which consists of ASCII letters, digits, `-`, `_` and `.`.
    pub fn name(&mut self, field: &'static str) -> Box<str> {
        let text = self.text(field, MAX_NAME_BYTES);
        for character in text.chars() {
            if character.is_ascii_alphanumeric() || matches!(character, '-' | '_' | '.') {
                continue;
            }
            let reason = format!("{character:?} is not allowed in a name");
            self.add_fault(field, reason);
            break;
        }
        text
    }

    /// Reads a path prefix, which starts with `/` and has no empty segment.
    pub fn prefix(&mut self, field: &'static str) -> Box<str> {
        let text = self.text(field, MAX_PREFIX_BYTES);
        if text.is_empty() {
            return text;
        }
        if !text.starts_with('/') {
            self.add_fault(field, "must start with '/'");
        }
        if text.contains("//") {
            self.add_fault(field, "has an empty path segment");
        }
        for character in text.chars() {
            if character.is_ascii_graphic() && !matches!(character, '?' | '#') {
                continue;
            }
            let reason = format!("{character:?} is not allowed in a path prefix");
            self.add_fault(field, reason);
            break;
        }
        text
    }

    /// Reads the class of a route.
    pub fn class(&mut self, field: &'static str) -> RouteClass {
        let text = self.text(field, MAX_NAME_BYTES);
        match &*text {
            "check" => return RouteClass::Check,
            "booking" => return RouteClass::Booking,
            "" => {}
            other => {
                let reason = format!("{other:?} is neither \"check\" nor \"booking\"");
                self.add_fault(field, reason);
            }
        }
        RouteClass::Check
    }

    /// Reads a percentage from 0 to 100.
    pub fn percent(&mut self, field: &'static str) -> u8 {
        let number = self.number(field, 0, 100);
        u8::try_from(number).unwrap_or(0)
    }

    /// Reads an optional percentage from 0 to 100.
    pub fn optional_percent(&mut self, field: &'static str) -> Option<u8> {
        if !self.has(field) {
            self.mark_known(field);
            return None;
        }
        Some(self.percent(field))
    }

    /// Reads a duration in whole milliseconds, from 1 to `max`.
    pub fn milliseconds(&mut self, field: &'static str, max: Duration) -> Duration {
        let max = u64::try_from(max.as_millis()).unwrap_or(u64::MAX);
        Duration::from_millis(self.number(field, 1, max))
    }

    /// Reads a duration in whole seconds, from 1 to `max`.
    pub fn seconds(&mut self, field: &'static str, max: u64) -> Duration {
        Duration::from_secs(self.number(field, 1, max))
    }

    /// Reads an RFC 3339 time in UTC or with an offset.
    pub fn time(&mut self, field: &'static str) -> SystemTime {
        let text = self.text(field, MAX_NAME_BYTES);
        if text.is_empty() {
            return SystemTime::UNIX_EPOCH;
        }
        parse_time(&text).unwrap_or_else(|| {
            let reason = format!("{text:?} is not an RFC 3339 time such as 2031-05-01T05:30:00Z");
            self.add_fault(field, reason);
            SystemTime::UNIX_EPOCH
        })
    }

    /// Reads a nested object through a separate reader. Its faults are added to this record.
    pub fn nested<T: Default>(
        &mut self,
        field: &'static str,
        read: impl FnOnce(&mut FieldReader<'_>) -> T,
    ) -> T {
        let Some(value) = self.value(field) else {
            return T::default();
        };
        let Some(object) = value.as_object() else {
            self.add_fault(field, "must be a JSON object");
            return T::default();
        };
        let mut inner = FieldReader {
            record: self.record.clone(),
            path: format!("{}{field}.", self.path).into(),
            object,
            known: Vec::new(),
            faults: Vec::new(),
        };
        let value = read(&mut inner);
        inner.add_unknown_field_faults();
        self.faults.append(&mut inner.faults);
        value
    }

    /// Returns whether the record has the field.
    #[must_use]
    pub fn has(&self, field: &str) -> bool {
        self.object.contains_key(field)
    }

    /// Marks a field as known to the schema without reading it.
    pub fn mark_known(&mut self, field: &'static str) {
        self.known.push(field);
    }

    /// Adds a fault of a field.
    pub fn add_fault(&mut self, field: &str, reason: impl Into<Box<str>>) {
        let field = format!("{}{field}", self.path);
        self.faults
            .push(RecordFault::new(self.record.clone(), field, reason));
    }

    /// Returns the record if it has no fault and no unknown field.
    ///
    /// # Errors
    /// Every fault of the record.
    pub fn finish<T>(mut self, record: T) -> Result<T, Vec<RecordFault>> {
        self.add_unknown_field_faults();
        if self.faults.is_empty() {
            Ok(record)
        } else {
            Err(self.faults)
        }
    }

    fn add_unknown_field_faults(&mut self) {
        let object = self.object;
        for field in object.keys() {
            if self.known.contains(&field.as_str()) {
                continue;
            }
            let reason = format!("unknown field; known are {}", self.known.join(", "));
            self.add_fault(field, reason);
        }
    }

    fn value(&mut self, field: &'static str) -> Option<&'a Value> {
        self.known.push(field);
        let value = self.object.get(field);
        if value.is_none() {
            self.add_fault(field, "missing");
        }
        value
    }

    fn text(&mut self, field: &'static str, max: usize) -> Box<str> {
        let Some(value) = self.value(field) else {
            return "".into();
        };
        let Some(text) = value.as_str() else {
            self.add_fault(field, "must be a string");
            return "".into();
        };
        if text.is_empty() {
            self.add_fault(field, "must not be empty");
        }
        if text.len() > max {
            self.add_fault(field, format!("longer than {max} bytes"));
            return "".into();
        }
        text.into()
    }

    fn number(&mut self, field: &'static str, min: u64, max: u64) -> u64 {
        let Some(value) = self.value(field) else {
            return min;
        };
        match value.as_u64() {
            Some(number) if (min..=max).contains(&number) => number,
            _ => {
                self.add_fault(field, format!("must be a whole number from {min} to {max}"));
                min
            }
        }
    }
}

/// Parses an RFC 3339 time from 1970 to 9999.
///
/// `humantime` parses UTC only, so the offset is handled here.
fn parse_time(text: &str) -> Option<SystemTime> {
    let Some((local, offset)) = text.split_at_checked(text.len().saturating_sub(OFFSET_BYTES))
    else {
        return humantime::parse_rfc3339(text).ok();
    };
    let (sign, clock) = offset.split_at_checked(1)?;
    if !matches!(sign, "+" | "-") {
        return humantime::parse_rfc3339(text).ok();
    }
    let (hours, minutes) = clock.split_once(':')?;
    let hours = parse_two_digits(hours, 23)?;
    let minutes = parse_two_digits(minutes, 59)?;
    let offset = Duration::from_secs(hours * 3600 + minutes * 60);
    let time = humantime::parse_rfc3339(&format!("{local}Z")).ok()?;
    let time = if sign == "+" {
        time.checked_sub(offset)?
    } else {
        time.checked_add(offset)?
    };
    is_rfc3339_time(time).then_some(time)
}

/// Returns whether the time lies in the years 1970 to 9999, so that it can be written as RFC 3339.
pub(crate) fn is_rfc3339_time(time: SystemTime) -> bool {
    let since_epoch = time.duration_since(SystemTime::UNIX_EPOCH);
    since_epoch.is_ok_and(|since_epoch| since_epoch.as_secs() < RFC3339_END_SECONDS)
}

fn parse_two_digits(text: &str, max: u64) -> Option<u64> {
    if text.len() != 2 || !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    text.parse().ok().filter(|number| *number <= max)
}
