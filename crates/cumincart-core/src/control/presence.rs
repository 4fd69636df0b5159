//! Endpoints that announce their presence but not the state of their log: the leader keeps the last presence
//! message of each and the endpoints' entries in the catalogue.

use {
    super::{Core, Effect, departures, election, failover, replicate},
    cumincart_protocol::{
        announcement::Presence,
        catalogue::{Catalogue, EndpointEntry, Group},
        lists::Lists,
        name::{EndpointName, ServiceName},
        number::LogIndex,
        replication::{Command, ReplicationBody},
        sorted::{Keyed, SortedVec},
        time::Instant,
    },
    std::{sync::Arc, time::Duration},
};

/// How long an endpoint must be silent before it is removed from its group, in milliseconds: several of the
/// longest usual intervals between presence messages.
pub const EXPIRE_AFTER_MS: u64 = 15_000;

/// The interval between two checks of all endpoints, in milliseconds. A message that changes an endpoint's entry takes
/// effect when it arrives; the check is for those that had to wait for a record or for the lists.
const CHECK_INTERVAL_MS: u64 = 100;

/// The connections of each endpoint that are reserved for the control instances' probes.
pub const PROBE_CONNECTIONS: u32 = 2;

/// The last presence message of an endpoint.
#[derive(Debug, Clone)]
struct ReceivedPresence {
    presence: Presence,
    received_at: Instant,
    /// When the endpoint's run was first announced at its address.
    announced_since: Instant,
    /// The record that last changed the endpoint's entry.
    proposed: LogIndex,
}

impl Keyed for ReceivedPresence {
    type Key = EndpointName;

    fn key(&self) -> &EndpointName {
        &self.presence.endpoint
    }
}

/// The last presence message of each endpoint, as received by the leader.
#[derive(Debug, Default)]
pub struct Presences {
    received: SortedVec<ReceivedPresence>,
    /// The endpoints that were announced at each address.
    addresses: SortedVec<AddressUse>,
    /// When all endpoints are checked next.
    next_check_at: Instant,
}

/// The endpoints that were announced at an address.
#[derive(Debug)]
struct AddressUse {
    address: Arc<str>,
    endpoints: Vec<EndpointName>,
}

impl Keyed for AddressUse {
    type Key = Arc<str>;

    fn key(&self) -> &Arc<str> {
        &self.address
    }
}

impl Presences {
    /// Returns the last presence message of an endpoint.
    pub fn get(&self, endpoint: &EndpointName) -> Option<&Presence> {
        self.received.get(endpoint).map(|received| &received.presence)
    }

    /// Returns the number of endpoints of a group's service that are present, but not in the group yet.
    pub fn joining(&self, group: &Group) -> usize {
        let is_joining = |received: &&ReceivedPresence| {
            let presence = &received.presence;
            presence.service == group.service
                && !presence.ended
                && !group.endpoints.contains(&presence.endpoint)
        };
        self.received.iter().filter(is_joining).count()
    }

    /// Returns whether a later run under another name announces itself at the endpoint's address, which shows
    /// that the endpoint's own run has ended. Only runs of configured services count.
    pub fn has_newer_run_at_address(&self, lists: &Lists, entry: &EndpointEntry) -> bool {
        let born_ms = self.get(&entry.name).map(|presence| presence.born_ms);
        self.configured_at(lists, &entry.address).any(|other| {
            other.endpoint != entry.name
                && !other.ended
                && born_ms.is_none_or(|born_ms| other.born_ms > born_ms)
        })
    }

    /// Returns the last presence messages of the endpoints of configured services at an address.
    fn configured_at<'a>(
        &'a self,
        lists: &'a Lists,
        address: &Arc<str>,
    ) -> impl Iterator<Item = &'a Presence> {
        let endpoints = self.addresses.get(address).into_iter().flat_map(|known| &known.endpoints);
        endpoints
            .filter_map(|endpoint| self.get(endpoint))
            .filter(|presence| is_configured(lists, &presence.service))
    }

    fn insert(&mut self, received: ReceivedPresence) {
        self.remove(&received.presence.endpoint.clone());
        let (address, endpoint) = (&received.presence.address, &received.presence.endpoint);
        let at = || AddressUse { address: address.clone(), endpoints: Vec::new() };
        self.addresses.get_or_insert_with(address, at).endpoints.push(endpoint.clone());
        self.received.insert(received);
    }

    fn remove(&mut self, endpoint: &EndpointName) {
        let Some(received) = self.received.remove(endpoint) else { return };
        let address = &received.presence.address;
        let Some(known) = self.addresses.get_mut(address) else { return };
        known.endpoints.retain(|other| other != endpoint);
        if known.endpoints.is_empty() {
            self.addresses.remove(address);
        }
    }
}

/// Returns whether the lists name a service. Endpoints of other services may be announced by other systems, or before
/// the lists that name their service; such a message must not affect the endpoints of configured services.
fn is_configured(lists: &Lists, service: &ServiceName) -> bool {
    lists.interactive.services.contains(service)
}

/// Resets the presence messages at the start of a leadership.
pub fn on_elected(core: &mut Core) {
    core.presences = Presences::default();
}

/// Handles a presence message; a follower forwards it to the leader.
pub fn on_present(core: &mut Core, now: Instant, presence: Presence, out: &mut Vec<Effect>) {
    if core.election.is_leader() {
        record(core, now, presence, out);
        return;
    }
    let Some(leader) = election::leader_member(core) else { return };
    replicate::send(core, leader, ReplicationBody::Presences(vec![presence]), out);
}

/// Handles presence messages that a follower has forwarded.
pub fn on_forwarded(core: &mut Core, now: Instant, presences: Vec<Presence>, out: &mut Vec<Effect>) {
    if !core.election.is_leader() {
        return;
    }
    for presence in presences {
        record(core, now, presence, out);
    }
}

/// Updates the entries of endpoints from their presence messages, and removes endpoints that have been silent
/// for long.
pub fn on_tick(core: &mut Core, now: Instant, out: &mut Vec<Effect>) {
    if !failover::is_established_leader(core) || now < core.presences.next_check_at {
        return;
    }
    core.presences.next_check_at = now + Duration::from_millis(CHECK_INTERVAL_MS);
    let received: Vec<EndpointName> =
        core.presences.received.iter().map(|received| received.presence.endpoint.clone()).collect();
    for endpoint in received {
        sync_entry(core, now, &endpoint, out);
    }
    forget_unconfigured(core, now);
    // Waits until all proposed records are applied, so that no endpoint is removed twice.
    if core.probes.is_enabled && core.log.applied == core.log.last_index() {
        remove_expired(core, now, out);
    }
}

/// How a presence message relates to what is recorded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Standing {
    /// It is the newest of its run, and no later run is known.
    Current,
    /// The same message, or a later one of its run, is recorded.
    Repeated,
    /// A later run has taken its name or its address, or it names a service that is not configured and another message
    /// of the name does not.
    Superseded,
}

/// Returns how a presence message relates to the recorded ones. A message for an unconfigured service never replaces one
/// for a configured service, and the reverse always happens.
fn standing(core: &Core, presence: &Presence) -> Standing {
    let (presences, lists) = (&core.presences, &core.catalogue.lists);
    let mut is_repeated = false;
    if let Some(last) = presences.get(&presence.endpoint) {
        let was_configured = is_configured(lists, &last.service);
        if was_configured != is_configured(lists, &presence.service) {
            return if was_configured { Standing::Superseded } else { Standing::Current };
        }
        if last.born_ms > presence.born_ms {
            return Standing::Superseded;
        }
        is_repeated = last.born_ms == presence.born_ms && last.sequence >= presence.sequence;
    }
    if is_address_taken(core, presence) {
        Standing::Superseded
    } else if is_repeated {
        Standing::Repeated
    } else {
        Standing::Current
    }
}

/// Returns whether a later run under another name has taken the address of a presence message. It has not if the endpoint
/// itself has answered there since.
fn is_address_taken(core: &Core, presence: &Presence) -> bool {
    let presences = &core.presences;
    let has_answered_since = |other: &Presence| {
        let other = presences.received.get(&other.endpoint);
        let entry = known_entry(&core.catalogue, &presence.service, &presence.endpoint);
        let is_there = entry.is_some_and(|entry| entry.address == presence.address);
        let answered = |since| core.announcements.since(&presence.endpoint, since).is_some();
        is_there && other.is_some_and(|other| answered(other.announced_since))
    };
    presences.configured_at(&core.catalogue.lists, &presence.address).any(|other| {
        other.endpoint != presence.endpoint
            && !other.ended
            && other.born_ms > presence.born_ms
            && !has_answered_since(other)
    })
}

/// Records a presence message. Returns whether the last recorded one of the endpoint's run is this or a later one; if not,
/// a later run has taken the endpoint's name or address.
pub(super) fn record(core: &mut Core, now: Instant, presence: Presence, out: &mut Vec<Effect>) -> bool {
    match standing(core, &presence) {
        Standing::Current => {}
        Standing::Repeated => return true,
        Standing::Superseded => return false,
    }
    let lists = &core.catalogue.lists;
    let endpoint = presence.endpoint.clone();
    let has_lists = !lists.interactive.services.is_empty();
    if has_lists && !is_configured(lists, &presence.service) && core.presences.get(&endpoint).is_none() {
        let text = format!("{}: not configured; endpoint {endpoint} is not used", presence.service);
        out.push(Effect::Log(text.into()));
    }
    let last = core.presences.received.get(&endpoint);
    let proposed = last.map(|last| last.proposed).unwrap_or_default();
    let is_same_run = |last: &Presence| last.born_ms == presence.born_ms && last.address == presence.address;
    let announced_since =
        last.filter(|last| is_same_run(&last.presence)).map_or(now, |last| last.announced_since);
    core.presences.insert(ReceivedPresence { presence, received_at: now, announced_since, proposed });
    if failover::is_established_leader(core) {
        sync_entry(core, now, &endpoint, out);
    }
    true
}

/// Records that an endpoint has ended.
pub(super) fn record_end(core: &mut Core, now: Instant, endpoint: &EndpointName, out: &mut Vec<Effect>) {
    let Some(known) = core.presences.get(endpoint).cloned() else { return };
    let sequence = known.sequence.saturating_add(1);
    record(core, now, Presence { ended: true, leaving: true, sequence, ..known }, out);
}

/// Returns whether the catalogue shows an endpoint as it last reported itself, as far as the lists name its service.
pub(super) fn is_in_force(core: &Core, endpoint: &EndpointName) -> bool {
    failover::is_established_leader(core)
        && core.presences.received.get(endpoint).is_none_or(|received| {
            let due = due_command(core, &received.presence);
            let is_held =
                matches!(due, Some(Command::RemoveEndpoint(..))) && is_held_leaving(core, &received.presence);
            core.log.applied >= received.proposed && (due.is_none() || is_held)
        })
}

/// Returns whether an endpoint that has ended is still in its group, because it may hold commits, and gets no requests.
fn is_held_leaving(core: &Core, presence: &Presence) -> bool {
    let is_synchronous =
        core.catalogue.group(&presence.service).is_some_and(|group| group.commit_holders.replicas > 0);
    let known = known_entry(&core.catalogue, &presence.service, &presence.endpoint);
    is_synchronous && known.is_some_and(|entry| entry.leaving)
}

/// Updates the endpoint's entry to match its last presence message.
fn sync_entry(core: &mut Core, now: Instant, endpoint: &EndpointName, out: &mut Vec<Effect>) {
    let Some(received) = core.presences.received.get(endpoint) else { return };
    if core.log.applied < received.proposed {
        return;
    }
    let command = match due_command(core, &received.presence) {
        Some(Command::RemoveEndpoint(service, endpoint))
            if !departures::may_remove(core, now, &service, &endpoint) =>
        {
            leave_command(core, service, &endpoint)
        }
        command => command,
    };
    let Some(command) = command else { return };
    out.push(Effect::Log(describe(&command)));
    let index = replicate::propose(core, now, command, out);
    if let Some(received) = core.presences.received.get_mut(endpoint) {
        received.proposed = index;
    }
}

/// Returns the command that makes the catalogue match an endpoint's presence message; `None` if it does, or if its service
/// is not configured.
fn due_command(core: &Core, presence: &Presence) -> Option<Command> {
    let (service, endpoint) = (&presence.service, &presence.endpoint);
    let limits = core.catalogue.lists.interactive.services.get(service)?;
    let entry = entry(presence, limits.connection_limit.saturating_sub(PROBE_CONNECTIONS).max(1));
    let known = known_entry(&core.catalogue, service, endpoint);
    if !presence.ended {
        return (known != Some(&entry)).then(|| Command::PutEndpoint(service.clone(), entry));
    }
    let is_removed = known.is_none() || is_primary(&core.catalogue, service, endpoint);
    (!is_removed).then(|| Command::RemoveEndpoint(service.clone(), endpoint.clone()))
}

/// Returns the command that shows an endpoint as leaving; `None` if it is shown so.
fn leave_command(core: &Core, service: ServiceName, endpoint: &EndpointName) -> Option<Command> {
    let entry = known_entry(&core.catalogue, &service, endpoint).filter(|entry| !entry.leaving)?;
    let entry = EndpointEntry { leaving: true, ..entry.clone() };
    Some(Command::PutEndpoint(service, entry))
}

fn describe(command: &Command) -> Arc<str> {
    match command {
        Command::PutEndpoint(service, entry) => format!(
            "{service}: endpoint {} at {} in {}, leaving: {}",
            entry.name, entry.address, entry.domain, entry.leaving
        ),
        Command::RemoveEndpoint(service, endpoint) => format!("{service}: endpoint {endpoint} is removed"),
        _ => String::new(),
    }
    .into()
}

/// Drops the messages of silent endpoints whose service is not configured. They are in no group, from which they could
/// be removed.
fn forget_unconfigured(core: &mut Core, now: Instant) {
    let lists = &core.catalogue.lists;
    let timeout = Duration::from_millis(EXPIRE_AFTER_MS);
    let is_forgotten = |received: &&ReceivedPresence| {
        !is_configured(lists, &received.presence.service)
            && now.saturating_since(received.received_at) >= timeout
    };
    let forgotten: Vec<EndpointName> = core
        .presences
        .received
        .iter()
        .filter(is_forgotten)
        .map(|received| received.presence.endpoint.clone())
        .collect();
    for endpoint in forgotten {
        core.presences.remove(&endpoint);
    }
}

fn remove_expired(core: &mut Core, now: Instant, out: &mut Vec<Effect>) {
    let timeout = Duration::from_millis(EXPIRE_AFTER_MS);
    let elected_at = core.replication.elected_at();
    let silent_since = |endpoint: &EndpointName| {
        let last_presence =
            core.presences.received.get(endpoint).map_or(elected_at, |received| received.received_at);
        let last_answer =
            core.announcements.get(endpoint).map_or(elected_at, |received| received.received_at);
        last_presence.max(last_answer).max(elected_at)
    };
    let mut expired: Vec<(ServiceName, EndpointName)> = Vec::new();
    for group in &core.catalogue.groups {
        let silent = group.endpoints.iter().filter(|entry| {
            group.primary.as_ref() != Some(&entry.name)
                && now.saturating_since(silent_since(&entry.name)) >= timeout
        });
        expired.extend(silent.map(|entry| (group.service.clone(), entry.name.clone())));
    }
    for (service, endpoint) in expired {
        if !departures::may_remove(core, now, &service, &endpoint) {
            continue;
        }
        out.push(Effect::Log(format!("{service}: endpoint {endpoint} is silent and was removed").into()));
        core.presences.remove(&endpoint);
        replicate::propose(core, now, Command::RemoveEndpoint(service, endpoint), out);
    }
}

fn entry(presence: &Presence, connection_limit: u32) -> EndpointEntry {
    EndpointEntry {
        name: presence.endpoint.clone(),
        address: presence.address.clone(),
        domain: presence.domain.clone(),
        slots: presence.slots,
        connection_limit,
        leaving: presence.leaving,
    }
}

fn known_entry<'a>(
    catalogue: &'a Catalogue,
    service: &ServiceName,
    endpoint: &EndpointName,
) -> Option<&'a EndpointEntry> {
    catalogue.group(service)?.endpoints.get(endpoint)
}

fn is_primary(catalogue: &Catalogue, service: &ServiceName, endpoint: &EndpointName) -> bool {
    catalogue.group(service).is_some_and(|group| group.primary.as_ref() == Some(endpoint))
}
