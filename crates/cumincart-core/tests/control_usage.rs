//! Usage reports: what entry instances count reaches the platform once for each accounting window, whatever fails on the
//! way.

#[path = "control_usage/fixture.rs"]
mod fixture;

use {
    cumincart_core::control::{
        UsageAnswer, UsageCall,
        usage::{
            CALL_LOST_AFTER_MS, CLOSE_AFTER_MS, RETAINED_WINDOWS, RETRY_MAX_MS, RETRY_MIN_MS, SETTLE_MS,
        },
    },
    cumincart_protocol::usage::WindowOutcome,
    fixture::{EPOCH_WINDOW, Entry, LATE_MS, Leader, TAKEOVER_MS, WINDOW_MS},
    test_case::test_case,
};

fn counts(call: &UsageCall) -> Vec<(&str, u64)> {
    call.counts.iter().map(|count| (count.organisation.as_str(), count.requests)).collect()
}

/// Runs leader and entries until a time, with a heartbeat of each entry every 500 ms, and answers calls with `answer`.
/// Returns the calls with the times at which they were made.
fn run_until(
    leader: &mut Leader,
    entries: &mut [Entry],
    until_ms: u64,
    answer: Option<UsageAnswer>,
) -> Vec<(u64, UsageCall)> {
    let mut calls = Vec::new();
    while leader.now_ms < until_ms {
        leader.now_ms += 50;
        if leader.now_ms.is_multiple_of(500) {
            for entry in entries.iter_mut() {
                entry.exchange_heartbeat(leader);
            }
        }
        for call in leader.tick() {
            calls.push((leader.now_ms, call.clone()));
            if let Some(answer) = answer {
                leader.answer(call, answer);
            }
        }
    }
    calls
}

#[test]
fn counts_are_placed_by_the_clock_that_most_instances_agree_on() {
    let mut leader = Leader::start();
    // Two of five clocks are off by 20 s, in both directions, and the instances have started at different times.
    let mut entries: Vec<Entry> = [0, 3, -20_000, 20_000, -2]
        .into_iter()
        .zip(1..)
        .map(|(skew_ms, number)| Entry::start(&format!("entry-{number}"), number * 100, skew_ms))
        .collect();
    run_until(&mut leader, &mut entries, 4_000, None);
    // One request of each instance in each half second from 4.25 s to 9.75 s: two before the bound at 5 s, ten after it.
    let mut calls = Vec::new();
    for step in 0..12 {
        for entry in &mut entries {
            entry.count("abtel", 4_250 + step * 500, 1);
        }
        calls.extend(run_until(&mut leader, &mut entries, 4_500 + step * 500, Some(UsageAnswer::Accepted)));
    }
    calls.extend(run_until(&mut leader, &mut entries, 13_000, Some(UsageAnswer::Accepted)));
    let calls: Vec<_> = calls.iter().map(|(_, call)| (call.window, counts(call))).collect();
    assert_eq!(calls, [(EPOCH_WINDOW, vec![("abtel", 10)]), (EPOCH_WINDOW + 1, vec![("abtel", 50)])]);
}

#[test]
fn a_clock_that_jumps_moves_no_count() {
    let mut leader = Leader::start();
    let mut entries: Vec<Entry> =
        (1..=3).map(|number| Entry::start(&format!("entry-{number}"), 0, 0)).collect();
    run_until(&mut leader, &mut entries, 2_000, None);
    entries[0].count_at("abtel", 1_900, 2_050, 4);
    entries[0].skew_ms = -9_000;
    let calls = run_until(&mut leader, &mut entries, 5_000 + CLOSE_AFTER_MS, Some(UsageAnswer::Accepted));
    assert_eq!(calls.len(), 1);
    assert_eq!((calls[0].1.window, counts(&calls[0].1)), (EPOCH_WINDOW, vec![("abtel", 4)]));
}

#[test_case(&[], &[]; "nothing is lost")]
#[test_case(&[2_000, 2_500, 3_000], &[]; "heartbeats are lost")]
#[test_case(&[], &[2_000, 2_500, 3_000]; "answers are lost")]
fn lost_messages_neither_lose_nor_double_counts(lost_heartbeats: &[u64], lost_answers: &[u64]) {
    let mut leader = Leader::start();
    let mut entry = Entry::start("entry-1", 0, 0);
    for at_ms in (500..=4_500).step_by(500) {
        leader.now_ms = at_ms;
        entry.count("abtel", at_ms - 100, 2);
        entry.is_heartbeat_lost = lost_heartbeats.contains(&at_ms);
        entry.is_answer_lost = lost_answers.contains(&at_ms);
        entry.exchange_heartbeat(&mut leader);
        // The network may deliver a heartbeat twice.
        entry.repeat_heartbeat(&mut leader);
        leader.tick();
    }
    let calls = run_until(
        &mut leader,
        std::slice::from_mut(&mut entry),
        5_000 + CLOSE_AFTER_MS,
        Some(UsageAnswer::Accepted),
    );
    assert_eq!(calls.len(), 1);
    assert_eq!(counts(&calls[0].1), [("abtel", 18)]);
}

#[test]
fn an_outcome_that_is_known_late_counts_when_the_request_began() {
    let mut leader = Leader::start();
    let mut entries = [Entry::start("entry-1", 0, 0)];
    run_until(&mut leader, &mut entries, 5_500, None);
    entries[0].count_at("abtel", 4_600, 5_900, 1);
    let calls = run_until(&mut leader, &mut entries, 5_000 + CLOSE_AFTER_MS, Some(UsageAnswer::Accepted));
    assert_eq!((calls[0].1.window, counts(&calls[0].1)), (EPOCH_WINDOW, vec![("abtel", 1)]));
}

#[test]
fn a_new_leader_asks_for_what_the_last_one_had_received() {
    let mut leader = Leader::start();
    let mut entries = [Entry::start("entry-1", 0, 0), Entry::start("entry-2", 700, 0)];
    entries[0].count("abtel", 900, 3);
    entries[1].count("abtel", 900, 4);
    run_until(&mut leader, &mut entries, 4_000, None);
    leader.restart();
    let calls = run_until(&mut leader, &mut entries, 9_000, Some(UsageAnswer::Accepted));
    assert_eq!((calls[0].1.window, counts(&calls[0].1)), (EPOCH_WINDOW, vec![("abtel", 7)]));
}

#[test]
fn a_new_leader_waits_for_the_full_reports_of_all_instances() {
    let mut leader = Leader::start();
    let mut entries = [Entry::start("entry-1", 0, 0), Entry::start("entry-2", 700, 0)];
    entries[1].count("abtel", 900, 4);
    run_until(&mut leader, &mut entries, 5_500, None);
    leader.restart();
    // Only one instance finds the new leader at first.
    let calls = run_until(&mut leader, &mut entries[..1], 5_000 + SETTLE_MS + 500, None);
    assert_eq!(calls, []);
    let calls = run_until(&mut leader, &mut entries, 12_000, Some(UsageAnswer::Accepted));
    assert_eq!((calls[0].1.window, counts(&calls[0].1)), (EPOCH_WINDOW, vec![("abtel", 4)]));
}

// A leader elected when the window should be closed already doesn't close it with what the first instance reports.
#[test]
fn a_late_leader_gives_instances_time_to_find_it() {
    let mut leader = Leader::start();
    let mut entries = [Entry::start("entry-1", 0, 0), Entry::start("entry-2", 700, 0)];
    entries[1].count("abtel", 900, 4);
    run_until(&mut leader, &mut entries, 4_500, None);
    leader.now_ms = 5_000 + CLOSE_AFTER_MS + 100;
    leader.restart();
    let elected_ms = leader.now_ms;
    let calls = run_until(&mut leader, &mut entries[..1], elected_ms + 1_000, None);
    assert_eq!(calls, []);
    let calls = run_until(&mut leader, &mut entries, 5_000 + LATE_MS, Some(UsageAnswer::Accepted));
    assert_eq!((calls[0].1.window, counts(&calls[0].1)), (EPOCH_WINDOW, vec![("abtel", 4)]));
}

#[test_case(false; "from its log")]
#[test_case(true; "from a snapshot")]
fn a_later_leader_repeats_the_same_counts_under_its_own_fence(from_snapshot: bool) {
    let mut leader = Leader::start();
    let mut entries = [Entry::start("entry-1", 0, 0)];
    entries[0].count("abtel", 900, 3);
    let first = run_until(&mut leader, &mut entries, 5_000 + CLOSE_AFTER_MS, None);
    assert_eq!(first.len(), 1);
    if from_snapshot {
        leader.take_snapshot();
    }
    leader.restart();
    // What an instance reports late, or again, doesn't change a closed window.
    entries[0].count_at("abtel", 950, leader.now_ms, 5);
    let elected_ms = leader.now_ms;
    let repeated =
        run_until(&mut leader, &mut entries, elected_ms + TAKEOVER_MS + 100, Some(UsageAnswer::Accepted));
    assert_eq!(repeated.len(), 1);
    let (at_ms, call) = &repeated[0];
    assert_eq!((call.window, &call.counts), (first[0].1.window, &first[0].1.counts));
    assert!(call.fence > first[0].1.fence, "{:?} {:?}", call.fence, first[0].1.fence);
    assert!(*at_ms >= elected_ms + TAKEOVER_MS, "{at_ms} {elected_ms}");
}

#[test]
fn a_window_that_is_reported_is_not_repeated_by_a_later_leader() {
    let mut leader = Leader::start();
    let mut entries = [Entry::start("entry-1", 0, 0)];
    // The second window's record says that the first one is reported.
    run_until(&mut leader, &mut entries, 10_000 + CLOSE_AFTER_MS, Some(UsageAnswer::Accepted));
    leader.restart();
    let calls = run_until(&mut leader, &mut entries, 17_500, Some(UsageAnswer::Accepted));
    let windows: Vec<u64> = calls.iter().map(|(_, call)| call.window).collect();
    assert_eq!(windows, [EPOCH_WINDOW + 1, EPOCH_WINDOW + 2]);
}

#[test]
fn a_holder_that_was_fenced_makes_no_more_calls_in_its_term() {
    let mut leader = Leader::start();
    let mut entries = [Entry::start("entry-1", 0, 0)];
    let calls = run_until(&mut leader, &mut entries, 30_000, Some(UsageAnswer::Fenced));
    assert_eq!(calls.len(), 1);
    leader.restart();
    let calls = run_until(&mut leader, &mut entries, 35_000, Some(UsageAnswer::Accepted));
    assert!(!calls.is_empty());
}

#[test]
fn a_failing_platform_is_called_again_with_a_growing_delay_until_the_report_is_due() {
    let mut leader = Leader::start();
    let mut entries = [Entry::start("entry-1", 0, 0)];
    let calls = run_until(&mut leader, &mut entries, 5_000 + LATE_MS + 100, Some(UsageAnswer::Failed));
    let times: Vec<u64> =
        calls.iter().filter(|(_, call)| call.window == EPOCH_WINDOW).map(|(at_ms, _)| *at_ms).collect();
    let delays: Vec<u64> = times.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert_eq!(delays[..4], [RETRY_MIN_MS, 2 * RETRY_MIN_MS, 4 * RETRY_MIN_MS, 8 * RETRY_MIN_MS]);
    assert!(delays[4..].iter().all(|delay| *delay == RETRY_MAX_MS), "{delays:?}");
    assert_eq!(leader.outcome(EPOCH_WINDOW), Some(WindowOutcome::Missed));
    // The next window is reported once the platform answers.
    run_until(&mut leader, &mut entries, 10_000 + LATE_MS, Some(UsageAnswer::Accepted));
    assert_eq!(leader.outcome(EPOCH_WINDOW + 1), Some(WindowOutcome::Reported));
}

#[test]
fn one_call_at_a_time_is_made() {
    let mut leader = Leader::start();
    let mut entries = [Entry::start("entry-1", 0, 0)];
    let calls = run_until(&mut leader, &mut entries, 5_000 + LATE_MS, None);
    let times: Vec<u64> = calls.iter().map(|(at_ms, _)| *at_ms).collect();
    // The result of a call that the runtime has lost is not awaited for ever.
    let gaps: Vec<u64> = times.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(!gaps.is_empty() && gaps.iter().all(|gap| *gap >= CALL_LOST_AFTER_MS), "{gaps:?}");
}

#[test]
fn an_answer_to_an_earlier_term_is_ignored() {
    let mut leader = Leader::start();
    let mut entries = [Entry::start("entry-1", 0, 0)];
    let calls = run_until(&mut leader, &mut entries, 5_000 + CLOSE_AFTER_MS, None);
    leader.restart();
    leader.answer(calls[0].1.clone(), UsageAnswer::Accepted);
    assert_eq!(leader.outcome(EPOCH_WINDOW), None);
}

#[test]
fn a_window_is_closed_without_an_instance_that_has_ended() {
    let mut leader = Leader::start();
    let mut entries = [Entry::start("entry-1", 0, 0), Entry::start("entry-2", 0, 0)];
    entries[0].count("abtel", 900, 3);
    entries[1].count("abtel", 900, 4);
    run_until(&mut leader, &mut entries, 4_500, None);
    // The second instance is killed or cut off: what it has reported counts.
    let calls =
        run_until(&mut leader, &mut entries[..1], 5_000 + CLOSE_AFTER_MS, Some(UsageAnswer::Accepted));
    assert_eq!(counts(&calls[0].1), [("abtel", 7)]);
}

#[test]
fn a_planned_stop_hands_over_the_last_counts() {
    let mut leader = Leader::start();
    let mut entries = [Entry::start("entry-1", 0, 0), Entry::start("entry-2", 0, 0)];
    run_until(&mut leader, &mut entries, 4_500, None);
    entries[1].count("abtel", 4_550, 4);
    entries[1].is_leaving = true;
    leader.now_ms = 4_600;
    entries[1].exchange_heartbeat(&mut leader);
    let calls =
        run_until(&mut leader, &mut entries[..1], 5_000 + CLOSE_AFTER_MS, Some(UsageAnswer::Accepted));
    assert_eq!(counts(&calls[0].1), [("abtel", 4)]);
}

#[test]
fn a_restarted_instance_adds_to_what_its_earlier_run_has_reported() {
    let mut leader = Leader::start();
    let mut entries = [Entry::start("entry-1", 0, 0)];
    entries[0].count("abtel", 900, 3);
    run_until(&mut leader, &mut entries, 2_000, None);
    let mut entries = [Entry::restart("entry-1", 2_000)];
    entries[0].count("abtel", 2_900, 4);
    let calls = run_until(&mut leader, &mut entries, 5_000 + CLOSE_AFTER_MS, Some(UsageAnswer::Accepted));
    assert_eq!(counts(&calls[0].1), [("abtel", 7)]);
}

#[test]
fn windows_that_are_past_due_are_left_out() {
    let mut leader = Leader::start();
    let mut entries = [Entry::start("entry-1", 0, 0)];
    run_until(&mut leader, &mut entries, 5_000 + CLOSE_AFTER_MS, Some(UsageAnswer::Accepted));
    // No leader for four windows.
    leader.now_ms = 30_000;
    let calls = run_until(&mut leader, &mut entries, 36_000 + CLOSE_AFTER_MS, Some(UsageAnswer::Accepted));
    let windows: Vec<u64> = calls.iter().map(|(_, call)| call.window - EPOCH_WINDOW).collect();
    assert_eq!(windows, [4, 5, 6]);
}

#[test]
fn a_bounded_number_of_windows_is_kept() {
    let mut leader = Leader::start();
    let mut entries = [Entry::start("entry-1", 0, 0)];
    run_until(&mut leader, &mut entries, WINDOW_MS * 30, Some(UsageAnswer::Accepted));
    assert_eq!(leader.core.usage.windows.len(), RETAINED_WINDOWS);
}

#[test]
fn nothing_is_reported_without_a_policy() {
    let mut leader = Leader::start();
    leader.core.usage.policy = None;
    let mut entries = [Entry::start("entry-1", 0, 0)];
    assert_eq!(run_until(&mut leader, &mut entries, 12_000, None), []);
    assert!(leader.core.usage.windows.is_empty());
}
