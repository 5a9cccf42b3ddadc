//! Bytes of the answers that endpoints give.

pub fn good_answer(endpoint: &str, id: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    let head = format!(
        "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nupstream-signature: {endpoint}\r\ncontent-length: {length}"
    );
    format!("{head}\r\n\r\n{body}").into_bytes()
}

/// An answer without the id of a request.
pub fn bare_answer(start: &str) -> Vec<u8> {
    format!("HTTP/1.1 {start}\r\ncontent-length: 0\r\n\r\n").into_bytes()
}

/// The answer to a request that is not run.
pub fn refused_answer(status: u16, id: &str) -> Vec<u8> {
    let head = format!("HTTP/1.1 {status} No\r\nrequest-id: {id}\r\nnot-processed: 1");
    format!("{head}\r\ncontent-length: 0\r\n\r\n").into_bytes()
}

/// The lines of a head without the last one, which states the length.
pub fn half_head(answer: &[u8]) -> Vec<u8> {
    let text = String::from_utf8_lossy(answer);
    let (head, _) = text.split_once("content-length").expect("a length");
    head.as_bytes().to_vec()
}

pub fn failed_answer(status: u16, id: &str) -> Vec<u8> {
    let head = format!("HTTP/1.1 {status} No\r\nrequest-id: {id}\r\nupstream-signature: s");
    format!("{head}\r\ncontent-length: 2\r\n\r\nno").into_bytes()
}
