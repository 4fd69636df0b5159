//! The log point that a replica must have reached for a read with bounded staleness.

use {
    cumincart_core::interactive::positions::{LogPoint, Positions, SAMPLE_KEPT_MS, SHARED_AGE_MAX_MS},
    cumincart_protocol::{
        catalogue::TermStart,
        number::{LogPosition, Term, Timeline},
        time::Instant,
    },
    std::time::Duration,
    test_case::test_case,
};

fn point(timeline: u64, position: u64) -> LogPoint {
    LogPoint { timeline: Timeline(timeline), position: LogPosition(position) }
}

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

fn sampled() -> Positions {
    let mut positions = Positions::default();
    for step in 0..10 {
        positions.record(at(step * 100), point(1, step * 10));
    }
    positions
}

#[test_case(0, Some(0); "the earliest sample")]
#[test_case(250, Some(30); "the first sample requested at or after the instant")]
#[test_case(300, Some(30); "a sample requested at the instant itself")]
#[test_case(901, None; "an instant after all samples")]
fn the_point_covers_every_commit_acknowledged_before_an_instant(since_ms: u64, expected: Option<u64>) {
    let found = sampled().covering(at(since_ms));
    assert_eq!(found, expected.map(|position| point(1, position)));
}

#[test]
fn samples_in_quick_succession_are_merged_into_the_first() {
    let mut positions = Positions::default();
    for ms in 0..20 {
        positions.record(at(ms), point(1, ms));
    }
    assert_eq!(positions.covering(at(0)), Some(point(1, 0)));
    assert_eq!(positions.covering(at(1)), None, "only the first was kept");
}

#[test]
fn old_samples_are_dropped() {
    let mut positions = sampled();
    positions.record(at(SAMPLE_KEPT_MS + 950), point(1, 500));
    assert_eq!(positions.covering(at(0)), Some(point(1, 500)));
}

#[test]
fn clearing_drops_all_samples() {
    let mut positions = sampled();
    positions.clear();
    assert_eq!(positions.covering(at(0)), None);
}

/// Guards against a session that no endpoint can serve, because its own last commit was lost in a promotion.
#[test_case(point(3, 1_250), point(3, 1_240); "beyond the start of the next term")]
#[test_case(point(3, 1_230), point(3, 1_230); "before the start of the next term")]
#[test_case(point(4, 1_250), point(4, 1_250); "in the latest term")]
fn a_commit_lost_in_a_promotion_is_not_required(committed: LogPoint, expected: LogPoint) {
    let start = |term, position| TermStart {
        term: Term(term),
        timeline: Timeline(term),
        position: LogPosition(position),
    };
    assert_eq!(committed.without_lost(&[start(3, 1_000), start(4, 1_240)]), expected);
}

/// Load: reads with bounded staleness at every instance of a failure domain, of which one samples the primary.
#[test_case(0, 300, 300; "sampled at the moment of the request")]
#[test_case(200, 300, 98; "sampled before the request")]
#[test_case(300, 303, 0; "sampled when this process started")]
fn a_point_of_another_instance_counts_from_the_request(age_ms: u64, asked_at_ms: u64, covered_until_ms: u64) {
    let mut sampler = Positions::default();
    let sampled_at = at(5_000);
    sampler.record(sampled_at, point(1, 7));
    let (shared, shared_age_ms) =
        sampler.shared(sampled_at + Duration::from_millis(age_ms)).expect("the sample is recent");
    assert_eq!(shared_age_ms, age_ms);
    let mut positions = Positions::default();
    positions.record_shared(at(asked_at_ms), shared_age_ms, shared);
    assert_eq!(positions.covering(at(covered_until_ms)), Some(point(1, 7)));
    assert_eq!(positions.covering(at(covered_until_ms + 1)), None);
}

#[test]
fn an_old_sample_is_not_passed_on() {
    let mut positions = Positions::default();
    positions.record(at(1_000), point(1, 7));
    assert!(positions.shared(at(1_000 + SHARED_AGE_MAX_MS)).is_some());
    assert!(positions.shared(at(1_001 + SHARED_AGE_MAX_MS)).is_none());
    positions.clear();
    assert!(positions.shared(at(1_000)).is_none());
}

#[test]
fn a_point_of_another_instance_does_not_replace_a_newer_one() {
    let mut positions = Positions::default();
    positions.record(at(1_000), point(1, 9));
    positions.record_shared(at(1_100), 500, point(1, 7));
    assert_eq!(positions.covering(at(1_000)), Some(point(1, 9)));
    assert_eq!(positions.last_sent_at(), Some(at(1_000)));
}

/// Guards against a sample from before the start of the clock that counts as one from its start: a read soon after a
/// restart would miss commits that are older than its bound.
#[test_case(650, 300; "sampled before this process started")]
#[test_case(300, 302; "sampled before this process started, if the clocks differ")]
#[test_case(SHARED_AGE_MAX_MS + 1, 10_000; "older than instances pass on")]
#[test_case(u64::MAX, 10_000; "of an impossible age")]
fn a_point_that_covers_no_known_instant_is_dropped(age_ms: u64, asked_at_ms: u64) {
    let mut positions = Positions::default();
    assert!(!positions.record_shared(at(asked_at_ms), age_ms, point(1, 7)));
    assert_eq!(positions.covering(at(0)), None);
    assert!(positions.last_sent_at().is_none());
}
