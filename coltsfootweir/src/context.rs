//! What the daemon's tasks share: settings, decisions under their locks, and the border objects.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwap;
use cadence::StatsdClient;
use flume::Receiver;
use flume::Sender;
use tiny_http::Server;

use crate::balance::EndpointChooser;
use crate::booking::BookingLedger;
use crate::claim::ClaimRequest;
use crate::clock::ClockReading;
use crate::clock::DaemonClock;
use crate::config_state::ConfigState;
use crate::control_client::ControlClient;
use crate::dialer::PeerDialer;
use crate::endpoint_index::EndpointIndex;
use crate::evidence::EvidenceRecorder;
use crate::floor::FloorState;
use crate::gossip::GossipState;
use crate::gossip::IndexInputs;
use crate::gossip_message::GossipAction;
use crate::http_pool::ConnectionPool;
use crate::ids::Incarnation;
use crate::ids::MemberId;
use crate::ids::RouteName;
use crate::ids::WriteId;
use crate::link::LinkMeter;
use crate::metrics_task::CallTally;
use crate::mover::MoverState;
use crate::platform::PlatformStore;
use crate::poison::PoisonTable;
use crate::retention_tally::RetentionTally;
use crate::retry::RetryBudget;
use crate::route_table::RouteTable;
use crate::settings::DaemonSettings;
use crate::slo::SloRecorder;
use crate::upstream::LocalUpstream;

/// Everything the tasks of one daemon share.
pub struct DaemonContext {
    /// Checked settings.
    pub settings: DaemonSettings,
    /// Identity of the daemon.
    pub id: MemberId,
    /// Run of the daemon.
    pub incarnation: Incarnation,
    /// Address that takes calls, as bound.
    pub call_address: SocketAddr,
    /// Source of time.
    pub clock: Arc<dyn DaemonClock>,
    /// The platform.
    pub platform: Arc<dyn PlatformStore>,
    /// Client of other daemons.
    pub client: ControlClient,
    /// Bytes by cause.
    pub meter: Arc<LinkMeter>,
    /// Metrics.
    pub metrics: StatsdClient,
    /// Exchanges waiting to be made.
    pub exchanges: Sender<GossipAction>,
    /// Claims waiting to be written.
    pub claims: Sender<ClaimRequest>,
    /// Whether the daemon is leaving.
    pub leaving: AtomicBool,
    /// Whether the configuration in force may be served; follows the configuration state.
    pub(crate) serving: AtomicBool,
    /// Calls of callers now in progress.
    pub calls_running: Arc<AtomicU64>,
    /// Bookings now in progress, with those whose callers hung up.
    pub bookings_running: Arc<AtomicU64>,
    pub(crate) tally: CallTally,
    pub(crate) retention: RetentionTally,
    pub(crate) write_count: AtomicU64,
    pub(crate) handoff: Mutex<TaskHandoff>,
    pub(crate) config_wake: Sender<()>,
    pub(crate) dialer: Arc<dyn PeerDialer>,
    pub(crate) peers: ConnectionPool,
    pub(crate) gossip: Mutex<GossipState>,
    pub(crate) config: Mutex<ConfigState>,
    pub(crate) floor: Mutex<FloorState>,
    pub(crate) table: ArcSwap<RouteTable>,
    pub(crate) index: ArcSwap<EndpointIndex>,
    pub(crate) index_inputs: Mutex<IndexInputs>,
    /// Number of changes of the facts after which the poison table last took the crashes over.
    pub(crate) facts_learned: Mutex<u64>,
    pub(crate) chooser: Mutex<EndpointChooser>,
    pub(crate) budgets: Mutex<HashMap<RouteName, RetryBudget>>,
    pub(crate) upstream: LocalUpstream,
    pub(crate) ledger: Mutex<BookingLedger>,
    pub(crate) poison: Mutex<PoisonTable>,
    pub(crate) recorder: Mutex<EvidenceRecorder>,
    pub(crate) mover: Mutex<MoverState>,
    pub(crate) slo: Mutex<SloRecorder>,
}

impl DaemonContext {
    /// Time since the daemon started.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Reads both times.
    pub(crate) fn clock_reading(&self) -> ClockReading {
        ClockReading {
            now: self.clock.now(),
            wall: self.clock.wall(),
        }
    }

    /// Returns whether calls may be taken, without waiting for a change of configuration.
    pub(crate) fn is_serving(&self) -> bool {
        self.serving.load(Ordering::Acquire)
    }

    /// Returns whether the daemon was told to stop.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }
}

/// Locks a decision; a panic of another holder does not end this one.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl DaemonContext {
    pub(crate) fn take_control_listener(&self) -> Option<Server> {
        lock(&self.handoff).control.take()
    }

    pub(crate) fn take_call_listener(&self) -> Option<TcpListener> {
        lock(&self.handoff).calls.take()
    }

    pub(crate) fn take_claim_queue(&self) -> Option<Receiver<ClaimRequest>> {
        lock(&self.handoff).claims.take()
    }

    pub(crate) fn take_exchange_queue(&self) -> Option<Receiver<GossipAction>> {
        lock(&self.handoff).exchanges.take()
    }

    pub(crate) fn take_config_wakes(&self) -> Option<Receiver<()>> {
        lock(&self.handoff).config_wakes.take()
    }

    /// Makes the identity of a write, unique over daemons and runs.
    pub(crate) fn make_write_id(&self) -> WriteId {
        let count = self.write_count.fetch_add(1, Ordering::Relaxed);
        format!("{}-{}-{count}", self.id, self.incarnation).into()
    }

    /// Queues exchanges for the workers; what does not fit is left to later ticks.
    pub(crate) fn queue_exchanges(&self, actions: Vec<GossipAction>) {
        for action in actions {
            let _ = self.exchanges.try_send(action);
        }
    }

    /// Spreads the latest own changes at once.
    pub(crate) fn push_urgent(&self) {
        let actions = lock(&self.gossip).push_urgent(self.now());
        self.queue_exchanges(actions);
    }

    /// Brings the call path in line with what gossip brought.
    pub(crate) fn after_gossip(&self) {
        self.learn_crashes();
        self.refresh_index();
        let _ = self.config_wake.try_send(());
    }

    /// Takes over the crashes that gossip brought, if it brought facts since the last time.
    fn learn_crashes(&self) {
        let mut learned = lock(&self.facts_learned);
        let gossip = lock(&self.gossip);
        if *learned == gossip.fact_changes() {
            return;
        }
        *learned = gossip.fact_changes();
        let now = self.now();
        let mut poison = lock(&self.poison);
        for fact in gossip.crashes() {
            poison.on_crash(fact, now);
        }
    }

    /// Replaces the endpoint index by one of the present view, if that changed.
    pub(crate) fn refresh_index(&self) {
        let now = self.now();
        let mut held = lock(&self.index_inputs);
        let gossip = lock(&self.gossip);
        let basis = gossip.index_inputs(now);
        if *held == basis {
            return;
        }
        *held = basis;
        let is_reachable = |region: &str| gossip.region_reachable(region, now);
        let index = EndpointIndex::build(gossip.view().live(), gossip.condemned(), is_reachable);
        drop(gossip);
        // The basis stays locked, so that an older index does not replace a newer one.
        self.index.store(Arc::new(index));
    }
}

/// What tasks take over when they start.
pub(crate) struct TaskHandoff {
    pub(crate) control: Option<Server>,
    pub(crate) calls: Option<TcpListener>,
    pub(crate) claims: Option<Receiver<ClaimRequest>>,
    pub(crate) exchanges: Option<Receiver<GossipAction>>,
    pub(crate) config_wakes: Option<Receiver<()>>,
}
