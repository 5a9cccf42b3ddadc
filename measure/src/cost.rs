//! Experiment `cost`: processor, memory, control bytes and store operations against fleet size.

use std::thread;
use std::time::Duration;

use error_stack::Report;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use serde_json::json;

use crate::announcer::announce_fleet;
use crate::churn::CHURN_KINDS;
use crate::churn::ChurnDriver;
use crate::churn::ChurnKind;
use crate::deployment::FULL_SIZE_PLACES;
use crate::experiment::Experiment;
use crate::experiment::ExperimentPlugin;
use crate::experiment::RunSettings;
use crate::failure::MeasureError;
use crate::failure::MeasureResult;
use crate::fit::FittedLine;
use crate::fit::fit_line;
use crate::fleet::TestFleet;
use crate::records::service_records;
use crate::report::RunResult;
use crate::report::TextTable;
use crate::sample::FleetSample;
use crate::sample::FleetUse;
use crate::usage::machine_load;

/// Numbers of daemons.
const FLEET_SIZES: [usize; 5] = [10, 20, 40, 80, 160];

/// Endpoints of one service.
const SERVICE_ENDPOINTS: usize = 8;

/// Daemons at the size to which the lines are drawn out.
const FULL_SIZE: f64 = 560.0;

/// Longest time until a fleet has settled.
const SETTLE_LIMIT: Duration = Duration::from_secs(120);

/// Time between settling and the first measured phase, so that joining is over.
const REST_TIME: Duration = Duration::from_secs(100);

/// A figure that is fitted: its name and how it is read.
type FittedFigure = (&'static str, fn(&FleetUse) -> f64);

/// Figures that are fitted against the number of daemons.
const FITTED_FIGURES: [FittedFigure; 7] = [
    ("processor %", |used| used.processor_percent),
    ("processor % max", |used| used.processor_percent_max),
    ("resident MB", |used| used.resident_mb),
    ("control B/s", |used| used.control_bytes),
    ("control B/s max", |used| used.control_bytes_max),
    ("link B/s, fleet", |used| used.link_bytes),
    ("store reads/s, fleet", |used| used.store_reads),
];

struct CostExperiment;

inventory::submit! { ExperimentPlugin { experiment: &CostExperiment } }

/// What a fleet of one size used in one phase.
#[derive(Debug, Serialize)]
struct CostPoint {
    daemons: usize,
    phase: &'static str,
    events: usize,
    used: FleetUse,
    machine: Box<str>,
}

/// Lines through one figure of one phase.
#[derive(Debug, Serialize)]
struct CostFit {
    phase: &'static str,
    figure: &'static str,
    per_daemon: FittedLine,
    per_doubling: FittedLine,
}

impl Experiment for CostExperiment {
    fn name(&self) -> &'static str {
        "cost"
    }

    fn run(&self, settings: &RunSettings) -> MeasureResult<RunResult> {
        let points = measure_sizes(&settings.sizes(&FLEET_SIZES), settings)?;
        let fits = fit_points(&points);
        Ok(RunResult {
            text: render(&points, &fits),
            figures: json!({"points": points, "fits": fits}),
        })
    }
}

/// Measures fleets of all sizes at the same time, so that the machine is the same for all.
fn measure_sizes(sizes: &[usize], settings: &RunSettings) -> MeasureResult<Vec<CostPoint>> {
    thread::scope(|scope| {
        let mut running = Vec::new();
        for daemons in sizes {
            running.push(scope.spawn(move || measure_size(*daemons, settings)));
        }
        let mut points = Vec::new();
        for size in running {
            let failure = || MeasureError::NotReached("end of a size".into());
            let list = size.join().unwrap_or_else(|_| Err(Report::new(failure())));
            points.extend(list?);
        }
        Ok(points)
    })
}

fn measure_size(daemons: usize, settings: &RunSettings) -> MeasureResult<Vec<CostPoint>> {
    let mut points = Vec::new();
    let mut fleet = TestFleet::start(daemons, &FULL_SIZE_PLACES)?;
    let services = daemons.div_ceil(SERVICE_ENDPOINTS);
    let generation = fleet.apply(&service_records(services))?;
    let announcer = announce_fleet(&fleet, services);
    let settled = fleet.wait_settled(generation, daemons, SETTLE_LIMIT)?;
    eprintln!("{daemons} daemons settled in {settled:?}");
    thread::sleep(REST_TIME);
    let mut random = ChaCha8Rng::seed_from_u64(settings.seed);
    for kind in CHURN_KINDS {
        if !settings.wants(kind.name()) {
            continue;
        }
        let before = FleetSample::take(&fleet)?;
        let mut driver = ChurnDriver {
            fleet: &mut fleet,
            announcer: &announcer,
            services,
            random: &mut random,
        };
        let events = driver.run(kind, settings.change_interval, settings.window)?;
        let used = FleetSample::take(&fleet)?.since(&before);
        let point = CostPoint {
            daemons,
            phase: kind.name(),
            events,
            used,
            machine: machine_load(),
        };
        eprintln!("{daemons} daemons, {}: {used:?}", point.phase);
        points.push(point);
    }
    Ok(points)
}

fn fit_points(points: &[CostPoint]) -> Vec<CostFit> {
    let mut fits = Vec::new();
    for kind in CHURN_KINDS {
        for (figure, read) in FITTED_FIGURES {
            let of_phase = points.iter().filter(|point| point.phase == kind.name());
            let linear: Vec<_> = of_phase
                .map(|point| (point.daemons as f64, read(&point.used)))
                .collect();
            let doubling: Vec<_> = linear.iter().map(|(x, y)| (x.log2(), *y)).collect();
            let (Some(per_daemon), Some(per_doubling)) = (fit_line(&linear), fit_line(&doubling))
            else {
                continue;
            };
            fits.push(CostFit {
                phase: kind.name(),
                figure,
                per_daemon,
                per_doubling,
            });
        }
    }
    fits
}

fn render(points: &[CostPoint], fits: &[CostFit]) -> String {
    let mut table = TextTable::new(&[
        "daemons",
        "phase",
        "events",
        "cpu %",
        "max",
        "MB",
        "max",
        "threads",
        "B/s",
        "max",
        "gossip",
        "config",
        "store",
        "link B/s",
        "reads/s",
        "writes/s",
        "platform %",
    ]);
    for point in points {
        let used = &point.used;
        table.push([
            point.daemons.to_string(),
            point.phase.to_string(),
            point.events.to_string(),
            format!("{:.2}", used.processor_percent),
            format!("{:.2}", used.processor_percent_max),
            format!("{:.1}", used.resident_mb),
            format!("{:.1}", used.resident_mb_max),
            format!("{:.1}", used.threads),
            format!("{:.0}", used.control_bytes),
            format!("{:.0}", used.control_bytes_max),
            format!("{:.0}", used.gossip_bytes),
            format!("{:.0}", used.config_bytes),
            format!("{:.0}", used.store_bytes),
            format!("{:.0}", used.link_bytes),
            format!("{:.2}", used.store_reads),
            format!("{:.2}", used.store_writes),
            format!("{:.2}", used.platform_percent),
        ]);
    }
    let mut lines = TextTable::new(&[
        "phase",
        "figure",
        "base",
        "per daemon",
        "R2",
        "at 560",
        "base",
        "per log2 n",
        "R2",
        "at 560",
    ]);
    for fit in fits {
        let (linear, doubling) = (&fit.per_daemon, &fit.per_doubling);
        lines.push([
            fit.phase.to_string(),
            fit.figure.to_string(),
            format!("{:.3}", linear.base),
            format!("{:.5}", linear.slope),
            format!("{:.2}", linear.r_squared),
            format!("{:.2}", linear.at(FULL_SIZE)),
            format!("{:.3}", doubling.base),
            format!("{:.5}", doubling.slope),
            format!("{:.2}", doubling.r_squared),
            format!("{:.2}", doubling.at(FULL_SIZE.log2())),
        ]);
    }
    let idle = ChurnKind::Idle.name();
    format!(
        "cost of a daemon ({idle}: no churn)\n{}\nfitted lines\n{}",
        table.render(),
        lines.render()
    )
}
