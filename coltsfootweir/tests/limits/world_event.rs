//! Disturbances of the model.

use coltsfootweir::ids::MemberId;
use proptest::prelude::*;

use super::limit_world::DAEMONS;

/// Disturbances, in ticks since the last one.
#[derive(Clone, Debug)]
pub enum WorldEvent {
    Calm,
    Kill(usize),
    Freeze(usize, u64),
    Leave(usize),
    Cut(usize, u64),
    CutStore(usize, u64),
    /// Reads fail, writes take effect late and without an answer.
    LoseStoreAnswers(usize, u64),
    /// All daemons that lend lose the store, and the others have it. Their writes may take effect late.
    CutHolders(u64, bool),
    /// The daemon believes that it has lost the store.
    DoubtStore(usize, u64),
    LoseAnswers(u64),
    DelayWrites(u64),
}

pub fn world_event() -> impl Strategy<Value = WorldEvent> {
    let daemon = 0..DAEMONS;
    let ticks = 1..1_000_u64;
    prop_oneof![
        daemon.clone().prop_map(WorldEvent::Kill),
        (daemon.clone(), ticks.clone()).prop_map(|(of, time)| WorldEvent::Freeze(of, time)),
        daemon.clone().prop_map(WorldEvent::Leave),
        (daemon.clone(), ticks.clone()).prop_map(|(of, time)| WorldEvent::Cut(of, time)),
        (daemon.clone(), ticks.clone()).prop_map(|(of, time)| WorldEvent::CutStore(of, time)),
        (daemon.clone(), ticks.clone())
            .prop_map(|(of, time)| WorldEvent::LoseStoreAnswers(of, time)),
        (ticks.clone(), any::<bool>())
            .prop_map(|(time, lands)| WorldEvent::CutHolders(time, lands)),
        (daemon, ticks.clone()).prop_map(|(of, time)| WorldEvent::DoubtStore(of, time)),
        ticks.clone().prop_map(WorldEvent::LoseAnswers),
        ticks.prop_map(WorldEvent::DelayWrites),
    ]
}

pub fn name(index: usize) -> MemberId {
    format!("vm-{index}").into()
}
