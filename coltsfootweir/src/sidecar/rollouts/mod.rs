//! The rollouts that a daemon knows, and how it learns of them.

pub mod order_intake;
pub mod rollout_book;
