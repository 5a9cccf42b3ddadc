//! Messages between daemons of unlike builds: the bytes of the present form, and values with more or
//! fewer fields.

use serde::Deserialize;
use serde::Serialize;

use coltsfootweir::gossip_message::GossipMessage;
use coltsfootweir::member::MemberEntry;
use coltsfootweir::message_format::MessageError;
use coltsfootweir::message_format::decode_message;
use coltsfootweir::message_format::encode_message;
use coltsfootweir::offer::AcceptedOffer;
use coltsfootweir::pull_message::EncodedBytes;
use coltsfootweir::pull_message::PullAnswer;
use coltsfootweir::pull_message::PullRequest;
use coltsfootweir::snapshot::ConfigSnapshot;
use coltsfootweir::snapshot::HeadMark;

mod support;

use support::entry_of;
use support::mark_of;

/// A message of a later build: each struct has one more field than in this one.
#[derive(Serialize)]
struct LaterList(
    MemberEntry,
    Vec<LaterEntry>,
    PullAnswer,
    Option<LaterEntry>,
    u8,
);

#[derive(Serialize)]
struct LaterEntry {
    generation: u64,
    added: (u64, Option<LaterPlace>),
}

#[derive(Serialize)]
enum LaterPlace {
    Zone { name: Box<str> },
}

/// The same message in this build, and in one before it.
#[derive(Debug, Deserialize, PartialEq)]
struct PresentList(
    MemberEntry,
    Vec<PullRequest>,
    PullAnswer,
    Option<PullRequest>,
);

/// A pull request of a later build, which fills in what an older one leaves out.
#[derive(Debug, Deserialize, PartialEq)]
struct LaterRequest {
    held: u64,
    #[serde(default)]
    added: Option<u64>,
}

fn later_entry(generation: u64) -> LaterEntry {
    let name = "zone".into();
    LaterEntry {
        generation,
        added: (7, Some(LaterPlace::Zone { name })),
    }
}

#[test]
fn fields_that_a_later_build_added_are_passed_over() {
    let answer = PullAnswer::Delta(mark_of(3), EncodedBytes(vec![1, 2]));
    let later = LaterList(
        entry_of(1, 2),
        vec![later_entry(4), later_entry(5)],
        answer.clone(),
        Some(later_entry(6)),
        9,
    );
    let read: PresentList = decode_message(&encode_message(&later).unwrap()).unwrap();
    let requests = vec![PullRequest { held: 4 }, PullRequest { held: 5 }];
    let last = Some(PullRequest { held: 6 });
    assert_eq!(read, PresentList(entry_of(1, 2), requests, answer, last));
}

#[test]
fn a_whole_gossip_message_with_one_more_field_is_read() {
    let message: GossipMessage = decode_message(GOSSIP_BYTES).expect("a gossip message");
    let mut bytes = encode_message(&message).unwrap();
    // An array of 15 fields in one byte becomes one of 16 in three.
    assert_eq!(bytes[0], 0x9f);
    bytes.splice(0..1, [0xdc, 0, 16]);
    bytes.extend([0x92, 0xa1, b'x', 0xc0]);
    assert_eq!(decode_message(&bytes), Ok(message));
}

#[test]
fn fields_that_an_older_build_lacks_get_their_defaults() {
    let bytes = encode_message(&PullRequest { held: 4 }).unwrap();
    let added = None;
    assert_eq!(decode_message(&bytes), Ok(LaterRequest { held: 4, added }));
}

#[test]
fn a_later_form_is_refused_by_its_number() {
    let mut bytes = encode_message(&PullRequest { held: 4 }).unwrap();
    bytes.insert(0, 2);
    let refused: Result<PullRequest, MessageError> = decode_message(&bytes);
    assert_eq!(refused, Err(MessageError::UnknownFormat(2)));
    let text = refused.unwrap_err().to_string();
    assert_eq!(text, "message form 2 is not known to this build");
}

#[test]
fn the_present_form_keeps_its_bytes() {
    let message: GossipMessage = decode_message(GOSSIP_BYTES).expect("a gossip message");
    assert_eq!(encode_message(&message).unwrap(), GOSSIP_BYTES);
    assert_eq!(encode_message(&PullRequest { held: 4 }).unwrap(), [0x91, 4]);
    assert_eq!(
        encode_message(&PullAnswer::Nothing).unwrap(),
        *b"\xa7Nothing"
    );
    let mark = HeadMark {
        generation: 4,
        digest: "".into(),
    };
    let answer = PullAnswer::Snapshot(mark, EncodedBytes(vec![8, 9]));
    let expected = b"\x81\xa8Snapshot\x92\x92\x04\xa0\xc4\x02\x08\x09";
    assert_eq!(encode_message(&answer).unwrap(), expected);
    let snapshot = ConfigSnapshot::default();
    let fields = (snapshot.mark(), snapshot.encode());
    let expected = encode_message(&fields).unwrap();
    assert_eq!(AcceptedOffer::new(&snapshot).encode(), expected);
}

/// A gossip message as the build of this commit writes it.
const GOSSIP_BYTES: &[u8] = b"\
    \x9f\xae10.23.0.1:7000\xadNoord-Holland\x01\x02\x92\x02\xc4 \x00\x00\x00\x00\x00\x00\x00\
    \x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\
    \x00\x00\x02\x93\xcf\x88\xa0\xf9\x9a\xea\xe0\x80\xf6\xcf\xa0qT\xed\xdc\x15v.\xcfQ>\x17\xd3\
    wH;\xe3\x91\x99\xae10.23.0.1:7000\x81\xa2V4\x92\x94\x0a\x17\x00\x01\xcd\x1f@\xadNoord-Holl\
    and\xa9Purmerend\x01\x00\xa5Alive\x02\x94\xadstall-booking\xac2026-11-30.4\x09\xa5Ready\
    \x91\x92\x02\xc4\x0c\x05\x00\x00\x00\x00\x00\x06\x00\x00\x00\x00\x00\x91\x95\xa6raking\xa5\
    crews\xa2v2\xa8failures\xae10.23.0.1:7000\x91\x92\x94M\xae10.23.0.1:7000\x01\x02\x01\x91\
    \x92\xacZuid-Holland\x04\xae10.23.0.3:7000\xc2\x92\x02\x01\x81\xa7Compare\x93\xc4\x04\x01\
    \x00\x00\x00\xc4\x04\x02\x00\x00\x00\xc4\x08\x03\x00\x00\x00\x00\x00\x00\x00";
