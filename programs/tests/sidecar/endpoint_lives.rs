//! Lives of an endpoint that crashes and is back after some time.

use std::io::ErrorKind;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::Weak;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::common::caller_threads::pause;

/// Time from a crash until the endpoint listens again.
const AWAY: Duration = Duration::from_millis(900);

/// Pause between two tries to listen at the address of before.
const BIND_PAUSE: Duration = Duration::from_millis(20);

/// Connections from which on those that have ended are forgotten.
const FORGET_COUNT: usize = 64;

/// Lives of an endpoint.
#[derive(Default)]
pub struct EndpointLives {
    streams: Mutex<Vec<Weak<TcpStream>>>,
    is_down: AtomicBool,
    ended: AtomicU64,
    crashes: Mutex<Vec<Instant>>,
}

impl EndpointLives {
    /// Hands connections to `serve`, over all lives.
    pub fn accept(&self, mut listener: TcpListener, serve: impl Fn(Arc<TcpStream>)) {
        let address = listener.local_addr().expect("an address");
        loop {
            for stream in listener.incoming().flatten() {
                if self.is_down() {
                    break;
                }
                let stream = Arc::new(stream);
                self.keep(&stream);
                serve(stream);
            }
            drop(listener);
            pause(AWAY);
            listener = listen_again(address);
            self.ended.fetch_add(1, Ordering::Relaxed);
            self.is_down.store(false, Ordering::Relaxed);
        }
    }

    /// Ends the present life: its connections break and its port is closed.
    pub fn crash(&self, address: SocketAddr) {
        if self.is_down.swap(true, Ordering::Relaxed) {
            return;
        }
        let mut crashes = self.crashes.lock().expect("no holder panicked");
        crashes.push(Instant::now());
        drop(crashes);
        for stream in self.streams.lock().expect("no holder panicked").drain(..) {
            if let Some(stream) = stream.upgrade() {
                // The other side may have closed it.
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
        // Wakes the thread that accepts connections.
        let _ = TcpStream::connect(address);
    }

    /// Whether the endpoint is between two lives.
    pub fn is_down(&self) -> bool {
        self.is_down.load(Ordering::Relaxed)
    }

    /// Number of lives that have ended.
    pub fn ended(&self) -> u64 {
        self.ended.load(Ordering::Relaxed)
    }

    pub fn crashes(&self) -> Vec<Instant> {
        self.crashes.lock().expect("no holder panicked").clone()
    }

    fn keep(&self, stream: &Arc<TcpStream>) {
        let mut streams = self.streams.lock().expect("no holder panicked");
        if streams.len() >= FORGET_COUNT {
            streams.retain(|stream| stream.strong_count() > 0);
        }
        streams.push(Arc::downgrade(stream));
    }
}

fn listen_again(address: SocketAddr) -> TcpListener {
    loop {
        match TcpListener::bind(address) {
            Ok(listener) => return listener,
            Err(error) if error.kind() == ErrorKind::AddrInUse => pause(BIND_PAUSE),
            Err(error) => panic!("the port again: {error}"),
        }
    }
}
