//! Limits derived from the memory and descriptors of the VM.

use std::fmt;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use crate::sidecar::client_limits::body_intake::BodyLimits;
use crate::sidecar::client_limits::byte_account::ByteAccount;
use crate::sidecar::client_limits::byte_account::ByteReservation;
use crate::sidecar::client_limits::connection_limit::ConnectionLimit;
use crate::sidecar::mesh_config::ClientLimits;
use crate::sidecar::settings::HostLimits;

/// Maximum size of a request body, in bytes, if the memory of the VM is not known. A quarter of the
/// smallest VM's memory of 160 MB is 40 MB.
const BODY_LIMIT: u64 = 32 * 1024 * 1024;

/// Divisor of the memory that gives the bytes of held bodies. The other half is for
/// the program, connections, answers and what the allocator keeps.
const ACCOUNT_SHARE: u64 = 2;

/// Divisor of the memory that gives the memory of client connections.
const CONNECTION_SHARE: u64 = 4;

/// Memory of a client connection in bytes: its read buffer of 16 KiB, an answer and its task.
const CONNECTION_BYTES: u64 = 32 * 1024;

/// Divisor of the descriptors that gives the connections of clients. The rest is for links, the store,
/// the endpoint and the platform.
const CLIENT_SHARE: u32 = 2;

/// Divisor of the descriptors that gives the connections of a port for the platform, and those of the
/// port for peers that are not identified yet.
const OTHER_SHARE: u32 = 16;

/// Smallest number of connections that a port takes, whatever the settings.
const MIN_CONNECTIONS: u32 = 8;

/// Maximum size of the body of a call to another daemon, in bytes. A frame holds up to 40 MiB; without
/// this limit, a call that is never sent would end with its time limit.
const CALL_BODY_LIMIT: u64 = 32 * 1024 * 1024;

/// Size up to which the copy of a body on a link is not reserved, in bytes: the capacity that the
/// buffer of a link keeps anyway.
const SMALL_COPY: u64 = 64 * 1024;

/// Error for a body that can't be sent to another daemon.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CopyRefused;

impl fmt::Display for CopyRefused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the body is too large for another daemon, or does not fit the memory")
    }
}

impl std::error::Error for CopyRefused {}

/// Limits of a daemon that follow from its VM.
pub struct HostGuard {
    /// Account of held bodies; `None` if the memory is not known.
    pub account: Option<Arc<ByteAccount>>,
    /// Connections of clients.
    pub clients: Rc<ConnectionLimit>,
    /// Connections of peers that are not identified yet.
    pub strangers: Rc<ConnectionLimit>,
    control: u32,
}

impl HostGuard {
    /// Derives the limits. Without settings, nothing is limited.
    #[must_use]
    pub fn new(limits: HostLimits) -> HostGuard {
        let by_memory = limits.memory_bytes.map_or(u32::MAX, |memory| {
            let count = memory / CONNECTION_SHARE / CONNECTION_BYTES;
            u32::try_from(count).unwrap_or(u32::MAX)
        });
        let share = |divisor: u32| limits.descriptors.map_or(u32::MAX, |count| count / divisor);
        let clients = share(CLIENT_SHARE).min(by_memory).max(MIN_CONNECTIONS);
        let others = share(OTHER_SHARE).max(MIN_CONNECTIONS);
        HostGuard {
            account: limits
                .memory_bytes
                .map(|memory| ByteAccount::new(memory / ACCOUNT_SHARE)),
            clients: ConnectionLimit::new(clients),
            strangers: ConnectionLimit::new(others),
            control: others,
        }
    }

    /// Returns the limit for one port of the platform.
    #[must_use]
    pub fn control(&self) -> Rc<ConnectionLimit> {
        ConnectionLimit::new(self.control)
    }

    /// Returns the limits on a body that must be complete within `time`.
    #[must_use]
    pub fn body_limits(&self, limits: &ClientLimits, time: Duration) -> BodyLimits {
        let largest = self
            .account
            .as_ref()
            .map_or(BODY_LIMIT, |account| account.largest());
        BodyLimits {
            size: limits.body_bytes.min(largest),
            time,
            pause: Duration::from_millis(u64::from(limits.idle_ms)),
            account: self.account.clone(),
        }
    }

    /// Reserves the copy of a body that a link holds while it sends it.
    ///
    /// # Errors
    /// [`CopyRefused`] if the body is too large for a frame or the copy does not fit the account.
    pub fn reserve_copy(&self, bytes: u64) -> Result<Option<ByteReservation>, CopyRefused> {
        if bytes > CALL_BODY_LIMIT {
            return Err(CopyRefused);
        }
        match &self.account {
            Some(account) if bytes > SMALL_COPY => {
                account.reserve(bytes).map(Some).ok_or(CopyRefused)
            }
            _ => Ok(None),
        }
    }

    /// Returns the number of bytes of held bodies.
    #[must_use]
    pub fn held(&self) -> u64 {
        self.account.as_ref().map_or(0, |account| account.held())
    }
}
