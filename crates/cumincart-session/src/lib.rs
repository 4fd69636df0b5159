//! Interactive client sessions: the engine that gives them places and connections at endpoints, and the sessions
//! themselves.
//!
//! [`engine::Engine::spawn`] starts an engine and returns a running handle; [`session::Session::open`] opens a session on
//! it. How an endpoint is spoken to is a [`driver::Driver`].

pub mod decision_log;
pub mod driver;
pub mod engine;
mod instances;
pub mod metrics;
mod place;
mod placing;
mod points;
pub mod relay;
pub mod session;
mod state;
pub mod stop;
mod tokens;
mod transaction;
