//! Memory for the bodies that a daemon receives.

use std::cell::Cell;
use std::rc::Rc;

/// Part of the process's memory that bodies may take, as a divisor. The rest is for the daemon itself,
/// for answers, and for the copy of a body that is written to the endpoint.
const MEMORY_DIVISOR: u64 = 3;

/// Memory that is reserved until this is dropped.
pub trait HeldMemory {}

/// Accounts for the memory that bodies take.
pub trait BodyMemory {
    /// Reserves `bytes`; `None` if there are too few.
    fn reserve(&self, bytes: u64) -> Option<Box<dyn HeldMemory>>;
}

/// Reserves bytes up to a limit. One body of any size fits when nothing else is reserved.
pub struct BoundedMemory {
    limit: u64,
    held: Rc<Cell<u64>>,
}

struct BoundedHold {
    held: Rc<Cell<u64>>,
    bytes: u64,
}

impl BoundedMemory {
    /// Creates an account for a process that may take `memory_bytes`; `None` if that is not known,
    /// which means no limit.
    #[must_use]
    pub fn new(memory_bytes: Option<u64>) -> BoundedMemory {
        BoundedMemory {
            limit: memory_bytes.map_or(u64::MAX, |bytes| bytes / MEMORY_DIVISOR),
            held: Rc::default(),
        }
    }
}

impl BodyMemory for BoundedMemory {
    fn reserve(&self, bytes: u64) -> Option<Box<dyn HeldMemory>> {
        let held = self.held.get();
        let total = held.saturating_add(bytes);
        if held > 0 && total > self.limit {
            return None;
        }
        self.held.set(total);
        Some(Box::new(BoundedHold {
            held: Rc::clone(&self.held),
            bytes,
        }))
    }
}

impl HeldMemory for BoundedHold {}

impl Drop for BoundedHold {
    fn drop(&mut self) {
        self.held.set(self.held.get().saturating_sub(self.bytes));
    }
}
