//! Burn rates and window counts compared with a plain list of calls.

mod common;

use std::time::Duration;

use proptest::prelude::*;

use coltsfootweir::ids::RouteName;
use coltsfootweir::ids::ServiceName;
use coltsfootweir::slo::BUCKET_LENGTH;
use coltsfootweir::slo::SloCounts;
use coltsfootweir::slo::SloRecorder;

use common::fixed_config;

/// A call at a daemon, `gap` seconds after the previous one.
#[derive(Clone, Debug)]
struct PlainCall {
    daemon: usize,
    route: usize,
    failed: bool,
    gap: u64,
}

fn call() -> impl Strategy<Value = PlainCall> {
    let gap = prop_oneof![8 => 0..100_u64, 2 => 100..4000_u64, 1 => 4000..30_000_u64];
    (0..2_usize, 0..3_usize, any::<bool>(), gap).prop_map(|(daemon, route, failed, gap)| {
        PlainCall {
            daemon,
            route,
            failed,
            gap,
        }
    })
}

proptest! {
    #![proptest_config(fixed_config(43, 256))]

    #[test]
    fn windows_hold_what_the_list_holds(
        calls in prop::collection::vec(call(), 1..200),
        wait in 0..30_000_u64,
    ) {
        let service: ServiceName = "stalls".into();
        let mut recorders = [SloRecorder::new(), SloRecorder::new()];
        let mut list: Vec<(RouteName, bool, u64)> = Vec::new();
        let mut second = 0;
        for call in calls {
            second += call.gap;
            let route: RouteName = format!("route-{}", call.route).into();
            let now = Duration::from_secs(second);
            recorders[call.daemon].on_call(&service, &route, call.failed, now);
            list.push((route, call.failed, second));
        }
        let end = second + wait;
        let mut report = recorders[0].report(Duration::from_secs(end));
        report.merge(&recorders[1].report(Duration::from_secs(end)));
        let bucket = BUCKET_LENGTH.as_secs();
        for line in &report.lines {
            // A window includes the current, incomplete bucket.
            let start = (end / bucket + 1) * bucket;
            let start = start.saturating_sub(line.window.length().as_secs());
            let mut counts = SloCounts::default();
            for (route, failed, second) in &list {
                if *route == line.route && *second >= start {
                    counts.calls += 1;
                    counts.failures += u64::from(*failed);
                }
            }
            prop_assert_eq!(line.counts, counts, "{:?}", line);
            let wanted = counts.failures as f64 * 1000.0 / counts.calls.max(1) as f64;
            prop_assert!((line.counts.burn_rate(0.999) - wanted).abs() < 1e-6);
        }
        let mut routes: Vec<_> = list.iter().map(|(route, ..)| route.clone()).collect();
        routes.sort();
        routes.dedup();
        prop_assert_eq!(report.lines.len(), 3 * routes.len());
    }
}
