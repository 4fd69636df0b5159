//! A small but complete fleet that runs as tasks of one process, for the demonstration, tests and experiments.

pub mod client;
pub mod deployment;
pub mod fleet;

pub use {
    client::{HttpClient, Reply, Response},
    deployment::Deployment,
    fleet::{Fleet, FleetError, FleetOptions},
};
