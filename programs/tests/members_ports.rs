//! Wrong settings are named all at once, and what strangers send to a control port harms nothing.

mod common;

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::process::Command;
use std::process::Output;
use std::time::Duration;
use std::time::Instant;

use common::CONVERGENCE_TARGET;
use common::apply;
use common::hold_for;
use common::member_counts::live_ids;
use common::process_fleet::ProcessFleet;
use common::program_path;
use common::read_status;
use common::records::one_route;

/// Senders that stop half-way, beside each daemon.
const SLOW_SENDERS: usize = 8;

/// Time for which strangers are there, longer than the death of a silent member takes.
const STRANGE_TIME: Duration = Duration::from_secs(15);

/// Longest body the control port takes, in bytes.
const BODY_LIMIT: usize = 4 * 1024 * 1024;

fn run_daemon(arguments: &[&str]) -> (Output, String) {
    let output = Command::new(program_path("coltsfootweird"))
        .args(arguments)
        .env_clear()
        .output()
        .expect("the daemon ends by itself");
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    (output, text)
}

#[test]
fn every_wrong_setting_is_named_at_once() {
    let (output, text) = run_daemon(&[
        "--control=nowhere",
        "--calls=0.0.0.0:0",
        "--zone=a b",
        "--platform=10.0.0.1",
        "--seeds=127.0.0.1:1,here",
        "--statsd=there",
        "--log=loud",
        "--drain-limit=soon",
        "--queue-limit=-1",
        "--read-timeout=0s",
        "--move-dwell=x",
        "--move-settle=y",
    ]);
    assert_eq!(output.status.code(), Some(2), "{text}");
    let flags = "control calls region zone platform store-region seeds statsd log drain-limit \
        queue-limit read-timeout move-dwell move-settle";
    for flag in flags.split_whitespace() {
        let named = format!("--{flag}:");
        assert!(text.contains(&named), "{named} is not named:\n{text}");
    }
    assert!(output.stdout.is_empty(), "nothing was started");
}

#[test]
fn address_that_others_cannot_use_as_identity_is_refused() {
    let (output, text) = run_daemon(&[
        "--control=0.0.0.0:0",
        "--region=north",
        "--zone=a",
        "--platform=127.0.0.1:1",
        "--store-region=north",
        // Ends the program also where the address is not refused.
        "--move-settle=never",
    ]);
    assert_eq!(output.status.code(), Some(2), "{text}");
    assert!(text.contains("--control"), "{text}");
}

#[test]
fn port_in_use_is_a_clear_error() {
    let holder = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = holder.local_addr().expect("its address");
    for flag in ["control", "calls"] {
        let (output, text) = run_daemon(&[
            &format!("--{flag}={address}"),
            "--region=north",
            "--zone=a",
            "--platform=127.0.0.1:1",
            "--store-region=north",
        ]);
        assert_eq!(output.status.code(), Some(1), "{text}");
        let wanted = format!("address {address} could not be bound");
        assert!(text.contains(&wanted), "{flag}: {text}");
    }
}

fn connect(address: SocketAddr, bytes: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(address).expect("connected");
    let _ = stream.set_write_timeout(Some(Duration::from_secs(1)));
    let _ = stream.write_all(bytes);
    stream
}

/// Connections that stop half-way through a head or a body.
fn stop_half_way(address: SocketAddr) -> Vec<TcpStream> {
    let mut streams = Vec::new();
    for _ in 0..SLOW_SENDERS {
        for rest in [
            "gossip HTTP/1.1\r\nHost: x\r\nConte",
            "gossip HTTP/1.1\r\nHost: x\r\nContent-Length: 900\r\n\r\nabc",
            "gossip HTTP/1.1\r\nHost: x\r\nContent-Length: 9000\r\n\r\nabc",
            "pull HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
        ] {
            streams.push(connect(address, format!("POST /{rest}").as_bytes()));
        }
    }
    streams
}

fn send_garbage(address: SocketAddr, round: u8) {
    // The first byte begins no message of any kind.
    let mut noise = vec![0xc1];
    noise.extend((0..4096u32).map(|n| (n * 7 + u32::from(round)) as u8));
    drop(connect(address, &noise));
    for path in ["/gossip", "/pull", "/announce", "/nothing"] {
        let request = minreq::post(format!("http://{address}{path}"));
        let request = request
            .with_header("Connection", "close")
            .with_body(noise.clone());
        if let Ok(answer) = request.with_timeout(5).send() {
            let status = answer.status_code;
            assert!((400..500).contains(&status), "{path}: {status}");
        }
    }
}

#[test]
fn strangers_on_the_control_port_leave_the_fleet_whole() {
    let fleet = ProcessFleet::start(6);
    let all: Vec<usize> = (0..6).collect();
    let mut held = Vec::new();
    for index in &all {
        held.extend(stop_half_way(fleet.control(*index)));
    }
    let first = fleet.control(0);
    let length = BODY_LIMIT * 2;
    let huge = format!("POST /gossip HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n\r\n");
    let mut bytes = huge.into_bytes();
    bytes.resize(bytes.len() + length, b'x');
    held.push(connect(first, &bytes));

    let start = Instant::now();
    let mut round = 0u8;
    hold_for("strangers", STRANGE_TIME, || {
        round = round.wrapping_add(1);
        send_garbage(first, round);
        // The fleet is looked at once those would be dead that had fallen silent.
        start.elapsed() < STRANGE_TIME * 2 / 3
            || all.iter().all(|index| {
                let status = read_status(fleet.control(*index)).or_else(|| fleet.status(*index));
                status.is_some_and(|status| live_ids(&status).len() == all.len())
            })
    });
    apply(fleet.platform.address, &one_route("stalls"));
    fleet.wait_generation(&all, 1, CONVERGENCE_TARGET);
    drop(held);
}
