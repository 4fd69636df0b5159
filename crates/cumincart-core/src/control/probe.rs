//! Probes: the leader queries the state of an endpoint's log if the endpoint does not announce it itself.

use {
    super::{Core, Effect, announcements, failover},
    cumincart_protocol::{
        announcement::{Announcement, LogState},
        catalogue::{EndpointEntry, Group},
        name::{EndpointName, ServiceName},
        sorted::{Keyed, SortedVec},
        time::Instant,
    },
    std::{sync::Arc, time::Duration},
};

/// The interval between two probes of an endpoint in a writable group, in milliseconds.
pub const PROBE_INTERVAL_MS: u64 = 500;

/// The interval between two probes while the group has no writable primary or the last probe failed, in
/// milliseconds.
pub const PROBE_URGENT_INTERVAL_MS: u64 = 100;

/// The number of urgent probes in a tick. Beyond it endpoints are probed at [`PROBE_INTERVAL_MS`], so that a start of
/// everything, when no group has a primary, does not cost the leader five times what it can bear afterwards.
pub const URGENT_PROBES_PER_TICK: usize = 5;

/// The number of endpoints that are probed for the first time in a tick.
pub const FIRST_PROBES_PER_TICK: usize = 10;

/// The timeout of a probe, in milliseconds: a round trip between regions plus the time that the probe waits
/// in the endpoint's queue.
pub const PROBE_TIMEOUT_MS: u64 = 600;

/// A query for the state of an endpoint's log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Probe {
    /// The service.
    pub service: ServiceName,
    /// The endpoint.
    pub endpoint: EndpointName,
    /// Its address, as `ip:port`.
    pub address: Arc<str>,
    /// When the probe was sent. The answer describes a later moment.
    pub sent_at: Instant,
}

#[derive(Debug)]
struct ProbeState {
    endpoint: EndpointName,
    sent_at: Instant,
    is_waiting: bool,
    has_failed: bool,
}

impl Keyed for ProbeState {
    type Key = EndpointName;

    fn key(&self) -> &EndpointName {
        &self.endpoint
    }
}

/// The probes sent under this leadership.
#[derive(Debug, Default)]
pub struct Probes {
    /// Whether endpoints are probed at all.
    pub is_enabled: bool,
    states: SortedVec<ProbeState>,
}

/// Resets the probes at the start of a leadership.
pub fn on_elected(core: &mut Core) {
    core.probes.states = SortedVec::new();
}

/// Sends the probes that are due.
pub fn on_tick(core: &mut Core, now: Instant, out: &mut Vec<Effect>) {
    if !core.probes.is_enabled || !failover::is_established_leader(core) {
        return;
    }
    let catalogue = Arc::clone(&core.catalogue);
    let mut left = ProbesLeft { first: FIRST_PROBES_PER_TICK, urgent: URGENT_PROBES_PER_TICK };
    for group in &catalogue.groups {
        for entry in &group.endpoints {
            send_if_due(&mut core.probes, now, group, entry, &mut left, out);
        }
    }
}

/// The probes that may still be sent in a tick, beside those that are due at the regular interval.
struct ProbesLeft {
    first: usize,
    urgent: usize,
}

/// Takes one of what is left. Returns whether there was one.
fn take(left: &mut usize) -> bool {
    let is_left = *left > 0;
    *left = left.saturating_sub(1);
    is_left
}

fn send_if_due(
    probes: &mut Probes,
    now: Instant,
    group: &Group,
    entry: &EndpointEntry,
    left: &mut ProbesLeft,
    out: &mut Vec<Effect>,
) {
    let probe_state = probes.states.get(&entry.name);
    let is_urgent = !group.writable || probe_state.is_some_and(|probe_state| probe_state.has_failed);
    let interval_ms = if is_urgent { PROBE_URGENT_INTERVAL_MS } else { PROBE_INTERVAL_MS };
    let since = probe_state.map(|probe_state| now.saturating_since(probe_state.sent_at));
    let is_due = probe_state.is_none_or(|probe_state| {
        let wait_ms = if probe_state.is_waiting { 2 * PROBE_TIMEOUT_MS } else { interval_ms };
        since >= Some(Duration::from_millis(wait_ms))
    });
    if !is_due {
        return;
    }
    let is_allowed = match since {
        None => take(&mut left.first),
        Some(since) => since >= Duration::from_millis(PROBE_INTERVAL_MS) || take(&mut left.urgent),
    };
    if !is_allowed {
        return;
    }
    let has_failed = probe_state.is_some_and(|probe_state| probe_state.has_failed);
    probes.states.insert(ProbeState {
        endpoint: entry.name.clone(),
        sent_at: now,
        is_waiting: true,
        has_failed,
    });
    out.push(Effect::Probe(Probe {
        service: group.service.clone(),
        endpoint: entry.name.clone(),
        address: Arc::clone(&entry.address),
        sent_at: now,
    }));
}

/// Records an answer as an announcement that the endpoint made when the probe was sent.
pub fn on_probed(
    core: &mut Core,
    now: Instant,
    probe: &Probe,
    answer: Option<LogState>,
    out: &mut Vec<Effect>,
) {
    if !core.election.is_leader() || probe.sent_at < core.replication.elected_at() {
        return;
    }
    let Some(probe_state) = core.probes.states.get_mut(&probe.endpoint) else { return };
    if probe_state.sent_at != probe.sent_at {
        return;
    }
    probe_state.is_waiting = false;
    let had_failed = std::mem::replace(&mut probe_state.has_failed, answer.is_none());
    if had_failed != answer.is_none() {
        let status = if answer.is_some() { "answers again" } else { "does not answer" };
        let waited_ms = now.saturating_since(probe.sent_at).as_millis();
        let message = format!("{}: endpoint {} {status} ({waited_ms} ms)", probe.service, probe.endpoint);
        out.push(Effect::Log(message.into()));
    }
    let Some(state) = answer else { return };
    let group = core.catalogue.group(&probe.service);
    let Some(entry) = group.and_then(|group| group.endpoints.get(&probe.endpoint)) else { return };
    if entry.address != probe.address {
        return;
    }
    let announcement = announcement(&probe.service, entry, state);
    announcements::record(core, probe.sent_at, announcement, out);
}

fn announcement(service: &ServiceName, entry: &EndpointEntry, state: LogState) -> Announcement {
    Announcement {
        endpoint: entry.name.clone(),
        service: service.clone(),
        address: entry.address.clone(),
        domain: entry.domain.clone(),
        role: state.role,
        timeline: state.timeline,
        position: state.position,
        lag_ms: state.lag_ms,
        slots: entry.slots,
        connection_limit: entry.connection_limit,
        leaving: entry.leaving,
    }
}
