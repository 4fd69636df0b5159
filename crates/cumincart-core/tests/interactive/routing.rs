//! Routing of statements when replicas lag, or endpoints slow down, leave or become unreachable.

use {
    cumincart_core::interactive::{
        positions::LogPoint,
        routing::{Load, Locality, Target, candidates},
    },
    cumincart_protocol::{
        catalogue::{Catalogue, EndpointEntry, Group},
        name::EndpointName,
        number::{LogPosition, Term, Timeline},
        time::Instant,
    },
};

const NOW: Instant = Instant::from_millis(10_000);

fn point(position: u64) -> LogPoint {
    LogPoint { timeline: Timeline(1), position: LogPosition(position) }
}

fn entry(name: &str, domain: &str) -> EndpointEntry {
    EndpointEntry {
        name: name.into(),
        address: "10.0.0.1:5432".into(),
        domain: domain.into(),
        slots: 3,
        connection_limit: 30,
        leaving: false,
    }
}

fn group() -> Group {
    Group {
        service: "ledger".into(),
        term: Term(1),
        primary: Some("db-1".into()),
        writable: true,
        endpoints: [entry("db-1", "quay"), entry("db-2", "forest"), entry("db-3", "bay")]
            .into_iter()
            .collect(),
        term_starts: Vec::new(),
        commit_holders: Default::default(),
    }
}

fn idle() -> Load {
    Load { limit: 4, service_us: 30_000, ..Load::default() }
}

fn names(group: &Group, catalogue: &Catalogue, target: Target, load: impl Fn(&str) -> Load) -> Vec<String> {
    let tried: &[EndpointName] = &[];
    let locality = Locality { domain: "forest".into(), near: ["royal".into()].into_iter().collect() };
    candidates(catalogue, group, target, &locality, NOW, tried, |entry| load(entry.name.as_str()))
        .into_iter()
        .map(|entry| entry.name.to_string())
        .collect()
}

fn reads(load: impl Fn(&str) -> Load) -> Vec<String> {
    names(&group(), &Catalogue::default(), Target::Anywhere(point(100)), load)
}

#[test]
fn a_read_prefers_its_own_failure_domain() {
    assert_eq!(reads(|_| idle())[0], "db-2");
}

/// Guards against reads that leave the region although it has an endpoint, in another failure domain than the
/// instance's own.
#[test]
fn a_read_prefers_its_own_region_if_its_failure_domain_has_no_endpoint() {
    let mut group = group();
    group.endpoints =
        [entry("db-1", "quay"), entry("db-2", "mill"), entry("db-3", "royal")].into_iter().collect();
    let served = names(&group, &Catalogue::default(), Target::Anywhere(point(100)), |_| idle());
    assert_eq!(served[0], "db-3");
}

/// Guards against an overloaded endpoint when clients are distributed unevenly over the instances.
#[test]
fn a_read_goes_elsewhere_if_the_near_endpoint_is_full() {
    let busy = |name: &str| Load { in_use: if name == "db-2" { 6 } else { 0 }, ..idle() };
    assert_ne!(reads(busy)[0], "db-2");
}

/// Guards against reads on a near endpoint that has become slow.
#[test]
fn a_read_avoids_an_endpoint_that_has_become_slow() {
    let slow = |name: &str| Load { service_us: if name == "db-2" { 300_000 } else { 30_000 }, ..idle() };
    assert_ne!(reads(slow)[0], "db-2");
}

/// Guards against repeated attempts on a replica that lags.
#[test]
fn a_lagging_replica_is_left_out_until_it_reaches_the_required_point() {
    let lagging_until = Instant::from_millis(10_100);
    let lagging = |known| {
        move |name: &str| {
            let lags = name == "db-2";
            Load {
                point: lags.then_some(known),
                lagging_until: if lags { lagging_until } else { Instant::ZERO },
                ..idle()
            }
        }
    };
    assert!(!reads(lagging(point(99))).contains(&"db-2".to_owned()));
    assert_eq!(reads(lagging(point(100)))[0], "db-2");
}

#[test]
fn the_primary_is_used_even_if_marked_as_lagging() {
    let lagging = |_: &str| Load { lagging_until: Instant::from_millis(10_100), ..idle() };
    assert_eq!(reads(lagging), ["db-1"]);
}

#[test]
fn an_unreachable_endpoint_gets_no_statements() {
    let until = Instant::from_millis(10_100);
    let cut =
        |name: &str| Load { unreachable_until: if name == "db-2" { until } else { Instant::ZERO }, ..idle() };
    assert!(!reads(cut).contains(&"db-2".to_owned()));
}

#[test]
fn writes_go_to_the_primary_only() {
    assert_eq!(names(&group(), &Catalogue::default(), Target::Primary, |_| idle()), ["db-1"]);
}

#[test]
fn a_term_without_a_primary_takes_no_writes() {
    let fenced = Group { writable: false, ..group() };
    assert!(names(&fenced, &Catalogue::default(), Target::Primary, |_| idle()).is_empty());
}

#[test]
fn an_endpoint_that_is_leaving_or_in_a_failure_domain_out_of_service_gets_no_new_statements() {
    let out = Catalogue { domains_out: ["quay".into()].into_iter().collect(), ..Catalogue::default() };
    assert!(names(&group(), &out, Target::Primary, |_| idle()).is_empty());
    let mut leaving = group();
    leaving.endpoints.insert(EndpointEntry { leaving: true, ..entry("db-2", "forest") });
    let served = names(&leaving, &out, Target::Anywhere(point(1)), |_| idle());
    assert_eq!(served, ["db-3"]);
}
