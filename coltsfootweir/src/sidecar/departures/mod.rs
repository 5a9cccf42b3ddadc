//! Departures of endpoints, kept beyond the run of the daemon that acknowledges them: in the
//! platform's store and by other daemons.

pub mod departure_book;
pub mod departure_rows;
pub mod departure_task;
pub mod restart_trust;
