//! Transactions that end without a commit.

use {
    super::{Current, Transaction, TransactionAction},
    crate::{
        entry::{Board, Effect, Ticket, admission, pool::Owner, request},
        work::{ConnectionId, Work},
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

/// Rolls back a transaction in which nothing runs, and gives its connection back when it is clean.
pub(super) fn roll_back(board: &mut Board, now: Instant, number: u64, out: &mut Vec<Effect>) {
    let Some(transaction) = board.transactions.get_mut(&number) else {
        return;
    };
    let connection = transaction.connection;
    board.counters.transactions_ended += 1;
    let owner = Owner::Transaction(number);
    if board.pool.execute(now, connection, owner, Work::Rollback, out).is_none() {
        board.transactions.remove(&number);
        return;
    }
    transaction.current = Some(Current {
        ticket: None,
        action: TransactionAction::Rollback,
        session: Session::default(),
        deadline: now + Duration::from_millis(ROLLBACK_TIMEOUT_MS),
    });
}

/// Ends a transaction whose work can't be waited for: the connection is closed, so the endpoint rolls back unless a
/// commit was on its way.
fn abandon(board: &mut Board, number: u64, refusal: Refusal, out: &mut Vec<Effect>) {
    let Some(transaction) = board.transactions.remove(&number) else {
        return;
    };
    board.counters.transactions_ended += 1;
    board.pool.close(transaction.connection, out);
    if let Some(ticket) = transaction.current.and_then(|current| current.ticket) {
        request::answer(board, ticket, Err(refusal), out);
    }
}

/// Ends the transactions whose time has run out, whose key was withdrawn or whose term has ended.
pub fn end_where_due(board: &mut Board, now: Instant, out: &mut Vec<Effect>) {
    let numbers: Vec<u64> = board.transactions.iter().map(|transaction| transaction.number).collect();
    for number in numbers {
        let Some(transaction) = board.transactions.get(&number) else {
            continue;
        };
        match due(board, now, transaction) {
            Due::No => {}
            Due::RollBack => roll_back(board, now, number, out),
            Due::Abandon(refusal) => abandon(board, number, refusal, out),
        }
    }
}

/// Whether a transaction must end.
enum Due {
    No,
    RollBack,
    Abandon(Refusal),
}

fn due(board: &Board, now: Instant, transaction: &Transaction) -> Due {
    let Some(current) = &transaction.current else {
        let ended = now >= transaction.deadline || now >= transaction.idle_until;
        let ends = ended || is_withdrawn(board, now, transaction) || is_deposed(board, transaction);
        return if ends { Due::RollBack } else { Due::No };
    };
    if now >= current.deadline {
        return Due::Abandon(expired(current.action));
    }
    if current.action == TransactionAction::Statement && is_withdrawn(board, now, transaction) {
        return Due::Abandon(Refusal::not_run(RefusalCode::KeyRefused, "the key was withdrawn"));
    }
    Due::No
}

fn expired(action: TransactionAction) -> Refusal {
    match action {
        // Nothing was committed, and closing the connection makes the endpoint roll back.
        TransactionAction::Statement | TransactionAction::Rollback => Refusal::not_run(
            RefusalCode::DeadlineExceeded,
            "it ran until its deadline; the transaction is rolled back",
        ),
        TransactionAction::Commit => {
            Refusal::unknown(RefusalCode::DeadlineExceeded, "the commit did not end before its deadline")
        }
    }
}

/// Whether the key that began the transaction is known to be withdrawn. Without a live lease nothing is known, and no
/// request of the transaction is taken either.
fn is_withdrawn(board: &Board, now: Instant, transaction: &Transaction) -> bool {
    let Some(organisation) = &transaction.organisation else {
        return false;
    };
    board.freshness.is_fresh(now)
        && !admission::still_allowed(board, now, transaction.key_digest.as_ref(), organisation)
}

fn is_deposed(board: &Board, transaction: &Transaction) -> bool {
    let group = board.freshness.catalogue.group(&transaction.service);
    group.is_none_or(|group| group.term != transaction.term)
}

/// Ends the transaction whose connection is lost.
pub fn end_with_connection(board: &mut Board, connection: ConnectionId, out: &mut Vec<Effect>) {
    let lost = board.transactions.iter().find(|transaction| transaction.connection == connection);
    let Some(transaction) = lost else {
        return;
    };
    let action = transaction.current.as_ref().map(|current| current.action);
    let refusal = match action {
        Some(TransactionAction::Commit) => Refusal::unknown(
            RefusalCode::ConnectionLost,
            "the connection was lost with the commit on its way",
        ),
        _ => {
            Refusal::not_run(RefusalCode::ConnectionLost, "the connection was lost before a commit was sent")
        }
    };
    abandon(board, transaction.number, refusal, out);
}

/// Nobody waits for a transaction's request any more: a statement is cancelled and the transaction with it; a commit
/// goes on.
pub fn on_caller_gone(board: &mut Board, ticket: Ticket, out: &mut Vec<Effect>) {
    let waits = |transaction: &&mut Transaction| {
        transaction.current.as_ref().is_some_and(|current| current.ticket == Some(ticket))
    };
    let Some(transaction) = board.transactions.iter_mut().find(waits) else {
        return;
    };
    let Some(current) = &mut transaction.current else {
        return;
    };
    current.ticket = None;
    if current.action != TransactionAction::Statement {
        return;
    }
    let number = transaction.number;
    abandon(board, number, Refusal::not_run(RefusalCode::ConnectionLost, "its caller has gone"), out);
}
