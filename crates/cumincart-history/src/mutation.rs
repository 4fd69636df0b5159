//! Promises that the world breaks on purpose, so that each checker can be shown to see it.

/// A way in which the world works against a promise.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// Callers' session tokens are dropped on the way.
    DropSessions,
    /// Leases on terms never run out at their holders, and no new catalogue reaches them in a partition.
    EndlessTermLeases,
    /// A statement of one transaction runs on the connection of another.
    MixTransactions,
    /// A withdrawn key is taken for a valid one.
    KeepWithdrawnKeys,
    /// A statement runs for another organisation than the one whose key came.
    SwapOrganisations,
    /// Each entry instance takes four times the share that it was granted.
    InflateShares,
    /// Entry instances never learn that a failure domain is out.
    HideServiceState,
    /// Two answers of an entry instance are exchanged.
    CrossAnswers,
    /// Each refusal of unknown outcome says "not run".
    FalseNotRun,
    /// Claims of request ids are dropped on the way to the endpoint.
    DropClaims,
    /// A planned stop ends the process at once.
    CutOnStop,
    /// An entry instance goes back to an earlier catalogue.
    RevertCatalogue,
}

impl Mutation {
    /// All mutations.
    pub const ALL: [Self; 12] = [
        Self::DropSessions,
        Self::EndlessTermLeases,
        Self::MixTransactions,
        Self::KeepWithdrawnKeys,
        Self::SwapOrganisations,
        Self::InflateShares,
        Self::HideServiceState,
        Self::CrossAnswers,
        Self::FalseNotRun,
        Self::DropClaims,
        Self::CutOnStop,
        Self::RevertCatalogue,
    ];
}
