//! The quota of one organisation: its plan, the allocated total and the leader's reserve.

use {
    super::holder::{Fraction, Grant, Holding, WHOLE_PPB},
    crate::timing::CLOCK_DRIFT_PER_MILLE,
    cumincart_protocol::{
        heartbeat::{Share, ShareReport},
        name::OrganisationName,
        sorted::Keyed,
        time::Instant,
    },
};

/// One token, in thousandths.
pub const TOKEN_MILLI: u64 = 1_000;

const NANO_PER_MILLI: u64 = 1_000_000;

/// The fraction of a rate that may be allocated. The rest allows for holders whose clocks run fast.
const MAX_RATE_FRACTION_PPB: u64 = WHOLE_PPB * 1_000 / (1_000 + CLOCK_DRIFT_PER_MILLE);

/// The quota of one organisation.
#[derive(Debug)]
pub struct OrganisationQuota {
    /// The organisation.
    pub organisation: OrganisationName,
    /// The limit of the organisation's plan.
    pub limit: Share,
    /// The maximum that may be allocated: the limit, with the rate reduced so that holders with fast clocks
    /// do not exceed the limit.
    pub allocatable: Share,
    /// The total that holders hold or may hold.
    pub allocated: Share,
    /// The total of the fractions that holders hold or may hold.
    pub fractions: Fraction,
    /// The total demand of all holders.
    pub demand_milli_per_s: u64,
    /// The total demand of all holders above their parts of the floor.
    pub excess_demand_milli_per_s: u64,
    /// The total of tokens in outstanding grants that count against the reserve's capacity.
    pub tokens_in_flight_milli: u64,
    /// The total of requests that wait for a token.
    pub waiting_requests: u64,
    /// The number of holders with demand.
    pub holders_with_demand: u64,
    /// The time since which demand exceeds the plan.
    pub overloaded_since: Option<Instant>,
    /// What holders have confirmed or reported to a new leader, while shares of an earlier leader may exist that it
    /// doesn't know of; none at other times. Only this much may be allocated. A share that is only reported counts here
    /// as long as it counts as allocated, so it can't be moved: the report may be older than a grant of the earlier leader
    /// that gave the share to another holder. A holder that confirms it under this leader still had it.
    adopted: Option<Adopted>,
    /// The tokens in the reserve, in billionths.
    reserve_nano: u64,
    refilled_at: Instant,
    /// Whether a grant has raised the allocation above the plan.
    overallocated: bool,
}

/// A total of shares of earlier leaders.
#[derive(Debug, Clone, Copy, Default)]
struct Adopted {
    share: Share,
    fractions: Fraction,
}

impl Keyed for OrganisationQuota {
    type Key = OrganisationName;

    fn key(&self) -> &OrganisationName {
        &self.organisation
    }
}

impl OrganisationQuota {
    /// Returns a quota with an empty plan. Its reserve starts to fill at `from`. While the ledger is `recovering`, only
    /// adopted shares can be granted.
    pub fn new(organisation: OrganisationName, from: Instant, recovering: bool) -> Self {
        Self {
            organisation,
            limit: Share::default(),
            allocatable: Share::default(),
            allocated: Share::default(),
            fractions: Fraction::default(),
            demand_milli_per_s: 0,
            excess_demand_milli_per_s: 0,
            tokens_in_flight_milli: 0,
            waiting_requests: 0,
            holders_with_demand: 0,
            overloaded_since: None,
            adopted: recovering.then(Adopted::default),
            reserve_nano: 0,
            refilled_at: from,
            overallocated: false,
        }
    }

    /// Sets the limit of the plan. `refill` must have been called before, so that the elapsed time counts at
    /// the old rate.
    pub fn set_limit(&mut self, limit: Share) {
        self.limit = limit;
        self.allocatable = Share {
            rate_milli_per_s: limit.rate_milli_per_s * 1_000 / (1_000 + CLOCK_DRIFT_PER_MILLE),
            burst_milli: limit.burst_milli,
        };
    }

    /// Returns whether the plan is large enough to be divided among the holders with demand.
    pub fn is_divisible(&self) -> bool {
        self.allocatable.is_divisible_among(self.holders_with_demand)
    }

    /// Returns what may still be allocated: within the allocatable maximum, and so that the holders'
    /// fractions do not add up to more than 1. While the ledger recovers, both are also limited by what was adopted.
    pub fn unallocated(&self) -> Share {
        let (mut share_max, mut rate_max_ppb, mut burst_max_ppb) =
            (self.allocatable, MAX_RATE_FRACTION_PPB, WHOLE_PPB);
        if let Some(adopted) = self.adopted {
            share_max.rate_milli_per_s = share_max.rate_milli_per_s.min(adopted.share.rate_milli_per_s);
            share_max.burst_milli = share_max.burst_milli.min(adopted.share.burst_milli);
            rate_max_ppb = rate_max_ppb.min(adopted.fractions.rate_ppb);
            burst_max_ppb = burst_max_ppb.min(adopted.fractions.burst_ppb);
        }
        let rate_left_ppb = rate_max_ppb.saturating_sub(self.fractions.rate_ppb);
        let burst_left_ppb = burst_max_ppb.saturating_sub(self.fractions.burst_ppb);
        let rate_left = share_max.rate_milli_per_s.saturating_sub(self.allocated.rate_milli_per_s);
        let burst_left = share_max.burst_milli.saturating_sub(self.allocated.burst_milli);
        Share {
            rate_milli_per_s: rate_left.min(apply_ppb(rate_left_ppb, self.limit.rate_milli_per_s)),
            burst_milli: burst_left.min(apply_ppb(burst_left_ppb, self.limit.burst_milli)),
        }
    }

    /// Returns what a confirmed share amounts to under the current limit.
    pub fn effective_share(&self, holding: &Holding) -> Share {
        let held = holding.confirmed.share;
        let fraction = holding.confirmed.fraction();
        Share {
            rate_milli_per_s: held
                .rate_milli_per_s
                .min(apply_ppb(fraction.rate_ppb, self.limit.rate_milli_per_s)),
            burst_milli: held.burst_milli.min(apply_ppb(fraction.burst_ppb, self.limit.burst_milli)),
        }
    }

    /// Refills the reserve up to `now`, at the unallocated rate and up to the unallocated burst. Tokens in
    /// flight still count against the reserve's capacity.
    pub fn refill(&mut self, now: Instant) {
        let elapsed_micros = now.as_micros().saturating_sub(self.refilled_at.as_micros());
        let unallocated = self.unallocated();
        let gained = elapsed_micros.saturating_mul(unallocated.rate_milli_per_s);
        let capacity_milli = unallocated.burst_milli.saturating_sub(self.tokens_in_flight_milli);
        self.reserve_nano = self.reserve_nano.saturating_add(gained).min(capacity_milli * NANO_PER_MILLI);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Counts an earlier leader's share as one that may be moved.
    pub fn adopt(&mut self, share: &Grant) {
        let Some(adopted) = &mut self.adopted else { return };
        let fraction = share.fraction();
        adopted.share.rate_milli_per_s += share.share.rate_milli_per_s;
        adopted.share.burst_milli += share.share.burst_milli;
        adopted.fractions.rate_ppb += fraction.rate_ppb;
        adopted.fractions.burst_ppb += fraction.burst_ppb;
    }

    fn disown(&mut self, share: &Grant) {
        let Some(adopted) = &mut self.adopted else { return };
        let fraction = share.fraction();
        adopted.share.rate_milli_per_s -= share.share.rate_milli_per_s;
        adopted.share.burst_milli -= share.share.burst_milli;
        adopted.fractions.rate_ppb -= fraction.rate_ppb;
        adopted.fractions.burst_ppb -= fraction.burst_ppb;
    }

    /// Ends the recovery: no unknown shares exist, so all of the plan can be granted. The reserve gains from the rest
    /// of the rate from `now` on.
    pub fn end_recovery(&mut self, now: Instant) {
        self.refill(now);
        self.adopted = None;
    }

    /// Returns the tokens in the reserve, in thousandths.
    pub fn reserve_milli(&self) -> u64 {
        self.reserve_nano / NANO_PER_MILLI
    }

    /// Updates the time since which demand exceeds the plan.
    pub fn update_overload(&mut self, now: Instant) {
        if self.demand_milli_per_s <= self.allocatable.rate_milli_per_s {
            self.overloaded_since = None;
        } else if self.overloaded_since.is_none() {
            self.overloaded_since = Some(now);
        }
    }

    /// Subtracts a holding from the totals. Called before the holding changes.
    pub fn subtract(&mut self, holding: &Holding) {
        let max_share = holding.max_share();
        self.allocated.rate_milli_per_s -= max_share.rate_milli_per_s;
        self.allocated.burst_milli -= max_share.burst_milli;
        let fraction = holding.max_fraction();
        self.fractions.rate_ppb -= fraction.rate_ppb;
        self.fractions.burst_ppb -= fraction.burst_ppb;
        self.demand_milli_per_s -= holding.demand_milli_per_s;
        self.excess_demand_milli_per_s -= holding.excess_demand_milli_per_s;
        self.waiting_requests -= holding.waiting_requests;
        self.holders_with_demand -= u64::from(holding.has_demand());
        self.tokens_in_flight_milli -= holding.tokens_in_flight_milli();
        if let Some(reported) = &holding.reported {
            self.disown(reported);
        }
    }

    /// Adds a holding to the totals. Called after the holding has changed.
    pub fn add(&mut self, holding: &Holding) {
        let max_share = holding.max_share();
        self.allocated.rate_milli_per_s += max_share.rate_milli_per_s;
        self.allocated.burst_milli += max_share.burst_milli;
        let fraction = holding.max_fraction();
        self.fractions.rate_ppb += fraction.rate_ppb;
        self.fractions.burst_ppb += fraction.burst_ppb;
        self.demand_milli_per_s += holding.demand_milli_per_s;
        self.excess_demand_milli_per_s += holding.excess_demand_milli_per_s;
        self.waiting_requests += holding.waiting_requests;
        self.holders_with_demand += u64::from(holding.has_demand());
        self.tokens_in_flight_milli += holding.tokens_in_flight_milli();
        if let Some(reported) = &holding.reported {
            self.adopt(reported);
        }
    }

    /// Adds the tokens that a holder has returned since its last report to the reserve. The first report of a
    /// holder, and any report without `may_credit` (made under older lists), only sets the total that later
    /// reports are compared with.
    pub fn credit_returned_tokens(&mut self, holding: &mut Holding, report: &ShareReport, may_credit: bool) {
        if let Some(before) = holding.returned_milli.filter(|_| may_credit) {
            // No holder can return more than a whole burst; a faulty report must not create tokens.
            let returned_milli =
                report.returned_milli.saturating_sub(before).min(self.allocatable.burst_milli);
            self.reserve_nano += returned_milli * NANO_PER_MILLI;
        }
        holding.returned_milli = Some(report.returned_milli);
    }

    /// Records a grant as outstanding and takes its tokens from the reserve.
    pub fn record_grant(&mut self, holding: &mut Holding, grant: Grant) {
        let (allocated_before, fractions_before) = (self.allocated, self.fractions);
        self.subtract(holding);
        holding.outstanding = Some(grant);
        self.add(holding);
        self.reserve_nano = self.reserve_nano.saturating_sub(grant.tokens_milli * NANO_PER_MILLI);
        self.overallocated |= is_raised_above(
            self.allocated.rate_milli_per_s,
            allocated_before.rate_milli_per_s,
            self.allocatable.rate_milli_per_s,
        );
        self.overallocated |= is_raised_above(
            self.allocated.burst_milli,
            allocated_before.burst_milli,
            self.allocatable.burst_milli,
        );
        self.overallocated |=
            is_raised_above(self.fractions.rate_ppb, fractions_before.rate_ppb, MAX_RATE_FRACTION_PPB);
        self.overallocated |=
            is_raised_above(self.fractions.burst_ppb, fractions_before.burst_ppb, WHOLE_PPB);
    }

    /// Returns whether a grant has ever raised the allocation above the plan.
    pub fn is_overallocated(&self) -> bool {
        self.overallocated
    }
}

fn is_raised_above(after: u64, before: u64, limit: u64) -> bool {
    after > before && after > limit
}

fn apply_ppb(fraction_ppb: u64, whole: u64) -> u64 {
    let part = u128::from(fraction_ppb) * u128::from(whole) / u128::from(WHOLE_PPB);
    u64::try_from(part).unwrap_or(u64::MAX)
}
