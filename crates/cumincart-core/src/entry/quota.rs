//! This instance's shares of the organisations' rates and bursts.
//!
//! Each share is a token bucket. Its tokens are part of the organisation's one budget: the leader's ledger
//! (`control::shares`) ensures that all shares together never exceed the plan. A request that finds no token
//! waits briefly, since the leader can often grant one.

mod bucket;
mod demand;

use {
    super::{Ticket, admission::Index},
    crate::timing::HEARTBEAT_INTERVAL_MS,
    bucket::{Bucket, Waiter},
    cumincart_protocol::{
        heartbeat::{Share, ShareGrant, ShareReport},
        name::OrganisationName,
        number::ControlTerm,
        sorted::SortedVec,
        time::Instant,
    },
    std::{sync::Arc, time::Duration},
};

/// How long a request may wait for a token, in milliseconds.
pub const QUOTA_WAIT_MS: u64 = 1_000;

/// The token buckets and the requests that wait for a token.
#[derive(Debug, Default)]
pub struct Quota {
    /// The plans' limits, from the local lists.
    index: Arc<Index>,
    /// The end of the lease on all shares.
    lease_until: Instant,
    /// One bucket for each organisation that has sent requests or was granted a share.
    buckets: SortedVec<Bucket>,
    /// The number of waiting requests over all buckets.
    waiting: usize,
    /// Requests admitted with the tokens of a grant, until [`take_decisions`] returns them.
    ready: Vec<(Ticket, QuotaDecision)>,
}

/// The decision on a request for a token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaDecision {
    /// A token was taken.
    Admitted,
    /// A token may become available before the request's deadline; [`take_decisions`] returns the ticket
    /// later.
    Waiting,
    /// No token can become available in time.
    Refused {
        /// The time after which a token can be available, in milliseconds.
        retry_after_ms: u64,
    },
}

/// Why a request got no token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalCause {
    /// This instance holds no lease on the lists and shares.
    NoLease,
    /// The organisation asks for more than its plan allows over all instances.
    OverLimit,
    /// The organisation is within its plan as far as is known, but no token has come to this instance in time.
    NoToken,
}

/// Requests one token for a request that must start before `deadline`.
pub fn acquire(
    quota: &mut Quota,
    now: Instant,
    organisation: &OrganisationName,
    ticket: Ticket,
    deadline: Instant,
) -> QuotaDecision {
    acquire_with_priority(quota, now, organisation, ticket, deadline, 0)
}

/// Like [`acquire`], for a request that is queued ahead of waiting requests of lower priority. 0 is the
/// highest priority. When tokens are scarce, requests of high priority get them first.
pub fn acquire_with_priority(
    quota: &mut Quota,
    now: Instant,
    organisation: &OrganisationName,
    ticket: Ticket,
    deadline: Instant,
    priority: u32,
) -> QuotaDecision {
    if now >= quota.lease_until {
        return QuotaDecision::Refused { retry_after_ms: HEARTBEAT_INTERVAL_MS };
    }
    let Some(plan) = plan_limit(&quota.index, organisation) else {
        return QuotaDecision::Refused { retry_after_ms: HEARTBEAT_INTERVAL_MS };
    };
    let bucket = quota.buckets.get_or_insert_with(organisation, || Bucket::new(organisation.clone(), now));
    bucket.record_arrival(now, priority);
    bucket.refill(now);
    if bucket.position_of(priority) == 0 && bucket.take_token_for(priority) {
        return QuotaDecision::Admitted;
    }
    let wait_until = deadline.min(now + Duration::from_millis(QUOTA_WAIT_MS));
    if !bucket.may_wait(now, wait_until, plan, priority) {
        return QuotaDecision::Refused { retry_after_ms: bucket.retry_after_ms(now, plan) };
    }
    let position = bucket.position_of(priority);
    bucket.waiting.insert(position, Waiter { ticket, until: wait_until, priority });
    quota.waiting += 1;
    QuotaDecision::Waiting
}

/// Removes the waiting requests that were admitted or whose wait has timed out, and returns the decision on
/// each.
pub fn take_decisions(quota: &mut Quota, now: Instant) -> Vec<(Ticket, QuotaDecision)> {
    let mut out = std::mem::take(&mut quota.ready);
    let ready = out.len();
    if quota.waiting == 0 {
        return out;
    }
    let leased = now < quota.lease_until;
    for bucket in quota.buckets.iter_mut().filter(|bucket| !bucket.waiting.is_empty()) {
        let plan = plan_limit(&quota.index, &bucket.organisation);
        bucket.decide_waiting(now, plan.filter(|_| leased), &mut out);
    }
    quota.waiting -= out.len() - ready;
    out
}

/// Returns why a request of an organisation that was refused now got no token.
pub fn refusal_cause(quota: &Quota, now: Instant, organisation: &OrganisationName) -> RefusalCause {
    if now >= quota.lease_until {
        return RefusalCause::NoLease;
    }
    let plan = plan_limit(&quota.index, organisation).unwrap_or_default();
    match quota.buckets.get(organisation) {
        Some(bucket) if bucket.is_over_limit(now) => RefusalCause::OverLimit,
        Some(bucket) if bucket.demand.last_average() > plan.rate_milli_per_s => RefusalCause::OverLimit,
        _ => RefusalCause::NoToken,
    }
}

/// Takes one token of this instance's own share for a request at another instance that has none. Returns `false`
/// if this instance needs its tokens itself, or holds no lease.
pub fn lend(quota: &mut Quota, now: Instant, organisation: &OrganisationName) -> bool {
    let leased = now < quota.lease_until && plan_limit(&quota.index, organisation).is_some();
    leased && quota.buckets.get_mut(organisation).is_some_and(|bucket| bucket.lend_token(now))
}

/// Whether other instances may have a token to lend for a waiting request of an organisation.
pub fn may_borrow(quota: &Quota, now: Instant, organisation: &OrganisationName) -> bool {
    now < quota.lease_until && quota.buckets.get(organisation).is_some_and(|bucket| bucket.may_borrow(now))
}

/// Records that no other instance has a token of an organisation to lend.
pub fn on_no_loan(quota: &mut Quota, now: Instant, organisation: &OrganisationName) {
    if let Some(bucket) = quota.buckets.get_mut(organisation) {
        bucket.on_no_loan(now);
    }
}

/// Removes a waiting request that was cancelled.
pub fn cancel(quota: &mut Quota, ticket: Ticket) {
    for bucket in quota.buckets.iter_mut() {
        let before = bucket.waiting.len();
        bucket.waiting.retain(|waiter| waiter.ticket != ticket);
        quota.waiting -= before - bucket.waiting.len();
    }
}

/// Whether a heartbeat should be sent now because a request waits that this instance's own share can't serve
/// soon and the leader may help.
pub fn needs_tokens(quota: &Quota, now: Instant) -> bool {
    quota.waiting > 0 && quota.buckets.iter().any(|bucket| bucket.needs_tokens(now))
}

/// Whether an organisation's demand has changed so much that a heartbeat should report it now.
pub fn demand_has_changed(quota: &Quota, now: Instant) -> bool {
    quota.buckets.iter().any(|bucket| bucket.demand_has_changed(now))
}

/// Whether a grant has lowered a share and the leader waits for the confirmation.
pub fn has_unreported_reduction(quota: &Quota) -> bool {
    quota.buckets.iter().any(|bucket| bucket.lowered)
}

/// Drops every share whose lease has expired. Waiting requests stay until [`take_decisions`] refuses them.
pub fn drop_expired(quota: &mut Quota, now: Instant) {
    if now < quota.lease_until {
        return;
    }
    for bucket in quota.buckets.iter_mut() {
        bucket.clear(now);
    }
}

/// Drops every share, before a planned stop is reported.
pub fn drop_all(quota: &mut Quota, now: Instant) {
    quota.lease_until = Instant::ZERO;
    drop_expired(quota, now);
}

/// Applies the limits of new lists. A share shrinks with its plan at once, before the leader's next grant.
pub fn on_lists(quota: &mut Quota, now: Instant, index: &Arc<Index>) {
    if Arc::ptr_eq(&quota.index, index) {
        return;
    }
    for bucket in quota.buckets.iter_mut() {
        bucket.apply_limit(now, plan_limit(index, &bucket.organisation).unwrap_or_default());
    }
    quota.index = index.clone();
}

/// Drops every share granted by a leader of another term than `control_term`. The new leader does not know
/// the last grants of an earlier one; it confirms with its own grants what was reported to it.
pub fn drop_other_terms(quota: &mut Quota, now: Instant, control_term: ControlTerm) {
    for bucket in quota.buckets.iter_mut() {
        if !bucket.is_granted_in(control_term) {
            bucket.clear(now);
        }
    }
}

/// Applies grants and the lease on all shares.
pub fn on_grants(quota: &mut Quota, now: Instant, lease_until: Instant, grants: &[ShareGrant]) {
    quota.lease_until = lease_until;
    let ready = quota.ready.len();
    for grant in grants {
        let bucket = quota
            .buckets
            .get_or_insert_with(&grant.organisation, || Bucket::new(grant.organisation.clone(), now));
        let limit = plan_limit(&quota.index, &grant.organisation).unwrap_or_default();
        bucket.apply(now, limit, grant, &mut quota.ready);
    }
    quota.waiting -= quota.ready.len() - ready;
}

/// Returns the reports for the next heartbeat: on every organisation with traffic or holdings, or only on
/// those that have changed since a report that the leader has acknowledged. Demand is left out where
/// `is_held_elsewhere` says that another instance holds the tokens for this one: a share is of use only there, and would
/// be taken from it.
pub fn report(
    quota: &mut Quota,
    now: Instant,
    acknowledged_until: Option<Instant>,
    is_held_elsewhere: impl Fn(&OrganisationName, Share) -> bool,
) -> Vec<ShareReport> {
    drop_expired(quota, now);
    let index = &quota.index;
    let report = |bucket: &mut Bucket| {
        bucket.report(now, acknowledged_until, |organisation| {
            is_held_elsewhere(organisation, plan_limit(index, organisation).unwrap_or_default())
        })
    };
    quota.buckets.iter_mut().filter_map(report).collect()
}

/// Returns the share and the tokens, in thousandths, that this instance holds of an organisation's rate.
pub fn held(quota: &Quota, now: Instant, organisation: &OrganisationName) -> Option<(Share, u64)> {
    if now >= quota.lease_until {
        return None;
    }
    let bucket = quota.buckets.get(organisation)?;
    Some((bucket.share, bucket.tokens_milli()))
}

fn plan_limit(index: &Index, organisation: &OrganisationName) -> Option<Share> {
    index.organisation(organisation).map(|entry| entry.limit)
}
