//! Objects of old generations leave the platform; the head and the kept window stay.

mod common;

use std::time::Duration;
use std::time::SystemTime;

use coltsfootweir::accept::delta_object;
use coltsfootweir::accept::fetch_snapshot;
use coltsfootweir::accept::read_head;
use coltsfootweir::head_history::HISTORY_KEY;
use coltsfootweir::http_platform::HttpPlatform;
use coltsfootweir::platform::KeyRange;
use coltsfootweir::platform::PlatformStore;
use coltsfootweir::platform::RowCondition;
use coltsfootweir::platform::RowWrite;
use coltsfootweir::platform::WriteBatch;
use serde_json::json;

use common::PATIENCE;
use common::process_fleet::ProcessFleet;
use common::process_fleet::region_of;
use common::records::accept_unoffered;
use common::records::one_route;
use common::wait_for;

/// Generations before the head whose objects are kept.
const KEPT_GENERATIONS: u64 = 1000;

const OLD_GENERATIONS: u64 = 30;

fn count_objects(store: &dyn PlatformStore) -> usize {
    let range = KeyRange {
        prefix: "".into(),
        after: "".into(),
        limit: usize::MAX,
    };
    store.list_objects(&range).expect("the store").len()
}

/// Notes that `generation` was the head eight days ago.
fn note_head(store: &dyn PlatformStore, generation: u64) {
    let at = SystemTime::now() - Duration::from_secs(8 * 24 * 3600);
    let value = json!({"samples": [{"at": at, "generation": generation}]});
    let writes = vec![RowWrite {
        key: HISTORY_KEY.into(),
        condition: RowCondition::Absent,
        value: Some(value.to_string().into()),
    }];
    let write_id = "history".into();
    let batch = WriteBatch { write_id, writes };
    store.commit(&batch).expect("the store");
}

#[test]
fn objects_of_old_generations_go_and_a_daemon_that_starts_later_still_serves() {
    let mut fleet = ProcessFleet::empty();
    let store = HttpPlatform::new(fleet.platform.address, Duration::from_secs(3));
    let last = KEPT_GENERATIONS + OLD_GENERATIONS;
    let mut oldest_kept = None;
    for number in 1..=last {
        let text = one_route("stalls").replace("2000", &(2000 + number).to_string());
        assert_eq!(accept_unoffered(&store, &text), number);
        if number == OLD_GENERATIONS {
            oldest_kept = Some(read_head(&store).expect("the head"));
        }
    }
    note_head(&store, last);
    for number in 0..3 {
        fleet.add(region_of(number), &[]);
    }
    let kept = 2 * usize::try_from(KEPT_GENERATIONS + 1).expect("a small number");
    wait_for("old objects are gone", PATIENCE, || {
        count_objects(&store) == kept
    });
    let oldest_kept = oldest_kept.expect("a generation");
    fetch_snapshot(&store, &oldest_kept).expect("the oldest generation kept");
    let delta = store.get_object(&delta_object(&oldest_kept));
    assert!(delta.expect("the store").is_some());
    let late = fleet.add_joined("south");
    wait_for("the late daemon serves the head", PATIENCE, || {
        fleet
            .status(late)
            .is_some_and(|status| status.is_serving && status.generation == last)
    });
}
