//! The platform's store of rows in the test's own process, with faults.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::Value;
use serde_json::json;
use tiny_http::Header;
use tiny_http::Method;
use tiny_http::Request;
use tiny_http::Response;
use tiny_http::Server;

use crate::common::caller_threads::pause;

/// Pause between two looks of a waiting feed.
const FEED_PAUSE: Duration = Duration::from_millis(5);

/// What the store does wrong.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum StoreMood {
    /// Nothing.
    #[default]
    Sound,
    /// It takes calls and never answers.
    Silent,
    /// It refuses every call with this status.
    Refusing(u16),
    /// It carries calls out and does not answer.
    LosesAnswers,
    /// It answers every call with bytes that do not end.
    Endless,
}

/// Bytes that repeat until the caller closes its connection, the beginning of rows.
struct EndlessBytes {
    sent: u64,
}

/// Limit of an answer without end: a caller that takes that much has no bound.
const ENDLESS_LIMIT: u64 = 1_000_000_000;

impl Read for EndlessBytes {
    fn read(&mut self, bytes: &mut [u8]) -> std::io::Result<usize> {
        if self.sent >= ENDLESS_LIMIT {
            return Ok(0);
        }
        bytes.fill(b' ');
        self.sent += bytes.len() as u64;
        Ok(bytes.len())
    }
}

#[derive(Clone, Debug)]
struct StoredRow {
    value: Option<String>,
    version: u64,
}

type RowKey = (String, String);

/// What a copy of the store holds.
#[derive(Clone, Default)]
struct StoreCopy {
    rows: BTreeMap<RowKey, StoredRow>,
    version: u64,
}

#[derive(Default)]
struct StoreState {
    rows: BTreeMap<RowKey, StoredRow>,
    version: u64,
    /// Number of the era, if answers name it.
    era: Option<u32>,
    copy: StoreCopy,
    /// Changes up to this version are no longer told.
    forgotten: u64,
    mood: StoreMood,
    /// Addresses at which calls are taken and not answered.
    silent: BTreeSet<SocketAddr>,
    /// Addresses at which calls are refused with 503.
    refusing: BTreeSet<SocketAddr>,
    calls: u64,
    /// Rows written by daemons.
    written: u64,
    /// Calls that are never answered.
    held: Vec<Request>,
}

/// Rows of the operator that the store has lost.
pub struct LostOrders(Vec<(RowKey, StoredRow)>);

/// A running store; it lives as long as the test's process.
#[derive(Clone)]
pub struct RowStore {
    state: Arc<Mutex<StoreState>>,
    pub address: SocketAddr,
}

impl RowStore {
    pub fn start() -> RowStore {
        let state = Arc::new(Mutex::new(StoreState::default()));
        RowStore::serve_at_new_address(state)
    }

    /// Returns the same store at an address of its own, which can fail alone.
    pub fn open_address(&self) -> RowStore {
        RowStore::serve_at_new_address(Arc::clone(&self.state))
    }

    fn serve_at_new_address(state: Arc<Mutex<StoreState>>) -> RowStore {
        let server = Server::http("127.0.0.1:0").expect("a free port");
        let address = server.server_addr().to_ip().expect("an IP address");
        let store = RowStore { state, address };
        let serving = store.clone();
        std::thread::spawn(move || {
            for request in server.incoming_requests() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(request));
            }
        });
        store
    }

    /// Takes calls at this address and answers none from now on, also of those it holds.
    pub fn silence_address(&self) {
        self.lock().silent.insert(self.address);
    }

    /// Ends what [`RowStore::silence_address`] began.
    pub fn answer_at_address(&self) {
        self.lock().silent.remove(&self.address);
    }

    /// Refuses all calls at this address from now on.
    pub fn refuse_at_address(&self) {
        self.lock().refusing.insert(self.address);
    }

    /// Ends what [`RowStore::refuse_at_address`] began.
    pub fn accept_at_address(&self) {
        self.lock().refusing.remove(&self.address);
    }

    pub fn set_mood(&self, mood: StoreMood) {
        self.lock().mood = mood;
    }

    /// Writes a row as the operator does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.put_encoded(table, key, STANDARD.encode(value));
    }

    /// Writes a row whose value is given as it stands in replies, Base64 or not.
    pub fn put_encoded(&self, table: &str, key: &str, value: String) {
        let mut state = self.lock();
        state.version += 1;
        let row = StoredRow {
            value: Some(value),
            version: state.version,
        };
        state.rows.insert((table.to_owned(), key.to_owned()), row);
    }

    /// Removes a row as the operator does.
    pub fn remove(&self, table: &str, key: &str) {
        let mut state = self.lock();
        state.version += 1;
        let row = StoredRow {
            value: None,
            version: state.version,
        };
        state.rows.insert((table.to_owned(), key.to_owned()), row);
    }

    /// Reads a row's value as the operator does.
    pub fn get(&self, table: &str, key: &str) -> Option<String> {
        let state = self.lock();
        let row = state.rows.get(&(table.to_owned(), key.to_owned()))?;
        let bytes = STANDARD.decode(row.value.as_ref()?).expect("base64");
        Some(String::from_utf8(bytes).expect("text"))
    }

    /// Counts the rows of a table.
    pub fn count(&self, table: &str) -> usize {
        let state = self.lock();
        let rows = state.rows.iter();
        rows.filter(|((of, _), row)| of == table && row.value.is_some())
            .count()
    }

    pub fn forget_history(&self) {
        let mut state = self.lock();
        state.forgotten = state.version;
    }

    /// Names an era in each answer from now on, and takes the copy for [`RowStore::restore`].
    pub fn take_copy(&self) {
        let mut state = self.lock();
        state.era.get_or_insert(1);
        state.copy = StoreCopy {
            rows: state.rows.clone(),
            version: state.version,
        };
    }

    /// Goes on from the copy, in a new era. The rows of the operator are as in the copy until
    /// [`RowStore::put_again`]; what daemons wrote since is lost. Returns what the operator wrote since.
    pub fn restore(&self) -> LostOrders {
        let mut state = self.lock();
        let StoreCopy { rows, version } = state.copy.clone();
        state.era = state.era.map(|era| era + 1);
        state.version = version;
        let newer = std::mem::replace(&mut state.rows, rows);
        let is_lost = |(key, row): &(RowKey, StoredRow)| key.0 == "op" && row.version > version;
        LostOrders(newer.into_iter().filter(is_lost).collect())
    }

    /// Writes again what the operator wrote after the copy, in one transaction.
    pub fn put_again(&self, lost: LostOrders) {
        let mut state = self.lock();
        state.version += 1;
        let version = state.version;
        for (key, row) in lost.0 {
            let value = row.value;
            state.rows.insert(key, StoredRow { value, version });
        }
    }

    /// Goes on from the copy and writes a row of the operator, and then others until versions are given
    /// out that were given out before. No daemon is answered meanwhile.
    pub fn restore_and_overtake(&self, table: &str, key: &str, value: &str) {
        let mut state = self.lock();
        let before = state.version;
        state.rows = state.copy.rows.clone();
        state.version = state.copy.version + 1;
        state.era = state.era.map(|era| era + 1);
        let row = StoredRow {
            value: Some(STANDARD.encode(value)),
            version: state.version,
        };
        state.rows.insert((table.to_owned(), key.to_owned()), row);
        state.version = before + 1;
    }

    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    /// Counts the rows written by daemons.
    pub fn written(&self) -> u64 {
        self.lock().written
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, StoreState> {
        self.state.lock().expect("no holder panicked")
    }

    fn serve(&self, mut request: Request) {
        let mut body = String::new();
        let read = request.as_reader().read_to_string(&mut body);
        read.expect("a body of text");
        let mood = {
            let mut state = self.lock();
            state.calls += 1;
            match () {
                () if state.silent.contains(&self.address) => StoreMood::Silent,
                () if state.refusing.contains(&self.address) => StoreMood::Refusing(503),
                () => state.mood,
            }
        };
        let (status, answer) = match mood {
            StoreMood::Silent => return self.lock().held.push(request),
            StoreMood::Refusing(status) => (status, json!({})),
            StoreMood::Endless => {
                let answer = EndlessBytes { sent: 0 };
                let response = Response::new(200.into(), Vec::new(), answer, None, None);
                // The client closes the connection at some time.
                let _ = request.respond(response);
                return;
            }
            StoreMood::Sound | StoreMood::LosesAnswers => self.answer(&request, &body),
        };
        let mut state = self.lock();
        let is_silent = state.mood == StoreMood::Silent || state.silent.contains(&self.address);
        if mood == StoreMood::LosesAnswers || is_silent {
            return state.held.push(request);
        }
        let era = state.era;
        drop(state);
        let mut response = Response::from_string(answer.to_string()).with_status_code(status);
        if let Some(era) = era {
            let header = Header::from_bytes("Store-Era", era.to_string());
            response.add_header(header.expect("a valid header"));
        }
        // A client that is gone needs no answer.
        let _ = request.respond(response);
    }

    fn answer(&self, request: &Request, body: &str) -> (u16, Value) {
        let url = request.url().to_owned();
        let (path, query) = url.split_once('?').unwrap_or((&url, ""));
        let query: BTreeMap<String, String> = form_urlencoded::parse(query.as_bytes())
            .into_owned()
            .collect();
        let table = query.get("table").cloned().unwrap_or_default();
        match (request.method(), path) {
            (Method::Get, "/coltsfootweir/rows-get") => {
                let from = query.get("from").cloned().unwrap_or_default();
                (200, self.read(&table, &from))
            }
            (Method::Get, "/coltsfootweir/rows-feed") => {
                let number = |name: &str| query.get(name).and_then(|text| text.parse().ok());
                self.feed(&table, number("after"), number("wait_ms"))
            }
            (Method::Post, "/coltsfootweir/rows-tx") => self.write(body),
            _ => (404, json!({})),
        }
    }

    fn read(&self, table: &str, from: &str) -> Value {
        let state = self.lock();
        let mut rows = Vec::new();
        for ((of, key), row) in &state.rows {
            if of == table && key.as_str() >= from && row.value.is_some() {
                rows.push(row_json(table, key, row));
            }
        }
        json!({"rows": rows, "has_more": false, "schema_version": state.version, "now_ms": 1})
    }

    fn feed(&self, table: &str, after: Option<u64>, wait_ms: Option<u64>) -> (u16, Value) {
        let (after, wait) = (
            after.unwrap_or(0),
            Duration::from_millis(wait_ms.unwrap_or(0)),
        );
        let start = Instant::now();
        loop {
            let state = self.lock();
            if after < state.forgotten || after > state.version {
                return (410, json!({}));
            }
            let mut rows = Vec::new();
            for ((of, key), row) in &state.rows {
                if of == table && row.version > after {
                    rows.push(row_json(table, key, row));
                }
            }
            if !rows.is_empty() || start.elapsed() >= wait {
                let version = state.version;
                return (
                    200,
                    json!({"rows": rows, "schema_version": version, "now_ms": 1}),
                );
            }
            drop(state);
            pause(FEED_PAUSE);
        }
    }

    fn write(&self, body: &str) -> (u16, Value) {
        let call: Value = serde_json::from_str(body).expect("JSON");
        let list = |name: &str| call[name].as_array().cloned().unwrap_or_default();
        let key = |row: &Value| -> RowKey {
            let text = |name: &str| row[name].as_str().expect("text").to_owned();
            (text("table"), text("key"))
        };
        let mut state = self.lock();
        for condition in list("expected_rev") {
            let held = state.rows.get(&key(&condition));
            let version = held.map_or(0, |row| row.version);
            if Some(version) != condition["schema_version"].as_u64() {
                return (412, json!({"rows": []}));
            }
        }
        if list("upserts").iter().any(|row| row["table"] == "op") {
            return (403, json!({}));
        }
        state.version += 1;
        let version = state.version;
        state.written += list("upserts").len() as u64;
        for row in list("upserts") {
            let value = row["value"].as_str().map(str::to_owned);
            state.rows.insert(key(&row), StoredRow { value, version });
        }
        for row in list("remove") {
            let value = None;
            state.rows.insert(key(&row), StoredRow { value, version });
        }
        (200, json!({"schema_version": version, "now_ms": 1}))
    }
}

fn row_json(table: &str, key: &str, row: &StoredRow) -> Value {
    match &row.value {
        Some(value) => json!({"table": table, "part": "", "key": key, "value": value,
            "schema_version": row.version}),
        None => json!({"table": table, "part": "", "key": key, "removed": true,
            "schema_version": row.version}),
    }
}
