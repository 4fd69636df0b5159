//! Transactions that end without a commit.

use {
    super::{Current, Transaction, TransactionAction},
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

/// Rolls back a transaction in which nothing runs, and gives its connection back when it is clean.
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
    transaction.current = Some(Current {
        ticket: None,
        action: TransactionAction::Rollback,
        session: Session::default(),
        deadline: now + Duration::from_millis(ROLLBACK_TIMEOUT_MS),
    });
}

/// Ends a transaction whose work can't be waited for: the connection is closed, so the endpoint rolls back unless a
/// commit was on its way.
fn abandon(core: &mut Core, number: u64, refusal: Refusal, out: &mut Vec<Effect>) {
    let Some(transaction) = core.transactions.remove(&number) else {
        return;
    };
    core.counters.transactions_ended += 1;
    core.pool.close(transaction.connection, out);
    if let Some(ticket) = transaction.current.and_then(|current| current.ticket) {
        request::answer(core, ticket, Err(refusal), out);
    }
}

/// Ends the transactions whose time has run out, whose key was withdrawn or whose term has ended.
pub fn end_where_due(core: &mut Core, now: Instant, out: &mut Vec<Effect>) {
    let numbers: Vec<u64> = core.transactions.iter().map(|transaction| transaction.number).collect();
    for number in numbers {
        let Some(transaction) = core.transactions.get(&number) else {
            continue;
        };
        match due(core, now, transaction) {
            Due::No => {}
            Due::RollBack => roll_back(core, now, number, out),
            Due::Abandon(refusal) => abandon(core, number, refusal, out),
        }
    }
}

/// Whether a transaction must end.
enum Due {
    No,
    RollBack,
    Abandon(Refusal),
}

fn due(core: &Core, now: Instant, transaction: &Transaction) -> Due {
    let Some(current) = &transaction.current else {
        let ended = now >= transaction.deadline || now >= transaction.idle_until;
        let ends = ended || is_withdrawn(core, now, transaction) || is_deposed(core, transaction);
        return if ends { Due::RollBack } else { Due::No };
    };
    if now >= current.deadline {
        return Due::Abandon(expired(current.action));
    }
    if current.action == TransactionAction::Statement && is_withdrawn(core, now, transaction) {
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
fn is_withdrawn(core: &Core, now: Instant, transaction: &Transaction) -> bool {
    let Some(organisation) = &transaction.organisation else {
        return false;
    };
    core.freshness.is_fresh(now)
        && !admission::still_allowed(core, now, transaction.key_digest.as_ref(), organisation)
}

fn is_deposed(core: &Core, transaction: &Transaction) -> bool {
    let group = core.freshness.catalogue.group(&transaction.service);
    group.is_none_or(|group| group.term != transaction.term)
}

/// Ends the transaction whose connection is lost.
pub fn end_with_connection(core: &mut Core, connection: ConnectionId, out: &mut Vec<Effect>) {
    let lost = core.transactions.iter().find(|transaction| transaction.connection == connection);
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
    abandon(core, transaction.number, refusal, out);
}

/// Nobody waits for a transaction's request any more: a statement is cancelled and the transaction with it; a commit
/// goes on.
pub fn on_caller_gone(core: &mut Core, ticket: Ticket, out: &mut Vec<Effect>) {
    let waits = |transaction: &&mut Transaction| {
        transaction.current.as_ref().is_some_and(|current| current.ticket == Some(ticket))
    };
    let Some(transaction) = core.transactions.iter_mut().find(waits) else {
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
    abandon(core, number, Refusal::not_run(RefusalCode::ConnectionLost, "its caller has gone"), out);
}
