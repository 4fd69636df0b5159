//! Entry instances: the real core, its endpoint connections and its links to other instances.

use {
    super::{
        DOMAINS, DriftingClock, ENTRIES_PER_DOMAIN, Simulation, TICK,
        clients::{InFlightRequest, Origin},
        control::InFlightHeartbeat,
        event::{Event, ProcessIncarnation},
        network::CLIENT_LATENCY,
    },
    crate::{history::Span, mutation::Mutation},
    cumincart_core::{
        endpoint_command::{CommandError, CommandId, CommandOutput, ConnectionId, EndpointCommand},
        entry::{Core, Effect, Input, Settings, Ticket, step},
    },
    cumincart_protocol::{
        catalogue::Catalogue,
        heartbeat::{CatalogueChange, CatalogueUpdate, Heartbeat, HeartbeatAnswer},
        name::{DomainName, InstanceName},
        number::Incarnation,
        refusal::{Refusal, RefusalCode},
        request::{CallerRequest, CallerResult, Statement, Value},
        sorted::SortedVec,
        time::Instant,
        verdict::Verdict,
    },
    rand_chacha::{ChaCha20Rng, rand_core::SeedableRng},
    std::{sync::Arc, time::Duration},
};

const CONNECT_DURATION: Duration = Duration::from_millis(12);

/// The time after which a connection without an answer counts as lost.
const CONNECTION_TIMEOUT: Duration = Duration::from_millis(2_000);

/// The time without an answer after which heartbeats go to another control instance.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(400);

/// The time after which a link between entry instances without an answer counts as lost.
const LINK_TIMEOUT: Duration = Duration::from_millis(1_000);

/// An entry instance across all its incarnations.
#[derive(Debug)]
pub struct EntryNode {
    pub name: InstanceName,
    pub domain: usize,
    pub clock: DriftingClock,
    pub process: Option<EntryProcess>,
    pub incarnations: u64,
    heartbeat_target: usize,
    /// When the oldest heartbeat without an answer was sent.
    unanswered_since: Option<Instant>,
}

/// One incarnation of an entry instance.
#[derive(Debug)]
pub struct EntryProcess {
    pub core: Core,
    pub incarnation: ProcessIncarnation,
    connections: Vec<Connection>,
    pending_requests: Vec<PendingRequest>,
    next_ticket: u64,
    stop_requested_at: Option<Instant>,
    delayed_answer: Option<DelayedAnswer>,
    old_catalogue: Option<Arc<Catalogue>>,
}

#[derive(Debug, Clone, Copy)]
struct Connection {
    id: ConnectionId,
    endpoint: usize,
}

/// An answer that is delayed so that it can be swapped with the next one.
#[derive(Debug)]
struct DelayedAnswer {
    ticket: Ticket,
    result: CallerResult,
}

/// A request that an entry instance has not answered yet, and the destination of its answer.
#[derive(Debug)]
struct PendingRequest {
    ticket: Ticket,
    origin: Origin,
}

/// Identifies a connection across all incarnations of all entry instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionKey {
    pub entry: usize,
    pub incarnation: ProcessIncarnation,
    pub id: ConnectionId,
}

/// A connection between an entry instance and an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionTarget {
    pub connection: ConnectionKey,
    pub endpoint: usize,
}

/// A command in flight to an endpoint.
#[derive(Debug)]
pub struct InFlightCommand {
    pub target: ConnectionTarget,
    pub id: CommandId,
    pub command: EndpointCommand,
}

/// Returns the name of a failure domain.
pub fn domain_name(domain: usize) -> DomainName {
    format!("domain-{domain}").into()
}

/// Returns the entry instances; none of them is started.
pub fn nodes(random: &mut ChaCha20Rng) -> Vec<EntryNode> {
    let mut nodes = Vec::new();
    for domain in 0..DOMAINS {
        for number in 0..ENTRIES_PER_DOMAIN {
            nodes.push(EntryNode {
                name: format!("entry-{domain}-{number}").into(),
                domain,
                clock: DriftingClock::random(random),
                process: None,
                incarnations: 0,
                heartbeat_target: 0,
                unanswered_since: None,
            });
        }
    }
    nodes
}

impl EntryNode {
    /// Returns the current incarnation, if the process runs.
    pub fn incarnation(&self) -> Option<ProcessIncarnation> {
        self.process.as_ref().map(|process| process.incarnation)
    }

    /// Returns whether a planned stop is in progress.
    pub fn is_stopping(&self) -> bool {
        self.process.as_ref().is_some_and(|process| process.stop_requested_at.is_some())
    }
}

impl Simulation {
    pub(super) fn start_entry(&mut self, index: usize) {
        let node = &mut self.entries[index];
        node.incarnations += 1;
        let settings = Settings {
            instance: node.name.clone(),
            incarnation: Incarnation(node.incarnations),
            domain: domain_name(node.domain),
            peer_address: node.name.as_str().into(),
        };
        let incarnation = ProcessIncarnation(node.incarnations);
        let seed = self.history.seed.wrapping_mul(1_000_003) + (index as u64) * 1_009 + node.incarnations;
        node.process = Some(EntryProcess {
            core: Core::open(settings, ChaCha20Rng::seed_from_u64(seed)),
            incarnation,
            connections: Vec::new(),
            pending_requests: Vec::new(),
            next_ticket: 1,
            stop_requested_at: None,
            delayed_answer: None,
            old_catalogue: None,
        });
        self.after(Duration::from_micros(100), Event::TickEntry(index, incarnation));
    }

    /// Terminates a process. Its clients lose their connections, and endpoints roll back its open transactions.
    pub(super) fn terminate_entry(&mut self, index: usize) {
        let Some(process) = self.entries[index].process.take() else { return };
        for connection in &process.connections {
            let key = ConnectionKey { entry: index, incarnation: process.incarnation, id: connection.id };
            self.endpoints[connection.endpoint].drop_connection(key);
        }
        for pending in process.pending_requests {
            self.fail_request(index, pending.origin);
        }
        if let Some(requested_at) = process.stop_requested_at {
            self.history.planned_stops.push(Span {
                subject: index,
                from: requested_at,
                until: Some(self.now),
            });
        }
    }

    fn fail_request(&mut self, index: usize, origin: Origin) {
        match origin {
            Origin::Client(number) => self.lose_client_connection(number, CLIENT_LATENCY),
            Origin::Entry { entry, incarnation, ticket } => {
                let refusal =
                    Refusal::unknown(RefusalCode::ConnectionLost, "the link to the entry instance was lost");
                self.return_forwarded_answer(index, entry, incarnation, ticket, Err(refusal), LINK_TIMEOUT);
            }
        }
    }

    pub(super) fn request_entry_stop(&mut self, index: usize) {
        let now = self.now;
        let Some(process) = &mut self.entries[index].process else { return };
        if process.stop_requested_at.is_some() {
            return;
        }
        process.stop_requested_at = Some(now);
        let incarnation = process.incarnation;
        if self.is_mutated(Mutation::StopImmediately) {
            self.terminate_entry(index);
            return;
        }
        self.entry_input(index, incarnation, Input::Stop);
    }

    pub(super) fn tick_entry(&mut self, index: usize, incarnation: ProcessIncarnation) {
        if self.entries[index].incarnation() != Some(incarnation) {
            return;
        }
        self.after(TICK, Event::TickEntry(index, incarnation));
        self.revert_catalogue(index);
        self.extend_leases(index);
        self.entry_input(index, incarnation, Input::Tick);
        self.sample_revision(index);
    }

    fn revert_catalogue(&mut self, index: usize) {
        if !self.is_mutated(Mutation::RevertCatalogue) {
            return;
        }
        let at_ms = self.now.as_millis();
        let Some(process) = &mut self.entries[index].process else { return };
        let catalogue = &mut process.core.freshness.catalogue;
        match &process.old_catalogue {
            None if catalogue.revision.0 > 0 => process.old_catalogue = Some(Arc::clone(catalogue)),
            Some(old) if at_ms % 5_000 < 10 => *catalogue = Arc::clone(old),
            _ => {}
        }
    }

    fn extend_leases(&mut self, index: usize) {
        if !self.is_mutated(Mutation::EndlessTermLeases) {
            return;
        }
        let node = &mut self.entries[index];
        let now = node.clock.read(self.now);
        let Some(process) = &mut node.process else { return };
        let freshness = &mut process.core.freshness;
        if freshness.term_lease_until > Instant::ZERO {
            freshness.term_lease_until = now + Duration::from_secs(1);
            freshness.freshness_lease_until = now + Duration::from_secs(1);
        }
    }

    pub(super) fn entry_input(&mut self, index: usize, incarnation: ProcessIncarnation, input: Input) {
        let input = self.mutate_entry_input(input);
        let node = &mut self.entries[index];
        let now = node.clock.read(self.now);
        let Some(process) = node.process.as_mut().filter(|process| process.incarnation == incarnation) else {
            return;
        };
        if matches!(input, Input::HeartbeatAnswer(_)) {
            node.unanswered_since = None;
        }
        if let Input::Closed(id) = &input {
            process.connections.retain(|connection| connection.id != *id);
        }
        let mut effects = Vec::new();
        step(&mut process.core, now, input, &mut effects);
        for effect in effects {
            self.entry_effect(index, incarnation, effect);
        }
    }

    fn mutate_entry_input(&self, input: Input) -> Input {
        let Input::HeartbeatAnswer(mut answer) = input else { return input };
        match self.mutation {
            Some(Mutation::InflateShares) => inflate_shares(&mut answer),
            Some(Mutation::HideServiceState) => hide_service_state(&mut answer),
            _ => {}
        }
        Input::HeartbeatAnswer(answer)
    }

    fn entry_effect(&mut self, index: usize, incarnation: ProcessIncarnation, effect: Effect) {
        match effect {
            Effect::Answer(ticket, result) => self.on_entry_answer(index, ticket, *result),
            Effect::Forward { ticket, to, request, .. } => {
                self.forward(index, incarnation, ticket, &to, request);
            }
            Effect::Open { connection, endpoint, .. } => {
                let Some(endpoint) = self.endpoints.iter().position(|known| known.name == endpoint) else {
                    return;
                };
                let key = ConnectionKey { entry: index, incarnation, id: connection };
                self.open_connection(ConnectionTarget { connection: key, endpoint });
            }
            Effect::Close(id) => self.close_connection(index, incarnation, id),
            Effect::Execute(connection, id, command) => {
                self.send_command(index, incarnation, connection, id, command);
            }
            Effect::Heartbeat(heartbeat) => self.send_heartbeat(index, incarnation, heartbeat),
            Effect::Stopped => self.terminate_entry(index),
            Effect::Log(line) => self.log(&self.entries[index].name.clone(), &line),
        }
    }

    fn open_connection(&mut self, target: ConnectionTarget) {
        let from = self.entries[target.connection.entry].domain;
        let to = self.endpoints[target.endpoint].domain;
        match self.network.deliver_reliably(&mut self.random, from, to) {
            Some(latency) => self.after(latency + CONNECT_DURATION, Event::ConnectArrives(target)),
            None => self.schedule_close(target.connection, CONNECTION_TIMEOUT),
        }
    }

    pub(super) fn connect_arrives(&mut self, target: ConnectionTarget) {
        let ConnectionKey { entry, incarnation, id } = target.connection;
        if self.entries[entry].incarnation() != Some(incarnation) {
            return;
        }
        if !self.endpoints[target.endpoint].is_responsive() {
            self.schedule_close(target.connection, Duration::from_millis(5));
            return;
        }
        if let Some(process) = &mut self.entries[entry].process {
            process.connections.push(Connection { id, endpoint: target.endpoint });
        }
        self.entry_input(entry, incarnation, Input::Opened(id));
    }

    fn schedule_close(&mut self, key: ConnectionKey, delay: Duration) {
        self.after(delay, Event::ToEntry(key.entry, key.incarnation, Box::new(Input::Closed(key.id))));
    }

    fn close_connection(&mut self, index: usize, incarnation: ProcessIncarnation, id: ConnectionId) {
        let key = ConnectionKey { entry: index, incarnation, id };
        if let Some(connection) = self.connection(key) {
            self.endpoints[connection.endpoint].drop_connection(key);
        }
        self.schedule_close(key, Duration::from_micros(10));
    }

    fn connection(&self, key: ConnectionKey) -> Option<Connection> {
        let process = self.entries[key.entry]
            .process
            .as_ref()
            .filter(|process| process.incarnation == key.incarnation)?;
        process.connections.iter().find(|connection| connection.id == key.id).copied()
    }

    fn send_command(
        &mut self,
        index: usize,
        incarnation: ProcessIncarnation,
        id: ConnectionId,
        command_id: CommandId,
        command: EndpointCommand,
    ) {
        let key = ConnectionKey { entry: index, incarnation, id };
        let Some(connection) = self.connection(key) else {
            let input = Input::CommandEnded(id, command_id, Err(CommandError::NotSent));
            self.after(Duration::from_micros(10), Event::ToEntry(index, incarnation, Box::new(input)));
            return;
        };
        let command = self.mutate_command(command);
        let in_flight = InFlightCommand {
            target: ConnectionTarget { connection: key, endpoint: connection.endpoint },
            id: command_id,
            command,
        };
        let from = self.entries[index].domain;
        let to = self.endpoints[connection.endpoint].domain;
        match self.network.deliver_reliably(&mut self.random, from, to) {
            Some(latency) => self.after(latency, Event::CommandArrives(Box::new(in_flight))),
            None => self.lose_command(&in_flight, false),
        }
    }

    fn mutate_command(&mut self, command: EndpointCommand) -> EndpointCommand {
        if !self.is_mutated(Mutation::SwapOrganisations) || !self.random_chance(5) {
            return command;
        }
        let swap = |mut statement: Statement| {
            if let Some(Value::Text(name)) = statement.parameters.first_mut()
                && name.starts_with("organisation-")
            {
                *name = super::lists::organisation_name(0).as_str().into();
            }
            statement
        };
        match command {
            EndpointCommand::Read(statement) => EndpointCommand::Read(swap(statement)),
            other => other,
        }
    }

    /// Fails a command and closes its connection, immediately or after the connection timeout.
    pub(super) fn lose_command(&mut self, in_flight: &InFlightCommand, immediately: bool) {
        let delay = if immediately { Duration::from_millis(2) } else { CONNECTION_TIMEOUT };
        let ConnectionKey { entry, incarnation, id } = in_flight.target.connection;
        let error = match in_flight.command {
            EndpointCommand::Write(..) | EndpointCommand::Commit(_) => CommandError::LostInCommit,
            _ => CommandError::LostBeforeCommit,
        };
        let input = Input::CommandEnded(id, in_flight.id, Err(error));
        self.after(delay, Event::ToEntry(entry, incarnation, Box::new(input)));
        self.schedule_close(in_flight.target.connection, delay + Duration::from_micros(10));
        self.endpoints[in_flight.target.endpoint].drop_connection(in_flight.target.connection);
    }

    /// Sends the result of a command to the entry instance.
    pub(super) fn return_command_result(
        &mut self,
        in_flight: &InFlightCommand,
        result: Result<CommandOutput, CommandError>,
        duration: Duration,
    ) {
        let ConnectionKey { entry, incarnation, id } = in_flight.target.connection;
        let from = self.endpoints[in_flight.target.endpoint].domain;
        let to = self.entries[entry].domain;
        match self.network.deliver_reliably(&mut self.random, from, to) {
            Some(latency) => {
                let input = Input::CommandEnded(id, in_flight.id, result);
                self.after(duration + latency, Event::ToEntry(entry, incarnation, Box::new(input)));
            }
            None => self.lose_command(in_flight, false),
        }
    }

    fn send_heartbeat(&mut self, index: usize, incarnation: ProcessIncarnation, heartbeat: Box<Heartbeat>) {
        let now = self.now;
        let since = *self.entries[index].unanswered_since.get_or_insert(now);
        if now.saturating_since(since) > HEARTBEAT_TIMEOUT {
            self.select_control(index, incarnation, None);
        }
        let target = self.entries[index].heartbeat_target;
        let (from, to) = (self.entries[index].domain, self.controls[target].domain);
        match self.network.deliver(&mut self.random, from, to) {
            Some(latency) => {
                let in_flight = InFlightHeartbeat { entry: index, incarnation, heartbeat };
                self.after(latency, Event::HeartbeatArrives(target, Box::new(in_flight)));
            }
            None => self.select_control(index, incarnation, None),
        }
    }

    /// Directs further heartbeats to the given leader, or to the next control instance in turn.
    pub(super) fn select_control(
        &mut self,
        index: usize,
        incarnation: ProcessIncarnation,
        leader: Option<usize>,
    ) {
        let controls = self.controls.len();
        let node = &mut self.entries[index];
        if node.incarnation() == Some(incarnation) {
            node.heartbeat_target = leader.unwrap_or((node.heartbeat_target + 1) % controls);
            node.unanswered_since = None;
        }
    }

    /// Delivers a request from a client or from another entry instance.
    pub(super) fn request_arrives(&mut self, in_flight: InFlightRequest) {
        let Some(process) = &mut self.entries[in_flight.entry].process else {
            self.fail_request(in_flight.entry, in_flight.origin);
            return;
        };
        let ticket = Ticket(process.next_ticket);
        process.next_ticket += 1;
        process.pending_requests.push(PendingRequest { ticket, origin: in_flight.origin });
        let incarnation = process.incarnation;
        self.entry_input(in_flight.entry, incarnation, Input::Request(ticket, in_flight.request));
    }

    fn on_entry_answer(&mut self, index: usize, ticket: Ticket, result: CallerResult) {
        let result = self.mutate_answer(result);
        let Some(process) = &mut self.entries[index].process else { return };
        if self.mutation != Some(Mutation::SwapAnswers) {
            self.return_answer(index, ticket, result);
            return;
        }
        match process.delayed_answer.take() {
            None => process.delayed_answer = Some(DelayedAnswer { ticket, result }),
            Some(delayed) => {
                self.return_answer(index, delayed.ticket, result);
                self.return_answer(index, ticket, delayed.result);
            }
        }
    }

    fn mutate_answer(&self, mut result: CallerResult) -> CallerResult {
        if let Err(refusal) = &mut result
            && self.is_mutated(Mutation::FalseNotRun)
            && refusal.verdict == Verdict::Unknown
        {
            refusal.verdict = Verdict::NotRun;
        }
        result
    }

    fn return_answer(&mut self, index: usize, ticket: Ticket, result: CallerResult) {
        let Some(process) = &mut self.entries[index].process else { return };
        let Some(found) = process.pending_requests.iter().position(|pending| pending.ticket == ticket) else {
            return;
        };
        match process.pending_requests.swap_remove(found).origin {
            Origin::Client(number) => self.answer_client(number, result),
            Origin::Entry { entry, incarnation, ticket } => {
                self.return_forwarded_answer(index, entry, incarnation, ticket, result, Duration::ZERO);
            }
        }
    }

    fn forward(
        &mut self,
        index: usize,
        incarnation: ProcessIncarnation,
        ticket: Ticket,
        to: &InstanceName,
        request: Box<CallerRequest>,
    ) {
        let target = self.entries.iter().position(|node| node.name == *to);
        let from = self.entries[index].domain;
        let latency = target.and_then(|target| {
            self.network.deliver_reliably(&mut self.random, from, self.entries[target].domain)
        });
        let (Some(entry), Some(latency)) = (target, latency) else {
            let refusal = Refusal::unknown(RefusalCode::ConnectionLost, "the entry instance did not answer");
            let input = Input::ForwardAnswered(ticket, Box::new(Err(refusal)));
            self.after(LINK_TIMEOUT, Event::ToEntry(index, incarnation, Box::new(input)));
            return;
        };
        let origin = Origin::Entry { entry: index, incarnation, ticket };
        self.after(latency, Event::RequestArrives(Box::new(InFlightRequest { entry, origin, request })));
    }

    fn return_forwarded_answer(
        &mut self,
        from: usize,
        to: usize,
        incarnation: ProcessIncarnation,
        ticket: Ticket,
        result: CallerResult,
        extra_delay: Duration,
    ) {
        let (from, domain) = (self.entries[from].domain, self.entries[to].domain);
        let (latency, result) = match self.network.deliver_reliably(&mut self.random, from, domain) {
            Some(latency) => (latency + extra_delay, result),
            None => (
                LINK_TIMEOUT,
                Err(Refusal::unknown(RefusalCode::ConnectionLost, "the entry instance did not answer")),
            ),
        };
        let input = Input::ForwardAnswered(ticket, Box::new(result));
        self.after(latency, Event::ToEntry(to, incarnation, Box::new(input)));
    }
}

const INFLATION: u64 = 4;

fn inflate_shares(answer: &mut HeartbeatAnswer) {
    for grant in &mut answer.shares {
        grant.share.rate_milli_per_s *= INFLATION;
        grant.share.burst_milli *= INFLATION;
        grant.tokens_milli *= INFLATION;
    }
}

fn hide_service_state(answer: &mut HeartbeatAnswer) {
    match &mut answer.update {
        CatalogueUpdate::None => {}
        CatalogueUpdate::Packed(packed) => {
            if let Ok(update) = packed.unpack() {
                answer.update = update;
                hide_service_state(answer);
            }
        }
        CatalogueUpdate::Deltas(deltas) => {
            for delta in deltas {
                if matches!(delta.change, CatalogueChange::DomainsOut(_)) {
                    delta.change = CatalogueChange::Nothing;
                }
            }
        }
        CatalogueUpdate::Snapshot(catalogue) => {
            Arc::make_mut(catalogue).domains_out = SortedVec::new();
        }
    }
}
