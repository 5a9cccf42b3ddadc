//! The platform's store: rows, transactions and the feed, in memory.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Message;
use crate::http::read_message;
use crate::json::Json;
use crate::json::base64;

#[derive(Default)]
struct StoreState {
    /// Value and version by table and key; no value after a removal.
    rows: BTreeMap<(String, String), (Option<String>, u64)>,
    version: u64,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    state: Arc<Mutex<StoreState>>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start(address: SocketAddr) -> Option<Store> {
        let listener = TcpListener::bind(address).ok()?;
        let store = Store {
            state: Arc::default(),
            address: listener.local_addr().ok()?,
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Some(store)
    }

    /// Writes a row as the operator; returns the time of the ack.
    pub fn put(&self, table: &str, key: &str, value: &str) -> Instant {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let row = (Some(base64(value.as_bytes())), state.version);
        state.rows.insert((table.to_owned(), key.to_owned()), row);
        Instant::now()
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut out) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader) {
            let (status, body) = self.answer(&request);
            let text = format!(
                "HTTP/1.1 {status} Done\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if out.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let target = request.word(1);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let field = |name: &str| -> String {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let found = pairs.find(|(key, _)| *key == name);
            found.map_or(String::new(), |(_, value)| decoded(value))
        };
        match path {
            "/coltsfootweir/rows-get" => self.read(&field("table"), &field("from")),
            "/coltsfootweir/rows-feed" => {
                let wait = Duration::from_millis(field("wait_ms").parse().unwrap_or(0));
                self.feed(&field("table"), field("after").parse().unwrap_or(0), wait)
            }
            "/coltsfootweir/rows-tx" => self.write(&String::from_utf8_lossy(&request.body)),
            _ => (404, "{}".to_owned()),
        }
    }

    fn read(&self, table: &str, from: &str) -> (u16, String) {
        let state = self.state.lock().unwrap();
        let mut rows = Vec::new();
        for ((of, key), (value, version)) in &state.rows {
            if of == table && key.as_str() >= from && value.is_some() {
                rows.push(row_text(table, key, value.as_deref(), *version));
            }
        }
        let version = state.version;
        (
            200,
            format!(
                r#"{{"rows":[{}],"has_more":false,"schema_version":{version},"now_ms":1}}"#,
                rows.join(",")
            ),
        )
    }

    fn feed(&self, table: &str, after: u64, wait: Duration) -> (u16, String) {
        let start = Instant::now();
        loop {
            let state = self.state.lock().unwrap();
            let mut rows = Vec::new();
            for ((of, key), (value, version)) in &state.rows {
                if of == table && *version > after {
                    rows.push(row_text(table, key, value.as_deref(), *version));
                }
            }
            if !rows.is_empty() || start.elapsed() >= wait {
                let version = state.version;
                let text = format!(
                    r#"{{"rows":[{}],"schema_version":{version},"now_ms":1}}"#,
                    rows.join(",")
                );
                return (200, text);
            }
            drop(state);
            thread::sleep(Duration::from_millis(2));
        }
    }

    fn write(&self, body: &str) -> (u16, String) {
        let Some(call) = Json::parse(body) else {
            return (400, "{}".to_owned());
        };
        let key = |row: &Json| {
            (
                row.get("table").text().to_owned(),
                row.get("key").text().to_owned(),
            )
        };
        thread::sleep(Duration::from_millis(5));
        let mut state = self.state.lock().unwrap();
        for condition in call.get("expected_rev").list() {
            let held = state.rows.get(&key(condition));
            let version = held.filter(|(value, _)| value.is_some());
            let version = version.map_or(0, |(_, version)| *version);
            if version != condition.get("schema_version").number() {
                return (412, r#"{"rows":[]}"#.to_owned());
            }
        }
        state.version += 1;
        let version = state.version;
        for row in call.get("upserts").list() {
            let value = row.get("value").text().to_owned();
            state.rows.insert(key(row), (Some(value), version));
        }
        for row in call.get("remove").list() {
            state.rows.insert(key(row), (None, version));
        }
        (200, format!(r#"{{"schema_version":{version},"now_ms":1}}"#))
    }
}

fn row_text(table: &str, key: &str, value: Option<&str>, version: u64) -> String {
    let start =
        format!(r#"{{"table":"{table}","part":"","key":"{key}","schema_version":{version}"#);
    match value {
        Some(value) => format!(r#"{start},"value":"{value}"}}"#),
        None => format!(r#"{start},"removed":true}}"#),
    }
}

fn decoded(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = text.get(at + 1..at + 3);
        match (
            bytes[at],
            code.and_then(|code| u8::from_str_radix(code, 16).ok()),
        ) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
            }
            (b'+', _) => {
                out.push(b' ');
                at += 1;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
