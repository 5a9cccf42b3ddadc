//! Reads the rest of an answer from the local endpoint.

use std::net::SocketAddr;
use std::rc::Rc;

use log::info;
use serde_json::json;

use crate::ids::Fingerprint;
use crate::logging::UPSTREAM;
use crate::sidecar::answer::answer_rest::BodyPiece;
use crate::sidecar::answer::answer_rest::PieceSender;
use crate::sidecar::http_body::BodyReader;
use crate::sidecar::http_exchange::ExchangeError;
use crate::sidecar::http_exchange::HttpConnection;
use crate::sidecar::http_exchange::HttpResponse;
use crate::sidecar::local_endpoint::LocalEndpoint;
use crate::sidecar::slot_queue::SlotPermit;

/// An answer of the local endpoint that is being read.
pub(crate) struct EndpointBody {
    pub(crate) endpoint: Rc<LocalEndpoint>,
    pub(crate) connection: HttpConnection,
    pub(crate) reader: BodyReader,
    /// Head of the answer, without its first bytes.
    pub(crate) response: HttpResponse,
    /// Number of bytes of the body that were read with the head.
    pub(crate) read: u64,
    /// Slot of the request, which is free when the endpoint has sent everything.
    pub(crate) permit: SlotPermit,
    /// Id of the request, for the log.
    pub(crate) request_id: Box<str>,
    /// Hash of the request, by which it is blamed for a crash.
    pub(crate) fingerprint: Fingerprint,
    /// Address of the endpoint that answers.
    pub(crate) address: SocketAddr,
}

impl EndpointBody {
    /// Sends the pieces until the end of the body or until the consumer is gone. The connection is
    /// closed in the second case, as the rest of the answer would come before the next one.
    pub(crate) async fn forward(mut self, pieces: PieceSender) {
        let mut bytes = self.read;
        let error = loop {
            let read = self.connection.next_piece(&mut self.reader);
            let read = tokio::select! {
                read = read => read,
                () = pieces.closed() => return,
            };
            let piece = match read {
                Ok(Some(piece)) => piece,
                Ok(None) => break None,
                Err(error) => break Some(error),
            };
            bytes += piece.len() as u64;
            if pieces.send(BodyPiece::Data(piece)).await.is_err() {
                return;
            }
        };
        let has_ended = error == Some(ExchangeError::Ended);
        let end = match error {
            None => {
                self.endpoint.record_completed(self.fingerprint);
                BodyPiece::End
            }
            Some(error) => {
                let suspects = match error {
                    ExchangeError::Ended => self.endpoint.blame_broken_answer(self.address).await,
                    ExchangeError::NotConnected | ExchangeError::Malformed(_) => 0,
                };
                self.log_broken(error, bytes, suspects);
                BodyPiece::Broken
            }
        };
        let is_whole = end == BodyPiece::End;
        // Fails if the consumer has just gone; it needs no end then.
        let _ = pieces.send(end).await;
        if !is_whole {
            // After a malformed answer the endpoint may go on with the request.
            if has_ended {
                self.permit.break_off();
            }
            return;
        }
        self.permit.finish();
        if !self.connection.has_extra_bytes() {
            self.endpoint
                .store_connection(self.connection, &self.response);
        }
    }

    fn log_broken(&self, error: ExchangeError, bytes: u64, suspects: usize) {
        let event = json!({"name": "endpoint_answer_broken", "request": self.request_id,
            "bytes": bytes, "reason": error.to_string(), "suspects": suspects});
        info!(target: UPSTREAM, "{event}");
    }
}
