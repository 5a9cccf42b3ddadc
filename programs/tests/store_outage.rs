//! A configuration that was accepted just before the store went down reaches every daemon.

mod common;

use std::time::Duration;

use coltsfootweir::http_platform::HttpPlatform;
use coltsfootweir::platform::PlatformStore;
use coltsfootweir::schema::parse_records;
use coltsfootweir::seed_row::SEED_PREFIX;
use common::DaemonProcess;
use common::DaemonSpec;
use common::PATIENCE;
use common::read_status;
use common::start_daemon;
use common::start_platform;
use common::wait_for;
use programs::apply::accept_records;

/// Time a platform operation may take.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);

/// Changes made, each just before an outage.
const CHANGE_COUNT: u64 = 3;

const RECORDS: &str = r#"[
  {"kind": "upstream-version", "schema": 1, "service": "stalls", "version": "v1", "share": 100}
]"#;

fn route(number: u64) -> String {
    format!(
        r#"[{{"kind": "route", "schema": 1, "name": "stalls", "service": "stalls",
        "prefix": "/stalls", "class": "check", "timeout_ms": {}}}]"#,
        1000 + number
    )
}

#[test]
fn accepted_configuration_spreads_while_the_store_is_down() {
    let platform = start_platform();
    let mut daemons: Vec<DaemonProcess> = Vec::new();
    for number in 0..4 {
        let region = if number % 2 == 0 { "north" } else { "south" };
        let mut spec = DaemonSpec::new(platform.address, region, "zaandam");
        spec.seeds = daemons.iter().map(|daemon| daemon.control).collect();
        daemons.push(start_daemon(&spec));
    }
    let accept = |text: &str| {
        let records = parse_records(text, std::time::SystemTime::now()).expect("well formed");
        let snapshot = accept_records(
            &HttpPlatform::new(platform.address, PLATFORM_TIMEOUT),
            &records,
        )
        .expect("accepted");
        snapshot.generation
    };
    let wait_all = |generation: u64| {
        for daemon in &daemons {
            wait_for("the generation in force", PATIENCE, || {
                read_status(daemon.control).is_some_and(|status| status.generation == generation)
            });
        }
    };
    let set_outage = |outage: bool| {
        let body = format!(r#"{{"outage": {outage}}}"#);
        let answer = minreq::post(format!("http://{}/faults", platform.address))
            .with_body(body)
            .send()
            .expect("the platform stand-in answers");
        assert_eq!(answer.status_code, 200);
    };
    wait_all(accept(RECORDS));
    let store = HttpPlatform::new(platform.address, PLATFORM_TIMEOUT);
    wait_for("seeds of both regions", PATIENCE, || {
        store
            .list_rows(SEED_PREFIX)
            .is_ok_and(|rows| rows.len() == 2)
    });
    for number in 0..CHANGE_COUNT {
        let generation = accept(&route(number));
        set_outage(true);
        wait_all(generation);
        set_outage(false);
    }
}
