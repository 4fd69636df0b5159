//! Tests of the decisions for interactive clients, each under the load or fault that it is made for.

#[path = "interactive/admission.rs"]
mod admission;
#[path = "interactive/failure.rs"]
mod failure;
#[path = "interactive/first_lease.rs"]
mod first_lease;
#[path = "interactive/held_statements.rs"]
mod held_statements;
#[path = "interactive/ownership.rs"]
mod ownership;
#[path = "interactive/pool.rs"]
mod pool;
#[path = "interactive/positions.rs"]
mod positions;
#[path = "interactive/primary_guarantee.rs"]
mod primary_guarantee;
#[path = "interactive/routing.rs"]
mod routing;
#[path = "interactive/session.rs"]
mod session;
