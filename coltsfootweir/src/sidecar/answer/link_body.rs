//! Receives the rest of an answer over a link.

use flume::Receiver;

use crate::sidecar::answer::answer_rest::BodyPiece;
use crate::sidecar::answer::answer_rest::PieceSender;
use crate::sidecar::link::uplink_schedule::TRANSFER_CREDIT;
use crate::sidecar::peer_link::CallGuard;

/// Share of the credit after whose use the sender is told that bytes were consumed.
const CREDIT_STEP: u64 = TRANSFER_CREDIT / 4;

/// An answer in pieces that is being received.
pub(crate) struct LinkBody {
    /// Pieces in the order received. Their number is bounded by the credit of the sender.
    pub(crate) received: Receiver<BodyPiece>,
    /// The call; dropping it cancels the call unless it has ended.
    pub(crate) call: CallGuard,
}

impl LinkBody {
    /// Sends the pieces on until the end of the body or until the consumer is gone, and returns
    /// credit to the sender of the answer.
    pub(crate) async fn forward(self, pieces: PieceSender) {
        let mut consumed = 0;
        let mut told = 0;
        loop {
            let received = self.received.recv_async();
            let piece = tokio::select! {
                piece = received => piece.unwrap_or(BodyPiece::Broken),
                () = pieces.closed() => return,
            };
            let is_last = matches!(piece, BodyPiece::End | BodyPiece::Broken);
            if let BodyPiece::Data(bytes) = &piece {
                consumed += bytes.len() as u64;
            }
            if pieces.send(piece).await.is_err() || is_last {
                return;
            }
            if consumed >= told + CREDIT_STEP {
                told = consumed;
                self.call.link.record_consumed(self.call.number, consumed);
            }
        }
    }
}
