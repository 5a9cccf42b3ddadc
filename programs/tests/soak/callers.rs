//! Callers of a soak: threads that send requests to one daemon and keep what they saw.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::common::caller::CallSpec;
use crate::common::caller::KeptCaller;
use crate::common::caller::call_once;
use crate::common::caller_threads::pause;
use crate::sidecar::sidecar_fleet::request;

use super::SoakCall;
use super::teams::CAPPED_KEY;
use super::teams::FloodTime;
use super::teams::KeyChooser;
use super::teams::capped_pause;
use super::teams::with_key;

/// Pause of a caller between two requests.
const CALL_PAUSE: Duration = Duration::from_millis(15);

/// Body that does not fit into the buffers of a connection, and the pause between two of them.
const UPLOAD_BYTES: usize = 8 * 1024 * 1024;
const UPLOAD_PAUSE: Duration = Duration::from_millis(400);

/// Ways in which endpoints answer the soak's requests; the last part of their paths.
const ANSWERS: [&str; 13] = [
    "ok", "ok", "ok", "ok", "slow", "slow", "close", "cut", "shed", "garbage", "extra", "stale",
    "spoilt",
];

/// Starts a caller that keeps its connection until it is closed.
pub fn start_caller(
    address: SocketAddr,
    seed: u64,
    number: usize,
    mut chooser: Option<KeyChooser>,
    is_over: Arc<AtomicBool>,
) -> JoinHandle<Vec<SoakCall>> {
    std::thread::spawn(move || {
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ (number as u64 + 1));
        let mut kept = KeptCaller::new(address);
        kept.timeout = Duration::from_secs(4);
        let mut calls = Vec::new();
        while !is_over.load(Ordering::Relaxed) {
            let answer = ANSWERS[rng.random_range(0..ANSWERS.len())];
            let (method, prefix) = match rng.random_range(0..10) {
                0..4 => ("POST", "book"),
                4..8 => ("GET", "free"),
                _ => ("GET", "feed"),
            };
            let key = chooser.as_mut().and_then(KeyChooser::next_key);
            // Only one route is open to requests without a key; the others must refuse them.
            let prefix = match (&chooser, key, prefix) {
                (Some(_), None, "free") => "open",
                _ => prefix,
            };
            let path = format!("/{prefix}/{answer}");
            let id = format!("{number}-{}", calls.len());
            let spec = request(method, &path, &id, 1_500);
            let sent = Instant::now();
            let end = match &chooser {
                Some(_) => kept.call(&with_key(spec, key)),
                None => kept.call(&spec),
            };
            calls.push(SoakCall {
                id,
                key,
                sent,
                path,
                method,
                end,
            });
            pause(CALL_PAUSE);
        }
        calls
    })
}

/// Starts a caller of uploads that are answered early, without a length, and reset.
pub fn start_uploader(address: SocketAddr, is_over: Arc<AtomicBool>) -> JoinHandle<Vec<SoakCall>> {
    std::thread::spawn(move || {
        let mut calls = Vec::new();
        while !is_over.load(Ordering::Relaxed) {
            let id = format!("upload-{}", calls.len());
            let path = "/book/unframed-reset-12000".to_owned();
            let sent = Instant::now();
            let spec = CallSpec {
                body: vec![b'u'; UPLOAD_BYTES],
                ..request("POST", &path, &id, 1_500)
            };
            calls.push(SoakCall {
                id,
                key: None,
                sent,
                path,
                method: "POST",
                end: call_once(address, &spec),
            });
            pause(UPLOAD_PAUSE);
        }
        calls
    })
}

/// Starts a caller of the capped team, which sends far more than its cap during floods.
pub fn start_capped(
    address: SocketAddr,
    number: usize,
    floods: Vec<FloodTime>,
    is_over: Arc<AtomicBool>,
) -> JoinHandle<Vec<SoakCall>> {
    std::thread::spawn(move || {
        let start = Instant::now();
        let mut kept = KeptCaller::new(address);
        kept.timeout = Duration::from_secs(4);
        let mut calls = Vec::new();
        while !is_over.load(Ordering::Relaxed) {
            let id = format!("capped-{number}-{}", calls.len());
            let path = "/free/ok".to_owned();
            let sent = Instant::now();
            let spec = request("GET", &path, &id, 1_500);
            let end = kept.call(&with_key(spec, Some(CAPPED_KEY)));
            calls.push(SoakCall {
                id,
                key: Some(CAPPED_KEY),
                sent,
                path,
                method: "GET",
                end,
            });
            pause(capped_pause(&floods, start.elapsed()));
        }
        calls
    })
}
