//! The record of a case: what was sent, answered and run.

use std::fs;
use std::path::Path;

use crate::fleet::Fleet;

/// Lines that are written to `record.txt`.
#[derive(Default)]
pub struct Record(Vec<String>);

impl Record {
    pub fn note(&mut self, fleet: &Fleet, line: impl AsRef<str>) {
        let line = format!("{:>6} ms  {}", fleet.now().as_millis(), line.as_ref());
        println!("{line}");
        self.0.push(line);
    }

    /// Writes the notes, the writes of the store, the requests and the runs.
    pub fn write(&self, fleet: &Fleet, path: &Path) -> Result<(), String> {
        let mut lines = self.0.clone();
        lines.push("\nwrites of the store:".into());
        lines.extend(fleet.store.writes());
        lines.push("\nrequests (sent at, machine, id, path, status of the answer):".into());
        for sent in fleet.sent.lock().expect("no panic").iter() {
            lines.push(format!(
                "{} {} {} {} {} {} {}",
                sent.at.as_millis(),
                sent.machine,
                sent.request,
                sent.path,
                sent.status,
                sent.note,
                sent.body
            ));
        }
        lines.push("\nruns (begun at, endpoint, service, version, request, path, status):".into());
        for run in fleet.runs.lock().expect("no panic").iter() {
            lines.push(format!(
                "{} {} {} {} {} {} {}",
                run.at.as_millis(),
                run.endpoint,
                run.service,
                run.version,
                run.request,
                run.path,
                run.status
            ));
        }
        fs::write(path, lines.join("\n") + "\n").map_err(|error| error.to_string())
    }
}
