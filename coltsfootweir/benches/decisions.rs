//! Processor time of the decisions that each call or each generation takes, at the size planned for.

use std::fmt::Write;
use std::hint::black_box;
use std::time::Duration;
use std::time::SystemTime;

use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;

use coltsfootweir::ConfigSnapshot;
use coltsfootweir::RouteTable;
use coltsfootweir::balance::Candidate;
use coltsfootweir::balance::EndpointChooser;
use coltsfootweir::ids::MemberId;
use coltsfootweir::parse_records;

/// Services of the mesh.
const SERVICES: usize = 70;

/// Routes of each service.
const ROUTES: usize = 3;

/// Endpoints of a service.
const ENDPOINTS: usize = 8;

/// Requests that an endpoint runs at once.
const SLOTS: u16 = 9;

fn write_records() -> String {
    let mut text = String::from("[");
    for service in 0..SERVICES {
        let _ = write!(
            text,
            r#"{{"kind": "upstream-version", "schema": 1, "service": "s{service}",
                "version": "v1", "share": 100}},"#
        );
        for route in 0..ROUTES {
            let _ = write!(
                text,
                r#"{{"kind": "route", "schema": 1, "name": "s{service}-r{route}",
                    "service": "s{service}", "prefix": "/s{service}/r{route}",
                    "class": "check", "timeout_ms": 2000}},"#
            );
        }
    }
    text.pop();
    text.push(']');
    text
}

fn make_snapshot() -> ConfigSnapshot {
    let records = parse_records(&write_records(), SystemTime::now()).expect("records");
    let base = ConfigSnapshot::default();
    base.with_records(records).expect("references resolve")
}

fn bench_routes(criterion: &mut Criterion) {
    let table = RouteTable::compile(&make_snapshot()).expect("the snapshot is closed");
    criterion.bench_function("find a route", |bencher| {
        bencher.iter(|| table.find(black_box("/s42/r1/free?stall=7")));
    });
}

fn bench_snapshots(criterion: &mut Criterion) {
    let snapshot = make_snapshot();
    let mark = snapshot.mark();
    let bytes = snapshot.encode();
    criterion.bench_function("decode and check a snapshot", |bencher| {
        bencher.iter(|| ConfigSnapshot::decode(black_box(&bytes), &mark));
    });
    criterion.bench_function("compile the route table", |bencher| {
        bencher.iter(|| RouteTable::compile(black_box(&snapshot)));
    });
}

fn bench_choice(criterion: &mut Criterion) {
    let ids: Vec<MemberId> = (0..ENDPOINTS)
        .map(|index| format!("10.0.0.{index}:7000").into())
        .collect();
    let zone = "z1".into();
    let region = "r1".into();
    let candidates: Vec<Candidate<'_>> = ids
        .iter()
        .map(|id| Candidate {
            id,
            zone: &zone,
            region: &region,
            slots: SLOTS,
            reachable: true,
            run_time_ratio: 1.0,
            is_late: false,
        })
        .collect();
    let mut chooser = EndpointChooser::new(zone.clone(), region.clone(), 1);
    let now = Duration::from_secs(60);
    criterion.bench_function("choose an endpoint", |bencher| {
        bencher.iter(|| chooser.choose(black_box(&candidates), &[], now));
    });
}

criterion_group!(decisions, bench_routes, bench_snapshots, bench_choice);
criterion_main!(decisions);
