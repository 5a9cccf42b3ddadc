//! The settings come to name another address of the platform's store.

use std::time::Duration;

use crate::fleet::config;
use crate::fleet::Fleet;
use crate::fleet::KeptClient;
use crate::fleet::Machine;
use crate::fleet::Route;
use crate::fleet::CONFIG_APPLY;
use crate::fleet::STABILITY;
use crate::record::Record;

/// Time for which the store serves both addresses.
const OVERLAP: Duration = Duration::from_secs(10);

fn machine(number: u8) -> Machine {
    Machine {
        number,
        zone: "za",
        service: "stalls".into(),
        version: "v1".into(),
        failing: 0,
    }
}

/// Returns whether the rule held.
pub fn run(fleet: &mut Fleet, record: &mut Record, has_trouble: bool) -> Result<bool, String> {
    let old = Route {
        prefix: "/free/",
        service: "stalls",
    };
    let new = Route {
        prefix: "/fodder/",
        service: "stalls",
    };
    fleet.store.put(&[(
        "op",
        "config",
        config(1, std::slice::from_ref(&old), 16_384),
    )]);
    for number in 1..=3 {
        fleet.add(&machine(number), true)?;
    }
    fleet.await_ready(&[1, 2, 3])?;
    std::thread::sleep(STABILITY);
    let address = fleet.store_address(1);
    let listened = fleet.store.listen(address);
    listened.map_err(|error| error.to_string())?;
    if has_trouble {
        for number in 1..=3 {
            fleet.write_settings(&machine(number), false, address)?;
        }
        record.note(fleet, "the settings name the new address");
        std::thread::sleep(OVERLAP);
        fleet.store.close_first();
        record.note(fleet, "the store serves the old address no more");
        std::thread::sleep(STABILITY);
    }
    let row = fleet
        .store
        .put(&[("op", "config", config(2, &[old, new], 16_384))]);
    let acknowledged = fleet.now();
    record.note(
        fleet,
        format!("configuration 2 at version {row}: one route more"),
    );
    fleet.sleep_until(acknowledged + CONFIG_APPLY + Duration::from_millis(500));
    let mut not_found = 0;
    let mut count = 0;
    for _ in 0..20 {
        for number in 1..=3 {
            let sent = std::sync::Arc::clone(&fleet.sent);
            let mut client = KeptClient::new(fleet.start, sent, number, fleet.outbound(number));
            let status = client.get("/fodder/hay", "", "new route");
            count += 1;
            not_found += u32::from(status == 404);
        }
        std::thread::sleep(Duration::from_millis(500));
    }
    record.note(
        fleet,
        format!("of {count} requests on the new route {not_found} were answered 404"),
    );
    Ok(not_found == 0)
}
