//! Small HTTP/1.1 client and server for the stand-ins: one request a connection, bodies with a length.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

/// A response: status, headers in lower case, body.
pub struct Response {
    pub status: u16,
    pub location: Option<String>,
    pub body: String,
}

/// Sends a request and reads the response, both within `limit`.
pub fn call(
    address: &str,
    method: &str,
    path: &str,
    body: Option<&str>,
    limit: Duration,
) -> Option<Response> {
    let address: SocketAddr = address.parse().ok()?;
    let stream = TcpStream::connect_timeout(&address, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.set_write_timeout(Some(limit)).ok()?;
    let mut out = format!("{method} {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n");
    if let Some(body) = body {
        out += &format!("Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    } else {
        out += "Content-Length: 0\r\n\r\n";
    }
    (&stream).write_all(out.as_bytes()).ok()?;
    let (head, body) = read_message(&stream)?;
    let status = head.first()?.split(' ').nth(1)?.parse().ok()?;
    Some(Response { status, location: header(&head, "location"), body })
}

/// Sends a request and follows up to two redirects.
pub fn call_following(
    address: &str,
    method: &str,
    path: &str,
    body: Option<&str>,
    limit: Duration,
) -> Option<Response> {
    let (mut address, mut path) = (address.to_owned(), path.to_owned());
    for _ in 0..3 {
        let response = call(&address, method, &path, body, limit)?;
        if response.status != 307 {
            return Some(response);
        }
        let location = response.location?;
        let rest = location.strip_prefix("http://")?;
        let (host, tail) = rest.split_once('/')?;
        address = host.to_owned();
        path = format!("/{tail}");
    }
    None
}

fn header(head: &[String], name: &str) -> Option<String> {
    head.iter().skip(1).find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name).then(|| value.trim().to_owned())
    })
}

fn read_message(stream: &TcpStream) -> Option<(Vec<String>, String)> {
    let mut reader = BufReader::new(stream);
    let mut head = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end().to_owned();
        if line.is_empty() {
            break;
        }
        head.push(line);
    }
    let length = header(&head, "content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((head, String::from_utf8_lossy(&body).into_owned()))
}

/// A request to a stand-in server.
pub struct Request {
    pub path: String,
    pub head: Vec<String>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<String> {
        header(&self.head, name)
    }
}

/// Serves requests until the process ends. The handler returns a status.
pub fn serve(address: &str, handler: impl Fn(Request) -> u16 + Send + Sync + 'static) {
    let listener = TcpListener::bind(address).expect("the address is free");
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || {
                let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
                let mut reader = stream.try_clone().map(BufReader::new).ok();
                // Requests may follow each other on one connection.
                while let Some((head, body)) = reader.as_mut().and_then(read_from) {
                    let path = head.first().and_then(|line| line.split(' ').nth(1)).unwrap_or("").to_owned();
                    let status = handler(Request { path, head, body });
                    let answer = format!(
                        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{{}}"
                    );
                    if (&stream).write_all(answer.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

fn read_from(reader: &mut BufReader<TcpStream>) -> Option<(Vec<String>, String)> {
    let mut head = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end().to_owned();
        if line.is_empty() {
            break;
        }
        head.push(line);
    }
    let length = header(&head, "content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((head, String::from_utf8_lossy(&body).into_owned()))
}

/// Returns the text of a string field of a flat JSON object.
pub fn text_field(body: &str, name: &str) -> Option<String> {
    let rest = body.split_once(&format!("\"{name}\""))?.1;
    let rest = rest.trim_start().strip_prefix(':')?.trim_start().strip_prefix('"')?;
    Some(rest.split_once('"')?.0.to_owned())
}
