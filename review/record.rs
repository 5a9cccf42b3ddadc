//! The record of what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Option<Record> {
        Some(Record {
            file: Arc::new(Mutex::new(File::create(path).ok()?)),
            start: Instant::now(),
        })
    }

    pub fn write(&self, what: &str) {
        self.write_at(Instant::now(), what);
    }

    pub fn write_at(&self, at: Instant, what: &str) {
        let seconds = (at - self.start).as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{seconds:8.3} s  {what}");
    }

    /// Seconds since the start of the record.
    pub fn seconds(&self, at: Instant) -> f64 {
        (at - self.start).as_secs_f64()
    }
}
