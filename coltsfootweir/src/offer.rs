//! Receives an accepted configuration directly from its author, so that it spreads even if the store
//! fails right after: `POST /offer` on the control port, encoded with `rmp-serde`.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::config_pull::apply_offered_config;
use crate::context::DaemonContext;
use crate::control_server::ControlAnswer;
use crate::control_server::ControlHandler;
use crate::control_server::HandlerPlugin;
use crate::message_format::decode_message;
use crate::message_format::encode_message;
use crate::snapshot::ConfigSnapshot;
use crate::snapshot::HeadMark;

/// Path of offers on the control port.
pub const OFFER_PATH: &str = "/offer";

/// An accepted configuration, encoded for an offer. A configuration must not be offered while it is
/// unknown whether it was accepted.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AcceptedOffer {
    mark: HeadMark,
    snapshot: Vec<u8>,
}

impl AcceptedOffer {
    /// Creates an offer of a snapshot.
    #[must_use]
    pub fn new(snapshot: &ConfigSnapshot) -> AcceptedOffer {
        AcceptedOffer {
            mark: snapshot.mark(),
            snapshot: snapshot.encode(),
        }
    }

    /// Returns the encoded request body.
    ///
    /// # Panics
    /// Never: numbers, text and bytes can always be encoded.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        encode_message(self).expect("an offer can always be encoded")
    }
}

struct OfferHandler;

inventory::submit! { HandlerPlugin { handler: &OfferHandler } }

impl ControlHandler for OfferHandler {
    fn path(&self) -> &'static str {
        OFFER_PATH
    }

    fn answer(&self, context: &Arc<DaemonContext>, body: &[u8]) -> ControlAnswer {
        let offer: AcceptedOffer = match decode_message(body) {
            Ok(offer) => offer,
            Err(error) => return ControlAnswer::BadRequest(error.to_string().into()),
        };
        if context.apply_offer(&offer) {
            ControlAnswer::json(&offer.mark.generation)
        } else {
            ControlAnswer::BadRequest("not a whole configuration".into())
        }
    }
}

impl DaemonContext {
    /// Puts an accepted configuration in force and announces it to peers; returns whether this daemon
    /// is up to date with it.
    pub(crate) fn apply_offer(&self, offer: &AcceptedOffer) -> bool {
        apply_offered_config(self, &offer.mark, |config| {
            config.offer(&offer.snapshot, &offer.mark)
        })
    }
}
