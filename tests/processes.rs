//! End-to-end test with separate processes: one control process, two entry processes in two failure domains, and a
//! stand-in database group in the process of the test. Also checks that a process exits cleanly after SIGTERM.

use {
    cumincart_fleet::{Deployment, HttpClient, fleet::wait_for},
    cumincart_protocol::{name::DomainName, request::Value},
    cumincart_standin::{group::Group, settings::GroupSettings},
    serde_json::{Value as Json, json},
    std::{
        io::{BufRead, BufReader},
        path::{Path, PathBuf},
        process::{Child, Command, Stdio},
    },
    tempfile::TempDir,
};

const SERVICE: &str = "pbx-organisations-1";
const KEY: &str = "example-only-trakia-taxi-2026";
const TOKEN: &str = "operator-token-of-this-test";

/// A child process. It is killed when it is dropped.
struct Process {
    child: Child,
    http: String,
    peer: String,
}

impl Process {
    fn start(program: &str, settings: &Path) -> Self {
        let mut child =
            Command::new(program).arg(settings).stdout(Stdio::piped()).spawn().expect("the program starts");
        let mut lines = BufReader::new(child.stdout.take().expect("the output is piped")).lines();
        let mut address = |label: &str| {
            let line = lines.next().expect("the program prints its addresses").expect("the output is text");
            line.strip_prefix(label).expect("the address has its label").trim().to_owned()
        };
        let (http, peer) = (address("http"), address("peer"));
        Self { child, http, peer }
    }

    /// Sends SIGTERM for a planned stop, waits for the exit and returns whether it was successful.
    fn stop(mut self) -> bool {
        let id = self.child.id().to_string();
        let asked = Command::new("kill").arg("-TERM").arg(id).status().expect("`kill` runs");
        asked.success() && self.child.wait().expect("the process ends").success()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn write(folder: &Path, name: &str, text: &str) -> PathBuf {
    let path = folder.join(name);
    std::fs::write(&path, text).expect("the file can be written");
    path
}

fn settings(folder: &Path, name: &str, domain: &str, extra: &Json) -> PathBuf {
    let mut settings = json!({
        "instance": name,
        "domain": domain,
        "http_address": "127.0.0.1:0",
        "fleet_secret_file": "fleet-secret",
        "operator_token_file": "operator-token",
        "endpoint_login": { "user": "cumincart", "database": "cumincart" },
        "log": { "level": "error" },
    });
    for (field, value) in extra.as_object().expect("the settings are an object") {
        settings[field] = value.clone();
    }
    write(folder, &format!("{name}.jsonc"), &settings.to_string())
}

fn unused_address() -> String {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
    listener.local_addr().expect("the listener is bound").to_string()
}

fn start_control(folder: &Path) -> Process {
    let peer = unused_address();
    let extra = json!({
        "peer_address": peer,
        "data_folder": "control-1",
        "members": [{ "instance": "control-1", "peer_address": peer }],
    });
    let settings = settings(folder, "control-1", "sofia-a", &extra);
    Process::start(env!("CARGO_BIN_EXE_cumincart-control"), &settings)
}

fn start_entry(folder: &Path, name: &str, domain: &str, control: &Process) -> Process {
    let extra = json!({ "peer_address": unused_address(), "control_addresses": [control.peer] });
    let settings = settings(folder, name, domain, &extra);
    Process::start(env!("CARGO_BIN_EXE_cumincart-entry"), &settings)
}

async fn start_group(control: &Process) -> Group {
    let domains = ["sofia-a", "plovdiv-a", "varna-a"].map(DomainName::from);
    let group = Group::spawn(GroupSettings::new(SERVICE.into(), &domains)).await.expect("the group starts");
    for statement in Deployment::telvara().tables.split(';').filter(|one| one.contains("create table")) {
        group.execute_on_primary(statement, Vec::new()).expect("the table is created");
    }
    group.announce_to(&[format!("http://{}", control.http).into()]);
    group
}

async fn apply_lists(control: &Process) {
    let lists = Deployment::telvara().lists().expect("the example settings are valid");
    let change = json!({ "id": "first", "action": { "apply": { "base": 0, "lists": lists } } });
    let url = format!("http://{}/v1/changes", control.http);
    let http = reqwest::Client::new();
    wait_for("the lists are applied".to_owned(), async || {
        let sent = http.post(&url).bearer_auth(TOKEN).json(&change).send().await;
        sent.is_ok_and(|response| response.status().is_success())
    })
    .await
    .expect("the control process accepts the lists");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_write_through_one_process_is_read_through_another() {
    let folder = TempDir::new().expect("a temporary folder can be created");
    write(folder.path(), "fleet-secret", "a fleet secret of this test\n");
    write(folder.path(), "operator-token", TOKEN);
    let control = start_control(folder.path());
    let _group = start_group(&control).await;
    apply_lists(&control).await;
    let first = start_entry(folder.path(), "entry-1", "sofia-a", &control);
    let second = start_entry(folder.path(), "entry-2", "plovdiv-a", &control);

    let caller = std::sync::Mutex::new(HttpClient::new(Some(KEY)));
    let call = async |process: &Process, route: &str, arguments: &[(&str, Value)]| {
        let mut own = caller.lock().expect("nothing panics under this lock").clone();
        let answered = own.call(&format!("http://{}", process.http), SERVICE, route, arguments).await;
        *caller.lock().expect("nothing panics under this lock") = own;
        answered
    };
    let number = ("number", Value::Text("+359-1".into()));
    let target = Value::Text("desk-1".into());
    let save = [number.clone(), ("target", target.clone())];
    wait_for("the write is acknowledged".to_owned(), async || {
        call(&first, "save-rule", &save).await.rows().is_some_and(|rows| rows.affected == 1)
    })
    .await
    .expect("a group with a primary accepts writes");
    wait_for("the read is answered".to_owned(), async || {
        let answered = call(&second, "call-setup", std::slice::from_ref(&number)).await;
        let Some(rows) = answered.rows() else { return false };
        assert_eq!(rows.rows, vec![vec![target.clone()]], "the read must see the write of its session");
        true
    })
    .await
    .expect("the read of the session is answered");

    assert!(second.stop(), "an entry process must exit cleanly after a planned stop");
    assert!(first.stop(), "an entry process must exit cleanly after a planned stop");
    assert!(control.stop(), "a control process must exit cleanly after a planned stop");
}
