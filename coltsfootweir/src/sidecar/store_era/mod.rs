//! Versions of the platform's store, which may come back from a copy and give versions out again.

pub mod era_tracker;
pub mod restore_window;
pub mod store_version;
