//! Tests of transactions: pinned connections, isolation from other requests, and the conditions that end
//! them.

use {
    crate::fixture::{Entry, OTHER_KEY, call, primary, replica, run, succeeded},
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
    entry.send(within(&first));
    let first_sent = entry.take_last_sent();
    entry.send(within(&second));
    let second_sent = entry.take_last_sent();
    assert_ne!(first_sent.connection, second_sent.connection);
    entry.complete(&first_sent, rows());
    for _ in 0..10 {
        entry.send(run("save"));
    }
    assert!(entry.sent.iter().all(|sent| sent.connection != first_sent.connection));
    let ticket = entry.send(commit(&first));
    let sent = entry.take_last_sent();
    assert_eq!((sent.connection, &sent.command), (first_sent.connection, &EndpointCommand::Commit(None)));
    entry.complete(&sent, succeeded(primary(1, 160)));
    let answer = entry.result(ticket).expect("answered").clone().expect("committed");
    assert_eq!(answer.session.seen.iter().next().expect("seen").write.position.0, 160);
}

#[test]
fn another_organisation_cannot_use_a_transaction() {
    let mut entry = Entry::open();
    let id = entry.begin("edit", None);
    for request in [within(&id), commit(&id), call("edit", |_| Operation::Rollback(id.clone()))] {
        let ticket = entry.send(CallerRequest { key_digest: Some(OTHER_KEY), ..request });
        let refusal = entry.result(ticket).expect("answered").clone().expect_err("refused");
        assert_eq!((refusal.code, refusal.verdict), (RefusalCode::TransactionUnknown, Verdict::NotRun));
    }
    assert!(entry.sent.is_empty());
}

#[test]
fn a_withdrawn_key_rolls_its_transaction_back() {
    let mut entry = Entry::open();
    let id = entry.begin("edit", None);
    entry.update_catalogue(|catalogue| {
        let mut lists = (*catalogue.lists).clone();
        lists.organisations.organisations[0].keys.clear();
        catalogue.lists = lists.into();
    });
    assert_eq!(entry.take_last_sent().command, EndpointCommand::Rollback);
    let ticket = entry.send(commit(&id));
    let refusal = entry.result(ticket).expect("answered").clone().expect_err("refused");
    assert_eq!((refusal.code, refusal.verdict), (RefusalCode::KeyRefused, Verdict::NotRun));
}

#[test]
fn an_idle_transaction_is_rolled_back_and_its_connection_used_again() {
    let mut entry = Entry::open();
    let id = entry.begin("edit", None);
    entry.advance_ms(TRANSACTION_IDLE_MS + 100);
    let sent = entry.take_last_sent();
    assert_eq!(sent.command, EndpointCommand::Rollback);
    entry.complete(&sent, rows());
    let ticket = entry.send(commit(&id));
    let refusal = entry.result(ticket).expect("answered").clone().expect_err("refused");
    assert_eq!((refusal.code, refusal.verdict), (RefusalCode::TransactionUnknown, Verdict::NotRun));
    assert_eq!(entry.core.pool.endpoint(&sent.endpoint).expect("known").idle_len(), 2);
}

#[test]
fn a_caller_disconnect_during_a_statement_ends_the_transaction_and_its_connection() {
    let mut entry = Entry::open();
    let id = entry.begin("edit", None);
    let ticket = entry.send(within(&id));
    let sent = entry.take_last_sent();
    entry.input(Input::CallerDisconnected(ticket));
    assert_eq!(entry.closed, vec![sent.connection]);
    assert!(entry.core.transactions.is_empty());
}

#[test]
fn a_caller_disconnect_during_a_begin_leaves_no_open_transaction() {
    let mut entry = Entry::open();
    let ticket = entry.send(call("edit", Operation::Begin));
    let sent = entry.take_last_sent();
    entry.input(Input::CallerDisconnected(ticket));
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
        let ticket = entry.send(request(&id));
        let sent = entry.take_last_sent();
        entry.complete(&sent, Err(error));
        assert_eq!(entry.result(ticket).expect("answered").clone().expect_err("lost").verdict, verdict);
        assert!(entry.core.transactions.is_empty());
    }
}

#[test]
fn a_commit_after_a_failover_is_refused_and_one_in_flight_is_unknown() {
    let mut entry = Entry::open();
    let id = entry.begin("edit", None);
    let in_flight = entry.begin("edit", None);
    let committing = entry.send(commit(&in_flight));
    let sent = entry.take_last_sent();
    entry.fail_over("pbx-2", 100);
    entry.complete(&sent, succeeded(primary(1, 130)));
    assert_eq!(
        entry.result(committing).expect("answered").clone().expect_err("unknown").verdict,
        Verdict::Unknown
    );
    let ticket = entry.send(commit(&id));
    let refusal = entry.result(ticket).expect("answered").clone().expect_err("refused");
    assert_eq!(refusal.verdict, Verdict::NotRun);
    assert!(!entry.sent.iter().any(|sent| matches!(sent.command, EndpointCommand::Commit(_))));
}

#[test]
fn nothing_is_committed_without_a_live_term_lease() {
    let mut entry = Entry::open();
    let id = entry.begin("edit", None);
    entry.control_reachable = false;
    entry.advance_ms(1_600);
    let ticket = entry.send(commit(&id));
    let refusal = entry.result(ticket).expect("answered").clone().expect_err("refused");
    assert_eq!((refusal.code, refusal.verdict), (RefusalCode::TermChanged, Verdict::NotRun));
    assert_eq!(entry.take_last_sent().command, EndpointCommand::Rollback);
}

#[test]
fn a_transaction_of_another_instance_is_forwarded_and_one_of_an_earlier_incarnation_refused() {
    let mut entry = Entry::open();
    let elsewhere = TransactionId { instance: "entry-2".into(), incarnation: Incarnation(3), number: 9 };
    let ticket = entry.send(within(&elsewhere));
    assert_eq!(entry.forwarded, vec![ticket]);
    for (instance, incarnation) in [("entry-2", 2), ("entry-1", 6), ("entry-1", 7), ("entry-9", 1)] {
        let id =
            TransactionId { instance: instance.into(), incarnation: Incarnation(incarnation), number: 9 };
        let ticket = entry.send(commit(&id));
        let refusal = entry.result(ticket).expect("answered").clone().expect_err("refused");
        assert_eq!((refusal.code, refusal.verdict), (RefusalCode::TransactionUnknown, Verdict::NotRun));
    }
}

#[test]
fn a_non_repeatable_transaction_inserts_its_claim_with_the_commit() {
    let mut entry = Entry::open();
    let id = entry.begin("bill", Some("bill-1"));
    let ticket = entry.send(commit(&id));
    let sent = entry.take_last_sent();
    assert!(
        matches!(&sent.command, EndpointCommand::Commit(Some(claim)) if claim.request_id.0.as_ref() == "bill-1")
    );
    entry.complete(&sent, Err(CommandError::AlreadyClaimed));
    let refusal = entry.result(ticket).expect("answered").clone().expect_err("refused");
    assert_eq!((refusal.code, refusal.verdict), (RefusalCode::AlreadyRun, Verdict::Ran));
}

#[test]
fn a_commit_on_a_replicated_route_is_acknowledged_only_when_a_replica_has_it() {
    let mut entry = Entry::open();
    let id = entry.begin("reserve", None);
    let ticket = entry.send(commit(&id));
    let sent = entry.take_last_sent();
    entry.answers_probes = false;
    entry.complete(&sent, succeeded(primary(1, 200)));
    assert!(entry.result(ticket).is_none());
    let probe = entry.take_last_sent();
    assert_ne!(probe.endpoint, sent.endpoint);
    entry.complete(&probe, succeeded(replica(1, 200, 0)));
    assert!(entry.result(ticket).expect("answered").is_ok());
}
