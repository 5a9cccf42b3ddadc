//! Daemons as the platform starts them, each on a loopback address of its own.

use std::fs;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::endpoint::EndpointState;
use crate::endpoint::EndpointWork;
use crate::endpoint::HEARTBEAT;
use crate::endpoint::start_endpoint;
use crate::http::call;
use crate::record::CaseRecord;
use crate::store::RowStore;

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

/// Program and arguments of the role in the deploy file.
const PROGRAM: &str = "target/release/coltsfootweird";
const ARGUMENTS: [&str; 3] = ["sidecar", "--metrics-port", "9464"];

pub const SIGTERM: i32 = 15;

/// Where a daemon stands, and what its endpoint runs.
#[derive(Clone, Copy)]
pub struct Place {
    pub zone: &'static str,
    pub region: &'static str,
    pub service: &'static str,
}

/// A daemon and the endpoint beside it.
pub struct FleetMachine {
    pub name: String,
    pub outbound: SocketAddr,
    pub ready: SocketAddr,
    pub admin: SocketAddr,
    pub endpoint: Arc<EndpointState>,
    settings: PathBuf,
    child: Child,
}

/// Daemons, their endpoints and the store.
pub struct Fleet {
    pub store: RowStore,
    pub machines: Vec<FleetMachine>,
    pub record: CaseRecord,
    folder: PathBuf,
}

impl Fleet {
    /// Starts the daemons of a deployment and waits until all of them serve.
    pub fn start(
        record: &CaseRecord,
        places: &[Place],
        config: &str,
        link_mbps: f64,
        work: &EndpointWork,
    ) -> Result<Fleet, String> {
        let seed = std::process::id();
        let folder = std::env::temp_dir().join(format!("coltsfootweir-case-{seed}"));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let ip =
            |number: usize| format!("127.{}.{}.{}", 64 + seed / 250 % 64, seed % 250 + 1, number);
        let store = RowStore::start(&ip(1));
        store.put("op", "config", config);
        let mut fleet = Fleet {
            store,
            machines: Vec::new(),
            record: record.clone(),
            folder,
        };
        for (index, place) in places.iter().enumerate() {
            let machine = fleet.start_machine(index, &ip(index + 10), *place, link_mbps, work)?;
            fleet.machines.push(machine);
        }
        fleet.await_all()?;
        Ok(fleet)
    }

    fn start_machine(
        &self,
        index: usize,
        ip: &str,
        place: Place,
        link_mbps: f64,
        work: &EndpointWork,
    ) -> Result<FleetMachine, String> {
        let bind = || TcpListener::bind((ip, 0)).map_err(|error| error.to_string());
        let listener = bind()?;
        let mut free = Vec::new();
        for _ in 0..4 {
            free.push(bind()?);
        }
        let mut ports = free
            .iter()
            .filter_map(|listener| listener.local_addr().ok());
        let [outbound, inbound, ready, admin] =
            std::array::from_fn(|_| ports.next().expect("four ports"));
        drop(free);
        let local_app = listener.local_addr().map_err(|error| error.to_string())?;
        let name = format!("sidecar-{}-{index}", place.zone);
        let Place {
            zone,
            region,
            service,
        } = place;
        let store = self.store.address;
        let heartbeat_ms = HEARTBEAT.as_millis();
        let text = format!(
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
local_app = "{local_app}"
service = "{service}"
[self.limits]
cpu_share = 0.2
cores = 1
memory_mb = 260
max_fds = 4100
link_mbps = {link_mbps:.1}
disk_mb = 0
[network]
port_range = [7660,7675]
seeds = []
[network.listen]
inbound = "{inbound}"
outbound = "{outbound}"
ready = "{ready}"
admin = "{admin}"
[network.zones]
zaandam = "noord-holland"
gouda = "zuid-holland"
purmerend = "noord-holland"
delft = "zuid-holland"
[platform]
discovery = "static"
entry = "static"
heartbeat_ms = {heartbeat_ms}
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
stability_ms = 4000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2500
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 2500
downgrade_ms = 250
max_skew_ms = 5000
retry_budget = 0.2
budget_window_s = 10
budget_slack = 60
canary_share = 0.1
canary_slack = 50
rollback_ms = 5000
recover_s = 15
"#
        );
        let settings = self.folder.join(format!("{name}.toml"));
        fs::write(&settings, text).map_err(|error| error.to_string())?;
        let child = self.spawn(&name, &settings)?;
        let id = format!("i-{index}");
        let endpoint = start_endpoint(
            listener,
            admin,
            &id,
            service,
            zone,
            &self.record,
            Arc::clone(work),
        );
        Ok(FleetMachine {
            name,
            outbound,
            ready,
            admin,
            endpoint,
            settings,
            child,
        })
    }

    fn spawn(&self, name: &str, settings: &PathBuf) -> Result<Child, String> {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")));
        let log = log.map_err(|error| error.to_string())?;
        let errors = log.try_clone().map_err(|error| error.to_string())?;
        let mut command = Command::new(PROGRAM);
        command.args(ARGUMENTS).env_clear();
        for variable in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(variable) {
                command.env(variable, value);
            }
        }
        command
            .env("COLTSFOOTWEIR_SETTINGS", settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors);
        command
            .spawn()
            .map_err(|error| format!("{PROGRAM}: {error}"))
    }

    fn await_all(&mut self) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(20);
        for machine in &self.machines {
            while !machine.is_ready() {
                if Instant::now() >= until {
                    return Err(format!("{} is not ready", machine.name));
                }
                std::thread::sleep(Duration::from_millis(50));
            }
            self.record
                .line(format!("daemon {} is ready", machine.name));
        }
        // The daemons link to each other within a second or two.
        std::thread::sleep(Duration::from_secs(3));
        Ok(())
    }

    /// Sends a signal to the daemon of a machine.
    pub fn signal(&self, index: usize, signal: i32) {
        let machine = &self.machines[index];
        self.record
            .line(format!("signal {signal} to {}", machine.name));
        // The process was started here and has not been waited for.
        let _ = unsafe { kill(machine.child.id() as i32, signal) };
    }

    /// Kills all daemons at the same moment and starts them again after `pause`.
    pub fn restart_all(&mut self, pause: Duration) -> Result<(), String> {
        for machine in &mut self.machines {
            let killed = machine.child.kill();
            killed.map_err(|error| error.to_string())?;
        }
        for machine in &mut self.machines {
            let _ = machine.child.wait();
        }
        self.record.line("all daemons are killed");
        std::thread::sleep(pause);
        for index in 0..self.machines.len() {
            let machine = &self.machines[index];
            let (name, settings) = (machine.name.clone(), machine.settings.clone());
            let text = fs::read_to_string(&settings).map_err(|error| error.to_string())?;
            let text = text.replace("bootstrap = true", "bootstrap = false");
            fs::write(&settings, text).map_err(|error| error.to_string())?;
            self.machines[index].child = self.spawn(&name, &settings)?;
        }
        self.record.line("all daemons are started again");
        Ok(())
    }

    /// Returns whether the daemon of a machine has ended, without waiting for it.
    pub fn has_ended(&mut self, index: usize) -> bool {
        matches!(self.machines[index].child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Fleet {
    /// Ends the processes that were started and removes their folder.
    fn drop(&mut self) {
        for machine in &mut self.machines {
            let _ = machine.child.kill();
            let _ = machine.child.wait();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl FleetMachine {
    pub fn is_ready(&self) -> bool {
        let limit = Duration::from_secs(1);
        let headers = [("Host", "daemon")];
        let answer = call(
            self.ready,
            "GET",
            "/coltsfootweir/ready",
            &headers,
            &[],
            limit,
        );
        answer.is_some_and(|(head, _)| head.status() == 200)
    }
}

/// A configuration of the operator with routes of these names, kinds and services, each below a prefix
/// of its name.
pub fn config(version: u32, routes: &[(&str, &str, &str)], body_bytes: u64) -> String {
    let mut texts = Vec::new();
    for (name, kind, service) in routes {
        texts.push(format!(
            r#"{{"name":"{name}","authority":"ficu95.example","prefix":"/{name}/","kind":"{kind}","timeout_ms":4000,"target_latency_ms":1200,"priority":1,"attempts":2,"service":"{service}"}}"#
        ));
    }
    format!(
        r#"{{"version":"{version:08x}","routes":[{}],"services":[{{"name":"stalboek"}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":{body_bytes},"header_timeout_ms":5000,"idle_timeout_ms":15000}}}}"#,
        texts.join(",")
    )
}
