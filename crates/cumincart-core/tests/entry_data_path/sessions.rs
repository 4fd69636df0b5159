//! Tests of session guarantees: read-your-writes, monotonic reads, bounded staleness and lost writes.

use {
    crate::fixture::{Entry, name, primary, replica, run, run_with, succeeded},
    cumincart_protocol::{refusal::RefusalCode, session::Session, verdict::Verdict},
};

fn written(entry: &mut Entry, position: u64) -> Session {
    entry.advance_ms(20);
    let term = entry.catalogue.group(&"pbx".into()).expect("it is there").term.0;
    let ticket = entry.send(run("save"));
    let sent = entry.take_last_sent();
    entry.complete(&sent, succeeded(primary(term, position)));
    entry.result(ticket).expect("answered").clone().expect("written").session
}

#[test]
fn a_read_from_a_replica_behind_the_sessions_write_is_discarded() {
    let mut entry = Entry::open();
    let session = written(&mut entry, 500);
    entry.advance_ms(20);
    let ticket = entry.send(run_with("lookup", &session));
    let sent = entry.take_last_sent();
    assert_eq!(sent.endpoint, name("pbx-2"), "its lag so far predicts that it has caught up");
    entry.complete(&sent, succeeded(replica(1, 499, 5)));
    assert!(entry.result(ticket).is_none());
    let sent = entry.take_last_sent();
    assert_eq!(sent.endpoint, name("pbx-1"), "a stale read is repeated on the primary");
    entry.complete(&sent, succeeded(primary(1, 510)));
    assert!(!entry.result(ticket).expect("answered").clone().expect("read").from_replica);
}

#[test]
fn a_read_is_not_sent_to_a_replica_that_cannot_have_caught_up() {
    let mut entry = Entry::open();
    entry.set_state("pbx-2", replica(1, 100, 400));
    entry.set_state("pbx-3", replica(1, 100, 400));
    entry.advance_ms(300);
    let session = written(&mut entry, 500);
    entry.advance_ms(100);
    entry.send(run_with("lookup", &session));
    assert_eq!(entry.take_last_sent().endpoint, name("pbx-1"));
    entry.advance_ms(400);
    entry.send(run_with("lookup", &session));
    assert_eq!(entry.take_last_sent().endpoint, name("pbx-2"));
}

#[test]
fn a_session_never_reads_an_older_state_than_before() {
    let mut entry = Entry::open();
    let first = entry.send(run("lookup"));
    let sent = entry.take_last_sent();
    entry.complete(&sent, succeeded(replica(1, 300, 5)));
    let session = entry.result(first).expect("answered").clone().expect("read").session;
    let second = entry.send(run_with("lookup", &session));
    let sent = entry.take_last_sent();
    entry.complete(&sent, succeeded(replica(1, 299, 5)));
    assert!(entry.result(second).is_none());
}

#[test]
fn a_read_staler_than_the_route_accepts_is_discarded() {
    let mut entry = Entry::open();
    let ticket = entry.send(run("lookup"));
    let sent = entry.take_last_sent();
    entry.complete(&sent, succeeded(replica(1, 300, 1_001)));
    assert!(entry.result(ticket).is_none());
    assert_eq!(entry.take_last_sent().endpoint, name("pbx-1"));
}

#[test]
fn replica_staleness_counts_from_the_end_of_the_term_lease() {
    let mut entry = Entry::open();
    entry.control_reachable = false;
    entry.advance_ms(2_440);
    let ticket = entry.send(run("lookup"));
    let sent = entry.take_last_sent();
    entry.advance_ms(90);
    entry.complete(&sent, succeeded(replica(1, 100, 0)));
    assert!(entry.result(ticket).is_none(), "the lease ended more than 1 s ago, the route accepts 1 s");
}

#[test]
fn a_read_from_a_replica_of_a_deposed_primary_is_discarded() {
    let mut entry = Entry::open();
    let ticket = entry.send(run("lookup"));
    let sent = entry.take_last_sent();
    entry.fail_over("pbx-3", 100);
    entry.complete(&sent, succeeded(replica(1, 900, 0)));
    assert!(entry.result(ticket).is_none(), "it follows timeline 1, the group is on 2");
    assert_eq!(entry.take_last_sent().endpoint, name("pbx-3"));
    entry.send(run("lookup"));
    assert_eq!(entry.take_last_sent().endpoint, name("pbx-3"), "the others are known to be on timeline 1");
}

#[test]
fn a_read_without_allowed_staleness_sees_every_acknowledged_write() {
    let mut entry = Entry::open();
    let ticket = entry.send(run("strict"));
    let sent = entry.take_last_sent();
    assert_eq!(sent.endpoint, name("pbx-1"));
    entry.control_reachable = false;
    entry.advance_ms(1_600);
    entry.complete(&sent, succeeded(primary(1, 100)));
    assert!(entry.result(ticket).is_none(), "the lease ran out before the answer came");
}

#[test]
fn a_lost_write_is_reported_once_and_the_session_continues() {
    let mut entry = Entry::open();
    let session = written(&mut entry, 500);
    entry.fail_over("pbx-2", 450);
    let refused = entry.send(run_with("lookup", &session));
    let refusal = entry.result(refused).expect("answered").clone().expect_err("refused");
    assert_eq!((refusal.code, refusal.verdict), (RefusalCode::WriteLost, Verdict::NotRun));
    let session =
        Session::decode(&refusal.session.expect("a token to continue with")).expect("it is well-formed");
    let again = entry.send(run_with("lookup", &session));
    let sent = entry.take_last_sent();
    entry.complete(&sent, succeeded(replica(2, 460, 0)));
    assert!(entry.result(again).expect("answered").is_ok());
}

#[test]
fn a_write_that_survived_the_failover_is_still_seen() {
    let mut entry = Entry::open();
    let session = written(&mut entry, 440);
    entry.fail_over("pbx-2", 450);
    let ticket = entry.send(run_with("lookup", &session));
    let sent = entry.take_last_sent();
    entry.complete(&sent, succeeded(replica(2, 439, 0)));
    assert!(entry.result(ticket).is_none());
}

#[test]
fn a_session_of_an_unknown_term_waits_for_the_term() {
    let mut ahead = Entry::open();
    ahead.fail_over("pbx-2", 100);
    let session = written(&mut ahead, 200);
    let mut behind = Entry::open();
    let ticket = behind.send(run_with("lookup", &session));
    assert!(behind.sent.is_empty());
    behind.fail_over("pbx-2", 100);
    behind.advance_ms(20);
    let sent = behind.take_last_sent();
    behind.complete(&sent, succeeded(replica(2, 200, 0)));
    assert!(behind.result(ticket).expect("answered").is_ok());
}
