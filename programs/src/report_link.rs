//! `report link`: bytes on the paid link between regions, by cause and region, with a projection.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use clap::ArgMatches;
use clap::Args;
use clap::Command;
use clap::FromArgMatches;
use coltsfootweir::ids::RegionName;
use coltsfootweir::link::LinkCause;
use coltsfootweir::reports::LinkReport;
use serde_json::Value;
use serde_json::json;

use crate::arguments::ViaArgs;
use crate::failure::CommandFailure;
use crate::fleet::FleetAnswers;
use crate::fleet::ask_fleet;
use crate::output::CommandOutput;
use crate::output::CommandResult;
use crate::report::ReportPlugin;
use crate::report::ReportRegistration;
use crate::text_table::TextTable;

/// Path of a daemon's usage.
const LINK_PATH: &str = "/link";

/// Seconds of a day.
const DAY_SECONDS: f64 = 86_400.0;

/// Days of the month that usage is projected to.
const MONTH_DAYS: f64 = 30.0;

/// Bytes of the gigabyte that the link is paid by.
const GIGABYTE: f64 = 1e9;

#[derive(Args, Debug)]
struct LinkArgs {
    /// A daemon to ask for the member list
    #[command(flatten)]
    via: ViaArgs,
    /// Price of 10^9 bytes; adds the cost of a day and of a month
    #[arg(long, value_parser = parse_price)]
    price_per_gb: Option<f64>,
}

/// Usage of the link summed over daemons.
#[derive(Debug, Default)]
struct LinkSums {
    /// Bytes by cause and by region of the daemon that counted them.
    bytes: BTreeMap<LinkCause, BTreeMap<RegionName, u64>>,
    /// Bytes a day by cause, at each daemon's mean rate since its start.
    day_bytes: BTreeMap<LinkCause, f64>,
    regions: BTreeSet<RegionName>,
}

impl LinkSums {
    fn of(reports: &[LinkReport]) -> LinkSums {
        let mut sums = LinkSums::default();
        for report in reports {
            sums.regions.insert(report.region.clone());
            let seconds = report.seconds.max(1) as f64;
            for usage in &report.usage {
                let cells = sums.bytes.entry(usage.cause).or_default();
                *cells.entry(report.region.clone()).or_default() += usage.link_bytes;
                let day = usage.link_bytes as f64 / seconds * DAY_SECONDS;
                *sums.day_bytes.entry(usage.cause).or_default() += day;
            }
        }
        sums
    }

    fn region_bytes(&self, region: &RegionName) -> u64 {
        let cells = self.bytes.values();
        cells.filter_map(|cells| cells.get(region)).sum()
    }

    fn total(&self) -> u64 {
        self.bytes.values().flat_map(BTreeMap::values).sum()
    }

    fn total_day(&self) -> f64 {
        self.day_bytes.values().sum()
    }
}

struct LinkBill;

inventory::submit! { ReportRegistration { report: &LinkBill } }

impl ReportPlugin for LinkBill {
    fn name(&self) -> &'static str {
        "link"
    }

    fn arguments(&self, command: Command) -> Command {
        LinkArgs::augment_args(command)
            .about("Bytes on the paid link by cause and region, with a projection")
    }

    fn run(&self, matches: &ArgMatches, timeout: Duration) -> CommandResult {
        let arguments = LinkArgs::from_arg_matches(matches)
            .map_err(|error| CommandFailure::refused(error.to_string()))?;
        let fleet = ask_fleet::<LinkReport>(arguments.via.daemon, LINK_PATH, timeout)?;
        let sums = LinkSums::of(&fleet.answers);
        let price = arguments.price_per_gb;
        Ok(CommandOutput::new(
            render_text(&sums, &fleet, price),
            render_json(&sums, &fleet, price),
        ))
    }
}

fn render_text(sums: &LinkSums, fleet: &FleetAnswers<LinkReport>, price: Option<f64>) -> String {
    let mut table = TextTable::new(["CAUSE", "REGION", "BYTES", "BYTES A DAY"]);
    for (cause, cells) in &sums.bytes {
        for (region, bytes) in cells {
            table.push([
                cause_name(*cause),
                region.to_string(),
                bytes.to_string(),
                "".into(),
            ]);
        }
        let total: u64 = cells.values().sum();
        let day = format!("{:.0}", sums.day_bytes[cause]);
        table.push([cause_name(*cause), "all".into(), total.to_string(), day]);
    }
    let day = format!("{:.0}", sums.total_day());
    table.push(["all".into(), "all".into(), sums.total().to_string(), day]);
    let mut text = format!("bytes on the link since each daemon's start\n{table}");
    let (day, month) = (sums.total_day(), sums.total_day() * MONTH_DAYS);
    text.push_str(&format!(
        "at this rate {:.3} GB a day, {:.3} GB in {MONTH_DAYS} days\n",
        day / GIGABYTE,
        month / GIGABYTE
    ));
    if let Some(price) = price {
        text.push_str(&format!(
            "at {price} a GB it costs {:.2} a day, {:.2} in {MONTH_DAYS} days\n",
            day / GIGABYTE * price,
            month / GIGABYTE * price
        ));
    }
    text.push_str(&fleet.coverage_text());
    text
}

fn render_json(sums: &LinkSums, fleet: &FleetAnswers<LinkReport>, price: Option<f64>) -> Value {
    let mut causes = Vec::new();
    for (cause, cells) in &sums.bytes {
        causes.push(json!({
            "cause": cause,
            "bytes": cells.values().sum::<u64>(),
            "regions": cells,
            "bytes_per_day": sums.day_bytes[cause],
        }));
    }
    let mut regions = BTreeMap::new();
    for region in &sums.regions {
        regions.insert(region, sums.region_bytes(region));
    }
    let (day, month) = (sums.total_day(), sums.total_day() * MONTH_DAYS);
    let cost = price.map(
        |price| json!({"per_day": day / GIGABYTE * price, "per_month": month / GIGABYTE * price}),
    );
    json!({
        "bytes": sums.total(),
        "causes": causes,
        "regions": regions,
        "bytes_per_day": day,
        "bytes_per_month": month,
        "cost": cost,
        "answered": fleet.answers.len(),
        "silent": fleet.silent,
    })
}

fn cause_name(cause: LinkCause) -> String {
    json!(cause).as_str().unwrap_or_default().into()
}

fn parse_price(text: &str) -> Result<f64, String> {
    match text.parse::<f64>() {
        Ok(price) if price >= 0.0 && price.is_finite() => Ok(price),
        _ => Err("must be a price of 0 or more, such as 0.02".into()),
    }
}
