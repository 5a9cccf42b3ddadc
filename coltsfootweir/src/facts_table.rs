//! The facts one member knows.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use xxhash_rust::xxh3::Xxh3Default;

use crate::fact::CondemnedFact;
use crate::fact::CrashFact;
use crate::gossip_message::AgedCrash;
use crate::ids::MoveName;

/// Time for which a condemned version is kept after its move has ended in the configuration in force.
pub const CONDEMNED_RETENTION: Duration = Duration::from_secs(600);

/// Hash of a fact's identity.
pub type FactHash = u64;

#[derive(Clone, Debug)]
struct NotedCondemned {
    fact: CondemnedFact,
    ended: Option<Duration>,
}

#[derive(Clone, Debug)]
struct NotedCrash {
    fact: CrashFact,
    expires: Duration,
}

/// Condemned versions, which stay until their move has ended, and crashes, which expire.
///
/// Once the configuration in force has the end of a move, the fact says nothing that the
/// configuration does not: it takes no part in repairs, is refused when it comes anew, and is dropped
/// after [`CONDEMNED_RETENTION`].
#[derive(Clone, Debug)]
pub struct FactsTable {
    condemned: BTreeMap<FactHash, NotedCondemned>,
    ended_moves: BTreeSet<MoveName>,
    crashes: BTreeMap<FactHash, NotedCrash>,
    retention: Duration,
    changes: u64,
}

impl FactsTable {
    /// An empty table that keeps crashes for `crash_retention`.
    pub fn new(crash_retention: Duration) -> FactsTable {
        FactsTable {
            condemned: BTreeMap::new(),
            ended_moves: BTreeSet::new(),
            crashes: BTreeMap::new(),
            retention: crash_retention,
            changes: 0,
        }
    }

    /// Condemned versions, in no particular order.
    pub fn condemned(&self) -> impl Iterator<Item = &CondemnedFact> {
        self.condemned.values().map(|noted| &noted.fact)
    }

    /// Takes over which moves have ended in the configuration in force.
    pub fn set_ended_moves(&mut self, moves: impl IntoIterator<Item = MoveName>, now: Duration) {
        self.ended_moves = moves.into_iter().collect();
        for noted in self.condemned.values_mut() {
            if noted.ended.is_none() && self.ended_moves.contains(&noted.fact.move_name) {
                noted.ended = Some(now);
            }
        }
    }

    /// Crashes that did not expire, in no particular order.
    pub fn crashes(&self) -> impl Iterator<Item = &CrashFact> {
        self.crashes.values().map(|noted| &noted.fact)
    }

    /// Adds a condemned version; of two copies the lower one is kept. Returns its hash if the
    /// version was not known to be condemned in this move and the move has not ended.
    pub fn condemn(&mut self, fact: CondemnedFact) -> Option<FactHash> {
        let hash = condemned_hash(&fact);
        if let Some(held) = self.condemned.get_mut(&hash) {
            if fact < held.fact {
                held.fact = fact;
            }
            return None;
        }
        if self.ended_moves.contains(&fact.move_name) {
            return None;
        }
        self.condemned
            .insert(hash, NotedCondemned { fact, ended: None });
        self.changes += 1;
        Some(hash)
    }

    /// Adds a crash that was reported `age` before `now`. Returns its hash if it is new.
    pub fn crash(&mut self, fact: CrashFact, age: Duration, now: Duration) -> Option<FactHash> {
        let hash = crash_hash(&fact);
        if age >= self.retention || self.crashes.contains_key(&hash) {
            return None;
        }
        let expires = now + self.retention - age;
        self.crashes.insert(hash, NotedCrash { fact, expires });
        self.changes += 1;
        Some(hash)
    }

    /// Drops the crashes that expired and the condemned versions whose move ended long ago.
    pub fn expire(&mut self, now: Duration) {
        self.crashes.retain(|_, noted| noted.expires > now);
        let held = self.condemned.len();
        self.condemned
            .retain(|_, noted| !is_past_retention(noted, now));
        if self.condemned.len() < held {
            self.changes += 1;
        }
    }

    /// Number that changes whenever a fact is added or a condemned version dropped.
    pub(crate) fn changes(&self) -> u64 {
        self.changes
    }

    /// Digest of the facts that are compared.
    pub fn digest(&self) -> u64 {
        self.hashes().fold(0, u64::wrapping_add)
    }

    /// Hashes of the facts that are compared: all but those of ended moves.
    pub fn hashes(&self) -> impl Iterator<Item = FactHash> {
        let open = self.condemned.iter();
        let open = open.filter_map(|(hash, noted)| noted.ended.is_none().then_some(hash));
        open.chain(self.crashes.keys()).copied()
    }

    /// Whether the fact with this hash is held.
    pub fn holds(&self, hash: FactHash) -> bool {
        self.condemned.contains_key(&hash) || self.crashes.contains_key(&hash)
    }

    /// Condemned version with this hash.
    pub fn condemned_at(&self, hash: FactHash) -> Option<&CondemnedFact> {
        self.condemned.get(&hash).map(|noted| &noted.fact)
    }

    /// Crash with this hash and its age.
    pub fn crash_at(&self, hash: FactHash, now: Duration) -> Option<AgedCrash> {
        let noted = self.crashes.get(&hash)?;
        let age = (now + self.retention).saturating_sub(noted.expires);
        // Rounded up, so that a crash passed on many times still expires.
        let seconds = u32::try_from(age.as_millis().div_ceil(1000)).unwrap_or(u32::MAX);
        Some(AgedCrash {
            fact: noted.fact.clone(),
            seconds,
        })
    }
}

fn is_past_retention(noted: &NotedCondemned, now: Duration) -> bool {
    noted
        .ended
        .is_some_and(|ended| now.saturating_sub(ended) >= CONDEMNED_RETENTION)
}

fn condemned_hash(fact: &CondemnedFact) -> FactHash {
    hash_texts(&[&fact.move_name, &fact.service, &fact.version], &[])
}

fn crash_hash(fact: &CrashFact) -> FactHash {
    hash_texts(
        &[&fact.member],
        &[fact.fingerprint, fact.incarnation, fact.number],
    )
}

fn hash_texts(texts: &[&str], numbers: &[u64]) -> FactHash {
    let mut hasher = Xxh3Default::new();
    for text in texts {
        hasher.update(&(text.len() as u64).to_le_bytes());
        hasher.update(text.as_bytes());
    }
    for number in numbers {
        hasher.update(&number.to_le_bytes());
    }
    hasher.digest()
}
