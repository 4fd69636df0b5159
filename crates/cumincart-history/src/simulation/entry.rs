//! Entry instances: the real core, its endpoint connections and its links to other instances.

use {
    super::{
        DOMAINS, DriftingClock, ENTRIES_PER_DOMAIN, TICK, World,
        clients::{Call, Origin},
        control::Asked,
        event::{Event, ProcessRun},
        network::CALLER_LATENCY,
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

const CONNECT_TIME: Duration = Duration::from_millis(12);

/// The time after which a connection without an answer counts as lost.
const CONNECTION_TIMEOUT: Duration = Duration::from_millis(2_000);

/// The time without an answer after which heartbeats go to another control instance.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);

/// The time after which a link between entry instances without an answer counts as lost.
const LINK_TIMEOUT: Duration = Duration::from_millis(1_000);

/// An entry instance across all its incarnations.
#[derive(Debug)]
pub struct EntryNode {
    pub name: InstanceName,
    pub domain: usize,
    pub clock: DriftingClock,
    pub process: Option<EntryProcess>,
    pub runs: u64,
    target: usize,
    /// When the oldest heartbeat without an answer was sent.
    unanswered_since: Option<Instant>,
}

/// One incarnation of an entry instance.
#[derive(Debug)]
pub struct EntryProcess {
    pub core: Core,
    pub run: ProcessRun,
    connections: Vec<Connection>,
    origins: Vec<Waiting>,
    next_ticket: u64,
    stop_asked_at: Option<Instant>,
    held_answer: Option<HeldAnswer>,
    old_catalogue: Option<Arc<Catalogue>>,
}

#[derive(Debug, Clone, Copy)]
struct Connection {
    id: ConnectionId,
    endpoint: usize,
}

/// An answer that is delayed so that it can be swapped with the next one.
#[derive(Debug)]
struct HeldAnswer {
    ticket: Ticket,
    result: CallerResult,
}

/// A request that an entry instance has not answered yet, and the destination of its answer.
#[derive(Debug)]
struct Waiting {
    ticket: Ticket,
    origin: Origin,
}

/// Identifies a connection across all incarnations of all entry instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionKey {
    pub entry: usize,
    pub run: ProcessRun,
    pub id: ConnectionId,
}

/// A connection between an entry instance and an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct Link {
    pub connection: ConnectionKey,
    pub endpoint: usize,
}

/// A command in flight to an endpoint.
#[derive(Debug)]
pub struct Arrival {
    pub link: Link,
    pub id: CommandId,
    pub work: EndpointCommand,
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
                runs: 0,
                target: 0,
                unanswered_since: None,
            });
        }
    }
    nodes
}

impl EntryNode {
    /// Returns the current incarnation, if the process runs.
    pub fn run(&self) -> Option<ProcessRun> {
        self.process.as_ref().map(|process| process.run)
    }

    /// Returns whether a planned stop is in progress.
    pub fn is_stopping(&self) -> bool {
        self.process.as_ref().is_some_and(|process| process.stop_asked_at.is_some())
    }
}

impl World {
    pub(super) fn start_entry(&mut self, index: usize) {
        let node = &mut self.entries[index];
        node.runs += 1;
        let settings = Settings {
            instance: node.name.clone(),
            incarnation: Incarnation(node.runs),
            domain: domain_name(node.domain),
            peer_address: node.name.as_str().into(),
        };
        let run = ProcessRun(node.runs);
        let seed = self.history.seed.wrapping_mul(1_000_003) + (index as u64) * 1_009 + node.runs;
        node.process = Some(EntryProcess {
            core: Core::open(settings, ChaCha20Rng::seed_from_u64(seed)),
            run,
            connections: Vec::new(),
            origins: Vec::new(),
            next_ticket: 1,
            stop_asked_at: None,
            held_answer: None,
            old_catalogue: None,
        });
        self.after(Duration::from_micros(100), Event::TickEntry(index, run));
    }

    /// Terminates a process. Its clients lose their connections, and endpoints roll back its open transactions.
    pub(super) fn end_entry(&mut self, index: usize) {
        let Some(process) = self.entries[index].process.take() else { return };
        for connection in &process.connections {
            let key = ConnectionKey { entry: index, run: process.run, id: connection.id };
            self.endpoints[connection.endpoint].drop_connection(key);
        }
        for waiting in process.origins {
            self.answer_broken(index, waiting.origin);
        }
        if let Some(asked_at) = process.stop_asked_at {
            self.history.planned_stops.push(Span { subject: index, from: asked_at, until: Some(self.now) });
        }
    }

    fn answer_broken(&mut self, index: usize, origin: Origin) {
        match origin {
            Origin::Caller(number) => self.break_call(number, CALLER_LATENCY),
            Origin::Entry { entry, run, ticket } => {
                let refusal =
                    Refusal::unknown(RefusalCode::ConnectionLost, "the link to the entry instance was lost");
                self.return_forward(index, entry, run, ticket, Err(refusal), LINK_TIMEOUT);
            }
        }
    }

    pub(super) fn ask_entry_to_stop(&mut self, index: usize) {
        let now = self.now;
        let Some(process) = &mut self.entries[index].process else { return };
        if process.stop_asked_at.is_some() {
            return;
        }
        process.stop_asked_at = Some(now);
        let run = process.run;
        if self.is_mutated(Mutation::CutOnStop) {
            self.end_entry(index);
            return;
        }
        self.entry_input(index, run, Input::Stop);
    }

    pub(super) fn tick_entry(&mut self, index: usize, run: ProcessRun) {
        if self.entries[index].run() != Some(run) {
            return;
        }
        self.after(TICK, Event::TickEntry(index, run));
        self.revert_catalogue(index);
        self.prolong_leases(index);
        self.entry_input(index, run, Input::Tick);
        self.sample_entry(index);
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

    fn prolong_leases(&mut self, index: usize) {
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

    pub(super) fn entry_input(&mut self, index: usize, run: ProcessRun, input: Input) {
        let input = self.mutate_entry_input(input);
        let node = &mut self.entries[index];
        let now = node.clock.read(self.now);
        let Some(process) = node.process.as_mut().filter(|process| process.run == run) else { return };
        if matches!(input, Input::HeartbeatAnswer(_)) {
            node.unanswered_since = None;
        }
        if let Input::Closed(id) = &input {
            process.connections.retain(|connection| connection.id != *id);
        }
        let mut effects = Vec::new();
        step(&mut process.core, now, input, &mut effects);
        for effect in effects {
            self.entry_effect(index, run, effect);
        }
    }

    fn mutate_entry_input(&self, input: Input) -> Input {
        let Input::HeartbeatAnswer(mut answer) = input else { return input };
        match self.mutation {
            Some(Mutation::InflateShares) => inflate(&mut answer),
            Some(Mutation::HideServiceState) => hide_service_state(&mut answer),
            _ => {}
        }
        Input::HeartbeatAnswer(answer)
    }

    fn entry_effect(&mut self, index: usize, run: ProcessRun, effect: Effect) {
        match effect {
            Effect::Answer(ticket, result) => self.entry_answers(index, ticket, *result),
            Effect::Forward { ticket, to, request, .. } => self.forward(index, run, ticket, &to, request),
            Effect::Open { connection, endpoint, .. } => {
                let Some(endpoint) = self.endpoints.iter().position(|known| known.name == endpoint) else {
                    return;
                };
                let key = ConnectionKey { entry: index, run, id: connection };
                self.open_connection(Link { connection: key, endpoint });
            }
            Effect::Close(id) => self.close_connection(index, run, id),
            Effect::Execute(connection, id, work) => self.send_work(index, run, connection, id, work),
            Effect::Heartbeat(heartbeat) => self.send_heartbeat(index, run, heartbeat),
            Effect::Stopped => self.end_entry(index),
            Effect::Log(note) => self.note(&self.entries[index].name.clone(), &note),
        }
    }

    fn open_connection(&mut self, link: Link) {
        let from = self.entries[link.connection.entry].domain;
        let to = self.endpoints[link.endpoint].domain;
        match self.network.deliver_reliably(&mut self.random, from, to) {
            Some(latency) => self.after(latency + CONNECT_TIME, Event::OpenArrives(link)),
            None => self.close_later(link.connection, CONNECTION_TIMEOUT),
        }
    }

    pub(super) fn open_arrives(&mut self, link: Link) {
        let ConnectionKey { entry, run, id } = link.connection;
        if self.entries[entry].run() != Some(run) {
            return;
        }
        if !self.endpoints[link.endpoint].runs() {
            self.close_later(link.connection, Duration::from_millis(5));
            return;
        }
        if let Some(process) = &mut self.entries[entry].process {
            process.connections.push(Connection { id, endpoint: link.endpoint });
        }
        self.entry_input(entry, run, Input::Opened(id));
    }

    fn close_later(&mut self, key: ConnectionKey, span: Duration) {
        self.after(span, Event::ToEntry(key.entry, key.run, Box::new(Input::Closed(key.id))));
    }

    fn close_connection(&mut self, index: usize, run: ProcessRun, id: ConnectionId) {
        let key = ConnectionKey { entry: index, run, id };
        if let Some(connection) = self.connection(key) {
            self.endpoints[connection.endpoint].drop_connection(key);
        }
        self.close_later(key, Duration::from_micros(10));
    }

    fn connection(&self, key: ConnectionKey) -> Option<Connection> {
        let process = self.entries[key.entry].process.as_ref().filter(|process| process.run == key.run)?;
        process.connections.iter().find(|connection| connection.id == key.id).copied()
    }

    fn send_work(
        &mut self,
        index: usize,
        run: ProcessRun,
        id: ConnectionId,
        work_id: CommandId,
        work: EndpointCommand,
    ) {
        let key = ConnectionKey { entry: index, run, id };
        let Some(connection) = self.connection(key) else {
            let input = Input::CommandEnded(id, work_id, Err(CommandError::NotSent));
            self.after(Duration::from_micros(10), Event::ToEntry(index, run, Box::new(input)));
            return;
        };
        let work = self.mutate_work(work);
        let arrival =
            Arrival { link: Link { connection: key, endpoint: connection.endpoint }, id: work_id, work };
        let from = self.entries[index].domain;
        let to = self.endpoints[connection.endpoint].domain;
        match self.network.deliver_reliably(&mut self.random, from, to) {
            Some(latency) => self.after(latency, Event::WorkArrives(Box::new(arrival))),
            None => self.lose_work(&arrival, false),
        }
    }

    fn mutate_work(&mut self, work: EndpointCommand) -> EndpointCommand {
        if !self.is_mutated(Mutation::SwapOrganisations) || !self.chance(5) {
            return work;
        }
        let swap = |mut statement: Statement| {
            if let Some(Value::Text(name)) = statement.parameters.first_mut()
                && name.starts_with("organisation-")
            {
                *name = super::lists::organisation_name(0).as_str().into();
            }
            statement
        };
        match work {
            EndpointCommand::Read(statement) => EndpointCommand::Read(swap(statement)),
            other => other,
        }
    }

    /// Fails a command and closes its connection, immediately or after the connection timeout.
    pub(super) fn lose_work(&mut self, arrival: &Arrival, at_once: bool) {
        let span = if at_once { Duration::from_millis(2) } else { CONNECTION_TIMEOUT };
        let ConnectionKey { entry, run, id } = arrival.link.connection;
        let error = match arrival.work {
            EndpointCommand::Write(..) | EndpointCommand::Commit(_) => CommandError::LostInCommit,
            _ => CommandError::LostBeforeCommit,
        };
        let input = Input::CommandEnded(id, arrival.id, Err(error));
        self.after(span, Event::ToEntry(entry, run, Box::new(input)));
        self.close_later(arrival.link.connection, span + Duration::from_micros(10));
        self.endpoints[arrival.link.endpoint].drop_connection(arrival.link.connection);
    }

    /// Sends the result of a command to the entry instance.
    pub(super) fn return_work(
        &mut self,
        arrival: &Arrival,
        result: Result<CommandOutput, CommandError>,
        took: Duration,
    ) {
        let ConnectionKey { entry, run, id } = arrival.link.connection;
        let from = self.endpoints[arrival.link.endpoint].domain;
        let to = self.entries[entry].domain;
        match self.network.deliver_reliably(&mut self.random, from, to) {
            Some(latency) => {
                let input = Input::CommandEnded(id, arrival.id, result);
                self.after(took + latency, Event::ToEntry(entry, run, Box::new(input)));
            }
            None => self.lose_work(arrival, false),
        }
    }

    fn send_heartbeat(&mut self, index: usize, run: ProcessRun, heartbeat: Box<Heartbeat>) {
        let now = self.now;
        let since = *self.entries[index].unanswered_since.get_or_insert(now);
        if now.saturating_since(since) > ANSWER_TIMEOUT {
            self.retarget(index, run, None);
        }
        let target = self.entries[index].target;
        let (from, to) = (self.entries[index].domain, self.controls[target].domain);
        match self.network.deliver(&mut self.random, from, to) {
            Some(latency) => {
                let asked = Asked { entry: index, run, heartbeat };
                self.after(latency, Event::Beat(target, Box::new(asked)));
            }
            None => self.retarget(index, run, None),
        }
    }

    /// Directs further heartbeats to the given leader, or to the next control instance in turn.
    pub(super) fn retarget(&mut self, index: usize, run: ProcessRun, leader: Option<usize>) {
        let controls = self.controls.len();
        let node = &mut self.entries[index];
        if node.run() == Some(run) {
            node.target = leader.unwrap_or((node.target + 1) % controls);
            node.unanswered_since = None;
        }
    }

    /// Delivers a request from a client or from another entry instance.
    pub(super) fn call_arrives(&mut self, call: Call) {
        let Some(process) = &mut self.entries[call.entry].process else {
            self.answer_broken(call.entry, call.origin);
            return;
        };
        let ticket = Ticket(process.next_ticket);
        process.next_ticket += 1;
        process.origins.push(Waiting { ticket, origin: call.origin });
        let run = process.run;
        self.entry_input(call.entry, run, Input::Request(ticket, call.request));
    }

    fn entry_answers(&mut self, index: usize, ticket: Ticket, result: CallerResult) {
        let result = self.mutate_answer(result);
        let Some(process) = &mut self.entries[index].process else { return };
        if self.mutation != Some(Mutation::CrossAnswers) {
            self.answer_origin(index, ticket, result);
            return;
        }
        match process.held_answer.take() {
            None => process.held_answer = Some(HeldAnswer { ticket, result }),
            Some(held) => {
                self.answer_origin(index, held.ticket, result);
                self.answer_origin(index, ticket, held.result);
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

    fn answer_origin(&mut self, index: usize, ticket: Ticket, result: CallerResult) {
        let Some(process) = &mut self.entries[index].process else { return };
        let Some(found) = process.origins.iter().position(|waiting| waiting.ticket == ticket) else { return };
        match process.origins.swap_remove(found).origin {
            Origin::Caller(number) => self.answer_caller(number, result),
            Origin::Entry { entry, run, ticket } => {
                self.return_forward(index, entry, run, ticket, result, Duration::ZERO);
            }
        }
    }

    fn forward(
        &mut self,
        index: usize,
        run: ProcessRun,
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
            self.after(LINK_TIMEOUT, Event::ToEntry(index, run, Box::new(input)));
            return;
        };
        let origin = Origin::Entry { entry: index, run, ticket };
        self.after(latency, Event::Call(Box::new(Call { entry, origin, request })));
    }

    fn return_forward(
        &mut self,
        from: usize,
        to: usize,
        run: ProcessRun,
        ticket: Ticket,
        result: CallerResult,
        more: Duration,
    ) {
        let (from, domain) = (self.entries[from].domain, self.entries[to].domain);
        let (latency, result) = match self.network.deliver_reliably(&mut self.random, from, domain) {
            Some(latency) => (latency + more, result),
            None => (
                LINK_TIMEOUT,
                Err(Refusal::unknown(RefusalCode::ConnectionLost, "the entry instance did not answer")),
            ),
        };
        let input = Input::ForwardAnswered(ticket, Box::new(result));
        self.after(latency, Event::ToEntry(to, run, Box::new(input)));
    }
}

const INFLATION: u64 = 4;

fn inflate(answer: &mut HeartbeatAnswer) {
    for grant in &mut answer.shares {
        grant.share.rate_milli_per_s *= INFLATION;
        grant.share.burst_milli *= INFLATION;
        grant.tokens_milli *= INFLATION;
    }
}

fn hide_service_state(answer: &mut HeartbeatAnswer) {
    match &mut answer.update {
        CatalogueUpdate::None => {}
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
