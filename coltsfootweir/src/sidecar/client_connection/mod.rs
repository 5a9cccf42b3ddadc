//! Server side of HTTP/1.1 connections of clients.
//!
//! Requests that may be repeated are read and run while earlier ones of the same connection have no
//! answer yet; hyper's server reads a request only after the answer to the one before.

mod answer_writer;
pub mod body_decoder;
pub mod connection;
mod pending_request;
pub mod read_ahead;
pub mod request_body;
pub mod request_head;
pub mod response_head;
