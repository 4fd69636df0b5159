//! The lists that operators maintain, after validation: organisations, plans, and the databases of interactive clients.

use {
    crate::{
        name::{KeyId, OrganisationName, PlanName, RouteName, ServiceName},
        sorted::{Keyed, SortedVec},
    },
    schemars::JsonSchema,
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// All lists. They are always applied together.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Lists {
    /// The organisations that may use the system, with their keys.
    pub organisations: OrganisationList,
    /// The services and the plans.
    pub plans: PlanList,
    /// The databases that interactive clients connect to.
    #[serde(default)]
    pub interactive: InteractiveList,
}

/// The databases that interactive clients connect to, and the limits of the services behind them.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InteractiveList {
    /// The databases; names are unique.
    pub databases: SortedVec<Database>,
    /// The services' limits.
    pub services: SortedVec<ServiceLimits>,
    /// The idle timeout of a transaction between two statements, in milliseconds; 0 disables it.
    pub idle_transaction_ms: u64,
}

/// A database that interactive clients can connect to.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Database {
    /// The name that clients connect to.
    pub name: Arc<str>,
    /// The service whose group serves it.
    pub service: ServiceName,
    /// The consistency of its reads.
    pub consistency: Consistency,
    /// The time limit of a statement, in milliseconds.
    pub statement_timeout_ms: u64,
    /// The latency objective of an operation, in milliseconds.
    pub objective_ms: u64,
    /// The priority among databases when an endpoint is busy; 0 is served first.
    pub priority: u32,
    /// Whether clients may connect without a key.
    pub open: bool,
}

impl Keyed for Database {
    type Key = Arc<str>;

    fn key(&self) -> &Arc<str> {
        &self.name
    }
}

/// The consistency of reads of an interactive database.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Consistency {
    /// A read sees every commit that was acknowledged before it.
    Linearizable,
    /// A read sees every commit that was acknowledged longer ago than the bound.
    BoundedStaleness {
        /// The bound, in milliseconds.
        max_staleness_ms: u64,
    },
    /// A read sees every commit that was acknowledged longer ago than the bound, and every commit of its own session.
    ReadYourWrites {
        /// The bound, in milliseconds.
        max_staleness_ms: u64,
    },
}

/// Limits and requirements of a service's endpoints.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceLimits {
    /// The service.
    pub service: ServiceName,
    /// The number of connections that each of its endpoints accepts in total.
    pub connection_limit: u32,
    /// The number of replicas that must have a commit before an endpoint acknowledges it.
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

/// An organisation, with its plan and its keys.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Its name.
    pub name: OrganisationName,
    /// The name of its plan.
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

/// The identifier of a key and the digest by which it is recognised.
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

/// A database group and its routes.
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
    /// Runs in a read-only transaction, on a replica if one is fresh enough.
    Read,
    /// Runs on the primary.
    Write,
}

/// An operation that a service offers to callers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Its name.
    pub name: RouteName,
    /// Whether it reads or writes.
    pub access: Access,
    /// Whether requests need no key; they then carry no organisation.
    #[serde(default)]
    pub open: bool,
    /// The greatest staleness that a read accepts, in milliseconds. With 0, the default, a read sees all writes that
    /// were acknowledged before it.
    #[serde(default)]
    pub max_staleness_ms: u64,
    /// Whether requests are idempotent: running one twice does no harm.
    #[serde(default)]
    pub repeatable: bool,
    /// The time limit of a request from its arrival to its answer, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// Whether a write is acknowledged only after a replica has it too.
    #[serde(default)]
    pub replicated: bool,
    /// Whether requests may be part of a transaction that spans several requests.
    #[serde(default)]
    pub transaction: bool,
    /// The SQL statement to run. If it is absent, callers send the SQL.
    #[serde(default)]
    pub statement: Option<FixedStatement>,
}

/// The deadline of a route that does not set one, in milliseconds.
pub const DEFAULT_DEADLINE_MS: u64 = 2_000;

fn default_deadline_ms() -> u64 {
    DEFAULT_DEADLINE_MS
}

/// A statement that is fixed by the list, with its parameters in order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct FixedStatement {
    /// The SQL, with `$1`, `$2`, … for the parameters.
    pub sql: Arc<str>,
    /// The source of each parameter's value.
    #[serde(default)]
    pub parameters: Vec<ParameterSource>,
}

/// The source of the value of a fixed statement's parameter.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum ParameterSource {
    /// The value that the caller sends under this name.
    Caller(Arc<str>),
    /// The name of the organisation whose key came with the request. Callers cannot set it.
    Organisation,
}

/// The routes and limits of the organisations on a plan.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Its name.
    pub name: PlanName,
    /// The routes that its organisations may use.
    pub routes: Vec<RouteReference>,
    /// The rate limit of each organisation on the plan over the whole fleet, in requests per second.
    pub rate_per_s: f64,
    /// The burst limit: the number of requests that may arrive at once after a pause.
    pub burst: u32,
    /// The weight of each organisation when organisations compete for an endpoint.
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

/// A reference from a plan to a route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RouteReference {
    /// The service.
    pub service: ServiceName,
    /// The route of the service.
    pub route: RouteName,
}
