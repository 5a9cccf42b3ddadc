//! Heads and bodies of HTTP/1.1 on blocking sockets.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

/// Head of a request or an answer.
#[derive(Clone, Debug, Default)]
pub struct HttpHead {
    pub start: String,
    pub headers: Vec<(String, String)>,
}

impl HttpHead {
    /// First value of a header, or an empty text.
    pub fn header(&self, name: &str) -> &str {
        let mut headers = self.headers.iter();
        let found = headers.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    pub fn word(&self, index: usize) -> &str {
        self.start.split(' ').nth(index).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// A connection and the bytes that were read and not used yet.
pub struct HttpReader {
    pub stream: TcpStream,
    pub buffer: Vec<u8>,
}

impl HttpReader {
    pub fn new(stream: TcpStream) -> HttpReader {
        HttpReader {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Reads more bytes; returns false at the end or after an error.
    pub fn read_more(&mut self) -> bool {
        let mut bytes = [0; 16 * 1024];
        match self.stream.read(&mut bytes) {
            Ok(count) if count > 0 => {
                self.buffer.extend_from_slice(&bytes[..count]);
                true
            }
            _ => false,
        }
    }

    pub fn head(&mut self) -> Option<HttpHead> {
        loop {
            let end = self.buffer.windows(4).position(|part| part == b"\r\n\r\n");
            if let Some(end) = end {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let mut head = HttpHead {
                    start: lines.next()?.to_owned(),
                    headers: Vec::new(),
                };
                for line in lines {
                    let (name, value) = line.split_once(':')?;
                    head.headers
                        .push((name.to_owned(), value.trim().to_owned()));
                }
                return Some(head);
            }
            if !self.read_more() {
                return None;
            }
        }
    }

    pub fn exactly(&mut self, length: usize) -> Option<Vec<u8>> {
        while self.buffer.len() < length {
            if !self.read_more() {
                return None;
            }
        }
        Some(self.buffer.drain(..length).collect())
    }

    /// Reads the body of a message whose head is `head`; `None` if it broke off.
    pub fn body(&mut self, head: &HttpHead) -> Option<Vec<u8>> {
        if head
            .header("transfer-encoding")
            .eq_ignore_ascii_case("chunked")
        {
            let mut body = Vec::new();
            loop {
                let line = self.line()?;
                let size = usize::from_str_radix(line.trim(), 16).ok()?;
                body.extend(self.exactly(size)?);
                self.line()?;
                if size == 0 {
                    return Some(body);
                }
            }
        }
        self.exactly(head.header("content-length").parse().unwrap_or(0))
    }

    fn line(&mut self) -> Option<String> {
        loop {
            let end = self.buffer.windows(2).position(|part| part == b"\r\n");
            if let Some(end) = end {
                let line = self.buffer.drain(..end + 2).collect::<Vec<u8>>();
                return String::from_utf8(line).ok();
            }
            if !self.read_more() {
                return None;
            }
        }
    }
}

/// Makes one call on a new connection; `None` without a whole answer within `limit`.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> Option<(HttpHead, Vec<u8>)> {
    let stream = TcpStream::connect_timeout(&address, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let mut reader = HttpReader::new(stream);
    let bytes = request_bytes(method, path, headers, body);
    reader.stream.write_all(&bytes).ok()?;
    let head = reader.head()?;
    let body = reader.body(&head)?;
    Some((head, body))
}

pub fn request_bytes(method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || method != "GET" {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
