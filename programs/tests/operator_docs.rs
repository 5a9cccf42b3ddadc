//! The pages against the programs: record examples, flags, commands, exit codes, what callers and
//! upstreams see.

mod common;

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

use clap::Args;
use clap::Command;
use clap::CommandFactory;
use coltsfootweir::announce::UpstreamAnnouncement;
use coltsfootweir::deadline::MAX_TIMEOUT;
use coltsfootweir::outcome::DOUBT_REASONS;
use coltsfootweir::outcome::DoubtReason;
use coltsfootweir::outcome::REFUSAL_REASONS;
use coltsfootweir::outcome::RefusalReason;
use coltsfootweir::settings::DaemonArgs;
use common::operator::operate;
use common::start_platform;
use programs::arguments::OperatorArgs;
use programs::failure::CommandFailure;
use serde_json::Value;

fn operations() -> String {
    page("OPERATIONS.md")
}

fn page(name: &str) -> String {
    let docs = Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs");
    fs::read_to_string(docs.join(name)).expect("the page is there")
}

/// Texts of the fenced blocks of a language, in order.
fn blocks(page: &str, language: &str) -> Vec<String> {
    let start = format!("```{language}\n");
    let parts = page.split(start.as_str()).skip(1);
    let blocks = parts.filter_map(|part| part.split("```").next());
    blocks.map(String::from).collect()
}

#[test]
fn examples_of_records_are_accepted_one_after_another_and_cover_every_schema() {
    let platform = start_platform();
    let mut seen = BTreeSet::new();
    let examples = blocks(&operations(), "json");
    for example in &examples {
        let alone = operate("validate -", example);
        assert_eq!(alone.code, 0, "{example}: {alone:?}");
        let accepted = platform.operate_json("apply -", example);
        assert_eq!(accepted["changed"], true, "{example}");
        let records: Value = serde_json::from_str(example).expect("JSON");
        let list = records.as_array().cloned().unwrap_or(vec![records]);
        for record in list {
            seen.insert(format!("{} {}", record["kind"], record["schema"]));
        }
    }
    for kind in ["route", "upstream-version", "move"] {
        for schema in [1, 2] {
            let wanted = format!("\"{kind}\" {schema}");
            assert!(seen.contains(&wanted), "no example of {wanted}");
        }
    }
}

#[test]
fn fields_of_accepted_records_are_documented() {
    let platform = start_platform();
    let page = operations();
    for example in blocks(&page, "json") {
        platform.operate_json("apply -", &example);
    }
    let accepted = platform.operate_json("get", "");
    for record in accepted["records"].as_array().expect("records") {
        for field in record.as_object().expect("a record").keys() {
            if field == "kind" || field == "schema" {
                continue;
            }
            let row = format!("| `{field}` | ");
            assert!(page.contains(&row), "{field} of {record}");
        }
    }
}

#[test]
fn settings_commands_and_exit_codes_are_documented() {
    let page = operations();
    let daemon = DaemonArgs::augment_args(Command::new("coltsfootweird"));
    for argument in daemon.get_arguments() {
        let flag = argument.get_long().expect("every setting has a flag");
        let name = argument.get_env().expect("and a variable");
        let row = format!("| `--{flag}` | `{}` |", name.to_string_lossy());
        assert!(page.contains(&row), "--{flag}");
    }
    let operator = OperatorArgs::command();
    for command in operator.get_subcommands() {
        let name = command.get_name();
        if name == "report" {
            for report in command.get_subcommands() {
                assert!(page.contains(&format!("### `report {}`", report.get_name())));
            }
            continue;
        }
        let heading = format!("### `{name}");
        assert!(page.contains(&heading) || name == "demo", "no {heading}");
    }
    let failures = [
        CommandFailure::Refused(vec![]),
        CommandFailure::Conflict("".into()),
        CommandFailure::Unavailable("".into()),
        CommandFailure::InDoubt("".into()),
        CommandFailure::TakenBack(vec![]),
        CommandFailure::TimedOut(vec![]),
    ];
    for failure in failures {
        let told = failure.to_json();
        let kind = told["error"]["kind"].as_str().expect("a kind");
        let row = format!("| {} | ", failure.exit_code());
        let found = page.lines().find(|line| line.starts_with(&row));
        let name = format!("`{kind}`");
        assert!(found.is_some_and(|line| line.contains(&name)), "{kind}");
    }
}

#[test]
fn commands_of_the_first_steps_are_understood() {
    let mut understood = 0;
    for line in page("FIRST-STEPS.md").lines().map(str::trim_start) {
        let words: Vec<&str> = line.split_whitespace().collect();
        let parsed = match words.first() {
            Some(&"coltsfootweir") => OperatorArgs::command().try_get_matches_from(&words),
            Some(&"coltsfootweird") => {
                let daemon = DaemonArgs::augment_args(Command::new("coltsfootweird"));
                daemon.try_get_matches_from(&words)
            }
            _ => continue,
        };
        assert!(parsed.is_ok(), "{line}: {parsed:?}");
        understood += 1;
    }
    assert_eq!(understood, 4, "two daemons, apply and status");
}

#[test]
fn outcomes_and_announcements_are_documented() {
    let page = page("INTERFACES.md");
    let refusals = REFUSAL_REASONS.map(RefusalReason::as_str);
    let doubts = DOUBT_REASONS.map(DoubtReason::as_str);
    for reason in refusals.iter().chain(&doubts) {
        assert!(page.contains(&format!("`{reason}`")), "{reason}");
    }
    for example in blocks(&page, "json") {
        let announcement: UpstreamAnnouncement =
            serde_json::from_str(&example).expect("announcement");
        assert_eq!(announcement.slots, 9);
    }
    let longest = format!("at most {};", MAX_TIMEOUT.as_millis());
    assert!(page.contains(&longest), "{longest}");
}
