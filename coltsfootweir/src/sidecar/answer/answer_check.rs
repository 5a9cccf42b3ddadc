//! Checks the answers that other daemons pass on.

use log::info;
use serde_json::json;

use crate::logging::UPSTREAM;
use crate::sidecar::frame::CallResult;
use crate::sidecar::frame::UnknownCause;
use crate::sidecar::message_syntax::is_field_name;
use crate::sidecar::message_syntax::is_field_value;
use crate::sidecar::message_syntax::is_final_status;

/// Returns the result of a call at another daemon. An answer that can't have been read from a valid head,
/// as by a daemon of a build that takes others, tells nothing about the request.
pub(crate) fn check_answer(result: CallResult, request_id: &str) -> CallResult {
    let CallResult::Answer {
        status, headers, ..
    } = &result
    else {
        return result;
    };
    let mut fields = headers.iter();
    let is_field = |(name, value): &(Box<str>, Box<[u8]>)| {
        is_field_name(name.as_bytes()) && is_field_value(value)
    };
    if is_final_status(*status) && fields.all(is_field) {
        return result;
    }
    let event = json!({"name": "peer_answer_invalid", "request": request_id, "status": status,
        "fields": headers.len()});
    info!(target: UPSTREAM, "{event}");
    CallResult::Unknown(UnknownCause::AnswerBroken)
}
