//! The link between a client and a daemon: a delay each way, a rate and a small window.

use std::collections::VecDeque;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::socket::connect_as_remote;

/// A link from clients to a daemon.
#[derive(Clone, Copy)]
pub struct LinkTerms {
    /// Delay each way.
    pub delay: Duration,
    /// Bytes a second towards the client.
    pub rate: f64,
    /// Bytes that the client's side takes before it is read.
    pub window: i32,
}

/// Most bytes that pass the link at once.
const PIECE: usize = 1460;

/// Bytes on their way, with the time at which they arrive; an empty part is the end.
#[derive(Default)]
struct Flight {
    parts: Mutex<VecDeque<(Instant, Vec<u8>)>>,
    changed: Condvar,
}

/// Starts a link to `daemon` and returns its address for the clients.
pub fn start_link(ip: &str, daemon: SocketAddr, terms: LinkTerms) -> Result<SocketAddr, String> {
    let listener = TcpListener::bind((ip, 0)).map_err(|error| error.to_string())?;
    let address = listener.local_addr().map_err(|error| error.to_string())?;
    // All connections share the rate.
    let free_at = Arc::new(Mutex::new(Instant::now()));
    std::thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let Ok(server) = connect_as_remote(daemon, terms.window) else {
                continue;
            };
            let _ = (client.set_nodelay(true), server.set_nodelay(true));
            let free_at = Arc::clone(&free_at);
            carry(&client, &server, terms.delay, None);
            carry(&server, &client, terms.delay, Some((terms.rate, free_at)));
        }
    });
    Ok(address)
}

/// Carries the bytes of one direction. If the source is reset, what has passed still arrives, and the
/// other side ends after it.
fn carry(
    from: &TcpStream,
    to: &TcpStream,
    delay: Duration,
    pace: Option<(f64, Arc<Mutex<Instant>>)>,
) {
    let (Ok(mut from), Ok(mut to)) = (from.try_clone(), to.try_clone()) else {
        return;
    };
    let flight = Arc::new(Flight::default());
    let arriving = Arc::clone(&flight);
    std::thread::spawn(move || {
        let mut bytes = [0; PIECE];
        loop {
            let count = from.read(&mut bytes).unwrap_or(0);
            if let Some((rate, free_at)) = &pace {
                let until = {
                    let mut free_at = free_at.lock().expect("no holder panicked");
                    let start = (*free_at).max(Instant::now());
                    *free_at = start + Duration::from_secs_f64(count as f64 / rate);
                    *free_at
                };
                std::thread::sleep(until.saturating_duration_since(Instant::now()));
            }
            let part = (Instant::now() + delay, bytes[..count].to_vec());
            flight
                .parts
                .lock()
                .expect("no holder panicked")
                .push_back(part);
            flight.changed.notify_one();
            if count == 0 {
                return;
            }
        }
    });
    std::thread::spawn(move || {
        loop {
            let mut parts = arriving.parts.lock().expect("no holder panicked");
            let (at, bytes) = loop {
                if let Some(part) = parts.pop_front() {
                    break part;
                }
                parts = arriving.changed.wait(parts).expect("no holder panicked");
            };
            drop(parts);
            std::thread::sleep(at.saturating_duration_since(Instant::now()));
            if bytes.is_empty() || to.write_all(&bytes).is_err() {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
        }
    });
}
