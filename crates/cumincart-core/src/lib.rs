//! The decision logic of all processes, without I/O, clock or ambient randomness.
//!
//! Each kind of process has a *core*, which holds all its state, and controllers: plain functions that read and
//! modify the core. `step` takes one input and the current instant, and appends the effects that the runtime must
//! carry out. The same code therefore runs on real sockets and on a virtual clock.

pub mod control;
pub mod endpoint_command;
pub mod entry;
pub mod interactive;
pub mod stop_schedule;
pub mod timing;
