//! Tests of stalled and overloaded endpoints, fairness between organisations and early refusal.

use {
    crate::fixture::{Entry, OTHER_KEY, name, primary, replica, run, succeeded},
    cumincart_core::entry::{fairness::ORGANISATION_QUEUE_LIMIT, pool::STALL_TIMEOUT_MS},
    cumincart_protocol::{refusal::RefusalCode, request::CallerRequest, verdict::Verdict},
};

#[test]
fn a_read_is_moved_off_a_stalled_replica_and_its_late_result_is_dropped() {
    let mut entry = Entry::open();
    let ticket = entry.send(run("lookup"));
    let stalled = entry.take_last_sent();
    assert_eq!(stalled.endpoint, name("pbx-2"));
    entry.advance_ms(STALL_TIMEOUT_MS + 60);
    let sent = entry.take_last_sent();
    assert_eq!(sent.endpoint, name("pbx-3"));
    entry.complete(&sent, succeeded(replica(1, 110, 0)));
    assert!(entry.result(ticket).expect("answered").is_ok());
    entry.complete(&stalled, succeeded(replica(1, 120, 0)));
    assert!(entry.result(ticket).expect("answered once").is_ok());
}

#[test]
fn a_write_is_never_moved_off_a_stalled_primary() {
    let mut entry = Entry::open();
    entry.send(run("save"));
    entry.advance_ms(STALL_TIMEOUT_MS + 500);
    assert_eq!(entry.sent.len(), 1, "the write may have run there");
}

#[test]
fn one_organisations_backlog_does_not_delay_another_organisation() {
    let mut entry = Entry::open();
    for _ in 0..100 {
        entry.send(run("save"));
    }
    let other = entry.send(CallerRequest { key_digest: Some(OTHER_KEY), ..run("save") });
    for _ in 0..2 {
        let sent = entry.sent.remove(0);
        entry.complete(&sent, succeeded(primary(1, 120)));
    }
    for sent in std::mem::take(&mut entry.sent) {
        entry.complete(&sent, succeeded(primary(1, 130)));
    }
    assert!(entry.result(other).is_some(), "it was served within one round");
}

#[test]
fn the_queue_is_bounded_for_each_organisation() {
    let mut entry = Entry::open();
    let mut tickets = Vec::new();
    for _ in 0..ORGANISATION_QUEUE_LIMIT + 5 {
        tickets.push(entry.send(run("save")));
    }
    let last = entry.result(*tickets.last().expect("there are some")).expect("answered");
    let refusal = last.clone().expect_err("four run, the queue is full");
    assert_eq!((refusal.code, refusal.verdict), (RefusalCode::Overloaded, Verdict::NotRun));
    let other = entry.send(CallerRequest { key_digest: Some(OTHER_KEY), ..run("save") });
    assert!(entry.result(other).is_none(), "another organisation still has room");
}

#[test]
fn a_request_whose_expected_wait_exceeds_its_deadline_is_refused_at_once() {
    let mut entry = Entry::open();
    for _ in 0..20 {
        entry.send(run("save"));
        let sent = entry.take_last_sent();
        entry.advance_ms(100);
        entry.complete(&sent, succeeded(primary(1, 120)));
    }
    for _ in 0..40 {
        entry.send(run("save"));
    }
    let short_deadline = entry.send(CallerRequest { deadline_ms: Some(500), ..run("save") });
    let refusal = entry.result(short_deadline).expect("answered at once").clone().expect_err("refused");
    assert_eq!((refusal.code, refusal.verdict), (RefusalCode::DeadlineExceeded, Verdict::NotRun));
    assert!(refusal.retry_after_ms.is_some());
}

#[test]
fn reads_go_to_the_primary_while_every_replicas_queue_is_long() {
    let mut entry = Entry::open();
    for _ in 0..10 {
        entry.send(run("lookup"));
        let sent = entry.take_last_sent();
        entry.advance_ms(20);
        entry.complete(&sent, succeeded(replica(1, 120, 0)));
    }
    for _ in 0..40 {
        entry.send(run("lookup"));
    }
    assert!(entry.sent.iter().any(|sent| sent.endpoint == name("pbx-1")));
}
