//! What a group is made of.

use {
    cumincart_protocol::name::{DomainName, EndpointName, ServiceName},
    std::{sync::Arc, time::Duration},
};

/// A group's databases and their common properties.
#[derive(Debug, Clone)]
pub struct GroupSettings {
    /// The service whose group it is.
    pub service: ServiceName,
    /// The databases; the first starts as the primary.
    pub databases: Vec<DatabaseSettings>,
    /// How many statements one database runs at once; others wait.
    pub slots: u32,
    /// How many connections one database accepts.
    pub connection_limit: u32,
    /// The time by which a replica trails its primary.
    pub lag: Duration,
    /// The time that a transaction's first statement takes on top of its execution.
    pub statement_time: Duration,
    /// The time that a connection takes to open.
    pub connect_time: Duration,
    /// Base URLs of the control instances that announcements go to, such as `http://127.0.0.1:7000`.
    pub announce_to: Vec<Arc<str>>,
    /// Whether received bytes and executed statements are kept.
    pub recording: bool,
}

/// One database of a group.
#[derive(Debug, Clone)]
pub struct DatabaseSettings {
    /// Its name.
    pub endpoint: EndpointName,
    /// The failure domain that it stands in.
    pub domain: DomainName,
    /// Its port on 127.0.0.1; 0 lets the system choose.
    pub port: u16,
}

impl GroupSettings {
    /// A group of one database in each of the failure domains, without added times, that announces nothing.
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
