//! Tells a dead primary from a cut link: by missed announcements and by reports from several failure domains.

use {
    super::{Core, choice},
    crate::timing::ANNOUNCEMENT_INTERVAL_MS,
    cumincart_protocol::{
        announcement::{Announcement, Role},
        heartbeat::Heartbeat,
        name::{DomainName, EndpointName, InstanceName},
        sorted::{Keyed, SortedVec},
        time::Instant,
    },
    std::{cmp::Ordering, time::Duration},
};

/// The silence after which reports decide whether an endpoint is dead, in milliseconds.
pub const SILENT_MS: u64 = 4 * ANNOUNCEMENT_INTERVAL_MS;

/// How long a primary must say that it is a replica before it counts as demoted, in milliseconds.
pub const DEMOTED_MS: u64 = 4 * ANNOUNCEMENT_INTERVAL_MS;

/// The silence after which an endpoint counts as dead though nobody reports on it, in milliseconds.
pub const SILENT_ALONE_MS: u64 = 5_000;

/// How long a report that an endpoint was reached counts, in milliseconds; one that it was not counts until the
/// next.
pub const REACHED_COUNTS_MS: u64 = 1_000;

/// In how many failure domains reporters must agree, where there are as many.
pub const AGREEING_DOMAINS: usize = 2;

/// How a dead primary is told and replicas are ordered.
#[derive(Debug, Clone, Copy)]
pub struct Policy {
    /// Whether the evidence shows that the endpoint is dead.
    pub is_dead: fn(&Evidence) -> bool,
    /// Which of two replicas is the better primary.
    pub compare: fn(&Announcement, &Announcement) -> Ordering,
}

impl Default for Policy {
    fn default() -> Self {
        Self { is_dead: agrees_dead, compare: choice::by_position }
    }
}

/// What speaks for and against an endpoint's death.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Evidence {
    /// The time since its last announcement came to this leader.
    pub silent_ms: u64,
    /// Failure domains with live entry instances.
    pub domains: usize,
    /// Failure domains from which it was last not reached.
    pub not_reaching: usize,
    /// Failure domains from which it was reached within `REACHED_COUNTS_MS`.
    pub reaching: usize,
}

/// Whether silence and reports agree that an endpoint is dead.
pub fn agrees_dead(evidence: &Evidence) -> bool {
    let needed = evidence.domains.clamp(1, AGREEING_DOMAINS);
    if evidence.silent_ms < SILENT_MS || evidence.reaching >= needed {
        return false;
    }
    evidence.not_reaching >= needed || evidence.silent_ms >= SILENT_ALONE_MS
}

/// The silence after which a probed endpoint counts as dead where nobody reports that it was reached, in milliseconds:
/// two probes that had their whole time and failed.
pub const PROBE_SILENT_MS: u64 = 1_500;

/// The silence after which a probed endpoint counts as dead where entry instances of several failure domains did not
/// reach it and none did, in milliseconds: a probe that failed, and the interval before it.
pub const PROBE_AGREED_MS: u64 = 600;

/// Whether an endpoint that the leader asks itself is dead: its own attempts fail, and entry instances either agree or
/// have nothing to say for it.
pub fn probe_finds_dead(evidence: &Evidence) -> bool {
    let needed = evidence.domains.clamp(1, AGREEING_DOMAINS);
    let is_agreed = evidence.silent_ms >= PROBE_AGREED_MS && evidence.not_reaching >= needed;
    let is_unheard = evidence.silent_ms >= PROBE_SILENT_MS;
    agrees_dead(evidence) || (evidence.reaching == 0 && (is_agreed || is_unheard))
}

/// The last report of each entry instance on each endpoint.
#[derive(Debug, Default)]
pub struct Reports {
    items: SortedVec<Report>,
}

#[derive(Debug)]
struct Report {
    key: ReportKey,
    domain: DomainName,
    reachable: bool,
    at: Instant,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct ReportKey {
    endpoint: EndpointName,
    instance: InstanceName,
}

impl Keyed for Report {
    type Key = ReportKey;

    fn key(&self) -> &ReportKey {
        &self.key
    }
}

impl Reports {
    /// Takes a heartbeat's reports in.
    pub fn take(&mut self, now: Instant, heartbeat: &Heartbeat) {
        for report in &heartbeat.endpoints {
            let key = ReportKey { endpoint: report.endpoint.clone(), instance: heartbeat.instance.clone() };
            let domain = heartbeat.domain.clone();
            self.items.insert(Report { key, domain, reachable: report.reachable, at: now });
        }
    }

    /// Forgets the reports of an instance that is gone.
    pub fn forget(&mut self, instance: &InstanceName) {
        self.items.retain(|report| report.key.instance != *instance);
    }

    fn domains(&self, endpoint: &EndpointName, counts: impl Fn(&Report) -> bool) -> usize {
        let reports = self.items.iter().filter(|report| report.key.endpoint == *endpoint && counts(report));
        distinct(reports.map(|report| &report.domain))
    }
}

/// Whether the policy takes the endpoint as dead.
pub fn is_dead(core: &Core, now: Instant, endpoint: &EndpointName) -> bool {
    let silent_ms = silent_ms(core, now, endpoint);
    if silent_ms < ANNOUNCEMENT_INTERVAL_MS {
        return false;
    }
    // An announcement that is late may name an address that its sender has lost, so silence must agree.
    if silent_ms >= PROBE_AGREED_MS && is_succeeded(core, endpoint) {
        return true;
    }
    let reports = &core.failover.reports;
    let recent = Duration::from_millis(REACHED_COUNTS_MS);
    let reached = |report: &Report| report.reachable && now.saturating_since(report.at) < recent;
    let evidence = Evidence {
        silent_ms,
        domains: distinct(core.leases.live(now).map(|holder| &holder.domain)),
        not_reaching: reports.domains(endpoint, |report| !report.reachable),
        reaching: reports.domains(endpoint, reached),
    };
    (core.failover.policy.is_dead)(&evidence)
}

/// Whether a later run has taken the endpoint's address.
fn is_succeeded(core: &Core, endpoint: &EndpointName) -> bool {
    let mut entries = core.catalogue.groups.iter().filter_map(|group| group.endpoints.get(endpoint));
    entries.any(|entry| core.presences.has_successor(entry))
}

/// Whether a primary says that it is a replica, for longer than announcements on their way can say so: somebody else
/// has demoted it, and it takes no writes.
pub fn is_demoted(core: &Core, now: Instant, primary: &EndpointName) -> bool {
    core.announcements.get(primary).is_some_and(|heard| {
        let since = now.saturating_since(heard.role_since);
        heard.announcement.role == Role::Replica && since >= Duration::from_millis(DEMOTED_MS)
    })
}

/// Whether the endpoint has missed several announcements.
pub fn is_silent(core: &Core, now: Instant, endpoint: &EndpointName) -> bool {
    silent_ms(core, now, endpoint) >= SILENT_MS
}

fn silent_ms(core: &Core, now: Instant, endpoint: &EndpointName) -> u64 {
    let elected_at = core.replication.elected_at();
    let last = core.announcements.get(endpoint).map_or(elected_at, |heard| heard.at.max(elected_at));
    u64::try_from(now.saturating_since(last).as_millis()).unwrap_or(u64::MAX)
}

fn distinct<'a>(domains: impl Iterator<Item = &'a DomainName>) -> usize {
    let mut seen: Vec<&DomainName> = domains.collect();
    seen.sort_unstable();
    seen.dedup();
    seen.len()
}
