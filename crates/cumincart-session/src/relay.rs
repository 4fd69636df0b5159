//! Exchanges that are passed on to the entry instance that holds an organisation's connections, and those that come from
//! others.

use {
    crate::{
        engine::Engine,
        place::{ConnectFailure, Place},
        placing::{NoPlace, PlaceAt},
        session::no_place,
    },
    cumincart_core::interactive::session::{Prepared, SessionState},
    cumincart_protocol::{
        exchange::{Command, LinkFailure, Reply, SessionValue, TransactionState},
        heartbeat::InstanceEntry,
        name::{EndpointName, InstanceName, OrganisationName, ServiceName},
        peer::PeerBody,
        refusal::{Refusal, RefusalCode},
        relay::{RelayAnswer, RelayRequest},
        sorted::{Keyed, SortedVec},
        time::Instant,
    },
    cumincart_runtime::link::{LinkError, server::ReceivedMessage},
    rand::RngExt,
    slog::warn,
    std::time::Duration,
    tokio::sync::mpsc,
};

/// How much longer than the endpoint's deadline an answer is waited for: the way there and back between regions.
const WAY: Duration = Duration::from_millis(60);

/// How much longer than a client may rest a place is kept for an instance that has gone silent.
const KEPT_GRACE: Duration = Duration::from_millis(1_000);

/// How long a place is kept where the lists bound no rest.
const KEPT_UNBOUNDED: Duration = Duration::from_secs(60);

/// How long an instance that did not serve an exchange is passed over.
pub(crate) const AVOID: Duration = Duration::from_millis(1_500);

/// A way to an endpoint by other instances, best first.
#[derive(Debug)]
pub(crate) struct Relay {
    homes: Vec<InstanceEntry>,
    at: usize,
    kept: u64,
    organisation: OrganisationName,
    values: SortedVec<SessionValue>,
    prepared: Option<Prepared>,
    priority: u32,
    start_by: Instant,
}

impl Relay {
    pub(crate) fn new(
        homes: Vec<InstanceEntry>,
        organisation: OrganisationName,
        priority: u32,
        start_by: Instant,
    ) -> Self {
        Self {
            homes,
            at: 0,
            kept: 0,
            organisation,
            values: SortedVec::new(),
            prepared: None,
            priority,
            start_by,
        }
    }

    pub(crate) fn adopt(&mut self, session: &SessionState) {
        self.values.clone_from(session.values());
    }

    pub(crate) fn prepare(&mut self, prepared: &Prepared) {
        self.prepared = Some(prepared.clone());
    }

    /// Passes commands on. Before a place is kept, an instance that does not serve is passed over for the next.
    pub(crate) async fn exchange(
        &mut self,
        engine: &Engine,
        service: &ServiceName,
        endpoint: &EndpointName,
        commands: Vec<Command>,
        deadline: tokio::time::Instant,
    ) -> Result<Vec<Reply>, RelayFailure> {
        let begins = commands.iter().any(|command| matches!(command, Command::Begin { .. }));
        let is_kept = self.kept != 0;
        if begins {
            self.kept = rand::rng().random_range(1..=u64::MAX);
        }
        let left = deadline.saturating_duration_since(tokio::time::Instant::now());
        let start_within = self.start_by.saturating_since(engine.now());
        let request = RelayRequest {
            service: service.clone(),
            endpoint: endpoint.clone(),
            organisation: self.organisation.clone(),
            kept: self.kept,
            values: self.values.clone(),
            prepared: self.prepared.take(),
            commands,
            priority: self.priority,
            start_within_ms: whole_ms(start_within),
            answer_within_ms: whole_ms(left),
        };
        loop {
            let Some(home) = self.homes.get(self.at).cloned() else { return Err(RelayFailure::NOT_SENT) };
            let link = engine.link(&home.peer_address);
            let body = PeerBody::Relay(Box::new(request.clone()));
            let answer = match link.request(body, left + WAY).await {
                Ok(PeerBody::RelayAnswer(answer)) => Ok(*answer),
                Err(LinkError::Down) => Ok(RelayAnswer::NotServed),
                Ok(_) => Err(LinkFailure::Broken),
                Err(_) if tokio::time::Instant::now() >= deadline => Err(LinkFailure::TimedOut),
                Err(_) => Err(LinkFailure::Broken),
            };
            match answer {
                Ok(RelayAnswer::Replies(replies)) => return Ok(replies),
                Ok(RelayAnswer::Failed(failure)) => return Err(RelayFailure { failure, is_endpoint: true }),
                Ok(RelayAnswer::Unreachable) => {
                    return Err(RelayFailure { failure: LinkFailure::NotSent, is_endpoint: true });
                }
                Ok(RelayAnswer::Busy { .. }) => {
                    return Err(RelayFailure { failure: LinkFailure::NoPlace, is_endpoint: false });
                }
                Ok(RelayAnswer::NotKept) => return Err(RelayFailure::NOT_SENT),
                Ok(RelayAnswer::NotServed) => {
                    engine.avoid(&home.name);
                    if is_kept {
                        return Err(RelayFailure::NOT_SENT);
                    }
                    self.at += 1;
                }
                Err(failure) => {
                    engine.avoid(&home.name);
                    return Err(RelayFailure { failure, is_endpoint: false });
                }
            }
        }
    }
}

/// Why an exchange that was passed on failed.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RelayFailure {
    pub(crate) failure: LinkFailure,
    /// Whether it was the endpoint, and not the other instance or the way to it.
    pub(crate) is_endpoint: bool,
}

impl RelayFailure {
    const NOT_SENT: Self = Self { failure: LinkFailure::NotSent, is_endpoint: false };
}

fn whole_ms(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// Whose place is kept, by the keeper's own number.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct KeptKey {
    from: InstanceName,
    number: u64,
}

/// A place that is kept for another instance's transaction.
#[derive(Debug)]
pub(crate) struct KeptPlace {
    key: KeptKey,
    place: Place,
    pub(crate) until: Instant,
}

impl Keyed for KeptPlace {
    type Key = KeptKey;

    fn key(&self) -> &KeptKey {
        &self.key
    }
}

impl KeptPlace {
    /// Rolls back what the other instance left.
    pub(crate) async fn abandon(self) {
        self.place.roll_back().await;
    }
}

/// Serves exchanges and requests for tokens of other instances until their channel closes.
pub async fn serve(engine: Engine, mut received: mpsc::UnboundedReceiver<ReceivedMessage>) {
    while let Some(ReceivedMessage { from, body, reply }) = received.recv().await {
        let engine = engine.clone();
        match body {
            PeerBody::Relay(request) => {
                tokio::spawn(async move {
                    engine.count_session(true);
                    let answer = answer(&engine, from, *request).await;
                    engine.count_session(false);
                    reply.send(PeerBody::RelayAnswer(Box::new(answer)));
                });
            }
            PeerBody::Token(request) => {
                tokio::spawn(async move {
                    let answer = engine.give_token(&request).await;
                    reply.send(PeerBody::TokenAnswer(answer));
                });
            }
            _ => {
                let why = "this instance takes only exchanges and requests for tokens";
                reply.send(PeerBody::Refused(Refusal::not_run(RefusalCode::BadRequest, why)));
            }
        }
    }
}

async fn answer(engine: &Engine, from: InstanceName, request: RelayRequest) -> RelayAnswer {
    let key = KeptKey { from, number: request.kept };
    let deadline = tokio::time::Instant::now() + Duration::from_millis(request.answer_within_ms);
    let session = SessionState::with_values(request.values.clone());
    let begins = request.commands.iter().any(|command| matches!(command, Command::Begin { .. }));
    let mut place = if request.kept == 0 || begins {
        match open(engine, &request, &session, deadline).await {
            Ok(place) => place,
            Err(answer) => return answer,
        }
    } else {
        let kept = engine.kept().remove(&key);
        let Some(kept) = kept else { return RelayAnswer::NotKept };
        let mut place = kept.place;
        if let Err(failure) = place.adopt(&session, deadline).await {
            return RelayAnswer::Failed(failure);
        }
        place
    };
    let mut commands = request.commands;
    let asked = commands.len();
    if let Some(prepare) = request.prepared.as_ref().and_then(|prepared| place.prepare(prepared)) {
        commands.insert(0, prepare);
    }
    match place.exchange(commands, deadline).await {
        Ok(mut replies) => {
            let state = replies.last().map_or(TransactionState::Idle, |reply| reply.state);
            // The reply to a prepare of this instance's own is not the asker's.
            replies.drain(..replies.len().saturating_sub(asked));
            if request.kept != 0 && state != TransactionState::Idle {
                keep(engine, key, place);
            }
            RelayAnswer::Replies(replies)
        }
        Err(failure) => RelayAnswer::Failed(failure),
    }
}

async fn open(
    engine: &Engine,
    request: &RelayRequest,
    session: &SessionState,
    deadline: tokio::time::Instant,
) -> Result<Place, RelayAnswer> {
    if engine.refuses_relays() {
        return Err(RelayAnswer::NotServed);
    }
    let now = engine.now();
    let at = PlaceAt {
        service: &request.service,
        endpoint: &request.endpoint,
        organisation: &request.organisation,
        priority: request.priority,
        arrived_at: now,
        start_by: now + Duration::from_millis(request.start_within_ms),
    };
    let mut place = engine.place_at(&at).await.map_err(|refusal| {
        note_refusal(engine, request, refusal);
        match refusal {
            NoPlace::NoEndpoint => RelayAnswer::NotServed,
            NoPlace::Busy { retry_after_ms, .. } => RelayAnswer::Busy { retry_after_ms },
            NoPlace::Late => RelayAnswer::Busy { retry_after_ms: request.start_within_ms },
        }
    })?;
    match place.connect(&request.organisation, session, deadline).await {
        Ok(()) => Ok(place),
        Err(ConnectFailure::Open(failure)) if !failure.is_contact() => Err(RelayAnswer::Unreachable),
        Err(ConnectFailure::Open(_)) => Err(RelayAnswer::Busy { retry_after_ms: request.start_within_ms }),
        Err(ConnectFailure::Link(_)) => Err(RelayAnswer::Failed(LinkFailure::NotSent)),
    }
}

/// Writes why another instance's exchange got no place here; the asker's line names the same request.
fn note_refusal(engine: &Engine, request: &RelayRequest, refusal: NoPlace) {
    let Some(left_out) = engine.decisions().takes_failure(engine.now()) else { return };
    let id = request.commands.iter().find_map(Command::client_id).unwrap_or("-");
    warn!(engine.logger(), "exchange of another instance refused";
        "request" => id, "endpoint" => request.endpoint.as_str(), "why" => &*no_place(refusal).text,
        "start_within_ms" => request.start_within_ms, "lines_left_out" => left_out);
}

/// Keeps the place for the next statement of the transaction.
fn keep(engine: &Engine, key: KeptKey, mut place: Place) {
    place.rest();
    let idle_ms = engine.lock().fleet.freshness.catalogue.lists.interactive.idle_transaction_ms;
    let rest = if idle_ms == 0 { KEPT_UNBOUNDED } else { Duration::from_millis(idle_ms) + KEPT_GRACE };
    let until = engine.now() + rest;
    engine.kept().insert(KeptPlace { key, place, until });
}
