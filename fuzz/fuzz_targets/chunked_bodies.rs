//! Chunked bodies of requests: one that arrives in parts is the same body, nothing is lost or made up,
//! and what is decoded is written as a body that decodes to the same. The first byte of an input is the
//! size of the parts.

#![no_main]

use libfuzzer_sys::fuzz_target;

use coltsfootweir::sidecar::client_connection::body_decoder::BodyDecoder;
use coltsfootweir::sidecar::client_connection::body_decoder::DecodedStep;
use coltsfootweir::sidecar::client_connection::body_decoder::RequestFraming;

/// Maximum size of a piece of a body.
const PIECE_LIMIT: usize = 64 * 1024;

/// Maximum size of a chunk header and of the trailers. A longer one may be refused before its end has
/// arrived, and is then not refused if it arrives whole.
const CHUNK_HEADER_LIMIT: usize = 1024;

/// How far a body was decoded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum BodyEnd {
    Ended,
    Incomplete,
    Malformed,
}

fuzz_target!(|bytes: &[u8]| {
    let Some((part_size, input)) = bytes.split_first() else {
        return;
    };
    let (end, body, rest) = decode(input, input.len().max(1));
    assert!(body.len() + rest.len() <= input.len());
    assert!(input.ends_with(&rest));
    let (part_end, part_body, part_rest) = decode(input, usize::from(*part_size).max(1));
    if end == part_end {
        assert_eq!(part_body, body);
    }
    match (end, part_end) {
        (BodyEnd::Ended, BodyEnd::Ended) => assert_eq!(part_rest, rest),
        (_, BodyEnd::Malformed) if input.len() > CHUNK_HEADER_LIMIT => {}
        (whole, parts) => assert_eq!(whole, parts),
    }
    if end == BodyEnd::Ended {
        check_written(&body);
    }
});

/// Decodes an input that arrives in parts; returns how that ended, the body and what is behind it.
fn decode(input: &[u8], part_size: usize) -> (BodyEnd, Vec<u8>, Vec<u8>) {
    let mut decoder = BodyDecoder::new(RequestFraming::Chunked);
    let mut body = Vec::new();
    let mut bytes = Vec::new();
    let mut arrived = 0;
    for part in input.chunks(part_size) {
        bytes.extend_from_slice(part);
        arrived += part.len();
        loop {
            match decoder.decode(&mut bytes) {
                Ok(DecodedStep::Data(data)) => {
                    assert!((1..=PIECE_LIMIT).contains(&data.len()));
                    body.extend_from_slice(&data);
                }
                Ok(DecodedStep::Incomplete) => break,
                Ok(DecodedStep::End) => {
                    assert!(decoder.is_ended());
                    assert_eq!(decoder.left(), Some(0));
                    bytes.extend_from_slice(&input[arrived..]);
                    return (BodyEnd::Ended, body, bytes);
                }
                Err(_) => return (BodyEnd::Malformed, body, bytes),
            }
        }
        assert!(!decoder.is_ended());
    }
    (BodyEnd::Incomplete, body, bytes)
}

fn check_written(body: &[u8]) {
    let mut written = Vec::new();
    for part in body.chunks(7) {
        written.extend_from_slice(format!("{:x}\r\n", part.len()).as_bytes());
        written.extend_from_slice(part);
        written.extend_from_slice(b"\r\n");
    }
    written.extend_from_slice(b"0\r\n\r\n");
    let (end, again, rest) = decode(&written, written.len());
    assert_eq!(end, BodyEnd::Ended);
    assert_eq!(again, body);
    assert!(rest.is_empty());
}
