//! Daemons as separate processes, each with a loopback address of its own, on one store.

use std::fs;
use std::fs::File;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::endpoint::Endpoint;
use crate::endpoint::EndpointSpec;
use crate::http::CallEnd;
use crate::http::call;
use crate::record::Record;
use crate::region_cut::ProxySide;
use crate::region_cut::RegionCut;
use crate::store::Store;

/// Ports of a machine, as in the example of the settings.
const READY: u16 = 8140;
const OUTBOUND: u16 = 8141;
const STORE: u16 = 8142;
const INBOUND: u16 = 8145;
const ADMIN: u16 = 8146;
const APP: u16 = 8147;
const METRICS: u16 = 9464;
/// Ports of the proxies, in the range for communication between daemons.
const PROXY: u16 = 7661;
const STORE_PROXY: u16 = 7662;

/// Region in which the store stands.
pub const STORE_REGION: &str = "noord-holland";

/// Time between two pings of an endpoint.
pub const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// Bounds of the deployment, in the words of the settings.
pub const STABILITY: Duration = Duration::from_millis(4_000);
pub const DRAIN: Duration = Duration::from_millis(2_500);
pub const CONFIG_APPLY: Duration = Duration::from_millis(2_500);

/// Host of all routes.
pub const HOST: &str = "mesh.example";

pub struct Machine {
    pub name: String,
    pub ip: IpAddr,
    settings: PathBuf,
    /// Address that the daemon gives to others, if they reach it through a proxy.
    advertised: Option<SocketAddr>,
    log: PathBuf,
    child: Mutex<Option<Child>>,
    /// When the process was last started.
    pub started: Mutex<Instant>,
    record: Record,
}

pub struct Fleet {
    pub store: Store,
    pub machines: Vec<Arc<Machine>>,
    pub endpoints: Vec<Endpoint>,
    pub record: Record,
    /// The cut between the regions, if the case has one.
    pub cut: Option<RegionCut>,
    folder: PathBuf,
    net: [u8; 2],
    requests: Requests,
}

/// Sends requests of clients and records them.
#[derive(Clone)]
pub struct Requests {
    record: Record,
    next_id: Arc<AtomicU64>,
}

/// One machine of a fleet.
pub struct MachineSpec<'a> {
    pub zone: &'a str,
    pub region: &'a str,
    pub service: &'a str,
    pub version: &'a str,
    pub capacity: usize,
    pub keeps_running: bool,
}

impl Machine {
    fn address(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip, port)
    }

    pub fn spawn(&self) -> Option<()> {
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.ok()?;
        // The command of the deploy file, with the variables that the platform passes.
        let mut command = Command::new("target/release/coltsfootweird");
        command
            .args(["sidecar", "--metrics-port", &METRICS.to_string()])
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("COLTSFOOTWEIR_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().ok()?)
            .stderr(log);
        if let Some(address) = self.advertised {
            command.env("COLTSFOOTWEIR_ADVERTISED", address.to_string());
        }
        let child = command.spawn().ok()?;
        *self.child.lock().unwrap() = Some(child);
        *self.started.lock().unwrap() = Instant::now();
        self.record.write(&format!("daemon {} starts", self.name));
        Some(())
    }

    /// Returns the address for requests of clients.
    pub fn requests_address(&self) -> SocketAddr {
        self.address(OUTBOUND)
    }

    pub fn pid(&self) -> u32 {
        self.child.lock().unwrap().as_ref().map_or(0, Child::id)
    }

    pub fn kill(&self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record
                .write(&format!("daemon {} is killed", self.name));
        }
    }

    pub fn is_ready(&self) -> bool {
        let limit = Duration::from_millis(500);
        call(
            self.address(READY),
            "GET",
            "/coltsfootweir/ready",
            &[],
            "",
            limit,
        )
        .status()
            == 200
    }
}

impl Fleet {
    /// Starts a store on free loopback addresses.
    pub fn new(record: Record) -> Option<Fleet> {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).ok()?;
        let seed = std::process::id();
        for step in 0..64_u32 {
            let net = [
                64 + ((seed / 200 + step) % 60) as u8,
                (1 + seed % 200) as u8,
            ];
            let ip = |last| IpAddr::V4(Ipv4Addr::new(127, net[0], net[1], last));
            let ports = [
                READY,
                OUTBOUND,
                INBOUND,
                ADMIN,
                APP,
                METRICS,
                PROXY,
                STORE_PROXY,
            ];
            let is_free = (1..16).all(|last| {
                let mut ports = ports.iter();
                ports.all(|port| TcpListener::bind(SocketAddr::new(ip(last), *port)).is_ok())
            });
            if !is_free {
                continue;
            }
            let store = Store::start(SocketAddr::new(ip(200), STORE))?;
            return Some(Fleet {
                store,
                machines: Vec::new(),
                endpoints: Vec::new(),
                cut: None,
                requests: Requests {
                    record: record.clone(),
                    next_id: Arc::default(),
                },
                record,
                folder,
                net,
            });
        }
        None
    }

    /// Adds a machine with a daemon and an endpoint, and starts both.
    pub fn add(&mut self, spec: &MachineSpec<'_>) -> Option<usize> {
        let number = self.machines.len();
        let in_zone = self.machines.iter();
        let prefix = format!("sidecar-{}-", spec.zone);
        let in_zone = in_zone.filter(|machine| machine.name.starts_with(&prefix));
        let name = format!("{prefix}{}", in_zone.count() + 1);
        let ip = IpAddr::V4(Ipv4Addr::new(
            127,
            self.net[0],
            self.net[1],
            number as u8 + 1,
        ));
        let settings = self.folder.join(format!("{name}.toml"));
        let mut store = self.store.address;
        let mut advertised = None;
        if let Some(cut) = &self.cut {
            // Other daemons reach this one through a proxy, and a far region reaches the store through one.
            let proxy = SocketAddr::new(ip, PROXY);
            let inbound = SocketAddr::new(ip, INBOUND);
            cut.add_member(&name, spec.region);
            cut.forward(proxy, inbound, ProxySide::Daemon(spec.region.to_owned()))?;
            advertised = Some(proxy);
            if spec.region != STORE_REGION {
                let proxy = SocketAddr::new(ip, STORE_PROXY);
                cut.forward(proxy, store, ProxySide::Store)?;
                store = proxy;
            }
        }
        fs::write(&settings, self.settings_text(&name, ip, spec, store)).ok()?;
        let machine = Machine {
            advertised,
            log: self.folder.join(format!("{name}.log")),
            settings,
            child: Mutex::new(None),
            started: Mutex::new(Instant::now()),
            record: self.record.clone(),
            name,
            ip,
        };
        machine.spawn()?;
        let endpoint = EndpointSpec {
            id: format!("i-{:08x}", 0x7f3a_91c2_u32 + number as u32),
            service: spec.service.to_owned(),
            version: spec.version.to_owned(),
            zone: spec.zone.to_owned(),
            capacity: spec.capacity,
            address: machine.address(APP),
            admin: machine.address(ADMIN),
            heartbeat: HEARTBEAT,
            keeps_running: spec.keeps_running,
        };
        self.record.write(&format!(
            "endpoint {} of {} {} stands beside {}",
            endpoint.id, spec.service, spec.version, machine.name
        ));
        self.endpoints
            .push(Endpoint::start(endpoint, &self.record)?);
        self.machines.push(Arc::new(machine));
        Some(number)
    }

    fn settings_text(
        &self,
        name: &str,
        ip: IpAddr,
        spec: &MachineSpec<'_>,
        store: SocketAddr,
    ) -> String {
        let MachineSpec {
            zone,
            region,
            service,
            ..
        } = spec;
        format!(
            r#"[self]
node_id = "{name}"
role = "coltsfootweird"
node_class = "sidecar"
serves = ["sidecar"]
ip = "{ip}"
zone = "{zone}"
region = "{region}"
in_fault_budget = false
bootstrap = true
local_app = "{ip}:{APP}"
service = "{service}"
[self.limits]
cpu_share = 0.2
cores = 1
memory_mb = 260
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[network]
port_range = [7660,7675]
seeds = []
[network.listen]
inbound = "{ip}:{INBOUND}"
outbound = "{ip}:{OUTBOUND}"
ready = "{ip}:{READY}"
admin = "{ip}:{ADMIN}"
[network.zones]
{zone} = "{region}"
[platform]
discovery = "static"
entry = "static"
heartbeat_ms = {}
[platform.platform]
address = "{store}"
form = "table"
write_ops_s = 400
read_ops_s = 2000
tx_ms = 5.0
part_writes_s = 200
row_bytes = 65536
across = false
history_s = 20
blob_bytes = 8388608
blob_ms = 25.0
blob_mb_s = 80.0
[terms]
contracts = ["base","drain","config","cost","retry","recover","rollout","platform"]
[terms.fault_tolerance]
machines = 2
zones = 0
regions = 0
[terms.bounds]
seed_lag_s = 3
reuse_after_s = 2
stability_ms = {}
ack_ms = 4000
catch_up_s = 4
drain_ms = {}
grace_s = 6
loss_slack_ms = 200
config_apply_ms = {}
downgrade_ms = 250
max_skew_ms = 5000
retry_budget = 0.2
budget_window_s = 10
budget_slack = 60
canary_share = 0.1
canary_slack = 50
rollback_ms = 5000
recover_s = 15
"#,
            HEARTBEAT.as_millis(),
            STABILITY.as_millis(),
            DRAIN.as_millis(),
            CONFIG_APPLY.as_millis(),
        )
    }

    /// Changes `bootstrap` to false in all settings, as the platform does after the first start.
    pub fn end_bootstrap(&self) {
        for machine in &self.machines {
            if let Ok(text) = fs::read_to_string(&machine.settings) {
                let text = text.replace("bootstrap = true", "bootstrap = false");
                let _ = fs::write(&machine.settings, text);
            }
        }
    }

    /// Writes a configuration with these routes; returns the time of the ack.
    pub fn put_config(&self, version: u32, routes: &[RouteSpec<'_>]) -> Instant {
        let mut list = Vec::new();
        let mut services: Vec<&str> = Vec::new();
        for route in routes {
            list.push(format!(
                r#"{{"name":"{}","authority":"{HOST}","prefix":"{}","kind":"{}","timeout_ms":{},"target_latency_ms":{},"priority":{},"service":"{}","attempts":2}}"#,
                route.name, route.prefix, route.kind, route.timeout_ms, route.target_ms, route.priority, route.service
            ));
            if !services.contains(&route.service) {
                services.push(route.service);
            }
        }
        let services: Vec<String> = services
            .iter()
            .map(|name| format!(r#"{{"name":"{name}","health_path":"/health","max_connections":120,"protocol":"h1","tls":false}}"#))
            .collect();
        let limits = r#"{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}"#;
        let text = format!(
            r#"{{"version":"{version:08x}","routes":[{}],"services":[{}],"limits":{limits}}}"#,
            list.join(","),
            services.join(",")
        );
        let acked = self.store.put("op", "config", &text);
        let what = format!("operator: configuration {version} acked");
        self.record.write_at(acked, &what);
        acked
    }

    /// Waits until all daemons are ready and `path` is served at each.
    pub fn wait_served(&self, path: &str) -> bool {
        let start = Instant::now();
        for machine in &self.machines {
            loop {
                if start.elapsed() > Duration::from_secs(20) {
                    return false;
                }
                if machine.is_ready() && self.get(machine, path, 1_000).status() == 200 {
                    break;
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        true
    }

    /// Sends a GET at a machine.
    pub fn get(&self, machine: &Machine, path: &str, time_left_ms: u64) -> CallEnd {
        let requests = &self.requests;
        requests.send(machine, "GET", path, "", time_left_ms, time_left_ms)
    }

    /// Returns the sender of requests, for use in other threads.
    pub fn requests(&self) -> Requests {
        self.requests.clone()
    }
}

impl Requests {
    /// Sends a request that says `time_left_ms` and whose client leaves after `patience_ms`.
    pub fn send(
        &self,
        machine: &Machine,
        method: &str,
        path: &str,
        body: &str,
        time_left_ms: u64,
        patience_ms: u64,
    ) -> CallEnd {
        self.send_as(machine, method, path, body, time_left_ms, patience_ms)
            .1
    }

    /// Like [`Requests::send`]; returns the request's id, too.
    pub fn send_as(
        &self,
        machine: &Machine,
        method: &str,
        path: &str,
        body: &str,
        time_left_ms: u64,
        patience_ms: u64,
    ) -> (String, CallEnd) {
        let number = self.next_id.fetch_add(1, Ordering::SeqCst);
        let id = format!("r{number:06x}");
        let time_left = time_left_ms.to_string();
        let headers = [
            ("Host", HOST),
            ("Request-Id", id.as_str()),
            ("Timeout-Ms", time_left.as_str()),
        ];
        let what = format!("client at {}: {method} {path} as {id}", machine.name);
        self.record.write(&what);
        let limit = Duration::from_millis(patience_ms);
        let end = call(
            machine.address(OUTBOUND),
            method,
            path,
            &headers,
            body,
            limit,
        );
        self.record
            .write(&format!("client gets for {id}: {}", end.text()));
        (id, end)
    }
}

/// A route of a configuration.
pub struct RouteSpec<'a> {
    pub name: &'a str,
    pub prefix: &'a str,
    pub kind: &'a str,
    pub service: &'a str,
    pub timeout_ms: u32,
    pub target_ms: u32,
    pub priority: u32,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for machine in &self.machines {
            machine.kill();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}
