//! Read-your-writes and monotonic reads.

use {
    super::{Guarantee, Violation},
    crate::history::{ClientOperation, History, Request, RequestOutcome},
    cumincart_protocol::refusal::RefusalCode,
};

/// The minimum value of a key that a session must read.
struct MinimumValue {
    session: usize,
    key: String,
    value: i64,
}

/// Checks that each answered read returns at least the last value that the session wrote or read. This works because
/// the values of a key only increase. A refusal that reports a lost write resets the minimum values of its session.
pub(super) fn check(history: &History) -> Vec<Violation> {
    let mut minimums: Vec<MinimumValue> = Vec::new();
    let mut violations = Vec::new();
    // A session has at most one request in flight, so its requests are ordered by number.
    for request in &history.requests {
        match (&request.operation, &request.outcome) {
            (_, Some(RequestOutcome::Refused { code: RefusalCode::WriteLost, .. })) => {
                minimums.retain(|minimum| minimum.session != request.session);
            }
            (ClientOperation::Put { key, value }, Some(RequestOutcome::Answered { .. })) => {
                raise_minimum(&mut minimums, request.session, key, *value);
            }
            (ClientOperation::Get { key }, Some(RequestOutcome::Answered { value: Some(value), .. })) => {
                violations.extend(check_read(&minimums, request, key, *value));
                raise_minimum(&mut minimums, request.session, key, *value);
            }
            _ => {}
        }
    }
    violations
}

fn check_read(minimums: &[MinimumValue], request: &Request, key: &str, value: i64) -> Option<Violation> {
    let minimum = minimums.iter().find(|minimum| minimum.session == request.session && minimum.key == key)?;
    (value < minimum.value).then(|| {
        let details =
            format!("{:?} returned {value}, but the session had already seen {}", request, minimum.value);
        Violation::new(Guarantee::ReadYourWrites, details)
    })
}

fn raise_minimum(minimums: &mut Vec<MinimumValue>, session: usize, key: &str, value: i64) {
    match minimums.iter_mut().find(|minimum| minimum.session == session && minimum.key == key) {
        Some(minimum) => minimum.value = minimum.value.max(value),
        None => minimums.push(MinimumValue { session, key: key.to_owned(), value }),
    }
}
