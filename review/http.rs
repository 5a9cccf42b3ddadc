//! HTTP/1.1 as far as the stand-ins need it.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the whole body came.
    pub is_whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        let found = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    pub fn word(&self, index: usize) -> &str {
        self.first.split_whitespace().nth(index).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// Reads a request or a response; `None` when the connection ends before a whole head.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    message.first = line.trim_end().to_owned();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let Some((name, value)) = line.trim_end().split_once(':') else {
            break;
        };
        let entry = (name.to_owned(), value.trim().to_owned());
        message.headers.push(entry);
    }
    let length = message.header("content-length").parse().unwrap_or(0);
    message.body = vec![0; length];
    message.is_whole = reader.read_exact(&mut message.body).is_ok();
    Some(message)
}

/// How a call ended.
#[derive(Clone, Debug)]
pub enum CallEnd {
    Answer(Message),
    /// The connection ended without a whole answer.
    Closed,
    /// No answer within the time limit; the client closed the connection.
    GaveUp,
    NotConnected,
}

impl CallEnd {
    pub fn status(&self) -> u16 {
        match self {
            CallEnd::Answer(message) => message.status(),
            _ => 0,
        }
    }

    /// Signature of the endpoint; empty without one.
    pub fn signature(&self) -> String {
        match self {
            CallEnd::Answer(message) => message.header("upstream-signature").to_owned(),
            _ => String::new(),
        }
    }

    pub fn text(&self) -> String {
        match self {
            CallEnd::Answer(message) => {
                let body = String::from_utf8_lossy(&message.body);
                let body: String = body.chars().take(40).collect();
                let signature = message.header("upstream-signature");
                format!("{} signature [{signature}] body [{body}]", message.status())
            }
            CallEnd::Closed => "closed without a whole answer".to_owned(),
            CallEnd::GaveUp => "client left".to_owned(),
            CallEnd::NotConnected => "not connected".to_owned(),
        }
    }
}

/// Sends a request on a new connection and waits for the answer until the time limit.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    limit: Duration,
) -> CallEnd {
    let start = Instant::now();
    let Ok(mut stream) = TcpStream::connect_timeout(&address, limit.min(Duration::from_secs(1)))
    else {
        return CallEnd::NotConnected;
    };
    let _ = stream.set_nodelay(true);
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| *name == "Host") {
        head.push_str(&format!("Host: {address}\r\n"));
    }
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || method != "GET" {
        head.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    head.push_str("\r\n");
    head.push_str(body);
    if stream.write_all(head.as_bytes()).is_err() {
        return CallEnd::Closed;
    }
    let left = limit.saturating_sub(start.elapsed());
    let _ = stream.set_read_timeout(Some(left.max(Duration::from_millis(1))));
    let mut reader = BufReader::new(stream);
    match read_message(&mut reader) {
        Some(message) if message.is_whole => CallEnd::Answer(message),
        _ if start.elapsed() >= limit => CallEnd::GaveUp,
        _ => CallEnd::Closed,
    }
}
