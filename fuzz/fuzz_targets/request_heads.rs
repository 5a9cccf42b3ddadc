//! Heads of clients' requests: the length of a body is never ambiguous, a head that arrives in parts is
//! the same head, and what is parsed is written as a head that parses as the same.

#![no_main]

use libfuzzer_sys::fuzz_target;

use coltsfootweir::sidecar::client_connection::body_decoder::RequestFraming;
use coltsfootweir::sidecar::client_connection::request_head::RequestHead;
use coltsfootweir::sidecar::client_connection::request_head::has_end;
use coltsfootweir::sidecar::client_connection::request_head::parse_head;

/// Maximum number of headers of a request.
const MAX_HEADERS: usize = 100;

fuzz_target!(|bytes: &[u8]| {
    let is_whole = has_end(bytes, 0);
    for split in 0..bytes.len() {
        let found = has_end(&bytes[..split], 0) || has_end(bytes, split);
        assert_eq!(found, is_whole, "end at a split of {split}");
    }
    let Ok(Some((size, head))) = parse_head(bytes) else {
        return;
    };
    assert!(size <= bytes.len());
    assert!(has_end(&bytes[..size], 0));
    for short in 0..size {
        assert!(matches!(parse_head(&bytes[..short]), Ok(None)), "{short}");
    }
    check_framing(&head);
    let written = write_head(&head);
    let Ok(Some((length, again))) = parse_head(&written) else {
        panic!("{head:?} is not parsed again");
    };
    assert_eq!(length, written.len());
    assert_eq!(again.framing, head.framing);
    assert_eq!(again.keeps_alive, head.keeps_alive);
    assert_eq!(again.expects_continue, head.expects_continue);
    assert_eq!(again.request.method(), head.request.method());
    assert_eq!(again.request.uri(), head.request.uri());
    assert_eq!(again.request.headers(), head.request.headers());
});

/// Checks that no other reader of the head finds another length of the body.
fn check_framing(head: &RequestHead) {
    let headers = head.request.headers();
    assert!(headers.len() <= MAX_HEADERS);
    let mut lengths = headers.get_all("content-length").iter();
    match head.framing {
        RequestFraming::Chunked => {
            assert!(lengths.next().is_none());
            assert_eq!(headers.get_all("transfer-encoding").iter().count(), 1);
        }
        RequestFraming::Length(length) => {
            assert!(!headers.contains_key("transfer-encoding"));
            if length > 0 {
                assert!(lengths.next().is_some());
            }
            for text in lengths {
                let text = text.to_str().expect("digits").trim();
                assert_eq!(text.parse(), Ok(length));
            }
        }
    }
}

fn write_head(head: &RequestHead) -> Vec<u8> {
    let request = &head.request;
    let start = format!(
        "{} {} {:?}\r\n",
        request.method(),
        request.uri(),
        request.version()
    );
    let mut bytes = start.into_bytes();
    for (name, value) in request.headers() {
        bytes.extend_from_slice(name.as_str().as_bytes());
        bytes.extend_from_slice(b": ");
        bytes.extend_from_slice(value.as_bytes());
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"\r\n");
    bytes
}
