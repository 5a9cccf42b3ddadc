//! Header values of calls: what is read is written as a value that reads as the same.

#![no_main]

use std::time::Duration;

use libfuzzer_sys::fuzz_target;

use coltsfootweir::booking_key::BookingKey;
use coltsfootweir::booking_key::MAX_KEY_LENGTH;
use coltsfootweir::deadline::CallDeadline;
use coltsfootweir::deadline::MAX_TIMEOUT;
use coltsfootweir::load_report::LoadReport;
use coltsfootweir::outcome::CallOutcome;

/// Timeout of the route.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Time at which the call arrives.
const ARRIVAL: Duration = Duration::from_secs(100);

fuzz_target!(|text: &str| {
    if let Ok(key) = BookingKey::parse(text) {
        assert!(text.len() <= MAX_KEY_LENGTH);
        assert_eq!(key.to_string(), text);
    }
    if let Some(report) = LoadReport::parse(text) {
        assert!(report.running <= report.slots);
        assert_eq!(LoadReport::parse(&report.to_string()), Some(report));
    }
    let (outcome, reason) = text.split_once(' ').unwrap_or((text, ""));
    if let Some(parsed) = CallOutcome::parse(outcome, Some(reason)) {
        assert_eq!(parsed.as_str(), outcome);
        assert!(parsed.reason_str().is_none_or(|written| written == reason));
    }
    check_deadline(text);
});

fn check_deadline(text: &str) {
    let deadline = CallDeadline::on_arrival(Some(text), TIMEOUT, ARRIVAL);
    assert!(deadline.remaining(ARRIVAL) <= MAX_TIMEOUT);
    let Some(written) = deadline.header_ms(ARRIVAL) else {
        return;
    };
    let written = written.to_string();
    let again = CallDeadline::on_arrival(Some(&written), TIMEOUT, ARRIVAL);
    assert_eq!(again, deadline);
}
