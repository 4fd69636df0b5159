//! Promotion of the endpoint that was chosen as the primary of a term, and the results of promotions.

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

/// The delay before a promotion with an unknown result is requested again, in milliseconds.
pub const PROMOTION_RETRY_MS: u64 = 200;

/// The time without a result after which a promotion is requested again, in milliseconds.
pub const PROMOTION_TIMEOUT_MS: u64 = 3_000;

/// The number of unknown results after which a silent endpoint is given up and another one is chosen.
pub const PROMOTION_ATTEMPTS: u32 = 3;

/// A promotion requested from an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Promotion {
    /// The service.
    pub service: ServiceName,
    /// The term that the endpoint is to be the primary of.
    pub term: Term,
    /// The endpoint.
    pub endpoint: EndpointName,
    /// Its address, as `ip:port`.
    pub address: Arc<str>,
    /// The election term of the leader that requests the promotion.
    pub control_term: ControlTerm,
}

/// The number of low bits of a fencing token that hold the group's term; the election term is above them.
const FENCING_TOKEN_TERM_BITS: u32 = 24;

impl Promotion {
    /// Returns the fencing token. It is unique to the leader and increases with every election term and every
    /// term of the group.
    pub fn fencing_token(&self) -> u64 {
        (self.control_term.0 << FENCING_TOKEN_TERM_BITS) + self.term.0
    }
}

/// The state of an endpoint after its promotion.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromotedState {
    /// The timeline that the promotion started.
    pub timeline: Timeline,
    /// The log position at which that timeline starts.
    pub start: LogPosition,
}

/// The reason why a promotion failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PromotionError {
    /// The endpoint could not be reached and was not promoted.
    NotReached,
    /// No answer arrived; the endpoint may have been promoted.
    Unknown,
}

/// The state of the request to promote the primary of the current term.
#[derive(Debug, Default)]
pub(super) struct PromotionRequest {
    term: Term,
    requested_at: Option<Instant>,
    retry_at: Instant,
    unknown_results: u32,
}

/// Handles the result of a promotion.
pub fn on_promoted(
    core: &mut Core,
    now: Instant,
    promotion: &Promotion,
    result: &Result<PromotedState, PromotionError>,
    out: &mut Vec<Effect>,
) {
    let Some(group) = core.catalogue.group(&promotion.service) else { return };
    let is_expected = failover::is_established_leader(core)
        && group.term == promotion.term
        && !group.writable
        && group.primary.as_ref() == Some(&promotion.endpoint)
        && failover::is_last_record_applied(core, &promotion.service);
    if !is_expected {
        return;
    }
    match result {
        Ok(state) => open_term(core, now, promotion, *state, out),
        Err(PromotionError::NotReached) => {
            failover::log(
                out,
                &promotion.service,
                &format!("{} could not be reached; choosing a primary again", promotion.endpoint),
            );
            failover::begin_term(core, now, &promotion.service, promotion.term.next(), out);
        }
        Err(PromotionError::Unknown) => on_unknown_result(core, now, promotion, out),
    }
}

/// Requests the promotion of the chosen primary. Repeats the request if the result of the last one is
/// unknown.
pub(super) fn request(
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
    let request = &mut failover::change_entry(core, now, &group.service).promotion_request;
    if request.term != group.term {
        *request = PromotionRequest { term: group.term, ..PromotionRequest::default() };
    }
    let timeout = Duration::from_millis(PROMOTION_TIMEOUT_MS);
    if request.requested_at.is_some_and(|at| now.saturating_since(at) < timeout) || now < request.retry_at {
        return;
    }
    request.requested_at = Some(now);
    out.push(Effect::Promote(promotion));
}

/// Requests the promotion again after a while.
fn retry_later<'a>(core: &'a mut Core, now: Instant, promotion: &Promotion) -> &'a mut PromotionRequest {
    let request = &mut failover::change_entry(core, now, &promotion.service).promotion_request;
    request.requested_at = None;
    request.retry_at = now + Duration::from_millis(PROMOTION_RETRY_MS);
    request
}

fn on_unknown_result(core: &mut Core, now: Instant, promotion: &Promotion, out: &mut Vec<Effect>) {
    let request = retry_later(core, now, promotion);
    request.unknown_results += 1;
    let gives_up = request.unknown_results >= PROMOTION_ATTEMPTS;
    if gives_up && detection::is_silent(core, now, &promotion.endpoint) {
        failover::log(
            out,
            &promotion.service,
            &format!("{} does not answer; choosing a primary again", promotion.endpoint),
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
    // An endpoint that already was the primary continues on its timeline, so nothing in its log is lost.
    let keeps_timeline = last.is_some_and(|last| last.timeline == state.timeline);
    let start = if keeps_timeline {
        // A leader that has not led for long may not know the position. With the start of the timeline as the start of the
        // term, all commits since would count as lost.
        let Some(received) = core.announcements.get(&promotion.endpoint) else {
            retry_later(core, now, promotion);
            return;
        };
        state.start.max(received.announcement.position)
    } else {
        state.start
    };
    let command = Command::OpenTerm {
        service: service.clone(),
        term: promotion.term,
        primary: promotion.endpoint.clone(),
        timeline: state.timeline,
        start,
    };
    let index = replicate::propose(core, now, command, out);
    failover::change_entry(core, now, service).proposed = index;
}
