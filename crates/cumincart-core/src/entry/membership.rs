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
        instances,
        number::{ControlTerm, Revision},
        sorted::SortedVec,
        time::Instant,
    },
    std::time::Duration,
};

/// The shortest time between two heartbeats, in milliseconds; one goes out early when a request waits for a token or
/// demand has moved.
pub const HEARTBEAT_MIN_INTERVAL_MS: u64 = 100;

/// The shortest time between two heartbeats where the leader waits to hear of a lowered share or a change, in
/// milliseconds.
pub const CONFIRM_INTERVAL_MS: u64 = 20;

/// The state of the exchange of heartbeats.
#[derive(Debug, Default)]
pub struct Membership {
    /// When the last heartbeat was made.
    pub last_asked_at: Option<Instant>,
    /// The revision that the last heartbeat confirmed.
    pub last_revision: Revision,
    /// Whether this instance is stopping and gives back all that it holds.
    pub leaving: bool,
    /// The election term of the leader whose grants are in force.
    granted_in: ControlTerm,
    /// When the latest question was asked that a leader of that term answered.
    acknowledged_at: Option<Instant>,
    /// Since when every heartbeat has told all; none while they tell only what has changed.
    full_since: Option<Instant>,
    /// Whether the next heartbeats must tell all, since a new leader answers.
    must_tell_all: bool,
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
    let short = since < Duration::from_millis(HEARTBEAT_MIN_INTERVAL_MS);
    if !short && !board.freshness.holds_term_lease(now) {
        return true;
    }
    if board.membership.must_tell_all && !short {
        return true;
    }
    if short {
        return since >= Duration::from_millis(CONFIRM_INTERVAL_MS)
            && (quota::has_unreported_grant(&board.quota) || has_unconfirmed_revision(board));
    }
    quota::needs_tokens(&board.quota, now)
        || quota::has_unreported_grant(&board.quota)
        || has_unconfirmed_revision(board)
        || quota::demand_has_moved(&board.quota, now)
}

/// Whether the leader does not know yet that a change is in force here; a change of primary waits for it.
fn has_unconfirmed_revision(board: &Board) -> bool {
    board.freshness.revision() > board.membership.last_revision
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
    board.membership.last_revision = board.freshness.revision();
    if board.membership.leaving {
        quota::drop_all(&mut board.quota, now);
        permits::drop_all(&mut board.permits);
    }
    let told = told_until(&mut board.membership, now);
    Heartbeat {
        instance: board.settings.instance.clone(),
        incarnation: board.settings.incarnation,
        domain: board.settings.domain.clone(),
        peer_address: board.settings.peer_address.clone(),
        asked_at: now,
        revision: board.freshness.revision(),
        leaving: board.membership.leaving,
        complete: told.is_none(),
        instances_digest: instances::digest(&board.freshness.instances),
        endpoints,
        shares: quota::report(&mut board.quota, now, told),
        permits: permits::report(&mut board.permits, now, told, uses),
    }
}

/// Takes an answer: the catalogue, the leases, the shares and the permits. Waiting requests that it brings a token for
/// come out of [`quota::released`].
pub fn on_answer(board: &mut Board, now: Instant, answer: &HeartbeatAnswer) -> AnswerOutcome {
    quota::drop_expired(&mut board.quota, now);
    permits::drop_expired(&mut board.permits, now);
    let outcome = freshness::apply_answer(&mut board.freshness, now, board.settings.incarnation, answer);
    if let AnswerOutcome::Dropped(_) = outcome {
        return outcome;
    }
    quota::on_lists(&mut board.quota, now, &board.freshness.index);
    if !is_told_all(&mut board.membership, answer) {
        return outcome;
    }
    if outcome == AnswerOutcome::Leased {
        take_grants(board, now, answer);
    }
    if answer.control_term > board.membership.granted_in {
        board.membership.granted_in = answer.control_term;
        quota::drop_other_terms(&mut board.quota, now, answer.control_term);
        permits::drop_other_terms(&mut board.permits, answer.control_term);
    }
    board.membership.acknowledged_at = board.membership.acknowledged_at.max(Some(answer.asked_at));
    outcome
}

/// Until when the leader knows what was told; none where the next heartbeat must tell all, because no answer has come
/// for a while and another leader may hear it.
fn told_until(membership: &mut Membership, now: Instant) -> Option<Instant> {
    let recent = Duration::from_millis(HEARTBEAT_INTERVAL_MS + HEARTBEAT_MIN_INTERVAL_MS);
    let told = membership.acknowledged_at.filter(|at| now.saturating_since(*at) <= recent);
    if told.is_none() || membership.must_tell_all {
        membership.full_since.get_or_insert(now);
        return None;
    }
    membership.full_since = None;
    told
}

/// Whether the leader that answers was told all: it knows what this instance holds, and its grants replace an earlier
/// leader's. Until then the leases on shares and permits of the earlier one run on.
fn is_told_all(membership: &mut Membership, answer: &HeartbeatAnswer) -> bool {
    let known = answer.control_term == membership.granted_in;
    let told = known || membership.full_since.is_some_and(|since| answer.asked_at >= since);
    membership.must_tell_all = !told;
    told
}

fn take_grants(board: &mut Board, now: Instant, answer: &HeartbeatAnswer) {
    if board.membership.leaving {
        return;
    }
    let lease_until = board.freshness.fresh_until;
    quota::on_grants(&mut board.quota, now, lease_until, &answer.shares);
    permits::on_grants(&mut board.permits, answer.asked_at, lease_until, &answer.permits);
}
