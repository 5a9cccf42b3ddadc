//! Puts a configuration that arrives in pieces together.

use crate::sidecar::frame::PieceBytes;

/// Maximum size of a configuration, in bytes. 1,400 routes take about 150 KB.
const CONFIG_LIMIT: usize = 16 * 1024 * 1024;

/// The configuration that is being received on one connection.
#[derive(Debug, Default)]
pub struct ConfigPieces {
    number: u32,
    bytes: Vec<u8>,
}

impl ConfigPieces {
    /// Adds a piece and returns the number of bytes received so far, or `None` if the configuration
    /// is too long and was dropped. A piece of another number than the last one starts a new
    /// configuration.
    pub fn add(&mut self, number: u32, piece: &PieceBytes) -> Option<u64> {
        if number != self.number {
            self.number = number;
            self.bytes.clear();
        }
        if self.bytes.len() + piece.0.len() > CONFIG_LIMIT {
            self.bytes = Vec::new();
            return None;
        }
        self.bytes.extend_from_slice(&piece.0);
        Some(self.bytes.len() as u64)
    }

    /// Returns the bytes of a configuration whose last piece has arrived; `None` if it was dropped.
    pub fn take(&mut self, number: u32) -> Option<Vec<u8>> {
        let is_current = number == self.number && !self.bytes.is_empty();
        is_current.then(|| std::mem::take(&mut self.bytes))
    }
}
