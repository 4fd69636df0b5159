//! Sending drawn traffic through a balancer.

use {
    crate::{
        balancer::Balancer,
        open_loop,
        summary::Sample,
        traffic::{Due, Organisation},
    },
    std::time::Duration,
};

/// Sends every request when it is due; the samples stand in the order of the requests.
pub async fn drive(organisations: &[Organisation], balancer: &Balancer, traffic: &[Due]) -> Vec<Sample> {
    let due: Vec<Duration> = traffic.iter().map(|due| due.at).collect();
    open_loop::run(&due, |index| {
        let due = &traffic[index];
        let session = organisations[due.organisation].sessions[due.session].clone();
        let entry = balancer.pick(due.entry);
        let call = due.call.clone();
        async move { session.call(&entry, &call).await }
    })
    .await
}
