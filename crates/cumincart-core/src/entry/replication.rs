//! Holds back answers until a replica has confirmed the write.
//!
//! At most one probe to each replica is in flight at a time. It serves all answers that wait for the group.

use {
    super::{Core, Effect, Ticket, outcome, pool::Owner, request, session},
    crate::endpoint_command::{CommandId, ConnectionId, EndpointCommand, EndpointState},
    cumincart_protocol::{
        catalogue::Group,
        name::{EndpointName, ServiceName},
        number::{LogPosition, Term},
        refusal::{Refusal, RefusalCode},
        request::CallerResult,
        sorted::Keyed,
        time::Instant,
    },
};

/// An answer that is held back until a replica has confirmed the write.
#[derive(Debug)]
pub struct Replication {
    /// The request.
    pub ticket: Ticket,
    /// The deadline of the request.
    pub deadline: Instant,
    /// The service.
    pub service: ServiceName,
    /// The primary that committed the write.
    pub primary: EndpointName,
    /// The term in which it was committed.
    pub term: Term,
    /// The position that a replica must have reached; none until the primary's position is known.
    pub position: Option<LogPosition>,
    /// The probe that asks the primary for its position.
    pub probe: Option<CommandId>,
    /// The result to answer with once a replica has confirmed.
    pub result: CallerResult,
}

/// The id of a command that has ended, with the state that its endpoint reported.
#[derive(Debug)]
pub struct CommandReport {
    /// The id of the command.
    pub command_id: CommandId,
    /// The endpoint.
    pub endpoint: EndpointName,
    /// The state that came with its output.
    pub state: Option<EndpointState>,
}

impl Keyed for Replication {
    type Key = Ticket;

    fn key(&self) -> &Ticket {
        &self.ticket
    }
}

impl Replication {
    /// Returns the refusal for a write that no replica has confirmed by the deadline. The write is committed
    /// on the primary, but a failover may lose it, so its outcome is unknown. The session in the refusal lets
    /// the caller learn of the loss.
    fn expired(&self) -> Refusal {
        let message = "the write was committed, but no replica confirmed it before the deadline";
        let mut refusal = Refusal::unknown(RefusalCode::DeadlineExceeded, message);
        if let Ok(answer) = &self.result {
            refusal.session = Some(answer.session.encode().into());
        }
        refusal
    }
}

/// Holds an answer back until a replica has reached its position. If the position is not known, the primary
/// is probed for its current one on `connection`, which must be idle.
pub fn hold_back(
    core: &mut Core,
    now: Instant,
    replication: Replication,
    connection: ConnectionId,
    out: &mut Vec<Effect>,
) {
    let ticket = replication.ticket;
    let is_known = replication.position.is_some();
    core.requests.remove(&ticket);
    core.replications.insert(replication);
    if is_known {
        return probe_replicas(core, now, ticket, out);
    }
    let probe = core.pool.execute(now, connection, Owner::Pool, EndpointCommand::Probe, out);
    if let Some(replication) = core.replications.get_mut(&ticket) {
        replication.probe = probe;
    }
}

/// Answers the requests that the result of a command confirms, and probes again for the others.
pub fn on_command_ended(core: &mut Core, now: Instant, report: &CommandReport, out: &mut Vec<Effect>) {
    for ticket in tickets_where(core, |_| true) {
        set_position(core, ticket, report);
        if is_replicated(core, ticket, &report.endpoint) {
            finish(core, now, ticket, out);
        } else {
            probe_replicas(core, now, ticket, out);
        }
    }
}

/// Refuses the requests whose deadline has passed, and probes again for the others.
pub fn on_tick(core: &mut Core, now: Instant, out: &mut Vec<Effect>) {
    for ticket in tickets_where(core, |replication| now >= replication.deadline) {
        let Some(replication) = core.replications.remove(&ticket) else {
            continue;
        };
        request::answer(core, ticket, Err(replication.expired()), out);
    }
    for ticket in tickets_where(core, |_| true) {
        probe_replicas(core, now, ticket, out);
    }
}

fn tickets_where(core: &Core, matches: impl Fn(&Replication) -> bool) -> Vec<Ticket> {
    let waiting = core.replications.iter().filter(|replication| matches(replication));
    waiting.map(|replication| replication.ticket).collect()
}

/// Sets the position of an answer that waits for the primary's. Only the result of its own probe counts: any
/// other state may be older than the claim.
fn set_position(core: &mut Core, ticket: Ticket, report: &CommandReport) {
    let Some(replication) = core.replications.get_mut(&ticket) else {
        return;
    };
    if replication.position.is_none() && replication.probe == Some(report.command_id) {
        replication.position = report.state.map(|state| state.position);
    }
}

fn is_replicated(core: &Core, ticket: Ticket, endpoint: &EndpointName) -> bool {
    let Some(replication) = core.replications.get(&ticket) else {
        return false;
    };
    let (Some(position), Some(group)) =
        (replication.position, core.freshness.catalogue.group(&replication.service))
    else {
        return false;
    };
    let is_replica = group.endpoints.contains(endpoint) && replication.primary != *endpoint;
    let observed = core.pool.endpoint(endpoint).and_then(|endpoint| endpoint.observed);
    is_replica && observed.is_some_and(|observed| session::covers(group, &observed.state, position))
}

fn finish(core: &mut Core, now: Instant, ticket: Ticket, out: &mut Vec<Effect>) {
    let Some(replication) = core.replications.remove(&ticket) else {
        return;
    };
    let catalogue = core.freshness.catalogue.clone();
    let (term, primary) = (replication.term, &replication.primary);
    let valid = catalogue
        .group(&replication.service)
        .is_some_and(|group| outcome::is_still_primary(core, now, group, term, primary));
    let result = if valid { replication.result } else { Err(outcome::term_changed()) };
    core.counters.writes += u64::from(result.is_ok());
    request::answer(core, ticket, result, out);
}

fn probe_replicas(core: &mut Core, now: Instant, ticket: Ticket, out: &mut Vec<Effect>) {
    let catalogue = core.freshness.catalogue.clone();
    let Some(replication) = core.replications.get(&ticket) else {
        return;
    };
    let Some(group) = catalogue.group(&replication.service).filter(|_| replication.position.is_some()) else {
        return;
    };
    for connection in idle_connections(core, group, &replication.primary) {
        core.pool.execute(now, connection, Owner::Pool, EndpointCommand::Probe, out);
    }
}

/// Returns one idle connection to each replica that has no probe in flight.
fn idle_connections(core: &Core, group: &Group, primary: &EndpointName) -> Vec<ConnectionId> {
    let replicas = group.endpoints.iter().filter(|entry| entry.name != *primary);
    replicas
        .filter_map(|entry| core.pool.endpoint(&entry.name))
        .filter(|endpoint| !endpoint.probing)
        .filter_map(|endpoint| endpoint.idle.first().copied())
        .collect()
}
