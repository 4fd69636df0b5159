//! Handles the results of a transaction's commands.

use {
    super::{ActiveOperation, TransactionAction, end, operation::check_term},
    crate::{
        endpoint_command::{CommandError, CommandOutput, ConnectionId},
        entry::{
            Core, Effect, Ticket, outcome,
            replication::{self, Replication},
            request, retry, session,
        },
    },
    cumincart_protocol::{
        refusal::{Refusal, RefusalCode},
        request::{CallerAnswer, CallerResult, Rows},
        time::Instant,
    },
    std::time::Duration,
};

/// Handles the result of a transaction's command.
pub fn on_command_ended(
    core: &mut Core,
    now: Instant,
    number: u64,
    connection: ConnectionId,
    result: Result<CommandOutput, CommandError>,
    out: &mut Vec<Effect>,
) {
    let operation =
        core.transactions.get_mut(&number).and_then(|transaction| transaction.active_operation.take());
    let Some(operation) = operation else {
        // The transaction was removed while the command ran, so the state of its connection is unknown.
        return core.pool.close(connection, out);
    };
    match (operation.action, result) {
        (TransactionAction::Statement, Ok(output)) => on_statement(core, now, number, operation, output, out),
        (TransactionAction::Commit, Ok(output)) => on_committed(core, now, number, operation, &output, out),
        (TransactionAction::Rollback, Ok(_)) => on_rolled_back(core, number, operation, out),
        (_, Err(error)) => on_error(core, now, number, &operation, &error, out),
    }
}

fn on_statement(
    core: &mut Core,
    now: Instant,
    number: u64,
    operation: ActiveOperation,
    output: CommandOutput,
    out: &mut Vec<Effect>,
) {
    let term_refusal = core.transactions.get(&number).and_then(|t| check_term(core, now, t).err());
    if let Some(refusal) = term_refusal {
        answer(core, operation.ticket, Err(refusal), out);
        return end::roll_back(core, now, number, out);
    }
    if let Some(transaction) = core.transactions.get_mut(&number) {
        transaction.idle_until = now + Duration::from_millis(super::TRANSACTION_IDLE_MS);
    }
    let answer_body = CallerAnswer {
        rows: output.rows,
        session: operation.session,
        transaction: None,
        from_replica: false,
    };
    answer(core, operation.ticket, Ok(answer_body), out);
}

fn on_committed(
    core: &mut Core,
    now: Instant,
    number: u64,
    operation: ActiveOperation,
    output: &CommandOutput,
    out: &mut Vec<Effect>,
) {
    let Some(transaction) = core.transactions.remove(&number) else {
        return;
    };
    core.pool.release(transaction.connection);
    let catalogue = core.freshness.catalogue.clone();
    let group = catalogue.group(&transaction.service);
    let state = output.state.filter(|state| {
        group.is_some_and(|group| {
            outcome::is_from_primary(core, now, group, transaction.term, &transaction.endpoint, state)
        })
    });
    let result = match state {
        _ if transaction.read_only => Ok(operation.session),
        Some(state) => {
            let (service, term) = (&transaction.service, transaction.term);
            Ok(session::after_write(&operation.session, service, term, state.position))
        }
        None => Err(outcome::term_changed()),
    };
    let result = result.map(|session| CallerAnswer {
        rows: Rows::default(),
        session,
        transaction: None,
        from_replica: false,
    });
    if let (Some(state), Some(ticket), true) = (state, operation.ticket, transaction.replicated) {
        let replication = Replication {
            ticket,
            deadline: operation.deadline,
            service: transaction.service,
            primary: transaction.endpoint,
            term: transaction.term,
            position: Some(state.position),
            probe: None,
            result,
        };
        return replication::hold_back(core, now, replication, transaction.connection, out);
    }
    core.counters.writes += u64::from(result.is_ok() && !transaction.read_only);
    answer(core, operation.ticket, result, out);
}

fn on_rolled_back(core: &mut Core, number: u64, operation: ActiveOperation, out: &mut Vec<Effect>) {
    if let Some(transaction) = core.transactions.remove(&number) {
        core.pool.release(transaction.connection);
    }
    let answer_body = CallerAnswer {
        rows: Rows::default(),
        session: operation.session,
        transaction: None,
        from_replica: false,
    };
    answer(core, operation.ticket, Ok(answer_body), out);
}

fn on_error(
    core: &mut Core,
    now: Instant,
    number: u64,
    operation: &ActiveOperation,
    error: &CommandError,
    out: &mut Vec<Effect>,
) {
    let refusal = match (operation.action, error) {
        // A lost rollback has the same effect: the endpoint rolls back when the connection is lost.
        (TransactionAction::Rollback, _) => {
            Refusal::not_run(RefusalCode::ConnectionLost, "the transaction was rolled back")
        }
        (TransactionAction::Commit, CommandError::AlreadyClaimed) => already_claimed(core, now, number),
        _ => retry::refusal(error),
    };
    answer(core, operation.ticket, Err(refusal), out);
    if retry::keeps_connection_clean(error) {
        return end::roll_back(core, now, number, out);
    }
    if let Some(transaction) = core.transactions.remove(&number) {
        core.pool.close(transaction.connection, out);
    }
}

/// Returns the refusal for a claim that already exists. The claim is part of the current history only if the
/// term has not changed.
fn already_claimed(core: &Core, now: Instant, number: u64) -> Refusal {
    let transaction = core.transactions.get(&number);
    let has_term_changed = transaction.is_none_or(|transaction| check_term(core, now, transaction).is_err());
    if has_term_changed { outcome::term_changed() } else { retry::refusal(&CommandError::AlreadyClaimed) }
}

fn answer(core: &mut Core, ticket: Option<Ticket>, result: CallerResult, out: &mut Vec<Effect>) {
    if let Some(ticket) = ticket {
        request::answer(core, ticket, result, out);
    }
}
