//! Sends the daemon's metrics at an interval.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cadence::Counted;
use cadence::Gauged;

use crate::context::DaemonContext;
use crate::context::lock;
use crate::kernel::DaemonTask;
use crate::kernel::StopSignal;
use crate::kernel::TaskPlugin;
use crate::outcome::CallOutcome;

/// Time between two reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// Calls of callers by outcome since the last report.
#[derive(Debug, Default)]
pub(crate) struct CallTally {
    ran: AtomicU64,
    not_run: AtomicU64,
    in_doubt: AtomicU64,
}

impl CallTally {
    pub(crate) fn add(&self, outcome: CallOutcome) {
        let count = match outcome {
            CallOutcome::Ran => &self.ran,
            CallOutcome::NotRun(_) => &self.not_run,
            CallOutcome::InDoubt(_) => &self.in_doubt,
        };
        count.fetch_add(1, Ordering::Relaxed);
    }
}

struct MetricsTask;

inventory::submit! { TaskPlugin { task: &MetricsTask } }

impl DaemonTask for MetricsTask {
    fn name(&self) -> &'static str {
        "metrics"
    }

    fn run(&self, context: &Arc<DaemonContext>, stop: &StopSignal) {
        if context.settings.statsd.is_none() {
            return;
        }
        while !stop.wait(REPORT_INTERVAL) {
            report_calls(context);
            report_standing(context);
            report_retention(context);
        }
    }
}

fn report_calls(context: &DaemonContext) {
    let tally = &context.tally;
    let counts = [
        ("calls.ran", &tally.ran),
        ("calls.not_run", &tally.not_run),
        ("calls.in_doubt", &tally.in_doubt),
    ];
    for (name, count) in counts {
        let calls = count.swap(0, Ordering::Relaxed);
        let _ = context
            .metrics
            .count(name, i64::try_from(calls).unwrap_or(i64::MAX));
    }
}

fn report_standing(context: &DaemonContext) {
    let status = context.status();
    let load = context.upstream.load();
    let live = lock(&context.gossip).view().live().count();
    let crashes = lock(&context.gossip).crashes().count();
    let gauges = [
        ("config.generation", status.generation),
        ("config.floor", status.floor),
        ("members.known", status.members.len() as u64),
        ("members.live", live as u64),
        ("moves.condemned", status.condemned.len() as u64),
        ("upstream.crashes", crashes as u64),
        ("upstream.running", u64::from(load.running)),
        ("upstream.waiting", u64::from(load.waiting)),
    ];
    for (name, value) in gauges {
        let _ = context.metrics.gauge(name, value);
    }
    for usage in context.meter.usage() {
        let name = format!("link.{:?}", usage.cause).to_lowercase();
        let _ = context.metrics.gauge(&name, usage.link_bytes);
    }
}

fn report_retention(context: &DaemonContext) {
    let counts = context.retention.counts();
    let gauges = [
        ("claims.timed", counts.claims_timed),
        ("claims.kept", counts.claims_kept),
        ("claims.removed", counts.claims_removed),
        ("objects.removed", counts.objects_removed),
    ];
    for (name, value) in gauges {
        let _ = context.metrics.gauge(name, value);
    }
}
