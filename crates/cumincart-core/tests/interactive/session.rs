//! Applying session values to borrowed connections, and what a session may hold.

use cumincart_core::interactive::{
    command::Command,
    session::{ConnectionState, Prepared, SESSION_ENTRIES_MAX, SessionState},
    statement::Access,
};

fn session(values: &[(&str, &str)]) -> SessionState {
    let mut session = SessionState::default();
    for (name, value) in values {
        assert!(session.set((*name).into(), (*value).into()));
    }
    session
}

fn set(name: &str, value: &str) -> Command {
    Command::Set { name: name.into(), value: value.into() }
}

fn prepared(name: &str, access: Access, shape: &str) -> Prepared {
    Prepared { name: name.into(), access, shape: shape.into() }
}

#[test]
fn only_values_that_differ_are_set_on_a_connection() {
    let mut connection = ConnectionState::default();
    assert_eq!(
        connection.apply_session(&session(&[("zone", "bg"), ("lang", "en")])),
        [set("lang", "en"), set("zone", "bg")]
    );
    assert_eq!(connection.apply_session(&session(&[("zone", "bg"), ("lang", "fr")])), [set("lang", "fr")]);
    assert!(connection.apply_session(&session(&[("zone", "bg"), ("lang", "fr")])).is_empty());
}

#[test]
fn a_value_of_another_session_is_reset_together_with_the_prepared_statements() {
    let mut connection = ConnectionState::default();
    connection.apply_session(&session(&[("zone", "bg")]));
    let statement = prepared("s1", Access::Read, "q1");
    let assignment = connection.statements.assign(&statement);
    connection.statements.record(&statement, &assignment);
    assert!(connection.statements.find(&statement).is_some());
    assert_eq!(connection.apply_session(&session(&[("lang", "en")])), [Command::Reset, set("lang", "en")]);
    assert_eq!(connection.statements.find(&statement), None, "the reset dropped it");
}

#[test]
fn the_apply_cost_is_the_number_of_commands() {
    let mut connection = ConnectionState::default();
    connection.apply_session(&session(&[("zone", "bg"), ("lang", "en")]));
    for other in [
        session(&[]),
        session(&[("zone", "bg"), ("lang", "en")]),
        session(&[("zone", "ro"), ("lang", "en"), ("x", "1")]),
    ] {
        assert_eq!(connection.apply_cost(&other), connection.clone().apply_session(&other).len());
    }
}

#[test]
fn a_session_holds_a_bounded_number_of_values_and_statements() {
    let mut session = SessionState::default();
    for number in 0..SESSION_ENTRIES_MAX {
        assert!(session.set(format!("v{number}").into(), "1".into()));
    }
    assert!(!session.set("one-more".into(), "1".into()));
    assert!(!session.prepare(prepared("s1", Access::Read, "q1")));
    assert!(session.set("v0".into(), "2".into()), "an existing value can still be changed");
}
