//! A booking runs at most once while the regions are cut from each other and from the store, again
//! and again, and its caller resends in both.

mod common;

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use standins::upstream_settings::UpstreamSettings;

use common::caller::CallSpec;
use common::caller::KeptCaller;
use common::caller::call_once;
use common::fleet::StopOnDrop;
use common::fleet::assert_at_most_once;
use common::fleet::mint_key;
use common::fleet::pause;
use common::fleet::run_counts;
use common::mesh::CutKind;
use common::mesh::TestMesh;

const CALLERS: usize = 16;

/// Longest wait of a caller for one answer before it sends again.
const IMPATIENCE: Duration = Duration::from_millis(500);

fn upstream_settings() -> UpstreamSettings {
    let mut settings = UpstreamSettings::new("stalls", "v1");
    settings.work = Duration::from_millis(20);
    settings.work_jitter_percent = 100;
    settings
}

fn book(key: &str) -> CallSpec {
    CallSpec::post("/bookings/stall", "stall 4").with("idempotency-key", key)
}

type FirstAnswers = Mutex<HashMap<String, Vec<u8>>>;

fn book_until_stopped(mesh: &TestMesh, caller: usize, stop: &AtomicBool, first: &FirstAnswers) {
    let mut rng = ChaCha8Rng::seed_from_u64(caller as u64);
    let addresses = mesh.calls();
    for number in 0.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let minter = addresses[rng.random_range(0..addresses.len())];
        let minted = (number % 2 == 0).then(|| mint_key(minter)).flatten();
        let key = minted.unwrap_or_else(|| format!("own-{caller}-{number}"));
        for _ in 0..4 {
            let mut sender = KeptCaller::new(addresses[rng.random_range(0..addresses.len())]);
            sender.timeout = IMPATIENCE;
            let Some(answer) = sender.call(&book(&key)).whole() else {
                continue;
            };
            if !answer.is_good() {
                continue;
            }
            let mut first = first.lock().expect("answers");
            let kept = first
                .entry(key.clone())
                .or_insert_with(|| answer.body.clone());
            assert_eq!(*kept, answer.body, "{key}: a repeat got a different answer");
        }
    }
}

#[test]
fn bookings_run_once_while_both_regions_are_cut_and_heal() {
    let regions = ["north", "north", "south", "south"];
    let mesh = TestMesh::start(&regions, &upstream_settings());
    let stop = AtomicBool::new(false);
    let first = FirstAnswers::default();
    std::thread::scope(|scope| {
        let stopper = StopOnDrop(&stop);
        for caller in 0..CALLERS {
            let (mesh, stop, first) = (&mesh, &stop, &first);
            scope.spawn(move || book_until_stopped(mesh, caller, stop, first));
        }
        let kinds = [CutKind::Everything, CutKind::Nothing, CutKind::Control];
        for kind in kinds.iter().cycle().take(9) {
            pause(Duration::from_millis(900));
            mesh.set_cut(*kind);
        }
        mesh.set_cut(CutKind::Nothing);
        pause(Duration::from_millis(900));
        drop(stopper);
    });
    let runs = mesh.runs();
    assert_at_most_once(&runs);
    let first = first.into_inner().expect("answers");
    let counts = run_counts(&runs);
    for key in first.keys() {
        assert!(counts.contains_key(key), "{key} was answered and never ran");
    }
    assert!(first.len() > 50, "only {} bookings done", first.len());
}

#[test]
fn booking_run_before_the_cut_does_not_run_in_the_other_region() {
    let mesh = TestMesh::start(&["north", "south"], &upstream_settings());
    let calls = mesh.calls();
    for number in 0..10 {
        mesh.set_cut(CutKind::Nothing);
        mesh.wait_ready();
        let key = match number % 2 {
            0 => mint_key(calls[number / 2 % 2]).expect("a key"),
            _ => format!("cut-{number}"),
        };
        let answer = call_once(calls[0], &book(&key)).whole().expect("an answer");
        assert!(answer.is_good(), "{}", answer.text());
        mesh.set_cut(CutKind::Everything);
        let owner_is_north = mesh.servers[0]
            .runs()
            .iter()
            .any(|run| run.request.idempotency_key.as_deref() == Some(&*key));
        let other = if owner_is_north { calls[1] } else { calls[0] };
        let repeat = call_once(other, &book(&key)).whole().expect("an answer");
        assert!(!repeat.is_good(), "the first answer cannot be known here");
        // A claim that cannot be read is refused, and that attempt was not run.
        let outcome = (repeat.outcome(), repeat.reason());
        let allowed = [
            ("in-doubt", "owner-gone"),
            ("not-run", "store-unavailable"),
            ("not-run", "upstream-down"),
        ];
        assert!(allowed.contains(&outcome), "{outcome:?}");
    }
    assert_at_most_once(&mesh.runs());
    assert_eq!(mesh.runs().len(), 10);
}
