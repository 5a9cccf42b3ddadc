//! Limits on the frames that are received on a dialed connection.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;

use crate::sidecar::client_limits::byte_account::ByteAccount;
use crate::sidecar::frame::CallNumber;
use crate::sidecar::link::frame_io::FrameLimits;

/// Limits on a dialed connection: the peer was chosen by this daemon, and sends no calls. Another process
/// may have taken its address, so it counts as unknown until it has sent its id.
#[derive(Clone, Debug, Default)]
pub struct DialedLimits {
    is_identified: Rc<Cell<bool>>,
}

impl DialedLimits {
    /// Records that the peer has sent its id.
    pub fn on_hello(&self) {
        self.is_identified.set(true);
    }
}

impl FrameLimits for DialedLimits {
    fn is_identified(&self) -> bool {
        self.is_identified.get()
    }

    fn account(&self) -> Option<&Arc<ByteAccount>> {
        None
    }

    fn refuse(&self, _size: usize, _call: Option<CallNumber>) {}
}
