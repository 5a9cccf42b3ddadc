//! Command line of the operator's program.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::Args;
use clap::Parser;
use clap::Subcommand;

/// Drives coltsfootweir: writes records and reads back what became of them.
#[derive(Debug, Parser)]
#[command(name = "coltsfootweir", version)]
pub struct OperatorArgs {
    /// Print JSON for programs
    #[arg(long, global = true)]
    pub json: bool,
    /// What to do
    #[command(subcommand)]
    pub command: OperatorCommand,
}

/// Where the platform is.
#[derive(Args, Clone, Copy, Debug)]
pub struct PlatformArgs {
    /// Address of the platform, IP:PORT
    #[arg(long, env = "COLTSFOOTWEIR_PLATFORM")]
    pub platform: SocketAddr,
}

/// A command of the operator's program.
#[derive(Debug, Subcommand)]
pub enum OperatorCommand {
    /// Run a whole system in this process: a good move and a bad one
    Demo,
    /// Check record files without accepting them
    Validate {
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
        wait_limit: std::time::Duration,
    },
}
