//! Transactions: pinned, never mixed, and what ends them.

use {
    crate::fixture::{Entry, OTHER_KEY, call, done, primary, replica, run},
    cumincart_core::{
        endpoint_command::{CommandError, CommandOutput, EndpointCommand},
        entry::{Input, transaction::TRANSACTION_IDLE_MS},
    },
    cumincart_protocol::{
        number::Incarnation,
        refusal::RefusalCode,
        request::{CallerRequest, Operation, Rows, TransactionId},
        verdict::Verdict,
    },
};

fn within(id: &TransactionId) -> CallerRequest {
    call("edit", |call| Operation::Within(id.clone(), call))
}

fn commit(id: &TransactionId) -> CallerRequest {
    call("edit", |_| Operation::Commit(id.clone()))
}

fn rows() -> Result<CommandOutput, CommandError> {
    Ok(CommandOutput { rows: Rows::default(), state: None })
}

#[test]
fn a_transaction_keeps_its_connection_and_no_other_request_gets_it() {
    let mut entry = Entry::open();
    let first = entry.begin("edit", None);
    let second = entry.begin("edit", None);
    entry.ask(within(&first));
    let first_sent = entry.last_sent();
    entry.ask(within(&second));
    let second_sent = entry.last_sent();
    assert_ne!(first_sent.connection, second_sent.connection);
    entry.finish(&first_sent, rows());
    for _ in 0..10 {
        entry.ask(run("save"));
    }
    assert!(entry.sent.iter().all(|sent| sent.connection != first_sent.connection));
    let ticket = entry.ask(commit(&first));
    let sent = entry.last_sent();
    assert_eq!((sent.connection, &sent.work), (first_sent.connection, &EndpointCommand::Commit(None)));
    entry.finish(&sent, done(primary(1, 160)));
    let answer = entry.result(ticket).expect("answered").clone().expect("committed");
    assert_eq!(answer.session.seen.iter().next().expect("seen").write.position.0, 160);
}

#[test]
fn another_organisation_cannot_touch_it() {
    let mut entry = Entry::open();
    let id = entry.begin("edit", None);
    for request in [within(&id), commit(&id), call("edit", |_| Operation::Rollback(id.clone()))] {
        let ticket = entry.ask(CallerRequest { key_digest: Some(OTHER_KEY), ..request });
        let refusal = entry.result(ticket).expect("answered").clone().expect_err("refused");
        assert_eq!((refusal.code, refusal.verdict), (RefusalCode::TransactionUnknown, Verdict::NotRun));
    }
    assert!(entry.sent.is_empty());
}

#[test]
fn a_withdrawn_key_ends_it_without_a_commit() {
    let mut entry = Entry::open();
    let id = entry.begin("edit", None);
    entry.change(|catalogue| {
        let mut lists = (*catalogue.lists).clone();
        lists.organisations.organisations[0].keys.clear();
        catalogue.lists = lists.into();
    });
    assert_eq!(entry.last_sent().work, EndpointCommand::Rollback);
    let ticket = entry.ask(commit(&id));
    let refusal = entry.result(ticket).expect("answered").clone().expect_err("refused");
    assert_eq!((refusal.code, refusal.verdict), (RefusalCode::KeyRefused, Verdict::NotRun));
}

#[test]
fn an_idle_transaction_is_rolled_back_and_its_connection_used_again() {
    let mut entry = Entry::open();
    let id = entry.begin("edit", None);
    entry.advance_ms(TRANSACTION_IDLE_MS + 100);
    let sent = entry.last_sent();
    assert_eq!(sent.work, EndpointCommand::Rollback);
    entry.finish(&sent, rows());
    let ticket = entry.ask(commit(&id));
    let refusal = entry.result(ticket).expect("answered").clone().expect_err("refused");
    assert_eq!((refusal.code, refusal.verdict), (RefusalCode::TransactionUnknown, Verdict::NotRun));
    assert_eq!(entry.core.pool.endpoint(&sent.endpoint).expect("known").idle_len(), 2);
}

#[test]
fn a_caller_that_goes_away_in_a_statement_ends_it_and_its_connection() {
    let mut entry = Entry::open();
    let id = entry.begin("edit", None);
    let ticket = entry.ask(within(&id));
    let sent = entry.last_sent();
    entry.input(Input::ClientDisconnected(ticket));
    assert_eq!(entry.closed, vec![sent.connection]);
    assert!(entry.core.transactions.is_empty());
}

#[test]
fn a_caller_that_goes_away_in_a_begin_leaves_no_open_transaction() {
    let mut entry = Entry::open();
    let ticket = entry.ask(call("edit", Operation::Begin));
    let sent = entry.last_sent();
    entry.input(Input::ClientDisconnected(ticket));
    entry.input(Input::CommandEnded(sent.connection, sent.id, rows()));
    assert_eq!(entry.closed, vec![sent.connection]);
    assert!(entry.core.transactions.is_empty());
}

#[test]
fn a_lost_commit_is_unknown_and_a_lost_statement_did_not_run() {
    for (request, error, verdict) in [
        (commit as fn(&TransactionId) -> CallerRequest, CommandError::LostInCommit, Verdict::Unknown),
        (within, CommandError::LostBeforeCommit, Verdict::NotRun),
    ] {
        let mut entry = Entry::open();
        let id = entry.begin("edit", None);
        let ticket = entry.ask(request(&id));
        let sent = entry.last_sent();
        entry.finish(&sent, Err(error));
        assert_eq!(entry.result(ticket).expect("answered").clone().expect_err("lost").verdict, verdict);
        assert!(entry.core.transactions.is_empty());
    }
}

#[test]
fn a_commit_after_a_failover_is_refused_and_one_in_flight_is_unknown() {
    let mut entry = Entry::open();
    let id = entry.begin("edit", None);
    let in_flight = entry.begin("edit", None);
    let flying = entry.ask(commit(&in_flight));
    let sent = entry.last_sent();
    entry.fail_over("pbx-2", 100);
    entry.finish(&sent, done(primary(1, 130)));
    assert_eq!(
        entry.result(flying).expect("answered").clone().expect_err("unsure").verdict,
        Verdict::Unknown
    );
    let ticket = entry.ask(commit(&id));
    let refusal = entry.result(ticket).expect("answered").clone().expect_err("refused");
    assert_eq!(refusal.verdict, Verdict::NotRun);
    assert!(!entry.sent.iter().any(|sent| matches!(sent.work, EndpointCommand::Commit(_))));
}

#[test]
fn nothing_is_committed_without_a_live_term_lease() {
    let mut entry = Entry::open();
    let id = entry.begin("edit", None);
    entry.control_up = false;
    entry.advance_ms(1_600);
    let ticket = entry.ask(commit(&id));
    let refusal = entry.result(ticket).expect("answered").clone().expect_err("refused");
    assert_eq!((refusal.code, refusal.verdict), (RefusalCode::TermChanged, Verdict::NotRun));
    assert_eq!(entry.last_sent().work, EndpointCommand::Rollback);
}

#[test]
fn a_transaction_of_another_instance_is_passed_on_and_of_an_ended_run_refused() {
    let mut entry = Entry::open();
    let elsewhere = TransactionId { instance: "entry-2".into(), incarnation: Incarnation(3), number: 9 };
    let ticket = entry.ask(within(&elsewhere));
    assert_eq!(entry.forwarded, vec![ticket]);
    for (instance, incarnation) in [("entry-2", 2), ("entry-1", 6), ("entry-1", 7), ("entry-9", 1)] {
        let id =
            TransactionId { instance: instance.into(), incarnation: Incarnation(incarnation), number: 9 };
        let ticket = entry.ask(commit(&id));
        let refusal = entry.result(ticket).expect("answered").clone().expect_err("refused");
        assert_eq!((refusal.code, refusal.verdict), (RefusalCode::TransactionUnknown, Verdict::NotRun));
    }
}

#[test]
fn a_transaction_that_may_not_be_repeated_claims_its_id_with_the_commit() {
    let mut entry = Entry::open();
    let id = entry.begin("bill", Some("bill-1"));
    let ticket = entry.ask(commit(&id));
    let sent = entry.last_sent();
    assert!(
        matches!(&sent.work, EndpointCommand::Commit(Some(claim)) if claim.request_id.0.as_ref() == "bill-1")
    );
    entry.finish(&sent, Err(CommandError::AlreadyClaimed));
    let refusal = entry.result(ticket).expect("answered").clone().expect_err("refused");
    assert_eq!((refusal.code, refusal.verdict), (RefusalCode::AlreadyRun, Verdict::Ran));
}

#[test]
fn a_commit_on_a_replicated_route_is_acknowledged_only_when_a_replica_has_it() {
    let mut entry = Entry::open();
    let id = entry.begin("reserve", None);
    let ticket = entry.ask(commit(&id));
    let sent = entry.last_sent();
    entry.probes_answered = false;
    entry.finish(&sent, done(primary(1, 200)));
    assert!(entry.result(ticket).is_none());
    let probe = entry.last_sent();
    assert_ne!(probe.endpoint, sent.endpoint);
    entry.finish(&probe, done(replica(1, 200, 0)));
    assert!(entry.result(ticket).expect("answered").is_ok());
}
