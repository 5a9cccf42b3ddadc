//! Peers that give broken configurations: each is refused whole and named, and the right one arrives
//! from elsewhere.

mod common;

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use coltsfootweir::ids::Generation;
use coltsfootweir::pull_message::EncodedBytes;
use coltsfootweir::pull_message::PULL_PATH;
use coltsfootweir::pull_message::PullAnswer;
use coltsfootweir::route_table::RouteTable;
use coltsfootweir::schema::parse_records;
use coltsfootweir::snapshot::ConfigSnapshot;
use coltsfootweir::snapshot::HeadMark;
use coltsfootweir::snapshot::SnapshotDelta;
use log::Log;
use log::Metadata;
use log::Record;
use tiny_http::Header;
use tiny_http::Request;
use tiny_http::Response;
use tiny_http::Server;

use common::CONVERGENCE_TARGET;
use common::PATIENCE;
use common::local_fleet::LocalFleet;
use common::records::one_route;
use common::wait_for;

/// Time for which broken answers alone arrive.
const BROKEN_TIME: Duration = Duration::from_secs(2);

/// What a proxy does to the configurations that pass through it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum PullFault {
    /// Passes them on.
    Whole,
    /// Leaves out the second half of the encoded snapshot or delta.
    Truncated,
    /// Ends the answer half-way.
    HalfAnswer,
    /// Changes one byte of a record.
    Flipped,
    /// Gives a snapshot with a route whose version is missing, under its own digest.
    Unclosed,
    /// Gives another closed snapshot of the same generation, under its own digest.
    Other,
    /// Gives a configuration older than the one held, as a snapshot.
    Older,
    /// Gives a configuration older than the one held, under the mark of the newer one.
    OlderRenamed,
    /// Says that there is nothing newer.
    Nothing,
}

/// Lines that the daemons logged.
struct LineKeeper(Mutex<Vec<String>>);

static LINES: LineKeeper = LineKeeper(Mutex::new(Vec::new()));

impl Log for LineKeeper {
    fn enabled(&self, _metadata: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let line = format!("{} [{}] {}", record.level(), record.target(), record.args());
        self.0.lock().expect("lines").push(line);
    }

    fn flush(&self) {}
}

fn logged(text: &str) -> bool {
    LINES
        .0
        .lock()
        .expect("lines")
        .iter()
        .any(|line| line.contains(text))
}

/// Stands between one daemon and a peer; changes pulled configurations, passes on all else.
struct PullProxy {
    address: SocketAddr,
    server: Arc<Server>,
    fault: Arc<Mutex<PullFault>>,
    pulls: Arc<Mutex<u64>>,
}

impl PullProxy {
    fn start(peer: SocketAddr, fault: PullFault) -> PullProxy {
        let server = Arc::new(Server::http("127.0.0.1:0").expect("a proxy"));
        let proxy = PullProxy {
            address: server.server_addr().to_ip().expect("an address"),
            server,
            fault: Arc::new(Mutex::new(fault)),
            pulls: Arc::default(),
        };
        let server = Arc::clone(&proxy.server);
        let fault = Arc::clone(&proxy.fault);
        let pulls = Arc::clone(&proxy.pulls);
        thread::spawn(move || {
            for request in server.incoming_requests() {
                let fault = *fault.lock().expect("fault");
                if request.url() == PULL_PATH {
                    *pulls.lock().expect("pulls") += 1;
                }
                thread::spawn(move || pass_on(request, peer, fault));
            }
        });
        proxy
    }

    fn set_fault(&self, fault: PullFault) {
        *self.fault.lock().expect("fault") = fault;
    }

    fn pulls(&self) -> u64 {
        *self.pulls.lock().expect("pulls")
    }
}

impl Drop for PullProxy {
    fn drop(&mut self) {
        self.server.unblock();
    }
}

fn pass_on(mut request: Request, peer: SocketAddr, fault: PullFault) {
    let mut body = Vec::new();
    let path = request.url().to_string();
    if request.as_reader().read_to_end(&mut body).is_err() {
        return;
    }
    let answer = minreq::post(format!("http://{peer}{path}"))
        .with_header("Connection", "close")
        .with_body(body)
        .with_timeout(2)
        .send();
    let Ok(answer) = answer else {
        return;
    };
    let mut body = answer.into_bytes();
    if path == PULL_PATH {
        let answer = rmp_serde::from_slice(&body).expect("a pull answer");
        body = rmp_serde::to_vec(&spoil(answer, fault)).expect("a pull answer");
        if fault == PullFault::HalfAnswer {
            body.truncate(body.len() / 2);
        }
    }
    let mut response = Response::from_data(body);
    response.add_header(Header::from_bytes("Connection", "close").expect("a header"));
    let _ = request.respond(response);
}

fn spoil(answer: PullAnswer, fault: PullFault) -> PullAnswer {
    let generation = match &answer {
        PullAnswer::Nothing => return answer,
        PullAnswer::Delta(mark, _) | PullAnswer::Snapshot(mark, _) => mark.generation,
    };
    match fault {
        PullFault::Whole | PullFault::HalfAnswer => answer,
        PullFault::Truncated => change_bytes(answer, |bytes| bytes.truncate(bytes.len() / 2)),
        PullFault::Flipped => change_bytes(answer, flip_record),
        PullFault::Unclosed => snapshot_answer(&unclosed_snapshot(generation)),
        PullFault::Other => snapshot_answer(&other_snapshot(generation)),
        PullFault::Older => snapshot_answer(&other_snapshot(1)),
        PullFault::OlderRenamed => {
            let (PullAnswer::Delta(mark, _) | PullAnswer::Snapshot(mark, _)) = answer else {
                return PullAnswer::Nothing;
            };
            PullAnswer::Snapshot(mark, EncodedBytes(other_snapshot(1).encode()))
        }
        PullFault::Nothing => PullAnswer::Nothing,
    }
}

fn change_bytes(answer: PullAnswer, change: impl Fn(&mut Vec<u8>)) -> PullAnswer {
    match answer {
        PullAnswer::Nothing => PullAnswer::Nothing,
        PullAnswer::Delta(mark, mut bytes) => {
            change(&mut bytes.0);
            PullAnswer::Delta(mark, bytes)
        }
        PullAnswer::Snapshot(mark, mut bytes) => {
            change(&mut bytes.0);
            PullAnswer::Snapshot(mark, bytes)
        }
    }
}

/// Changes a letter of the name of the newest route, which keeps the bytes decodable.
fn flip_record(bytes: &mut Vec<u8>) {
    if let Ok(mut delta) = SnapshotDelta::decode(bytes) {
        for route in &mut delta.routes {
            route.prefix = format!("{}x", route.prefix).into();
        }
        *bytes = delta.encode();
    } else if let Some(last) = bytes.last_mut() {
        *last ^= 1;
    }
}

fn other_snapshot(generation: Generation) -> ConfigSnapshot {
    let now = std::time::SystemTime::now();
    let records = parse_records(&one_route("other"), now).expect("records");
    let mut snapshot = ConfigSnapshot::default()
        .with_records(records)
        .expect("closed");
    snapshot.generation = generation;
    snapshot
}

fn unclosed_snapshot(generation: Generation) -> ConfigSnapshot {
    let mut snapshot = other_snapshot(generation);
    snapshot.versions.clear();
    snapshot
}

fn snapshot_answer(snapshot: &ConfigSnapshot) -> PullAnswer {
    PullAnswer::Snapshot(snapshot.mark(), EncodedBytes(snapshot.encode()))
}

/// A fleet in which all peers of the last daemon, in the south, are reached through proxies.
fn start_behind_proxies(south: usize, fault: PullFault) -> (LocalFleet, Vec<PullProxy>) {
    static LOGGER: std::sync::Once = std::sync::Once::new();
    LOGGER.call_once(|| {
        log::set_logger(&LINES).expect("the only logger");
        log::set_max_level(log::LevelFilter::Info);
    });
    let count = south + 1;
    let mut regions = vec!["south"; count];
    regions[0] = "north";
    let fleet = LocalFleet::start_with(&regions, &["stalls", "stock"].map(one_route));
    let victim = count - 1;
    let mut proxies = Vec::new();
    for index in 0..victim {
        let proxy = PullProxy::start(fleet.control(index), fault);
        fleet
            .net
            .set_detour(fleet.control(victim), fleet.control(index), proxy.address);
        proxies.push(proxy);
    }
    (fleet, proxies)
}

#[test]
fn broken_configuration_is_refused_whole_and_the_right_one_follows() {
    let cases = [
        (PullFault::Truncated, "refused: truncated"),
        (PullFault::HalfAnswer, ""),
        (PullFault::Flipped, "refused: wrong digest"),
        (PullFault::Unclosed, "refused: wrong digest"),
        (PullFault::Other, "refused: wrong digest"),
        (PullFault::Older, ""),
        (PullFault::OlderRenamed, "refused: wrong digest"),
        (PullFault::Nothing, ""),
    ];
    let (fleet, proxies) = start_behind_proxies(1, PullFault::Whole);
    let victim = 1;
    fleet.net.set_store_far(true);
    for (number, (fault, reason)) in cases.into_iter().enumerate() {
        let generation = 3 + number as u64;
        proxies[0].set_fault(fault);
        let before = proxies[0].pulls();
        fleet.accept(&one_route(&format!("yard{number}")));
        wait_for("generation in the north", CONVERGENCE_TARGET, || {
            fleet.serves(0, generation)
        });
        wait_for("three broken answers", PATIENCE, || {
            proxies[0].pulls() >= before + 3
        });
        let start = std::time::Instant::now();
        wait_for("the earlier generation stays", PATIENCE, || {
            let status = fleet.daemons[victim].status();
            assert!(status.is_serving, "{fault:?}");
            assert_eq!(status.generation, generation - 1, "{fault:?}");
            start.elapsed() > BROKEN_TIME / 4
        });
        if !reason.is_empty() {
            let line = format!("generation {generation} {reason}");
            assert!(logged(&line), "{fault:?}: no line with {line:?}");
        }
        proxies[0].set_fault(PullFault::Whole);
        wait_for("the right one", CONVERGENCE_TARGET, || {
            fleet.serves(victim, generation)
        });
    }
}

#[test]
fn three_broken_peers_do_not_keep_the_right_configuration_away() {
    let (fleet, proxies) = start_behind_proxies(5, PullFault::Whole);
    let victim = 5;
    fleet.net.set_store_far(true);
    // The first three that the daemon asks are broken for good, whoever they are.
    for proxy in &proxies {
        proxy.set_fault(PullFault::Truncated);
    }
    let before: Vec<u64> = proxies.iter().map(PullProxy::pulls).collect();
    fleet.accept(&one_route("fodder"));
    let mut broken = HashSet::new();
    wait_for("three peers asked", PATIENCE, || {
        for (index, proxy) in proxies.iter().enumerate() {
            if broken.len() < 3 && proxy.pulls() > before[index] {
                broken.insert(index);
            }
        }
        broken.len() >= 3
    });
    for (index, proxy) in proxies.iter().enumerate() {
        if !broken.contains(&index) {
            proxy.set_fault(PullFault::Whole);
        }
    }
    let took = wait_for("the right one", CONVERGENCE_TARGET, || {
        fleet.serves(victim, 3)
    });
    println!(
        "in force after {took:?} beside {} broken peers",
        broken.len()
    );
}

#[test]
fn right_configuration_comes_from_the_store_when_every_peer_is_broken() {
    let (fleet, proxies) = start_behind_proxies(2, PullFault::Whole);
    for proxy in &proxies {
        proxy.set_fault(PullFault::Truncated);
    }
    fleet.accept(&one_route("fodder"));
    let took = wait_for("the right one", CONVERGENCE_TARGET, || fleet.serves(2, 3));
    println!("in force after {took:?} without a sound peer");
}

#[test]
fn unclosed_configuration_in_the_store_is_refused_by_every_daemon() {
    use coltsfootweir::accept::snapshot_object;
    use coltsfootweir::head_row::HeadRow;
    use coltsfootweir::platform::PlatformStore;
    use coltsfootweir::platform::WriteBatch;
    let (fleet, _proxies) = start_behind_proxies(1, PullFault::Whole);
    let publish = |snapshot: &ConfigSnapshot| {
        let mark: HeadMark = snapshot.mark();
        fleet
            .platform
            .put_object(&snapshot_object(&mark), &snapshot.encode())
            .expect("stored");
        let head = HeadRow::read(&fleet.platform).expect("the head");
        let write_id = format!("test-{}", snapshot.generation).into();
        let writes = vec![head.advance(&mark, &write_id)];
        fleet
            .platform
            .commit(&WriteBatch { write_id, writes })
            .expect("committed");
    };
    publish(&unclosed_snapshot(3));
    wait_for("it is refused and named", CONVERGENCE_TARGET, || {
        logged("generation 3 refused: not closed") && logged("route/other")
    });
    for daemon in &fleet.daemons {
        let status = daemon.status();
        assert!(status.is_serving && status.generation == 2, "{status:?}");
    }
    wait_for(
        "the status of who read it names it",
        CONVERGENCE_TARGET,
        || {
            fleet.daemons.iter().any(|daemon| {
                let refused = daemon.status().refused.unwrap_or_default();
                refused.starts_with("generation 3 refused: not closed")
            })
        },
    );
    let right = other_snapshot(4);
    RouteTable::compile(&right).expect("closed");
    publish(&right);
    wait_for("generation 4", CONVERGENCE_TARGET, || {
        (0..2).all(|index| fleet.serves(index, 4))
    });
}
