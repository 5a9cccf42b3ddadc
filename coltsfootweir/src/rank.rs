//! Assignment of jobs to members by rendezvous hashing.

use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::MemberId;
use crate::member::MemberEntry;

/// Returns the hash that ranks the member `id` for `job`; members with the lowest hashes hold the job.
pub fn job_hash(job: &str, id: &str) -> u64 {
    xxh3_64_with_seed(id.as_bytes(), xxh3_64(job.as_bytes()))
}

/// Returns `members` in order of preference for `job`.
pub fn rank_members<'a>(
    job: &str,
    members: impl Iterator<Item = &'a MemberEntry>,
) -> Vec<&'a MemberEntry> {
    let mut ranked: Vec<&MemberEntry> = members.collect();
    ranked.sort_by_cached_key(|entry| (job_hash(job, &entry.id), &entry.id));
    ranked
}

/// Returns `members` in order of preference for `job`, with the busy ones after all others.
pub fn rank_idle_first<'a>(
    job: &str,
    members: impl Iterator<Item = &'a MemberEntry>,
    is_busy: impl Fn(&MemberEntry) -> bool,
) -> Vec<&'a MemberEntry> {
    let mut ranked = rank_members(job, members);
    ranked.sort_by_key(|entry| is_busy(entry));
    ranked
}

/// Returns whether the member `own` is among the first `count` of `members` for `job`.
pub fn holds_job<'a>(
    job: &str,
    own: &MemberId,
    count: usize,
    members: impl Iterator<Item = &'a MemberEntry>,
) -> bool {
    let own_key = (job_hash(job, own), &**own);
    let mut listed = false;
    let mut lower = 0;
    for entry in members {
        if entry.id == *own {
            listed = true;
            continue;
        }
        if (job_hash(job, &entry.id), &*entry.id) < own_key {
            lower += 1;
        }
    }
    listed && lower < count
}
