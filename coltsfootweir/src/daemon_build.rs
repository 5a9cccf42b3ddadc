//! Builds what the tasks of a daemon share: binds its ports and makes its decisions.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use arc_swap::ArcSwap;
use error_stack::Report;
use error_stack::ResultExt;
use rand::RngExt;
use tiny_http::Server;

use crate::balance::EndpointChooser;
use crate::booking::BookingLedger;
use crate::booking_decision::LedgerLimits;
use crate::config_state::ConfigState;
use crate::context::DaemonContext;
use crate::context::TaskHandoff;
use crate::control_client::ControlClient;
use crate::daemon::DaemonError;
use crate::daemon_parts::DaemonParts;
use crate::endpoint_index::EndpointIndex;
use crate::evidence::EvidenceRecorder;
use crate::floor::FloorState;
use crate::gossip::GossipState;
use crate::gossip::IndexInputs;
use crate::gossip_limits::GossipLimits;
use crate::http_pool::ConnectionPool;
use crate::ids::Incarnation;
use crate::ids::MemberId;
use crate::key_age::KeyAgeLimits;
use crate::member::MemberEntry;
use crate::member::MemberState;
use crate::metrics::open_metrics;
use crate::metrics_task::CallTally;
use crate::mover::MoverLimits;
use crate::mover::MoverState;
use crate::pace::PaceLimits;
use crate::poison::POISON_TIMEOUT;
use crate::poison::PoisonTable;
use crate::retention_tally::RetentionTally;
use crate::route_table::RouteTable;
use crate::settings::DaemonSettings;
use crate::slo::SloRecorder;
use crate::upstream::LocalUpstream;

/// Exchanges that may wait for a worker.
const EXCHANGE_QUEUE: usize = 64;

/// Claims that may wait to be written.
const CLAIM_QUEUE: usize = 1024;

/// Binds the ports of a daemon and makes what its tasks share.
pub(crate) fn make_context(
    settings: DaemonSettings,
    parts: DaemonParts,
) -> Result<DaemonContext, Report<DaemonError>> {
    let DaemonParts {
        platform,
        dialer,
        clock,
        meter,
    } = parts;
    let control_listener = bind(settings.control)?;
    let call_listener = bind(settings.calls)?;
    call_listener
        .set_nonblocking(true)
        .change_context(DaemonError::Bind(settings.calls))?;
    let control_address = local_address(&control_listener, settings.control)?;
    let call_address = local_address(&call_listener, settings.calls)?;
    let server = Server::from_listener(control_listener, None).map_err(|error| {
        Report::new(DaemonError::Bind(control_address)).attach(error.to_string())
    })?;
    let id: MemberId = control_address.to_string().into();
    let incarnation = make_incarnation(clock.wall());
    let (exchanges, exchange_queue) = flume::bounded(EXCHANGE_QUEUE);
    let (claims, claim_queue) = flume::bounded(CLAIM_QUEUE);
    let (config_wake, config_wakes) = flume::bounded(1);
    let handoff = TaskHandoff {
        control: Some(server),
        calls: Some(call_listener),
        claims: Some(claim_queue),
        exchanges: Some(exchange_queue),
        config_wakes: Some(config_wakes),
    };
    let own = MemberEntry {
        id: id.clone(),
        call_address,
        region: settings.region.clone(),
        zone: settings.zone.clone(),
        incarnation,
        counter: 0,
        state: MemberState::Alive,
        served: 0,
        endpoint: None,
    };
    let chooser_seed = rand::rng().random();
    let zone = settings.zone.clone();
    let chooser = EndpointChooser::new(zone, settings.region.clone(), chooser_seed);
    Ok(DaemonContext {
        client: ControlClient::new(Arc::clone(&meter), Arc::clone(&dialer)),
        platform,
        dialer,
        metrics: open_metrics(settings.statsd).change_context(DaemonError::Metrics)?,
        gossip: Mutex::new(make_gossip(own, &settings)),
        floor: Mutex::new(FloorState::new(clock.now())),
        upstream: LocalUpstream::new(settings.queue_limit, Arc::clone(&clock)),
        ledger: Mutex::new(make_ledger(&id, incarnation, &settings)),
        recorder: Mutex::new(EvidenceRecorder::new(id.clone(), incarnation)),
        mover: Mutex::new(MoverState::new(id.clone(), make_mover_limits(&settings))),
        id,
        incarnation,
        call_address,
        clock,
        meter,
        exchanges,
        claims,
        leaving: AtomicBool::new(false),
        serving: AtomicBool::new(false),
        calls_running: Arc::default(),
        bookings_running: Arc::default(),
        tally: CallTally::default(),
        retention: RetentionTally::default(),
        write_count: AtomicU64::new(0),
        handoff: Mutex::new(handoff),
        config_wake,
        peers: ConnectionPool::default(),
        config: Mutex::new(ConfigState::new()),
        table: ArcSwap::from_pointee(RouteTable::default()),
        index: ArcSwap::from_pointee(EndpointIndex::default()),
        index_inputs: Mutex::new(IndexInputs::default()),
        facts_learned: Mutex::new(0),
        chooser: Mutex::new(chooser),
        budgets: Mutex::new(HashMap::new()),
        poison: Mutex::new(PoisonTable::new()),
        slo: Mutex::new(SloRecorder::new()),
        settings,
    })
}

fn bind(address: SocketAddr) -> Result<TcpListener, Report<DaemonError>> {
    TcpListener::bind(address).change_context(DaemonError::Bind(address))
}

fn local_address(
    listener: &TcpListener,
    asked: SocketAddr,
) -> Result<SocketAddr, Report<DaemonError>> {
    listener
        .local_addr()
        .change_context(DaemonError::Bind(asked))
}

/// Makes a number that is higher in each later run: microseconds since the Unix epoch.
fn make_incarnation(wall: SystemTime) -> u64 {
    let since_epoch = wall.duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX)
}

fn make_gossip(own: MemberEntry, settings: &DaemonSettings) -> GossipState {
    let limits = GossipLimits {
        crash_retention: POISON_TIMEOUT,
        ..GossipLimits::default()
    };
    let mut gossip = GossipState::new(own, limits, rand::rng().random());
    gossip.add_seeds(settings.seeds.iter().copied());
    gossip.set_floor_wanted(true);
    gossip
}

fn make_ledger(
    id: &MemberId,
    incarnation: Incarnation,
    settings: &DaemonSettings,
) -> BookingLedger {
    let ages = KeyAgeLimits {
        age: settings.key_age_limit,
        ..KeyAgeLimits::default()
    };
    let limits = LedgerLimits {
        ages,
        ..LedgerLimits::default()
    };
    BookingLedger::with_limits(id.clone(), incarnation, limits)
}

fn make_mover_limits(settings: &DaemonSettings) -> MoverLimits {
    let pace = PaceLimits {
        min_dwell: settings.move_dwell,
        settle: settings.move_settle,
        ..PaceLimits::default()
    };
    MoverLimits { pace }
}
