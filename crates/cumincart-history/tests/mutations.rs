//! Verifies the checkers: each deliberate fault must cause a violation in at least one of a fixed set of seeds.

use {
    cumincart_history::{checkers::Promise, mutation::Mutation, run},
    test_case::test_case,
};

const SEEDS: std::ops::Range<u64> = 0..40;

#[test_case(Mutation::DropSessions, Promise::ReadYourWrites)]
#[test_case(Mutation::EndlessTermLeases, Promise::NoOldPrimary)]
#[test_case(Mutation::MixTransactions, Promise::TransactionsApart)]
#[test_case(Mutation::KeepWithdrawnKeys, Promise::OwnOrganisation)]
#[test_case(Mutation::SwapOrganisations, Promise::OwnOrganisation)]
#[test_case(Mutation::InflateShares, Promise::Rates)]
#[test_case(Mutation::HideServiceState, Promise::ServiceState)]
#[test_case(Mutation::CrossAnswers, Promise::OwnAnswer)]
#[test_case(Mutation::FalseNotRun, Promise::NotRunIsTrue)]
#[test_case(Mutation::DropClaims, Promise::AtMostOnce)]
#[test_case(Mutation::CutOnStop, Promise::PlannedStop)]
#[test_case(Mutation::RevertCatalogue, Promise::Configuration)]
fn checker_detects_mutation(mutation: Mutation, promise: Promise) {
    let seen = SEEDS.into_iter().any(|seed| {
        run(seed, Some(mutation)).violations.iter().any(|violation| violation.promise == promise)
    });
    assert!(seen, "no seed of {SEEDS:?} shows that {mutation:?} violates {promise:?}");
}
