//! Records are removed by the operator's program, and the name of a removed move stays used.

mod common;

use coltsfootweir::accept::accept_change;
use coltsfootweir::http_platform::HttpPlatform;
use coltsfootweir::record::MovePhase;
use coltsfootweir::record::TrafficShare;
use coltsfootweir::snapshot::ConfigSnapshot;

use common::PATIENCE;
use common::apply;
use common::records::move_text;
use common::records::route_text;
use common::records::two_versions;
use common::start_platform;

#[test]
fn removed_records_are_gone_and_a_used_name_stays_used() {
    let platform = start_platform();
    let remove = |label: &str| platform.operate(&format!("remove {label}"), "");
    let start = move_text("to-v2", "stalls", 600);
    apply(platform.address, &two_versions("stalls"));
    apply(
        platform.address,
        &route_text("free", "stalls", "/stalls", 1000),
    );
    apply(platform.address, &start);
    let run = remove("move/to-v2");
    assert_eq!(run.code, 2, "{run:?}");
    assert!(run.err.contains("under way"), "{run:?}");
    let store = HttpPlatform::new(platform.address, PATIENCE);
    let end = |base: &ConfigSnapshot| {
        base.with_move_step("to-v2", MovePhase::TakenBack, TrafficShare::NONE, "bad")
    };
    accept_change(&store, &|| "ended-by-test".into(), &end, &[]).expect("move ends");
    assert_eq!(remove("move/to-v2").code, 0);
    let run = platform.operate("apply -", &start);
    assert_eq!(run.code, 3, "{run:?}");
    assert!(run.err.contains("move/to-v2"), "{run:?}");
    assert_eq!(remove("upstream-version/stalls/v2").code, 0);
    let run = remove("upstream-version/stalls/v1");
    assert_eq!(run.code, 2, "{run:?}");
}
