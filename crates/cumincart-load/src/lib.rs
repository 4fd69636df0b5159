//! Load and experiments with named measures and plots.
//!
//! Arrivals are open-loop: each request is due at a time that a seed fixes, and its latency is counted from that time
//! on, so that a slow answer can't hide the requests that wait behind it.

pub mod arrivals;
pub mod balancer;
pub mod cpu_time;
pub mod experiment;
pub mod open_loop;
pub mod plot;
pub mod relay;
pub mod report;
pub mod run;
pub mod sender;
pub mod session;
pub mod summary;
pub mod token_bucket;
pub mod traffic;
