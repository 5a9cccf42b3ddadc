//! Hedged requests: a second attempt at another endpoint while the answer of the first is overdue.

pub mod answer_times;
pub mod hedge_limit;
pub mod hedge_policy;
