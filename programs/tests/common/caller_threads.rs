//! Threads of callers: their pace, their start and their end.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

/// Runs `work` on `count` threads, each with its number, and returns what each came to.
pub fn run_callers<T: Send>(count: usize, work: impl Fn(usize) -> T + Sync) -> Vec<T> {
    thread::scope(|scope| {
        let work = &work;
        let threads: Vec<_> = (0..count)
            .map(|number| scope.spawn(move || work(number)))
            .collect();
        let ends = threads.into_iter().map(|thread| thread.join());
        ends.map(|end| end.expect("caller ends")).collect()
    })
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
