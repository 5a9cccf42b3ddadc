//! Records for a number of services.

use std::fmt::Write;

/// Name of a service by number.
#[must_use]
pub fn service_name(number: usize) -> Box<str> {
    format!("service-{number:02}").into()
}

/// A route and a version for each of `count` services.
#[must_use]
pub fn service_records(count: usize) -> String {
    let mut text = String::from("[");
    for number in 0..count {
        let service = service_name(number);
        let comma = if number == 0 { "" } else { "," };
        let _ = write!(
            text,
            r#"{comma}{{"kind": "upstream-version", "schema": 1, "service": "{service}",
            "version": "v1", "share": 100}},
            {{"kind": "route", "schema": 1, "name": "{service}", "service": "{service}",
            "prefix": "/{service}", "class": "check", "timeout_ms": 2000}}"#
        );
    }
    text.push(']');
    text
}

/// A change of one route: its timeout.
#[must_use]
pub fn route_change(service: &str, timeout_ms: u64) -> String {
    format!(
        r#"[{{"kind": "route", "schema": 1, "name": "{service}", "service": "{service}",
        "prefix": "/{service}", "class": "check", "timeout_ms": {timeout_ms}}}]"#
    )
}
