//! The decisions for interactive clients, each under the load or fault that it answers.

#[path = "interactive/admission.rs"]
mod admission;
#[path = "interactive/authority.rs"]
mod authority;
#[path = "interactive/homes.rs"]
mod homes;
#[path = "interactive/pool.rs"]
mod pool;
#[path = "interactive/positions.rs"]
mod positions;
#[path = "interactive/routing.rs"]
mod routing;
#[path = "interactive/session.rs"]
mod session;
#[path = "interactive/verdict.rs"]
mod verdict;
