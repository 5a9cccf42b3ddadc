//! `mesh route`: where a request would go now, as a sidecar explains it.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use clap::Args;
use form_urlencoded::Serializer;
use platform::key_header;
use serde_json::Value;

use crate::arguments::parse_address;
use crate::failure::CommandFailure;
use crate::failure::InputFault;
use crate::output::CommandOutput;
use crate::output::CommandResult;
use crate::text_table::TextTable;

/// The request to explain and the daemon to ask.
#[derive(Args, Clone, Debug)]
pub struct RouteArgs {
    /// Address of a sidecar's readiness or admin port, IP:PORT; it answers only on its own VM
    #[arg(long, value_parser = parse_address)]
    pub daemon: SocketAddr,
    /// Host header of the request
    #[arg(long)]
    pub host: Box<str>,
    /// Path of the request
    #[arg(long)]
    pub path: Box<str>,
    /// File with the API key of the request
    #[arg(long)]
    pub key_file: Option<PathBuf>,
}

/// Asks a sidecar where a request would go.
///
/// # Errors
/// [`CommandFailure::Unavailable`] when the daemon does not answer, [`CommandFailure::Refused`] when it
/// refuses the question or the key file cannot be read.
pub fn explain_route(arguments: &RouteArgs, timeout: Duration) -> CommandResult {
    let daemon = arguments.daemon;
    let unavailable =
        |reason: String| CommandFailure::Unavailable(format!("daemon {daemon}: {reason}").into());
    let mut query = Serializer::new(String::new());
    query.append_pair("host", &arguments.host);
    query.append_pair("path", &arguments.path);
    let mut request = minreq::get(format!("http://{daemon}/explain?{}", query.finish()))
        .with_timeout(timeout.as_millis().div_ceil(1000).max(1) as u64);
    if let Some(file) = &arguments.key_file {
        let (name, value) = key_header(read_key(file)?.trim());
        request = request.with_header(name, value);
    }
    let response = request
        .send()
        .map_err(|error| unavailable(error.to_string()))?;
    match response.status_code {
        200 => {}
        403 => {
            let reason = format!("daemon {daemon} answers only on its own VM");
            return Err(CommandFailure::Refused(vec![InputFault::new(reason)]));
        }
        status => return Err(unavailable(format!("answered {status}"))),
    }
    let explained: Value = serde_json::from_slice(response.as_bytes())
        .map_err(|error| unavailable(error.to_string()))?;
    Ok(CommandOutput::new(explained_text(&explained), explained))
}

fn read_key(file: &Path) -> Result<String, CommandFailure> {
    std::fs::read_to_string(file).map_err(|error| {
        let fault = InputFault::new(error.to_string());
        CommandFailure::Refused(vec![fault.in_file(file.display().to_string())])
    })
}

fn explained_text(explained: &Value) -> String {
    let regions = match explained["allowed_regions"].as_array() {
        Some(regions) => regions.iter().map(cell).collect::<Vec<_>>().join(" "),
        None => "all".to_owned(),
    };
    let mut text = format!(
        "route {}, service {}, team {}, regions {regions}\n",
        cell(&explained["route"]),
        cell(&explained["service"]),
        cell(&explained["team"]),
    );
    let mut table = TextTable::new([
        "daemon", "zone", "version", "link", "load", "run", "report", "wait", "excluded",
    ]);
    for candidate in explained["candidates"].as_array().into_iter().flatten() {
        let excluded = match candidate["is_ejected"] == true {
            true => "ejected".to_owned(),
            false => cell(&candidate["excluded"]),
        };
        table.push([
            cell(&candidate["daemon"]),
            cell(&candidate["zone"]),
            cell(&candidate["version"]),
            cell(&candidate["link"]),
            format!("{}/{}", candidate["load"], candidate["slots"]),
            milliseconds(&candidate["run_ms"]),
            milliseconds(&candidate["report_age_ms"]),
            milliseconds(&candidate["wait_ms"]),
            excluded,
        ]);
    }
    text.push_str(&table.to_string());
    let refusal = &explained["refusal"];
    text.push_str(&match explained["chosen"].as_str() {
        Some(daemon) => format!("goes to {daemon}\n"),
        None if refusal["retry_after_ms"].is_null() => {
            format!("refused: {}\n", cell(&refusal["cause"]))
        }
        None => format!(
            "refused: {}, again after {}\n",
            cell(&refusal["cause"]),
            milliseconds(&refusal["retry_after_ms"])
        ),
    });
    text
}

fn cell(value: &Value) -> String {
    value.as_str().unwrap_or("-").to_owned()
}

fn milliseconds(value: &Value) -> String {
    value
        .as_u64()
        .map_or("-".to_owned(), |count| format!("{count} ms"))
}
