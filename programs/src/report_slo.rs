//! `report slo`: how fast each route spends its error budget, over every live daemon.

use std::time::Duration;

use clap::ArgMatches;
use clap::Args;
use clap::Command;
use clap::FromArgMatches;
use coltsfootweir::slo::SloLine;
use coltsfootweir::slo::SloReport;
use coltsfootweir::slo::SloWindow;
use serde_json::Value;
use serde_json::json;

use crate::arguments::ViaArgs;
use crate::failure::CommandFailure;
use crate::fleet::ask_fleet;
use crate::output::CommandOutput;
use crate::output::CommandResult;
use crate::report::ReportPlugin;
use crate::report::ReportRegistration;
use crate::text_table::TextTable;

/// Path of a daemon's counts.
const SLO_PATH: &str = "/slo";

#[derive(Args, Debug)]
struct SloArgs {
    /// A daemon to ask for the member list
    #[command(flatten)]
    via: ViaArgs,
    /// Percent of calls that must succeed, above 0 and below 100
    #[arg(long, default_value = "99.9", value_parser = parse_target)]
    target: f64,
}

struct SloBurn;

inventory::submit! { ReportRegistration { report: &SloBurn } }

impl ReportPlugin for SloBurn {
    fn name(&self) -> &'static str {
        "slo"
    }

    fn arguments(&self, command: Command) -> Command {
        SloArgs::augment_args(command)
            .about("Calls, failures and burn of the error budget by service and route")
    }

    fn run(&self, matches: &ArgMatches, timeout: Duration) -> CommandResult {
        let arguments = SloArgs::from_arg_matches(matches)
            .map_err(|error| CommandFailure::refused(error.to_string()))?;
        let fleet = ask_fleet::<SloReport>(arguments.via.daemon, SLO_PATH, timeout)?;
        let mut merged = SloReport::default();
        for report in &fleet.answers {
            merged.merge(report);
        }
        let target = arguments.target;
        let text = format!(
            "target {target}% of calls; burn 1.0 spends the error budget exactly\n{}{}",
            render_lines(&merged, target),
            fleet.coverage_text()
        );
        let routes: Vec<Value> = merged
            .lines
            .iter()
            .map(|line| line_json(line, target))
            .collect();
        let json = json!({
            "target": target,
            "answered": fleet.answers.len(),
            "silent": fleet.silent,
            "routes": routes,
        });
        Ok(CommandOutput::new(text, json))
    }
}

fn render_lines(report: &SloReport, target: f64) -> TextTable<6> {
    let mut table = TextTable::new(["SERVICE", "ROUTE", "WINDOW", "CALLS", "FAILURES", "BURN"]);
    for line in &report.lines {
        table.push([
            line.service.to_string(),
            line.route.to_string(),
            window_name(line.window).to_string(),
            line.counts.calls.to_string(),
            line.counts.failures.to_string(),
            format!("{:.1}", burn_rate(line, target)),
        ]);
    }
    table
}

fn line_json(line: &SloLine, target: f64) -> Value {
    json!({
        "service": line.service,
        "route": line.route,
        "window": window_name(line.window),
        "calls": line.counts.calls,
        "failures": line.counts.failures,
        "burn": burn_rate(line, target),
    })
}

fn burn_rate(line: &SloLine, target: f64) -> f64 {
    line.counts.burn_rate(target / 100.0)
}

fn window_name(window: SloWindow) -> &'static str {
    match window {
        SloWindow::FiveMinutes => "5m",
        SloWindow::OneHour => "1h",
        SloWindow::SixHours => "6h",
    }
}

fn parse_target(text: &str) -> Result<f64, String> {
    match text.trim_end_matches('%').parse::<f64>() {
        Ok(target) if target > 0.0 && target < 100.0 => Ok(target),
        _ => Err("must be a percent above 0 and below 100, such as 99.9".into()),
    }
}
