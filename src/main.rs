//! The operators' command `cumincart`.

fn main() {}
