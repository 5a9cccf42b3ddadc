//! Fingerprints that identify repeats of a request, such as one that crashes upstreams.

use xxhash_rust::xxh3::Xxh3;

use crate::ids::Fingerprint;

/// Hashes a request's method, path with query, and body.
///
/// Each part is prefixed with its length, so that requests whose bytes are split differently between
/// the parts have different fingerprints.
#[must_use]
pub fn fingerprint(method: &str, path: &str, body: &[u8]) -> Fingerprint {
    let mut hasher = Xxh3::new();
    for part in [method.as_bytes(), path.as_bytes(), body] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.digest()
}
