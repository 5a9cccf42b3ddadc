//! Fingerprints of requests, by which a request that crashes upstreams is known again.

use xxhash_rust::xxh3::Xxh3;

use crate::ids::Fingerprint;

/// Hashes a request's method, path with query, and body.
///
/// Each part is preceded by its length, so that no two requests share a fingerprint by the way
/// their bytes are split.
#[must_use]
pub fn fingerprint(method: &str, path: &str, body: &[u8]) -> Fingerprint {
    let mut hasher = Xxh3::new();
    for part in [method.as_bytes(), path.as_bytes(), body] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.digest()
}
