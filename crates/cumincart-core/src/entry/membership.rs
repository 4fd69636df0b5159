//! The heartbeats by which this instance holds its leases, and what their answers bring.

use {
    super::{
        Core,
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
    pub last_sent_at: Option<Instant>,
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
pub fn is_heartbeat_due(core: &Core, now: Instant) -> bool {
    let Some(last) = core.membership.last_sent_at else {
        return true;
    };
    let since = now.saturating_since(last);
    if since >= Duration::from_millis(HEARTBEAT_INTERVAL_MS) {
        return true;
    }
    let short = since < Duration::from_millis(HEARTBEAT_MIN_INTERVAL_MS);
    if !short && !core.freshness.holds_term_lease(now) {
        return true;
    }
    if core.membership.must_tell_all && !short {
        return true;
    }
    if short {
        return since >= Duration::from_millis(CONFIRM_INTERVAL_MS)
            && (quota::has_unreported_grant(&core.quota) || has_unconfirmed_revision(core));
    }
    quota::needs_tokens(&core.quota, now)
        || quota::has_unreported_grant(&core.quota)
        || has_unconfirmed_revision(core)
        || quota::demand_has_moved(&core.quota, now)
}

/// Whether the leader does not know yet that a change is in force here; a change of primary waits for it.
fn has_unconfirmed_revision(core: &Core) -> bool {
    core.freshness.revision() > core.membership.last_revision
}

/// Makes the next heartbeat. `endpoints` is what was seen of endpoints since the last one, `uses` what is open to each
/// endpoint and could be used.
pub fn build_heartbeat(
    core: &mut Core,
    now: Instant,
    endpoints: Vec<EndpointReport>,
    uses: &SortedVec<ConnectionUse>,
) -> Heartbeat {
    core.membership.last_sent_at = Some(now);
    core.membership.last_revision = core.freshness.revision();
    if core.membership.leaving {
        quota::drop_all(&mut core.quota, now);
        permits::drop_all(&mut core.permits);
    }
    let told = told_until(&mut core.membership, now);
    Heartbeat {
        instance: core.settings.instance.clone(),
        incarnation: core.settings.incarnation,
        domain: core.settings.domain.clone(),
        peer_address: core.settings.peer_address.clone(),
        asked_at: now,
        revision: core.freshness.revision(),
        leaving: core.membership.leaving,
        complete: told.is_none(),
        instances_digest: instances::digest(&core.freshness.instances),
        endpoints,
        shares: quota::report(&mut core.quota, now, told),
        permits: permits::report(&mut core.permits, now, told, uses),
    }
}

/// Takes an answer: the catalogue, the leases, the shares and the permits. Waiting requests that it brings a token for
/// come out of [`quota::released`].
pub fn on_answer(core: &mut Core, now: Instant, answer: &HeartbeatAnswer) -> AnswerOutcome {
    quota::drop_expired(&mut core.quota, now);
    permits::drop_expired(&mut core.permits, now);
    let outcome = freshness::apply_answer(&mut core.freshness, now, core.settings.incarnation, answer);
    if let AnswerOutcome::Dropped(_) = outcome {
        return outcome;
    }
    quota::on_lists(&mut core.quota, now, &core.freshness.index);
    if !is_told_all(&mut core.membership, answer) {
        return outcome;
    }
    if outcome == AnswerOutcome::Leased {
        take_grants(core, now, answer);
    }
    if answer.control_term > core.membership.granted_in {
        core.membership.granted_in = answer.control_term;
        quota::drop_other_terms(&mut core.quota, now, answer.control_term);
        permits::drop_other_terms(&mut core.permits, answer.control_term);
    }
    core.membership.acknowledged_at = core.membership.acknowledged_at.max(Some(answer.asked_at));
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

fn take_grants(core: &mut Core, now: Instant, answer: &HeartbeatAnswer) {
    if core.membership.leaving {
        return;
    }
    let lease_until = core.freshness.freshness_lease_until;
    quota::on_grants(&mut core.quota, now, lease_until, &answer.shares);
    permits::on_grants(&mut core.permits, answer.asked_at, lease_until, &answer.permits);
}
