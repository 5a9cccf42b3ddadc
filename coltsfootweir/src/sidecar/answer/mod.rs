//! Answers that are too long to be handled whole: read, held back and passed on in pieces.

pub(crate) mod answer_check;
pub mod answer_hold;
pub mod answer_rest;
pub mod answer_sizes;
pub mod client_body;
pub mod endpoint_body;
pub mod link_body;
