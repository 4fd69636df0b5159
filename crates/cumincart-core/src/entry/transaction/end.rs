//! Ends transactions without a commit.

use {
    super::{ActiveOperation, Transaction, TransactionAction},
    crate::{
        endpoint_command::{ConnectionId, EndpointCommand},
        entry::{Core, Effect, Ticket, admission, pool::Owner, request},
    },
    cumincart_protocol::{
        refusal::{Refusal, RefusalCode},
        session::Session,
        time::Instant,
    },
    std::time::Duration,
};

/// How long a rollback may take before its connection is closed, in milliseconds.
const ROLLBACK_TIMEOUT_MS: u64 = 1_000;

/// Rolls back a transaction that has no operation in flight. Its connection is reused afterwards if it is
/// clean.
pub(super) fn roll_back(core: &mut Core, now: Instant, number: u64, out: &mut Vec<Effect>) {
    let Some(transaction) = core.transactions.get_mut(&number) else {
        return;
    };
    let connection = transaction.connection;
    core.counters.transactions_ended += 1;
    let owner = Owner::Transaction(number);
    if core.pool.execute(now, connection, owner, EndpointCommand::Rollback, out).is_none() {
        core.transactions.remove(&number);
        return;
    }
    transaction.active_operation = Some(ActiveOperation {
        ticket: None,
        action: TransactionAction::Rollback,
        session: Session::default(),
        deadline: now + Duration::from_millis(ROLLBACK_TIMEOUT_MS),
    });
}

/// Ends a transaction without waiting for its command. The connection is closed, so the endpoint rolls back
/// unless a commit was already sent.
fn abandon(core: &mut Core, number: u64, refusal: Refusal, out: &mut Vec<Effect>) {
    let Some(transaction) = core.transactions.remove(&number) else {
        return;
    };
    core.counters.transactions_ended += 1;
    core.pool.close(transaction.connection, out);
    if let Some(ticket) = transaction.active_operation.and_then(|operation| operation.ticket) {
        request::answer(core, ticket, Err(refusal), out);
    }
}

/// Ends the transactions whose deadline has passed, whose key was withdrawn or whose term has ended.
pub fn end_invalid(core: &mut Core, now: Instant, out: &mut Vec<Effect>) {
    let numbers: Vec<u64> = core.transactions.iter().map(|transaction| transaction.number).collect();
    for number in numbers {
        let Some(transaction) = core.transactions.get(&number) else {
            continue;
        };
        match termination(core, now, transaction) {
            Termination::None => {}
            Termination::RollBack => roll_back(core, now, number, out),
            Termination::Abandon(refusal) => abandon(core, number, refusal, out),
        }
    }
}

/// How a transaction must be ended now, if at all.
enum Termination {
    None,
    RollBack,
    Abandon(Refusal),
}

fn termination(core: &Core, now: Instant, transaction: &Transaction) -> Termination {
    let Some(operation) = &transaction.active_operation else {
        let timed_out = now >= transaction.deadline || now >= transaction.idle_until;
        let must_end =
            timed_out || is_key_withdrawn(core, now, transaction) || has_term_ended(core, transaction);
        return if must_end { Termination::RollBack } else { Termination::None };
    };
    if now >= operation.deadline {
        return Termination::Abandon(deadline_refusal(operation.action));
    }
    if operation.action == TransactionAction::Statement && is_key_withdrawn(core, now, transaction) {
        return Termination::Abandon(Refusal::not_run(RefusalCode::KeyRefused, "the key was withdrawn"));
    }
    Termination::None
}

fn deadline_refusal(action: TransactionAction) -> Refusal {
    match action {
        // Nothing was committed, and closing the connection makes the endpoint roll back.
        TransactionAction::Statement | TransactionAction::Rollback => Refusal::not_run(
            RefusalCode::DeadlineExceeded,
            "the deadline passed during the operation; the transaction is rolled back",
        ),
        TransactionAction::Commit => {
            Refusal::unknown(RefusalCode::DeadlineExceeded, "the commit did not finish before the deadline")
        }
    }
}

/// Whether the key that began the transaction is known to be withdrawn. Without a live freshness lease this
/// is unknown, and no request of the transaction is accepted either.
fn is_key_withdrawn(core: &Core, now: Instant, transaction: &Transaction) -> bool {
    let Some(organisation) = &transaction.organisation else {
        return false;
    };
    core.freshness.is_fresh(now)
        && !admission::still_allowed(core, now, transaction.key_digest.as_ref(), organisation)
}

fn has_term_ended(core: &Core, transaction: &Transaction) -> bool {
    let group = core.freshness.catalogue.group(&transaction.service);
    group.is_none_or(|group| group.term != transaction.term)
}

/// Ends the transaction on a connection that was lost.
pub fn on_connection_lost(core: &mut Core, connection: ConnectionId, out: &mut Vec<Effect>) {
    let lost = core.transactions.iter().find(|transaction| transaction.connection == connection);
    let Some(transaction) = lost else {
        return;
    };
    let action = transaction.active_operation.as_ref().map(|operation| operation.action);
    let refusal = match action {
        Some(TransactionAction::Commit) => Refusal::unknown(
            RefusalCode::ConnectionLost,
            "the connection was lost while the commit was in flight",
        ),
        _ => {
            Refusal::not_run(RefusalCode::ConnectionLost, "the connection was lost before a commit was sent")
        }
    };
    abandon(core, transaction.number, refusal, out);
}

/// Handles a caller's disconnect. A statement is cancelled together with its transaction; a commit or
/// rollback continues.
pub fn on_caller_disconnected(core: &mut Core, ticket: Ticket, out: &mut Vec<Effect>) {
    let is_waiting = |transaction: &&mut Transaction| {
        transaction.active_operation.as_ref().is_some_and(|operation| operation.ticket == Some(ticket))
    };
    let Some(transaction) = core.transactions.iter_mut().find(is_waiting) else {
        return;
    };
    let Some(operation) = &mut transaction.active_operation else {
        return;
    };
    operation.ticket = None;
    if operation.action != TransactionAction::Statement {
        return;
    }
    let number = transaction.number;
    abandon(core, number, Refusal::not_run(RefusalCode::ConnectionLost, "the caller disconnected"), out);
}
