//! Verifies the checkers: each deliberate fault must cause a violation in at least one of a fixed set of seeds.

use {
    cumincart_history::{checkers::Guarantee, mutation::Mutation, run},
    test_case::test_case,
};

const SEEDS: std::ops::Range<u64> = 0..40;

#[test_case(Mutation::DropSessions, Guarantee::ReadYourWrites)]
#[test_case(Mutation::EndlessTermLeases, Guarantee::AcknowledgedWrites)]
#[test_case(Mutation::MixTransactions, Guarantee::TransactionIsolation)]
#[test_case(Mutation::AcceptWithdrawnKeys, Guarantee::OrganisationIsolation)]
#[test_case(Mutation::SwapOrganisations, Guarantee::OrganisationIsolation)]
#[test_case(Mutation::InflateShares, Guarantee::RateLimits)]
#[test_case(Mutation::HideServiceState, Guarantee::ServiceState)]
#[test_case(Mutation::SwapAnswers, Guarantee::MatchingAnswer)]
#[test_case(Mutation::FalseNotRun, Guarantee::NotRunVerdict)]
#[test_case(Mutation::DropClaims, Guarantee::AtMostOnce)]
#[test_case(Mutation::StopImmediately, Guarantee::PlannedStop)]
#[test_case(Mutation::RevertCatalogue, Guarantee::Configuration)]
fn checker_detects_mutation(mutation: Mutation, guarantee: Guarantee) {
    let seen = SEEDS.into_iter().any(|seed| {
        run(seed, Some(mutation)).violations.iter().any(|violation| violation.guarantee == guarantee)
    });
    assert!(seen, "no seed of {SEEDS:?} shows that {mutation:?} violates {guarantee:?}");
}
