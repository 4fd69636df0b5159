//! The databases of one service, which speak the line protocol, replicate and announce themselves as PROTOCOL.md says.

use {
    crate::util::{self, record},
    std::{
        collections::BTreeMap,
        io::{BufReader, Write},
        net::{TcpListener, TcpStream},
        sync::{
            Arc, Mutex, MutexGuard,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
};

/// How long a statement occupies a database.
const STATEMENT_TIME: Duration = Duration::from_millis(2);

/// How much later than its receipt a replica applies a commit.
const APPLY_LAG: Duration = Duration::from_millis(20);

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_200);

/// One-way delays between databases, as the sheets of the small sites give them.
const DELAY_IN_ZONE: Duration = Duration::from_micros(100);
const DELAY_BETWEEN_REGIONS: Duration = Duration::from_millis(12);

#[derive(Debug, Clone)]
pub struct Commit {
    pub id: String,
    pub writes: Vec<(String, String)>,
    /// When each database has it.
    received_at: Vec<Instant>,
    /// When its acknowledgement was sent.
    pub acknowledged_at: Option<Instant>,
}

/// A statement of a client that reached a database.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub at: Instant,
    pub database: usize,
    pub id: String,
    pub text: String,
    pub error: Option<String>,
}

#[derive(Debug, Default)]
pub struct State {
    pub term: u64,
    pub primary: Option<usize>,
    pub log: Vec<Commit>,
    pub arrivals: Vec<Arrival>,
    /// Acknowledged commits that a promoted database did not have.
    pub lost: Vec<Commit>,
    pub promotions: Vec<Instant>,
    fencing_token: u64,
    paused_at: Vec<Option<Instant>>,
}

pub struct Database {
    pub id: String,
    pub address: String,
    pub zone: String,
    draining: AtomicBool,
    /// When the database's report that it drains was acknowledged.
    pub drain_acknowledged_at: Mutex<Option<Instant>>,
}

pub struct Group {
    pub service: String,
    pub synchronous_replicas: u32,
    pub databases: Vec<Database>,
    state: Mutex<State>,
    controls: Vec<String>,
}

impl Group {
    /// Starts the databases. The first is the primary.
    pub fn start(
        service: &str,
        synchronous_replicas: u32,
        locations: &[(&str, String, &str)],
        controls: &[String],
    ) -> Arc<Self> {
        let databases: Vec<Database> = locations
            .iter()
            .map(|(id, address, zone)| Database {
                id: (*id).to_owned(),
                address: address.clone(),
                zone: (*zone).to_owned(),
                draining: AtomicBool::new(false),
                drain_acknowledged_at: Mutex::new(None),
            })
            .collect();
        let state =
            State { term: 1, primary: Some(0), paused_at: vec![None; databases.len()], ..State::default() };
        let group = Arc::new(Self {
            service: service.to_owned(),
            synchronous_replicas,
            databases,
            state: Mutex::new(state),
            controls: controls.to_vec(),
        });
        for index in 0..group.databases.len() {
            let listener =
                TcpListener::bind(&group.databases[index].address).expect("a database's address is free");
            let group = group.clone();
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let group = group.clone();
                    thread::spawn(move || group.serve(index, stream));
                }
            });
        }
        group
    }

    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|error| error.into_inner())
    }

    /// Starts the status reports of a database, which sends one at once and then at intervals.
    pub fn announce(self: &Arc<Self>, index: usize) {
        let group = self.clone();
        thread::spawn(move || {
            let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
            let mut sequence = 0;
            let mut node = index;
            loop {
                let draining = group.databases[index].draining.load(Ordering::SeqCst);
                sequence += 1;
                group.send_heartbeat(index, born, sequence, draining, &mut node);
                let next = Instant::now() + HEARTBEAT_INTERVAL;
                // A change of state is reported immediately.
                while Instant::now() < next
                    && group.databases[index].draining.load(Ordering::SeqCst) == draining
                {
                    thread::sleep(Duration::from_millis(20));
                }
            }
        });
    }

    fn send_heartbeat(&self, index: usize, born: u128, sequence: u64, draining: bool, node: &mut usize) {
        let database = &self.databases[index];
        let role = if self.lock().primary == Some(index) { "primary" } else { "replica" };
        let state = if draining { "draining" } else { "ready" };
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":5,\"state\":\"{state}\",\"cold_left_ms\":0,\"db_role\":\"{role}\",\"seq_no\":{sequence},\"born\":{born}}}",
            self.service, database.address, database.zone
        );
        let path = format!("/-/instances/{}/heartbeat", database.id);
        for _ in 0..self.controls.len() {
            let address = &self.controls[*node % self.controls.len()];
            let response = util::http(address, "POST", &path, &body, Duration::from_secs(1));
            if response.is_some_and(|response| (200..300).contains(&response.status)) {
                let mut acknowledged_at = database.drain_acknowledged_at.lock().unwrap();
                if draining && acknowledged_at.is_none() {
                    *acknowledged_at = Some(Instant::now());
                    record(&format!("{} reports that it drains; acknowledged by {address}", database.id));
                }
                return;
            }
            *node += 1;
        }
    }

    pub fn drain(&self, index: usize) {
        self.databases[index].draining.store(true, Ordering::SeqCst);
    }

    /// Carries out `POST /promote`. Returns the status of the response; the promotion itself takes `duration`.
    pub fn promote(self: &Arc<Self>, id: &str, fencing_token: u64, duration: Duration) -> u16 {
        let Some(index) = self.databases.iter().position(|database| database.id == id) else { return 409 };
        {
            let mut state = self.lock();
            if fencing_token < state.fencing_token {
                return 409;
            }
            state.fencing_token = fencing_token;
            if state.primary == Some(index) {
                return 200;
            }
        }
        let group = self.clone();
        thread::spawn(move || {
            thread::sleep(duration);
            let now = Instant::now();
            let mut state = group.lock();
            if fencing_token < state.fencing_token || state.primary == Some(index) {
                return;
            }
            let kept = Self::received(&state, index, now);
            let rolled_back = state.log.split_off(kept);
            state.term += 1;
            state.primary = Some(index);
            state.paused_at[index] = None;
            state.promotions.push(now);
            for commit in &mut state.log {
                for received_at in &mut commit.received_at {
                    *received_at = (*received_at).min(now);
                }
            }
            record(&format!(
                "{} leads term {} from position {kept}; {} commits are rolled back",
                group.databases[index].id,
                state.term,
                rolled_back.len()
            ));
            for commit in rolled_back {
                if let Some(at) = commit.acknowledged_at {
                    record(&format!(
                        "commit {} was acknowledged {:.1} ms before and is rolled back",
                        commit.id,
                        now.saturating_duration_since(at).as_secs_f64() * 1_000.0
                    ));
                    state.lost.push(commit);
                }
            }
        });
        200
    }

    /// Returns the number of commits that a database has received.
    fn received(state: &State, index: usize, now: Instant) -> usize {
        let now = state.paused_at[index].map_or(now, |paused_at| paused_at.min(now));
        state.log.iter().take_while(|commit| commit.received_at[index] <= now).count()
    }

    fn applied(state: &State, index: usize, now: Instant) -> usize {
        if state.primary == Some(index) {
            state.log.len()
        } else {
            Self::received(state, index, now - APPLY_LAG)
        }
    }

    fn serve(&self, index: usize, stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        let first = util::read_line(&mut reader)?;
        if first.starts_with("GET ") {
            let head = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nCumincart-Instance-Id:";
            return writer.write_all(format!("{head} {}\r\n\r\n", self.databases[index].id).as_bytes()).ok();
        }
        let fields: Vec<&str> = first.split(' ').collect();
        let is_expected = fields.len() >= 3
            && fields[0] == "CONNECT"
            && fields[1] == self.service
            && fields.get(3).is_none_or(|id| *id == self.databases[index].id);
        if !is_expected {
            return writer.write_all(b"ERROR MISROUTED another database\r\n").ok();
        }
        let mut connection = Connection { index, ..Connection::default() };
        writer.write_all(self.ready(&connection).as_bytes()).ok()?;
        while let Some(line) = util::read_line(&mut reader) {
            let Some(query) = line.strip_prefix("QUERY ") else { return None };
            let (id, text) = query.split_once(' ')?;
            thread::sleep(STATEMENT_TIME);
            let result = self.run(&mut connection, id, text)?;
            if id != "-" {
                let arrival = Arrival {
                    at: Instant::now(),
                    database: index,
                    id: id.to_owned(),
                    text: text.to_owned(),
                    error: result.as_ref().err().cloned(),
                };
                let outcome = result.as_ref().map_or_else(|error| error.as_str(), |_| "DONE");
                record(&format!("{} ran {id} {text:?} -> {outcome}", self.databases[index].id));
                self.lock().arrivals.push(arrival);
            }
            let mut answer = String::new();
            match result {
                Ok(rows) => {
                    for row in rows {
                        answer.push_str(&format!("ROW {row}\r\n"));
                    }
                    let mac = if id == "-" { "-".to_owned() } else { mac(&self.databases[index].id, id) };
                    answer.push_str(&format!("DONE {mac}\r\n"));
                }
                Err(error) => answer.push_str(&format!("ERROR {error}\r\n")),
            }
            answer.push_str(&self.ready(&connection));
            writer.write_all(answer.as_bytes()).ok()?;
        }
        None
    }

    fn ready(&self, connection: &Connection) -> String {
        let state = self.lock();
        let letter = match (&connection.transaction, connection.has_failed) {
            (_, true) => 'E',
            (Some(_), false) => 'T',
            (None, false) => 'I',
        };
        let applied = Self::applied(&state, connection.index, Instant::now());
        format!("READY {letter} {}.{applied}\r\n", state.term)
    }

    /// Runs a statement. `None` closes the connection without an answer.
    fn run(&self, connection: &mut Connection, id: &str, text: &str) -> Option<Result<Vec<String>, String>> {
        let refuse = |code: &str| Some(Err(format!("{code} {}", self.databases[connection.index].id)));
        let now = Instant::now();
        let state = self.lock();
        let is_primary = state.primary == Some(connection.index);
        let applied = Self::applied(&state, connection.index, now);
        let text = match text.strip_prefix("AFTERLSN ") {
            None => text,
            Some(rest) => {
                let (point, rest) = rest.split_once(' ')?;
                let (term, number) = point.split_once('.')?;
                let (term, number): (u64, usize) = (term.parse().ok()?, number.parse().ok()?);
                if term > state.term || number > applied {
                    return refuse("LAGGING");
                }
                rest
            }
        };
        let (keyword, rest) = text.split_once(' ').unwrap_or((text, ""));
        if connection.has_failed && keyword != "ROLLBACK" && keyword != "COMMIT" {
            return refuse("MALFORMED");
        }
        if let Some(transaction) = &connection.transaction
            && !transaction.read_only
            && !is_primary
            && keyword != "ROLLBACK"
            && !(keyword == "COMMIT" && transaction.writes.is_empty())
        {
            connection.has_failed = true;
            return refuse("READONLY");
        }
        let prepared = (keyword == "EXECUTE").then(|| rest.split_once(' ').unwrap_or((rest, "")));
        let (keyword, rest) = match prepared {
            None => (keyword, rest),
            Some((name, arguments)) => match connection.prepared.get(name) {
                None => return refuse("NOSTMT"),
                Some(true) => ("WRITE", arguments),
                Some(false) => ("READ", arguments),
            },
        };
        match keyword {
            "BEGIN" if rest != "READ" && !is_primary => refuse("READONLY"),
            "BEGIN" => {
                connection.transaction = Some(Transaction { read_only: rest == "READ", writes: Vec::new() });
                Some(Ok(Vec::new()))
            }
            "ROLLBACK" => {
                connection.transaction = None;
                connection.has_failed = false;
                Some(Ok(Vec::new()))
            }
            "COMMIT" => {
                let transaction = connection.transaction.take();
                if std::mem::take(&mut connection.has_failed) {
                    return refuse("READONLY");
                }
                match transaction {
                    None => refuse("MALFORMED"),
                    Some(transaction) if transaction.writes.is_empty() => Some(Ok(Vec::new())),
                    Some(transaction) => self.commit(state, connection.index, id, transaction.writes),
                }
            }
            "READ" => {
                let own = connection.transaction.iter().flat_map(|transaction| &transaction.writes);
                let committed = state.log[..applied].iter().flat_map(|commit| &commit.writes);
                let found = committed.chain(own).filter(|(item, _)| item == rest).last();
                Some(Ok(vec![found.map_or("-", |(_, data)| data.as_str()).to_owned()]))
            }
            "WRITE" if !is_primary => refuse("READONLY"),
            "WRITE" => {
                let (item, data) = rest.split_once(' ')?;
                let write = (item.to_owned(), data.to_owned());
                match &mut connection.transaction {
                    Some(transaction) => {
                        transaction.writes.push(write);
                        Some(Ok(Vec::new()))
                    }
                    None => self.commit(state, connection.index, id, vec![write]),
                }
            }
            "SET" => Some(Ok(Vec::new())),
            "PREPARE" => {
                let mut fields = rest.split(' ');
                let name = fields.next()?.to_owned();
                connection.prepared.insert(name, fields.next()? == "WRITE");
                Some(Ok(Vec::new()))
            }
            "DEALLOC" => {
                connection.prepared.remove(rest);
                Some(Ok(Vec::new()))
            }
            "RESET" => {
                connection.prepared.clear();
                Some(Ok(Vec::new()))
            }
            "STATUS" | "STEPDOWN" | "PAUSE" | "RESUME" => {
                let mut state = state;
                let term = rest.parse::<u64>().unwrap_or_default();
                match keyword {
                    "STEPDOWN" if is_primary && term > state.term => state.primary = None,
                    "PAUSE" if !is_primary && term > state.term => {
                        state.paused_at[connection.index] = Some(now)
                    }
                    "RESUME" => state.paused_at[connection.index] = None,
                    _ => {}
                }
                let role = if state.primary == Some(connection.index) { "primary" } else { "replica" };
                let received =
                    if is_primary { state.log.len() } else { Self::received(&state, connection.index, now) };
                let lag = if is_primary { 0 } else { 20 };
                Some(Ok(vec![format!("{role} {} {}.{received} 0 {lag} 0 1", state.term, state.term)]))
            }
            _ => refuse("MALFORMED"),
        }
    }

    /// Commits on the primary. With synchronous replicas the acknowledgement waits until one has received the commit.
    fn commit(
        &self,
        mut state: MutexGuard<'_, State>,
        index: usize,
        id: &str,
        writes: Vec<(String, String)>,
    ) -> Option<Result<Vec<String>, String>> {
        let now = Instant::now();
        let zone = &self.databases[index].zone;
        let delay = |other: &Database| {
            if other.zone == *zone { DELAY_IN_ZONE } else { DELAY_BETWEEN_REGIONS }
        };
        let mut received_at: Vec<Instant> =
            self.databases.iter().map(|database| now + delay(database)).collect();
        received_at[index] = now;
        let others = received_at.iter().enumerate().filter(|(other, _)| *other != index);
        let first_received_at = others.map(|(_, at)| *at).min().unwrap_or(now);
        state.log.push(Commit { id: id.to_owned(), writes, received_at, acknowledged_at: None });
        drop(state);
        if self.synchronous_replicas > 0 {
            thread::sleep(first_received_at.saturating_duration_since(Instant::now()));
        }
        let mut state = self.lock();
        // A commit that a promotion has rolled back meanwhile gets no answer.
        let commit = state.log.iter_mut().find(|commit| commit.id == id)?;
        commit.acknowledged_at = Some(Instant::now());
        Some(Ok(Vec::new()))
    }
}

/// Returns the proof of a database that it ran a statement.
pub fn mac(database: &str, id: &str) -> String {
    format!("mac.{database}.{id}")
}

#[derive(Debug, Default)]
struct Connection {
    index: usize,
    transaction: Option<Transaction>,
    has_failed: bool,
    /// The prepared names, and whether each writes.
    prepared: BTreeMap<String, bool>,
}

#[derive(Debug)]
struct Transaction {
    read_only: bool,
    writes: Vec<(String, String)>,
}
