//! Records are removed by the operator's program, and the name of a removed move stays used.

mod common;

use std::process::Output;

use coltsfootweir::accept::accept_change;
use coltsfootweir::http_platform::HttpPlatform;
use coltsfootweir::record::MovePhase;
use coltsfootweir::record::TrafficShare;
use coltsfootweir::snapshot::ConfigSnapshot;

use common::PATIENCE;
use common::apply;
use common::run_operator;
use common::start_platform;

const RECORDS: &str = r#"[
  {"kind": "upstream-version", "schema": 1, "service": "stalls", "version": "v1", "share": 100},
  {"kind": "upstream-version", "schema": 1, "service": "stalls", "version": "v2", "share": 0},
  {"kind": "route", "schema": 1, "name": "free", "service": "stalls", "prefix": "/stalls",
   "class": "check", "timeout_ms": 1000}
]"#;

const MOVE: &str = r#"{"kind": "move", "schema": 2, "name": "to-v2", "service": "stalls", "from": "v1",
  "to": "v2", "done_in_seconds": 600}"#;

fn error_of(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn removed_records_are_gone_and_a_used_name_stays_used() {
    let platform = start_platform();
    let address = platform.address.to_string();
    let remove = |label: &str| run_operator(&["remove", "--platform", &address, label], "");
    apply(platform.address, RECORDS);
    apply(platform.address, MOVE);
    let output = remove("move/to-v2");
    assert_eq!(output.status.code(), Some(2), "{}", error_of(&output));
    assert!(
        error_of(&output).contains("under way"),
        "{}",
        error_of(&output)
    );
    let store = HttpPlatform::new(platform.address, PATIENCE);
    let end = |base: &ConfigSnapshot| {
        base.with_move_step(
            "to-v2",
            MovePhase::TakenBack,
            TrafficShare::default(),
            "bad",
        )
    };
    accept_change(&store, &|| "ended-by-test".into(), &end, &[]).expect("move ends");
    assert!(remove("move/to-v2").status.success());
    let output = run_operator(&["apply", "--platform", &address, "-"], MOVE);
    assert_eq!(output.status.code(), Some(3), "{}", error_of(&output));
    assert!(
        error_of(&output).contains("move/to-v2"),
        "{}",
        error_of(&output)
    );
    assert!(remove("upstream-version/stalls/v2").status.success());
    let output = remove("upstream-version/stalls/v1");
    assert_eq!(output.status.code(), Some(2), "{}", error_of(&output));
}
