//! Whether a request may have run.

use {
    schemars::JsonSchema,
    serde::{Deserialize, Serialize},
};

/// What is known about the execution of a request that got no ordinary answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The request did not run and never will: it is safe to send it again.
    NotRun,
    /// The request ran to its end.
    Ran,
    /// The request may have run.
    Unknown,
}
