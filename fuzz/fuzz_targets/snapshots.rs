//! Encoded snapshots: one is taken under its own digest only, closed and in its one encoding; one that
//! is refused changes nothing.

#![no_main]

use libfuzzer_sys::fuzz_target;

use coltsfootweir::config_state::ConfigState;
use coltsfootweir::config_state::OfferOutcome;
use coltsfootweir::schema::render_record;
use coltsfootweir::snapshot::ConfigSnapshot;
use coltsfootweir::snapshot::HeadMark;
use coltsfootweir::snapshot::SnapshotError;

fuzz_target!(|bytes: &[u8]| {
    // The digest of the bytes, as a decoder that expects another one tells it.
    let Err(SnapshotError::WrongDigest { found, .. }) =
        ConfigSnapshot::decode(bytes, &HeadMark::default())
    else {
        return;
    };
    let digest = found;
    let mut mark = HeadMark {
        generation: 1,
        digest,
    };
    if let Err(SnapshotError::WrongGeneration { found, .. }) = ConfigSnapshot::decode(bytes, &mark)
    {
        mark.generation = found;
    }
    let mut state = ConfigState::new();
    match state.offer(bytes, &mark) {
        Ok(OfferOutcome::Applied) => check_taken(bytes, &mark, &state),
        Ok(outcome) => assert!(mark.generation == 0, "{outcome:?}"),
        Err(_) => assert_eq!(*state.snapshot(), ConfigSnapshot::default()),
    }
});

fn check_taken(bytes: &[u8], mark: &HeadMark, state: &ConfigState) {
    let snapshot = state.snapshot();
    assert_eq!(snapshot.encode(), bytes);
    assert_eq!(snapshot.mark(), *mark);
    assert_eq!(snapshot.validate(), Ok(()));
    for record in snapshot.records() {
        let _ = render_record(&record);
    }
    check_damaged(bytes, mark);
}

/// Every bit of the last byte and every length short of the whole.
fn check_damaged(bytes: &[u8], mark: &HeadMark) {
    let mut state = ConfigState::new();
    for bit in 0..8 {
        let mut damaged = bytes.to_vec();
        damaged[bytes.len() - 1] ^= 1 << bit;
        assert!(state.offer(&damaged, mark).is_err());
    }
    for length in 0..bytes.len() {
        assert!(state.offer(&bytes[..length], mark).is_err());
    }
    assert_eq!(*state.snapshot(), ConfigSnapshot::default());
}
