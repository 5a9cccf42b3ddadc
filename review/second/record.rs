//! What was sent, answered and run, with times, in the record of a case.

use std::fs::File;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

/// The record of a case.
#[derive(Clone)]
pub struct CaseRecord {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl CaseRecord {
    pub fn create(path: &str) -> CaseRecord {
        CaseRecord {
            file: Arc::new(Mutex::new(
                File::create(path).expect("a record can be written"),
            )),
            start: Instant::now(),
        }
    }

    /// Adds a line with the time since the start of the case.
    pub fn line(&self, text: impl AsRef<str>) {
        let ms = self.start.elapsed().as_millis();
        let mut file = self.file.lock().expect("no holder panicked");
        writeln!(file, "{ms:>6} ms  {}", text.as_ref()).expect("a record can be written");
    }
}
