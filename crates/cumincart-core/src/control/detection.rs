//! Failure detection: distinguishes a dead primary from a network partition by missed announcements and by
//! reports from several failure domains.

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

/// The time without an announcement after which the reports decide whether an endpoint is dead, in
/// milliseconds.
pub const SILENT_MS: u64 = 4 * ANNOUNCEMENT_INTERVAL_MS;

/// How long a primary must announce itself as a replica before it is considered demoted, in milliseconds.
pub const DEMOTED_MS: u64 = 4 * ANNOUNCEMENT_INTERVAL_MS;

/// The time without an announcement after which an endpoint is considered dead without any reports, in
/// milliseconds.
pub const SILENT_WITHOUT_REPORTS_MS: u64 = 5_000;

/// How long a report that an endpoint was reached stays valid, in milliseconds. A report that it was not
/// reached stays valid until the next report.
pub const REACHED_REPORT_VALID_MS: u64 = 1_000;

/// The number of failure domains whose reports must agree, if there are that many.
pub const REQUIRED_DOMAINS: usize = 2;

/// The rules for declaring a primary dead and for comparing replicas.
#[derive(Debug, Clone, Copy)]
pub struct Policy {
    /// Returns whether the evidence shows that an endpoint is dead.
    pub is_dead: fn(&Evidence) -> bool,
    /// Compares two replicas; the greater one is the better primary.
    pub compare: fn(&Announcement, &Announcement) -> Ordering,
}

impl Default for Policy {
    fn default() -> Self {
        Self { is_dead: silence_and_reports_agree, compare: choice::by_position }
    }
}

/// The evidence on whether an endpoint is dead.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Evidence {
    /// The time since this leader received its last announcement, in milliseconds.
    pub silent_ms: u64,
    /// The number of failure domains with live entry instances.
    pub domains: usize,
    /// The number of failure domains with an entry instance whose last report says that it was not reached.
    pub domains_not_reaching: usize,
    /// The number of failure domains with an entry instance that reached it within `REACHED_REPORT_VALID_MS`.
    pub domains_reaching: usize,
}

/// Returns whether missed announcements and reports together show that an endpoint is dead.
pub fn silence_and_reports_agree(evidence: &Evidence) -> bool {
    let needed = evidence.domains.clamp(1, REQUIRED_DOMAINS);
    if evidence.silent_ms < SILENT_MS || evidence.domains_reaching >= needed {
        return false;
    }
    evidence.domains_not_reaching >= needed || evidence.silent_ms >= SILENT_WITHOUT_REPORTS_MS
}

/// The time without an answer after which a probed endpoint is considered dead if no entry instance reports
/// that it was reached, in milliseconds: two probes that failed after their full timeout.
pub const PROBE_SILENT_MS: u64 = 1_500;

/// The time without an answer after which a probed endpoint is considered dead if entry instances of several
/// failure domains failed to reach it and none reached it, in milliseconds: the interval between probes and
/// one failed probe.
pub const PROBE_SILENT_AGREED_MS: u64 = 600;

/// Returns whether an endpoint that the leader probes itself is dead: its probes fail, and the entry
/// instances either agree or have not reached it.
pub fn probe_finds_dead(evidence: &Evidence) -> bool {
    let needed = evidence.domains.clamp(1, REQUIRED_DOMAINS);
    let is_agreed = evidence.silent_ms >= PROBE_SILENT_AGREED_MS && evidence.domains_not_reaching >= needed;
    let is_silent_for_long = evidence.silent_ms >= PROBE_SILENT_MS;
    silence_and_reports_agree(evidence)
        || (evidence.domains_reaching == 0 && (is_agreed || is_silent_for_long))
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
    received_at: Instant,
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
    /// Records the reports of a heartbeat.
    pub fn record(&mut self, now: Instant, heartbeat: &Heartbeat) {
        for report in &heartbeat.endpoints {
            let key = ReportKey { endpoint: report.endpoint.clone(), instance: heartbeat.instance.clone() };
            let domain = heartbeat.domain.clone();
            self.items.insert(Report { key, domain, reachable: report.reachable, received_at: now });
        }
    }

    /// Removes the reports of an instance whose lease has ended.
    pub fn forget(&mut self, instance: &InstanceName) {
        self.items.retain(|report| report.key.instance != *instance);
    }

    fn domains(&self, endpoint: &EndpointName, counts: impl Fn(&Report) -> bool) -> usize {
        let reports = self.items.iter().filter(|report| report.key.endpoint == *endpoint && counts(report));
        count_distinct(reports.map(|report| &report.domain))
    }
}

/// Returns whether the policy declares the endpoint dead.
pub fn is_dead(core: &Core, now: Instant, endpoint: &EndpointName) -> bool {
    let silent_ms = silent_ms(core, now, endpoint);
    if silent_ms < ANNOUNCEMENT_INTERVAL_MS {
        return false;
    }
    // A delayed announcement may carry an address that its sender no longer has, so the endpoint must be
    // silent as well.
    if silent_ms >= PROBE_SILENT_AGREED_MS && is_replaced_by_newer_run(core, endpoint) {
        return true;
    }
    let reports = &core.failover.reports;
    let recent = Duration::from_millis(REACHED_REPORT_VALID_MS);
    let reached = |report: &Report| report.reachable && now.saturating_since(report.received_at) < recent;
    let evidence = Evidence {
        silent_ms,
        domains: count_distinct(core.leases.live(now).map(|holder| &holder.domain)),
        domains_not_reaching: reports.domains(endpoint, |report| !report.reachable),
        domains_reaching: reports.domains(endpoint, reached),
    };
    (core.failover.policy.is_dead)(&evidence)
}

/// Returns whether a later run of an endpoint uses the address of this one.
fn is_replaced_by_newer_run(core: &Core, endpoint: &EndpointName) -> bool {
    let mut entries = core.catalogue.groups.iter().filter_map(|group| group.endpoints.get(endpoint));
    let lists = &core.catalogue.lists;
    entries.any(|entry| core.presences.has_newer_run_at_address(lists, entry))
}

/// Returns whether a primary has announced itself as a replica for longer than delayed announcements can
/// explain. It was then demoted from outside and accepts no writes.
pub fn is_demoted(core: &Core, now: Instant, primary: &EndpointName) -> bool {
    core.announcements.get(primary).is_some_and(|received| {
        let since = now.saturating_since(received.role_since);
        received.announcement.role == Role::Replica && since >= Duration::from_millis(DEMOTED_MS)
    })
}

/// Returns whether the endpoint has missed several announcements.
pub fn is_silent(core: &Core, now: Instant, endpoint: &EndpointName) -> bool {
    silent_ms(core, now, endpoint) >= SILENT_MS
}

fn silent_ms(core: &Core, now: Instant, endpoint: &EndpointName) -> u64 {
    let elected_at = core.replication.elected_at();
    let last =
        core.announcements.get(endpoint).map_or(elected_at, |received| received.received_at.max(elected_at));
    u64::try_from(now.saturating_since(last).as_millis()).unwrap_or(u64::MAX)
}

fn count_distinct<'a>(domains: impl Iterator<Item = &'a DomainName>) -> usize {
    let mut seen: Vec<&DomainName> = domains.collect();
    seen.sort_unstable();
    seen.dedup();
    seen.len()
}
