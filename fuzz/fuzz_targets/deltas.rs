//! Encoded deltas: what decodes encodes and decodes to the same; one that applies leads to a closed
//! snapshot of the digest it names, and under another digest it changes nothing.

#![no_main]

use std::time::SystemTime;

use libfuzzer_sys::fuzz_target;

use coltsfootweir::config_state::ConfigState;
use coltsfootweir::config_state::OfferOutcome;
use coltsfootweir::schema::parse_records;
use coltsfootweir::snapshot::ConfigSnapshot;
use coltsfootweir::snapshot::SnapshotDelta;
use coltsfootweir::snapshot::SnapshotError;

/// Records of the snapshot that deltas start from.
const BASE_RECORDS: &str = r#"[
  {"kind": "upstream-version", "schema": 1, "service": "stalls", "version": "v1", "share": 100},
  {"kind": "upstream-version", "schema": 1, "service": "stalls", "version": "v2", "share": 0},
  {"kind": "route", "schema": 1, "name": "shared", "service": "stalls", "prefix": "/shared",
   "class": "check", "timeout_ms": 500}
]"#;

fuzz_target!(|bytes: &[u8]| {
    let Ok(mut delta) = SnapshotDelta::decode(bytes) else {
        return;
    };
    assert_eq!(SnapshotDelta::decode(&delta.encode()), Ok(delta.clone()));
    let base = base_snapshot();
    delta.base = base.mark();
    delta.result.digest = "".into();
    // The digest of the result, as the check of another one tells it.
    let found = match base.apply_delta(&delta) {
        Err(SnapshotError::WrongDigest { found, .. }) => found,
        // Generation 0 has no digest; it is below whatever is in force.
        _ => {
            assert_eq!(delta.result.generation, 0);
            "".into()
        }
    };
    let mut state = held_state(&base);
    let refused = state.offer_delta(&delta.encode(), &delta.result);
    assert_ne!(refused, Ok(OfferOutcome::Applied));
    assert_eq!(*state.snapshot(), base);
    delta.result.digest = found;
    match state.offer_delta(&delta.encode(), &delta.result) {
        Ok(OfferOutcome::Applied) => {
            let next = state.snapshot();
            assert_eq!(next.mark(), delta.result);
            assert_eq!(next.validate(), Ok(()));
            let decoded = ConfigSnapshot::decode(&next.encode(), &delta.result);
            assert_eq!(decoded.as_ref(), Ok(&*next));
        }
        _ => assert_eq!(*state.snapshot(), base),
    }
});

fn base_snapshot() -> ConfigSnapshot {
    let records = parse_records(BASE_RECORDS, SystemTime::UNIX_EPOCH).expect("sound records");
    let base = ConfigSnapshot::default();
    base.with_records(records).expect("a closed snapshot")
}

fn held_state(base: &ConfigSnapshot) -> ConfigState {
    let mut state = ConfigState::new();
    state
        .offer(&base.encode(), &base.mark())
        .expect("the base is sound");
    state
}
