//! Settings of the daemon: flags and environment variables, checked together at the start.

use std::fmt;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::str::FromStr;
use std::time::Duration;

use clap::Args;
use log::LevelFilter;

use crate::claim_row::ClaimLayout;
use crate::ids::RegionName;
use crate::ids::ZoneName;
use crate::key_age::MAX_KEY_AGE;

/// Longest region or availability zone name, in bytes.
const NAME_LIMIT: usize = 64;

/// Settings as written; [`DaemonArgs::check`] turns them into [`DaemonSettings`].
#[derive(Args, Clone, Debug)]
pub struct DaemonArgs {
    /// Address of the control port, IP:PORT; also the daemon's identity
    #[arg(long, env = "COLTSFOOTWEIR_CONTROL", default_value = "127.0.0.1:0")]
    pub control: String,
    /// Address that takes calls, IP:PORT
    #[arg(long, env = "COLTSFOOTWEIR_CALLS", default_value = "127.0.0.1:0")]
    pub calls: String,
    /// Region the VM stands in
    #[arg(
        long,
        env = "COLTSFOOTWEIR_REGION",
        default_value = "",
        hide_default_value = true
    )]
    pub region: String,
    /// Availability zone the VM stands in
    #[arg(
        long,
        env = "COLTSFOOTWEIR_ZONE",
        default_value = "",
        hide_default_value = true
    )]
    pub zone: String,
    /// Address of the platform, IP:PORT
    #[arg(
        long,
        env = "COLTSFOOTWEIR_PLATFORM",
        default_value = "",
        hide_default_value = true
    )]
    pub platform: String,
    /// Region the platform's store stands in
    #[arg(
        long,
        env = "COLTSFOOTWEIR_STORE_REGION",
        default_value = "",
        hide_default_value = true
    )]
    pub store_region: String,
    /// Control addresses of daemons to join, separated by commas
    #[arg(long, env = "COLTSFOOTWEIR_SEEDS", default_value = "")]
    pub seeds: String,
    /// Address of a statsd server for metrics, IP:PORT; none when empty
    #[arg(long, env = "COLTSFOOTWEIR_STATSD", default_value = "")]
    pub statsd: String,
    /// Log level: off, error, warn, info, debug or trace
    #[arg(long, env = "COLTSFOOTWEIR_LOG", default_value = "info")]
    pub log: String,
    /// Longest time a planned stop waits for running requests, such as 30s
    #[arg(long, env = "COLTSFOOTWEIR_DRAIN_LIMIT", default_value = "30s")]
    pub drain_limit: String,
    /// Requests that may wait for a slot of the upstream
    #[arg(long, env = "COLTSFOOTWEIR_QUEUE_LIMIT", default_value = "18")]
    pub queue_limit: String,
    /// Longest time between the bytes of a request's head or body, such as 5s
    #[arg(long, env = "COLTSFOOTWEIR_READ_TIMEOUT", default_value = "5s")]
    pub read_timeout: String,
    /// Shortest time at a step of a move, such as 6s
    #[arg(long, env = "COLTSFOOTWEIR_MOVE_DWELL", default_value = "6s")]
    pub move_dwell: String,
    /// Time after the last step of a move in which late faults are watched for, such as 30s
    #[arg(long, env = "COLTSFOOTWEIR_MOVE_SETTLE", default_value = "30s")]
    pub move_settle: String,
    /// Longest age at which a caller's key that carries its time is taken, such as 24h; 24h at most
    #[arg(long, env = "COLTSFOOTWEIR_KEY_AGE_LIMIT", default_value = "24h")]
    pub key_age_limit: String,
    /// Rows that claim a key that carries its time: both, or timed when no daemon of an earlier
    /// build runs
    #[arg(long, env = "COLTSFOOTWEIR_CLAIM_LAYOUT", default_value = "both")]
    pub claim_layout: String,
}

/// A setting that cannot be used.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SettingFault {
    /// Flag of the setting.
    pub flag: &'static str,
    /// What was given.
    pub given: Box<str>,
    /// What is wanted.
    pub wanted: &'static str,
}

impl fmt::Display for SettingFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "--{}: {:?} is not {}",
            self.flag, self.given, self.wanted
        )
    }
}

/// Every fault of the settings.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SettingsError {
    /// The faults, in the order of the flags.
    pub faults: Vec<SettingFault>,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("settings refused")?;
        for fault in &self.faults {
            write!(f, "\n  {fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsError {}

/// Checked settings of a daemon.
#[derive(Clone, Debug)]
pub struct DaemonSettings {
    /// Address of the control port.
    pub control: SocketAddr,
    /// Address that takes calls.
    pub calls: SocketAddr,
    /// Region of the VM.
    pub region: RegionName,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Region of the platform's store.
    pub store_region: RegionName,
    /// Control addresses of daemons to join.
    pub seeds: Vec<SocketAddr>,
    /// Address of a statsd server.
    pub statsd: Option<SocketAddr>,
    /// Log level.
    pub log: LevelFilter,
    /// Longest time a planned stop waits for running requests.
    pub drain_limit: Duration,
    /// Requests that may wait for a slot of the upstream.
    pub queue_limit: usize,
    /// Longest time between the bytes of a request.
    pub read_timeout: Duration,
    /// Shortest time at a step of a move.
    pub move_dwell: Duration,
    /// Time after the last step of a move in which late faults are watched for.
    pub move_settle: Duration,
    /// Longest age at which a caller's key that carries its time is taken.
    pub key_age_limit: Duration,
    /// Rows that claim a key that carries its time.
    pub claim_layout: ClaimLayout,
}

impl DaemonArgs {
    /// Checks every setting.
    ///
    /// # Errors
    /// [`SettingsError`] with all faults.
    pub fn check(&self) -> Result<DaemonSettings, SettingsError> {
        let mut checker = FaultCollector::default();
        let settings = DaemonSettings {
            control: checker.own_address("control", &self.control),
            calls: checker.own_address("calls", &self.calls),
            region: checker.name("region", &self.region),
            zone: checker.name("zone", &self.zone),
            platform: checker.address("platform", &self.platform),
            store_region: checker.name("store-region", &self.store_region),
            seeds: checker.addresses("seeds", &self.seeds),
            statsd: checker.optional_address("statsd", &self.statsd),
            log: checker.parse("log", &self.log, "a log level", LevelFilter::Info),
            drain_limit: checker.duration("drain-limit", &self.drain_limit),
            queue_limit: checker.parse("queue-limit", &self.queue_limit, "a whole number", 0),
            read_timeout: checker.duration("read-timeout", &self.read_timeout),
            move_dwell: checker.duration("move-dwell", &self.move_dwell),
            move_settle: checker.duration("move-settle", &self.move_settle),
            key_age_limit: checker.key_age("key-age-limit", &self.key_age_limit),
            claim_layout: checker.parse(
                "claim-layout",
                &self.claim_layout,
                "both or timed",
                ClaimLayout::Both,
            ),
        };
        if !checker.faults.is_empty() {
            return Err(SettingsError {
                faults: checker.faults,
            });
        }
        Ok(settings)
    }
}

const ADDRESS: &str = "an IPv4 address IP:PORT";

const OWN_ADDRESS: &str = "an IPv4 address IP:PORT that other machines can connect to";

const UNSET: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0);

#[derive(Default)]
struct FaultCollector {
    faults: Vec<SettingFault>,
}

impl FaultCollector {
    fn push(&mut self, flag: &'static str, given: &str, wanted: &'static str) {
        self.faults.push(SettingFault {
            flag,
            given: given.into(),
            wanted,
        });
    }

    fn parse<T: FromStr>(
        &mut self,
        flag: &'static str,
        given: &str,
        wanted: &'static str,
        stand_by: T,
    ) -> T {
        given.parse().unwrap_or_else(|_| {
            self.push(flag, given, wanted);
            stand_by
        })
    }

    fn name(&mut self, flag: &'static str, given: &str) -> Box<str> {
        let valid = |c: char| c.is_alphanumeric() || c == '-' || c == '_' || c == '.';
        if given.is_empty() || given.len() > NAME_LIMIT || !given.chars().all(valid) {
            self.push(flag, given, "a name of letters, digits, '-', '_' or '.'");
        }
        given.into()
    }

    /// An address to listen on, which is announced to other daemons as it stands.
    fn own_address(&mut self, flag: &'static str, given: &str) -> SocketAddr {
        let address = self.address(flag, given);
        if given.parse::<SocketAddrV4>().is_ok() && address.ip().is_unspecified() {
            self.push(flag, given, OWN_ADDRESS);
        }
        address
    }

    /// The client of the control ports and of the platform reaches IPv4 addresses only.
    fn address(&mut self, flag: &'static str, given: &str) -> SocketAddr {
        SocketAddr::V4(self.parse(flag, given, ADDRESS, UNSET))
    }

    fn optional_address(&mut self, flag: &'static str, given: &str) -> Option<SocketAddr> {
        if given.is_empty() {
            return None;
        }
        Some(self.address(flag, given))
    }

    fn addresses(&mut self, flag: &'static str, given: &str) -> Vec<SocketAddr> {
        let mut list = Vec::new();
        for part in given.split(',').map(str::trim) {
            if part.is_empty() {
                continue;
            }
            list.push(self.address(flag, part));
        }
        list
    }

    fn duration(&mut self, flag: &'static str, given: &str) -> Duration {
        match humantime::parse_duration(given) {
            Ok(duration) if !duration.is_zero() => duration,
            _ => {
                self.push(flag, given, "a duration such as 30s");
                Duration::ZERO
            }
        }
    }
    /// A longer age than this would let a key be claimed again after its claim was removed.
    fn key_age(&mut self, flag: &'static str, given: &str) -> Duration {
        match humantime::parse_duration(given) {
            Ok(age) if !age.is_zero() && age <= MAX_KEY_AGE => age,
            _ => {
                self.push(flag, given, "a duration of at most 24h");
                MAX_KEY_AGE
            }
        }
    }
}
