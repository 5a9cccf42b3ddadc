//! Condemned versions and crashes, as held by one member.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use xxhash_rust::xxh3::Xxh3Default;

use crate::fact::CondemnedFact;
use crate::fact::CrashFact;
use crate::gossip_message::AgedCrash;
use crate::ids::MoveName;

/// Time for which a condemned version is kept after the current configuration ended its move.
pub const CONDEMNED_RETENTION: Duration = Duration::from_secs(600);

/// Hash of a fact's identity.
pub type FactHash = u64;

#[derive(Clone, Debug)]
struct StoredCondemned {
    fact: CondemnedFact,
    ended: Option<Duration>,
}

#[derive(Clone, Debug)]
struct StoredCrash {
    fact: CrashFact,
    expires: Duration,
}

/// Condemned versions, which are kept until their move has ended, and crashes, which expire.
///
/// Once the current configuration contains the end of a move, the configuration itself covers the
/// condemned version. The fact is then excluded from repairs, rejected if it is received again, and
/// dropped after [`CONDEMNED_RETENTION`].
#[derive(Clone, Debug)]
pub struct FactsTable {
    condemned: BTreeMap<FactHash, StoredCondemned>,
    ended_moves: BTreeSet<MoveName>,
    crashes: BTreeMap<FactHash, StoredCrash>,
    retention: Duration,
    changes: u64,
}

impl FactsTable {
    /// Creates an empty table that keeps crashes for `crash_retention`.
    pub fn new(crash_retention: Duration) -> FactsTable {
        FactsTable {
            condemned: BTreeMap::new(),
            ended_moves: BTreeSet::new(),
            crashes: BTreeMap::new(),
            retention: crash_retention,
            changes: 0,
        }
    }

    /// Returns the condemned versions, in no particular order.
    pub fn condemned(&self) -> impl Iterator<Item = &CondemnedFact> {
        self.condemned.values().map(|stored| &stored.fact)
    }

    /// Sets the moves that have ended in the current configuration.
    pub fn set_ended_moves(&mut self, moves: impl IntoIterator<Item = MoveName>, now: Duration) {
        self.ended_moves = moves.into_iter().collect();
        for stored in self.condemned.values_mut() {
            if stored.ended.is_none() && self.ended_moves.contains(&stored.fact.move_name) {
                stored.ended = Some(now);
            }
        }
    }

    /// Returns the crashes that have not expired, in no particular order.
    pub fn crashes(&self) -> impl Iterator<Item = &CrashFact> {
        self.crashes.values().map(|stored| &stored.fact)
    }

    /// Adds a condemned version. Returns its hash if the version was not yet known to be condemned in
    /// this move and the move has not ended.
    ///
    /// Of two copies of a fact the smaller one is kept, so that all members keep the same copy.
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
            .insert(hash, StoredCondemned { fact, ended: None });
        self.changes += 1;
        Some(hash)
    }

    /// Adds a crash that was reported `age` before `now`. Returns its hash if it is new and not
    /// expired.
    pub fn crash(&mut self, fact: CrashFact, age: Duration, now: Duration) -> Option<FactHash> {
        let hash = crash_hash(&fact);
        if age >= self.retention || self.crashes.contains_key(&hash) {
            return None;
        }
        let expires = now + self.retention - age;
        self.crashes.insert(hash, StoredCrash { fact, expires });
        self.changes += 1;
        Some(hash)
    }

    /// Drops expired crashes, and condemned versions whose move ended [`CONDEMNED_RETENTION`] ago.
    pub fn expire(&mut self, now: Duration) {
        self.crashes.retain(|_, stored| stored.expires > now);
        let held = self.condemned.len();
        self.condemned
            .retain(|_, stored| !is_past_retention(stored, now));
        if self.condemned.len() < held {
            self.changes += 1;
        }
    }

    /// Returns a counter that changes whenever a fact is added or a condemned version is dropped.
    pub(crate) fn changes(&self) -> u64 {
        self.changes
    }

    /// Returns the digest of [`FactsTable::hashes`], which peers compare.
    pub fn digest(&self) -> u64 {
        self.hashes().fold(0, u64::wrapping_add)
    }

    /// Returns the hashes of all facts that take part in repairs: all but those of ended moves.
    pub fn hashes(&self) -> impl Iterator<Item = FactHash> {
        let open = self.condemned.iter();
        let open = open.filter_map(|(hash, stored)| stored.ended.is_none().then_some(hash));
        open.chain(self.crashes.keys()).copied()
    }

    /// Returns whether the table contains the fact with this hash.
    pub fn holds(&self, hash: FactHash) -> bool {
        self.condemned.contains_key(&hash) || self.crashes.contains_key(&hash)
    }

    /// Returns the condemned version with this hash.
    pub fn condemned_at(&self, hash: FactHash) -> Option<&CondemnedFact> {
        self.condemned.get(&hash).map(|stored| &stored.fact)
    }

    /// Returns the crash with this hash and its age at `now`.
    pub fn crash_at(&self, hash: FactHash, now: Duration) -> Option<AgedCrash> {
        let stored = self.crashes.get(&hash)?;
        let age = (now + self.retention).saturating_sub(stored.expires);
        // Rounded up, so that a crash that is forwarded many times still expires.
        let seconds = u32::try_from(age.as_millis().div_ceil(1000)).unwrap_or(u32::MAX);
        Some(AgedCrash {
            fact: stored.fact.clone(),
            seconds,
        })
    }
}

fn is_past_retention(stored: &StoredCondemned, now: Duration) -> bool {
    stored
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
