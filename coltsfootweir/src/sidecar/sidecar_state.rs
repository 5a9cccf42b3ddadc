//! State that the tasks of a sidecar share.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use log::info;
use serde_json::json;
use tokio::sync::Notify;

use crate::balance::EndpointChooser;
use crate::clock::DaemonClock;
use crate::fact::CrashFact;
use crate::ids::Incarnation;
use crate::ids::MemberId;
use crate::ids::ServiceName;
use crate::logging::CONFIG;
use crate::logging::MEMBERS;
use crate::poison::PoisonTable;
use crate::retry::RetryBudget;
use crate::sidecar::answer::answer_hold::HoldBudget;
use crate::sidecar::answer::answer_sizes::AnswerSizes;
use crate::sidecar::client_limits::host_guard::HostGuard;
use crate::sidecar::config_holder::ConfigHolder;
use crate::sidecar::departures::departure_task::DepartureKeeper;
use crate::sidecar::frame::ForwardedCall;
use crate::sidecar::frame::PeerFrame;
use crate::sidecar::hedging::hedge_policy::HedgePolicy;
use crate::sidecar::link::uplink::Uplink;
use crate::sidecar::local_endpoint::LocalAnswer;
use crate::sidecar::local_endpoint::LocalEndpoint;
use crate::sidecar::local_endpoint::wall_ms;
use crate::sidecar::member_directory::MemberDirectory;
use crate::sidecar::member_table::MemberRecord;
use crate::sidecar::member_table::RolloutStage;
use crate::sidecar::member_table::RolloutStatus;
use crate::sidecar::member_table::StoreReach;
use crate::sidecar::member_table::VersionCount;
use crate::sidecar::mesh_config::ConfigDelta;
use crate::sidecar::mesh_config::TrafficSplitter;
use crate::sidecar::metrics::SidecarMetrics;
use crate::sidecar::placement::evacuation_set::EvacuationSet;
use crate::sidecar::placement::region_task::apply_regions;
use crate::sidecar::planned_stop::stop_control::StopControl;
use crate::sidecar::platform_adapter::PlatformAdapter;
use crate::sidecar::rate_limits::RateLimits;
use crate::sidecar::reported_loads::ReportedLoads;
use crate::sidecar::rollouts::rollout_book::RolloutBook;
use crate::sidecar::run_times::RunTimes;
use crate::sidecar::settings::SidecarSettings;
use crate::sidecar::spread::config_spread::ConfigSpread;
use crate::sidecar::store_client::StoreClient;
use crate::sidecar::teams::config_freshness::ConfigFreshness;
use crate::sidecar::uploads::body_intake::BodyIntake;
use crate::sidecar::uploads::body_memory::BodyMemory;
use crate::sidecar::uploads::body_memory::UnlimitedMemory;
use crate::sidecar::warmup::warmup_task::apply_warmup;

/// Crash facts kept in the record that is sent to the peers. Older ones have already reached them.
pub const MAX_PUBLISHED_CRASHES: usize = 32;

/// Endpoint selection and retry limits.
pub struct CallRouting {
    /// Chooses an endpoint of a service.
    pub chooser: RefCell<EndpointChooser>,
    /// Splits the requests of a route among its parts by weight.
    pub splitter: RefCell<TrafficSplitter>,
    /// Retry budgets by service.
    pub budgets: RefCell<HashMap<ServiceName, RetryBudget>>,
    /// Requests that are known to crash endpoints.
    pub poison: Rc<RefCell<PoisonTable>>,
    /// Run times by route.
    pub run_times: RefCell<RunTimes>,
    /// Load of each endpoint, as last reported by the daemon on its VM.
    pub endpoint_loads: RefCell<ReportedLoads>,
    /// Decides about hedged requests.
    pub hedging: RefCell<HedgePolicy>,
    /// Sizes of answers by route.
    pub answer_sizes: RefCell<AnswerSizes>,
    /// Bytes of answers that are held back until they are complete.
    pub hold_budget: Rc<HoldBudget>,
}

/// Rollout status received from another daemon.
#[derive(Clone, Debug, Default)]
pub struct PeerRollouts {
    /// Stage of each rollout at that daemon.
    pub rollout_statuses: Vec<RolloutStatus>,
    /// Responses counted by that daemon.
    pub counts: Vec<VersionCount>,
}

/// State that the tasks of a sidecar share.
pub struct SidecarState {
    /// Active settings.
    pub settings: RefCell<Rc<SidecarSettings>>,
    /// Names and formats of the platform.
    pub platform_adapter: Rc<dyn PlatformAdapter>,
    /// Monotonic and wall-clock time.
    pub clock: Arc<dyn DaemonClock>,
    /// Client of the platform's store.
    pub store: StoreClient,
    /// Active configuration.
    pub config: ConfigHolder,
    /// Proof that the active configuration was the newest one a short time ago.
    pub freshness: RefCell<ConfigFreshness>,
    /// Zones that are evacuated.
    pub evacuations: RefCell<EvacuationSet>,
    /// Tokens of teams with a limit.
    pub rate_limits: RateLimits,
    /// Configurations in force on other daemons.
    pub spread: ConfigSpread,
    /// Known daemons and the links to them.
    pub members: MemberDirectory,
    /// Limits that follow from the VM.
    pub guard: HostGuard,
    /// Endpoint on this VM.
    pub endpoint: Rc<LocalEndpoint>,
    /// Departures of endpoints and where they are kept.
    pub departures: DepartureKeeper,
    /// Large transfers to other daemons.
    pub uplink: Rc<Uplink>,
    /// Large request bodies from other daemons.
    pub uploads: Rc<BodyIntake>,
    /// Endpoint selection and retry limits.
    pub routing: CallRouting,
    /// Rollout status of other daemons.
    pub peer_rollouts: RefCell<BTreeMap<MemberId, PeerRollouts>>,
    /// Rollouts by service.
    pub rollouts: RefCell<RolloutBook>,
    /// Counters and histograms.
    pub metrics: SidecarMetrics,
    /// Whether the rows of the other daemons have been read from the store.
    pub members_read: Cell<bool>,
    /// Notified to make missing links immediately instead of at the next check.
    pub dial_now: Notify,
    /// Planned stop, if one has begun.
    pub stop: StopControl,
    /// Whether the daemon is shutting down and takes no calls of other daemons any more.
    pub is_leaving: Cell<bool>,
    /// Number of client requests in progress.
    pub running: Cell<u32>,
}

impl SidecarState {
    /// Creates the initial state of a daemon. `seed` initializes the random selection of endpoints.
    #[must_use]
    pub fn new(
        settings: SidecarSettings,
        platform_adapter: Rc<dyn PlatformAdapter>,
        clock: Arc<dyn DaemonClock>,
        seed: u64,
    ) -> SidecarState {
        let incarnation: Incarnation = wall_ms(clock.wall());
        let poison = Rc::new(RefCell::new(PoisonTable::new()));
        let own = MemberRecord {
            id: settings.id.clone(),
            incarnation,
            counter: 0,
            address: settings.listen.peers,
            region: settings.region.clone(),
            zone: settings.zone.clone(),
            size: settings.size,
            is_leaving: false,
            store: StoreReach::Unknown,
            endpoint: None,
            rollout_statuses: Vec::new(),
            crashes: Vec::new(),
        };
        let endpoint = LocalEndpoint::new(
            settings.id.clone(),
            incarnation,
            Arc::clone(&clock),
            *platform_adapter.headers(),
            Rc::clone(&poison),
        );
        let guard = HostGuard::new(settings.host_limits);
        let memory: Box<dyn BodyMemory> = match &guard.account {
            Some(account) => Box::new(Arc::clone(account)),
            None => Box::new(UnlimitedMemory),
        };
        let uploads = BodyIntake::new(settings.size.link_mbits, memory, Arc::clone(&clock));
        let chooser = EndpointChooser::new(settings.zone.clone(), settings.region.clone(), seed);
        SidecarState {
            store: StoreClient::new(Rc::clone(&platform_adapter), settings.store),
            config: ConfigHolder::default(),
            freshness: RefCell::default(),
            evacuations: RefCell::default(),
            rate_limits: RateLimits::new(&settings.id, incarnation, clock.boot()),
            spread: ConfigSpread::default(),
            members: MemberDirectory::new(own),
            guard,
            endpoint,
            routing: CallRouting {
                chooser: RefCell::new(chooser),
                splitter: RefCell::default(),
                budgets: RefCell::default(),
                poison,
                run_times: RefCell::default(),
                endpoint_loads: RefCell::default(),
                hedging: RefCell::default(),
                answer_sizes: RefCell::default(),
                hold_budget: Rc::default(),
            },
            departures: DepartureKeeper::default(),
            uplink: Uplink::new(Arc::clone(&clock)),
            uploads,
            peer_rollouts: RefCell::default(),
            rollouts: RefCell::default(),
            metrics: SidecarMetrics::new(),
            members_read: Cell::new(false),
            dial_now: Notify::new(),
            stop: StopControl::default(),
            is_leaving: Cell::new(false),
            running: Cell::new(0),
            settings: RefCell::new(Rc::new(settings)),
            platform_adapter,
            clock,
        }
    }

    /// Returns the active settings.
    #[must_use]
    pub fn settings(&self) -> Rc<SidecarSettings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Returns the time since the daemon's start.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Returns the time for which a withdrawn API key may be used at most; `None` in deployments
    /// without such a bound or without keys.
    #[must_use]
    pub fn revocation_bound(&self) -> Option<Duration> {
        let bound = self.settings.borrow().bounds.revocation?;
        let active = self.config.active()?;
        (!active.config.teams.is_empty()).then_some(bound)
    }

    /// Records that no configuration newer than the active one existed at `at`, a time since the boot
    /// of the VM.
    pub fn prove_config(&self, at: Duration) {
        let version = self.config.version();
        let mut freshness = self.freshness.borrow_mut();
        freshness.record(version, at, version);
    }

    /// Returns whether clients may send requests to this daemon: it is not shutting down, it has a
    /// configuration, and an endpoint or another daemon is reachable.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let has_endpoint = self.endpoint.summary().is_some();
        !self.stop.has_begun()
            && self.config.version() > 0
            && (has_endpoint || self.members.has_open_link())
    }

    /// Updates this daemon's record from its current state and sends it to the peers.
    pub fn publish(&self) {
        let endpoint = self.endpoint.summary();
        let is_leaving = self.is_leaving.get();
        let rollout_statuses = match self.members.is_watcher() {
            true => self.rollout_statuses(),
            false => Vec::new(),
        };
        self.members.change_own(|own| {
            own.endpoint = endpoint;
            own.is_leaving = is_leaving;
            own.rollout_statuses = rollout_statuses;
        });
        self.members.send_changed_records();
    }

    /// Returns whether any rollout is still in progress.
    #[must_use]
    pub fn has_open_rollout(&self) -> bool {
        let rollouts = self.rollouts.borrow();
        rollouts
            .iter()
            .any(|rollout| rollout.stage < RolloutStage::Done)
    }

    /// Returns the stage of each known rollout at this daemon.
    #[must_use]
    pub fn rollout_statuses(&self) -> Vec<RolloutStatus> {
        let mut rollout_statuses = Vec::new();
        for rollout in self.rollouts.borrow().iter() {
            rollout_statuses.push(RolloutStatus {
                order: rollout.row,
                service: rollout.order.service.clone(),
                version: rollout.order.version.clone(),
                duration_ms: u64::try_from(rollout.order.duration.as_millis()).unwrap_or(u64::MAX),
                stage: rollout.stage,
            });
        }
        rollout_statuses
    }

    /// Returns a frame with the digests of the known records, from which another daemon determines
    /// what is missing here.
    #[must_use]
    pub fn digests(&self) -> PeerFrame {
        PeerFrame::Digests(self.members.read(|table| table.digests()))
    }

    /// Returns a frame with the version of the active configuration.
    #[must_use]
    pub fn config_held_frame(&self) -> PeerFrame {
        PeerFrame::ConfigHeld(self.members.own().id, self.config.version())
    }

    /// Puts a configuration from the daemon `source` in force if it is newer, and announces it.
    pub fn adopt_config(&self, delta: ConfigDelta, source: &str) {
        if self.config.adopt_delta(delta, source) {
            self.announce_config(!self.members.is_in_own_zone(&source.into()));
        }
    }

    /// Applies the active configuration, which is new, and announces its version to the peers.
    /// `is_first_in_zone` tells that it did not come from a daemon of the own zone.
    pub fn announce_config(&self, is_first_in_zone: bool) {
        apply_regions(self);
        apply_warmup(self);
        let frame = self.config_held_frame();
        self.members.send_config_notice(&frame, is_first_in_zone);
    }

    /// Updates and publishes whether the store is reachable. A change between lost and reached is
    /// logged.
    pub fn publish_store_reach(&self, reach: StoreReach) {
        let before = self.members.own().store;
        if !self.members.change_own(|own| own.store = reach) {
            return;
        }
        let is_lost = reach == StoreReach::Lost;
        if is_lost != (before == StoreReach::Lost) || before == StoreReach::Unknown {
            let name = match is_lost {
                true => "store_lost",
                false => "store_reached",
            };
            let event = json!({"name": name, "reach": format!("{reach:?}")});
            info!(target: MEMBERS, "{event}");
        }
        self.members.send_changed_records();
    }

    /// Runs a call at the endpoint on this VM that was delayed by `delay` on its way. Dropping the
    /// future cancels the call.
    pub async fn run_locally(&self, call: &ForwardedCall, delay: Duration) -> LocalAnswer {
        let start = self.now();
        let report = self.endpoint.run(call, delay).await;
        self.metrics.count_run(self.now() - start);
        self.publish_crashes(report.crashes);
        report.answer
    }

    /// Adds crash facts to this daemon's record, and publishes it if that or the endpoint's state has
    /// changed.
    pub fn publish_crashes(&self, facts: Vec<CrashFact>) {
        if self.endpoint.summary() == self.members.own().endpoint && facts.is_empty() {
            return;
        }
        self.members.change_own(|own| {
            own.crashes.extend(facts);
            let excess = own.crashes.len().saturating_sub(MAX_PUBLISHED_CRASHES);
            own.crashes.drain(..excess);
        });
        self.publish();
    }

    /// Merges records that another daemon sent, and forwards those that were new.
    pub fn merge_records(&self, records: &[MemberRecord]) {
        let now = self.now();
        for record in self.members.merge(records) {
            let mut poison = self.routing.poison.borrow_mut();
            for fact in &record.crashes {
                poison.on_crash(fact, now);
            }
            drop(poison);
            self.apply_stances(&record.rollout_statuses);
        }
        self.members.send_changed_records();
        self.request_config();
    }

    /// Requests the configuration from a daemon that has a newer one, if a request is due.
    pub fn request_config(&self) {
        let held = self.config.version();
        let request = self.spread.next_request(&self.members, held, self.now());
        let Some(request) = request else {
            return;
        };
        let Some(link) = self.members.link(&request.peer) else {
            return;
        };
        link.send(PeerFrame::ConfigWanted(held));
        let event = json!({"name": "config_requested", "peer": request.peer,
            "version": request.version, "held": held,
            "overdue_ms": request.overdue.as_millis() as u64});
        info!(target: CONFIG, "{event}");
    }
}
