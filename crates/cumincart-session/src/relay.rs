//! Relaying of exchanges to the entry instances that own an organisation's connections, and serving of exchanges
//! relayed by others.

use {
    crate::{
        engine::Engine,
        session::slot_failure,
        slot::{ConnectFailure, Slot},
        slot_request::{EndpointSlotRequest, SlotError},
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
        verdict::Verdict,
    },
    cumincart_runtime::link::{LinkError, server::ReceivedMessage},
    rand::RngExt,
    slog::warn,
    std::{
        sync::atomic::{AtomicBool, Ordering},
        time::Duration,
    },
    tokio::sync::mpsc,
};

/// The extra time to wait for an answer after the endpoint's deadline: a round trip between regions.
const NETWORK_ALLOWANCE: Duration = Duration::from_millis(60);

/// How much longer than the idle timeout of transactions a slot stays pinned for an instance that sends nothing more.
const PINNED_GRACE: Duration = Duration::from_millis(1_000);

/// How long an idle slot stays pinned if the lists set no idle timeout for transactions.
const PINNED_TIMEOUT_DEFAULT: Duration = Duration::from_secs(60);

/// How long an instance that did not serve a request is ejected.
pub(crate) const EJECTION_TIME: Duration = Duration::from_millis(1_500);

/// A route to an endpoint through other instances, in order of preference.
#[derive(Debug)]
pub(crate) struct Relay {
    owners: Vec<InstanceEntry>,
    owner_index: usize,
    pinned_slot_id: u64,
    organisation: OrganisationName,
    values: SortedVec<SessionValue>,
    prepared: Option<Prepared>,
    priority: u32,
    start_by: Instant,
}

impl Relay {
    pub(crate) fn new(
        owners: Vec<InstanceEntry>,
        organisation: OrganisationName,
        priority: u32,
        start_by: Instant,
    ) -> Self {
        Self {
            owners,
            owner_index: 0,
            pinned_slot_id: 0,
            organisation,
            values: SortedVec::new(),
            prepared: None,
            priority,
            start_by,
        }
    }

    pub(crate) fn apply_session(&mut self, session: &SessionState) {
        self.values.clone_from(session.values());
    }

    pub(crate) fn prepare(&mut self, prepared: &Prepared) {
        self.prepared = Some(prepared.clone());
    }

    /// Relays commands to an owner. While no slot is pinned, the next owner is tried if one doesn't serve the request.
    pub(crate) async fn exchange(
        &mut self,
        engine: &Engine,
        service: &ServiceName,
        endpoint: &EndpointName,
        commands: Vec<Command>,
        deadline: tokio::time::Instant,
    ) -> Result<Vec<Reply>, RelayFailure> {
        let begins = commands.iter().any(|command| matches!(command, Command::Begin { .. }));
        let executes = commands.iter().any(|command| matches!(command, Command::Execute { .. }));
        let is_pinned = self.pinned_slot_id != 0;
        if begins {
            self.pinned_slot_id = rand::rng().random_range(1..=u64::MAX);
        }
        let left = deadline.saturating_duration_since(tokio::time::Instant::now());
        let start_within = self.start_by.saturating_since(engine.now());
        let request = RelayRequest {
            service: service.clone(),
            endpoint: endpoint.clone(),
            organisation: self.organisation.clone(),
            kept: self.pinned_slot_id,
            // A rollback needs no values, which may be why the statement before it was not sent.
            values: if is_rollback(&commands) { SortedVec::new() } else { self.values.clone() },
            prepared: self.prepared.clone().filter(|_| executes),
            commands,
            priority: self.priority,
            start_within_ms: whole_ms(start_within),
            answer_within_ms: whole_ms(left),
            accepts_point: false,
        };
        loop {
            let Some(owner) = self.owners.get(self.owner_index).cloned() else {
                return Err(RelayFailure::NOT_SENT);
            };
            let link = engine.link(&owner.peer_address);
            let body = PeerBody::Relay(Box::new(request.clone()));
            let answer = match link.request(body, left + NETWORK_ALLOWANCE).await {
                Ok(PeerBody::RelayAnswer(answer)) => Ok(*answer),
                Err(LinkError::Down) => Ok(RelayAnswer::NotServed),
                Err(LinkError::TooLong) => return Err(RelayFailure::NOT_SENT),
                // The owner has run it, but its answer is too long for the link.
                Ok(PeerBody::Refused(refusal)) if refusal.verdict == Verdict::Unknown => {
                    return Err(RelayFailure { failure: LinkFailure::Broken, is_endpoint_failure: false });
                }
                Ok(_) => Err(LinkFailure::Broken),
                Err(_) if tokio::time::Instant::now() >= deadline => Err(LinkFailure::TimedOut),
                Err(_) => Err(LinkFailure::Broken),
            };
            match answer {
                Ok(RelayAnswer::Replies(replies)) => return Ok(replies),
                Ok(RelayAnswer::Failed(failure)) => {
                    return Err(RelayFailure { failure, is_endpoint_failure: true });
                }
                Ok(RelayAnswer::Unreachable) => {
                    return Err(RelayFailure { failure: LinkFailure::NotSent, is_endpoint_failure: true });
                }
                Ok(RelayAnswer::Busy { .. }) => {
                    return Err(RelayFailure { failure: LinkFailure::NoSlot, is_endpoint_failure: false });
                }
                // This instance has not said that it accepts a point.
                Ok(RelayAnswer::NotKept | RelayAnswer::Point(_)) => return Err(RelayFailure::NOT_SENT),
                Ok(RelayAnswer::NotServed) => {
                    engine.eject(&owner.name);
                    if is_pinned {
                        return Err(RelayFailure::NOT_SENT);
                    }
                    self.owner_index += 1;
                }
                Err(failure) => {
                    engine.eject(&owner.name);
                    return Err(RelayFailure { failure, is_endpoint_failure: false });
                }
            }
        }
    }
}

/// Why a relayed exchange failed.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RelayFailure {
    pub(crate) failure: LinkFailure,
    /// Whether the endpoint failed, and not the other instance or the connection to it.
    pub(crate) is_endpoint_failure: bool,
}

impl RelayFailure {
    const NOT_SENT: Self = Self { failure: LinkFailure::NotSent, is_endpoint_failure: false };
}

fn whole_ms(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// Identifies a pinned slot: the instance whose transaction it serves, and that instance's number for it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct PinnedSlotKey {
    from: InstanceName,
    number: u64,
}

/// A slot that is pinned to another instance's transaction.
#[derive(Debug)]
pub(crate) struct PinnedSlot {
    key: PinnedSlotKey,
    slot: Slot,
    pub(crate) until: Instant,
    /// The time limit of the transaction's last statement.
    pub(crate) limit: Duration,
}

impl Keyed for PinnedSlot {
    type Key = PinnedSlotKey;

    fn key(&self) -> &PinnedSlotKey {
        &self.key
    }
}

impl PinnedSlot {
    /// Rolls back the other instance's transaction and releases the slot.
    pub(crate) async fn roll_back(self) {
        self.slot.roll_back().await;
    }
}

/// Serves relayed exchanges and token requests of other instances until the channel closes.
pub async fn serve(engine: Engine, mut received: mpsc::UnboundedReceiver<ReceivedMessage>) {
    while let Some(ReceivedMessage { from, body, reply }) = received.recv().await {
        let engine = engine.clone();
        match body {
            PeerBody::Relay(request) => {
                tokio::spawn(async move {
                    engine.count_session(true);
                    let is_sent = AtomicBool::new(false);
                    let answer = tokio::select! {
                        answer = serve_relay(&engine, from, *request, &is_sent) => answer,
                        () = engine.out_of_time() => interrupted(&is_sent),
                    };
                    engine.count_session(false);
                    reply.send(PeerBody::RelayAnswer(Box::new(answer)));
                });
            }
            PeerBody::ControlAddressesRequest => {
                reply.send(PeerBody::ControlAddresses(engine.control_addresses()));
            }
            PeerBody::Token(request) => {
                tokio::spawn(async move {
                    let answer = engine.grant_token(&request).await;
                    reply.send(PeerBody::TokenAnswer(answer));
                });
            }
            _ => {
                let why = "this instance takes only exchanges, requests for tokens and questions for control instances";
                reply.send(PeerBody::Refused(Refusal::not_run(RefusalCode::BadRequest, why)));
            }
        }
    }
}

/// Returns the answer to an exchange for which a planned stop has no time left.
fn interrupted(is_sent: &AtomicBool) -> RelayAnswer {
    if is_sent.load(Ordering::Relaxed) {
        return RelayAnswer::Failed(LinkFailure::Broken);
    }
    RelayAnswer::NotKept
}

/// Serves an exchange. Sets `is_sent` before its commands are sent.
async fn serve_relay(
    engine: &Engine,
    from: InstanceName,
    mut request: RelayRequest,
    is_sent: &AtomicBool,
) -> RelayAnswer {
    if request.accepts_point {
        let point = engine.sampled_point(&request.service, &request.endpoint);
        return point.map_or(RelayAnswer::NotServed, RelayAnswer::Point);
    }
    let limit = Duration::from_millis(request.answer_within_ms);
    let is_refused = engine.refuses(limit) && !is_rollback(&request.commands);
    let key = PinnedSlotKey { from, number: request.kept };
    let deadline = tokio::time::Instant::now() + limit;
    let session = SessionState::with_values(request.values.clone());
    let begins = request.commands.iter().any(|command| matches!(command, Command::Begin { .. }));
    let mut slot = if request.kept == 0 || begins {
        match open(engine, &request, &session, deadline).await {
            Ok(slot) => slot,
            Err(answer) => return answer,
        }
    } else {
        let pinned = engine.pinned_slots().remove(&key);
        let Some(pinned) = pinned else { return RelayAnswer::NotKept };
        let mut slot = pinned.slot;
        if is_refused {
            tokio::spawn(slot.roll_back());
            return RelayAnswer::NotKept;
        }
        if engine.is_out_of_service(&request.service, &request.endpoint) {
            // Closing the connection rolls back.
            slot.close();
            return RelayAnswer::NotKept;
        }
        if !is_rollback(&request.commands)
            && let Err(failure) = slot.apply_session(&session, deadline).await
        {
            return RelayAnswer::Failed(failure);
        }
        slot
    };
    if let Err(failure) = name_executed_statement(&mut slot, &mut request, deadline).await {
        log_unprepared(engine, &request, failure);
        // An open transaction is rolled back.
        tokio::spawn(slot.roll_back());
        return RelayAnswer::NotKept;
    }
    is_sent.store(true, Ordering::Relaxed);
    match slot.exchange(request.commands, deadline).await {
        Ok(replies) => {
            let state = replies.last().map_or(TransactionState::Idle, |reply| reply.state);
            if request.kept != 0 && state != TransactionState::Idle {
                pin(engine, key, slot, limit);
            }
            RelayAnswer::Replies(replies)
        }
        Err(failure) => RelayAnswer::Failed(failure),
    }
}

/// Prepares the statement that the exchange executes, and puts its name on the slot's connection into the commands.
async fn name_executed_statement(
    slot: &mut Slot,
    request: &mut RelayRequest,
    deadline: tokio::time::Instant,
) -> Result<(), LinkFailure> {
    let id = client_id(request);
    let name = match &request.prepared {
        Some(prepared) => Some(slot.prepare(prepared, id, deadline).await?),
        None => None,
    };
    for command in &mut request.commands {
        if let Command::Execute { name: executed, .. } = command {
            *executed = name.clone().ok_or(LinkFailure::NotSent)?;
        }
    }
    Ok(())
}

async fn open(
    engine: &Engine,
    request: &RelayRequest,
    session: &SessionState,
    deadline: tokio::time::Instant,
) -> Result<Slot, RelayAnswer> {
    let limit = Duration::from_millis(request.answer_within_ms);
    let begins_transaction = request.kept != 0 && engine.is_stopping();
    if engine.refuses(limit) || begins_transaction {
        return Err(RelayAnswer::NotServed);
    }
    let now = engine.now();
    let slot_request = EndpointSlotRequest {
        service: &request.service,
        endpoint: &request.endpoint,
        organisation: &request.organisation,
        priority: request.priority,
        arrived_at: now,
        start_by: now + Duration::from_millis(request.start_within_ms),
    };
    let mut slot = engine.acquire_slot_at(&slot_request).await.map_err(|refusal| {
        log_refusal(engine, request, refusal);
        match refusal {
            SlotError::NoEndpoint => RelayAnswer::NotServed,
            SlotError::Overloaded { retry_after_ms, .. } => RelayAnswer::Busy { retry_after_ms },
            SlotError::TimedOut => RelayAnswer::Busy { retry_after_ms: request.start_within_ms },
        }
    })?;
    match slot.connect(&request.organisation, session, deadline).await {
        Ok(()) => Ok(slot),
        Err(ConnectFailure::Open(failure)) if !failure.is_endpoint_reached() => Err(RelayAnswer::Unreachable),
        Err(ConnectFailure::Open(_)) => Err(RelayAnswer::Busy { retry_after_ms: request.start_within_ms }),
        Err(ConnectFailure::Link(_)) => Err(RelayAnswer::Failed(LinkFailure::NotSent)),
    }
}

/// Returns whether an exchange only rolls back.
fn is_rollback(commands: &[Command]) -> bool {
    commands.iter().all(|command| *command == Command::Rollback)
}

/// Returns the identifier of the client's statement in an exchange; `-` if it has none.
fn client_id(request: &RelayRequest) -> &str {
    request.commands.iter().find_map(Command::client_id).unwrap_or("-")
}

/// Logs why another instance's exchange got no slot here. The other instance logs a line with the same request ID.
fn log_refusal(engine: &Engine, request: &RelayRequest, refusal: SlotError) {
    let Some(suppressed) = engine.decisions().try_log_failure(engine.now()) else { return };
    warn!(engine.logger(), "exchange of another instance refused";
        "request" => client_id(request), "endpoint" => request.endpoint.as_str(), "why" => &*slot_failure(refusal).text,
        "start_within_ms" => request.start_within_ms, "lines_left_out" => suppressed);
}

/// Logs why another instance's exchange was not sent: its statement could not be prepared here.
fn log_unprepared(engine: &Engine, request: &RelayRequest, failure: LinkFailure) {
    let Some(suppressed) = engine.decisions().try_log_failure(engine.now()) else { return };
    warn!(engine.logger(), "statement of another instance could not be prepared";
        "request" => client_id(request), "endpoint" => request.endpoint.as_str(), "why" => ?failure,
        "lines_left_out" => suppressed);
}

/// Pins the slot for the next statement of the transaction.
fn pin(engine: &Engine, key: PinnedSlotKey, mut slot: Slot, limit: Duration) {
    slot.suspend();
    let idle_ms = engine.lock().core.freshness.catalogue.lists.interactive.idle_transaction_ms;
    let timeout =
        if idle_ms == 0 { PINNED_TIMEOUT_DEFAULT } else { Duration::from_millis(idle_ms) + PINNED_GRACE };
    let until = engine.now() + timeout;
    engine.pinned_slots().insert(PinnedSlot { key, slot, until, limit });
}
