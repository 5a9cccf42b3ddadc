//! HTTP/1.1 messages of the stand-ins, with bodies of stated length or in chunks.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

const HEAD_LIMIT: usize = 256 * 1024;

/// A request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// Returns the status of an answer; 0 if the first line has none.
    pub fn status(&self) -> u16 {
        let mut words = self.first.split(' ');
        words.nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn closes(&self) -> bool {
        self.header("connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

/// A connection and the bytes read from it that belong to no message yet.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        Connection {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn open(address: SocketAddr, timeout: Duration) -> std::io::Result<Connection> {
        let stream = TcpStream::connect_timeout(&address, timeout)?;
        stream.set_read_timeout(Some(timeout))?;
        Ok(Connection::new(stream))
    }

    fn read_more(&mut self) -> Option<()> {
        let mut bytes = [0; 16 * 1024];
        let count = self.stream.read(&mut bytes).ok()?;
        self.buffer.extend_from_slice(&bytes[..count]);
        (count > 0).then_some(())
    }

    /// Reads the next message; `None` at the end of the connection, on an error or a time-out.
    pub fn read(&mut self) -> Option<Message> {
        let end = loop {
            if let Some(end) = self.buffer.windows(4).position(|part| part == b"\r\n\r\n") {
                break end;
            }
            if self.buffer.len() > HEAD_LIMIT {
                return None;
            }
            self.read_more()?;
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let mut message = Message {
            first: lines.next()?.to_owned(),
            ..Message::default()
        };
        for line in lines {
            let (name, value) = line.split_once(':')?;
            message
                .headers
                .push((name.to_owned(), value.trim().to_owned()));
        }
        let is_chunked = message.header("transfer-encoding").is_some();
        if is_chunked {
            message.body = self.read_chunks()?;
        } else {
            let length = message.header("content-length").unwrap_or("0");
            let length = length.parse().ok()?;
            message.body = self.take(length)?;
        }
        Some(message)
    }

    fn take(&mut self, length: usize) -> Option<Vec<u8>> {
        while self.buffer.len() < length {
            self.read_more()?;
        }
        Some(self.buffer.drain(..length).collect())
    }

    fn read_chunks(&mut self) -> Option<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let end = loop {
                if let Some(end) = self.buffer.windows(2).position(|part| part == b"\r\n") {
                    break end;
                }
                self.read_more()?;
            };
            let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
            let text = String::from_utf8_lossy(&line[..end]).into_owned();
            let size = usize::from_str_radix(text.split(';').next()?.trim(), 16).ok()?;
            body.extend(self.take(size)?);
            self.take(2)?;
            if size == 0 {
                return Some(body);
            }
        }
    }

    /// Writes a message with a body of stated length.
    pub fn write(&mut self, first: &str, headers: &str, body: &[u8]) -> std::io::Result<()> {
        let mut bytes = format!("{first}\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
        if body.is_empty() && first.starts_with("GET ") {
            bytes = format!("{first}\r\n{headers}\r\n");
        }
        let mut bytes = bytes.into_bytes();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)
    }
}
