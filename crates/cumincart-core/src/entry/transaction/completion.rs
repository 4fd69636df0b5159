//! The end of a transaction's work: which answer it gives, and what becomes of the transaction.

use {
    super::{Current, TransactionAction, end, operation::check_current},
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

/// Takes the end of a transaction's work.
pub fn on_done(
    core: &mut Core,
    now: Instant,
    number: u64,
    connection: ConnectionId,
    result: Result<CommandOutput, CommandError>,
    out: &mut Vec<Effect>,
) {
    let current = core.transactions.get_mut(&number).and_then(|transaction| transaction.current.take());
    let Some(current) = current else {
        // The transaction was given up while the work ran: what it left on the connection is not known.
        return core.pool.close(connection, out);
    };
    match (current.action, result) {
        (TransactionAction::Statement, Ok(done)) => on_statement(core, now, number, current, done, out),
        (TransactionAction::Commit, Ok(done)) => on_committed(core, now, number, current, &done, out),
        (TransactionAction::Rollback, Ok(_)) => on_rolled_back(core, number, current, out),
        (_, Err(error)) => on_error(core, now, number, &current, &error, out),
    }
}

fn on_statement(
    core: &mut Core,
    now: Instant,
    number: u64,
    current: Current,
    done: CommandOutput,
    out: &mut Vec<Effect>,
) {
    let moved = core.transactions.get(&number).and_then(|t| check_current(core, now, t).err());
    if let Some(refusal) = moved {
        answer(core, current.ticket, Err(refusal), out);
        return end::roll_back(core, now, number, out);
    }
    if let Some(transaction) = core.transactions.get_mut(&number) {
        transaction.idle_until = now + Duration::from_millis(super::TRANSACTION_IDLE_MS);
    }
    let answered =
        CallerAnswer { rows: done.rows, session: current.session, transaction: None, from_replica: false };
    answer(core, current.ticket, Ok(answered), out);
}

fn on_committed(
    core: &mut Core,
    now: Instant,
    number: u64,
    current: Current,
    done: &CommandOutput,
    out: &mut Vec<Effect>,
) {
    let Some(transaction) = core.transactions.remove(&number) else {
        return;
    };
    core.pool.release(transaction.connection);
    let catalogue = core.freshness.catalogue.clone();
    let group = catalogue.group(&transaction.service);
    let state = done.state.filter(|state| {
        group.is_some_and(|group| {
            outcome::is_primary_answer(core, now, group, transaction.term, &transaction.endpoint, state)
        })
    });
    let result = match state {
        _ if transaction.read_only => Ok(current.session),
        Some(state) => {
            let (service, term) = (&transaction.service, transaction.term);
            Ok(session::after_write(&current.session, service, term, state.position))
        }
        None => Err(outcome::term_changed()),
    };
    let result = result.map(|session| CallerAnswer {
        rows: Rows::default(),
        session,
        transaction: None,
        from_replica: false,
    });
    if let (Some(state), Some(ticket), true) = (state, current.ticket, transaction.replicated) {
        let replication = Replication {
            ticket,
            deadline: current.deadline,
            service: transaction.service,
            primary: transaction.endpoint,
            term: transaction.term,
            position: Some(state.position),
            probe: None,
            result,
        };
        return replication::wait(core, now, replication, transaction.connection, out);
    }
    core.counters.writes += u64::from(result.is_ok() && !transaction.read_only);
    answer(core, current.ticket, result, out);
}

fn on_rolled_back(core: &mut Core, number: u64, current: Current, out: &mut Vec<Effect>) {
    if let Some(transaction) = core.transactions.remove(&number) {
        core.pool.release(transaction.connection);
    }
    let answered = CallerAnswer {
        rows: Rows::default(),
        session: current.session,
        transaction: None,
        from_replica: false,
    };
    answer(core, current.ticket, Ok(answered), out);
}

fn on_error(
    core: &mut Core,
    now: Instant,
    number: u64,
    current: &Current,
    error: &CommandError,
    out: &mut Vec<Effect>,
) {
    let refusal = match (current.action, error) {
        // A rollback that was lost is a rollback: the endpoint ends what a lost connection left open.
        (TransactionAction::Rollback, _) => {
            Refusal::not_run(RefusalCode::ConnectionLost, "it was rolled back")
        }
        (TransactionAction::Commit, CommandError::AlreadyClaimed) => already_claimed(core, now, number),
        _ => retry::refusal(error),
    };
    answer(core, current.ticket, Err(refusal), out);
    if retry::leaves_connection_clean(error) {
        return end::roll_back(core, now, number, out);
    }
    if let Some(transaction) = core.transactions.remove(&number) {
        core.pool.close(transaction.connection, out);
    }
}

/// The claim speaks for the present history only under the present term.
fn already_claimed(core: &Core, now: Instant, number: u64) -> Refusal {
    let transaction = core.transactions.get(&number);
    let moved = transaction.is_none_or(|transaction| check_current(core, now, transaction).is_err());
    if moved { outcome::term_changed() } else { retry::refusal(&CommandError::AlreadyClaimed) }
}

fn answer(core: &mut Core, ticket: Option<Ticket>, result: CallerResult, out: &mut Vec<Effect>) {
    if let Some(ticket) = ticket {
        request::answer(core, ticket, result, out);
    }
}
