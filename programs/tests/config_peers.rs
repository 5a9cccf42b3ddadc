//! Peers that give broken configurations: each is refused whole and named, and the right one arrives
//! from elsewhere.

mod common;

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
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

use common::CONVERGENCE_TARGET;
use common::PATIENCE;
use common::hold_for;
use common::local_fleet::LocalFleet;
use common::post_proxy::PostProxy;
use common::post_proxy::pass_on;
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
    let lines = LINES.0.lock().expect("lines");
    lines.iter().any(|line| line.contains(text))
}

/// Stands between one daemon and a peer; changes pulled configurations, passes on all else.
struct PullProxy {
    proxy: PostProxy,
    fault: Arc<Mutex<PullFault>>,
    pulls: Arc<AtomicU64>,
}

impl PullProxy {
    fn start(peer: SocketAddr) -> PullProxy {
        let fault = Arc::new(Mutex::new(PullFault::Whole));
        let pulls = Arc::new(AtomicU64::new(0));
        let (own_fault, own_pulls) = (Arc::clone(&fault), Arc::clone(&pulls));
        let proxy = PostProxy::start(move |path, body| {
            let fault = *own_fault.lock().expect("fault");
            if path != PULL_PATH {
                return pass_on(peer, path, body);
            }
            own_pulls.fetch_add(1, Ordering::Relaxed);
            let answer = pass_on(peer, path, body)?;
            Some(spoil_bytes(&answer, fault))
        });
        PullProxy {
            proxy,
            fault,
            pulls,
        }
    }

    fn set_fault(&self, fault: PullFault) {
        *self.fault.lock().expect("fault") = fault;
    }

    fn pulls(&self) -> u64 {
        self.pulls.load(Ordering::Relaxed)
    }
}

fn spoil_bytes(bytes: &[u8], fault: PullFault) -> Vec<u8> {
    let answer = rmp_serde::from_slice(bytes).expect("a pull answer");
    let mut bytes = rmp_serde::to_vec(&spoil(answer, fault)).expect("a pull answer");
    if fault == PullFault::HalfAnswer {
        bytes.truncate(bytes.len() / 2);
    }
    bytes
}

fn spoil(answer: PullAnswer, fault: PullFault) -> PullAnswer {
    let (PullAnswer::Delta(mark, _) | PullAnswer::Snapshot(mark, _)) = &answer else {
        return answer;
    };
    let generation = mark.generation;
    match fault {
        PullFault::Whole | PullFault::HalfAnswer => answer,
        PullFault::Truncated => change_bytes(answer, |bytes| bytes.truncate(bytes.len() / 2)),
        PullFault::Flipped => change_bytes(answer, flip_record),
        PullFault::Unclosed => snapshot_answer(&unclosed_snapshot(generation)),
        PullFault::Other => snapshot_answer(&other_snapshot(generation)),
        PullFault::Older => snapshot_answer(&other_snapshot(1)),
        PullFault::OlderRenamed => {
            PullAnswer::Snapshot(mark.clone(), EncodedBytes(other_snapshot(1).encode()))
        }
        PullFault::Nothing => PullAnswer::Nothing,
    }
}

fn change_bytes(mut answer: PullAnswer, change: impl Fn(&mut Vec<u8>)) -> PullAnswer {
    if let PullAnswer::Delta(_, bytes) | PullAnswer::Snapshot(_, bytes) = &mut answer {
        change(&mut bytes.0);
    }
    answer
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
    let snapshot = ConfigSnapshot::default().with_records(records);
    let mut snapshot = snapshot.expect("closed");
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
fn start_behind_proxies(south: usize) -> (LocalFleet, Vec<PullProxy>) {
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
        let (from, peer) = (fleet.control(victim), fleet.control(index));
        let proxy = PullProxy::start(peer);
        fleet.net.set_detour(from, peer, proxy.proxy.address);
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
    let (fleet, proxies) = start_behind_proxies(1);
    let victim = 1;
    fleet.net.set_store_far(true);
    for (number, (fault, reason)) in cases.into_iter().enumerate() {
        let generation = 3 + number as u64;
        proxies[0].set_fault(fault);
        let before = proxies[0].pulls();
        fleet.accept(&one_route(&format!("yard{number}")));
        fleet.wait_generation(&[0], generation, CONVERGENCE_TARGET);
        wait_for("three broken answers", PATIENCE, || {
            proxies[0].pulls() >= before + 3
        });
        hold_for("the earlier generation stays", BROKEN_TIME / 4, || {
            let status = fleet.daemons[victim].status();
            assert!(status.is_serving, "{fault:?}");
            assert_eq!(status.generation, generation - 1, "{fault:?}");
            true
        });
        if !reason.is_empty() {
            let line = format!("generation {generation} {reason}");
            assert!(logged(&line), "{fault:?}: no line with {line:?}");
        }
        proxies[0].set_fault(PullFault::Whole);
        fleet.wait_generation(&[victim], generation, CONVERGENCE_TARGET);
    }
}

#[test]
fn three_broken_peers_do_not_keep_the_right_configuration_away() {
    let (fleet, proxies) = start_behind_proxies(5);
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
    let took = fleet.wait_generation(&[victim], 3, CONVERGENCE_TARGET);
    println!("in force after {took:?} beside broken peers {broken:?}");
}

#[test]
fn right_configuration_comes_from_the_store_when_every_peer_is_broken() {
    let (fleet, proxies) = start_behind_proxies(2);
    for proxy in &proxies {
        proxy.set_fault(PullFault::Truncated);
    }
    fleet.accept(&one_route("fodder"));
    let took = fleet.wait_generation(&[2], 3, CONVERGENCE_TARGET);
    println!("in force after {took:?} without a sound peer");
}

#[test]
fn unclosed_configuration_in_the_store_is_refused_by_every_daemon() {
    use coltsfootweir::accept::snapshot_object;
    use coltsfootweir::head_row::HeadRow;
    use coltsfootweir::platform::PlatformStore;
    use coltsfootweir::platform::WriteBatch;
    let (fleet, _proxies) = start_behind_proxies(1);
    let publish = |snapshot: &ConfigSnapshot| {
        let mark: HeadMark = snapshot.mark();
        let (name, body) = (snapshot_object(&mark), snapshot.encode());
        fleet.platform.put_object(&name, &body).expect("stored");
        let head = HeadRow::read(&fleet.platform).expect("the head");
        let write_id = format!("test-{}", snapshot.generation).into();
        let writes = vec![head.advance(&mark, &write_id)];
        let batch = WriteBatch { write_id, writes };
        fleet.platform.commit(&batch).expect("committed");
    };
    publish(&unclosed_snapshot(3));
    wait_for("it is refused and named", CONVERGENCE_TARGET, || {
        logged("generation 3 refused: not closed") && logged("route/other")
    });
    for daemon in &fleet.daemons {
        let status = daemon.status();
        assert!(status.is_serving && status.generation == 2, "{status:?}");
    }
    wait_for("a status names it", CONVERGENCE_TARGET, || {
        let told = fleet.daemons.iter().map(|daemon| daemon.status().refused);
        let mut told = told.flatten();
        told.any(|text| text.starts_with("generation 3 refused: not closed"))
    });
    let right = other_snapshot(4);
    RouteTable::compile(&right).expect("closed");
    publish(&right);
    fleet.wait_generation(&[0, 1], 4, CONVERGENCE_TARGET);
}
