//! One entry instance's core on a virtual clock, with simulated endpoints and a simulated control leader.

use {
    cumincart_core::{
        endpoint_command::{
            CommandError, CommandId, CommandOutput, ConnectionId, EndpointCommand, EndpointState,
        },
        entry::{Core, Effect, Input, Settings, Ticket, drain, step},
        timing::{FRESHNESS_LEASE_MS, TERM_LEASE_MS, TICK_INTERVAL_MS},
    },
    cumincart_protocol::{
        announcement::Role,
        catalogue::{Catalogue, EndpointEntry, Group, TermStart},
        heartbeat::{
            CatalogueUpdate, Heartbeat, HeartbeatAnswer, InstanceEntry, PermitGrant, Share, ShareGrant,
            first_grant_number,
        },
        instances::InstancesUpdate,
        lists::{
            Access, KeyDigest, Lists, Organisation, OrganisationList, Plan, PlanList, Route, RouteReference,
            Service,
        },
        name::EndpointName,
        number::{ControlTerm, Incarnation, LogPosition, Revision, Term, Timeline},
        request::{Call, CallerRequest, CallerResult, Operation, RequestId, Rows, TransactionId},
        session::Session,
        time::Instant,
    },
    rand_chacha::{ChaCha20Rng, rand_core::SeedableRng},
    std::{sync::Arc, time::Duration},
};

pub const SERVICE: &str = "pbx";
pub const KEY: [u8; 32] = [1; 32];
pub const OTHER_KEY: [u8; 32] = [2; 32];
const SEED: u64 = 5;

/// A command that its endpoint has not answered yet.
#[derive(Debug, Clone)]
pub struct Sent {
    pub connection: ConnectionId,
    pub endpoint: EndpointName,
    pub id: CommandId,
    pub command: EndpointCommand,
}

#[derive(Debug)]
pub struct Answered {
    pub ticket: Ticket,
    pub result: CallerResult,
}

#[derive(Debug)]
struct OpenConnection {
    id: ConnectionId,
    endpoint: EndpointName,
}

#[derive(Debug)]
pub struct Entry {
    pub core: Core,
    pub now: Instant,
    pub catalogue: Catalogue,
    pub control_reachable: bool,
    pub answers_probes: bool,
    pub states: Vec<(EndpointName, EndpointState)>,
    pub sent: Vec<Sent>,
    pub answers: Vec<Answered>,
    probes: Vec<Sent>,
    pub forwarded: Vec<Ticket>,
    pub closed: Vec<ConnectionId>,
    pub heartbeats: Vec<Heartbeat>,
    pub stopped: bool,
    open: Vec<OpenConnection>,
    next_ticket: u64,
    sent_revision: Revision,
}

pub fn state(role: Role, timeline: u64, position: u64, lag_ms: u64) -> EndpointState {
    EndpointState { role, timeline: Timeline(timeline), position: LogPosition(position), lag_ms }
}

pub fn primary(timeline: u64, position: u64) -> EndpointState {
    state(Role::Primary, timeline, position, 0)
}

pub fn replica(timeline: u64, position: u64, lag_ms: u64) -> EndpointState {
    state(Role::Replica, timeline, position, lag_ms)
}

pub fn succeeded(state: EndpointState) -> Result<CommandOutput, CommandError> {
    Ok(CommandOutput { rows: Rows::default(), state: Some(state) })
}

pub fn name(text: &str) -> EndpointName {
    EndpointName::from(text)
}

impl Entry {
    /// Creates an instance in sofia-a. pbx-1 (plovdiv-a) is the primary of term 1, pbx-2 (sofia-a) and pbx-3
    /// (varna-a) are replicas, all at position 100.
    pub fn open() -> Self {
        let settings = Settings {
            instance: "entry-1".into(),
            incarnation: Incarnation(7),
            domain: "sofia-a".into(),
            peer_address: "127.0.0.1:1".into(),
        };
        let mut entry = Self {
            core: Core::open(settings, ChaCha20Rng::seed_from_u64(SEED)),
            now: Instant::from_millis(1_000),
            catalogue: catalogue(),
            control_reachable: true,
            answers_probes: true,
            states: vec![
                (name("pbx-1"), primary(1, 100)),
                (name("pbx-2"), replica(1, 100, 0)),
                (name("pbx-3"), replica(1, 100, 0)),
            ],
            sent: Vec::new(),
            answers: Vec::new(),
            probes: Vec::new(),
            forwarded: Vec::new(),
            closed: Vec::new(),
            heartbeats: Vec::new(),
            stopped: false,
            open: Vec::new(),
            next_ticket: 0,
            sent_revision: Revision(0),
        };
        entry.advance_ms(2 * TICK_INTERVAL_MS);
        entry
    }

    pub fn input(&mut self, input: Input) {
        let mut effects = Vec::new();
        step(&mut self.core, self.now, input, &mut effects);
        for effect in effects {
            self.apply_effect(effect);
        }
    }

    fn apply_effect(&mut self, effect: Effect) {
        match effect {
            Effect::Answer(ticket, result) => self.answers.push(Answered { ticket, result: *result }),
            Effect::Forward { ticket, .. } => self.forwarded.push(ticket),
            Effect::Open { connection, endpoint, .. } => {
                self.open.push(OpenConnection { id: connection, endpoint });
                self.input(Input::Opened(connection));
            }
            Effect::Close(connection) => {
                self.closed.push(connection);
                self.input(Input::Closed(connection));
            }
            Effect::Execute(connection, id, command) => self.execute(connection, id, command),
            Effect::Heartbeat(heartbeat) => self.on_heartbeat(*heartbeat),
            Effect::Stopped => self.stopped = true,
            Effect::Log(_) => {}
        }
    }

    fn execute(&mut self, connection: ConnectionId, id: CommandId, command: EndpointCommand) {
        let endpoint =
            self.open.iter().find(|open| open.id == connection).expect("it is open").endpoint.clone();
        let sent = Sent { connection, endpoint, id, command };
        if sent.command == EndpointCommand::Probe && self.answers_probes {
            self.probes.push(sent);
        } else {
            self.sent.push(sent);
        }
    }

    fn state_of(&self, endpoint: &EndpointName) -> EndpointState {
        self.states.iter().find(|(name, _)| name == endpoint).expect("it is known").1
    }

    pub fn set_state(&mut self, endpoint: &str, state: EndpointState) {
        for (name, known) in &mut self.states {
            if name.as_str() == endpoint {
                *known = state;
            }
        }
    }

    fn on_heartbeat(&mut self, heartbeat: Heartbeat) {
        if self.control_reachable {
            self.answer_heartbeat(heartbeat.asked_at);
        }
        self.heartbeats.push(heartbeat);
    }

    fn answer_heartbeat(&mut self, asked_at: Instant) {
        let first = self.sent_revision == Revision(0);
        let update = if self.sent_revision == self.catalogue.revision {
            CatalogueUpdate::None
        } else {
            CatalogueUpdate::Snapshot(Arc::new(self.catalogue.clone()))
        };
        self.sent_revision = self.catalogue.revision;
        let answer = HeartbeatAnswer {
            asked_at,
            incarnation: Incarnation(7),
            control_term: ControlTerm(1),
            revision: self.catalogue.revision,
            term_lease_ms: TERM_LEASE_MS,
            freshness_lease_ms: FRESHNESS_LEASE_MS,
            update,
            shares: if first { shares() } else { Vec::new() },
            permits: if first { permits(&self.catalogue) } else { Vec::new() },
            instances: Some(InstancesUpdate::Whole(vec![other_instance()])),
            control_addresses: None,
        };
        self.input(Input::HeartbeatAnswer(Box::new(answer)));
    }

    /// Changes the catalogue and sends it to the instance.
    pub fn update_catalogue(&mut self, change: impl FnOnce(&mut Catalogue)) {
        change(&mut self.catalogue);
        self.catalogue.revision = self.catalogue.revision.next();
        self.answer_heartbeat(self.now);
    }

    /// Fails over to an endpoint and sends the new catalogue to the instance.
    pub fn fail_over(&mut self, to: &str, position: u64) {
        self.update_catalogue(|catalogue| {
            let group = catalogue.groups.get_mut(&SERVICE.into()).expect("it is there");
            group.term = group.term.next();
            group.primary = Some(name(to));
            let timeline = Timeline(group.term.0);
            group.term_starts.push(TermStart { term: group.term, timeline, position: LogPosition(position) });
        });
    }

    pub fn advance_ms(&mut self, span_ms: u64) {
        for _ in 0..span_ms / TICK_INTERVAL_MS {
            self.now = self.now + Duration::from_millis(TICK_INTERVAL_MS);
            for probe in std::mem::take(&mut self.probes) {
                let state = self.state_of(&probe.endpoint);
                self.complete(&probe, succeeded(state));
            }
            self.input(Input::Tick);
        }
    }

    pub fn send(&mut self, request: CallerRequest) -> Ticket {
        self.next_ticket += 1;
        let ticket = Ticket(self.next_ticket);
        self.input(Input::Request(ticket, Box::new(request)));
        ticket
    }

    /// Removes and returns the command that was sent last.
    pub fn take_last_sent(&mut self) -> Sent {
        self.sent.pop().expect("a command was sent")
    }

    pub fn complete(&mut self, sent: &Sent, result: Result<CommandOutput, CommandError>) {
        self.input(Input::CommandEnded(sent.connection, sent.id, result));
    }

    pub fn result(&self, ticket: Ticket) -> Option<&CallerResult> {
        let mut found = self.answers.iter().filter(|answered| answered.ticket == ticket);
        let first = found.next();
        assert!(found.next().is_none(), "{ticket:?} was answered twice");
        first.map(|answered| &answered.result)
    }

    pub fn is_ready(&self) -> bool {
        drain::is_ready(&self.core, self.now)
    }

    /// Begins a transaction on the route, which must succeed.
    pub fn begin(&mut self, route: &str, request_id: Option<&str>) -> TransactionId {
        let mut request = call(route, Operation::Begin);
        request.request_id = request_id.map(|id| RequestId(id.into()));
        let ticket = self.send(request);
        let sent = self.take_last_sent();
        self.complete(&sent, Ok(CommandOutput { rows: Rows::default(), state: None }));
        let answer = self.result(ticket).expect("it is answered").clone().expect("it began");
        answer.transaction.expect("it names the transaction")
    }
}

/// Returns a request of the first organisation on a route.
pub fn call(route: &str, operation: impl FnOnce(Call) -> Operation) -> CallerRequest {
    let call = Call {
        service: SERVICE.into(),
        route: route.into(),
        sql: Some("select 1".into()),
        parameters: Vec::new(),
        arguments: Vec::new(),
    };
    CallerRequest {
        key_digest: Some(KEY),
        session: Session::default(),
        request_id: None,
        operation: operation(call),
        deadline_ms: None,
    }
}

pub fn run(route: &str) -> CallerRequest {
    call(route, Operation::Run)
}

pub fn run_with(route: &str, session: &Session) -> CallerRequest {
    CallerRequest { session: session.clone(), ..run(route) }
}

pub fn run_once(route: &str, request_id: &str) -> CallerRequest {
    CallerRequest { request_id: Some(RequestId(request_id.into())), ..run(route) }
}

fn route(name: &str, access: Access) -> Route {
    Route {
        name: name.into(),
        access,
        open: false,
        max_staleness_ms: 0,
        repeatable: false,
        deadline_ms: 2_000,
        replicated: false,
        transaction: false,
        statement: None,
    }
}

fn routes() -> Vec<Route> {
    vec![
        Route { max_staleness_ms: 1_000, ..route("lookup", Access::Read) },
        Route { open: true, max_staleness_ms: 3_000, ..route("public", Access::Read) },
        route("strict", Access::Read),
        Route { repeatable: true, ..route("save", Access::Write) },
        route("record", Access::Write),
        Route { replicated: true, ..route("hold", Access::Write) },
        Route { transaction: true, repeatable: true, ..route("edit", Access::Write) },
        Route { transaction: true, repeatable: true, replicated: true, ..route("reserve", Access::Write) },
        Route { transaction: true, ..route("bill", Access::Write) },
    ]
}

fn catalogue() -> Catalogue {
    let routes = routes();
    let references =
        routes.iter().map(|route| RouteReference { service: SERVICE.into(), route: route.name.clone() });
    let plan = Plan {
        name: "standard".into(),
        routes: references.collect(),
        rate_per_s: 1_000.0,
        burst: 1_000,
        weight: 1,
    };
    let lists = Lists {
        organisations: OrganisationList {
            organisations: vec![organisation("clinic", KEY), organisation("taxi", OTHER_KEY)],
        },
        plans: PlanList { services: vec![Service { name: SERVICE.into(), routes }], plans: vec![plan] },
        ..Lists::default()
    };
    let group = Group {
        service: SERVICE.into(),
        term: Term(1),
        primary: Some(name("pbx-1")),
        writable: true,
        endpoints: [("pbx-1", "plovdiv-a"), ("pbx-2", "sofia-a"), ("pbx-3", "varna-a")]
            .into_iter()
            .map(|(name, domain)| endpoint(name, domain))
            .collect(),
        term_starts: vec![TermStart { term: Term(1), timeline: Timeline(1), position: LogPosition(0) }],
        commit_holders: Default::default(),
    };
    Catalogue {
        revision: Revision(1),
        lists: Arc::new(lists),
        groups: [group].into_iter().collect(),
        ..Catalogue::default()
    }
}

fn organisation(name: &str, key: [u8; 32]) -> Organisation {
    let sha256: String = key.iter().map(|byte| format!("{byte:02x}")).collect();
    let key = KeyDigest { id: name.into(), sha256: sha256.into() };
    Organisation { name: name.into(), plan: "standard".into(), keys: vec![key] }
}

fn endpoint(name: &str, domain: &str) -> EndpointEntry {
    EndpointEntry {
        name: name.into(),
        address: "127.0.0.1:5432".into(),
        domain: domain.into(),
        slots: 5,
        connection_limit: 30,
        leaving: false,
    }
}

/// Grants the whole rate of the first organisation and a quarter of the second's.
fn shares() -> Vec<ShareGrant> {
    let grant = |organisation: &str, milli: u64| ShareGrant {
        organisation: organisation.into(),
        grant_number: first_grant_number(ControlTerm(1)) + 1,
        replaces: 0,
        share: Share { rate_milli_per_s: milli, burst_milli: milli },
        basis: Share::default(),
        tokens_milli: milli,
        next_token_ms: 0,
    };
    vec![grant("clinic", 1_000_000), grant("taxi", 250_000)]
}

fn permits(catalogue: &Catalogue) -> Vec<PermitGrant> {
    let group = catalogue.group(&SERVICE.into()).expect("it is there");
    let grant = |endpoint: &EndpointEntry| PermitGrant {
        endpoint: endpoint.name.clone(),
        grant_number: first_grant_number(ControlTerm(1)) + 1,
        replaces: 0,
        permits: 4,
        kept: 0,
    };
    group.endpoints.iter().map(grant).collect()
}

fn other_instance() -> InstanceEntry {
    InstanceEntry {
        name: "entry-2".into(),
        incarnation: Incarnation(3),
        domain: "varna-a".into(),
        peer_address: "127.0.0.1:2".into(),
    }
}
