//! Takes a configuration from whoever had it accepted, so that it spreads even when the store goes
//! down right after: `POST /offer` on the control port, by `rmp-serde`.

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

/// Path of offers.
pub const OFFER_PATH: &str = "/offer";

/// A configuration that was accepted. It must not be offered while its acceptance is in doubt.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AcceptedOffer {
    mark: HeadMark,
    snapshot: Vec<u8>,
}

impl AcceptedOffer {
    /// Offers a snapshot.
    #[must_use]
    pub fn new(snapshot: &ConfigSnapshot) -> AcceptedOffer {
        AcceptedOffer {
            mark: snapshot.mark(),
            snapshot: snapshot.encode(),
        }
    }

    /// Returns the body of a request.
    ///
    /// # Panics
    /// Never: numbers, text and bytes encode.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        encode_message(self).expect("an offer encodes")
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
        if context.take_offer(&offer) {
            ControlAnswer::json(&offer.mark.generation)
        } else {
            ControlAnswer::BadRequest("not a whole configuration".into())
        }
    }
}

impl DaemonContext {
    /// Puts an accepted configuration in force and tells peers of it; returns whether this daemon is
    /// up to date with it.
    pub(crate) fn take_offer(&self, offer: &AcceptedOffer) -> bool {
        apply_offered_config(self, &offer.mark, |config| {
            config.offer(&offer.snapshot, &offer.mark)
        })
    }
}
