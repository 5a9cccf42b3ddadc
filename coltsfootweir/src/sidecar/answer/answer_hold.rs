//! Holds answers back until they are complete, so that one that breaks off can be replaced by the
//! answer of another endpoint.

use std::cell::Cell;
use std::rc::Rc;

/// Maximum number of bytes of one answer that are held back. Longer answers are passed on from
/// there; a client has a use for most of them only when they are complete.
const ANSWER_LIMIT: usize = 512 * 1024;

/// Maximum number of bytes that all answers together hold back.
const TOTAL_LIMIT: usize = 2 * 1024 * 1024;

/// Counts the bytes that are held back.
#[derive(Debug, Default)]
pub struct HoldBudget {
    held: Cell<usize>,
}

/// Bytes of one answer that are held back. Dropping it returns them to the budget.
#[derive(Debug)]
pub struct HeldBytes {
    budget: Rc<HoldBudget>,
    bytes: Vec<u8>,
}

impl HoldBudget {
    /// Returns the number of bytes that are held back.
    #[must_use]
    pub fn held(&self) -> usize {
        self.held.get()
    }
}

impl HeldBytes {
    /// Starts with the bytes that came with the head of an answer.
    #[must_use]
    pub fn new(budget: &Rc<HoldBudget>, first: Vec<u8>) -> HeldBytes {
        budget.held.set(budget.held.get() + first.len());
        HeldBytes {
            budget: Rc::clone(budget),
            bytes: first,
        }
    }

    /// Adds bytes.
    pub fn add(&mut self, bytes: &[u8]) {
        self.budget.held.set(self.budget.held.get() + bytes.len());
        self.bytes.extend_from_slice(bytes);
    }

    /// Returns whether more bytes may be held back.
    #[must_use]
    pub fn has_room(&self) -> bool {
        self.bytes.len() < ANSWER_LIMIT && self.budget.held.get() < TOTAL_LIMIT
    }

    /// Returns the bytes.
    #[must_use]
    pub fn take(mut self) -> Vec<u8> {
        let bytes = std::mem::take(&mut self.bytes);
        self.budget.held.set(self.budget.held.get() - bytes.len());
        bytes
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        let held = self.budget.held.get();
        self.budget.held.set(held - self.bytes.len());
    }
}
