//! Crash facts must expire even if members keep forwarding them to each other. Condemned versions stay.

use std::time::Duration;

use coltsfootweir::fact::CondemnedFact;
use coltsfootweir::fact::CrashFact;
use coltsfootweir::facts_table::FactsTable;

/// Time for which crash facts are kept, in seconds.
const RETENTION: u64 = 60;

fn crash() -> CrashFact {
    CrashFact {
        fingerprint: 7,
        member: "10.23.0.1:7000".into(),
        incarnation: 1,
        number: 1,
    }
}

fn condemned(reason: &str) -> CondemnedFact {
    CondemnedFact {
        move_name: "raking".into(),
        service: "crews".into(),
        version: "v2".into(),
        reason: reason.into(),
        asserted_by: "10.23.0.1:7000".into(),
    }
}

/// Sends every fact of `from` to `to`.
fn send_facts(from: &FactsTable, to: &mut FactsTable, now: Duration) {
    for hash in from.hashes() {
        if let Some(crash) = from.crash_at(hash, now) {
            to.crash(
                crash.fact,
                Duration::from_secs(u64::from(crash.seconds)),
                now,
            );
        }
        if let Some(fact) = from.condemned_at(hash) {
            to.condemn(fact.clone());
        }
    }
}

#[test]
fn crashes_expire_and_condemned_versions_stay() {
    let retention = Duration::from_secs(RETENTION);
    let mut first = FactsTable::new(retention);
    let mut second = FactsTable::new(retention);
    first.crash(crash(), Duration::ZERO, Duration::ZERO);
    first.condemn(condemned("failures"));
    second.condemn(condemned("slow"));
    for tenths in 0..RETENTION * 20 {
        let now = Duration::from_millis(tenths * 100);
        first.expire(now);
        second.expire(now);
        // An age of half a second is the first that is sent.
        if tenths < 5 {
            continue;
        }
        send_facts(&first, &mut second, now);
        send_facts(&second, &mut first, now);
        let expected = usize::from(now < retention);
        // The age is sent in whole seconds, rounded up.
        if now.as_secs() + 1 < RETENTION || now >= retention {
            assert_eq!(second.crashes().count(), expected, "at {now:?}");
            assert_eq!(first.crashes().count(), expected, "at {now:?}");
        }
    }
    let kept: Vec<&CondemnedFact> = first.condemned().collect();
    assert_eq!(kept, second.condemned().collect::<Vec<_>>());
    assert_eq!(kept, [&condemned("failures")]);
}
