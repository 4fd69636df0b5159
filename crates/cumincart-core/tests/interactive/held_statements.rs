//! Names of prepared statements on connections, also where names of sessions collide or shapes look like messages.

use {
    cumincart_core::interactive::{
        held_statements::{Assignment, HELD_STATEMENTS_MAX, HeldStatements},
        session::Prepared,
        statement::Access,
    },
    proptest::{
        collection::vec,
        prelude::{ProptestConfig, any},
        prop_assert, prop_assert_eq, proptest,
    },
    std::{collections::BTreeMap, sync::Arc},
    test_case::test_case,
};

fn prepared(name: &str, access: Access, shape: &str) -> Prepared {
    Prepared { name: name.into(), access, shape: shape.into() }
}

/// Prepares a statement as an endpoint that accepts it.
fn hold(statements: &mut HeldStatements, statement: &Prepared) -> Assignment {
    let assignment = statements.assign(statement);
    statements.record(statement, &assignment);
    assignment
}

#[test]
fn statements_are_shared_by_content_and_not_by_the_names_of_sessions() {
    let mut statements = HeldStatements::default();
    let first = prepared("s1", Access::Write, "q1");
    let name = hold(&mut statements, &first).name;
    assert_eq!(statements.find(&prepared("other-name", Access::Write, "q1")), Some(name.clone()));
    for other in [prepared("s1", Access::Write, "q2"), prepared("s1", Access::Read, "q1")] {
        assert_eq!(statements.find(&other), None);
        assert_ne!(hold(&mut statements, &other).name, name);
    }
}

/// Guards against executions of another shape: the name was made of the shape, and a shape may contain spaces.
#[test_case(&["q1", "q1 READ xx", "q1 WRITE ryejc"]; "one shape begins with another")]
#[test_case(&["q1 READ xx", "q1", "xx READ q1 READ xx"]; "one shape contains another")]
#[test_case(&["a b", "a  b", " a b", "a b ", "a\tb", "a\nb"]; "white space")]
fn no_text_of_a_shape_is_part_of_a_name(shapes: &[&str]) {
    let mut statements = HeldStatements::default();
    let mut names = Vec::new();
    for access in [Access::Read, Access::Write] {
        for shape in shapes {
            let statement = prepared("s1", access, shape);
            assert_eq!(statements.find(&statement), None, "{statement:?} is not held yet");
            names.push(hold(&mut statements, &statement).name);
        }
    }
    assert!(
        names.iter().all(|name| name.len() == 1 && name.bytes().all(|byte| byte.is_ascii_alphanumeric()))
    );
    names.sort_unstable();
    assert!(names.windows(2).all(|pair| pair[0] != pair[1]), "{names:?}");
}

/// Guards against executions of a statement that the endpoint refused to prepare, or has forgotten.
#[test]
fn a_statement_is_held_only_once_the_endpoint_has_prepared_it() {
    let mut statements = HeldStatements::default();
    let statement = prepared("s1", Access::Read, "q1");
    let refused = statements.assign(&statement);
    assert_eq!(statements.find(&statement), None, "the first command may have been refused");
    let accepted = hold(&mut statements, &statement);
    assert_eq!(accepted, refused, "the name of the refused one is free");
    assert_eq!(statements.find(&statement), Some(accepted.name.clone()));
    statements.forget(&accepted.name);
    assert_eq!(statements.find(&statement), None);
}

#[test]
fn the_statement_that_was_not_used_for_the_longest_time_makes_room() {
    let mut statements = HeldStatements::default();
    let numbered = |number: usize| prepared("s1", Access::Read, &format!("q{number}"));
    for number in 0..HELD_STATEMENTS_MAX {
        let assignment = hold(&mut statements, &numbered(number));
        assert!(assignment.released.is_empty());
    }
    assert!(statements.find(&numbered(0)).is_some());
    let name = statements.find(&numbered(1)).expect("it is held");
    for number in (0..HELD_STATEMENTS_MAX).filter(|number| *number != 1) {
        assert!(statements.find(&numbered(number)).is_some());
    }
    let assignment = hold(&mut statements, &numbered(HELD_STATEMENTS_MAX));
    assert_eq!(assignment.released, std::slice::from_ref(&name));
    assert_eq!(assignment.name, name);
    assert_eq!(statements.find(&numbered(1)), None);
}

/// Guards against messages above the maximum length: an execution gets a name that is no longer than the client's own.
#[test]
fn a_name_is_not_longer_than_the_name_of_the_session() {
    let mut statements = HeldStatements::default();
    let mut names = Vec::new();
    for number in 0..HELD_STATEMENTS_MAX {
        names.push(hold(&mut statements, &prepared("s1", Access::Read, &format!("q{number}"))).name);
    }
    let last = format!("q{}", HELD_STATEMENTS_MAX - 1);
    let long_name = statements.find(&prepared("s1", Access::Read, &last)).expect("it is held");
    assert_eq!(long_name.len(), 2);
    let short = prepared("s", Access::Read, &last);
    assert_eq!(statements.find(&short), None, "its name is too long");
    let assignment = hold(&mut statements, &short);
    assert_eq!(assignment.name.len(), 1);
    assert_eq!(assignment.released, [long_name, names[0].clone()], "both names are free at the endpoint");
    assert_eq!(statements.find(&prepared("s1", Access::Read, &last)), Some(assignment.name));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]
    /// Guards against two statements under one name, whatever sessions prepare and endpoints refuse.
    #[test]
    fn an_endpoint_holds_each_statement_under_the_name_that_the_record_gives(
        steps in vec((0_usize..600, any::<bool>(), any::<bool>(), 0_u8..8), 0..1_200),
    ) {
        let mut statements = HeldStatements::default();
        // What the endpoint holds: name to shape.
        let mut endpoint: BTreeMap<Arc<str>, String> = BTreeMap::new();
        for (number, has_short_name, is_write, chance) in steps {
            let access = if is_write { Access::Write } else { Access::Read };
            let statement = prepared(if has_short_name { "s" } else { "s1" }, access, &format!("q {number}"));
            let content = format!("{access:?} {}", statement.shape);
            let name = match statements.find(&statement) {
                Some(name) => name,
                None => {
                    let assignment = statements.assign(&statement);
                    for released in &assignment.released {
                        prop_assert!(endpoint.remove(released).is_some(), "{released} is deallocated once");
                    }
                    if chance == 0 {
                        // The endpoint refuses it.
                        continue;
                    }
                    prop_assert!(endpoint.insert(assignment.name.clone(), content.clone()).is_none());
                    statements.record(&statement, &assignment);
                    assignment.name
                }
            };
            prop_assert!(name.len() <= statement.name.len());
            prop_assert_eq!(endpoint.get(&name), Some(&content));
            prop_assert!(endpoint.len() <= HELD_STATEMENTS_MAX);
            if chance == 1 {
                // The endpoint has forgotten it.
                endpoint.remove(&name);
                statements.forget(&name);
            }
        }
    }
}
