//! Command line of the operator's program.

use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::time::Duration;

use clap::Args;
use clap::Parser;
use clap::Subcommand;
use clap::ValueEnum;
use coltsfootweir::ids::Generation;
use coltsfootweir::record::ConfigRecord;

use crate::mesh::MeshCommand;
use crate::report::ReportCall;

/// Drives coltsfootweir: writes records and reads back what became of them.
#[derive(Debug, Parser)]
#[command(name = "coltsfootweir", version)]
pub struct OperatorArgs {
    /// Print one JSON object for programs, errors too
    #[arg(long, global = true)]
    pub json: bool,
    /// Longest time one request to the platform or a daemon may take, such as 5s; whole seconds
    #[arg(long, global = true, default_value = "5s", value_parser = humantime::parse_duration)]
    pub timeout: Duration,
    /// What to do
    #[command(subcommand)]
    pub command: OperatorCommand,
}

/// Reads an address; the client reaches IPv4 addresses only.
pub(crate) fn parse_address(text: &str) -> Result<SocketAddr, &'static str> {
    let address: SocketAddrV4 = text.parse().map_err(|_| "not an IPv4 address IP:PORT")?;
    Ok(address.into())
}

/// Where the platform is.
#[derive(Args, Clone, Copy, Debug)]
pub struct PlatformArgs {
    /// Address of the platform, IP:PORT
    #[arg(long, env = "COLTSFOOTWEIR_PLATFORM", value_parser = parse_address)]
    pub platform: SocketAddr,
}

/// A daemon to ask.
#[derive(Args, Clone, Copy, Debug)]
pub struct ViaArgs {
    /// Control address of any daemon, IP:PORT
    #[arg(long, env = "COLTSFOOTWEIR_DAEMON", value_parser = parse_address)]
    pub daemon: SocketAddr,
}

/// A kind of record.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
pub enum KindFilter {
    /// Routes
    Route,
    /// Upstream versions, named SERVICE/VERSION
    UpstreamVersion,
    /// Moves
    Move,
}

impl KindFilter {
    /// Returns whether a record is of this kind.
    #[must_use]
    pub fn matches(self, record: &ConfigRecord) -> bool {
        let kind = match record {
            ConfigRecord::Route(_) => KindFilter::Route,
            ConfigRecord::Version(_) => KindFilter::UpstreamVersion,
            ConfigRecord::Move(_) => KindFilter::Move,
        };
        kind == self
    }
}

/// A command of the operator's program.
#[derive(Debug, Subcommand)]
pub enum OperatorCommand {
    /// Run a whole system in this process: a good move and a bad one
    Demo,
    /// Read what stands in the store of the users' platform
    Mesh {
        /// What to read
        #[command(subcommand)]
        command: MeshCommand,
    },
    /// Check record files without accepting them
    Validate {
        /// Address of the platform, IP:PORT; checks the files against the accepted configuration too
        #[arg(long, value_parser = parse_address)]
        platform: Option<SocketAddr>,
        /// Files of records, JSON; - is standard input
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Accept the records of files, all or none
    Apply {
        /// Where the platform is
        #[command(flatten)]
        platform: PlatformArgs,
        /// Files of records, JSON; - is standard input
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// Wait until every move of the files is done or taken back
        #[arg(long)]
        wait: bool,
        /// Longest time to wait, such as 10m
        #[arg(long, default_value = "1h", value_parser = humantime::parse_duration)]
        wait_limit: Duration,
    },
    /// Take records out of the configuration, all or none
    Remove {
        /// Where the platform is
        #[command(flatten)]
        platform: PlatformArgs,
        /// Records, such as route/stalls or upstream-version/stalls/v1
        #[arg(required = true)]
        labels: Vec<Box<str>>,
    },
    /// Print the accepted records as apply takes them
    Get {
        /// Where the platform is
        #[command(flatten)]
        platform: PlatformArgs,
        /// Only records of this kind
        kind: Option<KindFilter>,
        /// Only the record of this name
        name: Option<Box<str>>,
        /// An earlier configuration instead of the one in force
        #[arg(long)]
        generation: Option<Generation>,
    },
    /// List every move: phase, share, time left, reason
    Moves {
        /// Where the platform is
        #[command(flatten)]
        platform: PlatformArgs,
    },
    /// Print the decisions of a move: what was seen, the rule, the outcome
    Explain {
        /// Where the platform is
        #[command(flatten)]
        platform: PlatformArgs,
        /// Name of the move
        name: Box<str>,
    },
    /// List members and endpoints, as one daemon sees them
    Status {
        /// A daemon to ask
        #[command(flatten)]
        via: ViaArgs,
    },
    /// Report over every live daemon
    Report {
        /// The report
        #[command(subcommand)]
        call: ReportCall,
    },
}
