//! No organisation exceeds its rate and burst in any interval.

use {
    super::{Guarantee, Violation},
    crate::history::{ClientOperation, History},
    cumincart_protocol::time::Instant,
};

/// A request that ran. It was admitted at some instant between its sending and its execution.
struct Admitted {
    from: Instant,
    until: Instant,
}

/// Checks every interval: the requests certainly admitted within it must not exceed burst + rate × length.
pub(super) fn check(history: &History) -> Vec<Violation> {
    (0..crate::simulation::ORGANISATIONS)
        .filter_map(|organisation| check_one(history, organisation))
        .collect()
}

fn check_one(history: &History, organisation: usize) -> Option<Violation> {
    let admitted = admitted(history, organisation);
    for first in &admitted {
        // The shortest interval that contains a set of admissions ends at an execution.
        let mut inside: Vec<_> =
            admitted.iter().filter(|other| other.from >= first.from).map(|other| other.until).collect();
        inside.sort_unstable();
        for (index, until) in inside.iter().enumerate() {
            let length_s = until.saturating_since(first.from).as_secs_f64();
            let bound = f64::from(history.burst) + history.rate_per_s * length_s;
            let count = index + 1;
            if count as f64 > bound {
                let details = format!(
                    "organisation {organisation}: {count} requests from {} to {} ms, at most {bound:.1} allowed",
                    first.from.as_millis(),
                    until.as_millis()
                );
                return Some(Violation::new(Guarantee::RateLimits, details));
            }
        }
    }
    None
}

fn admitted(history: &History, organisation: usize) -> Vec<Admitted> {
    let mut seen = Vec::new();
    let mut admitted = Vec::new();
    for execution in &history.executions {
        let Some(request) = history.request(execution.request) else { continue };
        let is_counted = request.organisation == Some(organisation)
            && matches!(
                request.operation,
                ClientOperation::Put { .. } | ClientOperation::Record { .. } | ClientOperation::Get { .. }
            );
        // A request that the proxy retries internally consumes one token only.
        let Err(index) = seen.binary_search(&execution.request) else { continue };
        if is_counted {
            seen.insert(index, execution.request);
            admitted.push(Admitted { from: request.sent_at, until: execution.at });
        }
    }
    admitted
}
