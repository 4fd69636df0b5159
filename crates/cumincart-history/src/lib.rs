//! History checks of concurrent runs on a virtual clock, with faults.
//!
//! [`world`] runs the real control and entry cores with models of endpoints, callers, operators and the network;
//! [`history`] keeps what happened; [`checkers`] hold it against the promises, one module for each.

pub mod checkers;
pub mod history;
pub mod mutation;
pub mod world;

use {checkers::Violation, history::History, mutation::Mutation, world::World};

/// One run and what its checkers found.
#[derive(Debug)]
pub struct Run {
    /// What happened.
    pub history: History,
    /// The broken promises.
    pub violations: Vec<Violation>,
}

/// Runs one seed to its end and checks its history.
pub fn run(seed: u64, mutation: Option<Mutation>) -> Run {
    let mut world = World::open(seed, mutation);
    world.run();
    let history = world.into_history();
    let violations = checkers::check_all(&history);
    Run { history, violations }
}
