//! Read-your-writes and monotonic reads.

use {
    super::{Promise, Violation},
    crate::history::{Asked, Ended, History, Request},
    cumincart_protocol::refusal::RefusalCode,
};

/// The minimum value of a key that a session must read.
struct Floor {
    session: usize,
    key: String,
    value: i64,
}

/// Checks that each answered read returns at least the last value that the session wrote or read. This works because
/// the values of a key only increase. A refusal that reports a lost write resets the minimum values of its session.
pub(super) fn check(history: &History) -> Vec<Violation> {
    let mut floors: Vec<Floor> = Vec::new();
    let mut violations = Vec::new();
    // A session has at most one request in flight, so its requests are ordered by number.
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
        let seen =
            format!("{:?} returned {value}, but the session had already seen {}", request, floor.value);
        Violation::new(Promise::ReadYourWrites, seen)
    })
}

fn raise(floors: &mut Vec<Floor>, session: usize, key: &str, value: i64) {
    match floors.iter_mut().find(|floor| floor.session == session && floor.key == key) {
        Some(floor) => floor.value = floor.value.max(value),
        None => floors.push(Floor { session, key: key.to_owned(), value }),
    }
}
