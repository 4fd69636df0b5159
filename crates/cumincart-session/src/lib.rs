//! Interactive client sessions: the engine that gives them places and connections at endpoints, and the sessions
//! themselves.
//!
//! [`engine::Engine::spawn`] starts an engine and returns a running handle; [`session::Session::open`] opens a session on
//! it. How an endpoint is spoken to is a [`driver::Driver`].

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
pub mod stop;
mod tokens;
mod transaction;
