//! Records of operators: what is read renders to text that reads as the same records.

#![no_main]

use std::time::Duration;
use std::time::SystemTime;

use libfuzzer_sys::fuzz_target;

use coltsfootweir::schema::parse_records;
use coltsfootweir::schema::render_record;

/// Time that relative times count from, in seconds since 1970.
const NOW_SECONDS: u64 = 1_800_000_000;

fuzz_target!(|text: &str| {
    let now = SystemTime::UNIX_EPOCH + Duration::from_secs(NOW_SECONDS);
    match parse_records(text, now) {
        Ok(records) => {
            let mut rendered = Vec::with_capacity(records.len());
            for record in &records {
                rendered.push(render_record(record).to_string());
            }
            let rendered = format!("[{}]", rendered.join(","));
            assert_eq!(parse_records(&rendered, now), Ok(records));
        }
        Err(faults) => assert!(!faults.is_empty(), "refused without a fault"),
    }
});
