//! A whole daemon: binds its ports, starts its tasks, and stops without cutting a request.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use arc_swap::ArcSwap;
use error_stack::Report;
use error_stack::ResultExt;
use log::info;
use log::warn;
use rand::RngExt;
use tiny_http::Server;

use crate::balance::EndpointChooser;
use crate::booking::BookingLedger;
use crate::clock::DaemonClock;
use crate::clock::SystemClock;
use crate::config_state::ConfigState;
use crate::context::DaemonContext;
use crate::context::TaskHandoff;
use crate::context::lock;
use crate::control_client::ControlClient;
use crate::dialer::DirectDialer;
use crate::dialer::PeerDialer;
use crate::endpoint_index::EndpointIndex;
use crate::evidence::EvidenceRecorder;
use crate::floor::FloorState;
use crate::gossip::GossipState;
use crate::gossip_limits::GossipLimits;
use crate::http_platform::ByteCounter;
use crate::http_platform::HttpPlatform;
use crate::http_pool::ConnectionPool;
use crate::ids::MemberId;
use crate::kernel::TaskKernel;
use crate::kernel::TaskStage;
use crate::link::LinkCause;
use crate::link::LinkMeter;
use crate::logging::DAEMON;
use crate::member::MemberEntry;
use crate::member::MemberState;
use crate::metrics::open_metrics;
use crate::metrics_task::CallTally;
use crate::mover::MoverLimits;
use crate::mover::MoverState;
use crate::pace::PaceLimits;
use crate::platform::PlatformStore;
use crate::poison::POISON_TIMEOUT;
use crate::poison::PoisonTable;
use crate::reports::DaemonStatus;
use crate::route_table::RouteTable;
use crate::settings::DaemonSettings;
use crate::slo::SloRecorder;
use crate::upstream::OwnUpstream;

/// Time a platform operation may take.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(3);

/// Exchanges that may wait for a worker.
const EXCHANGE_QUEUE: usize = 64;

/// Claims that may wait to be written.
const CLAIM_QUEUE: usize = 1024;

/// Time for which a leaving daemon still takes calls, so that others learn of it first.
const LEAVE_GRACE: Duration = Duration::from_secs(2);

/// Time between two looks at what still runs while draining.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// Why a daemon could not be started.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DaemonError {
    /// A port could not be bound.
    Bind(SocketAddr),
    /// The metrics could not be opened.
    Metrics,
    /// A task could not be started.
    Task,
}

impl fmt::Display for DaemonError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DaemonError::Bind(address) => write!(f, "address {address} could not be bound"),
            DaemonError::Metrics => f.write_str("metrics could not be opened"),
            DaemonError::Task => f.write_str("a task could not be started"),
        }
    }
}

impl std::error::Error for DaemonError {}

/// What a daemon meets at its borders.
pub struct DaemonParts {
    /// The platform.
    pub platform: Arc<dyn PlatformStore>,
    /// Connections to other daemons.
    pub dialer: Arc<dyn PeerDialer>,
    /// Source of time.
    pub clock: Arc<dyn DaemonClock>,
    /// Bytes by cause, counted by the daemon and by the platform's client.
    pub meter: Arc<LinkMeter>,
}

impl DaemonParts {
    /// The parts of a daemon in production: the platform over HTTP, direct connections, the
    /// operating system's clock.
    #[must_use]
    pub fn new(settings: &DaemonSettings) -> DaemonParts {
        let meter = Arc::new(LinkMeter::default());
        DaemonParts {
            platform: open_platform(settings, &meter),
            dialer: Arc::new(DirectDialer),
            clock: Arc::new(SystemClock::new()),
            meter,
        }
    }
}

/// A running daemon. Dropping it ends it at once; [`MeshDaemon::stop`] ends it in order.
pub struct MeshDaemon {
    context: Arc<DaemonContext>,
    calls: Option<TaskKernel>,
    control: Option<TaskKernel>,
}

impl fmt::Debug for MeshDaemon {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("MeshDaemon")
            .field("id", &self.context.id)
            .finish_non_exhaustive()
    }
}

impl MeshDaemon {
    /// Starts a daemon.
    ///
    /// # Errors
    /// [`DaemonError`].
    pub fn start(settings: DaemonSettings) -> Result<MeshDaemon, Report<DaemonError>> {
        let parts = DaemonParts::new(&settings);
        MeshDaemon::start_with(settings, parts)
    }

    /// Starts a daemon with other parts at its borders.
    ///
    /// # Errors
    /// [`DaemonError`].
    pub fn start_with(
        settings: DaemonSettings,
        parts: DaemonParts,
    ) -> Result<MeshDaemon, Report<DaemonError>> {
        let context = Arc::new(make_context(settings, parts)?);
        let control =
            TaskKernel::start(&context, TaskStage::Control).change_context(DaemonError::Task)?;
        let calls =
            TaskKernel::start(&context, TaskStage::Calls).change_context(DaemonError::Task)?;
        info!(target: DAEMON, "started as {} with calls on {}", context.id, context.call_address);
        Ok(MeshDaemon {
            context,
            calls: Some(calls),
            control: Some(control),
        })
    }

    /// Control address, the daemon's identity.
    #[must_use]
    pub fn id(&self) -> &MemberId {
        &self.context.id
    }

    /// Address that takes calls.
    #[must_use]
    pub fn call_address(&self) -> SocketAddr {
        self.context.call_address
    }

    /// Standing of the daemon now.
    #[must_use]
    pub fn status(&self) -> DaemonStatus {
        self.context.status()
    }

    /// Stops in order: announces the leave, takes no new work for the own upstream, finishes what
    /// runs, and ends.
    pub fn stop(mut self) {
        let context = Arc::clone(&self.context);
        info!(target: DAEMON, "leaving");
        context.leaving.store(true, Ordering::Relaxed);
        let entry = context.upstream.drain(context.now());
        lock(&context.gossip).set_endpoint(entry);
        context.refresh_index();
        context.push_urgent();
        thread::sleep(LEAVE_GRACE);
        drop(self.calls.take());
        let start = Instant::now();
        while !context.upstream.is_idle() {
            if start.elapsed() > context.settings.drain_limit {
                warn!(target: DAEMON, "requests still ran at the drain limit");
                break;
            }
            thread::sleep(DRAIN_POLL);
        }
        lock(&context.gossip).leave();
        context.push_urgent();
        thread::sleep(LEAVE_GRACE / 4);
        drop(self.control.take());
        info!(target: DAEMON, "stopped");
    }
}

/// Counts the platform's traffic on the link meter.
struct StoreCounter {
    meter: Arc<LinkMeter>,
    crosses: bool,
}

impl ByteCounter for StoreCounter {
    fn count_exchange(&self, sent: u64, received: u64) {
        self.meter
            .add(LinkCause::Store, self.crosses, (sent + received) as usize);
    }
}

fn make_context(
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
        upstream: OwnUpstream::new(settings.queue_limit, Arc::clone(&clock)),
        ledger: Mutex::new(BookingLedger::new(id.clone(), incarnation)),
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
        write_count: AtomicU64::new(0),
        handoff: Mutex::new(handoff),
        config_wake,
        peers: ConnectionPool::default(),
        config: Mutex::new(ConfigState::new()),
        table: ArcSwap::from_pointee(RouteTable::default()),
        index: ArcSwap::from_pointee(EndpointIndex::default()),
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

fn make_mover_limits(settings: &DaemonSettings) -> MoverLimits {
    let pace = PaceLimits {
        min_dwell: settings.move_dwell,
        settle: settings.move_settle,
        ..PaceLimits::default()
    };
    MoverLimits { pace }
}

fn open_platform(settings: &DaemonSettings, meter: &Arc<LinkMeter>) -> Arc<dyn PlatformStore> {
    let crosses = settings.region != settings.store_region;
    let counter = StoreCounter {
        meter: Arc::clone(meter),
        crosses,
    };
    let platform = HttpPlatform::new(settings.platform, PLATFORM_TIMEOUT);
    Arc::new(platform.with_byte_counter(Arc::new(counter)))
}
