//! Identifies the client of a request by its API key.

use std::time::Duration;

use hyper::HeaderMap;

use crate::sidecar::config_holder::ActiveConfig;
use crate::sidecar::mesh_config::MeshRoute;
use crate::sidecar::sidecar_state::SidecarState;
use crate::sidecar::teams::team::Team;

/// Part of the bound on the use of withdrawn keys that is left for the rounding of times.
const PROOF_MARGIN: Duration = Duration::from_millis(100);

/// Client of a request.
#[derive(Clone, Copy, Debug)]
pub struct RequestCaller<'a> {
    /// Team of the client; `None` for requests without a key.
    pub team: Option<&'a Team>,
    /// Priority of the request; 0 is the most urgent.
    pub rank: u8,
}

/// Reason why a request is refused because of its API key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KeyRefusal {
    /// The request has no key, or one that the configuration in force does not hold.
    Unknown,
    /// It is not known whether the key has been withdrawn.
    Unproven,
}

/// Returns the client of a request. A configuration without teams requires no key.
///
/// # Errors
/// [`KeyRefusal`] if the request must not run.
pub fn identify<'a>(
    state: &SidecarState,
    active: &'a ActiveConfig,
    route: &MeshRoute,
    headers: &HeaderMap,
) -> Result<RequestCaller<'a>, KeyRefusal> {
    let anonymous = RequestCaller {
        team: None,
        rank: route.rank,
    };
    if active.config.teams.is_empty() {
        return Ok(anonymous);
    }
    let name = state.platform_adapter.headers().authorization;
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return match route.terms.allows_anonymous {
            true => Ok(anonymous),
            false => Err(KeyRefusal::Unknown),
        };
    };
    if !is_config_proven(state) {
        return Err(KeyRefusal::Unproven);
    }
    // With several values it would not be clear which key counts.
    if values.next().is_some() {
        return Err(KeyRefusal::Unknown);
    }
    let key = state.platform_adapter.api_key(value.as_bytes());
    let owner = key.and_then(|key| active.teams.owner(key));
    let team = owner.and_then(|name| active.config.teams.get(name));
    let team = team.ok_or(KeyRefusal::Unknown)?;
    Ok(RequestCaller {
        team: Some(team),
        rank: team.rank.unwrap_or(route.rank),
    })
}

/// Returns whether the active configuration was the newest one so short a time ago that none of its
/// keys may have been withdrawn for longer than the deployment allows. The request has been received
/// by now, so this holds for the time at which it was sent, too.
fn is_config_proven(state: &SidecarState) -> bool {
    let Some(bound) = state.revocation_bound() else {
        return true;
    };
    let freshness = state.freshness.borrow();
    freshness.is_proven(state.clock.boot(), bound.saturating_sub(PROOF_MARGIN))
}
