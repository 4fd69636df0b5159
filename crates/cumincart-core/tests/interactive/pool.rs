//! Which idle connection is reused, and which is closed to make room.

use {
    cumincart_core::interactive::{
        pool::{ConnectionChoice, IdleInfo, choose},
        session::{ConnectionState, SessionState},
    },
    cumincart_protocol::time::Instant,
};

fn idle(organisation: &str, since_ms: u64, values: &[(&str, &str)]) -> IdleInfo {
    let mut state = ConnectionState::default();
    state.apply_session(&session(values));
    IdleInfo { organisation: organisation.into(), state, idle_since: Instant::from_millis(since_ms) }
}

fn session(values: &[(&str, &str)]) -> SessionState {
    let mut session = SessionState::default();
    for (name, value) in values {
        session.set((*name).into(), (*value).into());
    }
    session
}

#[test]
fn a_connection_that_already_holds_the_values_is_preferred() {
    let known = [
        idle("clinic", 30, &[("lang", "en")]),
        idle("clinic", 10, &[("lang", "bg")]),
        idle("taxi", 40, &[("lang", "bg")]),
    ];
    let wanted = session(&[("lang", "bg")]);
    assert_eq!(choose(known.iter(), &"clinic".into(), &wanted, 3, 4), ConnectionChoice::Reuse(1));
}

#[test]
fn among_equals_the_most_recently_used_connection_is_reused() {
    let known = [idle("clinic", 10, &[]), idle("clinic", 30, &[]), idle("clinic", 20, &[])];
    assert_eq!(choose(known.iter(), &"clinic".into(), &session(&[]), 3, 3), ConnectionChoice::Reuse(1));
}

#[test]
fn a_connection_of_another_organisation_is_never_reused() {
    let known = [idle("taxi", 10, &[])];
    assert_eq!(choose(known.iter(), &"clinic".into(), &session(&[]), 1, 2), ConnectionChoice::Open);
}

/// Guards against an organisation that gets no connection while others hold all of them idle.
#[test]
fn at_the_limit_the_connection_that_is_idle_longest_is_replaced() {
    let known = [idle("taxi", 30, &[]), idle("shop", 10, &[]), idle("taxi", 20, &[])];
    assert_eq!(choose(known.iter(), &"clinic".into(), &session(&[]), 3, 3), ConnectionChoice::Replace(1));
}
