//! Load generation and experiments with named measures and plots.
//!
//! Arrivals are open-loop: each request is due at a time that depends on the seed alone, and its latency is measured
//! from that time on. A slow response therefore does not hide the wait of the requests behind it (coordinated
//! omission).

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
