//! The record of a run, a small HTTP client and server, and the operator's calls.

use std::{
    fs::File,
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Mutex, OnceLock},
    thread,
    time::{Duration, Instant},
};

static RECORD: OnceLock<(Mutex<File>, Instant)> = OnceLock::new();

pub fn open_record(path: &str) {
    let file = File::create(path).expect("the record can be created");
    let _ = RECORD.set((Mutex::new(file), Instant::now()));
}

/// Writes a line with the milliseconds since the start of the run.
pub fn record(text: &str) {
    if let Some((file, start)) = RECORD.get() {
        let mut file = file.lock().unwrap_or_else(|error| error.into_inner());
        let _ = writeln!(file, "{:>9.1} {text}", start.elapsed().as_secs_f64() * 1_000.0);
        let _ = file.flush();
    }
}

pub struct Response {
    pub status: u16,
    pub location: Option<String>,
}

/// Sends one request and reads its response. `None` if no complete response came within the timeout.
pub fn http(address: &str, method: &str, path: &str, body: &str, timeout: Duration) -> Option<Response> {
    let address: SocketAddr = address.parse().ok()?;
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.set_nodelay(true).ok()?;
    let content_type = if body.is_empty() { "" } else { "Content-Type: application/json\r\n" };
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\n{content_type}Content-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    stream.write_all(format!("{head}{body}").as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let status = line.split(' ').nth(1)?.parse().ok()?;
    let mut location = None;
    let mut length = None;
    loop {
        line.clear();
        reader.read_line(&mut line).ok()?;
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        match name.to_ascii_lowercase().as_str() {
            "location" => location = Some(value.trim().to_owned()),
            "content-length" => length = value.trim().parse::<usize>().ok(),
            _ => {}
        }
    }
    let mut bytes = vec![0; length.unwrap_or_default()];
    reader.read_exact(&mut bytes).ok()?;
    Some(Response { status, location })
}

/// Calls one control instance and follows at most two redirects.
fn call(address: &str, method: &str, path: &str, body: &str) -> Option<Response> {
    let mut address = address.to_owned();
    let mut path = path.to_owned();
    for _ in 0..3 {
        let response = http(&address, method, &path, body, Duration::from_secs(1))?;
        if response.status != 307 {
            return Some(response);
        }
        let location = response.location?;
        let (host, rest) = location.strip_prefix("http://")?.split_once('/')?;
        address = host.to_owned();
        path = format!("/{rest}");
    }
    None
}

/// Sends an order to one control instance after the other until it gets a clear answer.
pub fn order(controls: &[String], method: &str, path: &str, body: &str, limit: Duration) -> Option<Response> {
    let until = Instant::now() + limit;
    let mut pause = Duration::from_millis(50);
    for address in controls.iter().cycle() {
        if Instant::now() >= until {
            return None;
        }
        let response = call(address, method, path, body);
        let status = response.as_ref().map_or(0, |response| response.status);
        record(&format!("operator {method} {path} at {address} -> {status}"));
        if (200..300).contains(&status) || [400, 404, 409, 412, 413, 422].contains(&status) {
            return response;
        }
        thread::sleep(pause);
        pause = (pause * 2).min(Duration::from_millis(400));
    }
    None
}

/// A request as a stand-in's HTTP server received it.
pub struct Request {
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns a text field of a flat JSON body.
    pub fn field(&self, name: &str) -> Option<&str> {
        let rest = self.body.split_once(&format!("\"{name}\""))?.1;
        rest.split('"').nth(1)
    }
}

/// Serves HTTP requests; the handler returns the status of an empty JSON response.
pub fn serve_http(address: &str, handler: impl Fn(Request) -> u16 + Send + Sync + 'static) {
    let listener = TcpListener::bind(address).expect("the platform's address is free");
    let handler = std::sync::Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || serve_connection(stream, &*handler));
        }
    });
}

fn serve_connection(stream: TcpStream, handler: &dyn Fn(Request) -> u16) -> Option<()> {
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let path = line.split(' ').nth(1)?.to_owned();
        let mut headers = Vec::new();
        let mut length = 0;
        loop {
            line.clear();
            reader.read_line(&mut line).ok()?;
            let line = line.trim_end();
            if line.is_empty() {
                break;
            }
            let (name, value) = line.split_once(':')?;
            if name.eq_ignore_ascii_case("content-length") {
                length = value.trim().parse().ok()?;
            }
            headers.push((name.to_owned(), value.trim().to_owned()));
        }
        let mut bytes = vec![0; length];
        reader.read_exact(&mut bytes).ok()?;
        let body = String::from_utf8_lossy(&bytes).into_owned();
        let status = handler(Request { path, headers, body });
        let answer =
            format!("HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{{}}");
        writer.write_all(answer.as_bytes()).ok()?;
    }
}

/// Reads a line of the line protocol, which ends with CR LF. A line feed alone is part of the line.
pub fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n") {
        if reader.read_until(b'\n', &mut bytes).ok()? == 0 {
            return None;
        }
    }
    bytes.truncate(bytes.len() - 2);
    String::from_utf8(bytes).ok()
}
