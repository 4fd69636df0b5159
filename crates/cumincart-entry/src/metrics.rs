//! The metrics of an entry instance, taken from its state dump.

use {
    cumincart_core::entry::dump::Dump,
    cumincart_runtime::metrics::{Label, Metric},
};

/// Returns the metrics to publish.
pub fn entry_metrics(dump: &Dump) -> Vec<Metric> {
    let counters = &dump.counters;
    let mut metrics = vec![
        Metric::gauge("ready", "Whether the balancer may send requests here", u64::from(dump.ready)),
        Metric::gauge("catalogue_revision", "The catalogue revision in force here", dump.revision.0),
        Metric::gauge("lists_revision", "The revision of the lists in force here", dump.lists_revision.0),
        Metric::gauge("term_lease_left_ms", "What is left of the lease on terms", dump.term_lease_left_ms),
        Metric::gauge(
            "freshness_lease_left_ms",
            "What is left of the lease on keys, plans, shares and permits",
            dump.freshness_lease_left_ms,
        ),
        Metric::gauge("requests_pending", "Requests without an answer yet", count(dump.requests_pending)),
        Metric::gauge("transactions_open", "Open transactions", count(dump.transactions.len())),
        Metric::counter("requests", "Requests that came in", counters.requests),
        Metric::counter("answers", "Requests that were answered", counters.answers),
        Metric::counter("replica_reads", "Reads that a replica served", counters.replica_reads),
        Metric::counter("primary_reads", "Reads that a primary served", counters.primary_reads),
        Metric::counter("replica_misses", "Reads for which a replica was too old", counters.replica_misses),
        Metric::counter("writes", "Writes that were acknowledged", counters.writes),
        Metric::counter("retries", "Further attempts after a failed one", counters.retries),
        Metric::counter("stray_answers", "Answers that no work waited for", counters.stray_answers),
        Metric::counter("failovers", "New terms that were learnt of", counters.failovers),
        Metric::counter("forwards", "Requests passed on to another entry instance", counters.forwards),
        Metric::counter("connections_opened", "Connections opened", counters.connections_opened),
        Metric::counter("connections_closed", "Connections closed or lost", counters.connections_closed),
        Metric::counter(
            "transactions_ended",
            "Transactions rolled back unasked",
            counters.transactions_ended,
        ),
    ];
    for refusal in &counters.refusals {
        let code = Label::new("code", refusal.code.as_str());
        metrics.push(Metric::counter("refusals", "Requests that were refused", refusal.count).with(code));
    }
    for endpoint in &dump.endpoints {
        let label = || Label::new("endpoint", endpoint.endpoint.as_str());
        let connections = &endpoint.connections;
        let open = connections.idle + connections.busy + connections.pinned;
        metrics.push(Metric::gauge("connections", "Open connections", u64::from(open)).with(label()));
        metrics.push(Metric::gauge("queued", "Requests that wait", count(endpoint.queued)).with(label()));
    }
    metrics
}

fn count(number: usize) -> u64 {
    u64::try_from(number).unwrap_or(u64::MAX)
}
