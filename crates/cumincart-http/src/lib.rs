//! What both daemons' HTTP interfaces share: binding, stopping and the operators' token.

pub mod operator;
pub mod server;
