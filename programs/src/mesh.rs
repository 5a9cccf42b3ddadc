//! `mesh`: what stands in the store of the users' platform, and what a sidecar's log says of a request.
//!
//! The operator writes to that store with the platform's own tools; these commands only read.

use std::io;
use std::io::BufRead;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use clap::Args;
use clap::Subcommand;
use coltsfootweir::sidecar::member_table::MemberRecord;
use coltsfootweir::sidecar::mesh_config::MeshConfig;
use coltsfootweir::sidecar::mesh_config::MeshRoute;
use coltsfootweir::sidecar::platform_adapter::OrderRow;
use coltsfootweir::sidecar::platform_adapter::PlatformAdapter;
use coltsfootweir::sidecar::platform_adapter::StoreRow;
use coltsfootweir::sidecar::platform_adapter::StoreTable;
use coltsfootweir::sidecar::rate_limits::limit_lease::LeaseRow;
use coltsfootweir::sidecar::store_client::StoreClient;
use coltsfootweir::sidecar::store_era::store_version::StoreVersion;
use platform::UserPlatform;
use serde_json::Value;
use serde_json::json;

use crate::arguments::parse_address;
use crate::failure::CommandFailure;
use crate::failure::InputFault;
use crate::mesh_route::RouteArgs;
use crate::mesh_route::explain_route;
use crate::output::CommandOutput;
use crate::output::CommandResult;
use crate::text_table::TextTable;

/// Key of the row that holds the configuration, as checked files are read.
const CONFIG_KEY: &str = "config";

/// The store of the users' platform.
#[derive(Args, Clone, Copy, Debug)]
pub struct StoreArgs {
    /// Address of the platform's store, IP:PORT
    #[arg(long, env = "COLTSFOOTWEIR_STORE", value_parser = parse_address)]
    pub store: SocketAddr,
}

/// A command about sidecars on the users' platform.
#[derive(Debug, Subcommand)]
pub enum MeshCommand {
    /// Print the routes of the configuration that stands in the store
    Get {
        /// Where the store is
        #[command(flatten)]
        store: StoreArgs,
        /// Only the route of this name
        name: Option<Box<str>>,
    },
    /// Print the daemons that have a row in the store, the version of the configuration and the evacuated zones
    Status {
        /// Where the store is
        #[command(flatten)]
        store: StoreArgs,
    },
    /// Print the moves of traffic that were ordered, and how each stands
    Moves {
        /// Where the store is
        #[command(flatten)]
        store: StoreArgs,
    },
    /// Print what log lines on standard input say of a request, oldest first
    Explain {
        /// Id of the request
        request: Box<str>,
    },
    /// Print where a request would go now, as a sidecar on this VM explains it; nothing is sent
    Route {
        /// The request and the daemon
        #[command(flatten)]
        route: RouteArgs,
    },
    /// Check a file that is to be written as the configuration
    Validate {
        /// The file, JSON
        file: PathBuf,
    },
}

impl MeshCommand {
    /// Runs the command.
    ///
    /// # Errors
    /// [`CommandFailure::Unavailable`] when the store does not answer, [`CommandFailure::Refused`]
    /// for a file or a name that cannot be used.
    pub fn run(&self, timeout: Duration) -> CommandResult {
        match self {
            MeshCommand::Get { store, name } => {
                let orders = read_table(store.store, StoreTable::Orders, timeout)?;
                get_routes(&orders, name.as_deref())
            }
            MeshCommand::Status { store } => {
                let orders = read_table(store.store, StoreTable::Orders, timeout)?;
                let members = read_table(store.store, StoreTable::Members, timeout)?;
                let leases = read_table(store.store, StoreTable::RateLimits, timeout)?;
                Ok(add_holders(show_members(&orders, &members), &leases))
            }
            MeshCommand::Moves { store } => {
                let orders = read_table(store.store, StoreTable::Orders, timeout)?;
                let reports = read_table(store.store, StoreTable::Reports, timeout)?;
                Ok(list_moves(&orders, &reports))
            }
            MeshCommand::Explain { request } => explain_request(request, io::stdin().lock()),
            MeshCommand::Route { route } => explain_route(route, timeout),
            MeshCommand::Validate { file } => validate_config(file),
        }
    }
}

fn read_table(
    store: SocketAddr,
    table: StoreTable,
    timeout: Duration,
) -> Result<Vec<StoreRow>, CommandFailure> {
    let unavailable = |reason: String| CommandFailure::Unavailable(reason.into());
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| unavailable(error.to_string()))?;
    let client = StoreClient::new(Rc::new(UserPlatform), store);
    let read =
        runtime.block_on(async { tokio::time::timeout(timeout, client.read_all(table)).await });
    match read {
        Ok(Ok(reply)) => Ok(reply.rows),
        Ok(Err(fault)) => Err(unavailable(format!("store {store}: {fault}"))),
        Err(_) => Err(unavailable(format!("store {store}: no answer in time"))),
    }
}

fn find_config(orders: &[StoreRow]) -> Result<Option<MeshConfig>, CommandFailure> {
    for row in orders {
        match UserPlatform.order_row(row) {
            Ok(OrderRow::Config(config)) => return Ok(Some(config)),
            Ok(_) => {}
            Err(error) if &*row.key == CONFIG_KEY => {
                let fault = InputFault::new(error.to_string());
                return Err(CommandFailure::Refused(vec![fault]));
            }
            Err(_) => {}
        }
    }
    Ok(None)
}

fn get_routes(orders: &[StoreRow], name: Option<&str>) -> CommandResult {
    let Some(config) = find_config(orders)? else {
        let fault = InputFault::new("no configuration stands in the store");
        return Err(CommandFailure::Refused(vec![fault]));
    };
    let mut table = TextTable::new([
        "route", "host", "prefix", "services", "kind", "timeout", "rank",
    ]);
    let mut listed = Vec::new();
    for route in config.routes.values() {
        if name.is_some_and(|name| *name != *route.name) {
            continue;
        }
        table.push(route_row(route));
        listed.push(json!(route));
    }
    if let (Some(name), true) = (name, listed.is_empty()) {
        let fault = InputFault::new(format!("no route is named {name}"));
        return Err(CommandFailure::Refused(vec![fault]));
    }
    let json = json!({"version": config.version, "routes": listed, "limits": config.limits});
    let text = format!("version {:08x}\n{table}", config.version);
    Ok(CommandOutput::new(text, json))
}

fn route_row(route: &MeshRoute) -> [String; 7] {
    let mut services = Vec::new();
    for part in &route.parts {
        services.push(match route.parts.len() {
            1 => part.service.to_string(),
            _ => format!("{}:{}", part.service, part.weight),
        });
    }
    let kind = match route.is_repeatable {
        true => "idempotent",
        false => "at most once",
    };
    [
        route.name.to_string(),
        route.host.to_string(),
        route.prefix.to_string(),
        services.join(" "),
        kind.to_owned(),
        format!("{} ms", route.timeout_ms),
        route.rank.to_string(),
    ]
}

fn show_members(orders: &[StoreRow], members: &[StoreRow]) -> CommandOutput {
    let mut table = TextTable::new(["daemon", "region", "zone", "address", "started"]);
    let mut listed = Vec::new();
    let mut notes = String::new();
    for row in members {
        let value = row.value.as_deref().unwrap_or_default();
        let record: MemberRecord = match rmp_serde::from_slice(value) {
            Ok(record) => record,
            Err(error) => {
                notes.push_str(&format!("row {} cannot be read: {error}\n", row.key));
                continue;
            }
        };
        let started = Duration::from_millis(record.incarnation);
        let started = humantime::format_rfc3339_seconds(std::time::UNIX_EPOCH + started);
        table.push([
            record.id.to_string(),
            record.region.to_string(),
            record.zone.to_string(),
            record.address.to_string(),
            started.to_string(),
        ]);
        listed.push(
            json!({"daemon": record.id, "region": record.region, "zone": record.zone,
            "address": record.address, "started": started.to_string()}),
        );
    }
    let version = match find_config(orders) {
        Ok(config) => config.map(|config| config.version),
        Err(failure) => {
            notes.push_str(&format!("{failure}\n"));
            None
        }
    };
    let mut evacuated = Vec::new();
    for row in orders {
        if let Ok(OrderRow::Evacuation { zone, is_active }) = UserPlatform.order_row(row)
            && is_active
        {
            evacuated.push(zone);
        }
    }
    let zones = match evacuated.is_empty() {
        true => String::new(),
        false => format!("evacuated zones: {}\n", evacuated.join(" ")),
    };
    let text = match version {
        Some(version) => format!("configuration {version:08x}\n{zones}{table}"),
        None => format!("no configuration\n{zones}{table}"),
    };
    notes.push_str("a daemon's own state is on its metrics address\n");
    CommandOutput {
        notes,
        ..CommandOutput::new(
            text,
            json!({"configuration": version, "evacuated_zones": evacuated, "daemons": listed}),
        )
    }
}

/// Adds the holders of rate limits, one line for each slot that has had one.
fn add_holders(members: CommandOutput, leases: &[StoreRow]) -> CommandOutput {
    let CommandOutput {
        mut text,
        mut json,
        mut notes,
    } = members;
    let mut table = TextTable::new(["limit slot", "holder", "state"]);
    let mut listed = Vec::new();
    for row in leases {
        let value = row.value.as_deref().unwrap_or_default();
        let lease: LeaseRow = match rmp_serde::from_slice(value) {
            Ok(lease) => lease,
            Err(error) => {
                notes.push_str(&format!("row {} cannot be read: {error}\n", row.key));
                continue;
            }
        };
        let state = match lease.is_released {
            true => "released",
            false => "held",
        };
        table.push([
            row.key.to_string(),
            lease.holder.to_string(),
            state.to_owned(),
        ]);
        listed.push(json!({"slot": row.key, "daemon": lease.holder, "state": state}));
    }
    if !listed.is_empty() {
        text.push_str(&format!("{table}"));
    }
    json["limit_holders"] = listed.into();
    CommandOutput { text, json, notes }
}

fn list_moves(orders: &[StoreRow], reports: &[StoreRow]) -> CommandOutput {
    let mut table = TextTable::new(["service", "to", "time", "state"]);
    let mut listed = Vec::new();
    for row in orders {
        let Ok(OrderRow::Rollout(order)) = UserPlatform.order_row(row) else {
            continue;
        };
        let report = reports.iter().find(|report| report.key == row.key);
        let told = report.filter(|report| report.version > row.version);
        let told = told.and_then(|report| report.value.as_deref());
        let told = told.and_then(|value| UserPlatform.read_report(value));
        let state = told.map_or("not started".to_owned(), |(_, phase)| format!("{phase:?}"));
        let seconds = order.duration.as_secs_f64();
        table.push([
            order.service.to_string(),
            order.version.to_string(),
            format!("{seconds} s"),
            state.clone(),
        ]);
        listed.push(
            json!({"service": order.service, "to": order.version, "seconds": seconds,
            "state": state}),
        );
    }
    CommandOutput::new(table.to_string(), json!({"moves": listed}))
}

fn explain_request(request: &str, input: impl BufRead) -> CommandResult {
    let mut lines: Vec<(String, Value)> = Vec::new();
    for line in input.lines() {
        let unreadable = |error: io::Error| {
            let fault = InputFault::new(format!("standard input: {error}"));
            CommandFailure::Refused(vec![fault])
        };
        let line = line.map_err(unreadable)?;
        // Collectors put text of their own before a line.
        let Some(start) = line.find('{') else {
            continue;
        };
        let Ok(value) = serde_json::from_str::<Value>(&line[start..]) else {
            continue;
        };
        if value["event"]["request"] == request {
            lines.push((line[start..].to_owned(), value));
        }
    }
    if lines.is_empty() {
        let fault = InputFault::new(format!("no line tells of request {request}"));
        return Err(CommandFailure::Refused(vec![fault]));
    }
    lines.sort_by(|one, other| one.1["time"].as_str().cmp(&other.1["time"].as_str()));
    let mut text = String::new();
    let mut listed = Vec::new();
    for (line, value) in lines {
        text.push_str(&line);
        text.push('\n');
        listed.push(value);
    }
    Ok(CommandOutput::new(text, json!({"lines": listed})))
}

fn validate_config(file: &PathBuf) -> CommandResult {
    let name: Box<str> = file.display().to_string().into();
    let refused = |reason: String| {
        let fault = InputFault::new(reason).in_file(name.clone());
        CommandFailure::Refused(vec![fault])
    };
    let value = std::fs::read(file).map_err(|error| refused(error.to_string()))?;
    let row = StoreRow {
        key: CONFIG_KEY.into(),
        value: Some(value),
        version: StoreVersion::default(),
    };
    match UserPlatform.order_row(&row) {
        Ok(OrderRow::Config(config)) => {
            let (version, count) = (config.version, config.routes.len());
            let text = format!("version {version:08x} with {count} routes can be read\n");
            let json = json!({"version": version, "routes": count});
            Ok(CommandOutput::new(text, json))
        }
        Ok(_) => Err(refused("not a configuration".to_owned())),
        Err(error) => Err(refused(error.to_string())),
    }
}
