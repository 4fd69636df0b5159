//! Sends heartbeats with endpoint and connection reports, and applies the answers.

use {
    super::{
        Core, Effect,
        drain::{self, DrainState},
        maintenance, membership,
        permits::ConnectionUse,
        pool::Endpoint,
        request,
    },
    cumincart_protocol::{
        catalogue::Catalogue,
        heartbeat::{EndpointReport, HeartbeatAnswer},
        sorted::SortedVec,
        time::Instant,
    },
    std::sync::Arc,
};

/// Sends a heartbeat when one is due.
pub fn send_when_due(core: &mut Core, now: Instant, out: &mut Vec<Effect>) {
    if core.drain != DrainState::Stopped && membership::is_heartbeat_due(core, now) {
        send(core, now, out);
    }
}

/// Sends a heartbeat now.
pub fn send(core: &mut Core, now: Instant, out: &mut Vec<Effect>) {
    let reports = core.pool.endpoints.iter_mut().filter_map(|endpoint| report(endpoint, now)).collect();
    let uses: SortedVec<ConnectionUse> = core.pool.endpoints.iter().map(connection_use).collect();
    let heartbeat = membership::build_heartbeat(core, now, reports, &uses);
    out.push(Effect::Heartbeat(Box::new(heartbeat)));
}

/// Returns the connections to an endpoint that are open and wanted. Wanted are those for running and queued
/// requests, the latter up to the endpoint's slots, and the minimum pool size on top.
fn connection_use(endpoint: &Endpoint) -> ConnectionUse {
    let running = endpoint.connections - endpoint.closing - endpoint.idle_len();
    let waiting = u32::try_from(endpoint.queue.len()).unwrap_or(u32::MAX);
    let busy = running.saturating_add(waiting.min(endpoint.slots));
    ConnectionUse {
        endpoint: endpoint.name.clone(),
        open: endpoint.connections,
        wanted: busy.saturating_add(maintenance::MIN_POOL_SIZE),
    }
}

/// Applies the leader's answer.
pub fn on_answer(core: &mut Core, now: Instant, answer: &HeartbeatAnswer, out: &mut Vec<Effect>) {
    let before = core.freshness.catalogue.clone();
    membership::on_answer(core, now, answer);
    let after = core.freshness.catalogue.clone();
    if after.revision != before.revision {
        on_catalogue(core, now, &before, &after, out);
    }
    maintenance::run(core, now, out);
    request::apply_quota_decisions(core, now, out);
}

fn on_catalogue(
    core: &mut Core,
    now: Instant,
    before: &Catalogue,
    after: &Arc<Catalogue>,
    out: &mut Vec<Effect>,
) {
    report_new_terms(core, before, after, out);
    drain::update_service_state(core, now, out);
    for group in &after.groups {
        for entry in &group.endpoints {
            core.pool.update_endpoint(&group.service, entry);
        }
    }
}

fn report_new_terms(core: &mut Core, before: &Catalogue, after: &Catalogue, out: &mut Vec<Effect>) {
    for group in &after.groups {
        let Some(old) = before.group(&group.service) else {
            continue;
        };
        if old.term == group.term {
            continue;
        }
        core.counters.failovers += 1;
        out.push(Effect::Log(
            format!("service {}: term changed from {} to {}", group.service, old.term, group.term).into(),
        ));
    }
}

fn report(endpoint: &mut Endpoint, now: Instant) -> Option<EndpointReport> {
    if endpoint.is_stalled(now) {
        endpoint.record_reachability(now, false);
    }
    let reachability = endpoint.reachability.as_mut()?;
    if !reachability.unreported && reachability.reachable {
        return None;
    }
    reachability.unreported = false;
    let since = now.saturating_since(reachability.since);
    Some(EndpointReport {
        endpoint: endpoint.name.clone(),
        reachable: reachability.reachable,
        since_ms: u64::try_from(since.as_millis()).unwrap_or(u64::MAX),
    })
}
