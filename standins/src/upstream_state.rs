//! State an upstream stand-in shares between its connections, switches and handle.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use coltsfootweir::announce::UpstreamAnnouncement;
use coltsfootweir::http_pool::ConnectionPool;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::Semaphore;

use crate::load_history::LoadHistory;
use crate::run_log::RunEntry;
use crate::run_log::RunLog;
use crate::run_log::RunNumber;
use crate::run_log::RunOutcome;
use crate::run_log::RunRequest;
use crate::upstream_faults::UpstreamFaults;
use crate::upstream_settings::UpstreamSettings;
use crate::upstream_stats::UpstreamStats;

/// Factor on the work of an upstream that has just started cold.
const COLD_SLOWDOWN: f64 = 4.0;

/// Keeps the tasks of one life going: when all senders are gone, they end.
pub type LifeSender = flume::Sender<Infallible>;

/// Wakes the announcer before its interval is over; closing it ends the announcer.
pub type NudgeSender = flume::Sender<()>;

/// State of one upstream stand-in.
#[derive(Debug)]
pub struct UpstreamState {
    /// Settings it was started with.
    pub settings: UpstreamSettings,
    /// Slots that requests wait for when all are queued.
    pub queue: Semaphore,
    /// Connections to the next service.
    pub pool: ConnectionPool,
    made: Instant,
    inner: Mutex<StateInner>,
}

#[derive(Debug)]
struct StateInner {
    life: Option<LifeSender>,
    nudge: Option<NudgeSender>,
    life_started: Instant,
    leaving: bool,
    faults: UpstreamFaults,
    faults_set: Instant,
    rng: ChaCha8Rng,
    /// When what was charged for connections and probes so far is done.
    core_free: Instant,
    log: RunLog,
    load: LoadHistory,
    stats: UpstreamStats,
}

/// What a run is going to do.
#[derive(Clone, Copy, Debug)]
pub struct RunPlan {
    /// Number of the run.
    pub run: RunNumber,
    /// Time it takes.
    pub work: Duration,
    /// Whether its answer says it failed.
    pub fails: bool,
    /// Whether its answer is cut.
    pub truncates: bool,
    /// Whether it crashes the upstream.
    pub crashes: bool,
    /// Time for which it runs before that.
    pub crash_delay: Duration,
}

impl UpstreamState {
    /// Makes the state of an upstream that does not listen yet.
    pub fn new(settings: UpstreamSettings) -> UpstreamState {
        let now = Instant::now();
        let inner = StateInner {
            life: None,
            nudge: None,
            life_started: now,
            leaving: false,
            faults: settings.faults.clone(),
            faults_set: now,
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            core_free: now,
            log: RunLog::default(),
            load: LoadHistory::default(),
            stats: UpstreamStats::default(),
        };
        UpstreamState {
            queue: Semaphore::new(usize::from(settings.slots)),
            settings,
            pool: ConnectionPool::default(),
            made: now,
            inner: Mutex::new(inner),
        }
    }

    /// Starts a life: the upstream is up, cold and not leaving.
    pub fn begin_life(&self, life: LifeSender, nudge: NudgeSender) {
        let mut inner = self.lock();
        inner.life = Some(life);
        inner.nudge = Some(nudge);
        inner.life_started = Instant::now();
        inner.leaving = false;
    }

    /// Ends the life at once: every task of it ends without an answer.
    pub fn end_life(&self) {
        let mut inner = self.lock();
        inner.life = None;
        inner.nudge = None;
    }

    /// Announces that the upstream is leaving; what runs goes on.
    pub fn leave(&self) {
        let mut inner = self.lock();
        inner.leaving = true;
        if let Some(nudge) = &inner.nudge {
            let _ = nudge.try_send(());
        }
    }

    /// Replaces the faults; their clock starts anew.
    pub fn set_faults(&self, faults: UpstreamFaults) {
        let mut inner = self.lock();
        inner.faults = faults;
        inner.faults_set = Instant::now();
    }

    /// Faults in force.
    pub fn faults(&self) -> UpstreamFaults {
        self.lock().faults.clone()
    }

    /// Counts since the upstream was made.
    pub fn stats(&self) -> UpstreamStats {
        self.lock().stats
    }

    /// Runs with a number above `after`.
    pub fn runs_after(&self, after: RunNumber) -> Vec<RunEntry> {
        self.lock().log.entries_after(after)
    }

    /// What the upstream tells the daemon beside it.
    pub fn announcement(&self, address: SocketAddr) -> UpstreamAnnouncement {
        UpstreamAnnouncement {
            service: self.settings.service.clone(),
            version: self.settings.version.clone(),
            address,
            slots: self.settings.slots,
            leaving: self.lock().leaving,
        }
    }

    /// Charges work that is done one piece after another; returns when this piece is done.
    pub fn charge_core(&self, cost: Duration) -> Instant {
        let mut inner = self.lock();
        inner.core_free = inner.core_free.max(Instant::now()) + cost;
        inner.core_free
    }

    /// Counts a new connection; `false` when the limit is reached and it must be reset.
    pub fn open_connection(&self) -> bool {
        let mut inner = self.lock();
        if inner.stats.connections >= self.settings.connection_limit {
            inner.stats.connections_refused += 1;
            return false;
        }
        inner.stats.connections += 1;
        inner.stats.connections_total += 1;
        inner.stats.connections_peak = inner.stats.connections_peak.max(inner.stats.connections);
        true
    }

    /// Counts the end of a connection.
    pub fn close_connection(&self) {
        self.lock().stats.connections -= 1;
    }

    /// Starts a run if a slot is free; otherwise counts the request as shed.
    pub fn begin_run(&self, request: RunRequest, body: &[u8]) -> Option<RunPlan> {
        let mut inner = self.lock();
        if inner.stats.running >= u32::from(self.settings.slots) {
            inner.stats.shed += 1;
            return None;
        }
        inner.stats.running += 1;
        inner.stats.runs += 1;
        inner.stats.running_peak = inner.stats.running_peak.max(inner.stats.running);
        self.record_load(&mut inner);
        Some(self.plan_run(&mut inner, request, body))
    }

    fn plan_run(&self, inner: &mut StateInner, request: RunRequest, body: &[u8]) -> RunPlan {
        let since_set = inner.faults_set.elapsed();
        let faults = &inner.faults;
        let crashes = faults.crash_on(&request.path, body);
        let shows = faults.show_on(&request.path, inner.stats.running, since_set);
        let mut factor = self.cold_factor(inner.life_started.elapsed());
        let jitter = f64::from(self.settings.work_jitter_percent) / 100.0;
        if jitter > 0.0 {
            factor *= inner.rng.random_range(1.0 - jitter..=1.0 + jitter);
        }
        let mut delay = Duration::ZERO;
        if shows {
            factor *= faults.slow_factor;
            delay = faults.delay;
        }
        let fails = shows && inner.rng.random_range(0..100) < faults.fail_percent;
        let truncates = shows && inner.rng.random_range(0..100) < faults.truncate_percent;
        let after_leave = inner.leaving;
        let run = inner
            .log
            .start_run(request, self.made.elapsed(), after_leave);
        RunPlan {
            run,
            work: self.settings.work.mul_f64(factor.max(0.0)) + delay,
            fails,
            truncates,
            crashes,
            crash_delay: faults.crash_delay,
        }
    }

    fn cold_factor(&self, since_start: Duration) -> f64 {
        let cold_start = self.settings.cold_start;
        if since_start >= cold_start {
            return 1.0;
        }
        let warm_share = since_start.as_secs_f64() / cold_start.as_secs_f64();
        1.0 + (COLD_SLOWDOWN - 1.0) * (1.0 - warm_share)
    }

    /// Records the end of a run; `None` when it was dropped before its end.
    pub fn end_run(&self, run: RunNumber, outcome: Option<RunOutcome>) {
        let mut inner = self.lock();
        let outcome = match outcome {
            Some(outcome) => outcome,
            None if inner.life.is_none() => RunOutcome::Crashed,
            None => RunOutcome::Cancelled,
        };
        if outcome == RunOutcome::Cancelled {
            inner.stats.cancelled += 1;
        }
        inner.stats.running -= 1;
        inner.log.end_run(run, outcome);
        self.record_load(&mut inner);
    }

    /// Whether the health endpoint calls the upstream healthy: old news, or misleading.
    pub fn told_healthy(&self) -> bool {
        let mut inner = self.lock();
        inner.stats.probes += 1;
        let faults = &inner.faults;
        let is_known = inner.faults_set.elapsed() >= self.settings.health_lag;
        faults.misleading_health || !is_known || !faults.are_unhealthy()
    }

    /// Running requests as the load endpoint tells: old news, or misleading.
    pub fn told_running(&self) -> u32 {
        let mut inner = self.lock();
        inner.stats.probes += 1;
        if inner.faults.misleading_health {
            return 0;
        }
        let now = self.made.elapsed();
        inner.load.running_before(now, self.settings.health_lag)
    }

    fn record_load(&self, inner: &mut StateInner) {
        let running = inner.stats.running;
        let now = self.made.elapsed();
        inner.load.record(now, running, self.settings.health_lag);
    }

    fn lock(&self) -> MutexGuard<'_, StateInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
