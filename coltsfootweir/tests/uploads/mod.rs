//! Model of daemons that receive large request bodies.

pub mod receiver_world;
