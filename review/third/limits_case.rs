//! A limit on clients that a configuration raises while clients hold connections open.

use crate::fleet::config;
use crate::fleet::Fleet;
use crate::fleet::KeptClient;
use crate::fleet::Machine;
use crate::fleet::Route;
use crate::fleet::CONFIG_APPLY;
use crate::fleet::STABILITY;
use crate::record::Record;

const CLIENTS: usize = 30;
const OLD_LIMIT: u32 = 16_384;
const NEW_LIMIT: u32 = 65_536;
/// Size of the header that only the new limit allows.
const LARGE: usize = 24_000;

fn routes() -> [Route<'static>; 1] {
    [Route {
        prefix: "/free/",
        service: "stalls",
    }]
}

fn new_routes() -> [Route<'static>; 2] {
    let [first] = routes();
    [
        first,
        Route {
            prefix: "/fodder/",
            service: "stalls",
        },
    ]
}

/// Returns whether the rule held.
pub fn run(fleet: &mut Fleet, record: &mut Record, has_trouble: bool) -> Result<bool, String> {
    let first = match has_trouble {
        true => config(1, &routes(), OLD_LIMIT),
        false => config(1, &new_routes(), NEW_LIMIT),
    };
    fleet.store.put(&[("op", "config", first)]);
    for number in 1..=3 {
        let machine = Machine {
            number,
            zone: "za",
            service: "stalls".into(),
            version: "v1".into(),
            failing: 0,
        };
        fleet.add(&machine, true)?;
    }
    fleet.await_ready(&[1, 2, 3])?;
    std::thread::sleep(STABILITY);
    let mut clients = Vec::new();
    for client in 0..CLIENTS {
        let machine = 1 + (client % 3) as u8;
        let address = fleet.outbound(machine);
        let sent = std::sync::Arc::clone(&fleet.sent);
        clients.push(KeptClient::new(fleet.start, sent, machine, address));
    }
    for _ in 0..5 {
        for client in &mut clients {
            client.get("/free/stall", "", "before");
        }
    }
    let opened: u32 = clients.iter().map(|client| client.opened).sum();
    record.note(
        fleet,
        format!("{CLIENTS} clients hold {opened} connections"),
    );
    if has_trouble {
        let row = fleet
            .store
            .put(&[("op", "config", config(2, &new_routes(), NEW_LIMIT))]);
        record.note(
            fleet,
            format!(
                "configuration 2 at version {row}: max_header_bytes {OLD_LIMIT} to {NEW_LIMIT}, \
                 one route more"
            ),
        );
    }
    let acknowledged = fleet.now();
    fleet.sleep_until(acknowledged + CONFIG_APPLY + STABILITY);
    let large = format!("X-Trace: {}\r\n", "t".repeat(LARGE));
    for round in 0..5 {
        for client in &mut clients {
            match round {
                // The new route shows that the configuration is in force on these connections.
                0 => client.get("/fodder/hay", "", "new route"),
                _ => client.get("/free/stall", &large, "large head"),
            };
        }
    }
    let opened_later: u32 = clients.iter().map(|client| client.opened).sum();
    record.note(
        fleet,
        format!("{} connections were opened anew", opened_later - opened),
    );
    Ok(judge(fleet, record))
}

fn judge(fleet: &Fleet, record: &mut Record) -> bool {
    let sent = fleet.sent.lock().expect("no panic").clone();
    let count = |note: &str, status: u16| {
        let mut found = sent
            .iter()
            .filter(|sent| sent.note == note)
            .collect::<Vec<_>>();
        found.retain(|sent| sent.status == status);
        found.len()
    };
    let (new, large) = (count("new route", 200), count("large head", 200));
    let denied = sent
        .iter()
        .filter(|sent| (300..500).contains(&sent.status))
        .filter(|sent| ![408, 421, 429].contains(&sent.status))
        .count();
    let most = 5 + sent.len() / 500;
    record.note(
        fleet,
        format!(
            "of {CLIENTS} requests on the new route {new} were served; of {} with a large head \
             {large}; {denied} of {} requests were denied, {most} may be",
            CLIENTS * 4,
            sent.len()
        ),
    );
    denied <= most
}
