//! How the connections of an endpoint are divided among the entry instances.

/// The part of each connection limit that is reserved for kept permits in the endpoint's own failure domain,
/// in thousandths.
const KEPT_PER_MILLE: u32 = 200;

/// The highest number of connections that is taken from an endpoint's limit or an instance's report. It is far beyond
/// what an endpoint can serve.
pub const CONNECTIONS_MAX: u32 = 100_000;

/// The two parts of an endpoint's connection limit.
#[derive(Debug, Clone, Copy)]
pub struct Budget {
    /// The number of kept permits, for instances in the endpoint's own failure domain.
    pub kept: u32,
    /// The number of leased permits, for all instances.
    pub leased: u32,
}

/// The numbers of instances that a holder's permits depend on, and the holder's own state.
#[derive(Debug, Clone, Copy)]
pub struct AllocationContext {
    /// The number of instances that want connections to the endpoint.
    pub competing_instances: u32,
    /// The number of instances with a lease in the holder's failure domain.
    pub instances_in_domain: u32,
    /// Whether the holder has a lease.
    pub has_lease: bool,
    /// Whether the holder wants connections to the endpoint.
    pub has_demand: bool,
}

/// Divides an endpoint's connection limit. `allows_kept` is false if no route could be served without a
/// lease; then all permits are leased.
pub fn budget(connection_limit: u32, allows_kept: bool) -> Budget {
    let connection_limit = connection_limit.min(CONNECTIONS_MAX);
    let per_mille = if allows_kept { KEPT_PER_MILLE } else { 0 };
    let kept = connection_limit * per_mille / 1_000;
    Budget { kept, leased: connection_limit - kept }
}

/// Returns the number of kept permits that a holder should have.
pub fn kept(budget: &Budget, context: &AllocationContext, current: u32, may_gain: bool) -> u32 {
    if !context.has_lease {
        return 0;
    }
    let part = budget.kept / context.instances_in_domain.max(1);
    if may_gain { part } else { part.min(current) }
}

/// Returns the number of leased permits that a holder should have; 0 if it has no demand. Otherwise it gets
/// one permit and its extra demand, which is reduced in proportion if the total exceeds what is available.
/// Permits without demand are divided equally among the holders with demand.
pub fn leased(
    budget: &Budget,
    context: &AllocationContext,
    extra_demand: u32,
    total_extra_demand: u32,
) -> u32 {
    if !context.has_lease || !context.has_demand {
        return 0;
    }
    let floor_count = context.competing_instances.min(budget.leased);
    let floor = u32::from(floor_count == context.competing_instances);
    let remainder = budget.leased - floor_count * floor;
    if total_extra_demand > remainder {
        let part = u64::from(remainder) * u64::from(extra_demand) / u64::from(total_extra_demand);
        return floor + u32::try_from(part).unwrap_or(remainder);
    }
    floor + extra_demand + (remainder - total_extra_demand) / context.competing_instances.max(1)
}
