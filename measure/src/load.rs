//! Load: calls at a fixed rate, whatever the answers, or by a fixed number of callers.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use coltsfootweir::http_pool::ConnectionPool;
use error_stack::ResultExt;
use flume::Receiver;
use flume::Sender;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::body::Bytes;
use hyper::header::HeaderValue;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;
use tokio::task::JoinSet;

use crate::failure::MeasureError;
use crate::failure::MeasureResult;

/// Threads that send calls.
const WORKER_COUNT: usize = 2;

/// How callers wait and try again.
#[derive(Clone, Copy, Debug)]
pub struct CallerPolicy {
    /// Time after which an attempt is given up.
    pub timeout: Duration,
    /// Attempts until an answer is good, without a budget.
    pub attempts: u32,
}

impl Default for CallerPolicy {
    fn default() -> CallerPolicy {
        CallerPolicy {
            timeout: Duration::from_secs(5),
            attempts: 1,
        }
    }
}

/// A call to make.
#[derive(Clone, Debug)]
pub struct PlannedCall {
    /// Address it is sent to.
    pub address: std::net::SocketAddr,
    /// Method.
    pub method: Method,
    /// Path.
    pub path: Box<str>,
    /// Headers.
    pub headers: Vec<(&'static str, Box<str>)>,
    /// Group under which its result is counted.
    pub group: usize,
}

/// What a call came to.
#[derive(Clone, Debug)]
pub struct CallResult {
    /// Group of the call.
    pub group: usize,
    /// Time from the start of the load to the sending.
    pub sent: Duration,
    /// Time until the whole answer was read.
    pub latency: Duration,
    /// Status of the answer; `None` when none came.
    pub status: Option<u16>,
    /// Outcome that a daemon told: `ran`, `not-run` or `in-doubt`; empty when none was told.
    pub outcome: Box<str>,
    /// Reason that a daemon told.
    pub reason: Box<str>,
    /// Body of the answer.
    pub body: Bytes,
}

/// Sends calls on kept connections.
pub struct LoadSource {
    runtime: Runtime,
    pool: Arc<ConnectionPool>,
    policy: CallerPolicy,
}

impl LoadSource {
    /// Makes a source without connections.
    ///
    /// # Errors
    /// [`MeasureError::Start`].
    pub fn new() -> MeasureResult<LoadSource> {
        LoadSource::with_policy(CallerPolicy::default())
    }

    /// Makes a source whose callers follow `policy`.
    ///
    /// # Errors
    /// [`MeasureError::Start`].
    pub fn with_policy(policy: CallerPolicy) -> MeasureResult<LoadSource> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(WORKER_COUNT)
            .enable_all()
            .build()
            .change_context_lazy(|| MeasureError::Start("load".into()))?;
        Ok(LoadSource {
            runtime,
            pool: Arc::default(),
            policy,
        })
    }

    /// Sends `rate` calls a second at random intervals for `time`, and returns every result.
    pub fn run_open(
        &self,
        rate: f64,
        time: Duration,
        seed: u64,
        mut plan: impl FnMut(u64) -> PlannedCall,
    ) -> Vec<CallResult> {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let (sender, results) = flume::unbounded();
        let start = Instant::now();
        self.runtime.block_on(async {
            let mut running = JoinSet::new();
            let mut due = Duration::ZERO;
            let mut number = 0;
            while due < time {
                tokio::time::sleep_until((start + due).into()).await;
                let call = plan(number);
                running.spawn(make_call(
                    Arc::clone(&self.pool),
                    self.policy,
                    call,
                    start,
                    sender.clone(),
                ));
                while running.try_join_next().is_some() {}
                number += 1;
                let uniform: f64 = random.random_range(f64::MIN_POSITIVE..1.0);
                due += Duration::from_secs_f64(-uniform.ln() / rate);
            }
            while running.join_next().await.is_some() {}
        });
        drop(sender);
        drain(&results)
    }

    /// Keeps `callers` calls running for `time`, and returns every result.
    pub fn run_closed(
        &self,
        callers: usize,
        time: Duration,
        plan: impl Fn(u64) -> PlannedCall + Clone + Send + 'static,
    ) -> Vec<CallResult> {
        let (sender, results) = flume::unbounded();
        let start = Instant::now();
        self.runtime.block_on(async {
            let mut running = JoinSet::new();
            for caller in 0..callers {
                let pool = Arc::clone(&self.pool);
                let (sender, plan, policy) = (sender.clone(), plan.clone(), self.policy);
                running.spawn(async move {
                    let mut number = caller as u64;
                    while start.elapsed() < time {
                        let call = plan(number);
                        make_call(Arc::clone(&pool), policy, call, start, sender.clone()).await;
                        number += callers as u64;
                    }
                });
            }
            while running.join_next().await.is_some() {}
        });
        drop(sender);
        drain(&results)
    }
}

fn drain(results: &Receiver<CallResult>) -> Vec<CallResult> {
    results.drain().collect()
}

async fn make_call(
    pool: Arc<ConnectionPool>,
    policy: CallerPolicy,
    call: PlannedCall,
    start: Instant,
    results: Sender<CallResult>,
) {
    let sent = start.elapsed();
    let mut answer = None;
    for _ in 0..policy.attempts {
        let sending = pool.send(call.address, make_request(&call));
        answer = match tokio::time::timeout(policy.timeout, sending).await {
            Ok(Ok(response)) => Some(response),
            _ => None,
        };
        if answer.as_ref().is_some_and(|answer| answer.status() == 200) {
            break;
        }
    }
    let mut result = CallResult {
        group: call.group,
        sent,
        latency: start.elapsed() - sent,
        status: None,
        outcome: "".into(),
        reason: "".into(),
        body: Bytes::new(),
    };
    if let Some(response) = answer {
        let header = |name: &str| -> Box<str> {
            let value = response.headers().get(name);
            value
                .and_then(|value| value.to_str().ok())
                .unwrap_or("")
                .into()
        };
        result.status = Some(response.status().as_u16());
        result.outcome = header("x-coltsfootweir-outcome");
        result.reason = header("x-coltsfootweir-reason");
        result.body = response.into_body();
    }
    let _ = results.send(result);
}

fn make_request(call: &PlannedCall) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.method_mut() = call.method.clone();
    if let Ok(uri) = call.path.parse() {
        *request.uri_mut() = uri;
    }
    let host = HeaderValue::from_static("measure");
    request.headers_mut().insert(hyper::header::HOST, host);
    for (name, value) in &call.headers {
        if let Ok(value) = HeaderValue::from_str(value) {
            request.headers_mut().insert(*name, value);
        }
    }
    request
}
