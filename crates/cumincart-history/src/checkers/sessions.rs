//! Read-your-writes and reads that never go back.

use {
    super::{Promise, Violation},
    crate::history::{Asked, Ended, History, Request},
    cumincart_protocol::refusal::RefusalCode,
};

/// The least value that a session must see of a key.
struct Floor {
    session: usize,
    key: String,
    value: i64,
}

/// Values of a key only grow, so that each answered read must give at least the last value that the session wrote or
/// read. A session that was told of a lost write begins anew.
pub(super) fn check(history: &History) -> Vec<Violation> {
    let mut floors: Vec<Floor> = Vec::new();
    let mut violations = Vec::new();
    // A session has one request at a time, so the order of the numbers is the order of its requests.
    for request in &history.requests {
        match (&request.asked, &request.ended) {
            (_, Some(Ended::Refused { code: RefusalCode::WriteLost, .. })) => {
                floors.retain(|floor| floor.session != request.session);
            }
            (Asked::Put { key, value }, Some(Ended::Answered { .. })) => {
                raise(&mut floors, request.session, key, *value);
            }
            (Asked::Get { key }, Some(Ended::Answered { value: Some(value), .. })) => {
                violations.extend(check_read(&floors, request, key, *value));
                raise(&mut floors, request.session, key, *value);
            }
            _ => {}
        }
    }
    violations
}

fn check_read(floors: &[Floor], request: &Request, key: &str, value: i64) -> Option<Violation> {
    let floor = floors.iter().find(|floor| floor.session == request.session && floor.key == key)?;
    (value < floor.value).then(|| {
        let seen = format!("{:?} gave {value}, but the session has seen {}", request, floor.value);
        Violation::new(Promise::ReadYourWrites, seen)
    })
}

fn raise(floors: &mut Vec<Floor>, session: usize, key: &str, value: i64) {
    match floors.iter_mut().find(|floor| floor.session == session && floor.key == key) {
        Some(floor) => floor.value = floor.value.max(value),
        None => floors.push(Floor { session, key: key.to_owned(), value }),
    }
}
