//! An accepted configuration is never reverted, and each change has one outcome.

use {
    super::{Guarantee, Violation},
    crate::history::History,
    cumincart_protocol::change::Outcome,
};

pub(super) fn check(history: &History) -> Vec<Violation> {
    check_samples(history)
        .into_iter()
        .chain(check_outcomes(history))
        .chain(check_revisions(history))
        .collect()
}

/// Checks that the revision that an entry instance uses never decreases, not even across a restart.
fn check_samples(history: &History) -> Vec<Violation> {
    let mut last = Vec::new();
    let mut violations = Vec::new();
    for sample in &history.samples {
        if last.len() <= sample.entry {
            last.resize(sample.entry + 1, *sample);
        }
        let before = &mut last[sample.entry];
        if before.entry == sample.entry && sample.revision < before.revision {
            let details = format!("the revision in use decreased from {before:?} to {sample:?}");
            violations.push(Violation::new(Guarantee::Configuration, details));
        }
        *before = *sample;
    }
    violations
}

/// Checks that all responses for one change report the same outcome.
fn check_outcomes(history: &History) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (index, response) in history.change_responses.iter().enumerate() {
        let earlier = history.change_responses[..index].iter().find(|other| other.id == response.id);
        if let Some(earlier) = earlier.filter(|earlier| earlier.outcome != response.outcome) {
            let details = format!("one change has two outcomes: {earlier:?} and {response:?}");
            violations.push(Violation::new(Guarantee::Configuration, details));
        }
    }
    violations
}

/// Checks that no two changes were accepted at the same revision.
fn check_revisions(history: &History) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (index, response) in history.change_responses.iter().enumerate() {
        let Outcome::Accepted { revision, .. } = &response.outcome else { continue };
        let same = history.change_responses[..index].iter().find(|other| {
            matches!(&other.outcome, Outcome::Accepted { revision: own, .. } if own == revision)
                && other.id != response.id
        });
        if let Some(other) = same {
            let details =
                format!("two changes were accepted at the same revision: {other:?} and {response:?}");
            violations.push(Violation::new(Guarantee::Configuration, details));
        }
    }
    violations
}
