//! How an organisation's rate and burst are divided among the instances.
//!
//! A tenth belongs to the failure domains with instances in service, in equal parts. The rest follows demand; what
//! nobody asks for stays in the leader's reserve, or half of it with those that ask. A plan too small to be divided among
//! those that ask stays in the reserve whole, and its tokens go to where requests wait.

use {
    super::{
        holder::{Granted, Holding},
        organisation_quota::{Account, TOKEN_MILLI},
    },
    crate::{entry::membership::HEARTBEAT_MIN_INTERVAL_MS, timing::HEARTBEAT_INTERVAL_MS},
    cumincart_protocol::{heartbeat::Share, time::Instant},
    std::time::Duration,
};

/// The part of each rate and burst that belongs to the failure domains, in thousandths.
const FLOOR_PER_MILLE: u64 = 100;

/// The part of the burst beyond the floor that follows demand, in thousandths; the rest stays in the reserve.
const BURST_SPREAD_PER_MILLE: u64 = 750;

/// The part of the rate that nobody asks for that goes to those with demand, in thousandths.
const SLACK_SPREAD_PER_MILLE: u64 = 500;

/// A share's burst beyond the floor covers at most this much of the holder's own demand, in milliseconds, so that the
/// first to ask does not take all of it.
const BURST_COVER_MS: u64 = 500;

/// A share is changed only by more than one part in this many, to keep small fluctuations out of heartbeats.
const HYSTERESIS_DIVISOR: u64 = 16;

/// How long demand must exceed a plan before requests are refused early, in milliseconds. Until then demand may only
/// be moving from one instance to another, and count twice.
const OVERLOAD_SETTLING_MS: u64 = 3 * HEARTBEAT_INTERVAL_MS;

/// The hint for an organisation that has been over its plan for long, in milliseconds: no request waits this long.
const OVERLOADED_NEXT_TOKEN_MS: u64 = 2_000;

/// The part of the fleet that a division depends on.
#[derive(Debug, Clone, Copy)]
pub struct Fleet {
    /// Failure domains with instances in service.
    pub domains: u64,
    /// Instances in service in the holder's failure domain.
    pub instances_here: u64,
    /// Whether the holder is in service.
    pub active: bool,
}

impl Fleet {
    /// One instance's part of what belongs to the failure domains.
    pub fn floor_of(&self, total: u64) -> u64 {
        if !self.active {
            return 0;
        }
        let parts = self.domains.max(1) * self.instances_here.max(1);
        total * FLOOR_PER_MILLE / 1_000 / parts
    }
}

/// The grant that a holder should get now, without its number; none where its share is right and nothing waits.
pub fn propose(account: &Account, holding: &Holding, fleet: &Fleet, now: Instant) -> Option<Granted> {
    let held = holding.confirmed.share;
    let is_rebased = holding.confirmed.basis == account.limit || held == Share::default();
    let share = next_share(account, holding, fleet, is_rebased);
    let waiting = if fleet.active { holding.waiting } else { 0 };
    if share == held && is_rebased && waiting == 0 {
        return None;
    }
    let tokens_milli = whole_tokens(account.reserve_milli()).min(waiting * TOKEN_MILLI);
    let unserved = waiting - tokens_milli / TOKEN_MILLI;
    let next_token_ms = if unserved == 0 { 0 } else { next_token_ms(account, tokens_milli, now) };
    Some(Granted { share, basis: account.limit, tokens_milli, next_token_ms, ..Granted::default() })
}

fn next_share(account: &Account, holding: &Holding, fleet: &Fleet, is_rebased: bool) -> Share {
    let target = target_of(account, holding, fleet);
    let room = account.headroom();
    let worth = account.worth(holding);
    let burst_milli =
        whole_tokens(settled(worth.burst_milli, target.burst_milli, room.burst_milli, is_rebased));
    let rate_milli_per_s = match burst_milli {
        0 => 0,
        _ => settled(worth.rate_milli_per_s, target.rate_milli_per_s, room.rate_milli_per_s, is_rebased),
    };
    Share { rate_milli_per_s, burst_milli }
}

fn target_of(account: &Account, holding: &Holding, fleet: &Fleet) -> Share {
    if !fleet.active || !account.is_divisible() {
        return Share::default();
    }
    let burst_milli = burst_target(account, holding, fleet);
    if burst_milli == 0 {
        return Share::default();
    }
    Share { rate_milli_per_s: rate_target(account, holding, fleet), burst_milli }
}

fn rate_target(account: &Account, holding: &Holding, fleet: &Fleet) -> u64 {
    let total = account.plan.rate_milli_per_s;
    let floor = fleet.floor_of(total);
    let floors = total * FLOOR_PER_MILLE / 1_000;
    let needed = floors + account.excess_milli_per_s;
    if needed > total {
        return floor + part(total - floors, holding.excess_milli_per_s, account.excess_milli_per_s);
    }
    let spread = (total - needed) * SLACK_SPREAD_PER_MILLE / 1_000;
    let demand = holding.demand_milli_per_s;
    let slack = part(spread, demand, account.demand_milli_per_s).min(demand / 2);
    floor.max(demand) + slack
}

/// Whole tokens, at least one where there is demand.
fn burst_target(account: &Account, holding: &Holding, fleet: &Fleet) -> u64 {
    let total = account.plan.burst_milli;
    let floors = total * FLOOR_PER_MILLE / 1_000;
    let spread = (total - floors) * BURST_SPREAD_PER_MILLE / 1_000;
    let demand = holding.demand_milli_per_s;
    let useful = demand * BURST_COVER_MS / 1_000;
    let beyond_floor = part(spread, demand, account.demand_milli_per_s).min(useful);
    let target = whole_tokens(fleet.floor_of(total) + beyond_floor);
    if demand > 0 { target.max(TOKEN_MILLI) } else { target }
}

/// The next value of a part: the target where it is lower, or as far above as there is room; unchanged where near and
/// granted under the present limit.
fn settled(held: u64, target: u64, room: u64, is_rebased: bool) -> u64 {
    let next = target.min(held + room);
    let near = is_rebased && held.abs_diff(next) <= held / HYSTERESIS_DIVISOR;
    if near && next != 0 { held } else { next }
}

/// When the reserve has a token beyond those just taken out of it.
fn next_token_ms(account: &Account, taken_milli: u64, now: Instant) -> u64 {
    let left_milli = account.reserve_milli() - taken_milli;
    if !account.is_divisible() {
        let missing_milli = (account.waiting * TOKEN_MILLI).saturating_sub(taken_milli + left_milli);
        return time_to_gain_ms(missing_milli, account.plan.rate_milli_per_s);
    }
    let settling = Duration::from_millis(OVERLOAD_SETTLING_MS);
    if account.overloaded_since.is_some_and(|since| now.saturating_since(since) >= settling) {
        return OVERLOADED_NEXT_TOKEN_MS;
    }
    let missing_milli = TOKEN_MILLI.saturating_sub(left_milli);
    time_to_gain_ms(missing_milli, account.headroom().rate_milli_per_s).min(HEARTBEAT_MIN_INTERVAL_MS)
}

fn time_to_gain_ms(missing_milli: u64, rate_milli_per_s: u64) -> u64 {
    missing_milli.saturating_mul(1_000).div_ceil(rate_milli_per_s.max(1))
}

fn whole_tokens(milli: u64) -> u64 {
    milli / TOKEN_MILLI * TOKEN_MILLI
}

fn part(total: u64, share: u64, of: u64) -> u64 {
    let part = u128::from(total) * u128::from(share) / u128::from(of.max(1));
    u64::try_from(part).unwrap_or(u64::MAX)
}
