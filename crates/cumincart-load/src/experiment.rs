//! The experiments and their names.

pub mod domain_out;
pub mod environment;
pub mod failover;
pub mod fairness;
pub mod overhead;
pub mod replica_reads;
pub mod rolling_restart;
pub mod round_trips;
pub mod wrongful_refusals;

use {crate::report::Report, cumincart_fleet::Deployment};

/// The error of an experiment that produced no result.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum ExperimentError {
    /// The experiment is unknown.
    #[error("there is no experiment {0}")]
    #[diagnostic(code(cumincart::load::unknown_experiment), help("the experiments are: {}", NAMES.join(", ")))]
    UnknownExperiment(String),
    /// The deployment is unknown.
    #[error("there is no deployment {0}")]
    #[diagnostic(code(cumincart::load::unknown_deployment), help("the deployments are: {}", DEPLOYMENTS.join(", ")))]
    UnknownDeployment(String),
    /// A component that the experiment needs did not start or did not respond.
    #[error("the experiment was aborted: {0}")]
    #[diagnostic(
        code(cumincart::load::setup),
        help("nothing was measured; run it again on a machine with free ports")
    )]
    Setup(String),
}

/// The names of the experiments.
pub const NAMES: [&str; 8] = [
    "domain-out",
    "failover",
    "fairness",
    "overhead",
    "replica-reads",
    "rolling-restart",
    "round-trips",
    "wrongful-refusals",
];

/// The names of the deployments.
pub const DEPLOYMENTS: [&str; 2] = ["telvara", "association"];

/// Runs the experiment of this name on the deployment of this name.
pub async fn run(name: &str, deployment: &str, seed: u64) -> Result<Report, ExperimentError> {
    let deployment = match deployment {
        "telvara" => Deployment::telvara(),
        "association" => Deployment::association(),
        _ => return Err(ExperimentError::UnknownDeployment(deployment.to_owned())),
    };
    match name {
        "domain-out" => domain_out::run(deployment, seed).await,
        "failover" => failover::run(deployment, seed).await,
        "fairness" => fairness::run(deployment, seed).await,
        "overhead" => overhead::run(deployment, seed).await,
        "replica-reads" => replica_reads::run(deployment, seed).await,
        "rolling-restart" => rolling_restart::run(deployment, seed).await,
        "round-trips" => round_trips::run(seed).await,
        "wrongful-refusals" => wrongful_refusals::run(deployment, seed).await,
        _ => Err(ExperimentError::UnknownExperiment(name.to_owned())),
    }
}

/// Converts any error into [`ExperimentError::Setup`].
pub(crate) fn setup(error: impl std::fmt::Display) -> ExperimentError {
    ExperimentError::Setup(error.to_string())
}
