//! Asks every live daemon for a report.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use coltsfootweir::ids::MemberId;
use coltsfootweir::ids::RegionName;
use coltsfootweir::ids::ZoneName;
use coltsfootweir::member::MemberEntry;
use coltsfootweir::reports::DaemonStatus;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::daemon_client::ask_daemon;
use crate::failure::CommandFailure;

/// Path of a daemon's standing and member list.
pub const STATUS_PATH: &str = "/status";

/// Daemons that are asked at once.
const ASKED_AT_ONCE: usize = 32;

/// A live daemon that gave no answer.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct SilentDaemon {
    /// Identity of the daemon.
    pub id: MemberId,
    /// Region of the daemon.
    pub region: RegionName,
    /// Availability zone of the daemon.
    pub zone: ZoneName,
    /// What came instead of an answer.
    pub reason: Box<str>,
}

/// Answers of the live daemons.
#[derive(Clone, Debug)]
pub struct FleetAnswers<T> {
    /// The answers, in no order.
    pub answers: Vec<T>,
    /// Live daemons without an answer, in the order of ids.
    pub silent: Vec<SilentDaemon>,
}

impl<T> FleetAnswers<T> {
    /// Returns the lines that say who answered.
    #[must_use]
    pub fn coverage_text(&self) -> String {
        let count = self.answers.len();
        let mut text = format!(
            "{count} of {} live daemons answered\n",
            count + self.silent.len()
        );
        for silent in &self.silent {
            let SilentDaemon {
                id,
                region,
                zone,
                reason,
            } = silent;
            text.push_str(&format!(
                "no answer from {id} ({region}, {zone}): {reason}\n"
            ));
        }
        text
    }
}

/// Asks the daemon at `via` for its member list, then every live daemon on it for `path`.
///
/// # Errors
/// [`CommandFailure::Unavailable`] when the daemon at `via` gave no member list.
pub fn ask_fleet<T: DeserializeOwned + Send>(
    via: SocketAddr,
    path: &str,
    timeout: Duration,
) -> Result<FleetAnswers<T>, CommandFailure> {
    let status: DaemonStatus = ask_daemon(via, STATUS_PATH, timeout)?;
    let (work_sender, work) = flume::unbounded::<MemberEntry>();
    let (sender, results) = flume::unbounded();
    for entry in status.members {
        if entry.state.is_live() {
            let _ = work_sender.send(entry);
        }
    }
    drop(work_sender);
    thread::scope(|scope| {
        for _ in 0..ASKED_AT_ONCE {
            let (work, sender) = (work.clone(), sender.clone());
            scope.spawn(move || {
                for entry in work {
                    let answer = ask_member(&entry, path, timeout);
                    let _ = sender.send((entry, answer));
                }
            });
        }
    });
    drop(sender);
    Ok(sort_answers(results.into_iter()))
}

fn ask_member<T: DeserializeOwned>(
    entry: &MemberEntry,
    path: &str,
    timeout: Duration,
) -> Result<T, CommandFailure> {
    let address: SocketAddr = entry.id.parse().map_err(|_| {
        CommandFailure::Unavailable(format!("{} is not an address", entry.id).into())
    })?;
    ask_daemon(address, path, timeout)
}

fn sort_answers<T>(
    results: impl Iterator<Item = (MemberEntry, Result<T, CommandFailure>)>,
) -> FleetAnswers<T> {
    let mut fleet = FleetAnswers {
        answers: Vec::new(),
        silent: Vec::new(),
    };
    for (entry, result) in results {
        match result {
            Ok(answer) => fleet.answers.push(answer),
            Err(failure) => fleet.silent.push(SilentDaemon {
                id: entry.id,
                region: entry.region,
                zone: entry.zone,
                reason: reason_of(failure),
            }),
        }
    }
    fleet.silent.sort_by(|a, b| a.id.cmp(&b.id));
    fleet
}

fn reason_of(failure: CommandFailure) -> Box<str> {
    match failure {
        CommandFailure::Unavailable(reason) => reason,
        other => other.to_string().into(),
    }
}
