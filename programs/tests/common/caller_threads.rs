//! Threads of callers: their pace, their start and their end.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use super::PATIENCE;
use super::wait_for;

/// Runs `work` on `count` threads, each with its number, and returns what each came to.
pub fn run_callers<T: Send>(count: usize, work: impl Fn(usize) -> T + Sync) -> Vec<T> {
    run_while(count, |number, _| work(number), || {})
}

/// Runs `work` on `count` threads, each with its number, and tells them to stop once `act` is over,
/// also by a failure of the test; returns what each came to.
pub fn run_while<T: Send>(
    count: usize,
    work: impl Fn(usize, &AtomicBool) -> T + Sync,
    act: impl FnOnce(),
) -> Vec<T> {
    let stop = AtomicBool::new(false);
    thread::scope(|scope| {
        let stopper = StopOnDrop(&stop);
        let (work, stop) = (&work, &stop);
        let threads: Vec<_> = (0..count)
            .map(|number| scope.spawn(move || work(number, stop)))
            .collect();
        act();
        drop(stopper);
        let ends = threads.into_iter().map(|thread| thread.join());
        ends.map(|end| end.expect("caller ends")).collect()
    })
}

/// Waits until callers counted more than `least`, so that a slow machine takes longer and fails no
/// test.
pub fn wait_count(what: &str, count: &AtomicUsize, least: usize) {
    let is_enough = || count.load(Ordering::Relaxed) > least;
    wait_for(what, PATIENCE, is_enough);
}

/// Paces a caller or a failure.
pub fn pause(time: Duration) {
    let (_open, ticks) = std::sync::mpsc::channel::<()>();
    let _ = ticks.recv_timeout(time);
}

/// Tells callers to stop when it is dropped, also by a failure of the test.
struct StopOnDrop<'a>(&'a AtomicBool);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}
