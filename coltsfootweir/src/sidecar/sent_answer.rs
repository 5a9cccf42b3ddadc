//! Runs a call of another daemon at the local endpoint and sends the answer to it.

use std::time::Duration;

use crate::sidecar::answer::answer_rest::AnswerRest;
use crate::sidecar::answer::answer_rest::BodyPiece;
use crate::sidecar::frame::AnswerHead;
use crate::sidecar::frame::CallNumber;
use crate::sidecar::frame::CallResult;
use crate::sidecar::frame::ForwardedCall;
use crate::sidecar::frame::NotRunCause;
use crate::sidecar::frame::NotRunReport;
use crate::sidecar::frame::PeerFrame;
use crate::sidecar::frame::UnknownCause;
use crate::sidecar::link::link_side::LinkSide;
use crate::sidecar::link::uplink::TransferKind;
use crate::sidecar::link::uplink_schedule::TransferClass;
use crate::sidecar::sidecar_state::SidecarState;
use crate::sidecar::uploads::upload_times::CallTimes;

/// Maximum size of an answer for a daemon that does not understand answers in pieces, in bytes: as
/// much as such daemons read.
const WHOLE_LIMIT: usize = 32 * 1024 * 1024;

/// Factor on the time that the answers on their way should take, as a fraction. The estimate is off by
/// up to a quarter, as small frames share the link.
const LINK_MARGIN: (u32, u32) = (5, 4);

/// A call of another daemon and its answer.
pub(crate) struct SentAnswer<'a> {
    pub(crate) state: &'a SidecarState,
    pub(crate) side: &'a LinkSide,
    pub(crate) number: CallNumber,
    pub(crate) call: &'a ForwardedCall,
}

impl SentAnswer<'_> {
    /// Runs the call, which was delayed by `delay` on its way, and sends the result. Dropping the
    /// future cancels the call.
    pub(crate) async fn run(&self, delay: Duration) {
        let arrived = self.state.now();
        let finish_by = CallTimes::new(self.call, arrived, delay).limit(arrived);
        let expected = self.expected_pieces();
        if let Some(report) = self.link_refusal(expected, finish_by) {
            self.send_result(CallResult::NotRun(report));
            return;
        }
        let reservation = self.state.uplink.reserve(expected);
        let answer = self.state.run_locally(self.call, delay).await;
        drop(reservation);
        match answer.rest {
            None => {
                if let CallResult::Answer { body, .. } = &answer.result {
                    self.record_size(body.len());
                }
                self.send_result(answer.result);
            }
            Some(rest) if self.side.has_pieces() => {
                self.send_pieces(answer.result, rest, finish_by).await;
            }
            Some(rest) => self.send_whole(answer.result, rest).await,
        }
    }

    /// Returns the expected size of an answer in pieces in bytes; 0 if it is probably sent whole.
    fn expected_pieces(&self) -> u64 {
        let sizes = self.state.routing.answer_sizes.borrow();
        match self.side.has_pieces() && sizes.is_large(self.call.kind) {
            true => sizes.mean(self.call.kind),
            false => 0,
        }
    }

    /// Returns the refusal of a call whose answer of `expected` bytes can't be sent by `finish_by`.
    ///
    /// The answers before it are sent while it waits and runs. If none is on its way, the call runs
    /// anyway: without answers, a wrong estimate of the rate would never be corrected.
    fn link_refusal(&self, expected: u64, finish_by: Duration) -> Option<NotRunReport> {
        let uplink = &self.state.uplink;
        if expected == 0 || uplink.is_idle() {
            return None;
        }
        let now = self.state.now();
        let run = self.state.endpoint.expected_time(self.call);
        let backlog = uplink.time_for(0);
        let transfer = uplink.time_for(expected).saturating_sub(backlog);
        let sending = (backlog + transfer) * LINK_MARGIN.0 / LINK_MARGIN.1;
        let excess = (now + sending.max(run + transfer)).saturating_sub(finish_by);
        (!excess.is_zero()).then(|| NotRunReport {
            cause: NotRunCause::LinkFull,
            reached: false,
            retry_after_ms: u32::try_from(excess.as_millis()).unwrap_or(u32::MAX),
        })
    }

    fn send_result(&self, result: CallResult) {
        self.side.tell_uplink_load();
        let load = self.state.endpoint.load();
        let frame = PeerFrame::Result(self.number, load, Box::new(result));
        self.side.send(frame);
    }

    async fn send_pieces(&self, result: CallResult, mut rest: AnswerRest, finish_by: Duration) {
        let CallResult::Answer {
            status,
            headers,
            body,
            run_ms,
        } = result
        else {
            return;
        };
        let head = AnswerHead {
            status,
            headers,
            length: rest.length,
            run_ms,
        };
        let load = self.state.endpoint.load();
        let frame = PeerFrame::AnswerHead(self.number, load, Box::new(head));
        self.side.send(frame);
        let kind = TransferKind::Answer(self.number);
        let transfer = self
            .side
            .open_transfer(TransferClass::Answer, kind, finish_by);
        let mut size = body.len();
        let mut is_open = transfer.push(body).await;
        self.side.tell_uplink_load();
        while is_open {
            match rest.next().await {
                BodyPiece::Data(bytes) => {
                    size += bytes.len();
                    is_open = transfer.push(bytes).await;
                }
                BodyPiece::End => {
                    self.record_size(size);
                    transfer.finish(PeerFrame::AnswerEnd(self.number, true));
                    return;
                }
                BodyPiece::Broken => {
                    transfer.abort(PeerFrame::AnswerEnd(self.number, false));
                    return;
                }
                BodyPiece::Stalled => {}
            }
        }
    }

    async fn send_whole(&self, mut result: CallResult, mut rest: AnswerRest) {
        let CallResult::Answer { body, .. } = &mut result else {
            return;
        };
        let is_whole = loop {
            match rest.next().await {
                BodyPiece::Data(bytes) if body.len() + bytes.len() <= WHOLE_LIMIT => {
                    body.extend_from_slice(&bytes);
                }
                BodyPiece::End => break true,
                BodyPiece::Stalled => {}
                BodyPiece::Data(_) | BodyPiece::Broken => break false,
            }
        };
        match is_whole {
            true => self.send_result(result),
            false => self.send_result(CallResult::Unknown(UnknownCause::AnswerBroken)),
        }
    }

    fn record_size(&self, bytes: usize) {
        let mut sizes = self.state.routing.answer_sizes.borrow_mut();
        sizes.record(self.call.kind, bytes as u64);
    }
}
