//! Interactive client sessions, and the engine that gives them slots and connections at endpoints.
//!
//! [`engine::Engine::spawn`] starts an engine and returns a handle to it; [`session::Session::open`] opens a session on
//! it. A [`driver::Driver`] implements the protocol of the endpoints.

pub mod decision_log;
pub mod driver;
pub mod engine;
mod instances;
mod log_points;
pub mod metrics;
pub mod relay;
pub mod session;
mod slot;
mod slot_request;
mod state;
mod tokens;
mod transaction;
