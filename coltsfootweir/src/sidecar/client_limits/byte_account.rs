//! Account of the bytes of bodies that the daemon holds for clients and for calls of other daemons.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use hyper::body::Bytes;

/// Largest reservation that may use the part of the account that is kept for small ones, in bytes.
/// Ordinary bodies are below it, so a few large bodies do not refuse them.
const SMALL_RESERVATION: u64 = 64 * 1024;

/// Divisor of the capacity that gives the part kept for small reservations. An eighth of 80 MB is
/// 10 MB, and the rest still holds one body of 64 MiB.
const SMALL_SHARE: u64 = 8;

/// Account of held bytes. It is shared with bodies, which may be dropped anywhere.
#[derive(Debug)]
pub struct ByteAccount {
    capacity: u64,
    held: AtomicU64,
}

/// Bytes reserved in an account until they are dropped.
#[derive(Debug)]
pub struct ByteReservation {
    account: Arc<ByteAccount>,
    bytes: u64,
}

/// A body and its reservation.
struct ReservedBody {
    body: Bytes,
    _reservation: ByteReservation,
}

impl ByteAccount {
    /// Creates an account of `capacity` bytes.
    #[must_use]
    pub fn new(capacity: u64) -> Arc<ByteAccount> {
        Arc::new(ByteAccount {
            capacity,
            held: AtomicU64::new(0),
        })
    }

    /// Returns the number of bytes that are reserved.
    #[must_use]
    pub fn held(&self) -> u64 {
        self.held.load(Ordering::Relaxed)
    }

    /// Returns the size of the largest body that fits an empty account, in bytes.
    #[must_use]
    pub fn largest(&self) -> u64 {
        self.capacity - self.capacity / SMALL_SHARE
    }

    /// Reserves bytes; `None` if they do not fit.
    #[must_use]
    pub fn reserve(self: &Arc<Self>, bytes: u64) -> Option<ByteReservation> {
        let mut reservation = ByteReservation {
            account: Arc::clone(self),
            bytes: 0,
        };
        reservation.grow(bytes).then_some(reservation)
    }
}

impl ByteReservation {
    /// Reserves more bytes; returns false, without a change, if they do not fit.
    #[must_use]
    pub fn grow(&mut self, bytes: u64) -> bool {
        let account = &self.account;
        let total = self.bytes.saturating_add(bytes);
        let limit = match total <= SMALL_RESERVATION {
            true => account.capacity,
            false => account.largest(),
        };
        let held = account.held();
        let Some(after) = held.checked_add(bytes).filter(|after| *after <= limit) else {
            return false;
        };
        // One thread reserves; others may only release, so the sum stays below the limit.
        account.held.fetch_add(after - held, Ordering::Relaxed);
        self.bytes = total;
        true
    }

    /// Returns the body as shared bytes. The reservation lasts as long as any part of it is held.
    #[must_use]
    pub fn attach(self, body: impl Into<Bytes>) -> Bytes {
        Bytes::from_owner(ReservedBody {
            body: body.into(),
            _reservation: self,
        })
    }
}

impl Drop for ByteReservation {
    fn drop(&mut self) {
        self.account.held.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

impl AsRef<[u8]> for ReservedBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}
