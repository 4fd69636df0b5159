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
    for group in &dump.groups {
        let label = || Label::new("service", group.service.as_str());
        metrics.push(Metric::gauge("group_term", "The term of a database group", group.term.0).with(label()));
        let writable = u64::from(group.writable);
        metrics.push(Metric::gauge("group_writable", "Whether a group takes writes", writable).with(label()));
    }
    metrics
}
