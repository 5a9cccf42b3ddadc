//! `status`: members and endpoints, as one daemon sees them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use coltsfootweir::ids::Generation;
use coltsfootweir::ids::MemberId;
use coltsfootweir::ids::ServiceName;
use coltsfootweir::ids::VersionName;
use coltsfootweir::member::EndpointPhase;
use coltsfootweir::member::MemberEntry;
use coltsfootweir::reports::DaemonStatus;
use coltsfootweir::retention_tally::RetentionCounts;
use serde_json::Value;
use serde_json::json;

use crate::daemon_client::ask_daemon;
use crate::fleet::STATUS_PATH;
use crate::output::CommandOutput;
use crate::output::CommandResult;
use crate::text_table::TextTable;

/// Endpoints by service, version and phase.
type EndpointCounts = BTreeMap<(ServiceName, VersionName, EndpointPhase), usize>;

/// Asks the daemon at `via` and prints its view.
///
/// # Errors
/// [`CommandFailure::Unavailable`](crate::failure::CommandFailure::Unavailable).
pub fn show_status(via: SocketAddr, timeout: Duration) -> CommandResult {
    let mut status: DaemonStatus = ask_daemon(via, STATUS_PATH, timeout)?;
    status.members.sort_by(|a, b| place(a).cmp(&place(b)));
    let newest = newest_served(&status);
    let counts = count_endpoints(&status);
    Ok(CommandOutput::new(
        render_text(&status, newest, &counts),
        render_json(&status, newest, &counts),
    ))
}

fn place(entry: &MemberEntry) -> (&str, &str, &str) {
    (&entry.region, &entry.zone, &entry.id)
}

fn newest_served(status: &DaemonStatus) -> Generation {
    let served = status.members.iter().map(|entry| entry.served);
    served.fold(status.generation, Generation::max)
}

fn lags(entry: &MemberEntry, newest: Generation) -> bool {
    entry.state.is_live() && entry.served < newest
}

fn count_endpoints(status: &DaemonStatus) -> EndpointCounts {
    let mut counts = EndpointCounts::new();
    for entry in &status.members {
        let Some(endpoint) = &entry.endpoint else {
            continue;
        };
        if !entry.state.is_live() {
            continue;
        }
        let key = (
            endpoint.service.clone(),
            endpoint.version.clone(),
            endpoint.phase,
        );
        *counts.entry(key).or_default() += 1;
    }
    counts
}

fn render_text(status: &DaemonStatus, newest: Generation, counts: &EndpointCounts) -> String {
    let live = status.members.iter().filter(|entry| entry.state.is_live());
    let lagging = status.members.iter().filter(|entry| lags(entry, newest));
    let mut text = format!(
        "daemon {}: generation {}, floor {}, {}, {} calls running\n\
         {} members, {} live, {} behind generation {newest}\n\
         {}\n\n",
        status.id,
        status.generation,
        status.floor,
        standing(status),
        status.calls_running,
        status.members.len(),
        live.count(),
        lagging.count(),
        render_retention(&status.retention),
    );
    text.push_str(&render_members(status, newest).to_string());
    text.push('\n');
    text.push_str(&render_endpoints(counts).to_string());
    if let Some(refused) = &status.refused {
        text.push_str(&format!("{refused}\n"));
    }
    for region in &status.unreachable {
        text.push_str(&format!("region {region} is unreachable\n"));
    }
    for fact in &status.condemned {
        text.push_str(&format!(
            "condemned {}/{} in move/{}: {} (by {})\n",
            fact.service, fact.version, fact.move_name, fact.reason, fact.asserted_by
        ));
    }
    text
}

fn render_retention(counts: &RetentionCounts) -> String {
    format!(
        "claims {} timed, {} kept, {} removed; {} objects removed",
        counts.claims_timed, counts.claims_kept, counts.claims_removed, counts.objects_removed
    )
}

fn render_members(status: &DaemonStatus, newest: Generation) -> TextTable<6> {
    let heading = [
        "REGION",
        "ZONE",
        "MEMBER",
        "STATE",
        "GENERATION",
        "ENDPOINT",
    ];
    let mut table = TextTable::new(heading);
    for entry in &status.members {
        let behind = if lags(entry, newest) { " (behind)" } else { "" };
        let endpoint = entry.endpoint.as_ref().map_or("-".into(), |endpoint| {
            let phase = format!("{:?}", endpoint.phase).to_lowercase();
            format!("{}/{} {phase}", endpoint.service, endpoint.version)
        });
        table.push([
            entry.region.to_string(),
            entry.zone.to_string(),
            entry.id.to_string(),
            format!("{:?}", entry.state).to_lowercase(),
            format!("{}{behind}", entry.served),
            endpoint,
        ]);
    }
    table
}

fn render_endpoints(counts: &EndpointCounts) -> TextTable<4> {
    let mut table = TextTable::new(["SERVICE", "VERSION", "PHASE", "ENDPOINTS"]);
    for ((service, version, phase), count) in counts {
        table.push([
            service.to_string(),
            version.to_string(),
            format!("{phase:?}").to_lowercase(),
            count.to_string(),
        ]);
    }
    table
}

fn render_json(status: &DaemonStatus, newest: Generation, counts: &EndpointCounts) -> Value {
    let mut json = json!(status);
    let lagging = status.members.iter().filter(|entry| lags(entry, newest));
    json["newest_generation"] = json!(newest);
    let behind: Vec<&MemberId> = lagging.map(|entry| &entry.id).collect();
    json["behind"] = json!(behind);
    let mut endpoints = Vec::new();
    for ((service, version, phase), count) in counts {
        endpoints.push(json!({
            "service": service,
            "version": version,
            "phase": phase,
            "count": count,
        }));
    }
    json["endpoints"] = endpoints.into();
    json
}

fn standing(status: &DaemonStatus) -> &'static str {
    match (status.is_leaving, status.is_serving) {
        (true, _) => "leaving",
        (false, true) => "serving",
        (false, false) => "not serving",
    }
}
