//! Failure domains and endpoints that are out of service: primaries move away from them, and no primary is
//! chosen there.

use {
    super::{Core, choice, detection},
    cumincart_protocol::{announcement::Role, catalogue::Group, name::EndpointName, time::Instant},
    std::time::Duration,
};

/// The maximum lag of a replica at the start of a planned switchover to it, in milliseconds.
pub const SWITCHOVER_MAX_LAG_MS: u64 = 1_000;

/// Returns whether the endpoint's failure domain is in service and the endpoint is not leaving.
pub fn may_be_primary(core: &Core, group: &Group, endpoint: &EndpointName) -> bool {
    let entry = group.endpoints.get(endpoint);
    entry.is_some_and(|entry| !entry.leaving && !core.catalogue.is_domain_out(&entry.domain))
}

/// Returns whether the group's primary must move and a replica is ready to replace it.
pub fn must_switch_over(core: &Core, now: Instant, group: &Group) -> bool {
    let Some(primary) = &group.primary else { return false };
    if may_be_primary(core, group, primary) {
        return false;
    }
    group.endpoints.iter().any(|endpoint| is_ready(core, now, group, &endpoint.name))
}

fn is_ready(core: &Core, now: Instant, group: &Group, endpoint: &EndpointName) -> bool {
    let Some(received) = core.announcements.get(endpoint) else { return false };
    let is_recent = now.saturating_since(received.received_at) < Duration::from_millis(detection::SILENT_MS);
    let announcement = &received.announcement;
    may_be_primary(core, group, endpoint)
        && is_recent
        && announcement.role == Role::Replica
        && announcement.lag_ms <= SWITCHOVER_MAX_LAG_MS
        && choice::follows_group_log(group, announcement)
}
