//! The two example deployments.

use {
    cumincart_config::{ConfigError, Source, parse_lists},
    cumincart_protocol::{
        lists::Lists,
        name::{DomainName, ServiceName},
    },
    std::{sync::Arc, time::Duration},
};

/// A deployment: its failure domains, its lists and the properties of its endpoints.
#[derive(Debug, Clone)]
pub struct Deployment {
    /// Its name.
    pub name: &'static str,
    /// Its failure domains.
    pub domains: Vec<DomainName>,
    /// The text of the organisation list.
    pub organisations: Arc<str>,
    /// The text of the list of services and plans.
    pub plans: Arc<str>,
    /// The SQL script that creates the tables of each service.
    pub tables: &'static str,
    /// The maximum number of statements that an endpoint runs concurrently.
    pub slots: u32,
    /// The maximum number of connections that an endpoint accepts.
    pub connection_limit: u32,
    /// The time to open a connection.
    pub connect_time: Duration,
    /// The replication lag of replicas.
    pub lag: Duration,
    /// The time added to the execution of each statement.
    pub statement_time: Duration,
}

const CONNECTION_LIMIT: u32 = 30;
const CONNECT_TIME: Duration = Duration::from_millis(12);
const REPLICATION_LAG: Duration = Duration::from_millis(20);

impl Deployment {
    /// Returns the deployment of Telvara Soft, a provider of cloud phone systems.
    pub fn telvara() -> Self {
        Self {
            name: "telvara",
            domains: ["sofia-a", "plovdiv-a", "varna-a"].map(DomainName::from).to_vec(),
            organisations: include_str!("../../../examples/telvara/organisations.jsonc").into(),
            plans: include_str!("../../../examples/telvara/plans.jsonc").into(),
            tables: include_str!("../../../examples/telvara/tables.sql"),
            slots: 5,
            connection_limit: CONNECTION_LIMIT,
            connect_time: CONNECT_TIME,
            lag: REPLICATION_LAG,
            statement_time: Duration::ZERO,
        }
    }

    /// Returns the deployment of the Mascarene Anvil Traders' Association, a listings exchange.
    pub fn association() -> Self {
        Self {
            name: "association",
            domains: ["pl-quay", "cp-forest", "mb-bay"].map(DomainName::from).to_vec(),
            organisations: include_str!("../../../examples/association/organisations.jsonc").into(),
            plans: include_str!("../../../examples/association/plans.jsonc").into(),
            tables: include_str!("../../../examples/association/tables.sql"),
            slots: 3,
            connection_limit: CONNECTION_LIMIT,
            connect_time: CONNECT_TIME,
            lag: REPLICATION_LAG,
            statement_time: Duration::ZERO,
        }
    }

    /// Parses and validates both lists.
    pub fn lists(&self) -> Result<Lists, ConfigError> {
        let organisations = Source::new("organisations.jsonc", self.organisations.clone());
        let plans = Source::new("plans.jsonc", self.plans.clone());
        parse_lists(&organisations, &plans)
    }

    /// Returns the names of the services.
    pub fn services(&self) -> Result<Vec<ServiceName>, ConfigError> {
        Ok(self.lists()?.plans.services.into_iter().map(|service| service.name).collect())
    }
}
