//! Announces one upstream for each daemon, in place of upstream processes.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use coltsfootweir::announce::ANNOUNCE_INTERVAL;
use coltsfootweir::announce::UpstreamAnnouncement;
use flume::RecvTimeoutError;
use flume::Sender;

use crate::fleet::TestFleet;
use crate::probe::post;
use crate::records::service_name;

/// Threads that announce.
const WORKER_COUNT: usize = 4;

/// Slots of an announced upstream.
const UPSTREAM_SLOTS: u16 = 9;

/// Address of the announced upstreams, at which nothing listens.
const UPSTREAM_ADDRESS: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 9);

/// An upstream that is announced but takes no calls.
#[derive(Clone, Debug)]
pub struct AnnouncedUpstream {
    /// Control address of the daemon beside it.
    pub daemon: SocketAddr,
    /// What it tells.
    pub announcement: UpstreamAnnouncement,
}

/// Upstreams shared with the announcing threads.
type SharedUpstreams = Arc<Mutex<Vec<AnnouncedUpstream>>>;

/// Announces upstreams once an interval, until it is dropped.
pub struct FleetAnnouncer {
    upstreams: SharedUpstreams,
    stop: Option<Sender<Infallible>>,
    threads: Vec<JoinHandle<()>>,
}

impl FleetAnnouncer {
    /// Starts announcing.
    #[must_use]
    pub fn start(upstreams: Vec<AnnouncedUpstream>) -> FleetAnnouncer {
        let (sender, stop) = flume::bounded::<Infallible>(0);
        let upstreams: SharedUpstreams = Arc::new(Mutex::new(upstreams));
        let mut threads = Vec::new();
        for worker in 0..WORKER_COUNT {
            let upstreams = Arc::clone(&upstreams);
            let stop = stop.clone();
            threads.push(thread::spawn(move || {
                let mut pause = Duration::ZERO;
                while let Err(RecvTimeoutError::Timeout) = stop.recv_timeout(pause) {
                    let start = Instant::now();
                    announce_share(&upstreams, worker);
                    pause = ANNOUNCE_INTERVAL.saturating_sub(start.elapsed());
                }
            }));
        }
        FleetAnnouncer {
            upstreams,
            stop: Some(sender),
            threads,
        }
    }

    /// Changes what is announced to the daemon with this index.
    pub fn change(&self, index: usize, edit: impl FnOnce(&mut AnnouncedUpstream)) {
        let mut upstreams = self
            .upstreams
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(upstream) = upstreams.get_mut(index) {
            edit(upstream);
        }
    }
}

/// Announces an upstream of one of `services` services for each daemon of a fleet.
#[must_use]
pub fn announce_fleet(fleet: &TestFleet, services: usize) -> FleetAnnouncer {
    let mut upstreams = Vec::new();
    for (number, daemon) in fleet.daemons.iter().enumerate() {
        upstreams.push(AnnouncedUpstream {
            daemon: daemon.control(),
            announcement: UpstreamAnnouncement {
                service: service_name(number % services),
                version: "v1".into(),
                address: UPSTREAM_ADDRESS,
                slots: UPSTREAM_SLOTS,
                leaving: false,
            },
        });
    }
    FleetAnnouncer::start(upstreams)
}

fn announce_share(upstreams: &SharedUpstreams, worker: usize) {
    let list: Vec<AnnouncedUpstream> = upstreams
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .iter()
        .skip(worker)
        .step_by(WORKER_COUNT)
        .cloned()
        .collect();
    for upstream in list {
        // A lost announcement is made good by the next one.
        let _ = post(upstream.daemon, "/announce", &upstream.announcement);
    }
}

impl Drop for FleetAnnouncer {
    fn drop(&mut self) {
        drop(self.stop.take());
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}
