//! A configuration that was accepted just before the store went down reaches every daemon.

mod common;

use std::time::Duration;

use coltsfootweir::http_platform::HttpPlatform;
use coltsfootweir::platform::PlatformStore;
use coltsfootweir::schema::parse_records;
use coltsfootweir::seed_row::SEED_PREFIX;
use common::PATIENCE;
use common::process_fleet::ProcessFleet;
use common::process_fleet::region_of;
use common::records::route_text;
use common::records::version_text;
use common::wait_for;
use programs::apply::accept_records;

/// Time a platform operation may take.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);

/// Changes made, each just before an outage.
const CHANGE_COUNT: u64 = 3;

#[test]
fn accepted_configuration_spreads_while_the_store_is_down() {
    let mut fleet = ProcessFleet::empty();
    for number in 0..4 {
        fleet.add_joined(region_of(number));
    }
    let platform = fleet.platform.address;
    let accept = |text: &str| {
        let records = parse_records(text, std::time::SystemTime::now()).expect("well formed");
        let store = HttpPlatform::new(platform, PLATFORM_TIMEOUT);
        let snapshot = accept_records(&store, &records);
        snapshot.expect("accepted").generation
    };
    let wait_all = |generation: u64| {
        for index in 0..4 {
            wait_for("the generation in force", PATIENCE, || {
                let status = fleet.status(index);
                status.is_some_and(|status| status.generation == generation)
            });
        }
    };
    wait_all(accept(&version_text("stalls", "v1", 100)));
    let store = HttpPlatform::new(platform, PLATFORM_TIMEOUT);
    wait_for("seeds of both regions", PATIENCE, || {
        let rows = store.list_rows(SEED_PREFIX);
        rows.is_ok_and(|rows| rows.len() == 2)
    });
    for number in 0..CHANGE_COUNT {
        let route = route_text("stalls", "stalls", "/stalls", 1000 + number);
        let generation = accept(&route);
        fleet.set_outage(true);
        wait_all(generation);
        fleet.set_outage(false);
    }
}
