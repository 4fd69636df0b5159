//! A client's session on the line protocol.

use {
    crate::util::{self, record},
    std::{
        io::{BufReader, Write},
        net::{SocketAddr, TcpStream},
        time::{Duration, Instant},
    },
};

/// How long a client waits for an answer: the time limit of an operation.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(8);

/// The answer to a statement.
#[derive(Debug, Clone)]
pub struct Answer {
    /// The proof, or the error.
    pub result: Result<String, String>,
    pub state: String,
}

pub struct Client {
    name: String,
    reader: BufReader<TcpStream>,
    writer: TcpStream,
}

impl Client {
    /// Opens a session; the error is the code or `closed`.
    pub fn connect(name: &str, address: &str, database: &str, key: &str) -> Result<Self, String> {
        let closed = |_| "closed".to_owned();
        let address: SocketAddr = address.parse().expect("an address");
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(2)).map_err(closed)?;
        stream.set_nodelay(true).map_err(closed)?;
        stream.set_read_timeout(Some(ANSWER_TIMEOUT)).map_err(closed)?;
        let writer = stream.try_clone().map_err(closed)?;
        let mut client = Self { name: name.to_owned(), reader: BufReader::new(stream), writer };
        client.writer.write_all(format!("CONNECT {database} {key}\r\n").as_bytes()).map_err(closed)?;
        let line = client.line().ok_or("closed")?;
        match line.strip_prefix("ERROR ") {
            Some(error) => Err(error.to_owned()),
            None => Ok(client),
        }
    }

    fn line(&mut self) -> Option<String> {
        util::read_line(&mut self.reader)
    }

    /// Sends a statement and waits for its whole answer; `None` if the connection ended or nothing came in time.
    pub fn query(&mut self, id: &str, text: &str) -> Option<Answer> {
        let sent_at = Instant::now();
        record(&format!("{} sends {id} {text:?}", self.name));
        let answer = self.exchange(id, text);
        let outcome = match &answer {
            None => "no answer".to_owned(),
            Some(answer) => format!("{:?} in state {}", answer.result, answer.state),
        };
        let took_ms = sent_at.elapsed().as_secs_f64() * 1_000.0;
        record(&format!("{} gets {outcome} for {id} after {took_ms:.1} ms", self.name));
        answer
    }

    fn exchange(&mut self, id: &str, text: &str) -> Option<Answer> {
        self.writer.write_all(format!("QUERY {id} {text}\r\n").as_bytes()).ok()?;
        let mut result = None;
        loop {
            let line = self.line()?;
            let (keyword, rest) = line.split_once(' ').unwrap_or((&line, ""));
            match keyword {
                "ROW" => {}
                "DONE" => result = Some(Ok(rest.to_owned())),
                "ERROR" => result = Some(Err(rest.to_owned())),
                "READY" => {
                    let state = rest.split(' ').next().unwrap_or_default().to_owned();
                    return Some(Answer { result: result?, state });
                }
                _ => return None,
            }
        }
    }
}
