//! A small installation on loopback addresses: daemons as processes, their endpoints and clients.

use std::fs;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::endpoint::Endpoint;
use crate::endpoint::EndpointSpec;
use crate::endpoint::Runs;
use crate::http::Connection;
use crate::store::Store;

/// Bounds of the small deployments.
pub const CONFIG_APPLY: Duration = Duration::from_millis(2500);
pub const STABILITY: Duration = Duration::from_millis(4000);
pub const DRAIN: Duration = Duration::from_millis(2500);

const STORE_PORT: u16 = 8142;
const METRICS_PORT: u16 = 9464;

/// A machine: its number, its zone and the service of its endpoint.
#[derive(Clone)]
pub struct Machine {
    pub number: u8,
    pub zone: &'static str,
    pub service: String,
    pub version: String,
    /// Of a hundred requests, how many its endpoint fails.
    pub failing: u64,
}

pub struct Fleet {
    pub start: Instant,
    pub store: Store,
    pub runs: Runs,
    pub sent: Sent,
    folder: PathBuf,
    net: u8,
    daemons: Vec<(u8, Child)>,
}

/// What a client has sent, and the answer.
#[derive(Clone, Debug)]
pub struct SentRequest {
    pub at: Duration,
    pub machine: u8,
    pub request: String,
    pub path: String,
    pub note: &'static str,
    /// Status of the answer; 0 without one.
    pub status: u16,
    pub body: String,
}

pub type Sent = Arc<Mutex<Vec<SentRequest>>>;

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// Returns a request id that was not used before.
pub fn new_id() -> String {
    format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::Relaxed))
}

impl Fleet {
    /// Starts the store of an installation whose files stand in `folder`.
    pub fn start(folder: PathBuf) -> Result<Fleet, String> {
        let start = Instant::now();
        let store = Store::new(start);
        let net = free_net().ok_or("no free loopback addresses")?;
        let fleet = Fleet {
            start,
            store,
            runs: Runs::default(),
            sent: Sent::default(),
            folder,
            net,
            daemons: Vec::new(),
        };
        let address = fleet.store_address(0);
        fleet
            .store
            .listen(address)
            .map_err(|error| format!("store: {error}"))?;
        Ok(fleet)
    }

    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn ip(&self, machine: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.net, 1, machine))
    }

    /// Address of the store; it may be moved to the address of another number.
    pub fn store_address(&self, number: u8) -> SocketAddr {
        let ip = Ipv4Addr::new(127, self.net, 200, 1 + number);
        SocketAddr::new(IpAddr::V4(ip), STORE_PORT)
    }

    pub fn outbound(&self, machine: u8) -> SocketAddr {
        SocketAddr::new(self.ip(machine), 8141)
    }

    fn admin(&self, machine: u8) -> SocketAddr {
        SocketAddr::new(self.ip(machine), 8146)
    }

    /// Starts a daemon, and its endpoint beside it.
    pub fn add(&mut self, machine: &Machine, is_first: bool) -> Result<Endpoint, String> {
        self.write_settings(machine, is_first, self.store_address(0))?;
        let number = machine.number;
        self.spawn(number)?;
        let spec = EndpointSpec {
            id: format!("i-{}-{number}", machine.version),
            service: machine.service.clone(),
            version: machine.version.clone(),
            zone: machine.zone.into(),
            address: SocketAddr::new(self.ip(number), 8147),
            admin: self.admin(number),
            work: Duration::from_millis(20),
            failing: machine.failing,
        };
        let endpoint = Endpoint::start(spec, Arc::clone(&self.runs), self.start);
        endpoint.map_err(|error| format!("endpoint: {error}"))
    }

    fn spawn(&mut self, number: u8) -> Result<(), String> {
        let mut options = fs::OpenOptions::new();
        let path = self.folder.join(format!("daemon-{number}.log"));
        let log = options.create(true).append(true).open(path);
        let log = log.map_err(|error| error.to_string())?;
        let child = Command::new("target/release/coltsfootweird")
            .args(["sidecar", "--metrics-port", &METRICS_PORT.to_string()])
            .env("COLTSFOOTWEIR_SETTINGS", self.settings_path(number))
            .stdin(Stdio::null())
            .stderr(log.try_clone().map_err(|error| error.to_string())?)
            .stdout(log)
            .spawn()
            .map_err(|error| format!("daemon: {error}"))?;
        self.daemons.push((number, child));
        Ok(())
    }

    /// Kills the daemon of a machine.
    pub fn kill(&mut self, machine: u8) {
        let index = self
            .daemons
            .iter()
            .position(|(number, _)| *number == machine);
        if let Some(index) = index {
            let (_, mut child) = self.daemons.remove(index);
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Starts the daemon of a machine again. Its endpoint has gone on.
    pub fn start_again(&mut self, machine: &Machine) -> Result<(), String> {
        self.write_settings(machine, false, self.store_address(0))?;
        self.spawn(machine.number)
    }

    fn settings_path(&self, machine: u8) -> PathBuf {
        self.folder.join(format!("settings-{machine}.toml"))
    }

    /// Writes the settings file of a machine, like those that the platform writes.
    pub fn write_settings(
        &self,
        machine: &Machine,
        is_first: bool,
        store: SocketAddr,
    ) -> Result<(), String> {
        let ip = self.ip(machine.number);
        let (number, zone, service) = (machine.number, machine.zone, &machine.service);
        let text = format!(
            "[self]\nnode_id = \"sidecar-{zone}-{number}\"\nrole = \"coltsfootweird\"\n\
             node_class = \"sidecar\"\nserves = [\"sidecar\"]\nip = \"{ip}\"\nzone = \"{zone}\"\n\
             region = \"r1\"\nin_fault_budget = false\nbootstrap = {is_first}\n\
             local_app = \"{ip}:8147\"\nservice = \"{service}\"\n\
             [self.limits]\ncpu_share = 0.2\ncores = 1\nmemory_mb = 260\nmax_fds = 4100\n\
             link_mbps = 1000.0\ndisk_mb = 0\n\
             [network]\nport_range = [7660,7675]\nseeds = []\n\
             [network.listen]\ninbound = \"{ip}:8145\"\noutbound = \"{ip}:8141\"\n\
             ready = \"{ip}:8140\"\nadmin = \"{ip}:8146\"\n\
             [network.zones]\nza = \"r1\"\nzb = \"r1\"\n\
             [platform]\ndiscovery = \"static\"\nentry = \"static\"\nheartbeat_ms = 1500\n\
             [platform.platform]\naddress = \"{store}\"\nform = \"table\"\nwrite_ops_s = 400\n\
             read_ops_s = 2000\ntx_ms = 5.0\npart_writes_s = 200\nrow_bytes = 65536\n\
             across = false\nhistory_s = 20\nblob_bytes = 8388608\nblob_ms = 25.0\n\
             blob_mb_s = 80.0\n\
             [terms]\ncontracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\
             \"rollout\",\"platform\"]\n\
             [terms.fault_tolerance]\nmachines = 2\nzones = 0\nregions = 0\n\
             [terms.bounds]\nseed_lag_s = 3\nreuse_after_s = 2\nstability_ms = 4000\n\
             ack_ms = 4000\ncatch_up_s = 4\ndrain_ms = 2500\ngrace_s = 6\nloss_slack_ms = 200\n\
             config_apply_ms = 2500\ndowngrade_ms = 250\nmax_skew_ms = 5000\nretry_budget = 0.2\n\
             budget_window_s = 10\nbudget_slack = 60\ncanary_share = 0.1\ncanary_slack = 50\n\
             rollback_ms = 5000\nrecover_s = 15\n"
        );
        // Replaced at once, so that no daemon reads a part of it.
        let path = self.settings_path(number);
        let new = path.with_extension("new");
        fs::write(&new, text).map_err(|error| error.to_string())?;
        fs::rename(new, path).map_err(|error| error.to_string())
    }

    /// Sends a signal to the daemon of a machine.
    pub fn signal(&self, machine: u8, signal: &str) {
        let daemon = self.daemons.iter().find(|(number, _)| *number == machine);
        if let Some((_, child)) = daemon {
            // The shell's own `kill`; the program of that name may be missing.
            let _ = Command::new("sh")
                .args(["-c", &format!("kill -{signal} {}", child.id())])
                .status();
        }
    }

    /// Returns whether the daemon of a machine answers that it is ready.
    pub fn is_ready(&self, machine: u8) -> bool {
        let address = SocketAddr::new(self.ip(machine), 8140);
        let ask = || {
            let mut connection = Connection::open(address, Duration::from_secs(1)).ok()?;
            let headers = format!("Host: {address}\r\n");
            connection
                .write("GET /coltsfootweir/ready HTTP/1.1", &headers, b"")
                .ok()?;
            Some(connection.read()?.status() == 200)
        };
        ask().unwrap_or(false)
    }

    /// Waits until the daemons of all machines are ready.
    pub fn await_ready(&self, machines: &[u8]) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(20);
        while !machines.iter().all(|machine| self.is_ready(*machine)) {
            if Instant::now() > until {
                return Err("the daemons are not ready".into());
            }
            thread::sleep(Duration::from_millis(200));
        }
        Ok(())
    }

    pub fn sleep_until(&self, at: Duration) {
        thread::sleep(at.saturating_sub(self.now()));
    }

    /// Sends requests from a machine on one kept connection until `is_over`, one each `pause`.
    pub fn client(&self, machine: u8, path: &str, pause: Duration, is_over: &Arc<AtomicBool>) {
        let (start, sent) = (self.start, Arc::clone(&self.sent));
        let (address, path) = (self.outbound(machine), path.to_owned());
        let is_over = Arc::clone(is_over);
        thread::spawn(move || {
            let mut client = KeptClient::new(start, sent, machine, address);
            while !is_over.load(Ordering::Relaxed) {
                let begun = Instant::now();
                client.get(&path, "", "");
                thread::sleep(pause.saturating_sub(begun.elapsed()));
            }
        });
    }

    /// Ends the daemons.
    pub fn end(&mut self) {
        for (_, child) in &mut self.daemons {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.daemons.clear();
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.end();
    }
}

/// A client that keeps its connection open.
pub struct KeptClient {
    start: Instant,
    sent: Sent,
    machine: u8,
    address: SocketAddr,
    connection: Option<Connection>,
    /// Number of connections opened.
    pub opened: u32,
}

impl KeptClient {
    pub fn new(start: Instant, sent: Sent, machine: u8, address: SocketAddr) -> KeptClient {
        KeptClient {
            start,
            sent,
            machine,
            address,
            connection: None,
            opened: 0,
        }
    }

    /// Sends a request that is never sent again. Returns the status of the answer, 0 without one.
    pub fn get(&mut self, path: &str, headers: &str, note: &'static str) -> u16 {
        let (at, request) = (self.start.elapsed(), new_id());
        let answer = self.exchange(path, headers, &request);
        let (status, body) = match &answer {
            Some((status, body)) => (*status, body.clone()),
            None => (0, String::new()),
        };
        self.sent.lock().expect("no panic").push(SentRequest {
            at,
            machine: self.machine,
            request,
            path: path.into(),
            note,
            status,
            body,
        });
        status
    }

    /// Sends a request and closes the connection after a time if there is no answer yet.
    pub fn get_or_leave(&mut self, path: &str, time: Duration, note: &'static str) -> u16 {
        if let Ok(connection) = Connection::open(self.address, Duration::from_secs(2)) {
            let _ = connection.stream.set_read_timeout(Some(time));
            self.connection = Some(connection);
        }
        let status = self.get(path, "", note);
        self.connection = None;
        status
    }

    fn exchange(&mut self, path: &str, headers: &str, request: &str) -> Option<(u16, String)> {
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => {
                self.opened += 1;
                Connection::open(self.address, Duration::from_secs(2)).ok()?
            }
        };
        let headers =
            format!("Host: shop.example\r\nRequest-Id: {request}\r\nTimeout-Ms: 800\r\n{headers}");
        let first = format!("GET {path} HTTP/1.1");
        connection.write(&first, &headers, b"").ok()?;
        let answer = connection.read()?;
        let body = String::from_utf8_lossy(&answer.body).into_owned();
        if !answer.closes() {
            self.connection = Some(connection);
        }
        Some((answer.status(), body))
    }
}

/// Returns the second number of loopback addresses of which none is in use.
fn free_net() -> Option<u8> {
    let seed = std::process::id();
    (0..100)
        .map(|step| 20 + ((seed + step * 7) % 200) as u8)
        .find(|net| {
            let ports = [8140, 8141, 8145, 8146, 8147, METRICS_PORT];
            let is_free = |ip: Ipv4Addr, port: u16| TcpListener::bind((ip, port)).is_ok();
            is_free(Ipv4Addr::new(127, *net, 200, 1), STORE_PORT)
                && (1..13).all(|last| {
                    ports
                        .iter()
                        .all(|port| is_free(Ipv4Addr::new(127, *net, 1, last), *port))
                })
        })
}

/// A route of the configuration.
pub struct Route<'a> {
    pub prefix: &'a str,
    pub service: &'a str,
}

/// Returns the text of a configuration.
pub fn config(version: u32, routes: &[Route<'_>], max_header_bytes: u32) -> String {
    let mut texts = Vec::new();
    let mut services: Vec<&str> = Vec::new();
    for route in routes {
        let (prefix, service) = (route.prefix, route.service);
        let name = prefix.trim_matches('/');
        texts.push(format!(
            "{{\"name\":\"r-{name}\",\"authority\":\"shop.example\",\"prefix\":\"{prefix}\",\
             \"kind\":\"idempotent\",\"timeout_ms\":800,\"target_latency_ms\":300,\"priority\":2,\
             \"service\":\"{service}\",\"attempts\":2}}"
        ));
        if !services.contains(&service) {
            services.push(service);
        }
    }
    let services: Vec<_> = services
        .iter()
        .map(|service| {
            format!(
                "{{\"name\":\"{service}\",\"health_path\":\"/health\",\"max_connections\":120,\
                 \"protocol\":\"h1\",\"tls\":false}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":\"{version:08x}\",\"routes\":[{}],\"services\":[{}],\
         \"limits\":{{\"max_header_bytes\":{max_header_bytes},\"max_body_bytes\":67108864,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        texts.join(","),
        services.join(",")
    )
}
