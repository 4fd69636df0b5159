//! The PostgreSQL protocol handlers of one client connection.

use {
    crate::{
        database::{CountedConnection, Database},
        engine::ColumnDescription,
        error::SqlError,
        error::TOO_MANY_CONNECTIONS,
        session::{Reply, Session},
        wire,
    },
    async_trait::async_trait,
    cumincart_protocol::request::Statement,
    futures_util::Sink,
    pgwire::{
        api::{
            ClientInfo, ClientPortalStore, DEFAULT_NAME,
            auth::noop::NoopStartupHandler,
            portal::{Format, Portal},
            query::{ExtendedQueryHandler, SimpleQueryHandler},
            results::{DescribePortalResponse, DescribeStatementResponse, Response, Tag},
            stmt::{NoopQueryParser, StoredStatement},
            store::{Entry, PortalStore},
        },
        error::{PgWireError, PgWireResult},
        messages::{PgWireBackendMessage, PgWireFrontendMessage},
    },
    std::{fmt::Debug, sync::Arc},
    tokio::sync::Mutex,
};

const SEVERITY_ERROR: &str = "ERROR";
const SEVERITY_FATAL: &str = "FATAL";

/// The protocol handlers of one connection, with its session.
#[derive(Debug)]
pub struct Handlers {
    database: Database,
    state: Mutex<State>,
    parser: Arc<NoopQueryParser>,
}

#[derive(Debug)]
struct State {
    session: Session,
    /// The statement that was described last.
    described: Option<Described>,
    counted: Option<CountedConnection>,
}

/// A statement's text and the columns that were described to the client.
#[derive(Debug)]
struct Described {
    sql: Arc<str>,
    columns: Vec<ColumnDescription>,
}

impl Handlers {
    /// Creates the handlers of a new connection.
    pub fn new(database: Database) -> Self {
        let state = State { session: Session::new(database.clone()), described: None, counted: None };
        Self { database, state: Mutex::new(state), parser: Arc::new(NoopQueryParser::new()) }
    }

    async fn execute(&self, statement: &Statement, format: &Format) -> PgWireResult<Response> {
        let mut state = self.state.lock().await;
        let described = state.described.take().filter(|described| described.sql == statement.sql);
        let described = described.map(|described| described.columns);
        let reply = state.session.execute(statement).await.map_err(|error| error.to_wire(SEVERITY_ERROR))?;
        match reply {
            Reply::Output(output) => wire::response(&statement.sql, output, described, format),
            Reply::Begun => Ok(Response::TransactionStart(Tag::new("BEGIN"))),
            Reply::Ended(tag) => Ok(Response::TransactionEnd(Tag::new(tag))),
            Reply::Set => Ok(Response::Execution(Tag::new("SET"))),
        }
    }

    async fn describe(&self, statement: &Statement) -> Vec<ColumnDescription> {
        let mut state = self.state.lock().await;
        let columns = state.session.describe(statement).await;
        state.described = Some(Described { sql: statement.sql.clone(), columns: columns.clone() });
        columns
    }
}

#[async_trait]
impl NoopStartupHandler for Handlers {
    async fn post_startup<C>(&self, _client: &mut C, _message: PgWireFrontendMessage) -> PgWireResult<()>
    where
        C: ClientInfo + Sink<PgWireBackendMessage> + Unpin + Send,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        let Some(counted) = self.database.count_connection() else {
            let error = SqlError::new(TOO_MANY_CONNECTIONS, "sorry, too many clients already");
            return Err(error.to_wire(SEVERITY_FATAL));
        };
        self.state.lock().await.counted = Some(counted);
        tokio::time::sleep(self.database.group().connect_time).await;
        self.database.wait_until_running().await;
        Ok(())
    }
}

#[async_trait]
impl SimpleQueryHandler for Handlers {
    async fn do_query<C>(&self, _client: &mut C, query: &str) -> PgWireResult<Vec<Response>>
    where
        C: ClientInfo + Unpin + Send + Sync,
    {
        let statement = Statement { sql: query.into(), parameters: Vec::new() };
        Ok(vec![self.execute(&statement, &Format::UnifiedText).await?])
    }
}

#[async_trait]
impl ExtendedQueryHandler for Handlers {
    type Statement = String;
    type QueryParser = NoopQueryParser;

    fn query_parser(&self) -> Arc<Self::QueryParser> {
        Arc::clone(&self.parser)
    }

    async fn do_query<C>(
        &self,
        _client: &mut C,
        portal: &Portal<Self::Statement>,
        _max_rows: usize,
    ) -> PgWireResult<Response>
    where
        C: ClientInfo + ClientPortalStore + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::PortalStore: PortalStore<Statement = Self::Statement>,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        self.execute(&wire::statement(portal)?, &portal.result_column_format).await
    }

    async fn do_describe_statement<C>(
        &self,
        client: &mut C,
        stored: &StoredStatement<Self::Statement>,
    ) -> PgWireResult<DescribeStatementResponse>
    where
        C: ClientInfo + ClientPortalStore + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::PortalStore: PortalStore<Statement = Self::Statement>,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        // If the client bound parameters before this message, the types of computed columns are taken from a run with
        // these parameters.
        let statement = match client.portal_store().get_portal(DEFAULT_NAME) {
            Some(Entry::Value(portal)) if portal.statement.id == stored.id => wire::statement(&portal)?,
            _ => Statement { sql: stored.statement.as_str().into(), parameters: Vec::new() },
        };
        let columns = self.describe(&statement).await;
        let types =
            stored.parameter_types.iter().map(|kind| kind.clone().unwrap_or(pgwire::api::Type::UNKNOWN));
        let fields = wire::fields(&columns, &Format::UnifiedBinary);
        Ok(DescribeStatementResponse::new(types.collect(), fields))
    }

    async fn do_describe_portal<C>(
        &self,
        _client: &mut C,
        portal: &Portal<Self::Statement>,
    ) -> PgWireResult<DescribePortalResponse>
    where
        C: ClientInfo + ClientPortalStore + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::PortalStore: PortalStore<Statement = Self::Statement>,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        let columns = self.describe(&wire::statement(portal)?).await;
        Ok(DescribePortalResponse::new(wire::fields(&columns, &portal.result_column_format)))
    }
}
