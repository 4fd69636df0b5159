//! The operators' two lists, in the form in which they are checked, replicated and read.

use {
    crate::{
        name::{KeyId, OrganisationName, PlanName, RouteName, ServiceName},
        sorted::{Keyed, SortedVec},
    },
    schemars::JsonSchema,
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// Both lists; always applied together.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Lists {
    /// Who may use the system.
    pub organisations: OrganisationList,
    /// What each plan may use.
    pub plans: PlanList,
    /// The databases that interactive clients connect to.
    #[serde(default)]
    pub interactive: InteractiveList,
}

/// The databases that interactive clients connect to, and what bounds the services behind them.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InteractiveList {
    /// The databases; names are unique.
    pub databases: SortedVec<Database>,
    /// The services' limits.
    pub services: SortedVec<ServiceLimits>,
    /// How long a transaction may rest between two statements, in milliseconds; 0 where it is not bounded.
    pub idle_transaction_ms: u64,
}

/// A database as interactive clients name it when they connect.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Database {
    /// The name that clients connect to.
    pub name: Arc<str>,
    /// The service whose group serves it.
    pub service: ServiceName,
    /// What its reads must see.
    pub consistency: Consistency,
    /// How long one statement may take, in milliseconds.
    pub statement_timeout_ms: u64,
    /// The latency that an operation aims at, in milliseconds.
    pub objective_ms: u64,
    /// The order among databases when an endpoint is busy; 0 goes first.
    pub priority: u32,
    /// Open to all: needs no key.
    pub open: bool,
}

impl Keyed for Database {
    type Key = Arc<str>;

    fn key(&self) -> &Arc<str> {
        &self.name
    }
}

/// What a read of an interactive database must see.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Consistency {
    /// Every commit that was acknowledged before.
    Linearizable,
    /// Every commit that was acknowledged longer ago than the bound.
    BoundedStaleness {
        /// The bound, in milliseconds.
        max_staleness_ms: u64,
    },
    /// The same, and every commit of its own session.
    ReadYourWrites {
        /// The bound, in milliseconds.
        max_staleness_ms: u64,
    },
}

/// What bounds the use of a service's endpoints.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceLimits {
    /// The service.
    pub service: ServiceName,
    /// How many connections each of its endpoints accepts, from all callers together.
    pub connection_limit: u32,
    /// How many replicas must have a commit before an endpoint acknowledges it.
    pub synchronous_replicas: u32,
}

impl Keyed for ServiceLimits {
    type Key = ServiceName;

    fn key(&self) -> &ServiceName {
        &self.service
    }
}

/// The list of organisations.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct OrganisationList {
    /// The organisations; names are unique.
    pub organisations: Vec<Organisation>,
}

/// One customer: its plan and its keys.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Its name.
    pub name: OrganisationName,
    /// The plan that it is on.
    pub plan: PlanName,
    /// The digests of its keys.
    #[serde(default)]
    pub keys: Vec<KeyDigest>,
}

impl Keyed for Organisation {
    type Key = OrganisationName;

    fn key(&self) -> &OrganisationName {
        &self.name
    }
}

/// A key's identifier and the digest by which it is recognised.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct KeyDigest {
    /// The identifier, unique over all organisations.
    pub id: KeyId,
    /// SHA-256 of the key, as 64 lower-case hexadecimal digits.
    pub sha256: Arc<str>,
}

/// The list of services and plans.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct PlanList {
    /// The services and their routes.
    pub services: Vec<Service>,
    /// The plans.
    pub plans: Vec<Plan>,
}

/// One database group and the routes into it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// Its routes; names are unique within the service.
    pub routes: Vec<Route>,
}

impl Keyed for Service {
    type Key = ServiceName;

    fn key(&self) -> &ServiceName {
        &self.name
    }
}

/// Whether a route reads or writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Access {
    /// Runs in a read-only transaction, on a replica where one is fresh enough.
    Read,
    /// Runs on the primary.
    Write,
}

/// One way into a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Its name.
    pub name: RouteName,
    /// Whether it reads or writes.
    pub access: Access,
    /// Open to all: needs no key and carries no organisation.
    #[serde(default)]
    pub open: bool,
    /// The age that a read accepts; 0 or absent means that it must see all that was acknowledged before.
    #[serde(default)]
    pub max_staleness_ms: u64,
    /// Whether running a request twice does no harm.
    #[serde(default)]
    pub repeatable: bool,
    /// The time that a request has from its arrival to its answer.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// Whether a write is acknowledged only when a replica has it too.
    #[serde(default)]
    pub replicated: bool,
    /// Whether statements may be sent inside a transaction of several requests.
    #[serde(default)]
    pub transaction: bool,
    /// The SQL to run; where it is absent, the caller sends the SQL.
    #[serde(default)]
    pub statement: Option<FixedStatement>,
}

/// The deadline of a route that declares none.
pub const DEFAULT_DEADLINE_MS: u64 = 2_000;

fn default_deadline_ms() -> u64 {
    DEFAULT_DEADLINE_MS
}

/// A statement that the list fixes, with its parameters in order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct FixedStatement {
    /// The SQL, with `$1`, `$2`, … for the parameters.
    pub sql: Arc<str>,
    /// Where each parameter's value comes from.
    #[serde(default)]
    pub parameters: Vec<ParameterSource>,
}

/// Where a fixed statement's parameter comes from.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum ParameterSource {
    /// The value that the caller sends under this name.
    Caller(Arc<str>),
    /// The name of the organisation whose key came with the request; no caller can set it.
    Organisation,
}

/// What the organisations on a plan may use.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Its name.
    pub name: PlanName,
    /// The routes that it may use.
    pub routes: Vec<RouteReference>,
    /// Requests a second, over the whole fleet, for each organisation on the plan.
    pub rate_per_s: f64,
    /// Requests that may come at once after a pause.
    pub burst: u32,
    /// The organisation's weight where organisations compete for an endpoint.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

fn default_weight() -> u32 {
    1
}

impl Keyed for Plan {
    type Key = PlanName;

    fn key(&self) -> &PlanName {
        &self.name
    }
}

/// A route named from a plan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RouteReference {
    /// The service.
    pub service: ServiceName,
    /// The route of that service.
    pub route: RouteName,
}
