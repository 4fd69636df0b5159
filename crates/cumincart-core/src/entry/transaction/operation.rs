//! The requests within a transaction: statements, commit, rollback.

use {
    super::{Current, Transaction, TransactionAction, end, forward, unknown_transaction},
    crate::{
        entry::{
            Board, Effect, Ticket, admission,
            pool::Owner,
            quota::{self, QuotaDecision},
            request,
        },
        work::Work,
    },
    cumincart_protocol::{
        lists::{Access, DEFAULT_DEADLINE_MS},
        refusal::{Refusal, RefusalCode},
        request::{Call, CallerRequest, TransactionId},
        time::Instant,
    },
};

/// Takes a statement for a transaction.
pub fn on_within(
    board: &mut Board,
    now: Instant,
    ticket: Ticket,
    request: Box<CallerRequest>,
    id: &TransactionId,
    call: &Call,
    out: &mut Vec<Effect>,
) {
    if !is_ours(board, id) {
        return forward(board, ticket, request, id, out);
    }
    match prepare_statement(board, now, &request, id, call, ticket) {
        Ok((work, deadline)) => {
            let action = TransactionAction::Statement;
            let current = Current { ticket: Some(ticket), action, session: request.session, deadline };
            execute(board, now, id.number, current, work, out);
        }
        Err(refusal) => request::answer(board, ticket, Err(refusal), out),
    }
}

fn prepare_statement(
    board: &mut Board,
    now: Instant,
    request: &CallerRequest,
    id: &TransactionId,
    call: &Call,
    ticket: Ticket,
) -> Result<(Work, Instant), Refusal> {
    let admitted = admission::admit(board, now, request, call)?;
    let transaction = board.transactions.get(&id.number).ok_or_else(unknown_transaction)?;
    if transaction.organisation != admitted.organisation {
        return Err(unknown_transaction());
    }
    check_idle(transaction)?;
    check_current(board, now, transaction)?;
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
    let deadline = request::deadline(now, request, route.deadline_ms);
    if let Some(organisation) = &admitted.organisation {
        // A transaction holds a connection: it doesn't wait for a token, its caller is told when to come back.
        let decision = quota::take(&mut board.quota, now, organisation, ticket, now);
        if let QuotaDecision::Refused { retry_after_ms } = decision {
            return Err(over_rate(retry_after_ms));
        }
        if decision == QuotaDecision::Waiting {
            quota::cancel(&mut board.quota, ticket);
            return Err(over_rate(0));
        }
    }
    if let Some(transaction) = board.transactions.get_mut(&id.number) {
        transaction.replicated |= admitted.route.replicated;
    }
    Ok((Work::Within(admitted.statement), deadline))
}

fn over_rate(retry_after_ms: u64) -> Refusal {
    Refusal::not_run(RefusalCode::OverRate, "the organisation is over its rate")
        .retry_after_ms(retry_after_ms)
}

fn bad_request(message: &str) -> Refusal {
    Refusal::not_run(RefusalCode::BadRequest, message)
}

/// Takes a request to commit.
pub fn on_commit(
    board: &mut Board,
    now: Instant,
    ticket: Ticket,
    request: Box<CallerRequest>,
    id: &TransactionId,
    out: &mut Vec<Effect>,
) {
    if !is_ours(board, id) {
        return forward(board, ticket, request, id, out);
    }
    if let Err(refusal) = check_end(board, now, &request, id) {
        return request::answer(board, ticket, Err(refusal), out);
    }
    let transaction = board.transactions.get(&id.number);
    let moved = transaction.and_then(|transaction| check_current(board, now, transaction).err());
    if let Some(refusal) = moved {
        request::answer(board, ticket, Err(refusal), out);
        return end::roll_back(board, now, id.number, out);
    }
    let claim = transaction.and_then(|transaction| transaction.claim.clone());
    let deadline = request::deadline(now, &request, DEFAULT_DEADLINE_MS);
    let action = TransactionAction::Commit;
    let current = Current { ticket: Some(ticket), action, session: request.session, deadline };
    execute(board, now, id.number, current, Work::Commit(claim), out);
}

/// Takes a request to roll back.
pub fn on_rollback(
    board: &mut Board,
    now: Instant,
    ticket: Ticket,
    request: Box<CallerRequest>,
    id: &TransactionId,
    out: &mut Vec<Effect>,
) {
    if !is_ours(board, id) {
        return forward(board, ticket, request, id, out);
    }
    if let Err(refusal) = check_end(board, now, &request, id) {
        return request::answer(board, ticket, Err(refusal), out);
    }
    let deadline = request::deadline(now, &request, DEFAULT_DEADLINE_MS);
    let action = TransactionAction::Rollback;
    let current = Current { ticket: Some(ticket), action, session: request.session, deadline };
    execute(board, now, id.number, current, Work::Rollback, out);
}

fn is_ours(board: &Board, id: &TransactionId) -> bool {
    id.instance == board.settings.instance
}

/// Checks that a request may end the transaction: it is known, its organisation's key came, and nothing runs in it.
fn check_end(
    board: &Board,
    now: Instant,
    request: &CallerRequest,
    id: &TransactionId,
) -> Result<(), Refusal> {
    let known = board.transactions.get(&id.number).filter(|_| id.incarnation == board.settings.incarnation);
    let transaction = known.ok_or_else(unknown_transaction)?;
    if let Some(organisation) = &transaction.organisation {
        let caller = admission::identify(board, now, request.key_digest.as_ref())?;
        if caller != *organisation {
            return Err(unknown_transaction());
        }
    }
    check_idle(transaction)
}

fn check_idle(transaction: &Transaction) -> Result<(), Refusal> {
    if transaction.current.is_some() {
        return Err(bad_request("another request of this transaction is under way"));
    }
    Ok(())
}

pub(super) fn check_current(board: &Board, now: Instant, transaction: &Transaction) -> Result<(), Refusal> {
    let group = board.freshness.catalogue.group(&transaction.service);
    if transaction.is_current(board, now, group) {
        return Ok(());
    }
    let message = "the primary changed, or may have, since the transaction began; it is rolled back";
    Err(Refusal::not_run(RefusalCode::TermChanged, message))
}

fn execute(
    board: &mut Board,
    now: Instant,
    number: u64,
    current: Current,
    work: Work,
    out: &mut Vec<Effect>,
) {
    let Some(transaction) = board.transactions.get_mut(&number) else {
        return;
    };
    let owner = Owner::Transaction(number);
    if board.pool.execute(now, transaction.connection, owner, work, out).is_some() {
        transaction.current = Some(current);
        return;
    }
    let Some(ticket) = current.ticket else {
        return;
    };
    board.transactions.remove(&number);
    request::answer(board, ticket, Err(unknown_transaction()), out);
}
