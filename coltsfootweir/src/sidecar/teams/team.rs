//! A team and its terms.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::RegionName;
use crate::sidecar::teams::key_digest::KeyDigest;

/// Name of a team.
pub type TeamName = Box<str>;

/// A team and its terms.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Team {
    /// Name, unique within a configuration.
    pub name: TeamName,
    /// Digests of the team's API keys.
    pub keys: Vec<KeyDigest>,
    /// Priority that replaces those of the routes; 0 is the most urgent.
    pub rank: Option<u8>,
    /// Requests per second that the team may run at all daemons together; 0 for no limit.
    pub rate_per_s: f64,
    /// Requests that the team may run beyond the rate at once.
    pub burst: f64,
    /// Regions in which the team's requests may run and be stored; empty for all.
    pub allowed_regions: Vec<RegionName>,
}
