//! The planned stop: the instance reports that it is not ready, refuses new requests, finishes running ones
//! and releases its shares, permits and connections.

use {
    super::{
        Core, Effect, heartbeat, permits,
        request::{self, Kind},
    },
    cumincart_protocol::{
        refusal::{Refusal, RefusalCode},
        time::Instant,
    },
    serde::Serialize,
    std::time::Duration,
};

/// How long new requests are still accepted after the instance reports not ready, in milliseconds: the time
/// that a load balancer may need to notice.
pub const GRACE_MS: u64 = 2_000;

/// The time after which operators may kill an instance that they have asked to stop.
pub const KILL_AFTER: Duration = Duration::from_secs(40);

/// How long new requests are still accepted after the instance or its failure domain was taken out of
/// service, in milliseconds.
pub const OUT_GRACE_MS: u64 = 1_000;

/// The progress of a planned stop.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainState {
    /// No stop was requested.
    #[default]
    Serving,
    /// Not ready, but requests are still accepted.
    Grace {
        /// The end of the grace period.
        until: Instant,
    },
    /// New requests are refused; running ones continue.
    Ending,
    /// No request is left; connections are being closed.
    Closing,
    /// The process may exit.
    Stopped,
}

/// Whether the platform's load balancer may send requests here.
///
/// An instance that holds a term lease is ready only when it may open connections to each group's primary:
/// one that has just started waits for its permits. One without a lease stays ready, since its failure domain
/// may be cut off and have no other instance.
pub fn is_ready(core: &Core, now: Instant) -> bool {
    let knows_lists = core.freshness.revision().0 > 0;
    let has_permits = !core.freshness.holds_term_lease(now) || may_connect_to_primaries(core, now);
    core.drain == DrainState::Serving && knows_lists && is_in_service(core) && has_permits
}

fn may_connect_to_primaries(core: &Core, now: Instant) -> bool {
    let mut primaries = core.freshness.catalogue.groups.iter().filter_map(|group| group.primary.as_ref());
    primaries.all(|primary| permits::allowed(&core.permits, now, primary) > 0)
}

/// Begins a planned stop.
pub fn begin(core: &mut Core, now: Instant, out: &mut Vec<Effect>) {
    if core.drain != DrainState::Serving {
        return;
    }
    core.drain = DrainState::Grace { until: now + Duration::from_millis(GRACE_MS) };
    let answer_by = now + core.stop_schedule.answer_by();
    core.answer_by = Some(answer_by);
    for pending in core.requests.iter_mut() {
        pending.deadline = pending.deadline.min(answer_by);
    }
    for transaction in core.transactions.iter_mut() {
        transaction.deadline = transaction.deadline.min(answer_by);
        if let Some(operation) = &mut transaction.active_operation {
            operation.deadline = operation.deadline.min(answer_by);
        }
    }
    out.push(Effect::Log("planned stop: not ready any more".into()));
}

/// Returns a deadline, or the time at which a planned stop answers everything if that is earlier.
pub fn cap_deadline(core: &Core, deadline: Instant) -> Instant {
    core.answer_by.map_or(deadline, |answer_by| answer_by.min(deadline))
}

/// Answers the requests that were forwarded and have no answer when a planned stop has no time left.
fn abandon_forwards(core: &mut Core, out: &mut Vec<Effect>) {
    for forward in std::mem::take(&mut core.forwards).into_items() {
        let message = "the instance stops and has no answer of the one that holds the transaction";
        let refusal = Refusal::unknown(RefusalCode::OutOfService, message);
        request::answer(core, forward.ticket, Err(refusal), out);
    }
}

/// Returns the refusal for a request that arrives now; none if it is accepted. Requests within open
/// transactions are always accepted.
pub fn refusal(core: &Core, now: Instant, kind: Kind) -> Option<Refusal> {
    match core.drain {
        DrainState::Serving => out_of_service(core, now),
        // A transaction begun now could outlast the grace period.
        DrainState::Grace { .. } if kind == Kind::Run => None,
        _ => Some(Refusal::not_run(RefusalCode::OutOfService, "this instance is stopping")),
    }
}

fn out_of_service(core: &Core, now: Instant) -> Option<Refusal> {
    let since = core.out_of_service_since?;
    let is_grace_over = now.saturating_since(since) >= Duration::from_millis(OUT_GRACE_MS);
    let message = "this instance or its failure domain is out of service";
    is_grace_over.then(|| Refusal::not_run(RefusalCode::OutOfService, message))
}

/// Updates whether this instance is in service, after the catalogue has changed.
pub fn update_service_state(core: &mut Core, now: Instant, out: &mut Vec<Effect>) {
    match (is_in_service(core), core.out_of_service_since) {
        (true, Some(_)) => {
            core.out_of_service_since = None;
            out.push(Effect::Log("in service again".into()));
        }
        (false, None) => {
            core.out_of_service_since = Some(now);
            out.push(Effect::Log("out of service".into()));
        }
        _ => {}
    }
}

fn is_in_service(core: &Core) -> bool {
    let catalogue = core.freshness.catalogue.as_ref();
    !catalogue.instances_out.contains(&core.settings.instance)
        && !catalogue.is_domain_out(&core.settings.domain)
}

/// Moves a planned stop to its next state when its condition is met.
pub fn advance(core: &mut Core, now: Instant, out: &mut Vec<Effect>) {
    if core.answer_by.is_some_and(|answer_by| answer_by <= now) {
        abandon_forwards(core, out);
    }
    match core.drain {
        DrainState::Serving | DrainState::Stopped => {}
        DrainState::Grace { until } if now < until => {}
        DrainState::Grace { .. } => core.drain = DrainState::Ending,
        DrainState::Ending if is_idle(core) => close_all(core, out),
        DrainState::Ending => {}
        DrainState::Closing if core.pool.connections.is_empty() => stop(core, now, out),
        DrainState::Closing => {}
    }
}

fn is_idle(core: &Core) -> bool {
    core.requests.is_empty()
        && core.transactions.is_empty()
        && core.forwards.is_empty()
        && core.replications.is_empty()
}

fn close_all(core: &mut Core, out: &mut Vec<Effect>) {
    core.drain = DrainState::Closing;
    let connections: Vec<_> = core.pool.connections.iter().map(|connection| connection.id).collect();
    for connection in connections {
        core.pool.close(connection, out);
    }
}

fn stop(core: &mut Core, now: Instant, out: &mut Vec<Effect>) {
    core.drain = DrainState::Stopped;
    core.membership.leaving = true;
    heartbeat::send(core, now, out);
    out.push(Effect::Stopped);
}
