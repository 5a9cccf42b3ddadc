//! Crashes of the endpoint, and the requests that are blamed for them.

use std::net::SocketAddr;

use log::info;
use serde_json::json;

use super::CONNECT_TIMEOUT;
use super::IdleConnection;
use super::LocalEndpoint;
use crate::fact::CrashFact;
use crate::ids::Fingerprint;
use crate::logging::UPSTREAM;
use crate::member::EndpointPhase;
use crate::sidecar::announcement::EndpointAnnouncement;
use crate::sidecar::http_exchange::HttpConnection;
use crate::sidecar::sidecar_state::MAX_PUBLISHED_CRASHES;

/// Maximum number of requests that are blamed for one crash. The record of a daemon has room for as many.
const MAX_SUSPECTS: usize = MAX_PUBLISHED_CRASHES;

impl LocalEndpoint {
    /// Records that the endpoint has sent the whole answer to a request, and so has survived it.
    pub(crate) fn record_completed(&self, fingerprint: Fingerprint) {
        let now = self.clock.now();
        self.slots.on_alive(now);
        self.poison.borrow_mut().on_completed(fingerprint, now);
    }

    /// Blames the requests that ran when an answer broke off, if the endpoint has crashed. Returns the number
    /// of suspects.
    pub(crate) async fn blame_broken_answer(&self, address: SocketAddr) -> usize {
        if !self.has_crashed(address).await {
            return 0;
        }
        let facts = self.crash_facts();
        let count = facts.len();
        self.unpublished_crashes.borrow_mut().extend(facts);
        count
    }

    /// Blames the requests that may have run when a lifetime ended that no broken answer told of. One that was
    /// leaving has ended as planned. `noticed` appears in the log.
    pub(super) fn blame_lifetime(&self, ended: &EndpointAnnouncement, noticed: &str) {
        if ended.is_leaving {
            self.slots.end_lifetime();
            return;
        }
        let facts = self.crash_facts();
        if facts.is_empty() {
            return;
        }
        let what = json!({"name": "endpoint_crashed", "endpoint": ended.id,
            "suspects": facts.len(), "noticed": noticed});
        info!(target: UPSTREAM, "{what}");
        self.unpublished_crashes.borrow_mut().extend(facts);
    }

    /// Returns the crash facts that no call has reported, to send to the other daemons.
    #[must_use]
    pub fn take_crashes(&self) -> Vec<CrashFact> {
        std::mem::take(&mut *self.unpublished_crashes.borrow_mut())
    }

    /// Returns whether the endpoint no longer accepts connections and was not marked as down before.
    /// Keeps the connection otherwise.
    pub(super) async fn has_crashed(&self, address: SocketAddr) -> bool {
        let probe = HttpConnection::open(address, CONNECT_TIMEOUT).await;
        let Ok(connection) = probe else {
            let changed = self.register.borrow_mut().mark_down();
            self.on_down();
            return changed;
        };
        let until = self.clock.now() + self.idle_limit.get();
        self.idle
            .borrow_mut()
            .push(IdleConnection { connection, until });
        false
    }

    /// Ends the lifetime of the endpoint, and returns the facts about the requests that may have crashed it. One
    /// that is leaving may end as planned, so only requests that somebody waits for are blamed.
    pub(super) fn crash_facts(&self) -> Vec<CrashFact> {
        let now = self.clock.now();
        let ended = self.slots.end_lifetime();
        let mut ran = ended.open;
        if self.register.borrow().phase() != EndpointPhase::Leaving {
            ran.extend(ended.abandoned);
        }
        let mut poison = self.poison.borrow_mut();
        let mut suspects = poison.crash_suspects(&ran, now);
        // One that was blamed before is the likeliest.
        suspects.sort_by_key(|fingerprint| !poison.is_suspect(*fingerprint, now));
        suspects.truncate(MAX_SUSPECTS);
        if suspects.is_empty() {
            return Vec::new();
        }
        self.crashes.set(self.crashes.get() + 1);
        let mut facts = Vec::new();
        for fingerprint in suspects {
            let fact = CrashFact {
                fingerprint,
                member: self.member.clone(),
                incarnation: self.incarnation,
                number: self.crashes.get(),
            };
            poison.on_crash(&fact, now);
            facts.push(fact);
        }
        facts
    }
}
