//! The upstream stand-in as a process; it exits with code 3 when it crashes on demand.

use std::io::Write;
use std::io::stdout;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use clap::Parser;
use standins::upstream::UpstreamServer;
use standins::upstream_next::NextService;
use standins::upstream_settings::UpstreamSettings;

/// Exit code after a crash on demand.
const CRASH_EXIT_CODE: u8 = 3;

/// An upstream with slots, connection cost, cold start and faults, over HTTP.
#[derive(Parser)]
struct UpstreamFlags {
    /// Address to listen on; port 0 takes a free port.
    #[arg(long, env = "STANDIN_UPSTREAM_LISTEN", default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Control address of the daemon beside it.
    #[arg(long, env = "STANDIN_UPSTREAM_DAEMON")]
    daemon: Option<SocketAddr>,
    /// Service it runs.
    #[arg(long, env = "STANDIN_UPSTREAM_SERVICE", default_value = "stalls")]
    service: Box<str>,
    /// Version it runs.
    #[arg(long, env = "STANDIN_UPSTREAM_VERSION", default_value = "v1")]
    version: Box<str>,
    /// Requests it runs at once.
    #[arg(long, env = "STANDIN_UPSTREAM_SLOTS", default_value_t = 9)]
    slots: u16,
    /// Have requests wait for a slot without limit, and run them also when their caller has hung up.
    #[arg(long, env = "STANDIN_UPSTREAM_QUEUE_ALL")]
    queue_all: bool,
    /// Connections it holds at once.
    #[arg(long, env = "STANDIN_UPSTREAM_CONNECTION_LIMIT", default_value_t = 120)]
    connection_limit: u32,
    /// Time of work for one request, microseconds.
    #[arg(long, env = "STANDIN_UPSTREAM_WORK_US", default_value_t = 2000)]
    work_us: u64,
    /// Largest random part added to or taken from the work, percent.
    #[arg(
        long,
        env = "STANDIN_UPSTREAM_WORK_JITTER_PERCENT",
        default_value_t = 0
    )]
    work_jitter_percent: u8,
    /// Time of slower work after the start, milliseconds.
    #[arg(long, env = "STANDIN_UPSTREAM_COLD_START_MS", default_value_t = 0)]
    cold_start_ms: u64,
    /// Address at which it calls the next service of a chain within each request.
    #[arg(long, env = "STANDIN_UPSTREAM_NEXT")]
    next: Option<SocketAddr>,
    /// Path of that call.
    #[arg(long, env = "STANDIN_UPSTREAM_NEXT_PATH", default_value = "/")]
    next_path: Box<str>,
    /// Times it is called until an answer is good.
    #[arg(long, env = "STANDIN_UPSTREAM_NEXT_ATTEMPTS", default_value_t = 1)]
    next_attempts: u32,
    /// Seed of the random choices.
    #[arg(long, env = "STANDIN_UPSTREAM_SEED", default_value_t = 0)]
    seed: u64,
    /// Faults shown from the start, JSON.
    #[arg(long, env = "STANDIN_UPSTREAM_FAULTS", default_value = "{}")]
    faults: Box<str>,
}

fn main() -> ExitCode {
    let flags = UpstreamFlags::parse();
    let settings = match read_settings(flags) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("faults not understood: {error}");
            return ExitCode::FAILURE;
        }
    };
    let server = match UpstreamServer::start(settings) {
        Ok(server) => server,
        Err(report) => {
            eprintln!("{report:?}");
            return ExitCode::FAILURE;
        }
    };
    println!("listening on {}", server.address());
    let _ = stdout().flush();
    server.wait_end();
    ExitCode::from(CRASH_EXIT_CODE)
}

fn read_settings(flags: UpstreamFlags) -> Result<UpstreamSettings, serde_json::Error> {
    let mut settings = UpstreamSettings::new(flags.service, flags.version);
    settings.listen = flags.listen;
    settings.daemon = flags.daemon;
    settings.slots = flags.slots;
    settings.queues_all = flags.queue_all;
    settings.connection_limit = flags.connection_limit;
    settings.work = Duration::from_micros(flags.work_us);
    settings.work_jitter_percent = flags.work_jitter_percent;
    settings.cold_start = Duration::from_millis(flags.cold_start_ms);
    let (path, attempts) = (flags.next_path, flags.next_attempts);
    settings.next = flags.next.map(|address| NextService {
        address,
        path,
        attempts,
    });
    settings.seed = flags.seed;
    settings.faults = serde_json::from_str(&flags.faults)?;
    Ok(settings)
}
