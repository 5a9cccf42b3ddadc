//! Answers of an endpoint in trouble whose head is no valid one, or does not tell where the body ends.

use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use crate::common::caller_threads::pause;

/// Body of the answer, as the head states it.
const BODY: &str = "a whole body";

/// Time after which the endpoint closes the connection in order.
const IDLE_TIME: Duration = Duration::from_millis(200);

/// Head with a length; the field is replaced in many answers.
const LENGTH: &str = "content-length: 12";

/// Names of the answers, what is replaced in the whole one, and by what. Each character is one byte.
const REPLACED: [(&str, &str, &str); 11] = [
    ("status-zero", "200 OK", "000 OK"),
    ("status-low", "200 OK", "099 OK"),
    ("status-high", "200 OK", "600 OK"),
    ("status-last", "200 OK", "999 OK"),
    ("status-short", "200 OK", "20 OK"),
    ("status-long", "200 OK", "2000 OK"),
    ("status-sign", "200 OK", "+20 OK"),
    ("status-switch", "200 OK", "101 OK"),
    ("version", "HTTP/1.1", "HTTP/1.2"),
    ("reason-control", "200 OK", "200 \u{1}K"),
    ("reason-second", "OK", "\u{ff}HTTP/1.1 500 Failed"),
];

/// Names of all spoilt answers.
pub fn spoilt_names() -> Vec<&'static str> {
    let mut names = Vec::new();
    names.extend(REPLACED.map(|(name, ..)| name));
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
    // A connection that is closed at once ends a body of unknown length.
    pause(IDLE_TIME);
    Some(())
}

/// The bytes of an answer, and an additional answer that belongs to no request.
fn spoilt_text(name: &str, id: &str) -> String {
    let start = format!("HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nupstream-signature: s");
    let sound = format!("{start}\r\n{LENGTH}\r\n\r\n{BODY}");
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
