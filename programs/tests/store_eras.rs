//! The client of the platform's store, on a store whose answers name eras.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::Mutex;

use coltsfootweir::sidecar::platform_adapter::StoreCall;
use coltsfootweir::sidecar::platform_adapter::StoreFault;
use coltsfootweir::sidecar::platform_adapter::StoreReply;
use coltsfootweir::sidecar::platform_adapter::StoreTable;
use coltsfootweir::sidecar::store_client::StoreClient;
use coltsfootweir::sidecar::store_era::store_version::StoreVersion;
use platform::UserPlatform;
use tiny_http::Header;
use tiny_http::Response;
use tiny_http::Server;

/// An answer of the store: status, era and body.
type ScriptedAnswer = (u16, Option<&'static str>, String);

/// A store that gives prepared answers, one after the other.
struct ScriptedStore {
    address: SocketAddr,
    paths: Arc<Mutex<Vec<String>>>,
}

impl ScriptedStore {
    fn start(answers: Vec<ScriptedAnswer>) -> ScriptedStore {
        let server = Server::http("127.0.0.1:0").expect("a free port");
        let address = server.server_addr().to_ip().expect("an IP address");
        let paths = Arc::new(Mutex::new(Vec::new()));
        let seen = Arc::clone(&paths);
        std::thread::spawn(move || {
            for (status, era, body) in answers {
                let Ok(request) = server.recv() else {
                    return;
                };
                let path = request.url().to_owned();
                seen.lock().expect("no holder panicked").push(path);
                let mut response = Response::from_string(body).with_status_code(status);
                if let Some(era) = era {
                    let header = Header::from_bytes("Store-Era", era);
                    response.add_header(header.expect("a valid header"));
                }
                request.respond(response).expect("a client that waits");
            }
        });
        ScriptedStore { address, paths }
    }

    fn calls(&self) -> usize {
        self.paths.lock().expect("no holder panicked").len()
    }
}

fn rows(version: u64, keys: &[&str], has_more: bool) -> String {
    let row = |key: &&str| {
        format!(
            r#"{{"table":"op","part":"","key":"{key}","value":"YQ==","schema_version":{version}}}"#
        )
    };
    let rows: Vec<String> = keys.iter().map(row).collect();
    let rows = rows.join(",");
    format!(r#"{{"rows":[{rows}],"has_more":{has_more},"schema_version":{version},"now_ms":1}}"#)
}

fn version(era: u32, row: u64) -> StoreVersion {
    StoreVersion::new(era, row).expect("in range")
}

fn read() -> StoreCall {
    StoreCall::Read {
        table: StoreTable::Orders,
        from: "".into(),
    }
}

fn watch(after: StoreVersion) -> StoreCall {
    StoreCall::Watch {
        table: StoreTable::Orders,
        after,
        wait_ms: 10,
    }
}

fn write(condition: StoreVersion) -> StoreCall {
    StoreCall::Write {
        table: StoreTable::Departures,
        conditions: vec![("k".into(), condition)],
        puts: vec![("k".into(), b"v".to_vec())],
        removals: Vec::new(),
    }
}

/// Runs the calls on one client and returns the versions of the answers, or the faults.
fn run(store: &ScriptedStore, calls: &[StoreCall]) -> Vec<Result<StoreVersion, StoreFault>> {
    let client = StoreClient::new(Rc::new(UserPlatform), store.address);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let mut results = Vec::new();
    for call in calls {
        let reply = runtime.block_on(client.call(call));
        results.push(reply.map(|reply| reply.version));
    }
    results
}

/// Guards against a feed that goes on from a version of the time before the store came back, and so misses
/// what has been written at lower ones.
#[test]
fn watch_of_an_earlier_era_starts_over() {
    let store = ScriptedStore::start(vec![
        (200, Some("1"), rows(90, &["a"], false)),
        (200, Some("2"), rows(95, &[], false)),
        (200, Some("2"), rows(95, &["a"], false)),
        (200, Some("2"), rows(96, &[], false)),
    ]);
    let calls = [
        read(),
        watch(version(1, 90)),
        watch(version(1, 90)),
        read(),
        watch(version(2, 95)),
    ];
    let gone = Err(StoreFault::HistoryGone);
    let expected = [
        Ok(version(1, 90)),
        gone,
        gone,
        Ok(version(2, 95)),
        Ok(version(2, 96)),
    ];
    assert_eq!(run(&store, &calls), expected);
    assert_eq!(store.calls(), 4, "the second watch is not sent");
}

/// Guards against a condition that matches a version which the store has given out again, for another
/// write: a row of another daemon would be overwritten.
#[test]
fn condition_of_an_earlier_era_does_not_hold() {
    let store = ScriptedStore::start(vec![
        (200, Some("1"), rows(90, &["k"], false)),
        (200, Some("2"), rows(95, &[], false)),
        (200, Some("2"), rows(96, &[], false)),
        (200, Some("2"), rows(97, &[], false)),
    ]);
    let absent = write(StoreVersion::ABSENT);
    let calls = [
        read(),
        write(version(1, 90)),
        write(version(1, 90)),
        absent,
        write(version(2, 96)),
    ];
    let expected = [
        Ok(version(1, 90)),
        Err(StoreFault::NoAnswer),
        Err(StoreFault::Condition),
        Ok(version(2, 96)),
        Ok(version(2, 97)),
    ];
    assert_eq!(run(&store, &calls), expected);
    assert_eq!(store.calls(), 4, "the second write is not sent");
}

/// Guards against versions of an answer whose era is not known, or has ended.
#[test]
fn answer_that_names_no_present_era_is_none() {
    let odd = [Some("1"), None, Some("two"), Some("-2"), Some("")];
    let mut answers = vec![(200, Some("2"), rows(90, &[], false))];
    let mut calls = vec![read()];
    let mut expected = vec![Ok(version(2, 90))];
    for era in odd {
        answers.push((200, era, rows(99, &[], false)));
        calls.push(read());
        expected.push(Err(StoreFault::NoAnswer));
    }
    // A refusal needs no era.
    answers.push((503, None, String::new()));
    calls.push(read());
    expected.push(Err(StoreFault::Refused(503)));
    answers.push((200, Some("2"), rows(91, &[], false)));
    calls.push(read());
    expected.push(Ok(version(2, 91)));
    let store = ScriptedStore::start(answers);
    assert_eq!(run(&store, &calls), expected);
}

/// Guards against a table of which one part was read before the store came back and the other one after.
#[test]
fn table_is_read_again_when_the_store_comes_back_meanwhile() {
    let store = ScriptedStore::start(vec![
        (200, Some("1"), rows(90, &["a", "b"], true)),
        (200, Some("2"), rows(40, &["c"], false)),
        (200, Some("2"), rows(41, &["a"], true)),
        (200, Some("2"), rows(42, &["c"], false)),
    ]);
    let client = StoreClient::new(Rc::new(UserPlatform), store.address);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let whole = runtime.block_on(client.read_all(StoreTable::Orders));
    let StoreReply {
        rows,
        has_more,
        version: read_at,
    } = whole.expect("rows");
    let read: Vec<_> = rows.iter().map(|row| (&*row.key, row.version)).collect();
    assert_eq!(read, [("a", version(2, 41)), ("c", version(2, 42))]);
    assert_eq!((has_more, read_at), (false, version(2, 41)));
}
