//! Orders to promote the primary that was chosen for a term, and their outcomes.

use {
    super::{Core, Effect, detection, failover, replicate},
    cumincart_protocol::{
        catalogue::Group,
        name::{EndpointName, ServiceName},
        number::{ControlTerm, LogPosition, Term, Timeline},
        replication::Command,
        time::Instant,
    },
    std::{sync::Arc, time::Duration},
};

/// Time between two orders to promote the same endpoint, in milliseconds.
pub const PROMOTION_RETRY_MS: u64 = 200;

/// How long an order to promote may stay without an outcome, in milliseconds.
pub const PROMOTION_TIMEOUT_MS: u64 = 3_000;

/// How often the outcome may be unknown before a silent endpoint is given up and another is chosen.
pub const PROMOTION_ATTEMPTS: u32 = 3;

/// A promotion that is ordered of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Promotion {
    /// The service.
    pub service: ServiceName,
    /// The term that the endpoint is to be primary of.
    pub term: Term,
    /// The endpoint.
    pub endpoint: EndpointName,
    /// Its address, as `ip:port`.
    pub address: Arc<str>,
    /// The election term of the leader that orders it.
    pub control_term: ControlTerm,
}

/// The bits of a fencing token below the leader's election term.
const FENCE_TERM_BITS: u32 = 24;

impl Promotion {
    /// The fencing token: no two leaders use the same one, and it grows with every leader and every term of the group.
    pub fn fencing_token(&self) -> u64 {
        (self.control_term.0 << FENCE_TERM_BITS) + self.term.0
    }
}

/// The state of an endpoint just promoted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromotedState {
    /// The timeline that its promotion opened.
    pub timeline: Timeline,
    /// The position at which that timeline began.
    pub start: LogPosition,
}

/// Why a promotion failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PromotionError {
    /// The endpoint could not be reached; it was not promoted.
    NotReached,
    /// The answer did not come; it may have been promoted.
    Unknown,
}

/// The order to promote the primary of the current term.
#[derive(Debug, Default)]
pub(super) struct Order {
    term: Term,
    ordered_at: Option<Instant>,
    retry_at: Instant,
    unknown: u32,
}

/// Takes the outcome of an order to promote.
pub fn on_promoted(
    core: &mut Core,
    now: Instant,
    promotion: &Promotion,
    result: &Result<PromotedState, PromotionError>,
    out: &mut Vec<Effect>,
) {
    let Some(group) = core.catalogue.group(&promotion.service) else { return };
    let is_awaited = failover::is_in_charge(core)
        && group.term == promotion.term
        && !group.writable
        && group.primary.as_ref() == Some(&promotion.endpoint)
        && failover::is_settled(core, &promotion.service);
    if !is_awaited {
        return;
    }
    match result {
        Ok(state) => open_term(core, now, promotion, *state, out),
        Err(PromotionError::NotReached) => {
            failover::note(
                out,
                &promotion.service,
                &format!("{} was not reached; choosing again", promotion.endpoint),
            );
            failover::begin_term(core, now, &promotion.service, promotion.term.next(), out);
        }
        Err(PromotionError::Unknown) => on_unknown(core, now, promotion, out),
    }
}

/// Orders the promotion of the chosen primary, again when the outcome of the last order is unknown.
pub(super) fn order(
    core: &mut Core,
    now: Instant,
    group: &Group,
    primary: &EndpointName,
    out: &mut Vec<Effect>,
) {
    let Some(entry) = group.endpoints.get(primary) else { return };
    let promotion = Promotion {
        service: group.service.clone(),
        term: group.term,
        endpoint: primary.clone(),
        address: Arc::clone(&entry.address),
        control_term: core.election.ballot.term,
    };
    let order = &mut failover::change_of(core, now, &group.service).order;
    if order.term != group.term {
        *order = Order { term: group.term, ..Order::default() };
    }
    let timeout = Duration::from_millis(PROMOTION_TIMEOUT_MS);
    if order.ordered_at.is_some_and(|at| now.saturating_since(at) < timeout) || now < order.retry_at {
        return;
    }
    order.ordered_at = Some(now);
    out.push(Effect::Promote(promotion));
}

fn on_unknown(core: &mut Core, now: Instant, promotion: &Promotion, out: &mut Vec<Effect>) {
    let order = &mut failover::change_of(core, now, &promotion.service).order;
    order.ordered_at = None;
    order.retry_at = now + Duration::from_millis(PROMOTION_RETRY_MS);
    order.unknown += 1;
    let gives_up = order.unknown >= PROMOTION_ATTEMPTS;
    if gives_up && detection::is_silent(core, now, &promotion.endpoint) {
        failover::note(
            out,
            &promotion.service,
            &format!("{} does not answer; choosing again", promotion.endpoint),
        );
        failover::begin_term(core, now, &promotion.service, promotion.term.next(), out);
    }
}

fn open_term(
    core: &mut Core,
    now: Instant,
    promotion: &Promotion,
    state: PromotedState,
    out: &mut Vec<Effect>,
) {
    let service = &promotion.service;
    let last = core.catalogue.group(service).and_then(|group| group.term_starts.last());
    // An endpoint that was the primary already goes on with its timeline: nothing that it has is lost.
    let stays = last.is_some_and(|last| last.timeline == state.timeline);
    let position = core.announcements.get(&promotion.endpoint).map(|heard| heard.announcement.position);
    let start = if stays { state.start.max(position.unwrap_or_default()) } else { state.start };
    let command = Command::OpenTerm {
        service: service.clone(),
        term: promotion.term,
        primary: promotion.endpoint.clone(),
        timeline: state.timeline,
        start,
    };
    let index = replicate::propose(core, now, command, out);
    failover::change_of(core, now, service).proposed = index;
}
