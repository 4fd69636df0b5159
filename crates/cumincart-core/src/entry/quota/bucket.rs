//! One organisation's token bucket at one instance.

use {
    super::{QUOTA_WAIT_MS, QuotaDecision, demand::Demand},
    crate::entry::Ticket,
    cumincart_protocol::{
        heartbeat::{Share, ShareGrant, ShareReport, grant_term},
        name::OrganisationName,
        number::ControlTerm,
        sorted::Keyed,
        time::Instant,
    },
    std::{collections::VecDeque, time::Duration},
};

/// One token in the unit of a bucket's level, billionths of a token. A rate in thousandths of a token per
/// second, multiplied by microseconds, gives this unit.
const TOKEN_NANO: u64 = 1_000_000_000;

const NANO_PER_MILLI: u64 = 1_000_000;

/// One token in thousandths.
const TOKEN_MILLI: u64 = 1_000;

/// Demand is reported again when it has changed by more than the last report divided by this.
const REPORTED_DEMAND_DIVISOR: u64 = 8;

/// The instance asks the leader for a token if its own share cannot serve a waiting request within this time,
/// in milliseconds.
const OWN_SHARE_WAIT_MS: u64 = 200;

/// The demand, in thousandths of a request per second, up to which a change is not reported unless it is from
/// or to zero. A share is never too small to serve this much, and with many organisations such changes would
/// make up most reports.
const SMALL_DEMAND_MILLI_PER_S: u64 = 1_000;

/// The time for which a bucket keeps tokens for its own demand when it lends to other instances, in milliseconds. More
/// would leave tokens of a small plan unused at every holder.
const LENDER_COVER_MS: u64 = 100;

/// The time for which a full bucket keeps tokens for its own demand when it returns tokens to the leader, in
/// milliseconds. Covers the time without a leader that an election usually takes.
const KEPT_COVER_MS: u64 = 1_500;

/// How long no token is borrowed after every lender has refused, in milliseconds. Bounds the messages of an
/// organisation that has no token anywhere.
const BORROW_PAUSE_MS: u64 = 100;

/// The time for which tokens are kept back for the demand of higher priorities while demand exceeds the share, in
/// milliseconds. About the time that a request may wait for a token.
const PRIORITY_COVER_MS: u64 = 300;

/// The arrivals of one priority.
#[derive(Debug)]
struct PriorityDemand {
    priority: u32,
    demand: Demand,
}

/// A request that waits for a token.
#[derive(Debug)]
pub struct Waiter {
    /// The request.
    pub ticket: Ticket,
    /// The time at which the request is refused if it has not been admitted.
    pub until: Instant,
    /// The priority among waiting requests; 0 goes first.
    pub priority: u32,
}

/// A report and when it was made.
#[derive(Debug)]
struct Reported {
    at: Instant,
    report: ShareReport,
}

/// A share of one organisation's rate and burst, and its current tokens.
#[derive(Debug)]
pub struct Bucket {
    /// The organisation.
    pub organisation: OrganisationName,
    /// The number of the grant in force; 0 for none.
    pub grant_number: u64,
    /// The share as granted.
    granted: Share,
    /// The organisation's whole limit that the grant was computed from.
    basis: Share,
    /// The share in force: the granted one, scaled down where the lists allow less than `basis`.
    pub share: Share,
    /// Whether a grant has lowered the share since the last report.
    pub lowered: bool,
    /// Whether the next report must include this bucket even if it is idle.
    must_report: bool,
    /// The level in billionths of a token.
    tokens_nano: u64,
    refilled_at: Instant,
    /// Tokens returned to the leader since the start of this process, in thousandths.
    returned_milli: u64,
    /// The earliest time at which the leader's reserve may have a token for this instance.
    reserve_available_at: Instant,
    /// The time until which the leader expects no token for this organisation at any instance.
    over_limit_until: Instant,
    /// The earliest time at which other instances may have a token to lend.
    lenders_available_at: Instant,
    /// The rate of arrivals.
    pub demand: Demand,
    /// The rate of arrivals of each priority, sorted by priority.
    priorities: Vec<PriorityDemand>,
    last_report: Option<Reported>,
    /// The waiting requests, by priority and then in order of arrival.
    pub waiting: VecDeque<Waiter>,
}

impl Keyed for Bucket {
    type Key = OrganisationName;

    fn key(&self) -> &OrganisationName {
        &self.organisation
    }
}

impl Bucket {
    /// Creates an empty bucket without a share.
    pub fn new(organisation: OrganisationName, now: Instant) -> Self {
        Self {
            organisation,
            grant_number: 0,
            granted: Share::default(),
            basis: Share::default(),
            share: Share::default(),
            lowered: false,
            must_report: false,
            tokens_nano: 0,
            refilled_at: now,
            returned_milli: 0,
            reserve_available_at: now,
            over_limit_until: now,
            lenders_available_at: now,
            demand: Demand::new(now),
            priorities: Vec::new(),
            last_report: None,
            waiting: VecDeque::new(),
        }
    }

    /// Adds the tokens accrued since the last refill, up to the share's burst.
    pub fn refill(&mut self, now: Instant) {
        let elapsed_micros = micros_between(self.refilled_at, now);
        let gained = elapsed_micros.saturating_mul(self.share.rate_milli_per_s);
        self.tokens_nano = self.tokens_nano.saturating_add(gained).min(self.capacity_nano());
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Counts the arrival of a request.
    pub fn record_arrival(&mut self, now: Instant, priority: u32) {
        self.demand.record_arrival(now);
        let position = match self.priorities.binary_search_by_key(&priority, |entry| entry.priority) {
            Ok(position) => position,
            Err(position) => {
                self.priorities.insert(position, PriorityDemand { priority, demand: Demand::new(now) });
                position
            }
        };
        self.priorities[position].demand.record_arrival(now);
    }

    /// Takes one token for a request of this priority, if there is one that isn't kept back for a higher priority.
    pub fn take_token_for(&mut self, priority: u32) -> bool {
        self.tokens_nano >= TOKEN_NANO + self.kept_back_nano(priority) && self.take_token()
    }

    /// Returns the tokens that are kept back from a priority for the demand of higher ones, in billionths; none while
    /// this instance's share suffices for all its demand.
    fn kept_back_nano(&self, priority: u32) -> u64 {
        if self.demand.last_average() <= self.share.rate_milli_per_s {
            return 0;
        }
        let higher = self.priorities.iter().take_while(|entry| entry.priority < priority);
        let milli_per_s: u64 = higher.map(|entry| entry.demand.last_average()).sum();
        let most = (self.capacity_nano() / 2).min(self.capacity_nano().saturating_sub(TOKEN_NANO));
        (milli_per_s.saturating_mul(PRIORITY_COVER_MS) / 1_000 * NANO_PER_MILLI).min(most)
    }

    /// Takes one token if there is one.
    fn take_token(&mut self) -> bool {
        if self.tokens_nano < TOKEN_NANO {
            return false;
        }
        self.tokens_nano -= TOKEN_NANO;
        true
    }

    /// Takes one token for another instance, if enough are left for this instance's own requests.
    pub fn lend_token(&mut self, now: Instant) -> bool {
        self.refill(now);
        let kept_nano = self.demand_nano(LENDER_COVER_MS);
        self.waiting.is_empty() && self.tokens_nano >= TOKEN_NANO + kept_nano && self.take_token()
    }

    /// Whether other instances may have a token to lend for a request that finds none here.
    pub fn may_borrow(&self, now: Instant) -> bool {
        now >= self.lenders_available_at && !self.is_over_limit(now)
    }

    /// Records that no other instance has a token to lend.
    pub fn on_no_loan(&mut self, now: Instant) {
        self.lenders_available_at = now + Duration::from_millis(BORROW_PAUSE_MS);
    }

    /// Whether the leader expects no token for this organisation at any instance within the time that a request may
    /// wait, because the organisation's demand exceeds its limit.
    pub fn is_over_limit(&self, now: Instant) -> bool {
        now < self.over_limit_until
    }

    /// Returns the tokens that this instance's own demand uses in a time, in billionths.
    fn demand_nano(&self, cover_ms: u64) -> u64 {
        self.demand.last_average().saturating_mul(cover_ms) / 1_000 * NANO_PER_MILLI
    }

    /// Returns the level in thousandths of a token, rounded down.
    pub fn tokens_milli(&self) -> u64 {
        self.tokens_nano / NANO_PER_MILLI
    }

    /// Whether the grant in force is from the leader of this term; true without a grant.
    pub fn is_granted_in(&self, control_term: ControlTerm) -> bool {
        self.grant_number == 0 || grant_term(self.grant_number) == control_term
    }

    /// Whether a token may become available for one more request before `until`, from this share or from the
    /// leader's reserve.
    pub fn may_wait(&self, now: Instant, until: Instant, plan: Share, priority: u32) -> bool {
        if self.own_token_at(now, self.position_of(priority)).is_some_and(|at| at <= until) {
            return true;
        }
        let queue_limit = (plan.rate_milli_per_s * QUOTA_WAIT_MS / (TOKEN_MILLI * 1_000)).max(1);
        self.reserve_available_at <= until && (self.waiting.len() as u64) < queue_limit
    }

    /// Returns the position of a new request of this priority among the waiting ones.
    pub fn position_of(&self, priority: u32) -> usize {
        self.waiting.partition_point(|waiter| waiter.priority <= priority)
    }

    /// Whether a request waits that this share can't serve soon while the leader's reserve may have a token.
    pub fn needs_tokens(&self, now: Instant) -> bool {
        if self.waiting.is_empty() || self.reserve_available_at > now {
            return false;
        }
        let soon = now + Duration::from_millis(OWN_SHARE_WAIT_MS);
        self.own_token_at(now, self.waiting.len()).is_none_or(|at| at > soon)
    }

    /// Whether demand has changed so much that a heartbeat should report it now.
    pub fn demand_has_changed(&self, now: Instant) -> bool {
        self.demand.is_significant_change(now)
    }

    /// Returns the time until a token can be available for a request behind all waiting ones, in
    /// milliseconds.
    pub fn retry_after_ms(&self, now: Instant, plan: Share) -> u64 {
        let reserve_available_at = self.reserve_available_at.max(now + interval_of(plan));
        let at = self
            .own_token_at(now, self.waiting.len())
            .map_or(reserve_available_at, |own| own.min(reserve_available_at));
        millis_between(now, at).max(1)
    }

    /// Refuses the waiting requests whose wait has timed out, then admits others in order while there are
    /// tokens. Without a plan all are refused.
    pub fn decide_waiting(
        &mut self,
        now: Instant,
        plan: Option<Share>,
        out: &mut Vec<(Ticket, QuotaDecision)>,
    ) {
        let Some(plan) = plan else {
            let refused = QuotaDecision::Refused { retry_after_ms: QUOTA_WAIT_MS };
            out.extend(self.waiting.drain(..).map(|waiter| (waiter.ticket, refused)));
            return;
        };
        self.refill(now);
        let retry_after_ms = self.retry_after_ms(now, plan);
        self.waiting.retain(|waiter| {
            let expired = waiter.until <= now;
            if expired {
                out.push((waiter.ticket, QuotaDecision::Refused { retry_after_ms }));
            }
            !expired
        });
        self.admit_waiting(now, out);
    }

    /// Applies a grant if it replaces the one in force, and admits the requests that its tokens suffice for.
    pub fn apply(
        &mut self,
        now: Instant,
        limit: Share,
        grant: &ShareGrant,
        out: &mut Vec<(Ticket, QuotaDecision)>,
    ) {
        if grant.grant_number == self.grant_number {
            self.must_report = true;
            return;
        }
        if grant.replaces != self.grant_number {
            return;
        }
        self.refill(now);
        self.must_report = true;
        self.grant_number = grant.grant_number;
        self.reserve_available_at = now + Duration::from_millis(grant.next_token_ms);
        self.over_limit_until =
            if grant.next_token_ms > QUOTA_WAIT_MS { self.reserve_available_at } else { now };
        self.lowered = is_lower(grant.share, self.granted);
        self.granted = grant.share;
        self.basis = grant.basis;
        let tokens_milli = scaled(grant.tokens_milli, self.basis.burst_milli, limit.burst_milli);
        self.tokens_nano += tokens_milli * NANO_PER_MILLI;
        self.admit_waiting(now, out);
        self.scale_to(limit);
        self.return_surplus();
    }

    /// Applies the limit of new lists. Tokens beyond the new burst are dropped, since the whole budget has
    /// shrunk.
    pub fn apply_limit(&mut self, now: Instant, limit: Share) {
        self.refill(now);
        self.scale_to(limit);
        self.tokens_nano = self.tokens_nano.min(self.capacity_nano());
    }

    /// Scales the share in force down where the lists allow less than the grant's basis.
    fn scale_to(&mut self, limit: Share) {
        self.share = Share {
            rate_milli_per_s: scaled(
                self.granted.rate_milli_per_s,
                self.basis.rate_milli_per_s,
                limit.rate_milli_per_s,
            ),
            burst_milli: scaled(self.granted.burst_milli, self.basis.burst_milli, limit.burst_milli),
        };
    }

    /// Drops the share and all tokens.
    pub fn clear(&mut self, now: Instant) {
        self.grant_number = 0;
        self.granted = Share::default();
        self.basis = Share::default();
        self.share = Share::default();
        self.tokens_nano = 0;
        self.refilled_at = self.refilled_at.max(now);
        self.reserve_available_at = now;
        self.over_limit_until = now;
        self.must_report = true;
    }

    /// Returns the report for the next heartbeat; none for a bucket that is idle and holds nothing, nor for
    /// one whose last report the leader has acknowledged and that has not changed since. Demand is left out if another
    /// instance holds the tokens.
    pub fn report(
        &mut self,
        now: Instant,
        acknowledged_until: Option<Instant>,
        is_held_elsewhere: impl Fn(&OrganisationName) -> bool,
    ) -> Option<ShareReport> {
        let mut demand_milli_per_s = self.demand.average(now);
        if demand_milli_per_s > 0 && is_held_elsewhere(&self.organisation) {
            demand_milli_per_s = 0;
        }
        for entry in &mut self.priorities {
            entry.demand.average(now);
        }
        let has_no_demand = demand_milli_per_s == 0 && self.last_demand_milli_per_s() == 0;
        let idle = has_no_demand && self.waiting.is_empty() && self.granted == Share::default();
        if idle && !self.must_report {
            return None;
        }
        let report = self.report_of(demand_milli_per_s);
        if !self.must_report && self.is_known(&report, acknowledged_until) {
            return None;
        }
        if acknowledged_until.is_some() {
            self.return_idle_tokens(now);
        }
        let report = ShareReport { returned_milli: self.returned_milli, ..report };
        self.must_report = false;
        self.lowered = false;
        self.last_report = Some(Reported { at: now, report: report.clone() });
        Some(report)
    }

    fn report_of(&self, demand_milli_per_s: u64) -> ShareReport {
        ShareReport {
            organisation: self.organisation.clone(),
            grant_number: self.grant_number,
            held: self.granted,
            basis: self.basis,
            demand_milli_per_s,
            waiting: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
            returned_milli: self.returned_milli,
        }
    }

    fn last_demand_milli_per_s(&self) -> u64 {
        self.last_report.as_ref().map_or(0, |last| last.report.demand_milli_per_s)
    }

    /// Whether the leader has acknowledged a report that says nearly the same.
    fn is_known(&self, report: &ShareReport, acknowledged_until: Option<Instant>) -> bool {
        let Some(last) =
            self.last_report.as_ref().filter(|last| acknowledged_until.is_some_and(|until| last.at <= until))
        else {
            return false;
        };
        let demand_milli_per_s = last.report.demand_milli_per_s;
        let is_small_change = report.demand_milli_per_s.abs_diff(demand_milli_per_s)
            <= demand_milli_per_s / REPORTED_DEMAND_DIVISOR;
        let are_small = report.demand_milli_per_s.max(demand_milli_per_s) <= SMALL_DEMAND_MILLI_PER_S
            && (report.demand_milli_per_s == 0) == (demand_milli_per_s == 0);
        (is_small_change || are_small)
            && report.waiting == 0
            && *report == ShareReport { demand_milli_per_s: report.demand_milli_per_s, ..last.report.clone() }
    }

    fn admit_waiting(&mut self, now: Instant, out: &mut Vec<(Ticket, QuotaDecision)>) {
        while let Some(first) = self.waiting.front() {
            let kept_back_nano = self.kept_back_nano(first.priority);
            if first.until <= now || self.tokens_nano < TOKEN_NANO + kept_back_nano {
                return;
            }
            out.push((first.ticket, QuotaDecision::Admitted));
            self.tokens_nano -= TOKEN_NANO;
            self.waiting.pop_front();
        }
    }

    /// Returns the upper half of a full bucket to the leader, because other instances may need it more, except for
    /// what this instance's own demand needs. Not called while no leader answers, since a new one doesn't count what
    /// was returned before its first report.
    fn return_idle_tokens(&mut self, now: Instant) {
        self.refill(now);
        let half_nano = self.capacity_nano() / 2;
        if self.waiting.is_empty() && self.tokens_nano >= self.capacity_nano() - TOKEN_NANO.min(half_nano) {
            let kept_nano = half_nano.max(self.demand_nano(KEPT_COVER_MS)).min(self.tokens_nano);
            let surplus_milli = (self.tokens_nano - kept_nano) / NANO_PER_MILLI;
            self.tokens_nano -= surplus_milli * NANO_PER_MILLI;
            self.returned_milli += surplus_milli;
        }
    }

    /// Returns the tokens beyond the burst to the leader.
    fn return_surplus(&mut self) {
        let surplus_milli = self.tokens_nano.saturating_sub(self.capacity_nano()) / NANO_PER_MILLI;
        self.tokens_nano = self.tokens_nano.min(self.capacity_nano());
        self.returned_milli += surplus_milli;
    }

    /// Returns when this share alone has a token for a request behind `ahead` others; none if it never has.
    fn own_token_at(&self, now: Instant, ahead: usize) -> Option<Instant> {
        if self.share.rate_milli_per_s == 0 || self.share.burst_milli < TOKEN_MILLI {
            return None;
        }
        let needed_nano = (ahead as u64 + 1) * TOKEN_NANO;
        let missing_nano = needed_nano.saturating_sub(self.tokens_nano);
        let micros = missing_nano.div_ceil(self.share.rate_milli_per_s);
        Some(now + Duration::from_micros(micros))
    }

    fn capacity_nano(&self) -> u64 {
        self.share.burst_milli.saturating_mul(NANO_PER_MILLI)
    }
}

/// Returns the time between two tokens at the plan's rate.
fn interval_of(plan: Share) -> Duration {
    Duration::from_micros((TOKEN_NANO).checked_div(plan.rate_milli_per_s).unwrap_or(u64::MAX))
}

fn scaled(value: u64, before: u64, after: u64) -> u64 {
    if after >= before {
        return value;
    }
    let scaled = u128::from(value) * u128::from(after) / u128::from(before);
    u64::try_from(scaled).unwrap_or(value)
}

fn is_lower(share: Share, than: Share) -> bool {
    share.rate_milli_per_s < than.rate_milli_per_s || share.burst_milli < than.burst_milli
}

fn micros_between(earlier: Instant, later: Instant) -> u64 {
    later.as_micros().saturating_sub(earlier.as_micros())
}

/// Returns the milliseconds from one instant to another, rounded up.
pub fn millis_between(earlier: Instant, later: Instant) -> u64 {
    micros_between(earlier, later).div_ceil(1_000)
}
