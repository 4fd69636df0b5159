//! A summary of the instance's state for operators. It holds no key digest, no session and no statement.

use {
    super::{
        Core,
        counters::Counters,
        drain::{self, DrainState},
        pool::{ConnectionState, Endpoint, Pool},
    },
    cumincart_protocol::{
        announcement::Role,
        catalogue::Group,
        name::{DomainName, EndpointName, InstanceName, OrganisationName, ServiceName},
        number::{Incarnation, ListsRevision, LogPosition, Revision, Term, Timeline},
        time::Instant,
    },
    serde::Serialize,
    std::time::Duration,
};

/// The state of an entry instance.
#[derive(Debug, Serialize)]
pub struct Dump {
    /// The instance.
    pub instance: InstanceName,
    /// The incarnation of the process.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub domain: DomainName,
    /// Whether the load balancer may send requests here.
    pub ready: bool,
    /// The progress of a planned stop.
    pub drain: DrainState,
    /// The local revision of the catalogue.
    pub revision: Revision,
    /// The local revision of the lists.
    pub lists_revision: ListsRevision,
    /// The remaining time of the term lease.
    pub term_lease_left_ms: u64,
    /// The remaining time of the freshness lease.
    pub freshness_lease_left_ms: u64,
    /// The other entry instances that this instance knows.
    pub instances: Vec<InstanceName>,
    /// Failure domains out of service.
    pub domains_out: Vec<DomainName>,
    /// Instances out of service.
    pub instances_out: Vec<InstanceName>,
    /// The database groups.
    pub groups: Vec<GroupDump>,
    /// The endpoints.
    pub endpoints: Vec<EndpointDump>,
    /// The open transactions.
    pub transactions: Vec<TransactionDump>,
    /// Requests that have no answer yet and are not part of a transaction.
    pub requests_pending: usize,
    /// Forwarded requests that have no answer yet.
    pub requests_forwarded: usize,
    /// Event counters since the start of the process.
    pub counters: Counters,
}

/// A database group.
#[derive(Debug, Serialize)]
pub struct GroupDump {
    /// The service.
    pub service: ServiceName,
    /// Its term.
    pub term: Term,
    /// Its primary.
    pub primary: Option<EndpointName>,
    /// Whether the primary may take writes.
    pub writable: bool,
}

/// An endpoint.
#[derive(Debug, Serialize)]
pub struct EndpointDump {
    /// Its name.
    pub endpoint: EndpointName,
    /// Whether the last attempt to reach it succeeded; none before the first.
    pub reachable: Option<bool>,
    /// Whether commands are in flight and no answer has come for a while.
    pub stalled: bool,
    /// The number of connections by state.
    pub connections: ConnectionsDump,
    /// The number of queued requests.
    pub queued: usize,
    /// The moving average of a command's service time, in microseconds.
    pub service_micros: u64,
    /// Its last known state.
    pub state: Option<StateDump>,
}

/// The number of connections to an endpoint by state.
#[derive(Debug, Default, Serialize)]
pub struct ConnectionsDump {
    /// Being opened.
    pub opening: u32,
    /// Idle.
    pub idle: u32,
    /// Executing a command.
    pub busy: u32,
    /// Held by a transaction that executes nothing now.
    pub pinned: u32,
    /// Being closed.
    pub closing: u32,
}

/// The state that an endpoint last reported.
#[derive(Debug, Serialize)]
pub struct StateDump {
    /// Its role.
    pub role: Role,
    /// Its timeline.
    pub timeline: Timeline,
    /// Its position.
    pub position: LogPosition,
    /// Its lag.
    pub lag_ms: u64,
    /// How long ago it was reported.
    pub age_ms: u64,
}

/// An open transaction. Its number is left out, since anyone who knows it could use it.
#[derive(Debug, Serialize)]
pub struct TransactionDump {
    /// The organisation that it belongs to.
    pub organisation: Option<OrganisationName>,
    /// The endpoint.
    pub endpoint: EndpointName,
    /// The term in which it began.
    pub term: Term,
    /// Whether one of its operations is in flight.
    pub busy: bool,
    /// The remaining time until its deadline.
    pub left_ms: u64,
}

/// Returns a summary of the instance's state.
pub fn dump(core: &Core, now: Instant) -> Dump {
    let catalogue = core.freshness.catalogue.as_ref();
    Dump {
        instance: core.settings.instance.clone(),
        incarnation: core.settings.incarnation,
        domain: core.settings.domain.clone(),
        ready: drain::is_ready(core, now),
        drain: core.drain,
        revision: catalogue.revision,
        lists_revision: catalogue.lists_revision,
        term_lease_left_ms: left_ms(now, core.freshness.term_lease_until),
        freshness_lease_left_ms: left_ms(now, core.freshness.freshness_lease_until),
        instances: core.freshness.instances.iter().map(|entry| entry.name.clone()).collect(),
        domains_out: catalogue.domains_out.iter().cloned().collect(),
        instances_out: catalogue.instances_out.iter().cloned().collect(),
        groups: catalogue.groups.iter().map(group).collect(),
        endpoints: core
            .pool
            .endpoints
            .iter()
            .map(|endpoint_state| endpoint(&core.pool, endpoint_state, now))
            .collect(),
        transactions: transactions(core, now),
        requests_pending: core.requests.len(),
        requests_forwarded: core.forwards.len(),
        counters: core.counters.clone(),
    }
}

fn group(group: &Group) -> GroupDump {
    GroupDump {
        service: group.service.clone(),
        term: group.term,
        primary: group.primary.clone(),
        writable: group.writable,
    }
}

fn endpoint(pool: &Pool, endpoint: &Endpoint, now: Instant) -> EndpointDump {
    EndpointDump {
        endpoint: endpoint.name.clone(),
        reachable: endpoint.reachability.map(|reachability| reachability.reachable),
        stalled: endpoint.is_stalled(now),
        connections: connections(pool, endpoint),
        queued: endpoint.queue.len(),
        service_micros: endpoint.service_micros,
        state: endpoint.observed.map(|observed| StateDump {
            role: observed.state.role,
            timeline: observed.state.timeline,
            position: observed.state.position,
            lag_ms: observed.state.lag_ms,
            age_ms: millis(now.saturating_since(observed.at)),
        }),
    }
}

fn connections(pool: &Pool, endpoint: &Endpoint) -> ConnectionsDump {
    let mut counts = ConnectionsDump::default();
    for connection in pool.connections.iter().filter(|connection| connection.endpoint == endpoint.name) {
        let count = match connection.state {
            ConnectionState::Opening => &mut counts.opening,
            ConnectionState::Idle => &mut counts.idle,
            ConnectionState::Busy { .. } => &mut counts.busy,
            ConnectionState::Pinned => &mut counts.pinned,
            ConnectionState::Closing => &mut counts.closing,
        };
        *count += 1;
    }
    counts
}

fn transactions(core: &Core, now: Instant) -> Vec<TransactionDump> {
    let transactions = core.transactions.iter();
    transactions
        .map(|transaction| TransactionDump {
            organisation: transaction.organisation.clone(),
            endpoint: transaction.endpoint.clone(),
            term: transaction.term,
            busy: transaction.active_operation.is_some(),
            left_ms: left_ms(now, transaction.deadline),
        })
        .collect()
}

fn left_ms(now: Instant, until: Instant) -> u64 {
    millis(until.saturating_since(now))
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
