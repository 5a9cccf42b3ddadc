//! The endpoint on the local VM: its state, slots, connections and running requests.

mod admission;
mod crashes;
mod lifetimes;
mod slot_refusals;

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use log::info;
use serde_json::json;

use crate::clock::DaemonClock;
use crate::fact::CrashFact;
use crate::fingerprint::fingerprint;
use crate::ids::Incarnation;
use crate::ids::MemberId;
use crate::logging::UPSTREAM;
use crate::member::EndpointPhase;
use crate::poison::PoisonTable;
use crate::run_ledger::STOP_MARGIN;
use crate::sidecar::announcement::EndpointRegister;
use crate::sidecar::answer::answer_rest::AnswerRest;
use crate::sidecar::answer::answer_rest::INLINE_LIMIT;
use crate::sidecar::answer::endpoint_body::EndpointBody;
use crate::sidecar::endpoint_request::is_connection_header;
use crate::sidecar::endpoint_request::response_identity;
use crate::sidecar::endpoint_request::write_head;
use crate::sidecar::fair_queue::team_hash;
use crate::sidecar::frame::CallResult;
use crate::sidecar::frame::EndpointLoad;
use crate::sidecar::frame::ForwardedCall;
use crate::sidecar::frame::NotRunCause;
use crate::sidecar::frame::NotRunReport;
use crate::sidecar::frame::UnknownCause;
use crate::sidecar::http_exchange::ExchangeError;
use crate::sidecar::http_exchange::HttpConnection;
use crate::sidecar::http_exchange::HttpResponse;
use crate::sidecar::http_exchange::WireRequest;
use crate::sidecar::member_table::EndpointSummary;
use crate::sidecar::platform_adapter::HeaderNames;
use crate::sidecar::slot_queue::SlotQueue;
use crate::sidecar::slot_queue::SlotRequest;
use crate::sidecar::uploads::upload_times::CallTimes;

use slot_refusals::not_admitted;

/// Timeout for connecting to the endpoint, which is on the same machine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Idle time after which a connection is not reused when the endpoint sends no `Keep-Alive` timeout.
const DEFAULT_IDLE_LIMIT: Duration = Duration::from_secs(4);

/// Share of the endpoint's `Keep-Alive` timeout for which an idle connection is reused, in tenths.
/// The rest allows for clock differences and for rounding to whole seconds.
const IDLE_TENTHS: u32 = 7;

/// Time after the deadline in which the endpoint's own response at the deadline may arrive.
const RESPONSE_MARGIN: Duration = Duration::from_millis(100);

/// Minimum time before the deadline for sending a request to the endpoint.
const MIN_TIME_LEFT: Duration = Duration::from_millis(5);

/// HTTP statuses that a daemon sends only when a request was not run.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

struct IdleConnection {
    connection: HttpConnection,
    until: Duration,
}

/// The endpoint on the local VM.
pub struct LocalEndpoint {
    member: MemberId,
    incarnation: Incarnation,
    clock: Arc<dyn DaemonClock>,
    headers: HeaderNames,
    register: RefCell<EndpointRegister>,
    slots: Rc<SlotQueue>,
    /// Slots to publish while the endpoint is cold. They follow the run times with each announcement.
    cold_slots: Cell<u16>,
    was_pacing: Cell<bool>,
    is_evacuated: Cell<bool>,
    idle: RefCell<Vec<IdleConnection>>,
    idle_limit: Cell<Duration>,
    poison: Rc<RefCell<PoisonTable>>,
    crashes: Cell<u64>,
    /// Facts about crashes that were found after a call had returned its result.
    unpublished_crashes: RefCell<Vec<CrashFact>>,
    opened: Cell<u64>,
}

/// Result of a call at the local endpoint.
#[derive(Debug)]
pub struct LocalAnswer {
    /// Result of the call, with the first bytes of the body only if there is a rest.
    pub result: CallResult,
    /// Rest of the answer's body.
    pub rest: Option<AnswerRest>,
}

/// Result of a call, and the crash facts to send to the other daemons.
pub struct CallReport {
    /// Result of the call.
    pub answer: LocalAnswer,
    /// Crash facts to send to the other daemons.
    pub crashes: Vec<CrashFact>,
}

impl LocalEndpoint {
    /// Creates the state of an endpoint that has not been announced yet.
    #[must_use]
    pub fn new(
        member: MemberId,
        incarnation: Incarnation,
        clock: Arc<dyn DaemonClock>,
        headers: HeaderNames,
        poison: Rc<RefCell<PoisonTable>>,
    ) -> Rc<LocalEndpoint> {
        Rc::new(LocalEndpoint {
            member,
            incarnation,
            slots: SlotQueue::new(Arc::clone(&clock)),
            clock,
            headers,
            cold_slots: Cell::new(1),
            was_pacing: Cell::new(false),
            is_evacuated: Cell::new(false),
            register: RefCell::default(),
            idle: RefCell::default(),
            idle_limit: Cell::new(DEFAULT_IDLE_LIMIT),
            poison,
            crashes: Cell::new(0),
            unpublished_crashes: RefCell::default(),
            opened: Cell::new(0),
        })
    }

    /// Returns the summary of the endpoint for the other daemons; `None` before an announcement.
    #[must_use]
    pub fn summary(&self) -> Option<EndpointSummary> {
        let register = self.register.borrow();
        let current = register.current()?;
        Some(EndpointSummary {
            id: current.id.clone(),
            service: current.service.clone(),
            version: current.version.clone(),
            slots: match self.slots.is_pacing() {
                true => current.slots.min(self.cold_slots.get()),
                false => current.slots,
            },
            phase: register.phase(),
        })
    }

    /// Returns the current load of the endpoint.
    #[must_use]
    pub fn load(&self) -> EndpointLoad {
        self.slots.load()
    }

    /// Returns the number of connections opened to the endpoint since the start of the daemon.
    #[must_use]
    pub fn connections_opened(&self) -> u64 {
        self.opened.get()
    }

    /// Runs a call at the endpoint that was delayed by `delay` on its way. Dropping the future, or
    /// the rest of the answer, cancels the call.
    pub async fn run(self: &Rc<Self>, call: &ForwardedCall, delay: Duration) -> CallReport {
        let mut crashes = Vec::new();
        let mut rest = None;
        let result = self.run_call(call, delay, &mut crashes, &mut rest).await;
        CallReport {
            answer: LocalAnswer { result, rest },
            crashes,
        }
    }

    /// Returns the time after which a call that arrives now should have run.
    #[must_use]
    pub fn expected_time(&self, call: &ForwardedCall) -> Duration {
        let team = call.team.as_deref().map(team_hash);
        self.slots.expected_time(call.rank, team, call.kind)
    }

    /// Returns the expected run time of a call, without its wait for a slot.
    #[must_use]
    pub fn expected_run(&self, call: &ForwardedCall) -> Duration {
        self.slots.expected_run(call.kind)
    }

    async fn run_call(
        self: &Rc<Self>,
        call: &ForwardedCall,
        delay: Duration,
        crashes: &mut Vec<CrashFact>,
        rest: &mut Option<AnswerRest>,
    ) -> CallResult {
        let start = self.clock.now();
        let times = CallTimes::new(call, start, delay);
        let deadline = times.deadline;
        let call_fingerprint = fingerprint(&call.method, &call.path, &call.body);
        if self.poison.borrow().is_refused(call_fingerprint, start) {
            return not_run(NotRunCause::Poison);
        }
        let Some(current) = self.register.borrow().current().cloned() else {
            return not_run(NotRunCause::Closed);
        };
        if current.service != call.service {
            return not_run(NotRunCause::Closed);
        }
        let request = SlotRequest {
            fingerprint: call_fingerprint,
            route_hash: call.kind,
            rank: call.rank,
            team: call.team.as_deref().map(team_hash),
            finish_by: times.finish_by,
            is_late: false,
        };
        let mut permit = match self.admit(request, times).await {
            Ok(permit) => permit,
            Err(refusal) => return not_admitted(call, refusal),
        };
        // It may have become known as one that crashes endpoints while it waited for a slot.
        let now = self.clock.now();
        if self.poison.borrow().is_refused(call_fingerprint, now) {
            return not_run(NotRunCause::Poison);
        }
        // The endpoint may have been replaced while the request waited for a slot.
        let Some(current) = self.register.borrow().current().cloned() else {
            return not_run(NotRunCause::Closed);
        };
        let left = deadline.saturating_sub(self.clock.now());
        if left < MIN_TIME_LEFT {
            return not_run(NotRunCause::TooLate);
        }
        let identity = response_identity(self.headers.request_id, &call.request_id);
        // Without an id, an additional response of an earlier request can't be told from the own one.
        let opened = match identity {
            Some(_) => self.connection(current.address).await,
            None => self.open_connection(current.address).await,
        };
        let Ok(mut connection) = opened else {
            if self.register.borrow_mut().mark_down() {
                let what = json!({"name": "endpoint_unreachable", "endpoint": current.id,
                    "request": call.request_id});
                info!(target: UPSTREAM, "{what}");
                self.on_down();
                self.blame_lifetime(&current, "unreachable");
            }
            return not_run(NotRunCause::Closed);
        };
        // The evacuation may have taken effect while the connection was opened.
        if self.is_evacuated.get() {
            return not_run(NotRunCause::Closed);
        }
        let left = deadline.saturating_sub(self.clock.now());
        let head = write_head(call, &self.headers, &current.id, left);
        permit.start(self.clock.now() + left + STOP_MARGIN);
        let request = WireRequest {
            head: &head,
            body: &call.body,
            is_head: &*call.method == "HEAD",
            identity,
        };
        let response = tokio::time::timeout(
            left + RESPONSE_MARGIN,
            connection.begin(request, INLINE_LIMIT),
        );
        let error = match response.await {
            Err(_) => return CallResult::Unknown(UnknownCause::TimedOut),
            Ok(Ok((mut response, reader))) => {
                let run = permit.run_time();
                self.slots.on_alive(self.clock.now());
                if response.skipped > 0 {
                    let what = json!({"name": "endpoint_answers_skipped", "endpoint": current.id,
                        "request": call.request_id, "count": response.skipped});
                    info!(target: UPSTREAM, "{what}");
                }
                response.is_reusable &= identity.is_some();
                let read = response.body.len() as u64;
                let result = self.check_response(&mut response, run);
                let Some(reader) = reader else {
                    // A request that was rejected has not run, so the endpoint has not survived it.
                    if matches!(result, CallResult::Answer { .. }) {
                        self.record_completed(call_fingerprint);
                    }
                    permit.finish();
                    self.store_connection(connection, &response);
                    return result;
                };
                if !matches!(result, CallResult::Answer { .. }) {
                    if matches!(result, CallResult::NotRun(_)) {
                        permit.reject();
                    }
                    return result;
                }
                let (pieces, body) = AnswerRest::channel(reader.length().map(|left| left + read));
                let body_reader = EndpointBody {
                    endpoint: Rc::clone(self),
                    connection,
                    reader,
                    response,
                    read,
                    permit,
                    request_id: call.request_id.clone(),
                    fingerprint: call_fingerprint,
                    address: current.address,
                };
                tokio::task::spawn_local(body_reader.forward(pieces));
                *rest = Some(body);
                return result;
            }
            Ok(Err(error)) => error,
        };
        drop(connection);
        let what = json!({"name": "endpoint_answer_broken", "endpoint": current.id,
            "request": call.request_id, "bytes": 0, "reason": error.to_string()});
        info!(target: UPSTREAM, "{what}");
        if error == ExchangeError::Ended && self.has_crashed(current.address).await {
            *crashes = self.crash_facts();
            let what = json!({"name": "endpoint_crashed", "endpoint": current.id,
                "request": call.request_id, "suspects": crashes.len(), "noticed": "answer"});
            info!(target: UPSTREAM, "{what}");
            return CallResult::Unknown(UnknownCause::EndpointCrashed);
        }
        // After a malformed answer the endpoint may go on with the request.
        if error == ExchangeError::Ended {
            permit.break_off();
        }
        CallResult::Unknown(UnknownCause::AnswerBroken)
    }

    /// Checks a response and moves its body into the result.
    fn check_response(&self, response: &mut HttpResponse, run: Duration) -> CallResult {
        let is_signed = response.header(self.headers.signature).is_some();
        if response.header(self.headers.not_run).is_some() || response.status == 421 {
            return CallResult::NotRun(NotRunReport {
                cause: NotRunCause::Rejected,
                reached: true,
                retry_after_ms: 0,
            });
        }
        // A success without a signature does not come from the endpoint. A status that means 'not run'
        // must not be forwarded unless the endpoint confirms it with its own header.
        let is_success = (200..300).contains(&response.status);
        if (is_success && !is_signed) || NOT_RUN_STATUSES.contains(&response.status) {
            return CallResult::Unknown(UnknownCause::AnswerBroken);
        }
        let mut headers = response.headers.clone();
        headers.retain(|(name, _)| !is_connection_header(name));
        CallResult::Answer {
            status: response.status,
            headers,
            body: std::mem::take(&mut response.body),
            run_ms: u32::try_from(run.as_millis()).unwrap_or(u32::MAX),
        }
    }

    async fn connection(&self, address: SocketAddr) -> Result<HttpConnection, ExchangeError> {
        let now = self.clock.now();
        while let Some(idle) = self.take_idle() {
            if now < idle.until && idle.connection.is_clean() {
                return Ok(idle.connection);
            }
        }
        self.open_connection(address).await
    }

    async fn open_connection(&self, address: SocketAddr) -> Result<HttpConnection, ExchangeError> {
        self.opened.set(self.opened.get() + 1);
        HttpConnection::open(address, CONNECT_TIMEOUT).await
    }

    fn take_idle(&self) -> Option<IdleConnection> {
        self.idle.borrow_mut().pop()
    }

    /// Keeps a connection for the next call if the response allows it.
    pub(crate) fn store_connection(&self, connection: HttpConnection, response: &HttpResponse) {
        if let Some(limit) = response.idle_limit() {
            self.idle_limit.set(limit * IDLE_TENTHS / 10);
        }
        if !response.is_reusable {
            return;
        }
        let until = self.clock.now() + self.idle_limit.get();
        self.idle
            .borrow_mut()
            .push(IdleConnection { connection, until });
    }

    fn sync_phase(&self) {
        let phase = match self.is_evacuated.get() {
            true => EndpointPhase::Down,
            false => self.register.borrow().phase(),
        };
        self.slots.set_phase(phase);
    }
}

/// Converts a time of day to milliseconds since the Unix epoch; 0 for earlier times.
#[must_use]
pub fn wall_ms(wall: SystemTime) -> u64 {
    let since = wall.duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the result of a call that reached no endpoint.
#[must_use]
pub fn not_run(cause: NotRunCause) -> CallResult {
    CallResult::NotRun(NotRunReport {
        cause,
        reached: false,
        retry_after_ms: 0,
    })
}
