//! Limits the rate of requests to cold endpoints.

pub mod warmup_pacer;
pub mod warmup_task;
