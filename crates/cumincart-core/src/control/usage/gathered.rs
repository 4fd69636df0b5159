//! What entry instances have counted, as gathered by the leader, and the conversion of their clocks to true time.

use {
    cumincart_protocol::{
        heartbeat::Heartbeat,
        name::{InstanceName, OrganisationName},
        number::Incarnation,
        replication::InstanceIncarnation,
        sorted::{Keyed, SortedVec},
        time::Instant,
        usage::{INTERVAL_MS, OrganisationCount, UsageReport},
    },
    std::time::Duration,
};

/// How recently an instance must have been heard for its time of day to count, in milliseconds: a few heartbeats.
const CLOCK_MAX_AGE_MS: u64 = 3_000;

/// The counts of all instances.
#[derive(Debug, Default)]
pub(super) struct Gathered {
    instances: SortedVec<InstanceUsage>,
}

/// The counts of one run of an instance.
#[derive(Debug)]
struct InstanceUsage {
    key: (InstanceName, Incarnation),
    /// The smallest difference of the leader's steady clock from the instance's, in microseconds.
    clock_difference_us: i64,
    /// The difference of the instance's time of day from its steady clock, in microseconds.
    time_of_day_us: i64,
    /// The instance's clock when it sent the last heartbeat that was received.
    reported_at: Instant,
    /// Whether a full report was received.
    is_full: bool,
    heard_at: Instant,
    counts: SortedVec<IntervalCount>,
}

impl Keyed for InstanceUsage {
    type Key = (InstanceName, Incarnation);

    fn key(&self) -> &Self::Key {
        &self.key
    }
}

/// The requests of one organisation in one interval of an instance's clock.
#[derive(Debug)]
struct IntervalCount {
    key: (u64, OrganisationName),
    requests: u32,
}

impl Keyed for IntervalCount {
    type Key = (u64, OrganisationName);

    fn key(&self) -> &Self::Key {
        &self.key
    }
}

/// The difference of true time from the leader's steady clock.
#[derive(Debug, Clone, Copy)]
pub(super) struct Offset {
    us: i64,
}

impl Offset {
    /// Returns the true time at an instant of the leader's clock, in milliseconds since the start of 1970.
    pub(super) fn unix_ms(self, at: Instant) -> u64 {
        whole_ms(signed_us(at).saturating_add(self.us))
    }
}

fn signed_us(at: Instant) -> i64 {
    i64::try_from(at.as_micros()).unwrap_or(i64::MAX)
}

fn whole_ms(us: i64) -> u64 {
    u64::try_from(us / 1_000).unwrap_or_default()
}

impl InstanceUsage {
    /// Returns the true time at an instant of the instance's clock, in milliseconds since the start of 1970.
    fn unix_ms(&self, offset: Offset, at: Instant) -> u64 {
        whole_ms(signed_us(at).saturating_add(self.clock_difference_us).saturating_add(offset.us))
    }

    /// Returns the true time in the middle of an interval.
    fn interval_unix_ms(&self, offset: Offset, interval: u64) -> u64 {
        let middle_ms = interval.saturating_mul(INTERVAL_MS).saturating_add(INTERVAL_MS / 2);
        self.unix_ms(offset, Instant::from_micros(middle_ms.saturating_mul(1_000)))
    }
}

impl Gathered {
    /// Records the report of a heartbeat that was received now.
    pub(super) fn record(&mut self, now: Instant, heartbeat: &Heartbeat, report: &UsageReport) {
        let key = (heartbeat.instance.clone(), heartbeat.incarnation);
        let sent_us = signed_us(heartbeat.asked_at);
        let clock_difference_us = signed_us(now).saturating_sub(sent_us);
        let unix_us = i64::try_from(report.unix_ms.saturating_mul(1_000)).unwrap_or(i64::MAX);
        let instance = self.instances.get_or_insert_with(&key, || InstanceUsage {
            key: key.clone(),
            clock_difference_us,
            time_of_day_us: 0,
            reported_at: Instant::ZERO,
            is_full: false,
            heard_at: now,
            counts: SortedVec::new(),
        });
        instance.clock_difference_us = instance.clock_difference_us.min(clock_difference_us);
        instance.is_full |= heartbeat.complete;
        instance.heard_at = now;
        if heartbeat.asked_at >= instance.reported_at {
            instance.reported_at = heartbeat.asked_at;
            instance.time_of_day_us = unix_us.saturating_sub(sent_us);
        }
        for organisation in &report.counts {
            for (interval, requests) in &organisation.intervals {
                let key = (*interval, organisation.organisation.clone());
                let count = instance
                    .counts
                    .get_or_insert_with(&key, || IntervalCount { key: key.clone(), requests: 0 });
                count.requests = count.requests.max(*requests);
            }
        }
    }

    /// Returns the difference of true time from the leader's clock: the median of what the instances' clocks say. None if
    /// no instance was heard recently.
    pub(super) fn offset(&self, now: Instant) -> Option<Offset> {
        let max_age = Duration::from_millis(CLOCK_MAX_AGE_MS);
        let mut offsets: Vec<i64> = self
            .instances
            .iter()
            .filter(|instance| now.saturating_since(instance.heard_at) <= max_age)
            .map(|instance| instance.time_of_day_us.saturating_sub(instance.clock_difference_us))
            .collect();
        offsets.sort_unstable();
        offsets.get(offsets.len() / 2).map(|us| Offset { us: *us })
    }

    /// Returns whether a run's counts are complete up to a true time.
    pub(super) fn has_reported_until(&self, run: &InstanceIncarnation, offset: Offset, unix_ms: u64) -> bool {
        let known = self.instances.get(&(run.instance.clone(), run.incarnation));
        known.is_some_and(|known| known.is_full && known.unix_ms(offset, known.reported_at) >= unix_ms)
    }

    /// Returns the requests of each organisation from `start_ms` until before `end_ms` of true time.
    pub(super) fn counts(&self, offset: Offset, start_ms: u64, end_ms: u64) -> SortedVec<OrganisationCount> {
        let mut counts: SortedVec<OrganisationCount> = SortedVec::new();
        for instance in &self.instances {
            for IntervalCount { key: (interval, organisation), requests } in &instance.counts {
                if !(start_ms..end_ms).contains(&instance.interval_unix_ms(offset, *interval)) {
                    continue;
                }
                let count = counts.get_or_insert_with(organisation, || OrganisationCount {
                    organisation: organisation.clone(),
                    requests: 0,
                });
                count.requests += u64::from(*requests);
            }
        }
        counts
    }

    /// Returns the true time at which the first of the instances started.
    pub(super) fn first_start_ms(&self, offset: Offset) -> Option<u64> {
        self.instances.iter().map(|instance| instance.unix_ms(offset, Instant::ZERO)).min()
    }

    /// Drops the counts of an instance before a true time.
    pub(super) fn drop_before(&mut self, instance: &InstanceName, offset: Offset, unix_ms: u64) {
        for run in self.instances.iter_mut().filter(|known| known.key.0 == *instance) {
            drop_counts(run, offset, unix_ms);
        }
    }

    /// Drops all counts before a true time, and instances that are not heard any more.
    pub(super) fn drop_all_before(&mut self, offset: Offset, unix_ms: u64) {
        for instance in self.instances.iter_mut() {
            drop_counts(instance, offset, unix_ms);
        }
        self.instances
            .retain(|instance| !instance.counts.is_empty() || offset.unix_ms(instance.heard_at) >= unix_ms);
    }
}

fn drop_counts(instance: &mut InstanceUsage, offset: Offset, unix_ms: u64) {
    let mut counts = std::mem::take(&mut instance.counts);
    counts.retain(|count| instance.interval_unix_ms(offset, count.key.0) >= unix_ms);
    instance.counts = counts;
}
