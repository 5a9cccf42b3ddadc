//! What a daemon tells operators on its control port.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::config_state::RefusedOffer;
use crate::context::DaemonContext;
use crate::context::lock;
use crate::control_server::ControlAnswer;
use crate::control_server::ControlHandler;
use crate::control_server::HandlerPlugin;
use crate::fact::CondemnedFact;
use crate::gossip::GossipState;
use crate::ids::Generation;
use crate::ids::Incarnation;
use crate::ids::MemberId;
use crate::ids::RegionName;
use crate::link::LinkUsage;
use crate::member::MemberEntry;
use crate::retention_tally::RetentionCounts;

/// Standing of one daemon and its view of the others.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DaemonStatus {
    /// Identity of the daemon.
    pub id: MemberId,
    /// Run of the daemon.
    pub incarnation: Incarnation,
    /// Address that takes calls.
    pub call_address: SocketAddr,
    /// Generation in force.
    pub generation: Generation,
    /// Lowest generation the daemon may serve.
    pub floor: Generation,
    /// Whether the daemon takes calls.
    pub is_serving: bool,
    /// Whether the daemon is leaving.
    pub is_leaving: bool,
    /// Calls of callers now in progress.
    pub calls_running: u64,
    /// Every member it knows.
    pub members: Vec<MemberEntry>,
    /// Regions that nothing was heard of lately; empty from a daemon that does not tell.
    #[serde(default)]
    pub unreachable: BTreeSet<RegionName>,
    /// Higher generation that the daemon was offered last and refused, with the reason.
    #[serde(default)]
    pub refused: Option<Box<str>>,
    /// Versions found bad.
    pub condemned: Vec<CondemnedFact>,
    /// What the daemon left in the platform and removed from it; zeros from one that does not tell.
    #[serde(default)]
    pub retention: RetentionCounts,
}

/// Bytes by cause of one daemon.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LinkReport {
    /// Identity of the daemon.
    pub id: MemberId,
    /// Region of the daemon.
    pub region: RegionName,
    /// Seconds since the daemon started.
    pub seconds: u64,
    /// Usage by cause.
    pub usage: Vec<LinkUsage>,
}

struct StatusHandler;

inventory::submit! { HandlerPlugin { handler: &StatusHandler } }

impl ControlHandler for StatusHandler {
    fn path(&self) -> &'static str {
        "/status"
    }

    fn answer(&self, context: &Arc<DaemonContext>, _body: &[u8]) -> ControlAnswer {
        ControlAnswer::json(&context.status())
    }
}

impl DaemonContext {
    /// Standing of the daemon now.
    #[must_use]
    pub fn status(&self) -> DaemonStatus {
        let config = lock(&self.config);
        let (generation, floor) = (config.mark().generation, config.floor());
        let is_serving = config.is_serving();
        let refused = config.refused().map(describe_refusal);
        drop(config);
        let gossip = lock(&self.gossip);
        DaemonStatus {
            id: self.id.clone(),
            incarnation: self.incarnation,
            call_address: self.call_address,
            generation,
            floor,
            is_serving,
            is_leaving: self.is_leaving(),
            calls_running: self
                .calls_running
                .load(std::sync::atomic::Ordering::Relaxed),
            members: gossip.view().entries().cloned().collect(),
            unreachable: unreachable_regions(&gossip, self.now()),
            refused,
            condemned: gossip.condemned().cloned().collect(),
            retention: self.retention.counts(),
        }
    }
}

fn describe_refusal(refused: &RefusedOffer) -> Box<str> {
    format!(
        "generation {} refused: {}",
        refused.generation, refused.error
    )
    .into()
}

fn unreachable_regions(gossip: &GossipState, now: Duration) -> BTreeSet<RegionName> {
    let mut regions = BTreeSet::new();
    for entry in gossip.view().entries() {
        if !gossip.region_reachable(&entry.region, now) {
            regions.insert(entry.region.clone());
        }
    }
    regions
}

struct GenerationHandler;

inventory::submit! { HandlerPlugin { handler: &GenerationHandler } }

impl ControlHandler for GenerationHandler {
    fn path(&self) -> &'static str {
        "/generation"
    }

    fn answer(&self, context: &Arc<DaemonContext>, _body: &[u8]) -> ControlAnswer {
        ControlAnswer::json(&lock(&context.config).mark().generation)
    }
}

struct SloHandler;

inventory::submit! { HandlerPlugin { handler: &SloHandler } }

impl ControlHandler for SloHandler {
    fn path(&self) -> &'static str {
        "/slo"
    }

    fn answer(&self, context: &Arc<DaemonContext>, _body: &[u8]) -> ControlAnswer {
        ControlAnswer::json(&lock(&context.slo).report(context.now()))
    }
}

struct LinkHandler;

inventory::submit! { HandlerPlugin { handler: &LinkHandler } }

impl ControlHandler for LinkHandler {
    fn path(&self) -> &'static str {
        "/link"
    }

    fn answer(&self, context: &Arc<DaemonContext>, _body: &[u8]) -> ControlAnswer {
        ControlAnswer::json(&LinkReport {
            id: context.id.clone(),
            region: context.settings.region.clone(),
            seconds: context.now().as_secs(),
            usage: context.meter.usage(),
        })
    }
}
