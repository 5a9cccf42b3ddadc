//! Hands an accepted configuration to a few daemons, so that it spreads with the store down.

use std::net::SocketAddr;

use coltsfootweir::offer::AcceptedOffer;
use coltsfootweir::offer::OFFER_PATH;
use coltsfootweir::platform::PlatformStore;
use coltsfootweir::seed_row::SEED_PREFIX;
use coltsfootweir::seed_row::SeedRow;
use coltsfootweir::snapshot::ConfigSnapshot;

/// Daemons that have to take it.
const TAKER_COUNT: usize = 2;

/// Time one daemon may take, in seconds.
const OFFER_TIMEOUT_SECONDS: u64 = 1;

/// Reads the addresses of a few daemons of each region; empty when the store has none.
#[must_use]
pub fn read_seeds(store: &dyn PlatformStore) -> Vec<SocketAddr> {
    let mut seeds = Vec::new();
    for row in store.list_rows(SEED_PREFIX).unwrap_or_default() {
        if let Ok(row) = serde_json::from_str::<SeedRow>(&row.value) {
            seeds.extend(row.addresses);
        }
    }
    seeds
}

/// Offers an accepted configuration to `seeds` until enough daemons have it; returns how many do.
/// Daemons that are not reached learn of it from the store or from each other.
pub fn hand_out(seeds: &[SocketAddr], snapshot: &ConfigSnapshot) -> usize {
    let body = AcceptedOffer::new(snapshot).encode();
    let mut takers = 0;
    for seed in seeds {
        if takers == TAKER_COUNT {
            break;
        }
        let answer = minreq::post(format!("http://{seed}{OFFER_PATH}"))
            .with_header("Connection", "close")
            .with_body(body.clone())
            .with_timeout(OFFER_TIMEOUT_SECONDS)
            .send();
        takers += usize::from(answer.is_ok_and(|answer| answer.status_code == 200));
    }
    takers
}
