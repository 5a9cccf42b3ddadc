//! A TCP relay that cuts, freezes, delays or shortens what passes through it.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use flume::Receiver;
use flume::Sender;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::runtime;
use tokio::select;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::port_holder::PortHolder;
use crate::relay_pump::PaceClock;
use crate::relay_pump::PumpEnd;
use crate::relay_pump::RelayDirection;
use crate::relay_pump::pump_bytes;

/// Wait after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// What a relay does with connections and bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RelayMode {
    /// Passes everything on at once.
    Pass,
    /// Resets every connection and refuses new ones.
    Cut,
    /// Takes connections and holds back every byte until the mode changes.
    Freeze,
    /// Holds back every byte that goes back to clients until the mode changes.
    FreezeAnswers,
    /// Passes every byte on after this time.
    Delay(Duration),
    /// Passes answers on at this rate in bytes per millisecond, all connections together.
    Pace(u32),
    /// Passes requests on at this rate in bytes per millisecond, all connections together.
    PaceRequests(u32),
    /// Closes each connection once this many bytes went back to the client.
    HalfAnswer(usize),
    /// Makes the connections that are open silent for good. Later ones pass everything on.
    Sever,
}

/// Bytes passed on by a relay.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RelayBytes {
    /// From clients to the target.
    pub requests: u64,
    /// From the target to clients.
    pub answers: u64,
}

/// A running relay; dropping it resets its connections.
#[derive(Debug)]
pub struct TcpRelay {
    address: SocketAddr,
    counts: Arc<RelayCounts>,
    changes: Option<Sender<ModeChange>>,
    task: Option<JoinHandle<()>>,
}

#[derive(Debug, Default)]
struct RelayCounts {
    requests: AtomicU64,
    answers: AtomicU64,
    pace: PaceClock,
}

#[derive(Debug)]
struct ModeChange {
    mode: RelayMode,
    done: Sender<()>,
}

impl TcpRelay {
    /// Starts a relay to `target` on a free loopback port, in mode [`RelayMode::Pass`].
    ///
    /// # Errors
    /// Those of the socket.
    pub fn start(target: SocketAddr) -> io::Result<TcpRelay> {
        let holder = PortHolder::bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
        let runtime = runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let (change_sender, changes) = flume::unbounded();
        let mut relay = TcpRelay {
            address: holder.address(),
            counts: Arc::default(),
            changes: Some(change_sender),
            task: None,
        };
        let counts = Arc::clone(&relay.counts);
        relay.task = Some(thread::spawn(move || {
            runtime.block_on(run_relay(holder, target, changes, counts));
        }));
        relay.set_mode(RelayMode::Pass);
        Ok(relay)
    }

    /// Address that clients connect to.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the mode and waits until it is in force.
    pub fn set_mode(&self, mode: RelayMode) {
        let (done_sender, done) = flume::bounded(1);
        let change = ModeChange {
            mode,
            done: done_sender,
        };
        if let Some(changes) = &self.changes
            && changes.send(change).is_ok()
        {
            let _ = done.recv();
        }
    }

    /// Bytes passed on so far.
    #[must_use]
    pub fn bytes(&self) -> RelayBytes {
        RelayBytes {
            requests: self.counts.requests.load(Ordering::Relaxed),
            answers: self.counts.answers.load(Ordering::Relaxed),
        }
    }
}

impl Drop for TcpRelay {
    fn drop(&mut self) {
        self.changes = None;
        if let Some(task) = self.task.take() {
            let _ = task.join();
        }
    }
}

/// Serves until `changes` is closed.
async fn run_relay(
    holder: PortHolder,
    target: SocketAddr,
    changes: Receiver<ModeChange>,
    counts: Arc<RelayCounts>,
) {
    let (mut modes, _) = watch::channel(RelayMode::Pass);
    let mut severed = Vec::new();
    let mut listener = None;
    loop {
        let change = select! {
            biased;
            change = changes.recv_async() => change,
            stream = accept_client(listener.as_ref()) => {
                tokio::spawn(relay_connection(stream, target, modes.subscribe(), Arc::clone(&counts)));
                continue;
            }
        };
        let Ok(change) = change else {
            return;
        };
        if change.mode == RelayMode::Sever {
            modes.send_replace(RelayMode::Freeze);
            let (later, _) = watch::channel(RelayMode::Pass);
            severed.push(std::mem::replace(&mut modes, later));
        } else {
            modes.send_replace(change.mode);
        }
        if change.mode == RelayMode::Cut {
            listener = None;
        } else if listener.is_none() {
            listener = holder.listen().ok();
        }
        let _ = change.done.send(());
    }
}

async fn accept_client(listener: Option<&TcpListener>) -> TcpStream {
    if let Some(listener) = listener {
        loop {
            if let Ok((stream, _)) = listener.accept().await {
                return stream;
            }
            sleep(ACCEPT_PAUSE).await;
        }
    }
    std::future::pending().await
}

async fn relay_connection(
    client: TcpStream,
    target: SocketAddr,
    mut modes: watch::Receiver<RelayMode>,
    counts: Arc<RelayCounts>,
) {
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (client_reader, client_writer) = client.into_split();
    let (server_reader, server_writer) = server.into_split();
    let mut client_writer = Some(client_writer);
    let mut server_writer = Some(server_writer);
    let requests = pump_bytes(
        &client_reader,
        &mut server_writer,
        RelayDirection::Request,
        modes.clone(),
        &counts.requests,
        &counts.pace,
    );
    let answers = pump_bytes(
        &server_reader,
        &mut client_writer,
        RelayDirection::Answer,
        modes.clone(),
        &counts.answers,
        &counts.pace,
    );
    let cut = modes.wait_for(|mode| *mode == RelayMode::Cut);
    select! {
        biased;
        _ = cut => {
            reset_stream(&client_reader, client_writer);
            reset_stream(&server_reader, server_writer);
        }
        () = run_pumps(requests, answers) => {}
    }
}

/// Makes the close of a stream a reset, without an orderly end before it.
fn reset_stream(reader: &OwnedReadHalf, writer: Option<OwnedWriteHalf>) {
    let _ = reader.as_ref().set_zero_linger();
    if let Some(writer) = writer {
        writer.forget();
    }
}

/// Ends when both directions finished or one broke.
async fn run_pumps(
    requests: impl Future<Output = PumpEnd>,
    answers: impl Future<Output = PumpEnd>,
) {
    let mut requests = std::pin::pin!(requests);
    let mut answers = std::pin::pin!(answers);
    select! {
        end = &mut requests => {
            if end == PumpEnd::Finished {
                answers.await;
            }
        }
        end = &mut answers => {
            if end == PumpEnd::Finished {
                requests.await;
            }
        }
    }
}
