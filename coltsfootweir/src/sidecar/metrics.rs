//! Prometheus metrics of a sidecar.

use std::time::Duration;

use prometheus::Encoder;
use prometheus::Histogram;
use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;

/// Upper bounds of the latency buckets, in seconds. They range from the time that the relay itself
/// takes to the longest request timeouts.
const LATENCY_BUCKETS: [f64; 12] = [
    0.001, 0.003, 0.01, 0.03, 0.06, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4,
];

/// Counters, histograms and gauges of a sidecar.
pub struct SidecarMetrics {
    registry: Registry,
    requests: IntCounterVec,
    repeats: IntCounterVec,
    refusals: IntCounterVec,
    hedges: IntCounterVec,
    hedges_refused: IntCounterVec,
    share_refused: IntCounterVec,
    latency: HistogramVec,
    endpoint_time: Histogram,
    gauges: Vec<(&'static str, IntGauge)>,
}

/// Names and help texts of the gauges. They are set when the metrics are requested.
const GAUGES: [(&str, &str); 19] = [
    ("config_version", "version of the configuration in force"),
    ("members_live", "daemons in reach, this one included"),
    ("store_calls", "calls made to the store"),
    ("store_faults", "calls to the store that failed"),
    ("endpoint_running", "requests at the endpoint on this VM"),
    ("endpoint_waiting", "requests waiting for the endpoint"),
    ("endpoint_connections", "connections opened to the endpoint"),
    (
        "endpoint_cold",
        "1 while requests to the endpoint are limited because it is cold",
    ),
    (
        "teams_tagged",
        "teams whose past use of the endpoint on this VM is remembered, counted for each rank",
    ),
    ("zones_evacuated", "zones that are evacuated"),
    ("log_lines_dropped", "log lines that did not fit the queue"),
    (
        "uplink_backlog_bytes",
        "large answers and configurations that wait, are expected or are on the way to other daemons",
    ),
    (
        "uplink_bytes_per_second",
        "measured rate of large transfers to other daemons, 0 before the first",
    ),
    (
        "uplink_window_bytes",
        "limit of the bytes of large transfers that are on the way",
    ),
    (
        "answers_held_bytes",
        "bytes of answers that are held back until they are complete",
    ),
    (
        "bodies_granted_bytes",
        "bytes of large request bodies that are granted to other daemons and not received",
    ),
    (
        "bodies_waiting_bytes",
        "bytes of large request bodies of other daemons that wait for a grant",
    ),
    ("bodies_held_bytes", "bytes of request bodies that are held"),
    ("client_connections", "open connections of clients"),
];

impl SidecarMetrics {
    /// Creates and registers all metrics.
    ///
    /// # Panics
    /// Panics when a metric name is invalid or used twice.
    #[must_use]
    pub fn new() -> SidecarMetrics {
        let registry = Registry::new();
        let requests = Opts::new("requests", "requests of clients by outcome and cause");
        let requests = IntCounterVec::new(requests, &["outcome", "cause"]);
        let repeats = Opts::new("repeats", "requests sent to a further endpoint, by cause");
        let repeats = IntCounterVec::new(repeats, &["cause"]);
        let refusals = Opts::new(
            "limit_refusals",
            "requests, connections and frames refused because of a limit, by kind",
        );
        let refusals = IntCounterVec::new(refusals, &["kind"]);
        let hedges = Opts::new(
            "hedges",
            "hedged attempts: sent, and won by being answered first",
        );
        let hedges = IntCounterVec::new(hedges, &["result"]);
        let hedges_refused = Opts::new(
            "hedges_refused",
            "overdue requests that were not hedged, by cause",
        );
        let hedges_refused = IntCounterVec::new(hedges_refused, &["cause"]);
        let share_refused = Opts::new(
            "team_share_refused",
            "requests of teams that found no capacity at the endpoint on this VM, by reason",
        );
        let share_refused = IntCounterVec::new(share_refused, &["reason"]);
        let latency = histogram("request_seconds", "time of requests by service");
        let latency = HistogramVec::new(latency, &["service"]);
        let wait = histogram(
            "endpoint_seconds",
            "time of calls at the endpoint on this VM",
        );
        let wait = Histogram::with_opts(wait);
        let valid = "names of metrics are valid";
        let mut metrics = SidecarMetrics {
            requests: requests.expect(valid),
            repeats: repeats.expect(valid),
            refusals: refusals.expect(valid),
            hedges: hedges.expect(valid),
            hedges_refused: hedges_refused.expect(valid),
            share_refused: share_refused.expect(valid),
            latency: latency.expect(valid),
            endpoint_time: wait.expect(valid),
            gauges: Vec::new(),
            registry,
        };
        let unique = "names of metrics are unique";
        let registry = &metrics.registry;
        registry
            .register(Box::new(metrics.requests.clone()))
            .expect(unique);
        registry
            .register(Box::new(metrics.repeats.clone()))
            .expect(unique);
        registry
            .register(Box::new(metrics.refusals.clone()))
            .expect(unique);
        registry
            .register(Box::new(metrics.hedges.clone()))
            .expect(unique);
        registry
            .register(Box::new(metrics.hedges_refused.clone()))
            .expect(unique);
        registry
            .register(Box::new(metrics.share_refused.clone()))
            .expect(unique);
        registry
            .register(Box::new(metrics.latency.clone()))
            .expect(unique);
        registry
            .register(Box::new(metrics.endpoint_time.clone()))
            .expect(unique);
        for (name, help) in GAUGES {
            let gauge = IntGauge::new(name, help).expect(valid);
            registry.register(Box::new(gauge.clone())).expect(unique);
            metrics.gauges.push((name, gauge));
        }
        metrics
    }

    /// Counts a client request that ended after `time`.
    pub fn count_request(&self, service: &str, outcome: &str, cause: &str, time: Duration) {
        self.requests.with_label_values(&[outcome, cause]).inc();
        let latency = self.latency.with_label_values(&[service]);
        latency.observe(time.as_secs_f64());
    }

    /// Counts a request that is sent to another endpoint.
    pub fn count_repeat(&self, cause: &str) {
        self.repeats.with_label_values(&[cause]).inc();
    }

    /// Counts a request, connection or frame that is refused because of a limit.
    pub fn count_refusal(&self, kind: &str) {
        self.refusals.with_label_values(&[kind]).inc();
    }

    /// Counts a hedged attempt that is sent, or that was answered first.
    pub fn count_hedge(&self, result: &str) {
        self.hedges.with_label_values(&[result]).inc();
    }

    /// Counts an overdue request that is not hedged.
    pub fn count_hedge_refused(&self, cause: &str) {
        self.hedges_refused.with_label_values(&[cause]).inc();
    }

    /// Raises the count of team requests refused for `reason` to `total`.
    pub fn raise_share_refused(&self, reason: &str, total: u64) {
        let counter = self.share_refused.with_label_values(&[reason]);
        counter.inc_by(total.saturating_sub(counter.get()));
    }

    /// Records the time of a call at the local endpoint.
    pub fn count_run(&self, time: Duration) {
        self.endpoint_time.observe(time.as_secs_f64());
    }

    /// Sets a gauge. Unknown names are ignored.
    pub fn set(&self, name: &str, value: u64) {
        for (gauge_name, gauge) in &self.gauges {
            if *gauge_name == name {
                gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
            }
        }
    }

    /// Returns all metrics in the Prometheus text format.
    #[must_use]
    pub fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::warn!(target: crate::logging::DAEMON, "metrics cannot be written: {error}");
        }
        text
    }
}

impl Default for SidecarMetrics {
    fn default() -> SidecarMetrics {
        SidecarMetrics::new()
    }
}

fn histogram(name: &str, help: &str) -> HistogramOpts {
    HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS.to_vec())
}
