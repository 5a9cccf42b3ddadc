//! What the parts of a sidecar share.

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
use crate::ids::Generation;
use crate::ids::Incarnation;
use crate::ids::MemberId;
use crate::ids::RowVersion;
use crate::ids::ServiceName;
use crate::logging::MEMBERS;
use crate::logging::MOVES;
use crate::poison::PoisonTable;
use crate::retry::RetryBudget;
use crate::sidecar::config_holder::ConfigHolder;
use crate::sidecar::dialect::PlatformDialect;
use crate::sidecar::dialect::RolloutOrder;
use crate::sidecar::endpoint_desk::EndpointDesk;
use crate::sidecar::endpoint_desk::wall_ms;
use crate::sidecar::frame::CallResult;
use crate::sidecar::frame::ForwardedCall;
use crate::sidecar::frame::PeerFrame;
use crate::sidecar::member_directory::ConfigHolders;
use crate::sidecar::member_directory::MemberDirectory;
use crate::sidecar::member_table::MemberRecord;
use crate::sidecar::member_table::RolloutStage;
use crate::sidecar::member_table::RolloutStatus;
use crate::sidecar::member_table::StoreReach;
use crate::sidecar::member_table::VersionCount;
use crate::sidecar::mesh_config::TrafficDealer;
use crate::sidecar::rollout::RolloutState;
use crate::sidecar::run_times::RunTimes;
use crate::sidecar::settings::SidecarSettings;
use crate::sidecar::store_client::StoreClient;
use crate::sidecar::tally::SidecarTally;
use crate::sidecar::told_loads::ToldLoads;

/// Time in which a daemon that was asked for a configuration sends it: four copies of a change of
/// 1,400 routes on a link of 10 Mbit/s, and the pauses of a tenth of a core.
const CONFIG_ANSWER_TIME: Duration = Duration::from_millis(700);

/// Crash facts that a daemon tells of; older ones have reached the others.
const TOLD_CRASHES: usize = 32;

/// Choice of endpoints and limits on repeats.
pub struct CallRouting {
    /// Endpoints as this daemon sees them.
    pub chooser: RefCell<EndpointChooser>,
    /// Parts of routes.
    pub dealer: RefCell<TrafficDealer>,
    /// Repeats allowed, by service.
    pub budgets: RefCell<HashMap<ServiceName, RetryBudget>>,
    /// Requests that crash endpoints.
    pub poison: Rc<RefCell<PoisonTable>>,
    /// Times of runs, by route.
    pub run_times: RefCell<RunTimes>,
    /// Load of each endpoint, as the daemon beside it told last.
    pub told_loads: RefCell<ToldLoads>,
}

/// What a daemon told about moves of traffic.
#[derive(Clone, Debug, Default)]
pub struct ToldRollouts {
    /// How it stands to them.
    pub rollout_statuses: Vec<RolloutStatus>,
    /// Answers it has seen.
    pub counts: Vec<VersionCount>,
}

/// What the parts of a sidecar share.
pub struct SidecarState {
    /// Settings in force.
    pub settings: RefCell<Rc<SidecarSettings>>,
    /// Names and formats of the platform.
    pub dialect: Rc<dyn PlatformDialect>,
    /// Source of time.
    pub clock: Arc<dyn DaemonClock>,
    /// The platform's store.
    pub store: StoreClient,
    /// Configuration in force.
    pub config: ConfigHolder,
    /// Daemons and links.
    pub members: MemberDirectory,
    /// The endpoint on the own VM.
    pub endpoint: EndpointDesk,
    /// Choice of endpoints.
    pub routing: CallRouting,
    /// What other daemons told about moves of traffic.
    pub told_rollouts: RefCell<BTreeMap<MemberId, ToldRollouts>>,
    /// Moves of traffic by service.
    pub rollouts: RefCell<BTreeMap<ServiceName, RolloutState>>,
    /// Counters and histograms.
    pub tally: SidecarTally,
    /// Whether the rows of the other daemons have been read.
    pub members_read: Cell<bool>,
    /// Asks for links to be made without waiting for the next look at them.
    pub dial_now: Notify,
    /// Whether the daemon was told to stop.
    pub is_leaving: Cell<bool>,
    /// Requests of clients in progress.
    pub running: Cell<u32>,
    /// Since when another daemon is known to have a newer configuration.
    behind_since: Cell<Option<Duration>>,
    /// Version that was asked for last, and when.
    config_asked: Cell<(Generation, Duration)>,
}

impl SidecarState {
    /// Makes the state of a daemon that knows nothing yet.
    #[must_use]
    pub fn new(
        settings: SidecarSettings,
        dialect: Rc<dyn PlatformDialect>,
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
        let endpoint = EndpointDesk::new(
            settings.id.clone(),
            incarnation,
            Arc::clone(&clock),
            *dialect.headers(),
            Rc::clone(&poison),
        );
        let chooser = EndpointChooser::new(settings.zone.clone(), settings.region.clone(), seed);
        SidecarState {
            store: StoreClient::new(Rc::clone(&dialect), settings.store),
            config: ConfigHolder::default(),
            members: MemberDirectory::new(own),
            endpoint,
            routing: CallRouting {
                chooser: RefCell::new(chooser),
                dealer: RefCell::default(),
                budgets: RefCell::default(),
                poison,
                run_times: RefCell::default(),
                told_loads: RefCell::default(),
            },
            told_rollouts: RefCell::default(),
            rollouts: RefCell::default(),
            tally: SidecarTally::new(),
            members_read: Cell::new(false),
            dial_now: Notify::new(),
            is_leaving: Cell::new(false),
            running: Cell::new(0),
            behind_since: Cell::new(None),
            config_asked: Cell::new((0, Duration::ZERO)),
            settings: RefCell::new(Rc::new(settings)),
            dialect,
            clock,
        }
    }

    /// Returns the settings in force.
    #[must_use]
    pub fn settings(&self) -> Rc<SidecarSettings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Time since the daemon's start.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Returns whether clients may be sent here: a configuration is in force, and an endpoint or
    /// another daemon can be reached.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let has_endpoint = self.endpoint.summary().is_some();
        !self.is_leaving.get()
            && self.config.version() > 0
            && (has_endpoint || self.members.has_open_link())
    }

    /// Brings the own record in line with what the daemon knows, and tells the others at once.
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

    /// Returns whether a move of traffic is not over yet.
    #[must_use]
    pub fn has_open_rollout(&self) -> bool {
        let rollouts = self.rollouts.borrow();
        rollouts
            .values()
            .any(|rollout| rollout.stage < RolloutStage::Done)
    }

    /// Returns how this daemon stands to the moves of traffic that it knows.
    #[must_use]
    pub fn rollout_statuses(&self) -> Vec<RolloutStatus> {
        let mut rollout_statuses = Vec::new();
        for (service, rollout) in self.rollouts.borrow().iter() {
            rollout_statuses.push(RolloutStatus {
                order: rollout.row,
                service: service.clone(),
                version: rollout.order.version.clone(),
                duration_ms: u64::try_from(rollout.order.duration.as_millis()).unwrap_or(u64::MAX),
                stage: rollout.stage,
            });
        }
        rollout_statuses
    }

    /// Takes what another daemon tells about moves of traffic.
    pub fn take_rollouts(
        &self,
        id: MemberId,
        rollout_statuses: Vec<RolloutStatus>,
        counts: Vec<VersionCount>,
    ) {
        self.follow_stances(&rollout_statuses);
        let told = ToldRollouts {
            rollout_statuses,
            counts,
        };
        self.told_rollouts.borrow_mut().insert(id, told);
    }

    /// Returns the frame by which another daemon finds out what this one does not know.
    #[must_use]
    pub fn digests(&self) -> PeerFrame {
        PeerFrame::Digests(self.members.read(|table| table.digests()))
    }

    /// Returns the frame that tells which configuration is in force here.
    #[must_use]
    pub fn config_held(&self) -> PeerFrame {
        PeerFrame::ConfigHeld(self.members.own().id, self.config.version())
    }

    /// Tells the others that a new configuration is in force here.
    pub fn tell_config(&self) {
        self.members.send_config_notice(&self.config_held());
    }

    /// Tells whether the store is in reach.
    pub fn publish_reach(&self, reach: StoreReach) {
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
            let what = json!({"name": name, "reach": format!("{reach:?}")});
            info!(target: MEMBERS, "{what}");
        }
        self.members.send_changed_records();
    }

    /// Runs a call at the endpoint on this VM; dropping the future gives the call up.
    pub async fn run_here(&self, call: &ForwardedCall) -> CallResult {
        let start = self.now();
        let report = self.endpoint.run(call).await;
        self.tally.count_run(self.now() - start);
        if self.endpoint.summary() != self.members.own().endpoint || !report.crashes.is_empty() {
            self.publish_crashes(report.crashes);
        }
        report.result
    }

    /// Spreads crash facts.
    fn publish_crashes(&self, facts: Vec<CrashFact>) {
        self.members.change_own(|own| {
            own.crashes.extend(facts);
            let excess = own.crashes.len().saturating_sub(TOLD_CRASHES);
            own.crashes.drain(..excess);
        });
        self.publish();
    }

    /// Takes records that another daemon sent.
    pub fn take_records(&self, records: &[MemberRecord]) {
        let now = self.now();
        for record in self.members.merge(records) {
            let mut poison = self.routing.poison.borrow_mut();
            for fact in &record.crashes {
                poison.on_crash(fact, now);
            }
            drop(poison);
            self.follow_stances(&record.rollout_statuses);
        }
        self.members.send_changed_records();
        self.want_config();
    }

    /// Takes an order to move traffic; one that is known or older than the known one changes
    /// nothing.
    pub fn take_order(&self, order: RolloutOrder, row: RowVersion, stage: RolloutStage) -> bool {
        let mut rollouts = self.rollouts.borrow_mut();
        let known = rollouts.get(&order.service).map(|rollout| rollout.row);
        if known.is_some_and(|known| known >= row) {
            return false;
        }
        let what = json!({"name": "rollout_learned", "service": order.service,
            "version": order.version, "order": row, "stage": format!("{stage:?}")});
        info!(target: MOVES, "{what}");
        let mut rollout = RolloutState::new(order, row, self.now());
        rollout.advance(row, stage);
        rollouts.insert(rollout.order.service.clone(), rollout);
        true
    }

    /// Moves the rollout of an order on; returns whether that changed anything.
    pub fn advance(
        &self,
        service: &ServiceName,
        row: RowVersion,
        stage: RolloutStage,
        reason: &str,
    ) -> bool {
        let mut rollouts = self.rollouts.borrow_mut();
        let Some(rollout) = rollouts.get_mut(service) else {
            return false;
        };
        if !rollout.advance(row, stage) {
            return false;
        }
        let what = json!({"name": "rollout_stage", "service": service,
            "version": rollout.order.version, "order": rollout.row,
            "stage": format!("{stage:?}"), "reason": reason});
        info!(target: MOVES, "{what}");
        true
    }

    /// Follows what other daemons found out about moves of traffic.
    fn follow_stances(&self, rollout_statuses: &[RolloutStatus]) {
        let mut changed = false;
        for stance in rollout_statuses {
            let order = RolloutOrder {
                service: stance.service.clone(),
                version: stance.version.clone(),
                duration: Duration::from_millis(stance.duration_ms),
            };
            let stage = followed_stage(stance.stage);
            changed |= self.take_order(order, stance.order, stage);
            let reason = "told by another daemon";
            changed |= self.advance(&stance.service, stance.order, stage, reason);
        }
        if changed {
            self.publish();
        }
    }

    /// Asks a daemon that has a newer configuration for it: the own parent in the zone's tree, and
    /// others when that one does not bring it.
    pub fn want_config(&self) {
        let now = self.now();
        let held = self.config.version();
        let holders = self.members.config_holders(held);
        if holders == ConfigHolders::default() {
            self.behind_since.set(None);
            return;
        }
        let since = self.behind_since.get().unwrap_or(now);
        self.behind_since.set(Some(since));
        let scope = self.members.fetch_scope(now.saturating_sub(since));
        let near = holders.same_zone.filter(|_| scope.any_in_zone);
        let far = holders.other_zone.filter(|_| scope.other_zones);
        let Some((id, version)) = holders.parent.or(near).or(far) else {
            return;
        };
        let (asked, at) = self.config_asked.get();
        if asked >= version && now < at + CONFIG_ANSWER_TIME {
            return;
        }
        if let Some(link) = self.members.link(&id) {
            self.config_asked.set((version, now));
            link.send(PeerFrame::ConfigWanted(held));
        }
    }
}

/// Returns the stage to take over from another daemon: that it has settled says nothing of this
/// one, but that it shifted does.
fn followed_stage(stage: RolloutStage) -> RolloutStage {
    match stage {
        RolloutStage::Settled => RolloutStage::Shifted,
        other => other,
    }
}
