//! Requests between daemons on the control port: HTTP by `minreq`, bodies by `rmp-serde`.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use error_stack::Report;
use error_stack::ResultExt;
use error_stack::bail;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::dialer::PeerDialer;
use crate::link::LinkCause;
use crate::link::LinkMeter;
use crate::message_format::decode_message;
use crate::message_format::encode_message;

/// Time one exchange may take, in seconds.
const EXCHANGE_TIMEOUT_SECONDS: u64 = 2;

/// Bytes of HTTP heads and of the TCP and IP headers of one exchange on a connection of its own.
const EXCHANGE_OVERHEAD: usize = 730;

/// Failure of an exchange with a peer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ControlError {
    /// The peer could not be reached or gave no answer.
    NoAnswer,
    /// The peer refused.
    Refused,
    /// A message could not be encoded or decoded.
    BadMessage,
}

impl fmt::Display for ControlError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            ControlError::NoAnswer => "peer gave no answer",
            ControlError::Refused => "peer refused",
            ControlError::BadMessage => "message not understood",
        };
        f.write_str(text)
    }
}

impl std::error::Error for ControlError {}

/// Where an exchange goes and how its bytes are counted. The asking daemon alone counts an exchange,
/// so that sums over daemons hold each byte once.
#[derive(Clone, Copy, Debug)]
pub struct ExchangeRoute {
    /// Control address of the peer.
    pub peer: SocketAddr,
    /// Why the bytes are sent.
    pub cause: LinkCause,
    /// Whether the peer stands in another region.
    pub crosses: bool,
}

/// Client of other daemons' control ports.
#[derive(Clone, Debug)]
pub struct ControlClient {
    meter: Arc<LinkMeter>,
    dialer: Arc<dyn PeerDialer>,
}

impl ControlClient {
    /// Makes a client that counts its bytes on `meter`.
    #[must_use]
    pub fn new(meter: Arc<LinkMeter>, dialer: Arc<dyn PeerDialer>) -> Self {
        ControlClient { meter, dialer }
    }

    /// Sends `message` to `path` at a peer and decodes the answer.
    ///
    /// # Errors
    /// Any [`ControlError`].
    pub fn exchange<T: DeserializeOwned>(
        &self,
        route: ExchangeRoute,
        path: &str,
        message: &impl Serialize,
    ) -> Result<T, Report<ControlError>> {
        self.exchange_placed(route, path, message, |_| route.crosses)
    }

    /// Like [`ControlClient::exchange`], for a peer whose region only its answer tells.
    ///
    /// # Errors
    /// Any [`ControlError`].
    pub fn exchange_placed<T: DeserializeOwned>(
        &self,
        route: ExchangeRoute,
        path: &str,
        message: &impl Serialize,
        crosses: impl FnOnce(&T) -> bool,
    ) -> Result<T, Report<ControlError>> {
        let Some(address) = self.dialer.dial(route.peer) else {
            bail!(ControlError::NoAnswer);
        };
        let body = encode_message(message).change_context(ControlError::BadMessage)?;
        let sent = body.len();
        let response = minreq::post(format!("http://{address}{path}"))
            .with_header("Connection", "close")
            .with_body(body)
            .with_timeout(EXCHANGE_TIMEOUT_SECONDS)
            .send();
        let received = response
            .as_ref()
            .map_or(0, |response| response.as_bytes().len());
        let answer = read_answer(response);
        let crosses = answer.as_ref().map_or(route.crosses, crosses);
        let bytes = sent + received + EXCHANGE_OVERHEAD;
        self.meter.add(route.cause, crosses, bytes);
        answer
    }
}

fn read_answer<T: DeserializeOwned>(
    response: Result<minreq::Response, minreq::Error>,
) -> Result<T, Report<ControlError>> {
    let response = response.change_context(ControlError::NoAnswer)?;
    if response.status_code != 200 {
        bail!(ControlError::Refused);
    }
    decode_message(response.as_bytes()).change_context(ControlError::BadMessage)
}
