//! Answers of an endpoint in trouble whose head is no valid one, or does not tell where the body ends.

use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use crate::common::caller_threads::pause;

/// Body of the answer, as the head states it.
const BODY: &str = "a whole body";

/// Time after which the endpoint closes the connection in order.
const IDLE_TIME: Duration = Duration::from_millis(200);

/// Field with the length of the body; it is replaced in many answers.
const LENGTH: &str = "content-length: 12";

/// The body in chunks.
const CHUNKS: &str = "c\r\na whole body\r\n0\r\n\r\n";

/// Names of the answers, what is replaced in the whole one, and by what. Each character is one byte.
const REPLACED: [(&str, &str, &str); 45] = [
    ("status-zero", "200 OK", "000 OK"),
    ("status-low", "200 OK", "099 OK"),
    ("status-high", "200 OK", "600 OK"),
    ("status-last", "200 OK", "999 OK"),
    ("status-short", "200 OK", "20 OK"),
    ("status-long", "200 OK", "2000 OK"),
    ("status-sign", "200 OK", "+20 OK"),
    ("status-switch", "200 OK", "101 OK"),
    ("status-bodiless", "200 OK", "204 OK"),
    ("version", "HTTP/1.1", "HTTP/1.2"),
    ("reason-control", "200 OK", "200 \u{1}K"),
    ("reason-second", "OK", "\u{ff}HTTP/1.1 500 Failed"),
    ("length-sign", LENGTH, "content-length: +12"),
    ("length-blank", LENGTH, "content-length: 1 2"),
    ("length-hex", LENGTH, "content-length: 0xc"),
    ("length-empty", LENGTH, "content-length:"),
    (
        "length-overflow",
        LENGTH,
        "content-length: 99999999999999999999",
    ),
    ("length-list", LENGTH, "content-length: 1,12"),
    ("length-equal-list", LENGTH, "content-length: 1,1"),
    ("length-byte", LENGTH, "content-length: \u{ff}12"),
    (
        "length-twice",
        LENGTH,
        "content-length: 4\r\ncontent-length: 12",
    ),
    ("length-letter", LENGTH, "content-lenqth: 12"),
    ("length-short", LENGTH, "content-lenth: 12"),
    ("length-doubled", LENGTH, "content--length: 12"),
    (
        "length-closing",
        LENGTH,
        "content-lenqth: 12\r\nconnection: close",
    ),
    ("length-missing", LENGTH, "x-more: yes"),
    ("length-keep-alive", LENGTH, "keep-alive: timeout=4"),
    (
        "coding-beside",
        LENGTH,
        "content-length: 12\r\ntransfer-encoding: chunked",
    ),
    ("coding-unknown", LENGTH, "transfer-encoding: xchunked"),
    ("name-blank", LENGTH, "content length: 12"),
    ("name-blank-behind", LENGTH, "content-length : 12"),
    ("name-tab", LENGTH, "content\tlength: 12"),
    ("name-control", LENGTH, "content\u{1}length: 12"),
    ("name-nul", LENGTH, "content\u{0}length: 12"),
    ("name-delete", LENGTH, "content\u{7f}length: 12"),
    ("name-high", LENGTH, "content\u{ad}length: 12"),
    ("name-empty", LENGTH, ": 12"),
    (
        "name-other-blank",
        LENGTH,
        "x more: yes\r\ncontent-length: 12",
    ),
    (
        "name-other-control",
        LENGTH,
        "x\u{8}more: yes\r\ncontent-length: 12",
    ),
    ("line-no-colon", LENGTH, "content-length 12"),
    (
        "line-no-field",
        LENGTH,
        "no field at all\r\ncontent-length: 12",
    ),
    ("line-folded", LENGTH, "content-length: 12\r\n folded"),
    ("line-feed", "\r\ncontent", "\r\n\ncontent"),
    ("line-return", "\r\ncontent", "\rcontent"),
    ("value-nul", LENGTH, "x-more: \u{0}\r\ncontent-length: 12"),
];

/// Names of the answers in chunks, and their codings.
const CODINGS: [(&str, &str); 5] = [
    (
        "chunked-twice",
        "transfer-encoding: chunked\r\ntransfer-encoding: gzip",
    ),
    ("chunked-list", "transfer-encoding: chunked, chunked"),
    ("chunked-byte", "transfer-encoding: \u{ff}chunked"),
    ("chunked-letter", "transfer-encodinq: chunked"),
    (
        "chunked-closing",
        "transfer-encodinq: chunked\r\nconnection: close",
    ),
];

/// Names of the answers in chunks whose coding is sound, and the chunks.
const CHUNKED: [(&str, &str); 5] = [
    ("chunk-line-feed", "c;\n\r\na whole body\r\n0\r\n\r\n"),
    ("chunk-control", "c;\u{1}\r\na whole body\r\n0\r\n\r\n"),
    ("chunk-blank", "c \r\na whole body\r\n0\r\n\r\n"),
    (
        "trailer-no-field",
        "c\r\na whole body\r\n0\r\nno field\r\n\r\n",
    ),
    (
        "trailer-name-blank",
        "c\r\na whole body\r\n0\r\nx more: yes\r\n\r\n",
    ),
];

/// Names of all spoilt answers.
pub fn spoilt_names() -> Vec<&'static str> {
    let mut names = Vec::new();
    names.extend(REPLACED.map(|(name, ..)| name));
    names.extend(CODINGS.map(|(name, _)| name));
    names.extend(CHUNKED.map(|(name, _)| name));
    names
}

/// Writes the answer that a path's last part asks for, `spoilt-NAME`, or one that the id decides about for
/// `spoilt`. Returns `None` for other paths.
pub fn write_spoilt(mode: &str, id: &str, mut out: &TcpStream) -> Option<()> {
    let names = spoilt_names();
    let name = match mode.strip_prefix("spoilt")? {
        "" => names[id.bytes().map(usize::from).sum::<usize>() % names.len()],
        name => name.strip_prefix('-')?,
    };
    let bytes: Vec<u8> = spoilt_text(name, id).chars().map(latin_byte).collect();
    // Fails if the daemon has found the fault before the end.
    let _ = out.write_all(&bytes);
    // Closed in order like an idle connection, which ends a body of unknown length.
    pause(IDLE_TIME);
    Some(())
}

/// The bytes of an answer, and an additional answer that belongs to no request.
fn spoilt_text(name: &str, id: &str) -> String {
    let start = format!("HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nupstream-signature: s");
    let coding = CODINGS.iter().find(|(known, _)| *known == name);
    let chunks = CHUNKED.iter().find(|(known, _)| *known == name);
    let sound = match (coding, chunks) {
        (Some((_, coding)), _) => format!("{start}\r\n{coding}\r\n\r\n{CHUNKS}"),
        (_, Some((_, chunks))) => {
            format!("{start}\r\ntransfer-encoding: chunked\r\n\r\n{chunks}")
        }
        _ => format!("{start}\r\n{LENGTH}\r\n\r\n{BODY}"),
    };
    let replaced = REPLACED.iter().find(|(known, ..)| *known == name);
    let spoilt = match replaced {
        Some((_, from, to)) => sound.replacen(from, to, 1),
        None => sound,
    };
    format!("{spoilt}HTTP/1.1 200 OK\r\nrequest-id: other\r\ncontent-length: 9\r\n\r\nnot yours")
}

fn latin_byte(character: char) -> u8 {
    u8::try_from(u32::from(character)).expect("a character of one byte")
}
