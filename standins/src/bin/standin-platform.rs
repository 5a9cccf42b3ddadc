//! The platform stand-in as a process.

fn main() {}
