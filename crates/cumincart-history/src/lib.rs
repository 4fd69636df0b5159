//! Deterministic simulation of a cluster with fault injection, and checks of the recorded histories.
//!
//! [`simulation`] runs the real control and entry cores with models of endpoints, clients, operators and the network
//! on a virtual clock; [`history`] records the run; [`checkers`] check the record, with one module for each guarantee.

pub mod checkers;
pub mod history;
pub mod mutation;
pub mod simulation;

use {checkers::Violation, history::History, mutation::Mutation, simulation::Simulation};

/// One simulated run and the result of its checks.
#[derive(Debug)]
pub struct Run {
    /// The record of the run.
    pub history: History,
    /// The guarantees that the run violated.
    pub violations: Vec<Violation>,
}

/// Runs the simulation of one seed to its end and checks its history.
pub fn run(seed: u64, mutation: Option<Mutation>) -> Run {
    let mut simulation = Simulation::with_random_faults(seed, mutation);
    simulation.run();
    let history = simulation.into_history();
    let violations = checkers::check_all(&history);
    Run { history, violations }
}
