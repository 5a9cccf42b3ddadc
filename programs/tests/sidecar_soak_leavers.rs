//! Soak of sidecar processes with callers that leave, requests that crash endpoints, and limits on clients that
//! change under open connections, while daemons stand still and are killed. See docs/OPERATIONS.md.

mod common;
mod sidecar;

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::Value;

use common::caller::CallSpec;
use common::caller::KeptCaller;
use common::caller_threads::pause;
use sidecar::mesh_endpoint::MeshEndpoint;
use sidecar::sidecar_fleet::ConfigTerms;
use sidecar::sidecar_fleet::HORSES;
use sidecar::sidecar_fleet::STALLS;
use sidecar::sidecar_fleet::SidecarFleet;
use sidecar::sidecar_fleet::SidecarProcess;
use sidecar::sidecar_fleet::request;

/// Seeds played each time.
const SHORT_SEEDS: [u64; 2] = [1, 2];

/// Soaks by hand that are played at once.
const SOAKS_AT_ONCE: u64 = 3;

const SOAK_TIME: Duration = Duration::from_secs(14);

/// Time after which a machine is in touch again, as in the settings.
const STABILITY: Duration = Duration::from_secs(4);

/// Time in which a configuration is in force on all daemons, and the longest time for which one stands still.
const APPLY_TIME: Duration = Duration::from_millis(2_500);
const STILL_MS: u64 = 800;

/// Retries of a request that crashes endpoints which may reach one after its third crash.
const MAX_RETRIES: usize = 3;

/// Path of the request that crashes endpoints 250 ms after its begin.
const POISON: &str = "/free/crash";

/// Bytes of a head beside the header of drawn length, at most.
const OTHER_BYTES: usize = 1_000;

/// Limits on heads, in bytes; all allow ordinary requests.
const HEAD_LIMITS: [u32; 3] = [16_384, 32_768, 65_536];

/// A configuration: when it was acknowledged, and its limit on heads.
type LimitChange = (Instant, u32);

/// A head that was refused: when it was sent and answered, and its size.
type RefusedHead = (Instant, Instant, usize);

/// Returns a pause between two bounds in milliseconds.
fn drawn(random: &mut ChaCha8Rng, least: u64, most: u64) -> Duration {
    Duration::from_millis(random.random_range(least..most))
}

/// Sends a request to a daemon, if it listens, and leaves after some time.
fn send_for(address: SocketAddr, spec: &CallSpec, patience: Duration) {
    // It fails if the daemon was killed a moment ago.
    let stream = TcpStream::connect(address).and_then(|mut stream| {
        stream.write_all(&spec.encode())?;
        Ok(stream)
    });
    pause(patience);
    drop(stream);
}

/// Sends copies of the poison to all daemons and leaves them before the crash.
fn send_poison(addresses: &[SocketAddr], seed: u64, is_over: &AtomicBool) {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ 1);
    let mut number = 0;
    while !is_over.load(Ordering::Relaxed) {
        number += 1;
        let spec = request("GET", POISON, &format!("poison-{number}"), 1_000);
        let patience = drawn(&mut random, 20, 200);
        send_for(
            addresses[random.random_range(0..addresses.len())],
            &spec,
            patience,
        );
        // Nobody waits for another copy when the endpoint crashes.
        pause(drawn(&mut random, 250, 500));
    }
}

/// Sends requests of their own paths and leaves them, too.
fn send_and_leave(addresses: &[SocketAddr], seed: u64, is_over: &AtomicBool) {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ 2);
    let mut number = 0;
    while !is_over.load(Ordering::Relaxed) {
        number += 1;
        let id = format!("leaver-{number}");
        let spec = request("GET", &format!("/free/{id}/slow"), &id, 1_000);
        let patience = drawn(&mut random, 10, 150);
        send_for(
            addresses[random.random_range(0..addresses.len())],
            &spec,
            patience,
        );
    }
}

/// Sends heads of all sizes that may come, on kept connections; returns those that were refused for good.
fn send_heads(
    addresses: &[SocketAddr],
    seed: u64,
    (changes, is_over): (&Mutex<Vec<LimitChange>>, &AtomicBool),
) -> Vec<RefusedHead> {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ 3);
    let mut kept: Vec<_> = addresses.iter().copied().map(KeptCaller::new).collect();
    let mut refused = Vec::new();
    let mut number = 0;
    while !is_over.load(Ordering::Relaxed) {
        number += 1;
        let caller = random.random_range(0..kept.len());
        let sent = Instant::now();
        let least = least_limit(&changes.lock().expect("no holder panicked"), sent, sent);
        let trace = "t".repeat(random.random_range(1_000..least as usize - OTHER_BYTES));
        let id = format!("head-{number}");
        let spec = request("GET", "/free/ok", &id, 1_000).with("x-trace", trace);
        let answer = kept[caller].call(&spec).whole();
        if answer.is_some_and(|answer| answer.status == 431) {
            refused.push((sent, Instant::now(), spec.encode().len()));
        }
        pause(drawn(&mut random, 5, 30));
    }
    refused
}

/// What was done to the daemons.
#[derive(Default)]
struct Disturbance {
    changes: Mutex<Vec<LimitChange>>,
    kills: AtomicUsize,
}

impl Disturbance {
    /// Changes the limit on heads.
    fn change(&self, fleet: &SidecarFleet, limit: u32) {
        let mut changes = self.changes.lock().expect("no holder panicked");
        let terms = ConfigTerms {
            limits: format!(
                r#"{{"max_header_bytes":{limit},"max_body_bytes":65536,"header_timeout_ms":3000,
                "idle_timeout_ms":15000}}"#
            ),
            ..ConfigTerms::default()
        };
        fleet.put_config_with(changes.len() as u64 + 2, &terms);
        changes.push((Instant::now(), limit));
    }

    /// Changes limits, and has daemons stand still and start again, until the time is over.
    fn go_on(&self, fleet: &mut SidecarFleet, seed: u64) {
        let mut random = ChaCha8Rng::seed_from_u64(seed ^ 4);
        let until = Instant::now() + SOAK_TIME;
        let mut next_change = Instant::now() + drawn(&mut random, 500, 2_000);
        while Instant::now() < until {
            if Instant::now() >= next_change {
                let limit = HEAD_LIMITS[random.random_range(0..HEAD_LIMITS.len())];
                self.change(fleet, limit);
                next_change = Instant::now() + drawn(&mut random, 500, 8_000);
            }
            pause(drawn(&mut random, 50, 900));
            let count = fleet.sidecars.len();
            let sidecar = &mut fleet.sidecars[random.random_range(0..count)];
            match random.random_range(0..6) {
                // Without kills, the bound on retries is exact.
                0 if seed.is_multiple_of(2) => {
                    self.kills.fetch_add(1, Ordering::Relaxed);
                    sidecar.kill();
                    pause(drawn(&mut random, 50, 600));
                    sidecar.restart();
                }
                0..4 => {
                    sidecar.signal("STOP");
                    pause(drawn(&mut random, 50, STILL_MS));
                    sidecar.signal("CONT");
                }
                _ => sidecar.signal("HUP"),
            }
        }
    }
}

/// Returns the smallest limit that may be in force somewhere between two times.
fn least_limit(changes: &[LimitChange], from: Instant, to: Instant) -> u32 {
    let mut least = HEAD_LIMITS[0];
    let mut is_first = true;
    for (index, (acked, limit)) in changes.iter().enumerate() {
        let lag = APPLY_TIME + Duration::from_millis(STILL_MS);
        let ends = changes.get(index + 1).map(|(next, _)| *next + lag);
        if *acked > to || ends.is_some_and(|ends| ends < from) {
            continue;
        }
        least = if is_first { *limit } else { least.min(*limit) };
        is_first = false;
    }
    least
}

/// Plays a seed; returns what was broken.
fn play(seed: u64) -> Vec<String> {
    let services = [HORSES, STALLS, STALLS, STALLS, STALLS].map(|service| (service, "v1"));
    let mut fleet = SidecarFleet::start_ready(&services);
    let addresses: Vec<_> = fleet.sidecars.iter().map(|one| one.requests).collect();
    let is_over = AtomicBool::new(false);
    let disturbance = Disturbance::default();
    // The limit of the fleet's first configuration.
    disturbance.change(&fleet, HEAD_LIMITS[0]);
    let mut refused = Vec::new();
    std::thread::scope(|scope| {
        scope.spawn(|| send_poison(&addresses, seed, &is_over));
        scope.spawn(|| send_and_leave(&addresses, seed, &is_over));
        let heads = scope.spawn(|| send_heads(&addresses, seed, (&disturbance.changes, &is_over)));
        disturbance.go_on(&mut fleet, seed);
        is_over.store(true, Ordering::Relaxed);
        refused = heads.join().expect("no panic");
    });
    let kills = disturbance.kills.into_inner();
    let changes = disturbance.changes.into_inner();
    let changes = changes.expect("no holder panicked");
    let mut faults = Vec::from_iter(late_retries(&fleet, kills));
    faults.extend(refused_innocents(&fleet));
    for (sent, answered, size) in &refused {
        let least = least_limit(&changes, *sent, *answered);
        if *size <= least as usize {
            faults.push(format!(
                "a head of {size} bytes was refused, {least} may come"
            ));
        }
    }
    println!(
        "seed {seed}: {} changes, {} kills, {} heads refused, {} faults",
        changes.len(),
        kills,
        refused.len(),
        faults.len()
    );
    if !faults.is_empty() {
        let file = std::env::temp_dir().join(format!("leavers-{}-{seed}.log", std::process::id()));
        let logs = fleet.sidecars.iter().map(SidecarProcess::all_lines);
        let logs: Vec<String> = logs.collect();
        std::fs::write(&file, logs.join("\n")).expect("a file for the logs");
        println!("seed {seed}: logs are in {}", file.display());
    }
    faults
        .into_iter()
        .map(|fault| format!("seed {seed}: {fault}"))
        .collect()
}

/// Returns a fault if the poison reached endpoints too often after its third crash. What only a killed daemon
/// knew is lost with it: a crash of its endpoint, and for a moment those of others.
fn late_retries(fleet: &SidecarFleet, kills: usize) -> Option<String> {
    let mut crashes: Vec<_> = fleet
        .endpoints
        .iter()
        .flat_map(MeshEndpoint::crashes)
        .collect();
    crashes.sort();
    if crashes.len() < 2 {
        return Some(format!("only {} crashes", crashes.len()));
    }
    let third = *crashes.get(2)?;
    let mut late = 0;
    for endpoint in &fleet.endpoints {
        let seen = endpoint.seen();
        let seen = seen.iter().filter(|seen| seen.path == POISON);
        late += seen.filter(|seen| seen.at > third + STABILITY).count();
    }
    let most = MAX_RETRIES + 2 * kills;
    (late > most).then(|| format!("{late} late retries, {most} may come"))
}

/// Returns the requests that were refused as ones that crash endpoints and are not.
fn refused_innocents(fleet: &SidecarFleet) -> Vec<String> {
    let mut faults = Vec::new();
    for sidecar in &fleet.sidecars {
        for line in sidecar.all_lines().lines() {
            let line: Value = serde_json::from_str(line).unwrap_or_default();
            let event = &line["event"];
            let id = event["request"].as_str().unwrap_or_default();
            if event["cause"] == "crashes_endpoints" && !id.starts_with("poison") {
                faults.push(format!("{id} was refused as one that crashes endpoints"));
            }
        }
    }
    faults
}

#[test]
fn callers_that_leave_and_limits_that_change_break_no_promise() {
    let mut faults = Vec::new();
    std::thread::scope(|scope| {
        let soaks = SHORT_SEEDS.map(|seed| scope.spawn(move || play(seed)));
        for soak in soaks {
            faults.extend(soak.join().expect("no panic"));
        }
    });
    assert!(faults.is_empty(), "{faults:#?}");
}

/// Plays `COLTSFOOTWEIR_SOAK_SEEDS`, such as `100..150`.
#[test]
#[ignore = "takes minutes; for runs by hand"]
fn seeds_of_leavers_by_hand() {
    let text = std::env::var("COLTSFOOTWEIR_SOAK_SEEDS").expect("a range of seeds");
    let (first, end) = text.split_once("..").expect("FIRST..END");
    let [first, end] = [first, end].map(|text| text.parse::<u64>().expect("a number"));
    let faults = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for place in 0..SOAKS_AT_ONCE {
            let faults = &faults;
            scope.spawn(move || {
                for seed in (first..end).filter(|seed| seed % SOAKS_AT_ONCE == place) {
                    let found = play(seed);
                    faults.lock().expect("no holder panicked").extend(found);
                }
            });
        }
    });
    let faults = faults.into_inner().expect("no holder panicked");
    assert!(faults.is_empty(), "{faults:#?}");
}
