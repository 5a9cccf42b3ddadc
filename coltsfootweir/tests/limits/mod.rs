//! Model of daemons that borrow tokens from each other.

pub mod limit_world;
pub mod world_event;
