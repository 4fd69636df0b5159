//! How an endpoint's connections are divided among the instances.

/// The part of each endpoint's connections that instances of its own failure domain keep without a lease, in
/// thousandths.
const KEPT_PER_MILLE: u32 = 200;

/// The two parts of an endpoint's connection limit.
#[derive(Debug, Clone, Copy)]
pub struct Budget {
    /// What instances of the endpoint's own failure domain keep.
    pub kept: u32,
    /// What is leased to all instances.
    pub leased: u32,
}

/// The part of the fleet that a division depends on.
#[derive(Debug, Clone, Copy)]
pub struct Demand {
    /// Instances with a lease that want connections to the endpoint.
    pub instances: u32,
    /// Those in the holder's failure domain.
    pub instances_here: u32,
    /// Whether the holder has a lease.
    pub active: bool,
    /// Whether the holder wants connections to the endpoint.
    pub wants: bool,
}

/// Divides an endpoint's limit. Nothing is set aside where no route could be served without a lease.
pub fn budget(connection_limit: u32, sets_aside: bool) -> Budget {
    let per_mille = if sets_aside { KEPT_PER_MILLE } else { 0 };
    let kept = connection_limit * per_mille / 1_000;
    Budget { kept, leased: connection_limit - kept }
}

/// The permits that a holder should keep without a lease.
pub fn kept(budget: &Budget, demand: &Demand, held: u32, may_gain: bool) -> u32 {
    if !demand.active {
        return 0;
    }
    let part = budget.kept / demand.instances_here.max(1);
    if may_gain { part } else { part.min(held) }
}

/// The permits that a holder should lease; none where it wants none. Otherwise one, and beyond it as much as it wants, in proportion where all together
/// want too much. What nobody wants is divided equally.
pub fn leased(budget: &Budget, demand: &Demand, wanted: u32, all_wanted: u32) -> u32 {
    if !demand.active || !demand.wants {
        return 0;
    }
    let floors = demand.instances.min(budget.leased);
    let floor = u32::from(floors == demand.instances);
    let beyond = budget.leased - floors * floor;
    if all_wanted > beyond {
        return floor + beyond * wanted / all_wanted;
    }
    floor + wanted + (beyond - all_wanted) / demand.instances.max(1)
}
