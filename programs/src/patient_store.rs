//! The platform as a command uses it: operations that are idempotent are sent again when their answer
//! was lost.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use coltsfootweir::http_platform::HttpPlatform;
use coltsfootweir::platform::CommitOutcome;
use coltsfootweir::platform::KeyRange;
use coltsfootweir::platform::PlatformError;
use coltsfootweir::platform::PlatformResult;
use coltsfootweir::platform::PlatformStore;
use coltsfootweir::platform::TableRow;
use coltsfootweir::platform::WriteBatch;

/// Time between two sendings of an operation.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// A platform whose reads and object writes are repeated within the timeout of one operation.
/// Commits are not: the caller settles them by their write id.
pub struct PatientStore {
    inner: HttpPlatform,
    timeout: Duration,
}

impl PatientStore {
    /// Names the platform at `address`; `timeout` bounds each operation.
    #[must_use]
    pub fn new(address: SocketAddr, timeout: Duration) -> PatientStore {
        PatientStore {
            inner: HttpPlatform::new(address, timeout),
            timeout,
        }
    }

    fn repeat<T>(&self, operation: impl Fn() -> PlatformResult<T>) -> PlatformResult<T> {
        let start = Instant::now();
        loop {
            let result = operation();
            let Err(report) = &result else {
                return result;
            };
            let is_lost = *report.current_context() == PlatformError::AnswerLost;
            if !is_lost || start.elapsed() + RETRY_INTERVAL >= self.timeout {
                return result;
            }
            thread::sleep(RETRY_INTERVAL);
        }
    }
}

impl PlatformStore for PatientStore {
    fn read_row(&self, key: &str) -> PlatformResult<Option<TableRow>> {
        self.repeat(|| self.inner.read_row(key))
    }

    fn list_rows(&self, prefix: &str) -> PlatformResult<Vec<TableRow>> {
        self.repeat(|| self.inner.list_rows(prefix))
    }

    fn list_range(&self, range: &KeyRange) -> PlatformResult<Vec<TableRow>> {
        self.repeat(|| self.inner.list_range(range))
    }

    fn commit(&self, batch: &WriteBatch) -> PlatformResult<CommitOutcome> {
        self.inner.commit(batch)
    }

    fn put_object(&self, name: &str, body: &[u8]) -> PlatformResult<()> {
        self.repeat(|| self.inner.put_object(name, body))
    }

    fn get_object(&self, name: &str) -> PlatformResult<Option<Vec<u8>>> {
        self.repeat(|| self.inner.get_object(name))
    }

    fn list_objects(&self, range: &KeyRange) -> PlatformResult<Vec<Box<str>>> {
        self.repeat(|| self.inner.list_objects(range))
    }

    fn delete_object(&self, name: &str) -> PlatformResult<()> {
        self.repeat(|| self.inner.delete_object(name))
    }
}
