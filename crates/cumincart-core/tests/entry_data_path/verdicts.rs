//! Tests of verdicts, retries, stray results, acknowledgement under the term lease, claims and replicated
//! writes.

use {
    crate::fixture::{Entry, name, primary, replica, run, run_once, succeeded},
    cumincart_core::{
        endpoint_command::{CommandError, EndpointCommand},
        entry::Input,
    },
    cumincart_protocol::{refusal::RefusalCode, verdict::Verdict},
    test_case::test_case,
};

#[test]
fn an_old_primarys_write_is_not_acknowledged_after_the_lease_ends() {
    let mut entry = Entry::open();
    entry.control_reachable = false;
    let ticket = entry.send(run("save"));
    let sent = entry.take_last_sent();
    entry.advance_ms(1_500);
    entry.complete(&sent, succeeded(primary(1, 120)));
    let refusal = entry.result(ticket).expect("answered").clone().expect_err("not acknowledged");
    assert_eq!((refusal.code, refusal.verdict), (RefusalCode::TermChanged, Verdict::Unknown));
}

#[test]
fn an_old_primarys_write_is_not_acknowledged_in_the_next_term() {
    let mut entry = Entry::open();
    let ticket = entry.send(run("save"));
    let sent = entry.take_last_sent();
    entry.fail_over("pbx-2", 100);
    entry.complete(&sent, succeeded(primary(1, 120)));
    let refusal = entry.result(ticket).expect("answered").clone().expect_err("not acknowledged");
    assert_eq!((refusal.code, refusal.verdict), (RefusalCode::TermChanged, Verdict::Unknown));
}

#[test]
fn writes_wait_while_the_group_has_no_writable_primary() {
    let mut entry = Entry::open();
    entry.update_catalogue(|catalogue| {
        catalogue.groups.get_mut(&"pbx".into()).expect("it is there").writable = false;
    });
    let ticket = entry.send(run("save"));
    assert!(entry.sent.is_empty());
    entry.update_catalogue(|catalogue| {
        catalogue.groups.get_mut(&"pbx".into()).expect("it is there").writable = true;
    });
    entry.advance_ms(20);
    let sent = entry.take_last_sent();
    entry.complete(&sent, succeeded(primary(1, 120)));
    assert!(entry.result(ticket).expect("answered").is_ok());
}

/// Guards against "not run" for a repeatable write whose first attempt was lost in its commit: the next one found no endpoint.
#[test]
fn a_refused_retry_does_not_deny_an_earlier_attempt() {
    for (error, expected) in
        [(CommandError::LostInCommit, Verdict::Unknown), (CommandError::LostBeforeCommit, Verdict::NotRun)]
    {
        let mut entry = Entry::open();
        let ticket = entry.send(run("save"));
        let sent = entry.take_last_sent();
        entry.update_catalogue(|catalogue| {
            let group = catalogue.groups.get_mut(&"pbx".into()).expect("it is there");
            group.writable = false;
            group.primary = None;
        });
        entry.complete(&sent, Err(error));
        entry.advance_ms(20_000);
        let refusal = entry.result(ticket).expect("answered").clone().expect_err("refused");
        assert_eq!(refusal.verdict, expected);
    }
}

#[test_case("save", CommandError::LostBeforeCommit, 2; "not run")]
#[test_case("save", CommandError::LostInCommit, 2; "repeatable")]
#[test_case("record", CommandError::LostBeforeCommit, 2; "not repeatable but not run")]
#[test_case("record", CommandError::LostInCommit, 1; "may have run")]
fn only_requests_that_did_not_run_or_are_repeatable_are_retried(
    route: &str,
    error: CommandError,
    sends: usize,
) {
    let mut entry = Entry::open();
    let ticket = entry.send(run_once(route, "r-1"));
    let sent = entry.take_last_sent();
    entry.complete(&sent, Err(error));
    entry.advance_ms(300);
    assert_eq!(1 + entry.sent.len(), sends);
    if sends == 1 {
        let refusal = entry.result(ticket).expect("answered").clone().expect_err("refused");
        assert_eq!(refusal.verdict, Verdict::Unknown);
    }
}

#[test]
fn retries_stop_when_the_retry_budget_is_spent() {
    let mut entry = Entry::open();
    for _ in 0..60 {
        entry.send(run("lookup"));
    }
    for _ in 0..100 {
        entry.advance_ms(10);
        for sent in std::mem::take(&mut entry.sent) {
            entry.complete(&sent, Err(CommandError::LostBeforeCommit));
        }
    }
    // The budget starts at its maximum of 20 retries, so the requests add nothing.
    assert_eq!(entry.core.counters.retries, 20);
}

#[test]
fn late_duplicate_and_mismatched_results_are_dropped() {
    let mut entry = Entry::open();
    let first = entry.send(run("save"));
    let first_sent = entry.take_last_sent();
    let second = entry.send(run("save"));
    let second_sent = entry.take_last_sent();
    assert_ne!(first_sent.connection, second_sent.connection);
    entry.input(Input::CommandEnded(first_sent.connection, second_sent.id, succeeded(primary(1, 111))));
    assert!(entry.result(first).is_none() && entry.result(second).is_none(), "mismatched");
    entry.complete(&first_sent, succeeded(primary(1, 120)));
    entry.complete(&first_sent, succeeded(primary(1, 999)));
    let answer = entry.result(first).expect("answered once").clone().expect("written");
    assert_eq!(answer.session.seen.iter().next().expect("seen").write.position.0, 120, "duplicate");
    entry.advance_ms(2_100);
    let refusal = entry.result(second).expect("answered").clone().expect_err("timed out");
    assert_eq!((refusal.code, refusal.verdict), (RefusalCode::DeadlineExceeded, Verdict::Unknown));
    entry.complete(&second_sent, succeeded(primary(1, 130)));
    assert!(entry.result(second).is_some_and(Result::is_err), "late");
    assert_eq!(entry.core.counters.stray_answers, 2);
}

#[test]
fn a_late_result_never_reaches_the_next_request_on_its_connection() {
    let mut entry = Entry::open();
    let tickets: Vec<_> = (0..4).map(|_| entry.send(run("save"))).collect();
    let held: Vec<_> = std::mem::take(&mut entry.sent);
    entry.advance_ms(2_100);
    assert!(tickets.iter().all(|ticket| entry.result(*ticket).is_some_and(Result::is_err)));
    let next = entry.send(run("save"));
    assert!(entry.sent.is_empty(), "a command is still in flight on every connection");
    entry.complete(&held[0], succeeded(primary(1, 120)));
    assert!(entry.result(next).is_none());
    let sent = entry.take_last_sent();
    assert_eq!(sent.connection, held[0].connection);
    entry.complete(&held[0], succeeded(primary(1, 121)));
    assert!(entry.result(next).is_none());
    entry.complete(&sent, succeeded(primary(1, 122)));
    assert!(entry.result(next).expect("answered").is_ok());
}

#[test]
fn a_non_repeatable_write_needs_a_request_id_and_inserts_a_claim() {
    let mut entry = Entry::open();
    let without = entry.send(run("record"));
    let refusal = entry.result(without).expect("answered").clone().expect_err("refused");
    assert_eq!((refusal.code, refusal.verdict), (RefusalCode::RequestIdMissing, Verdict::NotRun));
    entry.send(run_once("record", "call-1"));
    let EndpointCommand::Write(_, Some(claim)) = entry.take_last_sent().command else {
        panic!("it carries a claim")
    };
    assert_eq!(claim.request_id.0.as_ref(), "call-1");
    assert_eq!(claim.organisation, Some("clinic".into()));
}

#[test_case("pbx-2"; "another primary")]
#[test_case("pbx-1"; "the same primary again")]
fn an_existing_claim_means_that_the_request_ran_unless_a_failover_followed(to: &str) {
    let mut entry = Entry::open();
    let ticket = entry.send(run_once("record", "call-1"));
    let sent = entry.take_last_sent();
    entry.complete(&sent, Err(CommandError::AlreadyClaimed));
    let refusal = entry.result(ticket).expect("answered").clone().expect_err("refused");
    assert_eq!((refusal.code, refusal.verdict), (RefusalCode::AlreadyRun, Verdict::Ran));

    let ticket = entry.send(run_once("record", "call-2"));
    let sent = entry.take_last_sent();
    entry.fail_over(to, 100);
    entry.complete(&sent, Err(CommandError::AlreadyClaimed));
    let refusal = entry.result(ticket).expect("answered").clone().expect_err("refused");
    assert_eq!(refusal.verdict, Verdict::Unknown);
}

#[test]
fn a_replicated_write_is_acknowledged_only_when_a_replica_has_it() {
    let mut entry = Entry::open();
    let ticket = entry.send(run_once("hold", "hold-1"));
    let sent = entry.take_last_sent();
    entry.answers_probes = false;
    entry.complete(&sent, succeeded(primary(1, 200)));
    assert!(entry.result(ticket).is_none());
    let probe = entry.take_last_sent();
    assert_ne!(probe.endpoint, name("pbx-1"));
    entry.complete(&probe, succeeded(replica(1, 199, 3)));
    assert!(entry.result(ticket).is_none());
    let probe = entry.take_last_sent();
    entry.complete(&probe, succeeded(replica(1, 200, 0)));
    assert!(entry.result(ticket).expect("answered").is_ok());
}

#[test]
fn a_replicated_write_that_no_replica_confirms_is_unknown_and_its_refusal_carries_the_session() {
    let mut entry = Entry::open();
    let ticket = entry.send(run_once("hold", "hold-1"));
    let sent = entry.take_last_sent();
    entry.complete(&sent, succeeded(primary(1, 200)));
    entry.advance_ms(2_100);
    let refusal = entry.result(ticket).expect("answered").clone().expect_err("refused");
    assert_eq!(refusal.verdict, Verdict::Unknown);
    assert!(refusal.session.is_some());
}

#[test]
fn a_claim_on_a_replicated_route_waits_for_the_primarys_current_position() {
    let mut entry = Entry::open();
    let ticket = entry.send(run_once("hold", "hold-1"));
    let sent = entry.take_last_sent();
    entry.answers_probes = false;
    entry.complete(&sent, Err(CommandError::AlreadyClaimed));
    assert!(entry.result(ticket).is_none());
    let probe = entry.take_last_sent();
    assert_eq!((&probe.endpoint, &probe.command), (&name("pbx-1"), &EndpointCommand::Probe));
    entry.now = entry.now + std::time::Duration::from_millis(1);
    entry.complete(&probe, succeeded(primary(1, 300)));
    let behind = entry.take_last_sent();
    entry.complete(&behind, succeeded(replica(1, 299, 1)));
    assert!(entry.result(ticket).is_none(), "the replica does not have the claim yet");
    let covering = entry.take_last_sent();
    entry.complete(&covering, succeeded(replica(1, 300, 0)));
    let refusal = entry.result(ticket).expect("answered").clone().expect_err("refused");
    assert_eq!((refusal.code, refusal.verdict), (RefusalCode::AlreadyRun, Verdict::Ran));
}
