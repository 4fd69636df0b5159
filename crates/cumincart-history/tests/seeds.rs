//! The promises hold in runs with faults, for a fixed set of seeds.

use {
    cumincart_history::{checkers::Promise, run},
    test_case::test_case,
};

#[test_case(0..20; "seeds 0 to 19")]
#[test_case(20..40; "seeds 20 to 39")]
#[test_case(40..60; "seeds 40 to 59")]
#[test_case(60..80; "seeds 60 to 79")]
fn no_promise_is_broken_under_faults(seeds: std::ops::Range<u64>) {
    for seed in seeds {
        let run = run(seed, None);
        let broken: Vec<_> = run
            .violations
            .iter()
            .map(|violation| format!("{:?}: {}", violation.promise, violation.seen))
            .collect();
        assert!(broken.is_empty(), "seed {seed}:\n{}\n{}", broken.join("\n"), run.history.faults.join("\n"));
    }
}

#[test]
fn one_seed_gives_one_history() {
    let first = run(7, None).history;
    let second = run(7, None).history;
    assert_eq!(format!("{:?}", first.requests), format!("{:?}", second.requests));
    assert_eq!(first.notes, second.notes);
}

#[test]
fn a_run_has_faults_and_answers_to_check() {
    let history = run(3, None).history;
    let answered = history
        .requests
        .iter()
        .filter(|request| matches!(request.ended, Some(cumincart_history::history::Ended::Answered { .. })));
    assert!(answered.count() > 500, "seed 3: too few answers to check anything");
    assert!(history.faults.len() > 5, "seed 3: {:?}", history.faults);
    assert!(history.terms.len() > 2, "seed 3: no change of primary: {:?}", history.terms);
    assert_eq!(run(3, None).violations.iter().filter(|one| one.promise != Promise::Liveness).count(), 0);
}
