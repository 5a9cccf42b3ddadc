//! Teams of a soak: their keys, who sends which key, and the configuration that lists them.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use serde_json::json;

use crate::common::caller::CallSpec;
use crate::sidecar::sidecar_fleet::ConfigTerms;
use crate::sidecar::sidecar_fleet::STALLS;

use super::place_checks::WARMUP_PER_S;

/// Keys of the team `ash`, which are removed and added while a soak runs.
pub const CHANGING_KEYS: [&str; 4] = [
    "secret-ash-0",
    "secret-ash-1",
    "secret-ash-2",
    "secret-ash-3",
];

/// Key of the team `ash` that stays.
const KEPT_KEY: &str = "secret-ash-kept";

/// Key of the team `oak`, which has no cap.
pub const FREE_KEY: &str = "secret-oak";

/// Key of the team `elm`, which has a cap.
pub const CAPPED_KEY: &str = "secret-elm";

/// Key that no configuration holds.
const UNKNOWN_KEY: &str = "secret-nobody";

/// Beginning of all keys: endpoints must not see it.
pub const KEY_MARK: &str = "secret-";

/// Cap of the team `elm`: far below what the endpoints of a soak can run.
pub const CAP_RATE: f64 = 10.0;
pub const CAP_BURST: f64 = 10.0;

/// Rank of all teams and of the route without keys. Where one endpoint is left, the callers load it
/// beyond what it can do, and a less urgent rank would not be served.
const RANK: u8 = 1;

/// Pause of a caller of the team `elm` between two requests, outside of a flood and in one. With four
/// to six daemons, a flood is 10 times the cap or more.
const CALM_PAUSE: Duration = Duration::from_millis(300);
const FLOOD_PAUSE: Duration = Duration::from_millis(25);

/// Time for which an endpoint says to be cold after its start; those of a soak say so when told.
const WARMUP_S: u64 = 5;

/// Separates the draws of callers' keys from those of their requests.
const KEY_STREAM: u64 = 0x7465_616d_6b65_7973;

/// Time of a flood, from the start of the soak's faults.
#[derive(Clone, Copy, Debug)]
pub struct FloodTime {
    pub from: Duration,
    pub to: Duration,
}

/// Time in which no configuration had a key.
#[derive(Clone, Copy, Debug)]
pub struct KeyAbsence {
    pub key: &'static str,
    /// Acknowledgement of the removal; `None` if the key was absent from the start.
    pub acked: Option<Instant>,
    /// Start of the write that added the key again.
    pub added: Option<Instant>,
}

/// Keys in the configuration, and the times in which they were not.
#[derive(Clone, Debug)]
pub struct KeyRing {
    present: BTreeSet<&'static str>,
    pub absences: Vec<KeyAbsence>,
}

impl KeyRing {
    /// All keys but the last changing one.
    pub fn new() -> KeyRing {
        let [first @ .., last] = CHANGING_KEYS;
        let absence = KeyAbsence {
            key: last,
            acked: None,
            added: None,
        };
        KeyRing {
            present: first.into_iter().collect(),
            absences: vec![absence],
        }
    }

    /// Adds a key; the caller writes the configuration afterwards. Returns whether it was absent.
    pub fn add(&mut self, key: &'static str) -> bool {
        let is_new = self.present.insert(key);
        let mut absences = self.absences.iter_mut();
        if let Some(absence) = absences.rfind(|absence| absence.key == key && is_new) {
            absence.added = Some(Instant::now());
        }
        is_new
    }

    /// Removes a key; the caller writes the configuration and then calls `note_removal`. Returns whether
    /// it was present.
    pub fn remove(&mut self, key: &'static str) -> bool {
        self.present.remove(key)
    }

    pub fn note_removal(&mut self, key: &'static str) {
        self.absences.push(KeyAbsence {
            key,
            acked: Some(Instant::now()),
            added: None,
        });
    }

    /// Parts of the configuration with the keys that are present.
    pub fn config_terms(&self) -> ConfigTerms {
        let mut keys: Vec<_> = self.present.iter().copied().collect();
        keys.push(KEPT_KEY);
        let team = |name: &str, keys: Value, rate: f64, burst: f64| json!({"name": name, "api_keys": keys, "priority": RANK, "rate_per_s": rate, "burst": burst});
        let teams = json!([
            team("ash", json!(keys), 0.0, 0.0),
            team("elm", json!([CAPPED_KEY]), CAP_RATE, CAP_BURST),
            team("oak", json!([FREE_KEY]), 0.0, 0.0),
        ]);
        let open = json!({"name": "open", "authority": "test", "prefix": "/open/",
            "kind": "idempotent", "timeout_ms": 2_500, "target_latency_ms": 500, "priority": RANK,
            "service": STALLS, "attempts": 2, "allow_anonymous": true});
        let services =
            json!([{"name": STALLS, "warmup_s": WARMUP_S, "warmup_per_s": WARMUP_PER_S}]);
        ConfigTerms {
            routes: format!(",{open}"),
            members: format!(r#","tenants":{teams}"#),
            services: services.to_string(),
            ..ConfigTerms::default()
        }
    }
}

/// Returns the team that a key belongs to while it is valid; none for requests without a key.
pub fn team_of(key: Option<&str>) -> &str {
    let name = key.and_then(|key| key.strip_prefix(KEY_MARK));
    name.and_then(|name| name.split('-').next()).unwrap_or("")
}

/// Adds a key to a request, and a team that the client has no right to name.
pub fn with_key(spec: CallSpec, key: Option<&str>) -> CallSpec {
    let spec = spec.with("tenant", "birch");
    match key {
        Some(key) => spec.with("authorization", format!("Token {key}")),
        None => spec,
    }
}

/// Chooses the keys of one caller.
pub struct KeyChooser {
    rng: ChaCha8Rng,
    is_free: bool,
}

impl KeyChooser {
    /// The first caller at each daemon has a key without limits, so that ordinary load goes on.
    pub fn new(seed: u64, number: usize, is_free: bool) -> KeyChooser {
        let rng = ChaCha8Rng::seed_from_u64(seed ^ KEY_STREAM ^ (number as u64 + 1));
        KeyChooser { rng, is_free }
    }

    /// Returns the key of the next request, or none for one without a key.
    pub fn next_key(&mut self) -> Option<&'static str> {
        if self.is_free {
            return Some(FREE_KEY);
        }
        match self.rng.random_range(0..12) {
            0 => Some(KEPT_KEY),
            1 => Some(UNKNOWN_KEY),
            2 => None,
            draw => Some(CHANGING_KEYS[draw % CHANGING_KEYS.len()]),
        }
    }
}

/// Pause of a caller of the team `elm` after this time of the soak.
pub fn capped_pause(floods: &[FloodTime], elapsed: Duration) -> Duration {
    let mut floods = floods.iter();
    match floods.any(|flood| flood.from <= elapsed && elapsed < flood.to) {
        true => FLOOD_PAUSE,
        false => CALM_PAUSE,
    }
}
