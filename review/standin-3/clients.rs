//! Clients on the line protocol.

use std::{
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// The answer to a statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// Success with the rows and the MAC.
    Done(Vec<String>, String),
    /// An error with its code and text.
    Error(String),
    /// The connection ended without a complete answer.
    Broken,
}

pub struct Client {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    /// Opens a session. The error is the answer, or empty if there was none.
    pub fn connect(address: &str, database: &str, key: &str) -> Result<Self, String> {
        let address: SocketAddr = address.parse().map_err(|_| String::new())?;
        let stream =
            TcpStream::connect_timeout(&address, Duration::from_secs(2)).map_err(|_| String::new())?;
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_secs(20)));
        let copy = stream.try_clone().map_err(|_| String::new())?;
        let mut client = Self { stream, reader: BufReader::new(copy) };
        client
            .stream
            .write_all(format!("CONNECT {database} {key}\r\n").as_bytes())
            .map_err(|_| String::new())?;
        let line = client.line().ok_or_else(String::new)?;
        if line.starts_with("READY I") { Ok(client) } else { Err(line) }
    }

    fn line(&mut self) -> Option<String> {
        let mut line = String::new();
        match self.reader.read_line(&mut line) {
            Ok(length) if length > 0 && line.ends_with("\r\n") => Some(line.trim_end().to_owned()),
            _ => None,
        }
    }

    /// Sends a statement and reads its answer. Returns also when its last byte was sent, and the state after it.
    pub fn run(&mut self, id: &str, text: &str) -> (Answer, Instant, char) {
        let is_sent = self.stream.write_all(format!("QUERY {id} {text}\r\n").as_bytes()).is_ok();
        let sent_at = Instant::now();
        if !is_sent {
            return (Answer::Broken, sent_at, 'X');
        }
        let mut rows = Vec::new();
        let mut answer = None;
        loop {
            let Some(line) = self.line() else { return (Answer::Broken, sent_at, 'X') };
            let (word, rest) = line.split_once(' ').unwrap_or((&line, ""));
            match word {
                "ROW" => rows.push(rest.to_owned()),
                "DONE" => answer = Some(Answer::Done(std::mem::take(&mut rows), rest.to_owned())),
                "ERROR" => answer = Some(Answer::Error(rest.to_owned())),
                "READY" => {
                    let state = rest.chars().next().unwrap_or('X');
                    return (answer.unwrap_or(Answer::Broken), sent_at, state);
                }
                _ => return (Answer::Broken, sent_at, 'X'),
            }
        }
    }
}
