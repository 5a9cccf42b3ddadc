//! Evidence recorders shared by tests.

use std::time::Duration;

use coltsfootweir::evidence::EvidenceRecorder;
use coltsfootweir::ids::Incarnation;
use coltsfootweir::record::RouteClass;

/// Returns the recorder of one daemon incarnation whose upstream belongs to the service `stalls`.
pub fn recorder(member: &str, incarnation: Incarnation, version: &str) -> EvidenceRecorder {
    let mut recorder = EvidenceRecorder::new(member.into(), incarnation);
    recorder.set_version("stalls".into(), version.into());
    recorder
}

/// Returns recorders of `old` daemons of version v1, followed by `new` daemons of version v2.
pub fn recorders(old: usize, new: usize) -> Vec<EvidenceRecorder> {
    let versions = (0..old + new).map(|index| if index < old { "v1" } else { "v2" });
    let named = versions.enumerate();
    let recorders = named.map(|(index, version)| recorder(&format!("member-{index}"), 1, version));
    recorders.collect()
}

/// Records `count` checks of one route with the same result and latency.
pub fn run_checks(
    recorder: &mut EvidenceRecorder,
    route: &str,
    count: u32,
    failed: bool,
    latency: Duration,
) {
    for _ in 0..count {
        recorder.on_call(&route.into(), RouteClass::Check, failed, latency);
    }
}
