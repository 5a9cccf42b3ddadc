//! Connections of clients: heads, bodies and the requests that may run beside each other.

use coltsfootweir::sidecar::client_connection::body_decoder::BodyDecoder;
use coltsfootweir::sidecar::client_connection::body_decoder::DecodedStep;
use coltsfootweir::sidecar::client_connection::body_decoder::RequestFraming;
use coltsfootweir::sidecar::client_connection::read_ahead::MAX_HELD_BYTES;
use coltsfootweir::sidecar::client_connection::read_ahead::MAX_OUTSTANDING;
use coltsfootweir::sidecar::client_connection::read_ahead::RequestTraits;
use coltsfootweir::sidecar::client_connection::read_ahead::may_start;
use coltsfootweir::sidecar::client_connection::request_head::HeadError;
use coltsfootweir::sidecar::client_connection::request_head::has_end;
use coltsfootweir::sidecar::client_connection::request_head::parse_head;
use proptest::prelude::*;

const LOOKUP: RequestTraits = RequestTraits {
    is_repeatable: true,
    has_body: false,
};

const BOOKING: RequestTraits = RequestTraits {
    is_repeatable: false,
    has_body: true,
};

fn starts(outstanding: &[RequestTraits], held: usize, next: RequestTraits) -> bool {
    may_start(outstanding.iter().copied(), held, next)
}

/// Guards against a request that may run once beside another one: if the connection breaks, the client
/// can't tell which of them ran.
#[test]
fn only_repeatable_requests_run_beside_each_other() {
    assert!(starts(&[], 0, BOOKING));
    assert!(starts(&[LOOKUP], 0, LOOKUP));
    assert!(!starts(&[LOOKUP], 0, BOOKING));
    assert!(!starts(&[BOOKING], 0, LOOKUP));
    let upload = RequestTraits {
        has_body: true,
        ..LOOKUP
    };
    assert!(!starts(&[LOOKUP], 0, upload));
    assert!(!starts(&[upload], 0, LOOKUP));
}

/// Guards against the load of a client that sends requests without end and reads no answers.
#[test]
fn requests_ahead_are_bounded_in_number_and_in_bytes_of_answers() {
    let many = [LOOKUP; MAX_OUTSTANDING];
    assert!(starts(&many[1..], 0, LOOKUP));
    assert!(!starts(&many, 0, LOOKUP));
    assert!(starts(&many[..1], MAX_HELD_BYTES - 1, LOOKUP));
    assert!(!starts(&many[..1], MAX_HELD_BYTES, LOOKUP));
}

fn framing(headers: &str) -> Result<RequestFraming, HeadError> {
    let text = format!("POST /a HTTP/1.1\r\nhost: h\r\n{headers}\r\n");
    let parsed = parse_head(text.as_bytes())?;
    Ok(parsed.expect("a whole head").1.framing)
}

/// Guards against a request that is smuggled in the body of another one, of which the daemon and the
/// endpoint see a different length.
#[test]
fn ambiguous_lengths_are_refused() {
    assert_eq!(framing(""), Ok(RequestFraming::Length(0)));
    assert_eq!(
        framing("content-length: 12\r\n"),
        Ok(RequestFraming::Length(12))
    );
    assert_eq!(
        framing("transfer-encoding: Chunked\r\n"),
        Ok(RequestFraming::Chunked)
    );
    for headers in [
        "content-length: 12\r\ntransfer-encoding: chunked\r\n",
        "content-length: 12\r\ncontent-length: 13\r\n",
        "content-length: 12, 12\r\n",
        "content-length: +12\r\n",
        "content-length: 0x12\r\n",
        "content-length:\r\n",
        "content-length: 99999999999999999999999\r\n",
        "transfer-encoding: gzip, chunked\r\n",
        "transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n",
        "transfer-encoding: xchunked\r\n",
        "content-length : 12\r\n",
        "content-length: 12\r\n folded\r\n",
    ] {
        assert_eq!(framing(headers), Err(HeadError::Malformed), "{headers:?}");
    }
    let old = b"POST /a HTTP/1.0\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n";
    assert!(parse_head(old).is_err());
}

/// Guards against a connection that is kept or closed against what the client says.
#[test]
fn connection_header_decides_about_the_next_request() {
    let keeps = |version: &str, header: &str| {
        let text = format!("GET /a HTTP/1.{version}\r\nhost: h\r\n{header}\r\n");
        let parsed = parse_head(text.as_bytes()).expect("a head");
        parsed.expect("a whole head").1.keeps_alive
    };
    assert!(keeps("1", ""));
    assert!(!keeps("1", "connection: x, Close\r\n"));
    assert!(!keeps("0", ""));
    assert!(keeps("0", "connection: Keep-Alive\r\n"));
}

/// Guards against a head with very many headers, which takes memory and time.
#[test]
fn too_many_headers_are_refused() {
    let mut text = "GET /a HTTP/1.1\r\n".to_owned();
    for number in 0..200 {
        text.push_str(&format!("h{number}: v\r\n"));
    }
    text.push_str("\r\n");
    let parsed = parse_head(text.as_bytes());
    assert_eq!(parsed.err(), Some(HeadError::TooLarge));
}

/// Guards against a head in single bytes whose end is not found because it was split.
#[test]
fn end_of_a_head_is_found_wherever_it_was_split() {
    let text = b"GET /a HTTP/1.1\r\nhost: h\r\n\r\n";
    for split in 0..text.len() {
        assert!(!has_end(&text[..split], 0));
        assert!(has_end(text, split), "split at {split}");
    }
}

/// Decodes a body that arrives in pieces of these sizes; returns it, and the bytes behind it.
fn decode(
    framing: RequestFraming,
    wire: &[u8],
    sizes: &[usize],
) -> Result<(Vec<u8>, Option<Vec<u8>>), ()> {
    let mut decoder = BodyDecoder::new(framing);
    let mut buffer = Vec::new();
    let mut body = Vec::new();
    let mut rest = wire;
    let mut sizes = sizes.iter().cycle();
    loop {
        match decoder.decode(&mut buffer).map_err(|_| ())? {
            DecodedStep::Data(bytes) => body.extend_from_slice(&bytes),
            DecodedStep::End => {
                buffer.extend_from_slice(rest);
                return Ok((body, Some(buffer)));
            }
            DecodedStep::Incomplete if rest.is_empty() => return Ok((body, None)),
            DecodedStep::Incomplete => {
                let size = sizes.next().copied().unwrap_or(1).clamp(1, rest.len());
                buffer.extend_from_slice(&rest[..size]);
                rest = &rest[size..];
            }
        }
    }
}

/// Guards against chunk sizes that overflow, and chunks that are not what they say.
#[test]
fn malformed_chunks_are_refused() {
    for wire in [
        "fffffffffffffffff\r\n",
        "-1\r\n",
        "5\r\nhelloX\r\n0\r\n\r\n",
        "zz\r\n",
        "\r\n",
    ] {
        let decoded = decode(RequestFraming::Chunked, wire.as_bytes(), &[64]);
        assert!(decoded.is_err(), "{wire:?}");
    }
    let endless = format!("1;{}", "x".repeat(5_000));
    assert!(decode(RequestFraming::Chunked, endless.as_bytes(), &[64]).is_err());
    let trailers = format!("0\r\n{}\r\n", "t: v\r\n".repeat(1_000));
    assert!(decode(RequestFraming::Chunked, trailers.as_bytes(), &[64]).is_err());
}

proptest! {
    /// Guards against a body that differs by how its bytes arrive, or that takes a part of the next
    /// request.
    #[test]
    fn bodies_are_the_same_however_they_arrive(
        chunks in prop::collection::vec(prop::collection::vec(any::<u8>(), 1..300), 0..8),
        sizes in prop::collection::vec(1..40_usize, 1..6),
        behind in prop::collection::vec(any::<u8>(), 0..40),
    ) {
        let whole = chunks.concat();
        let mut wire = Vec::new();
        for chunk in &chunks {
            wire.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
            wire.extend_from_slice(chunk);
            wire.extend_from_slice(b"\r\n");
        }
        wire.extend_from_slice(b"0\r\n\r\n");
        wire.extend_from_slice(&behind);
        let decoded = decode(RequestFraming::Chunked, &wire, &sizes);
        prop_assert_eq!(decoded, Ok((whole.clone(), Some(behind.clone()))));
        let framing = RequestFraming::Length(whole.len() as u64);
        let wire = [whole.clone(), behind.clone()].concat();
        prop_assert_eq!(decode(framing, &wire, &sizes), Ok((whole, Some(behind))));
    }

    /// Guards against a panic on bytes that are no request.
    #[test]
    fn any_bytes_are_parsed_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let _ = parse_head(&bytes);
        let _ = decode(RequestFraming::Chunked, &bytes, &[7]);
    }
}
