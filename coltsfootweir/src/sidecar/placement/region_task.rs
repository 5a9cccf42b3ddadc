//! Applies the allowed regions of a configuration, and reports requests that they exclude.

use std::collections::BTreeSet;

use log::info;
use log::warn;
use serde_json::json;

use crate::ids::RegionName;
use crate::logging::CALLS;
use crate::logging::CONFIG;
use crate::sidecar::mesh_config::MeshRoute;
use crate::sidecar::placement::region_links::RemoteServices;
use crate::sidecar::sidecar_state::SidecarState;
use crate::sidecar::teams::caller::RequestCaller;

/// Applies the regions of the active configuration. A region that no zone has allows nothing and is
/// logged.
pub(crate) fn apply_regions(state: &SidecarState) {
    let Some(active) = state.config.active() else {
        return;
    };
    let settings = state.settings();
    let remote = RemoteServices::new(&active.config, &settings.region);
    state.members.set_remote_services(remote);
    if settings.zones.is_empty() {
        return;
    }
    let known: BTreeSet<&RegionName> = settings.zones.values().collect();
    let routes = active.config.routes.values();
    let routes = routes.flat_map(|route| &route.terms.allowed_regions);
    let teams = active.config.teams.values();
    let teams = teams.flat_map(|team| &team.allowed_regions);
    let named: BTreeSet<&RegionName> = routes.chain(teams).collect();
    for region in named.difference(&known) {
        let event = json!({"name": "region_unknown", "region": region,
            "version": active.config.version});
        warn!(target: CONFIG, "{event}");
    }
}

/// Logs that a request is refused because no endpoint in its allowed regions can be asked.
pub(crate) fn log_region_refusal(request: &str, route: &MeshRoute, caller: RequestCaller<'_>) {
    let team = caller.team.map(|team| &team.name);
    let team_regions = caller.team.map(|team| &team.allowed_regions);
    let event = json!({"name": "request_refused_for_regions", "request": request,
        "route": route.name, "route_regions": route.terms.allowed_regions,
        "team": team, "team_regions": team_regions});
    info!(target: CALLS, "{event}");
}
