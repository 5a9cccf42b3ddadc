//! The network between the daemons of one test: cuts between regions and detours between daemons.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;

use coltsfootweir::dialer::PeerDialer;

use super::free_address;

/// Region in which the store stands.
pub const NORTH: &str = "north";

/// Region that reaches the store over the link between the regions.
pub const SOUTH: &str = "south";

/// What is cut between the regions.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CutKind {
    /// Nothing.
    Nothing = 0,
    /// Control exchanges; calls and the store are reached.
    Control = 1,
    /// Control exchanges, calls and the store.
    Everything = 2,
}

/// Where an address stands.
#[derive(Clone, Copy, Debug)]
struct AddressPlace {
    region: &'static str,
    is_control: bool,
}

/// What is cut, lost and redirected.
#[derive(Debug, Default)]
pub struct TestNet {
    cut: AtomicU8,
    is_store_far: AtomicBool,
    places: Mutex<HashMap<SocketAddr, AddressPlace>>,
    lost: Mutex<HashSet<SocketAddr>>,
    detours: Mutex<HashMap<(SocketAddr, SocketAddr), SocketAddr>>,
}

impl TestNet {
    /// Cuts the link between the regions, or heals it.
    pub fn set_cut(&self, kind: CutKind) {
        self.cut.store(kind as u8, Ordering::Relaxed);
    }

    /// Cuts the store off from the regions in which it does not stand, or heals that.
    pub fn set_store_far(&self, is_far: bool) {
        self.is_store_far.store(is_far, Ordering::Relaxed);
    }

    /// Takes the store away from one daemon, or gives it back.
    pub fn set_store_lost(&self, own: SocketAddr, is_lost: bool) {
        let mut lost = self.lost.lock().expect("lost");
        if is_lost {
            lost.insert(own);
        } else {
            lost.remove(&own);
        }
    }

    /// Lets connections of `from` to `peer` go to `through`.
    pub fn set_detour(&self, from: SocketAddr, peer: SocketAddr, through: SocketAddr) {
        let mut detours = self.detours.lock().expect("detours");
        detours.insert((from, peer), through);
    }

    /// Keeps two daemons from reaching each other.
    pub fn part(&self, one: SocketAddr, two: SocketAddr) {
        let dead_end = free_address();
        self.set_detour(one, two, dead_end);
        self.set_detour(two, one, dead_end);
    }

    /// Lets connections of `from` go to `peer` again.
    pub fn clear_detour(&self, from: SocketAddr, peer: SocketAddr) {
        self.detours.lock().expect("detours").remove(&(from, peer));
    }

    /// Lets every connection go to its peer again.
    pub fn clear_detours(&self) {
        self.detours.lock().expect("detours").clear();
    }

    /// Notes the region of a daemon's addresses.
    pub fn place(&self, region: &'static str, control: SocketAddr, calls: SocketAddr) {
        let mut places = self.places.lock().expect("places");
        for (address, is_control) in [(control, true), (calls, false)] {
            places.insert(address, AddressPlace { region, is_control });
        }
    }

    /// Whether a daemon reaches the store.
    pub fn reaches_store(&self, region: &str, own: SocketAddr) -> bool {
        let is_cut = self.cuts(false) || self.is_store_far.load(Ordering::Relaxed);
        let is_lost = self.lost.lock().expect("lost").contains(&own);
        !is_lost && (region == NORTH || !is_cut)
    }

    fn cuts(&self, is_control: bool) -> bool {
        let kind = self.cut.load(Ordering::Relaxed);
        kind == CutKind::Everything as u8 || is_control && kind == CutKind::Control as u8
    }

    fn reaches(&self, region: &str, peer: SocketAddr) -> bool {
        let places = self.places.lock().expect("places");
        let place = places.get(&peer);
        place.is_none_or(|place| place.region == region || !self.cuts(place.is_control))
    }
}

/// Dials on behalf of one daemon.
#[derive(Debug)]
pub struct NetDialer {
    pub net: Arc<TestNet>,
    pub region: &'static str,
    pub own: SocketAddr,
}

impl PeerDialer for NetDialer {
    fn dial(&self, peer: SocketAddr) -> Option<SocketAddr> {
        if !self.net.reaches(self.region, peer) {
            return None;
        }
        let detours = self.net.detours.lock().expect("detours");
        Some(detours.get(&(self.own, peer)).copied().unwrap_or(peer))
    }
}
