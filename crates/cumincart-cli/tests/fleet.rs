//! Tests of the commands against a running fleet over real sockets.

use {
    cumincart_cli::{execute, exit, report::ProcessOutput},
    cumincart_fleet::{
        Deployment, Fleet, FleetOptions, HttpClient, Response,
        fleet::{OPERATOR_TOKEN, wait_for},
    },
    cumincart_protocol::{refusal::RefusalCode, request::Value, verdict::Verdict},
    cumincart_runtime::logging,
    serde_json::Value as Json,
    std::{ffi::OsString, fs},
    tempfile::TempDir,
};

const SERVICE: &str = "pbx-organisations-1";
const WITHDRAWN: &str = "trakia-taxi-2026";

/// A fleet, and a folder with the operator token and the lists of the deployment.
struct Operator {
    fleet: Fleet,
    folder: TempDir,
}

impl Operator {
    async fn open() -> Self {
        let options = FleetOptions { entries_per_domain: 1, ..FleetOptions::new(logging::discard()) };
        let fleet = Fleet::spawn(Deployment::telvara(), options).await.expect("the fleet starts");
        let folder = TempDir::new().expect("a temporary folder can be made");
        let operator = Self { fleet, folder };
        operator.write_file("token", OPERATOR_TOKEN);
        operator.write_file("organisations.jsonc", &operator.fleet.deployment.organisations);
        operator.write_file("plans.jsonc", &operator.fleet.deployment.plans);
        operator
    }

    fn write_file(&self, name: &str, text: &str) {
        fs::write(self.folder.path().join(name), text).expect("the temporary folder takes files");
    }

    /// Runs a command with the addresses of all control instances and the operator token. `LISTS` and `FILES` are
    /// replaced by the list arguments and the path of the folder.
    async fn run(&self, arguments: &str) -> ProcessOutput {
        let folder = self.folder.path().display().to_string();
        let controls = self.fleet.control_urls().join(",");
        let line = format!("cumincart {arguments} --control {controls} --token-file FILES/token");
        let line = line
            .replace("LISTS", "--organisations FILES/organisations.jsonc --plans FILES/plans.jsonc")
            .replace("FILES", &folder);
        execute(line.split(' ').map(OsString::from)).await
    }

    /// Removes a key from the list of organisations in the folder.
    fn withdraw_key(&self, id: &str) {
        let lines = self.fleet.deployment.organisations.lines();
        let kept: Vec<&str> = lines.filter(|line| !line.contains(&format!("\"{id}\""))).collect();
        self.write_file("organisations.jsonc", &kept.join("\n"));
    }

    async fn call(&self, entry: usize, key: &str) -> Response {
        let mut caller = HttpClient::new(Some(key));
        let number = [("number", Value::Text("+359-1".into()))];
        caller.call(&self.fleet.entries[entry].url(), SERVICE, "call-setup", &number).await
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_withdrawn_key_is_refused_by_every_entry_instance_once_apply_wait_returns() {
    let operator = Operator::open().await;
    let key = format!("example-only-{WITHDRAWN}");
    for entry in 0..operator.fleet.entries.len() {
        let before = operator.call(entry, &key).await;
        let refused = before.refusal().is_some_and(|refusal| refusal.code == RefusalCode::KeyRefused);
        assert!(!refused, "{before:?}");
    }

    operator.withdraw_key(WITHDRAWN);
    let diff = operator.run("diff LISTS").await;
    assert_eq!(diff.stdout, "differences to lists revision 1:\n- key trakia-taxi/trakia-taxi-2026\n");
    let applied = operator.run("apply LISTS --wait").await;
    assert_eq!(applied.code, exit::SUCCESS, "{applied:?}");

    // No retries: once the command has returned, every instance must refuse the key.
    for entry in 0..operator.fleet.entries.len() {
        let after = operator.call(entry, &key).await;
        let refusal = after.refusal().expect("the key is withdrawn");
        assert_eq!((refusal.code, refusal.verdict), (RefusalCode::KeyRefused, Verdict::NotRun));
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn of_two_concurrent_edits_with_the_same_base_one_is_accepted_and_the_other_conflicts() {
    let operator = Operator::open().await;
    operator.withdraw_key(WITHDRAWN);
    let apply = "apply LISTS --base 1 --json";
    let (left, right) = tokio::join!(operator.run(apply), operator.run(apply));
    let mut codes = [left.code, right.code];
    codes.sort_unstable();
    assert_eq!(codes, [exit::SUCCESS, exit::CONFLICT], "{left:?} {right:?}");
    let rejected = if left.code == exit::CONFLICT { left } else { right };
    let report: Json = serde_json::from_str(&rejected.stdout).expect("the report is JSON");
    assert_eq!((&report["base"], &report["current"]), (&Json::from(1), &Json::from(2)));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_resent_change_gets_its_original_outcome_from_the_next_leader() {
    let mut operator = Operator::open().await;
    operator.withdraw_key(WITHDRAWN);
    let apply = "apply LISTS --change-id edit-1";
    let first = operator.run(apply).await;
    assert_eq!(first.code, exit::SUCCESS, "{first:?}");

    let status = operator.run("status --json").await;
    let status: Json = serde_json::from_str(&status.stdout).expect("the status is JSON");
    let leader = status["leader"].as_str().expect("the leader has a name");
    let is_leader = |slot: &cumincart_fleet::fleet::ControlNode| slot.options.instance.as_str() == leader;
    let index = operator.fleet.controls.iter().position(is_leader).expect("the leader belongs to this fleet");
    operator.fleet.kill_control(index).await;

    let again = operator.run(apply).await;
    assert_eq!((again.stdout, again.code), (first.stdout, exit::SUCCESS), "{}", again.stderr);
    assert_eq!(operator.fleet.status().await.expect("two of three answer").catalogue.lists_revision.0, 2);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_failure_domain_is_taken_out_of_service_and_brought_back() {
    let operator = Operator::open().await;
    let out = operator.run("domain out varna-a --wait").await;
    assert_eq!(out.code, exit::SUCCESS, "{out:?}");
    let status = operator.run("status").await;
    assert!(status.stdout.contains("failure domains: varna-a;"), "{}", status.stdout);
    let ready = format!("{}/health/ready", operator.fleet.entries[2].url());
    let is_ready = async || reqwest::get(&ready).await.is_ok_and(|response| response.status().is_success());
    wait_for("the instance in the failure domain is not ready".to_owned(), async || !is_ready().await)
        .await
        .expect("an instance in a failure domain that is out of service is not ready");

    let back = operator.run("domain in varna-a --wait").await;
    assert_eq!(back.code, exit::SUCCESS, "{back:?}");
    wait_for("the instance in the failure domain is ready".to_owned(), is_ready)
        .await
        .expect("it is back in service");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn dumps_contain_neither_key_digests_nor_the_operator_token() {
    let operator = Operator::open().await;
    let entries: Vec<String> =
        operator.fleet.entries.iter().map(|entry| format!("--entry {}", entry.url())).collect();
    let dump = operator.run(&format!("dump {}", entries.join(" "))).await;
    assert_eq!(dump.code, exit::SUCCESS, "{}", dump.stdout);
    let lists = operator.fleet.deployment.lists().expect("the example lists are valid");
    for organisation in &lists.organisations.organisations {
        for key in &organisation.keys {
            assert!(!dump.stdout.contains(&*key.sha256), "the dump contains the digest of {}", key.id);
        }
    }
    assert!(!dump.stdout.contains(OPERATOR_TOKEN));
}
