//! State of a planned stop that the requests watch.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::watch;

use crate::sidecar::planned_stop::stop_window::StopWindow;

/// The planned stop of the daemon, if one has begun.
#[derive(Debug, Default)]
pub struct StopControl {
    window: watch::Sender<Option<StopWindow>>,
    /// Connections of clients whose answers may not have arrived yet.
    unsent: Rc<Cell<u32>>,
}

/// A connection of a client whose answers may not have arrived yet, until it is dropped.
#[derive(Debug)]
pub struct UnsentAnswer(Rc<Cell<u32>>);

impl StopControl {
    /// Begins the stop, or changes its times.
    pub fn set(&self, window: StopWindow) {
        self.window.send_replace(Some(window));
    }

    /// Returns whether a stop has begun.
    #[must_use]
    pub fn has_begun(&self) -> bool {
        self.window.borrow().is_some()
    }

    /// Counts a connection whose answers may not have arrived yet. A daemon that stops waits for these.
    #[must_use]
    pub fn begin_unsent(&self) -> UnsentAnswer {
        self.unsent.set(self.unsent.get() + 1);
        UnsentAnswer(Rc::clone(&self.unsent))
    }

    /// Returns the number of connections whose answers may not have arrived yet.
    #[must_use]
    pub fn unsent(&self) -> u32 {
        self.unsent.get()
    }

    /// Returns whether a call of another daemon is taken that must be answered by `deadline`.
    #[must_use]
    pub fn admits_call(&self, now: Duration, deadline: Duration) -> bool {
        let window = *self.window.borrow();
        window.is_none_or(|window| window.admits_call(now, deadline))
    }

    /// Returns the deadline of a request that is complete at `now`; `None` if it must be refused
    /// because of the stop.
    #[must_use]
    pub fn admit(&self, now: Duration, deadline: Duration) -> Option<Duration> {
        match *self.window.borrow() {
            Some(window) => window.admit(now, deadline),
            None => Some(deadline),
        }
    }

    /// Waits until requests without an answer must get one. `now` returns the time since the start
    /// of the daemon.
    pub async fn answers_due(&self, now: impl Fn() -> Duration) {
        let mut windows = self.window.subscribe();
        loop {
            let window = *windows.borrow_and_update();
            let left = window.map(|window| window.answer_by.saturating_sub(now()));
            let due = async {
                match left {
                    Some(left) => tokio::time::sleep(left).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = due => return,
                // The sender is in `self`, so it outlives this.
                _ = windows.changed() => {}
            }
        }
    }
}

impl Drop for UnsentAnswer {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
