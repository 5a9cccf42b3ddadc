//! What the store holds of the move of a service.

use coltsfootweir::accept::fetch_snapshot;
use coltsfootweir::accept::read_head;
use coltsfootweir::ids::MemberId;
use coltsfootweir::mover::read_lease;
use coltsfootweir::platform::PlatformStore;
use coltsfootweir::record::MoveRecord;

/// The move to v2 as accepted; `None` while the store is down.
pub fn read_move(store: &dyn PlatformStore, service: &str) -> Option<MoveRecord> {
    let mark = read_head(store).ok()?;
    let snapshot = fetch_snapshot(store, &mark).ok()?;
    snapshot.moves.get(&*format!("{service}-v2")).cloned()
}

/// The member that holds the lease of the move to v2.
pub fn read_holder(store: &dyn PlatformStore, service: &str) -> Option<MemberId> {
    let row = read_lease(store, &format!("{service}-v2")).ok()??;
    row.holder
}
