//! Order of the requests that wait for a slot: start-time fair queueing between the teams of a rank.
//!
//! More urgent ranks go first, and within a rank requests without a team, by finish time. The requests
//! of teams follow by start tag: what a team has used in expected run time since its requests began
//! to wait, so that teams that wait share the slots equally. All decisions are pure.

pub mod share_refusal;
pub mod tag_pace;
pub mod team_tags;
pub mod wait_queue;

use xxhash_rust::xxh3::xxh3_64;

/// Hash of a team's name. Two teams with one hash would share one part of the capacity.
pub type TeamHash = u64;

/// Returns the hash of a team's name.
#[must_use]
pub fn team_hash(team: &str) -> TeamHash {
    xxh3_64(team.as_bytes())
}
