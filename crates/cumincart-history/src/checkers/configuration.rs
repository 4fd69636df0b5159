//! An accepted configuration is never reverted, and each change has one outcome.

use {
    super::{Promise, Violation},
    crate::history::History,
    cumincart_protocol::change::Outcome,
};

pub(super) fn check(history: &History) -> Vec<Violation> {
    check_samples(history).into_iter().chain(check_outcomes(history)).chain(check_races(history)).collect()
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
            let seen = format!("the revision in use decreased from {before:?} to {sample:?}");
            violations.push(Violation::new(Promise::Configuration, seen));
        }
        *before = *sample;
    }
    violations
}

/// Checks that all responses for one change report the same outcome.
fn check_outcomes(history: &History) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (index, told) in history.told.iter().enumerate() {
        let earlier = history.told[..index].iter().find(|other| other.id == told.id);
        if let Some(earlier) = earlier.filter(|earlier| earlier.outcome != told.outcome) {
            let seen = format!("one change has two outcomes: {earlier:?} and {told:?}");
            violations.push(Violation::new(Promise::Configuration, seen));
        }
    }
    violations
}

/// Checks that no two changes were accepted at the same revision.
fn check_races(history: &History) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (index, told) in history.told.iter().enumerate() {
        let Outcome::Accepted { revision, .. } = &told.outcome else { continue };
        let same = history.told[..index].iter().find(|other| {
            matches!(&other.outcome, Outcome::Accepted { revision: own, .. } if own == revision)
                && other.id != told.id
        });
        if let Some(other) = same {
            let seen = format!("two changes were accepted at the same revision: {other:?} and {told:?}");
            violations.push(Violation::new(Promise::Configuration, seen));
        }
    }
    violations
}
