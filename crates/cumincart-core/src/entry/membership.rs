//! The heartbeats that renew this instance's leases, and the application of their answers.

use {
    super::{
        Core, Settings, control_group,
        freshness::{self, AnswerOutcome, DropReason},
        permits::{self, ConnectionUse},
        quota, usage,
    },
    crate::{interactive::ownership, timing::HEARTBEAT_INTERVAL_MS},
    cumincart_protocol::{
        heartbeat::{CatalogueChange, CatalogueUpdate, EndpointReport, Heartbeat, HeartbeatAnswer, Share},
        instances,
        name::OrganisationName,
        number::{ControlTerm, Revision},
        sorted::SortedVec,
        time::Instant,
    },
    std::time::Duration,
};

/// Minimum interval of heartbeats, in milliseconds. One is sent before the regular interval has passed when a
/// request waits for a token or demand has changed.
pub const HEARTBEAT_MIN_INTERVAL_MS: u64 = 100;

/// Minimum interval of heartbeats while the leader waits for the confirmation of a lowered share or of a new
/// revision, in milliseconds.
pub const CONFIRM_INTERVAL_MS: u64 = 20;

/// The number of heartbeats without an answer after which an instance without a lease asks at the regular interval. It
/// covers ten seconds, in which all control instances may have been stopped, and bounds what a fleet asks of a leader that
/// is too busy to answer for longer.
pub const QUICK_RETRIES: u32 = 100;

/// The state of the heartbeat exchange.
#[derive(Debug, Default)]
pub struct Membership {
    /// When the last heartbeat was sent.
    pub last_sent_at: Option<Instant>,
    /// The revision that the last heartbeat confirmed.
    pub last_revision: Revision,
    /// The revision that the next heartbeat must confirm before the regular interval has passed.
    confirm_revision: Revision,
    /// Whether this instance is stopping and releases all shares and permits.
    pub leaving: bool,
    /// The election term of the leader whose grants are in force.
    grants_term: ControlTerm,
    /// The term that the last heartbeat reported.
    reported_term: ControlTerm,
    /// When the latest heartbeat that a leader of that term answered was sent.
    acknowledged_at: Option<Instant>,
    /// Since when every heartbeat carries a full report; none while heartbeats carry only changes.
    full_reports_since: Option<Instant>,
    /// The number of heartbeats sent since the last answer.
    unanswered: u32,
    /// Whether the next heartbeats must carry full reports, because a new leader answers.
    needs_full_report: bool,
}

/// Whether a heartbeat should be sent now.
pub fn is_heartbeat_due(core: &Core, now: Instant) -> bool {
    let Some(last) = core.membership.last_sent_at else {
        return true;
    };
    let since = now.saturating_since(last);
    if since >= Duration::from_millis(HEARTBEAT_INTERVAL_MS) {
        return true;
    }
    let is_recent = since < Duration::from_millis(HEARTBEAT_MIN_INTERVAL_MS);
    let asks_quickly = core.membership.unanswered < QUICK_RETRIES;
    if !is_recent && asks_quickly && !core.freshness.holds_term_lease(now) {
        return true;
    }
    let is_new_term = core.membership.grants_term > core.membership.reported_term;
    if (core.membership.needs_full_report || is_new_term) && asks_quickly && !is_recent {
        return true;
    }
    if is_recent {
        return since >= Duration::from_millis(CONFIRM_INTERVAL_MS)
            && (quota::has_unreported_reduction(&core.quota) || has_unconfirmed_revision(core));
    }
    quota::needs_tokens(&core.quota, now)
        || quota::has_unreported_reduction(&core.quota)
        || has_unconfirmed_revision(core)
        || quota::demand_has_changed(&core.quota, now)
}

/// Whether the leader may be waiting for the confirmation of a revision, as it does before a change of primary. A
/// revision that changes nothing here is confirmed with the next regular heartbeat, unless the leader pushes it.
fn has_unconfirmed_revision(core: &Core) -> bool {
    core.membership.confirm_revision > core.membership.last_revision
}

/// Whether the leader sent this answer to a heartbeat that it has answered before.
fn is_push(membership: &Membership, answer: &HeartbeatAnswer) -> bool {
    membership.acknowledged_at.is_some_and(|at| answer.asked_at <= at)
}

fn changes_catalogue(update: &CatalogueUpdate) -> bool {
    match update {
        CatalogueUpdate::None => false,
        CatalogueUpdate::Snapshot(_) | CatalogueUpdate::Packed(_) => true,
        CatalogueUpdate::Deltas(deltas) => {
            deltas.iter().any(|delta| !matches!(delta.change, CatalogueChange::Nothing))
        }
    }
}

/// Builds the next heartbeat. `endpoints` holds the observations of endpoints since the last one, `uses` the
/// open and wanted connections to each endpoint.
pub fn build_heartbeat(
    core: &mut Core,
    now: Instant,
    endpoints: Vec<EndpointReport>,
    uses: &SortedVec<ConnectionUse>,
) -> Heartbeat {
    core.membership.last_sent_at = Some(now);
    core.membership.unanswered = core.membership.unanswered.saturating_add(1);
    core.membership.last_revision = core.freshness.revision();
    core.membership.reported_term = core.membership.grants_term;
    if core.membership.leaving {
        quota::drop_all(&mut core.quota, now);
        permits::drop_all(&mut core.permits);
    }
    let acknowledged_until = acknowledged_until(&mut core.membership, now);
    let (instances, settings) = (&core.freshness.instances, &core.settings);
    let is_held_elsewhere = |organisation: &OrganisationName, limit: Share| {
        let Settings { instance, domain, .. } = settings;
        ownership::is_token_owner_elsewhere(instances, instance, domain, organisation, limit)
    };
    let shares = quota::report(&mut core.quota, now, acknowledged_until, is_held_elsewhere);
    Heartbeat {
        instance: core.settings.instance.clone(),
        incarnation: core.settings.incarnation,
        domain: core.settings.domain.clone(),
        peer_address: core.settings.peer_address.clone(),
        accepts_packed: true,
        asked_at: now,
        revision: core.freshness.revision(),
        leaving: core.membership.leaving,
        complete: acknowledged_until.is_none(),
        grants_term: Some(core.membership.grants_term),
        instances_digest: instances::digest(&core.freshness.instances),
        control_digest: core.control_group.digest(),
        endpoints,
        shares,
        permits: permits::report(&mut core.permits, now, acknowledged_until, uses),
        usage: usage::report(&mut core.usage, now, acknowledged_until),
    }
}

/// Applies an answer: the catalogue, the leases, the shares and the permits. [`quota::take_decisions`] then
/// returns the waiting requests that got a token.
pub fn on_answer(core: &mut Core, now: Instant, answer: &HeartbeatAnswer) -> AnswerOutcome {
    quota::drop_expired(&mut core.quota, now);
    permits::drop_expired(&mut core.permits, now);
    let outcome = freshness::apply_answer(&mut core.freshness, now, core.settings.incarnation, answer);
    if !matches!(outcome, AnswerOutcome::Dropped(reason) if reason != DropReason::Expired) {
        control_group::on_answer(&mut core.control_group, now, answer);
    }
    match outcome {
        AnswerOutcome::Dropped(DropReason::Expired) if changes_catalogue(&answer.update) => {
            core.membership.confirm_revision = core.freshness.revision();
            quota::on_lists(&mut core.quota, now, &core.freshness.index);
            return outcome;
        }
        AnswerOutcome::Dropped(_) => return outcome,
        AnswerOutcome::Behind | AnswerOutcome::Leased => core.membership.unanswered = 0,
    }
    if is_push(&core.membership, answer) || changes_catalogue(&answer.update) {
        core.membership.confirm_revision = core.freshness.revision();
    }
    quota::on_lists(&mut core.quota, now, &core.freshness.index);
    if !has_full_report(&mut core.membership, answer) {
        return outcome;
    }
    if outcome == AnswerOutcome::Leased {
        apply_grants(core, now, answer);
    }
    if answer.control_term > core.membership.grants_term {
        core.membership.grants_term = answer.control_term;
        quota::drop_other_terms(&mut core.quota, now, answer.control_term);
        permits::drop_other_terms(&mut core.permits, answer.control_term);
    }
    core.membership.acknowledged_at = core.membership.acknowledged_at.max(Some(answer.asked_at));
    outcome
}

/// Returns the time up to which the leader has acknowledged reports. None means that the next heartbeat must
/// carry a full report, because no answer has come for a while and another leader may receive it.
fn acknowledged_until(membership: &mut Membership, now: Instant) -> Option<Instant> {
    let max_age = Duration::from_millis(HEARTBEAT_INTERVAL_MS + HEARTBEAT_MIN_INTERVAL_MS);
    let acknowledged_until = membership.acknowledged_at.filter(|at| now.saturating_since(*at) <= max_age);
    if acknowledged_until.is_none() || membership.needs_full_report {
        membership.full_reports_since.get_or_insert(now);
        return None;
    }
    membership.full_reports_since = None;
    acknowledged_until
}

/// Whether the answering leader has received a full report, so that it knows what this instance holds and its
/// grants replace an earlier leader's. Until then the leases on the earlier leader's shares and permits stay
/// in force.
fn has_full_report(membership: &mut Membership, answer: &HeartbeatAnswer) -> bool {
    let is_same_leader = answer.control_term == membership.grants_term;
    let has_full_report =
        is_same_leader || membership.full_reports_since.is_some_and(|since| answer.asked_at >= since);
    membership.needs_full_report = !has_full_report;
    has_full_report
}

fn apply_grants(core: &mut Core, now: Instant, answer: &HeartbeatAnswer) {
    if core.membership.leaving {
        return;
    }
    let lease_until = core.freshness.freshness_lease_until;
    quota::on_grants(&mut core.quota, now, lease_until, &answer.shares);
    permits::on_grants(&mut core.permits, answer.asked_at, lease_until, &answer.permits);
}
