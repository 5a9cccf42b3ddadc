//! What the operator's program says of bad records and arguments, and to closed pipes.

mod common;

use std::fs;
use std::path::PathBuf;
use std::process::Command;
use std::process::Stdio;

use common::apply;
use common::operator::operate;
use common::operator::operate_json;
use common::program_path;
use common::records::list_text;
use common::records::move_text;
use common::records::route_text;
use common::records::version_text;
use common::start_platform;

/// A service with a route and a move.
fn base() -> String {
    list_text(&[
        version_text("stalls", "v1", 100),
        version_text("stalls", "v2", 0),
        route_text("stalls", "stalls", "/stalls", 1000),
        move_text("m1", "stalls", 600),
    ])
}

fn write_file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).expect("file is written");
    path
}

#[test]
fn bad_records_are_refused_with_every_fault_and_nothing_changes() {
    let platform = start_platform();
    apply(platform.address, &base());
    let huge = format!("[{}]", " ".repeat(1 << 20));
    let cases = [
        ("{", "body", "json"),
        (huge.as_str(), "", "longer than 1048576 bytes"),
        (r#"{"schema": 1}"#, "?/? at position 1", "kind"),
        (
            r#"{"kind": "rout", "schema": 1, "name": "x"}"#,
            "rout/x",
            "known kinds are",
        ),
        (
            r#"{"kind": "route", "schema": 9, "name": "x"}"#,
            "route/x",
            "known versions of route are 1, 2",
        ),
        (
            r#"{"kind": "move", "name": "x"}"#,
            "move/x",
            "field schema: missing",
        ),
        (
            r#"{"kind": "route", "schema": 1, "name": "x", "service": "stalls", "prefix": "x",
                "class": "check", "timeout_ms": 0, "colour": 1}"#,
            "route/x",
            "field prefix: must start with '/'",
        ),
        (
            r#"{"kind": "route", "schema": 1, "name": "x", "service": "none", "prefix": "/x",
                "class": "check", "timeout_ms": 5}"#,
            "route/x",
            "field service: service \"none\" has no upstream version",
        ),
        (
            r#"{"kind": "move", "schema": 2, "name": "m1", "service": "stalls", "from": "v2",
                "to": "v1", "done_in_seconds": 5}"#,
            "move/m1",
            "only done_by may change",
        ),
    ];
    for (text, record, reason) in cases {
        let run = platform.operate("apply - --json", text);
        assert_eq!(run.code, 2, "{run:?}");
        let fault = run.json()["error"]["faults"][0].clone();
        assert_eq!(fault["record"].as_str().unwrap_or(""), record, "{run:?}");
        let is_named = run.err.starts_with("refused:") && run.err.contains(reason);
        assert!(is_named, "{run:?}");
        let checked = platform.operate("validate -", text);
        assert_eq!(checked.code, 2, "{checked:?}");
        assert!(checked.err.contains(reason), "{checked:?}");
    }
    assert_eq!(platform.operate_json("get", "")["generation"], 1);
}

#[test]
fn faults_of_several_files_name_the_file() {
    let route = r#"{"kind": "route", "schema": 1, "name": "x", "service": "s", "prefix": "/x",
        "class": "check", "timeout_ms": 5}"#;
    let first = write_file("records_first.json", route);
    let second = write_file("records_second.json", route);
    let unknown = r#"{"kind": "route", "schema": 3, "name": "y"}"#;
    let bad = write_file("records_bad.json", unknown);
    let files = [&first, &second, &bad].map(|path| path.display().to_string());
    let all = files.join(" ");
    let run = operate(&format!("validate {all} no-such-file.json --json"), "");
    assert_eq!(run.code, 2, "{run:?}");
    let faults = run.json()["error"]["faults"].clone();
    assert_eq!(faults[0]["file"], files[1]);
    assert_eq!(faults[0]["record"], "route/x");
    assert_eq!(faults[1]["file"], files[2]);
    assert_eq!(faults[1]["field"], "schema");
    assert_eq!(faults[2]["file"], "no-such-file.json");
    let is_named = run.err.contains("no-such-file.json: No such file");
    assert!(is_named, "{run:?}");
    // Closure is not checked without a platform.
    let alone = operate_json(&format!("validate {}", files[0]), "");
    assert_eq!(alone["records"], 1);
}

#[test]
fn bad_arguments_are_clear_and_json_when_asked() {
    let cases = [
        ("apply - --json", "--platform"),
        (
            "get nothing --platform 127.0.0.1:1 --json",
            "possible values",
        ),
        ("status --daemon here --json", "invalid value 'here'"),
        (
            "report slo --daemon 127.0.0.1:1 --target 100 --json",
            "below 100",
        ),
        (
            "report link --daemon 127.0.0.1:1 --price-per-gb x --json",
            "0.02",
        ),
        ("report nothing --json", "nothing"),
        (
            "apply - --platform 127.0.0.1:1 --wait-limit soon --json",
            "soon",
        ),
    ];
    for (arguments, part) in cases {
        let run = operate(arguments, "");
        assert_eq!(run.code, 2, "{run:?}");
        let error = run.json()["error"].clone();
        assert_eq!(error["kind"], "usage", "{run:?}");
        assert!(error["message"].as_str().unwrap().contains(part), "{run:?}");
        assert!(run.err.contains(part), "{run:?}");
    }
    for arguments in ["get route none", "get --generation 7", "explain none"] {
        let platform = start_platform();
        let run = platform.operate(arguments, "");
        assert_eq!(run.code, 2, "{run:?}");
        assert!(run.err.starts_with("refused: no "), "{run:?}");
    }
}

#[test]
fn what_get_prints_is_what_apply_takes() {
    let platform = start_platform();
    apply(platform.address, &base());
    let printed = platform.operate("get", "");
    let is_shown = printed.err.contains("move/m1 waiting: checks 0%");
    assert!(is_shown, "{printed:?}");
    let again = platform.operate_json("apply -", &printed.out);
    assert_eq!(again["changed"], false);
    assert_eq!(again["records"].as_array().map(Vec::len), Some(4));
    let changed = printed.out.replace("1000", "2000");
    let applied = platform.operate_json("apply -", &changed);
    assert_eq!(applied["generation"], 2);
    let route = |command: &str| platform.operate_json(command, "")["records"][0].clone();
    assert_eq!(route("get route stalls")["timeout_ms"], 2000);
    assert_eq!(route("get route stalls --generation 1")["timeout_ms"], 1000);
    let version = route("get upstream-version stalls/v2");
    assert_eq!(version["shares"]["checks"], 0);
    assert_eq!(route("get move m1")["to"], "v2");
}

#[test]
fn closed_pipe_is_no_panic() {
    let platform = start_platform();
    apply(platform.address, &base());
    for flags in [
        &["get"][..],
        &["get", "--json"],
        &["explain", "none", "--json"],
        &["--help"],
    ] {
        let mut child = Command::new(program_path("coltsfootweir"))
            .args(flags)
            .env("COLTSFOOTWEIR_PLATFORM", platform.address.to_string())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .expect("operator's program starts");
        drop(child.stdout.take());
        let output = child.wait_with_output().expect("ended");
        let err = String::from_utf8_lossy(&output.stderr);
        let wanted = if flags[0] == "explain" { 2 } else { 0 };
        assert_eq!(output.status.code(), Some(wanted), "{flags:?}: {err}");
        assert!(!err.contains("panicked"), "{flags:?}: {err}");
    }
}
