//! What this instance reports of endpoints with each heartbeat, and what follows from an answer.

use {
    super::{
        Board, Effect,
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
pub fn send_when_due(board: &mut Board, now: Instant, out: &mut Vec<Effect>) {
    if board.drain != DrainState::Stopped && membership::due(board, now) {
        send(board, now, out);
    }
}

/// Sends a heartbeat now.
pub fn send(board: &mut Board, now: Instant, out: &mut Vec<Effect>) {
    let reports = board.pool.endpoints.iter_mut().filter_map(|endpoint| report(endpoint, now)).collect();
    let uses: SortedVec<ConnectionUse> = board.pool.endpoints.iter().map(connection_use).collect();
    let heartbeat = membership::heartbeat(board, now, reports, &uses);
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
pub fn on_answer(board: &mut Board, now: Instant, answer: &HeartbeatAnswer, out: &mut Vec<Effect>) {
    let before = board.freshness.catalogue.clone();
    membership::on_answer(board, now, answer);
    let after = board.freshness.catalogue.clone();
    if after.revision != before.revision {
        on_catalogue(board, now, &before, &after, out);
    }
    maintenance::run(board, now, out);
    request::release_tokens(board, now, out);
}

fn on_catalogue(
    board: &mut Board,
    now: Instant,
    before: &Catalogue,
    after: &Arc<Catalogue>,
    out: &mut Vec<Effect>,
) {
    note_new_terms(board, before, after, out);
    drain::note_service(board, now, out);
    for group in &after.groups {
        for entry in &group.endpoints {
            board.pool.learn(&group.service, entry);
        }
    }
}

fn note_new_terms(board: &mut Board, before: &Catalogue, after: &Catalogue, out: &mut Vec<Effect>) {
    for group in &after.groups {
        let Some(old) = before.group(&group.service) else {
            continue;
        };
        if old.term == group.term {
            continue;
        }
        board.counters.failovers += 1;
        out.push(Effect::Note(format!("service {} is in term {}", group.service, group.term).into()));
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
