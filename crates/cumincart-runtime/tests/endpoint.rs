//! The endpoint adapter against a stand-in group over loopback.

use {
    cumincart_core::{
        control::PromotionError,
        endpoint_command::{Claim, CommandError, CommandId, CommandOutput, ConnectionId, EndpointCommand},
        entry::Input,
    },
    cumincart_protocol::{
        announcement::Role,
        name::{DomainName, EndpointName, ServiceName},
        number::Timeline,
        request::{RequestId, Statement, Value},
    },
    cumincart_runtime::endpoint::{CommandRequest, EndpointLogin, promote, spawn},
    cumincart_standin::{database::Database, group::Group, record::End, settings::GroupSettings},
    std::{sync::Arc, time::Duration},
    test_case::test_case,
    tokio::sync::mpsc,
};

/// The longest wait for anything that must come; far longer than any of it takes.
const TIMEOUT: Duration = Duration::from_secs(20);

struct Link {
    requests: Option<mpsc::UnboundedSender<CommandRequest>>,
    inputs: mpsc::UnboundedReceiver<Input>,
    next: u64,
}

impl Link {
    async fn open(database: &Database) -> Self {
        let mut link = Self::attempt(database.address());
        assert!(matches!(link.input().await, Input::Opened(ConnectionId(7))));
        link
    }

    fn attempt(address: Arc<str>) -> Self {
        let (requests, receiver) = mpsc::unbounded_channel();
        let (sender, inputs) = mpsc::unbounded_channel();
        spawn(ConnectionId(7), address, login(), receiver, sender);
        Self { requests: Some(requests), inputs, next: 0 }
    }

    async fn input(&mut self) -> Input {
        let input = tokio::time::timeout(TIMEOUT, self.inputs.recv()).await;
        input.expect("an input comes").expect("the task reports to its end")
    }

    fn send(&mut self, command: EndpointCommand) -> CommandId {
        self.next += 1;
        let request = CommandRequest { id: CommandId(self.next), command };
        self.requests.as_ref().expect("still open").send(request).expect("the task lives");
        CommandId(self.next)
    }

    async fn outcome(&mut self, id: CommandId) -> Result<CommandOutput, CommandError> {
        match self.input().await {
            Input::Done(ConnectionId(7), done, result) if done == id => result,
            other => panic!("expected the outcome of {id:?}, got {other:?}"),
        }
    }

    async fn execute(&mut self, command: EndpointCommand) -> Result<CommandOutput, CommandError> {
        let id = self.send(command);
        self.outcome(id).await
    }

    async fn closed(&mut self) {
        assert!(matches!(self.input().await, Input::Closed(ConnectionId(7))));
    }
}

fn login() -> EndpointLogin {
    EndpointLogin {
        user: "cumincart".into(),
        password: None,
        database: "service".into(),
        connect_timeout: Duration::from_secs(2),
    }
}

fn settings() -> GroupSettings {
    let domains = ["sofia-a", "plovdiv-a", "varna-a"].map(DomainName::from);
    GroupSettings::new(ServiceName::from("pbx"), &domains)
}

async fn group() -> Group {
    group_of(settings()).await
}

async fn group_of(settings: GroupSettings) -> Group {
    let group = Group::spawn(settings).await.expect("loopback ports are free");
    let table = "CREATE TABLE call (id integer PRIMARY KEY, caller text NOT NULL, ended boolean, cost real)";
    group.load(table, Vec::new()).expect("the primary runs");
    until(|| group.databases().all(|database| database.state().position == group_position(&group))).await;
    group
}

fn group_position(group: &Group) -> cumincart_protocol::number::LogPosition {
    group.primary().expect("the group has a primary").state().position
}

fn member(group: &Group, number: usize) -> &Database {
    group.database(&EndpointName::from(format!("pbx-{number}"))).expect("it is in the settings")
}

async fn until(condition: impl Fn() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, wait).await.expect("the condition comes true");
}

fn statement(sql: &str, parameters: &[Value]) -> Statement {
    Statement { sql: sql.into(), parameters: parameters.to_vec() }
}

fn insert(id: i64) -> Statement {
    statement("INSERT INTO call (id, caller) VALUES ($1, $2)", &[Value::Int(id), text("+359")])
}

fn text(value: &str) -> Value {
    Value::Text(value.into())
}

fn claim(id: &str) -> Claim {
    Claim { organisation: Some("clinic".into()), request_id: RequestId(id.into()) }
}

fn count() -> Statement {
    statement("SELECT count(*) FROM call", &[])
}

fn refused_with(result: Result<CommandOutput, CommandError>, expected: &str) {
    match result {
        Err(CommandError::Statement { code, .. }) => assert_eq!(&*code, expected),
        other => panic!("expected a refusal with {expected}, got {other:?}"),
    }
}

#[tokio::test]
async fn write_commits_and_tells_its_position() {
    let group = group().await;
    let mut link = Link::open(member(&group, 1)).await;
    let before = member(&group, 1).state().position;
    let done = link.execute(EndpointCommand::Write(insert(1), None)).await.expect("the write commits");
    let state = done.state.expect("a write asks for the state");
    assert_eq!((done.rows.affected, state.role, state.timeline), (1, Role::Primary, Timeline(1)));
    assert_eq!(state.position, member(&group, 1).state().position);
    assert!(state.position > before);
}

#[tokio::test]
async fn values_of_every_kind_come_back_as_they_went() {
    let group = group().await;
    let mut link = Link::open(member(&group, 1)).await;
    let row = vec![Value::Int(-4), text("Цветан"), Value::Bool(true), Value::Float(1.5)];
    let write = statement("INSERT INTO call VALUES ($1, $2, $3, $4)", &row);
    link.execute(EndpointCommand::Write(write, None)).await.expect("the write commits");
    let nulls = [Value::Int(5), text(""), Value::Null, Value::Null];
    link.execute(EndpointCommand::Write(statement("INSERT INTO call VALUES ($1, $2, $3, $4)", &nulls), None))
        .await
        .expect("too");
    let read = statement("SELECT *, id + 1 AS next FROM call ORDER BY id", &[]);
    let done = link.execute(EndpointCommand::Read(read)).await.expect("the read runs");
    let names: Vec<&str> = done.rows.columns.iter().map(|name| &**name).collect();
    assert_eq!(names, ["id", "caller", "ended", "cost", "next"]);
    assert_eq!(done.rows.rows[0], [&row[..], &[Value::Int(-3)]].concat());
    assert_eq!(done.rows.rows[1], [&nulls[..], &[Value::Int(6)]].concat());
}

#[tokio::test]
async fn read_on_a_lagging_replica_tells_its_position() {
    let group = group().await;
    member(&group, 2).set_lag(Duration::from_secs(3600));
    let held = member(&group, 2).state().position;
    let mut primary = Link::open(member(&group, 1)).await;
    let written = primary.execute(EndpointCommand::Write(insert(1), None)).await.expect("the write commits");
    let mut replica = Link::open(member(&group, 2)).await;
    let done = replica.execute(EndpointCommand::Read(count())).await.expect("the read runs");
    let state = done.state.expect("a read asks for the state");
    assert_eq!((state.role, state.position), (Role::Replica, held));
    assert!(state.position < written.state.expect("so does a write").position);
    assert_eq!(done.rows.rows, [[Value::Int(0)]]);
}

#[tokio::test]
async fn replica_and_read_only_work_refuse_a_write() {
    let group = group().await;
    let mut replica = Link::open(member(&group, 2)).await;
    refused_with(replica.execute(EndpointCommand::Write(insert(1), None)).await, "25006");
    let mut primary = Link::open(member(&group, 1)).await;
    refused_with(primary.execute(EndpointCommand::Read(insert(1))).await, "25006");
    primary.execute(EndpointCommand::Begin { read_only: true }).await.expect("a transaction opens");
    refused_with(primary.execute(EndpointCommand::Within(insert(1))).await, "25006");
    primary.execute(EndpointCommand::Rollback).await.expect("it ends");
    let done = primary.execute(EndpointCommand::Read(count())).await.expect("the connection is clean");
    assert_eq!(done.rows.rows, [[Value::Int(0)]]);
}

#[tokio::test]
async fn second_claim_of_a_request_id_is_refused_and_runs_nothing() {
    let group = group().await;
    let mut link = Link::open(member(&group, 1)).await;
    link.execute(EndpointCommand::Write(insert(1), Some(claim("r1")))).await.expect("the first one commits");
    let again = link.execute(EndpointCommand::Write(insert(2), Some(claim("r1")))).await;
    assert_eq!(again, Err(CommandError::AlreadyClaimed));
    let other = Claim { organisation: Some("taxi".into()), ..claim("r1") };
    link.execute(EndpointCommand::Write(insert(3), Some(other)))
        .await
        .expect("another organisation's id is another");
    let ids = group.look(&EndpointName::from("pbx-1"), "SELECT id FROM call ORDER BY id").expect("it runs");
    assert_eq!(ids, [Value::Int(1), Value::Int(3)]);
}

#[tokio::test]
async fn refused_statement_takes_its_claim_back() {
    let group = group().await;
    let mut link = Link::open(member(&group, 1)).await;
    link.execute(EndpointCommand::Write(insert(1), None)).await.expect("the first one commits");
    refused_with(link.execute(EndpointCommand::Write(insert(1), Some(claim("r1")))).await, "23505");
    link.execute(EndpointCommand::Write(insert(2), Some(claim("r1")))).await.expect("the id is free");
}

#[tokio::test]
async fn transaction_is_seen_by_nobody_before_its_commit() {
    let group = group().await;
    let mut writer = Link::open(member(&group, 1)).await;
    let mut reader = Link::open(member(&group, 1)).await;
    writer.execute(EndpointCommand::Begin { read_only: false }).await.expect("it opens");
    writer.execute(EndpointCommand::Within(insert(1))).await.expect("it runs");
    let own = writer.execute(EndpointCommand::Within(count())).await.expect("it runs");
    assert_eq!(own.rows.rows, [[Value::Int(1)]]);
    let others = reader.execute(EndpointCommand::Read(count())).await.expect("it runs");
    assert_eq!(others.rows.rows, [[Value::Int(0)]]);
    let done = writer.execute(EndpointCommand::Commit(Some(claim("t1")))).await.expect("it commits");
    assert_eq!(done.state.expect("a commit asks for the state").position, member(&group, 1).state().position);
    let others = reader.execute(EndpointCommand::Read(count())).await.expect("it runs");
    assert_eq!(others.rows.rows, [[Value::Int(1)]]);
}

#[tokio::test]
async fn commit_of_a_transaction_whose_claim_is_taken_leaves_nothing() {
    let group = group().await;
    let mut link = Link::open(member(&group, 1)).await;
    link.execute(EndpointCommand::Write(insert(1), Some(claim("r1")))).await.expect("it commits");
    link.execute(EndpointCommand::Begin { read_only: false }).await.expect("it opens");
    link.execute(EndpointCommand::Within(insert(2))).await.expect("it runs");
    assert_eq!(
        link.execute(EndpointCommand::Commit(Some(claim("r1")))).await,
        Err(CommandError::AlreadyClaimed)
    );
    let done = link.execute(EndpointCommand::Read(count())).await.expect("the connection is clean");
    assert_eq!(done.rows.rows, [[Value::Int(1)]]);
}

#[test_case("INSERT INTO nowhere VALUES (1)", "42P01"; "a failed statement")]
#[test_case("/* a /* b */ */ -- c\n ;Commit", "0A000"; "a refused command")]
#[tokio::test]
async fn commit_of_a_failed_transaction_is_no_success(sql: &str, code: &str) {
    let group = group().await;
    let mut link = Link::open(member(&group, 1)).await;
    link.execute(EndpointCommand::Begin { read_only: false }).await.expect("it opens");
    link.execute(EndpointCommand::Within(insert(1))).await.expect("it runs");
    refused_with(link.execute(EndpointCommand::Within(statement(sql, &[]))).await, code);
    refused_with(link.execute(EndpointCommand::Commit(None)).await, "25P02");
    let done = link.execute(EndpointCommand::Read(count())).await.expect("the connection is clean");
    assert_eq!(done.rows.rows, [[Value::Int(0)]]);
    link.execute(EndpointCommand::Begin { read_only: false }).await.expect("the next one opens");
    link.execute(EndpointCommand::Within(insert(2))).await.expect("it runs");
    link.execute(EndpointCommand::Commit(None)).await.expect("it commits");
}

#[test_case("commit"; "commit")]
#[test_case("ROLLBACK"; "rollback")]
#[test_case("\tSET role other"; "set")]
#[test_case("--\nPREPARE x AS SELECT 1"; "prepare")]
#[test_case("copy call from stdin"; "copy")]
#[tokio::test]
async fn commands_beyond_the_transaction_never_reach_the_endpoint(sql: &str) {
    let group = group().await;
    let mut link = Link::open(member(&group, 1)).await;
    // The connection's own statements were prepared before, with texts of their own.
    let before = member(&group, 1).received().count(sql.as_bytes());
    refused_with(link.execute(EndpointCommand::Read(statement(sql, &[]))).await, "0A000");
    refused_with(link.execute(EndpointCommand::Write(statement(sql, &[]), None)).await, "0A000");
    assert_eq!(member(&group, 1).received().count(sql.as_bytes()), before);
    link.execute(EndpointCommand::Write(statement("update call set caller = 'x'", &[]), None))
        .await
        .expect("others run");
}

#[tokio::test]
async fn lost_connection_rolls_an_open_transaction_back() {
    let group = group().await;
    let mut link = Link::open(member(&group, 1)).await;
    link.execute(EndpointCommand::Begin { read_only: false }).await.expect("it opens");
    link.execute(EndpointCommand::Within(insert(1))).await.expect("it runs");
    member(&group, 1).drop_connections();
    link.closed().await;
    let mut other = Link::open(member(&group, 1)).await;
    other.execute(EndpointCommand::Write(insert(1), None)).await.expect("the row and the lock are free");
    until(|| member(&group, 1).ran().iter().filter(|ran| ran.end == End::Open).count() == 1).await;
}

#[test_case(EndpointCommand::Read(count()), CommandError::LostBeforeCommit; "read")]
#[test_case(EndpointCommand::Probe, CommandError::LostBeforeCommit; "probe")]
#[test_case(EndpointCommand::Begin { read_only: false }, CommandError::LostBeforeCommit; "begin")]
#[test_case(EndpointCommand::Write(insert(9), Some(claim("r9"))), CommandError::LostInCommit; "write")]
#[test_case(EndpointCommand::Commit(None), CommandError::LostInCommit; "commit")]
#[tokio::test]
async fn work_lost_on_a_frozen_endpoint(command: EndpointCommand, expected: CommandError) {
    let group = group().await;
    let mut link = Link::open(member(&group, 1)).await;
    let before = member(&group, 1).received().len();
    member(&group, 1).freeze();
    let id = link.send(command);
    until(|| member(&group, 1).received().len() > before).await;
    member(&group, 1).crash();
    assert_eq!(link.outcome(id).await, Err(expected));
    link.closed().await;
}

#[tokio::test]
async fn closing_the_channel_ends_a_work_on_a_frozen_endpoint() {
    let group = group().await;
    let mut link = Link::open(member(&group, 1)).await;
    let before = member(&group, 1).received().len();
    member(&group, 1).freeze();
    let first = link.send(EndpointCommand::Write(insert(1), None));
    let second = link.send(EndpointCommand::Probe);
    until(|| member(&group, 1).received().len() > before).await;
    link.requests = None;
    assert_eq!(link.outcome(first).await, Err(CommandError::LostInCommit));
    assert_eq!(link.outcome(second).await, Err(CommandError::NotSent));
    link.closed().await;
}

/// The message that ends each statement of a client; a client that waited for an answer would not have sent the next.
const SYNC: &[u8] = b"S\0\0\0\x04";

#[test_case(EndpointCommand::Read(count()), 4; "read")]
#[test_case(EndpointCommand::Write(insert(1), Some(claim("r1"))), 5; "write with a claim")]
#[tokio::test]
async fn whole_work_is_sent_before_any_answer(command: EndpointCommand, statements: usize) {
    let group = group().await;
    let mut link = Link::open(member(&group, 1)).await;
    member(&group, 1).freeze();
    let before = member(&group, 1).received().count(SYNC);
    let id = link.send(command);
    until(|| member(&group, 1).received().count(SYNC) == before + statements).await;
    member(&group, 1).thaw();
    // The first claim of a database makes the claims' table and sends the work once more.
    link.outcome(id).await.expect("the work ends");
}

#[tokio::test]
async fn thawed_endpoint_answers_what_it_was_asked() {
    let group = group().await;
    let mut link = Link::open(member(&group, 1)).await;
    let before = member(&group, 1).received().len();
    member(&group, 1).freeze();
    let id = link.send(EndpointCommand::Write(insert(1), None));
    until(|| member(&group, 1).received().len() > before).await;
    assert!(member(&group, 1).ran().iter().all(|ran| ran.statement != insert(1)));
    member(&group, 1).thaw();
    link.outcome(id).await.expect("the write commits");
}

#[tokio::test]
async fn closing_the_channel_closes_the_connection() {
    let group = group().await;
    let mut link = Link::open(member(&group, 1)).await;
    assert_eq!(member(&group, 1).connections(), 1);
    link.requests = None;
    link.closed().await;
    until(|| member(&group, 1).connections() == 0).await;
}

#[tokio::test]
async fn unreachable_or_full_endpoint_closes_at_once() {
    let group = group_of(GroupSettings { connection_limit: 1, ..settings() }).await;
    let _held = Link::open(member(&group, 1)).await;
    Link::attempt(member(&group, 1).address()).closed().await;
    member(&group, 2).cut();
    Link::attempt(member(&group, 2).address()).closed().await;
    member(&group, 2).mend();
    Link::open(member(&group, 2)).await;
}

#[tokio::test]
async fn promotion_opens_a_timeline_where_the_replica_stood() {
    let group = group().await;
    let mut old = Link::open(member(&group, 1)).await;
    member(&group, 2).set_lag(Duration::from_secs(3600));
    let held = member(&group, 2).state().position;
    old.execute(EndpointCommand::Write(insert(1), None)).await.expect("it commits at the old primary");
    member(&group, 1).crash();
    let promoted = promote(&member(&group, 2).address(), &login()).await.expect("it is promoted");
    assert_eq!((promoted.timeline, promoted.start), (Timeline(2), held));
    let again = promote(&member(&group, 2).address(), &login()).await.expect("it is primary already");
    assert_eq!(again, promoted);
    let mut new = Link::open(member(&group, 2)).await;
    let done = new.execute(EndpointCommand::Write(insert(2), None)).await.expect("it takes writes");
    let state = done.state.expect("a write asks for the state");
    assert_eq!((state.role, state.timeline), (Role::Primary, Timeline(2)));
    assert!(state.position > held);
}

#[tokio::test]
async fn former_primary_rejoins_without_what_diverged() {
    let group = group().await;
    for number in [2, 3] {
        member(&group, number).set_lag(Duration::from_secs(3600));
    }
    let mut old = Link::open(member(&group, 1)).await;
    old.execute(EndpointCommand::Write(insert(1), None)).await.expect("it commits at the old primary alone");
    promote(&member(&group, 2).address(), &login()).await.expect("it is promoted");
    let mut new = Link::open(member(&group, 2)).await;
    new.execute(EndpointCommand::Write(insert(2), None)).await.expect("it commits on the new timeline");
    assert_eq!(member(&group, 1).state().role, Role::Primary);
    group.rejoin(&EndpointName::from("pbx-1"), &EndpointName::from("pbx-2")).expect("both exist");
    for number in [1, 3] {
        member(&group, number).set_lag(Duration::ZERO);
    }
    until(|| {
        [1, 3]
            .iter()
            .all(|number| member(&group, *number).state().position == member(&group, 2).state().position)
    })
    .await;
    for number in [1, 3] {
        let state = member(&group, number).state();
        assert_eq!((state.role, state.timeline), (Role::Replica, Timeline(2)));
        let endpoint = member(&group, number).endpoint().clone();
        assert_eq!(group.look(&endpoint, "SELECT id FROM call").expect("it runs"), [Value::Int(2)]);
    }
}

#[tokio::test]
async fn promotion_of_an_unreachable_endpoint_is_told_as_such() {
    let group = group().await;
    member(&group, 2).cut();
    assert_eq!(promote(&member(&group, 2).address(), &login()).await, Err(PromotionError::NotReached));
    assert_eq!(member(&group, 2).state().role, Role::Replica);
}

#[tokio::test]
async fn works_on_many_connections_at_once_lose_nothing() {
    let group = group().await;
    let mut tasks = Vec::new();
    for number in 0..8_i64 {
        let mut link = Link::open(member(&group, 1)).await;
        tasks.push(tokio::spawn(async move {
            for turn in 0..25 {
                let id = number * 1000 + turn;
                link.execute(EndpointCommand::Write(insert(id), Some(claim(&id.to_string()))))
                    .await
                    .expect("it commits");
            }
        }));
    }
    for task in tasks {
        task.await.expect("no task failed");
    }
    let rows = group.look(&EndpointName::from("pbx-1"), "SELECT count(*) FROM call").expect("it runs");
    assert_eq!(rows, [Value::Int(200)]);
}
