//! `status`, `report slo` and `report link` against real daemons in two regions.

mod common;

use std::net::SocketAddr;
use std::time::Instant;

use coltsfootweir::reports::LinkReport;
use coltsfootweir::slo::SloReport;
use common::DaemonSpec;
use common::PATIENCE;
use common::apply;
use common::call;
use common::json_http::read_json;
use common::operator::operate;
use common::operator::operate_json;
use common::process_fleet::ProcessFleet;
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

struct ReportFleet(ProcessFleet);

impl ReportFleet {
    /// Two daemons in the north and one in the south, with the one upstream in the north.
    fn start() -> ReportFleet {
        let mut fleet = ProcessFleet::empty();
        for region in ["north", "north", "south"] {
            let first: Vec<SocketAddr> = fleet.controls().into_iter().take(1).collect();
            fleet.add(region, &first);
        }
        let upstream = start_upstream(fleet.control(0), "stalls", "v1");
        fleet.upstreams.push(upstream);
        apply(fleet.platform.address, RECORDS);
        fleet.wait_ready(1);
        wait_for("every daemon knows what all serve", PATIENCE, || {
            (0..3).all(|index| {
                let members = fleet.status(index).map(|status| status.members);
                let members = members.unwrap_or_default();
                members.iter().filter(|entry| entry.served == 1).count() == 3
            })
        });
        ReportFleet(fleet)
    }

    fn via(&self) -> SocketAddr {
        self.0.control(0)
    }

    fn report(&self, arguments: &str) -> Value {
        operate_json(&format!("report {arguments} --daemon {}", self.via()), "")
    }

    /// Text that a command prints about the fleet.
    fn text(&self, command: &str) -> String {
        operate(&format!("{command} --daemon {}", self.via()), "").out
    }

    /// Sends calls to every daemon in turn and returns how many failed.
    fn call_each(&self, path: &str, rounds: u64) -> u64 {
        let mut failures = 0;
        for _ in 0..rounds {
            for calls in self.0.calls() {
                let answer = call(calls, "GET", path, &[]).expect("an answer");
                failures += u64::from(answer.status >= 500);
            }
        }
        failures
    }

    fn link_reports(&self) -> Vec<LinkReport> {
        let controls = self.0.controls().into_iter();
        controls
            .map(|control| read_json(control, "/link"))
            .collect()
    }
}

fn slo_counts(report: &Value, route: &str, window: &str) -> (u64, u64, f64) {
    let mut lines = report["routes"].as_array().expect("lines").iter();
    let line = lines.find(|line| line["route"] == route && line["window"] == window);
    let line = line.expect("a line of the route and window");
    let number = |field: &str| line[field].as_u64().expect("a count");
    let burn = line["burn"].as_f64().expect("a rate");
    (number("calls"), number("failures"), burn)
}

#[test]
fn slo_report_counts_the_failed_calls_of_every_daemon_by_route() {
    let fleet = ReportFleet::start();
    let faults = r#"{"fail_percent": 30, "only_prefix": "/feed"}"#;
    fleet.0.set_upstream_faults(faults);
    let failed = fleet.call_each("/feed/today", 20);
    assert!(failed > 0, "the upstream shows its fault");
    assert_eq!(fleet.call_each("/stalls/free", 10), 0);
    let report = fleet.report("slo --target 99");
    assert_eq!(report["answered"], 3);
    assert_eq!(report["silent"], Value::Array(vec![]));
    for window in ["5m", "1h", "6h"] {
        let (calls, failures, burn) = slo_counts(&report, "feed", window);
        assert_eq!((calls, failures), (60, failed), "{window}");
        let wanted = failed as f64 / 60.0 / 0.01;
        assert!((burn - wanted).abs() < 1e-6, "{burn} for {wanted}");
        assert_eq!(slo_counts(&report, "free", window), (30, 0, 0.0));
    }
    let own: SloReport = read_json(fleet.via(), "/slo");
    let is_part = own.lines.iter().all(|line| line.counts.calls < 60);
    assert!(is_part, "one daemon has a part only");
    let text = fleet.text("report slo");
    let is_told = text.contains("target 99.9%") && text.contains("3 of 3 live daemons");
    assert!(is_told, "{text}");
}

#[test]
fn link_report_sums_each_exchange_once_by_cause_and_region() {
    let fleet = ReportFleet::start();
    let asked: Vec<LinkReport> = fleet.link_reports();
    let south = |reports: &[LinkReport]| link_bytes(reports, "south", "calls");
    let before_calls = south(&asked);
    fleet.call_each("/stalls/free", 10);
    let before = fleet.link_reports();
    let report = fleet.report("link --price-per-gb 2");
    let after = fleet.link_reports();
    let crossed = south(&before) - before_calls;
    assert!(crossed > 10 * 200, "ten calls crossed the link: {crossed}");
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
    let least = total as f64 / (seconds + 1.0) * 86_400.0 * 0.5;
    assert!(day >= least, "{day} for {total}");
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
        let report: LinkReport = read_json(daemon.control, "/link");
        let mut usage = report.usage.iter();
        let usage = usage.find(|usage| serde_json::json!(usage.cause) == "config");
        usage.map(|usage| (usage.link_bytes, usage.local_bytes))
    };
    // A pull as MessagePack: an array of one number, the generation held, 0.
    for _ in 0..10 {
        let request = minreq::post(format!("http://{}/pull", daemon.control));
        let request = request.with_body(vec![0x91, 0x00]).with_timeout(5);
        assert_eq!(request.send().expect("an answer").status_code, 200);
    }
    assert_eq!(config_bytes(), Some((0, 0)));
}

#[test]
fn silent_daemon_is_named_by_every_report_and_shown_by_status() {
    let mut fleet = ReportFleet::start();
    let status = operate_json(&format!("status --daemon {}", fleet.via()), "");
    assert_eq!(status["members"].as_array().map(Vec::len), Some(3));
    assert_eq!(status["endpoints"][0]["version"], "v1");
    assert_eq!(status["behind"], Value::Array(vec![]));
    let gone = fleet.0.control(2).to_string();
    fleet.0.daemons[2].process.signal("STOP");
    for name in ["slo", "link"] {
        let start = Instant::now();
        let report = fleet.report(&format!("{name} --timeout 1s"));
        assert_eq!(report["answered"], 2, "{report}");
        assert_eq!(report["silent"][0]["id"], gone.as_str());
        assert_eq!(report["silent"][0]["region"], "south");
        let elapsed = start.elapsed();
        assert!(elapsed.as_secs() < 5, "one timeout, not one a daemon");
        let text = fleet.text(&format!("report {name} --timeout 1s"));
        let line = format!("no answer from {gone} (south, south-a)");
        assert!(text.contains(&line), "{text}");
    }
    let asked = operate(&format!("status --timeout 1s --json --daemon {gone}"), "");
    assert_eq!(asked.code, 4, "{asked:?}");
    assert_eq!(asked.json()["error"]["kind"], "unavailable");
    wait_for("the region counts as unreachable", PATIENCE, || {
        fleet.text("status").contains("region south is unreachable")
    });
    let peer = fleet.0.control(1).to_string();
    fleet.0.daemons[1].process.kill();
    wait_for("the daemon counts as dead", PATIENCE, || {
        let text = fleet.text("status");
        let mut lines = text.lines();
        lines.any(|line| line.contains(&peer) && line.contains(" dead "))
    });
}
