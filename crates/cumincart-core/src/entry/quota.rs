//! This instance's shares of organisations' rates and bursts.
//!
//! Each share is a token bucket. Its tokens are part of the organisation's one budget: the leader's ledger
//! (`control::shares`) sees to it that all shares together never exceed the plan. A request that finds no token
//! waits a little, since the leader can often send one.

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

/// The longest time that a request waits for a token, in milliseconds.
pub const QUOTA_WAIT_MS: u64 = 1_000;

/// The token buckets and the requests that wait for a token.
#[derive(Debug, Default)]
pub struct Quota {
    /// The plans' limits, as the lists in force here state them.
    index: Arc<Index>,
    /// The end of the lease on all shares.
    lease_until: Instant,
    /// One bucket for each organisation seen or granted.
    buckets: SortedVec<Bucket>,
    /// Requests that wait, over all buckets.
    waiting: usize,
    /// Requests that a grant's tokens reached and that `released` has not named yet.
    ready: Vec<(Ticket, QuotaDecision)>,
}

/// What became of a request for a token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaDecision {
    /// A token was taken.
    Admitted,
    /// A token may come within the request's deadline; `released` will name the ticket.
    Waiting,
    /// No token can be there before this long.
    Refused {
        /// The time after which a token can be there.
        retry_after_ms: u64,
    },
}

/// Asks for one token for a request that must start before `deadline`.
pub fn acquire(
    quota: &mut Quota,
    now: Instant,
    organisation: &OrganisationName,
    ticket: Ticket,
    deadline: Instant,
) -> QuotaDecision {
    acquire_with_priority(quota, now, organisation, ticket, deadline, 0)
}

/// The same for a request that goes before waiting ones of a lower priority, which is a greater number: where the rate
/// is used up, its tokens go to what matters most.
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
    let Some(plan) = plan_of(&quota.index, organisation) else {
        return QuotaDecision::Refused { retry_after_ms: HEARTBEAT_INTERVAL_MS };
    };
    let bucket = quota.buckets.get_or_insert_with(organisation, || Bucket::new(organisation.clone(), now));
    bucket.demand.count(now);
    bucket.refill(now);
    if bucket.waiting.is_empty() && bucket.take_token() {
        return QuotaDecision::Admitted;
    }
    let wait_until = deadline.min(now + Duration::from_millis(QUOTA_WAIT_MS));
    if !bucket.may_wait(now, wait_until, plan, priority) {
        return QuotaDecision::Refused { retry_after_ms: bucket.retry_after_ms(now, plan) };
    }
    let place = bucket.place_of(priority);
    bucket.waiting.insert(place, Waiter { ticket, until: wait_until, priority });
    quota.waiting += 1;
    QuotaDecision::Waiting
}

/// Takes the waiting requests that a token or their deadline has reached, with what became of each.
pub fn take_decisions(quota: &mut Quota, now: Instant) -> Vec<(Ticket, QuotaDecision)> {
    let mut out = std::mem::take(&mut quota.ready);
    let ready = out.len();
    if quota.waiting == 0 {
        return out;
    }
    let leased = now < quota.lease_until;
    for bucket in quota.buckets.iter_mut().filter(|bucket| !bucket.waiting.is_empty()) {
        let plan = plan_of(&quota.index, &bucket.organisation);
        bucket.release(now, plan.filter(|_| leased), &mut out);
    }
    quota.waiting -= out.len() - ready;
    out
}

/// Drops a waiting request that nobody waits for any more.
pub fn cancel(quota: &mut Quota, ticket: Ticket) {
    for bucket in quota.buckets.iter_mut() {
        let before = bucket.waiting.len();
        bucket.waiting.retain(|waiter| waiter.ticket != ticket);
        quota.waiting -= before - bucket.waiting.len();
    }
}

/// Whether a request waits that this instance's own share can't serve soon and the leader may help, so that a heartbeat
/// should go out now.
pub fn needs_tokens(quota: &Quota, now: Instant) -> bool {
    quota.waiting > 0 && quota.buckets.iter().any(|bucket| bucket.needs_tokens(now))
}

/// Whether the leader should hear now that an organisation's demand here has moved.
pub fn demand_has_moved(quota: &Quota, now: Instant) -> bool {
    quota.buckets.iter().any(|bucket| bucket.demand_has_moved(now))
}

/// Whether a grant lowered a share and the leader waits to hear of it.
pub fn has_unreported_grant(quota: &Quota) -> bool {
    quota.buckets.iter().any(|bucket| bucket.lowered)
}

/// Gives up every share whose lease has run out. Waiting requests stay until `released` refuses them.
pub fn drop_expired(quota: &mut Quota, now: Instant) {
    if now < quota.lease_until {
        return;
    }
    for bucket in quota.buckets.iter_mut() {
        bucket.void(now);
    }
}

/// Gives up every share, before a planned stop is reported.
pub fn drop_all(quota: &mut Quota, now: Instant) {
    quota.lease_until = Instant::ZERO;
    drop_expired(quota, now);
}

/// Puts new limits of the lists in force: a share shrinks with its plan at once, before the leader's next grant.
pub fn on_lists(quota: &mut Quota, now: Instant, index: &Arc<Index>) {
    if Arc::ptr_eq(&quota.index, index) {
        return;
    }
    for bucket in quota.buckets.iter_mut() {
        bucket.limit_to(now, plan_of(index, &bucket.organisation).unwrap_or_default());
    }
    quota.index = index.clone();
}

/// Gives up every share that a leader of another term than `control_term` granted. What an earlier leader granted last
/// is unknown to the new one, which confirms with grants of its own what it was told of.
pub fn drop_other_terms(quota: &mut Quota, now: Instant, control_term: ControlTerm) {
    for bucket in quota.buckets.iter_mut() {
        if !bucket.granted_in(control_term) {
            bucket.void(now);
        }
    }
}

/// Takes grants and the lease on all shares.
pub fn on_grants(quota: &mut Quota, now: Instant, lease_until: Instant, grants: &[ShareGrant]) {
    quota.lease_until = lease_until;
    let ready = quota.ready.len();
    for grant in grants {
        let bucket = quota
            .buckets
            .get_or_insert_with(&grant.organisation, || Bucket::new(grant.organisation.clone(), now));
        let limit = plan_of(&quota.index, &grant.organisation).unwrap_or_default();
        bucket.apply(now, limit, grant, &mut quota.ready);
    }
    quota.waiting -= quota.ready.len() - ready;
}

/// What the next heartbeat tells: of every organisation with traffic or holdings, or only of those with news where the
/// leader knows what was told until `told`.
pub fn report(quota: &mut Quota, now: Instant, told: Option<Instant>) -> Vec<ShareReport> {
    drop_expired(quota, now);
    quota.buckets.iter_mut().filter_map(|bucket| bucket.report(now, told)).collect()
}

/// The share and the tokens, in thousandths, that this instance holds of an organisation's rate.
pub fn held(quota: &Quota, now: Instant, organisation: &OrganisationName) -> Option<(Share, u64)> {
    if now >= quota.lease_until {
        return None;
    }
    let bucket = quota.buckets.get(organisation)?;
    Some((bucket.share, bucket.tokens_milli()))
}

fn plan_of(index: &Index, organisation: &OrganisationName) -> Option<Share> {
    index.organisation(organisation).map(|entry| entry.limit)
}
