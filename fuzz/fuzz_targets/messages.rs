//! Messages between daemons: what decodes encodes and decodes to the same, and what takes messages in
//! takes any.

#![no_main]

use std::fmt::Debug;
use std::time::Duration;

use libfuzzer_sys::fuzz_target;
use serde::Serialize;
use serde::de::DeserializeOwned;

use coltsfootweir::evidence::EndpointEvidence;
use coltsfootweir::evidence_pool::EvidencePool;
use coltsfootweir::gossip::GossipState;
use coltsfootweir::gossip_limits::GossipLimits;
use coltsfootweir::gossip_message::GossipMessage;
use coltsfootweir::member::MemberEntry;
use coltsfootweir::member::MemberState;
use coltsfootweir::message_format::decode_message;
use coltsfootweir::message_format::encode_message;
use coltsfootweir::offer::AcceptedOffer;
use coltsfootweir::pull_message::PullAnswer;
use coltsfootweir::pull_message::PullRequest;
use coltsfootweir::record::MovePhase;
use coltsfootweir::record::MoveRecord;
use coltsfootweir::record::TrafficShare;

/// Control address of the member that takes the messages in.
const MEMBER_ID: &str = "10.23.0.1:7000";

/// Time at which messages arrive.
const ARRIVAL: Duration = Duration::from_secs(100);

fuzz_target!(|bytes: &[u8]| {
    read_twice::<PullRequest>(bytes);
    read_twice::<PullAnswer>(bytes);
    read_twice::<AcceptedOffer>(bytes);
    if let Some(message) = read_twice::<GossipMessage>(bytes) {
        take_gossip(message);
    }
    if let Some(evidence) = read_twice::<EndpointEvidence>(bytes) {
        take_evidence(evidence);
    }
});

fn read_twice<T>(bytes: &[u8]) -> Option<T>
where
    T: Debug + DeserializeOwned + PartialEq + Serialize,
{
    let message: T = decode_message(bytes).ok()?;
    let encoded = encode_message(&message).expect("what was decoded encodes");
    assert_eq!(decode_message::<T>(&encoded).as_ref(), Ok(&message));
    Some(message)
}

/// A member takes the message as a request and as an answer, twice each, and goes on.
fn take_gossip(message: GossipMessage) {
    let mut state = GossipState::new(own_entry(), GossipLimits::default(), 1);
    let peer = ([10, 23, 0, 3], 7000).into();
    for second in 0..2 {
        let now = ARRIVAL + Duration::from_secs(second);
        let answer = state.receive(message.clone(), now);
        assert!(encode_message(&answer).is_ok());
        state.on_answer(peer, message.clone(), now);
        state.tick(now);
    }
    assert_eq!(*state.own().id, *MEMBER_ID);
    assert_eq!(state.own().state, MemberState::Alive);
}

/// A pool for the version of the evidence takes it in after a report without counts.
fn take_evidence(evidence: EndpointEvidence) {
    let mut pool = EvidencePool::new(&move_record(&evidence));
    let mut first = evidence.clone();
    first.routes.clear();
    first.crashes.clear();
    pool.add_report(first, ARRIVAL);
    let mut second = evidence.clone();
    second.incarnation = evidence.incarnation.wrapping_add(1);
    for report in [evidence.clone(), second, evidence] {
        pool.add_report(report, ARRIVAL);
    }
    let totals = &pool.view().new;
    assert!(totals.calls() >= totals.route_calls().values().copied().max().unwrap_or(0));
}

fn own_entry() -> MemberEntry {
    MemberEntry {
        id: MEMBER_ID.into(),
        call_address: ([10, 23, 0, 1], 8000).into(),
        region: "Noord-Holland".into(),
        zone: "Purmerend".into(),
        incarnation: 1,
        counter: 0,
        state: MemberState::Alive,
        served: 0,
        endpoint: None,
    }
}

fn move_record(evidence: &EndpointEvidence) -> MoveRecord {
    MoveRecord {
        name: "to-v2".into(),
        service: evidence.service.clone(),
        from: "".into(),
        to: evidence.version.clone(),
        done_by: std::time::UNIX_EPOCH,
        phase: MovePhase::Climbing,
        share: TrafficShare::NONE,
        reason: "".into(),
    }
}
