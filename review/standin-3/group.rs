//! A database group on the platform's line protocol, with the platform's promotions.
//!
//! Each commit that writes gets the next number. A replica receives it after the lag between the two databases, as long as
//! both run. With `sync_replicas` 1 the primary confirms a commit once one running replica has received it. A promotion
//! takes some time; then the named database leads the next term with what it had received, and nothing more.

use {
    crate::{record, since_start_ms},
    std::{
        collections::BTreeMap,
        io::{BufRead, BufReader, ErrorKind, Write},
        net::{TcpListener, TcpStream},
        sync::{Arc, Mutex, MutexGuard},
        thread,
        time::{Duration, Instant},
    },
};

/// How a database works.
#[derive(Clone)]
pub struct Options {
    pub service: String,
    /// Commits are confirmed once this many replicas have received them: 0 or 1.
    pub sync_replicas: usize,
    pub promotion: Duration,
    /// The time that a statement takes, from its item.
    pub work: fn(&str) -> Duration,
}

/// Where a database runs.
#[derive(Clone)]
pub struct Place {
    pub id: String,
    pub address: String,
    pub zone: String,
}

#[derive(Clone)]
struct Commit {
    id: String,
    at: Instant,
}

struct Database {
    runs: bool,
    /// Counts the crashes, which end connections.
    life: u64,
    down_since: Option<Instant>,
    born_ms: u128,
    received: usize,
}

pub struct State {
    term: u64,
    primary: usize,
    fence: u64,
    log: Vec<Commit>,
    databases: Vec<Database>,
    /// The identifiers in the log of the promoted database, at each promotion.
    pub promotions: Vec<Promoted>,
    /// When a client's statement arrived, and when the database had worked on it.
    pub runs: BTreeMap<String, Run>,
}

pub struct Promoted {
    pub at: Instant,
    pub id: String,
    pub log: Vec<String>,
}

#[derive(Clone, Copy)]
pub struct Run {
    pub arrived: Instant,
    pub done: Option<Instant>,
}

#[derive(Clone)]
pub struct Group {
    pub options: Options,
    pub places: Arc<Vec<Place>>,
    state: Arc<Mutex<State>>,
}

fn unix_ms() -> u128 {
    std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).map_or(0, |since| since.as_millis())
}

impl Group {
    pub fn start(options: Options, places: Vec<Place>) -> Self {
        let new = || Database { runs: true, life: 0, down_since: None, born_ms: unix_ms(), received: 0 };
        let state = State {
            term: 1,
            primary: 0,
            fence: 0,
            log: Vec::new(),
            databases: places.iter().map(|_| new()).collect(),
            promotions: Vec::new(),
            runs: BTreeMap::new(),
        };
        let group = Self { options, places: Arc::new(places), state: Arc::new(Mutex::new(state)) };
        for index in 0..group.places.len() {
            let group = group.clone();
            thread::spawn(move || group.listen(index));
        }
        group
    }

    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    pub fn runs(&self, index: usize) -> bool {
        self.lock().databases[index].runs
    }

    pub fn born_ms(&self, index: usize) -> u128 {
        self.lock().databases[index].born_ms
    }

    pub fn role(&self, index: usize) -> &'static str {
        if self.lock().primary == index { "primary" } else { "replica" }
    }

    /// Crashes a database: its connections end, and nothing listens at its address.
    pub fn crash(&self, index: usize) {
        let mut state = self.lock();
        self.update(&mut state);
        let database = &mut state.databases[index];
        database.runs = false;
        database.life += 1;
        database.down_since = Some(Instant::now());
        record(&format!("database {} crashes", self.places[index].id));
    }

    /// Starts a database that has crashed. It has its log, less what a promotion has rolled back.
    pub fn restart(&self, index: usize) {
        let mut state = self.lock();
        let database = &mut state.databases[index];
        database.runs = true;
        database.down_since = None;
        database.born_ms = unix_ms();
        record(&format!("database {} is back", self.places[index].id));
    }

    fn lag(&self, from: usize, to: usize) -> Duration {
        let same = self.places[from].zone == self.places[to].zone;
        if same { Duration::from_millis(1) } else { Duration::from_millis(20) }
    }

    /// Brings what each replica has received up to date.
    fn update(&self, state: &mut State) {
        let now = Instant::now();
        let primary = state.primary;
        let sender_until = state.databases[primary].down_since.unwrap_or(now);
        for index in 0..state.databases.len() {
            if index == primary {
                state.databases[index].received = state.log.len();
                continue;
            }
            if !state.databases[index].runs {
                continue;
            }
            let lag = self.lag(primary, index);
            let received = state.log.partition_point(|commit| commit.at + lag <= sender_until);
            let database = &mut state.databases[index];
            database.received = database.received.max(received);
        }
    }

    /// Carries out a promotion as the platform does. Returns the status of the response.
    pub fn promote(&self, id: &str, fence: u64) -> u16 {
        let Some(index) = self.places.iter().position(|place| place.id == id) else { return 409 };
        {
            let mut state = self.lock();
            if fence < state.fence || !state.databases[index].runs {
                return 409;
            }
            state.fence = fence;
            if state.primary == index {
                return 200;
            }
        }
        let group = self.clone();
        thread::spawn(move || {
            thread::sleep(group.options.promotion);
            let mut state = group.lock();
            if fence < state.fence || state.primary == index || !state.databases[index].runs {
                return;
            }
            group.update(&mut state);
            let kept = state.databases[index].received;
            state.log.truncate(kept);
            for database in &mut state.databases {
                database.received = database.received.min(kept);
            }
            state.primary = index;
            state.term += 1;
            let log = state.log.iter().map(|commit| commit.id.clone()).collect();
            let id = group.places[index].id.clone();
            record(&format!("{id} leads term {} with {kept} commits", state.term));
            state.promotions.push(Promoted { at: Instant::now(), id, log });
        });
        200
    }

    fn listen(&self, index: usize) {
        loop {
            if !self.runs(index) {
                thread::sleep(Duration::from_millis(5));
                continue;
            }
            let Ok(listener) = TcpListener::bind(&self.places[index].address) else {
                thread::sleep(Duration::from_millis(20));
                continue;
            };
            listener.set_nonblocking(true).expect("a listener can be made non-blocking");
            while self.runs(index) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let group = self.clone();
                        thread::spawn(move || group.serve(index, stream));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(2)),
                }
            }
        }
    }

    fn serve(&self, index: usize, stream: TcpStream) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_millis(20)));
        let life = self.lock().databases[index].life;
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = BufReader::new(copy);
        let mut connection: Option<Connection> = None;
        let mut partial = Vec::new();
        loop {
            let line = match reader.read_until(b'\n', &mut partial) {
                Ok(0) => return,
                Ok(_) if partial.ends_with(b"\r\n") => {
                    let line = String::from_utf8_lossy(&partial[..partial.len() - 2]).into_owned();
                    partial.clear();
                    Some(line)
                }
                Ok(_) => None,
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => None,
                Err(_) => return,
            };
            if self.lock().databases[index].life != life {
                return;
            }
            let Some(line) = line else { continue };
            let answer = match &mut connection {
                None => {
                    let fields: Vec<&str> = line.split(' ').collect();
                    let is_own = fields.first() == Some(&"CONNECT")
                        && fields.get(1) == Some(&self.options.service.as_str())
                        && fields.get(3).is_none_or(|id| *id == self.places[index].id);
                    if !is_own {
                        let _ = (&stream).write_all(b"ERROR MISROUTED another database\r\n");
                        return;
                    }
                    connection = Some(Connection::default());
                    Some(String::new())
                }
                Some(_) if line == "BYE" => return,
                Some(connection) => self.run(index, life, connection, &line),
            };
            // The database has crashed, or has lost the lead before it could confirm a commit.
            let Some(mut answer) = answer else { return };
            if answer.starts_with("DONE")
                && let Some((rows, readers)) = line.split(' ').next_back().and_then(result_rows)
                && !send_rows(&stream, rows, readers)
            {
                return;
            }
            answer += &self.ready(index, connection.as_ref());
            if (&stream).write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn ready(&self, index: usize, connection: Option<&Connection>) -> String {
        let mut state = self.lock();
        self.update(&mut state);
        let word = match connection {
            Some(connection) if connection.has_failed => 'E',
            Some(connection) if connection.transaction.is_some() => 'T',
            _ => 'I',
        };
        format!("READY {word} {}.{}\r\n", state.term, state.databases[index].received)
    }

    /// Runs a statement. Returns its answer without the last line; none if the connection ends without one.
    fn run(&self, index: usize, life: u64, connection: &mut Connection, line: &str) -> Option<String> {
        let Some((id, text)) = line.strip_prefix("QUERY ").and_then(|rest| rest.split_once(' ')) else {
            return Some("ERROR MALFORMED no query\r\n".into());
        };
        let mut words: Vec<&str> = text.split(' ').collect();
        let mut after = None;
        if words.first() == Some(&"AFTERLSN") && words.len() > 2 {
            after = words[1].split_once('.').and_then(|(_, number)| number.parse::<usize>().ok());
            words.drain(..2);
        }
        let item = words.get(1).copied().unwrap_or("");
        let is_work = matches!(words[0], "READ" | "WRITE" | "COMMIT");
        if id != "-" {
            self.lock().runs.insert(id.to_owned(), Run { arrived: Instant::now(), done: None });
        }
        if is_work {
            thread::sleep((self.options.work)(item));
        }
        let mut state = self.lock();
        if state.databases[index].life != life {
            return None;
        }
        self.update(&mut state);
        let is_primary = state.primary == index;
        if after.is_some_and(|after| after > state.databases[index].received) {
            return Some("ERROR LAGGING behind\r\n".into());
        }
        if connection.has_failed && words[0] != "ROLLBACK" {
            return Some("ERROR MALFORMED the transaction has failed\r\n".into());
        }
        let has_lost_lead = connection.transaction.is_some() && connection.is_plain && !is_primary;
        let commits_nothing =
            words[0] == "COMMIT" && connection.transaction.as_ref().is_some_and(Vec::is_empty);
        if has_lost_lead && words[0] != "ROLLBACK" && !commits_nothing {
            connection.has_failed = true;
            return Some("ERROR READONLY replica\r\n".into());
        }
        let mut wrote = false;
        let answer = match words[0] {
            "BEGIN" if words.len() == 1 && !is_primary => "ERROR READONLY replica\r\n".to_owned(),
            "BEGIN" => {
                connection.transaction = Some(Vec::new());
                connection.is_plain = words.len() == 1;
                "DONE -\r\n".to_owned()
            }
            "ROLLBACK" => {
                connection.transaction = None;
                connection.has_failed = false;
                "DONE -\r\n".to_owned()
            }
            "COMMIT" => match connection.transaction.take() {
                None => "ERROR MALFORMED no transaction\r\n".to_owned(),
                Some(writes) => {
                    if !writes.is_empty() {
                        state.log.push(Commit { id: id.to_owned(), at: Instant::now() });
                        wrote = true;
                    }
                    format!("DONE mac-{id}\r\n")
                }
            },
            // The rows of a large result follow from the caller, since they don't fit into one text.
            "READ" if result_rows(item).is_some() => format!("DONE mac-{id}\r\n"),
            "READ" => format!("ROW {} {item}\r\nDONE mac-{id}\r\n", state.databases[index].received),
            "WRITE" if !is_primary => "ERROR READONLY replica\r\n".to_owned(),
            "WRITE" => {
                match &mut connection.transaction {
                    Some(writes) => writes.push(id.to_owned()),
                    None => {
                        state.log.push(Commit { id: id.to_owned(), at: Instant::now() });
                        wrote = true;
                    }
                }
                format!("DONE mac-{id}\r\n")
            }
            "SET" | "RESET" | "PREPARE" | "DEALLOC" => "DONE -\r\n".to_owned(),
            "STATUS" => {
                let role = if is_primary { "primary" } else { "replica" };
                let (term, received) = (state.term, state.databases[index].received);
                format!("ROW {role} {term} {term}.{received} 0 0 0 1\r\nDONE -\r\n")
            }
            _ => "ERROR MALFORMED unknown statement\r\n".to_owned(),
        };
        let (term, number) = (state.term, state.log.len());
        drop(state);
        if wrote && self.options.sync_replicas > 0 && !self.await_replica(index, life, term, number) {
            return None;
        }
        if let Some(run) = self.lock().runs.get_mut(id) {
            run.done = Some(Instant::now());
        }
        Some(answer)
    }

    /// Waits until a running replica has received a commit. Returns false if the database ends or loses the lead before.
    fn await_replica(&self, index: usize, life: u64, term: u64, number: usize) -> bool {
        loop {
            {
                let mut state = self.lock();
                if state.databases[index].life != life || state.term != term {
                    return false;
                }
                self.update(&mut state);
                let has = |(other, database): (usize, &Database)| {
                    other != index && database.runs && database.received >= number
                };
                if state.databases.iter().enumerate().any(has) {
                    return true;
                }
            }
            thread::sleep(Duration::from_micros(500));
        }
    }

    /// Logs how many commits each database has received.
    pub fn log_received(&self) {
        let mut state = self.lock();
        self.update(&mut state);
        let counts: Vec<String> = self
            .places
            .iter()
            .zip(&state.databases)
            .map(|(place, database)| format!("{} {}", place.id, database.received))
            .collect();
        let line = format!("received at {} ms: {}", since_start_ms(), counts.join(", "));
        drop(state);
        record(&line);
    }
}

/// The number of rows that a read of an item returns, if it is a large result: `export-ROWS-READERS`. The readers share the
/// link of a machine.
fn result_rows(item: &str) -> Option<(usize, usize)> {
    let (rows, readers) = item.strip_prefix("export-")?.split_once('-')?;
    Some((rows.parse().ok()?, readers.parse().ok()?))
}

/// The length of a row of a large result, in bytes: below the largest answer of the deployments.
const ROW_BYTES: usize = 1_000;

/// The rate of a machine's link of 1,000 Mbit/s, in bytes a millisecond.
const LINK_BYTES_PER_MS: usize = 125_000;

/// Sends the rows of a large result, no faster than a reader's part of a machine's link. Returns false if the connection has
/// ended.
fn send_rows(mut stream: &TcpStream, rows: usize, readers: usize) -> bool {
    let row = format!("ROW {}\r\n", "x".repeat(ROW_BYTES - 6));
    let block = row.repeat(64);
    let started = Instant::now();
    let mut sent = 0;
    for number in 0..rows.div_ceil(64) {
        let text = &block[..(rows - number * 64).min(64) * ROW_BYTES];
        if stream.write_all(text.as_bytes()).is_err() {
            return false;
        }
        sent += text.len();
        let due = Duration::from_millis((sent * readers / LINK_BYTES_PER_MS) as u64);
        thread::sleep(due.saturating_sub(started.elapsed()));
    }
    true
}

#[derive(Default)]
struct Connection {
    transaction: Option<Vec<String>>,
    is_plain: bool,
    has_failed: bool,
}
