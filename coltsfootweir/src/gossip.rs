//! The gossip of one member: what it knows, and with whom it exchanges when.
//!
//! Pure: the driver calls [`GossipState::tick`] every [`GOSSIP_INTERVAL`], carries out the actions,
//! and hands in messages, answers and failures.
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

/// Seeds that a member keeps.
pub const SEED_LIMIT: usize = 32;

/// Times at which the member last did what it does at intervals; `None` before the first time.
#[derive(Clone, Debug, Default)]
pub(crate) struct LastTimes {
    pub(crate) tick: Option<Duration>,
    pub(crate) table_repair: Option<Duration>,
    pub(crate) served_repair: Option<Duration>,
    pub(crate) facts_repair: Option<Duration>,
    pub(crate) reconnect: Option<Duration>,
    pub(crate) link: Option<Duration>,
}

/// State of what the choice of endpoints depends on.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct IndexInputs {
    view: u64,
    facts: u64,
    /// Whether each other region heard of is reachable, in the order of names.
    reachable: Vec<bool>,
}

/// The gossip of one member.
#[derive(Clone, Debug)]
pub struct GossipState {
    pub(crate) id: MemberId,
    pub(crate) region: RegionName,
    pub(crate) limits: GossipLimits,
    pub(crate) view: MemberView,
    pub(crate) facts: FactsTable,
    pub(crate) head: HeadClaims,
    pub(crate) heard: BTreeMap<RegionName, Duration>,
    pub(crate) entry_queue: SpreadQueues,
    pub(crate) served_queue: SpreadQueues,
    pub(crate) fact_queue: SpreadQueues,
    pub(crate) floor_wanted: bool,
    /// Whether a member of the own region answered the question for the floor.
    pub(crate) floor_heard: bool,
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
    /// Gossip of the member `own`, whose random choices follow from `seed`.
    pub fn new(own: MemberEntry, limits: GossipLimits, seed: u64) -> GossipState {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let facts = FactsTable::new(limits.crash_retention);
        let mut state = GossipState {
            id: own.id.clone(),
            region: own.region.clone(),
            limits,
            facts,
            head: HeadClaims::default(),
            heard: BTreeMap::new(),
            entry_queue: SpreadQueues::new(rng.random()),
            served_queue: SpreadQueues::new(rng.random()),
            fact_queue: SpreadQueues::new(rng.random()),
            floor_wanted: false,
            floor_heard: false,
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

    /// Adds addresses that are tried while no member is known, and now and then later; of more than
    /// [`SEED_LIMIT`] the oldest are dropped.
    pub fn add_seeds(&mut self, seeds: impl IntoIterator<Item = SocketAddr>) {
        for seed in seeds {
            if !self.seeds.contains(&seed) && *seed.to_string() != *self.id {
                self.seeds.push(seed);
            }
        }
        let surplus = self.seeds.len().saturating_sub(SEED_LIMIT);
        self.seeds.drain(..surplus);
    }

    /// The member's view of all members.
    pub fn view(&self) -> &MemberView {
        &self.view
    }

    /// Entry of the member itself.
    pub fn own(&self) -> &MemberEntry {
        self.view.own()
    }

    /// Condemned versions that the member knows.
    pub fn condemned(&self) -> impl Iterator<Item = &CondemnedFact> {
        self.facts.condemned()
    }

    /// Crashes that the member knows and that did not expire.
    pub fn crashes(&self) -> impl Iterator<Item = &CrashFact> {
        self.facts.crashes()
    }

    /// Asks peers for the floor with each message, or stops asking.
    ///
    /// A member that asks answers no other member's question, so it asks until it serves a
    /// generation at or above its floor.
    pub fn set_floor_wanted(&mut self, wanted: bool) {
        self.floor_wanted = wanted;
    }

    /// Notes the head that the member now serves; a lower one than before is ignored.
    pub fn set_served(&mut self, mark: HeadMark) {
        let run = self.view.own_run();
        if self.view.note_served(run, mark.generation) {
            self.served_queue.push(run, true);
        }
        self.confirm_head(mark);
    }

    /// Notes a head read from the store, or in force; what peers told of its generation gives way.
    pub fn confirm_head(&mut self, mark: HeadMark) {
        self.head.settle(mark, self.now);
    }

    /// Returns whether the digest of the highest head known is the store's word, or in force here.
    #[must_use]
    pub fn is_head_confirmed(&self) -> bool {
        self.head.is_settled()
    }

    /// Notes that no peer gave the configuration of `mark`, so that another digest which peers told
    /// for its generation is tried.
    pub fn reject_head(&mut self, mark: &HeadMark) {
        self.head.doubt(mark);
    }

    /// Notes the upstream beside the member.
    pub fn set_endpoint(&mut self, endpoint: Option<EndpointEntry>) {
        if self.view.own().endpoint == endpoint {
            return;
        }
        self.view.change_own(|entry| entry.endpoint = endpoint);
        self.spread_entry(self.view.own_hash());
    }

    /// Notes that the member leaves for good.
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

    /// Takes over which moves have ended in the configuration in force.
    pub fn set_ended_moves(&mut self, moves: impl IntoIterator<Item = MoveName>) {
        self.facts.set_ended_moves(moves, self.now);
    }

    /// Adds a crash of the upstream beside the member.
    pub fn report_crash(&mut self, fact: CrashFact) {
        if let Some(hash) = self.facts.crash(fact, Duration::ZERO, self.now) {
            self.fact_queue.push(hash, true);
        }
    }

    /// Whether a member of `region` was heard of lately, by this member or by one it heard from.
    pub fn region_reachable(&self, region: &str, now: Duration) -> bool {
        if region == &*self.region {
            return true;
        }
        let heard = self.heard.get(region);
        heard.is_some_and(|heard| now.saturating_sub(*heard) < self.limits.region_timeout)
    }

    /// Number that changes whenever a fact is added or a condemned version dropped.
    pub(crate) fn fact_changes(&self) -> u64 {
        self.facts.changes()
    }

    /// What the choice of endpoints depends on; equal while nothing of it changed.
    pub(crate) fn index_inputs(&self, now: Duration) -> IndexInputs {
        let mut reachable = Vec::with_capacity(self.heard.len());
        for region in self.heard.keys() {
            reachable.push(self.region_reachable(region, now));
        }
        IndexInputs {
            view: self.view.changes(),
            facts: self.facts.changes(),
            reachable,
        }
    }

    /// The highest head known, if it is higher than the served one, and the members to ask for it,
    /// the first choice first.
    ///
    /// Members of the own region come first. Members of other regions are named only while none of
    /// the own region serves the head, or after those that do gave nothing, and only to a holder of the link job or after
    /// [`GossipLimits::link_fallback`].
    pub fn best_head(&self) -> Option<(HeadMark, Vec<SocketAddr>)> {
        let mark = self.head.mark();
        if mark.generation <= self.own().served {
            return None;
        }
        let mut near = Vec::new();
        let mut far = Vec::new();
        for (member, record) in self.view.records() {
            let entry = &record.entry;
            if !entry.state.is_live() || entry.served < mark.generation {
                continue;
            }
            let told = self.head.is_teller(member);
            let order = xxh3_64_with_seed(entry.id.as_bytes(), self.view.own_hash());
            let list = if entry.region == self.region {
                &mut near
            } else {
                &mut far
            };
            list.push((!told, order, record.address));
        }
        let waited = self.now.saturating_sub(self.head.noted()) >= self.limits.link_fallback;
        let allowed = self.peers.links || waited;
        near.sort_unstable();
        far.sort_unstable();
        let mut holders = near;
        if allowed && (holders.is_empty() || self.head.is_doubted()) {
            holders.extend(far);
        }
        let addresses = holders.into_iter().map(|(_, _, address)| address).collect();
        Some((mark.clone(), addresses))
    }

    /// Highest generation that the member `id` was ever seen to serve, in any run.
    pub fn advertised(&self, id: &str) -> Generation {
        self.view.advertised(id)
    }

    /// Lets the entry of `member` ride along on messages; over the link only the own region's.
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

/// Whether `interval` has passed since `last`.
pub(crate) fn is_due(last: Option<Duration>, interval: Duration, now: Duration) -> bool {
    last.is_none_or(|last| now.saturating_sub(last) >= interval)
}
