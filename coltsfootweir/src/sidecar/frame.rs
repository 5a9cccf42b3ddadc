//! Messages between daemons: MessagePack, each with a length prefix.

use std::fmt;

use hyper::body::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::ids::Generation;
use crate::ids::Incarnation;
use crate::ids::MemberId;
use crate::ids::ServiceName;
use crate::ids::ZoneName;
use crate::sidecar::announcement::DepartedLifetime;
use crate::sidecar::announcement::DepartureCount;
use crate::sidecar::member_table::MemberRecord;
use crate::sidecar::member_table::RolloutStatus;
use crate::sidecar::member_table::VersionCount;
use crate::sidecar::mesh_config::ConfigDelta;
use crate::sidecar::store_era::store_version::StoreVersion;
use crate::sidecar::teams::team::TeamName;
use crate::sidecar::uploads::receive_load::ReceiveLoad;

/// Maximum size of a frame, in bytes: the largest response body that is read, and its headers.
const FRAME_LIMIT: usize = 40 * 1024 * 1024;

/// Size of the length prefix, in bytes: a big-endian `u32`.
const LENGTH_SIZE: usize = 4;

/// Number that identifies a call on one link.
pub type CallNumber = u32;

/// Header names and values.
pub type HeaderList = Vec<(Box<str>, Box<[u8]>)>;

/// A request that is forwarded to the daemon of an endpoint.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ForwardedCall {
    /// Service that runs the request.
    pub service: ServiceName,
    /// HTTP method.
    pub method: Box<str>,
    /// Path and query.
    pub path: Box<str>,
    /// Headers to forward, including `Host`.
    pub headers: HeaderList,
    /// Body.
    #[serde(with = "body_bytes")]
    pub body: Bytes,
    /// Id of the client's attempt.
    pub request_id: Box<str>,
    /// Priority rank of the route; 0 is the highest.
    pub rank: u8,
    /// Hash of the route's name. Run times are estimated by it, as requests of one route take
    /// similar times.
    pub kind: u32,
    /// Time left until the deadline when the request was sent, in milliseconds.
    pub left_ms: u32,
    /// Part of `left_ms` that the request may wait for a slot, in milliseconds.
    pub wait_ms: u32,
    /// Time when the request was sent, in milliseconds since the Unix epoch. Used only between
    /// daemons of which one has no [`PeerFrame::TimedCall`].
    pub sent_at_ms: u64,
    /// Team of the client; `None` for calls of endpoints and in deployments without teams.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub team: Option<TeamName>,
}

/// Result of a forwarded call.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum CallResult {
    /// The endpoint answered.
    Answer {
        /// HTTP status.
        status: u16,
        /// Headers to forward.
        headers: HeaderList,
        /// Body.
        #[serde(with = "body_bytes")]
        body: Vec<u8>,
        /// Time that the request ran at the endpoint, in milliseconds.
        run_ms: u32,
    },
    /// The call was not run and will not be.
    NotRun(NotRunReport),
    /// The call may have run.
    Unknown(UnknownCause),
}

/// Beginning of an answer whose rest follows in pieces.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AnswerHead {
    /// HTTP status.
    pub status: u16,
    /// Headers to forward.
    pub headers: HeaderList,
    /// Length of the whole body in bytes, if the endpoint stated it.
    pub length: Option<u64>,
    /// Time that the request ran until the head of the answer, in milliseconds.
    pub run_ms: u32,
}

/// Bytes of a body or of a configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PieceBytes(#[serde(with = "body_bytes")] pub Vec<u8>);

/// Details of a call that was not run.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct NotRunReport {
    /// The cause.
    pub cause: NotRunCause,
    /// Whether the call reached an endpoint, which rejected it.
    pub reached: bool,
    /// Time after which a retry may find capacity, in milliseconds.
    pub retry_after_ms: u32,
}

/// Cause for which a call was not run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum NotRunCause {
    /// The endpoint could not finish the call in time.
    Overloaded,
    /// The endpoint is leaving, down or replaced by another one.
    Closed,
    /// The deadline had passed.
    TooLate,
    /// The endpoint rejected the call.
    Rejected,
    /// No endpoint is reachable.
    Unreachable,
    /// Requests of the same kind crash endpoints.
    Poison,
    /// The answer could not be sent in time over the network connection of the endpoint's VM.
    LinkFull,
}

/// Cause for which it is not known whether a call ran.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum UnknownCause {
    /// The response was truncated or malformed.
    AnswerBroken,
    /// The endpoint crashed while the call ran.
    EndpointCrashed,
    /// No response arrived before the deadline.
    TimedOut,
    /// The link to the endpoint's daemon was lost.
    LinkLost,
}

/// Load of the endpoint of the daemon that sends a result.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct EndpointLoad {
    /// Requests in progress.
    pub running: u16,
    /// Maximum number of concurrent requests.
    pub slots: u16,
    /// Ranks and the numbers of requests queued at them, highest priority first.
    pub waiting: Vec<(u8, u16)>,
    /// Mean run time, in milliseconds.
    pub run_ms: u16,
}

impl EndpointLoad {
    /// Returns the number of queued requests.
    #[must_use]
    pub fn total_waiting(&self) -> u16 {
        self.waiting.iter().map(|(_, count)| *count).sum()
    }

    /// Returns the number of queued requests of lower priority than `rank`; they start after a new
    /// request of that rank.
    #[must_use]
    pub fn waiting_behind(&self, rank: u8) -> u16 {
        let behind = self.waiting.iter().filter(|(other, _)| *other > rank);
        behind.map(|(_, count)| *count).sum()
    }

    /// Returns whether no request runs or is queued.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.running == 0 && self.waiting.is_empty()
    }
}

/// A message between daemons.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerFrame {
    /// First frame of each side: its member id. Another daemon may have reused the address of one
    /// that is gone. A side that accepted the connection and gets one knows that the other side
    /// understands answers in pieces; a second one tells that it understands
    /// [`PeerFrame::DeparturesHeld`].
    Hello(MemberId),
    /// Requests a call.
    Call(CallNumber, Box<ForwardedCall>),
    /// Cancels a call.
    Cancel(CallNumber),
    /// Result of a call.
    Result(CallNumber, EndpointLoad, Box<CallResult>),
    /// Liveness check.
    Ping,
    /// Response to [`PeerFrame::Ping`].
    Pong,
    /// New or changed member records.
    Members(Vec<MemberRecord>),
    /// Digests of the partitions of the sender's member table. The receiver responds with its
    /// records of the partitions that differ.
    Digests(Vec<u32>),
    /// Status of the rollouts on a daemon, and the responses that it has counted since they
    /// started.
    Rollouts(MemberId, Vec<RolloutStatus>, Vec<VersionCount>),
    /// Generation of the configuration in force on a daemon.
    ConfigHeld(MemberId, Generation),
    /// Requests the configuration. The generation is the one in force, 0 for none.
    ConfigWanted(Generation),
    /// A configuration: the changes since the requested generation, or all of it.
    Config(Box<ConfigDelta>),
    /// Response to [`PeerFrame::Hello`] of the side that dialed: the sender understands this frame
    /// and those below.
    Pieces,
    /// Requests a call. The number is the time in milliseconds since the start of the sender.
    TimedCall(CallNumber, u64, Box<ForwardedCall>),
    /// The beginning of an answer in pieces.
    AnswerHead(CallNumber, EndpointLoad, Box<AnswerHead>),
    /// The next bytes of an answer.
    AnswerPiece(CallNumber, PieceBytes),
    /// The end of an answer in pieces; false if the endpoint broke it off.
    AnswerEnd(CallNumber, bool),
    /// Numbers of bytes of an answer that were received and consumed so far.
    AnswerCredit(CallNumber, u64, u64),
    /// The next bytes of a [`PeerFrame::Config`], by the number of the configuration on this link.
    ConfigPiece(u32, PieceBytes),
    /// The end of a configuration in pieces.
    ConfigEnd(u32),
    /// Number of bytes of a configuration that were received so far.
    ConfigCredit(u32, u64),
    /// Time in milliseconds that the answers on their way from the sender's VM take.
    UplinkLoad(u32),
    /// Number of departures on the sender's VM so far, and the latest of them. The receiver keeps
    /// them for the sender. Sent only on dialed connections whose other side has sent
    /// [`PeerFrame::DeparturesHeld`].
    HoldDepartures(DepartureCount, Vec<DepartedLifetime>),
    /// Number of departures that the sender keeps for the receiver. The response to the second
    /// [`PeerFrame::Hello`] has those of all runs of the receiver, and the number 0.
    DeparturesHeld(DepartureCount, Vec<DepartedLifetime>),
    /// Features of the sender, as bits of [`PEER_FEATURES`]. The side that accepted the connection
    /// sends it after the third [`PeerFrame::Hello`], and the other side responds with its own.
    Features(u32),
    /// Zones that are evacuated, and the store version of the read that found them.
    Evacuations(StoreVersion, Vec<ZoneName>),
    /// Asks when the receiver knew that its configuration was the newest one. The number is repeated
    /// in the response.
    FreshnessWanted(u32),
    /// Response to [`PeerFrame::FreshnessWanted`]: this generation was the newest one that many
    /// milliseconds before the response.
    Freshness(u32, Generation, u32),
    /// Asks the holder of a slot for tokens of teams. The numbers are that of the request and that
    /// of the slot.
    TokensWanted(u32, u8, Vec<TokenDemand>),
    /// Response to [`PeerFrame::TokensWanted`]; empty if the sender does not hold the slot.
    TokensGranted(u32, Vec<TokenGrant>),
    /// Requests a call as [`PeerFrame::TimedCall`]. The body, of the given length, follows in pieces
    /// as far as it is granted.
    OfferedCall(CallNumber, u64, Box<ForwardedCall>, u64),
    /// Numbers of bytes of the body of a call that may be sent and that were received so far.
    BodyGrant(CallNumber, u64, u64),
    /// The next bytes of the body of a call.
    BodyPiece(CallNumber, PieceBytes),
    /// The sender may take limit slots and has just read the row of one, which names this run of the
    /// receiver and has this version. Sent only if the receiver has lost access to the store or may have
    /// started again.
    LimitSlotRead(u8, Incarnation, StoreVersion),
    /// The sender no longer lends tokens of a limit slot. The receiver may take the slot while its row
    /// has this version.
    LimitSlotReleased(u8, StoreVersion),
    /// How long the bodies on their way to the sender's VM take.
    ReceiveLoad(ReceiveLoad),
    /// From the side that dialed: the sender knows the departures of its earlier runs, and the receiver
    /// has been sent all of them. From the other side: an earlier connection of the receiver has said so,
    /// and what the sender keeps for it has been sent.
    DeparturesComplete,
}

/// [`PeerFrame::Evacuations`] is understood.
pub const FEATURE_EVACUATIONS: u32 = 1;

/// [`PeerFrame::FreshnessWanted`] is understood.
pub const FEATURE_FRESHNESS: u32 = 2;

/// [`PeerFrame::TokensWanted`] is understood.
pub const FEATURE_TOKENS: u32 = 4;

/// [`PeerFrame::OfferedCall`] is understood.
pub const FEATURE_OFFERS: u32 = 8;

/// [`PeerFrame::LimitSlotRead`] and [`PeerFrame::LimitSlotReleased`] are understood.
pub const FEATURE_SLOT_RELEASE: u32 = 16;

/// A call with a large body and [`ForwardedCall::wait_ms`] 0 is late, but may still run.
pub const FEATURE_LATE_BODIES: u32 = 32;

/// [`PeerFrame::ReceiveLoad`] is understood.
pub const FEATURE_RECEIVE_LOAD: u32 = 64;

/// [`PeerFrame::DeparturesComplete`] is understood.
pub const FEATURE_COMPLETE_DEPARTURES: u32 = 128;

/// Features of this build.
pub const PEER_FEATURES: u32 = FEATURE_EVACUATIONS
    | FEATURE_FRESHNESS
    | FEATURE_TOKENS
    | FEATURE_OFFERS
    | FEATURE_SLOT_RELEASE
    | FEATURE_LATE_BODIES
    | FEATURE_RECEIVE_LOAD
    | FEATURE_COMPLETE_DEPARTURES;

/// Tokens of a team that a daemon asks for.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TokenDemand {
    /// The team.
    pub team: TeamName,
    /// Number of tokens.
    pub wanted: u32,
}

/// Tokens of a team that a holder grants.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TokenGrant {
    /// The team.
    pub team: TeamName,
    /// Number of tokens.
    pub granted: u32,
    /// Time for which they may be used, in milliseconds since the request was sent.
    pub valid_ms: u32,
    /// Time until the next token, in milliseconds, if fewer were granted than asked for.
    pub next_ms: u32,
}

/// Encodes a configuration that is sent in pieces.
///
/// # Errors
/// [`FrameError`] if it can't be encoded.
pub fn encode_config(delta: &ConfigDelta) -> Result<Vec<u8>, FrameError> {
    rmp_serde::to_vec(delta).map_err(|error| FrameError(error.to_string().into()))
}

/// Decodes a configuration that was received in pieces.
///
/// # Errors
/// [`FrameError`] if the bytes are not a configuration.
pub fn decode_config(bytes: &[u8]) -> Result<ConfigDelta, FrameError> {
    rmp_serde::from_slice(bytes).map_err(|error| FrameError(error.to_string().into()))
}

/// Error for a frame that can't be encoded or decoded.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FrameError(Box<str>);

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "invalid frame: {}", self.0)
    }
}

impl std::error::Error for FrameError {}

/// Appends a frame to `bytes`.
///
/// # Errors
/// [`FrameError`] if the frame can't be encoded or exceeds the maximum size; `bytes` is unchanged
/// then.
pub fn write_frame(frame: &PeerFrame, bytes: &mut Vec<u8>) -> Result<(), FrameError> {
    let start = bytes.len();
    bytes.extend_from_slice(&[0; LENGTH_SIZE]);
    let encoded = rmp_serde::encode::write(bytes, frame);
    let length = bytes.len() - start - LENGTH_SIZE;
    let reason = match encoded {
        Err(error) => error.to_string(),
        Ok(()) if length > FRAME_LIMIT => length_error(length),
        Ok(()) => {
            let length = (length as u32).to_be_bytes();
            bytes[start..start + LENGTH_SIZE].copy_from_slice(&length);
            return Ok(());
        }
    };
    bytes.truncate(start);
    Err(FrameError(reason.into()))
}

/// Removes the first frame from `bytes` and returns it, or `None` if it is incomplete.
///
/// # Errors
/// [`FrameError`] if the bytes are not a valid frame. The rest of the stream can't be read then.
pub fn read_frame(bytes: &mut Vec<u8>) -> Result<Option<PeerFrame>, FrameError> {
    let Some(head) = bytes.first_chunk::<LENGTH_SIZE>() else {
        return Ok(None);
    };
    let length = u32::from_be_bytes(*head) as usize;
    if length > FRAME_LIMIT {
        return Err(FrameError(length_error(length).into()));
    }
    let Some(body) = bytes.get(LENGTH_SIZE..LENGTH_SIZE + length) else {
        return Ok(None);
    };
    let frame =
        rmp_serde::from_slice(body).map_err(|error| FrameError(error.to_string().into()))?;
    bytes.drain(..LENGTH_SIZE + length);
    Ok(Some(frame))
}

/// Returns the size of the first frame in `bytes`, including its length prefix; `None` if the prefix is
/// incomplete.
#[must_use]
pub fn frame_size(bytes: &[u8]) -> Option<usize> {
    let head = bytes.first_chunk::<LENGTH_SIZE>()?;
    Some(LENGTH_SIZE + u32::from_be_bytes(*head) as usize)
}

/// Returns the number of the call that the first frame in `bytes` requests, of which only the beginning
/// is needed; `None` for other frames.
#[must_use]
pub fn requested_call(bytes: &[u8]) -> Option<CallNumber> {
    // A variant is a map of one name to an array of its fields; the first field is the number.
    let encoded = bytes.get(LENGTH_SIZE..)?;
    let call = encoded.strip_prefix(b"\x81\xa4Call\x92");
    let number = call.or_else(|| encoded.strip_prefix(b"\x81\xa9TimedCall\x93"))?;
    match number {
        [small @ 0..=0x7f, ..] => Some(CallNumber::from(*small)),
        [0xcc, byte, ..] => Some(CallNumber::from(*byte)),
        [0xcd, a, b, ..] => Some(CallNumber::from(u16::from_be_bytes([*a, *b]))),
        [0xce, a, b, c, d, ..] => Some(CallNumber::from_be_bytes([*a, *b, *c, *d])),
        _ => None,
    }
}

fn length_error(length: usize) -> String {
    format!("length of {length} bytes exceeds the limit of {FRAME_LIMIT} bytes")
}

/// Encodes bodies as MessagePack binary; serde's default is a list of numbers.
mod body_bytes {
    use std::fmt;

    use serde::Deserializer;
    use serde::Serializer;
    use serde::de::Error;
    use serde::de::Visitor;

    pub(super) fn serialize<S: Serializer>(body: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(body)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>, B: From<Vec<u8>>>(
        deserializer: D,
    ) -> Result<B, D::Error> {
        deserializer.deserialize_byte_buf(BodyVisitor).map(B::from)
    }

    struct BodyVisitor;

    impl Visitor<'_> for BodyVisitor {
        type Value = Vec<u8>;

        fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
            f.write_str("bytes")
        }

        fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<Vec<u8>, E> {
            Ok(bytes.to_vec())
        }

        fn visit_byte_buf<E: Error>(self, bytes: Vec<u8>) -> Result<Vec<u8>, E> {
            Ok(bytes)
        }
    }
}
