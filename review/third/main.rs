//! Cases of the third review. Each starts the daemons as processes, beside stand-ins of the store, of
//! endpoints and of clients.
//!
//! `review-3 CASE FOLDER RECORD`: the name of the case, a temporary folder and the file for the record.
//! `TROUBLE=0` leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held, 2 if the
//! case could not run.

mod crash_case;
mod endpoint;
mod fleet;
mod http;
mod json;
mod leave_case;
mod limits_case;
mod order_case;
mod record;
mod settings_case;
mod store;

use std::path::Path;
use std::path::PathBuf;
use std::process::exit;

use fleet::Fleet;
use record::Record;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder, file] = &arguments[..] else {
        eprintln!("usage: review-3 CASE FOLDER RECORD");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let mut fleet = match Fleet::start(PathBuf::from(folder)) {
        Ok(fleet) => fleet,
        Err(error) => {
            eprintln!("{error}");
            exit(2);
        }
    };
    let mut record = Record::default();
    record.note(
        &fleet,
        format!("case {case}, with the disruption: {has_trouble}"),
    );
    let result = match case.as_str() {
        "order" => order_case::run(&mut fleet, &mut record, has_trouble),
        "leave" => leave_case::run(&mut fleet, &mut record, has_trouble),
        "limits" => limits_case::run(&mut fleet, &mut record, has_trouble),
        "crash" => crash_case::run(&mut fleet, &mut record, has_trouble),
        "settings" => settings_case::run(&mut fleet, &mut record, has_trouble),
        _ => Err("no such case".into()),
    };
    fleet.end();
    let code = match &result {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(_) => 2,
    };
    record.note(&fleet, format!("result: {result:?}, exit {code}"));
    if let Err(error) = record.write(&fleet, Path::new(file)) {
        eprintln!("{error}");
        exit(2);
    }
    exit(code);
}
