//! Messages between daemons: MessagePack, each preceded by its length.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Generation;
use crate::ids::MemberId;
use crate::ids::ServiceName;
use crate::sidecar::member_table::MemberRecord;
use crate::sidecar::member_table::RolloutStatus;
use crate::sidecar::member_table::VersionCount;
use crate::sidecar::mesh_config::ConfigDelta;

/// Longest frame, in bytes: a body at the limit of the answers that are read, and its head.
const FRAME_LIMIT: usize = 40 * 1024 * 1024;

/// Bytes of the length in front of a frame.
const LENGTH_SIZE: usize = 4;

/// Number of a call on one link.
pub type CallNumber = u32;

/// Header names and values.
pub type HeaderList = Vec<(Box<str>, Box<[u8]>)>;

/// A request on its way to the daemon beside an endpoint.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ForwardedCall {
    /// Service that is to run it.
    pub service: ServiceName,
    /// Method.
    pub method: Box<str>,
    /// Path and query.
    pub path: Box<str>,
    /// Headers to pass on, `Host` among them.
    pub headers: HeaderList,
    /// Body.
    #[serde(with = "body_bytes")]
    pub body: Vec<u8>,
    /// Identity of the client attempt.
    pub request_id: Box<str>,
    /// Rank of the route; 0 is the most urgent.
    pub rank: u8,
    /// Hash of the route's name; requests of one route take similar times.
    pub kind: u32,
    /// Time left when it was sent, in milliseconds.
    pub left_ms: u32,
    /// Time left of that in which it is worth waiting for a slot, in milliseconds.
    pub wait_ms: u32,
    /// Time of day at which it was sent, in milliseconds since the Unix epoch.
    pub sent_at_ms: u64,
}

/// What became of a forwarded call.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum CallResult {
    /// The endpoint answered.
    Answer {
        /// Status.
        status: u16,
        /// Headers to pass on.
        headers: HeaderList,
        /// Body.
        #[serde(with = "body_bytes")]
        body: Vec<u8>,
        /// Time it ran at the endpoint, in milliseconds.
        run_ms: u32,
    },
    /// It was not run and will not be.
    NotRun(NotRunReport),
    /// It may have run.
    Unknown(UnknownCause),
}

/// Why a call was not run.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct NotRunReport {
    /// The cause.
    pub cause: NotRunCause,
    /// Whether an endpoint had it and rejected it.
    pub reached: bool,
    /// Time after which there may be room, in milliseconds.
    pub retry_after_ms: u32,
}

/// Cause for which a call was not run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum NotRunCause {
    /// The endpoint could not finish it in time.
    Overloaded,
    /// The endpoint is leaving, down, or another one.
    Closed,
    /// Its time was up.
    TooLate,
    /// The endpoint rejected it.
    Rejected,
    /// No endpoint can be reached.
    Unreachable,
    /// Requests like it crash endpoints.
    Poison,
}

/// Cause for which it is not known whether a call ran.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum UnknownCause {
    /// The answer broke off or was no answer.
    AnswerBroken,
    /// The endpoint crashed while it ran.
    EndpointCrashed,
    /// No answer came in time.
    TimedOut,
    /// The daemon beside the endpoint could not be heard any more.
    LinkLost,
}

/// Load of the endpoint beside the daemon that answers.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct EndpointLoad {
    /// Requests it runs.
    pub running: u16,
    /// Requests it runs at once.
    pub slots: u16,
    /// Requests that wait, by rank, the most urgent first.
    pub waiting: Vec<(u8, u16)>,
    /// Mean time of runs, in milliseconds.
    pub run_ms: u16,
}

impl EndpointLoad {
    /// Counts all requests that wait.
    #[must_use]
    pub fn total_waiting(&self) -> u16 {
        self.waiting.iter().map(|(_, count)| *count).sum()
    }

    /// Counts the requests that wait behind those of `rank`: they start later than one of it.
    #[must_use]
    pub fn waiting_behind(&self, rank: u8) -> u16 {
        let behind = self.waiting.iter().filter(|(other, _)| *other > rank);
        behind.map(|(_, count)| *count).sum()
    }

    /// Returns whether nothing runs or waits.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.running == 0 && self.waiting.is_empty()
    }
}

/// A message between daemons.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerFrame {
    /// First frame of the side that took the connection: who it is. Addresses of daemons that are
    /// gone are used again by others.
    Hello(MemberId),
    /// Runs a request.
    Call(CallNumber, Box<ForwardedCall>),
    /// Gives a request up.
    Cancel(CallNumber),
    /// What became of a request.
    Result(CallNumber, EndpointLoad, Box<CallResult>),
    /// Asks for a sign of life.
    Ping,
    /// A sign of life.
    Pong,
    /// News about members.
    Members(Vec<MemberRecord>),
    /// Digests of the parts of the sender's member table; those that differ are answered with their
    /// records.
    Digests(Vec<u32>),
    /// How a daemon stands to moves of traffic, and the answers it has seen during them, all since
    /// their start.
    Rollouts(MemberId, Vec<RolloutStatus>, Vec<VersionCount>),
    /// Version of the configuration in force on a daemon.
    ConfigHeld(MemberId, Generation),
    /// Asks for the configuration; names the version held, 0 for none.
    ConfigWanted(Generation),
    /// A configuration.
    Config(Box<ConfigDelta>),
}

/// Bytes that are no frame.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FrameError(Box<str>);

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "not a frame: {}", self.0)
    }
}

impl std::error::Error for FrameError {}

/// Appends a frame to `bytes`.
///
/// # Errors
/// [`FrameError`] when the frame cannot be encoded or is too long; `bytes` stays as it was.
pub fn write_frame(frame: &PeerFrame, bytes: &mut Vec<u8>) -> Result<(), FrameError> {
    let start = bytes.len();
    bytes.extend_from_slice(&[0; LENGTH_SIZE]);
    let encoded = rmp_serde::encode::write(bytes, frame);
    let length = bytes.len() - start - LENGTH_SIZE;
    let fault = match encoded {
        Err(error) => error.to_string(),
        Ok(()) if length > FRAME_LIMIT => "too long".to_owned(),
        Ok(()) => {
            let length = (length as u32).to_be_bytes();
            bytes[start..start + LENGTH_SIZE].copy_from_slice(&length);
            return Ok(());
        }
    };
    bytes.truncate(start);
    Err(FrameError(fault.into()))
}

/// Takes the first whole frame off `bytes`; `None` while there is none.
///
/// # Errors
/// [`FrameError`] when the bytes are no frame; nothing that follows can be read either.
pub fn read_frame(bytes: &mut Vec<u8>) -> Result<Option<PeerFrame>, FrameError> {
    let Some(head) = bytes.first_chunk::<LENGTH_SIZE>() else {
        return Ok(None);
    };
    let length = u32::from_be_bytes(*head) as usize;
    if length > FRAME_LIMIT {
        return Err(FrameError("too long".into()));
    }
    let Some(body) = bytes.get(LENGTH_SIZE..LENGTH_SIZE + length) else {
        return Ok(None);
    };
    let frame =
        rmp_serde::from_slice(body).map_err(|error| FrameError(error.to_string().into()))?;
    bytes.drain(..LENGTH_SIZE + length);
    Ok(Some(frame))
}

/// Bodies as MessagePack binary; serde would write them as lists of numbers.
mod body_bytes {
    use std::fmt;

    use serde::Deserializer;
    use serde::Serializer;
    use serde::de::Error;
    use serde::de::Visitor;

    pub(super) fn serialize<S: Serializer>(body: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(body)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Vec<u8>, D::Error> {
        deserializer.deserialize_byte_buf(BodyVisitor)
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
