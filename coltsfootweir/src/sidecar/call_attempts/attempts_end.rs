//! Result of a request.

use crate::ids::MemberId;
use crate::sidecar::answer::answer_rest::AnswerRest;
use crate::sidecar::frame::CallResult;

/// Result of a request and the attempts that led to it.
pub struct AttemptsEnd {
    /// Result of the request.
    pub result: CallResult,
    /// Rest of the answer, if it is too long to be held back.
    pub rest: Option<AnswerRest>,
    /// Daemons that were tried, in order.
    pub tried: Vec<MemberId>,
    /// Number of endpoints that received the request.
    pub reached: u32,
}

impl AttemptsEnd {
    /// Returns whether the answer is not complete yet and its length is not known.
    #[must_use]
    pub fn has_unknown_length(&self) -> bool {
        let rest = self.rest.as_ref();
        rest.is_some_and(|rest| rest.length.is_none())
    }
}
