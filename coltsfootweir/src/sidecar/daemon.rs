//! Lifecycle of a sidecar: start, signals, settings reload and shutdown.

use std::fmt;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::Path;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;

use error_stack::Report;
use error_stack::ResultExt;
use log::info;
use log::warn;
use rand::RngExt;
use serde_json::json;
use socket2::Domain;
use socket2::Socket;
use socket2::Type;
use tokio::net::TcpListener;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::watch;
use tokio::task::LocalSet;

use crate::clock::SystemClock;
use crate::logging::DAEMON;
use crate::member::EndpointPhase;
use crate::sidecar::config_task::watch_orders;
use crate::sidecar::control_server::ControlPort;
use crate::sidecar::control_server::serve_control;
use crate::sidecar::departures::departure_task::keep_departures;
use crate::sidecar::departures::departure_task::sweep_departures;
use crate::sidecar::hedging::hedge_policy::HedgePolicy;
use crate::sidecar::member_task::find_members;
use crate::sidecar::member_task::keep_links;
use crate::sidecar::member_task::remove_own_row;
use crate::sidecar::peer_server::serve_peers;
use crate::sidecar::planned_stop::stop_window::StopWindow;
use crate::sidecar::platform_adapter::PlatformAdapter;
use crate::sidecar::rate_limits::limit_task::ask_for_tokens;
use crate::sidecar::rate_limits::limit_task::keep_leases;
use crate::sidecar::request_server::serve_requests;
use crate::sidecar::rollout_task::run_rollouts;
use crate::sidecar::settings::SidecarSettings;
use crate::sidecar::sidecar_state::SidecarState;
use crate::sidecar::teams::freshness_task::keep_freshness;

/// Connections that may wait to be accepted. Covers bursts of clients that each open a new one.
const LISTEN_BACKLOG: i32 = 1024;

/// Interval between checks of the settings file, which may change without a signal.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(3);

/// Interval between checks for running requests during shutdown.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Ports for the address that a run names to its endpoint: the dynamic ports of RFC 6335. One at random is
/// unlikely to be that of an earlier run.
const RUN_PORTS: RangeInclusive<u16> = 49_152..=65_535;

/// Most ports that are tried.
const MAX_BIND_TRIES: u32 = 8;

/// Error while starting a sidecar.
#[derive(Debug)]
pub enum SidecarError {
    /// The settings file cannot be read or is invalid.
    Settings(PathBuf),
    /// The async runtime or its signal handlers cannot be set up.
    Runtime,
    /// A listening address cannot be bound.
    Bind(SocketAddr),
}

impl fmt::Display for SidecarError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SidecarError::Settings(path) => {
                write!(f, "settings {} cannot be used", path.display())
            }
            SidecarError::Runtime => f.write_str("async runtime cannot start"),
            SidecarError::Bind(address) => write!(f, "address {address} cannot be bound"),
        }
    }
}

impl std::error::Error for SidecarError {}

/// Options for starting a sidecar.
#[derive(Clone, Debug)]
pub struct StartOptions {
    /// Path of the settings file.
    pub settings: PathBuf,
    /// Additional port for metrics, which the readiness port serves as well.
    pub metrics_port: Option<u16>,
    /// Address at which other daemons reach this one, if it differs from the listening address.
    pub advertised: Option<SocketAddr>,
    /// Limit of hedged attempts to a share of the requests of each service, in percent; 0 for none,
    /// `None` if only the retry budget limits them.
    pub hedge_percent: Option<u8>,
}

/// Runs a sidecar until SIGTERM or SIGINT.
///
/// # Errors
/// Returns [`SidecarError`] if the sidecar cannot start.
pub fn run_sidecar(
    options: &StartOptions,
    platform_adapter: Rc<dyn PlatformAdapter>,
) -> Result<(), Report<SidecarError>> {
    let settings = read_settings(&options.settings, &*platform_adapter)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .change_context(SidecarError::Runtime)?;
    let tasks = LocalSet::new();
    tasks.block_on(&runtime, run(options, settings, platform_adapter))
}

fn read_settings(
    path: &Path,
    platform_adapter: &dyn PlatformAdapter,
) -> Result<SidecarSettings, Report<SidecarError>> {
    let error = || SidecarError::Settings(path.to_owned());
    let text = std::fs::read_to_string(path).change_context_lazy(error)?;
    platform_adapter.settings(&text).change_context_lazy(error)
}

async fn run(
    options: &StartOptions,
    settings: SidecarSettings,
    platform_adapter: Rc<dyn PlatformAdapter>,
) -> Result<(), Report<SidecarError>> {
    let mut terminate = signal(SignalKind::terminate()).change_context(SidecarError::Runtime)?;
    let mut interrupt = signal(SignalKind::interrupt()).change_context(SidecarError::Runtime)?;
    let mut hangup = signal(SignalKind::hangup()).change_context(SidecarError::Runtime)?;
    let listen = settings.listen;
    let requests = bind(listen.requests)?;
    let peers = bind(listen.peers)?;
    let readiness = bind(listen.readiness)?;
    let announcements = bind(listen.announcements)?;
    let path = &*options.settings;
    let metrics = options
        .metrics_port
        .map(|port| bind(SocketAddr::new(listen.readiness.ip(), port)));
    let metrics = metrics.transpose()?;
    let event = json!({"name": "started", "member": settings.id, "region": settings.region,
        "zone": settings.zone, "service": settings.service, "store": settings.store});
    info!(target: DAEMON, "{event}");
    let clock = Arc::new(SystemClock::new());
    let seed = rand::rng().random();
    let state = SidecarState::new(settings, platform_adapter, clock, seed);
    state
        .routing
        .hedging
        .replace(HedgePolicy::new(options.hedge_percent));
    if let Some(address) = options.advertised {
        state.members.change_own(|own| own.address = address);
    }
    if !state.settings().is_first_start {
        let settings = state.settings();
        let stability = settings.bounds.stability;
        state
            .endpoint
            .await_departures(settings.announce_interval, stability);
    }
    let state = Rc::new(state);
    let (stop, stopping) = watch::channel(false);
    tokio::task::spawn_local(serve_requests(Rc::clone(&state), requests, stopping));
    tokio::task::spawn_local(serve_peers(Rc::clone(&state), peers));
    let configured = [Some(readiness), Some(announcements), metrics];
    for listener in configured.into_iter().flatten() {
        let port = ControlPort::Configured;
        tokio::task::spawn_local(serve_control(Rc::clone(&state), listener, port));
    }
    if !state.settings().is_first_start
        && let Some((address, listener)) = bind_run_address(listen.announcements.ip())
    {
        state.departures.run_address.set(Some(address));
        let port = ControlPort::Run;
        tokio::task::spawn_local(serve_control(Rc::clone(&state), listener, port));
    }
    tokio::task::spawn_local(find_members(Rc::clone(&state)));
    tokio::task::spawn_local(keep_links(Rc::clone(&state)));
    tokio::task::spawn_local(keep_departures(Rc::clone(&state)));
    tokio::task::spawn_local(sweep_departures(Rc::clone(&state)));
    tokio::task::spawn_local(watch_orders(Rc::clone(&state)));
    tokio::task::spawn_local(run_rollouts(Rc::clone(&state)));
    tokio::task::spawn_local(keep_freshness(Rc::clone(&state)));
    tokio::task::spawn_local(keep_leases(Rc::clone(&state)));
    tokio::task::spawn_local(ask_for_tokens(Rc::clone(&state)));
    let mut modified = modified_at(path);
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => reload(&state, path, "signal"),
            () = tokio::time::sleep(SETTINGS_POLL_INTERVAL) => {
                let now = modified_at(path);
                if now != modified {
                    reload(&state, path, "file");
                }
                modified = now;
            }
        }
    }
    shut_down(&state, &stop).await;
    Ok(())
}

fn bind(address: SocketAddr) -> Result<TcpListener, Report<SidecarError>> {
    let bind = || -> std::io::Result<TcpListener> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        socket.listen(LISTEN_BACKLOG)?;
        TcpListener::from_std(socket.into())
    };
    bind().change_context(SidecarError::Bind(address))
}

/// Binds an address that no earlier run of the daemon has named, for announcements that prove that an
/// endpoint has heard from this run.
fn bind_run_address(ip: IpAddr) -> Option<(SocketAddr, TcpListener)> {
    for _ in 0..MAX_BIND_TRIES {
        let address = SocketAddr::new(ip, rand::rng().random_range(RUN_PORTS));
        match bind(address) {
            Ok(listener) => return Some((address, listener)),
            Err(error) => {
                let event = json!({"name": "run_address_refused", "address": address,
                    "reason": format!("{error:#}")});
                warn!(target: DAEMON, "{event}");
            }
        }
    }
    None
}

fn modified_at(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path)
        .and_then(|data| data.modified())
        .ok()
}

/// Reads the settings file again and applies it. If it is unreadable, the old settings stay.
fn reload(state: &SidecarState, path: &Path, cause: &str) {
    let settings = match read_settings(path, &*state.platform_adapter) {
        Ok(settings) => settings,
        Err(error) => {
            let event = json!({"name": "settings_refused", "reason": format!("{error:#}")});
            warn!(target: DAEMON, "{event}");
            return;
        }
    };
    let held = state.settings();
    if needs_restart(&settings, &held) {
        let event = json!({"name": "settings_need_restart",
            "reason": "identity, ports, place and size are read at the start only"});
        warn!(target: DAEMON, "{event}");
    }
    let event = json!({"name": "settings_reloaded", "cause": cause, "changed": settings != *held});
    info!(target: DAEMON, "{event}");
    if state.store.set_address(settings.store) {
        let event = json!({"name": "store_address_changed", "address": settings.store,
            "before": held.store});
        info!(target: DAEMON, "{event}");
    }
    *state.settings.borrow_mut() = Rc::new(SidecarSettings {
        id: held.id.clone(),
        listen: held.listen,
        ..settings
    });
}

/// Returns whether a change of the settings takes effect only when the daemon starts again.
fn needs_restart(settings: &SidecarSettings, held: &SidecarSettings) -> bool {
    let is_same_place = settings.region == held.region && settings.zone == held.zone;
    let is_same_size = settings.size == held.size && settings.host_limits == held.host_limits;
    settings.listen != held.listen || settings.id != held.id || !is_same_place || !is_same_size
}

/// Shuts down gracefully: is no longer ready, runs calls of other daemons for a while, announces the
/// departure, then stops accepting connections, then waits for running requests to finish.
async fn shut_down(state: &SidecarState, stop: &watch::Sender<bool>) {
    let start = state.now();
    let mut window = StopWindow::new(start, state.settings().bounds.stop_grace);
    let endpoint = state.endpoint.summary();
    if endpoint.is_none_or(|endpoint| endpoint.phase != EndpointPhase::Ready) {
        window = window.without_calls();
    }
    state.stop.set(window);
    let event = json!({"name": "stopping", "running": state.running.get(),
        "calls_ms": window.calls_by.saturating_sub(start).as_millis() as u64});
    info!(target: DAEMON, "{event}");
    tokio::time::sleep(window.calls_by.saturating_sub(start)).await;
    state.is_leaving.set(true);
    state.publish();
    remove_row_within(state, window.notice_by).await;
    tokio::time::sleep(window.notice_by.saturating_sub(state.now())).await;
    // No connections are accepted any more, and open ones close after their current request.
    stop.send_replace(true);
    while state.now() < window.exit_by && !is_idle(state) {
        tokio::time::sleep(SHUTDOWN_POLL_INTERVAL).await;
    }
    // Connections on which a part of a request was read are still open: its rest may come now.
    state.stop.set(window.ended(state.now()));
    // Leaves time for the last responses to be sent.
    tokio::time::sleep(SHUTDOWN_POLL_INTERVAL).await;
    let event = json!({"name": "stopped", "running": state.running.get(), "unsent": state.stop.unsent(),
        "ms": (state.now() - start).as_millis() as u64});
    info!(target: DAEMON, "{event}");
    // The log thread writes its queue at intervals; this leaves time for the last lines.
    tokio::time::sleep(SHUTDOWN_POLL_INTERVAL * 3).await;
}

fn is_idle(state: &SidecarState) -> bool {
    state.running.get() == 0
        && state.stop.unsent() == 0
        && state.uploads.is_idle()
        && state.endpoint.load().is_idle()
        && state.uplink.is_idle()
}

async fn remove_row_within(state: &SidecarState, until: Duration) {
    let left = until.saturating_sub(state.now());
    if tokio::time::timeout(left, remove_own_row(state))
        .await
        .is_err()
    {
        warn!(target: DAEMON, "removal of the daemon's own row from the store timed out");
    }
}
