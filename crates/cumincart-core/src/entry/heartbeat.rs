//! What this instance reports of endpoints with each heartbeat, and what follows from an answer.

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

/// What is open to an endpoint and could be used: what runs and waits, within its slots, above the warm reserve.
fn connection_use(endpoint: &Endpoint) -> ConnectionUse {
    let running = endpoint.connections - endpoint.closing - endpoint.idle_len();
    let waiting = u32::try_from(endpoint.queue.len()).unwrap_or(u32::MAX);
    let busy = running.saturating_add(waiting.min(endpoint.slots));
    ConnectionUse {
        endpoint: endpoint.name.clone(),
        open: endpoint.connections,
        wanted: busy.saturating_add(maintenance::WARM_RESERVE),
    }
}

/// Takes the leader's answer in.
pub fn on_answer(core: &mut Core, now: Instant, answer: &HeartbeatAnswer, out: &mut Vec<Effect>) {
    let before = core.freshness.catalogue.clone();
    membership::on_answer(core, now, answer);
    let after = core.freshness.catalogue.clone();
    if after.revision != before.revision {
        on_catalogue(core, now, &before, &after, out);
    }
    maintenance::run(core, now, out);
    request::release_tokens(core, now, out);
}

fn on_catalogue(
    core: &mut Core,
    now: Instant,
    before: &Catalogue,
    after: &Arc<Catalogue>,
    out: &mut Vec<Effect>,
) {
    note_new_terms(core, before, after, out);
    drain::note_service(core, now, out);
    for group in &after.groups {
        for entry in &group.endpoints {
            core.pool.learn(&group.service, entry);
        }
    }
}

fn note_new_terms(core: &mut Core, before: &Catalogue, after: &Catalogue, out: &mut Vec<Effect>) {
    for group in &after.groups {
        let Some(old) = before.group(&group.service) else {
            continue;
        };
        if old.term == group.term {
            continue;
        }
        core.counters.failovers += 1;
        out.push(Effect::Log(format!("service {} is in term {}", group.service, group.term).into()));
    }
}

fn report(endpoint: &mut Endpoint, now: Instant) -> Option<EndpointReport> {
    if endpoint.is_stalled(now) {
        endpoint.note_contact(now, false);
    }
    let contact = endpoint.contact.as_mut()?;
    if !contact.news && contact.reachable {
        return None;
    }
    contact.news = false;
    let since = now.saturating_since(contact.since);
    Some(EndpointReport {
        endpoint: endpoint.name.clone(),
        reachable: contact.reachable,
        since_ms: u64::try_from(since.as_millis()).unwrap_or(u64::MAX),
    })
}
