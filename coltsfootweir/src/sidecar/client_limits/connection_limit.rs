//! Limit on the open connections of a port. The connection that has been idle the longest is closed
//! for a new one.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use tokio::sync::Notify;

/// Position in the order in which connections became idle.
type IdleNumber = u64;

/// Limit on the open connections of a port.
pub struct ConnectionLimit {
    limit: u32,
    open: Cell<u32>,
    next: Cell<IdleNumber>,
    /// Idle connections, the one that has been idle the longest first.
    idle: RefCell<BTreeMap<IdleNumber, Rc<ConnectionEviction>>>,
}

/// Tells a connection that it has to be closed.
#[derive(Default)]
struct ConnectionEviction {
    is_due: Cell<bool>,
    notice: Notify,
}

/// An open connection, until it is dropped. It is idle while no request is in progress.
pub struct ConnectionSlot {
    limit: Rc<ConnectionLimit>,
    evicted: Rc<ConnectionEviction>,
    number: Cell<Option<IdleNumber>>,
    is_counted: Cell<bool>,
    /// Number of requests in progress.
    requests: Cell<u32>,
}

/// A request in progress on a connection, until it is dropped.
pub struct BusyConnection(Rc<ConnectionSlot>);

/// A connection that is admitted.
pub struct AdmittedConnection {
    /// The connection.
    pub slot: Rc<ConnectionSlot>,
    /// Whether another one is closed for it.
    pub has_evicted: bool,
}

impl ConnectionLimit {
    /// Creates a limit.
    #[must_use]
    pub fn new(limit: u32) -> Rc<ConnectionLimit> {
        Rc::new(ConnectionLimit {
            limit,
            open: Cell::new(0),
            next: Cell::new(0),
            idle: RefCell::default(),
        })
    }

    /// Admits a connection, which is idle. Returns `None` if as many as the limit are open and none of
    /// them is idle.
    #[must_use]
    pub fn admit(self: &Rc<Self>) -> Option<AdmittedConnection> {
        let is_full = self.open.get() >= self.limit;
        if is_full && !self.evict_oldest() {
            return None;
        }
        self.open.set(self.open.get() + 1);
        let slot = Rc::new(ConnectionSlot {
            limit: Rc::clone(self),
            evicted: Rc::default(),
            number: Cell::new(None),
            is_counted: Cell::new(true),
            requests: Cell::new(0),
        });
        slot.set_idle();
        Some(AdmittedConnection {
            slot,
            has_evicted: is_full,
        })
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn open(&self) -> u32 {
        self.open.get()
    }

    fn evict_oldest(&self) -> bool {
        let oldest = self.idle.borrow_mut().pop_first();
        if let Some((_, evicted)) = &oldest {
            evicted.is_due.set(true);
            evicted.notice.notify_one();
        }
        oldest.is_some()
    }
}

impl ConnectionSlot {
    /// Waits until the connection has to be closed for another one.
    pub async fn evicted(&self) {
        self.evicted.notice.notified().await;
    }

    /// Returns whether the connection has to be closed for another one.
    #[must_use]
    pub fn is_evicted(&self) -> bool {
        self.evicted.is_due.get()
    }

    /// Marks the connection as busy until the last of its requests has ended.
    #[must_use]
    pub fn begin_request(self: &Rc<Self>) -> BusyConnection {
        self.requests.set(self.requests.get() + 1);
        self.set_busy();
        BusyConnection(Rc::clone(self))
    }

    /// Returns whether a request is in progress.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        self.number.get().is_none()
    }

    /// Takes the connection out of the limit.
    pub fn release(&self) {
        if !self.is_counted.replace(false) {
            return;
        }
        self.set_busy();
        self.limit.open.set(self.limit.open.get() - 1);
    }

    /// Returns whether the connection was taken out of the limit.
    #[must_use]
    pub fn is_released(&self) -> bool {
        !self.is_counted.get()
    }

    fn set_busy(&self) {
        if let Some(number) = self.number.take() {
            self.limit.idle.borrow_mut().remove(&number);
        }
    }

    fn set_idle(&self) {
        let number = self.limit.next.get();
        self.limit.next.set(number + 1);
        self.number.set(Some(number));
        let evicted = Rc::clone(&self.evicted);
        self.limit.idle.borrow_mut().insert(number, evicted);
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.release();
    }
}

impl Drop for BusyConnection {
    fn drop(&mut self) {
        self.0.requests.set(self.0.requests.get() - 1);
        if self.0.is_counted.get() && self.0.requests.get() == 0 {
            self.0.set_idle();
        }
    }
}
