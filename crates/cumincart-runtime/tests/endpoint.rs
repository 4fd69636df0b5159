//! The endpoint adapter against a stand-in database group over loopback.

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
    cumincart_standin::{
        database::Database, group::Group, recording::TransactionStatus, settings::GroupSettings,
    },
    std::{sync::Arc, time::Duration},
    test_case::test_case,
    tokio::sync::mpsc,
};

/// The timeout of every wait; much longer than any of them takes.
const TIMEOUT: Duration = Duration::from_secs(20);

struct TestConnection {
    requests: Option<mpsc::UnboundedSender<CommandRequest>>,
    inputs: mpsc::UnboundedReceiver<Input>,
    next: u64,
}

impl TestConnection {
    async fn open(database: &Database) -> Self {
        let mut connection = Self::start(database.address());
        assert!(matches!(connection.input().await, Input::Opened(ConnectionId(7))));
        connection
    }

    fn start(address: Arc<str>) -> Self {
        let (requests, receiver) = mpsc::unbounded_channel();
        let (sender, inputs) = mpsc::unbounded_channel();
        spawn(ConnectionId(7), address, login(), receiver, sender);
        Self { requests: Some(requests), inputs, next: 0 }
    }

    async fn input(&mut self) -> Input {
        let input = tokio::time::timeout(TIMEOUT, self.inputs.recv()).await;
        input.expect("an input arrives in time").expect("the task reports until it ends")
    }

    fn send(&mut self, command: EndpointCommand) -> CommandId {
        self.next += 1;
        let request = CommandRequest { id: CommandId(self.next), command };
        self.requests.as_ref().expect("the channel is open").send(request).expect("the task runs");
        CommandId(self.next)
    }

    async fn result_of(&mut self, id: CommandId) -> Result<CommandOutput, CommandError> {
        match self.input().await {
            Input::CommandEnded(ConnectionId(7), done, result) if done == id => result,
            other => panic!("expected the result of {id:?}, got {other:?}"),
        }
    }

    async fn execute(&mut self, command: EndpointCommand) -> Result<CommandOutput, CommandError> {
        let id = self.send(command);
        self.result_of(id).await
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
    group.execute_on_primary(table, Vec::new()).expect("the primary runs");
    wait_until(|| group.databases().all(|database| database.state().position == group_position(&group)))
        .await;
    group
}

fn group_position(group: &Group) -> cumincart_protocol::number::LogPosition {
    group.primary().expect("the group has a primary").state().position
}

fn member(group: &Group, number: usize) -> &Database {
    group.database(&EndpointName::from(format!("pbx-{number}"))).expect("the endpoint is in the settings")
}

async fn wait_until(condition: impl Fn() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, wait).await.expect("the condition becomes true");
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

fn count_rows() -> Statement {
    statement("SELECT count(*) FROM call", &[])
}

fn assert_refused(result: Result<CommandOutput, CommandError>, expected: &str) {
    match result {
        Err(CommandError::Statement { code, .. }) => assert_eq!(&*code, expected),
        other => panic!("expected a refusal with {expected}, got {other:?}"),
    }
}

#[tokio::test]
async fn write_commits_and_returns_its_log_position() {
    let group = group().await;
    let mut connection = TestConnection::open(member(&group, 1)).await;
    let before = member(&group, 1).state().position;
    let done = connection.execute(EndpointCommand::Write(insert(1), None)).await.expect("the write commits");
    let state = done.state.expect("a write returns the state");
    assert_eq!((done.rows.affected, state.role, state.timeline), (1, Role::Primary, Timeline(1)));
    assert_eq!(state.position, member(&group, 1).state().position);
    assert!(state.position > before);
}

#[tokio::test]
async fn values_of_every_type_are_read_as_written() {
    let group = group().await;
    let mut connection = TestConnection::open(member(&group, 1)).await;
    let row = vec![Value::Int(-4), text("Цветан"), Value::Bool(true), Value::Float(1.5)];
    let write = statement("INSERT INTO call VALUES ($1, $2, $3, $4)", &row);
    connection.execute(EndpointCommand::Write(write, None)).await.expect("the write commits");
    let nulls = [Value::Int(5), text(""), Value::Null, Value::Null];
    connection
        .execute(EndpointCommand::Write(statement("INSERT INTO call VALUES ($1, $2, $3, $4)", &nulls), None))
        .await
        .expect("the second write commits");
    let read = statement("SELECT *, id + 1 AS next FROM call ORDER BY id", &[]);
    let done = connection.execute(EndpointCommand::Read(read)).await.expect("the read runs");
    let names: Vec<&str> = done.rows.columns.iter().map(|name| &**name).collect();
    assert_eq!(names, ["id", "caller", "ended", "cost", "next"]);
    assert_eq!(done.rows.rows[0], [&row[..], &[Value::Int(-3)]].concat());
    assert_eq!(done.rows.rows[1], [&nulls[..], &[Value::Int(6)]].concat());
}

#[tokio::test]
async fn read_on_a_lagging_replica_returns_its_log_position() {
    let group = group().await;
    member(&group, 2).set_lag(Duration::from_secs(3600));
    let position_before = member(&group, 2).state().position;
    let mut primary = TestConnection::open(member(&group, 1)).await;
    let written = primary.execute(EndpointCommand::Write(insert(1), None)).await.expect("the write commits");
    let mut replica = TestConnection::open(member(&group, 2)).await;
    let done = replica.execute(EndpointCommand::Read(count_rows())).await.expect("the read runs");
    let state = done.state.expect("a read returns the state");
    assert_eq!((state.role, state.position), (Role::Replica, position_before));
    assert!(state.position < written.state.expect("a write returns the state").position);
    assert_eq!(done.rows.rows, [[Value::Int(0)]]);
}

#[tokio::test]
async fn replicas_and_read_only_commands_refuse_writes() {
    let group = group().await;
    let mut replica = TestConnection::open(member(&group, 2)).await;
    assert_refused(replica.execute(EndpointCommand::Write(insert(1), None)).await, "25006");
    let mut primary = TestConnection::open(member(&group, 1)).await;
    assert_refused(primary.execute(EndpointCommand::Read(insert(1))).await, "25006");
    primary.execute(EndpointCommand::Begin { read_only: true }).await.expect("the transaction opens");
    assert_refused(primary.execute(EndpointCommand::Statement(insert(1))).await, "25006");
    primary.execute(EndpointCommand::Rollback).await.expect("the transaction ends");
    let done = primary.execute(EndpointCommand::Read(count_rows())).await.expect("the connection is clean");
    assert_eq!(done.rows.rows, [[Value::Int(0)]]);
}

#[tokio::test]
async fn second_claim_of_a_request_id_is_refused_and_runs_nothing() {
    let group = group().await;
    let mut connection = TestConnection::open(member(&group, 1)).await;
    connection
        .execute(EndpointCommand::Write(insert(1), Some(claim("r1"))))
        .await
        .expect("the first write commits");
    let again = connection.execute(EndpointCommand::Write(insert(2), Some(claim("r1")))).await;
    assert_eq!(again, Err(CommandError::AlreadyClaimed));
    let other = Claim { organisation: Some("taxi".into()), ..claim("r1") };
    connection
        .execute(EndpointCommand::Write(insert(3), Some(other)))
        .await
        .expect("request ids of different organisations don't conflict");
    let ids = group
        .query_first_column(&EndpointName::from("pbx-1"), "SELECT id FROM call ORDER BY id")
        .expect("the statement runs");
    assert_eq!(ids, [Value::Int(1), Value::Int(3)]);
}

#[tokio::test]
async fn refused_statement_rolls_its_claim_back() {
    let group = group().await;
    let mut connection = TestConnection::open(member(&group, 1)).await;
    connection.execute(EndpointCommand::Write(insert(1), None)).await.expect("the first write commits");
    assert_refused(connection.execute(EndpointCommand::Write(insert(1), Some(claim("r1")))).await, "23505");
    connection
        .execute(EndpointCommand::Write(insert(2), Some(claim("r1"))))
        .await
        .expect("the request id was not claimed");
}

#[tokio::test]
async fn transaction_is_invisible_to_others_before_its_commit() {
    let group = group().await;
    let mut writer = TestConnection::open(member(&group, 1)).await;
    let mut reader = TestConnection::open(member(&group, 1)).await;
    writer.execute(EndpointCommand::Begin { read_only: false }).await.expect("the transaction opens");
    writer.execute(EndpointCommand::Statement(insert(1))).await.expect("the statement runs");
    let own = writer.execute(EndpointCommand::Statement(count_rows())).await.expect("the statement runs");
    assert_eq!(own.rows.rows, [[Value::Int(1)]]);
    let others = reader.execute(EndpointCommand::Read(count_rows())).await.expect("the statement runs");
    assert_eq!(others.rows.rows, [[Value::Int(0)]]);
    let done =
        writer.execute(EndpointCommand::Commit(Some(claim("t1")))).await.expect("the transaction commits");
    assert_eq!(done.state.expect("a commit returns the state").position, member(&group, 1).state().position);
    let others = reader.execute(EndpointCommand::Read(count_rows())).await.expect("the statement runs");
    assert_eq!(others.rows.rows, [[Value::Int(1)]]);
}

#[tokio::test]
async fn commit_with_an_existing_claim_rolls_the_transaction_back() {
    let group = group().await;
    let mut connection = TestConnection::open(member(&group, 1)).await;
    connection
        .execute(EndpointCommand::Write(insert(1), Some(claim("r1"))))
        .await
        .expect("the transaction commits");
    connection.execute(EndpointCommand::Begin { read_only: false }).await.expect("the transaction opens");
    connection.execute(EndpointCommand::Statement(insert(2))).await.expect("the statement runs");
    assert_eq!(
        connection.execute(EndpointCommand::Commit(Some(claim("r1")))).await,
        Err(CommandError::AlreadyClaimed)
    );
    let done =
        connection.execute(EndpointCommand::Read(count_rows())).await.expect("the connection is clean");
    assert_eq!(done.rows.rows, [[Value::Int(1)]]);
}

#[test_case("INSERT INTO nowhere VALUES (1)", "42P01"; "a failed statement")]
#[test_case("/* a /* b */ */ -- c\n ;Commit", "0A000"; "a refused command")]
#[tokio::test]
async fn commit_of_a_failed_transaction_is_refused(sql: &str, code: &str) {
    let group = group().await;
    let mut connection = TestConnection::open(member(&group, 1)).await;
    connection.execute(EndpointCommand::Begin { read_only: false }).await.expect("the transaction opens");
    connection.execute(EndpointCommand::Statement(insert(1))).await.expect("the statement runs");
    assert_refused(connection.execute(EndpointCommand::Statement(statement(sql, &[]))).await, code);
    assert_refused(connection.execute(EndpointCommand::Commit(None)).await, "25P02");
    let done =
        connection.execute(EndpointCommand::Read(count_rows())).await.expect("the connection is clean");
    assert_eq!(done.rows.rows, [[Value::Int(0)]]);
    connection
        .execute(EndpointCommand::Begin { read_only: false })
        .await
        .expect("the next transaction opens");
    connection.execute(EndpointCommand::Statement(insert(2))).await.expect("the statement runs");
    connection.execute(EndpointCommand::Commit(None)).await.expect("the transaction commits");
}

// Guards against commands that are hidden behind a comment which ends sooner than the filter assumes.
#[test_case("--\rCOMMIT"; "behind a comment that a carriage return ends")]
#[test_case("-- a\r\n--b\rset role x"; "behind two comments")]
#[test_case("commit"; "commit")]
#[test_case("ROLLBACK"; "rollback")]
#[test_case("\tSET role other"; "set")]
#[test_case("--\nPREPARE x AS SELECT 1"; "prepare")]
#[test_case("copy call from stdin"; "copy")]
#[tokio::test]
async fn refused_commands_never_reach_the_endpoint(sql: &str) {
    let group = group().await;
    let mut connection = TestConnection::open(member(&group, 1)).await;
    // The prepared statements of the connection contain some of these words already.
    let before = member(&group, 1).received().count(sql.as_bytes());
    assert_refused(connection.execute(EndpointCommand::Read(statement(sql, &[]))).await, "0A000");
    assert_refused(connection.execute(EndpointCommand::Write(statement(sql, &[]), None)).await, "0A000");
    assert_eq!(member(&group, 1).received().count(sql.as_bytes()), before);
    connection
        .execute(EndpointCommand::Write(statement("update call set caller = 'x'", &[]), None))
        .await
        .expect("other statements run");
}

#[tokio::test]
async fn lost_connection_rolls_an_open_transaction_back() {
    let group = group().await;
    let mut connection = TestConnection::open(member(&group, 1)).await;
    connection.execute(EndpointCommand::Begin { read_only: false }).await.expect("the transaction opens");
    connection.execute(EndpointCommand::Statement(insert(1))).await.expect("the statement runs");
    member(&group, 1).drop_connections();
    connection.closed().await;
    let mut other = TestConnection::open(member(&group, 1)).await;
    other.execute(EndpointCommand::Write(insert(1), None)).await.expect("neither the row nor a lock remains");
    wait_until(|| {
        member(&group, 1)
            .executed_statements()
            .iter()
            .filter(|ran| ran.transaction_status == TransactionStatus::Open)
            .count()
            == 1
    })
    .await;
}

#[test_case(EndpointCommand::Read(count_rows()), CommandError::LostBeforeCommit; "read")]
#[test_case(EndpointCommand::Probe, CommandError::LostBeforeCommit; "probe")]
#[test_case(EndpointCommand::Begin { read_only: false }, CommandError::LostBeforeCommit; "begin")]
#[test_case(EndpointCommand::Write(insert(9), Some(claim("r9"))), CommandError::LostInCommit; "write")]
#[test_case(EndpointCommand::Commit(None), CommandError::LostInCommit; "commit")]
#[tokio::test]
async fn error_of_a_command_lost_on_a_frozen_endpoint(command: EndpointCommand, expected: CommandError) {
    let group = group().await;
    let mut connection = TestConnection::open(member(&group, 1)).await;
    let before = member(&group, 1).received().len();
    member(&group, 1).freeze();
    let id = connection.send(command);
    wait_until(|| member(&group, 1).received().len() > before).await;
    member(&group, 1).crash();
    assert_eq!(connection.result_of(id).await, Err(expected));
    connection.closed().await;
}

#[tokio::test]
async fn closing_the_channel_ends_a_command_on_a_frozen_endpoint() {
    let group = group().await;
    let mut connection = TestConnection::open(member(&group, 1)).await;
    let before = member(&group, 1).received().len();
    member(&group, 1).freeze();
    let first = connection.send(EndpointCommand::Write(insert(1), None));
    let second = connection.send(EndpointCommand::Probe);
    wait_until(|| member(&group, 1).received().len() > before).await;
    connection.requests = None;
    assert_eq!(connection.result_of(first).await, Err(CommandError::LostInCommit));
    assert_eq!(connection.result_of(second).await, Err(CommandError::NotSent));
    connection.closed().await;
}

/// The Sync message that ends each statement. A client that waits for an answer has not sent the next one yet.
const SYNC: &[u8] = b"S\0\0\0\x04";

#[test_case(EndpointCommand::Read(count_rows()), 4; "read")]
#[test_case(EndpointCommand::Write(insert(1), Some(claim("r1"))), 5; "write with a claim")]
#[tokio::test]
async fn all_statements_of_a_command_are_sent_before_the_first_answer(
    command: EndpointCommand,
    statements: usize,
) {
    let group = group().await;
    let mut connection = TestConnection::open(member(&group, 1)).await;
    member(&group, 1).freeze();
    let before = member(&group, 1).received().count(SYNC);
    let id = connection.send(command);
    wait_until(|| member(&group, 1).received().count(SYNC) == before + statements).await;
    member(&group, 1).thaw();
    // The first claim in a database creates the claim table and executes the command again.
    connection.result_of(id).await.expect("the command completes");
}

#[tokio::test]
async fn thawed_endpoint_completes_a_pending_write() {
    let group = group().await;
    let mut connection = TestConnection::open(member(&group, 1)).await;
    let before = member(&group, 1).received().len();
    member(&group, 1).freeze();
    let id = connection.send(EndpointCommand::Write(insert(1), None));
    wait_until(|| member(&group, 1).received().len() > before).await;
    assert!(member(&group, 1).executed_statements().iter().all(|ran| ran.statement != insert(1)));
    member(&group, 1).thaw();
    connection.result_of(id).await.expect("the write commits");
}

#[tokio::test]
async fn closing_the_channel_closes_the_connection() {
    let group = group().await;
    let mut connection = TestConnection::open(member(&group, 1)).await;
    assert_eq!(member(&group, 1).connections(), 1);
    connection.requests = None;
    connection.closed().await;
    wait_until(|| member(&group, 1).connections() == 0).await;
}

#[tokio::test]
async fn connection_to_an_unreachable_or_full_endpoint_is_closed() {
    let group = group_of(GroupSettings { connection_limit: 1, ..settings() }).await;
    let _only_connection = TestConnection::open(member(&group, 1)).await;
    TestConnection::start(member(&group, 1).address()).closed().await;
    member(&group, 2).refuse_clients();
    TestConnection::start(member(&group, 2).address()).closed().await;
    member(&group, 2).accept_clients();
    TestConnection::open(member(&group, 2)).await;
}

#[tokio::test]
async fn promotion_starts_a_timeline_at_the_position_of_the_replica() {
    let group = group().await;
    let mut old = TestConnection::open(member(&group, 1)).await;
    member(&group, 2).set_lag(Duration::from_secs(3600));
    let position_before = member(&group, 2).state().position;
    old.execute(EndpointCommand::Write(insert(1), None)).await.expect("the write commits on the old primary");
    member(&group, 1).crash();
    let promoted = promote(&member(&group, 2).address(), &login()).await.expect("the replica is promoted");
    assert_eq!((promoted.timeline, promoted.start), (Timeline(2), position_before));
    let again =
        promote(&member(&group, 2).address(), &login()).await.expect("the endpoint is a primary already");
    assert_eq!(again, promoted);
    let mut new = TestConnection::open(member(&group, 2)).await;
    let done =
        new.execute(EndpointCommand::Write(insert(2), None)).await.expect("the new primary accepts writes");
    let state = done.state.expect("a write returns the state");
    assert_eq!((state.role, state.timeline), (Role::Primary, Timeline(2)));
    assert!(state.position > position_before);
}

#[tokio::test]
async fn former_primary_rejoins_without_its_diverged_writes() {
    let group = group().await;
    for number in [2, 3] {
        member(&group, number).set_lag(Duration::from_secs(3600));
    }
    let mut old = TestConnection::open(member(&group, 1)).await;
    old.execute(EndpointCommand::Write(insert(1), None))
        .await
        .expect("the write commits on the old primary only");
    promote(&member(&group, 2).address(), &login()).await.expect("the replica is promoted");
    let mut new = TestConnection::open(member(&group, 2)).await;
    new.execute(EndpointCommand::Write(insert(2), None))
        .await
        .expect("the write commits on the new timeline");
    assert_eq!(member(&group, 1).state().role, Role::Primary);
    group.rejoin(&EndpointName::from("pbx-1"), &EndpointName::from("pbx-2")).expect("both endpoints exist");
    for number in [1, 3] {
        member(&group, number).set_lag(Duration::ZERO);
    }
    wait_until(|| {
        [1, 3]
            .iter()
            .all(|number| member(&group, *number).state().position == member(&group, 2).state().position)
    })
    .await;
    for number in [1, 3] {
        let state = member(&group, number).state();
        assert_eq!((state.role, state.timeline), (Role::Replica, Timeline(2)));
        let endpoint = member(&group, number).endpoint().clone();
        assert_eq!(
            group.query_first_column(&endpoint, "SELECT id FROM call").expect("the statement runs"),
            [Value::Int(2)]
        );
    }
}

#[tokio::test]
async fn promotion_of_an_unreachable_endpoint_fails_with_not_reached() {
    let group = group().await;
    member(&group, 2).refuse_clients();
    assert_eq!(promote(&member(&group, 2).address(), &login()).await, Err(PromotionError::NotReached));
    assert_eq!(member(&group, 2).state().role, Role::Replica);
}

#[tokio::test]
async fn concurrent_writes_on_many_connections_lose_nothing() {
    let group = group().await;
    let mut tasks = Vec::new();
    for number in 0..8_i64 {
        let mut connection = TestConnection::open(member(&group, 1)).await;
        tasks.push(tokio::spawn(async move {
            for turn in 0..25 {
                let id = number * 1000 + turn;
                connection
                    .execute(EndpointCommand::Write(insert(id), Some(claim(&id.to_string()))))
                    .await
                    .expect("the transaction commits");
            }
        }));
    }
    for task in tasks {
        task.await.expect("no task failed");
    }
    let rows = group
        .query_first_column(&EndpointName::from("pbx-1"), "SELECT count(*) FROM call")
        .expect("the statement runs");
    assert_eq!(rows, [Value::Int(200)]);
}
