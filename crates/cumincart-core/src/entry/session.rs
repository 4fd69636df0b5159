//! What a session has seen, held against a group's history of terms.

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

/// How a point that a session has seen stands to the history that is known here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// It is part of the history.
    Kept,
    /// A later term began before it: what the session saw is lost.
    Lost,
    /// It is of a term that is not known here yet.
    Ahead,
}

/// The start of the term whose primary was last promoted.
pub fn current_start(group: &Group) -> Option<&TermStart> {
    group.term_starts.last()
}

/// How a point stands to the group's history.
pub fn standing(group: &Group, point: TermPoint) -> Standing {
    if point.term > group.term {
        return Standing::Ahead;
    }
    let lost =
        group.term_starts.iter().any(|start| start.term > point.term && point.position > start.position);
    if lost { Standing::Lost } else { Standing::Kept }
}

/// What the session has seen of the service; nothing when it has not used it.
pub fn seen(session: &Session, service: &ServiceName) -> SeenPoints {
    session.seen.get(service).cloned().unwrap_or_else(|| nothing_seen(service))
}

/// The position that a read must cover so that the session sees its writes and never goes back. Only meaningful when
/// both points are kept.
pub fn needed_position(seen: &SeenPoints) -> LogPosition {
    seen.write.position.max(seen.read.position)
}

/// Whether a state is on the group's present timeline and covers the position.
pub fn covers(group: &Group, state: &EndpointState, needed: LogPosition) -> bool {
    let Some(start) = current_start(group) else {
        return false;
    };
    state.timeline == start.timeline && state.position >= needed
}

/// Whether a state is a replica's on the group's present timeline.
pub fn is_current_replica(group: &Group, state: &EndpointState) -> bool {
    let start = current_start(group);
    state.role == Role::Replica && start.is_some_and(|start| start.timeline == state.timeline)
}

/// Whether a state is the primary's of this term.
pub fn is_primary_state(group: &Group, term: Term, state: &EndpointState) -> bool {
    let Some(start) = current_start(group) else {
        return false;
    };
    start.term == term && state.timeline == start.timeline && state.role == Role::Primary
}

/// The session after a write that was acknowledged in this term.
pub fn after_write(session: &Session, service: &ServiceName, term: Term, position: LogPosition) -> Session {
    let mut session = session.clone();
    let seen = session.seen.get_or_insert_with(service, || nothing_seen(service));
    advance(&mut seen.write, TermPoint { term, position });
    session
}

/// The session after a read from a state that [`covers`] what it needed.
pub fn after_read(session: &Session, group: &Group, position: LogPosition) -> Session {
    let mut session = session.clone();
    let term = current_start(group).map_or(group.term, |start| start.term);
    let seen = session.seen.get_or_insert_with(&group.service, || nothing_seen(&group.service));
    advance(&mut seen.read, TermPoint { term, position });
    session
}

/// The session with its lost points moved back to where the present term began, so that it can go on.
pub fn without_lost_points(session: &Session, group: &Group) -> Session {
    let mut session = session.clone();
    let (Some(seen), Some(start)) = (session.seen.get_mut(&group.service), current_start(group)) else {
        return session;
    };
    for point in [&mut seen.write, &mut seen.read] {
        if standing(group, *point) == Standing::Lost {
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
