//! The users' platform played for tests of sidecars: its store, endpoints, settings.

#![allow(dead_code)]

pub mod answer_bytes;
pub mod endpoint_lives;
pub mod large_answer;
pub mod mesh_endpoint;
pub mod rollout_traffic;
pub mod row_store;
pub mod sidecar_fleet;
pub mod spoilt_answer;

use std::net::SocketAddr;

/// Longest wait for an answer, in seconds.
const SEND_TIMEOUT_S: u64 = 5;

/// Sends a call of the platform; `None` when no answer came.
pub fn send(method: &str, address: SocketAddr, path: &str, body: &str) -> Option<(u16, String)> {
    let method = minreq::Method::Custom(method.into());
    let request = minreq::Request::new(method, format!("http://{address}{path}"));
    let request = request.with_body(body).with_timeout(SEND_TIMEOUT_S);
    let response = request.send().ok()?;
    let text = response.as_str().unwrap_or("").to_owned();
    Some((response.status_code, text))
}
