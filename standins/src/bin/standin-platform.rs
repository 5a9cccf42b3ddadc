//! The platform stand-in as a process.

use std::io::Write;
use std::io::stdout;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::thread;

use clap::Parser;
use standins::platform_server::PlatformServer;

/// Table service and object store in memory, over HTTP.
#[derive(Parser)]
struct PlatformFlags {
    /// Address to listen on; port 0 takes a free port.
    #[arg(long, env = "STANDIN_PLATFORM_LISTEN", default_value = "127.0.0.1:0")]
    listen: SocketAddr,
}

fn main() -> ExitCode {
    let flags = PlatformFlags::parse();
    let server = match PlatformServer::start(flags.listen) {
        Ok(server) => server,
        Err(report) => {
            eprintln!("{report:?}");
            return ExitCode::FAILURE;
        }
    };
    println!("listening on {}", server.address());
    let _ = stdout().flush();
    loop {
        thread::park();
    }
}
