//! Applies the limits of cold endpoints from the configuration.

use crate::sidecar::sidecar_state::SidecarState;
use crate::sidecar::warmup::warmup_pacer::WarmupTerms;

/// Applies the limits on requests to the endpoint on this VM from the active configuration.
pub(crate) fn apply_warmup(state: &SidecarState) {
    let Some(active) = state.config.active() else {
        return;
    };
    let settings = state.settings();
    let service = active.config.services.get(&settings.service);
    let per_s = service.map_or(0.0, |service| service.warmup_per_s);
    let terms = WarmupTerms::new(per_s, settings.bounds.warmup);
    state.endpoint.set_warmup_terms(terms);
}

/// Returns whether the endpoint must not run calls yet: without a configuration, this daemon does not
/// know the limits on it.
pub(crate) fn awaits_config(state: &SidecarState) -> bool {
    let bounds = state.settings.borrow().bounds;
    let has_limits = bounds.warmup.overage > 0.0 || bounds.evacuation.is_some();
    has_limits && state.config.version() == 0
}
