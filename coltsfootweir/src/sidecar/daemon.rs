//! A whole sidecar: start, signals, stop.

use std::fmt;
use std::net::SocketAddr;
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
use crate::sidecar::config_task::watch_orders;
use crate::sidecar::control_server::serve_control;
use crate::sidecar::dialect::PlatformDialect;
use crate::sidecar::member_task::find_members;
use crate::sidecar::member_task::keep_links;
use crate::sidecar::member_task::remove_own_row;
use crate::sidecar::peer_server::serve_peers;
use crate::sidecar::request_server::serve_requests;
use crate::sidecar::rollout_task::run_rollouts;
use crate::sidecar::settings::SidecarSettings;
use crate::sidecar::sidecar_state::SidecarState;

/// Connections that may wait to be accepted: bursts of clients that open a new one each.
const LISTEN_BACKLOG: i32 = 1024;

/// Pause between two looks at the settings file, which may change without a signal.
const SETTINGS_PAUSE: Duration = Duration::from_secs(3);

/// Time after SIGTERM in which clients that have not heard of it still come: two missed readiness
/// checks, one a second.
const NOTICE_TIME: Duration = Duration::from_millis(2_500);

/// Time before SIGKILL at which the daemon ends whatever still runs.
const END_TIME: Duration = Duration::from_millis(500);

/// Pause between two looks at whether anything still runs.
const STOP_PAUSE: Duration = Duration::from_millis(50);

/// Failure to start a sidecar.
#[derive(Debug)]
pub enum SidecarError {
    /// The settings file cannot be read.
    Settings(PathBuf),
    /// The runtime cannot start.
    Runtime,
    /// A port cannot be bound.
    Bind(SocketAddr),
}

impl fmt::Display for SidecarError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SidecarError::Settings(path) => {
                write!(f, "settings {} cannot be used", path.display())
            }
            SidecarError::Runtime => f.write_str("runtime cannot start"),
            SidecarError::Bind(address) => write!(f, "port {address} cannot be bound"),
        }
    }
}

impl std::error::Error for SidecarError {}

/// How a sidecar is started.
#[derive(Clone, Debug)]
pub struct StartOptions {
    /// Settings file of the platform.
    pub settings: PathBuf,
    /// Port on which metrics are served beside the one for readiness checks.
    pub metrics_port: Option<u16>,
    /// Address at which other daemons reach this one, when it is not the one it listens on.
    pub advertised: Option<SocketAddr>,
}

/// Runs a sidecar until SIGTERM or SIGINT.
///
/// # Errors
/// [`SidecarError`] when it cannot start.
pub fn run_sidecar(
    options: &StartOptions,
    dialect: Rc<dyn PlatformDialect>,
) -> Result<(), Report<SidecarError>> {
    let settings = read_settings(&options.settings, &*dialect)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .change_context(SidecarError::Runtime)?;
    let tasks = LocalSet::new();
    tasks.block_on(&runtime, run(options, settings, dialect))
}

fn read_settings(
    path: &Path,
    dialect: &dyn PlatformDialect,
) -> Result<SidecarSettings, Report<SidecarError>> {
    let fault = || SidecarError::Settings(path.to_owned());
    let text = std::fs::read_to_string(path).change_context_lazy(fault)?;
    dialect.settings(&text).change_context_lazy(fault)
}

async fn run(
    options: &StartOptions,
    settings: SidecarSettings,
    dialect: Rc<dyn PlatformDialect>,
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
    let what = json!({"name": "started", "member": settings.id, "region": settings.region,
        "zone": settings.zone, "service": settings.service, "store": settings.store});
    info!(target: DAEMON, "{what}");
    let clock = Arc::new(SystemClock::new());
    let seed = rand::rng().random();
    let state = SidecarState::new(settings, dialect, clock, seed);
    if let Some(address) = options.advertised {
        state.members.change_own(|own| own.address = address);
    }
    let state = Rc::new(state);
    let (stop, stopping) = watch::channel(false);
    tokio::task::spawn_local(serve_requests(Rc::clone(&state), requests, stopping));
    tokio::task::spawn_local(serve_peers(Rc::clone(&state), peers));
    tokio::task::spawn_local(serve_control(Rc::clone(&state), readiness));
    tokio::task::spawn_local(serve_control(Rc::clone(&state), announcements));
    if let Some(listener) = metrics {
        tokio::task::spawn_local(serve_control(Rc::clone(&state), listener));
    }
    tokio::task::spawn_local(find_members(Rc::clone(&state)));
    tokio::task::spawn_local(keep_links(Rc::clone(&state)));
    tokio::task::spawn_local(watch_orders(Rc::clone(&state)));
    tokio::task::spawn_local(run_rollouts(Rc::clone(&state)));
    let mut modified = modified_at(path);
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => reload(&state, path, "signal"),
            () = tokio::time::sleep(SETTINGS_PAUSE) => {
                let now = modified_at(path);
                if now != modified {
                    reload(&state, path, "file");
                }
                modified = now;
            }
        }
    }
    stop_serving(&state, &stop).await;
    Ok(())
}

fn bind(address: SocketAddr) -> Result<TcpListener, Report<SidecarError>> {
    let bound = || -> std::io::Result<TcpListener> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        socket.listen(LISTEN_BACKLOG)?;
        TcpListener::from_std(socket.into())
    };
    bound().change_context(SidecarError::Bind(address))
}

fn modified_at(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path)
        .and_then(|data| data.modified())
        .ok()
}

/// Takes the settings in again; unreadable ones change nothing.
fn reload(state: &SidecarState, path: &Path, cause: &str) {
    let settings = match read_settings(path, &*state.dialect) {
        Ok(settings) => settings,
        Err(error) => {
            let what = json!({"name": "settings_refused", "reason": format!("{error:#}")});
            warn!(target: DAEMON, "{what}");
            return;
        }
    };
    let held = state.settings();
    if settings.listen != held.listen || settings.id != held.id {
        let what = json!({"name": "settings_need_restart",
            "reason": "identity and ports are taken in at the start only"});
        warn!(target: DAEMON, "{what}");
    }
    let what = json!({"name": "settings_reloaded", "cause": cause, "changed": settings != *held});
    info!(target: DAEMON, "{what}");
    *state.settings.borrow_mut() = Rc::new(SidecarSettings {
        id: held.id.clone(),
        listen: held.listen,
        ..settings
    });
}

/// Stops in order: new work goes elsewhere, what runs is finished, connections end last.
async fn stop_serving(state: &SidecarState, stop: &watch::Sender<bool>) {
    let start = state.now();
    state.is_leaving.set(true);
    state.publish();
    let what = json!({"name": "stopping", "running": state.running.get()});
    info!(target: DAEMON, "{what}");
    let grace = state.settings().bounds.stop_grace;
    let until = start + grace.saturating_sub(END_TIME);
    let notice = (start + NOTICE_TIME).min(until);
    remove_row_within(state, notice).await;
    tokio::time::sleep(notice.saturating_sub(state.now())).await;
    // From here on connections end after the request that is on them, and no new ones are taken.
    stop.send_replace(true);
    while state.now() < until && !is_idle(state) {
        tokio::time::sleep(STOP_PAUSE).await;
    }
    // The last answers are on their way.
    tokio::time::sleep(STOP_PAUSE).await;
    let what = json!({"name": "stopped", "running": state.running.get(),
        "ms": (state.now() - start).as_millis() as u64});
    info!(target: DAEMON, "{what}");
    // The thread that writes the log looks at its queue in steps.
    tokio::time::sleep(STOP_PAUSE * 3).await;
}

fn is_idle(state: &SidecarState) -> bool {
    state.running.get() == 0 && state.endpoint.load().is_idle()
}

async fn remove_row_within(state: &SidecarState, until: Duration) {
    let left = until.saturating_sub(state.now());
    if tokio::time::timeout(left, remove_own_row(state))
        .await
        .is_err()
    {
        warn!(target: DAEMON, "the own row could not be removed in time");
    }
}
