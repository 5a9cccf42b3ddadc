//! The upstream stand-in as a process.

fn main() {}
