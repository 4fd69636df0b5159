//! Transactions of several requests. Each is pinned to one connection of one entry instance.
//!
//! A transaction runs on the primary of the term in which it began. It belongs to the organisation whose key
//! began it. It is rolled back when that key is withdrawn, the term changes, its deadline or idle timeout
//! passes, a statement fails, or its caller disconnects during a statement.

mod completion;
mod end;
mod operation;

pub use {
    completion::on_command_ended,
    end::{end_invalid, on_caller_disconnected, on_connection_lost},
    operation::{on_commit, on_rollback, on_statement_request},
};

use {
    super::{
        Core, Effect, Ticket, drain, outcome, permits,
        request::{self, Attempt},
    },
    crate::endpoint_command::{Claim, ConnectionId},
    cumincart_protocol::{
        catalogue::Group,
        lists::Access,
        name::{EndpointName, OrganisationName, ServiceName},
        number::Term,
        refusal::{Refusal, RefusalCode},
        request::{CallerAnswer, CallerRequest, Rows, TransactionId},
        session::Session,
        sorted::Keyed,
        time::Instant,
    },
    rand::Rng,
    std::time::Duration,
};

/// The longest time that a transaction may stay open, in milliseconds.
pub const TRANSACTION_MAX_MS: u64 = 30_000;

/// The longest time between an answer and the next request of a transaction, in milliseconds.
pub const TRANSACTION_IDLE_MS: u64 = 5_000;

/// An open transaction.
#[derive(Debug)]
pub struct Transaction {
    /// The number that identifies it; random, so that it can't be guessed.
    pub number: u64,
    /// The connection that it is pinned to.
    pub connection: ConnectionId,
    /// The endpoint.
    pub endpoint: EndpointName,
    /// The service.
    pub service: ServiceName,
    /// The group's term when it began.
    pub term: Term,
    /// Whether it is read-only, which the endpoint enforces.
    pub read_only: bool,
    /// Whether its commit is acknowledged only when a replica has it too.
    pub replicated: bool,
    /// The organisation that it belongs to; none on an open route.
    pub organisation: Option<OrganisationName>,
    /// The digest of the key that began it.
    pub key_digest: Option<[u8; 32]>,
    /// The row that its commit inserts, so that a second execution of the request is detected.
    pub claim: Option<Claim>,
    /// The deadline.
    pub deadline: Instant,
    /// The time at which it is rolled back if no further request arrives.
    pub idle_until: Instant,
    /// The operation that is in flight.
    pub active_operation: Option<ActiveOperation>,
}

/// An operation of a transaction that is in flight.
#[derive(Debug)]
pub struct ActiveOperation {
    /// The request to answer; none for an internal rollback and after the caller has disconnected.
    pub ticket: Option<Ticket>,
    /// The type of operation.
    pub action: TransactionAction,
    /// The session of the request.
    pub session: Session,
    /// The deadline.
    pub deadline: Instant,
}

/// The type of an operation of a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TransactionAction {
    /// Runs a statement.
    Statement,
    /// Commits.
    Commit,
    /// Rolls back.
    Rollback,
}

impl Keyed for Transaction {
    type Key = u64;

    fn key(&self) -> &u64 {
        &self.number
    }
}

impl Transaction {
    /// Whether the term in which it began is still current, under a live term lease.
    pub fn is_term_current(&self, core: &Core, now: Instant, group: Option<&Group>) -> bool {
        group.is_some_and(|group| outcome::is_still_primary(core, now, group, self.term, &self.endpoint))
    }
}

/// Registers a transaction on the connection on which `Begin` has succeeded.
pub fn on_begun(core: &mut Core, now: Instant, ticket: Ticket, attempt: &Attempt, out: &mut Vec<Effect>) {
    let number = core.random.next_u64();
    let Some(pending) = core.requests.get(&ticket) else {
        return;
    };
    let admitted = &pending.admitted;
    let transaction = Transaction {
        number,
        connection: attempt.connection,
        endpoint: attempt.endpoint.clone(),
        service: admitted.service.clone(),
        term: attempt.term,
        read_only: admitted.route.access == Access::Read,
        replicated: admitted.route.replicated,
        organisation: admitted.organisation.clone(),
        key_digest: pending.request.key_digest,
        claim: request::claim(admitted, &pending.request),
        deadline: drain::cap_deadline(core, now + Duration::from_millis(TRANSACTION_MAX_MS)),
        idle_until: now + Duration::from_millis(TRANSACTION_IDLE_MS),
        active_operation: None,
    };
    let answer = CallerAnswer {
        rows: Rows::default(),
        session: pending.request.session.clone(),
        transaction: Some(transaction_id(core, number)),
        from_replica: false,
    };
    core.transactions.insert(transaction);
    request::finish(core, ticket, Ok(answer), out);
}

fn transaction_id(core: &Core, number: u64) -> TransactionId {
    TransactionId { instance: core.settings.instance.clone(), incarnation: core.settings.incarnation, number }
}

/// Returns the refusal for a transaction that this instance does not hold.
fn unknown_transaction() -> Refusal {
    let message = "the transaction is not known: it has ended, or the instance that held it was restarted";
    Refusal::not_run(RefusalCode::TransactionUnknown, message)
}

/// Forwards a request to the entry instance that holds its transaction, or refuses it if that incarnation is
/// gone.
fn forward(
    core: &mut Core,
    ticket: Ticket,
    request: Box<CallerRequest>,
    id: &TransactionId,
    out: &mut Vec<Effect>,
) {
    let owner = core.freshness.instances.get(&id.instance);
    let Some(owner) = owner.filter(|owner| owner.incarnation == id.incarnation) else {
        return request::answer(core, ticket, Err(unknown_transaction()), out);
    };
    let (to, address) = (owner.name.clone(), owner.peer_address.clone());
    core.counters.forwards += 1;
    core.forwards.insert(ForwardedRequest { ticket });
    out.push(Effect::Forward { ticket, to, address, request });
}

/// A forwarded request that has no answer yet.
#[derive(Debug)]
pub struct ForwardedRequest {
    /// The request.
    pub ticket: Ticket,
}

impl Keyed for ForwardedRequest {
    type Key = Ticket;

    fn key(&self) -> &Ticket {
        &self.ticket
    }
}

/// Whether open transactions hold as many connections to an endpoint as they may: half of the permits, at
/// least one. The rest is left to other requests, because an abandoned transaction holds its connection until
/// it times out.
pub fn is_at_connection_limit(core: &Core, now: Instant, endpoint: &EndpointName) -> bool {
    let limit = (permits::allowed(&core.permits, now, endpoint) / 2).max(1);
    let open = core.transactions.iter().filter(|transaction| transaction.endpoint == *endpoint);
    open.count() >= limit as usize
}
