//! A request that is not repeatable is committed at most once, even if the client retries it.

use {
    super::{Guarantee, Violation},
    crate::history::{ClientOperation, FinalEndpoint, History},
};

/// Checks that the final log of each group contains no record twice.
pub(super) fn check(history: &History) -> Vec<Violation> {
    let primaries = history.endpoints.iter().filter(|endpoint| endpoint.is_primary);
    primaries.flat_map(|endpoint| check_log(history, endpoint)).collect()
}

fn check_log(history: &History, endpoint: &FinalEndpoint) -> Vec<Violation> {
    let mut seen: Vec<&str> = Vec::new();
    let mut violations = Vec::new();
    for write in endpoint.log.iter().flat_map(|commit| &commit.writes) {
        let operation = history.request(write.request).map(|request| &request.operation);
        let Some(ClientOperation::Record { id }) = operation else { continue };
        match seen.binary_search(&id.as_str()) {
            Ok(_) => {
                let details = format!("record {id} of service {} was committed twice", endpoint.service);
                violations.push(Violation::new(Guarantee::AtMostOnce, details));
            }
            Err(index) => seen.insert(index, id),
        }
    }
    violations
}
