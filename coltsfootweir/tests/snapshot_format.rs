//! The encoding of snapshots and deltas: the bytes of the current format, and the rejection of
//! other formats and non-canonical encodings.

mod common;

use sha2::Digest as _;
use sha2::Sha256;

use coltsfootweir::config_state::ConfigState;
use coltsfootweir::config_state::OfferOutcome;
use coltsfootweir::snapshot::ConfigSnapshot;
use coltsfootweir::snapshot::HeadMark;
use coltsfootweir::snapshot::SNAPSHOT_FORMAT;
use coltsfootweir::snapshot::SnapshotError;

use common::records::first_snapshot;
use common::records::move_record;

/// Encoding of [`fixed_snapshot`] in format 1. If these bytes change, the format version must too.
const FIXED_BYTES: &[u8] = b"\
    \x01\x94\x01\x81\xa6shared\x96\xa6shared\xa6stalls\xa7/shared\xa5check\x92\x00\xce\x1d\xcd\
    e\x00\x0a\x82\xa9stalls/v1\x93\xa6stalls\xa2v1\x92dd\xa9stalls/v2\x93\xa6stalls\xa2v2\x92\
    \x00\x00\x81\xa5to-v2\x98\xa5to-v2\xa6stalls\xa2v1\xa2v2\x92\xcew5\x94\x00\x00\xa7waiting\
    \x92\x00\x00\xa0";

/// Encoding of the delta from the empty configuration to [`fixed_snapshot`].
const FIXED_DELTA: &[u8] = b"\
    \x01\x98\x92\x00\xa0\x92\x01\xc4 \xc3\x098&\xd0\xf5T\xc2f\xaa.\xceH\xbdE\x0f\xc7\xda\x02*:\
    s\x90\x19\x04\x90Z+\xef\xc9\x9cD\x91\x96\xa6shared\xa6stalls\xa7/shared\xa5check\x92\x00\
    \xce\x1d\xcde\x00\x0a\x92\x93\xa6stalls\xa2v1\x92dd\x93\xa6stalls\xa2v2\x92\x00\x00\x91\
    \x98\xa5to-v2\xa6stalls\xa2v1\xa2v2\x92\xcew5\x94\x00\x00\xa7waiting\x92\x00\x00\xa0\x90\
    \x90\x90";

fn fixed_snapshot() -> ConfigSnapshot {
    let mut snapshot = first_snapshot();
    let record = move_record("to-v2", "v1", "v2");
    snapshot.moves.insert(record.name.clone(), record);
    snapshot
}

/// Returns the bytes with a later format version, and a matching mark.
fn later_format(generation: u64, mut bytes: Vec<u8>) -> (Vec<u8>, HeadMark) {
    bytes[0] = SNAPSHOT_FORMAT + 1;
    marked(generation, bytes)
}

/// Returns the bytes and a matching mark.
fn marked(generation: u64, bytes: Vec<u8>) -> (Vec<u8>, HeadMark) {
    let mut digest = String::new();
    for byte in Sha256::digest(&bytes) {
        digest.push_str(&format!("{byte:02x}"));
    }
    let digest = digest.into();
    (bytes, HeadMark { generation, digest })
}

fn held_state() -> ConfigState {
    let snapshot = fixed_snapshot();
    let mut state = ConfigState::new();
    state
        .offer(&snapshot.encode(), &snapshot.mark())
        .expect("the first snapshot is valid");
    state.settle_floor();
    state
}

fn next_snapshot() -> ConfigSnapshot {
    let mut next = fixed_snapshot();
    next.generation = 2;
    next
}

#[test]
fn the_present_format_keeps_its_bytes() {
    let snapshot = fixed_snapshot();
    assert_eq!(snapshot.encode(), FIXED_BYTES);
    let delta = snapshot.delta_from(&ConfigSnapshot::default());
    assert_eq!(delta.encode(), FIXED_DELTA);
    let mark = snapshot.mark();
    assert_eq!(ConfigSnapshot::decode(FIXED_BYTES, &mark), Ok(snapshot));
    assert_eq!(FIXED_BYTES[0], SNAPSHOT_FORMAT);
}

#[test]
fn an_unknown_format_is_refused_by_its_number_and_nothing_changes() {
    let next = next_snapshot();
    let mut state = held_state();
    let (bytes, mark) = later_format(2, next.encode());
    let error = state.offer(&bytes, &mark).expect_err("an unknown format");
    assert_eq!(error, SnapshotError::UnknownFormat(2));
    assert_eq!(
        error.to_string(),
        "format 2 is not known to this build, which reads format 1"
    );
    let (bytes, _) = later_format(2, next.delta_from(&fixed_snapshot()).encode());
    let delta = state.offer_delta(&bytes, &mark);
    assert_eq!(delta, Err(SnapshotError::UnknownFormat(2)));
    let refused = state.refused().expect("the refusal is kept");
    assert_eq!((refused.generation, &refused.error), (2, &error));
    assert_eq!(*state.snapshot(), fixed_snapshot());
    assert!(state.is_serving());
}

#[test]
fn a_refusal_is_forgotten_once_its_generation_is_in_force() {
    let next = next_snapshot();
    let mut state = held_state();
    let (bytes, mark) = later_format(2, next.encode());
    state.offer(&bytes, &mark).expect_err("an unknown format");
    let outcome = state.offer(&next.encode(), &next.mark());
    assert_eq!(outcome, Ok(OfferOutcome::Applied));
    assert_eq!(state.refused(), None);
}

#[test]
fn another_encoding_of_a_snapshot_is_refused_under_its_own_digest() {
    let mut bytes = FIXED_BYTES.to_vec();
    // Encodes the generation in two bytes instead of one.
    bytes.splice(2..3, [0xcc, 1]);
    let (bytes, mark) = marked(1, bytes);
    let refused = ConfigSnapshot::decode(&bytes, &mark);
    assert!(
        matches!(refused, Err(SnapshotError::Unreadable(_))),
        "{refused:?}"
    );
}
