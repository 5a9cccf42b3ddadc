//! `status`, `report slo` and `report link` against real daemons in two regions.

mod common;

use std::net::SocketAddr;
use std::time::Instant;

use coltsfootweir::reports::LinkReport;
use coltsfootweir::slo::SloReport;
use common::DaemonProcess;
use common::DaemonSpec;
use common::PATIENCE;
use common::PlatformProcess;
use common::UpstreamProcess;
use common::apply;
use common::call;
use common::json_http::get_json;
use common::json_http::post_json;
use common::operator::operate;
use common::operator::operate_json;
use common::read_status;
use common::start_daemon;
use common::start_platform;
use common::start_upstream;
use common::wait_for;
use serde_json::Value;

const RECORDS: &str = r#"[
  {"kind": "upstream-version", "schema": 1, "service": "stalls", "version": "v1", "share": 100},
  {"kind": "route", "schema": 2, "name": "free", "service": "stalls", "prefix": "/stalls",
   "class": "check", "timeout_ms": 2000, "retry_percent": 0},
  {"kind": "route", "schema": 2, "name": "feed", "service": "stalls", "prefix": "/feed",
   "class": "check", "timeout_ms": 2000, "retry_percent": 0}
]"#;

struct TestFleet {
    _platform: PlatformProcess,
    daemons: Vec<DaemonProcess>,
    upstream: UpstreamProcess,
}

/// Two daemons in the north and one in the south, with the one upstream in the north.
fn start_fleet() -> TestFleet {
    let platform = start_platform();
    let mut daemons: Vec<DaemonProcess> = Vec::new();
    for (region, zone) in [
        ("north", "zaandam"),
        ("north", "purmerend"),
        ("south", "gouda"),
    ] {
        let mut spec = DaemonSpec::new(platform.address, region, zone);
        spec.seeds = daemons
            .iter()
            .take(1)
            .map(|daemon| daemon.control)
            .collect();
        daemons.push(start_daemon(&spec));
    }
    let upstream = start_upstream(daemons[0].control, "stalls", "v1");
    apply(platform.address, RECORDS);
    for daemon in &daemons {
        wait_for("generation 1 and the endpoint known", PATIENCE, || {
            read_status(daemon.control).is_some_and(|status| {
                let known = status.members.iter().any(|entry| entry.endpoint.is_some());
                let served = status.members.iter().filter(|entry| entry.served == 1);
                known && served.count() == 3
            })
        });
    }
    TestFleet {
        _platform: platform,
        daemons,
        upstream,
    }
}

impl TestFleet {
    fn via(&self) -> SocketAddr {
        self.daemons[0].control
    }

    fn report(&self, arguments: &str) -> Value {
        operate_json(&format!("report {arguments} --daemon {}", self.via()), "")
    }

    /// Sends calls to every daemon in turn and returns how many failed.
    fn call_each(&self, path: &str, rounds: u64) -> u64 {
        let mut failures = 0;
        for _ in 0..rounds {
            for daemon in &self.daemons {
                let answer = call(daemon.calls, "GET", path, &[]).expect("an answer");
                failures += u64::from(answer.status >= 500);
            }
        }
        failures
    }

    fn link_reports(&self) -> Vec<LinkReport> {
        let reports = self
            .daemons
            .iter()
            .map(|daemon| get_json(daemon.control, "/link"));
        reports
            .map(|report| serde_json::from_value(report).expect("a report"))
            .collect()
    }
}

fn slo_counts(report: &Value, route: &str, window: &str) -> (u64, u64, f64) {
    let lines = report["routes"].as_array().expect("lines");
    let line = lines
        .iter()
        .find(|line| line["route"] == route && line["window"] == window)
        .expect("a line of the route and window");
    let number = |field: &str| line[field].as_u64().expect("a count");
    (
        number("calls"),
        number("failures"),
        line["burn"].as_f64().expect("a rate"),
    )
}

#[test]
fn slo_report_counts_the_failed_calls_of_every_daemon_by_route() {
    let fleet = start_fleet();
    let faults = r#"{"fail_percent": 30, "only_prefix": "/feed"}"#;
    post_json(fleet.upstream.address, "/standin/faults", faults);
    let failed = fleet.call_each("/feed/today", 20);
    assert!(failed > 0, "the upstream shows its fault");
    assert_eq!(fleet.call_each("/stalls/free", 10), 0);
    let report = fleet.report("slo --target 99");
    assert_eq!(
        (&report["answered"], &report["silent"]),
        (&3.into(), &Value::Array(vec![]))
    );
    for window in ["5m", "1h", "6h"] {
        let (calls, failures, burn) = slo_counts(&report, "feed", window);
        assert_eq!((calls, failures), (60, failed), "{window}");
        let wanted = failed as f64 / 60.0 / 0.01;
        assert!((burn - wanted).abs() < 1e-6, "{burn} for {wanted}");
        assert_eq!(slo_counts(&report, "free", window), (30, 0, 0.0));
    }
    let own: SloReport = serde_json::from_value(get_json(fleet.via(), "/slo")).expect("a report");
    assert!(
        own.lines.iter().all(|line| line.counts.calls < 60),
        "one daemon has a part only"
    );
    let flags = format!("--daemon {}", fleet.via());
    let text = operate(&format!("report slo {flags}"), "").out;
    assert!(
        text.contains("target 99.9%") && text.contains("3 of 3 live daemons"),
        "{text}"
    );
}

#[test]
fn link_report_sums_each_exchange_once_by_cause_and_region() {
    let fleet = start_fleet();
    let asked: Vec<LinkReport> = fleet.link_reports();
    let south = |reports: &[LinkReport]| link_bytes(reports, "south", "calls");
    let before_calls = south(&asked);
    fleet.call_each("/stalls/free", 10);
    let before = fleet.link_reports();
    let report = fleet.report("link --price-per-gb 2");
    let after = fleet.link_reports();
    assert!(
        south(&before) > before_calls + 10 * 200,
        "ten calls crossed the link"
    );
    let mut total = 0;
    for cause in report["causes"].as_array().expect("causes") {
        let name = cause["cause"].as_str().expect("a name");
        let mut sum = 0;
        for region in ["north", "south"] {
            let bytes = cause["regions"][region].as_u64().expect("a sum");
            let least = link_bytes(&before, region, name);
            let most = link_bytes(&after, region, name);
            assert!((least..=most).contains(&bytes), "{region} {name}: {bytes}");
            sum += bytes;
        }
        assert_eq!(cause["bytes"], sum);
        total += sum;
    }
    assert_eq!(report["bytes"], total);
    assert_eq!(report["causes"].as_array().map(Vec::len), Some(5));
    let (north, south) = (&report["regions"]["north"], &report["regions"]["south"]);
    assert_eq!(north.as_u64().unwrap() + south.as_u64().unwrap(), total);
    let day = report["bytes_per_day"].as_f64().unwrap();
    let month = report["bytes_per_month"].as_f64().unwrap();
    let cost = report["cost"]["per_month"].as_f64().unwrap();
    assert!((month - 30.0 * day).abs() < 1.0 && (cost - 2.0 * month / 1e9).abs() < 1e-6);
    let seconds = after.iter().map(|report| report.seconds).max().unwrap() as f64;
    assert!(
        day >= total as f64 / (seconds + 1.0) * 86_400.0 * 0.5,
        "{day} for {total}"
    );
}

/// Bytes on the link of one cause, over the daemons of a region.
fn link_bytes(reports: &[LinkReport], region: &str, cause: &str) -> u64 {
    let mut sum = 0;
    for report in reports.iter().filter(|report| &*report.region == region) {
        for usage in &report.usage {
            if serde_json::json!(usage.cause) == cause {
                sum += usage.link_bytes;
            }
        }
    }
    sum
}

#[test]
fn daemon_that_is_asked_counts_no_exchange() {
    let platform = start_platform();
    let daemon = start_daemon(&DaemonSpec::new(platform.address, "north", "zaandam"));
    let config_bytes = || {
        let report = get_json(daemon.control, "/link");
        let report: LinkReport = serde_json::from_value(report).expect("a report");
        let usage = report
            .usage
            .iter()
            .find(|usage| serde_json::json!(usage.cause) == "config");
        usage.map(|usage| (usage.link_bytes, usage.local_bytes))
    };
    // A pull as MessagePack: an array of one number, the generation held, 0.
    for _ in 0..10 {
        let answer = minreq::post(format!("http://{}/pull", daemon.control))
            .with_body(vec![0x91, 0x00])
            .with_timeout(5)
            .send()
            .expect("an answer");
        assert_eq!(answer.status_code, 200);
    }
    assert_eq!(config_bytes(), Some((0, 0)));
}

#[test]
fn silent_daemon_is_named_by_every_report_and_shown_by_status() {
    let mut fleet = start_fleet();
    let status = operate_json(&format!("status --daemon {}", fleet.via()), "");
    assert_eq!(status["members"].as_array().map(Vec::len), Some(3));
    assert_eq!(status["endpoints"][0]["version"], "v1");
    assert_eq!(status["behind"], Value::Array(vec![]));
    let gone = fleet.daemons[2].control.to_string();
    fleet.daemons[2].process.signal("STOP");
    for name in ["slo", "link"] {
        let start = Instant::now();
        let report = fleet.report(&format!("{name} --timeout 1s"));
        assert_eq!(report["answered"], 2, "{report}");
        assert_eq!(report["silent"][0]["id"], gone.as_str());
        assert_eq!(report["silent"][0]["region"], "south");
        assert!(
            start.elapsed().as_secs() < 5,
            "one timeout, not one a daemon"
        );
        let text = operate(
            &format!("report {name} --timeout 1s --daemon {}", fleet.via()),
            "",
        );
        assert!(
            text.out
                .contains(&format!("no answer from {gone} (south, gouda)")),
            "{text:?}"
        );
    }
    let asked = operate(&format!("status --timeout 1s --json --daemon {gone}"), "");
    assert_eq!(asked.code, 4, "{asked:?}");
    assert_eq!(asked.json()["error"]["kind"], "unavailable");
    wait_for("the region counts as unreachable", PATIENCE, || {
        let text = operate(&format!("status --daemon {}", fleet.via()), "").out;
        text.contains("region south is unreachable")
    });
    let peer = fleet.daemons[1].control.to_string();
    fleet.daemons[1].process.kill();
    wait_for("the daemon counts as dead", PATIENCE, || {
        let text = operate(&format!("status --daemon {}", fleet.via()), "").out;
        let mut lines = text.lines();
        lines.any(|line| line.contains(&peer) && line.contains(" dead "))
    });
}
