//! The endpoint on the own VM: its register, its slots, its connections and the requests it runs.

use std::cell::Cell;
use std::cell::RefCell;
use std::fmt::Write;
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
use crate::ids::Fingerprint;
use crate::ids::Incarnation;
use crate::ids::MemberId;
use crate::ids::ServiceName;
use crate::logging::UPSTREAM;
use crate::member::EndpointPhase;
use crate::outcome::RefusalReason;
use crate::poison::PoisonTable;
use crate::sidecar::announcement::EndpointAnnouncement;
use crate::sidecar::announcement::EndpointDeparture;
use crate::sidecar::announcement::EndpointRegister;
use crate::sidecar::announcement::RegisterChange;
use crate::sidecar::dialect::HeaderNames;
use crate::sidecar::frame::CallResult;
use crate::sidecar::frame::EndpointLoad;
use crate::sidecar::frame::ForwardedCall;
use crate::sidecar::frame::NotRunCause;
use crate::sidecar::frame::NotRunReport;
use crate::sidecar::frame::UnknownCause;
use crate::sidecar::http_exchange::ExchangeError;
use crate::sidecar::http_exchange::HttpAnswer;
use crate::sidecar::http_exchange::HttpConnection;
use crate::sidecar::http_exchange::WireRequest;
use crate::sidecar::member_table::EndpointSummary;
use crate::sidecar::slot_queue::SlotQueue;
use crate::sidecar::slot_queue::SlotRequest;

/// Time a connection to the endpoint may take; it is on the same machine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for which an idle connection is used again when the endpoint does not tell.
const IDLE_LIMIT: Duration = Duration::from_secs(4);

/// Share of the time told by the endpoint for which an idle connection is used, in tenths; the
/// endpoint's clock and whole seconds take the rest.
const IDLE_TENTHS: u32 = 7;

/// Time beyond the deadline in which the endpoint's own answer at the deadline is waited for.
const ANSWER_MARGIN: Duration = Duration::from_millis(100);

/// Shortest time left with which a request is handed over.
const MIN_TIME_LEFT: Duration = Duration::from_millis(5);

/// Age of a call from which on its time left is corrected by the time of day, which may differ a
/// little between VMs.
const LATE_CALL: Duration = Duration::from_millis(250);

/// Pauses between the announcements of a live endpoint after which it is held to be gone.
const SILENT_INTERVALS: u32 = 4;

/// Statuses by which a daemon promises that a request was not run.
const PROMISE_STATUSES: [u16; 4] = [408, 421, 429, 503];

struct IdleConnection {
    connection: HttpConnection,
    until: Duration,
}

/// The endpoint on the own VM.
pub struct EndpointDesk {
    member: MemberId,
    incarnation: Incarnation,
    clock: Arc<dyn DaemonClock>,
    headers: HeaderNames,
    register: RefCell<EndpointRegister>,
    slots: SlotQueue,
    idle: RefCell<Vec<IdleConnection>>,
    idle_limit: Cell<Duration>,
    poison: Rc<RefCell<PoisonTable>>,
    crashes: Cell<u64>,
    opened: Cell<u64>,
}

/// What a finished call asks the daemon to tell the others.
pub struct CallReport {
    /// What became of the call.
    pub result: CallResult,
    /// Crash facts to spread.
    pub crashes: Vec<CrashFact>,
}

impl EndpointDesk {
    /// Makes the desk of a daemon whose endpoint was not heard yet.
    #[must_use]
    pub fn new(
        member: MemberId,
        incarnation: Incarnation,
        clock: Arc<dyn DaemonClock>,
        headers: HeaderNames,
        poison: Rc<RefCell<PoisonTable>>,
    ) -> EndpointDesk {
        EndpointDesk {
            member,
            incarnation,
            slots: SlotQueue::new(Arc::clone(&clock)),
            clock,
            headers,
            register: RefCell::default(),
            idle: RefCell::default(),
            idle_limit: Cell::new(IDLE_LIMIT),
            poison,
            crashes: Cell::new(0),
            opened: Cell::new(0),
        }
    }

    /// Takes an announcement.
    pub fn announce(
        &self,
        told: EndpointAnnouncement,
        service: &ServiceName,
        address: SocketAddr,
    ) -> RegisterChange {
        let (id, sequence, leaving) = (told.id.clone(), told.sequence, told.is_leaving);
        let slots = told.slots;
        let now = self.clock.now();
        let change = self
            .register
            .borrow_mut()
            .announce(told, service, address, now);
        match change {
            RegisterChange::Same => return change,
            RegisterChange::Replaced => {
                self.idle.borrow_mut().clear();
                self.slots.replace(slots);
            }
            RegisterChange::Updated => self.slots.set_slots(slots),
            RegisterChange::Closed | RegisterChange::PassedOver(_) => {}
        }
        self.follow_register();
        let what = json!({"name": "endpoint_announced", "endpoint": id, "sequence": sequence,
            "leaving": leaving, "outcome": format!("{change:?}")});
        info!(target: UPSTREAM, "{what}");
        change
    }

    /// Takes a departure.
    pub fn depart(&self, told: &EndpointDeparture) -> RegisterChange {
        let wall = wall_ms(self.clock.wall());
        let change = self.register.borrow_mut().depart(told, wall);
        self.follow_register();
        let what = json!({"name": "endpoint_departed", "endpoint": told.id,
            "outcome": format!("{change:?}")});
        info!(target: UPSTREAM, "{what}");
        change
    }

    /// Ends the grace in which requests that wait may still start at an endpoint that leaves.
    pub fn close_queue(&self) {
        if self.register.borrow().phase() == EndpointPhase::Leaving {
            self.slots.set_phase(EndpointPhase::Down);
        }
    }

    /// Holds the endpoint down when it was silent for several announcement intervals; returns
    /// whether that changed anything.
    pub fn check_silence(&self, interval: Duration) -> bool {
        let silent_for = self
            .clock
            .now()
            .saturating_sub(self.register.borrow().heard());
        if silent_for < interval * SILENT_INTERVALS {
            return false;
        }
        let changed = self.register.borrow_mut().note_down();
        if changed {
            let what =
                json!({"name": "endpoint_silent", "silent_ms": silent_for.as_millis() as u64});
            info!(target: UPSTREAM, "{what}");
            self.follow_register();
        }
        changed
    }

    /// Returns the endpoint as the other daemons are told of it.
    #[must_use]
    pub fn summary(&self) -> Option<EndpointSummary> {
        let register = self.register.borrow();
        let current = register.current()?;
        Some(EndpointSummary {
            id: current.id.clone(),
            service: current.service.clone(),
            version: current.version.clone(),
            slots: current.slots,
            phase: register.phase(),
        })
    }

    /// Returns the load of the endpoint.
    #[must_use]
    pub fn load(&self) -> EndpointLoad {
        self.slots.load()
    }

    /// Returns the connections opened to the endpoint.
    #[must_use]
    pub fn connections_opened(&self) -> u64 {
        self.opened.get()
    }

    /// Runs a call at the endpoint; dropping the future gives the call up.
    pub async fn run(&self, call: &ForwardedCall) -> CallReport {
        let mut crashes = Vec::new();
        let result = self.run_call(call, &mut crashes).await;
        CallReport { result, crashes }
    }

    async fn run_call(&self, call: &ForwardedCall, crashes: &mut Vec<CrashFact>) -> CallResult {
        let start = self.clock.now();
        let deadline = start + self.time_left(call);
        let print = fingerprint(&call.method, &call.path, &call.body);
        if self.poison.borrow().is_refused(print, start) {
            return not_run(NotRunCause::Poison);
        }
        let Some(current) = self.register.borrow().current().cloned() else {
            return not_run(NotRunCause::Closed);
        };
        if current.service != call.service {
            return not_run(NotRunCause::Closed);
        }
        let held_up =
            Duration::from_millis(u64::from(call.left_ms)).saturating_sub(deadline - start);
        let wait = Duration::from_millis(u64::from(call.wait_ms)).saturating_sub(held_up);
        let request = SlotRequest {
            fingerprint: print,
            kind: call.kind,
            rank: call.rank,
            finish_by: deadline.min(start + wait),
        };
        let mut permit = match self.slots.admit(request).await {
            Ok(permit) => permit,
            Err(reason) => return self.refused(reason, call.rank),
        };
        // The endpoint may have been replaced while the request waited.
        let Some(current) = self.register.borrow().current().cloned() else {
            return not_run(NotRunCause::Closed);
        };
        let left = deadline.saturating_sub(self.clock.now());
        if left < MIN_TIME_LEFT {
            return not_run(NotRunCause::TooLate);
        }
        let Ok(mut connection) = self.connection(current.address).await else {
            if self.register.borrow_mut().note_down() {
                let what = json!({"name": "endpoint_unreachable", "endpoint": current.id,
                    "request": call.request_id});
                info!(target: UPSTREAM, "{what}");
                self.follow_register();
            }
            return not_run(NotRunCause::Closed);
        };
        let left = deadline.saturating_sub(self.clock.now());
        let bytes = self.write_request(call, &current, left);
        permit.start();
        let request = WireRequest {
            bytes: &bytes,
            is_head: &*call.method == "HEAD",
            identity: Some((self.headers.request_id, &call.request_id)),
        };
        let answer = tokio::time::timeout(left + ANSWER_MARGIN, connection.exchange(request)).await;
        let broken = match answer {
            Err(_) => return CallResult::Unknown(UnknownCause::TimedOut),
            Ok(Ok(answer)) => {
                let run = permit.finish();
                self.poison
                    .borrow_mut()
                    .on_completed(print, self.clock.now());
                self.keep(connection, &answer);
                return self.judge(answer, run);
            }
            Ok(Err(broken)) => broken,
        };
        drop(connection);
        if broken == ExchangeError::Ended && self.has_crashed(current.address).await {
            *crashes = self.crash_facts(print);
            let what = json!({"name": "endpoint_crashed", "endpoint": current.id,
                "request": call.request_id, "suspects": crashes.len()});
            info!(target: UPSTREAM, "{what}");
            return CallResult::Unknown(UnknownCause::EndpointCrashed);
        }
        CallResult::Unknown(UnknownCause::AnswerBroken)
    }

    /// Time left now; a call that was held up on its way has less than it was sent with.
    fn time_left(&self, call: &ForwardedCall) -> Duration {
        let left = Duration::from_millis(u64::from(call.left_ms));
        let age = wall_ms(self.clock.wall()).saturating_sub(call.sent_at_ms);
        let age = Duration::from_millis(age);
        match age > LATE_CALL {
            true => left.saturating_sub(age),
            false => left,
        }
    }

    fn refused(&self, reason: RefusalReason, rank: u8) -> CallResult {
        let cause = match reason {
            RefusalReason::Overloaded => NotRunCause::Overloaded,
            RefusalReason::DeadlinePassed => NotRunCause::TooLate,
            _ => NotRunCause::Closed,
        };
        let wait = self.slots.wait_time(rank).as_millis();
        CallResult::NotRun(NotRunReport {
            cause,
            reached: false,
            retry_after_ms: u32::try_from(wait).unwrap_or(u32::MAX),
        })
    }

    fn judge(&self, answer: HttpAnswer, run: Duration) -> CallResult {
        let is_signed = answer.header(self.headers.signature).is_some();
        if answer.header(self.headers.not_run).is_some() || answer.status == 421 {
            return CallResult::NotRun(NotRunReport {
                cause: NotRunCause::Rejected,
                reached: true,
                retry_after_ms: 0,
            });
        }
        // A success that bears no signature is not the endpoint's; a status that promises that the
        // request was not run must not be passed on without the endpoint's word for it.
        let is_success = (200..300).contains(&answer.status);
        if (is_success && !is_signed) || PROMISE_STATUSES.contains(&answer.status) {
            return CallResult::Unknown(UnknownCause::AnswerBroken);
        }
        let mut headers = answer.headers;
        headers.retain(|(name, _)| !is_connection_header(name));
        CallResult::Answer {
            status: answer.status,
            headers,
            body: answer.body,
            run_ms: u32::try_from(run.as_millis()).unwrap_or(u32::MAX),
        }
    }

    fn write_request(
        &self,
        call: &ForwardedCall,
        current: &EndpointAnnouncement,
        left: Duration,
    ) -> Vec<u8> {
        let mut head = format!("{} {} HTTP/1.1\r\n", call.method, call.path).into_bytes();
        for (name, value) in &call.headers {
            head.extend_from_slice(name.as_bytes());
            head.extend_from_slice(b": ");
            head.extend_from_slice(value);
            head.extend_from_slice(b"\r\n");
        }
        let mut own = String::new();
        let names = &self.headers;
        // Writing to a string does not fail.
        let _ = write!(own, "{}: {}\r\n", names.time_left, left.as_millis());
        let _ = write!(own, "{}: {}\r\n", names.expected_endpoint, current.id);
        if !call.body.is_empty() || matches!(&*call.method, "POST" | "PUT" | "PATCH") {
            let _ = write!(own, "content-length: {}\r\n", call.body.len());
        }
        own.push_str("\r\n");
        head.extend_from_slice(own.as_bytes());
        head.extend_from_slice(&call.body);
        head
    }

    async fn connection(&self, address: SocketAddr) -> Result<HttpConnection, ExchangeError> {
        let now = self.clock.now();
        while let Some(idle) = self.take_idle() {
            if now < idle.until && idle.connection.is_clean() {
                return Ok(idle.connection);
            }
        }
        self.opened.set(self.opened.get() + 1);
        HttpConnection::open(address, CONNECT_TIMEOUT).await
    }

    fn take_idle(&self) -> Option<IdleConnection> {
        self.idle.borrow_mut().pop()
    }

    fn keep(&self, connection: HttpConnection, answer: &HttpAnswer) {
        if let Some(limit) = answer.idle_limit() {
            self.idle_limit.set(limit * IDLE_TENTHS / 10);
        }
        if !answer.is_reusable {
            return;
        }
        let until = self.clock.now() + self.idle_limit.get();
        self.idle
            .borrow_mut()
            .push(IdleConnection { connection, until });
    }

    /// Returns whether nobody listens at the endpoint's address any more.
    async fn has_crashed(&self, address: SocketAddr) -> bool {
        let probe = HttpConnection::open(address, CONNECT_TIMEOUT).await;
        let Ok(connection) = probe else {
            let changed = self.register.borrow_mut().note_down();
            self.follow_register();
            return changed;
        };
        let until = self.clock.now() + self.idle_limit.get();
        self.idle
            .borrow_mut()
            .push(IdleConnection { connection, until });
        false
    }

    fn crash_facts(&self, own: Fingerprint) -> Vec<CrashFact> {
        self.crashes.set(self.crashes.get() + 1);
        let now = self.clock.now();
        let mut running = self.slots.running();
        running.push(own);
        let mut poison = self.poison.borrow_mut();
        let mut facts = Vec::new();
        for fingerprint in poison.crash_suspects(&running, now) {
            let fact = CrashFact {
                fingerprint,
                member: self.member.clone(),
                incarnation: self.incarnation,
                number: self.crashes.get(),
            };
            poison.on_crash(&fact, now);
            facts.push(fact);
        }
        facts
    }

    fn follow_register(&self) {
        let phase = self.register.borrow().phase();
        self.slots.set_phase(phase);
    }
}

/// Time of day in milliseconds since the Unix epoch.
#[must_use]
pub fn wall_ms(wall: SystemTime) -> u64 {
    let since = wall.duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// Returns whether a header concerns one connection only, or the framing of a body.
#[must_use]
pub fn is_connection_header(name: &str) -> bool {
    const NAMES: [&str; 10] = [
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
    ];
    NAMES.iter().any(|listed| name.eq_ignore_ascii_case(listed))
}

/// The result of a call that no endpoint had.
#[must_use]
pub fn not_run(cause: NotRunCause) -> CallResult {
    CallResult::NotRun(NotRunReport {
        cause,
        reached: false,
        retry_after_ms: 0,
    })
}
