//! Memory for the bodies that a daemon receives.

use std::sync::Arc;

use crate::sidecar::client_limits::byte_account::ByteAccount;
use crate::sidecar::client_limits::byte_account::ByteReservation;

/// Memory that is reserved until this is dropped.
pub trait HeldMemory {}

/// Accounts for the memory that bodies take.
pub trait BodyMemory {
    /// Reserves `bytes`; `None` if there are too few.
    fn reserve(&self, bytes: u64) -> Option<Box<dyn HeldMemory>>;
}

/// Memory without a limit, for daemons whose VM's memory is not known.
pub struct UnlimitedMemory;

/// Memory that is not accounted for.
struct UnlimitedHold;

impl HeldMemory for UnlimitedHold {}

impl BodyMemory for UnlimitedMemory {
    fn reserve(&self, _bytes: u64) -> Option<Box<dyn HeldMemory>> {
        Some(Box::new(UnlimitedHold))
    }
}

impl HeldMemory for ByteReservation {}

impl BodyMemory for Arc<ByteAccount> {
    fn reserve(&self, bytes: u64) -> Option<Box<dyn HeldMemory>> {
        let reservation = ByteAccount::reserve(self, bytes)?;
        Some(Box::new(reservation))
    }
}
