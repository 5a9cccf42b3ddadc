//! Reads the fields of one JSON record and collects every fault on the way.

use std::time::Duration;
use std::time::SystemTime;

use serde_json::Map;
use serde_json::Value;

use crate::record::RouteClass;
use crate::record_fault::RecordFault;

/// Longest name of a record, service or version, in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// Longest path prefix, in bytes.
pub const MAX_PREFIX_BYTES: usize = 1024;

/// Longest relative time of a move, in seconds.
pub const MAX_DONE_IN_SECONDS: u64 = 366 * 24 * 3600;

/// Length of the offset at the end of an RFC 3339 time, such as `+02:00`.
const OFFSET_BYTES: usize = 6;

/// First second of the year 10000, which RFC 3339 text cannot give.
const END_OF_TIMES_SECONDS: u64 = 253_402_300_800;

/// Fields that every record has.
const COMMON_FIELDS: [&str; 2] = ["kind", "schema"];

/// Reader of one JSON object.
///
/// A field at fault reads as an empty value; [`FieldReader::finish`] then refuses the record.
pub struct FieldReader<'a> {
    record: Box<str>,
    path: Box<str>,
    object: &'a Map<String, Value>,
    read: Vec<&'static str>,
    faults: Vec<RecordFault>,
}

impl<'a> FieldReader<'a> {
    /// Opens a record; the label is the kind and the values of `name_fields`, `?` where one lacks.
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
            read: COMMON_FIELDS.to_vec(),
            faults: Vec::new(),
        };
        Ok(reader)
    }

    /// Reads a name: ASCII letters, digits, `-`, `_` and `.`.
    pub fn name(&mut self, field: &'static str) -> Box<str> {
        let text = self.text(field, MAX_NAME_BYTES);
        for character in text.chars() {
            if character.is_ascii_alphanumeric() || matches!(character, '-' | '_' | '.') {
                continue;
            }
            let reason = format!("{character:?} is not allowed in a name");
            self.refuse(field, reason);
            break;
        }
        text
    }

    /// Reads a path prefix.
    pub fn prefix(&mut self, field: &'static str) -> Box<str> {
        let text = self.text(field, MAX_PREFIX_BYTES);
        if text.is_empty() {
            return text;
        }
        if !text.starts_with('/') {
            self.refuse(field, "must start with '/'");
        }
        if text.contains("//") {
            self.refuse(field, "has an empty path segment");
        }
        for character in text.chars() {
            if character.is_ascii_graphic() && !matches!(character, '?' | '#') {
                continue;
            }
            let reason = format!("{character:?} is not allowed in a path prefix");
            self.refuse(field, reason);
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
                self.refuse(field, reason);
            }
        }
        RouteClass::Check
    }

    /// Reads a percent, 0 to 100.
    pub fn percent(&mut self, field: &'static str) -> u8 {
        let number = self.number(field, 0, 100);
        u8::try_from(number).unwrap_or(0)
    }

    /// Reads a percent that may be left out.
    pub fn optional_percent(&mut self, field: &'static str) -> Option<u8> {
        if !self.has(field) {
            self.allow(field);
            return None;
        }
        Some(self.percent(field))
    }

    /// Reads a duration in whole milliseconds, above zero.
    pub fn milliseconds(&mut self, field: &'static str, most: Duration) -> Duration {
        let most = u64::try_from(most.as_millis()).unwrap_or(u64::MAX);
        Duration::from_millis(self.number(field, 1, most))
    }

    /// Reads a duration in whole seconds, above zero.
    pub fn seconds(&mut self, field: &'static str, most: u64) -> Duration {
        Duration::from_secs(self.number(field, 1, most))
    }

    /// Reads a time, RFC 3339 text in UTC or with an offset.
    pub fn time(&mut self, field: &'static str) -> SystemTime {
        let text = self.text(field, MAX_NAME_BYTES);
        if text.is_empty() {
            return SystemTime::UNIX_EPOCH;
        }
        parse_time(&text).unwrap_or_else(|| {
            let reason = format!("{text:?} is not an RFC 3339 time such as 2031-05-01T05:30:00Z");
            self.refuse(field, reason);
            SystemTime::UNIX_EPOCH
        })
    }

    /// Reads a nested object with a reader of its own.
    pub fn nested<T: Default>(
        &mut self,
        field: &'static str,
        read: impl FnOnce(&mut FieldReader<'_>) -> T,
    ) -> T {
        let Some(value) = self.value(field) else {
            return T::default();
        };
        let Some(object) = value.as_object() else {
            self.refuse(field, "must be a JSON object");
            return T::default();
        };
        let mut inner = FieldReader {
            record: self.record.clone(),
            path: format!("{}{field}.", self.path).into(),
            object,
            read: Vec::new(),
            faults: Vec::new(),
        };
        let value = read(&mut inner);
        inner.refuse_unknown();
        self.faults.append(&mut inner.faults);
        value
    }

    /// Returns whether the record has the field.
    #[must_use]
    pub fn has(&self, field: &str) -> bool {
        self.object.contains_key(field)
    }

    /// Notes a field that the schema knows but that was not read.
    pub fn allow(&mut self, field: &'static str) {
        self.read.push(field);
    }

    /// Adds a fault of a field.
    pub fn refuse(&mut self, field: &str, reason: impl Into<Box<str>>) {
        let field = format!("{}{field}", self.path);
        self.faults
            .push(RecordFault::new(self.record.clone(), field, reason));
    }

    /// Returns the record when it has no fault and no unknown field.
    ///
    /// # Errors
    /// Every fault of the record.
    pub fn finish<T>(mut self, record: T) -> Result<T, Vec<RecordFault>> {
        self.refuse_unknown();
        if self.faults.is_empty() {
            Ok(record)
        } else {
            Err(self.faults)
        }
    }

    fn refuse_unknown(&mut self) {
        let object = self.object;
        for field in object.keys() {
            if self.read.contains(&field.as_str()) {
                continue;
            }
            let reason = format!("unknown field; known are {}", self.read.join(", "));
            self.refuse(field, reason);
        }
    }

    fn value(&mut self, field: &'static str) -> Option<&'a Value> {
        self.read.push(field);
        let value = self.object.get(field);
        if value.is_none() {
            self.refuse(field, "missing");
        }
        value
    }

    fn text(&mut self, field: &'static str, most: usize) -> Box<str> {
        let Some(value) = self.value(field) else {
            return "".into();
        };
        let Some(text) = value.as_str() else {
            self.refuse(field, "must be a text");
            return "".into();
        };
        if text.is_empty() {
            self.refuse(field, "must not be empty");
        }
        if text.len() > most {
            self.refuse(field, format!("longer than {most} bytes"));
            return "".into();
        }
        text.into()
    }

    fn number(&mut self, field: &'static str, least: u64, most: u64) -> u64 {
        let Some(value) = self.value(field) else {
            return least;
        };
        match value.as_u64() {
            Some(number) if (least..=most).contains(&number) => number,
            _ => {
                self.refuse(
                    field,
                    format!("must be a whole number from {least} to {most}"),
                );
                least
            }
        }
    }
}

/// Parses RFC 3339 text from 1970 on; the library reads UTC only, so the offset is read here.
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
    is_writable_time(time).then_some(time)
}

/// Returns whether RFC 3339 text can give the time.
pub(crate) fn is_writable_time(time: SystemTime) -> bool {
    let since = time.duration_since(SystemTime::UNIX_EPOCH);
    since.is_ok_and(|since| since.as_secs() < END_OF_TIMES_SECONDS)
}

fn parse_two_digits(text: &str, most: u64) -> Option<u64> {
    if text.len() != 2 || !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    text.parse().ok().filter(|number| *number <= most)
}
