//! The parts that the HTTP interfaces of both daemons share: binding, stopping and the operator token.

pub mod operator;
pub mod server;
