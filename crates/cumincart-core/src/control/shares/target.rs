//! How the rate and burst of an organisation are divided among the entry instances.
//!
//! A tenth, the floor, is divided equally among the failure domains that have instances in service. The rest
//! follows demand. Up to half of the rate without demand goes to the holders with demand, and the leader's
//! reserve keeps the rest. If one instance of each failure domain holds the plan's tokens, there is no floor, and nearly
//! everything goes to the holders with demand, which lend each other tokens also while no leader answers. If a plan is too small to be divided among the holders with demand, all of it
//! stays in the reserve, which sends its tokens to instances with waiting requests.

use {
    super::{
        holder::{Grant, Holding},
        organisation_quota::{OrganisationQuota, TOKEN_MILLI},
    },
    crate::{
        entry::membership::HEARTBEAT_MIN_INTERVAL_MS, interactive::ownership, timing::HEARTBEAT_INTERVAL_MS,
    },
    cumincart_protocol::{heartbeat::Share, time::Instant},
    std::time::Duration,
};

/// The part of each rate and burst that is divided equally among the failure domains, in thousandths.
const FLOOR_PER_MILLE: u64 = 100;

/// The part of the burst above the floor that is divided by demand, in thousandths. The rest stays in the
/// reserve.
const BURST_SPREAD_PER_MILLE: u64 = 750;

/// The part of the rate without demand that is divided among the holders with demand, in thousandths.
const UNUSED_RATE_SPREAD_PER_MILLE: u64 = 500;

/// The same where holders lend each other tokens, in thousandths: of the burst and of the rate without demand.
const LENT_SPREAD_PER_MILLE: u64 = 900;

/// The time for which the burst above the floor may cover the holder's own demand, in milliseconds. Keeps the
/// first holder with demand from taking the whole burst.
const BURST_COVER_MS: u64 = 2_000;

/// A share changes only by more than its value divided by this number, so that small fluctuations cause no
/// grants.
const HYSTERESIS_DIVISOR: u64 = 16;

/// How long demand must exceed the plan before instances are made to refuse requests early, in milliseconds.
/// Demand that moves from one instance to another is counted at both for a short time.
const OVERLOAD_SETTLING_MS: u64 = 3 * HEARTBEAT_INTERVAL_MS;

/// The hint for an organisation whose demand has exceeded its plan for `OVERLOAD_SETTLING_MS`, in
/// milliseconds. No request waits this long, so instances refuse at once.
const OVERLOADED_NEXT_TOKEN_MS: u64 = 2_000;

/// The number of domains and instances that a share depends on.
#[derive(Debug, Clone, Copy)]
pub struct Topology {
    /// The number of failure domains with instances in service.
    pub domains: u64,
    /// The number of instances in service in the holder's failure domain.
    pub instances_in_domain: u64,
    /// The number of instances in service.
    pub instances: u64,
    /// Whether the holder is in service.
    pub in_service: bool,
}

impl Topology {
    /// Returns the holder's part of the floor of `total`.
    pub fn instance_floor(&self, total: u64) -> u64 {
        if !self.in_service {
            return 0;
        }
        let parts = self.domains.max(1) * self.instances_in_domain.max(1);
        total * FLOOR_PER_MILLE / 1_000 / parts
    }

    /// Returns whether one instance of each failure domain holds the plan's tokens for the others, and lends them.
    fn is_lent(&self, quota: &OrganisationQuota) -> bool {
        ownership::is_small_for(self.instances, self.domains, quota.limit)
    }
}

/// Returns the next grant for a holder, without its number. Returns none if the share is up to date and no
/// request waits.
pub fn next_grant(
    quota: &OrganisationQuota,
    holding: &Holding,
    topology: &Topology,
    now: Instant,
) -> Option<Grant> {
    let held = holding.confirmed.share;
    let has_current_basis = holding.confirmed.basis == quota.limit || held == Share::default();
    let share = next_share(quota, holding, topology, has_current_basis);
    let waiting_requests = if topology.in_service { holding.waiting_requests } else { 0 };
    if share == held && has_current_basis && waiting_requests == 0 {
        return None;
    }
    let tokens_milli = whole_tokens(quota.reserve_milli()).min(waiting_requests * TOKEN_MILLI);
    let unserved_requests = waiting_requests - tokens_milli / TOKEN_MILLI;
    let next_token_ms =
        if unserved_requests == 0 { 0 } else { next_token_ms(quota, topology, tokens_milli, now) };
    let tokens_milli = tokens_milli + tokens_of_share(quota, holding, share, tokens_milli);
    Some(Grant { share, basis: quota.limit, tokens_milli, next_token_ms, ..Grant::default() })
}

/// Returns the tokens to send along with a larger burst, besides the `taken_milli` for waiting requests: those for which
/// the reserve has no room once the burst is granted.
fn tokens_of_share(quota: &OrganisationQuota, holding: &Holding, share: Share, taken_milli: u64) -> u64 {
    let raised_milli = share.burst_milli.saturating_sub(holding.confirmed.share.burst_milli);
    let room_milli =
        quota.unallocated().burst_milli.saturating_sub(raised_milli + quota.tokens_in_flight_milli);
    let excess_milli = quota.reserve_milli().saturating_sub(taken_milli + room_milli);
    whole_tokens(excess_milli.min(raised_milli.saturating_sub(taken_milli)))
}

fn next_share(
    quota: &OrganisationQuota,
    holding: &Holding,
    topology: &Topology,
    has_current_basis: bool,
) -> Share {
    let target = target_of(quota, holding, topology);
    let unallocated = quota.unallocated();
    let effective = quota.effective_share(holding);
    let burst_milli = whole_tokens(next_value(
        effective.burst_milli,
        target.burst_milli,
        unallocated.burst_milli,
        has_current_basis,
    ));
    let rate_milli_per_s = match burst_milli {
        0 => 0,
        _ => next_value(
            effective.rate_milli_per_s,
            target.rate_milli_per_s,
            unallocated.rate_milli_per_s,
            has_current_basis,
        ),
    };
    Share { rate_milli_per_s, burst_milli }
}

fn target_of(quota: &OrganisationQuota, holding: &Holding, topology: &Topology) -> Share {
    if !topology.in_service || !is_divisible(quota, topology) {
        return Share::default();
    }
    let burst_milli = burst_target(quota, holding, topology);
    if burst_milli == 0 {
        return Share::default();
    }
    Share { rate_milli_per_s: rate_target(quota, holding, topology), burst_milli }
}

/// Returns whether holders get shares of the plan. With few holders that lend, any plan of a token a second and a burst
/// of two can be divided.
fn is_divisible(quota: &OrganisationQuota, topology: &Topology) -> bool {
    if topology.is_lent(quota) { quota.allocatable.is_divisible_among(1) } else { quota.is_divisible() }
}

fn rate_target(quota: &OrganisationQuota, holding: &Holding, topology: &Topology) -> u64 {
    let total = quota.allocatable.rate_milli_per_s;
    let demand = holding.demand_milli_per_s;
    if topology.is_lent(quota) {
        if quota.demand_milli_per_s > total {
            return proportion(total, demand, quota.demand_milli_per_s);
        }
        let spread = (total - quota.demand_milli_per_s) * LENT_SPREAD_PER_MILLE / 1_000;
        return demand + proportion(spread, demand, quota.demand_milli_per_s).min(demand);
    }
    let floor = topology.instance_floor(total);
    let total_floor = total * FLOOR_PER_MILLE / 1_000;
    let needed = total_floor + quota.excess_demand_milli_per_s;
    if needed > total {
        return floor
            + proportion(
                total - total_floor,
                holding.excess_demand_milli_per_s,
                quota.excess_demand_milli_per_s,
            );
    }
    let spread = (total - needed) * UNUSED_RATE_SPREAD_PER_MILLE / 1_000;
    let slack = proportion(spread, demand, quota.demand_milli_per_s).min(demand / 2);
    floor.max(demand) + slack
}

/// Returns the burst in whole tokens; at least one token if there is demand.
fn burst_target(quota: &OrganisationQuota, holding: &Holding, topology: &Topology) -> u64 {
    let total = quota.allocatable.burst_milli;
    let demand = holding.demand_milli_per_s;
    let coverable_milli = demand * BURST_COVER_MS / 1_000;
    if topology.is_lent(quota) {
        // No token for each holder with demand: instances that once served a request in place of the holder would share
        // out a small burst among them.
        let spread = total * LENT_SPREAD_PER_MILLE / 1_000;
        return whole_tokens(proportion(spread, demand, quota.demand_milli_per_s).min(coverable_milli));
    }
    let total_floor = total * FLOOR_PER_MILLE / 1_000;
    let spread = (total - total_floor) * BURST_SPREAD_PER_MILLE / 1_000;
    let beyond_floor = proportion(spread, demand, quota.demand_milli_per_s).min(coverable_milli);
    let target = whole_tokens(topology.instance_floor(total) + beyond_floor);
    if demand > 0 { target.max(TOKEN_MILLI) } else { target }
}

/// Returns the next value of a rate or burst: the target, limited to `current + unallocated`. Returns
/// `current` if the change is too small and the share was granted under the current limit.
fn next_value(current: u64, target: u64, unallocated: u64, has_current_basis: bool) -> u64 {
    let next = target.min(current + unallocated);
    let is_small_change = has_current_basis && current.abs_diff(next) <= current / HYSTERESIS_DIVISOR;
    if is_small_change && next != 0 { current } else { next }
}

/// Returns the time until the reserve holds the next token, after `taken_milli` is taken from it. If the plan
/// is not divisible, this is the time until it holds a token for every waiting request.
fn next_token_ms(quota: &OrganisationQuota, topology: &Topology, taken_milli: u64, now: Instant) -> u64 {
    let remaining_milli = quota.reserve_milli() - taken_milli;
    if !is_divisible(quota, topology) {
        let missing_milli =
            (quota.waiting_requests * TOKEN_MILLI).saturating_sub(taken_milli + remaining_milli);
        return time_to_gain_ms(missing_milli, quota.allocatable.rate_milli_per_s);
    }
    let settling = Duration::from_millis(OVERLOAD_SETTLING_MS);
    if quota.overloaded_since.is_some_and(|since| now.saturating_since(since) >= settling) {
        return OVERLOADED_NEXT_TOKEN_MS;
    }
    let missing_milli = TOKEN_MILLI.saturating_sub(remaining_milli);
    time_to_gain_ms(missing_milli, quota.unallocated().rate_milli_per_s).min(HEARTBEAT_MIN_INTERVAL_MS)
}

fn time_to_gain_ms(missing_milli: u64, rate_milli_per_s: u64) -> u64 {
    missing_milli.saturating_mul(1_000).div_ceil(rate_milli_per_s.max(1))
}

fn whole_tokens(milli: u64) -> u64 {
    milli / TOKEN_MILLI * TOKEN_MILLI
}

fn proportion(total: u64, numerator: u64, denominator: u64) -> u64 {
    let part = u128::from(total) * u128::from(numerator) / u128::from(denominator.max(1));
    u64::try_from(part).unwrap_or(u64::MAX)
}
