//! Heartbeats to the control leader and their answers.

use {
    super::{Board, Effect, drain::DrainState, freshness::Freshness, pool::Endpoint},
    crate::timing::HEARTBEAT_INTERVAL_MS,
    cumincart_protocol::{
        catalogue::Catalogue,
        heartbeat::{CatalogueChange, CatalogueUpdate, EndpointReport, Heartbeat, HeartbeatAnswer},
        time::Instant,
    },
    std::{sync::Arc, time::Duration},
};

/// Sends a heartbeat when one is due.
pub fn send_when_due(board: &mut Board, now: Instant, out: &mut Vec<Effect>) {
    if now < board.next_heartbeat_at || board.drain == DrainState::Stopped {
        return;
    }
    send(board, now, out);
}

/// Sends a heartbeat now.
pub fn send(board: &mut Board, now: Instant, out: &mut Vec<Effect>) {
    board.next_heartbeat_at = now + Duration::from_millis(HEARTBEAT_INTERVAL_MS);
    let endpoints = board.pool.endpoints.iter_mut().filter_map(|endpoint| report(endpoint, now)).collect();
    let heartbeat = Heartbeat {
        instance: board.settings.instance.clone(),
        incarnation: board.settings.incarnation,
        domain: board.settings.domain.clone(),
        peer_address: board.settings.peer_address.clone(),
        asked_at: now,
        revision: board.freshness.revision(),
        leaving: board.drain == DrainState::Stopped,
        endpoints,
        shares: Vec::new(),
        permits: Vec::new(),
    };
    out.push(Effect::Heartbeat(Box::new(heartbeat)));
}

/// Takes the leader's answer in.
pub fn on_answer(board: &mut Board, now: Instant, answer: &HeartbeatAnswer, out: &mut Vec<Effect>) {
    if answer.incarnation != board.settings.incarnation {
        return;
    }
    let before = board.freshness.catalogue.clone();
    apply(&mut board.freshness, answer);
    let after = board.freshness.catalogue.clone();
    if after.revision == before.revision {
        return;
    }
    note_new_terms(board, &before, &after, out);
    for group in &after.groups {
        for entry in &group.endpoints {
            board.pool.learn(entry);
        }
    }
    super::maintenance::run(board, now, out);
}

fn apply(freshness: &mut Freshness, answer: &HeartbeatAnswer) {
    update(freshness, &answer.update);
    if freshness.revision() < answer.revision {
        return;
    }
    let term_lease_until = answer.asked_at + Duration::from_millis(answer.term_lease_ms);
    let fresh_until = answer.asked_at + Duration::from_millis(answer.freshness_lease_ms);
    freshness.term_lease_until = freshness.term_lease_until.max(term_lease_until);
    freshness.fresh_until = freshness.fresh_until.max(fresh_until);
    if let Some(instances) = &answer.instances {
        freshness.instances = instances.iter().cloned().collect();
    }
}

fn update(freshness: &mut Freshness, update: &CatalogueUpdate) {
    match update {
        CatalogueUpdate::None => {}
        CatalogueUpdate::Snapshot(catalogue) => {
            if catalogue.revision > freshness.revision() {
                freshness.catalogue = catalogue.clone();
            }
        }
        CatalogueUpdate::Deltas(deltas) => {
            for delta in deltas {
                if delta.from != freshness.revision() {
                    continue;
                }
                let mut catalogue = Catalogue::clone(&freshness.catalogue);
                change(&mut catalogue, &delta.change);
                catalogue.revision = delta.to;
                freshness.catalogue = Arc::new(catalogue);
            }
        }
    }
}

fn change(catalogue: &mut Catalogue, change: &CatalogueChange) {
    match change {
        CatalogueChange::Nothing => {}
        CatalogueChange::Lists(revision, lists) => {
            catalogue.lists_revision = *revision;
            catalogue.lists = lists.clone();
        }
        CatalogueChange::DomainsOut(domains) => catalogue.domains_out = domains.clone(),
        CatalogueChange::InstancesOut(instances) => catalogue.instances_out = instances.clone(),
        CatalogueChange::Group(group) => {
            catalogue.groups.insert(Clone::clone(group));
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
