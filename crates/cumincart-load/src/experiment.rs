//! The experiments by name.

pub mod round_trips;

use crate::report::Report;

/// Why an experiment gave no result.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum ExperimentError {
    /// There is no such experiment.
    #[error("there is no experiment {0}")]
    #[diagnostic(code(cumincart::load::unknown_experiment), help("the experiments are: {}", NAMES.join(", ")))]
    Unknown(String),
    /// Something that it needs did not start or did not answer.
    #[error("the experiment could not go on: {0}")]
    #[diagnostic(
        code(cumincart::load::setup),
        help("nothing was measured; run it again on a machine with free ports")
    )]
    Setup(String),
}

/// The experiments' names.
pub const NAMES: [&str; 1] = ["round-trips"];

/// Runs an experiment.
pub async fn run(name: &str, seed: u64) -> Result<Report, ExperimentError> {
    match name {
        "round-trips" => round_trips::run(seed).await,
        _ => Err(ExperimentError::Unknown(name.to_owned())),
    }
}

/// Turns any failure of the set-up into an `ExperimentError`.
pub(crate) fn setup(error: impl std::fmt::Display) -> ExperimentError {
    ExperimentError::Setup(error.to_string())
}
