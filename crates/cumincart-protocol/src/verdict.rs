//! The verdict on a request: whether it may have run.

use {
    schemars::JsonSchema,
    serde::{Deserialize, Serialize},
};

/// Whether a request that was not answered normally may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The request did not run and will not run: it is safe to send it again.
    NotRun,
    /// The request ran to completion.
    Ran,
    /// The request may have run.
    Unknown,
}
