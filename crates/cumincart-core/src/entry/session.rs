//! Compares the points that a session has seen with a group's history of terms.

use {
    crate::endpoint_command::EndpointState,
    cumincart_protocol::{
        announcement::Role,
        catalogue::{Group, TermStart},
        name::ServiceName,
        number::{LogPosition, Term},
        session::{SeenPoints, Session, TermPoint},
    },
};

/// The relation of a point that a session has seen to the known history.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PointStatus {
    /// The point is part of the history.
    InHistory,
    /// A later term began at an earlier position: the write was lost.
    Lost,
    /// The point belongs to a term that this instance has not learnt of yet.
    Ahead,
}

/// Returns the start of the latest term with a promoted primary.
pub fn current_start(group: &Group) -> Option<&TermStart> {
    group.term_starts.last()
}

/// Returns the relation of a point to the group's history.
pub fn point_status(group: &Group, point: TermPoint) -> PointStatus {
    if point.term > group.term {
        return PointStatus::Ahead;
    }
    let lost =
        group.term_starts.iter().any(|start| start.term > point.term && point.position > start.position);
    if lost { PointStatus::Lost } else { PointStatus::InHistory }
}

/// Returns the points that the session has seen of the service, or the zero points if it has not used it.
pub fn seen(session: &Session, service: &ServiceName) -> SeenPoints {
    session.seen.get(service).cloned().unwrap_or_else(|| nothing_seen(service))
}

/// Returns the position that a read must cover so that the session reads its own writes and its reads are
/// monotonic. Only meaningful when both points are in the history.
pub fn needed_position(seen: &SeenPoints) -> LogPosition {
    seen.write.position.max(seen.read.position)
}

/// Whether a state is on the group's current timeline and covers the position.
pub fn covers(group: &Group, state: &EndpointState, needed: LogPosition) -> bool {
    let Some(start) = current_start(group) else {
        return false;
    };
    state.timeline == start.timeline && state.position >= needed
}

/// Whether a state is that of a replica on the group's current timeline.
pub fn is_current_replica(group: &Group, state: &EndpointState) -> bool {
    let start = current_start(group);
    state.role == Role::Replica && start.is_some_and(|start| start.timeline == state.timeline)
}

/// Whether a state is that of the primary of this term.
pub fn is_primary_state(group: &Group, term: Term, state: &EndpointState) -> bool {
    let Some(start) = current_start(group) else {
        return false;
    };
    start.term == term && state.timeline == start.timeline && state.role == Role::Primary
}

/// Returns the session after a write that was acknowledged in this term.
pub fn after_write(session: &Session, service: &ServiceName, term: Term, position: LogPosition) -> Session {
    let mut session = session.clone();
    let seen = session.seen.get_or_insert_with(service, || nothing_seen(service));
    advance(&mut seen.write, TermPoint { term, position });
    session
}

/// Returns the session after a read from a state that [`covers`] the position that it needed.
pub fn after_read(session: &Session, group: &Group, position: LogPosition) -> Session {
    let mut session = session.clone();
    let term = current_start(group).map_or(group.term, |start| start.term);
    let seen = session.seen.get_or_insert_with(&group.service, || nothing_seen(&group.service));
    advance(&mut seen.read, TermPoint { term, position });
    session
}

/// Returns the session with its lost points moved back to the start of the current term, so that the caller
/// can continue with it.
pub fn without_lost_points(session: &Session, group: &Group) -> Session {
    let mut session = session.clone();
    let (Some(seen), Some(start)) = (session.seen.get_mut(&group.service), current_start(group)) else {
        return session;
    };
    for point in [&mut seen.write, &mut seen.read] {
        if point_status(group, *point) == PointStatus::Lost {
            *point = TermPoint { term: start.term, position: start.position };
        }
    }
    session
}

fn nothing_seen(service: &ServiceName) -> SeenPoints {
    SeenPoints { service: service.clone(), write: TermPoint::default(), read: TermPoint::default() }
}

fn advance(point: &mut TermPoint, to: TermPoint) {
    if to.position >= point.position {
        *point = to;
    }
}
