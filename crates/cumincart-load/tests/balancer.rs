//! The load balancer with a running fleet.

use {
    cumincart_fleet::{Deployment, Fleet, FleetOptions, fleet::wait_for},
    cumincart_load::balancer::Balancer,
    cumincart_runtime::logging,
};

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn balancer_skips_instances_of_an_evacuated_domain() {
    let options =
        FleetOptions { controls: 1, entries_per_domain: 1, ..FleetOptions::new(logging::discard()) };
    let fleet = Fleet::spawn(Deployment::association(), options).await.expect("the fleet starts");
    let balancer = Balancer::spawn(fleet.entries.iter().map(|entry| entry.url().into()).collect());
    let first = fleet.entries[0].url();
    assert_eq!(&*balancer.pick(0), first);
    let domain = fleet.deployment.domains[0].clone();
    fleet.set_domain(&domain, true).await.expect("the change is accepted");
    let is_skipped = async || *balancer.pick(0) == *fleet.entries[1].url();
    wait_for("the balancer skips the domain".to_owned(), is_skipped)
        .await
        .expect("the balancer follows the readiness");
    fleet.set_domain(&domain, false).await.expect("the change is accepted");
    let is_back = async || *balancer.pick(0) == *first;
    wait_for("the balancer picks it again".to_owned(), is_back)
        .await
        .expect("the balancer follows the readiness");
}
