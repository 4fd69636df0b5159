//! Transactions of several requests: each is pinned to one connection of one entry instance.
//!
//! A transaction runs on the primary of the term in which it began. It belongs to the organisation whose key began
//! it, and ends without a commit when that key is withdrawn, the term changes, its time runs out, a statement fails
//! or is abandoned by its caller.

mod completion;
mod end;
mod operation;

pub use {
    completion::on_done,
    end::{end_where_due, end_with_connection, on_caller_gone},
    operation::{on_commit, on_rollback, on_within},
};

use {
    super::{
        Core, Effect, Ticket, outcome, permits,
        request::{self, Run},
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
    /// Its unguessable number.
    pub number: u64,
    /// The connection that it holds.
    pub connection: ConnectionId,
    /// The endpoint.
    pub endpoint: EndpointName,
    /// The service.
    pub service: ServiceName,
    /// The group's term when it began.
    pub term: Term,
    /// Whether the endpoint refuses writes in it.
    pub read_only: bool,
    /// Whether a write in it is acknowledged only when a replica has it too.
    pub replicated: bool,
    /// The organisation that it belongs to; none on an open route.
    pub organisation: Option<OrganisationName>,
    /// The digest of the key that began it.
    pub key_digest: Option<[u8; 32]>,
    /// The claim that its commit leaves.
    pub claim: Option<Claim>,
    /// When it must have ended.
    pub deadline: Instant,
    /// When it ends unless another request comes.
    pub idle_until: Instant,
    /// The operation under way.
    pub current: Option<Current>,
}

/// An operation of a transaction that is under way.
#[derive(Debug)]
pub struct Current {
    /// The request; none when nobody waits for it.
    pub ticket: Option<Ticket>,
    /// What it does.
    pub action: TransactionAction,
    /// What the session of the request has seen.
    pub session: Session,
    /// When it must have ended.
    pub deadline: Instant,
}

/// What an operation of a transaction does.
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
    /// Whether the term in which it began is still the present one, under a live lease.
    pub fn is_current(&self, core: &Core, now: Instant, group: Option<&Group>) -> bool {
        group.is_some_and(|group| outcome::is_still_primary(core, now, group, self.term, &self.endpoint))
    }
}

/// Opens a transaction on the connection on which `Begin` has run.
pub fn on_begun(core: &mut Core, now: Instant, ticket: Ticket, run: &Run, out: &mut Vec<Effect>) {
    let number = core.random.next_u64();
    let Some(pending) = core.requests.get(&ticket) else {
        return;
    };
    let admitted = &pending.admitted;
    let transaction = Transaction {
        number,
        connection: run.connection,
        endpoint: run.endpoint.clone(),
        service: admitted.service.clone(),
        term: run.term,
        read_only: admitted.route.access == Access::Read,
        replicated: admitted.route.replicated,
        organisation: admitted.organisation.clone(),
        key_digest: pending.request.key_digest,
        claim: request::claim(admitted, &pending.request),
        deadline: now + Duration::from_millis(TRANSACTION_MAX_MS),
        idle_until: now + Duration::from_millis(TRANSACTION_IDLE_MS),
        current: None,
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

/// The refusal for a transaction that is not known here.
fn unknown_transaction() -> Refusal {
    let message = "the transaction is not known: it has ended, or the instance that held it was restarted";
    Refusal::not_run(RefusalCode::TransactionUnknown, message)
}

/// Passes a request on to the entry instance that holds its transaction, or refuses it where that run is gone.
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
    core.forwards.insert(Forwarded { ticket });
    out.push(Effect::Forward { ticket, to, address, request });
}

/// A request that was passed on and has no answer yet.
#[derive(Debug)]
pub struct Forwarded {
    /// The request.
    pub ticket: Ticket,
}

impl Keyed for Forwarded {
    type Key = Ticket;

    fn key(&self) -> &Ticket {
        &self.ticket
    }
}

/// Whether open transactions hold all of the connections to an endpoint that they may: half of the permits, at least
/// one. A transaction that its caller has left holds its connection until it times out, and other requests need some.
pub fn is_full(core: &Core, now: Instant, endpoint: &EndpointName) -> bool {
    let limit = (permits::allowed(&core.permits, now, endpoint) / 2).max(1);
    let open = core.transactions.iter().filter(|transaction| transaction.endpoint == *endpoint);
    open.count() >= limit as usize
}
