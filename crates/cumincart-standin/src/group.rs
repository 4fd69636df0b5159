//! The handle of a running group, including the replication changes that the platform makes in a real deployment.

use {
    crate::{
        announcer,
        database::Database,
        error::SqlError,
        replication::{self, Upstream},
        server,
        settings::GroupSettings,
    },
    cumincart_protocol::{
        announcement::Role,
        name::EndpointName,
        request::{Statement, Value},
    },
    std::{
        io,
        sync::{Arc, Mutex},
    },
    tokio::{net::TcpListener, sync::watch},
};

/// The error of starting a group or of an operation on it.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum GroupError {
    /// A database's port could not be opened.
    #[error("a database's port can't be opened: {0}")]
    #[diagnostic(code(cumincart::standin::port), help("choose another port, or 0 for any free one"))]
    Port(#[from] io::Error),
    /// The data could not be opened, or a statement failed.
    #[error("the stand-in's database refused ({code}): {message}")]
    #[diagnostic(code(cumincart::standin::sql), help("correct the statement; it runs in SQLite's dialect"))]
    Sql {
        /// The SQLSTATE.
        code: &'static str,
        /// The error message of the database.
        message: String,
    },
    /// The group has no database of this name.
    #[error("the group has no database {0}")]
    #[diagnostic(code(cumincart::standin::unknown), help("use a name from the group's settings"))]
    Unknown(EndpointName),
    /// No running database is a primary.
    #[error("the group has no running primary")]
    #[diagnostic(code(cumincart::standin::no_primary), help("promote a replica first"))]
    NoPrimary,
}

impl From<SqlError> for GroupError {
    fn from(error: SqlError) -> Self {
        Self::Sql { code: error.code, message: error.message }
    }
}

/// A running group. Dropping it stops its databases.
#[derive(Debug)]
pub struct Group {
    members: Vec<Member>,
    closing: watch::Sender<()>,
    announce_to: watch::Sender<Vec<Arc<str>>>,
}

#[derive(Debug)]
struct Member {
    database: Database,
    upstream: Upstream,
}

impl Group {
    /// Starts the databases; the first one is the primary and the others replicate from it.
    pub async fn spawn(settings: GroupSettings) -> Result<Self, GroupError> {
        let closing = watch::Sender::new(());
        let mut members: Vec<Member> = Vec::new();
        for database_settings in &settings.databases {
            let listener = TcpListener::bind(("127.0.0.1", database_settings.port)).await?;
            let primary = members.first().map(|member| member.database.clone());
            let role = if primary.is_none() { Role::Primary } else { Role::Replica };
            let database =
                Database::new(database_settings.clone(), settings.clone(), listener.local_addr()?, role)?;
            tokio::spawn(server::accept(listener, database.clone(), closing.subscribe()));
            members.push(Member { database, upstream: Arc::new(Mutex::new(primary)) });
        }
        let databases: Arc<[Database]> = members.iter().map(|member| member.database.clone()).collect();
        for Member { database, upstream } in &members {
            let databases = Arc::clone(&databases);
            tokio::spawn(replication::follow(
                database.clone(),
                Arc::clone(upstream),
                databases,
                closing.subscribe(),
            ));
        }
        let group = Self { members, closing, announce_to: watch::Sender::new(Vec::new()) };
        group.announce_to(&settings.announce_to);
        Ok(group)
    }

    /// Sends the announcements to these control instances from now on, instead of to the previous ones.
    pub fn announce_to(&self, controls: &[Arc<str>]) {
        self.announce_to.send_replace(controls.to_vec());
        for member in &self.members {
            for control in controls {
                tokio::spawn(announcer::announce(
                    member.database.clone(),
                    Arc::clone(control),
                    self.closing.subscribe(),
                    self.announce_to.subscribe(),
                ));
            }
        }
    }

    /// Returns the databases in the order of the settings.
    pub fn databases(&self) -> impl Iterator<Item = &Database> {
        self.members.iter().map(|member| &member.database)
    }

    /// Returns the database of this name.
    pub fn database(&self, endpoint: &EndpointName) -> Result<&Database, GroupError> {
        Ok(&self.member(endpoint)?.database)
    }

    /// Returns the running primary with the highest timeline.
    pub fn primary(&self) -> Option<&Database> {
        let running = self.databases().filter(|database| !database.engine().frozen);
        let primaries = running.filter(|database| database.state().role == Role::Primary);
        primaries.max_by_key(|database| database.state().timeline)
    }

    /// Makes one database a replica of another, as the platform does with the former primary after a failover.
    ///
    /// Closes the database's client connections. If its log has diverged from the primary's, its data is discarded and
    /// replicated anew.
    pub fn rejoin(&self, endpoint: &EndpointName, primary: &EndpointName) -> Result<(), GroupError> {
        let source = self.database(primary)?.clone();
        let member = self.member(endpoint)?;
        member.database.engine().role = Role::Replica;
        member.database.drop_connections();
        *member.upstream.lock().expect("nothing panics under this lock") = Some(source);
        Ok(())
    }

    /// Commits a statement on the primary without a client connection, for example to create a table.
    pub fn execute_on_primary(&self, sql: &str, parameters: Vec<Value>) -> Result<(), GroupError> {
        let primary = self.primary().ok_or(GroupError::NoPrimary)?;
        let statement = Statement { sql: sql.into(), parameters };
        primary.engine().commit(vec![statement])?;
        Ok(())
    }

    /// Runs a query on one database without a client connection and returns the values of the first column; for tests.
    pub fn query_first_column(&self, endpoint: &EndpointName, sql: &str) -> Result<Vec<Value>, GroupError> {
        let statement = Statement { sql: sql.into(), parameters: Vec::new() };
        let output = self.database(endpoint)?.engine().preview(&[], &statement)?;
        Ok(output.rows.into_iter().filter_map(|row| row.into_iter().next()).collect())
    }

    fn member(&self, endpoint: &EndpointName) -> Result<&Member, GroupError> {
        let found = self.members.iter().find(|member| member.database.endpoint() == endpoint);
        found.ok_or_else(|| GroupError::Unknown(endpoint.clone()))
    }
}
