//! Counts of the requests that began to run at endpoints, by organisation and interval, for the usage reports of the
//! control leader.
//!
//! A count is a total of its interval and is sent again until the leader has answered, so that a lost or repeated
//! heartbeat neither loses nor doubles requests. Everything is kept for a while, because a new leader knows nothing of
//! what earlier leaders have received.

use {
    cumincart_protocol::{
        name::OrganisationName,
        sorted::{Keyed, SortedVec},
        time::Instant,
        usage::{INTERVAL_MS, IntervalCounts, UsageReport},
    },
    std::time::Duration,
};

/// How long counts are kept, in milliseconds: longer than a window and the time after it in which its report is due.
pub const RETENTION_MS: u64 = 30_000;

/// The counts of an entry instance.
#[derive(Debug, Default)]
pub struct Usage {
    /// Whether requests are counted.
    pub is_enabled: bool,
    /// The time of day when the next heartbeat is sent, in milliseconds since the start of 1970.
    pub unix_ms: u64,
    counts: SortedVec<IntervalCount>,
}

impl Usage {
    /// Returns a state without counts.
    pub fn open(is_enabled: bool) -> Self {
        Self { is_enabled, ..Self::default() }
    }
}

/// The requests of one organisation in one interval.
#[derive(Debug)]
struct IntervalCount {
    key: (OrganisationName, u64),
    requests: u32,
    changed_at: Instant,
}

impl Keyed for IntervalCount {
    type Key = (OrganisationName, u64);

    fn key(&self) -> &Self::Key {
        &self.key
    }
}

/// Counts requests of an organisation that an endpoint began to run at `began_at`.
pub fn record(
    usage: &mut Usage,
    now: Instant,
    began_at: Instant,
    organisation: &OrganisationName,
    requests: u32,
) {
    if !usage.is_enabled || requests == 0 {
        return;
    }
    let key = (organisation.clone(), began_at.as_millis() / INTERVAL_MS);
    let count = usage.counts.get_or_insert_with(&key, || IntervalCount {
        key: key.clone(),
        requests: 0,
        changed_at: now,
    });
    count.requests = count.requests.saturating_add(requests);
    count.changed_at = now;
}

/// Returns the report for a heartbeat sent now: the counts that have changed since `acknowledged_until`, or all of them
/// if that is none.
pub fn report(usage: &mut Usage, now: Instant, acknowledged_until: Option<Instant>) -> Option<UsageReport> {
    if !usage.is_enabled {
        return None;
    }
    let kept_from = (now - Duration::from_millis(RETENTION_MS)).as_millis() / INTERVAL_MS;
    usage.counts.retain(|count| count.key.1 >= kept_from);
    let mut counts: Vec<IntervalCounts> = Vec::new();
    let is_unacknowledged =
        |count: &&IntervalCount| acknowledged_until.is_none_or(|until| count.changed_at >= until);
    for count in usage.counts.iter().filter(is_unacknowledged) {
        let (organisation, interval) = &count.key;
        let interval = (*interval, count.requests);
        match counts.last_mut().filter(|last| last.organisation == *organisation) {
            Some(last) => last.intervals.push(interval),
            None => {
                counts.push(IntervalCounts { organisation: organisation.clone(), intervals: vec![interval] });
            }
        }
    }
    Some(UsageReport { unix_ms: usage.unix_ms, counts })
}
