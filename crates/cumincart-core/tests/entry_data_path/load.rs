//! Stalled and overloaded endpoints, fairness between organisations, early refusal.

use {
    crate::fixture::{Entry, OTHER_KEY, done, name, primary, replica, run},
    cumincart_core::entry::{fairness::ORGANISATION_QUEUE_LIMIT, pool::STALL_TIMEOUT_MS},
    cumincart_protocol::{refusal::RefusalCode, request::CallerRequest, verdict::Verdict},
};

#[test]
fn a_read_leaves_a_stalled_replica_and_its_late_answer_is_dropped() {
    let mut entry = Entry::open();
    let ticket = entry.ask(run("lookup"));
    let stalled = entry.last_sent();
    assert_eq!(stalled.endpoint, name("pbx-2"));
    entry.advance_ms(STALL_TIMEOUT_MS + 60);
    let sent = entry.last_sent();
    assert_eq!(sent.endpoint, name("pbx-3"));
    entry.finish(&sent, done(replica(1, 110, 0)));
    assert!(entry.result(ticket).expect("answered").is_ok());
    entry.finish(&stalled, done(replica(1, 120, 0)));
    assert!(entry.result(ticket).expect("answered once").is_ok());
}

#[test]
fn a_write_never_leaves_a_stalled_primary() {
    let mut entry = Entry::open();
    entry.ask(run("save"));
    entry.advance_ms(STALL_TIMEOUT_MS + 500);
    assert_eq!(entry.sent.len(), 1, "it may have run there");
}

#[test]
fn one_organisations_backlog_does_not_hold_up_anothers_request() {
    let mut entry = Entry::open();
    for _ in 0..100 {
        entry.ask(run("save"));
    }
    let quiet = entry.ask(CallerRequest { key_digest: Some(OTHER_KEY), ..run("save") });
    for _ in 0..2 {
        let sent = entry.sent.remove(0);
        entry.finish(&sent, done(primary(1, 120)));
    }
    for sent in std::mem::take(&mut entry.sent) {
        entry.finish(&sent, done(primary(1, 130)));
    }
    assert!(entry.result(quiet).is_some(), "its turn came within a round");
}

#[test]
fn the_queue_is_bounded_for_each_organisation() {
    let mut entry = Entry::open();
    let mut tickets = Vec::new();
    for _ in 0..ORGANISATION_QUEUE_LIMIT + 5 {
        tickets.push(entry.ask(run("save")));
    }
    let last = entry.result(*tickets.last().expect("there are some")).expect("answered");
    let refusal = last.clone().expect_err("four run, the queue is full");
    assert_eq!((refusal.code, refusal.verdict), (RefusalCode::Overloaded, Verdict::NotRun));
    let other = entry.ask(CallerRequest { key_digest: Some(OTHER_KEY), ..run("save") });
    assert!(entry.result(other).is_none(), "another organisation still has room");
}

#[test]
fn a_request_whose_turn_would_come_too_late_is_refused_at_once() {
    let mut entry = Entry::open();
    for _ in 0..20 {
        entry.ask(run("save"));
        let sent = entry.last_sent();
        entry.advance_ms(100);
        entry.finish(&sent, done(primary(1, 120)));
    }
    for _ in 0..40 {
        entry.ask(run("save"));
    }
    let hasty = entry.ask(CallerRequest { deadline_ms: Some(500), ..run("save") });
    let refusal = entry.result(hasty).expect("answered at once").clone().expect_err("refused");
    assert_eq!((refusal.code, refusal.verdict), (RefusalCode::DeadlineExceeded, Verdict::NotRun));
    assert!(refusal.retry_after_ms.is_some());
}

#[test]
fn reads_go_to_the_primary_while_every_replicas_queue_is_long() {
    let mut entry = Entry::open();
    for _ in 0..10 {
        entry.ask(run("lookup"));
        let sent = entry.last_sent();
        entry.advance_ms(20);
        entry.finish(&sent, done(replica(1, 120, 0)));
    }
    for _ in 0..40 {
        entry.ask(run("lookup"));
    }
    assert!(entry.sent.iter().any(|sent| sent.endpoint == name("pbx-1")));
}
