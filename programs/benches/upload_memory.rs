//! Peak memory of sidecars with uploads of the largest size on many connections, under the memory setting
//! of a small VM: the bytes that the processes hold against the bytes of the bodies.

#[path = "../tests/common/mod.rs"]
mod common;
#[path = "../tests/sidecar/mod.rs"]
mod sidecar;

use std::time::Duration;

use common::caller::CallSpec;
use common::caller::call_once;
use common::caller_threads::pause;
use common::caller_threads::run_callers;
use sidecar::sidecar_fleet::ConfigTerms;
use sidecar::sidecar_fleet::HORSES;
use sidecar::sidecar_fleet::STALLS;
use sidecar::sidecar_fleet::SidecarFleet;
use sidecar::sidecar_fleet::SidecarTerms;
use sidecar::sidecar_fleet::request;

/// Memory of the smallest VM of the design, in MB.
const MEMORY_MB: u64 = 160;

/// Largest body that the configuration of the examples allows.
const LARGEST_BODY: usize = 67_108_864;

/// Connections that send a body at the same time: together more than three times the memory.
const CONNECTIONS: usize = 8;

/// Uploads on each connection, one after the other.
const ROUNDS: usize = 3;

/// Time limit of an upload, in milliseconds.
const TIME_LIMIT_MS: u64 = 30_000;

/// Pause between two readings of the bytes that a sidecar accounts for.
const SAMPLE_PAUSE: Duration = Duration::from_millis(5);

/// Bytes of a MB.
const MB: f64 = 1_000_000.0;

fn start_fleet() -> SidecarFleet {
    let terms = SidecarTerms {
        limits: format!("memory_mb = {MEMORY_MB}\nmax_fds = 4100"),
        ..SidecarTerms::default()
    };
    let fleet = SidecarFleet::start_with(&terms, &[(HORSES, "v1"), (STALLS, "v1")]);
    let config = ConfigTerms {
        routes: format!(
            r#",{{"name":"put","authority":"test","prefix":"/put/","kind":"upload",
            "timeout_ms":{TIME_LIMIT_MS},"target_latency_ms":20000,"priority":1,"service":"stalls",
            "attempts":2}}"#
        ),
        limits: format!(
            r#"{{"max_header_bytes":16384,"max_body_bytes":{LARGEST_BODY},
            "header_timeout_ms":3000,"idle_timeout_ms":15000}}"#
        ),
        ..ConfigTerms::default()
    };
    fleet.put_config_with(1, &config);
    fleet.wait_config(1);
    fleet.wait_endpoints();
    fleet
}

/// Measures bodies of `length` bytes that go from the first sidecar to the endpoint of the second one.
fn measure(length: usize) {
    let fleet = start_fleet();
    let ingress = &fleet.sidecars[0];
    ingress.get("/free/ok", "first");
    let idle: Vec<u64> = fleet.sidecars.iter().map(|one| one.peak_memory()).collect();
    let body = vec![b'x'; length];
    let mut held = vec![0; fleet.sidecars.len()];
    let mut statuses = Vec::new();
    std::thread::scope(|scope| {
        let uploads = scope.spawn(|| {
            run_callers(CONNECTIONS, |caller| {
                let mut statuses = Vec::new();
                for round in 0..ROUNDS {
                    let spec = CallSpec {
                        body: body.clone(),
                        ..request(
                            "POST",
                            "/put/ok",
                            &format!("{caller}-{round}"),
                            TIME_LIMIT_MS,
                        )
                    };
                    let answer = call_once(ingress.requests, &spec).whole();
                    statuses.push(answer.map_or(0, |answer| answer.status));
                }
                statuses
            })
        });
        while !uploads.is_finished() {
            for (most, sidecar) in held.iter_mut().zip(&fleet.sidecars) {
                *most = sidecar.gauge("bodies_held_bytes").max(*most);
            }
            pause(SAMPLE_PAUSE);
        }
        for ended in uploads.join().expect("no panic") {
            statuses.extend(ended);
        }
    });
    let served = statuses.iter().filter(|status| **status == 200).count();
    let refused = statuses.iter().filter(|status| **status == 503).count();
    let other = statuses.len() - served - refused;
    for (index, sidecar) in fleet.sidecars.iter().enumerate() {
        let peak = sidecar.peak_memory();
        let bodies = held[index] as f64 / MB;
        let used = peak.saturating_sub(idle[index]) as f64 / MB;
        println!(
            "| {} | {} | {bodies:.1} | {:.1} | {used:.1} | {:.2} | {served} | {refused} | {other} |",
            length,
            if index == 0 { "ingress" } else { "guard" },
            peak as f64 / MB,
            used / bodies,
        );
    }
}

fn main() {
    println!("{MEMORY_MB} MB, {CONNECTIONS} connections, {ROUNDS} uploads on each");
    println!("| body | daemon | bodies MB | peak MB | above idle MB | ratio | 200 | 503 | other |");
    println!("|---|---|---|---|---|---|---|---|---|");
    for length in [LARGEST_BODY, LARGEST_BODY / 4, LARGEST_BODY / 16] {
        measure(length);
    }
}
