//! Large request bodies, which the receiving daemon grants piece by piece.
//!
//! The scarce resource is the link of the receiver's VM, which no sender knows. The daemon beside the
//! endpoint therefore decides which body may send how many bytes, and refuses those that can't be
//! received and run in time.

pub mod body_intake;
pub mod body_memory;
pub mod grant_schedule;
pub mod load_reports;
pub mod receive_load;
pub mod upload_times;
