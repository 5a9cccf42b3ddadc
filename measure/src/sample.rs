//! What a fleet used between two moments.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use coltsfootweir::link::LinkCause;
use serde::Serialize;
use standins::platform_faults::PlatformStats;

use crate::failure::MeasureResult;
use crate::fleet::TestFleet;
use crate::probe::read_link;
use crate::probe::read_platform;
use crate::usage::ProcessUsage;
use crate::usage::read_usage;

/// Causes that count as control.
const CONTROL_CAUSES: [LinkCause; 4] = [
    LinkCause::Gossip,
    LinkCause::Config,
    LinkCause::Evidence,
    LinkCause::Store,
];

/// Counts of one daemon since its start, bytes.
#[derive(Clone, Copy, Debug, Default)]
struct ByteCounts {
    control: u64,
    link: u64,
    gossip: u64,
    config: u64,
    store: u64,
    evidence: u64,
}

#[derive(Clone, Copy, Debug)]
struct DaemonSample {
    usage: ProcessUsage,
    bytes: ByteCounts,
}

/// Counts of a fleet at one moment.
#[derive(Debug)]
pub struct FleetSample {
    taken: Instant,
    daemons: BTreeMap<u32, DaemonSample>,
    platform: PlatformStats,
    platform_usage: ProcessUsage,
}

/// What a fleet used a second; bytes both ways together. The daemon that asks counts an exchange, and
/// the one that answers spends the same, so exchanges between daemons are taken twice.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct FleetUse {
    /// Daemons that lived through the whole time.
    pub daemons: usize,
    /// Mean processor time of a daemon, percent of a core.
    pub processor_percent: f64,
    /// Highest processor time of a daemon, percent of a core.
    pub processor_percent_max: f64,
    /// Mean resident memory of a daemon, MB.
    pub resident_mb: f64,
    /// Highest resident memory of a daemon, MB.
    pub resident_mb_max: f64,
    /// Mean threads of a daemon.
    pub threads: f64,
    /// Mean control bytes a second of a daemon.
    pub control_bytes: f64,
    /// Highest control bytes a second of a daemon: what it asked, and the mean of what is answered.
    pub control_bytes_max: f64,
    /// Mean gossip bytes a second of a daemon.
    pub gossip_bytes: f64,
    /// Mean configuration bytes a second of a daemon.
    pub config_bytes: f64,
    /// Mean store bytes a second of a daemon.
    pub store_bytes: f64,
    /// Mean evidence bytes a second of a daemon.
    pub evidence_bytes: f64,
    /// Control bytes a second over the link, whole fleet.
    pub link_bytes: f64,
    /// Row and object reads of the platform a second, whole fleet.
    pub store_reads: f64,
    /// Row batches and objects written a second, whole fleet.
    pub store_writes: f64,
    /// Processor time of the platform stand-in, percent of a core.
    pub platform_percent: f64,
}

impl FleetSample {
    /// Reads the counts of every daemon and of the platform.
    ///
    /// # Errors
    /// [`MeasureError`](crate::failure::MeasureError) when one does not answer.
    pub fn take(fleet: &TestFleet) -> MeasureResult<FleetSample> {
        let mut daemons = BTreeMap::new();
        for daemon in &fleet.daemons {
            let mut bytes = ByteCounts::default();
            for usage in read_link(daemon.control())?.usage {
                if !CONTROL_CAUSES.contains(&usage.cause) {
                    continue;
                }
                let sum = usage.link_bytes + usage.local_bytes;
                bytes.control += sum;
                bytes.link += usage.link_bytes;
                match usage.cause {
                    LinkCause::Gossip => bytes.gossip += sum,
                    LinkCause::Config => bytes.config += sum,
                    LinkCause::Store => bytes.store += sum,
                    LinkCause::Evidence => bytes.evidence += sum,
                    _ => {}
                }
            }
            let pid = daemon.process.id();
            let usage = read_usage(pid)?;
            daemons.insert(pid, DaemonSample { usage, bytes });
        }
        Ok(FleetSample {
            taken: Instant::now(),
            daemons,
            platform: read_platform(fleet.platform_address())?,
            platform_usage: read_usage(fleet.platform.id())?,
        })
    }

    /// What was used between an `earlier` sample and this one.
    #[must_use]
    pub fn since(&self, earlier: &FleetSample) -> FleetUse {
        let seconds = (self.taken - earlier.taken).as_secs_f64();
        let rate = |now: u64, then: u64| now.saturating_sub(then) as f64 / seconds;
        let percent = |now: Duration, then: Duration| {
            now.saturating_sub(then).as_secs_f64() / seconds * 100.0
        };
        let mut total = FleetUse::default();
        for (pid, now) in &self.daemons {
            let Some(then) = earlier.daemons.get(pid) else {
                continue;
            };
            let processor = percent(now.usage.processor, then.usage.processor);
            let control = rate(now.bytes.control, then.bytes.control);
            let resident = now.usage.resident as f64 / 1e6;
            total.daemons += 1;
            total.processor_percent += processor;
            total.processor_percent_max = total.processor_percent_max.max(processor);
            total.resident_mb += resident;
            total.resident_mb_max = total.resident_mb_max.max(resident);
            total.threads += now.usage.threads as f64;
            total.control_bytes += control;
            total.control_bytes_max = total.control_bytes_max.max(control);
            total.gossip_bytes += rate(now.bytes.gossip, then.bytes.gossip);
            total.config_bytes += rate(now.bytes.config, then.bytes.config);
            total.store_bytes += rate(now.bytes.store, then.bytes.store);
            total.evidence_bytes += rate(now.bytes.evidence, then.bytes.evidence);
            total.link_bytes += rate(now.bytes.link, then.bytes.link);
        }
        let count = total.daemons.max(1) as f64;
        for sum in [
            &mut total.processor_percent,
            &mut total.resident_mb,
            &mut total.threads,
            &mut total.control_bytes,
            &mut total.gossip_bytes,
            &mut total.config_bytes,
            &mut total.store_bytes,
            &mut total.evidence_bytes,
        ] {
            *sum /= count;
        }
        let answered = total.control_bytes - total.store_bytes;
        total.control_bytes += answered;
        total.control_bytes_max += answered;
        total.gossip_bytes *= 2.0;
        total.config_bytes *= 2.0;
        total.evidence_bytes *= 2.0;
        let (now, then) = (self.platform, earlier.platform);
        total.store_reads = rate(now.reads + now.objects_read, then.reads + then.objects_read);
        total.store_writes = rate(
            now.writes + now.objects_written,
            then.writes + then.objects_written,
        );
        total.platform_percent = percent(
            self.platform_usage.processor,
            earlier.platform_usage.processor,
        );
        total
    }
}
