//! Experiment `convergence`: acceptance to in force on every daemon, against polling of the store.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use serde_json::json;
use standins::platform_faults::PlatformFaults;

use crate::announcer::FleetAnnouncer;
use crate::announcer::announce_fleet;
use crate::deployment::DaemonPlace;
use crate::deployment::FULL_SIZE_PLACES;
use crate::experiment::Experiment;
use crate::experiment::ExperimentPlugin;
use crate::experiment::RunSettings;
use crate::failure::MeasureResult;
use crate::fit::median;
use crate::fleet::TestFleet;
use crate::poller::StorePollers;
use crate::probe::set_platform_faults;
use crate::records::route_change;
use crate::records::service_name;
use crate::records::service_records;
use crate::report::RunResult;
use crate::report::TextTable;
use crate::sample::FleetSample;
use crate::usage::machine_load;
use crate::watch::watch_generation;

/// Numbers of daemons.
const FLEET_SIZES: [usize; 3] = [10, 40, 80];

/// Endpoints of one service.
const SERVICE_ENDPOINTS: usize = 8;

/// Changes measured in each scenario.
const CHANGE_COUNT: usize = 5;

/// Longest time a change is watched.
const WATCH_LIMIT: Duration = Duration::from_secs(40);

/// Time for which the store is down.
const OUTAGE: Duration = Duration::from_secs(20);

/// Longest time until a fleet has settled.
const SETTLE_LIMIT: Duration = Duration::from_secs(120);

/// Time between settling and the first change, so that joining is over.
const REST_TIME: Duration = Duration::from_secs(100);

/// Killed daemons: one in this many.
const KILL_PART: usize = 10;

/// Lowest timeout that a change sets, milliseconds.
const LEAST_TIMEOUT_MS: u64 = 1000;

struct ConvergenceExperiment;

inventory::submit! { ExperimentPlugin { experiment: &ConvergenceExperiment } }

/// What happens around a change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ScenarioKind {
    Idle,
    Churn,
    Killed,
    StoreDown,
}

const SCENARIOS: [(ScenarioKind, &str); 4] = [
    (ScenarioKind::Idle, "idle"),
    (ScenarioKind::Churn, "churn"),
    (ScenarioKind::Killed, "tenth-killed"),
    (ScenarioKind::StoreDown, "store-down"),
];

/// Figures of one scenario at one size; times in seconds.
#[derive(Debug, Serialize)]
struct ScenarioResult {
    daemons: usize,
    scenario: &'static str,
    /// Until the last daemon, one for each change; `None` when not within the limit.
    last_daemon: Vec<Option<f64>>,
    /// Until half of the daemons, one for each change.
    half_daemons: Vec<f64>,
    /// Until the last poller of the compared way.
    last_poller: Vec<Option<f64>>,
    /// Link bytes for each generation above those at rest, while nothing else happens.
    link_bytes: Option<f64>,
    machine: Box<str>,
}

/// Bytes a second of both ways at rest.
#[derive(Debug, Serialize)]
struct RestResult {
    daemons: usize,
    control_bytes: f64,
    poller_bytes: f64,
    link_bytes: f64,
    poller_link_bytes: f64,
    store_reads_with_pollers: f64,
}

struct ConvergenceRun<'a> {
    fleet: TestFleet,
    announcer: FleetAnnouncer,
    pollers: StorePollers,
    services: usize,
    random: ChaCha8Rng,
    settings: &'a RunSettings,
}

impl Experiment for ConvergenceExperiment {
    fn name(&self) -> &'static str {
        "convergence"
    }

    fn run(&self, settings: &RunSettings) -> MeasureResult<RunResult> {
        let mut scenarios = Vec::new();
        let mut rests = Vec::new();
        for daemons in settings.sizes(&FLEET_SIZES) {
            let mut run = ConvergenceRun::start(daemons, settings)?;
            let rest = run.measure_rest()?;
            for (kind, name) in SCENARIOS {
                if !settings.wants(name) {
                    continue;
                }
                scenarios.push(run.measure(kind, name, &rest)?);
            }
            rests.push(rest);
        }
        Ok(RunResult {
            text: render(&scenarios, &rests),
            figures: json!({"scenarios": scenarios, "rest": rests}),
        })
    }
}

impl<'a> ConvergenceRun<'a> {
    fn start(daemons: usize, settings: &'a RunSettings) -> MeasureResult<ConvergenceRun<'a>> {
        let places: &[DaemonPlace] = match settings.deployment {
            Some(deployment) => deployment.places(),
            None => &FULL_SIZE_PLACES,
        };
        let fleet = TestFleet::start(daemons, places)?;
        let services = daemons.div_ceil(SERVICE_ENDPOINTS);
        let generation = fleet.apply(&service_records(services))?;
        let announcer = announce_fleet(&fleet, services);
        fleet.wait_settled(generation, daemons, SETTLE_LIMIT)?;
        let pollers = StorePollers::start(fleet.platform_address(), daemons);
        thread::sleep(REST_TIME);
        Ok(ConvergenceRun {
            fleet,
            announcer,
            pollers,
            services,
            random: ChaCha8Rng::seed_from_u64(settings.seed),
            settings,
        })
    }

    fn measure_rest(&self) -> MeasureResult<RestResult> {
        let before = FleetSample::take(&self.fleet)?;
        let polled_before = self.pollers.bytes();
        let start = Instant::now();
        thread::sleep(self.settings.window);
        let polled = self.pollers.bytes() - polled_before;
        let polled = polled as f64 / start.elapsed().as_secs_f64();
        let used = FleetSample::take(&self.fleet)?.since(&before);
        let daemons = self.fleet.daemons.len();
        let home = self.fleet.daemons[0].place.region;
        let remote = self.fleet.daemons.iter();
        let remote = remote.filter(|daemon| daemon.place.region != home).count();
        Ok(RestResult {
            daemons,
            control_bytes: used.control_bytes,
            poller_bytes: polled / daemons as f64,
            link_bytes: used.link_bytes,
            poller_link_bytes: polled * remote as f64 / daemons as f64,
            store_reads_with_pollers: used.store_reads,
        })
    }

    fn measure(
        &mut self,
        kind: ScenarioKind,
        scenario: &'static str,
        rest: &RestResult,
    ) -> MeasureResult<ScenarioResult> {
        let before = FleetSample::take(&self.fleet)?;
        let start = Instant::now();
        let mut result = ScenarioResult {
            daemons: self.fleet.daemons.len(),
            scenario,
            last_daemon: Vec::new(),
            half_daemons: Vec::new(),
            last_poller: Vec::new(),
            link_bytes: None,
            machine: machine_load(),
        };
        for _ in 0..CHANGE_COUNT {
            self.measure_change(kind, &mut result)?;
            let pause = self.random.random_range(1000..2000);
            thread::sleep(Duration::from_millis(pause));
        }
        if kind == ScenarioKind::Idle {
            let used = FleetSample::take(&self.fleet)?.since(&before);
            let extra = (used.link_bytes - rest.link_bytes) * start.elapsed().as_secs_f64();
            result.link_bytes = Some(extra / CHANGE_COUNT as f64);
        }
        eprintln!("{result:?}");
        Ok(result)
    }

    fn measure_change(
        &mut self,
        kind: ScenarioKind,
        result: &mut ScenarioResult,
    ) -> MeasureResult<()> {
        match kind {
            ScenarioKind::Idle | ScenarioKind::StoreDown => {}
            ScenarioKind::Churn => self.toggle_upstreams(),
            ScenarioKind::Killed => self.kill_tenth(),
        }
        let service = service_name(self.random.random_range(0..self.services));
        let timeout = LEAST_TIMEOUT_MS + self.random.random_range(0..LEAST_TIMEOUT_MS);
        let running = self.fleet.running();
        let generation = self.fleet.apply(&route_change(&service, timeout))?;
        let start = Instant::now();
        if kind == ScenarioKind::StoreDown {
            self.set_outage(true)?;
        }
        let limit = if kind == ScenarioKind::StoreDown {
            OUTAGE
        } else {
            WATCH_LIMIT
        };
        let times = watch_generation(&running, generation, start, limit);
        if kind == ScenarioKind::StoreDown {
            thread::sleep(OUTAGE.saturating_sub(start.elapsed()));
            self.set_outage(false)?;
        }
        let polled = self.pollers.wait(generation, start, WATCH_LIMIT);
        let seconds = |time: Duration| time.as_secs_f64();
        let mut known: Vec<f64> = times.iter().flatten().copied().map(seconds).collect();
        known.sort_by(f64::total_cmp);
        let is_whole = known.len() == times.len();
        let last = known.last().copied().filter(|_| is_whole);
        result.last_daemon.push(last);
        result.half_daemons.push(median(&known));
        result.last_poller.push(polled.map(seconds));
        if kind == ScenarioKind::Killed || !is_whole {
            self.restore(generation)?;
        }
        Ok(())
    }

    fn toggle_upstreams(&mut self) {
        let count = self.fleet.daemons.len();
        for _ in 0..count.div_ceil(KILL_PART) {
            let index = self.random.random_range(0..count);
            self.announcer.change(index, |upstream| {
                upstream.announcement.leaving = !upstream.announcement.leaving;
            });
        }
    }

    fn kill_tenth(&mut self) {
        let count = self.fleet.daemons.len();
        for _ in 0..count.div_ceil(KILL_PART) {
            let index = self.random.random_range(1..count);
            self.fleet.daemons[index].process.kill();
        }
    }

    fn restore(&mut self, generation: u64) -> MeasureResult<()> {
        for index in 0..self.fleet.daemons.len() {
            if !self.fleet.daemons[index].process.has_ended() {
                continue;
            }
            self.fleet.replace_daemon(index)?;
            let control = self.fleet.daemons[index].control();
            self.announcer
                .change(index, |upstream| upstream.daemon = control);
        }
        self.fleet
            .wait_settled(generation, self.fleet.daemons.len(), SETTLE_LIMIT)
            .map(drop)
    }

    fn set_outage(&self, outage: bool) -> MeasureResult<()> {
        let faults = PlatformFaults {
            outage,
            ..PlatformFaults::default()
        };
        set_platform_faults(self.fleet.platform_address(), &faults)
    }
}

fn render(scenarios: &[ScenarioResult], rests: &[RestResult]) -> String {
    let mut table = TextTable::new(&[
        "daemons",
        "scenario",
        "changes",
        "reached all",
        "last daemon s: median",
        "max",
        "half s",
        "last poller s: median",
        "max",
        "link B/generation",
    ]);
    for result in scenarios {
        let known: Vec<f64> = result.last_daemon.iter().flatten().copied().collect();
        let polled: Vec<f64> = result.last_poller.iter().flatten().copied().collect();
        let max = |values: &[f64]| values.iter().copied().fold(0.0, f64::max);
        table.push([
            result.daemons.to_string(),
            result.scenario.to_string(),
            result.last_daemon.len().to_string(),
            known.len().to_string(),
            format!("{:.2}", median(&known)),
            format!("{:.2}", max(&known)),
            format!("{:.2}", median(&result.half_daemons)),
            format!("{:.2}", median(&polled)),
            format!("{:.2}", max(&polled)),
            result
                .link_bytes
                .map_or("-".into(), |bytes| format!("{bytes:.0}")),
        ]);
    }
    let mut bytes = TextTable::new(&[
        "daemons",
        "B/s a daemon",
        "polling",
        "link B/s",
        "polling",
        "store reads/s with pollers",
    ]);
    for rest in rests {
        bytes.push([
            rest.daemons.to_string(),
            format!("{:.0}", rest.control_bytes),
            format!("{:.0}", rest.poller_bytes),
            format!("{:.0}", rest.link_bytes),
            format!("{:.0}", rest.poller_link_bytes),
            format!("{:.1}", rest.store_reads_with_pollers),
        ]);
    }
    format!(
        "acceptance to in force\n{}\nbytes at rest\n{}\n",
        table.render(),
        bytes.render()
    )
}
