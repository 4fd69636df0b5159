//! Deliberate faults of the simulation that violate a guarantee. They verify that the checkers detect violations.

/// A deliberate fault that violates a guarantee.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// Requests lose their session token.
    DropSessions,
    /// Term leases never expire at entry instances, which receive no new catalogue during a partition.
    EndlessTermLeases,
    /// A statement of one transaction runs on the connection of another.
    MixTransactions,
    /// Clients use a valid key in place of a withdrawn one, as if withdrawn keys were accepted.
    AcceptWithdrawnKeys,
    /// A statement runs for an organisation other than the one that owns the key.
    SwapOrganisations,
    /// Each entry instance uses four times the quota share that it was granted.
    InflateShares,
    /// Entry instances never learn that a failure domain is out of service.
    HideServiceState,
    /// Consecutive answers of an entry instance are swapped in pairs.
    SwapAnswers,
    /// Each refusal with the verdict "unknown" carries the verdict "not run" instead.
    FalseNotRun,
    /// The endpoint ignores claims of request ids.
    DropClaims,
    /// A planned stop terminates the process immediately.
    StopImmediately,
    /// An entry instance reverts to an earlier catalogue.
    RevertCatalogue,
}

impl Mutation {
    /// All mutations.
    pub const ALL: [Self; 12] = [
        Self::DropSessions,
        Self::EndlessTermLeases,
        Self::MixTransactions,
        Self::AcceptWithdrawnKeys,
        Self::SwapOrganisations,
        Self::InflateShares,
        Self::HideServiceState,
        Self::SwapAnswers,
        Self::FalseNotRun,
        Self::DropClaims,
        Self::StopImmediately,
        Self::RevertCatalogue,
    ];
}
