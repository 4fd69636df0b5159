//! One organisation's budget: its plan, what is allocated, and the leader's reserve.

use {
    super::holder::{Fraction, Granted, Holding, WHOLE_PPB},
    crate::timing::CLOCK_DRIFT_PER_MILLE,
    cumincart_protocol::{
        heartbeat::{Share, ShareReport},
        name::OrganisationName,
        sorted::Keyed,
        time::Instant,
    },
};

/// One token in thousandths.
pub const TOKEN_MILLI: u64 = 1_000;

const NANO_PER_MILLI: u64 = 1_000_000;

/// The part of a rate that may be allocated, so that no fast clock exceeds it.
const RATE_WHOLE_PPB: u64 = WHOLE_PPB * 1_000 / (1_000 + CLOCK_DRIFT_PER_MILLE);

/// One organisation's budget.
#[derive(Debug)]
pub struct Account {
    /// The organisation.
    pub organisation: OrganisationName,
    /// The plan's limit.
    pub limit: Share,
    /// What may be allocated in all: the plan, with the rate lowered so that no fast clock exceeds it.
    pub plan: Share,
    /// What holders hold or may hold.
    pub allocated: Share,
    /// The fractions of their bases that holders hold or may hold.
    pub fractions: Fraction,
    /// Demand in all.
    pub demand_milli_per_s: u64,
    /// Demand beyond the parts of failure domains, over all holders.
    pub excess_milli_per_s: u64,
    /// Tokens that are on their way to holders.
    pub tokens_in_flight_milli: u64,
    /// Requests that wait for a token, over all holders.
    pub waiting: u64,
    /// Holders with demand.
    pub askers: u64,
    /// Since when demand exceeds the plan.
    pub overloaded_since: Option<Instant>,
    /// The reserve's level in billionths of a token.
    reserve_nano: u64,
    settled_at: Instant,
    /// Whether a grant raised the allocation while it was beyond the plan.
    overdrawn: bool,
}

impl Keyed for Account {
    type Key = OrganisationName;

    fn key(&self) -> &OrganisationName {
        &self.organisation
    }
}

impl Account {
    /// An account with an empty plan, whose reserve fills from `from` on.
    pub fn new(organisation: OrganisationName, from: Instant) -> Self {
        Self {
            organisation,
            limit: Share::default(),
            plan: Share::default(),
            allocated: Share::default(),
            fractions: Fraction::default(),
            demand_milli_per_s: 0,
            excess_milli_per_s: 0,
            tokens_in_flight_milli: 0,
            waiting: 0,
            askers: 0,
            overloaded_since: None,
            reserve_nano: 0,
            settled_at: from,
            overdrawn: false,
        }
    }

    /// Takes a plan. The reserve must have been settled before.
    pub fn set_plan(&mut self, limit: Share) {
        self.limit = limit;
        self.plan = Share {
            rate_milli_per_s: limit.rate_milli_per_s * 1_000 / (1_000 + CLOCK_DRIFT_PER_MILLE),
            burst_milli: limit.burst_milli,
        };
    }

    /// Whether those with demand can each have a useful part of the plan.
    pub fn is_divisible(&self) -> bool {
        self.plan.is_divisible_among(self.askers)
    }

    /// What is not allocated and may be: within the plan, and within a whole of all holders' fractions.
    pub fn headroom(&self) -> Share {
        let rate_left_ppb = RATE_WHOLE_PPB.saturating_sub(self.fractions.rate_ppb);
        let burst_left_ppb = WHOLE_PPB.saturating_sub(self.fractions.burst_ppb);
        let rate_left = self.plan.rate_milli_per_s.saturating_sub(self.allocated.rate_milli_per_s);
        let burst_left = self.plan.burst_milli.saturating_sub(self.allocated.burst_milli);
        Share {
            rate_milli_per_s: rate_left.min(of_ppb(rate_left_ppb, self.limit.rate_milli_per_s)),
            burst_milli: burst_left.min(of_ppb(burst_left_ppb, self.limit.burst_milli)),
        }
    }

    /// What a holding is worth under the present limit.
    pub fn worth(&self, holding: &Holding) -> Share {
        let held = holding.confirmed.share;
        let fraction = holding.confirmed.fraction();
        Share {
            rate_milli_per_s: held
                .rate_milli_per_s
                .min(of_ppb(fraction.rate_ppb, self.limit.rate_milli_per_s)),
            burst_milli: held.burst_milli.min(of_ppb(fraction.burst_ppb, self.limit.burst_milli)),
        }
    }

    /// Brings the reserve up to now. It fills at the rate and up to the burst that are not allocated; tokens on their
    /// way count as if they were still in it.
    pub fn settle(&mut self, now: Instant) {
        let elapsed_micros = now.as_micros().saturating_sub(self.settled_at.as_micros());
        let room = self.headroom();
        let gained = elapsed_micros.saturating_mul(room.rate_milli_per_s);
        let capacity_milli = room.burst_milli.saturating_sub(self.tokens_in_flight_milli);
        self.reserve_nano = self.reserve_nano.saturating_add(gained).min(capacity_milli * NANO_PER_MILLI);
        self.settled_at = self.settled_at.max(now);
    }

    /// The reserve's tokens in thousandths.
    pub fn reserve_milli(&self) -> u64 {
        self.reserve_nano / NANO_PER_MILLI
    }

    /// Notes since when demand exceeds the plan.
    pub fn watch_overload(&mut self, now: Instant) {
        if self.demand_milli_per_s <= self.plan.rate_milli_per_s {
            self.overloaded_since = None;
        } else if self.overloaded_since.is_none() {
            self.overloaded_since = Some(now);
        }
    }

    /// Takes a holding out of the sums, before it changes.
    pub fn forget(&mut self, holding: &Holding) {
        let counted = holding.counted();
        self.allocated.rate_milli_per_s -= counted.rate_milli_per_s;
        self.allocated.burst_milli -= counted.burst_milli;
        let fraction = holding.counted_fraction();
        self.fractions.rate_ppb -= fraction.rate_ppb;
        self.fractions.burst_ppb -= fraction.burst_ppb;
        self.demand_milli_per_s -= holding.demand_milli_per_s;
        self.excess_milli_per_s -= holding.excess_milli_per_s;
        self.waiting -= holding.waiting;
        self.askers -= u64::from(holding.has_demand());
        self.tokens_in_flight_milli -= holding.tokens_in_flight_milli();
    }

    /// Puts a holding into the sums, after it has changed.
    pub fn count(&mut self, holding: &Holding) {
        let counted = holding.counted();
        self.allocated.rate_milli_per_s += counted.rate_milli_per_s;
        self.allocated.burst_milli += counted.burst_milli;
        let fraction = holding.counted_fraction();
        self.fractions.rate_ppb += fraction.rate_ppb;
        self.fractions.burst_ppb += fraction.burst_ppb;
        self.demand_milli_per_s += holding.demand_milli_per_s;
        self.excess_milli_per_s += holding.excess_milli_per_s;
        self.waiting += holding.waiting;
        self.askers += u64::from(holding.has_demand());
        self.tokens_in_flight_milli += holding.tokens_in_flight_milli();
    }

    /// Puts tokens that a holder has returned into the reserve, once. Without `counts`, the report only tells where the
    /// holder's total stands: so does its first one, and one that was made under older lists.
    pub fn take_returned(&mut self, holding: &mut Holding, report: &ShareReport, counts: bool) {
        if let Some(before) = holding.returned_milli.filter(|_| counts) {
            let returned_milli = report.returned_milli.saturating_sub(before);
            self.reserve_nano += returned_milli * NANO_PER_MILLI;
        }
        holding.returned_milli = Some(report.returned_milli);
    }

    /// Records a grant that is about to be sent and takes its tokens out of the reserve.
    pub fn grant(&mut self, holding: &mut Holding, granted: Granted) {
        let (before, fractions) = (self.allocated, self.fractions);
        self.forget(holding);
        holding.outstanding = Some(granted);
        self.count(holding);
        self.reserve_nano = self.reserve_nano.saturating_sub(granted.tokens_milli * NANO_PER_MILLI);
        self.overdrawn |=
            exceeds(self.allocated.rate_milli_per_s, before.rate_milli_per_s, self.plan.rate_milli_per_s);
        self.overdrawn |= exceeds(self.allocated.burst_milli, before.burst_milli, self.plan.burst_milli);
        self.overdrawn |= exceeds(self.fractions.rate_ppb, fractions.rate_ppb, RATE_WHOLE_PPB);
        self.overdrawn |= exceeds(self.fractions.burst_ppb, fractions.burst_ppb, WHOLE_PPB);
    }

    /// Whether a grant has ever raised the allocation beyond the plan.
    pub fn is_overdrawn(&self) -> bool {
        self.overdrawn
    }
}

fn exceeds(after: u64, before: u64, limit: u64) -> bool {
    after > before && after > limit
}

fn of_ppb(fraction_ppb: u64, whole: u64) -> u64 {
    let part = u128::from(fraction_ppb) * u128::from(whole) / u128::from(WHOLE_PPB);
    u64::try_from(part).unwrap_or(u64::MAX)
}
