//! A model of database groups with timelines, logs, delayed replication, transactions, claims and promotion.

use {
    super::{
        DOMAINS, SERVICES, Simulation,
        control::InFlightPromotion,
        entry::{ConnectionKey, InFlightCommand},
        event::Event,
        faults::Recovery,
        lists,
    },
    crate::{
        history::{Commit, CommitRecord, Execution, OpenedTerm, RequestNumber, Write},
        mutation::Mutation,
    },
    cumincart_core::{
        control,
        endpoint_command::{Claim, CommandError, CommandOutput, EndpointCommand, EndpointState},
    },
    cumincart_protocol::{
        announcement::{Announcement, Role},
        catalogue::Catalogue,
        name::EndpointName,
        number::{LogPosition, Timeline},
        request::{Rows, Statement, Value},
        time::Instant,
    },
    std::time::Duration,
};

/// The interval between two ticks of an endpoint, which replicates at each tick.
const REPLICATION_INTERVAL: Duration = Duration::from_millis(10);

/// The number of endpoint ticks between two announcements.
const TICKS_PER_ANNOUNCEMENT: u64 = 20;

/// The time after which the platform makes replicas follow a new primary.
const FOLLOW_DELAY: Duration = Duration::from_millis(300);

/// The time after which the platform makes a former primary a replica of the new one.
const FORMER_PRIMARY_REJOIN_DELAY: Duration = Duration::from_millis(4_000);

/// The interval between two attempts while an endpoint is unreachable.
const FOLLOW_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// The number of commands that an endpoint runs concurrently, as announced.
const SLOTS: u32 = 5;

/// A commit that waits for replicas, and the answer that its client gets then.
#[derive(Debug)]
pub struct UnconfirmedCommit {
    endpoint: usize,
    /// The number of commits in the primary's log up to this one.
    length: usize,
    commit: Commit,
    in_flight: InFlightCommand,
    result: Result<CommandOutput, CommandError>,
}

/// An open transaction of a connection.
#[derive(Debug, Clone)]
struct OpenTransaction {
    connection: ConnectionKey,
    writes: Vec<Write>,
}

/// A simulated database.
#[derive(Debug)]
pub struct Endpoint {
    pub name: EndpointName,
    pub service: usize,
    pub domain: usize,
    pub is_up: bool,
    pub is_frozen: bool,
    pub role: Role,
    pub timeline: u64,
    timeline_start: u64,
    promoted_at: Instant,
    pub log: Vec<Commit>,
    pub lag: Duration,
    upstream: Option<usize>,
    caught_up_at: Instant,
    open_transactions: Vec<OpenTransaction>,
    ticks: u64,
}

/// Returns the databases of all groups. The first one of each group is its primary.
pub fn groups(size: usize) -> Vec<Endpoint> {
    let mut endpoints = Vec::new();
    for service in 0..SERVICES {
        let first = endpoints.len();
        for number in 0..size {
            endpoints.push(Endpoint {
                name: format!("service-{service}-{number}").into(),
                service,
                domain: (service + number) % DOMAINS,
                is_up: true,
                is_frozen: false,
                role: if number == 0 { Role::Primary } else { Role::Replica },
                timeline: 1,
                timeline_start: 0,
                promoted_at: Instant::ZERO,
                log: Vec::new(),
                lag: Duration::from_millis(15 + 40 * number as u64),
                upstream: (number > 0).then_some(first),
                caught_up_at: Instant::ZERO,
                open_transactions: Vec::new(),
                ticks: 0,
            });
        }
    }
    endpoints
}

impl Endpoint {
    /// Returns whether it accepts writes.
    pub fn is_primary(&self) -> bool {
        self.role == Role::Primary
    }

    /// Returns whether it responds: it is neither down nor frozen.
    pub fn is_responsive(&self) -> bool {
        self.is_up && !self.is_frozen
    }

    /// Stops the database. Open transactions are lost, the log is kept.
    pub fn crash(&mut self) {
        self.is_up = false;
        self.open_transactions.clear();
    }

    /// Makes it a replica of another endpoint and truncates its log where it diverges from that endpoint's log.
    pub fn rejoin(&mut self, upstream: usize, upstream_log: &[Commit], timeline: u64) {
        let common = self.log.iter().zip(upstream_log).take_while(|(own, other)| own == other).count();
        self.log.truncate(common);
        self.role = Role::Replica;
        self.timeline = timeline;
        self.upstream = Some(upstream);
        self.open_transactions.clear();
    }

    fn position(&self) -> u64 {
        self.log.last().map_or(0, |commit| commit.position)
    }

    fn state(&self, now: Instant) -> EndpointState {
        let lag = match self.role {
            Role::Primary => Duration::ZERO,
            Role::Replica => now.saturating_since(self.caught_up_at),
        };
        EndpointState {
            role: self.role,
            timeline: Timeline(self.timeline),
            position: LogPosition(self.position()),
            lag_ms: u64::try_from(lag.as_millis()).unwrap_or(u64::MAX),
        }
    }

    fn value(&self, key: &str) -> i64 {
        let writes = self.log.iter().rev().flat_map(|commit| commit.writes.iter().rev());
        writes.into_iter().find(|write| write.key == key).map_or(0, |write| write.value)
    }

    fn has_claim(&self, claim: &str) -> bool {
        self.log.iter().any(|commit| commit.claim.as_deref() == Some(claim))
    }

    fn commit(&mut self, now: Instant, writes: Vec<Write>, claim: Option<String>) -> Commit {
        let commit =
            Commit { position: self.position() + 1, timeline: self.timeline, at: now, writes, claim };
        self.log.push(commit.clone());
        commit
    }

    /// Returns whether an open transaction of another connection has written this key.
    fn is_locked(&self, connection: ConnectionKey, key: &str) -> bool {
        let others = self.open_transactions.iter().filter(|open| open.connection != connection);
        others.into_iter().any(|open| open.writes.iter().any(|write| write.key == key))
    }

    /// Rolls back the open transaction of a connection.
    pub fn drop_connection(&mut self, connection: ConnectionKey) {
        self.open_transactions.retain(|open| open.connection != connection);
    }

    fn announcement(&self, now: Instant) -> Announcement {
        let state = self.state(now);
        Announcement {
            endpoint: self.name.clone(),
            service: lists::service_name(self.service),
            address: self.name.as_str().into(),
            domain: super::entry::domain_name(self.domain),
            role: state.role,
            timeline: state.timeline,
            position: state.position,
            lag_ms: state.lag_ms,
            slots: SLOTS,
            connection_limit: lists::CONNECTION_LIMIT,
            leaving: false,
        }
    }
}

/// The decoded parameters of a statement.
struct StatementParameters {
    request: RequestNumber,
    organisation: Option<usize>,
    key: String,
    value: Option<i64>,
}

fn parse_parameters(statement: &Statement) -> Option<StatementParameters> {
    let mut parameters = statement.parameters.iter();
    let organisation = match &*statement.sql {
        "open-get" => None,
        _ => match parameters.next()? {
            Value::Text(name) => Some(lists::parse_organisation(name)?),
            _ => return None,
        },
    };
    let Value::Int(request) = parameters.next()? else { return None };
    let Value::Text(key) = parameters.next()? else { return None };
    let value = match parameters.next() {
        Some(Value::Int(value)) => Some(*value),
        _ => None,
    };
    Some(StatementParameters {
        request: RequestNumber(u64::try_from(*request).ok()?),
        organisation,
        key: key.to_string(),
        value,
    })
}

fn statement_error(code: &str) -> CommandError {
    CommandError::Statement { code: code.into(), message: "refused by the model".into() }
}

fn claim_text(claim: &Claim) -> String {
    let organisation = claim.organisation.as_ref().map_or("", |name| name.as_str());
    format!("{organisation}/{}", claim.request_id.0)
}

impl Simulation {
    /// Replicates from the upstream endpoint and sends announcements.
    pub(super) fn tick_endpoint(&mut self, index: usize) {
        self.after(REPLICATION_INTERVAL, Event::TickEndpoint(index));
        self.endpoints[index].ticks += 1;
        if !self.endpoints[index].is_frozen {
            self.confirm_commits(index);
        }
        if !self.endpoints[index].is_responsive() {
            return;
        }
        self.replicate(index);
        if self.endpoints[index].ticks.is_multiple_of(TICKS_PER_ANNOUNCEMENT) {
            self.announce(index);
        }
    }

    fn replicate(&mut self, index: usize) {
        let Some(upstream) = self.endpoints[index].upstream else { return };
        if self.endpoints[index].is_primary() || !self.endpoints[upstream].is_responsive() {
            return;
        }
        let (from, to) = (self.endpoints[upstream].domain, self.endpoints[index].domain);
        if self.network.deliver_reliably(&mut self.random, from, to).is_none() {
            return;
        }
        let visible_until = self.now - self.endpoints[index].lag;
        let source = &self.endpoints[upstream];
        let own = self.endpoints[index].log.len();
        // If the log is not a prefix of the upstream log, the upstream endpoint was replaced.
        if own > source.log.len() || self.endpoints[index].log.last() != source.log[..own].last() {
            return;
        }
        let new_commits: Vec<_> =
            source.log[own..].iter().take_while(|commit| commit.at <= visible_until).cloned().collect();
        let timeline = source.timeline;
        let replica = &mut self.endpoints[index];
        replica.timeline =
            new_commits.last().map_or(replica.timeline, |last| last.timeline).max(replica.timeline);
        replica.timeline = replica.timeline.max(timeline);
        replica.log.extend(new_commits);
        replica.caught_up_at = visible_until;
    }

    fn announce(&mut self, index: usize) {
        let announcement = self.endpoints[index].announcement(self.now);
        let from = self.endpoints[index].domain;
        for control in 0..self.controls.len() {
            let to = self.controls[control].domain;
            let Some(latency) = self.network.deliver(&mut self.random, from, to) else { continue };
            let Some(incarnation) = self.controls[control].incarnation() else { continue };
            let input = control::Input::Announced(announcement.clone());
            self.after(latency, Event::ToControl(control, incarnation, Box::new(input)));
        }
    }

    /// Executes a promotion and returns the resulting state.
    pub(super) fn promotion_arrives(&mut self, in_flight: InFlightPromotion) {
        let Some(index) = self.find_endpoint(&in_flight.promotion.endpoint) else { return };
        if !self.endpoints[index].is_responsive() {
            return;
        }
        let now = self.now;
        let endpoint = &mut self.endpoints[index];
        if !endpoint.is_primary() {
            endpoint.promoted_at = now;
            endpoint.role = Role::Primary;
            endpoint.timeline += 1;
            endpoint.upstream = None;
            endpoint.timeline_start = endpoint.position();
        }
        let state = control::PromotedState {
            timeline: Timeline(self.endpoints[index].timeline),
            start: LogPosition(self.endpoints[index].timeline_start),
        };
        self.return_promotion_result(in_flight, Ok(state));
    }

    /// Makes a group's other endpoints follow the primary of the last opened term, as the platform does. Includes a
    /// former primary only if requested. Repeats while an endpoint is unreachable.
    pub(super) fn follow_primary(&mut self, service: usize, include_former_primary: bool) {
        let Some(primary) = self.current_primary(service) else { return };
        let source = &self.endpoints[primary];
        if !source.is_primary() || !source.is_up {
            return;
        }
        let (log, timeline, from) = (source.log.clone(), source.timeline, source.domain);
        let group = self.endpoints.iter().enumerate().filter(|(_, one)| one.service == service);
        let others: Vec<_> = group.map(|(index, _)| index).filter(|index| *index != primary).collect();
        let mut is_complete = true;
        for index in others {
            let endpoint = &self.endpoints[index];
            // The platform does not touch an endpoint that was promoted recently: its term may not be open yet.
            let is_new = self.now.saturating_since(endpoint.promoted_at) < FORMER_PRIMARY_REJOIN_DELAY;
            // An endpoint on a later timeline was promoted after the source. Its term may open long afterwards, once a
            // control leader has a quorum again.
            let is_later = endpoint.timeline > timeline;
            let is_former_primary = include_former_primary && !is_new && !is_later;
            let is_included = !endpoint.is_primary() || is_former_primary;
            let is_reachable =
                self.network.deliver_reliably(&mut self.random, from, endpoint.domain).is_some()
                    && endpoint.is_responsive();
            if is_included && is_reachable {
                self.endpoints[index].rejoin(primary, &log, timeline);
            }
            is_complete &= is_reachable;
        }
        if !is_complete {
            self.after(
                FOLLOW_RETRY_INTERVAL,
                Event::Recover(Recovery::FollowPrimary { service, include_former_primary }),
            );
        }
    }

    /// Executes a command that reached its endpoint and returns the result.
    pub(super) fn command_arrives(&mut self, in_flight: InFlightCommand) {
        let index = in_flight.target.endpoint;
        if !self.endpoints[index].is_responsive() {
            let is_down = !self.endpoints[index].is_up;
            self.lose_command(&in_flight, is_down);
            return;
        }
        let before = self.endpoints[index].log.len();
        let result = self.execute(index, in_flight.target.connection, in_flight.command.clone());
        let length = self.endpoints[index].log.len();
        if self.world.synchronous_replicas > 0 && length > before {
            let commit = self.endpoints[index].log[length - 1].clone();
            self.unconfirmed.push(UnconfirmedCommit { endpoint: index, length, commit, in_flight, result });
            return;
        }
        let duration = self.world.command_duration(&mut self.random);
        self.return_command_result(&in_flight, result, duration);
    }

    /// Confirms the commits of an endpoint that enough replicas have, and gives up those that it has lost.
    fn confirm_commits(&mut self, index: usize) {
        for unconfirmed in std::mem::take(&mut self.unconfirmed) {
            if unconfirmed.endpoint != index {
                self.unconfirmed.push(unconfirmed);
                continue;
            }
            let has_commit =
                |endpoint: &Endpoint| endpoint.log.get(unconfirmed.length - 1) == Some(&unconfirmed.commit);
            let primary = &self.endpoints[index];
            if !primary.is_up || !primary.is_primary() || !has_commit(primary) {
                self.lose_command(&unconfirmed.in_flight, true);
                continue;
            }
            let others = self.endpoints.iter().enumerate().filter(|(other, endpoint)| {
                *other != index && endpoint.service == primary.service && has_commit(endpoint)
            });
            if others.count() < self.world.synchronous_replicas as usize {
                self.unconfirmed.push(unconfirmed);
                continue;
            }
            let duration = self.world.command_duration(&mut self.random);
            self.return_command_result(&unconfirmed.in_flight, unconfirmed.result, duration);
        }
    }

    fn execute(
        &mut self,
        index: usize,
        connection: ConnectionKey,
        command: EndpointCommand,
    ) -> Result<CommandOutput, CommandError> {
        match command {
            EndpointCommand::Read(statement) => self.read(index, &statement, false),
            EndpointCommand::Write(statement, claim) => {
                self.write(index, connection, &statement, claim.as_ref())
            }
            EndpointCommand::Begin { .. } => {
                self.endpoints[index]
                    .open_transactions
                    .push(OpenTransaction { connection, writes: Vec::new() });
                Ok(self.output(index, Rows::default(), false))
            }
            EndpointCommand::Statement(statement) => self.write_in_transaction(index, connection, &statement),
            EndpointCommand::Commit(claim) => self.commit(index, connection, claim.as_ref()),
            EndpointCommand::Rollback => {
                self.endpoints[index].drop_connection(connection);
                Ok(self.output(index, Rows::default(), false))
            }
            EndpointCommand::Probe => Ok(self.output(index, Rows::default(), true)),
        }
    }

    fn output(&self, index: usize, rows: Rows, with_state: bool) -> CommandOutput {
        CommandOutput { rows, state: with_state.then(|| self.endpoints[index].state(self.now)) }
    }

    fn record_execution(&mut self, index: usize, parameters: &StatementParameters, is_in_transaction: bool) {
        self.history.executions.push(Execution {
            request: parameters.request,
            organisation: parameters.organisation,
            endpoint: index,
            at: self.now,
            is_in_transaction,
        });
    }

    fn read(
        &mut self,
        index: usize,
        statement: &Statement,
        is_in_transaction: bool,
    ) -> Result<CommandOutput, CommandError> {
        let Some(parameters) = parse_parameters(statement) else { return Err(statement_error("42601")) };
        self.record_execution(index, &parameters, is_in_transaction);
        let value = self.endpoints[index].value(&parameters.key);
        let rows = answer_rows(parameters.request, Some(value));
        Ok(self.output(index, rows, true))
    }

    fn write(
        &mut self,
        index: usize,
        connection: ConnectionKey,
        statement: &Statement,
        claim: Option<&Claim>,
    ) -> Result<CommandOutput, CommandError> {
        let write = self.prepare_write(index, connection, statement, false)?;
        let claim = self.check_claim(index, claim)?;
        let request = write.request;
        self.commit_writes(index, vec![write], claim);
        Ok(self.output(index, answer_rows(request, None), true))
    }

    fn prepare_write(
        &mut self,
        index: usize,
        connection: ConnectionKey,
        statement: &Statement,
        is_in_transaction: bool,
    ) -> Result<Write, CommandError> {
        let Some(parameters) = parse_parameters(statement) else { return Err(statement_error("42601")) };
        if !self.endpoints[index].is_primary() {
            return Err(statement_error("25006"));
        }
        if self.endpoints[index].is_locked(connection, &parameters.key) {
            return Err(statement_error("40001"));
        }
        self.record_execution(index, &parameters, is_in_transaction);
        Ok(Write {
            request: parameters.request,
            organisation: parameters.organisation.unwrap_or(usize::MAX),
            key: parameters.key,
            value: parameters.value.unwrap_or_default(),
        })
    }

    fn check_claim(&self, index: usize, claim: Option<&Claim>) -> Result<Option<String>, CommandError> {
        let claim = claim.map(claim_text).filter(|_| !self.is_mutated(Mutation::DropClaims));
        match &claim {
            Some(text) if self.endpoints[index].has_claim(text) => Err(CommandError::AlreadyClaimed),
            _ => Ok(claim),
        }
    }

    fn write_in_transaction(
        &mut self,
        index: usize,
        connection: ConnectionKey,
        statement: &Statement,
    ) -> Result<CommandOutput, CommandError> {
        let write = match self.prepare_write(index, connection, statement, true) {
            Ok(write) => write,
            Err(error) => {
                self.endpoints[index].drop_connection(connection);
                return Err(error);
            }
        };
        let request = write.request;
        let mixes_transactions = self.is_mutated(Mutation::MixTransactions);
        let open = &mut self.endpoints[index].open_transactions;
        let other = open.iter().position(|open| open.connection != connection).filter(|_| mixes_transactions);
        let own = open.iter().position(|open| open.connection == connection);
        let Some(target) = other.or(own) else { return Err(statement_error("25P01")) };
        open[target].writes.push(write);
        Ok(self.output(index, answer_rows(request, None), false))
    }

    fn commit(
        &mut self,
        index: usize,
        connection: ConnectionKey,
        claim: Option<&Claim>,
    ) -> Result<CommandOutput, CommandError> {
        let claim = self.check_claim(index, claim)?;
        let open = &mut self.endpoints[index].open_transactions;
        let Some(own) = open.iter().position(|open| open.connection == connection) else {
            return Err(statement_error("25P01"));
        };
        let transaction = open.remove(own);
        if !transaction.writes.is_empty() {
            self.commit_writes(index, transaction.writes, claim);
        }
        Ok(self.output(index, Rows::default(), true))
    }

    fn commit_writes(&mut self, index: usize, writes: Vec<Write>, claim: Option<String>) {
        let commit = self.endpoints[index].commit(self.now, writes, claim);
        let service = self.endpoints[index].service;
        self.history.commits.push(CommitRecord { service, endpoint: index, commit });
    }

    /// Records the terms that a catalogue shows as open for the first time.
    pub(super) fn record_opened_terms(&mut self, catalogue: &Catalogue) {
        for (service, group) in catalogue.groups.iter().enumerate() {
            let last = self.history.terms.iter().rfind(|term| term.service == service);
            let is_new = last.is_none_or(|last| last.term < group.term.0);
            let primary = group.primary.as_ref().and_then(|name| self.find_endpoint(name));
            let (true, true, Some(endpoint)) = (group.writable, is_new, primary) else { continue };
            let start = group.term_starts.last().map_or(0, |start| start.position.0);
            let opened = OpenedTerm { service, term: group.term.0, endpoint, start, at: self.now };
            self.history.terms.push(opened);
            self.after(
                FOLLOW_DELAY,
                Event::Recover(Recovery::FollowPrimary { service, include_former_primary: false }),
            );
            self.after(
                FORMER_PRIMARY_REJOIN_DELAY,
                Event::Recover(Recovery::FollowPrimary { service, include_former_primary: true }),
            );
        }
    }

    /// Returns the primary of the group's last opened term.
    pub(super) fn current_primary(&self, service: usize) -> Option<usize> {
        let last = self.history.terms.iter().rfind(|term| term.service == service);
        last.map(|term| term.endpoint)
    }

    fn find_endpoint(&self, name: &EndpointName) -> Option<usize> {
        self.endpoints.iter().position(|endpoint| endpoint.name == *name)
    }
}

fn answer_rows(request: RequestNumber, value: Option<i64>) -> Rows {
    let echo = Value::Int(i64::try_from(request.0).unwrap_or(i64::MAX));
    let row = std::iter::once(echo).chain(value.map(Value::Int)).collect();
    Rows { columns: Vec::new(), rows: vec![row], affected: 1 }
}
