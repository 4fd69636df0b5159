//! The settings of a group.

use {
    cumincart_protocol::name::{DomainName, EndpointName, ServiceName},
    std::{sync::Arc, time::Duration},
};

/// The databases of a group and their common settings.
#[derive(Debug, Clone)]
pub struct GroupSettings {
    /// The service that the group serves.
    pub service: ServiceName,
    /// The databases; the first starts as the primary.
    pub databases: Vec<DatabaseSettings>,
    /// The number of statements that one database runs concurrently when `statement_time` is set; others wait.
    pub slots: u32,
    /// The maximum number of connections of one database.
    pub connection_limit: u32,
    /// The replication lag.
    pub lag: Duration,
    /// The time that the first statement of a transaction takes in addition to its execution.
    pub statement_time: Duration,
    /// The time that opening a connection takes.
    pub connect_time: Duration,
    /// Base URLs of the control instances that receive the announcements, such as `http://127.0.0.1:7000`.
    pub announce_to: Vec<Arc<str>>,
    /// Whether received bytes and executed statements are recorded.
    pub recording: bool,
}

/// One database of a group.
#[derive(Debug, Clone)]
pub struct DatabaseSettings {
    /// The database's name.
    pub endpoint: EndpointName,
    /// The failure domain of the database.
    pub domain: DomainName,
    /// The port on 127.0.0.1; 0 selects a free one.
    pub port: u16,
}

impl GroupSettings {
    /// Creates the settings of a group with one database in each of the failure domains, 20 ms of lag, no statement or
    /// connect time and no announcements.
    pub fn new(service: ServiceName, domains: &[DomainName]) -> Self {
        let databases = domains.iter().enumerate().map(|(index, domain)| DatabaseSettings {
            endpoint: EndpointName::from(format!("{service}-{}", index + 1)),
            domain: domain.clone(),
            port: 0,
        });
        Self {
            databases: databases.collect(),
            service,
            slots: 5,
            connection_limit: 30,
            lag: Duration::from_millis(20),
            statement_time: Duration::ZERO,
            connect_time: Duration::ZERO,
            announce_to: Vec::new(),
            recording: true,
        }
    }
}
