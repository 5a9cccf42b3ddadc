//! Which daemon has which configuration in force, and the requests for newer ones.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use crate::ids::Generation;
use crate::ids::MemberId;
use crate::sidecar::member_directory::MemberDirectory;
use crate::sidecar::spread::config_fetch::ConfigFetch;
use crate::sidecar::spread::config_fetch::ConfigSource;
use crate::sidecar::spread::config_fetch::FetchRequest;
use crate::sidecar::spread::config_fetch::SourceDistance;

/// Generations of the configuration on other daemons, and the requests for newer ones.
#[derive(Debug, Default)]
pub struct ConfigSpread {
    versions: RefCell<HashMap<MemberId, Generation>>,
    fetch: RefCell<ConfigFetch>,
}

impl ConfigSpread {
    /// Records the generation of the configuration in force on another daemon.
    pub fn record(&self, id: MemberId, version: Generation) {
        self.versions.borrow_mut().insert(id, version);
    }

    /// Records that a piece of a requested configuration was received.
    pub fn on_piece(&self, now: Duration) {
        self.fetch.borrow_mut().on_piece(now);
    }

    /// Returns the request to send at `now`, if one is due, and counts it as sent. `held` is the
    /// generation in force on this daemon.
    pub fn next_request(
        &self,
        members: &MemberDirectory,
        held: Generation,
        now: Duration,
    ) -> Option<FetchRequest> {
        let sources = self.sources(members, held);
        let scope = |overdue| members.fetch_scope(overdue);
        let mut fetch = self.fetch.borrow_mut();
        fetch.next_request(held, &sources, scope, now)
    }

    fn sources(&self, members: &MemberDirectory, held: Generation) -> Vec<ConfigSource> {
        let mut versions = self.versions.borrow_mut();
        // A daemon that is reached again sends its generation first.
        versions.retain(|id, _| members.is_reachable(id));
        let parent = members.parent();
        let mut sources = Vec::new();
        for (id, version) in versions.iter().filter(|(_, version)| **version > held) {
            let distance = match members.is_in_own_zone(id) {
                _ if Some(id) == parent.as_ref() => SourceDistance::Parent,
                true => SourceDistance::SameZone,
                false => SourceDistance::OtherZone,
            };
            sources.push(ConfigSource {
                id: id.clone(),
                version: *version,
                distance,
            });
        }
        sources
    }
}
