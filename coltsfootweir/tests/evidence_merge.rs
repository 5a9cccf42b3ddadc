//! Pooled evidence counts every call once when reports arrive twice, late or across restarts.

mod common;

use std::time::Duration;

use proptest::prelude::*;

use coltsfootweir::evidence::EndpointEvidence;
use coltsfootweir::evidence::EvidenceRecorder;
use coltsfootweir::evidence_pool::EvidencePool;
use coltsfootweir::record::RouteClass;

use common::fixed_config;
use common::records::move_record;

const MEMBERS: usize = 3;

/// Event at one member.
#[derive(Clone, Debug)]
enum MemberEvent {
    Call { failed: bool, millis: u64 },
    Crash,
    Restart,
    SetVersion(bool),
    Report,
    Repeat(prop::sample::Index),
}

fn event() -> impl Strategy<Value = (usize, MemberEvent)> {
    let event = prop_oneof![
        8 => (any::<bool>(), 0..200_u64)
            .prop_map(|(failed, millis)| MemberEvent::Call { failed, millis }),
        1 => Just(MemberEvent::Crash),
        1 => Just(MemberEvent::Restart),
        1 => any::<bool>().prop_map(MemberEvent::SetVersion),
        3 => Just(MemberEvent::Report),
        2 => any::<prop::sample::Index>().prop_map(MemberEvent::Repeat),
    ];
    (0..MEMBERS, event)
}

fn version(is_new: bool) -> Box<str> {
    if is_new { "v2" } else { "v1" }.into()
}

fn recorder(member: usize, incarnation: u64, is_new: bool) -> EvidenceRecorder {
    let mut recorder = EvidenceRecorder::new(format!("member-{member}").into(), incarnation);
    recorder.set_version("stalls".into(), version(is_new));
    recorder
}

/// Expected totals of all events since the pool was created.
#[derive(Debug, Default, Eq, PartialEq)]
struct EventTotals {
    calls: [u64; 2],
    failures: [u64; 2],
    crashes: [usize; 2],
}

fn pooled(pool: &EvidencePool) -> EventTotals {
    let view = pool.view();
    let mut sums = EventTotals::default();
    for (side, totals) in [&view.old, &view.new].into_iter().enumerate() {
        sums.calls[side] = totals.calls();
        sums.failures[side] = totals.routes.values().map(|counts| counts.failures).sum();
        sums.crashes[side] = totals.crashes.len();
    }
    sums
}

proptest! {
    #![proptest_config(fixed_config(42, 256))]

    #[test]
    fn pool_counts_each_call_once(
        early in prop::collection::vec((0..MEMBERS, any::<bool>()), 0..30),
        events in prop::collection::vec(event(), 1..200),
        order in any::<prop::sample::Index>(),
    ) {
        let mut recorders: Vec<_> = (0..MEMBERS).map(|member| recorder(member, 1, true)).collect();
        let mut incarnations = [1; MEMBERS];
        let mut is_new = [true; MEMBERS];
        let route = "book".into();
        for (member, failed) in early {
            recorders[member].on_call(&route, RouteClass::Booking, failed, Duration::ZERO);
        }
        let mut pool = EvidencePool::new(&move_record("spring", "v1", "v2"));
        let mut sent: Vec<EndpointEvidence> = Vec::new();
        let mut late: Vec<EndpointEvidence> = Vec::new();
        let mut sums = EventTotals::default();
        for recorder in &recorders {
            pool.add_report(recorder.report(), Duration::ZERO);
        }
        for (second, (member, event)) in events.into_iter().enumerate() {
            let now = Duration::from_secs(second as u64);
            let side = usize::from(is_new[member]);
            match event {
                MemberEvent::Call { failed, millis } => {
                    let latency = Duration::from_millis(millis);
                    recorders[member].on_call(&route, RouteClass::Booking, failed, latency);
                    sums.calls[side] += 1;
                    sums.failures[side] += u64::from(failed);
                }
                MemberEvent::Crash => {
                    recorders[member].on_crash(vec![second as u64]);
                    sums.crashes[side] += 1;
                }
                MemberEvent::Restart => {
                    late.push(recorders[member].report());
                    incarnations[member] += 1;
                    recorders[member] = recorder(member, incarnations[member], is_new[member]);
                }
                MemberEvent::SetVersion(next) => {
                    late.push(recorders[member].report());
                    recorders[member].set_version("stalls".into(), version(next));
                    is_new[member] = next;
                }
                MemberEvent::Report => {
                    sent.push(recorders[member].report());
                    pool.add_report(recorders[member].report(), now);
                }
                MemberEvent::Repeat(index) if !sent.is_empty() => {
                    pool.add_report(index.get(&sent).clone(), now);
                }
                MemberEvent::Repeat(_) => {}
            }
        }
        late.extend(recorders.iter().map(EvidenceRecorder::report));
        let start = order.index(late.len());
        late.rotate_left(start);
        // Every outstanding report is delivered twice; a version that runs again includes its earlier counts.
        for report in late.iter().chain(&late) {
            pool.add_report(report.clone(), Duration::from_secs(300));
        }
        prop_assert_eq!(pooled(&pool), sums);
    }

    #[test]
    fn merge_is_commutative_and_idempotent(
        events in prop::collection::vec((any::<bool>(), 0..9_u8), 3..80),
        cuts in prop::collection::vec(any::<prop::sample::Index>(), 3),
    ) {
        let mut recorder = recorder(0, 1, true);
        let mut reports = vec![recorder.report()];
        for (failed, kind) in events {
            if kind == 0 {
                recorder.on_crash(vec![u64::from(failed)]);
            }
            let route = format!("route-{}", kind % 3).into();
            let latency = Duration::from_millis(u64::from(kind));
            recorder.on_call(&route, RouteClass::Check, failed, latency);
            reports.push(recorder.report());
        }
        let merge = |one: &EndpointEvidence, two: &EndpointEvidence| {
            let mut merged = one.clone();
            merged.merge(two);
            merged
        };
        let (a, b, c) = (cuts[0].get(&reports), cuts[1].get(&reports), cuts[2].get(&reports));
        prop_assert_eq!(merge(a, b), merge(b, a));
        prop_assert_eq!(&merge(a, a), a);
        prop_assert_eq!(merge(&merge(a, b), c), merge(a, &merge(b, c)));
    }
}
