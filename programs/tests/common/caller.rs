//! A caller over plain TCP that keeps its connection and tells a whole answer from any other end.

use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

/// Longest wait for a connection and for each part of an answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Bytes read at once.
const CHUNK_BYTES: usize = 16 * 1024;

/// A request to be sent.
#[derive(Clone, Debug)]
pub struct CallSpec {
    pub method: &'static str,
    pub path: String,
    pub headers: Vec<(&'static str, String)>,
    pub body: Vec<u8>,
}

impl CallSpec {
    pub fn get(path: impl Into<String>) -> CallSpec {
        CallSpec {
            method: "GET",
            path: path.into(),
            headers: Vec::new(),
            body: Vec::new(),
        }
    }

    pub fn post(path: impl Into<String>, body: impl Into<Vec<u8>>) -> CallSpec {
        CallSpec {
            method: "POST",
            body: body.into(),
            ..CallSpec::get(path)
        }
    }

    pub fn with(mut self, name: &'static str, value: impl ToString) -> CallSpec {
        self.headers.push((name, value.to_string()));
        self
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut text = format!("{} {} HTTP/1.1\r\nhost: test\r\n", self.method, self.path);
        for (name, value) in &self.headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str(&format!("content-length: {}\r\n\r\n", self.body.len()));
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

/// How a call ended for its caller.
#[derive(Clone, Debug)]
pub enum CallEnd {
    /// A whole answer came.
    Whole(WholeAnswer),
    /// No connection could be made; nothing was sent.
    Unsent,
    /// The connection ended before the first byte of an answer.
    Closed,
    /// The answer broke off.
    Cut,
    /// No answer came in time.
    TimedOut,
}

impl CallEnd {
    pub fn whole(self) -> Option<WholeAnswer> {
        match self {
            CallEnd::Whole(answer) => Some(answer),
            _ => None,
        }
    }
}

/// An answer whose stated length has come.
#[derive(Clone, Debug)]
pub struct WholeAnswer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl WholeAnswer {
    pub fn header(&self, name: &str) -> &str {
        let mut headers = self.headers.iter();
        headers
            .find_map(|(own, value)| (own == name).then_some(value.as_str()))
            .unwrap_or("")
    }

    pub fn outcome(&self) -> &str {
        self.header("x-coltsfootweir-outcome")
    }

    pub fn reason(&self) -> &str {
        self.header("x-coltsfootweir-reason")
    }

    pub fn is_good(&self) -> bool {
        self.status == 200 && self.outcome() == "ran"
    }

    /// Body as text without its last line break.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).trim_end().to_string()
    }
}

/// A caller with one kept connection to one address.
pub struct KeptCaller {
    address: SocketAddr,
    stream: Option<TcpStream>,
    pub timeout: Duration,
}

impl KeptCaller {
    pub fn new(address: SocketAddr) -> KeptCaller {
        KeptCaller {
            address,
            stream: None,
            timeout: CALL_TIMEOUT,
        }
    }

    /// Sends a request on the kept connection, or on a new one when there is none or it was closed.
    pub fn call(&mut self, spec: &CallSpec) -> CallEnd {
        let kept = self.stream.take().filter(is_open);
        let stream = kept.or_else(|| self.connect());
        let Some(mut stream) = stream else {
            return CallEnd::Unsent;
        };
        // An early answer may stand before the end of a refused body: it is read all the same.
        let _ = stream.write_all(&spec.encode());
        let end = read_answer(&mut stream);
        if let CallEnd::Whole(answer) = &end
            && answer.header("connection") != "close"
        {
            self.stream = Some(stream);
        }
        end
    }

    fn connect(&self) -> Option<TcpStream> {
        let stream = TcpStream::connect_timeout(&self.address, self.timeout).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(self.timeout)).ok()?;
        Some(stream)
    }
}

/// Returns whether the other side has neither closed the connection nor sent anything unasked.
fn is_open(stream: &TcpStream) -> bool {
    if stream.set_nonblocking(true).is_err() {
        return false;
    }
    let peeked = stream.peek(&mut [0]);
    let is_quiet = peeked.is_err_and(|error| error.kind() == ErrorKind::WouldBlock);
    is_quiet && stream.set_nonblocking(false).is_ok()
}

/// Sends a request on a connection of its own.
pub fn call_once(address: SocketAddr, spec: &CallSpec) -> CallEnd {
    KeptCaller::new(address).call(spec)
}

/// Sends bytes as they are on a new connection and returns it.
pub fn send_raw(address: SocketAddr, bytes: &[u8]) -> TcpStream {
    let caller = KeptCaller::new(address);
    let mut stream = caller.connect().expect("a connection");
    stream.write_all(bytes).expect("bytes are sent");
    stream
}

/// Reads one answer, told whole by its stated length.
pub fn read_answer(stream: &mut TcpStream) -> CallEnd {
    let mut bytes = Vec::new();
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        if let Some(answer) = parse_answer(&bytes) {
            return CallEnd::Whole(answer);
        }
        match stream.read(&mut chunk) {
            Ok(0) => return broken_end(&bytes),
            Ok(count) => bytes.extend_from_slice(&chunk[..count]),
            Err(error) if is_timeout(error.kind()) => return CallEnd::TimedOut,
            Err(_) => return broken_end(&bytes),
        }
    }
}

fn is_timeout(kind: ErrorKind) -> bool {
    matches!(kind, ErrorKind::WouldBlock | ErrorKind::TimedOut)
}

fn broken_end(bytes: &[u8]) -> CallEnd {
    if bytes.is_empty() {
        CallEnd::Closed
    } else {
        CallEnd::Cut
    }
}

fn parse_answer(bytes: &[u8]) -> Option<WholeAnswer> {
    let end = bytes.windows(4).position(|part| part == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&bytes[..end]).to_string();
    let mut lines = head.split("\r\n");
    let status = lines.next()?.split(' ').nth(1)?.parse().ok()?;
    let mut headers = Vec::new();
    for line in lines {
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_ascii_lowercase(), value.trim().to_string()));
    }
    let mut answer = WholeAnswer {
        status,
        headers,
        body: Vec::new(),
    };
    let body = &bytes[end + 4..];
    if answer.header("transfer-encoding") == "chunked" {
        // Long answers would be parsed again at each read otherwise.
        if !body.ends_with(b"0\r\n\r\n") {
            return None;
        }
        answer.body = parse_chunks(body)?;
        return Some(answer);
    }
    let length: usize = answer.header("content-length").parse().unwrap_or(0);
    if body.len() < length {
        return None;
    }
    answer.body = body[..length].to_vec();
    Some(answer)
}

/// Returns the body of an answer in chunks, once its last chunk is there.
fn parse_chunks(mut bytes: &[u8]) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let end = bytes.windows(2).position(|part| part == b"\r\n")?;
        let size = std::str::from_utf8(&bytes[..end]).ok()?;
        let size = usize::from_str_radix(size, 16).ok()?;
        let chunk = bytes.get(end + 2..end + 2 + size)?;
        body.extend_from_slice(chunk);
        bytes = bytes.get(end + 2 + size + 2..)?;
        if size == 0 {
            return Some(body);
        }
    }
}
