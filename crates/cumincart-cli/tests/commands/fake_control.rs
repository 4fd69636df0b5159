//! A fake control instance that responds according to a script and records the requests.

use {
    cumincart_cli::{execute, report::ProcessOutput},
    serde_json::{Value, json},
    std::{
        ffi::OsString,
        path::PathBuf,
        sync::{Arc, Mutex},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
    },
};

/// The operator token that the fake accepts.
pub const TOKEN: &str = "operator-token-for-tests";

/// A request as the fake received it.
#[derive(Debug, Clone)]
pub struct Request {
    /// Method and path.
    pub line: String,
    /// The `Authorization` header.
    pub authorization: String,
    /// The body, or null if it is empty or not JSON.
    pub body: Value,
}

/// How the fake responds to a request.
#[derive(Debug, Clone)]
pub enum FakeResponse {
    /// Sends a response with a status and a JSON body.
    Json(u16, Value),
    /// Closes the connection without a response.
    Close,
}

/// Chooses the response. `None` means [`default_response`].
type Script = dyn Fn(&Request) -> Option<FakeResponse> + Send + Sync;

/// A running fake control instance.
pub struct FakeControl {
    /// Its address, as `http://ip:port`.
    pub url: String,
    requests: Arc<Mutex<Vec<Request>>>,
}

impl FakeControl {
    /// Starts a fake control instance with a script.
    pub async fn bind(script: impl Fn(&Request) -> Option<FakeResponse> + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port is free");
        let address = listener.local_addr().expect("the listener is bound");
        let requests = Arc::new(Mutex::new(Vec::new()));
        let (script, seen): (Arc<Script>, _) = (Arc::new(script), Arc::clone(&requests));
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, Arc::clone(&script), Arc::clone(&seen)));
            }
        });
        Self { url: format!("http://{address}"), requests }
    }

    /// Returns the requests received so far with this method and path.
    pub fn requests(&self, line: &str) -> Vec<Request> {
        let requests = self.requests.lock().expect("no holder of the lock panics");
        requests.iter().filter(|request| request.line == line).cloned().collect()
    }
}

async fn serve(mut stream: TcpStream, script: Arc<Script>, requests: Arc<Mutex<Vec<Request>>>) {
    let Some(request) = read_request(&mut stream).await else { return };
    requests.lock().expect("no holder of the lock panics").push(request.clone());
    let response = script(&request).unwrap_or_else(|| default_response(&request));
    if let FakeResponse::Json(status, body) = response {
        let body = body.to_string();
        let head = format!(
            "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
            body.len()
        );
        // A write error means that the client has disconnected.
        let _ = stream.write_all((head + &body).as_bytes()).await;
    }
}

async fn read_request(stream: &mut TcpStream) -> Option<Request> {
    let mut bytes = Vec::new();
    loop {
        if let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
            let length: usize = header(&head, "content-length").parse().unwrap_or(0);
            let body = &bytes[end + 4..];
            if body.len() >= length {
                let line = head.lines().next()?.trim_end_matches(" HTTP/1.1").to_owned();
                let body = serde_json::from_slice(body).unwrap_or(Value::Null);
                return Some(Request { line, authorization: header(&head, "authorization"), body });
            }
        }
        let mut chunk = [0; 4096];
        let count = stream.read(&mut chunk).await.ok().filter(|&count| count > 0)?;
        bytes.extend_from_slice(&chunk[..count]);
    }
}

fn header(head: &str, name: &str) -> String {
    let value = |line: &str| {
        let (found, value) = line.split_once(':')?;
        found.eq_ignore_ascii_case(name).then(|| value.trim().to_owned())
    };
    head.lines().find_map(value).unwrap_or_default()
}

/// Returns the response of a control leader whose entry instances with a lease have confirmed revision 41.
pub fn default_response(request: &Request) -> FakeResponse {
    if request.authorization != format!("Bearer {TOKEN}") {
        return FakeResponse::Json(401, json!({"code": "token_refused"}));
    }
    match request.line.as_str() {
        "GET /v1/status" => FakeResponse::Json(200, status(41)),
        "GET /v1/lists" => FakeResponse::Json(200, lists(6)),
        "POST /v1/changes" => accepted(),
        "GET /v1/dump" | "GET /dump" => FakeResponse::Json(200, json!({"revision": 41})),
        _ => FakeResponse::Json(404, json!("there is no such path")),
    }
}

/// Returns the response to a change that was committed.
pub fn accepted() -> FakeResponse {
    FakeResponse::Json(200, json!({"accepted": {"revision": 41, "lists_revision": 7}}))
}

/// Returns a body with empty lists.
pub fn lists(lists_revision: u64) -> Value {
    json!({"lists_revision": lists_revision, "lists": {
        "organisations": {"organisations": []}, "plans": {"services": [], "plans": []}}})
}

/// Returns a status in which `sofia-a-entry-1` has confirmed `confirmed` and holds a lease, and `varna-a-entry-1` has
/// confirmed revision 40 and its lease has expired.
pub fn status(confirmed: u64) -> Value {
    json!({
        "leader": "sofia-a-control-1", "term": 3, "revision": 41, "lists_revision": 7,
        "domains_out": ["plovdiv-a"], "instances_out": [],
        "members": [{"instance": "sofia-a-control-1", "voter": true}, {"instance": "varna-a-control-1", "voter": false}],
        "instances": [
            {"instance": "sofia-a-entry-1", "incarnation": 5, "revision": confirmed, "lease_left_ms": 3200},
            {"instance": "varna-a-entry-1", "incarnation": 6, "revision": 40, "lease_left_ms": 0},
        ],
        "earlier_leases_left_ms": 0,
        "groups": [{"service": "pbx", "term": 2, "primary": "pbx-1", "writable": true, "endpoints": [
            {"endpoint": "pbx-1", "address": "10.10.1.30:5432", "domain": "sofia-a", "leaving": false,
             "announced": {"role": "primary", "timeline": 2, "position": 900, "lag_ms": 0, "age_ms": 120}},
            {"endpoint": "pbx-2", "address": "10.10.3.30:5432", "domain": "varna-a", "leaving": true, "announced": null},
        ]}],
    })
}

/// A temporary folder with an operator token file and valid lists.
pub struct Files {
    folder: tempfile::TempDir,
}

impl Files {
    /// Creates the folder and its files.
    pub fn write() -> Self {
        let folder = tempfile::tempdir().expect("a temporary folder can be made");
        let files = Self { folder };
        files.put("token", TOKEN);
        files.put("organisations.jsonc", r#"{"organisations": [{"name": "clinic", "plan": "small"}]}"#);
        files.put(
            "plans.jsonc",
            r#"{"services": [], "plans": [{"name": "small", "rate_per_s": 5, "burst": 9, "routes": []}]}"#,
        );
        files
    }

    /// Writes a file into the folder.
    pub fn put(&self, name: &str, text: &str) {
        std::fs::write(self.folder.path().join(name), text).expect("the file can be written");
    }

    /// Returns the path of a file in the folder.
    pub fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    /// Runs a command after replacing `FILES` in its arguments by the path of the folder.
    pub async fn run(&self, arguments: &str) -> ProcessOutput {
        let arguments = arguments.replace("FILES", &self.folder.path().display().to_string());
        run(&arguments).await
    }
}

/// Runs a command with arguments that are separated by spaces.
pub async fn run(arguments: &str) -> ProcessOutput {
    let words = arguments.split(' ').filter(|word| !word.is_empty()).map(OsString::from);
    execute(std::iter::once(OsString::from("cumincart")).chain(words)).await
}
