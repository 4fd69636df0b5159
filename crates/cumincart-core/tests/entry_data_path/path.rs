//! Tests of single requests end to end, connection limits and the planned stop.

use {
    crate::fixture::{Entry, OTHER_KEY, call, name, primary, replica, run, run_once, succeeded},
    cumincart_core::{
        endpoint_command::EndpointCommand, entry::drain, stop_schedule::StopSchedule,
        timing::FRESHNESS_LEASE_MS,
    },
    cumincart_protocol::{
        refusal::RefusalCode,
        request::{CallerRequest, Operation},
        verdict::Verdict,
    },
    std::time::Duration,
};

#[test]
fn a_write_goes_to_the_primary_and_a_read_to_the_replica_of_this_domain() {
    let mut entry = Entry::open();
    let write = entry.send(run("save"));
    let sent = entry.take_last_sent();
    assert_eq!(sent.endpoint, name("pbx-1"));
    assert!(matches!(sent.command, EndpointCommand::Write(_, None)));
    entry.complete(&sent, succeeded(primary(1, 150)));
    let session = entry.result(write).expect("answered").clone().expect("written").session;
    assert_eq!(session.seen.iter().next().expect("seen").write.position.0, 150);

    let read = entry.send(run("lookup"));
    let sent = entry.take_last_sent();
    assert_eq!(sent.endpoint, name("pbx-2"));
    entry.complete(&sent, succeeded(replica(1, 120, 5)));
    assert!(entry.result(read).expect("answered").clone().expect("read").from_replica);
}

#[test]
fn without_heartbeat_answers_keyed_requests_are_refused_and_open_reads_served_within_their_staleness() {
    let mut entry = Entry::open();
    entry.control_reachable = false;
    entry.advance_ms(FRESHNESS_LEASE_MS - 50);
    let keyed = entry.send(run("lookup"));
    assert!(entry.result(keyed).is_none(), "the freshness lease is still live");
    let open = entry.send(CallerRequest { key_digest: None, ..run("public") });
    let sent = entry.take_last_sent();
    entry.complete(&sent, succeeded(replica(1, 100, 0)));
    assert!(entry.result(open).expect("answered").is_ok(), "the data is within the staleness bound");

    entry.advance_ms(100);
    let refused = entry.send(run("lookup"));
    let refusal = entry.result(refused).expect("answered").clone().expect_err("refused");
    assert_eq!((refusal.code, refusal.verdict), (RefusalCode::NotFresh, Verdict::NotRun));
}

#[test]
fn connections_stay_within_the_permits_under_a_backlog() {
    let mut entry = Entry::open();
    for _ in 0..50 {
        entry.send(run("save"));
    }
    assert_eq!(entry.sent.len(), 4, "four permits, five slots");
    entry.advance_ms(200);
    assert!(entry.core.pool.endpoints.iter().all(|endpoint| endpoint.connections <= 4));
}

#[test]
fn an_endpoint_being_removed_gets_no_new_requests() {
    let mut entry = Entry::open();
    entry.update_catalogue(|catalogue| {
        let group = catalogue.groups.get_mut(&"pbx".into()).expect("it is there");
        group.endpoints.get_mut(&name("pbx-2")).expect("it is there").leaving = true;
    });
    entry.send(run("lookup"));
    assert_eq!(entry.take_last_sent().endpoint, name("pbx-3"));
    let left = entry.core.pool.endpoint(&name("pbx-2")).expect("it is known");
    assert_eq!(left.connections, 0);
}

#[test]
fn a_domain_out_of_service_gets_no_new_requests_and_its_instances_are_not_ready() {
    let mut entry = Entry::open();
    entry.update_catalogue(|catalogue| {
        catalogue.domains_out.insert("sofia-a".into());
    });
    assert!(!entry.is_ready());
    entry.send(run("lookup"));
    assert_eq!(
        entry.take_last_sent().endpoint,
        name("pbx-3"),
        "accepted within the grace period, but not sent to pbx-2"
    );
    entry.advance_ms(drain::OUT_GRACE_MS);
    let late = entry.send(run("lookup"));
    let refusal = entry.result(late).expect("answered").clone().expect_err("refused");
    assert_eq!((refusal.code, refusal.verdict), (RefusalCode::OutOfService, Verdict::NotRun));
    entry.update_catalogue(|catalogue| catalogue.domains_out.retain(|_| false));
    assert!(entry.is_ready());
    entry.send(run("lookup"));
    assert_eq!(entry.take_last_sent().endpoint, name("pbx-2"));
}

#[test]
fn a_planned_stop_interrupts_no_request() {
    let mut entry = Entry::open();
    let running = entry.send(run_once("record", "call-1"));
    let sent = entry.take_last_sent();
    let transaction = entry.begin("edit", None);
    entry.input(cumincart_core::entry::Input::Stop);
    assert!(!entry.is_ready());
    let in_grace = entry.send(run("lookup"));
    let read = entry.take_last_sent();
    entry.complete(&read, succeeded(replica(1, 100, 0)));
    assert!(entry.result(in_grace).expect("answered").is_ok());
    entry.complete(&sent, succeeded(primary(1, 120)));
    assert!(entry.result(running).expect("answered").is_ok());

    entry.advance_ms(drain::GRACE_MS + 10);
    let refused = entry.send(run("lookup"));
    assert_eq!(
        entry.result(refused).expect("answered").clone().expect_err("refused").verdict,
        Verdict::NotRun
    );
    assert!(!entry.stopped, "a transaction is open");
    let commit = entry.send(call("edit", |_| Operation::Commit(transaction)));
    let sent = entry.take_last_sent();
    entry.complete(&sent, succeeded(primary(1, 130)));
    assert!(entry.result(commit).expect("answered").is_ok());
    entry.advance_ms(300);
    assert!(entry.stopped);
    assert!(entry.heartbeats.last().expect("one was sent").leaving);
    assert_eq!(entry.core.pool.connections.len(), 0);
}

/// Guards against requests that are cut when the process is killed at the end of a planned stop: an endpoint is still at work
/// on them.
#[test]
fn a_planned_stop_answers_what_it_has_no_time_for() {
    let mut entry = Entry::open();
    entry.core.stop_schedule = StopSchedule::of_grace(Duration::from_millis(800));
    let running = entry.send(run_once("record", "call-1"));
    let transaction = entry.begin("edit", None);
    entry.input(cumincart_core::entry::Input::Stop);
    let in_transaction = entry.send(call("edit", |_| Operation::Commit(transaction)));
    entry.advance_ms(680);
    assert!(entry.result(running).is_none() && entry.result(in_transaction).is_none(), "there is time left");
    entry.advance_ms(60);
    for ticket in [running, in_transaction] {
        let refusal = entry.result(ticket).expect("answered").clone().expect_err("refused");
        assert_eq!(refusal.verdict, Verdict::Unknown);
    }
}

#[test]
fn an_organisation_over_its_rate_still_gets_its_share() {
    const SHARE_PER_S: usize = 250;
    const SPAN_TICKS: usize = 120;
    let mut entry = Entry::open();
    let mut served = 0;
    for tick in 0..300 + SPAN_TICKS {
        let counts = tick >= 300;
        // Heartbeat answers admit requests as well; within the leases requests must be admitted without them.
        entry.control_reachable = !counts;
        for _ in 0..5 {
            entry.send(CallerRequest { key_digest: Some(OTHER_KEY), ..run("save") });
        }
        entry.advance_ms(10);
        while let Some(sent) = entry.sent.pop() {
            entry.complete(&sent, succeeded(primary(1, 120)));
            served += usize::from(counts);
        }
    }
    let share = SHARE_PER_S * SPAN_TICKS / 100;
    assert!((share - 3..=share + 3).contains(&served), "{served} served of {share}");
}
