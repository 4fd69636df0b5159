//! Sends generated traffic through a balancer.

use {
    crate::{
        balancer::Balancer,
        open_loop,
        summary::Sample,
        traffic::{Organisation, ScheduledRequest},
    },
    std::time::Duration,
};

/// Sends every request when it is due. Returns the samples in the order of the requests.
pub async fn send_traffic(
    organisations: &[Organisation],
    balancer: &Balancer,
    traffic: &[ScheduledRequest],
) -> Vec<Sample> {
    let due: Vec<Duration> = traffic.iter().map(|request| request.due).collect();
    open_loop::run(&due, |index| {
        let request = &traffic[index];
        let session = organisations[request.organisation].sessions[request.session].clone();
        let entry = balancer.pick(request.entry);
        let call = request.call.clone();
        async move { session.call(&entry, &call).await }
    })
    .await
}
