//! Watches until every daemon has a generation in force.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use coltsfootweir::ids::Generation;

use crate::probe::read_generation;

/// Threads that watch.
const WORKER_COUNT: usize = 8;

/// Pause between two looks at one daemon.
const LOOK_INTERVAL: Duration = Duration::from_millis(25);

/// Time from `start` until each daemon has `generation` in force; `None` when not within `limit`.
#[must_use]
pub fn watch_generation(
    daemons: &[SocketAddr],
    generation: Generation,
    start: Instant,
    limit: Duration,
) -> Vec<Option<Duration>> {
    let share = daemons.len().div_ceil(WORKER_COUNT).max(1);
    thread::scope(|scope| {
        let mut workers = Vec::new();
        for list in daemons.chunks(share) {
            workers.push(scope.spawn(move || watch_share(list, generation, start, limit)));
        }
        let mut times = Vec::new();
        for worker in workers {
            times.extend(worker.join().unwrap_or_default());
        }
        times
    })
}

fn watch_share(
    daemons: &[SocketAddr],
    generation: Generation,
    start: Instant,
    limit: Duration,
) -> Vec<Option<Duration>> {
    let mut times = vec![None; daemons.len()];
    while start.elapsed() < limit && times.contains(&None) {
        for (daemon, time) in daemons.iter().zip(&mut times) {
            if time.is_some() {
                continue;
            }
            if read_generation(*daemon).is_ok_and(|held| held >= generation) {
                *time = Some(start.elapsed());
            }
        }
        thread::sleep(LOOK_INTERVAL);
    }
    times
}
