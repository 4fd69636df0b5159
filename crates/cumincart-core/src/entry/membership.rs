//! The heartbeats by which this instance holds its leases, and what their answers bring.

use {
    super::{
        Board,
        freshness::{self, AnswerOutcome},
        permits::{self, ConnectionUse},
        quota,
    },
    crate::timing::HEARTBEAT_INTERVAL_MS,
    cumincart_protocol::{
        heartbeat::{EndpointReport, Heartbeat, HeartbeatAnswer},
        number::Revision,
        sorted::SortedVec,
        time::Instant,
    },
    std::time::Duration,
};

/// The shortest time between two heartbeats, in milliseconds; one goes out early when a request waits for a token or
/// demand has moved.
pub const HEARTBEAT_MIN_INTERVAL_MS: u64 = 100;

/// The shortest time between two heartbeats where the leader waits to hear that a grant lowered a share or that a
/// revision is in force here, in milliseconds.
pub const CONFIRM_INTERVAL_MS: u64 = 20;

/// The state of the exchange of heartbeats.
#[derive(Debug, Default)]
pub struct Membership {
    /// When the last heartbeat was made.
    pub last_asked_at: Option<Instant>,
    /// The revision that the last heartbeat confirmed.
    pub confirmed: Revision,
    /// Whether this instance is stopping and gives back all that it holds.
    pub leaving: bool,
}

/// Whether a heartbeat should go out now.
pub fn due(board: &Board, now: Instant) -> bool {
    let Some(last) = board.membership.last_asked_at else {
        return true;
    };
    let since = now.saturating_since(last);
    if since >= Duration::from_millis(HEARTBEAT_INTERVAL_MS) {
        return true;
    }
    if since < Duration::from_millis(HEARTBEAT_MIN_INTERVAL_MS) {
        return since >= Duration::from_millis(CONFIRM_INTERVAL_MS) && has_unconfirmed(board);
    }
    quota::needs_tokens(&board.quota, now)
        || has_unconfirmed(board)
        || quota::demand_has_moved(&board.quota, now)
}

/// Whether the leader may wait to hear of something that is in force here.
fn has_unconfirmed(board: &Board) -> bool {
    quota::has_unreported_grant(&board.quota) || board.freshness.revision() > board.membership.confirmed
}

/// Makes the next heartbeat. `endpoints` is what was seen of endpoints since the last one, `uses` what is open to each
/// endpoint and could be used.
pub fn heartbeat(
    board: &mut Board,
    now: Instant,
    endpoints: Vec<EndpointReport>,
    uses: &SortedVec<ConnectionUse>,
) -> Heartbeat {
    board.membership.last_asked_at = Some(now);
    board.membership.confirmed = board.freshness.revision();
    Heartbeat {
        instance: board.settings.instance.clone(),
        incarnation: board.settings.incarnation,
        domain: board.settings.domain.clone(),
        peer_address: board.settings.peer_address.clone(),
        asked_at: now,
        revision: board.freshness.revision(),
        leaving: board.membership.leaving,
        endpoints,
        shares: quota::report(&mut board.quota, now),
        permits: permits::report(&mut board.permits, now, uses),
    }
}

/// Takes an answer: the catalogue, the leases, the shares and the permits. Waiting requests that it brings a token for
/// come out of [`quota::released`].
pub fn on_answer(board: &mut Board, now: Instant, answer: &HeartbeatAnswer) -> AnswerOutcome {
    quota::drop_expired(&mut board.quota, now);
    permits::drop_expired(&mut board.permits, now);
    let known_term = board.freshness.control_term;
    let outcome = freshness::apply_answer(&mut board.freshness, now, board.settings.incarnation, answer);
    if let AnswerOutcome::Dropped(_) = outcome {
        return outcome;
    }
    quota::on_lists(&mut board.quota, now, &board.freshness.index);
    if outcome == AnswerOutcome::Leased {
        take_grants(board, now, answer);
    }
    if answer.control_term > known_term {
        quota::drop_other_terms(&mut board.quota, now, answer.control_term);
        permits::drop_other_terms(&mut board.permits, answer.control_term);
    }
    outcome
}

fn take_grants(board: &mut Board, now: Instant, answer: &HeartbeatAnswer) {
    let lease_until = board.freshness.fresh_until;
    quota::on_grants(&mut board.quota, now, lease_until, &answer.shares);
    permits::on_grants(&mut board.permits, lease_until, &answer.permits);
}
