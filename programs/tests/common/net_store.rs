//! The platform as one daemon reaches it over the network of the test.

use std::net::SocketAddr;
use std::sync::Arc;

use coltsfootweir::platform::CommitOutcome;
use coltsfootweir::platform::KeyRange;
use coltsfootweir::platform::PlatformError;
use coltsfootweir::platform::PlatformResult;
use coltsfootweir::platform::PlatformStore;
use coltsfootweir::platform::TableRow;
use coltsfootweir::platform::WriteBatch;
use error_stack::Report;

use super::test_net::TestNet;

/// A platform, in memory or over HTTP, that is unavailable while the network keeps it away.
pub struct NetStore {
    pub store: Arc<dyn PlatformStore>,
    pub net: Arc<TestNet>,
    pub region: &'static str,
    pub own: SocketAddr,
}

impl NetStore {
    fn reach(&self) -> PlatformResult<&dyn PlatformStore> {
        if self.net.reaches_store(self.region, self.own) {
            return Ok(&*self.store);
        }
        Err(Report::new(PlatformError::Unavailable))
    }
}

impl PlatformStore for NetStore {
    fn read_row(&self, key: &str) -> PlatformResult<Option<TableRow>> {
        self.reach()?.read_row(key)
    }

    fn list_rows(&self, prefix: &str) -> PlatformResult<Vec<TableRow>> {
        self.reach()?.list_rows(prefix)
    }

    fn list_range(&self, range: &KeyRange) -> PlatformResult<Vec<TableRow>> {
        self.reach()?.list_range(range)
    }

    fn commit(&self, batch: &WriteBatch) -> PlatformResult<CommitOutcome> {
        self.reach()?.commit(batch)
    }

    fn put_object(&self, name: &str, body: &[u8]) -> PlatformResult<()> {
        self.reach()?.put_object(name, body)
    }

    fn get_object(&self, name: &str) -> PlatformResult<Option<Vec<u8>>> {
        self.reach()?.get_object(name)
    }

    fn list_objects(&self, range: &KeyRange) -> PlatformResult<Vec<Box<str>>> {
        self.reach()?.list_objects(range)
    }

    fn delete_object(&self, name: &str) -> PlatformResult<()> {
        self.reach()?.delete_object(name)
    }
}
