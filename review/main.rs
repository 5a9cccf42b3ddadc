//! Stand-ins for the cases of the review, and the cases themselves.
//!
//! `standins CASE RECORD` plays a case and ends with 1 if the rule was broken, 0 if it held and 2 if
//! the case couldn't run. With `TROUBLE=0` it plays it without the disruption.

mod drain_case;
mod endpoint;
mod extra_bytes_case;
mod fleet;
mod http;
mod json;
mod memory_case;
mod photo_case;
mod record;
mod region_cut;
mod rejoin_case;
mod store;

use std::path::Path;
use std::process::ExitCode;

use record::Record;

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    NotRun(&'static str),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        eprintln!("usage: standins CASE RECORD");
        return ExitCode::from(2);
    };
    let Some(record) = Record::create(Path::new(path)) else {
        eprintln!("the record can't be written");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let verdict = match case.as_str() {
        "drain" => drain_case::play(&record, has_trouble),
        "rejoin" => rejoin_case::play(&record, has_trouble),
        "twice" => extra_bytes_case::play(&record, has_trouble),
        "crash" => photo_case::play(&record, has_trouble),
        "memory" => memory_case::play(&record, has_trouble),
        _ => Verdict::NotRun("no such case"),
    };
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held".to_owned(), 0),
        Verdict::Broken => ("the rule was broken".to_owned(), 1),
        Verdict::NotRun(why) => (format!("the case couldn't run: {why}"), 2),
    };
    record.write(&text);
    println!("{case}: {text}");
    ExitCode::from(code)
}
