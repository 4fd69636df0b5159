//! Handles the requests within a transaction: statements, commit and rollback.

use {
    super::{ActiveOperation, Transaction, TransactionAction, end, forward, unknown_transaction},
    crate::{
        endpoint_command::EndpointCommand,
        entry::{
            Core, Effect, Ticket, admission, drain,
            pool::Owner,
            quota::{self, QuotaDecision},
            request,
        },
    },
    cumincart_protocol::{
        lists::{Access, DEFAULT_DEADLINE_MS},
        refusal::{Refusal, RefusalCode},
        request::{Call, CallerRequest, TransactionId},
        time::Instant,
    },
};

/// Handles a request to run a statement in a transaction.
pub fn on_statement_request(
    core: &mut Core,
    now: Instant,
    ticket: Ticket,
    request: Box<CallerRequest>,
    id: &TransactionId,
    call: &Call,
    out: &mut Vec<Effect>,
) {
    if !is_local(core, id) {
        return forward(core, ticket, request, id, out);
    }
    match prepare_statement(core, now, &request, id, call, ticket) {
        Ok((command, deadline)) => {
            let action = TransactionAction::Statement;
            let operation =
                ActiveOperation { ticket: Some(ticket), action, session: request.session, deadline };
            execute(core, now, id.number, operation, command, out);
        }
        Err(refusal) => request::answer(core, ticket, Err(refusal), out),
    }
}

fn prepare_statement(
    core: &mut Core,
    now: Instant,
    request: &CallerRequest,
    id: &TransactionId,
    call: &Call,
    ticket: Ticket,
) -> Result<(EndpointCommand, Instant), Refusal> {
    let admitted = admission::admit(core, now, request, call)?;
    let transaction = core.transactions.get(&id.number).ok_or_else(unknown_transaction)?;
    if transaction.organisation != admitted.organisation {
        return Err(unknown_transaction());
    }
    check_idle(transaction)?;
    check_term(core, now, transaction)?;
    let route = &admitted.route;
    if !route.transaction || admitted.service != transaction.service {
        return Err(bad_request("this route can't be used in this transaction"));
    }
    if route.access == Access::Write && transaction.read_only {
        return Err(bad_request("the transaction is read-only"));
    }
    if route.access == Access::Write && !route.repeatable && transaction.claim.is_none() {
        let message = "this route's requests may not be repeated: begin the transaction with a request id";
        return Err(Refusal::not_run(RefusalCode::RequestIdMissing, message));
    }
    let deadline = drain::cap_deadline(core, request::deadline(now, request, route.deadline_ms));
    if let Some(organisation) = &admitted.organisation {
        // The transaction holds a connection, so its statement doesn't wait for a token. If there is none, it
        // is refused with the time after which to retry.
        let decision = quota::acquire(&mut core.quota, now, organisation, ticket, now);
        if let QuotaDecision::Refused { retry_after_ms } = decision {
            return Err(over_rate(retry_after_ms));
        }
        if decision == QuotaDecision::Waiting {
            quota::cancel(&mut core.quota, ticket);
            return Err(over_rate(0));
        }
    }
    if let Some(transaction) = core.transactions.get_mut(&id.number) {
        transaction.replicated |= admitted.route.replicated;
    }
    Ok((EndpointCommand::Statement(admitted.statement), deadline))
}

fn over_rate(retry_after_ms: u64) -> Refusal {
    Refusal::not_run(RefusalCode::OverRate, "the organisation is over its rate")
        .retry_after_ms(retry_after_ms)
}

fn bad_request(message: &str) -> Refusal {
    Refusal::not_run(RefusalCode::BadRequest, message)
}

/// Handles a request to commit.
pub fn on_commit(
    core: &mut Core,
    now: Instant,
    ticket: Ticket,
    request: Box<CallerRequest>,
    id: &TransactionId,
    out: &mut Vec<Effect>,
) {
    if !is_local(core, id) {
        return forward(core, ticket, request, id, out);
    }
    if let Err(refusal) = check_end(core, now, &request, id) {
        return request::answer(core, ticket, Err(refusal), out);
    }
    let transaction = core.transactions.get(&id.number);
    let term_refusal = transaction.and_then(|transaction| check_term(core, now, transaction).err());
    if let Some(refusal) = term_refusal {
        request::answer(core, ticket, Err(refusal), out);
        return end::roll_back(core, now, id.number, out);
    }
    let claim = transaction.and_then(|transaction| transaction.claim.clone());
    let deadline = drain::cap_deadline(core, request::deadline(now, &request, DEFAULT_DEADLINE_MS));
    let action = TransactionAction::Commit;
    let operation = ActiveOperation { ticket: Some(ticket), action, session: request.session, deadline };
    execute(core, now, id.number, operation, EndpointCommand::Commit(claim), out);
}

/// Handles a request to roll back.
pub fn on_rollback(
    core: &mut Core,
    now: Instant,
    ticket: Ticket,
    request: Box<CallerRequest>,
    id: &TransactionId,
    out: &mut Vec<Effect>,
) {
    if !is_local(core, id) {
        return forward(core, ticket, request, id, out);
    }
    if let Err(refusal) = check_end(core, now, &request, id) {
        return request::answer(core, ticket, Err(refusal), out);
    }
    let deadline = drain::cap_deadline(core, request::deadline(now, &request, DEFAULT_DEADLINE_MS));
    let action = TransactionAction::Rollback;
    let operation = ActiveOperation { ticket: Some(ticket), action, session: request.session, deadline };
    execute(core, now, id.number, operation, EndpointCommand::Rollback, out);
}

fn is_local(core: &Core, id: &TransactionId) -> bool {
    id.instance == core.settings.instance
}

/// Checks that a request may end the transaction: the transaction is known, the key belongs to its
/// organisation, and no operation is in flight.
fn check_end(core: &Core, now: Instant, request: &CallerRequest, id: &TransactionId) -> Result<(), Refusal> {
    let known = core.transactions.get(&id.number).filter(|_| id.incarnation == core.settings.incarnation);
    let transaction = known.ok_or_else(unknown_transaction)?;
    if let Some(organisation) = &transaction.organisation {
        let organisation_of_key = admission::identify(core, now, request.key_digest.as_ref())?;
        if organisation_of_key != *organisation {
            return Err(unknown_transaction());
        }
    }
    check_idle(transaction)
}

fn check_idle(transaction: &Transaction) -> Result<(), Refusal> {
    if transaction.active_operation.is_some() {
        return Err(bad_request("another request of this transaction is in flight"));
    }
    Ok(())
}

pub(super) fn check_term(core: &Core, now: Instant, transaction: &Transaction) -> Result<(), Refusal> {
    let group = core.freshness.catalogue.group(&transaction.service);
    if transaction.is_term_current(core, now, group) {
        return Ok(());
    }
    let message = "the primary changed, or may have changed, since the transaction began; the transaction is rolled back";
    Err(Refusal::not_run(RefusalCode::TermChanged, message))
}

fn execute(
    core: &mut Core,
    now: Instant,
    number: u64,
    operation: ActiveOperation,
    command: EndpointCommand,
    out: &mut Vec<Effect>,
) {
    let Some(transaction) = core.transactions.get_mut(&number) else {
        return;
    };
    let owner = Owner::Transaction(number);
    if core.pool.execute(now, transaction.connection, owner, command, out).is_some() {
        transaction.active_operation = Some(operation);
        return;
    }
    let Some(ticket) = operation.ticket else {
        return;
    };
    core.transactions.remove(&number);
    request::answer(core, ticket, Err(unknown_transaction()), out);
}
