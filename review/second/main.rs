//! The cases of the second review. `standins-2 CASE RECORD` runs one and exits with 1 if the rule was
//! broken, 0 if it held and 2 if the case could not run. `TROUBLE=0` leaves the disruption out.

mod departure_case;
mod endpoint;
mod fleet;
mod http;
mod json;
mod record;
mod relay;
mod reset_case;
mod second_answer_case;
mod socket;
mod stop_case;
mod store;

use std::process::ExitCode;

use crate::record::CaseRecord;

/// Whether a rule held.
pub type Outcome = Result<bool, String>;

fn main() -> ExitCode {
    let mut words = std::env::args().skip(1);
    let (Some(case), Some(path)) = (words.next(), words.next()) else {
        eprintln!("usage: standins-2 CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = CaseRecord::create(&path);
    record.line(format!("case {case}, trouble: {has_trouble}"));
    let outcome = match &*case {
        "departure" => departure_case::run(&record, has_trouble),
        "reset" => reset_case::run(&record, has_trouble),
        "second-answer" => second_answer_case::run(&record, has_trouble),
        "stop" => stop_case::run(&record, has_trouble),
        other => Err(format!("no case {other}")),
    };
    match outcome {
        Ok(true) => {
            record.line("the rule held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            record.line("the rule was broken");
            ExitCode::from(1)
        }
        Err(reason) => {
            record.line(format!("the case could not run: {reason}"));
            eprintln!("{reason}");
            ExitCode::from(2)
        }
    }
}
