//! The two example deployments.

use {
    cumincart_config::{ConfigError, Source, parse_lists},
    cumincart_protocol::{
        lists::Lists,
        name::{DomainName, ServiceName},
    },
    std::{sync::Arc, time::Duration},
};

/// One deployment: its failure domains, its lists and the properties of its endpoints.
#[derive(Debug, Clone)]
pub struct Deployment {
    /// Its name.
    pub name: &'static str,
    /// Its failure domains.
    pub domains: Vec<DomainName>,
    /// The list of organisations.
    pub organisations: Arc<str>,
    /// The list of services and plans.
    pub plans: Arc<str>,
    /// The statements that make each service's tables.
    pub tables: &'static str,
    /// How many statements an endpoint runs at once.
    pub slots: u32,
    /// How many connections an endpoint accepts.
    pub connection_limit: u32,
    /// The time that a connection takes to open.
    pub connect_time: Duration,
    /// The time by which replicas trail their primary.
    pub lag: Duration,
    /// The time that a statement takes on top of its execution.
    pub statement_time: Duration,
}

const CONNECTION_LIMIT: u32 = 30;
const CONNECT_TIME: Duration = Duration::from_millis(12);
const REPLICATION_LAG: Duration = Duration::from_millis(20);

impl Deployment {
    /// Telvara Soft: cloud phone systems.
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

    /// Mascarene Anvil Traders' Association: a listings exchange.
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

    /// Both lists, checked.
    pub fn lists(&self) -> Result<Lists, ConfigError> {
        let organisations = Source::new("organisations.jsonc", self.organisations.clone());
        let plans = Source::new("plans.jsonc", self.plans.clone());
        parse_lists(&organisations, &plans)
    }

    /// The names of the services.
    pub fn services(&self) -> Result<Vec<ServiceName>, ConfigError> {
        Ok(self.lists()?.plans.services.into_iter().map(|service| service.name).collect())
    }
}
