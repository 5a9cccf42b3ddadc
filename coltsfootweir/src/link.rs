//! Bytes by cause: what crosses the paid link between regions, and what control costs.
//!
//! An exchange is counted by the daemon that asked, both ways together, and by no other.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use hyper::header::HeaderMap;
use serde::Deserialize;
use serde::Serialize;

/// Bytes around the name and value of a header line.
const HEADER_FRAME_BYTES: usize = 4;

/// Bytes of a request line or status line besides the path, with the empty line that ends the head.
const START_LINE_BYTES: usize = 20;

/// Why bytes were sent.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum LinkCause {
    /// Membership and facts.
    Gossip,
    /// Configuration pulled from a peer.
    Config,
    /// Evidence on moves.
    Evidence,
    /// Platform table and objects.
    Store,
    /// Callers' requests and their answers.
    Calls,
}

/// Every cause, in the order of reports.
pub const LINK_CAUSES: [LinkCause; 5] = [
    LinkCause::Gossip,
    LinkCause::Config,
    LinkCause::Evidence,
    LinkCause::Store,
    LinkCause::Calls,
];

#[derive(Debug, Default)]
struct CauseCounter {
    link: AtomicU64,
    local: AtomicU64,
}

/// Counts bytes sent and received by cause.
#[derive(Debug, Default)]
pub struct LinkMeter {
    counters: [CauseCounter; LINK_CAUSES.len()],
}

/// Bytes of one cause since the daemon started.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LinkUsage {
    /// Why the bytes were sent.
    pub cause: LinkCause,
    /// Bytes that crossed the link between regions.
    pub link_bytes: u64,
    /// Bytes that stayed in the region.
    pub local_bytes: u64,
}

impl LinkMeter {
    /// Adds bytes of one exchange, both ways together.
    pub fn add(&self, cause: LinkCause, crosses: bool, bytes: usize) {
        let counter = &self.counters[cause as usize];
        let cell = if crosses {
            &counter.link
        } else {
            &counter.local
        };
        cell.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Returns the usage of every cause.
    #[must_use]
    pub fn usage(&self) -> Vec<LinkUsage> {
        let mut list = Vec::with_capacity(LINK_CAUSES.len());
        for cause in LINK_CAUSES {
            let counter = &self.counters[cause as usize];
            list.push(LinkUsage {
                cause,
                link_bytes: counter.link.load(Ordering::Relaxed),
                local_bytes: counter.local.load(Ordering::Relaxed),
            });
        }
        list
    }
}

/// Returns the bytes of an HTTP head with these header lines, but for the path.
#[must_use]
pub fn head_bytes(headers: &HeaderMap) -> usize {
    let mut bytes = START_LINE_BYTES;
    for (name, value) in headers {
        bytes += name.as_str().len() + value.len() + HEADER_FRAME_BYTES;
    }
    bytes
}
