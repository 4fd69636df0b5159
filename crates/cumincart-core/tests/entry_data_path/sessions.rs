//! Read-your-writes, reads that never go back, stated age, lost writes.

use {
    crate::fixture::{Entry, done, name, primary, replica, run, run_with},
    cumincart_protocol::{refusal::RefusalCode, session::Session, verdict::Verdict},
};

fn written(entry: &mut Entry, position: u64) -> Session {
    entry.advance_ms(20);
    let term = entry.catalogue.group(&"pbx".into()).expect("it is there").term.0;
    let ticket = entry.ask(run("save"));
    let sent = entry.last_sent();
    entry.finish(&sent, done(primary(term, position)));
    entry.result(ticket).expect("answered").clone().expect("written").session
}

#[test]
fn a_replica_behind_the_sessions_write_is_not_believed() {
    let mut entry = Entry::open();
    let session = written(&mut entry, 500);
    entry.advance_ms(20);
    let ticket = entry.ask(run_with("lookup", &session));
    let sent = entry.last_sent();
    assert_eq!(sent.endpoint, name("pbx-2"), "by its lag so far it should have caught up");
    entry.finish(&sent, done(replica(1, 499, 5)));
    assert!(entry.result(ticket).is_none());
    let sent = entry.last_sent();
    assert_eq!(sent.endpoint, name("pbx-1"), "the miss goes to the primary");
    entry.finish(&sent, done(primary(1, 510)));
    assert!(!entry.result(ticket).expect("answered").clone().expect("read").from_replica);
}

#[test]
fn a_replica_that_cannot_have_caught_up_is_not_asked() {
    let mut entry = Entry::open();
    entry.set_state("pbx-2", replica(1, 100, 400));
    entry.set_state("pbx-3", replica(1, 100, 400));
    entry.advance_ms(300);
    let session = written(&mut entry, 500);
    entry.advance_ms(100);
    entry.ask(run_with("lookup", &session));
    assert_eq!(entry.last_sent().endpoint, name("pbx-1"));
    entry.advance_ms(400);
    entry.ask(run_with("lookup", &session));
    assert_eq!(entry.last_sent().endpoint, name("pbx-2"));
}

#[test]
fn reads_never_go_back_to_an_older_replica() {
    let mut entry = Entry::open();
    let first = entry.ask(run("lookup"));
    let sent = entry.last_sent();
    entry.finish(&sent, done(replica(1, 300, 5)));
    let session = entry.result(first).expect("answered").clone().expect("read").session;
    let second = entry.ask(run_with("lookup", &session));
    let sent = entry.last_sent();
    entry.finish(&sent, done(replica(1, 299, 5)));
    assert!(entry.result(second).is_none());
}

#[test]
fn a_replica_older_than_the_route_accepts_is_not_believed() {
    let mut entry = Entry::open();
    let ticket = entry.ask(run("lookup"));
    let sent = entry.last_sent();
    entry.finish(&sent, done(replica(1, 300, 1_001)));
    assert!(entry.result(ticket).is_none());
    assert_eq!(entry.last_sent().endpoint, name("pbx-1"));
}

#[test]
fn a_replica_that_may_follow_a_deposed_primary_ages_from_the_end_of_the_term_lease() {
    let mut entry = Entry::open();
    entry.control_up = false;
    entry.advance_ms(2_440);
    let ticket = entry.ask(run("lookup"));
    let sent = entry.last_sent();
    entry.advance_ms(90);
    entry.finish(&sent, done(replica(1, 100, 0)));
    assert!(entry.result(ticket).is_none(), "the lease ended more than 1 s ago, the route accepts 1 s");
}

#[test]
fn a_replica_of_a_deposed_primary_is_not_believed() {
    let mut entry = Entry::open();
    let ticket = entry.ask(run("lookup"));
    let sent = entry.last_sent();
    entry.fail_over("pbx-3", 100);
    entry.finish(&sent, done(replica(1, 900, 0)));
    assert!(entry.result(ticket).is_none(), "it follows timeline 1, the group is on 2");
    assert_eq!(entry.last_sent().endpoint, name("pbx-3"));
    entry.ask(run("lookup"));
    assert_eq!(entry.last_sent().endpoint, name("pbx-3"), "the others are known to be on timeline 1");
}

#[test]
fn a_read_without_a_stated_age_sees_everything_acknowledged() {
    let mut entry = Entry::open();
    let ticket = entry.ask(run("strict"));
    let sent = entry.last_sent();
    assert_eq!(sent.endpoint, name("pbx-1"));
    entry.control_up = false;
    entry.advance_ms(1_600);
    entry.finish(&sent, done(primary(1, 100)));
    assert!(entry.result(ticket).is_none(), "the lease ran out before the answer came");
}

#[test]
fn a_lost_write_is_told_once_and_the_session_goes_on() {
    let mut entry = Entry::open();
    let session = written(&mut entry, 500);
    entry.fail_over("pbx-2", 450);
    let told = entry.ask(run_with("lookup", &session));
    let refusal = entry.result(told).expect("answered").clone().expect_err("told");
    assert_eq!((refusal.code, refusal.verdict), (RefusalCode::WriteLost, Verdict::NotRun));
    let session =
        Session::decode(&refusal.session.expect("a token to go on with")).expect("it is well-formed");
    let again = entry.ask(run_with("lookup", &session));
    let sent = entry.last_sent();
    entry.finish(&sent, done(replica(2, 460, 0)));
    assert!(entry.result(again).expect("answered").is_ok());
}

#[test]
fn a_write_that_survived_the_failover_is_still_seen() {
    let mut entry = Entry::open();
    let session = written(&mut entry, 440);
    entry.fail_over("pbx-2", 450);
    let ticket = entry.ask(run_with("lookup", &session));
    let sent = entry.last_sent();
    entry.finish(&sent, done(replica(2, 439, 0)));
    assert!(entry.result(ticket).is_none());
}

#[test]
fn a_session_of_a_term_not_known_here_waits_for_it() {
    let mut ahead = Entry::open();
    ahead.fail_over("pbx-2", 100);
    let session = written(&mut ahead, 200);
    let mut behind = Entry::open();
    let ticket = behind.ask(run_with("lookup", &session));
    assert!(behind.sent.is_empty());
    behind.fail_over("pbx-2", 100);
    behind.advance_ms(20);
    let sent = behind.last_sent();
    behind.finish(&sent, done(replica(2, 200, 0)));
    assert!(behind.result(ticket).expect("answered").is_ok());
}
