//! Merged reports of several daemons equal the report of one daemon that received every call.

mod common;

use std::time::Duration;

use coltsfootweir::slo::SloRecorder;
use coltsfootweir::slo::SloReport;
use proptest::collection::vec;
use proptest::prelude::*;

use common::fixed_config;

const DAEMONS: usize = 3;

/// A call: receiving daemon, number of the route, whether it failed, end in seconds.
type TestCall = (usize, u8, bool, u64);

fn record(recorder: &mut SloRecorder, call: &TestCall) {
    let (_, route, failed, second) = call;
    let service = format!("service-{}", route % 2).into();
    let route = format!("route-{route}").into();
    recorder.on_call(&service, &route, *failed, Duration::from_secs(*second));
}

proptest! {
    #![proptest_config(fixed_config(0x736c_6f6d, 256))]

    #[test]
    fn merged_reports_count_as_one_daemon_would(
        mut calls in vec((0..DAEMONS, 0u8..5, any::<bool>(), 0u64..30_000), 0..200),
        order in Just([0, 1, 2]).prop_shuffle(),
        after in 0u64..10_000,
    ) {
        calls.sort_by_key(|call| call.3);
        let now = Duration::from_secs(calls.last().map_or(0, |call| call.3) + after);
        let mut whole = SloRecorder::new();
        let mut parts = vec![SloRecorder::new(); DAEMONS];
        for call in &calls {
            record(&mut whole, call);
            record(&mut parts[call.0], call);
        }
        let mut merged = SloReport::default();
        for daemon in order {
            merged.merge(&parts[daemon].report(now));
        }
        prop_assert_eq!(merged, whole.report(now));
    }
}
