//! Lookup of teams by API key.

use std::collections::BTreeMap;
use std::collections::HashMap;

use log::warn;
use serde_json::json;

use crate::logging::CONFIG;
use crate::sidecar::teams::key_digest::KeyDigest;
use crate::sidecar::teams::team::Team;
use crate::sidecar::teams::team::TeamName;

/// Lookup of teams by the digests of their API keys.
#[derive(Debug, Default)]
pub struct TeamTable {
    names: HashMap<KeyDigest, TeamName>,
}

impl TeamTable {
    /// Builds the table of a configuration. A key of several teams belongs to the first one by name.
    #[must_use]
    pub fn new(teams: &BTreeMap<TeamName, Team>) -> TeamTable {
        let mut names: HashMap<KeyDigest, TeamName> = HashMap::new();
        for team in teams.values() {
            for key in &team.keys {
                let owner = names.entry(*key).or_insert_with(|| team.name.clone());
                if *owner != team.name {
                    let event = json!({"name": "key_of_two_teams", "team": team.name,
                        "owner": owner});
                    warn!(target: CONFIG, "{event}");
                }
            }
        }
        TeamTable { names }
    }

    /// Returns the team that owns a key.
    #[must_use]
    pub fn owner(&self, key: &[u8]) -> Option<&TeamName> {
        self.names.get(&KeyDigest::of(key))
    }
}
