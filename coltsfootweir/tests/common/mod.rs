//! Helpers shared by the integration tests.

// Each test binary uses only a part of this module.
#![allow(dead_code)]

pub mod deadline_guard;
pub mod evidence;
pub mod fake_store;
pub mod records;
pub mod step_test;
pub mod timed_keys;

use proptest::prelude::ProptestConfig;
use proptest::test_runner::RngSeed;

/// Returns a proptest configuration with a fixed seed that writes no files.
pub fn fixed_config(seed: u64, cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}
