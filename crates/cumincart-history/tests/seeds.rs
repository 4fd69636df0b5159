//! Checks that runs with random faults violate no guarantee, for a fixed set of seeds.

use {
    cumincart_history::{checkers::Guarantee, run},
    test_case::test_case,
};

#[test_case(0..20; "seeds 0 to 19")]
#[test_case(20..40; "seeds 20 to 39")]
#[test_case(40..60; "seeds 40 to 59")]
#[test_case(60..80; "seeds 60 to 79")]
#[test_case(232..233; "a primary that is confirmed by a new leader which does not know its position")]
#[test_case(1857..1858; "a promotion whose term opens seconds later, since the leader had lost its quorum")]
fn no_guarantee_is_violated_under_faults(seeds: std::ops::Range<u64>) {
    for seed in seeds {
        let run = run(seed, None);
        let broken: Vec<_> = run
            .violations
            .iter()
            .map(|violation| format!("{:?}: {}", violation.guarantee, violation.details))
            .collect();
        assert!(broken.is_empty(), "seed {seed}:\n{}\n{}", broken.join("\n"), run.history.faults.join("\n"));
    }
}

#[test]
fn equal_seeds_give_equal_histories() {
    let first = run(7, None).history;
    let second = run(7, None).history;
    assert_eq!(format!("{:?}", first.requests), format!("{:?}", second.requests));
    assert_eq!(first.log_lines, second.log_lines);
}

#[test]
fn run_contains_faults_answers_and_failovers() {
    let history = run(3, None).history;
    let answered = history.requests.iter().filter(|request| {
        matches!(request.outcome, Some(cumincart_history::history::RequestOutcome::Answered { .. }))
    });
    assert!(answered.count() > 500, "seed 3: fewer than 501 answers");
    assert!(history.faults.len() > 5, "seed 3: {:?}", history.faults);
    assert!(history.terms.len() > 2, "seed 3: no failover: {:?}", history.terms);
    assert_eq!(run(3, None).violations.iter().filter(|one| one.guarantee != Guarantee::Liveness).count(), 0);
}
