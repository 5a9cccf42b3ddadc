//! The platform's store of rows: reads, transactions and feeds, as the protocol page describes them.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http::HttpReader;
use crate::json::Json;
use crate::json::base64;

type RowKey = (String, String, String);

struct StoredRow {
    value: Option<String>,
    version: u64,
}

#[derive(Default)]
struct StoreRows {
    rows: BTreeMap<RowKey, StoredRow>,
    version: u64,
    /// Whether calls are neither carried out nor answered.
    is_silent: bool,
}

/// A store on a loopback address, until the process ends.
#[derive(Clone)]
pub struct RowStore {
    state: Arc<(Mutex<StoreRows>, Condvar)>,
    start: Instant,
    pub address: SocketAddr,
}

impl RowStore {
    pub fn start(ip: &str) -> RowStore {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let store = RowStore {
            state: Arc::default(),
            start: Instant::now(),
            address: listener.local_addr().expect("an address"),
        };
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a row as the operator does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let (rows, changed) = &*self.state;
        let mut rows = rows.lock().expect("no holder panicked");
        rows.version += 1;
        let row = StoredRow {
            value: Some(base64(value.as_bytes())),
            version: rows.version,
        };
        rows.rows
            .insert((table.into(), String::new(), key.into()), row);
        changed.notify_all();
    }

    /// Has the store carry out and answer no call, or go on.
    pub fn set_silent(&self, is_silent: bool) {
        let (rows, changed) = &*self.state;
        rows.lock().expect("no holder panicked").is_silent = is_silent;
        changed.notify_all();
    }

    /// Waits while the store is silent; returns whether it was.
    fn await_voice(&self) -> bool {
        let (rows, changed) = &*self.state;
        let rows = rows.lock().expect("no holder panicked");
        let was_silent = rows.is_silent;
        let waited = changed.wait_while(rows, |rows| rows.is_silent);
        drop(waited.expect("no holder panicked"));
        was_silent
    }

    fn serve(&self, stream: TcpStream) {
        let mut reader = HttpReader::new(stream);
        while let Some(head) = reader.head() {
            let Some(body) = reader.body(&head) else {
                return;
            };
            // The connection delivers nothing further.
            if self.await_voice() {
                return;
            }
            let (status, text) = self.answer(&head.start, &String::from_utf8_lossy(&body));
            let answer = format!(
                "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{text}",
                text.len()
            );
            if self.await_voice() || reader.stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, start: &str, body: &str) -> (u16, String) {
        let mut words = start.split(' ');
        let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let field = |name: &str| {
            let mut parts = query.split('&').filter_map(|part| part.split_once('='));
            let found = parts.find(|(key, _)| *key == name);
            found.map_or(String::new(), |(_, value)| unescape(value))
        };
        match (method, path) {
            ("GET", "/coltsfootweir/rows-get") => (
                200,
                self.read(&field("table"), &field("part"), &field("from")),
            ),
            ("GET", "/coltsfootweir/rows-feed") => {
                let number = |name: &str| field(name).parse().unwrap_or(0);
                let wait = Duration::from_millis(number("wait_ms"));
                (200, self.feed(&field("table"), number("after"), wait))
            }
            ("POST", "/coltsfootweir/rows-tx") => self.write(body),
            _ => (404, "{}".to_owned()),
        }
    }

    fn reply(&self, rows: &StoreRows, listed: &[String]) -> String {
        format!(
            r#"{{"rows":[{}],"has_more":false,"schema_version":{},"now_ms":{}}}"#,
            listed.join(","),
            rows.version,
            self.start.elapsed().as_millis()
        )
    }

    fn read(&self, table: &str, part: &str, from: &str) -> String {
        let rows = self.state.0.lock().expect("no holder panicked");
        let mut listed = Vec::new();
        for (key, row) in &rows.rows {
            let is_wanted = key.0 == table && key.1 == part && key.2.as_str() >= from;
            if is_wanted && row.value.is_some() {
                listed.push(row_text(key, row));
            }
        }
        self.reply(&rows, &listed)
    }

    fn feed(&self, table: &str, after: u64, wait: Duration) -> String {
        let until = Instant::now() + wait;
        let mut rows = self.state.0.lock().expect("no holder panicked");
        loop {
            let mut changed: Vec<_> = rows.rows.iter().collect();
            changed.retain(|(key, row)| key.0 == table && row.version > after);
            changed.sort_by_key(|(_, row)| row.version);
            let listed: Vec<_> = changed
                .iter()
                .map(|(key, row)| row_text(key, row))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !listed.is_empty() || left.is_zero() {
                return self.reply(&rows, &listed);
            }
            let waited = self.state.1.wait_timeout(rows, left);
            rows = waited.expect("no holder panicked").0;
        }
    }

    fn write(&self, body: &str) -> (u16, String) {
        let Some(call) = Json::parse(body) else {
            return (400, "{}".to_owned());
        };
        let key = |row: &Json| -> RowKey {
            let text = |name| row.get(name).text().to_owned();
            (text("table"), text("part"), text("key"))
        };
        let (rows, changed) = &*self.state;
        let mut rows = rows.lock().expect("no holder panicked");
        for condition in call.get("expected_rev").list() {
            let held = rows.rows.get(&key(condition));
            // A removed row does not exist.
            let held = held.filter(|row| row.value.is_some());
            let version = held.map_or(0, |row| row.version);
            if version != condition.get("schema_version").number() {
                let held = held.map(|row| row_text(&key(condition), row));
                let listed: Vec<_> = held.into_iter().collect();
                return (412, self.reply(&rows, &listed));
            }
        }
        let (upserts, removals) = (call.get("upserts").list(), call.get("remove").list());
        let reserved = |row: &Json| matches!(row.get("table").text(), "op" | "servers");
        if upserts.iter().chain(removals).any(reserved) {
            return (403, "{}".to_owned());
        }
        rows.version += 1;
        let version = rows.version;
        for row in upserts {
            let value = Some(row.get("value").text().to_owned());
            rows.rows.insert(key(row), StoredRow { value, version });
        }
        for row in removals {
            let value = None;
            rows.rows.insert(key(row), StoredRow { value, version });
        }
        changed.notify_all();
        (200, self.reply(&rows, &[]))
    }
}

fn row_text((table, part, key): &RowKey, row: &StoredRow) -> String {
    let version = row.version;
    let value = match &row.value {
        Some(value) => format!(r#""value":"{value}""#),
        None => r#""removed":true"#.to_owned(),
    };
    format!(
        r#"{{"table":"{table}","part":"{part}","key":"{key}",{value},"schema_version":{version}}}"#
    )
}

fn unescape(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        match byte {
            b'+' => bytes.push(b' '),
            b'%' => {
                let digits = [rest.next().unwrap_or(b'0'), rest.next().unwrap_or(b'0')];
                let digits = String::from_utf8_lossy(&digits).into_owned();
                bytes.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
            }
            other => bytes.push(other),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
