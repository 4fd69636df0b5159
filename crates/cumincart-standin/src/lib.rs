//! A stand-in database group for tests and the demonstration.
