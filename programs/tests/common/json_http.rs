//! JSON over HTTP to stand-ins and daemons.

use std::net::SocketAddr;

use serde::de::DeserializeOwned;
use serde_json::Value;

pub fn post_json(address: SocketAddr, path: &str, body: &str) {
    let response = minreq::post(format!("http://{address}{path}"))
        .with_body(body)
        .with_timeout(5)
        .send()
        .expect("an answer");
    assert_eq!(response.status_code, 200, "{path} {body}");
}

pub fn get_json(address: SocketAddr, path: &str) -> Value {
    read_json(address, path)
}

/// Reads a value of a known form.
pub fn read_json<T: DeserializeOwned>(address: SocketAddr, path: &str) -> T {
    let request = minreq::get(format!("http://{address}{path}"));
    let response = request.with_timeout(5).send().expect("an answer");
    serde_json::from_slice(response.as_bytes()).expect("JSON")
}
