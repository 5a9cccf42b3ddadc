//! Gossip state of one member.
//!
//! The state does no I/O. The driver calls [`GossipState::tick`] every [`GOSSIP_INTERVAL`], performs the
//! returned actions, and passes in received messages, answers and failed exchanges.
//!
//! [`GOSSIP_INTERVAL`]: crate::gossip_limits::GOSSIP_INTERVAL

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::fact::CondemnedFact;
use crate::fact::CrashFact;
use crate::facts_table::FactsTable;
use crate::gossip_limits::GossipLimits;
use crate::head_claims::HeadClaims;
use crate::ids::Generation;
use crate::ids::MemberId;
use crate::ids::MoveName;
use crate::ids::RegionName;
use crate::member::EndpointEntry;
use crate::member::MemberEntry;
use crate::member::MemberHash;
use crate::member::MemberState;
use crate::peer_lists::PeerLists;
use crate::snapshot::HeadMark;
use crate::spread_queue::SpreadQueues;
use crate::view::MemberView;

/// Maximum number of seed addresses that a member keeps.
pub const SEED_LIMIT: usize = 32;

/// Last time of each periodic action; `None` before the first one.
#[derive(Clone, Debug, Default)]
pub(crate) struct LastTimes {
    pub(crate) tick: Option<Duration>,
    pub(crate) table_repair: Option<Duration>,
    pub(crate) served_repair: Option<Duration>,
    pub(crate) facts_repair: Option<Duration>,
    pub(crate) reconnect: Option<Duration>,
    pub(crate) link: Option<Duration>,
}

/// Versions of the inputs of the endpoint index; the index is rebuilt when they change.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct IndexInputs {
    view: u64,
    facts: u64,
    /// Whether each known remote region is reachable, ordered by region name.
    reachable: Vec<bool>,
}

/// Gossip state of one member.
#[derive(Clone, Debug)]
pub struct GossipState {
    pub(crate) id: MemberId,
    pub(crate) region: RegionName,
    pub(crate) limits: GossipLimits,
    pub(crate) view: MemberView,
    pub(crate) facts: FactsTable,
    pub(crate) head: HeadClaims,
    /// Latest contact with each remote region, direct or reported by another member.
    pub(crate) last_heard: BTreeMap<RegionName, Duration>,
    pub(crate) entry_queue: SpreadQueues,
    pub(crate) served_queue: SpreadQueues,
    pub(crate) fact_queue: SpreadQueues,
    pub(crate) floor_wanted: bool,
    /// Whether a member of the own region has answered the floor request.
    pub(crate) floor_answered: bool,
    pub(crate) urgent_due: bool,
    pub(crate) probes: Vec<MemberHash>,
    pub(crate) peers: PeerLists,
    pub(crate) last: LastTimes,
    pub(crate) started: Duration,
    pub(crate) now: Duration,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) seeds: Vec<SocketAddr>,
}

impl GossipState {
    /// Creates the state of the member `own`; `seed` seeds its random choices.
    pub fn new(own: MemberEntry, limits: GossipLimits, seed: u64) -> GossipState {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let facts = FactsTable::new(limits.crash_retention);
        let mut state = GossipState {
            id: own.id.clone(),
            region: own.region.clone(),
            limits,
            facts,
            head: HeadClaims::default(),
            last_heard: BTreeMap::new(),
            entry_queue: SpreadQueues::new(rng.random()),
            served_queue: SpreadQueues::new(rng.random()),
            fact_queue: SpreadQueues::new(rng.random()),
            floor_wanted: false,
            floor_answered: false,
            urgent_due: false,
            probes: Vec::new(),
            peers: PeerLists::default(),
            last: LastTimes::default(),
            started: Duration::MAX,
            now: Duration::ZERO,
            rng,
            seeds: Vec::new(),
            view: MemberView::new(own),
        };
        state.spread_entry(state.view.own_hash());
        state
    }

    /// Adds addresses that are tried while no member is known, and at intervals afterwards.
    ///
    /// Keeps the newest [`SEED_LIMIT`] addresses.
    pub fn add_seeds(&mut self, seeds: impl IntoIterator<Item = SocketAddr>) {
        for seed in seeds {
            if !self.seeds.contains(&seed) && *seed.to_string() != *self.id {
                self.seeds.push(seed);
            }
        }
        let surplus = self.seeds.len().saturating_sub(SEED_LIMIT);
        self.seeds.drain(..surplus);
    }

    /// Returns the member's view of all members.
    pub fn view(&self) -> &MemberView {
        &self.view
    }

    /// Returns the member's own entry.
    pub fn own(&self) -> &MemberEntry {
        self.view.own()
    }

    /// Returns the condemned versions in the local facts table.
    pub fn condemned(&self) -> impl Iterator<Item = &CondemnedFact> {
        self.facts.condemned()
    }

    /// Returns the known crashes that have not expired.
    pub fn crashes(&self) -> impl Iterator<Item = &CrashFact> {
        self.facts.crashes()
    }

    /// Sets whether each message requests the floor from the peer.
    ///
    /// A member that requests the floor doesn't answer such requests itself, so it keeps requesting
    /// until it serves a generation at or above its floor.
    pub fn set_floor_wanted(&mut self, wanted: bool) {
        self.floor_wanted = wanted;
    }

    /// Sets the head that the member now serves; a lower generation than before is ignored.
    pub fn set_served(&mut self, mark: HeadMark) {
        let run = self.view.own_run();
        if self.view.record_served(run, mark.generation) {
            self.served_queue.push(run, true);
        }
        self.confirm_head(mark);
    }

    /// Records a head that was read from the store or is in force. It replaces what peers reported for
    /// its generation.
    pub fn confirm_head(&mut self, mark: HeadMark) {
        self.head.confirm(mark, self.now);
    }

    /// Returns whether the digest of the highest known head was read from the store or is in force
    /// here, rather than only reported by peers.
    #[must_use]
    pub fn is_head_confirmed(&self) -> bool {
        self.head.is_confirmed()
    }

    /// Records that no peer returned the configuration of `mark`, so that another digest reported for
    /// its generation is tried.
    pub fn reject_head(&mut self, mark: &HeadMark) {
        self.head.record_failed_pull(mark);
    }

    /// Sets the upstream on the member's VM.
    pub fn set_endpoint(&mut self, endpoint: Option<EndpointEntry>) {
        if self.view.own().endpoint == endpoint {
            return;
        }
        self.view.change_own(|entry| entry.endpoint = endpoint);
        self.spread_entry(self.view.own_hash());
    }

    /// Marks the member as left.
    pub fn leave(&mut self) {
        self.view
            .change_own(|entry| entry.state = MemberState::Left);
        self.spread_entry(self.view.own_hash());
    }

    /// Adds a condemned version.
    pub fn assert_condemned(&mut self, fact: CondemnedFact) {
        if let Some(hash) = self.facts.condemn(fact) {
            self.fact_queue.push(hash, true);
        }
    }

    /// Sets the moves that have ended in the current configuration.
    pub fn set_ended_moves(&mut self, moves: impl IntoIterator<Item = MoveName>) {
        self.facts.set_ended_moves(moves, self.now);
    }

    /// Adds a crash of the upstream on the member's VM.
    pub fn report_crash(&mut self, fact: CrashFact) {
        if let Some(hash) = self.facts.crash(fact, Duration::ZERO, self.now) {
            self.fact_queue.push(hash, true);
        }
    }

    /// Returns whether there was contact with a member of `region` within
    /// [`GossipLimits::region_timeout`], by this member or as reported by another one.
    pub fn region_reachable(&self, region: &str, now: Duration) -> bool {
        if region == &*self.region {
            return true;
        }
        let heard = self.last_heard.get(region);
        heard.is_some_and(|heard| now.saturating_sub(*heard) < self.limits.region_timeout)
    }

    /// Returns a counter that changes whenever a fact is added or a condemned version is dropped.
    pub(crate) fn fact_changes(&self) -> u64 {
        self.facts.changes()
    }

    /// Returns the inputs of the endpoint index; equal values mean that the index is up to date.
    pub(crate) fn index_inputs(&self, now: Duration) -> IndexInputs {
        let mut reachable = Vec::with_capacity(self.last_heard.len());
        for region in self.last_heard.keys() {
            reachable.push(self.region_reachable(region, now));
        }
        IndexInputs {
            view: self.view.changes(),
            facts: self.facts.changes(),
            reachable,
        }
    }

    /// Returns the highest known head, if it is above the served one, and the members to fetch it
    /// from, in order of preference.
    ///
    /// Members of the own region come first. Members of other regions are included only while no
    /// member of the own region serves the head or those that do didn't return it. Even then only
    /// holders of the link job use them before [`GossipLimits::link_fallback`] has passed.
    pub fn best_head(&self) -> Option<(HeadMark, Vec<SocketAddr>)> {
        let mark = self.head.mark();
        if mark.generation <= self.own().served {
            return None;
        }
        let mut local = Vec::new();
        let mut remote = Vec::new();
        for (member, record) in self.view.records() {
            let entry = &record.entry;
            if !entry.state.is_live() || entry.served < mark.generation {
                continue;
            }
            let told = self.head.is_claimed_by(member);
            let order = xxh3_64_with_seed(entry.id.as_bytes(), self.view.own_hash());
            let list = if entry.region == self.region {
                &mut local
            } else {
                &mut remote
            };
            list.push((!told, order, record.address));
        }
        let waited = self.now.saturating_sub(self.head.first_seen()) >= self.limits.link_fallback;
        let allowed = self.peers.is_link_holder || waited;
        local.sort_unstable();
        remote.sort_unstable();
        let mut holders = local;
        if allowed && (holders.is_empty() || self.head.has_failed_claim()) {
            holders.extend(remote);
        }
        let addresses = holders.into_iter().map(|(_, _, address)| address).collect();
        Some((mark.clone(), addresses))
    }

    /// Returns the highest generation that the member `id` has ever advertised, in any incarnation.
    pub fn advertised(&self, id: &str) -> Generation {
        self.view.advertised(id)
    }

    /// Queues the entry of `member` for sending; only entries of the own region are sent over the
    /// link.
    pub(crate) fn spread_entry(&mut self, member: MemberHash) {
        let record = self.view.record(member);
        let own = record.is_some_and(|record| record.entry.region == self.region);
        self.entry_queue.push(member, own);
    }

    pub(crate) fn is_joining(&self) -> bool {
        self.now.saturating_sub(self.started) < self.limits.join_time
    }

    pub(crate) fn advance(&mut self, now: Duration) {
        self.now = self.now.max(now);
        self.started = self.started.min(now);
    }
}

/// Returns whether `interval` has passed since `last`.
pub(crate) fn is_due(last: Option<Duration>, interval: Duration, now: Duration) -> bool {
    last.is_none_or(|last| now.saturating_sub(last) >= interval)
}
