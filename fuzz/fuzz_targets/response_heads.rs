//! Heads of responses: one that arrives in parts is the same head, its length and coding are never ambiguous,
//! and what is parsed is written as a head that parses as the same. The first byte of an input says whether
//! the request was `HEAD`.

#![no_main]

use libfuzzer_sys::fuzz_target;

use coltsfootweir::sidecar::http_body::BodyFraming;
use coltsfootweir::sidecar::response_head::ResponseHead;
use coltsfootweir::sidecar::response_head::parse_response_head;

fuzz_target!(|input: &[u8]| {
    let Some((kind, bytes)) = input.split_first() else {
        return;
    };
    let is_head = kind % 2 == 1;
    let Ok(Some((size, head))) = parse_response_head(bytes, is_head) else {
        return;
    };
    assert!(bytes[..size].ends_with(b"\r\n\r\n"));
    for short in 0..size {
        let part = parse_response_head(&bytes[..short], is_head);
        assert!(matches!(part, Ok(None)), "{short}");
    }
    let alone = parse_response_head(&bytes[..size], is_head);
    assert_eq!(alone.as_ref(), Ok(&Some((size, head.clone()))));
    assert!((100..600).contains(&head.status));
    check_framing(&head, is_head);
    let written = write_head(&head);
    let again = parse_response_head(&written, is_head);
    let Ok(Some((length, again))) = again else {
        panic!("{head:?} is not parsed again");
    };
    assert_eq!((length, again), (written.len(), head));
});

/// Checks that no other reader of the head finds another end of the body.
fn check_framing(head: &ResponseHead, is_head: bool) {
    let lengths = values(head, "content-length");
    let codings = values(head, "transfer-encoding");
    match head.framing {
        BodyFraming::Chunked => {
            assert_eq!(codings.len(), 1);
            assert!(codings[0].eq_ignore_ascii_case("chunked"));
            assert!(lengths.is_empty());
        }
        BodyFraming::UntilClose => {
            assert!(lengths.is_empty() && codings.is_empty());
            assert!(!head.keeps_alive);
        }
        BodyFraming::Length(length) => {
            let is_bodiless = is_head || matches!(head.status, 100..200 | 204 | 304);
            let is_stated = |text: &&str| text.parse() == Ok(length);
            assert!(is_bodiless || codings.is_empty());
            assert!(is_bodiless || lengths.iter().all(is_stated));
        }
    }
}

/// Returns the values of all fields of a name.
fn values<'h>(head: &'h ResponseHead, name: &str) -> Vec<&'h str> {
    let mut found = Vec::new();
    for (key, value) in &head.headers {
        if key.eq_ignore_ascii_case(name) {
            found.push(std::str::from_utf8(value).expect("a text"));
        }
    }
    found
}

fn write_head(head: &ResponseHead) -> Vec<u8> {
    let has_close = |(name, value): &(Box<str>, Box<[u8]>)| {
        let text = String::from_utf8_lossy(value).to_ascii_lowercase();
        name.eq_ignore_ascii_case("connection")
            && text.split(',').any(|word| word.trim() == "close")
    };
    let closes = head.headers.iter().any(has_close);
    let version = match head.keeps_alive || closes {
        true => "HTTP/1.1",
        false => "HTTP/1.0",
    };
    let mut bytes = format!("{version} {:03} \r\n", head.status).into_bytes();
    for (name, value) in &head.headers {
        bytes.extend_from_slice(name.as_bytes());
        bytes.extend_from_slice(b": ");
        bytes.extend_from_slice(value);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"\r\n");
    bytes
}
