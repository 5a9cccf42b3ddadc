//! Stand-in of the platform's store: rows, transactions and the feed of changes, as the page of the
//! protocol describes them, and the drill after which the store goes on from an older copy.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Connection;
use crate::json::quoted;
use crate::json::Json;

/// Table, part and key of a row.
type RowName = (String, String, String);

#[derive(Clone)]
struct Row {
    /// Base64; `None` if the row was removed.
    value: Option<String>,
    version: u64,
}

/// What a copy of the store holds.
#[derive(Clone, Default)]
struct Content {
    rows: BTreeMap<RowName, Row>,
    version: u64,
}

struct Inner {
    content: Content,
    copy: Option<Content>,
    era: u64,
    is_away: bool,
    /// Connections, with the number of the address at which they came.
    connections: Vec<(usize, TcpStream)>,
    /// Number of addresses, and of those that are closed.
    addresses: usize,
    closed: usize,
    /// What was written, for the record.
    writes: Vec<String>,
    start: Instant,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    inner: Arc<(Mutex<Inner>, Condvar)>,
}

const TX_TIME: Duration = Duration::from_millis(4);
const MAX_WAIT: Duration = Duration::from_secs(30);

impl Store {
    pub fn new(start: Instant) -> Store {
        let inner = Inner {
            content: Content::default(),
            copy: None,
            era: 1,
            is_away: false,
            connections: Vec::new(),
            addresses: 0,
            closed: 0,
            writes: Vec::new(),
            start,
        };
        Store {
            inner: Arc::new((Mutex::new(inner), Condvar::new())),
        }
    }

    /// Serves the store at an address until the process ends.
    pub fn listen(&self, address: SocketAddr) -> std::io::Result<()> {
        let listener = TcpListener::bind(address)?;
        let store = self.clone();
        let mut inner = self.lock();
        let number = inner.addresses;
        inner.addresses += 1;
        drop(inner);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let mut inner = store.lock();
                if number < inner.closed {
                    return;
                }
                if inner.is_away {
                    continue;
                }
                if let Ok(copy) = stream.try_clone() {
                    inner.connections.push((number, copy));
                }
                drop(inner);
                let store = store.clone();
                thread::spawn(move || store.serve(Connection::new(stream)));
            }
        });
        Ok(())
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.0.lock().expect("no thread panics with the lock")
    }

    /// Writes rows of the operator in one transaction. Returns the version: the acknowledgement.
    pub fn put(&self, rows: &[(&str, &str, String)]) -> u64 {
        let mut inner = self.lock();
        let version = inner.next_version();
        for (table, key, text) in rows {
            let value = Some(base64(text.as_bytes()));
            inner.set((*table, "", *key), Row { value, version }, "operator");
        }
        self.inner.1.notify_all();
        version
    }

    /// Returns the text of a row that is there, and its version.
    pub fn get(&self, table: &str, key: &str) -> Option<(String, u64)> {
        let inner = self.lock();
        let name = (table.to_owned(), String::new(), key.to_owned());
        let row = inner.content.rows.get(&name)?;
        let text = from_base64(row.value.as_ref()?)?;
        Some((String::from_utf8_lossy(&text).into_owned(), row.version))
    }

    pub fn version(&self) -> u64 {
        self.lock().content.version
    }

    /// Takes the copy from which the store comes back in the drill.
    pub fn take_copy(&self) {
        let mut inner = self.lock();
        inner.copy = Some(inner.content.clone());
    }

    /// Goes away: ends all connections and takes no new ones.
    pub fn go_away(&self) {
        let mut inner = self.lock();
        inner.is_away = true;
        for (_, connection) in inner.connections.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        self.inner.1.notify_all();
    }

    /// Serves the first address no more: ends its connections and closes its port with the next one.
    pub fn close_first(&self) {
        let mut inner = self.lock();
        inner.closed = 1;
        inner.connections.retain(|(number, connection)| {
            if *number == 0 {
                let _ = connection.shutdown(Shutdown::Both);
            }
            *number != 0
        });
    }

    /// Comes back from the copy. What the operator wrote since is written again, in one transaction,
    /// before anybody else is served.
    pub fn come_back(&self) {
        let mut inner = self.lock();
        let copy = inner.copy.take().expect("a copy was taken");
        let newer = std::mem::replace(&mut inner.content, copy);
        inner.era += 1;
        let mut again = Vec::new();
        for (name, row) in newer.rows {
            let is_lost = row.version > inner.content.version;
            if is_lost && name.0 == "op" {
                again.push((name, row.value));
            }
        }
        if !again.is_empty() {
            let version = inner.next_version();
            for ((table, part, key), value) in again {
                let row = Row { value, version };
                inner.set((&table, &part, &key), row, "operator, again");
            }
        }
        inner.is_away = false;
        self.inner.1.notify_all();
    }

    /// Returns what was written, one line each.
    pub fn writes(&self) -> Vec<String> {
        self.lock().writes.clone()
    }

    fn serve(&self, mut connection: Connection) {
        while let Some(request) = connection.read() {
            let (status, body) = self.answer(request.method(), request.target(), &request.body);
            let inner = self.lock();
            if inner.is_away {
                return;
            }
            let era = inner.era;
            drop(inner);
            let head = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nStore-Era: {era}\r\n\
                 Content-Length: {}\r\n\r\n",
                body.len()
            );
            let bytes = [head.as_bytes(), body.as_bytes()].concat();
            if connection.stream.write_all(&bytes).is_err() {
                return;
            }
        }
    }

    fn answer(&self, method: &str, target: &str, body: &[u8]) -> (&'static str, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query = Query::parse(query);
        match (method, path) {
            ("POST", "/coltsfootweir/rows-tx") => {
                thread::sleep(TX_TIME);
                let text = String::from_utf8_lossy(body);
                match Json::parse(&text) {
                    Some(call) => self.transact(&call),
                    None => ("400 Bad Request", "{}".into()),
                }
            }
            ("GET", "/coltsfootweir/rows-get") => self.read(&query),
            ("GET", "/coltsfootweir/rows-feed") => self.feed(&query),
            _ => ("404 Not Found", "{}".into()),
        }
    }

    fn transact(&self, call: &Json) -> (&'static str, String) {
        let mut inner = self.lock();
        if inner.is_away {
            return ("503 Service Unavailable", "{}".into());
        }
        for condition in call.list("expected_rev") {
            let Some(name) = row_name(condition) else {
                return ("400 Bad Request", "{}".into());
            };
            let row = inner.content.rows.get(&name);
            let held = row.filter(|row| row.value.is_some());
            let version = held.map_or(0, |row| row.version);
            if Some(version) != condition.number("schema_version") {
                return ("412 Precondition Failed", inner.reply("\"rows\":[]"));
            }
        }
        for entry in call.list("upserts").iter().chain(call.list("remove")) {
            if matches!(entry.text("table"), Some("op" | "servers")) {
                return ("403 Forbidden", "{}".into());
            }
        }
        let version = inner.next_version();
        for entry in call.list("upserts") {
            let (Some(name), Some(value)) = (row_name(entry), entry.text("value")) else {
                return ("400 Bad Request", "{}".into());
            };
            let value = Some(value.to_owned());
            inner.set(
                (&name.0, &name.1, &name.2),
                Row { value, version },
                "system",
            );
        }
        for entry in call.list("remove") {
            let Some(name) = row_name(entry) else {
                return ("400 Bad Request", "{}".into());
            };
            let row = Row {
                value: None,
                version,
            };
            inner.set((&name.0, &name.1, &name.2), row, "system");
        }
        self.inner.1.notify_all();
        ("200 OK", inner.reply("\"rows\":[]"))
    }

    fn read(&self, query: &Query) -> (&'static str, String) {
        let inner = self.lock();
        let limit = query.get("limit").parse().unwrap_or(500);
        let (from, to) = (query.get("from"), query.get("to"));
        let mut rows = Vec::new();
        let mut has_more = false;
        for ((table, part, key), row) in &inner.content.rows {
            let is_meant = *table == query.get("table")
                && *part == query.get("part")
                && *key >= from
                && (to.is_empty() || *key < to);
            if !is_meant || row.value.is_none() {
                continue;
            }
            if rows.len() >= limit {
                has_more = true;
                break;
            }
            rows.push(row_text(table, part, key, row));
        }
        let fields = format!("\"rows\":[{}],\"has_more\":{has_more}", rows.join(","));
        ("200 OK", inner.reply(&fields))
    }

    fn feed(&self, query: &Query) -> (&'static str, String) {
        let after: u64 = query.get("after").parse().unwrap_or(0);
        let wait_ms = query.get("wait_ms").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms).min(MAX_WAIT);
        let table = query.get("table");
        let mut inner = self.lock();
        loop {
            if inner.is_away {
                return ("503 Service Unavailable", "{}".into());
            }
            if after > inner.content.version {
                return ("410 Gone", inner.reply("\"rows\":[]"));
            }
            let mut changed: Vec<_> = inner
                .content
                .rows
                .iter()
                .filter(|(name, row)| name.0 == table && row.version > after)
                .collect();
            changed.sort_by_key(|(_, row)| row.version);
            let rows: Vec<_> = changed
                .into_iter()
                .map(|((table, part, key), row)| row_text(table, part, key, row))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                let fields = format!("\"rows\":[{}]", rows.join(","));
                return ("200 OK", inner.reply(&fields));
            }
            let waited = self.inner.1.wait_timeout(inner, left);
            inner = waited.expect("no thread panics with the lock").0;
        }
    }
}

impl Inner {
    fn next_version(&mut self) -> u64 {
        self.content.version += 1;
        self.content.version
    }

    fn set(&mut self, (table, part, key): (&str, &str, &str), row: Row, writer: &str) {
        let at = self.start.elapsed().as_millis();
        let what = match &row.value {
            Some(_) => "wrote",
            None => "removed",
        };
        let version = row.version;
        self.writes.push(format!(
            "{at} ms: {writer} {what} {table}/{key} at version {version}, era {}",
            self.era
        ));
        let name = (table.to_owned(), part.to_owned(), key.to_owned());
        self.content.rows.insert(name, row);
    }

    fn reply(&self, fields: &str) -> String {
        let now_ms = self.start.elapsed().as_millis();
        let version = self.content.version;
        format!("{{{fields},\"schema_version\":{version},\"now_ms\":{now_ms}}}")
    }
}

fn row_name(entry: &Json) -> Option<RowName> {
    let part = entry.text("part").unwrap_or("");
    Some((
        entry.text("table")?.into(),
        part.into(),
        entry.text("key")?.into(),
    ))
}

fn row_text(table: &str, part: &str, key: &str, row: &Row) -> String {
    let value = match &row.value {
        Some(value) => format!("\"value\":{}", quoted(value)),
        None => "\"removed\":true".into(),
    };
    format!(
        "{{\"table\":{},\"part\":{},\"key\":{},{value},\"schema_version\":{}}}",
        quoted(table),
        quoted(part),
        quoted(key),
        row.version
    )
}

struct Query(Vec<(String, String)>);

impl Query {
    fn parse(text: &str) -> Query {
        let pairs = text.split('&').filter_map(|pair| pair.split_once('='));
        Query(
            pairs
                .map(|(name, value)| (name.to_owned(), unescape(value)))
                .collect(),
        )
    }

    fn get(&self, name: &str) -> String {
        let found = self.0.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.clone()).unwrap_or_default()
    }
}

fn unescape(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, after)) = rest.split_first() {
        rest = after;
        match first {
            b'+' => bytes.push(b' '),
            b'%' if rest.len() >= 2 => {
                let digits = std::str::from_utf8(&rest[..2]).unwrap_or("3f");
                bytes.push(u8::from_str_radix(digits, 16).unwrap_or(b'?'));
                rest = &rest[2..];
            }
            other => bytes.push(*other),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for group in bytes.chunks(3) {
        let word = group
            .iter()
            .chain([0, 0].iter())
            .take(3)
            .fold(0u32, |word, byte| word << 8 | u32::from(*byte));
        for index in 0..4 {
            match index <= group.len() {
                true => out.push(SIGNS[(word >> (18 - 6 * index)) as usize & 63] as char),
                false => out.push('='),
            }
        }
    }
    out
}

fn from_base64(text: &str) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    let (mut word, mut bits) = (0u32, 0);
    for sign in text.bytes().filter(|sign| *sign != b'=') {
        let digit = SIGNS.iter().position(|other| *other == sign)?;
        word = word << 6 | digit as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((word >> bits) as u8);
        }
    }
    Some(bytes)
}
