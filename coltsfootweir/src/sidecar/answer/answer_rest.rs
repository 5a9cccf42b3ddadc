//! The rest of an answer whose beginning has been received.

use tokio::sync::mpsc;

/// Maximum size of an answer that is read and sent whole, in bytes. It takes 13 ms at 10 Mbit/s.
pub const INLINE_LIMIT: usize = 16 * 1024;

/// Number of pieces that a reader may be ahead of the consumer.
const PIECE_QUEUE: usize = 2;

/// A part of a body.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BodyPiece {
    /// The next bytes.
    Data(Vec<u8>),
    /// The body is complete.
    End,
    /// The body broke off.
    Broken,
    /// The connection over which it comes is silent. It may go on.
    Stalled,
}

/// Sender of the pieces of a body. The consumer is gone when it is closed.
pub type PieceSender = mpsc::Sender<BodyPiece>;

/// The rest of a body. Its source stops when this is dropped. If the channel closes without
/// [`BodyPiece::End`], the body broke off.
#[derive(Debug)]
pub struct AnswerRest {
    /// Length of the whole body in bytes, if the endpoint stated it.
    pub length: Option<u64>,
    /// The pieces that follow.
    pub pieces: mpsc::Receiver<BodyPiece>,
}

impl AnswerRest {
    /// Creates the rest of a body and the sender of its pieces.
    #[must_use]
    pub fn channel(length: Option<u64>) -> (PieceSender, AnswerRest) {
        let (sender, pieces) = mpsc::channel(PIECE_QUEUE);
        (sender, AnswerRest { length, pieces })
    }

    /// Returns the next piece.
    pub async fn next(&mut self) -> BodyPiece {
        self.pieces.recv().await.unwrap_or(BodyPiece::Broken)
    }
}
