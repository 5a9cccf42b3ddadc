//! A fleet of daemons and the platform stand-in, as processes.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::process;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use coltsfootweir::http_platform::HttpPlatform;
use coltsfootweir::ids::Generation;
use coltsfootweir::member::MemberState;
use coltsfootweir::schema::parse_records;
use error_stack::Report;
use error_stack::ResultExt;
use programs::apply::accept_records;
use standins::relay::RelayMode;
use standins::relay::TcpRelay;

use crate::deployment::DaemonPlace;
use crate::failure::MeasureError;
use crate::failure::MeasureResult;
use crate::probe::read_status;
use crate::process::ChildProcess;

/// Program of the daemons.
const DAEMON: &str = "coltsfootweird";

/// Program of daemons whose region can be cut off.
const CUT_DAEMON: &str = "coltsfootweir-cut-daemon";

/// Seeds that each daemon is given.
const SEED_COUNT: usize = 4;

/// Time a platform operation may take.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(5);

/// Time between two looks at a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Fleets that this process has started.
static FLEET_COUNT: AtomicU8 = AtomicU8::new(1);

/// A running daemon.
#[derive(Debug)]
pub struct FleetDaemon {
    /// The process.
    pub process: ChildProcess,
    /// Where it stands.
    pub place: DaemonPlace,
}

impl FleetDaemon {
    /// Address of the control port.
    #[must_use]
    pub fn control(&self) -> SocketAddr {
        self.process.addresses()[0]
    }

    /// Address that takes calls.
    #[must_use]
    pub fn calls(&self) -> SocketAddr {
        *self.process.addresses().last().unwrap_or(&self.control())
    }
}

/// The platform stand-in and daemons; all end when the fleet is dropped.
#[derive(Debug)]
pub struct TestFleet {
    /// The platform stand-in.
    pub platform: ChildProcess,
    /// The daemons.
    pub daemons: Vec<FleetDaemon>,
    store_region: &'static str,
    /// Loopback addresses of the daemons in the store's region and in the other one.
    hosts: [Ipv4Addr; 2],
    program: &'static str,
    /// Way of the other region to the store, when it can be cut.
    store_link: Option<TcpRelay>,
}

impl TestFleet {
    /// Starts the platform and `count` daemons that fill `places` in turn.
    ///
    /// # Errors
    /// [`MeasureError::Start`].
    pub fn start(count: usize, places: &[DaemonPlace]) -> MeasureResult<TestFleet> {
        let host = make_host();
        let fleet = TestFleet {
            platform: ChildProcess::start("standin-platform", &[])?,
            daemons: Vec::new(),
            store_region: places[0].region,
            hosts: [host, host],
            program: DAEMON,
            store_link: None,
        };
        fleet.fill(count, places)
    }

    /// Starts a fleet whose regions can be cut from each other and one from the platform: signals
    /// USR1 and USR2 at the daemons, and [`TestFleet::set_store_link`].
    ///
    /// # Errors
    /// [`MeasureError::Start`].
    pub fn start_cuttable(count: usize, places: &[DaemonPlace]) -> MeasureResult<TestFleet> {
        let platform = ChildProcess::start("standin-platform", &[])?;
        let relay = TcpRelay::start(platform.addresses()[0])
            .change_context_lazy(|| MeasureError::Start("relay".into()))?;
        let fleet = TestFleet {
            platform,
            daemons: Vec::new(),
            store_region: places[0].region,
            hosts: [make_host(), make_host()],
            program: CUT_DAEMON,
            store_link: Some(relay),
        };
        fleet.fill(count, places)
    }

    fn fill(mut self, count: usize, places: &[DaemonPlace]) -> MeasureResult<TestFleet> {
        for number in 0..count {
            let daemon = self.start_daemon(places[number % places.len()])?;
            self.daemons.push(daemon);
        }
        Ok(self)
    }

    /// Changes what passes between the other region and the platform, in a cuttable fleet.
    pub fn set_store_link(&self, mode: RelayMode) {
        if let Some(relay) = &self.store_link {
            relay.set_mode(mode);
        }
    }

    /// Address of the platform.
    #[must_use]
    pub fn platform_address(&self) -> SocketAddr {
        self.platform.addresses()[0]
    }

    /// Kills a daemon and starts one in its place on new ports.
    ///
    /// # Errors
    /// [`MeasureError::Start`].
    pub fn replace_daemon(&mut self, index: usize) -> MeasureResult<()> {
        self.daemons[index].process.kill();
        self.daemons[index] = self.start_daemon(self.daemons[index].place)?;
        Ok(())
    }

    /// Control addresses of the daemons that run.
    pub fn running(&mut self) -> Vec<SocketAddr> {
        let mut list = Vec::new();
        for daemon in &mut self.daemons {
            if !daemon.process.has_ended() {
                list.push(daemon.control());
            }
        }
        list
    }

    fn start_daemon(&self, place: DaemonPlace) -> MeasureResult<FleetDaemon> {
        let seeds: Vec<String> = self
            .daemons
            .iter()
            .take(SEED_COUNT)
            .map(|daemon| daemon.control().to_string())
            .collect();
        let is_far = place.region != self.store_region;
        let host = self.hosts[usize::from(is_far)];
        let far_platform = self.store_link.as_ref().filter(|_| is_far);
        let platform = far_platform.map_or(self.platform_address(), TcpRelay::address);
        let arguments = [
            format!("--control={host}:0"),
            format!("--calls={host}:0"),
            format!("--region={}", place.region),
            format!("--zone={}", place.zone),
            format!("--platform={platform}"),
            format!("--store-region={}", self.store_region),
            format!("--seeds={}", seeds.join(",")),
            "--log=off".into(),
        ];
        let process = ChildProcess::start(self.program, &arguments)?;
        Ok(FleetDaemon { process, place })
    }

    /// Has records accepted as one change; returns the generation.
    ///
    /// # Errors
    /// [`MeasureError::Refused`].
    pub fn apply(&self, records: &str) -> MeasureResult<Generation> {
        let list = parse_records(records, std::time::SystemTime::now())
            .map_err(|faults| Report::new(MeasureError::Refused).attach(format!("{faults:?}")))?;
        let store = HttpPlatform::new(self.platform_address(), PLATFORM_TIMEOUT);
        accept_records(&store, &list)
            .map(|accepted| accepted.generation)
            .change_context(MeasureError::Refused)
    }

    /// Waits until every daemon serves `generation` and knows `endpoints` ready endpoints.
    ///
    /// # Errors
    /// [`MeasureError::NotReached`].
    pub fn wait_settled(
        &self,
        generation: Generation,
        endpoints: usize,
        limit: Duration,
    ) -> MeasureResult<Duration> {
        let start = Instant::now();
        for daemon in &self.daemons {
            while !is_settled(daemon.control(), generation, endpoints) {
                if start.elapsed() > limit {
                    let text = format!("generation {generation}, {endpoints} endpoints");
                    return Err(Report::new(MeasureError::NotReached(text.into())));
                }
                thread::sleep(POLL_INTERVAL);
            }
        }
        Ok(start.elapsed())
    }
}

/// Makes a loopback address of this fleet alone. Members try dead members' addresses again, so a
/// port that another fleet took over would join the two.
fn make_host() -> Ipv4Addr {
    let [.., high, low] = process::id().to_be_bytes();
    Ipv4Addr::new(127, high, low, FLEET_COUNT.fetch_add(1, Ordering::Relaxed))
}

fn is_settled(control: SocketAddr, generation: Generation, endpoints: usize) -> bool {
    let Ok(status) = read_status(control) else {
        return false;
    };
    let ready = status
        .members
        .iter()
        .filter(|entry| entry.state == MemberState::Alive && entry.endpoint.is_some());
    status.generation >= generation && ready.count() >= endpoints
}
