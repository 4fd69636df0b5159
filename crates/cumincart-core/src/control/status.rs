//! The state of the system as operators see it.

use {
    super::{Board, EndpointStatus, InstanceStatus, Status, announcements::Heard, leases::Holder},
    cumincart_protocol::time::Instant,
    std::sync::Arc,
};

/// The leader's state, to be given only after a quorum has confirmed the leadership.
pub fn current(board: &Board, now: Instant) -> Status {
    Status {
        leader: board.settings.member.instance.clone(),
        term: board.election.ballot.term,
        catalogue: Arc::clone(&board.catalogue),
        members: board.log.members().clone(),
        instances: board.leases.holders().iter().map(|holder| instance_status(holder, now)).collect(),
        earlier_leases_left_ms: whole_ms(board.leases.earlier_until().saturating_since(now)),
        endpoints: board.announcements.all().iter().map(|heard| endpoint_status(heard, now)).collect(),
    }
}

fn instance_status(holder: &Holder, now: Instant) -> InstanceStatus {
    InstanceStatus {
        instance: holder.key.instance.clone(),
        incarnation: holder.key.incarnation,
        revision: holder.revision,
        lease_left_ms: whole_ms(holder.fresh_until.saturating_since(now)),
    }
}

fn endpoint_status(heard: &Heard, now: Instant) -> EndpointStatus {
    let age_ms = whole_ms(now.saturating_since(heard.at));
    EndpointStatus { announcement: heard.announcement.clone(), age_ms }
}

fn whole_ms(span: std::time::Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
