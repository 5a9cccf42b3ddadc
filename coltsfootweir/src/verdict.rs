//! Verdicts on the new version of a move, from a registry of rules.

use std::time::Duration;

use crate::evidence_pool::EvidencePool;
use crate::evidence_pool::PoolView;

/// Minimum strength of a finding that condemns the version.
pub const CONDEMN_STRENGTH: f64 = 1.0;

/// Minimum strength of a finding at which a move holds its share.
pub const SUSPECT_STRENGTH: f64 = 0.6;

/// Failure rate that the calls must have been able to detect before a version counts as clear.
const CLEAR_FAILURE_RATE: f64 = 0.05;

/// Minimum confidence at which a version counts as clear.
const CLEAR_CONFIDENCE: f64 = 0.9;

/// Evidence that a rule found against a version.
#[derive(Clone, Debug, PartialEq)]
pub struct VerdictFinding {
    /// Name of the rule.
    pub rule: &'static str,
    /// Strength of the evidence; [`CONDEMN_STRENGTH`] condemns the version.
    pub strength: f64,
    /// The counts behind the finding, as decision lines show them.
    pub summary: Box<str>,
}

/// Verdict on the new version.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// The version is bad.
    Condemn(VerdictFinding),
    /// There is some evidence against the version; the move holds its share for a while.
    Suspect(VerdictFinding),
    /// Enough calls ran and no rule found strong evidence against the version.
    Clear {
        /// Probability that a version that fails one call in twenty would have failed a call by now.
        confidence: f64,
    },
    /// Too few calls ran for a verdict.
    Unsure,
}

/// A rule that looks for one kind of fault.
pub trait VerdictRule: Send + Sync {
    /// Returns the name of the rule, as decision lines show it.
    fn name(&self) -> &'static str;

    /// Returns the strongest finding against the new version, if there is any evidence.
    fn evaluate(&self, view: &PoolView) -> Option<VerdictFinding>;
}

/// Registration of a rule.
pub struct VerdictPlugin {
    /// The rule.
    pub rule: &'static dyn VerdictRule,
}

inventory::collect!(VerdictPlugin);

/// Applies all rules to the pooled evidence; the strongest finding determines the verdict.
#[must_use]
pub fn evaluate_evidence(pool: &mut EvidencePool, now: Duration) -> Verdict {
    pool.advance(now);
    let view = pool.view();
    let mut strongest: Option<VerdictFinding> = None;
    for plugin in inventory::iter::<VerdictPlugin> {
        let Some(finding) = plugin.rule.evaluate(view) else {
            continue;
        };
        if strongest
            .as_ref()
            .is_none_or(|known| finding.strength > known.strength)
        {
            strongest = Some(finding);
        }
    }
    match strongest {
        Some(finding) if finding.strength >= CONDEMN_STRENGTH => Verdict::Condemn(finding),
        Some(finding) if finding.strength >= SUSPECT_STRENGTH => Verdict::Suspect(finding),
        _ => clear(view),
    }
}

fn clear(view: &PoolView) -> Verdict {
    let calls = view.new.calls() as f64;
    let confidence = 1.0 - (1.0 - CLEAR_FAILURE_RATE).powf(calls);
    if confidence < CLEAR_CONFIDENCE {
        return Verdict::Unsure;
    }
    Verdict::Clear { confidence }
}
