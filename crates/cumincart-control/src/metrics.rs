//! The metrics of a control instance, taken from its state dump.

use {
    cumincart_core::control::dump::Dump,
    cumincart_protocol::usage::WindowOutcome,
    cumincart_runtime::metrics::{Label, Metric},
};

/// Returns the metrics to publish.
pub fn control_metrics(dump: &Dump) -> Vec<Metric> {
    let live = dump.holders.iter().filter(|holder| holder.lease_left_ms > 0).count();
    let windows = |outcome: Option<WindowOutcome>| {
        let count = dump.usage.iter().filter(|window| window.outcome == outcome).count();
        u64::try_from(count).unwrap_or(u64::MAX)
    };
    let mut metrics = vec![
        Metric::gauge("leads", "Whether this control instance leads", u64::from(dump.leads)),
        Metric::gauge("election_term", "The greatest election term seen", dump.ballot.term.0),
        Metric::gauge("log_last_index", "The index of the last log record", dump.last_index.0),
        Metric::gauge("log_applied_index", "The index of the last log record applied", dump.applied.0),
        Metric::gauge("catalogue_revision", "The catalogue revision applied here", dump.revision.0),
        Metric::gauge("lists_revision", "The revision of the lists", dump.lists_revision.0),
        Metric::gauge(
            "leases_live",
            "Entry instances that hold a lease",
            u64::try_from(live).unwrap_or(u64::MAX),
        ),
        Metric::gauge(
            "usage_windows_open",
            "Closed accounting windows that are not reported yet",
            windows(None),
        ),
        Metric::gauge(
            "usage_windows_missed",
            "Accounting windows among the last ones that were not reported in time",
            windows(Some(WindowOutcome::Missed)),
        ),
    ];
    let deliveries = &dump.deliveries;
    metrics.extend([
        Metric::counter("large_updates_sent", "Large catalogue updates sent to instances", deliveries.sent),
        Metric::counter(
            "large_updates_sent_bytes",
            "Bytes of large catalogue updates",
            deliveries.sent_bytes,
        ),
        Metric::counter(
            "large_updates_resent",
            "Large catalogue updates sent again, as they were not confirmed in time",
            deliveries.resent,
        ),
        Metric::counter(
            "heartbeats_answered_on_earlier_lists",
            "Heartbeats answered with a lease on earlier lists while an update was under way",
            deliveries.held,
        ),
        Metric::gauge(
            "large_updates_unconfirmed_bytes",
            "Bytes of large catalogue updates that no instance has confirmed yet",
            deliveries.unconfirmed_bytes,
        ),
        Metric::gauge(
            "large_updates_waiting",
            "Instances that wait for a large catalogue update",
            deliveries.waiting,
        ),
    ]);
    for group in &dump.groups {
        let label = || Label::new("service", group.service.as_str());
        metrics.push(Metric::gauge("group_term", "The term of a database group", group.term.0).with(label()));
        let writable = u64::from(group.writable);
        metrics.push(Metric::gauge("group_writable", "Whether a group takes writes", writable).with(label()));
    }
    metrics
}
