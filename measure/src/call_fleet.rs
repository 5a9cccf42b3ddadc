//! A fleet for calls: some daemons guard an upstream, the others take calls.

use std::net::SocketAddr;
use std::time::Duration;

use coltsfootweir::retry::MAX_ATTEMPTS;
use error_stack::ResultExt;
use hyper::Method;
use standins::relay::TcpRelay;
use standins::upstream_faults::UpstreamFaults;

use crate::deployment::FULL_SIZE_PLACES;
use crate::failure::MeasureError;
use crate::failure::MeasureResult;
use crate::fleet::FleetDaemon;
use crate::fleet::TestFleet;
use crate::load::CallerPolicy;
use crate::load::LoadSource;
use crate::load::PlannedCall;
use crate::probe::read_upstream;
use crate::process::ChildProcess;
use crate::records::service_name;
use crate::records::service_records;
use crate::upstreams::UpstreamPlan;
use crate::upstreams::start_upstream;
use crate::usage::read_usage;

/// Daemons with an upstream; as many more take calls only.
pub(crate) const GUARD_COUNT: usize = 6;

/// Longest time until the fleet has settled.
const SETTLE_LIMIT: Duration = Duration::from_secs(60);

/// Connections an upstream holds.
const CONNECTION_LIMIT: u32 = 120;

/// Group of calls through two daemons.
pub(crate) const THROUGH: usize = 0;

/// Group of calls sent straight to an upstream.
pub(crate) const DIRECT: usize = 1;

/// Group of calls straight to upstreams without limits, whose callers try again without a budget.
pub(crate) const UNLIMITED: usize = 3;

/// Connections that an upstream without limits holds.
const NO_CONNECTION_LIMIT: u32 = 100_000;

/// Times a caller without a budget tries, and how long each time: the route's timeout and attempts.
const UNLIMITED_POLICY: CallerPolicy = CallerPolicy {
    timeout: Duration::from_secs(1),
    attempts: MAX_ATTEMPTS,
};

/// Group of calls through two plain TCP relays.
pub(crate) const RELAYED: usize = 2;

/// Daemons, upstreams and relays, and the load on them.
pub(crate) struct CallFleet {
    pub(crate) load: LoadSource,
    fleet: TestFleet,
    upstreams: Vec<ChildProcess>,
    near_relays: Vec<TcpRelay>,
    _far_relays: Vec<TcpRelay>,
}

/// Processor time of the two groups of daemons since their start.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallProcessor {
    pub(crate) ingress: Duration,
    pub(crate) guards: Duration,
}

/// Connections that upstreams saw.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectionCounts {
    /// Most that any upstream had at once.
    pub(crate) peak: u32,
    /// Refused by all upstreams.
    pub(crate) refused: u64,
}

impl CallFleet {
    pub(crate) fn start(work: Duration, seed: u64, way: usize) -> MeasureResult<CallFleet> {
        let (limit, flags, policy) = match way {
            UNLIMITED => {
                let flags = vec!["--queue-all".to_string()];
                (NO_CONNECTION_LIMIT, flags, UNLIMITED_POLICY)
            }
            _ => (CONNECTION_LIMIT, Vec::new(), CallerPolicy::default()),
        };
        let fleet = TestFleet::start(2 * GUARD_COUNT, &FULL_SIZE_PLACES[..1])?;
        let generation = fleet.apply(&service_records(1))?;
        let mut upstreams = Vec::new();
        for daemon in &fleet.daemons[..GUARD_COUNT] {
            upstreams.push(start_upstream(&UpstreamPlan {
                daemon: Some(daemon.control()),
                service: service_name(0),
                version: "v1".into(),
                work,
                connection_limit: limit,
                seed,
                faults: UpstreamFaults::default(),
                flags: flags.clone(),
            })?);
        }
        fleet.wait_settled(generation, GUARD_COUNT, SETTLE_LIMIT)?;
        let addresses = upstreams.iter().map(|upstream| upstream.addresses()[0]);
        let far_relays = start_relays(addresses)?;
        let near_relays = start_relays(far_relays.iter().map(TcpRelay::address))?;
        Ok(CallFleet {
            load: LoadSource::with_policy(policy)?,
            fleet,
            upstreams,
            near_relays,
            _far_relays: far_relays,
        })
    }

    fn ingress(&self) -> &[FleetDaemon] {
        &self.fleet.daemons[GUARD_COUNT..]
    }

    pub(crate) fn plan(
        &self,
        way: usize,
        deadline: Option<&str>,
    ) -> impl Fn(u64) -> PlannedCall + Clone + Send + use<> {
        let addresses: Vec<SocketAddr> = match way {
            THROUGH => self.ingress().iter().map(FleetDaemon::calls).collect(),
            RELAYED => self.near_relays.iter().map(TcpRelay::address).collect(),
            _ => self
                .upstreams
                .iter()
                .map(|upstream| upstream.addresses()[0])
                .collect(),
        };
        let mut headers = Vec::new();
        if let Some(deadline) = deadline {
            headers.push(("x-coltsfootweir-deadline-ms", deadline.into()));
        }
        move |number| PlannedCall {
            address: addresses[number as usize % addresses.len()],
            method: Method::GET,
            path: format!("/{}/free", service_name(0)).into(),
            headers: headers.clone(),
            group: way,
        }
    }

    pub(crate) fn processor(&self) -> MeasureResult<CallProcessor> {
        let mut used = CallProcessor {
            ingress: Duration::ZERO,
            guards: Duration::ZERO,
        };
        for (number, daemon) in self.fleet.daemons.iter().enumerate() {
            let processor = read_usage(daemon.process.id())?.processor;
            if number < GUARD_COUNT {
                used.guards += processor;
            } else {
                used.ingress += processor;
            }
        }
        Ok(used)
    }

    pub(crate) fn connections(&self) -> MeasureResult<ConnectionCounts> {
        let mut counts = ConnectionCounts {
            peak: 0,
            refused: 0,
        };
        for upstream in &self.upstreams {
            let stats = read_upstream(upstream.addresses()[0])?;
            counts.peak = counts.peak.max(stats.connections_peak);
            counts.refused += stats.connections_refused;
        }
        Ok(counts)
    }

    pub(crate) fn runs(&self) -> MeasureResult<u64> {
        let mut runs = 0;
        for upstream in &self.upstreams {
            runs += read_upstream(upstream.addresses()[0])?.runs;
        }
        Ok(runs)
    }
}

fn start_relays(targets: impl Iterator<Item = SocketAddr>) -> MeasureResult<Vec<TcpRelay>> {
    let mut relays = Vec::new();
    for target in targets {
        let relay =
            TcpRelay::start(target).change_context_lazy(|| MeasureError::Start("relay".into()))?;
        relays.push(relay);
    }
    Ok(relays)
}
