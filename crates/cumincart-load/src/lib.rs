//! Load and experiments with named measures and plots.
