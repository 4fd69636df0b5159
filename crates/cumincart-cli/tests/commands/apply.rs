//! Tests of `apply`: outcomes, `--wait`, and resending after a lost response.

use {
    super::fake_control::{FakeControl, FakeResponse, Files, accepted, lists, status},
    cumincart_cli::exit,
    serde_json::{Value, json},
    std::sync::atomic::{AtomicU64, Ordering},
};

const LISTS: &str =
    "--organisations FILES/organisations.jsonc --plans FILES/plans.jsonc --token-file FILES/token";

fn apply(controls: &[&FakeControl], rest: &str) -> String {
    let controls: Vec<&str> = controls.iter().map(|control| control.url.as_str()).collect();
    format!("apply {LISTS} --control {} {rest}", controls.join(","))
}

fn not_leader() -> FakeResponse {
    let leader = json!({"instance": "varna-a-control-1", "peer_address": "10.10.3.10:7500"});
    FakeResponse::Json(503, json!({"code": "not_leader", "leader": leader}))
}

#[tokio::test]
async fn an_accepted_change_is_reported_and_carries_its_id_base_and_lists() {
    let control = FakeControl::bind(|_| None).await;
    let output = Files::write().run(&apply(&[&control], "--change-id edit-17")).await;
    assert_eq!(output.code, exit::SUCCESS, "{}", output.stderr);
    assert_eq!(output.stdout, "accepted: change edit-17, revision 41, lists revision 7\n");
    let sent = control.requests("POST /v1/changes");
    assert_eq!(sent.len(), 1);
    assert_eq!(sent[0].body["id"], "edit-17");
    assert_eq!(sent[0].body["action"]["apply"]["base"], 6);
    assert_eq!(sent[0].body["action"]["apply"]["lists"]["plans"]["plans"][0]["name"], "small");
}

#[tokio::test]
async fn each_run_generates_a_new_change_id() {
    let control = FakeControl::bind(|_| None).await;
    let files = Files::write();
    for _ in 0..2 {
        assert_eq!(files.run(&apply(&[&control], "")).await.code, exit::SUCCESS);
    }
    let sent = control.requests("POST /v1/changes");
    assert_eq!(sent.len(), 2);
    assert_ne!(sent[0].body["id"], sent[1].body["id"]);
}

#[tokio::test]
async fn an_explicit_base_is_sent_and_a_conflict_reports_both_revisions() {
    let control = FakeControl::bind(|request| {
        let conflict = json!({"conflict": {"base": 4, "current": 6}});
        (request.line == "POST /v1/changes").then_some(FakeResponse::Json(409, conflict))
    })
    .await;
    let output = Files::write().run(&apply(&[&control], "--base 4 --change-id edit-18")).await;
    assert_eq!(output.code, exit::CONFLICT);
    let expected = "conflict: change edit-18 is based on lists revision 4, but lists revision 6 is in force; \
                    nothing was applied\nrun `cumincart diff`, merge the changes, and apply again under a new change id\n";
    assert_eq!(output.stdout, expected);
    assert_eq!(control.requests("POST /v1/changes")[0].body["action"]["apply"]["base"], 4);
    assert!(control.requests("GET /v1/lists").is_empty());
}

#[tokio::test]
async fn after_a_lost_response_the_next_control_instance_gets_the_same_change_id() {
    let lossy =
        FakeControl::bind(|request| (request.line == "POST /v1/changes").then_some(FakeResponse::Close))
            .await;
    let good = FakeControl::bind(|_| None).await;
    let output = Files::write().run(&apply(&[&lossy, &good], "")).await;
    assert_eq!(output.code, exit::SUCCESS, "{}", output.stderr);
    let (lost, kept) = (lossy.requests("POST /v1/changes"), good.requests("POST /v1/changes"));
    assert!(!lost.is_empty());
    assert_eq!(kept.len(), 1);
    assert!(lost.iter().all(|request| request.body == kept[0].body));
}

#[tokio::test]
async fn a_request_refused_by_a_follower_is_sent_to_the_next_control_instance() {
    let follower = FakeControl::bind(|_| Some(not_leader())).await;
    let leader = FakeControl::bind(|_| None).await;
    let output = Files::write().run(&apply(&[&follower, &leader], "--change-id edit-19")).await;
    assert_eq!(output.code, exit::SUCCESS, "{}", output.stderr);
    assert_eq!(leader.requests("POST /v1/changes").len(), 1);
}

#[tokio::test]
async fn a_change_without_any_response_has_an_unknown_outcome() {
    let control =
        FakeControl::bind(|request| (request.line == "POST /v1/changes").then_some(FakeResponse::Close))
            .await;
    let output = Files::write().run(&apply(&[&control], "--change-id edit-20 --timeout-ms 300")).await;
    assert_eq!(output.code, exit::OUTCOME_UNKNOWN);
    assert!(
        output.stderr.contains("the change `edit-20` may have been committed, but no response was received")
    );
    assert!(output.stderr.contains("--change-id edit-20"));
}

#[tokio::test]
async fn a_later_refusal_does_not_hide_that_a_change_may_have_been_committed() {
    let lossy =
        FakeControl::bind(|request| (request.line == "POST /v1/changes").then_some(FakeResponse::Close))
            .await;
    let strict = FakeControl::bind(|_| Some(FakeResponse::Json(401, json!({"code": "token_refused"})))).await;
    let output = Files::write().run(&apply(&[&lossy, &strict], "--timeout-ms 300")).await;
    assert_eq!(output.code, exit::OUTCOME_UNKNOWN, "{}", output.stderr);
}

#[tokio::test]
async fn a_malformed_response_to_a_change_leaves_its_outcome_unknown() {
    let control = FakeControl::bind(|request| {
        (request.line == "POST /v1/changes").then_some(FakeResponse::Json(200, json!({"acepted": 1})))
    })
    .await;
    let output = Files::write().run(&apply(&[&control], "--timeout-ms 300")).await;
    assert_eq!(output.code, exit::OUTCOME_UNKNOWN, "{}", output.stderr);
}

#[tokio::test]
async fn a_change_refused_for_lack_of_a_quorum_is_reported_as_not_applied() {
    let control = FakeControl::bind(|request| {
        (request.line == "POST /v1/changes").then_some(FakeResponse::Json(503, json!({"code": "no_quorum"})))
    })
    .await;
    let output = Files::write().run(&apply(&[&control], "--timeout-ms 300")).await;
    assert_eq!(output.code, exit::UNREACHABLE, "{}", output.stderr);
    assert!(output.stderr.contains("nothing was changed"));
}

#[tokio::test]
async fn lists_that_are_already_in_force_are_not_sent() {
    let control = FakeControl::bind(|request| {
        let same = json!({"organisations": {"organisations": [{"name": "clinic", "plan": "small", "keys": []}]},
            "plans": {"services": [], "plans": [
                {"name": "small", "rate_per_s": 5.0, "burst": 9, "weight": 1, "routes": []}]}});
        let mut body = lists(6);
        body["lists"] = same;
        (request.line == "GET /v1/lists").then_some(FakeResponse::Json(200, body))
    })
    .await;
    let files = Files::write();
    let output = files.run(&apply(&[&control], "")).await;
    assert_eq!(output.stdout, "unchanged: the same lists are in force as lists revision 6\n");
    assert!(control.requests("POST /v1/changes").is_empty());

    // A resent change is always sent, because only the control instances know the outcome of the first attempt.
    let output = files.run(&apply(&[&control], "--change-id edit-21")).await;
    assert_eq!(output.stdout, "accepted: change edit-21, revision 41, lists revision 7\n");
}

#[tokio::test]
async fn wait_ends_when_every_instance_confirmed_or_its_lease_expired() {
    let polls = AtomicU64::new(0);
    let control = FakeControl::bind(move |request| {
        // The revision is confirmed from the second poll on.
        let confirmed_revision = || if polls.fetch_add(1, Ordering::SeqCst) == 0 { 40 } else { 41 };
        (request.line == "GET /v1/status").then(|| FakeResponse::Json(200, status(confirmed_revision())))
    })
    .await;
    let output = Files::write().run(&apply(&[&control], "--change-id edit-22 --wait")).await;
    assert_eq!(output.code, exit::SUCCESS, "{}", output.stderr);
    let expected = "accepted: change edit-22, revision 41, lists revision 7\n\
        in force everywhere; instances that confirmed it: 1\n\
        varna-a-entry-1 has not confirmed it; its lease has expired, so it refuses requests that need a key\n";
    assert_eq!(output.stdout, expected);
    assert_eq!(control.requests("GET /v1/status").len(), 2);
}

#[tokio::test]
async fn wait_continues_until_leases_of_an_earlier_leader_have_expired() {
    let polls = AtomicU64::new(0);
    let control = FakeControl::bind(move |request| {
        // The first poll reaches a leader that was just elected and has not heard from any instance yet.
        let next_status = || {
            let is_first = polls.fetch_add(1, Ordering::SeqCst) == 0;
            let mut body = status(41);
            body["earlier_leases_left_ms"] = json!(if is_first { 900 } else { 0 });
            if is_first {
                body["instances"] = json!([]);
            }
            body
        };
        (request.line == "GET /v1/status").then(|| FakeResponse::Json(200, next_status()))
    })
    .await;
    let output = Files::write().run(&apply(&[&control], "--change-id edit-23 --wait")).await;
    assert_eq!(output.code, exit::SUCCESS, "{}", output.stderr);
    assert_eq!(control.requests("GET /v1/status").len(), 2);
    assert!(output.stdout.contains("in force everywhere; instances that confirmed it: 1"));
}

#[tokio::test]
async fn a_wait_that_times_out_before_earlier_leases_expire_reports_them() {
    let control = FakeControl::bind(|request| {
        let mut body = status(41);
        body["earlier_leases_left_ms"] = json!(900);
        (request.line == "GET /v1/status").then_some(FakeResponse::Json(200, body))
    })
    .await;
    let output = Files::write().run(&apply(&[&control], "--change-id e --wait --wait-timeout-ms 150")).await;
    assert_eq!(output.code, exit::NOT_IN_FORCE, "{}", output.stderr);
    let expected = "accepted: change e, revision 41, lists revision 7\n\
        not in force everywhere; instances that confirmed it: 1\n\
        varna-a-entry-1 has not confirmed it; its lease has expired, so it refuses requests that need a key\n\
        instances that are not listed may hold leases granted by an earlier leader for another 900 ms\n";
    assert_eq!(output.stdout, expected);
}

#[tokio::test]
async fn a_wait_that_times_out_reports_the_instances_that_may_use_an_earlier_revision() {
    let control = FakeControl::bind(|request| {
        (request.line == "GET /v1/status").then(|| FakeResponse::Json(200, status(40)))
    })
    .await;
    let output =
        Files::write().run(&apply(&[&control], "--change-id e --wait --wait-timeout-ms 150 --json")).await;
    assert_eq!(output.code, exit::NOT_IN_FORCE, "{}", output.stderr);
    let report: Value = serde_json::from_str(&output.stdout).expect("the report is JSON");
    let waiting = json!([{"instance": "sofia-a-entry-1", "revision": 40, "lease_left_ms": 3200}]);
    assert_eq!(report["waited"]["seen"]["waiting"], waiting);
    assert_eq!(report["outcome"], "accepted");
}

#[tokio::test]
async fn a_wait_that_fails_does_not_hide_that_the_change_was_accepted() {
    let control = FakeControl::bind(|request| {
        (request.line == "GET /v1/status").then(|| FakeResponse::Json(503, json!({"code": "no_quorum"})))
    })
    .await;
    let output = Files::write().run(&apply(&[&control], "--change-id e --wait --timeout-ms 300")).await;
    assert_eq!(output.code, exit::NOT_IN_FORCE, "{}", output.stderr);
    let expected = "accepted: change e, revision 41, lists revision 7\n\
        cannot determine whether it is in force everywhere: no control instance could serve the request\n";
    assert_eq!(output.stdout, expected);
}

#[tokio::test]
async fn invalid_lists_are_never_sent() {
    let control = FakeControl::bind(|_| Some(accepted())).await;
    let files = Files::write();
    files.put("plans.jsonc", r#"{"services": [], "plans": []}"#);
    let output = files.run(&apply(&[&control], "")).await;
    assert_eq!(output.code, exit::INVALID);
    assert!(output.stderr.contains("cumincart::config::unknown_plan"));
    assert!(control.requests("POST /v1/changes").is_empty());
}
