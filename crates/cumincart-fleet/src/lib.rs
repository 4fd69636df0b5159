//! A small but complete fleet that runs as tasks of one process, for the demonstration, tests and experiments.

pub mod caller;
pub mod deployment;
pub mod fleet;

pub use {
    caller::{Answered, Caller, Reply},
    deployment::Deployment,
    fleet::{Fleet, FleetError, FleetOptions},
};
